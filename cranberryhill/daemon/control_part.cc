#include "cranberryhill/daemon/control_part.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/base/hash.h"
#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kPlanInterval = absl::Seconds(1);
constexpr absl::Duration kCleanInterval = absl::Seconds(1);
constexpr absl::Duration kCalmInterval = absl::Milliseconds(500);
// Of the instances that may take a lease, this many read its row often; the
// others step in when all of these are gone. Otherwise the reads would grow
// with the number of instances.
constexpr size_t kLeaseCandidates = 3;
constexpr absl::Duration kCandidatePoll = absl::Seconds(1);
constexpr absl::Duration kReservePoll = absl::Seconds(10);

LeaseSettings LeaseSettingsFor(const Settings& settings, std::string key) {
  LeaseSettings lease;
  lease.key = std::move(key);
  lease.holder = settings.instance_id;
  lease.address = settings.peer_address.ip + ":" +
                  std::to_string(settings.peer_address.port);
  return lease;
}

// Rank of an instance among the candidates of a lease, by rendezvous hashing.
size_t RankOf(std::string_view key,
              const std::string& self,
              const std::vector<std::string>& others) {
  uint64_t own_score = StableHash(self, StableHash(key));
  return static_cast<size_t>(
      std::count_if(others.begin(), others.end(), [&](const std::string& id) {
        return id != self && StableHash(id, StableHash(key)) > own_score;
      }));
}

absl::Duration PollIntervalOf(const LeaseManager& lease,
                              const std::vector<std::string>& others) {
  size_t rank = RankOf(lease.settings().key, lease.settings().holder, others);
  return rank < kLeaseCandidates ? kCandidatePoll : kReservePoll;
}

ShareBounds BoundsOf(const RoleShare& share) {
  return {share.min_share, share.max_share};
}

}  // namespace

// The engines of one model in the own availability zone.
struct ControlPart::Group {
  Group(const Clock& clock, const RolePlannerOptions& options)
      : planner(clock, options) {}

  RolePlanner planner;
  std::string changing;  // Engine of the open change; empty when none.
  std::string target;
};

ControlPart::ControlPart(const ControlContext& context) : context(context) {
  const Settings& settings = context.settings;
  this->zone_lease = std::make_unique<LeaseManager>(
      LeaseSettingsFor(settings,
                       LeaseRowKey(settings.environment,
                                   settings.availability_zone, kOnlyShard)),
      context.table, context.clock, context.random);
  this->calls_lease = std::make_unique<LeaseManager>(
      LeaseSettingsFor(settings, "lease/" + settings.environment + "/calls"),
      context.table, context.clock, context.random);
  OrderExecutorSettings order_settings;
  order_settings.environment = settings.environment;
  order_settings.zone = settings.availability_zone;
  this->executor = std::make_unique<OrderExecutor>(
      order_settings, *this->zone_lease, context.table, context.orders,
      context.clock);
  ChangePlannerSettings plan_settings;
  plan_settings.environment = settings.environment;
  plan_settings.zone = settings.availability_zone;
  plan_settings.shard = std::string(kOnlyShard);
  this->planner = std::make_unique<ChangePlanner>(
      plan_settings, *this->zone_lease, *this->executor, context.table,
      context.clock);
  CallCleanerConfig cleaner_config;
  cleaner_config.environment = settings.environment;
  this->cleaner = std::make_unique<CallCleaner>(
      cleaner_config, context.wall_clock, context.table);
}

ControlPart::~ControlPart() = default;

void ControlPart::SetDocument(std::shared_ptr<const VersionInForce> version) {
  this->document = std::move(version);
  const EnvironmentDocument& doc = this->document->document;
  std::vector<ManagedEngine> managed;
  for (const EngineSpec& engine : doc.engines) {
    if (engine.availability_zone == this->context.settings.availability_zone)
      managed.push_back({engine.id, engine.checks_fencing});
  }
  this->executor->SetEngines(managed);
  this->groups.clear();
  for (const ModelSpec& model : doc.models) {
    RolePlannerOptions options;
    options.prefill = BoundsOf(doc.RoleShareOf(EngineRole::kPrefill));
    options.decode = BoundsOf(doc.RoleShareOf(EngineRole::kDecode));
    options.mixed = BoundsOf(doc.RoleShareOf(EngineRole::kMixed));
    this->groups[model.name] =
        std::make_unique<Group>(this->context.clock, options);
  }
  this->UpdateDesired();
}

ControlPart::Group* ControlPart::GroupOf(std::string_view model) {
  auto found = this->groups.find(model);
  return found == this->groups.end() ? nullptr : found->second.get();
}

void ControlPart::ObserveWork(std::string_view model,
                              const ArrivedWork& work,
                              absl::Duration elapsed) {
  if (Group* group = this->GroupOf(model))
    group->planner.ObserveWork(work.prefill_s, work.decode_s, elapsed);
}

void ControlPart::UpdateDesired() {
  std::vector<DesiredEngineState> desired;
  for (const EngineSpec& spec : this->document->document.engines) {
    if (spec.availability_zone != this->context.settings.availability_zone)
      continue;
    DesiredEngineState engine;
    engine.engine = spec.id;
    engine.group = spec.model;
    // An engine keeps its role until a change of roles is planned.
    auto wanted = this->wanted_roles.find(spec.id);
    const EngineReport* report = this->context.fleet.ReportOf(spec.id);
    if (wanted != this->wanted_roles.end())
      engine.role = wanted->second;
    else if (report != nullptr)
      engine.role = report->role;
    else
      continue;
    for (const ModelSpec& model : this->document->document.models) {
      if (model.name != spec.model)
        continue;
      for (const std::string& version : model.versions) {
        engine.models.push_back({model.name, version, ""});
        for (const std::string& adapter : model.adapters)
          engine.models.push_back({model.name, version, adapter});
      }
    }
    desired.push_back(std::move(engine));
  }
  this->planner->SetDesired(std::move(desired));
}

