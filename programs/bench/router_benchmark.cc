#include "programs/bench/router_benchmark.h"

#include <fmt/format.h>

#include <ctime>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/routing/router.h"

namespace cranberryhill::bench {
namespace {

// Processor time of the thread, so that other processes do not count.
double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

constexpr uint32_t kPrefixes = 50;
constexpr uint32_t kPrefixBlocks = 8;
constexpr uint32_t kDecisionsPerReport = 10;
constexpr uint64_t kRequestsInProgress = 2000;

}  // namespace

double RoutingMicroseconds(uint32_t candidates,
                           uint32_t decisions,
                           uint64_t seed) {
  ManualClock clock;
  SeededRandom random(seed);
  Router router(clock, random, {.zone = "a", .entry_instances = 34});
  for (uint32_t i = 0; i < candidates; ++i) {
    router.AddEngine(fmt::format("engine-{}", i), "a",
                     static_cast<EngineRole>(i % 3));
  }
  std::vector<std::vector<uint64_t>> prefixes(kPrefixes);
  for (uint32_t i = 0; i < kPrefixes; ++i) {
    for (uint32_t block = 0; block < kPrefixBlocks; ++block)
      prefixes[i].push_back(1 + i * kPrefixBlocks + block);
  }
  double seconds = 0;
  for (uint32_t i = 0; i < decisions; ++i) {
    clock.Advance(absl::Milliseconds(10));
    if (i % kDecisionsPerReport == 0) {
      for (uint32_t engine = 0; engine < candidates; ++engine) {
        router.OnLoadReport(
            engine,
            {.measured_at = clock.Now() - absl::Milliseconds(400),
             .running = static_cast<uint32_t>(random.UniformInt(10, 100)),
             .queued = static_cast<uint32_t>(random.UniformInt(0, 3)),
             .prefill_tokens =
                 static_cast<double>(random.UniformInt(0, 8000))});
      }
    }
    RouteRequest request{
        .id = i + 1,
        .prompt_tokens = 9000,
        .output = {.mean = 200, .high = 400},
        .first_token_by = clock.Now() + absl::Seconds(1),
        .blocks = prefixes[random.UniformInt(0, kPrefixes - 1)]};
    double start = ThreadSeconds();
    auto decision = router.Choose(request);
    if (decision)
      router.OnSent(request, *decision);
    seconds += ThreadSeconds() - start;
    router.OnFirstToken(request.id);
    if (i >= kRequestsInProgress)
      router.OnFinished(i - kRequestsInProgress, AttemptEnd::kCompleted);
  }
  return seconds * 1e6 / decisions;
}

}  // namespace cranberryhill::bench
