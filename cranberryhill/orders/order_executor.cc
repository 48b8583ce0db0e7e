#include "cranberryhill/orders/order_executor.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

// A1: clock rates of two instances differ by less than 1%.
constexpr double kClockRateFactor = 1.01;

enum class Phase {
  kReadRow,  ///< The order row was not read under this lease.
  kObserve,  ///< Fences earlier holders at an engine that checks numbers.
  kQuiet,    ///< Waits until no earlier order can arrive any more.
  kAgree,    ///< Waits for two reports that agree.
  kReady,
};

bool SameState(const EngineReport& left, const EngineReport& right) {
  return left.role == right.role &&
         std::is_permutation(left.models.begin(), left.models.end(),
                             right.models.begin(), right.models.end());
}

}  // namespace

struct OrderExecutor::Engine {
  ManagedEngine info;
  Phase phase = Phase::kReadRow;
  absl::Time taken_over;
  absl::Time next_action = absl::InfinitePast();

  uint64_t table_token = 0;  ///< Table call in progress, or 0.
  absl::Time table_started;
  bool row_stale = false;  ///< The row has to be read before the next step.
  uint64_t row_version = kAbsentVersion;
  std::optional<OrderRecord> record;

  uint64_t report_token = 0;  ///< Report call in progress, or 0.
  absl::Time report_started = absl::InfinitePast();
  std::optional<TimedReport> report;
  std::optional<TimedReport> first_agreeing;

  uint64_t send_token = 0;  ///< Order or observe being sent, or 0.
  bool sent = false;        ///< The outstanding order was sent by this holder.
  absl::Time next_send = absl::InfinitePast();
  absl::Time evidence_from = absl::InfinitePast();
  absl::Time copies_until = absl::InfinitePast();
  absl::Time watched_until = absl::InfinitePast();

  std::optional<EngineOrder> pending;  ///< Its intent is not in the row yet.
  bool permitted = false;
  /// The state to write to the row. Kept until it is written, so that an order
  /// whose outcome may already be recorded is never sent again.
  std::optional<OrderRowState> outcome;

  bool HasIntent() const {
    return this->record && this->record->state == OrderRowState::kIntent;
  }
};

