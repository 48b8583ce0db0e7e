#include "cranberryhill/orders/change_planner.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

// Factor that extends a wait, so that the wait is long enough by the clock of
// any instance. By assumption A1 of the design, the clock rates of two
// instances differ by less than 1%.
constexpr double kClockRateFactor = 1.01;

bool Contains(const std::vector<LoadedModel>& models,
              const LoadedModel& model) {
  return std::find(models.begin(), models.end(), model) != models.end();
}

}  // namespace

struct ChangePlanner::Change {
  std::string engine;
  EngineChangeStep step = EngineChangeStep::kAnnouncing;
  /// When the planner first saw the mark in the plan row.
  absl::Time announced_at;
  uint64_t announced_version = 0;
  bool order_started = false;  ///< True after this change has started an order.
  /// From this time on no entry instance starts work on the engine.
  absl::Time views_updated_at;
};

ChangePlanner::ChangePlanner(ChangePlannerSettings settings,
                             const LeaseManager& lease,
                             OrderExecutor& executor,
                             TableService& table,
                             const Clock& clock)
    : settings(std::move(settings)),
      lease(lease),
      executor(executor),
      table(table),
      clock(clock),
      alive(std::make_shared<bool>(true)) {}

ChangePlanner::~ChangePlanner() = default;

const std::optional<DrainPlanRecord>& ChangePlanner::plan() const {
  return this->last_read_plan;
}

const ChangePlannerCounters& ChangePlanner::counters() const {
  return this->own_counters;
}

void ChangePlanner::SetDesired(std::vector<DesiredEngineState> engine_list) {
  std::map<std::string, DesiredEngineState, std::less<>> updated;
  for (DesiredEngineState& engine : engine_list) {
    auto existing = this->desired_states.find(engine.engine);
    bool same_target = existing != this->desired_states.end() &&
                       existing->second.role == engine.role &&
                       existing->second.models == engine.models;
    if (!same_target)
      this->rejected_until.erase(engine.engine);
    std::string name = engine.engine;
    updated[name] = std::move(engine);
  }
  this->desired_states = std::move(updated);
}

void ChangePlanner::SetEntryInstances(std::vector<std::string> ids,
                                      uint64_t complete_for_version) {
  this->entry_instances = std::move(ids);
  this->instances_complete_for_version = complete_for_version;
  std::erase_if(this->acknowledged_versions, [this](const auto& entry) {
    return std::find(this->entry_instances.begin(), this->entry_instances.end(),
                     entry.first) == this->entry_instances.end();
  });
}

void ChangePlanner::OnAcknowledged(std::string_view instance,
                                   uint64_t plan_version) {
  uint64_t& newest_version = this->acknowledged_versions[std::string(instance)];
  newest_version = std::max(newest_version, plan_version);
}

void ChangePlanner::SetRemovedEngines(
    std::set<std::string, std::less<>> engines) {
  this->removed_engines = std::move(engines);
}

EngineChangeStep ChangePlanner::StepOf(std::string_view engine) const {
  auto found = this->changes.find(engine);
  return found == this->changes.end() ? EngineChangeStep::kNone
                                      : found->second->step;
}

std::vector<std::string> ChangePlanner::ContradictingEngines() const {
  std::vector<std::string> engines;
  for (const auto& [engine, since] : this->contradicting_since)
    engines.push_back(engine);
  return engines;
}

void ChangePlanner::Tick() {
  std::optional<LeaseGrant> grant = this->lease.Grant();
  if (!grant)
    return;
  absl::Time now = this->clock.Now();
  if (grant->fencing_number != this->fencing_number)
    this->ResetForLease(grant->fencing_number);
  bool table_call_pending = this->TableCallPending(now);
  if (!table_call_pending && this->read_due && now >= this->next_call_at)
    this->ReadPlan();
  if (!this->last_read_plan)
    return;
  this->UpdateContradictions(now);
  this->AbandonChanges();
  this->EraseRestoredChanges();
  this->StartChanges(now);
  for (auto& [engine, change] : this->changes)
    this->AdvanceChange(*change, now);
  bool write_due = this->unresolved_write_version.has_value() ||
                   this->DesiredMarks() != this->last_read_plan->draining;
  if (!this->call_active && !this->read_due && write_due &&
      now >= this->next_call_at) {
    this->WritePlan();
  }
}

