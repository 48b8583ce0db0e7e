// Several instances with lease, executor, planner and view over one table and
// small fake engines, on a virtual clock.

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cranberryhill/base/executor.h"
#include "cranberryhill/orders/change_planner.h"
#include "cranberryhill/orders/order_executor.h"
#include "cranberryhill/orders/view_grant.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(100);
constexpr char kPlanKey[] = "plan/e/z/0";

class SkewedClock : public Clock {
 public:
  SkewedClock(const Clock& world, double rate) : world(world), rate(rate) {}
  absl::Time Now() const override {
    return absl::FromUnixSeconds(500) +
           (this->world.Now() - absl::UnixEpoch()) * this->rate;
  }

 private:
  const Clock& world;
  double rate;
};

// Records what a correct holder never causes.
struct FakeEngine {
  std::string name;
  bool checks_fencing = false;
  std::string role = "mixed";
  std::vector<LoadedModel> models;
  size_t most_models = 0;
  uint64_t highest_fencing = 0;
  EngineOrder last;  ///< The last order that it acted on.
  bool changing = false;
  uint64_t incarnation = 1;
  absl::Time down_until = absl::InfinitePast();
  uint64_t running = 0;
  absl::Time idle_since = absl::InfinitePast();
  uint64_t orders = 0;
  std::vector<std::string> violations;

  EngineReport Report() const {
    EngineReport report;
    report.role = this->role;
    report.models = this->models;
    return report;
  }

  void Apply(const EngineOrder& order) {
    if (order.kind == OrderKind::kSetRole)
      this->role = order.role;
    if (order.kind == OrderKind::kUnload)
      std::erase(this->models, order.model);
    if (order.kind == OrderKind::kLoad)
      this->models.push_back(order.model);
    this->most_models = std::max(this->most_models, this->models.size());
  }
};

struct World;

constexpr const char* kRoles[] = {"prefill", "decode", "mixed"};

struct Instance : OrderSender {
  Instance(World& world, int index, double rate);

  void Restart();
  void Tick();
  void ReadView();
  void StartWork(FakeEngine& engine, bool probe);
  void DriveOrders();
  void Send(const EngineOrder& order,
            std::function<bool()> may_write,
            OrderSendCallback callback) override;
  void ReadReport(const std::string& engine, ReportCallback callback) override;
  // Runs `task` when this process is not paused.
  void WhenRunning(std::function<void()> task);
  void Write(const EngineOrder& order, const OrderSendCallback& callback);

  World& world;
  std::string id;
  MemoryTable table;
  SkewedClock clock;
  SeededRandom random;
  absl::Time paused_until = absl::InfinitePast();
  absl::Time next_view = absl::InfinitePast();
  bool isolated = false;  ///< From the table and from other instances.
  bool works = true;
  bool bursts = false;  ///< Works at some times only.
  uint64_t epoch = 0;
  std::unique_ptr<LeaseKeeper> lease;
  std::unique_ptr<OrderExecutor> executor;
  std::unique_ptr<ChangePlanner> planner;
  std::unique_ptr<ViewGrant> view;
};

struct World {
  /// @param planned Orders come from planners while requests run; otherwise
  ///     the executors are driven directly, as fast as they take orders.
  World(bool checks_fencing, bool planned, uint64_t seed = 1)
      : planned(planned), random(seed), tasks(this->clock) {
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

  absl::Duration Between(int low_ms, int high_ms) {
    return absl::Milliseconds(static_cast<int64_t>(this->random.UniformInt(
        static_cast<uint64_t>(low_ms), static_cast<uint64_t>(high_ms))));
  }

  FakeEngine& EngineNamed(const std::string& name) {
    return name == "e0" ? this->engines[0] : this->engines[1];
  }

  void Run(absl::Duration duration) {
    absl::Time end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->tasks.RunFor(kStep);
      for (auto& instance : this->instances) {
        if (this->clock.Now() >= instance->paused_until)
          instance->Tick();
        this->CheckFenced(*instance);
      }
    }
  }

  void Heal() {
    for (auto& instance : this->instances) {
      instance->table.SetFaults({});
      instance->isolated = false;
    }
  }

