#ifndef CRANBERRYHILL_ROUTING_PREFIX_INDEX_H_
#define CRANBERRYHILL_ROUTING_PREFIX_INDEX_H_

// Records which engines probably have which prompt prefixes in their caches.
// The sources are the prompts that this instance sent and the cache events of
// the engines, which arrive late and may be lost.
//
//   PrefixIndex index(clock);
//   std::vector<uint64_t> blocks = HashBlocks(prompt, prompt_tokens);
//   index.RecordSent(engine, blocks);
//   index.VisitHolders(blocks, [&](uint32_t engine, uint32_t cached_blocks) {
//   ... });

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

/// Hashes each full block of a prompt together with the hash of the blocks
/// before it, so that equal values mean equal prefixes.
/// @param prompt Text of the prompt. If customers or models do not share
///     caches, their names precede the text.
/// @param prompt_tokens Length of the prompt; limits the number of blocks.
/// @return One hash per full block of kCacheBlockTokens tokens. A token is
///     assumed to be 4 bytes of text.
std::vector<uint64_t> HashBlocks(std::string_view prompt,
                                 uint32_t prompt_tokens);

/// Change of one block in an engine's prefix cache.
struct CacheEvent {
  uint64_t sequence = 0;  ///< Increases by one with each event of the engine.
  uint64_t block = 0;     ///< Block hash as returned by HashBlocks().
  bool stored = true;     ///< False when the block was evicted.
};

/// Index of the engines that hold each cached block. The numbers of blocks and
/// of engines per block are limited. Not thread-safe.
class PrefixIndex {
 public:
  /// @param max_blocks Largest number of blocks; the oldest are removed when
  ///     there are more.
  explicit PrefixIndex(const Clock& clock, size_t max_blocks = 200000);

  /// Records that a prompt of `blocks` was sent to `engine`, which will cache
  /// them.
  void RecordSent(uint32_t engine, std::span<const uint64_t> blocks);

  /// Applies cache events, which must be sorted by sequence. Ignores events
  /// that are not newer than the last one applied. Lost events may have been
  /// evictions. Engines evict the least recently used blocks first, so an
  /// eviction invalidates all entries of the engine that are older than the
  /// evicted one. A long gap in the sequence invalidates all entries of the
  /// engine.
  void OnCacheEvents(uint32_t engine, std::span<const CacheEvent> events);

  /// Removes all blocks of an engine that restarted or left.
  void RemoveEngine(uint32_t engine);

  /// Calls `visit` for each engine that holds the first block, with the number
  /// of consecutive blocks that it holds from the first one on.
  void VisitHolders(
      std::span<const uint64_t> blocks,
      const std::function<void(uint32_t engine, uint32_t cached_blocks)>& visit)
      const;

  /// @return Number of blocks in the index.
  size_t Size() const { return this->holders.size(); }

 private:
  // An engine that has a block in its cache.
  struct Holder {
    uint32_t engine;
    absl::Time last_seen_at;
  };
  struct EngineState {
    uint64_t last_sequence = 0;
    // Entries last seen before this time are invalid.
    absl::Time valid_since = absl::InfinitePast();
  };

  bool IsValid(const Holder& holder, absl::Time now) const;
  void AddHolder(uint32_t engine, uint64_t block);
  void ApplyEviction(uint32_t engine, uint64_t block);
  void RemoveOldestBlocks();
  EngineState& StateOf(uint32_t engine);

  const Clock& clock;
  const size_t max_blocks;
  absl::flat_hash_map<uint64_t, std::vector<Holder>> holders;
  std::vector<EngineState> engines;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ROUTING_PREFIX_INDEX_H_
