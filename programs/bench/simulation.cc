#include "programs/bench/simulation.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "cranberryhill/roles/role_planner.h"
#include "programs/bench/bound.h"
#include "programs/bench/fake_engine.h"

namespace cranberryhill::bench {
namespace {

constexpr double kTickS = 0.010;
constexpr double kReportIntervalS = 0.200;
constexpr double kReportLagS = 0.500;
constexpr double kCacheEventIntervalS = 1.0;
constexpr double kCacheEventLoss = 0.03;
constexpr double kZoneLatencyS = 0.0005;
constexpr double kTransferBaseS = 0.001;
constexpr double kTransferPerTokenS = 0.000005;
constexpr double kCrashDetectionS = 3;  // Design page, section 9.
constexpr double kPlanIntervalS = 1;
constexpr double kAnnounceS = 1;     // Until all instances know a plan.
constexpr double kIdleConfirmS = 3;  // Design page, section 6.
constexpr double kDrainLimitS = 30;
constexpr double kRoleOrderS = 4;  // The engine is unavailable.
constexpr double kTraceIntervalS = 2;
constexpr double kTraceArrivalsS = 10;
constexpr uint32_t kTokensPerNotice = 1;

enum class EventKind : uint8_t {
  kArrival,
  kStepEnd,
  kTick,
  kReport,
  kReportArrives,
  kCacheEvents,
  kTransferred,
  kPlan,
  kDrained,
  kRoleSet,
  kDisturb,
  kRestore,
  kCrashDetected,
  kTrace,
};

struct Event {
  double time = 0;
  uint64_t sequence = 0;  // Orders events of the same time.
  EventKind kind = EventKind::kTick;
  uint64_t a = 0;
  uint64_t b = 0;

