// Simulates several instances, each with a lease, an executor, a planner and a
// view of the drain plan, over one table and with fake engines on a virtual
// clock.

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cranberryhill/base/executor.h"
#include "cranberryhill/orders/change_planner.h"
#include "cranberryhill/orders/drain_plan_view.h"
#include "cranberryhill/orders/order_executor.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
constexpr char kPlanKey[] = "plan/e/z/0";

// A clock that runs at `rate` times the speed of the reference clock and has
// its own origin.
class SkewedClock : public Clock {
 public:
  SkewedClock(const Clock& reference_clock, double rate)
      : reference_clock(reference_clock), rate(rate) {}
  absl::Time Now() const override {
    return absl::FromUnixSeconds(500) +
           (this->reference_clock.Now() - absl::UnixEpoch()) * this->rate;
  }

 private:
  const Clock& reference_clock;
  double rate;
};

// A simulated engine. It records violations: events that a correct lease holder
// never causes.
struct FakeEngine {
  std::string name;
  bool checks_fencing = false;
  std::string role = "mixed";
  std::vector<LoadedModel> models;
  size_t max_loaded_models = 0;
  uint64_t highest_fencing_number = 0;
  EngineOrder last_order;  ///< The last accepted order other than `observe`.
  bool changing = false;
  uint64_t incarnation = 1;
  absl::Time down_until = absl::InfinitePast();
  uint64_t running = 0;
  absl::Time idle_since = absl::InfinitePast();
  uint64_t order_count = 0;
  std::vector<std::string> violations;

  EngineReport Report() const {
    EngineReport report;
    report.role = this->role;
    report.models = this->models;
    return report;
  }

  void ApplyOrder(const EngineOrder& order) {
    if (order.kind == OrderKind::kSetRole)
      this->role = order.role;
    if (order.kind == OrderKind::kUnload)
      std::erase(this->models, order.model);
    if (order.kind == OrderKind::kLoad)
      this->models.push_back(order.model);
    this->max_loaded_models =
        std::max(this->max_loaded_models, this->models.size());
  }
};

struct Simulation;

constexpr const char* kRoles[] = {"prefill", "decode", "mixed"};

// One entry instance of the simulation. It is also the OrderSender of its own
// executor.
struct Instance : OrderSender {
  Instance(Simulation& simulation, int index, double rate);

  void Restart();
  void Tick();
  void ReadPlan();
  void StartRequest(FakeEngine& engine, bool probe);
  void StartRandomOrders();
  void Send(const EngineOrder& order,
            std::function<bool()> may_write,
            OrderSendCallback callback) override;
  void ReadReport(const std::string& engine, ReportCallback callback) override;
  // Runs `task` now, or when the pause of this instance ends.
  void RunWhenNotPaused(std::function<void()> task);
  void WriteOrder(const EngineOrder& order, const OrderSendCallback& callback);

  Simulation& simulation;
  std::string id;
  MemoryTable table;
  SkewedClock clock;
  SeededRandom random;
  absl::Time paused_until = absl::InfinitePast();
  absl::Time next_plan_read = absl::InfinitePast();
  /// True while the instance is cut off from the table and from the other
  /// instances.
  bool isolated = false;
  bool starts_requests = true;
  /// When true, the instance alternates between periods in which it starts
  /// requests and periods in which it starts none.
  bool requests_in_bursts = false;
  uint64_t restart_count = 0;
  std::unique_ptr<LeaseManager> lease;
  std::unique_ptr<OrderExecutor> executor;
  std::unique_ptr<ChangePlanner> planner;
  std::unique_ptr<DrainPlanView> view;
};

struct Simulation {
  /// @param use_planner When true, planners start the orders and requests run
  ///     meanwhile. When false, the test starts orders directly, as fast as the
  ///     executors accept them.
  Simulation(bool checks_fencing, bool use_planner, uint64_t seed = 1)
      : use_planner(use_planner), random(seed), tasks(this->clock) {
    for (const char* name : {"e0", "e1"}) {
      this->engines.emplace_back();
      this->engines.back().name = name;
      this->engines.back().checks_fencing = checks_fencing;
      this->desired.push_back({name, "mixed", {}});
    }
    for (double rate : {0.9955, 1.0, 1.0045}) {
      this->instances.push_back(std::make_unique<Instance>(
          *this, static_cast<int>(this->instances.size()), rate));
    }
  }

