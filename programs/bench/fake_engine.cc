#include "programs/bench/fake_engine.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/cost/work.h"

namespace cranberryhill::bench {

FakeEngine::FakeEngine(EngineRole role, bool honour_priorities)
    : role(role), honour_priorities(honour_priorities) {}

void FakeEngine::SubmitPrompt(EngineJob job) {
  bool to_low = this->honour_priorities && job.low_priority;
  double left = job.prompt_tokens;
  (to_low ? this->low : this->high).push_back({std::move(job), left, false});
}

void FakeEngine::SubmitDecode(EngineJob job) {
  this->waiting_streams.push_back(std::move(job));
}

void FakeEngine::Cancel(uint64_t id) {
  auto same = [&](const Prompt& prompt) { return prompt.job.id == id; };
  std::erase_if(this->high, same);
  std::erase_if(this->low, same);
  std::erase_if(this->waiting_streams,
                [&](const EngineJob& job) { return job.id == id; });
  std::erase_if(this->streams, [&](const EngineJob& job) {
    if (job.id == id)
      this->kv_used -= job.kv_tokens;
    return job.id == id;
  });
}

std::vector<uint64_t> FakeEngine::Jobs() const {
  std::vector<uint64_t> ids;
  for (const Prompt& prompt : this->high)
    ids.push_back(prompt.job.id);
  for (const Prompt& prompt : this->low)
    ids.push_back(prompt.job.id);
  for (const EngineJob& job : this->waiting_streams)
    ids.push_back(job.id);
  for (const EngineJob& job : this->streams)
    ids.push_back(job.id);
  return ids;
}

std::vector<uint64_t> FakeEngine::Crash() {
  std::vector<uint64_t> lost = this->Jobs();
  this->high.clear();
  this->low.clear();
  this->waiting_streams.clear();
  this->streams.clear();
  this->kv_used = 0;
  this->lru.clear();
  this->cache.clear();
  return lost;
}

bool FakeEngine::Idle() const {
  return this->high.empty() && this->low.empty() && this->streams.empty() &&
         this->waiting_streams.empty();
}

size_t FakeEngine::Queued() const {
  return this->high.size() + this->low.size() + this->waiting_streams.size();
}

double FakeEngine::WaitingLowPriority() const {
  double sum = 0;
  for (const Prompt& prompt : this->low)
    sum += prompt.left;
  return sum;
}

double FakeEngine::WaitingPrefill() const {
  double sum = this->WaitingLowPriority();
  for (const Prompt& prompt : this->high)
    sum += prompt.left;
  return sum;
}

void FakeEngine::AdmitStreams() {
  while (!this->waiting_streams.empty() && this->streams.size() < kMaxStreams) {
    EngineJob& job = this->waiting_streams.front();
    double needed = static_cast<double>(job.prompt_tokens) + job.output_tokens;
    if (!this->streams.empty() && this->kv_used + needed > kKvTokens)
      return;
    job.kv_tokens = needed;
    this->kv_used += needed;
    this->streams.push_back(std::move(job));
    this->waiting_streams.pop_front();
  }
}

uint32_t FakeEngine::CachedBlocks(const std::vector<uint64_t>& blocks) const {
  uint32_t cached = 0;
  while (cached < blocks.size() && this->cache.contains(blocks[cached]))
    ++cached;
  return cached;
}

void FakeEngine::TakePrefill(std::deque<Prompt>& queue, double& budget) {
  for (Prompt& prompt : queue) {
    if (budget <= 0)
      return;
    if (!prompt.started) {
      prompt.started = true;
      prompt.left = WorkOf(prompt.job.prompt_tokens,
                           this->CachedBlocks(prompt.job.blocks), {})
                        .prefill_tokens;
      this->started_prefills.push_back(prompt.job.id);
    }
    double taken = std::min(budget, prompt.left);
    prompt.left -= taken;
    budget -= taken;
  }
}

double FakeEngine::StartStep() {
  this->AdmitStreams();
  this->started_prefills.clear();
  bool prompts = !this->high.empty() || !this->low.empty();
  if (this->streams.empty() && !prompts)
    return 0;
  auto count = static_cast<double>(this->streams.size());
  double seconds = kStepSeconds + kDecodeSeconds * count;
  if (prompts) {
    double budget = kMaxPrefillChunk;
    if (!this->streams.empty()) {
      double room = kMixedStepSeconds - seconds - kInterferenceSeconds;
      budget = std::clamp<double>(room / kPrefillSeconds, kMinPrefillChunk,
                                  kMaxPrefillChunk);
      seconds += kInterferenceSeconds;
    }
    double left = budget;
    this->TakePrefill(this->high, left);
    this->TakePrefill(this->low, left);
    seconds += kPrefillSeconds * (budget - left);
  }
  return seconds * this->slow_factor;
}

void FakeEngine::StoreBlocks(const std::vector<uint64_t>& blocks) {
  // Last block first, so that the end of a prefix is evicted before its start.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    auto found = this->cache.find(*block);
    if (found != this->cache.end()) {
      this->lru.splice(this->lru.begin(), this->lru, found->second);
      continue;
    }
    this->lru.push_front(*block);
    this->cache[*block] = this->lru.begin();
    this->cache_events.push_back({++this->cache_sequence, *block, true});
  }
  while (this->lru.size() > kCacheBlocks) {
    this->cache.erase(this->lru.back());
    this->cache_events.push_back(
        {++this->cache_sequence, this->lru.back(), false});
    this->lru.pop_back();
  }
}

std::vector<CacheEvent> FakeEngine::TakeCacheEvents() {
  return std::exchange(this->cache_events, {});
}

void FakeEngine::FinishPrefill(std::deque<Prompt>& queue,
                               std::vector<StepEvent>& events) {
  for (size_t i = 0; i < queue.size();) {
    if (!queue[i].started)
      return;
    if (queue[i].left > 0) {
      ++i;
      continue;
    }
    EngineJob job = std::move(queue[i].job);
    queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(i));
    this->StoreBlocks(job.blocks);
    events.push_back({StepEventKind::kFirstToken, job.id});
    if (--job.output_tokens == 0)
      events.push_back({StepEventKind::kDone, job.id});
    else if (!job.decode_elsewhere)
      this->waiting_streams.push_back(std::move(job));
  }
}

std::vector<StepEvent> FakeEngine::FinishStep() {
  std::vector<StepEvent> events;
  size_t kept = 0;
  for (size_t i = 0; i < this->streams.size(); ++i) {
    EngineJob& job = this->streams[i];
    events.push_back({StepEventKind::kToken, job.id});
    if (--job.output_tokens > 0) {
      if (kept != i)
        this->streams[kept] = std::move(job);
      ++kept;
      continue;
    }
    events.push_back({StepEventKind::kDone, job.id});
    this->kv_used -= job.kv_tokens;
  }
  this->streams.resize(kept);
  this->FinishPrefill(this->high, events);
  this->FinishPrefill(this->low, events);
  return events;
}

}  // namespace cranberryhill::bench
