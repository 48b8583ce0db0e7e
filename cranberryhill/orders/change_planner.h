#ifndef CRANBERRYHILL_ORDERS_CHANGE_PLANNER_H_
#define CRANBERRYHILL_ORDERS_CHANGE_PLANNER_H_

// Brings engines to their desired state without interrupting a request. Runs on
// the lease holder of the shard. A change of an engine takes these steps: mark
// the engine in the plan row, wait until all entry instances have seen the
// mark, wait until the engine is idle, send the orders, and remove the mark.
//
//   ChangePlanner planner(settings, lease, executor, table, clock);
//   planner.SetDesired({{"e1", "prefill", {{"m", "3", ""}}}});
//   planner.Tick();  // Call it every 100 ms to 250 ms.

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
#include "cranberryhill/lease/lease_manager.h"
#include "cranberryhill/orders/drain_plan_record.h"
#include "cranberryhill/orders/engine_order.h"
#include "cranberryhill/orders/order_executor.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct ChangePlannerSettings {
  std::string environment;
  std::string zone;
  std::string shard;
  /// Time for which an entry instance may start new work on the basis of one
  /// reading of the plan; see DrainPlanViewSettings::view_ttl.
  absl::Duration view_ttl = absl::Seconds(5);
  /// An engine must report that it was idle for this long before it is changed.
  absl::Duration min_idle_time = absl::Seconds(3);
  /// Upper bound of the time between the sending of a request and its arrival
  /// at the engine.
  absl::Duration max_request_transit = absl::Seconds(1);
  /// A finished order is repeated only when reports have contradicted it for
  /// this long.
  absl::Duration contradiction_period = absl::Seconds(5);
  /// After an engine has rejected an order, it keeps its state and no change of
  /// it starts for this long.
  absl::Duration rejection_backoff = absl::Seconds(60);
  /// Delay before a failed table call is repeated.
  absl::Duration retry_interval = absl::Milliseconds(500);
  /// Largest share of the engines of a group that may change at the same time;
  /// one engine may always change. Orders that an earlier lease holder left
  /// unfinished are resolved regardless of this limit.
  double max_changing_share = 0.1;
  /// Time after which an unanswered table call is given up.
  absl::Duration table_call_timeout = absl::Seconds(2);
};

/// The state that an engine is to be brought to.
struct DesiredEngineState {
  std::string engine;
  std::string role;  ///< Empty when any role is acceptable.
  /// Models that are not listed are unloaded.
  std::vector<LoadedModel> models;
  /// Engines of one group can replace each other, so only few of them change at
  /// the same time. Empty when the engine may change independently of all
  /// others.
  std::string group = "";
};

enum class EngineChangeStep {
  kNone,        ///< No change of this engine is in progress.
  kAnnouncing,  ///< The engine's mark is not yet written to the plan row.
  /// Waits until all entry instances acknowledge the mark or view_ttl passes.
  kAwaitingViews,
  kDraining,   ///< Waits until the engine has been idle for min_idle_time.
  kOrdering,   ///< Orders are sent to the engine.
  kRestoring,  ///< The change has ended, but the mark is still in the plan row.
};

struct ChangePlannerCounters {
  uint64_t started = 0;
  uint64_t finished = 0;
  /// Changes that ended because the engine was removed.
  uint64_t abandoned = 0;
  /// Changes that became unnecessary before an order was sent.
  uint64_t cancelled = 0;
};

/// Not thread-safe.
class ChangePlanner {
 public:
  /// @param lease,executor,table,clock Must outlive this object. The caller
  ///     calls Tick() of the lease, the executor and the planner in this order.
  ChangePlanner(ChangePlannerSettings settings,
                const LeaseManager& lease,
                OrderExecutor& executor,
                TableService& table,
                const Clock& clock);
  ~ChangePlanner();

  ChangePlanner(const ChangePlanner&) = delete;
  ChangePlanner& operator=(const ChangePlanner&) = delete;

  /// Replaces the desired states. Engines that are not listed keep their state.
  void SetDesired(std::vector<DesiredEngineState> desired);