OrderExecutor::OrderExecutor(OrderSettings settings,
                             const LeaseKeeper& lease,
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

const OrderCounters& OrderExecutor::counters() const {
  return this->own_counters;
}

const OrderSettings& OrderExecutor::settings() const {
  return this->own_settings;
}

OrderExecutor::Engine* OrderExecutor::Find(std::string_view name) const {
  auto found = this->engines.find(name);
  return found == this->engines.end() ? nullptr : found->second.get();
}

void OrderExecutor::SetEngines(const std::vector<ManagedEngine>& engines) {
  std::map<std::string, std::unique_ptr<Engine>, std::less<>> kept;
  for (const ManagedEngine& info : engines) {
    auto known = this->engines.find(info.engine);
    if (known != this->engines.end() &&
        known->second->info.checks_fencing == info.checks_fencing) {
      kept[info.engine] = std::move(known->second);
      continue;
    }
    auto added = std::make_unique<Engine>();
    added->info = info;
    absl::Time now = this->clock.Now();
    this->ResetEngine(*added, now);
    // Orders sent before the engine was taken off the list may still arrive.
    added->copies_until = now + this->QuietTime();
    kept[info.engine] = std::move(added);
  }
  this->engines = std::move(kept);
}

absl::Duration OrderExecutor::QuietTime() const {
  return (this->own_settings.flight + this->own_settings.max_in_flight) *
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
  engine.taken_over = now;
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
    this->StepEngine(*engine, now);
}

void OrderExecutor::StepEngine(Engine& engine, absl::Time now) {
  if (engine.report_token != 0 &&
      now - engine.report_started > this->own_settings.call_timeout) {
    engine.report_token = 0;
  }
  if (engine.report_token == 0 &&
      now - engine.report_started >= this->ReportInterval(engine, now)) {
    this->AskReport(engine, now);
  }
  if (engine.table_token != 0) {
    if (now - engine.table_started <= this->own_settings.call_timeout)
      return;
    engine.table_token = 0;
    engine.row_stale = true;
  }
  if (now < engine.next_action || engine.send_token != 0)
    return;
  if (engine.phase == Phase::kReadRow || engine.row_stale) {
    this->ReadRow(engine);
  } else if (engine.phase != Phase::kReady) {
    this->StepTakeover(engine, now);
  } else if (engine.HasIntent()) {
    this->StepIntent(engine, now);
  } else if (engine.pending) {
    this->WriteRow(engine, {*engine.pending, OrderRowState::kIntent}, true);
  }
}

void OrderExecutor::StepTakeover(Engine& engine, absl::Time now) {
  if (engine.phase == Phase::kObserve) {
    this->SendObserve(engine);
    return;
  }
  if (engine.phase == Phase::kQuiet &&
      now >= engine.taken_over + this->QuietTime()) {
    engine.evidence_from = now;
    engine.phase = Phase::kAgree;
  }
  if (engine.phase == Phase::kAgree && this->ReportsAgree(engine))
    engine.phase = Phase::kReady;
}

bool OrderExecutor::ReportsAgree(Engine& engine) const {
  if (!engine.report || engine.report->asked < engine.evidence_from)
    return false;
  if (!engine.first_agreeing ||
      !SameState(engine.first_agreeing->report, engine.report->report)) {
    engine.first_agreeing = engine.report;
    return false;
  }
  return engine.report->asked - engine.first_agreeing->asked >=
         this->own_settings.report_interval;
}

void OrderExecutor::StepIntent(Engine& engine, absl::Time now) {
  const EngineOrder& order = engine.record->order;
  if (order.fencing_number != this->fencing_number) {
    // Adoption: the same order under this holder's number. It also makes an
    // outcome that the earlier holder writes late fail its check.
    OrderRecord adopted = *engine.record;
    adopted.order.fencing_number = this->fencing_number;
    this->WriteRow(engine, adopted, true);
    return;
  }
  if (!engine.outcome && this->MaySettle(engine, now))
    engine.outcome = OrderRowState::kDone;
  if (engine.outcome) {
    if (now >= engine.copies_until)
      this->WriteRow(engine, {order, *engine.outcome}, false);
  } else if (engine.permitted && now >= engine.next_send) {
    this->SendOrder(engine, now);
  }
}

bool OrderExecutor::MaySettle(const Engine& engine, absl::Time now) const {
  // An inherited order of an engine that ignores fencing numbers is sent again
  // first, so that a late copy of it equals the last order that was sent.
  bool may_skip_send = engine.info.checks_fencing || engine.sent;
  return may_skip_send && now >= engine.copies_until && engine.report &&
         engine.report->asked >= engine.evidence_from &&
         TargetReached(engine.record->order, engine.report->report);
}

void OrderExecutor::ReadRow(Engine& engine) {
  uint64_t token = ++this->last_token;
  engine.table_token = token;
  engine.table_started = this->clock.Now();
  this->table.Read(
      {OrderRowKey(this->own_settings.environment, this->own_settings.zone,
                   engine.info.engine)},
      [this, name = engine.info.engine, token,
       guard = std::weak_ptr<bool>(this->alive)](const ReadOutcome& outcome) {
        Engine* found = guard.expired() ? nullptr : this->Find(name);
        if (found == nullptr || found->table_token != token)
          return;
        found->table_token = 0;
        this->OnRow(*found, outcome);
      });
}

void OrderExecutor::OnRow(Engine& engine, const ReadOutcome& outcome) {
  if (!outcome.ok()) {
    engine.next_action = this->clock.Now() + this->own_settings.retry_interval;
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
      engine.next_action =
          this->clock.Now() + this->own_settings.resend_interval;
      return;
    }
    engine.record = record.value();
    engine.row_version = row.version;
  }
  engine.row_stale = false;
  if (engine.phase == Phase::kReadRow) {
    if (engine.info.checks_fencing) {
      engine.phase = Phase::kObserve;
    } else {
      engine.phase = engine.HasIntent() ? Phase::kQuiet : Phase::kReady;
    }
  }
  if (engine.HasIntent()) {
    engine.pending.reset();
    return;
  }
  if (engine.outcome) {
    if (*engine.outcome == OrderRowState::kDone) {
      ++this->own_counters.done;
    } else {
      ++this->own_counters.failed;
    }
  }
  engine.outcome.reset();
  engine.sent = false;
  engine.next_send = absl::InfinitePast();
  engine.permitted = engine.pending.has_value();
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
  uint64_t token = ++this->last_token;
  engine.table_token = token;
  engine.table_started = this->clock.Now();
  this->table.Commit(
      std::move(transaction),
      [this, name = engine.info.engine, token,
       guard = std::weak_ptr<bool>(this->alive)](const CommitOutcome& outcome) {
        Engine* found = guard.expired() ? nullptr : this->Find(name);
        if (found == nullptr || found->table_token != token)
          return;
        found->table_token = 0;
        this->OnCommit(*found, outcome);
      });
}

void OrderExecutor::OnCommit(Engine& engine, const CommitOutcome& outcome) {
  // The row tells its new version and, after a lost answer, what took effect.
  engine.row_stale = true;
  if (outcome.state == CommitState::kCommitted) {
    this->ReadRow(engine);
  } else {
    engine.next_action = this->clock.Now() + this->own_settings.retry_interval;
  }
}

absl::Duration OrderExecutor::ReportInterval(const Engine& engine,
                                             absl::Time now) const {
  bool settled = engine.phase == Phase::kReady && engine.report &&
                 !engine.HasIntent() && !engine.pending &&
                 now >= engine.watched_until;
  if (!settled)
    return this->own_settings.report_interval;
  return std::max(this->own_settings.settled_report_interval,
                  absl::Seconds(static_cast<double>(this->engines.size()) /
                                this->own_settings.max_settled_reports_per_s));
}

