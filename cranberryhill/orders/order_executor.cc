#include "cranberryhill/orders/order_executor.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

// Factor that extends a wait, so that the wait is long enough by the clock of
// any instance. By assumption A1 of the design, the clock rates of two
// instances differ by less than 1%.
constexpr double kClockRateFactor = 1.01;

enum class TakeoverPhase {
  kReadingRow,  ///< The order row has not been read under the current lease.
  /// Sends `observe` with the new fencing number, so that the engine refuses
  /// orders of earlier lease holders. Only for engines that check numbers.
  kFencingEngine,
  /// Waits until no order of an earlier lease holder can arrive any more.
  kWaitingForEarlierOrders,
  kConfirmingReports,  ///< Waits for two reports with the same role and models.
  kReady,              ///< Orders may be started.
};

bool SameRoleAndModels(const EngineReport& left, const EngineReport& right) {
  return left.role == right.role &&
         std::is_permutation(left.models.begin(), left.models.end(),
                             right.models.begin(), right.models.end());
}

}  // namespace

struct OrderExecutor::Engine {
  ManagedEngine info;
  TakeoverPhase phase = TakeoverPhase::kReadingRow;
  absl::Time taken_over_at;
  absl::Time next_action_at = absl::InfinitePast();

  uint64_t table_call_id = 0;  ///< Id of the table call in progress, or 0.
  absl::Time table_call_started_at;
  bool row_outdated = false;  ///< The row must be read before the next step.
  uint64_t row_version = kAbsentVersion;
  std::optional<OrderRecord> record;  ///< Content of the order row.

  uint64_t report_call_id = 0;  ///< Id of the report request in progress, or 0.
  absl::Time report_requested_at = absl::InfinitePast();
  std::optional<TimestampedReport> report;
  /// The earliest of the latest consecutive reports that show the same role and
  /// models. Used to confirm the engine's state after a takeover.
  std::optional<TimestampedReport> first_matching_report;

  /// Id of the order or `observe` being sent, or 0.
  uint64_t send_call_id = 0;
  /// True when this lease holder has sent the outstanding order.
  bool sent_by_this_holder = false;
  absl::Time next_send_at = absl::InfinitePast();
  /// Reports requested before this time are ignored, because they may show the
  /// state before the last order or takeover.
  absl::Time reports_valid_from = absl::InfinitePast();
  /// Until this time, a copy of an order that was sent earlier may still arrive
  /// at the engine.
  absl::Time late_orders_until = absl::InfinitePast();
  /// Until this time, reports are requested every report_interval.
  absl::Time frequent_reports_until = absl::InfinitePast();

  /// Order whose intent is not yet written to the order row.
  std::optional<EngineOrder> pending_order;
  bool send_permitted = false;
  /// Final state to write to the order row. Kept until it is written, so that
  /// an order whose outcome may already be recorded is never sent again.
  std::optional<OrderRowState> final_row_state;

  bool HasIntent() const {
    return this->record && this->record->state == OrderRowState::kIntent;
  }
};

OrderExecutor::OrderExecutor(OrderExecutorSettings settings,
                             const LeaseManager& lease,
                             TableService& table,
                             OrderSender& sender,
                             const Clock& clock)
    : own_settings(std::move(settings)),
      lease(lease),
      table(table),
      sender(sender),
      clock(clock),
      alive(std::make_shared<bool>(true)) {}

OrderExecutor::~OrderExecutor() = default;

const OrderExecutorCounters& OrderExecutor::counters() const {
  return this->own_counters;
}

const OrderExecutorSettings& OrderExecutor::settings() const {
  return this->own_settings;
}

OrderExecutor::Engine* OrderExecutor::Find(std::string_view name) const {
  auto found = this->engines.find(name);
  return found == this->engines.end() ? nullptr : found->second.get();
}

