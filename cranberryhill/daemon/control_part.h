#ifndef CRANBERRYHILL_DAEMON_CONTROL_PART_H_
#define CRANBERRYHILL_DAEMON_CONTROL_PART_H_

// The part of control that this instance holds a lease for: the engines of its
// availability zone, their models and roles.
//
//   ControlPart control(context);
//   control.SetDocument(version_in_force);
//   control.Tick();            // every 100 ms
//   control.Release();         // at a graceful shutdown

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/calls/call_cleaner.h"
#include "cranberryhill/daemon/chat_service.h"
#include "cranberryhill/daemon/engine_fleet.h"
#include "cranberryhill/daemon/metrics.h"
#include "cranberryhill/daemon/order_link.h"
#include "cranberryhill/daemon/settings.h"
#include "cranberryhill/environment/config_follower.h"
#include "cranberryhill/lease/lease_manager.h"
#include "cranberryhill/membership/membership_view.h"
#include "cranberryhill/orders/change_planner.h"
#include "cranberryhill/orders/order_executor.h"
#include "cranberryhill/roles/role_planner.h"

namespace cranberryhill {

/// The only shard of an availability zone today.
inline constexpr std::string_view kOnlyShard = "0";

struct ControlContext {
  const Settings& settings;
  const Clock& clock;
  const Clock& wall_clock;
  Random& random;
  TableService& table;
  OrderSender& orders;
  const EngineFleet& fleet;
  const MembershipView& members;
  Metrics& metrics;
};

/// Core thread only.
class ControlPart {
 public:
  /// References must outlive this object.
  explicit ControlPart(const ControlContext& context);
  ~ControlPart();

  ControlPart(const ControlPart&) = delete;
  ControlPart& operator=(const ControlPart&) = delete;

  void SetDocument(std::shared_ptr<const VersionInForce> version);

  /// Adds work that arrived in the zone for `model`.
  void ObserveWork(std::string_view model,
                   const ArrivedWork& work,
                   absl::Duration elapsed);

  void Tick();

  /// Finishes outstanding orders and gives the leases up.
  void Release();
  bool released() const;  // NOLINT

  /// @return Whether this instance holds the zone's lease now.
  bool holds_lease() const;  // NOLINT

  const LeaseManager& lease() const { return *this->zone_lease; }  // NOLINT

 private:
  struct Group;

  void TickChanges(absl::Time now);
  void UpdatePollIntervals();
  void PlanRoles();
  void PlanGroup(Group& group);
  void UpdateDesired();
  void PublishMetrics();
  Group* GroupOf(std::string_view model);

  ControlContext context;
  std::shared_ptr<const VersionInForce> document;
  std::unique_ptr<LeaseManager> zone_lease;
  std::unique_ptr<LeaseManager> calls_lease;
  std::unique_ptr<OrderExecutor> executor;
  std::unique_ptr<ChangePlanner> planner;
  std::unique_ptr<CallCleaner> cleaner;
  std::map<std::string, std::unique_ptr<Group>, std::less<>> groups;
  std::map<std::string, std::string, std::less<>> wanted_roles;  // By engine.
  absl::Time next_plan = absl::InfinitePast();
  absl::Time next_clean = absl::InfinitePast();
  absl::Time next_calm_tick = absl::InfinitePast();
  bool held_before = false;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_CONTROL_PART_H_