  // Returns false when the condition is not met within a minute.
  bool RunUntil(const std::function<bool()>& condition) {
    absl::Time end = this->clock.Now() + absl::Minutes(1);
    while (!condition() && this->clock.Now() < end)
      this->Run(kStep);
    return condition();
  }

  // A holder that acts on an engine that checks numbers has fenced it before.
  void CheckFenced(Instance& instance) {
    auto grant = instance.lease->Grant();
    for (FakeEngine& engine : this->engines) {
      if (grant && engine.checks_fencing &&
          engine.highest_fencing < grant->fencing_number &&
          instance.executor->StateOf(engine.name) !=
              EngineOrderState::kUnknown) {
        engine.violations.push_back("not fenced");
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

  OrderSendState Arrive(const EngineOrder& order);
  void Crash(FakeEngine& engine, absl::Duration duration);
  bool Up(const FakeEngine& engine) const {
    return this->clock.Now() >= engine.down_until;
  }

  std::vector<std::string> Violations() const {
    std::vector<std::string> all;
    for (const FakeEngine& engine : this->engines) {
      all.insert(all.end(), engine.violations.begin(), engine.violations.end());
    }
    return all;
  }

  const bool planned;
  ManualClock clock;
  SeededRandom random;
  ManualExecutor tasks;
  TableRows rows;
  std::vector<FakeEngine> engines;
  std::vector<DesiredEngine> desired;
  std::vector<std::unique_ptr<Instance>> instances;
  bool slow_orders = false;  ///< Orders take up to 2 s (A2), answers are lost.
  absl::Duration stall_before;  ///< Pause of the next sender before its check.
  absl::Duration stall_after;   ///< Pause of the next sender after its check.
};

OrderSendState World::Arrive(const EngineOrder& order) {
  FakeEngine& engine = this->EngineNamed(order.engine);
  if (!this->Up(engine))
    return OrderSendState::kUnknown;
  if (engine.checks_fencing && order.fencing_number < engine.highest_fencing)
    return OrderSendState::kOldNumber;
  engine.highest_fencing =
      std::max(engine.highest_fencing, order.fencing_number);
  if (order.kind == OrderKind::kObserve)
    return OrderSendState::kAccepted;
  ++engine.orders;
  bool differs =
      engine.last.order_number != 0 && !SameTarget(engine.last, order);
  if (differs && engine.changing)
    engine.violations.push_back("conflicting order");
  if (differs && order.order_number <= engine.last.order_number)
    engine.violations.push_back("old order after a newer one");
  engine.last = order;
  if (engine.changing || TargetReached(order, engine.Report()))
    return OrderSendState::kAccepted;
  if (engine.running > 0)
    engine.violations.push_back("request cut");
  for (const auto& instance : this->instances) {
    if (this->planned && instance->view->MayStart(engine.name))
      engine.violations.push_back("changed while work may start");
  }
  engine.changing = true;
  this->tasks.RunAfter(this->Between(500, 3000),
                       [&engine, order, at = engine.incarnation] {
                         if (at != engine.incarnation)
                           return;
                         engine.changing = false;
                         engine.Apply(order);
                       });
  return OrderSendState::kAccepted;
}

void World::Crash(FakeEngine& engine, absl::Duration duration) {
  ++engine.incarnation;
  engine.changing = false;
  engine.running = 0;
  engine.role = "mixed";
  engine.down_until = this->clock.Now() + duration;
  engine.idle_since = engine.down_until;
}

Instance::Instance(World& world, int index, double rate)
    : world(world),
      id("i" + std::to_string(index)),
      table(world.rows),
      clock(world.clock, rate),
      random(static_cast<uint64_t>(index) + 1) {
  this->table.SetDeferred(true);
  this->Restart();
}

void Instance::Restart() {
  ++this->epoch;
  this->planner.reset();
  this->executor.reset();
  this->lease = std::make_unique<LeaseKeeper>(
      LeaseSettings{.key = "lease/e/z/0", .holder = this->id, .address = "a"},
      this->table, this->clock, this->random);
  this->executor = std::make_unique<OrderExecutor>(
      OrderSettings{.environment = "e", .zone = "z"}, *this->lease, this->table,
      *this, this->clock);
  this->planner = std::make_unique<ChangePlanner>(
      PlanSettings{.environment = "e", .zone = "z", .shard = "0"}, *this->lease,
      *this->executor, this->table, this->clock);
  this->view = std::make_unique<ViewGrant>(ViewGrantSettings{}, this->clock);
  std::vector<ManagedEngine> managed;
  for (const FakeEngine& engine : this->world.engines)
    managed.push_back({engine.name, engine.checks_fencing});
  this->executor->SetEngines(managed);
  this->planner->SetEntryInstances({"i0", "i1", "i2"}, UINT64_MAX);
  this->planner->SetDesired(this->world.desired);
}

void Instance::WhenRunning(std::function<void()> task) {
  absl::Time now = this->world.clock.Now();
  if (now >= this->paused_until) {
    task();
    return;
  }
  this->world.tasks.RunAfter(
      this->paused_until - now,
      [this, task = std::move(task)] { this->WhenRunning(task); });
}

void Instance::Tick() {
  this->table.Pump();
  this->lease->Tick();
  this->executor->Tick();
  if (!this->world.planned) {
    this->DriveOrders();
    return;
  }
  this->planner->Tick();
  if (this->clock.Now() >= this->next_view)
    this->ReadView();
  // Bursts of several seconds leave the engines idle in between.
  if (this->bursts && this->world.random.UniformInt(0, 39) == 0)
    this->works = !this->works;
  std::vector<std::string> names;
  for (FakeEngine& engine : this->world.engines) {
    names.push_back(engine.name);
    if (this->works && this->world.random.UniformInt(0, 9) == 0)
      this->StartWork(engine, false);
  }
  for (const std::string& name : this->view->ProbesDue(names))
    this->StartWork(this->world.EngineNamed(name), true);
}

void Instance::DriveOrders() {
  for (const FakeEngine& engine : this->world.engines) {
    this->executor->Permit(engine.name);
    EngineOrder order;
    order.engine = engine.name;
    order.kind = OrderKind::kSetRole;
    order.role = kRoles[this->world.random.UniformInt(0, 2)];
    this->executor->Start(order);
  }
}

void Instance::ReadView() {
  absl::Time asked = this->clock.Now();
  this->next_view = asked + absl::Milliseconds(1500);
  this->table.Read(
      {kPlanKey}, [this, asked, at = this->epoch](const ReadOutcome& outcome) {
        if (!outcome.ok() || at != this->epoch)
          return;
        PlanRecord plan;
        if (!outcome.value().empty())
          plan = ParsePlanRecord(outcome.value()[0].value).value();
        this->view->OnView(plan, asked);
        for (auto& peer : this->world.instances) {
          if (!this->isolated && !peer->isolated)
            peer->planner->OnAcknowledged(this->id, plan.plan_version);
        }
      });
}

void Instance::StartWork(FakeEngine& engine, bool probe) {
  if (!this->view->MayStart(engine.name))
    return;
  absl::Time sent = this->clock.Now();
  // Within the flight of 1 s.
  absl::Duration way =
      probe ? this->world.Between(1, 50) : this->world.Between(1, 950);
  absl::Duration run =
      probe ? absl::Milliseconds(20) : this->world.Between(50, 3000);
  World& all = this->world;
  all.tasks.RunAfter(way, [this, &all, &engine, sent, run, at = this->epoch] {
    if (!all.Up(engine))
      return;
    if (engine.changing) {
      engine.violations.push_back("request met a change");
      return;
    }
    ++engine.running;
    all.tasks.RunAfter(
        run, [this, &all, &engine, sent, at, incarnation = engine.incarnation] {
          if (incarnation != engine.incarnation)
            return;
          --engine.running;
          engine.idle_since = all.clock.Now();
          this->WhenRunning([this, &engine, sent, at] {
            if (at == this->epoch)
              this->view->OnUse(engine.name, sent);
          });
        });
  });
}

void Instance::Send(const EngineOrder& order,
                    std::function<bool()> may_write,
                    OrderSendCallback callback) {
  World& all = this->world;
  auto check_and_write = [this, &all, order, may_write, callback] {
    if (!may_write()) {
      callback(OrderSendState::kNotSent);
      return;
    }
    auto grant = this->lease->Grant();
    if (!grant || grant->valid_until < this->clock.Now() + absl::Seconds(1))
      all.EngineNamed(order.engine).violations.push_back("written too late");
    absl::Duration pause = std::exchange(all.stall_after, absl::ZeroDuration());
    this->paused_until = std::max(this->paused_until, all.clock.Now() + pause);
    all.tasks.RunAfter(
        pause, [this, order, callback] { this->Write(order, callback); });
  };
  all.tasks.RunAfter(all.Between(1, 300), [this, &all, check_and_write] {
    absl::Duration pause =
        std::exchange(all.stall_before, absl::ZeroDuration());
    this->paused_until = std::max(this->paused_until, all.clock.Now() + pause);
    this->WhenRunning(check_and_write);
  });
}

void Instance::Write(const EngineOrder& order,
                     const OrderSendCallback& callback) {
  World& all = this->world;
  bool lost = all.slow_orders && all.random.UniformInt(0, 1) == 0;
  absl::Duration way =
      all.slow_orders ? all.Between(1, 1990) : absl::Milliseconds(10);
  if (lost) {
    all.tasks.RunAfter(absl::Milliseconds(10), [this, callback] {
      this->WhenRunning([callback] { callback(OrderSendState::kUnknown); });
    });
  }
  all.tasks.RunAfter(way, [this, &all, order, lost, callback] {
    OrderSendState state = all.Arrive(order);
    if (!lost)
      this->WhenRunning([callback, state] { callback(state); });
  });
}

void Instance::ReadReport(const std::string& name, ReportCallback callback) {
  World& all = this->world;
  all.tasks.RunAfter(absl::Milliseconds(20), [this, &all, name, callback] {
    const FakeEngine& engine = all.EngineNamed(name);
    std::optional<EngineReport> report;
    if (all.Up(engine) && !engine.changing) {
      report = engine.Report();
      report->running = engine.running;
      report->idle_for = engine.running > 0
                             ? absl::ZeroDuration()
                             : all.clock.Now() - engine.idle_since;
    }
    this->WhenRunning([callback, report] { callback(report); });
  });
}

struct Event {
  int kind;
  int instance;
  int engine;
  int steps;
};

Instance& Target(const Event& event, World& world) {
  // Faults of the holder matter most.
  Instance* holder = world.Holder();
  bool at_holder = event.instance >= 3 && holder != nullptr;
  return at_holder ? *holder
                   : *world.instances[static_cast<size_t>(event.instance % 3)];
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
          instance.world.clock.Now() + kStep * event.steps * 3;
      break;
    default:
      instance.Restart();
      break;
  }
}

void Apply(const Event& event, World& world, absl::Duration max_stall) {
  switch (event.kind) {
    case 7:
      world.Crash(world.engines[static_cast<size_t>(event.engine)],
                  kStep * event.steps);
      break;
    case 8:
      world.stall_before = kStep * event.steps * 4;
      break;
    case 9:
      world.stall_after = max_stall * (event.steps / 60.0);
      break;
    case 10:
      world.slow_orders = !world.slow_orders;
      break;
    case 11:
    case 12:
    case 13:
      world.SetDesired(static_cast<size_t>(event.engine),
                       kRoles[event.steps % 3]);
      break;
    default:
      ApplyToInstance(event, Target(event, world));
      break;
  }
}

void CheckInterleavings(World& world, absl::Duration max_stall) {
  auto events = *rc::gen::container<std::vector<Event>>(rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::inRange(0, 14)),
      rc::gen::set(&Event::instance, rc::gen::inRange(0, 6)),
      rc::gen::set(&Event::engine, rc::gen::inRange(0, 2)),
      rc::gen::set(&Event::steps, rc::gen::inRange(1, 60))));
  // Without work, changes follow each other as fast as the rules allow.
  bool idle = *rc::gen::arbitrary<bool>();
  for (auto& instance : world.instances) {
    instance->works = !idle;
    instance->bursts = !idle;
  }
  world.Run(absl::Seconds(3));
  for (const Event& event : events) {
    Apply(event, world, max_stall);
    world.Run(kStep * event.steps);
    RC_ASSERT(world.Violations() == std::vector<std::string>());
    // An instance that stays isolated holds up all changes.
    if (event.steps % 2 == 0)
      world.Heal();
  }
  world.Heal();
  for (auto& instance : world.instances) {
    if (!world.planned)
      instance->executor->Stop();
  }
  world.slow_orders = false;
  world.Run(absl::Seconds(120));
  RC_ASSERT(world.Violations() == std::vector<std::string>());
  // Nothing stays marked or unfinished once the faults are over.
  RC_ASSERT(world.Holder() != nullptr);
  for (size_t i = 0; i < world.engines.size(); ++i) {
    const FakeEngine& engine = world.engines[i];
    RC_ASSERT(world.Holder()->executor->StateOf(engine.name) ==
              EngineOrderState::kSettled);
    RC_ASSERT(!world.planned || engine.role == world.desired[i].role);
  }
  for (const Row& row : world.rows.Read({kPlanKey}))
    RC_ASSERT(ParsePlanRecord(row.value).value().draining.empty());
}

