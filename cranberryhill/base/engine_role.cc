#include "cranberryhill/base/engine_role.h"

namespace cranberryhill {

std::string_view EngineRoleName(EngineRole role) {
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

std::optional<EngineRole> ParseEngineRole(std::string_view name) {
  for (EngineRole role :
       {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
    if (EngineRoleName(role) == name)
      return role;
  }
  return std::nullopt;
}

}  // namespace cranberryhill
