#include "cranberryhill/routing/prefix_index.h"

#include <algorithm>
#include <array>

#include "cranberryhill/base/hash.h"
#include "cranberryhill/cost/work.h"

namespace cranberryhill {
namespace {

// Engines remembered per block. More would cost time for popular prefixes
// and change little, as the best of these is nearly the best of all.
constexpr size_t kMaxHolders = 16;
// A longer gap in the events hides too many evictions to trust older entries.
// Distrusting them after any gap made the index useless at 3% lost events.
constexpr uint64_t kMaxMissedEvents = 100;
// Engines evict by age; older entries are probably gone.
constexpr absl::Duration kHolderLifetime = absl::Minutes(5);

}  // namespace

std::vector<uint64_t> HashBlocks(std::string_view prompt,
                                 uint32_t prompt_tokens) {
  std::vector<uint64_t> hashes;
  size_t blocks = prompt_tokens / kCacheBlockTokens;
  uint64_t chained = 0;
  // Cut at a fixed number of bytes per block, which depends on the text's
  // density only in coarse steps: equal prefixes must be cut alike although
  // the prompts' ends differ.
  constexpr size_t kBytesPerBlock = size_t{4} * kCacheBlockTokens;
  for (size_t i = 0; i < blocks; ++i) {
    if ((i + 1) * kBytesPerBlock > prompt.size())
      break;
    chained =
        StableHash(prompt.substr(i * kBytesPerBlock, kBytesPerBlock), chained);
    hashes.push_back(chained);
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

bool PrefixIndex::Trusted(const Holder& holder, absl::Time now) const {
  return now - holder.seen <= kHolderLifetime &&
         (holder.engine >= this->engines.size() ||
          holder.seen >= this->engines[holder.engine].trusted_since);
}

void PrefixIndex::Record(uint32_t engine, uint64_t block) {
  absl::Time now = this->clock.Now();
  std::vector<Holder>& list = this->holders[block];
  auto known = std::find_if(list.begin(), list.end(), [&](const Holder& h) {
    return h.engine == engine;
  });
  if (known != list.end()) {
    known->seen = now;
    return;
  }
  if (list.size() < kMaxHolders) {
    list.push_back({engine, now});
    return;
  }
  *std::min_element(list.begin(), list.end(),
                    [](const Holder& a, const Holder& b) {
                      return a.seen < b.seen;
                    }) = {engine, now};
}

void PrefixIndex::DropOldest() {
  if (this->holders.size() <= this->max_blocks)
    return;
  // Drops about a quarter at once, so that the cost per insertion stays low.
  std::vector<absl::Time> seen;
  seen.reserve(this->holders.size());
  auto newest = [](const std::vector<Holder>& list) {
    absl::Time time = absl::InfinitePast();
    for (const Holder& holder : list)
      time = std::max(time, holder.seen);
    return time;
  };
  for (const auto& [block, list] : this->holders)
    seen.push_back(newest(list));
  auto quarter = seen.begin() + static_cast<std::ptrdiff_t>(seen.size() / 4);
  std::nth_element(seen.begin(), quarter, seen.end());
  absl::Time limit = *quarter;
  absl::erase_if(this->holders, [&](const auto& entry) {
    return newest(entry.second) <= limit;
  });
}

void PrefixIndex::RecordSent(uint32_t engine,
                             std::span<const uint64_t> blocks) {
  this->StateOf(engine);
  for (uint64_t block : blocks)
    this->Record(engine, block);
  this->DropOldest();
}

void PrefixIndex::OnEvents(uint32_t engine,
                           std::span<const CacheEvent> events) {
  EngineState& state = this->StateOf(engine);
  for (const CacheEvent& event : events) {
    if (event.sequence <= state.last_sequence)
      continue;
    uint64_t missed = event.sequence - state.last_sequence - 1;
    if (state.last_sequence != 0 && missed > kMaxMissedEvents)
      state.trusted_since = this->clock.Now();
    state.last_sequence = event.sequence;
    if (event.stored)
      this->Record(engine, event.block);
    else
      this->Evict(engine, event.block);
  }
  this->DropOldest();
}

void PrefixIndex::Evict(uint32_t engine, uint64_t block) {
  auto found = this->holders.find(block);
  if (found == this->holders.end())
    return;
  std::erase_if(found->second, [&](const Holder& holder) {
    if (holder.engine != engine)
      return false;
    // Older blocks are probably evicted as well, even when their events were
    // lost.
    EngineState& state = this->StateOf(engine);
    state.trusted_since = std::max(state.trusted_since, holder.seen);
    return true;
  });
  if (found->second.empty())
    this->holders.erase(found);
}

void PrefixIndex::Forget(uint32_t engine) {
  EngineState& state = this->StateOf(engine);
  state.last_sequence = 0;
  for (auto& [block, list] : this->holders) {
    std::erase_if(list, [&](const Holder& h) { return h.engine == engine; });
  }
  absl::erase_if(this->holders,
                 [](const auto& entry) { return entry.second.empty(); });
}

void PrefixIndex::Match(
    std::span<const uint64_t> blocks,
    const std::function<void(uint32_t engine, uint32_t cached)>& visit) const {
  absl::Time now = this->clock.Now();
  std::array<Holder, kMaxHolders> active{};
  size_t count = 0;
  uint32_t depth = 0;
  for (uint64_t block : blocks) {
    auto found = this->holders.find(block);
    std::array<Holder, kMaxHolders> next{};
    size_t kept = 0;
    if (found != this->holders.end()) {
      for (const Holder& holder : found->second) {
        if (!this->Trusted(holder, now))
          continue;
        bool continues =
            depth == 0 || std::any_of(active.begin(), active.begin() + count,
                                      [&](const Holder& h) {
                                        return h.engine == holder.engine;
                                      });
        if (continues)
          next[kept++] = holder;
      }
    }
    // Engines that hold no further block.
    for (size_t i = 0; i < count; ++i) {
      bool goes_on = std::any_of(
          next.begin(), next.begin() + kept,
          [&](const Holder& h) { return h.engine == active[i].engine; });
      if (!goes_on)
        visit(active[i].engine, depth);
    }
    active = next;
    count = kept;
    if (count == 0)
      return;
    ++depth;
  }
  for (size_t i = 0; i < count; ++i)
    visit(active[i].engine, depth);
}

}  // namespace cranberryhill