void OrderExecutor::SetEngines(const std::vector<ManagedEngine>& engines) {
  std::map<std::string, std::unique_ptr<Engine>, std::less<>> updated_engines;
  for (const ManagedEngine& info : engines) {
    auto existing = this->engines.find(info.engine);
    if (existing != this->engines.end() &&
        existing->second->info.checks_fencing == info.checks_fencing) {
      updated_engines[info.engine] = std::move(existing->second);
      continue;
    }
    auto added = std::make_unique<Engine>();
    added->info = info;
    absl::Time now = this->clock.Now();
    this->ResetEngine(*added, now);
    // An order that was sent before the engine was removed from the list may
    // still arrive.
    added->late_orders_until = now + this->EarlierOrderWait();
    updated_engines[info.engine] = std::move(added);
  }
  this->engines = std::move(updated_engines);
}

absl::Duration OrderExecutor::EarlierOrderWait() const {
  return (this->own_settings.write_margin +
          this->own_settings.max_order_transit) *
         kClockRateFactor;
}

std::vector<std::string> OrderExecutor::Engines() const {
  std::vector<std::string> names;
  for (const auto& [name, engine] : this->engines)
    names.push_back(name);
  return names;
}

void OrderExecutor::ResetEngine(Engine& engine, absl::Time now) {
  ManagedEngine info = engine.info;
  engine = Engine();
  engine.info = std::move(info);
  engine.taken_over_at = now;
}

void OrderExecutor::Tick() {
  std::optional<LeaseGrant> grant = this->lease.Grant();
  if (!grant)
    return;
  absl::Time now = this->clock.Now();
  if (grant->fencing_number != this->fencing_number) {
    this->fencing_number = grant->fencing_number;
    for (auto& [name, engine] : this->engines)
      this->ResetEngine(*engine, now);
  }
  for (auto& [name, engine] : this->engines)
    this->AdvanceEngine(*engine, now);
}

void OrderExecutor::AdvanceEngine(Engine& engine, absl::Time now) {
  if (engine.report_call_id != 0 &&
      now - engine.report_requested_at > this->own_settings.call_timeout) {
    engine.report_call_id = 0;
  }
  if (engine.report_call_id == 0 &&
      now - engine.report_requested_at >= this->ReportInterval(engine, now)) {
    this->RequestReport(engine, now);
  }
  if (engine.table_call_id != 0) {
    if (now - engine.table_call_started_at <= this->own_settings.call_timeout)
      return;
    engine.table_call_id = 0;
    engine.row_outdated = true;
  }
  if (now < engine.next_action_at || engine.send_call_id != 0)
    return;
  if (engine.phase == TakeoverPhase::kReadingRow || engine.row_outdated) {
    this->ReadRow(engine);
  } else if (engine.phase != TakeoverPhase::kReady) {
    this->AdvanceTakeover(engine, now);
  } else if (engine.HasIntent()) {
    this->AdvanceIntent(engine, now);
  } else if (engine.pending_order) {
    this->WriteRow(engine, {*engine.pending_order, OrderRowState::kIntent},
                   true);
  }
}

void OrderExecutor::AdvanceTakeover(Engine& engine, absl::Time now) {
  if (engine.phase == TakeoverPhase::kFencingEngine) {
    this->SendObserve(engine);
    return;
  }
  if (engine.phase == TakeoverPhase::kWaitingForEarlierOrders &&
      now >= engine.taken_over_at + this->EarlierOrderWait()) {
    engine.reports_valid_from = now;
    engine.phase = TakeoverPhase::kConfirmingReports;
  }
  if (engine.phase == TakeoverPhase::kConfirmingReports &&
      this->ReportsAgree(engine))
    engine.phase = TakeoverPhase::kReady;
}

bool OrderExecutor::ReportsAgree(Engine& engine) const {
  if (!engine.report || engine.report->requested_at < engine.reports_valid_from)
    return false;
  if (!engine.first_matching_report ||
      !SameRoleAndModels(engine.first_matching_report->report,
                         engine.report->report)) {
    engine.first_matching_report = engine.report;
    return false;
  }
  return engine.report->requested_at -
             engine.first_matching_report->requested_at >=
         this->own_settings.report_interval;
}