  /// @param ids Entry instances that may route to engines of this shard,
  ///     including this one.
  /// @param complete_for_version Plan version for which `ids` is known to be
  ///     complete: the ids were read from the instance rows after that version
  ///     was committed, and an instance writes its row before it reads the
  ///     plan. The platform's instance list does not qualify because it lags:
  ///     an instance that it does not show yet may have read an older plan.
  ///     Changes announced by a later version wait for view_ttl.
  void SetEntryInstances(std::vector<std::string> ids,
                         uint64_t complete_for_version = 0);

  /// Records that an entry instance has applied the plan version: it starts no
  /// more work on the engines that this version marks.
  void OnAcknowledged(std::string_view instance, uint64_t plan_version);

  /// @param engines Engines whose membership state is kGone. Changes of these
  ///     engines are abandoned, and none is started.
  void SetRemovedEngines(std::set<std::string, std::less<>> engines);

  /// Advances all changes. Reads the clock.
  void Tick();

  /// @return The step of the change of the engine.
  EngineChangeStep StepOf(std::string_view engine) const;

  /// @return The plan row as last read, or nothing before it has been read
  ///     under the current lease.
  const std::optional<DrainPlanRecord>& plan() const;  // NOLINT

  /// @return Engines whose report contradicts their last finished order. They
  ///     are marked in the plan unless the report shows the desired state.
  std::vector<std::string> ContradictingEngines() const;

  const ChangePlannerCounters& counters() const;  // NOLINT

 private:
  struct Change;

  void ResetForLease(uint64_t new_fencing_number);
  bool TableCallPending(absl::Time now);
  void ReadPlan();
  void OnPlanRead(const ReadOutcome& outcome);
  void ApplyPlanMarks();
  void EraseRestoredChanges();
  void WritePlan();
  void OnCommit(const CommitOutcome& outcome);
  std::vector<std::string> DesiredMarks() const;
  void UpdateContradictions(absl::Time now);
  void StartChanges(absl::Time now);
  void AdvanceChange(Change& change, absl::Time now);
  void AdvanceOrdering(Change& change, absl::Time now);
  void BeginRestore(Change& change);
  void AbandonChanges();
  bool ViewsUpdated(const Change& change, absl::Time now) const;
  bool AllAcknowledged(uint64_t plan_version) const;
  bool EngineIsIdle(const Change& change) const;
  bool NeedsChange(const std::string& engine) const;
  bool GroupAllowsChange(const std::string& engine) const;
  bool ContradictionPeriodOver(const std::string& engine, absl::Time now) const;
  std::optional<EngineOrder> NextOrder(const std::string& engine) const;

  const ChangePlannerSettings settings;
  const LeaseManager& lease;
  OrderExecutor& executor;
  TableService& table;
  const Clock& clock;
  std::map<std::string, DesiredEngineState, std::less<>> desired_states;
  std::vector<std::string> entry_instances;
  uint64_t instances_complete_for_version = 0;
  std::map<std::string, uint64_t, std::less<>> acknowledged_versions;
  std::set<std::string, std::less<>> removed_engines;
  std::map<std::string, std::unique_ptr<Change>, std::less<>> changes;
  std::map<std::string, absl::Time, std::less<>> contradicting_since;
  /// For each engine that rejected an order, the time until which no change of
  /// it starts.
  std::map<std::string, absl::Time, std::less<>> rejected_until;
  uint64_t fencing_number = 0;
  std::optional<DrainPlanRecord> last_read_plan;
  uint64_t plan_row_version = kAbsentVersion;
  /// Row version that the last plan write expected, while the outcome of that
  /// write is unknown. The write may still take effect until the row has
  /// another version.
  std::optional<uint64_t> unresolved_write_version;
  uint64_t call_id = 0;  ///< Answers to calls with another id are ignored.
  bool call_active = false;
  absl::Time call_started_at;
  absl::Time next_call_at = absl::InfinitePast();
  bool read_due = true;
  ChangePlannerCounters own_counters;
  /// Callbacks hold a weak pointer to this flag and do nothing once the pointer
  /// has expired.
  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_CHANGE_PLANNER_H_