  absl::Duration RandomDuration(int low_ms, int high_ms) {
    return absl::Milliseconds(static_cast<int64_t>(this->random.UniformInt(
        static_cast<uint64_t>(low_ms), static_cast<uint64_t>(high_ms))));
  }

  FakeEngine& FindEngine(const std::string& name) {
    return name == "e0" ? this->engines[0] : this->engines[1];
  }

  void Run(absl::Duration duration) {
    absl::Time end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->tasks.RunFor(kTickInterval);
      for (auto& instance : this->instances) {
        if (this->clock.Now() >= instance->paused_until)
          instance->Tick();
        this->CheckEnginesFenced(*instance);
      }
    }
  }

  void ClearFaults() {
    for (auto& instance : this->instances) {
      instance->table.SetFaults({});
      instance->isolated = false;
    }
  }

  // Returns false when the condition is not met within one minute.
  bool RunUntil(const std::function<bool()>& condition) {
    absl::Time end = this->clock.Now() + absl::Minutes(1);
    while (!condition() && this->clock.Now() < end)
      this->Run(kTickInterval);
    return condition();
  }

  // Records a violation when a lease holder treats an engine as taken over
  // before the engine has received the holder's fencing number.
  void CheckEnginesFenced(Instance& instance) {
    auto grant = instance.lease->Grant();
    for (FakeEngine& engine : this->engines) {
      if (grant && engine.checks_fencing &&
          engine.highest_fencing_number < grant->fencing_number &&
          instance.executor->StateOf(engine.name) !=
              EngineOrderState::kUnknown) {
        engine.violations.push_back("engine not fenced by the lease holder");
      }
    }
  }

  Instance* Holder() {
    for (auto& instance : this->instances) {
      if (instance->lease->Grant())
        return instance.get();
    }
    return nullptr;
  }

  void SetDesired(size_t engine, const std::string& role) {
    this->desired[engine].role = role;
    for (auto& instance : this->instances)
      instance->planner->SetDesired(this->desired);
  }

  OrderSendResult DeliverOrder(const EngineOrder& order);
  void CrashEngine(FakeEngine& engine, absl::Duration duration);
  bool IsUp(const FakeEngine& engine) const {
    return this->clock.Now() >= engine.down_until;
  }

  std::vector<std::string> Violations() const {
    std::vector<std::string> all_violations;
    for (const FakeEngine& engine : this->engines) {
      all_violations.insert(all_violations.end(), engine.violations.begin(),
                            engine.violations.end());
    }
    return all_violations;
  }

  const bool use_planner;
  ManualClock clock;
  SeededRandom random;
  ManualExecutor tasks;
  TableRows rows;
  std::vector<FakeEngine> engines;
  std::vector<DesiredEngineState> desired;
  std::vector<std::unique_ptr<Instance>> instances;
  /// When true, orders take up to 2 s to arrive (assumption A2 of the design)
  /// and half of their answers are lost.
  bool slow_orders = false;
  /// How long the next instance that sends an order pauses before it checks the
  /// lease.
  absl::Duration pause_before_check;
  /// How long the next instance that sends an order pauses between its check of
  /// the lease and the write.
  absl::Duration pause_after_check;
};

OrderSendResult Simulation::DeliverOrder(const EngineOrder& order) {
  FakeEngine& engine = this->FindEngine(order.engine);
  if (!this->IsUp(engine))
    return OrderSendResult::kUnknown;
  if (engine.checks_fencing &&
      order.fencing_number < engine.highest_fencing_number)
    return OrderSendResult::kStaleFencingNumber;
  engine.highest_fencing_number =
      std::max(engine.highest_fencing_number, order.fencing_number);
  if (order.kind == OrderKind::kObserve)
    return OrderSendResult::kAccepted;
  ++engine.order_count;
  bool target_differs = engine.last_order.order_number != 0 &&
                        !SameTarget(engine.last_order, order);
  if (target_differs && engine.changing)
    engine.violations.push_back("conflicting order arrived during a change");
  if (target_differs && order.order_number <= engine.last_order.order_number)
    engine.violations.push_back("older order arrived after a newer one");
  engine.last_order = order;
  if (engine.changing || TargetReached(order, engine.Report()))
    return OrderSendResult::kAccepted;
  if (engine.running > 0)
    engine.violations.push_back("running request interrupted");
  for (const auto& instance : this->instances) {
    if (this->use_planner && instance->view->MayStart(engine.name))
      engine.violations.push_back("change started while work may start");
  }
  engine.changing = true;
  this->tasks.RunAfter(
      this->RandomDuration(500, 3000),
      [&engine, order, scheduled_incarnation = engine.incarnation] {
        if (scheduled_incarnation != engine.incarnation)
          return;
        engine.changing = false;
        engine.ApplyOrder(order);
      });
  return OrderSendResult::kAccepted;
}

