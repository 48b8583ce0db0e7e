#include "cranberryhill/orders/change_planner.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

// A1: clock rates of two instances differ by less than 1%.
constexpr double kClockRateFactor = 1.01;

bool Contains(const std::vector<LoadedModel>& models,
              const LoadedModel& model) {
  return std::find(models.begin(), models.end(), model) != models.end();
}

}  // namespace

struct ChangePlanner::Change {
  std::string engine;
  ChangeStep step = ChangeStep::kAnnouncing;
  absl::Time announced;  ///< When the mark was known to be in the plan row.
  uint64_t announced_version = 0;
  bool ordered = false;  ///< An order was started.
  absl::Time settled;    ///< When no entry instance could start work any more.
};

ChangePlanner::ChangePlanner(PlanSettings settings,
                             const LeaseKeeper& lease,
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

const std::optional<PlanRecord>& ChangePlanner::plan() const {
  return this->known_plan;
}

const PlanCounters& ChangePlanner::counters() const {
  return this->own_counters;
}

void ChangePlanner::SetDesired(std::vector<DesiredEngine> list) {
  std::map<std::string, DesiredEngine, std::less<>> wanted;
  for (DesiredEngine& engine : list) {
    auto known = this->desired.find(engine.engine);
    bool same = known != this->desired.end() &&
                known->second.role == engine.role &&
                known->second.models == engine.models;
    if (!same)
      this->rejected_until.erase(engine.engine);
    std::string name = engine.engine;
    wanted[name] = std::move(engine);
  }
  this->desired = std::move(wanted);
}

void ChangePlanner::SetEntryInstances(std::vector<std::string> ids,
                                      uint64_t complete_for) {
  this->entry_instances = std::move(ids);
  this->instances_complete_for = complete_for;
  std::erase_if(this->acknowledged, [this](const auto& entry) {
    return std::find(this->entry_instances.begin(), this->entry_instances.end(),
                     entry.first) == this->entry_instances.end();
  });
}

void ChangePlanner::OnAcknowledged(std::string_view instance,
                                   uint64_t plan_version) {
  uint64_t& known = this->acknowledged[std::string(instance)];
  known = std::max(known, plan_version);
}

void ChangePlanner::SetGone(std::set<std::string, std::less<>> engines) {
  this->gone = std::move(engines);
}

ChangeStep ChangePlanner::StepOf(std::string_view engine) const {
  auto found = this->changes.find(engine);
  return found == this->changes.end() ? ChangeStep::kNone : found->second->step;
}

std::vector<std::string> ChangePlanner::Contradicting() const {
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
  bool call_pending = this->CallPending(now);
  if (!call_pending && this->read_due && now >= this->next_call)
    this->ReadPlan();
  if (!this->known_plan)
    return;
  this->ObserveReports(now);
  this->Abandon();
  this->DropRestored();
  this->FindChanges(now);
  for (auto& [engine, change] : this->changes)
    this->StepChange(*change, now);
  bool write_due = this->open_write.has_value() ||
                   this->WantedMarks() != this->known_plan->draining;
  if (!this->call_active && !this->read_due && write_due &&
      now >= this->next_call) {
    this->WritePlan();
  }
}

void ChangePlanner::ResetForLease(uint64_t number) {
  this->fencing_number = number;
  this->changes.clear();
  this->contradicting_since.clear();
  this->known_plan.reset();
  // Writes of earlier leases fail their check of the lease row.
  this->open_write.reset();
  this->call_active = false;
  ++this->call_number;
  this->next_call = absl::InfinitePast();
  this->read_due = true;
}

bool ChangePlanner::CallPending(absl::Time now) {
  if (this->call_active &&
      now - this->call_started > this->settings.call_timeout) {
    this->call_active = false;
    ++this->call_number;
    this->read_due = true;
  }
  return this->call_active;
}

void ChangePlanner::ReadPlan() {
  uint64_t call = ++this->call_number;
  this->call_active = true;
  this->call_started = this->clock.Now();
  this->table.Read({PlanRowKey(this->settings.environment, this->settings.zone,
                               this->settings.shard)},
                   [this, call, guard = std::weak_ptr<bool>(this->alive)](
                       const ReadOutcome& outcome) {
                     if (guard.expired() || call != this->call_number)
                       return;
                     this->call_active = false;
                     this->OnPlan(outcome);
                   });
}

void ChangePlanner::OnPlan(const ReadOutcome& outcome) {
  this->next_call = this->clock.Now() + this->settings.retry_interval;
  if (!outcome.ok())
    return;
  PlanRecord record;
  uint64_t version = kAbsentVersion;
  if (!outcome.value().empty()) {
    const Row& row = outcome.value().front();
    Outcome<PlanRecord> parsed = ParsePlanRecord(row.value);
    if (!parsed.ok()) {
      LogLine("plan row {} is unreadable: {}", row.key,
              parsed.error().ToString());
      return;
    }
    record = parsed.value();
    version = row.version;
  }
  this->read_due = false;
  this->next_call = absl::InfinitePast();
  if (this->open_write && *this->open_write != version)
    this->open_write.reset();
  this->plan_row_version = version;
  std::sort(record.draining.begin(), record.draining.end());
  this->known_plan = std::move(record);
  this->ApplyPlan();
}

void ChangePlanner::ApplyPlan() {
  const PlanRecord& plan = *this->known_plan;
  for (const std::string& engine : plan.draining) {
    auto& change = this->changes[engine];
    if (change == nullptr) {
      // The previous holder announced it.
      change = std::make_unique<Change>();
      change->engine = engine;
    }
    // While a write is open, the mark may still be taken away.
    if (change->step == ChangeStep::kAnnouncing && !this->open_write) {
      change->step = ChangeStep::kViews;
      change->announced = this->clock.Now();
      change->announced_version = plan.plan_version;
    }
  }
}

void ChangePlanner::DropRestored() {
  if (this->open_write)
    return;
  const std::vector<std::string>& marks = this->known_plan->draining;
  std::erase_if(this->changes, [&marks](const auto& entry) {
    return entry.second->step == ChangeStep::kRestoring &&
           !std::binary_search(marks.begin(), marks.end(), entry.first);
  });
}

std::vector<std::string> ChangePlanner::WantedMarks() const {
  std::vector<std::string> marks;
  for (const auto& [engine, change] : this->changes) {
    if (change->step != ChangeStep::kRestoring)
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
  PlanRecord record{this->known_plan->plan_version + 1, this->WantedMarks()};
  Transaction transaction;
  transaction.checks.push_back(
      {this->lease.settings().key, grant->row_version});
  transaction.checks.push_back({key, this->plan_row_version});
  transaction.puts.push_back({key, FormatPlanRecord(record)});
  uint64_t call = ++this->call_number;
  this->call_active = true;
  this->call_started = this->clock.Now();
  this->open_write = this->plan_row_version;
  this->table.Commit(std::move(transaction),
                     [this, call, guard = std::weak_ptr<bool>(this->alive)](
                         const CommitOutcome& outcome) {
                       if (guard.expired() || call != this->call_number)
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
    this->next_call = this->clock.Now() + this->settings.retry_interval;
  }
}

void ChangePlanner::ObserveReports(absl::Time now) {
  std::map<std::string, absl::Time, std::less<>> found;
  for (const std::string& engine : this->executor.Engines()) {
    const OrderRecord* last = this->executor.LastOrder(engine);
    const TimedReport* report = this->executor.ReportOf(engine);
    bool contradicts =
        this->executor.StateOf(engine) == EngineOrderState::kSettled &&
        last != nullptr && last->state == OrderRowState::kDone &&
        report != nullptr && !TargetReached(last->order, report->report);
    if (!contradicts)
      continue;
    auto known = this->contradicting_since.find(engine);
    found[engine] =
        known == this->contradicting_since.end() ? now : known->second;
  }
  this->contradicting_since = std::move(found);
}

void ChangePlanner::Abandon() {
  std::vector<std::string> managed = this->executor.Engines();
  for (auto& [engine, change] : this->changes) {
    bool present = !this->gone.contains(engine) &&
                   std::binary_search(managed.begin(), managed.end(), engine);
    if (change->step == ChangeStep::kRestoring || present)
      continue;
    LogLine("change of engine {} abandoned: the engine is gone", engine);
    ++this->own_counters.abandoned;
    this->Restore(*change);
  }
}

void ChangePlanner::FindChanges(absl::Time now) {
  for (const std::string& engine : this->executor.Engines()) {
    auto rejected = this->rejected_until.find(engine);
    bool paused =
        rejected != this->rejected_until.end() && now < rejected->second;
    if (paused || this->gone.contains(engine) ||
        this->changes.contains(engine) || !this->NeedsChange(engine) ||
        !this->GroupAllows(engine)) {
      continue;
    }
    auto change = std::make_unique<Change>();
    change->engine = engine;
    this->changes[engine] = std::move(change);
    ++this->own_counters.started;
    LogLine("change of engine {} started", engine);
  }
}

bool ChangePlanner::GroupAllows(const std::string& engine) const {
  auto wanted = this->desired.find(engine);
  if (wanted == this->desired.end() || wanted->second.group.empty() ||
      this->executor.StateOf(engine) != EngineOrderState::kSettled) {
    return true;
  }
  size_t size = 0;
  size_t changing = 0;
  for (const auto& [id, other] : this->desired) {
    if (other.group != wanted->second.group || this->gone.contains(id))
      continue;
    ++size;
    changing += this->changes.contains(id) ? 1 : 0;
  }
  double allowed =
      this->settings.max_changing_share * static_cast<double>(size);
  return static_cast<double>(changing) + 1 <= std::max(1.0, allowed);
}

bool ChangePlanner::NeedsChange(const std::string& engine) const {
  switch (this->executor.StateOf(engine)) {
    case EngineOrderState::kUnknown:
      return false;
    case EngineOrderState::kUnresolved:
      return true;
    case EngineOrderState::kActive: {
      // After a takeover the executor is also active while it waits out
      // possible copies of finished orders, which changes nothing.
      const OrderRecord* last = this->executor.LastOrder(engine);
      return last != nullptr && last->state == OrderRowState::kIntent;
    }
    case EngineOrderState::kSettled:
      return this->NextOrder(engine).has_value();
  }
  return false;
}

std::optional<EngineOrder> ChangePlanner::NextOrder(
    const std::string& engine) const {
  const TimedReport* timed = this->executor.ReportOf(engine);
  if (timed == nullptr || timed->report.leaving)
    return std::nullopt;
  const EngineReport& report = timed->report;
  EngineOrder order;
  order.engine = engine;
  auto wanted = this->desired.find(engine);
  if (wanted == this->desired.end()) {
    if (!this->contradicting_since.contains(engine))
      return std::nullopt;
    return this->executor.LastOrder(engine)->order;
  }
  // Unloading comes first, because an engine's memory is limited.
  order.kind = OrderKind::kUnload;
  for (const LoadedModel& model : report.models) {
    order.model = model;
    if (!Contains(wanted->second.models, model))
      return order;
  }
  order.kind = OrderKind::kLoad;
  for (const LoadedModel& model : wanted->second.models) {
    order.model = model;
    if (!Contains(report.models, model))
      return order;
  }
  if (wanted->second.role.empty() || wanted->second.role == report.role)
    return std::nullopt;
  order.kind = OrderKind::kSetRole;
  order.model = LoadedModel();
  order.role = wanted->second.role;
  return order;
}

bool ChangePlanner::QuietPeriodOver(const std::string& engine,
                                    absl::Time now) const {
  auto since = this->contradicting_since.find(engine);
  return since == this->contradicting_since.end() ||
         now - since->second >= this->settings.quiet_period;
}

bool ChangePlanner::Acknowledged(uint64_t plan_version) const {
  return this->instances_complete_for >= plan_version &&
         std::all_of(this->entry_instances.begin(), this->entry_instances.end(),
                     [this, plan_version](const std::string& id) {
                       auto known = this->acknowledged.find(id);
                       return known != this->acknowledged.end() &&
                              known->second >= plan_version;
                     });
}

bool ChangePlanner::ViewsSettled(const Change& change, absl::Time now) const {
  return now >= change.announced + this->settings.view_ttl * kClockRateFactor ||
         this->Acknowledged(change.announced_version);
}

bool ChangePlanner::EngineIdle(const Change& change) const {
  const TimedReport* timed = this->executor.ReportOf(change.engine);
  // Work that was started just before the views were settled may arrive until
  // the flight has passed.
  absl::Time arrived =
      change.settled + this->settings.flight * kClockRateFactor;
  return timed != nullptr && timed->asked >= arrived &&
         timed->report.running == 0 && timed->report.queued == 0 &&
         timed->report.idle_for >= this->settings.idle_confirm;
}

void ChangePlanner::Restore(Change& change) {
  this->executor.Revoke(change.engine);
  change.step = ChangeStep::kRestoring;
}

void ChangePlanner::StepChange(Change& change, absl::Time now) {
  this->executor.Watch(change.engine);
  bool waiting =
      change.step == ChangeStep::kViews || change.step == ChangeStep::kDraining;
  bool known =
      this->executor.StateOf(change.engine) != EngineOrderState::kUnknown &&
      this->executor.ReportOf(change.engine) != nullptr;
  if (waiting && known && !this->NeedsChange(change.engine)) {
    ++this->own_counters.cancelled;
    this->Restore(change);
    return;
  }
  if (change.step == ChangeStep::kViews && this->ViewsSettled(change, now)) {
    change.settled = now;
    change.step = ChangeStep::kDraining;
  }
  if (change.step == ChangeStep::kDraining && this->EngineIdle(change) &&
      this->QuietPeriodOver(change.engine, now)) {
    change.step = ChangeStep::kOrdering;
  }
  if (change.step == ChangeStep::kOrdering)
    this->StepOrdering(change, now);
}

void ChangePlanner::StepOrdering(Change& change, absl::Time now) {
  EngineOrderState state = this->executor.StateOf(change.engine);
  if (state == EngineOrderState::kUnresolved)
    this->executor.Permit(change.engine);
  if (state != EngineOrderState::kSettled)
    return;
  std::optional<EngineOrder> order = this->NextOrder(change.engine);
  if (!order) {
    ++this->own_counters.finished;
    this->Restore(change);
    return;
  }
  const OrderRecord* last = this->executor.LastOrder(change.engine);
  bool rejected = change.ordered && last != nullptr &&
                  last->state == OrderRowState::kFailed &&
                  SameTarget(last->order, *order);
  if (rejected) {
    LogLine("engine {} rejected order {}", change.engine,
            last->order.order_number);
    this->rejected_until[change.engine] = now + this->settings.rejected_pause;
    this->Restore(change);
    return;
  }
  change.ordered = this->executor.Start(*order) || change.ordered;
}

}  // namespace cranberryhill
