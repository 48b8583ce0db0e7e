#include "programs/bench/bound.h"

#include <algorithm>

#include "programs/bench/fake_engine.h"

namespace cranberryhill::bench {
namespace {

static_assert(kInterferenceSeconds >= kStepSeconds,
              "the bound charges the step time to streams and to prompts");

double EngineSeconds(const Scenario& scenario) {
  double duration = scenario.Duration();
  double sum = scenario.engines * duration;
  for (const Disturbance& d : scenario.disturbances) {
    double lasted = std::min(d.until, duration) - d.from;
    sum -= lasted * (d.crash ? 1 : 1 - 1 / d.slow_factor);
  }
  return sum;
}

double LeastFinish(const RequestSpec& request) {
  return request.arrival + request.new_tokens * kPrefillSeconds +
         (request.output_tokens - 1.0) * (kStepSeconds + kDecodeSeconds);
}

}  // namespace

Bound BoundOf(const Scenario& scenario,
              const std::vector<RequestSpec>& arrivals) {
  double duration = scenario.Duration();
  std::vector<double> work;
  double total = 0;
  for (const RequestSpec& request : arrivals) {
    if (LeastFinish(request) > duration)
      continue;
    work.push_back(LeastWorkOf(request).Sum());
    total += work.back();
  }
  std::sort(work.begin(), work.end());
  double left = EngineSeconds(scenario);
  auto possible = static_cast<double>(work.size());
  double arrival_seconds = scenario.ArrivalSeconds();
  Bound bound{.capacity = possible / arrival_seconds *
                          std::min(1.0, total > 0 ? left / total : 1.0)};
  size_t fitting = 0;
  while (fitting < work.size() && left >= work[fitting])
    left -= work[fitting++];
  bound.goodput = static_cast<double>(fitting) / arrival_seconds;
  return bound;
}

}  // namespace cranberryhill::bench