void OrderExecutor::AdvanceIntent(Engine& engine, absl::Time now) {
  const EngineOrder& order = engine.record->order;
  if (order.fencing_number != this->fencing_number) {
    // Adopts the order by writing it under this lease holder's fencing number.
    // The new row version also makes a late outcome write of the earlier holder
    // fail its check.
    OrderRecord adopted = *engine.record;
    adopted.order.fencing_number = this->fencing_number;
    this->WriteRow(engine, adopted, true);
    return;
  }
  if (!engine.final_row_state && this->TargetConfirmed(engine, now))
    engine.final_row_state = OrderRowState::kDone;
  if (engine.final_row_state) {
    if (now >= engine.late_orders_until)
      this->WriteRow(engine, {order, *engine.final_row_state}, false);
  } else if (engine.send_permitted && now >= engine.next_send_at) {
    this->SendOrder(engine, now);
  }
}

bool OrderExecutor::TargetConfirmed(const Engine& engine,
                                    absl::Time now) const {
  // An engine that ignores fencing numbers may still receive a late copy of an
  // order of an earlier lease holder. That order is therefore sent again first,
  // so that a late copy has the same target as the last order sent.
  bool resend_unnecessary =
      engine.info.checks_fencing || engine.sent_by_this_holder;
  return resend_unnecessary && now >= engine.late_orders_until &&
         engine.report &&
         engine.report->requested_at >= engine.reports_valid_from &&
         TargetReached(engine.record->order, engine.report->report);
}

void OrderExecutor::ReadRow(Engine& engine) {
  uint64_t call_id = ++this->last_call_id;
  engine.table_call_id = call_id;
  engine.table_call_started_at = this->clock.Now();
  this->table.Read({OrderRowKey(this->own_settings.environment,
                                this->own_settings.zone, engine.info.engine)},
                   [this, name = engine.info.engine, call_id,
                    weak_alive = std::weak_ptr<bool>(this->alive)](
                       const ReadOutcome& outcome) {
                     Engine* found =
                         weak_alive.expired() ? nullptr : this->Find(name);
                     if (found == nullptr || found->table_call_id != call_id)
                       return;
                     found->table_call_id = 0;
                     this->OnRowRead(*found, outcome);
                   });
}

void OrderExecutor::OnRowRead(Engine& engine, const ReadOutcome& outcome) {
  if (!outcome.ok()) {
    engine.next_action_at =
        this->clock.Now() + this->own_settings.retry_interval;
    return;
  }
  engine.record.reset();
  engine.row_version = kAbsentVersion;
  if (!outcome.value().empty()) {
    const Row& row = outcome.value().front();
    Outcome<OrderRecord> record = ParseOrderRecord(row.value);
    if (!record.ok()) {
      LogLine("order row {} is unreadable: {}", row.key,
              record.error().ToString());
      engine.next_action_at =
          this->clock.Now() + this->own_settings.resend_interval;
      return;
    }
    engine.record = record.value();
    engine.row_version = row.version;
  }
  engine.row_outdated = false;
  if (engine.phase == TakeoverPhase::kReadingRow) {
    if (engine.info.checks_fencing) {
      engine.phase = TakeoverPhase::kFencingEngine;
    } else {
      engine.phase = engine.HasIntent()
                         ? TakeoverPhase::kWaitingForEarlierOrders
                         : TakeoverPhase::kReady;
    }
  }
  if (engine.HasIntent()) {
    engine.pending_order.reset();
    return;
  }
  if (engine.final_row_state) {
    if (*engine.final_row_state == OrderRowState::kDone) {
      ++this->own_counters.done;
    } else {
      ++this->own_counters.failed;
    }
  }
  engine.final_row_state.reset();
  engine.sent_by_this_holder = false;
  engine.next_send_at = absl::InfinitePast();
  engine.send_permitted = engine.pending_order.has_value();
}