void Simulation::CrashEngine(FakeEngine& engine, absl::Duration duration) {
  ++engine.incarnation;
  engine.changing = false;
  engine.running = 0;
  engine.role = "mixed";
  engine.down_until = this->clock.Now() + duration;
  engine.idle_since = engine.down_until;
}

Instance::Instance(Simulation& simulation, int index, double rate)
    : simulation(simulation),
      id("i" + std::to_string(index)),
      table(simulation.rows),
      clock(simulation.clock, rate),
      random(static_cast<uint64_t>(index) + 1) {
  this->table.SetDeferred(true);
  this->Restart();
}

void Instance::Restart() {
  ++this->restart_count;
  this->planner.reset();
  this->executor.reset();
  this->lease = std::make_unique<LeaseManager>(
      LeaseSettings{.key = "lease/e/z/0", .holder = this->id, .address = "a"},
      this->table, this->clock, this->random);
  this->executor = std::make_unique<OrderExecutor>(
      OrderExecutorSettings{.environment = "e", .zone = "z"}, *this->lease,
      this->table, *this, this->clock);
  this->planner = std::make_unique<ChangePlanner>(
      ChangePlannerSettings{.environment = "e", .zone = "z", .shard = "0"},
      *this->lease, *this->executor, this->table, this->clock);
  this->view =
      std::make_unique<DrainPlanView>(DrainPlanViewSettings{}, this->clock);
  std::vector<ManagedEngine> managed;
  for (const FakeEngine& engine : this->simulation.engines)
    managed.push_back({engine.name, engine.checks_fencing});
  this->executor->SetEngines(managed);
  this->planner->SetEntryInstances({"i0", "i1", "i2"}, UINT64_MAX);
  this->planner->SetDesired(this->simulation.desired);
}

void Instance::RunWhenNotPaused(std::function<void()> task) {
  absl::Time now = this->simulation.clock.Now();
  if (now >= this->paused_until) {
    task();
    return;
  }
  this->simulation.tasks.RunAfter(
      this->paused_until - now,
      [this, task = std::move(task)] { this->RunWhenNotPaused(task); });
}

void Instance::Tick() {
  this->table.Pump();
  this->lease->Tick();
  this->executor->Tick();
  if (!this->simulation.use_planner) {
    this->StartRandomOrders();
    return;
  }
  this->planner->Tick();
  if (this->clock.Now() >= this->next_plan_read)
    this->ReadPlan();
  // Bursts last several seconds; the engines are idle in between.
  if (this->requests_in_bursts &&
      this->simulation.random.UniformInt(0, 39) == 0)
    this->starts_requests = !this->starts_requests;
  std::vector<std::string> names;
  for (FakeEngine& engine : this->simulation.engines) {
    names.push_back(engine.name);
    if (this->starts_requests && this->simulation.random.UniformInt(0, 9) == 0)
      this->StartRequest(engine, false);
  }
  for (const std::string& name : this->view->ProbesDue(names))
    this->StartRequest(this->simulation.FindEngine(name), true);
}

void Instance::StartRandomOrders() {
  for (const FakeEngine& engine : this->simulation.engines) {
    this->executor->PermitResend(engine.name);
    EngineOrder order;
    order.engine = engine.name;
    order.kind = OrderKind::kSetRole;
    order.role = kRoles[this->simulation.random.UniformInt(0, 2)];
    this->executor->Start(order);
  }
}

