#ifndef CRANBERRYHILL_ROLES_ROLE_H_
#define CRANBERRYHILL_ROLES_ROLE_H_

// Roles of model engines.
//
//   EngineRole role = EngineRole::kMixed;
//   std::string_view name = RoleName(role);  // "mixed"

#include <optional>
#include <string_view>

#include "cranberryhill/base/engine_role.h"

namespace cranberryhill {

/// @return "prefill", "decode" or "mixed".
std::string_view RoleName(EngineRole role);

/// @return The role with this name, or nothing.
std::optional<EngineRole> ParseRole(std::string_view name);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ROLES_ROLE_H_