void OrderExecutor::WriteRow(Engine& engine,
                             const OrderRecord& record,
                             bool check_lease) {
  std::optional<LeaseGrant> grant = this->lease.Grant();
  if (!grant)
    return;
  std::string key = OrderRowKey(this->own_settings.environment,
                                this->own_settings.zone, engine.info.engine);
  Transaction transaction;
  if (check_lease) {
    transaction.checks.push_back(
        {this->lease.settings().key, grant->row_version});
  }
  transaction.checks.push_back({key, engine.row_version});
  transaction.puts.push_back({key, FormatOrderRecord(record)});
  if (engine.HasIntent() && record.state == OrderRowState::kIntent)
    ++this->own_counters.adopted;
  uint64_t call_id = ++this->last_call_id;
  engine.table_call_id = call_id;
  engine.table_call_started_at = this->clock.Now();
  this->table.Commit(
      std::move(transaction), [this, name = engine.info.engine, call_id,
                               weak_alive = std::weak_ptr<bool>(this->alive)](
                                  const CommitOutcome& outcome) {
        Engine* found = weak_alive.expired() ? nullptr : this->Find(name);
        if (found == nullptr || found->table_call_id != call_id)
          return;
        found->table_call_id = 0;
        this->OnCommit(*found, outcome);
      });
}

void OrderExecutor::OnCommit(Engine& engine, const CommitOutcome& outcome) {
  // Reading the row gives its new version and, after a lost answer, shows
  // whether the write took effect.
  engine.row_outdated = true;
  if (outcome.state == CommitState::kCommitted) {
    this->ReadRow(engine);
  } else {
    engine.next_action_at =
        this->clock.Now() + this->own_settings.retry_interval;
  }
}

absl::Duration OrderExecutor::ReportInterval(const Engine& engine,
                                             absl::Time now) const {
  bool poll_infrequently = engine.phase == TakeoverPhase::kReady &&
                           engine.report && !engine.HasIntent() &&
                           !engine.pending_order &&
                           now >= engine.frequent_reports_until;
  if (!poll_infrequently)
    return this->own_settings.report_interval;
  return std::max(this->own_settings.settled_report_interval,
                  absl::Seconds(static_cast<double>(this->engines.size()) /
                                this->own_settings.max_settled_reports_per_s));
}

void OrderExecutor::RequestReport(Engine& engine, absl::Time now) {
  uint64_t call_id = ++this->last_call_id;
  engine.report_call_id = call_id;
  engine.report_requested_at = now;
  this->sender.ReadReport(
      engine.info.engine, [this, name = engine.info.engine, call_id, now,
                           weak_alive = std::weak_ptr<bool>(this->alive)](
                              const std::optional<EngineReport>& report) {
        Engine* found = weak_alive.expired() ? nullptr : this->Find(name);
        if (found == nullptr || found->report_call_id != call_id)
          return;
        found->report_call_id = 0;
        if (report)
          found->report = TimestampedReport{*report, now};
      });
}

void OrderExecutor::Send(Engine& engine, const EngineOrder& order) {
  uint64_t call_id = ++this->last_call_id;
  engine.send_call_id = call_id;
  std::string name = engine.info.engine;
  std::weak_ptr<bool> weak_alive = this->alive;
  this->sender.Send(
      order,
      [this, name, call_id, weak_alive,
       order_fencing_number = order.fencing_number] {
        return !weak_alive.expired() &&
               this->MayWrite(name, call_id, order_fencing_number);
      },
      [this, name, call_id, weak_alive,
       observe = order.kind == OrderKind::kObserve](OrderSendResult result) {
        Engine* found = weak_alive.expired() ? nullptr : this->Find(name);
        if (found == nullptr || found->send_call_id != call_id)
          return;
        found->send_call_id = 0;
        if (observe) {
          this->OnObserveResult(*found, result);
        } else {
          this->OnSendResult(*found, result);
        }
      });
}

bool OrderExecutor::MayWrite(const std::string& name,
                             uint64_t call_id,
                             uint64_t order_fencing_number) {
  const Engine* engine = this->Find(name);
  std::optional<LeaseGrant> grant = this->lease.Grant();
  bool may_write =
      engine != nullptr && engine->send_call_id == call_id && grant &&
      grant->fencing_number == order_fencing_number &&
      this->clock.Now() + this->own_settings.write_margin <= grant->valid_until;
  if (!may_write)
    ++this->own_counters.blocked_by_lease_check;
  return may_write;
}

void OrderExecutor::SendObserve(Engine& engine) {
  EngineOrder observe;
  observe.engine = engine.info.engine;
  observe.fencing_number = this->fencing_number;
  this->Send(engine, observe);
}

