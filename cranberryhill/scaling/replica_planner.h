#ifndef CRANBERRYHILL_SCALING_REPLICA_PLANNER_H_
#define CRANBERRYHILL_SCALING_REPLICA_PLANNER_H_

// Decides how many replicas of a service each availability zone should have, of
// the kind that stays and of the cheaper one that may be taken away, all of a
// zone at once. Answers load that swings within seconds, while a replica takes
// some seconds to start: the number follows the highest need of a longer time,
// grows at once and shrinks in steps.
//
//   ReplicaPlanner planner(config, clock);
//   planner.Observe(observation);  // Once a second.
//   for (const ReplicaOrder& order : planner.DueOrders())
//     ...send it, then call OnAccepted(), OnUnavailable() or OnFailed()...

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/forward/configuration.h"

namespace cranberryhill::scaling {

enum class ReplicaKind {
  kOnDemand,  ///< Stays until it is ordered away.
  kSpot,      ///< May be taken away at short notice.
};

/// Numbers of replicas by kind.
struct ReplicaCounts {
  int on_demand = 0;
  int spot = 0;

  int& Of(ReplicaKind kind) {
    return kind == ReplicaKind::kSpot ? this->spot : this->on_demand;
  }
  int Of(ReplicaKind kind) const {
    return kind == ReplicaKind::kSpot ? this->spot : this->on_demand;
  }
  int Total() const { return this->on_demand + this->spot; }
  bool operator==(const ReplicaCounts&) const = default;
};

using ZoneCounts = std::map<std::string, ReplicaCounts, std::less<>>;

/// An order for so many replicas of a kind in a zone.
struct ReplicaOrder {
  std::string zone;
  ReplicaKind kind = ReplicaKind::kOnDemand;
  int count = 0;
};

/// A service as it is now.
struct ServiceObservation {
  /// Registered replicas that are not leaving.
  ZoneCounts registered;
  /// Requests that arrived since the last observation, by zone.
  std::map<std::string, double, std::less<>> arrivals;
  /// The share of `arrivals` that found no replica to serve them in time.
  double refused_share = 0;
  /// Replicas that the work of the requests would keep busy all the time.
  double busy_replicas = 0;
  /// False if `busy_replicas` is not known, for example before the speed of the
  /// replicas is.
  bool load_is_known = false;
  /// False if a large part of the instances has not told its demand, for
  /// example during a network partition: the demand is at least as high then,
  /// and no replicas are given back because of it.
  bool load_is_complete = true;
};

/// Not thread-safe.
class ReplicaPlanner {
 public:
  /// @param clock Must outlive this object.
  ReplicaPlanner(forward::ScalingConfig config, const Clock& clock);

  /// Takes over changes of the configuration.
  void SetConfig(forward::ScalingConfig config);

  void Observe(const ServiceObservation& observation);

  /// @return Orders for the counts that differ from what was last ordered and
  ///     accepted, or that have not been met for some time.
  std::vector<ReplicaOrder> DueOrders();

  void OnAccepted(const ReplicaOrder& order);

  /// The platform has no more replicas of the kind in the zone now.
  void OnUnavailable(const ReplicaOrder& order);

  /// The order has not been answered, or was refused for another reason.
  void OnFailed(const ReplicaOrder& order);

  /// @return How many replicas the demand needs; 0 until the first plan.
  int needed() const { return this->planned_total; }  // NOLINT

  /// @return The counts that are wanted, for logs and metrics.
  const ZoneCounts& wanted() const { return this->wanted_counts; }  // NOLINT

 private:
  struct Need {
    absl::Time at;
    double replicas = 0;
  };
  struct Ordered {
    int count = 0;
    absl::Time at;
    /// Differs from `count` if the platform may go by either, because an order
    /// was not answered.
    int lowest = 0;
    /// False if the last order was refused or not answered. It is sent again.
    bool in_effect = true;
  };
  using Target = std::pair<std::string, ReplicaKind>;

  bool IsAvailable(const std::string& zone, ReplicaKind kind) const;
  int NeededReplicas() const;
  void Grow(int needed);
  std::map<std::string, double> ZoneShares() const;
  bool IsSettled(const ServiceObservation& observation);
  void UpdateNeed();
  ZoneCounts Plan(int needed) const;
  /// Where replicas of a kind may be planned.
  enum class PlanZones { kAll, kAvailable };

  void Distribute(int count,
                  ReplicaKind kind,
                  PlanZones zones,
                  ZoneCounts& plan) const;
  int ObtainableReplicas(const ZoneCounts& plan) const;
  ReplicaCounts Registered(const std::string& zone) const;
  std::vector<Target> Unavailable() const;
  absl::Duration RepeatAfter() const;
  int Present(const std::string& zone, ReplicaKind kind) const;
  int Staying(const std::string& zone, ReplicaKind kind) const;
  int Requested(const std::string& zone, ReplicaKind kind) const;
  int Expected(const std::string& zone, ReplicaKind kind) const;
  ReplicaCounts NextStep(const std::string& zone,
                         const ReplicaCounts& target) const;

  forward::ScalingConfig config;
  const Clock& clock;
  ServiceObservation last;
  absl::Time load_known_since = absl::InfiniteFuture();
  std::deque<Need> needs;  // Within the time that is looked back.
  int planned_total = 0;   // Replicas that the present demand needs.
  absl::Time shrunk_at = absl::InfinitePast();
  absl::Time grown_at = absl::InfinitePast();
  absl::Time grown_for_refusals_at = absl::InfinitePast();
  int first_total = 0;  // Replicas registered when last counted before a plan.
  absl::Time first_total_since;
  std::map<std::string, double> arrivals_by_zone;  // Moving average.
  ZoneCounts wanted_counts;
  // What `wanted_counts` were planned for. They stay the same while these do,
  // because each change costs a call.
  int wanted_total = 0;
  bool must_plan = false;              // The configuration has changed.
  std::vector<Target> wanted_without;  // Was not available.
  std::map<Target, Ordered> ordered;
  std::map<Target, absl::Time> unavailable_until;
};

}  // namespace cranberryhill::scaling

#endif  // CRANBERRYHILL_SCALING_REPLICA_PLANNER_H_