void ChangePlanner::ResetForLease(uint64_t new_fencing_number) {
  this->fencing_number = new_fencing_number;
  this->changes.clear();
  this->contradicting_since.clear();
  this->last_read_plan.reset();
  // Plan writes of earlier leases cannot take effect any more, because their
  // check of the lease row fails.
  this->unresolved_write_version.reset();
  this->call_active = false;
  ++this->call_id;
  this->next_call_at = absl::InfinitePast();
  this->read_due = true;
}

bool ChangePlanner::TableCallPending(absl::Time now) {
  if (this->call_active &&
      now - this->call_started_at > this->settings.table_call_timeout) {
    this->call_active = false;
    ++this->call_id;
    this->read_due = true;
  }
  return this->call_active;
}

void ChangePlanner::ReadPlan() {
  uint64_t current_call_id = ++this->call_id;
  this->call_active = true;
  this->call_started_at = this->clock.Now();
  this->table.Read(
      {PlanRowKey(this->settings.environment, this->settings.zone,
                  this->settings.shard)},
      [this, current_call_id, weak_alive = std::weak_ptr<bool>(this->alive)](
          const ReadOutcome& outcome) {
        if (weak_alive.expired() || current_call_id != this->call_id)
          return;
        this->call_active = false;
        this->OnPlanRead(outcome);
      });
}

void ChangePlanner::OnPlanRead(const ReadOutcome& outcome) {
  this->next_call_at = this->clock.Now() + this->settings.retry_interval;
  if (!outcome.ok())
    return;
  DrainPlanRecord record;
  uint64_t version = kAbsentVersion;
  if (!outcome.value().empty()) {
    const Row& row = outcome.value().front();
    Outcome<DrainPlanRecord> parsed = ParseDrainPlanRecord(row.value);
    if (!parsed.ok()) {
      LogLine("plan row {} is unreadable: {}", row.key,
              parsed.error().ToString());
      return;
    }
    record = parsed.value();
    version = row.version;
  }
  this->read_due = false;
  this->next_call_at = absl::InfinitePast();
  if (this->unresolved_write_version &&
      *this->unresolved_write_version != version)
    this->unresolved_write_version.reset();
  this->plan_row_version = version;
  std::sort(record.draining.begin(), record.draining.end());
  this->last_read_plan = std::move(record);
  this->ApplyPlanMarks();
}

void ChangePlanner::ApplyPlanMarks() {
  const DrainPlanRecord& plan = *this->last_read_plan;
  for (const std::string& engine : plan.draining) {
    auto& change = this->changes[engine];
    if (change == nullptr) {
      // The previous lease holder announced this change.
      change = std::make_unique<Change>();
      change->engine = engine;
    }
    // A plan write with an unknown outcome may still remove the mark, so the
    // change stays in kAnnouncing until the outcome is known.
    if (change->step == EngineChangeStep::kAnnouncing &&
        !this->unresolved_write_version) {
      change->step = EngineChangeStep::kAwaitingViews;
      change->announced_at = this->clock.Now();
      change->announced_version = plan.plan_version;
    }
  }
}

void ChangePlanner::EraseRestoredChanges() {
  if (this->unresolved_write_version)
    return;
  const std::vector<std::string>& marks = this->last_read_plan->draining;
  std::erase_if(this->changes, [&marks](const auto& entry) {
    return entry.second->step == EngineChangeStep::kRestoring &&
           !std::binary_search(marks.begin(), marks.end(), entry.first);
  });
}

std::vector<std::string> ChangePlanner::DesiredMarks() const {
  std::vector<std::string> marks;
  for (const auto& [engine, change] : this->changes) {
    if (change->step != EngineChangeStep::kRestoring)
      marks.push_back(engine);
  }
  return marks;
}

void ChangePlanner::WritePlan() {
  std::optional<LeaseGrant> grant = this->lease.Grant();
  if (!grant)
    return;
  std::string key = PlanRowKey(this->settings.environment, this->settings.zone,
                               this->settings.shard);
  DrainPlanRecord record{this->last_read_plan->plan_version + 1,
                         this->DesiredMarks()};
  Transaction transaction;
  transaction.checks.push_back(
      {this->lease.settings().key, grant->row_version});
  transaction.checks.push_back({key, this->plan_row_version});
  transaction.puts.push_back({key, FormatDrainPlanRecord(record)});
  uint64_t current_call_id = ++this->call_id;
  this->call_active = true;
  this->call_started_at = this->clock.Now();
  this->unresolved_write_version = this->plan_row_version;
  this->table.Commit(
      std::move(transaction),
      [this, current_call_id, weak_alive = std::weak_ptr<bool>(this->alive)](
          const CommitOutcome& outcome) {
        if (weak_alive.expired() || current_call_id != this->call_id)
          return;
        this->call_active = false;
        this->OnCommit(outcome);
      });
}

