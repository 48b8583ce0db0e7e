#include "cranberryhill/roles/role.h"

namespace cranberryhill {

std::string_view RoleName(EngineRole role) {
  switch (role) {
    case EngineRole::kPrefill:
      return "prefill";
    case EngineRole::kDecode:
      return "decode";
    case EngineRole::kMixed:
      break;
  }
  return "mixed";
}

std::optional<EngineRole> ParseRole(std::string_view name) {
  for (EngineRole role :
       {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
    if (RoleName(role) == name)
      return role;
  }
  return std::nullopt;
}

}  // namespace cranberryhill
