#include "cranberryhill/lease/lease_manager.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kStepDuration = absl::Milliseconds(100);

// A clock that runs at `rate` times the speed of the reference clock and has
// its own origin.
class SkewedClock : public Clock {
 public:
  SkewedClock(const Clock& reference_clock, double rate)
      : reference_clock(reference_clock), rate(rate) {}
  absl::Time Now() const override {
    return absl::FromUnixSeconds(77) +
           (this->reference_clock.Now() - absl::UnixEpoch()) * this->rate;
  }

 private:
  const Clock& reference_clock;
  double rate;
};

// An instance with its own clock that tries to hold the lease.
struct Instance {
  Instance(TableRows& rows,
           const Clock& reference_clock,
           double rate,
           uint64_t seed)
      : table(rows), clock(reference_clock, rate), random(seed) {
    this->table.SetDeferred(true);
    this->Restart("i" + std::to_string(seed));
  }

  void Restart(const std::string& id) {
    this->manager = std::make_unique<LeaseManager>(
        LeaseSettings{.key = "lease/e/z/0", .holder = id, .address = "a"},
        this->table, this->clock, this->random);
  }

  MemoryTable table;
  SkewedClock clock;
  SeededRandom random;
  std::unique_ptr<LeaseManager> manager;
  int remaining_paused_steps = 0;
};

struct Simulation {
  Simulation() {
    for (double rate : {0.9955, 1.0, 1.0045}) {
      this->instances.push_back(std::make_unique<Instance>(
          this->rows, this->clock, rate, this->instances.size() + 1));
    }
  }

  void Step() {
    this->clock.Advance(kStepDuration);
    for (auto& instance : this->instances) {
      if (instance->remaining_paused_steps > 0) {
        --instance->remaining_paused_steps;
        continue;
      }
      instance->table.Pump();
      instance->manager->Tick();
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
      if (auto grant = instance->manager->Grant())
        grants.push_back(*grant);
    }
    return grants;
  }

  LeaseRecord LeaseRowRecord() const {
    return ParseLeaseRecord(this->rows.Read({"lease/e/z/0"}).at(0).value)
        .value();
  }

  ManualClock clock;
  TableRows rows;
  std::vector<std::unique_ptr<Instance>> instances;
};

// A fault, a release or a restart, followed by `steps` steps of the simulation.
struct Event {
  int kind;
  int instance;
  int steps;
};

void ApplyEvent(const Event& event, Simulation& simulation) {
  Instance& instance =
      *simulation.instances[static_cast<size_t>(event.instance)];
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
      instance.remaining_paused_steps = event.steps;
      break;
    case 6:
      instance.manager->Release();
      break;
    default:
      instance.Restart("r" + std::to_string(event.steps));
      break;
  }
}

// Guards against two lease holders at the same time, against a fencing number
// that decreases, and against two holders with the same fencing number.
RC_BOOST_PROP(AtMostOneHolderAndIncreasingFencingNumbers, ()) {
  auto events = *rc::gen::container<std::vector<Event>>(rc::gen::build<Event>(
      rc::gen::set(&Event::kind, rc::gen::inRange(0, 8)),
      rc::gen::set(&Event::instance, rc::gen::inRange(0, 3)),
      rc::gen::set(&Event::steps, rc::gen::inRange(1, 120))));
  Simulation simulation;
  simulation.Run(absl::Seconds(3));
  uint64_t highest = 0;
  const Instance* highest_holder = nullptr;
  for (const Event& event : events) {
    ApplyEvent(event, simulation);
    for (int i = 0; i < event.steps; ++i) {
      simulation.Step();
      RC_ASSERT(simulation.Grants().size() <= 1U);
      for (const auto& instance : simulation.instances) {
        auto grant = instance->manager->Grant();
        if (!grant)
          continue;
        RC_ASSERT(grant->fencing_number >= highest);
        if (grant->fencing_number > highest)
          highest_holder = instance.get();
        highest = grant->fencing_number;
        RC_ASSERT(highest_holder == instance.get());
      }
      RC_ASSERT(simulation.LeaseRowRecord().fencing_number >= highest);
    }
  }
}