// Guards against orders of two holders out of order and against conflicting
// orders at engines that check numbers. The holder may pause for any time
// between its check and the write.
RC_BOOST_PROP(OrdersToEnginesThatCheckNumbers, (uint32_t seed)) {
  World world(true, false, seed);
  CheckInterleavings(world, absl::Seconds(20));
}

// Guards against the same at engines that ignore numbers, within A1 to A4.
RC_BOOST_PROP(OrdersToEnginesThatIgnoreNumbers, (uint32_t seed)) {
  World world(false, false, seed);
  CheckInterleavings(world, absl::Milliseconds(1900));
}

// Guards against planned changes that cut a request or never end.
RC_BOOST_PROP(PlannedChangesCutNoRequest, (uint32_t seed)) {
  World world(seed % 2 == 0, true, seed);
  CheckInterleavings(world, absl::Milliseconds(1900));
}

// Guards against a change while a silent instance, which the instance list
// does not show, may still start work by its old view; and against changes
// that wait for view_ttl although all instances have acknowledged.
BOOST_AUTO_TEST_CASE(ChangeWaitsForViewsOrAcknowledgements) {
  for (bool all_answer : {false, true}) {
    World world(true, true);
    for (auto& instance : world.instances)
      instance->works = false;
    world.Run(absl::Seconds(10));
    Instance* holder = world.Holder();
    BOOST_REQUIRE(holder != nullptr);
    Instance& silent = *world.instances[holder->id == "i0" ? 1 : 0];
    BOOST_REQUIRE(world.RunUntil(
        [&] { return silent.view->Age() < absl::Milliseconds(300); }));
    if (!all_answer) {
      silent.paused_until = absl::InfiniteFuture();
      holder->planner->SetEntryInstances({holder->id, "i2"});
    }
    world.SetDesired(0, "prefill");
    absl::Time start = world.clock.Now();
    BOOST_REQUIRE(world.RunUntil([&] { return world.engines[0].orders > 0; }));
    absl::Duration took = world.clock.Now() - start;
    // Without all acknowledgements: view_ttl and then the flight.
    BOOST_TEST((took > absl::Seconds(6)) == !all_answer);
    BOOST_TEST(world.Violations().empty());
  }
}

