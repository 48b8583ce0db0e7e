#ifndef CRANBERRYHILL_BASE_ENGINE_ROLE_H_
#define CRANBERRYHILL_BASE_ENGINE_ROLE_H_

// Roles of model engines, shared by the configuration and the policy.
//
//   EngineRole role = EngineRole::kMixed;
//   std::string_view name = EngineRoleName(role);  // "mixed"

#include <optional>
#include <string_view>

namespace cranberryhill {

/// What an engine does: prompts, outputs or both.
enum class EngineRole { kPrefill, kDecode, kMixed };

/// @return "prefill", "decode" or "mixed".
std::string_view EngineRoleName(EngineRole role);

/// @return The role with this name, or nothing.
std::optional<EngineRole> ParseEngineRole(std::string_view name);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_ENGINE_ROLE_H_