  bool operator>(const Event& other) const {
    return this->time != other.time ? this->time > other.time
                                    : this->sequence > other.sequence;
  }
};

double Percentile(std::vector<double>& values, double fraction) {
  if (values.empty())
    return 0;
  auto rank = static_cast<std::ptrdiff_t>(
      fraction * (static_cast<double>(values.size()) - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[static_cast<size_t>(rank)];
}

double AloneSeconds(const RequestSpec& spec) {
  double chunks = std::ceil(spec.new_tokens / kMaxPrefillChunk);
  return spec.new_tokens * kPrefillSeconds + chunks * kStepSeconds +
         spec.prompt_tokens * kTransferPerTokenS + kTransferBaseS +
         (spec.output_tokens - 1.0) * (kStepSeconds + kDecodeSeconds);
}

// State of one request over all of its attempts.
struct Request {
  uint32_t tokens_done = 0;
  uint32_t late_gaps = 0;
  uint32_t attempts = 0;
  double prefill_started = -1;
  double first_token = -1;
  double last_token = -1;
  double longest_silence = 0;
  bool refused = false;
  bool done = false;
  bool affected = false;
  double finished = -1;
};

struct Attempt {
  uint64_t request = 0;
  uint32_t engine = 0;
  uint32_t decode_engine = 0;
  bool decoding = false;
  bool low_priority = false;
  uint32_t unnoticed = 0;  // Tokens that the policy was not told about.
};

struct EngineState {
  std::unique_ptr<FakeEngine> engine;
  bool stepping = false;
  bool alive = true;
  uint64_t epoch = 0;  // Steps begun before a crash are void.
  uint32_t transfers = 0;
  double busy = 0;             // Seconds in steps.
  std::vector<uint64_t> lost;  // Jobs whose loss is not yet detected.
  // Role change in progress.
  bool changing = false;
  EngineRole target = EngineRole::kMixed;
  double drain_started = 0;
  double idle_since = -1;
};

struct DelayedReport {
  uint32_t engine = 0;
  LoadReport report;
};

class Simulation {
 public:
  Simulation(const Scenario& scenario,
             const PolicyInfo& policy,
             uint64_t seed,
             bool trace);
  RunResult Run();

 private:
  // Adds the instance's index to the actions of its policy.
  class Actions : public EntryActions {
   public:
    explicit Actions(Simulation& simulation) : simulation(simulation) {}
    void Start(uint64_t job,
               uint32_t engine,
               uint32_t decode_engine,
               bool low_priority) override {
      this->simulation.StartJob(job, engine, decode_engine, low_priority);
    }
    uint64_t NewJob(uint64_t request) override {
      return this->simulation.NewJob(request);
    }
    void Refuse(uint64_t request, absl::Duration) override {
      this->simulation.requests[request - 1].refused = true;
    }

   private:
    Simulation& simulation;
  };

  void MakeEngines(const PolicyInfo& policy);
  void MakeInstances(const PolicyInfo& policy, uint64_t seed);
  void ScheduleStart();
  void Schedule(double delay, EventKind kind, uint64_t a = 0, uint64_t b = 0);
  void Handle(const Event& event);
  void HandleArrival(uint64_t index);
  void HandleTick();
  void HandleReport();
  void HandleCacheEvents();
  void HandleStepEnd(uint32_t index, uint64_t epoch);
  void HandleTransferred(uint64_t job, uint32_t index);
  void HandlePlan();
  void HandleDrained(uint32_t index);
  void HandleRoleSet(uint32_t index);
  void HandleDisturb(const Disturbance& disturbance);
  void HandleRestore(const Disturbance& disturbance);
  void HandleCrashDetected(uint32_t index);
  void HandleTrace();
  void TraceArrivals() const;

  uint64_t NewJob(uint64_t request);
  void StartJob(uint64_t job,
                uint32_t engine,
                uint32_t decode_engine,
                bool low_priority);
  void Kick(uint32_t index);
  void Apply(const StepEvent& event);
  void OnFirstToken(uint64_t job, Attempt& attempt);
  void OnToken(uint64_t job, Attempt& attempt);
  void OnDone(uint64_t job, const Attempt& attempt);
  void CountToken(Request& request, const Attempt& attempt);
  void MoveToDecode(uint64_t job, Attempt& attempt);
  void LoseJob(uint64_t job, uint32_t engine);
  void ResumeElsewhere(uint32_t index);
  void SetUsable(uint32_t index, bool usable);
  EntryPolicy& PolicyOf(uint64_t request);
  const RequestSpec& SpecOf(uint64_t request) const {
    return this->specs[request - 1];
  }
  EngineJob MakeJob(uint64_t job, const Attempt& attempt) const;

  bool Good(size_t index) const;
  void CountRequests(RunResult& result) const;
  void CountTimes(RunResult& result) const;
  double Fairness() const;

  const Scenario& scenario;
  const PolicyInfo& policy;
  const bool trace;
  const double duration;
  std::vector<RequestSpec> specs;
  ManualClock clock;
  double now = 0;
  uint64_t next_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  SeededRandom random;
  std::vector<EngineInfo> infos;
  std::vector<EngineState> engines;
  std::vector<std::unique_ptr<SeededRandom>> randoms;
  Actions actions;
  std::vector<std::unique_ptr<EntryPolicy>> instances;
  std::vector<std::unique_ptr<RolePlanner>> planners;  // One per zone.
  std::vector<Request> requests;
  absl::flat_hash_map<uint64_t, Attempt> attempts;
  std::queue<DelayedReport> reports;
  uint64_t next_job = 1;
  double role_changes = 0;
  double first_work = 0;
  double repeated_work = 0;
};

RolePlannerOptions PlannerOptions(const PolicyInfo& policy) {
  RolePlannerOptions options;
  options.prefill = {0, 0.75};
  options.decode = {0, 0.75};
  options.mixed = {0.15, 1};
  options.hysteresis = policy.role_hysteresis;
  return options;
}

Simulation::Simulation(const Scenario& scenario,
                       const PolicyInfo& policy,
                       uint64_t seed,
                       bool trace)
    : scenario(scenario),
      policy(policy),
      trace(trace),
      duration(scenario.Duration()),
      specs(MakeArrivals(scenario, seed)),
      random(seed + 1000003),
      actions(*this),
      requests(specs.size()) {
  for (uint32_t zone = 0; zone < scenario.zones; ++zone) {
    this->planners.push_back(
        std::make_unique<RolePlanner>(this->clock, PlannerOptions(policy)));
  }
  this->MakeEngines(policy);
  this->MakeInstances(policy, seed);
  this->ScheduleStart();
}

// All policies begin with the roles that suit the first mix, as an operator
// would have set them.
void Simulation::MakeEngines(const PolicyInfo& policy) {
  LeastWork work = MeanWork(this->scenario.phases[0].mix);
  uint32_t zones = this->scenario.zones;
  std::vector<RoleCounts> left(
      zones, this->planners[0]->BestCounts(
                 work.prefill / work.Sum(),
                 static_cast<int>(this->scenario.engines / zones)));
  for (uint32_t i = 0; i < this->scenario.engines; ++i) {
    RoleCounts& counts = left[i % zones];
    EngineRole role = EngineRole::kMixed;
    if (counts.prefill > 0) {
      role = EngineRole::kPrefill;
      --counts.prefill;
    } else if (counts.decode > 0) {
      role = EngineRole::kDecode;
      --counts.decode;
    }
    this->infos.push_back({fmt::format("engine-{}", i), i % zones, role});
    EngineState state;
    state.engine = std::make_unique<FakeEngine>(role, policy.engine_priorities);
    this->engines.push_back(std::move(state));
  }
}

void Simulation::MakeInstances(const PolicyInfo& policy, uint64_t seed) {
  uint32_t zones = this->scenario.zones;
  for (uint32_t i = 0; i < this->scenario.instances; ++i) {
    this->randoms.push_back(std::make_unique<SeededRandom>(seed * 1000 + i));
    uint32_t zone = i % zones;
    uint32_t same_zone = (this->scenario.instances - zone + zones - 1) / zones;
    this->instances.push_back(MakeEntryPolicy(
        policy.name,
        EntryContext{.clock = this->clock,
                     .random = *this->randoms.back(),
                     .actions = this->actions,
                     .engines = this->infos,
                     .zone = zone,
                     .zone_instances = same_zone,
                     .zone_index = i / zones,
                     .client_latency_s = this->scenario.client_latency_s}));
  }
}

void Simulation::ScheduleStart() {
  if (!this->specs.empty())
    this->Schedule(this->specs[0].arrival, EventKind::kArrival, 0);
  this->Schedule(kTickS, EventKind::kTick);
  this->Schedule(kReportIntervalS, EventKind::kReport);
  this->Schedule(kCacheEventIntervalS, EventKind::kCacheEvents);
  if (this->trace)
    this->Schedule(kTraceIntervalS, EventKind::kTrace);
  if (this->policy.plans_roles)
    this->Schedule(kPlanIntervalS, EventKind::kPlan);
  for (size_t i = 0; i < this->scenario.disturbances.size(); ++i) {
    const Disturbance& disturbance = this->scenario.disturbances[i];
    this->Schedule(disturbance.from, EventKind::kDisturb, i);
    this->Schedule(disturbance.until, EventKind::kRestore, i);
  }
}

void Simulation::Schedule(double delay,
                          EventKind kind,
                          uint64_t a,
                          uint64_t b) {
  this->events.push({this->now + delay, this->next_sequence++, kind, a, b});
}

void Simulation::Handle(const Event& event) {
  auto engine = static_cast<uint32_t>(event.a);
  switch (event.kind) {
    case EventKind::kArrival:
      return this->HandleArrival(event.a);
    case EventKind::kStepEnd:
      return this->HandleStepEnd(engine, event.b);
    case EventKind::kTick:
      return this->HandleTick();
    case EventKind::kReport:
      return this->HandleReport();
    case EventKind::kReportArrives: {
      const DelayedReport& delayed = this->reports.front();
      for (auto& instance : this->instances)
        instance->OnReport(delayed.engine, delayed.report);
      this->reports.pop();
      return;
    }
    case EventKind::kCacheEvents:
      return this->HandleCacheEvents();
    case EventKind::kTransferred:
      return this->HandleTransferred(event.a, static_cast<uint32_t>(event.b));
    case EventKind::kPlan:
      return this->HandlePlan();
    case EventKind::kDrained:
      return this->HandleDrained(engine);
    case EventKind::kRoleSet:
      return this->HandleRoleSet(engine);
    case EventKind::kDisturb:
      return this->HandleDisturb(this->scenario.disturbances[event.a]);
    case EventKind::kRestore:
      return this->HandleRestore(this->scenario.disturbances[event.a]);
    case EventKind::kCrashDetected:
      return this->HandleCrashDetected(engine);
    case EventKind::kTrace:
      return this->HandleTrace();
  }
}

EntryPolicy& Simulation::PolicyOf(uint64_t request) {
  return *this->instances[this->SpecOf(request).instance];
}

void Simulation::HandleArrival(uint64_t index) {
  if (index + 1 < this->specs.size()) {
    this->Schedule(this->specs[index + 1].arrival - this->now,
                   EventKind::kArrival, index + 1);
  }
  const RequestSpec& spec = this->specs[index];
  this->instances[spec.instance]->OnArrival(spec);
}

void Simulation::HandleTick() {
  for (auto& instance : this->instances)
    instance->OnTick();
  this->Schedule(kTickS, EventKind::kTick);
}

void Simulation::HandleReport() {
  for (uint32_t i = 0; i < this->engines.size(); ++i) {
    if (!this->engines[i].alive)
      continue;
    const FakeEngine& engine = *this->engines[i].engine;
    this->reports.push({i,
                        {.measured_at = this->clock.Now(),
                         .running = static_cast<uint32_t>(engine.Running()),
                         .queued = static_cast<uint32_t>(engine.Queued()),
                         .prefill_tokens = engine.WaitingPrefill(),
                         .low_priority_tokens = engine.WaitingLowPriority()}});
    this->Schedule(kReportLagS, EventKind::kReportArrives);
  }
  this->Schedule(kReportIntervalS, EventKind::kReport);
}

void Simulation::HandleCacheEvents() {
  for (uint32_t i = 0; i < this->engines.size(); ++i) {
    std::vector<CacheEvent> events = this->engines[i].engine->TakeCacheEvents();
    std::erase_if(events, [&](const CacheEvent&) {
      return this->random.UniformDouble() < kCacheEventLoss;
    });
    for (auto& instance : this->instances)
      instance->OnCacheEvents(i, events);
  }
  this->Schedule(kCacheEventIntervalS, EventKind::kCacheEvents);
}

uint64_t Simulation::NewJob(uint64_t request) {
  uint64_t job = this->next_job++;
  this->attempts[job].request = request;
  return job;
}

EngineJob Simulation::MakeJob(uint64_t job, const Attempt& attempt) const {
  const RequestSpec& spec = this->SpecOf(attempt.request);
  uint32_t done = this->requests[attempt.request - 1].tokens_done;
  return {.id = job,
          .prompt_tokens = spec.prompt_tokens + done,
          .output_tokens = spec.output_tokens - done,
          .low_priority = attempt.low_priority,
          .decode_elsewhere = attempt.decode_engine != attempt.engine,
          .blocks = spec.blocks};
}

void Simulation::StartJob(uint64_t job,
                          uint32_t engine,
                          uint32_t decode_engine,
                          bool low_priority) {
  Attempt& attempt = this->attempts.at(job);
  attempt.engine = engine;
  attempt.decode_engine = decode_engine;
  attempt.low_priority = low_priority;
  Request& request = this->requests[attempt.request - 1];
  LeastWork work = LeastWorkOf(this->SpecOf(attempt.request));
  if (request.attempts++ > 0)
    this->repeated_work += work.prefill;
  else
    this->first_work += work.Sum();
  EngineState& state = this->engines[engine];
  if (!state.alive) {
    state.lost.push_back(job);
    return;
  }
  state.engine->SubmitPrompt(this->MakeJob(job, attempt));
  this->Kick(engine);
}

void Simulation::Kick(uint32_t index) {
  EngineState& state = this->engines[index];
  if (state.stepping || !state.alive)
    return;
  double seconds = state.engine->StartStep();
  if (seconds <= 0)
    return;
  state.stepping = true;
  state.busy += seconds;
  for (uint64_t job : state.engine->StartedPrefills()) {
    Request& request = this->requests[this->attempts.at(job).request - 1];
    if (request.prefill_started < 0)
      request.prefill_started = this->now;
  }
  this->Schedule(seconds, EventKind::kStepEnd, index, state.epoch);
}

void Simulation::HandleStepEnd(uint32_t index, uint64_t epoch) {
  EngineState& state = this->engines[index];
  if (epoch != state.epoch)
    return;
  state.stepping = false;
  for (const StepEvent& event : state.engine->FinishStep())
    this->Apply(event);
  this->Kick(index);
}

void Simulation::Apply(const StepEvent& event) {
  auto found = this->attempts.find(event.id);
  if (found == this->attempts.end())
    return;
  Attempt& attempt = found->second;
  switch (event.kind) {
    case StepEventKind::kFirstToken:
      return this->OnFirstToken(event.id, attempt);
    case StepEventKind::kToken:
      return this->OnToken(event.id, attempt);
    case StepEventKind::kDone:
      return this->OnDone(event.id, attempt);
  }
}

void Simulation::CountToken(Request& request, const Attempt& attempt) {
  const RequestSpec& spec = this->SpecOf(attempt.request);
  ++request.tokens_done;
  if (request.first_token < 0) {
    request.first_token =
        this->now - spec.arrival + 2 * this->scenario.client_latency_s;
    bool other_zone = this->infos[attempt.engine].zone !=
                      spec.instance % this->scenario.zones;
    request.first_token += other_zone ? 2 * kZoneLatencyS : 0;
    request.longest_silence = request.first_token;
  } else {
    double gap = this->now - request.last_token;
    request.late_gaps += gap > kGapLimitS;
    request.longest_silence = std::max(request.longest_silence, gap);
  }
  request.last_token = this->now;
}

void Simulation::OnFirstToken(uint64_t job, Attempt& attempt) {
  Request& request = this->requests[attempt.request - 1];
  this->CountToken(request, attempt);
  EntryPolicy& policy = this->PolicyOf(attempt.request);
  bool last =
      request.tokens_done == this->SpecOf(attempt.request).output_tokens;
  if (attempt.decode_engine != attempt.engine && !last)
    this->MoveToDecode(job, attempt);
  policy.OnFirstToken(job);
  attempt.decoding = true;
}

void Simulation::MoveToDecode(uint64_t job, Attempt& attempt) {
  auto chosen = this->PolicyOf(attempt.request).DecodeEngine(job);
  // Without any decode engine the prefill engine goes on itself.
  attempt.decode_engine = chosen.value_or(attempt.engine);
  ++this->engines[attempt.decode_engine].transfers;
  double tokens = this->SpecOf(attempt.request).prompt_tokens;
  this->Schedule(kTransferBaseS + kTransferPerTokenS * tokens,
                 EventKind::kTransferred, job, attempt.decode_engine);
}

void Simulation::HandleTransferred(uint64_t job, uint32_t index) {
  EngineState& state = this->engines[index];
  --state.transfers;
  auto found = this->attempts.find(job);
  if (found == this->attempts.end())
    return;
  if (!state.alive) {
    state.lost.push_back(job);
    return;
  }
  state.engine->SubmitDecode(this->MakeJob(job, found->second));
  this->Kick(index);
}

void Simulation::OnToken(uint64_t job, Attempt& attempt) {
  this->CountToken(this->requests[attempt.request - 1], attempt);
  if (++attempt.unnoticed >= kTokensPerNotice) {
    this->PolicyOf(attempt.request).OnTokens(job, attempt.unnoticed);
    attempt.unnoticed = 0;
  }
}

void Simulation::OnDone(uint64_t job, const Attempt& attempt) {
  Request& request = this->requests[attempt.request - 1];
  request.done = true;
  request.finished = this->now;
  this->PolicyOf(attempt.request)
      .OnFinished(job, AttemptEnd::kCompleted, request.tokens_done);
  this->attempts.erase(job);
}

void Simulation::LoseJob(uint64_t job, uint32_t engine) {
  auto found = this->attempts.find(job);
  if (found == this->attempts.end())
    return;
  uint64_t id = found->second.request;
  this->attempts.erase(found);
  EntryPolicy& policy = this->PolicyOf(id);
  policy.OnFinished(job, AttemptEnd::kFailed, 0);
  const Request& request = this->requests[id - 1];
  policy.OnLost({&this->SpecOf(id), request.tokens_done, engine});
}

void Simulation::SetUsable(uint32_t index, bool usable) {
  for (auto& instance : this->instances)
    instance->SetUsable(index, usable);
}

void Simulation::HandleDisturb(const Disturbance& disturbance) {
  EngineState& state = this->engines[disturbance.engine];
  if (!disturbance.crash) {
    state.engine->slow_factor = disturbance.slow_factor;
    return;
  }
  for (uint64_t job : state.engine->Crash())
    state.lost.push_back(job);
  state.alive = false;
  state.stepping = false;
  ++state.epoch;
  this->Schedule(kCrashDetectionS, EventKind::kCrashDetected,
                 disturbance.engine);
}

void Simulation::HandleCrashDetected(uint32_t index) {
  this->SetUsable(index, false);
  for (uint64_t job : std::exchange(this->engines[index].lost, {})) {
    auto found = this->attempts.find(job);
    if (found != this->attempts.end())
      this->requests[found->second.request - 1].affected = true;
    this->LoseJob(job, index);
  }
}

void Simulation::HandleRestore(const Disturbance& disturbance) {
  EngineState& state = this->engines[disturbance.engine];
  state.engine->slow_factor = 1;
  if (!disturbance.crash)
    return;
  state.alive = true;
  for (auto& instance : this->instances)
    instance->OnRestarted(disturbance.engine);
  if (!state.changing)
    this->SetUsable(disturbance.engine, true);
}

void Simulation::HandlePlan() {
  this->Schedule(kPlanIntervalS, EventKind::kPlan);
  uint32_t zones = this->scenario.zones;
  for (uint32_t zone = 0; zone < zones; ++zone) {
    ObservedWork observed;
    for (uint32_t i = zone; i < this->instances.size(); i += zones) {
      ObservedWork part = this->instances[i]->TakeObservedWork();
      observed.prefill_s += part.prefill_s;
      observed.decode_s += part.decode_s;
    }
    RolePlanner& planner = *this->planners[zone];
    planner.ObserveWork(observed.prefill_s, observed.decode_s,
                        absl::Seconds(kPlanIntervalS));
    std::vector<PlannedEngine> planned;
    for (uint32_t i = zone; i < this->engines.size(); i += zones) {
      const EngineState& state = this->engines[i];
      planned.push_back({.id = this->infos[i].id,
                         .role = state.engine->role,
                         .available = state.alive && !state.changing,
                         .load = static_cast<double>(state.engine->Running() +
                                                     state.engine->Queued())});
    }
    planner.SetEngines(std::move(planned));
    auto change = planner.NextChange();
    if (!change)
      continue;
    for (uint32_t i = 0; i < this->infos.size(); ++i) {
      if (this->infos[i].id != change->engine)
        continue;
      EngineState& state = this->engines[i];
      state.changing = true;
      state.target = change->to;
      state.drain_started = this->now;
      state.idle_since = -1;
      this->SetUsable(i, false);
      this->Schedule(kAnnounceS, EventKind::kDrained, i);
    }
  }
}

// Streams that last longer than the drain time are resumed elsewhere.
void Simulation::ResumeElsewhere(uint32_t index) {
  EngineState& state = this->engines[index];
  for (uint64_t job : state.engine->Jobs()) {
    state.engine->Cancel(job);
    this->LoseJob(job, index);
  }
}

void Simulation::HandleDrained(uint32_t index) {
  constexpr double kPollS = 0.1;
  EngineState& state = this->engines[index];
  bool idle = state.alive && state.engine->Idle() && state.transfers == 0;
  if (!idle) {
    state.idle_since = -1;
    if (this->now - state.drain_started > kDrainLimitS)
      this->ResumeElsewhere(index);
  } else if (state.idle_since < 0) {
    state.idle_since = this->now;
  }
  if (idle && this->now - state.idle_since >= kIdleConfirmS)
    this->Schedule(kRoleOrderS, EventKind::kRoleSet, index);
  else
    this->Schedule(kPollS, EventKind::kDrained, index);
}

void Simulation::HandleRoleSet(uint32_t index) {
  EngineState& state = this->engines[index];
  state.engine->role = state.target;
  state.changing = false;
  ++this->role_changes;
  for (auto& instance : this->instances)
    instance->SetRole(index, state.target);
  if (state.alive)
    this->SetUsable(index, true);
  this->planners[this->infos[index].zone]->OnChangeEnded();
}

// One line with role, streams, queue and waiting prefill of each engine.
void Simulation::HandleTrace() {
  this->Schedule(kTraceIntervalS, EventKind::kTrace);
  std::string line = fmt::format("{:6.1f}", this->now);
  for (const EngineState& state : this->engines) {
    const FakeEngine& engine = *state.engine;
    line += fmt::format(" {}{}{}/{}/{:.0f}k", EngineRoleName(engine.role)[0],
                        state.changing ? "*" : "", engine.Running(),
                        engine.Queued(), engine.WaitingPrefill() / 1000);
  }
  fmt::print(stderr, "{} prefill={:.2f}\n", line,
             this->planners[0]->PrefillFraction());
}

// Outcomes by time of arrival.
void Simulation::TraceArrivals() const {
  struct Counts {
    int arrived = 0;
    int good = 0;
    int refused = 0;
    int late_first = 0;
    int late_gaps = 0;
  };
  std::vector<Counts> spans(
      static_cast<size_t>(this->duration / kTraceArrivalsS) + 1);
  for (size_t i = 0; i < this->requests.size(); ++i) {
    const Request& request = this->requests[i];
    Counts& counts =
        spans[static_cast<size_t>(this->specs[i].arrival / kTraceArrivalsS)];
    ++counts.arrived;
    counts.good += this->Good(i);
    counts.refused += request.refused;
    counts.late_first += request.first_token > kFirstTokenLimitS;
    counts.late_gaps += request.done &&
                        request.first_token <= kFirstTokenLimitS &&
                        !this->Good(i);
  }
  for (size_t i = 0; i < this->engines.size(); ++i) {
    fmt::print(stderr, "{} busy {:.2f}\n", this->infos[i].id,
               this->engines[i].busy / this->duration);
  }
  for (size_t i = 0; i < spans.size(); ++i) {
    fmt::print(stderr,
               "from {:.0f} s: arrived {} good {} refused {} first token late "
               "{} gaps late {}\n",
               static_cast<double>(i) * kTraceArrivalsS, spans[i].arrived,
               spans[i].good, spans[i].refused, spans[i].late_first,
               spans[i].late_gaps);
  }
}

bool Simulation::Good(size_t index) const {
  const Request& request = this->requests[index];
  const RequestSpec& spec = this->specs[index];
  if (!request.done || request.tokens_done != spec.output_tokens)
    return false;
  if (spec.deadline > 0)
    return request.finished - spec.arrival <= spec.deadline;
  return request.first_token <= kFirstTokenLimitS &&
         request.late_gaps <= kLateGapShare * spec.output_tokens;
}

void Simulation::CountRequests(RunResult& result) const {
  absl::flat_hash_map<uint64_t, bool> in_progress;
  for (const auto& [job, attempt] : this->attempts)
    in_progress[attempt.request] = true;
  for (size_t i = 0; i < this->requests.size(); ++i) {
    const Request& request = this->requests[i];
    auto kind = static_cast<size_t>(this->specs[i].kind);
    bool good = this->Good(i);
    ++result.arrived;
    ++result.arrived_by_kind[kind];
    result.refused += request.refused;
    result.good += good;
    result.good_by_kind[kind] += good;
    result.late += request.done && !good;
    bool open = in_progress.contains(i + 1);
    result.lost +=
        request.attempts > 0 && !request.done && !open && !request.refused;
  }
}

void Simulation::CountTimes(RunResult& result) const {
  std::vector<double> first;
  std::vector<double> wait;
  std::vector<double> stretch;
  std::vector<double> affected;
  for (size_t i = 0; i < this->requests.size(); ++i) {
    const Request& request = this->requests[i];
    const RequestSpec& spec = this->specs[i];
    if (request.first_token < 0)
      continue;
    if (request.affected)
      affected.push_back(request.longest_silence);
    if (spec.kind == Kind::kBatch) {
      if (request.done) {
        stretch.push_back((request.finished - spec.arrival) /
                          AloneSeconds(spec));
      }
      continue;
    }
    first.push_back(request.first_token);
    wait.push_back(request.prefill_started - spec.arrival);
  }
  result.first_token_p50 = Percentile(first, 0.5);
  result.first_token_p99 = Percentile(first, 0.99);
  result.short_wait_p99 = Percentile(wait, 0.99);
  result.long_stretch_p99 = Percentile(stretch, 0.99);
  result.affected = affected.size();
  result.affected_p99 = Percentile(affected, 0.99);
}

// Divides the work served by its max-min fair division among customers of
// equal weight, none of which gets more than it asked for.
double Simulation::Fairness() const {
  std::vector<double> offered(this->scenario.customers, 0);
  std::vector<double> served(this->scenario.customers, 0);
  for (size_t i = 0; i < this->requests.size(); ++i) {
    double work = LeastWorkOf(this->specs[i]).Sum();
    offered[this->specs[i].customer] += work;
    if (this->Good(i))
      served[this->specs[i].customer] += work;
  }
  double left = 0;
  for (double work : served)
    left += work;
  std::vector<size_t> order(offered.size());
  for (size_t i = 0; i < order.size(); ++i)
    order[i] = i;
  std::sort(order.begin(), order.end(),
            [&](size_t a, size_t b) { return offered[a] < offered[b]; });
  double least = 1;
  for (size_t i = 0; i < order.size(); ++i) {
    double fair = std::min(offered[order[i]],
                           left / static_cast<double>(order.size() - i));
    left -= fair;
    if (fair > 0)
      least = std::min(least, served[order[i]] / fair);
  }
  return least;
}

RunResult Simulation::Run() {
  while (!this->events.empty() && this->events.top().time <= this->duration) {
    Event event = this->events.top();
    this->events.pop();
    this->now = event.time;
    this->clock.Set(absl::UnixEpoch() + absl::Seconds(this->now));
    this->Handle(event);
  }
  if (this->trace)
    this->TraceArrivals();
  RunResult result;
  this->CountRequests(result);
  this->CountTimes(result);
  Bound bound = BoundOf(this->scenario, this->specs);
  result.goodput =
      static_cast<double>(result.good) / this->scenario.ArrivalSeconds();
  result.bound_ratio = result.goodput / bound.goodput;
  result.capacity_ratio = result.goodput / bound.capacity;
  result.role_changes = this->role_changes;
  result.extra_work =
      this->first_work > 0 ? this->repeated_work / this->first_work : 0;
  result.fairness = this->Fairness();
  return result;
}

}  // namespace

RunResult RunScenario(const Scenario& scenario,
                      const PolicyInfo& policy,
                      uint64_t seed,
                      bool trace) {
  RunResult result = Simulation(scenario, policy, seed, trace).Run();
  result.seed = seed;
  return result;
}

}  // namespace cranberryhill::bench