void OrderExecutor::OnObserveResult(Engine& engine, OrderSendResult result) {
  absl::Time now = this->clock.Now();
  if (result != OrderSendResult::kAccepted) {
    engine.next_action_at = now + this->own_settings.retry_interval;
    return;
  }
  engine.reports_valid_from = now;
  engine.phase = TakeoverPhase::kReady;
}

void OrderExecutor::SendOrder(Engine& engine, absl::Time now) {
  engine.next_send_at = now + this->own_settings.resend_interval;
  ++this->own_counters.sent;
  this->Send(engine, engine.record->order);
}

void OrderExecutor::OnSendResult(Engine& engine, OrderSendResult result) {
  absl::Time now = this->clock.Now();
  switch (result) {
    case OrderSendResult::kNotSent:
      engine.next_send_at = now + this->own_settings.retry_interval;
      return;
    case OrderSendResult::kStaleFencingNumber:
      // Another instance holds the lease now; this one will find out from the
      // lease row.
      return;
    case OrderSendResult::kRejected:
      engine.final_row_state = OrderRowState::kFailed;
      return;
    case OrderSendResult::kUnknown:
      ++this->own_counters.answers_lost;
      engine.late_orders_until =
          now + this->own_settings.max_order_transit * kClockRateFactor;
      break;
    case OrderSendResult::kAccepted:
      break;
  }
  engine.sent_by_this_holder = true;
  engine.reports_valid_from = now;
}

EngineOrderState OrderExecutor::StateOf(std::string_view name) const {
  const Engine* engine = this->Find(name);
  std::optional<LeaseGrant> grant = this->lease.Grant();
  if (engine == nullptr || !grant ||
      grant->fencing_number != this->fencing_number ||
      engine->phase != TakeoverPhase::kReady) {
    return EngineOrderState::kUnknown;
  }
  if (engine->HasIntent()) {
    return engine->send_permitted ? EngineOrderState::kActive
                                  : EngineOrderState::kUnresolved;
  }
  bool active = engine->pending_order || engine->row_outdated ||
                engine->send_call_id != 0 ||
                this->clock.Now() < engine->late_orders_until;
  return active ? EngineOrderState::kActive : EngineOrderState::kSettled;
}

const TimestampedReport* OrderExecutor::ReportOf(std::string_view name) const {
  const Engine* engine = this->Find(name);
  return engine != nullptr && engine->report ? &*engine->report : nullptr;
}

const OrderRecord* OrderExecutor::LastOrder(std::string_view name) const {
  const Engine* engine = this->Find(name);
  return engine != nullptr && engine->record ? &*engine->record : nullptr;
}

bool OrderExecutor::Start(EngineOrder order) {
  Engine* engine = this->Find(order.engine);
  if (engine == nullptr || this->stopping ||
      this->StateOf(order.engine) != EngineOrderState::kSettled) {
    return false;
  }
  order.fencing_number = this->fencing_number;
  order.order_number =
      engine->record ? engine->record->order.order_number + 1 : 1;
  engine->pending_order = std::move(order);
  engine->send_permitted = true;
  return true;
}

void OrderExecutor::RequestFrequentReports(std::string_view name) {
  Engine* engine = this->Find(name);
  if (engine != nullptr) {
    engine->frequent_reports_until =
        this->clock.Now() + 2 * this->own_settings.report_interval;
  }
}

void OrderExecutor::PermitResend(std::string_view name) {
  Engine* engine = this->Find(name);
  if (engine != nullptr && engine->HasIntent())
    engine->send_permitted = true;
}

void OrderExecutor::RevokePermission(std::string_view name) {
  Engine* engine = this->Find(name);
  if (engine == nullptr)
    return;
  engine->send_permitted = false;
  engine->pending_order.reset();
}

void OrderExecutor::Stop() {
  this->stopping = true;
}

bool OrderExecutor::Idle() const {
  return std::none_of(
      this->engines.begin(), this->engines.end(), [this](const auto& entry) {
        return this->StateOf(entry.first) == EngineOrderState::kActive;
      });
}

}  // namespace cranberryhill
