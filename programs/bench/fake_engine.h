#ifndef CRANBERRYHILL_PROGRAMS_BENCH_FAKE_ENGINE_H_
#define CRANBERRYHILL_PROGRAMS_BENCH_FAKE_ENGINE_H_

// A small model of a model engine on a virtual clock: continuous batching,
// chunked prefill, prefix cache and priorities. The simulation calls
// StartStep() and, after the returned time, FinishStep().
//
//   FakeEngine engine(EngineRole::kMixed, true);
//   engine.SubmitPrompt(job);
//   double seconds = engine.StartStep();
//   for (const StepEvent& event : engine.FinishStep()) ...

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/routing/prefix_index.h"

namespace cranberryhill::bench {

/// Costs and limits of an engine of normal speed. A step takes
/// kStepSeconds + kDecodeSeconds per stream + kPrefillSeconds per prompt token,
/// and kInterferenceSeconds more when it has both.
inline constexpr double kStepSeconds = 0.008;
inline constexpr double kDecodeSeconds = 0.00035;
inline constexpr double kPrefillSeconds = 0.00006;
inline constexpr double kInterferenceSeconds = 0.010;
inline constexpr size_t kMaxStreams = 256;
inline constexpr uint32_t kMaxPrefillChunk = 2048;
inline constexpr uint32_t kMinPrefillChunk = 128;
/// Steps with streams are kept below this by smaller prefill chunks.
inline constexpr double kMixedStepSeconds = 0.060;
inline constexpr double kKvTokens = 600000;
inline constexpr size_t kCacheBlocks = 200;

/// One attempt of a request on one engine.
struct EngineJob {
  uint64_t id = 0;
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;  ///< Still to come.
  bool low_priority = false;
  bool decode_elsewhere = false;
  std::vector<uint64_t> blocks{};
  double kv_tokens = 0;  ///< Memory taken; set by the engine.
};

enum class StepEventKind { kFirstToken, kToken, kDone };

struct StepEvent {
  StepEventKind kind = StepEventKind::kToken;
  uint64_t id = 0;
};

/// Not thread-safe.
class FakeEngine {
 public:
  /// @param honour_priorities False: prompts run in order of arrival.
  FakeEngine(EngineRole role, bool honour_priorities);

  void SubmitPrompt(EngineJob job);

  /// Continues a stream whose KV cache was imported.
  void SubmitDecode(EngineJob job);

  void Cancel(uint64_t id);

  /// Loses all jobs and the cache. @return Ids of the lost jobs.
  std::vector<uint64_t> Crash();

  /// @return Seconds until FinishStep(), or 0 when there is nothing to do.
  double StartStep();

  /// @return Jobs whose prefill the running step began.
  const std::vector<uint64_t>& StartedPrefills() const {
    return this->started_prefills;
  }

  /// @return What happened in the step, in order.
  std::vector<StepEvent> FinishStep();

  bool Idle() const;
  size_t Running() const { return this->streams.size(); }
  size_t Queued() const;
  double WaitingPrefill() const;
  double WaitingLowPriority() const;
  std::vector<uint64_t> Jobs() const;

  /// @return Cache events since the last call.
  std::vector<CacheEvent> TakeCacheEvents();

  EngineRole role;
  double slow_factor = 1;

 private:
  struct Prompt {
    EngineJob job;
    double left = 0;
    bool started = false;
  };

  void TakePrefill(std::deque<Prompt>& queue, double& budget);
  void FinishPrefill(std::deque<Prompt>& queue, std::vector<StepEvent>& events);
  void AdmitStreams();
  void StoreBlocks(const std::vector<uint64_t>& blocks);
  uint32_t CachedBlocks(const std::vector<uint64_t>& blocks) const;

  const bool honour_priorities;
  std::deque<Prompt> high;
  std::deque<Prompt> low;
  std::vector<EngineJob> streams;
  std::deque<EngineJob> waiting_streams;  // For KV memory.
  double kv_used = 0;
  std::vector<uint64_t> started_prefills;
  std::list<uint64_t> lru;  // Cached blocks, most recent first.
  absl::flat_hash_map<uint64_t, std::list<uint64_t>::iterator> cache;
  std::vector<CacheEvent> cache_events;
  uint64_t cache_sequence = 0;
};

}  // namespace cranberryhill::bench

#endif  // CRANBERRYHILL_PROGRAMS_BENCH_FAKE_ENGINE_H_
