#include "cranberryhill/routing/prefix_index.h"

#include <algorithm>
#include <array>

#include "cranberryhill/base/hash.h"
#include "cranberryhill/cost/work.h"

namespace cranberryhill {
namespace {

// Largest number of engines recorded per block. More would make matching of
// popular prefixes slower and hardly improve the choice, as the best of these
// engines is nearly the best of all.
constexpr size_t kMaxHoldersPerBlock = 16;
// If more events than this are lost in a row, all older entries of the engine
// become invalid, because many of the lost events may be evictions. If every
// lost event invalidated the entries, a loss of 3% of the events would make the
// index useless.
constexpr uint64_t kMaxMissedEvents = 100;
// Engines evict the least recently used blocks, so a block that was not seen
// for longer than this is probably no longer cached.
constexpr absl::Duration kHolderLifetime = absl::Minutes(5);

}  // namespace

std::vector<uint64_t> HashBlocks(std::string_view prompt,
                                 uint32_t prompt_tokens) {
  std::vector<uint64_t> hashes;
  size_t blocks = prompt_tokens / kCacheBlockTokens;
  uint64_t prefix_hash = 0;
  // Every block has the same number of bytes, whatever the number of tokens in
  // its text. Otherwise the ends of two prompts would change the block
  // boundaries in their common prefix.
  constexpr size_t kBytesPerBlock = size_t{4} * kCacheBlockTokens;
  for (size_t i = 0; i < blocks; ++i) {
    if ((i + 1) * kBytesPerBlock > prompt.size())
      break;
    prefix_hash = StableHash(prompt.substr(i * kBytesPerBlock, kBytesPerBlock),
                             prefix_hash);
    hashes.push_back(prefix_hash);
  }
  return hashes;
}

PrefixIndex::PrefixIndex(const Clock& clock, size_t max_blocks)
    : clock(clock), max_blocks(max_blocks) {}

PrefixIndex::EngineState& PrefixIndex::StateOf(uint32_t engine) {
  if (engine >= this->engines.size())
    this->engines.resize(engine + 1);
  return this->engines[engine];
}

bool PrefixIndex::IsValid(const Holder& holder, absl::Time now) const {
  return now - holder.last_seen_at <= kHolderLifetime &&
         (holder.engine >= this->engines.size() ||
          holder.last_seen_at >= this->engines[holder.engine].valid_since);
}

void PrefixIndex::AddHolder(uint32_t engine, uint64_t block) {
  absl::Time now = this->clock.Now();
  std::vector<Holder>& block_holders = this->holders[block];
  auto existing =
      std::find_if(block_holders.begin(), block_holders.end(),
                   [&](const Holder& h) { return h.engine == engine; });
  if (existing != block_holders.end()) {
    existing->last_seen_at = now;
    return;
  }
  if (block_holders.size() < kMaxHoldersPerBlock) {
    block_holders.push_back({engine, now});
    return;
  }
  *std::min_element(block_holders.begin(), block_holders.end(),
                    [](const Holder& a, const Holder& b) {
                      return a.last_seen_at < b.last_seen_at;
                    }) = {engine, now};
}

void PrefixIndex::RemoveOldestBlocks() {
  if (this->holders.size() <= this->max_blocks)
    return;
  // Removes about a quarter of the blocks at once to keep the cost per
  // insertion low.
  std::vector<absl::Time> last_seen_times;
  last_seen_times.reserve(this->holders.size());
  auto newest = [](const std::vector<Holder>& block_holders) {
    absl::Time time = absl::InfinitePast();
    for (const Holder& holder : block_holders)
      time = std::max(time, holder.last_seen_at);
    return time;
  };
  for (const auto& [block, block_holders] : this->holders)
    last_seen_times.push_back(newest(block_holders));
  auto quarter = last_seen_times.begin() +
                 static_cast<std::ptrdiff_t>(last_seen_times.size() / 4);
  std::nth_element(last_seen_times.begin(), quarter, last_seen_times.end());
  absl::Time cutoff = *quarter;
  absl::erase_if(this->holders, [&](const auto& entry) {
    return newest(entry.second) <= cutoff;
  });
}

void PrefixIndex::RecordSent(uint32_t engine,
                             std::span<const uint64_t> blocks) {
  this->StateOf(engine);
  for (uint64_t block : blocks)
    this->AddHolder(engine, block);
  this->RemoveOldestBlocks();
}

void PrefixIndex::OnCacheEvents(uint32_t engine,
                                std::span<const CacheEvent> events) {
  EngineState& state = this->StateOf(engine);
  for (const CacheEvent& event : events) {
    if (event.sequence <= state.last_sequence)
      continue;
    uint64_t missed = event.sequence - state.last_sequence - 1;
    if (state.last_sequence != 0 && missed > kMaxMissedEvents)
      state.valid_since = this->clock.Now();
    state.last_sequence = event.sequence;
    if (event.stored)
      this->AddHolder(engine, event.block);
    else
      this->ApplyEviction(engine, event.block);
  }
  this->RemoveOldestBlocks();
}

void PrefixIndex::ApplyEviction(uint32_t engine, uint64_t block) {
  auto found = this->holders.find(block);
  if (found == this->holders.end())
    return;
  std::erase_if(found->second, [&](const Holder& holder) {
    if (holder.engine != engine)
      return false;
    // Blocks used less recently are probably evicted too, even if the events
    // for them were lost.
    EngineState& state = this->StateOf(engine);
    state.valid_since = std::max(state.valid_since, holder.last_seen_at);
    return true;
  });
  if (found->second.empty())
    this->holders.erase(found);
}

void PrefixIndex::RemoveEngine(uint32_t engine) {
  EngineState& state = this->StateOf(engine);
  state.last_sequence = 0;
  for (auto& [block, block_holders] : this->holders) {
    std::erase_if(block_holders,
                  [&](const Holder& h) { return h.engine == engine; });
  }
  absl::erase_if(this->holders,
                 [](const auto& entry) { return entry.second.empty(); });
}

void PrefixIndex::VisitHolders(
    std::span<const uint64_t> blocks,
    const std::function<void(uint32_t engine, uint32_t cached_blocks)>& visit)
    const {
  absl::Time now = this->clock.Now();
  std::array<Holder, kMaxHoldersPerBlock> matching{};
  size_t matching_count = 0;
  uint32_t matched_blocks = 0;
  for (uint64_t block : blocks) {
    auto found = this->holders.find(block);
    std::array<Holder, kMaxHoldersPerBlock> still_matching{};
    size_t still_matching_count = 0;
    if (found != this->holders.end()) {
      for (const Holder& holder : found->second) {
        if (!this->IsValid(holder, now))
          continue;
        bool extends_match =
            matched_blocks == 0 ||
            std::any_of(
                matching.begin(), matching.begin() + matching_count,
                [&](const Holder& h) { return h.engine == holder.engine; });
        if (extends_match)
          still_matching[still_matching_count++] = holder;
      }
    }
    // Reports the engines whose match ends before this block.
    for (size_t i = 0; i < matching_count; ++i) {
      bool holds_block = std::any_of(
          still_matching.begin(), still_matching.begin() + still_matching_count,
          [&](const Holder& h) { return h.engine == matching[i].engine; });
      if (!holds_block)
        visit(matching[i].engine, matched_blocks);
    }
    matching = still_matching;
    matching_count = still_matching_count;
    if (matching_count == 0)
      return;
    ++matched_blocks;
  }
  for (size_t i = 0; i < matching_count; ++i)
    visit(matching[i].engine, matched_blocks);
}

}  // namespace cranberryhill
