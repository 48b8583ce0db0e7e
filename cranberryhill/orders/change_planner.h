#ifndef CRANBERRYHILL_ORDERS_CHANGE_PLANNER_H_
#define CRANBERRYHILL_ORDERS_CHANGE_PLANNER_H_

// Brings engines to their desired state without interrupting a request:
// announce in the plan row, wait for the entry instances' views, wait until
// the engine is idle, order, announce the end. Runs on the lease holder.
//
//   ChangePlanner planner(settings, lease, executor, table, clock);
//   planner.SetDesired({{"e1", "prefill", {{"m", "3", ""}}}});
//   planner.Tick();                                  // every 100 ms to 250 ms

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/lease/lease_keeper.h"
#include "cranberryhill/orders/engine_order.h"
#include "cranberryhill/orders/order_executor.h"
#include "cranberryhill/orders/plan_record.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct PlanSettings {
  std::string environment;
  std::string zone;
  std::string shard;
  absl::Duration view_ttl = absl::Seconds(5);
  absl::Duration idle_confirm = absl::Seconds(3);
  /// A request reaches the engine within this time of being sent.
  absl::Duration flight = absl::Seconds(1);
  /// How long a report must differ from a finished order before the target is
  /// ordered again.
  absl::Duration quiet_period = absl::Seconds(5);
  /// After a rejected order the engine serves as it is for this long.
  absl::Duration rejected_pause = absl::Seconds(60);
  absl::Duration retry_interval = absl::Milliseconds(500);
  /// Part of a group that may be changed at the same time; at least one engine
  /// may. Orders of an earlier holder are resolved regardless.
  double max_changing_share = 0.1;
  absl::Duration call_timeout = absl::Seconds(2);
};

struct DesiredEngine {
  std::string engine;
  std::string role;                 ///< Empty: any role.
  std::vector<LoadedModel> models;  ///< Others are unloaded.
  /// Engines that stand in for each other; few of them change at a time.
  /// Empty: the engine changes independently of all others.
  std::string group = "";
};

enum class ChangeStep {
  kNone,        ///< No change of this engine.
  kAnnouncing,  ///< The mark is not in the plan row yet.
  kViews,       ///< Waits for acknowledgements or view_ttl.
  kDraining,    ///< Waits until the engine is idle for idle_confirm.
  kOrdering,    ///< Orders are carried out.
  kRestoring,   ///< The mark is still in the plan row.
};

struct PlanCounters {
  uint64_t started = 0;
  uint64_t finished = 0;
  uint64_t abandoned = 0;  ///< The engine was gone.
  uint64_t cancelled = 0;  ///< The reason for the change went away.
};

/// Not thread-safe.
class ChangePlanner {
 public:
  /// @param lease,executor,table,clock Must outlive this object. The caller
  ///     ticks lease, executor and planner in this order.
  ChangePlanner(PlanSettings settings,
                const LeaseKeeper& lease,
                OrderExecutor& executor,
                TableService& table,
                const Clock& clock);
  ~ChangePlanner();

  ChangePlanner(const ChangePlanner&) = delete;
  ChangePlanner& operator=(const ChangePlanner&) = delete;

  /// Replaces the desired state. Engines that are not listed keep their state.
  void SetDesired(std::vector<DesiredEngine> desired);

  /// @param ids Entry instances that may route to engines of this shard, this
  ///     one included.
  /// @param complete_for Plan version for which the list is known to be
  ///     complete: it was read from the instance rows after that version was
  ///     committed, and instances write their row before they read the plan.
  ///     The lagging instance list is not enough: an instance that it does not
  ///     show yet may have read an older plan. Changes announced by a later
  ///     version wait for view_ttl.
  void SetEntryInstances(std::vector<std::string> ids,
                         uint64_t complete_for = 0);

  /// An entry instance has acted on the plan version: it starts no work on the
  /// engines that it marks.
  void OnAcknowledged(std::string_view instance, uint64_t plan_version);

  /// @param engines Engines that membership holds gone. Their changes are
  ///     abandoned and no change of them starts.
  void SetGone(std::set<std::string, std::less<>> engines);

  /// Takes the next steps. Reads the clock.
  void Tick();

  ChangeStep StepOf(std::string_view engine) const;

  /// @return The plan as written last, or nothing before it was read under the
  ///     current lease.
  const std::optional<PlanRecord>& plan() const;  // NOLINT

  /// @return Engines whose report contradicts their last finished order. They
  ///     are marked in the plan unless the report shows the desired state.
  std::vector<std::string> Contradicting() const;

  const PlanCounters& counters() const;  // NOLINT

 private:
  struct Change;

  void ResetForLease(uint64_t number);
  bool CallPending(absl::Time now);
  void ReadPlan();
  void OnPlan(const ReadOutcome& outcome);
  void ApplyPlan();
  void DropRestored();
  void WritePlan();
  void OnCommit(const CommitOutcome& outcome);
  std::vector<std::string> WantedMarks() const;
  void ObserveReports(absl::Time now);
  void FindChanges(absl::Time now);
  void StepChange(Change& change, absl::Time now);
  void StepOrdering(Change& change, absl::Time now);
  void Restore(Change& change);
  void Abandon();
  bool ViewsSettled(const Change& change, absl::Time now) const;
  bool Acknowledged(uint64_t plan_version) const;
  bool EngineIdle(const Change& change) const;
  bool NeedsChange(const std::string& engine) const;
  bool GroupAllows(const std::string& engine) const;
  bool QuietPeriodOver(const std::string& engine, absl::Time now) const;
  std::optional<EngineOrder> NextOrder(const std::string& engine) const;

  const PlanSettings settings;
  const LeaseKeeper& lease;
  OrderExecutor& executor;
  TableService& table;
  const Clock& clock;
  std::map<std::string, DesiredEngine, std::less<>> desired;
  std::vector<std::string> entry_instances;
  uint64_t instances_complete_for = 0;
  std::map<std::string, uint64_t, std::less<>> acknowledged;
  std::set<std::string, std::less<>> gone;
  std::map<std::string, std::unique_ptr<Change>, std::less<>> changes;
  std::map<std::string, absl::Time, std::less<>> contradicting_since;
  /// Engines that rejected an order, until when they are left alone.
  std::map<std::string, absl::Time, std::less<>> rejected_until;
  uint64_t fencing_number = 0;
  std::optional<PlanRecord> known_plan;
  uint64_t plan_row_version = kAbsentVersion;
  /// Version checked by a plan write whose outcome is open. It may take effect
  /// until the row has another version.
  std::optional<uint64_t> open_write;
  uint64_t call_number = 0;  ///< Identifies the current table call.
  bool call_active = false;
  absl::Time call_started;
  absl::Time next_call = absl::InfinitePast();
  bool read_due = true;
  PlanCounters own_counters;
  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_CHANGE_PLANNER_H_