void Instance::ReadPlan() {
  absl::Time requested_at = this->clock.Now();
  this->next_plan_read = requested_at + absl::Milliseconds(1500);
  this->table.Read({kPlanKey}, [this, requested_at,
                                scheduled_restart_count = this->restart_count](
                                   const ReadOutcome& outcome) {
    if (!outcome.ok() || scheduled_restart_count != this->restart_count)
      return;
    DrainPlanRecord plan;
    if (!outcome.value().empty())
      plan = ParseDrainPlanRecord(outcome.value()[0].value).value();
    this->view->UpdatePlan(plan, requested_at);
    for (auto& peer : this->simulation.instances) {
      if (!this->isolated && !peer->isolated)
        peer->planner->OnAcknowledged(this->id, plan.plan_version);
    }
  });
}

void Instance::StartRequest(FakeEngine& engine, bool probe) {
  if (!this->view->MayStart(engine.name))
    return;
  absl::Time sent_at = this->clock.Now();
  // The transit time stays below max_request_transit (1 s).
  absl::Duration transit_time = probe ? this->simulation.RandomDuration(1, 50)
                                      : this->simulation.RandomDuration(1, 950);
  absl::Duration run_time = probe ? absl::Milliseconds(20)
                                  : this->simulation.RandomDuration(50, 3000);
  Simulation& simulation = this->simulation;
  simulation.tasks.RunAfter(
      transit_time, [this, &simulation, &engine, sent_at, run_time,
                     scheduled_restart_count = this->restart_count] {
        if (!simulation.IsUp(engine))
          return;
        if (engine.changing) {
          engine.violations.push_back("request arrived during a change");
          return;
        }
        ++engine.running;
        simulation.tasks.RunAfter(run_time, [this, &simulation, &engine,
                                             sent_at, scheduled_restart_count,
                                             incarnation = engine.incarnation] {
          if (incarnation != engine.incarnation)
            return;
          --engine.running;
          engine.idle_since = simulation.clock.Now();
          this->RunWhenNotPaused(
              [this, &engine, sent_at, scheduled_restart_count] {
                if (scheduled_restart_count == this->restart_count)
                  this->view->OnUse(engine.name, sent_at);
              });
        });
      });
}

void Instance::Send(const EngineOrder& order,
                    std::function<bool()> may_write,
                    OrderSendCallback callback) {
  Simulation& simulation = this->simulation;
  auto check_and_write = [this, &simulation, order, may_write, callback] {
    if (!may_write()) {
      callback(OrderSendResult::kNotSent);
      return;
    }
    auto grant = this->lease->Grant();
    if (!grant || grant->valid_until < this->clock.Now() + absl::Seconds(1))
      simulation.FindEngine(order.engine)
          .violations.push_back(
              "order written too close to the end of the lease");
    absl::Duration pause =
        std::exchange(simulation.pause_after_check, absl::ZeroDuration());
    this->paused_until =
        std::max(this->paused_until, simulation.clock.Now() + pause);
    simulation.tasks.RunAfter(
        pause, [this, order, callback] { this->WriteOrder(order, callback); });
  };
  simulation.tasks.RunAfter(
      simulation.RandomDuration(1, 300), [this, &simulation, check_and_write] {
        absl::Duration pause =
            std::exchange(simulation.pause_before_check, absl::ZeroDuration());
        this->paused_until =
            std::max(this->paused_until, simulation.clock.Now() + pause);
        this->RunWhenNotPaused(check_and_write);
      });
}

void Instance::WriteOrder(const EngineOrder& order,
                          const OrderSendCallback& callback) {
  Simulation& simulation = this->simulation;
  bool answer_lost =
      simulation.slow_orders && simulation.random.UniformInt(0, 1) == 0;
  absl::Duration transit_time = simulation.slow_orders
                                    ? simulation.RandomDuration(1, 1990)
                                    : absl::Milliseconds(10);
  if (answer_lost) {
    simulation.tasks.RunAfter(absl::Milliseconds(10), [this, callback] {
      this->RunWhenNotPaused(
          [callback] { callback(OrderSendResult::kUnknown); });
    });
  }
  simulation.tasks.RunAfter(
      transit_time, [this, &simulation, order, answer_lost, callback] {
        OrderSendResult result = simulation.DeliverOrder(order);
        if (!answer_lost)
          this->RunWhenNotPaused([callback, result] { callback(result); });
      });
}

