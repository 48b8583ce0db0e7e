#ifndef CRANBERRYHILL_ORDERS_ORDER_EXECUTOR_H_
#define CRANBERRYHILL_ORDERS_ORDER_EXECUTOR_H_

// Carries out one order per engine under the lease: intent row, send, outcome
// row. After a takeover it resolves the intents that the previous holder left.
// It sends nothing but `observe` to an engine without permission, because only
// the caller knows that no request would be interrupted.
//
//   OrderExecutor executor(settings, lease, table, sender, clock);
//   executor.SetEngines({{"e1", /*checks_fencing=*/true}});
//   executor.Tick();                                 // every 100 ms to 250 ms
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
#include "cranberryhill/lease/lease_keeper.h"
#include "cranberryhill/orders/engine_order.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct OrderSettings {
  std::string environment;
  std::string zone;
  /// Kept free before the end of the lease, and waited by a successor.
  absl::Duration flight = absl::Seconds(1);
  /// How long a written order may arrive later: the TCP user timeout.
  absl::Duration max_in_flight = absl::Seconds(2);
  /// Distance of the two reports that must agree after a takeover.
  absl::Duration report_interval = absl::Seconds(1);
  /// Distance of reports of engines without an order; bounds the traffic of a
  /// holder that has hundreds of engines.
  absl::Duration settled_report_interval = absl::Seconds(5);
  double max_settled_reports_per_s = 4;
  /// An order whose target is not reached is sent again after this time.
  absl::Duration resend_interval = absl::Seconds(10);
  /// Delay before a table call or an observe order is tried again.
  absl::Duration retry_interval = absl::Milliseconds(500);
  /// A table call or a report without an answer for this long is given up.
  absl::Duration call_timeout = absl::Seconds(2);
};

struct ManagedEngine {
  std::string engine;
  bool checks_fencing = false;
};

enum class EngineOrderState {
  kUnknown,     ///< No lease, or not taken over yet.
  kSettled,     ///< No outstanding order.
  kUnresolved,  ///< An inherited order needs Permit() to be sent again.
  kActive,      ///< An order is being carried out.
};

/// A report with the time before it was asked for.
struct TimedReport {
  EngineReport report;
  absl::Time asked;
};

struct OrderCounters {
  uint64_t sent = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t adopted = 0;          ///< Intents of earlier holders taken over.
  uint64_t refused_at_send = 0;  ///< The clock check before the write failed.
  uint64_t answers_lost = 0;
};

/// Not thread-safe.
class OrderExecutor {
 public:
  /// @param lease,table,sender,clock Must outlive this object.
  OrderExecutor(OrderSettings settings,
                const LeaseKeeper& lease,
                TableService& table,
                OrderSender& sender,
                const Clock& clock);
  ~OrderExecutor();

  OrderExecutor(const OrderExecutor&) = delete;
  OrderExecutor& operator=(const OrderExecutor&) = delete;

  /// Replaces the list of engines of the shard.
  void SetEngines(const std::vector<ManagedEngine>& engines);

  /// @return The ids of the managed engines, in order.
  std::vector<std::string> Engines() const;

  /// Starts the calls that are due. Reads the clock.
  void Tick();

  EngineOrderState StateOf(std::string_view engine) const;

  /// @return The newest report since the lease was taken over, or null.
  const TimedReport* ReportOf(std::string_view engine) const;

  /// @return The last order row that was read or written, or null.
  const OrderRecord* LastOrder(std::string_view engine) const;

  /// Starts an order; its fencing and order numbers are filled in.
  /// @return False unless the engine is kSettled and no stop was asked for.
  bool Start(EngineOrder order);

  /// Asks for reports at report_interval for a while, also while the engine is
  /// settled. To be called repeatedly by whoever waits for a change.
  void Watch(std::string_view engine);

  /// Lets the outstanding order of the engine be sent again, until it is
  /// settled or the lease is lost.
  void Permit(std::string_view engine);

  /// Takes back the permission of Start() or Permit(). An order whose intent
  /// was not written yet is dropped; a written one becomes kUnresolved.
  void Revoke(std::string_view engine);

  /// Accepts no further orders; outstanding ones are finished. A graceful
  /// shutdown calls Stop(), ticks the executor but not the planner until
  /// Idle() or its own deadline, and then calls LeaseKeeper::Release().
  void Stop();

  /// @return True when no order is kActive.
  bool Idle() const;

  const OrderCounters& counters() const;  // NOLINT
  const OrderSettings& settings() const;  // NOLINT

 private:
  struct Engine;

  void StepEngine(Engine& engine, absl::Time now);
  void StepTakeover(Engine& engine, absl::Time now);
  void StepIntent(Engine& engine, absl::Time now);
  bool ReportsAgree(Engine& engine) const;
  absl::Duration QuietTime() const;
  bool MaySettle(const Engine& engine, absl::Time now) const;
  void ReadRow(Engine& engine);
  void OnRow(Engine& engine, const ReadOutcome& outcome);
  void WriteRow(Engine& engine, const OrderRecord& record, bool check_lease);
  void OnCommit(Engine& engine, const CommitOutcome& outcome);
  absl::Duration ReportInterval(const Engine& engine, absl::Time now) const;
  void AskReport(Engine& engine, absl::Time now);
  void SendObserve(Engine& engine);
  void SendOrder(Engine& engine, absl::Time now);
  void Send(Engine& engine, const EngineOrder& order);
  void OnSent(Engine& engine, OrderSendState state);
  void OnObserved(Engine& engine, OrderSendState state);
  bool MayWrite(const std::string& name, uint64_t token, uint64_t fencing);
  void ResetEngine(Engine& engine, absl::Time now);
  Engine* Find(std::string_view name) const;

  const OrderSettings own_settings;
  const LeaseKeeper& lease;
  TableService& table;
  OrderSender& sender;
  const Clock& clock;
  std::map<std::string, std::unique_ptr<Engine>, std::less<>> engines;
  uint64_t fencing_number = 0;  ///< Of the lease the state belongs to.
  uint64_t last_token = 0;      ///< Identifies calls of all engines.
  bool stopping = false;
  OrderCounters own_counters;
  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_ORDER_EXECUTOR_H_
