#ifndef CRANBERRYHILL_ORDERS_DRAIN_PLAN_VIEW_H_
#define CRANBERRYHILL_ORDERS_DRAIN_PLAN_VIEW_H_

// Tells an entry instance which engines of a shard it may start work on. While
// its view of the drain plan is fresh, these are all engines that are not
// marked in the plan. When the view is no longer fresh, these are the engines
// that the instance has used without a gap longer than max_use_gap since the
// view was fresh. This is safe because the lease holder changes an engine only
// after it was idle for a longer time.
//
//   DrainPlanView view(settings, clock);
//   absl::Time requested_at = clock.Now();
//   ...read the plan row...
//   view.UpdatePlan(plan, requested_at);
//   if (view.MayStart("e1")) {
//     absl::Time sent_at = clock.Now();
//     ...write the request at once...
//     view.OnUse("e1", sent_at);
//   }

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/orders/drain_plan_record.h"

namespace cranberryhill {

struct DrainPlanViewSettings {
  /// The view is fresh while its plan is younger than this.
  absl::Duration view_ttl = absl::Seconds(5);
  /// While the view is not fresh, work may be started on an engine for this
  /// long after the instance last used it; see OnUse().
  absl::Duration max_use_gap = absl::Seconds(1);
  /// Probes are sent when the view is at least this old. The value is below
  /// view_ttl, so that idle engines remain usable when the view expires.
  absl::Duration probe_min_view_age = absl::Milliseconds(3500);
  /// Time between probes of an engine. The value is below max_use_gap, so that
  /// the answer to the next probe arrives before the engine becomes unusable.
  absl::Duration probe_interval = absl::Milliseconds(500);
  /// Streams on a marked engine are resumed on another engine after this time.
  absl::Duration max_drain_time = absl::Seconds(30);
};

/// View of the drain plan of one shard. Not thread-safe.
class DrainPlanView {
 public:
  /// @param clock Must outlive this object.
  DrainPlanView(DrainPlanViewSettings settings, const Clock& clock);

  /// Replaces the plan unless it is older than the current one.
  /// @param plan The content of the plan row; plan version 0 when it is absent.
  /// @param as_of Time on this instance's clock at which the plan was known to
  ///     be current. After a read of the row: the time before the read was
  ///     sent. For a plan from a peer: the time of receipt minus the age that
  ///     the peer reported minus the round-trip time of a ping.
  void UpdatePlan(const DrainPlanRecord& plan, absl::Time as_of);

  /// @return True while the view is younger than view_ttl.
  bool IsFresh() const;

  /// @return The age of the view; infinite before the first update.
  absl::Duration Age() const;

  /// @return The plan version to acknowledge to the lease holder and to pass on
  ///     to peers.
  uint64_t plan_version() const;  // NOLINT

  const DrainPlanRecord& plan() const;  // NOLINT

  /// @return True when a request or a probe may be written to the engine now.
  ///     Call it immediately before the write.
  bool MayStart(std::string_view engine) const;

  /// Records that the engine answered a request or a probe of this instance or
  /// sent a token to it.
  /// @param used_at For an answered request or probe: the time before it
  ///     was sent. For a token of a running stream: the time of receipt. The
  ///     age of a token on receipt must not exceed 0.9 s. This is min_idle_time
  ///     (3 s) minus max_use_gap (1 s), the transit time of a request (1 s) and
  ///     an allowance for different clock rates.
  void OnUse(std::string_view engine, absl::Time used_at);

  /// @param engines Engines that this instance routes to.
  /// @return Engines to send a probe to now. An engine that is returned is not
  ///     returned again before probe_interval has passed.
  std::vector<std::string> ProbesDue(const std::vector<std::string>& engines);

  /// @return True when the streams on the engine should be resumed on other
  ///     engines.
  bool DrainOverdue(std::string_view engine) const;

 private:
  /// Use of an engine by this instance.
  struct Use {
    absl::Time last_use_at = absl::InfinitePast();
    absl::Time last_probe_at = absl::InfinitePast();
    /// The engine was unused for longer than max_use_gap while the view was not
    /// fresh.
    bool gap_exceeded = false;
  };

  bool IsFreshAt(absl::Time time) const;

  const DrainPlanViewSettings settings;
  const Clock& clock;
  bool has_plan = false;
  DrainPlanRecord current_plan;
  absl::Time as_of = absl::InfinitePast();
  std::map<std::string, absl::Time, std::less<>> marked_since;
  std::map<std::string, Use, std::less<>> use_by_engine;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_DRAIN_PLAN_VIEW_H_