void ChangePlanner::OnCommit(const CommitOutcome& outcome) {
  this->read_due = true;
  if (outcome.state == CommitState::kCommitted) {
    this->ReadPlan();
  } else {
    this->next_call_at = this->clock.Now() + this->settings.retry_interval;
  }
}

void ChangePlanner::UpdateContradictions(absl::Time now) {
  std::map<std::string, absl::Time, std::less<>> updated;
  for (const std::string& engine : this->executor.Engines()) {
    const OrderRecord* last_order = this->executor.LastOrder(engine);
    const TimestampedReport* report = this->executor.ReportOf(engine);
    bool contradicts =
        this->executor.StateOf(engine) == EngineOrderState::kSettled &&
        last_order != nullptr && last_order->state == OrderRowState::kDone &&
        report != nullptr && !TargetReached(last_order->order, report->report);
    if (!contradicts)
      continue;
    auto existing = this->contradicting_since.find(engine);
    updated[engine] =
        existing == this->contradicting_since.end() ? now : existing->second;
  }
  this->contradicting_since = std::move(updated);
}

void ChangePlanner::AbandonChanges() {
  std::vector<std::string> managed_engines = this->executor.Engines();
  for (auto& [engine, change] : this->changes) {
    bool is_managed = !this->removed_engines.contains(engine) &&
                      std::binary_search(managed_engines.begin(),
                                         managed_engines.end(), engine);
    if (change->step == EngineChangeStep::kRestoring || is_managed)
      continue;
    LogLine("change of engine {} abandoned: the engine is gone", engine);
    ++this->own_counters.abandoned;
    this->BeginRestore(*change);
  }
}

void ChangePlanner::StartChanges(absl::Time now) {
  for (const std::string& engine : this->executor.Engines()) {
    auto rejected = this->rejected_until.find(engine);
    bool in_backoff =
        rejected != this->rejected_until.end() && now < rejected->second;
    if (in_backoff || this->removed_engines.contains(engine) ||
        this->changes.contains(engine) || !this->NeedsChange(engine) ||
        !this->GroupAllowsChange(engine)) {
      continue;
    }
    auto change = std::make_unique<Change>();
    change->engine = engine;
    this->changes[engine] = std::move(change);
    ++this->own_counters.started;
    LogLine("change of engine {} started", engine);
  }
}

bool ChangePlanner::GroupAllowsChange(const std::string& engine) const {
  auto target = this->desired_states.find(engine);
  if (target == this->desired_states.end() || target->second.group.empty() ||
      this->executor.StateOf(engine) != EngineOrderState::kSettled) {
    return true;
  }
  size_t group_size = 0;
  size_t changing_count = 0;
  for (const auto& [id, other] : this->desired_states) {
    if (other.group != target->second.group ||
        this->removed_engines.contains(id))
      continue;
    ++group_size;
    changing_count += this->changes.contains(id) ? 1 : 0;
  }
  double max_changing_count =
      this->settings.max_changing_share * static_cast<double>(group_size);
  return static_cast<double>(changing_count) + 1 <=
         std::max(1.0, max_changing_count);
}

bool ChangePlanner::NeedsChange(const std::string& engine) const {
  switch (this->executor.StateOf(engine)) {
    case EngineOrderState::kUnknown:
      return false;
    case EngineOrderState::kUnresolved:
      return true;
    case EngineOrderState::kActive: {
      // After a takeover the executor is also active while it waits until no
      // copy of a finished order can arrive any more. Such an engine needs no
      // change.
      const OrderRecord* last_order = this->executor.LastOrder(engine);
      return last_order != nullptr &&
             last_order->state == OrderRowState::kIntent;
    }
    case EngineOrderState::kSettled:
      return this->NextOrder(engine).has_value();
  }
  return false;
}