void ControlPart::UpdatePollIntervals() {
  std::vector<std::string> all;
  std::vector<std::string> zone;
  for (std::string& id :
       this->context.members.Members(MemberKind::kEntryInstance)) {
    if (!this->context.members.MayReceiveWork(id))
      continue;
    if (this->context.members.Find(id)->zone ==
        this->context.settings.availability_zone) {
      zone.push_back(id);
    }
    all.push_back(std::move(id));
  }
  this->zone_lease->SetPollInterval(PollIntervalOf(*this->zone_lease, zone));
  this->calls_lease->SetPollInterval(PollIntervalOf(*this->calls_lease, all));
}

void ControlPart::PlanRoles() {
  for (auto& [model, group] : this->groups) {
    std::vector<PlannedEngine> engines;
    for (const EngineSpec& spec : this->document->document.engines) {
      const EngineReport* report = this->context.fleet.ReportOf(spec.id);
      if (spec.model != model || report == nullptr ||
          spec.availability_zone != this->context.settings.availability_zone) {
        continue;
      }
      PlannedEngine engine;
      engine.id = spec.id;
      engine.role = ParseEngineRole(report->role).value_or(EngineRole::kMixed);
      engine.available =
          this->context.members.MayReceiveWork(spec.id) &&
          this->planner->StepOf(spec.id) == EngineChangeStep::kNone;
      engine.load = static_cast<double>(report->running + report->queued);
      engines.push_back(std::move(engine));
    }
    group->planner.SetEngines(std::move(engines));
    this->PlanGroup(*group);
  }
}

void ControlPart::PlanGroup(Group& group) {
  if (!group.changing.empty()) {
    const EngineReport* report = this->context.fleet.ReportOf(group.changing);
    bool reached = report != nullptr && report->role == group.target;
    bool gone =
        this->context.members.StateOf(group.changing) == MemberState::kGone;
    if (!reached && !gone)
      return;
    if (reached &&
        this->planner->StepOf(group.changing) != EngineChangeStep::kNone)
      return;
    group.changing.clear();
    group.planner.OnChangeEnded();
  }
  std::optional<RoleChange> change = group.planner.NextChange();
  if (!change)
    return;
  group.changing = change->engine;
  group.target = std::string(EngineRoleName(change->to));
  this->wanted_roles[change->engine] = group.target;
  this->context.metrics.Count("cranberryhill_role_changes_total",
                              {{"to", group.target}});
  LogLine("role change of {} from {} to {}: gain {:.1f}, cost {:.1f} engine-s",
          change->engine, EngineRoleName(change->from), group.target,
          change->gain, change->cost);
}

void ControlPart::Tick() {
  absl::Time now = this->context.clock.Now();
  this->zone_lease->Tick();
  this->calls_lease->Tick();
  bool held = this->holds_lease();
  if (held != this->held_before) {
    LogLine("lease {} {}", this->zone_lease->settings().key,
            held ? "acquired" : "lost");
    this->held_before = held;
    // Roles planned under an earlier lease are no longer this instance's.
    this->wanted_roles.clear();
    for (auto& [model, group] : this->groups) {
      if (!std::exchange(group->changing, "").empty())
        group->planner.OnChangeEnded();
    }
  }
  if (this->document != nullptr && now >= this->next_plan) {
    this->next_plan = now + kPlanInterval;
    if (held)
      this->PlanRoles();
    std::set<std::string, std::less<>> gone;
    for (const EngineSpec& spec : this->document->document.engines) {
      if (this->context.members.StateOf(spec.id) == MemberState::kGone)
        gone.insert(spec.id);
    }
    this->planner->SetRemovedEngines(std::move(gone));
    this->UpdatePollIntervals();
    this->UpdateDesired();
  }
  this->TickChanges(now);
  if (this->calls_lease->Grant() && now >= this->next_clean) {
    this->next_clean = now + kCleanInterval;
    this->cleaner->Step();
  }
  this->PublishMetrics();
}

void ControlPart::TickChanges(absl::Time now) {
  // Without a change in progress all engines only have to be looked at now and
  // then, which matters when there are hundreds.
  const std::optional<DrainPlanRecord>& plan = this->planner->plan();
  bool calm =
      this->executor->Idle() && (!plan.has_value() || plan->draining.empty());
  if (calm && now < this->next_calm_tick)
    return;
  this->next_calm_tick = now + kCalmInterval;
  this->executor->Tick();
  this->planner->Tick();
}

void ControlPart::PublishMetrics() {
  Metrics& metrics = this->context.metrics;
  std::optional<LeaseGrant> grant = this->zone_lease->Grant();
  metrics.Set("cranberryhill_lease_held", {}, grant ? 1 : 0);
  if (grant) {
    metrics.Set("cranberryhill_fencing_number", {},
                static_cast<double>(grant->fencing_number));
  }
  const OrderExecutorCounters& orders = this->executor->counters();
  metrics.Set("cranberryhill_orders_sent", {},
              static_cast<double>(orders.sent));
  metrics.Set("cranberryhill_orders_done", {},
              static_cast<double>(orders.done));
  metrics.Set("cranberryhill_orders_adopted", {},
              static_cast<double>(orders.adopted));
}

bool ControlPart::holds_lease() const {
  return this->zone_lease->Grant().has_value();
}

void ControlPart::Release() {
  this->executor->Stop();
  if (this->executor->Idle())
    this->zone_lease->Release();
  this->calls_lease->Release();
}

bool ControlPart::released() const {
  return this->zone_lease->released() && this->calls_lease->released();
}

}  // namespace cranberryhill
