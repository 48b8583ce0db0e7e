#ifndef CRANBERRYHILL_ROUTING_PREFIX_INDEX_H_
#define CRANBERRYHILL_ROUTING_PREFIX_INDEX_H_

// Which engine probably holds which prompt prefix. Fed by what this instance
// sent and by cache events, which are late and have gaps.
//
//   PrefixIndex index(clock);
//   std::vector<uint64_t> blocks = HashBlocks(prompt, prompt_tokens);
//   index.RecordSent(engine, blocks);
//   index.Match(blocks, [&](uint32_t engine, uint32_t cached) { ... });

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// Hashes each full block of a prompt chained with the blocks before it, so
/// equal values mean equal prefixes.
/// @param prompt Text of the prompt, with customer and model in front when
///     caches are not shared.
/// @param prompt_tokens Its length; limits the number of blocks.
/// @return One hash per full block of kCacheBlockTokens, which is taken as 4
///     bytes of text per token.
std::vector<uint64_t> HashBlocks(std::string_view prompt,
                                 uint32_t prompt_tokens);

/// One cache event of an engine.
struct CacheEvent {
  uint64_t sequence = 0;  ///< Grows by one with each event of the engine.
  uint64_t block = 0;     ///< Chained block hash.
  bool stored = true;     ///< False when the block was evicted.
};

/// Bounded in blocks and in engines per block. Not thread-safe.
class PrefixIndex {
 public:
  /// @param max_blocks Blocks remembered; the oldest are dropped beyond it.
  explicit PrefixIndex(const Clock& clock, size_t max_blocks = 200000);

  /// Records that `engine` will hold `blocks` soon.
  void RecordSent(uint32_t engine, std::span<const uint64_t> blocks);

  /// Applies events in order of sequence. Older events than known are dropped.
  /// Gaps may hide evictions. Engines evict the least recently used blocks, so
  /// an eviction ends the trust in all entries of the engine that are older
  /// than the evicted one; a long gap ends the trust in all entries.
  void OnEvents(uint32_t engine, std::span<const CacheEvent> events);

  /// Forgets all blocks of an engine that restarted or left.
  void Forget(uint32_t engine);

  /// Calls `visit` for each engine that holds the first block, with the number
  /// of leading blocks it holds.
  void Match(
      std::span<const uint64_t> blocks,
      const std::function<void(uint32_t engine, uint32_t cached)>& visit) const;

  /// @return Blocks remembered.
  size_t Size() const { return this->holders.size(); }

 private:
  struct Holder {
    uint32_t engine;
    absl::Time seen;
  };
  struct EngineState {
    uint64_t last_sequence = 0;
    absl::Time trusted_since = absl::InfinitePast();
  };

  bool Trusted(const Holder& holder, absl::Time now) const;
  void Record(uint32_t engine, uint64_t block);
  void Evict(uint32_t engine, uint64_t block);
  void DropOldest();
  EngineState& StateOf(uint32_t engine);

  const Clock& clock;
  const size_t max_blocks;
  absl::flat_hash_map<uint64_t, std::vector<Holder>> holders;
  std::vector<EngineState> engines;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ROUTING_PREFIX_INDEX_H_