// Guards against a takeover that takes longer after the holder has stopped than
// the term plus the safety margin (together 6.6 s, with the allowance for
// different clock rates) and one poll.
BOOST_AUTO_TEST_CASE(TakesOverAfterTheHolderStops) {
  Simulation simulation;
  simulation.Run(absl::Seconds(4));
  BOOST_REQUIRE(simulation.Grants().size() == 1U);
  for (auto& instance : simulation.instances) {
    if (instance->manager->Grant())
      instance->remaining_paused_steps = 1000;
  }
  simulation.Run(absl::Seconds(8));
  BOOST_REQUIRE(simulation.Grants().size() == 1U);
  BOOST_TEST(simulation.Grants()[0].fencing_number == 2U);
}

// Guards against a holder that gives up its lease because answers were lost
// although its renewals took effect.
BOOST_AUTO_TEST_CASE(LostAnswersDoNotLoseTheLease) {
  Simulation simulation;
  for (auto& instance : simulation.instances)
    instance->table.SetFaults({.lose_answers = true});
  simulation.Run(absl::Seconds(4));
  for (int i = 0; i < 200; ++i) {
    simulation.Step();
    BOOST_REQUIRE(simulation.Grants().size() == 1U);
    BOOST_REQUIRE(simulation.Grants()[0].fencing_number == 1U);
  }
}

// Guards against a release that leaves the grant valid, or after which the next
// holder waits for the whole term.
BOOST_AUTO_TEST_CASE(ReleasedLeaseIsTakenOverAtOnce) {
  Simulation simulation;
  simulation.Run(absl::Seconds(4));
  Instance* holder = nullptr;
  for (auto& instance : simulation.instances) {
    if (instance->manager->Grant())
      holder = instance.get();
  }
  BOOST_REQUIRE(holder != nullptr);
  holder->manager->Release();
  BOOST_TEST(!holder->manager->Grant().has_value());
  simulation.Run(absl::Seconds(2));
  BOOST_TEST(holder->manager->released());
  BOOST_REQUIRE(simulation.Grants().size() == 1U);
  BOOST_TEST(simulation.Grants()[0].fencing_number == 2U);
}

// Guards against a fencing number that is given out twice, because the row with
// the first one was lost when the table was restored.
BOOST_AUTO_TEST_CASE(FencingNumbersStartAtTheMinimum) {
  ManualClock clock;
  TableRows rows;
  MemoryTable table(rows);
  SeededRandom random(1);
  auto fencing_number_of = [&](uint64_t min_fencing_number) -> uint64_t {
    LeaseManager manager({.key = "lease/e/z/0",
                          .holder = std::to_string(min_fencing_number),
                          .address = "a",
                          .min_fencing_number = min_fencing_number},
                         table, clock, random);
    for (int i = 0; i < 200 && !manager.Grant(); ++i) {
      clock.Advance(kStepDuration);
      manager.Tick();
      table.Pump();
    }
    return manager.Grant() ? manager.Grant()->fencing_number : 0;
  };
  BOOST_TEST(fencing_number_of(2001) == 2001U);
  BOOST_TEST(fencing_number_of(1) == 2002U);
  BOOST_TEST(fencing_number_of(3001) == 3001U);
}

// Guards against a takeover of a lease whose row cannot be read, because it is
// damaged or was written by a newer build. The new fencing number could be
// lower than the one in that row.
BOOST_AUTO_TEST_CASE(UnreadableRowIsNotTakenOver) {
  Simulation simulation;
  simulation.rows.Commit({{}, {{"lease/e/z/0", "{}"}}, {}});
  simulation.Run(absl::Seconds(20));
  BOOST_TEST(simulation.Grants().empty());
  BOOST_TEST(simulation.rows.Read({"lease/e/z/0"})[0].value == "{}");
}

}  // namespace
}  // namespace cranberryhill
