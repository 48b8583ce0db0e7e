#ifndef CRANBERRYHILL_STANDINS_FAKE_ENGINE_CACHE_H_
#define CRANBERRYHILL_STANDINS_FAKE_ENGINE_CACHE_H_

// The KV cache of a fake engine: which blocks it holds, and the events that
// tell about it late and, when a reader falls behind, with gaps.
//
//   FakeEngineCache cache(clock);
//   size_t cached = cache.CountLeading(blocks);
//   cache.Store(blocks);

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

inline constexpr uint32_t kEngineBlockTokens = 1000;

/// @return One chained hash for each full block of the prompt, of 4 bytes of
///     text per token. Equal to the hashes that routers compute.
std::vector<uint64_t> PromptBlocks(std::string_view prompt,
                                   uint32_t prompt_tokens);

struct FakeCacheEvent {
  uint64_t sequence = 0;
  uint64_t block = 0;
  bool stored = true;  ///< False when the block was evicted.
  absl::Time time;
};

/// Not thread-safe.
class FakeEngineCache {
 public:
  explicit FakeEngineCache(const Clock& clock) : clock(clock) {}

  /// @return How many blocks from the first one on are held.
  size_t CountLeading(const std::vector<uint64_t>& blocks) const;

  bool Holds(uint64_t block) const { return this->held.contains(block); }

  /// Adds blocks and evicts the oldest ones above the capacity.
  void Store(const std::vector<uint64_t>& blocks);

  /// @return The published events with a sequence above `after`.
  std::vector<FakeCacheEvent> EventsAfter(uint64_t after) const;

  size_t size() const { return this->held.size(); }  // NOLINT

 private:
  void Record(uint64_t block, bool stored);

  const Clock& clock;
  absl::flat_hash_set<uint64_t> held;
  std::deque<uint64_t> by_age;
  std::deque<FakeCacheEvent> events;
  uint64_t last_sequence = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_STANDINS_FAKE_ENGINE_CACHE_H_