std::optional<EngineOrder> ChangePlanner::NextOrder(
    const std::string& engine) const {
  const TimestampedReport* latest = this->executor.ReportOf(engine);
  if (latest == nullptr || latest->report.leaving)
    return std::nullopt;
  const EngineReport& report = latest->report;
  EngineOrder order;
  order.engine = engine;
  auto target = this->desired_states.find(engine);
  if (target == this->desired_states.end()) {
    if (!this->contradicting_since.contains(engine))
      return std::nullopt;
    return this->executor.LastOrder(engine)->order;
  }
  // Models are unloaded before others are loaded, because an engine's memory is
  // limited.
  order.kind = OrderKind::kUnload;
  for (const LoadedModel& model : report.models) {
    order.model = model;
    if (!Contains(target->second.models, model))
      return order;
  }
  order.kind = OrderKind::kLoad;
  for (const LoadedModel& model : target->second.models) {
    order.model = model;
    if (!Contains(report.models, model))
      return order;
  }
  if (target->second.role.empty() || target->second.role == report.role)
    return std::nullopt;
  order.kind = OrderKind::kSetRole;
  order.model = LoadedModel();
  order.role = target->second.role;
  return order;
}

bool ChangePlanner::ContradictionPeriodOver(const std::string& engine,
                                            absl::Time now) const {
  auto since = this->contradicting_since.find(engine);
  return since == this->contradicting_since.end() ||
         now - since->second >= this->settings.contradiction_period;
}

bool ChangePlanner::AllAcknowledged(uint64_t plan_version) const {
  return this->instances_complete_for_version >= plan_version &&
         std::all_of(this->entry_instances.begin(), this->entry_instances.end(),
                     [this, plan_version](const std::string& id) {
                       auto existing = this->acknowledged_versions.find(id);
                       return existing != this->acknowledged_versions.end() &&
                              existing->second >= plan_version;
                     });
}

bool ChangePlanner::ViewsUpdated(const Change& change, absl::Time now) const {
  return now >=
             change.announced_at + this->settings.view_ttl * kClockRateFactor ||
         this->AllAcknowledged(change.announced_version);
}

bool ChangePlanner::EngineIsIdle(const Change& change) const {
  const TimestampedReport* latest = this->executor.ReportOf(change.engine);
  // Requests that were sent just before the views were updated may arrive up to
  // max_request_transit later. Reports that were requested earlier than that do
  // not count.
  absl::Time last_arrival =
      change.views_updated_at +
      this->settings.max_request_transit * kClockRateFactor;
  return latest != nullptr && latest->requested_at >= last_arrival &&
         latest->report.running == 0 && latest->report.queued == 0 &&
         latest->report.idle_for >= this->settings.min_idle_time;
}

void ChangePlanner::BeginRestore(Change& change) {
  this->executor.RevokePermission(change.engine);
  change.step = EngineChangeStep::kRestoring;
}

void ChangePlanner::AdvanceChange(Change& change, absl::Time now) {
  this->executor.RequestFrequentReports(change.engine);
  bool before_ordering = change.step == EngineChangeStep::kAwaitingViews ||
                         change.step == EngineChangeStep::kDraining;
  bool state_known =
      this->executor.StateOf(change.engine) != EngineOrderState::kUnknown &&
      this->executor.ReportOf(change.engine) != nullptr;
  if (before_ordering && state_known && !this->NeedsChange(change.engine)) {
    ++this->own_counters.cancelled;
    this->BeginRestore(change);
    return;
  }
  if (change.step == EngineChangeStep::kAwaitingViews &&
      this->ViewsUpdated(change, now)) {
    change.views_updated_at = now;
    change.step = EngineChangeStep::kDraining;
  }
  if (change.step == EngineChangeStep::kDraining &&
      this->EngineIsIdle(change) &&
      this->ContradictionPeriodOver(change.engine, now)) {
    change.step = EngineChangeStep::kOrdering;
  }
  if (change.step == EngineChangeStep::kOrdering)
    this->AdvanceOrdering(change, now);
}

void ChangePlanner::AdvanceOrdering(Change& change, absl::Time now) {
  EngineOrderState state = this->executor.StateOf(change.engine);
  if (state == EngineOrderState::kUnresolved)
    this->executor.PermitResend(change.engine);
  if (state != EngineOrderState::kSettled)
    return;
  std::optional<EngineOrder> order = this->NextOrder(change.engine);
  if (!order) {
    ++this->own_counters.finished;
    this->BeginRestore(change);
    return;
  }
  const OrderRecord* last_order = this->executor.LastOrder(change.engine);
  bool rejected = change.order_started && last_order != nullptr &&
                  last_order->state == OrderRowState::kFailed &&
                  SameTarget(last_order->order, *order);
  if (rejected) {
    LogLine("engine {} rejected order {}", change.engine,
            last_order->order.order_number);
    this->rejected_until[change.engine] =
        now + this->settings.rejection_backoff;
    this->BeginRestore(change);
    return;
  }
  change.order_started = this->executor.Start(*order) || change.order_started;
}

}  // namespace cranberryhill
