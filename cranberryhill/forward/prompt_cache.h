#ifndef CRANBERRYHILL_FORWARD_PROMPT_CACHE_H_
#define CRANBERRYHILL_FORWARD_PROMPT_CACHE_H_

// Which parts of prompts an engine probably still holds, from what this
// instance sent to it. Engines drop the least recently used parts.
//
//   PromptCache cache(1000000);
//   cache.Record(shape, now);
//   uint32_t cached = cache.CachedTokens(shape);

#include <cstdint>
#include <span>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/forward/prompt.h"

namespace cranberryhill::forward {

/// Not thread-safe.
class PromptCache {
 public:
  /// @param capacity_tokens Tokens that are believed to be held at most.
  explicit PromptCache(int64_t capacity_tokens)
      : capacity_tokens(capacity_tokens) {}

  /// Records that the engine reads all shared parts of `shape`. The last part
  /// is not shared and is left out.
  void Record(const PromptShape& shape, absl::Time now);

  /// Records shared parts alone.
  void RecordParts(std::span<const PromptPart> parts, absl::Time now);

  /// @return Tokens of the leading parts that are held without a gap.
  uint32_t CachedTokens(const PromptShape& shape) const;

  void SetCapacity(int64_t tokens) { this->capacity_tokens = tokens; }

 private:
  struct HeldPart {
    uint32_t tokens = 0;
    absl::Time used;
  };

  void DropOldest();

  int64_t capacity_tokens;
  int64_t held_tokens = 0;
  absl::flat_hash_map<uint64_t, HeldPart> parts;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_PROMPT_CACHE_H_