void Instance::ReadReport(const std::string& name, ReportCallback callback) {
  Simulation& simulation = this->simulation;
  simulation.tasks.RunAfter(
      absl::Milliseconds(20), [this, &simulation, name, callback] {
        const FakeEngine& engine = simulation.FindEngine(name);
        std::optional<EngineReport> report;
        if (simulation.IsUp(engine) && !engine.changing) {
          report = engine.Report();
          report->running = engine.running;
          report->idle_for = engine.running > 0
                                 ? absl::ZeroDuration()
                                 : simulation.clock.Now() - engine.idle_since;
        }
        this->RunWhenNotPaused([callback, report] { callback(report); });
      });
}

// A fault, a restart or a change of the desired roles, followed by `steps`
// ticks.
struct Event {
  int kind;
  int instance;
  int engine;
  int steps;
};

Instance& TargetInstance(const Event& event, Simulation& simulation) {
  // Half of the faults apply to the lease holder, where they matter most.
  Instance* holder = simulation.Holder();
  bool at_holder = event.instance >= 3 && holder != nullptr;
  return at_holder
             ? *holder
             : *simulation.instances[static_cast<size_t>(event.instance % 3)];
}

void ApplyToInstance(const Event& event, Instance& instance) {
  switch (event.kind) {
    case 0:
      instance.table.SetFaults({});
      instance.isolated = false;
      break;
    case 1:
      instance.table.SetFaults({.outage = true});
      instance.isolated = true;
      break;
    case 2:
      instance.table.SetFaults({.lose_answers = true});
      break;
    case 3:
      instance.table.SetFaults({.delay_commits = true});
      break;
    case 4:
      instance.table.DeliverLate();
      break;
    case 5:
      instance.paused_until =
          instance.simulation.clock.Now() + kTickInterval * event.steps * 3;
      break;
    default:
      instance.Restart();
      break;
  }
}

void ApplyEvent(const Event& event,
                Simulation& simulation,
                absl::Duration max_pause_after_check) {
  switch (event.kind) {
    case 7:
      simulation.CrashEngine(
          simulation.engines[static_cast<size_t>(event.engine)],
          kTickInterval * event.steps);
      break;
    case 8:
      simulation.pause_before_check = kTickInterval * event.steps * 4;
      break;
    case 9:
      simulation.pause_after_check =
          max_pause_after_check * (event.steps / 60.0);
      break;
    case 10:
      simulation.slow_orders = !simulation.slow_orders;
      break;
    case 11:
    case 12:
    case 13:
      simulation.SetDesired(static_cast<size_t>(event.engine),
                            kRoles[event.steps % 3]);
      break;
    default:
      ApplyToInstance(event, TargetInstance(event, simulation));
      break;
  }
}

void CheckInterleavings(Simulation& simulation,
                        absl::Duration max_pause_after_check) {
  auto events = *rc::gen::container<std::vector<Event>>(rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::inRange(0, 14)),
      rc::gen::set(&Event::instance, rc::gen::inRange(0, 6)),
      rc::gen::set(&Event::engine, rc::gen::inRange(0, 2)),
      rc::gen::set(&Event::steps, rc::gen::inRange(1, 60))));
  // When no requests are started, the engines are idle and changes follow each
  // other as fast as the protocol allows.
  bool without_requests = *rc::gen::arbitrary<bool>();
  for (auto& instance : simulation.instances) {
    instance->starts_requests = !without_requests;
    instance->requests_in_bursts = !without_requests;
  }
  simulation.Run(absl::Seconds(3));
  for (const Event& event : events) {
    ApplyEvent(event, simulation, max_pause_after_check);
    simulation.Run(kTickInterval * event.steps);
    RC_ASSERT(simulation.Violations() == std::vector<std::string>());
    // An instance that stays isolated delays all changes, so the faults are
    // cleared after some of the events.
    if (event.steps % 2 == 0)
      simulation.ClearFaults();
  }
  simulation.ClearFaults();
  for (auto& instance : simulation.instances) {
    if (!simulation.use_planner)
      instance->executor->Stop();
  }
  simulation.slow_orders = false;
  simulation.Run(absl::Seconds(120));
  RC_ASSERT(simulation.Violations() == std::vector<std::string>());
  // After the faults have ended, no engine stays marked and no order
  // unfinished.
  RC_ASSERT(simulation.Holder() != nullptr);
  for (size_t i = 0; i < simulation.engines.size(); ++i) {
    const FakeEngine& engine = simulation.engines[i];
    RC_ASSERT(simulation.Holder()->executor->StateOf(engine.name) ==
              EngineOrderState::kSettled);
    RC_ASSERT(!simulation.use_planner ||
              engine.role == simulation.desired[i].role);
  }
  for (const Row& row : simulation.rows.Read({kPlanKey}))
    RC_ASSERT(ParseDrainPlanRecord(row.value).value().draining.empty());
}