// Guards against a successor that sends to an engine that ignores numbers
// while an earlier order may still arrive, or that sends another order before
// the inherited one was repeated.
BOOST_AUTO_TEST_CASE(SuccessorWaitsAndRepeatsTheInheritedOrder) {
  World world(false, false);
  FakeEngine& engine = world.engines[0];
  BOOST_REQUIRE(world.RunUntil([&] { return engine.orders > 0; }));
  EngineOrder inherited = engine.last;
  Instance* first = world.Holder();
  BOOST_REQUIRE(first != nullptr);
  first->paused_until = absl::InfiniteFuture();
  BOOST_REQUIRE(world.RunUntil(
      [&] { return world.Holder() != nullptr && world.Holder() != first; }));
  Instance* successor = world.Holder();
  BOOST_REQUIRE(world.RunUntil([&] { return engine.orders > 1; }));
  BOOST_TEST(SameTarget(engine.last, inherited));
  BOOST_TEST(engine.last.order_number == inherited.order_number);
  absl::Duration waited =
      successor->clock.Now() - successor->lease->Grant()->acquired;
  BOOST_TEST((waited >= absl::Seconds(3)));
}

// Guards against a change that is held up by another one, and against models
// that are loaded before there is room for them.
BOOST_AUTO_TEST_CASE(EnginesChangeAtTheSameTime) {
  World world(true, true);
  world.Run(absl::Seconds(5));
  world.engines[0].models = {{"m", "1", ""}};
  world.desired[0].models = {{"m", "2", "a"}};
  world.SetDesired(0, "prefill");
  world.SetDesired(1, "decode");
  // 5 s for the views, up to 3 s of requests, 3 s idle, orders and polls.
  world.Run(absl::Seconds(25));
  BOOST_TEST((world.engines[0].models == world.desired[0].models));
  BOOST_TEST(world.engines[0].most_models == 1U);
  BOOST_TEST(world.engines[0].role == "prefill");
  BOOST_TEST(world.engines[1].role == "decode");
  BOOST_TEST(world.Violations().empty());
}

