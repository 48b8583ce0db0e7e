#ifndef CRANBERRYHILL_FORWARD_TEST_REPLICAS_H_
#define CRANBERRYHILL_FORWARD_TEST_REPLICAS_H_

// Builds replica entries and prompts for tests.

#include <optional>
#include <string>
#include <utility>

#include "cranberryhill/forward/prompt.h"
#include "cranberryhill/forward/replica_set.h"

namespace cranberryhill::forward {

inline ReplicaEntry MakeEntry(std::string id,
                              std::string zone = "a",
                              std::optional<EngineRole> role = {}) {
  ReplicaEntry entry;
  entry.id = std::move(id);
  entry.service = "service";
  entry.endpoint = {"127.0.0.1", 8080};
  entry.availability_zone = std::move(zone);
  entry.slots = role ? 128 : 6;
  entry.role = role;
  return entry;
}

/// @param shared_id Id of the part that is shared.
inline PromptDescription MakePrompt(uint64_t shared_id,
                                    uint32_t shared_tokens,
                                    uint32_t own_tokens) {
  PromptDescription prompt;
  prompt.prompt_tokens = shared_tokens + own_tokens;
  prompt.parts = {{shared_id, shared_tokens},
                  {shared_id + 1'000'000, own_tokens}};
  return prompt;
}

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_TEST_REPLICAS_H_