// Guards against conflicting orders and orders out of sequence from two lease
// holders at engines that check fencing numbers. The lease holder may pause for
// any time between its check of the lease and the write.
RC_BOOST_PROP(OrdersToEnginesThatCheckFencingNumbers, (uint32_t seed)) {
  Simulation simulation(true, false, seed);
  CheckInterleavings(simulation, absl::Seconds(20));
}

// Guards against conflicting orders and orders out of sequence at engines that
// ignore fencing numbers. Delays and clock rates stay within the assumptions A1
// to A4 of the design.
RC_BOOST_PROP(OrdersToEnginesThatIgnoreFencingNumbers, (uint32_t seed)) {
  Simulation simulation(false, false, seed);
  CheckInterleavings(simulation, absl::Milliseconds(1900));
}

// Guards against planned changes that interrupt a request or never end.
RC_BOOST_PROP(PlannedChangesInterruptNoRequest, (uint32_t seed)) {
  Simulation simulation(seed % 2 == 0, true, seed);
  CheckInterleavings(simulation, absl::Milliseconds(1900));
}

// Guards against changing an engine while a paused instance may still start
// work on it because of an older view of the plan; the list of entry instances
// does not contain that instance. Also guards against changes that wait for
// view_ttl although all instances have acknowledged the plan.
BOOST_AUTO_TEST_CASE(ChangeWaitsForViewTtlOrAcknowledgements) {
  for (bool all_acknowledge : {false, true}) {
    Simulation simulation(true, true);
    for (auto& instance : simulation.instances)
      instance->starts_requests = false;
    simulation.Run(absl::Seconds(10));
    Instance* holder = simulation.Holder();
    BOOST_REQUIRE(holder != nullptr);
    Instance& paused_instance =
        *simulation.instances[holder->id == "i0" ? 1 : 0];
    BOOST_REQUIRE(simulation.RunUntil(
        [&] { return paused_instance.view->Age() < absl::Milliseconds(300); }));
    if (!all_acknowledge) {
      paused_instance.paused_until = absl::InfiniteFuture();
      holder->planner->SetEntryInstances({holder->id, "i2"});
    }
    simulation.SetDesired(0, "prefill");
    absl::Time start = simulation.clock.Now();
    BOOST_REQUIRE(simulation.RunUntil(
        [&] { return simulation.engines[0].order_count > 0; }));
    absl::Duration elapsed = simulation.clock.Now() - start;
    // Without all acknowledgements, the change takes longer than view_ttl (5 s)
    // and max_request_transit (1 s) together.
    BOOST_TEST((elapsed > absl::Seconds(6)) == !all_acknowledge);
    BOOST_TEST(simulation.Violations().empty());
  }
}

// Guards against a new lease holder that sends to an engine that ignores
// fencing numbers while an order of the previous holder may still arrive, or
// that sends another order before it has repeated the inherited one.
BOOST_AUTO_TEST_CASE(SuccessorWaitsAndRepeatsTheInheritedOrder) {
  Simulation simulation(false, false);
  FakeEngine& engine = simulation.engines[0];
  BOOST_REQUIRE(simulation.RunUntil([&] { return engine.order_count > 0; }));
  EngineOrder inherited = engine.last_order;
  Instance* first_holder = simulation.Holder();
  BOOST_REQUIRE(first_holder != nullptr);
  first_holder->paused_until = absl::InfiniteFuture();
  BOOST_REQUIRE(simulation.RunUntil([&] {
    return simulation.Holder() != nullptr &&
           simulation.Holder() != first_holder;
  }));
  Instance* successor = simulation.Holder();
  BOOST_REQUIRE(simulation.RunUntil([&] { return engine.order_count > 1; }));
  BOOST_TEST(SameTarget(engine.last_order, inherited));
  BOOST_TEST(engine.last_order.order_number == inherited.order_number);
  absl::Duration wait_after_takeover =
      successor->clock.Now() - successor->lease->Grant()->acquired_at;
  BOOST_TEST((wait_after_takeover >= absl::Seconds(3)));
}