// Guards against a change of a gone engine that stays announced, and against
// its order being sent to the engine after it came back into use.
BOOST_AUTO_TEST_CASE(ChangeOfAGoneEngineIsAbandoned) {
  World world(false, true);
  world.Run(absl::Seconds(5));
  Instance* holder = world.Holder();
  BOOST_REQUIRE(holder != nullptr);
  ChangePlanner& planner = *holder->planner;
  world.SetDesired(0, "prefill");
  BOOST_REQUIRE(world.RunUntil(
      [&] { return planner.StepOf("e0") == ChangeStep::kOrdering; }));
  world.Crash(world.engines[0], absl::Seconds(40));
  world.Run(absl::Seconds(30));
  planner.SetGone({"e0"});
  world.Run(absl::Seconds(3));
  BOOST_TEST((planner.StepOf("e0") == ChangeStep::kNone));
  BOOST_TEST(planner.counters().abandoned == 1U);
  BOOST_TEST(planner.plan()->draining.empty());
  world.Run(absl::Seconds(20));
  BOOST_TEST(world.engines[0].role == "mixed");
  planner.SetGone({});
  world.Run(absl::Seconds(30));
  BOOST_TEST(world.engines[0].role == "prefill");
  BOOST_TEST(world.Violations().empty());
}

