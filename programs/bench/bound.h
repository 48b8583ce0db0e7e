#ifndef CRANBERRYHILL_PROGRAMS_BENCH_BOUND_H_
#define CRANBERRYHILL_PROGRAMS_BENCH_BOUND_H_

// Upper bound of the goodput of a scenario.
//
// A request counts when it arrives and completes, in time, within the run, so
// all of its work is done within the run. Every step of an engine takes at
// least kStepSeconds + kDecodeSeconds per stream + kPrefillSeconds per prompt
// token, and kInterferenceSeconds (not less than kStepSeconds) more if it has
// both, so a step has kStepSeconds to charge to its streams and kStepSeconds to
// charge to its prompts. A step serves at most kMaxPrefillChunk prompt tokens.
// For 95 in 100 tokens of a request in time the step takes at most kGapLimitS,
// which limits its streams; the others run among at most kMaxStreams. This
// gives the least engine time per token (LeastWorkOf). Blocks that occurred
// before cost nothing. The engines together have their number times the
// duration of the run, less crashes and slow phases. A request that can't
// complete before the end of the run even on an idle engine is left out. The
// bound is the largest number of requests whose least work fits into the
// engine time, found by taking the cheapest first.
//
//   Bound bound = BoundOf(scenario, arrivals);

#include <vector>

#include "programs/bench/workload.h"

namespace cranberryhill::bench {

struct Bound {
  double goodput = 0;   ///< Requests per second; no policy can exceed it.
  double capacity = 0;  ///< The same, with all kinds served in proportion.
};

Bound BoundOf(const Scenario& scenario,
              const std::vector<RequestSpec>& arrivals);

}  // namespace cranberryhill::bench

#endif  // CRANBERRYHILL_PROGRAMS_BENCH_BOUND_H_
