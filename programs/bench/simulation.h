#ifndef CRANBERRYHILL_PROGRAMS_BENCH_SIMULATION_H_
#define CRANBERRYHILL_PROGRAMS_BENCH_SIMULATION_H_

// One run of a scenario on a virtual clock: fake engines, several entry
// instances that decide independently, role changes and disturbances.
//
//   RunResult result = RunScenario(*scenario, *policy, seed);

#include <array>
#include <cstdint>
#include <string>

#include "programs/bench/entry_policy.h"
#include "programs/bench/workload.h"

namespace cranberryhill::bench {

/// Figures of one run. Times in seconds. Percentiles of the first token count
/// requests that got one.
struct RunResult {
  uint64_t seed = 0;
  uint64_t arrived = 0;
  uint64_t refused = 0;
  uint64_t good = 0;       ///< Answered in time, within the run.
  uint64_t late = 0;       ///< Answered, but not in time.
  double lost = 0;         ///< Accepted, then neither answered nor in progress.
  double goodput = 0;      ///< Good requests per second.
  double bound_ratio = 0;  ///< Goodput divided by Bound::goodput.
  double capacity_ratio = 0;  ///< Goodput divided by Bound::capacity.
  double first_token_p50 = 0;
  double first_token_p99 = 0;
  double short_wait_p99 = 0;  ///< Arrival to start of prefill.

  double long_stretch_p99 = 0;  ///< Batch finish, relative to an idle fleet.
  double affected_p99 = 0;      ///< Longest silence of crashed requests.
  uint64_t affected = 0;
  double role_changes = 0;
  double extra_work = 0;  ///< Work of repeated attempts, as part of all work.
  /// Least ratio of a customer's served work to its weighted fair share.
  double fairness = 1;
  std::array<uint64_t, kKinds> good_by_kind{};
  std::array<uint64_t, kKinds> arrived_by_kind{};
};

/// @param trace Prints the state of the engines and the outcomes over time to
///     standard error.
RunResult RunScenario(const Scenario& scenario,
                      const PolicyInfo& policy,
                      uint64_t seed,
                      bool trace = false);

}  // namespace cranberryhill::bench

#endif  // CRANBERRYHILL_PROGRAMS_BENCH_SIMULATION_H_
