#ifndef CRANBERRYHILL_ROLES_ROLE_PLANNER_H_
#define CRANBERRYHILL_ROLES_ROLE_PLANNER_H_

// Decides the roles of one group (the engines of one model in one zone) from
// the observed mix of work. Used by the holder of the zone's lease.
//
//   RolePlanner planner(clock, options);
//   planner.ObserveWork(12.5, 30.0, absl::Seconds(1));  // each second
//   planner.SetEngines(engines);
//   if (auto change = planner.Plan()) ...announce, drain, order...
//   planner.OnChangeEnded();                            // done or failed

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/engine_role.h"

namespace cranberryhill {

/// Bounds of one role as shares of the group's engines, from 0 to 1.
struct ShareBounds {
  double min_share = 0;
  double max_share = 1;
};

/// Bounds and behaviour of a RolePlanner.
struct RolePlannerOptions {
  ShareBounds prefill;
  ShareBounds decode;
  ShareBounds mixed;
  /// Time without service for one change: drain, order and load.
  absl::Duration absence = absl::Seconds(12);
  /// Part of a mixed engine's time lost by interference of prefill and decode.
  double mixed_loss = 0.3;
  /// The gain has to exceed the cost by this factor.
  double gain_margin = 1.5;
  /// Time constants of the two mix estimates. A change needs both to agree.
  absl::Duration fast_average = absl::Seconds(3);
  absl::Duration slow_average = absl::Seconds(8);
  /// Time of observation before the first change: caches are cold at first and
  /// output lengths unknown.
  absl::Duration warm_up = absl::Seconds(30);
  /// Expected duration of a mix before anything was learned.
  absl::Duration initial_duration = absl::Seconds(60);
  /// False: every plan follows the momentary mix (for comparison only).
  bool hysteresis = true;
};

/// One engine of the group.
struct PlannedEngine {
  std::string id;
  EngineRole role = EngineRole::kMixed;
  bool available = true;  ///< False while it changes, drains or is gone.
  double load = 0;        ///< Waiting work; the least loaded changes first.
};

/// An order to give.
struct RoleChange {
  std::string engine;
  EngineRole from = EngineRole::kMixed;
  EngineRole to = EngineRole::kMixed;
  double gain = 0;  ///< Expected engine-seconds gained.
  double cost = 0;  ///< Engine-seconds of absence.
};

/// Engines per role.
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

  /// Adds work that arrived (refused work included), in seconds of one engine.
  /// @param elapsed Time over which it arrived.
  void ObserveWork(double prefill_s, double decode_s, absl::Duration elapsed);

  void SetEngines(std::vector<PlannedEngine> engines);

  /// @return The next change, or nothing. After a change is returned, nothing
  ///     more is returned until OnChangeEnded().
  std::optional<RoleChange> Plan();

  /// The change returned last was carried out, failed or was dropped.
  void OnChangeEnded();

  /// @return Engines per role that suit a mix best within the bounds.
  /// @param prefill_fraction Part of the work that is prefill, 0 to 1.
  RoleCounts BestCounts(double prefill_fraction, int engines) const;

  /// @return Work per second that the counts can do at this mix, in engines.
  double Throughput(const RoleCounts& counts, double prefill_fraction) const;

  /// @return Share of prefill in the work, long-term estimate.
  double PrefillFraction() const;

 private:
  struct Average {
    double prefill = 0;
    double decode = 0;
  };

  static double FractionOf(const Average& average);
  std::optional<RoleChange> Best(const RoleCounts& now, double fraction) const;
  // Mean throughput over the mixes around `prefill_fraction`, each at most
  // `demand`.
  double Rating(const RoleCounts& counts,
                double prefill_fraction,
                double demand) const;
  int Violation(const RoleCounts& counts, int engines) const;
  std::optional<RoleChange> TowardsBounds() const;
  const PlannedEngine* LeastLoaded(EngineRole role) const;
  bool WithinBounds(const RoleCounts& counts, int engines) const;
  RoleCounts Counts() const;
  double ExpectedDuration() const;
  void TrackMix();
  double RecentReversals() const;

  const Clock& clock;
  const RolePlannerOptions options;
  std::vector<PlannedEngine> engines;
  Average fast;
  Average slow;
  bool change_open = false;
  // Mix regime: fraction at its start, its start and the learned duration.
  double regime_fraction = -1;
  absl::Time regime_start;
  absl::Duration observed;
  double mean_duration_s;
  std::optional<RoleChange> last_change;
  double reversals = 0;  // Decayed count at reversal_time.
  absl::Time reversal_time;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ROLES_ROLE_PLANNER_H_