// Guards against a change under an isolated instance that keeps using the
// engine, and against one that never comes after the instance has stopped.
BOOST_AUTO_TEST_CASE(IsolatedInstanceDelaysAChange) {
  World world(false, true);
  world.Run(absl::Seconds(5));
  Instance* holder = world.Holder();
  BOOST_REQUIRE(holder != nullptr);
  Instance& isolated = *world.instances[holder->id == "i0" ? 1 : 0];
  for (auto& instance : world.instances)
    instance->works = instance.get() == &isolated;
  isolated.table.SetFaults({.outage = true});
  isolated.isolated = true;
  world.SetDesired(0, "prefill");
  world.Run(absl::Seconds(60));
  BOOST_TEST(isolated.view->MayStart("e0"));
  BOOST_TEST(world.engines[0].role == "mixed");
  BOOST_TEST(holder->planner->counters().started == 1U);
  isolated.paused_until = world.clock.Now() + absl::Seconds(60);
  world.Run(absl::Seconds(20));
  BOOST_TEST(world.engines[0].role == "prefill");
  isolated.paused_until = absl::InfinitePast();
  world.Run(absl::Seconds(2));
  BOOST_TEST(!isolated.view->MayStart("e0"));
  BOOST_TEST(world.Violations().empty());
}

}  // namespace
}  // namespace cranberryhill
