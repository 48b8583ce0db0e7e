#include "cranberryhill/lease/lease_manager.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(100);

// Runs at a rate that differs from the world's clock, with its own origin.
class SkewedClock : public Clock {
 public:
  SkewedClock(const Clock& world, double rate) : world(world), rate(rate) {}
  absl::Time Now() const override {
    return absl::FromUnixSeconds(77) +
           (this->world.Now() - absl::UnixEpoch()) * this->rate;
  }

 private:
  const Clock& world;
  double rate;
};

struct Instance {
  Instance(TableRows& rows, const Clock& world, double rate, uint64_t seed)
      : table(rows), clock(world, rate), random(seed) {
    this->table.SetDeferred(true);
    this->Restart("i" + std::to_string(seed));
  }

  void Restart(const std::string& id) {
    this->keeper = std::make_unique<LeaseKeeper>(
        LeaseSettings{.key = "lease/e/z/0", .holder = id, .address = "a"},
        this->table, this->clock, this->random);
  }

  MemoryTable table;
  SkewedClock clock;
  SeededRandom random;
  std::unique_ptr<LeaseKeeper> keeper;
  int paused_steps = 0;
};

struct World {
  World() {
    for (double rate : {0.9955, 1.0, 1.0045}) {
      this->instances.push_back(std::make_unique<Instance>(
          this->rows, this->clock, rate, this->instances.size() + 1));
    }
  }

  void Step() {
    this->clock.Advance(kStep);
    for (auto& instance : this->instances) {
      if (instance->paused_steps > 0) {
        --instance->paused_steps;
        continue;
      }
      instance->table.Pump();
      instance->keeper->Tick();
    }
  }

  void Run(absl::Duration duration) {
    for (absl::Time end = this->clock.Now() + duration;
         this->clock.Now() < end;) {
      this->Step();
    }
  }

  std::vector<LeaseGrant> Grants() const {
    std::vector<LeaseGrant> grants;
    for (const auto& instance : this->instances) {
      if (auto grant = instance->keeper->Grant())
        grants.push_back(*grant);
    }
    return grants;
  }

  LeaseRecord Record() const {
    return ParseLeaseRecord(this->rows.Read({"lease/e/z/0"}).at(0).value)
        .value();
  }

  ManualClock clock;
  TableRows rows;
  std::vector<std::unique_ptr<Instance>> instances;
};

struct Event {
  int kind;
  int instance;
  int steps;
};

void Apply(const Event& event, World& world) {
  Instance& instance = *world.instances[static_cast<size_t>(event.instance)];
  switch (event.kind) {
    case 0:
      instance.table.SetFaults({});
      break;
    case 1:
      instance.table.SetFaults({.outage = true});
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
      instance.paused_steps = event.steps;
      break;
    case 6:
      instance.keeper->Release();
      break;
    default:
      instance.Restart("r" + std::to_string(event.steps));
      break;
  }
}

// Guards against two holders at once, and against a fencing number that falls
// or that two holders share.
RC_BOOST_PROP(AtMostOneHolderAndGrowingNumbers, ()) {
  auto events = *rc::gen::container<std::vector<Event>>(rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::inRange(0, 8)),
      rc::gen::set(&Event::instance, rc::gen::inRange(0, 3)),
      rc::gen::set(&Event::steps, rc::gen::inRange(1, 120))));
  World world;
  world.Run(absl::Seconds(3));
  uint64_t highest = 0;
  const Instance* highest_holder = nullptr;
  for (const Event& event : events) {
    Apply(event, world);
    for (int i = 0; i < event.steps; ++i) {
      world.Step();
      RC_ASSERT(world.Grants().size() <= 1U);
      for (const auto& instance : world.instances) {
        auto grant = instance->keeper->Grant();
        if (!grant)
          continue;
        RC_ASSERT(grant->fencing_number >= highest);
        if (grant->fencing_number > highest)
          highest_holder = instance.get();
        highest = grant->fencing_number;
        RC_ASSERT(highest_holder == instance.get());
      }
      RC_ASSERT(world.Record().fencing_number >= highest);
    }
  }
}

// Guards against a challenger that needs more than 6.6 s and one poll after
// the holder has stopped.
BOOST_AUTO_TEST_CASE(TakesOverAfterTheHolderStops) {
  World world;
  world.Run(absl::Seconds(4));
  BOOST_REQUIRE(world.Grants().size() == 1U);
  for (auto& instance : world.instances) {
    if (instance->keeper->Grant())
      instance->paused_steps = 1000;
  }
  world.Run(absl::Seconds(8));
  BOOST_REQUIRE(world.Grants().size() == 1U);
  BOOST_TEST(world.Grants()[0].fencing_number == 2U);
}

// Guards against a holder that drops its lease because answers are lost
// although its renewals took effect.
BOOST_AUTO_TEST_CASE(LostAnswersAreReadBack) {
  World world;
  for (auto& instance : world.instances)
    instance->table.SetFaults({.lose_answers = true});
  world.Run(absl::Seconds(4));
  for (int i = 0; i < 200; ++i) {
    world.Step();
    BOOST_REQUIRE(world.Grants().size() == 1U);
    BOOST_REQUIRE(world.Grants()[0].fencing_number == 1U);
  }
}

// Guards against a release that leaves the grant valid, or that makes the
// successor wait for the whole term.
BOOST_AUTO_TEST_CASE(ReleasedLeaseIsTakenOverAtOnce) {
  World world;
  world.Run(absl::Seconds(4));
  Instance* holder = nullptr;
  for (auto& instance : world.instances) {
    if (instance->keeper->Grant())
      holder = instance.get();
  }
  BOOST_REQUIRE(holder != nullptr);
  holder->keeper->Release();
  BOOST_TEST(!holder->keeper->Grant().has_value());
  world.Run(absl::Seconds(2));
  BOOST_TEST(holder->keeper->released());
  BOOST_REQUIRE(world.Grants().size() == 1U);
  BOOST_TEST(world.Grants()[0].fencing_number == 2U);
}

// Guards against a row of a newer build or a damaged one being replaced with
// a fencing number that is too low.
BOOST_AUTO_TEST_CASE(UnreadableRowIsNotTakenOver) {
  World world;
  world.rows.Commit({{}, {{"lease/e/z/0", "{}"}}, {}});
  world.Run(absl::Seconds(20));
  BOOST_TEST(world.Grants().empty());
  BOOST_TEST(world.rows.Read({"lease/e/z/0"})[0].value == "{}");
}

}  // namespace
}  // namespace cranberryhill