// Guards against a change that has to wait for the change of another engine,
// and against loading a model before the old one is unloaded.
BOOST_AUTO_TEST_CASE(UngroupedEnginesChangeAtTheSameTime) {
  Simulation simulation(true, true);
  simulation.Run(absl::Seconds(5));
  simulation.engines[0].models = {{"m", "1", ""}};
  simulation.desired[0].models = {{"m", "2", "a"}};
  simulation.SetDesired(0, "prefill");
  simulation.SetDesired(1, "decode");
  // Long enough for the views to expire (5 s), requests to end (up to 3 s), the
  // idle time (3 s), orders and polls.
  simulation.Run(absl::Seconds(25));
  BOOST_TEST((simulation.engines[0].models == simulation.desired[0].models));
  BOOST_TEST(simulation.engines[0].max_loaded_models == 1U);
  BOOST_TEST(simulation.engines[0].role == "prefill");
  BOOST_TEST(simulation.engines[1].role == "decode");
  BOOST_TEST(simulation.Violations().empty());
}

// Guards against a change of a removed engine that stays announced, and against
// sending its order after the engine has returned.
BOOST_AUTO_TEST_CASE(ChangeOfARemovedEngineIsAbandoned) {
  Simulation simulation(false, true);
  simulation.Run(absl::Seconds(5));
  Instance* holder = simulation.Holder();
  BOOST_REQUIRE(holder != nullptr);
  ChangePlanner& planner = *holder->planner;
  simulation.SetDesired(0, "prefill");
  BOOST_REQUIRE(simulation.RunUntil(
      [&] { return planner.StepOf("e0") == EngineChangeStep::kOrdering; }));
  simulation.CrashEngine(simulation.engines[0], absl::Seconds(40));
  simulation.Run(absl::Seconds(30));
  planner.SetRemovedEngines({"e0"});
  simulation.Run(absl::Seconds(3));
  BOOST_TEST((planner.StepOf("e0") == EngineChangeStep::kNone));
  BOOST_TEST(planner.counters().abandoned == 1U);
  BOOST_TEST(planner.plan()->draining.empty());
  simulation.Run(absl::Seconds(20));
  BOOST_TEST(simulation.engines[0].role == "mixed");
  planner.SetRemovedEngines({});
  simulation.Run(absl::Seconds(30));
  BOOST_TEST(simulation.engines[0].role == "prefill");
  BOOST_TEST(simulation.Violations().empty());
}

// Guards against changing an engine while an isolated instance keeps using it,
// and against a change that never happens after that instance has stopped.
BOOST_AUTO_TEST_CASE(IsolatedInstanceDelaysChange) {
  Simulation simulation(false, true);
  simulation.Run(absl::Seconds(5));
  Instance* holder = simulation.Holder();
  BOOST_REQUIRE(holder != nullptr);
  Instance& isolated = *simulation.instances[holder->id == "i0" ? 1 : 0];
  for (auto& instance : simulation.instances)
    instance->starts_requests = instance.get() == &isolated;
  isolated.table.SetFaults({.outage = true});
  isolated.isolated = true;
  simulation.SetDesired(0, "prefill");
  simulation.Run(absl::Seconds(60));
  BOOST_TEST(isolated.view->MayStart("e0"));
  BOOST_TEST(simulation.engines[0].role == "mixed");
  BOOST_TEST(holder->planner->counters().started == 1U);
  isolated.paused_until = simulation.clock.Now() + absl::Seconds(60);
  simulation.Run(absl::Seconds(20));
  BOOST_TEST(simulation.engines[0].role == "prefill");
  isolated.paused_until = absl::InfinitePast();
  simulation.Run(absl::Seconds(2));
  BOOST_TEST(!isolated.view->MayStart("e0"));
  BOOST_TEST(simulation.Violations().empty());
}

}  // namespace
}  // namespace cranberryhill
