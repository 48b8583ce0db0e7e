#ifndef CRANBERRYHILL_ORDERS_ORDER_EXECUTOR_H_
#define CRANBERRYHILL_ORDERS_ORDER_EXECUTOR_H_

// Carries out orders to engines while this instance holds the lease, at most
// one per engine at a time: write the intent to the order row, send the order,
// write the outcome to the order row. After a takeover it finishes the intents
// that the previous lease holder left. Without the caller's permission it sends
// an engine nothing but `observe` orders, because only the caller knows that no
// request would be interrupted.
//
//   OrderExecutor executor(settings, lease, table, sender, clock);
//   executor.SetEngines({{"e1", /*checks_fencing=*/true}});
//   executor.Tick();  // Call it every 100 ms to 250 ms.
//   if (executor.StateOf("e1") == EngineOrderState::kSettled)
//     executor.Start(order);

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/lease/lease_manager.h"
#include "cranberryhill/orders/engine_order.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct OrderExecutorSettings {
  std::string environment;
  std::string zone;
  /// An order is written only if the lease remains valid for at least this
  /// long. After a takeover, the wait for orders of the previous holder
  /// includes this time.
  absl::Duration write_margin = absl::Seconds(1);
  /// Upper bound of the time between the write of an order and its arrival at
  /// the engine. Equals the TCP user timeout of the connection.
  absl::Duration max_order_transit = absl::Seconds(2);
  /// Time between report requests to an engine that is being taken over or has
  /// an outstanding order. Also the minimum time between the two matching
  /// reports that are required after a takeover.
  absl::Duration report_interval = absl::Seconds(1);
  /// Minimum time between two reports of an engine without an outstanding
  /// order. It limits the report traffic of a lease holder that manages
  /// hundreds of engines.
  absl::Duration settled_report_interval = absl::Seconds(5);
  /// Total rate of the report requests to engines without an outstanding order.
  double max_settled_reports_per_s = 4;
  /// An order is sent again after this time while its target state is not
  /// reached.
  absl::Duration resend_interval = absl::Seconds(10);
  /// Delay before a failed table call or `observe` order is repeated.
  absl::Duration retry_interval = absl::Milliseconds(500);
  /// Time after which an unanswered table call or report is given up.
  absl::Duration call_timeout = absl::Seconds(2);
};

/// An engine that the executor sends orders to.
struct ManagedEngine {
  std::string engine;
  /// The engine refuses orders with an outdated fencing number.
  bool checks_fencing = false;
};

enum class EngineOrderState {
  /// The lease is not held, or the takeover of the engine is not complete.
  kUnknown,
  kSettled,  ///< No order is outstanding.
  /// An order of an earlier lease holder is outstanding and is sent again only
  /// after PermitResend().
  kUnresolved,
  kActive,  ///< An order is in progress.
};

/// A report and the time at which it was requested.
struct TimestampedReport {
  EngineReport report;
  absl::Time requested_at;
};

struct OrderExecutorCounters {
  uint64_t sent = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  /// Unfinished orders of earlier lease holders that this instance took over.
  uint64_t adopted = 0;
  /// Orders that were not written because the lease was lost or would have
  /// ended too soon.
  uint64_t blocked_by_lease_check = 0;
  /// Orders that were written but not answered.
  uint64_t answers_lost = 0;
};

/// Not thread-safe.
class OrderExecutor {
 public:
  /// @param lease,table,sender,clock Must outlive this object.
  OrderExecutor(OrderExecutorSettings settings,
                const LeaseManager& lease,
                TableService& table,
                OrderSender& sender,
                const Clock& clock);
  ~OrderExecutor();

  OrderExecutor(const OrderExecutor&) = delete;
  OrderExecutor& operator=(const OrderExecutor&) = delete;

  /// Replaces the set of engines of the shard.
  void SetEngines(const std::vector<ManagedEngine>& engines);

  /// @return The ids of the managed engines, sorted.
  std::vector<std::string> Engines() const;

  /// Starts the table calls, report requests and orders that are due. Reads the
  /// clock.
  void Tick();

  /// @return The state of the order to the engine.
  EngineOrderState StateOf(std::string_view engine) const;

  /// @return The newest report since this instance took over the lease, or
  ///     null.
  const TimestampedReport* ReportOf(std::string_view engine) const;

  /// @return The content of the engine's order row as last read, or null.
  const OrderRecord* LastOrder(std::string_view engine) const;

  /// Starts an order and sets its fencing and order numbers.
  /// @return False unless the engine is kSettled and Stop() was not called.
  bool Start(EngineOrder order);

  /// Requests reports every report_interval for the next two intervals, even if
  /// the engine is settled. Call it repeatedly while waiting for a change.
  void RequestFrequentReports(std::string_view engine);

  /// Allows the outstanding order of the engine to be sent again, until the
  /// engine is settled or the lease is lost.
  void PermitResend(std::string_view engine);

  /// Withdraws the permission that Start() or PermitResend() gave. An order
  /// whose intent is not written yet is dropped; one whose intent is written
  /// becomes kUnresolved.
  void RevokePermission(std::string_view engine);

  /// Makes Start() refuse further orders; outstanding ones are finished. A
  /// graceful shutdown calls Stop(), keeps calling Tick() of the executor but
  /// not of the planner until Idle() or its own deadline, and then calls
  /// LeaseManager::Release().
  void Stop();

  /// @return True when no engine is in the state kActive.
  bool Idle() const;

  const OrderExecutorCounters& counters() const;  // NOLINT
  const OrderExecutorSettings& settings() const;  // NOLINT

 private:
  struct Engine;

  void AdvanceEngine(Engine& engine, absl::Time now);
  void AdvanceTakeover(Engine& engine, absl::Time now);
  void AdvanceIntent(Engine& engine, absl::Time now);
  bool ReportsAgree(Engine& engine) const;
  absl::Duration EarlierOrderWait() const;
  bool TargetConfirmed(const Engine& engine, absl::Time now) const;
  void ReadRow(Engine& engine);
  void OnRowRead(Engine& engine, const ReadOutcome& outcome);
  void WriteRow(Engine& engine, const OrderRecord& record, bool check_lease);
  void OnCommit(Engine& engine, const CommitOutcome& outcome);
  absl::Duration ReportInterval(const Engine& engine, absl::Time now) const;
  void RequestReport(Engine& engine, absl::Time now);
  void SendObserve(Engine& engine);
  void SendOrder(Engine& engine, absl::Time now);
  void Send(Engine& engine, const EngineOrder& order);
  void OnSendResult(Engine& engine, OrderSendResult result);
  void OnObserveResult(Engine& engine, OrderSendResult result);
  bool MayWrite(const std::string& name,
                uint64_t call_id,
                uint64_t order_fencing_number);
  void ResetEngine(Engine& engine, absl::Time now);
  Engine* Find(std::string_view name) const;

  const OrderExecutorSettings own_settings;
  const LeaseManager& lease;
  TableService& table;
  OrderSender& sender;
  const Clock& clock;
  std::map<std::string, std::unique_ptr<Engine>, std::less<>> engines;
  /// Identifies the lease under which the state of all engines was collected.
  uint64_t fencing_number = 0;
  /// Last id given to a table call, report request or order.
  uint64_t last_call_id = 0;
  bool stopping = false;
  OrderExecutorCounters own_counters;
  /// Callbacks hold a weak pointer to this flag and do nothing once the pointer
  /// has expired.
  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_ORDER_EXECUTOR_H_
