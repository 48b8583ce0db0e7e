#ifndef CRANBERRYHILL_ROLES_ROLE_PLANNER_H_
#define CRANBERRYHILL_ROLES_ROLE_PLANNER_H_

// Plans the roles of the engines of one group, that is of one model in one
// zone, from the observed mix of prefill and decode work. Runs on the instance
// that holds the zone's lease.
//
//   RolePlanner planner(clock, options);
//   planner.ObserveWork(12.5, 30.0, absl::Seconds(1));  // Every second.
//   planner.SetEngines(engines);
//   if (auto change = planner.NextChange()) ...announce, drain, order...
//   planner.OnChangeEnded();  // The change was carried out or failed.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/engine_role.h"

namespace cranberryhill {

/// Bounds on the share of the group's engines that have a role, from 0 to 1.
struct ShareBounds {
  double min_share = 0;
  double max_share = 1;
};

/// Bounds and parameters of a RolePlanner.
struct RolePlannerOptions {
  ShareBounds prefill;
  ShareBounds decode;
  ShareBounds mixed;
  /// Time that an engine serves no requests during a change: drain, order and
  /// model load.
  absl::Duration change_downtime = absl::Seconds(12);
  /// Fraction of a mixed engine's time that is lost because prefill and decode
  /// interfere.
  double mixed_loss = 0.3;
  /// A change is made only if its gain exceeds its cost by this factor.
  double gain_margin = 1.5;
  /// Time constants of the fast and the slow moving average of the work. A
  /// change must pay off at the mix of each of them.
  absl::Duration fast_time_constant = absl::Seconds(3);
  absl::Duration slow_time_constant = absl::Seconds(8);
  /// Observation time before the first change: at the start, caches are empty
  /// and output lengths are not known yet.
  absl::Duration warm_up = absl::Seconds(30);
  /// Time for which the ratio of prefill to decode work is expected to stay
  /// about the same, until such periods have been observed.
  absl::Duration initial_mix_period = absl::Seconds(60);
  /// If false, the planner uses the fast average alone and makes every change
  /// towards the best role counts, whatever its gain. Used for comparisons
  /// only.
  bool hysteresis = true;
};

/// State of one engine of the group.
struct PlannedEngine {
  std::string id;
  EngineRole role = EngineRole::kMixed;
  /// False while it changes its role, drains or has departed.
  bool available = true;
  /// Number of requests that run or wait on the engine. Of several engines that
  /// could change, the one with the lowest load changes.
  double load = 0;
};

/// A role change to order.
struct RoleChange {
  std::string engine;
  EngineRole from = EngineRole::kMixed;
  EngineRole to = EngineRole::kMixed;
  double gain = 0;  ///< Expected gain in engine-seconds.
  /// Engine-seconds lost while the engine serves no requests.
  double cost = 0;
};

/// Number of engines of each role.
struct RoleCounts {
  int prefill = 0;
  int decode = 0;
  int mixed = 0;

  friend bool operator==(const RoleCounts&, const RoleCounts&) = default;
};

/// Not thread-safe.
class RolePlanner {
 public:
  /// @param clock Must outlive this object.
  RolePlanner(const Clock& clock, RolePlannerOptions options);

  /// Adds work that arrived, including refused work, in engine-seconds.
  /// @param elapsed Time over which it arrived.
  void ObserveWork(double prefill_s, double decode_s, absl::Duration elapsed);

  void SetEngines(std::vector<PlannedEngine> engines);

  /// @return The next change, or nothing. After returning a change, returns
  ///     nothing until OnChangeEnded() is called.
  std::optional<RoleChange> NextChange();

  /// Records that the last returned change was carried out, failed or was
  /// dropped.
  void OnChangeEnded();

  /// @return The number of engines of each role, within the bounds, that gives
  ///     the highest throughput for a mix.
  /// @param prefill_fraction Fraction of the work that is prefill, from 0 to 1.
  RoleCounts BestCounts(double prefill_fraction, int engines) const;

  /// @return The engine-seconds of work that engines in these roles complete
  ///     per second at this mix.
  double Throughput(const RoleCounts& counts, double prefill_fraction) const;

  /// @return The fraction of the work that is prefill, from the slow average.
  double PrefillFraction() const;

 private:
  // Moving average of the work that arrives per second, in engine-seconds.
  struct WorkAverage {
    double prefill = 0;
    double decode = 0;
  };

  static double PrefillFractionOf(const WorkAverage& average);
  std::optional<RoleChange> BestChange(const RoleCounts& current,
                                       double fraction) const;
  // Mean throughput over several mixes around `prefill_fraction`; the
  // throughput at each mix is limited to `demand`.
  double MeanThroughput(const RoleCounts& counts,
                        double prefill_fraction,
                        double demand) const;
  int BoundsViolation(const RoleCounts& counts, int engines) const;
  std::optional<RoleChange> ChangeTowardsBounds() const;
  const PlannedEngine* LeastLoaded(EngineRole role) const;
  bool WithinBounds(const RoleCounts& counts, int engines) const;
  RoleCounts CurrentCounts() const;
  double ExpectedRemainingMixPeriodSeconds() const;
  void UpdateMixPeriod();
  double RecentReversals() const;

  const Clock& clock;
  const RolePlannerOptions options;
  std::vector<PlannedEngine> engines;
  WorkAverage fast;
  WorkAverage slow;
  bool change_in_progress = false;
  // A mix period is a period in which the fraction of prefill stays about the
  // same. These members hold the fraction at the start of the current mix
  // period, the time of its start, and the average duration of past mix
  // periods. The fraction is -1 before the first observation.
  double mix_period_fraction = -1;
  absl::Time mix_period_start;
  absl::Duration observed_time;
  double mean_mix_period_s;
  std::optional<RoleChange> last_change;
  double reversals = 0;  // Decayed count as of `reversal_time`.
  absl::Time reversal_time;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ROLES_ROLE_PLANNER_H_
