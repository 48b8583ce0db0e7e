#ifndef CRANBERRYHILL_FORWARD_PREFIX_CACHE_ESTIMATE_H_
#define CRANBERRYHILL_FORWARD_PREFIX_CACHE_ESTIMATE_H_

// Estimates which prompt parts an engine still has cached, from the prompts
// that were sent to it. Engines evict the least recently used parts.
//
//   PrefixCacheEstimate cache(1000000);
//   cache.RecordPrompt(prompt, now);
//   uint32_t cached = cache.CachedTokens(prompt);

#include <cstdint>
#include <span>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/forward/prompt.h"

namespace cranberryhill::forward {

/// Not thread-safe.
class PrefixCacheEstimate {
 public:
  /// @param capacity_tokens Largest number of tokens that the engine is assumed
  ///     to have cached.
  explicit PrefixCacheEstimate(int64_t capacity_tokens)
      : capacity_tokens(capacity_tokens) {}

  /// Records that the engine prefills the shared prefix of `prompt`. The last
  /// part is not shared and is not recorded.
  void RecordPrompt(const PromptDescription& prompt, absl::Time now);

  /// Records parts of a shared prefix.
  void RecordParts(std::span<const PromptPart> parts, absl::Time now);

  /// @return The number of tokens of the prefix up to the first part that is
  ///     not cached.
  uint32_t CachedTokens(const PromptDescription& prompt) const;

  void SetCapacity(int64_t tokens) { this->capacity_tokens = tokens; }

 private:
  struct CachedPart {
    uint32_t tokens = 0;
    absl::Time last_used_at;
  };

  void EvictLeastRecentlyUsed();

  int64_t capacity_tokens;
  int64_t cached_tokens = 0;
  absl::flat_hash_map<uint64_t, CachedPart> parts;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_PREFIX_CACHE_ESTIMATE_H_
