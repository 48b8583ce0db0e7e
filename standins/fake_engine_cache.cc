#include "standins/fake_engine_cache.h"

#include "cranberryhill/base/hash.h"

namespace cranberryhill {
namespace {

constexpr size_t kBytesPerBlock = size_t{4} * kEngineBlockTokens;
constexpr size_t kMaxBlocks = 2000;
// Events above this number are dropped, which readers see as a gap.
constexpr size_t kMaxEvents = 1000;
constexpr absl::Duration kPublishDelay = absl::Milliseconds(500);

}  // namespace

std::vector<uint64_t> PromptBlocks(std::string_view prompt,
                                   uint32_t prompt_tokens) {
  std::vector<uint64_t> blocks;
  uint64_t chained = 0;
  for (size_t i = 0; i < prompt_tokens / kEngineBlockTokens &&
                     (i + 1) * kBytesPerBlock <= prompt.size();
       ++i) {
    chained =
        StableHash(prompt.substr(i * kBytesPerBlock, kBytesPerBlock), chained);
    blocks.push_back(chained);
  }
  return blocks;
}

size_t FakeEngineCache::CountLeading(
    const std::vector<uint64_t>& blocks) const {
  size_t count = 0;
  while (count < blocks.size() && this->Holds(blocks[count]))
    ++count;
  return count;
}

void FakeEngineCache::Store(const std::vector<uint64_t>& blocks) {
  for (uint64_t block : blocks) {
    if (!this->held.insert(block).second)
      continue;
    this->by_age.push_back(block);
    this->Record(block, true);
  }
  while (this->by_age.size() > kMaxBlocks) {
    uint64_t oldest = this->by_age.front();
    this->by_age.pop_front();
    this->held.erase(oldest);
    this->Record(oldest, false);
  }
}

void FakeEngineCache::Record(uint64_t block, bool stored) {
  this->events.push_back(
      {++this->last_sequence, block, stored, this->clock.Now()});
  if (this->events.size() > kMaxEvents)
    this->events.pop_front();
}

std::vector<FakeCacheEvent> FakeEngineCache::EventsAfter(uint64_t after) const {
  std::vector<FakeCacheEvent> result;
  absl::Time published = this->clock.Now() - kPublishDelay;
  for (const FakeCacheEvent& event : this->events) {
    if (event.sequence > after && event.time <= published)
      result.push_back(event);
  }
  return result;
}

}  // namespace cranberryhill
