#ifndef CRANBERRYHILL_BASE_ENGINE_ROLE_H_
#define CRANBERRYHILL_BASE_ENGINE_ROLE_H_

// Roles of model engines, shared by the configuration and the policy.
//
//   EngineRole role = EngineRole::kMixed;

namespace cranberryhill {

/// What an engine does: prompts, outputs or both.
enum class EngineRole { kPrefill, kDecode, kMixed };

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_ENGINE_ROLE_H_