void OrderExecutor::AskReport(Engine& engine, absl::Time now) {
  uint64_t token = ++this->last_token;
  engine.report_token = token;
  engine.report_started = now;
  this->sender.ReadReport(
      engine.info.engine, [this, name = engine.info.engine, token, now,
                           guard = std::weak_ptr<bool>(this->alive)](
                              const std::optional<EngineReport>& report) {
        Engine* found = guard.expired() ? nullptr : this->Find(name);
        if (found == nullptr || found->report_token != token)
          return;
        found->report_token = 0;
        if (report)
          found->report = TimedReport{*report, now};
      });
}

void OrderExecutor::Send(Engine& engine, const EngineOrder& order) {
  uint64_t token = ++this->last_token;
  engine.send_token = token;
  std::string name = engine.info.engine;
  std::weak_ptr<bool> guard = this->alive;
  this->sender.Send(
      order,
      [this, name, token, guard, fencing = order.fencing_number] {
        return !guard.expired() && this->MayWrite(name, token, fencing);
      },
      [this, name, token, guard,
       observe = order.kind == OrderKind::kObserve](OrderSendState state) {
        Engine* found = guard.expired() ? nullptr : this->Find(name);
        if (found == nullptr || found->send_token != token)
          return;
        found->send_token = 0;
        if (observe) {
          this->OnObserved(*found, state);
        } else {
          this->OnSent(*found, state);
        }
      });
}

bool OrderExecutor::MayWrite(const std::string& name,
                             uint64_t token,
                             uint64_t fencing) {
  const Engine* engine = this->Find(name);
  std::optional<LeaseGrant> grant = this->lease.Grant();
  bool allowed =
      engine != nullptr && engine->send_token == token && grant &&
      grant->fencing_number == fencing &&
      this->clock.Now() + this->own_settings.flight <= grant->valid_until;
  if (!allowed)
    ++this->own_counters.refused_at_send;
  return allowed;
}

void OrderExecutor::SendObserve(Engine& engine) {
  EngineOrder observe;
  observe.engine = engine.info.engine;
  observe.fencing_number = this->fencing_number;
  this->Send(engine, observe);
}

void OrderExecutor::OnObserved(Engine& engine, OrderSendState state) {
  absl::Time now = this->clock.Now();
  if (state != OrderSendState::kAccepted) {
    engine.next_action = now + this->own_settings.retry_interval;
    return;
  }
  engine.evidence_from = now;
  engine.phase = Phase::kReady;
}

void OrderExecutor::SendOrder(Engine& engine, absl::Time now) {
  engine.next_send = now + this->own_settings.resend_interval;
  ++this->own_counters.sent;
  this->Send(engine, engine.record->order);
}

void OrderExecutor::OnSent(Engine& engine, OrderSendState state) {
  absl::Time now = this->clock.Now();
  switch (state) {
    case OrderSendState::kNotSent:
      engine.next_send = now + this->own_settings.retry_interval;
      return;
    case OrderSendState::kOldNumber:
      // A newer holder is at work; this one learns it from the lease row.
      return;
    case OrderSendState::kRejected:
      engine.outcome = OrderRowState::kFailed;
      return;
    case OrderSendState::kUnknown:
      ++this->own_counters.answers_lost;
      engine.copies_until =
          now + this->own_settings.max_in_flight * kClockRateFactor;
      break;
    case OrderSendState::kAccepted:
      break;
  }
  engine.sent = true;
  engine.evidence_from = now;
}

EngineOrderState OrderExecutor::StateOf(std::string_view name) const {
  const Engine* engine = this->Find(name);
  std::optional<LeaseGrant> grant = this->lease.Grant();
  if (engine == nullptr || !grant ||
      grant->fencing_number != this->fencing_number ||
      engine->phase != Phase::kReady) {
    return EngineOrderState::kUnknown;
  }
  if (engine->HasIntent()) {
    return engine->permitted ? EngineOrderState::kActive
                             : EngineOrderState::kUnresolved;
  }
  bool busy = engine->pending || engine->row_stale || engine->send_token != 0 ||
              this->clock.Now() < engine->copies_until;
  return busy ? EngineOrderState::kActive : EngineOrderState::kSettled;
}

const TimedReport* OrderExecutor::ReportOf(std::string_view name) const {
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
  engine->pending = std::move(order);
  engine->permitted = true;
  return true;
}

void OrderExecutor::Watch(std::string_view name) {
  Engine* engine = this->Find(name);
  if (engine != nullptr) {
    engine->watched_until =
        this->clock.Now() + 2 * this->own_settings.report_interval;
  }
}

void OrderExecutor::Permit(std::string_view name) {
  Engine* engine = this->Find(name);
  if (engine != nullptr && engine->HasIntent())
    engine->permitted = true;
}

void OrderExecutor::Revoke(std::string_view name) {
  Engine* engine = this->Find(name);
  if (engine == nullptr)
    return;
  engine->permitted = false;
  engine->pending.reset();
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
