#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "cranberryhill/roles/role_planner.h"

namespace cranberryhill {
namespace {

// A group whose ordered changes take the time that the planner expects.
struct Group {
  explicit Group(RolePlannerOptions options, RoleCounts counts)
      : options(options), planner(clock, options) {
    auto add = [&](int count, EngineRole role) {
      for (int i = 0; i < count; ++i) {
        this->engines.push_back(
            {.id = std::to_string(this->engines.size()), .role = role});
      }
    };
    add(counts.prefill, EngineRole::kPrefill);
    add(counts.decode, EngineRole::kDecode);
    add(counts.mixed, EngineRole::kMixed);
  }

  // Runs for `seconds` with work for most of the engines.
  void Run(double prefill_fraction, int seconds) {
    double work = 0.9 * static_cast<double>(this->engines.size());
    for (int i = 0; i < seconds; ++i) {
      this->clock.Advance(absl::Seconds(1));
      this->planner.ObserveWork(work * prefill_fraction,
                                work * (1 - prefill_fraction),
                                absl::Seconds(1));
      if (this->open && this->clock.Now() >= this->done_at)
        this->Finish();
      this->planner.SetEngines(this->engines);
      auto change = this->planner.Plan();
      if (!change)
        continue;
      BOOST_REQUIRE(!this->open);
      this->open = change;
      this->done_at = this->clock.Now() + this->options.absence;
    }
  }

  void Finish() {
    for (PlannedEngine& engine : this->engines) {
      if (engine.id == this->open->engine)
        engine.role = this->open->to;
    }
    ++this->changes;
    this->changed.insert(this->open->engine);
    this->open.reset();
    this->planner.OnChangeEnded();
  }

  ManualClock clock;
  RolePlannerOptions options;
  RolePlanner planner;
  std::vector<PlannedEngine> engines;
  std::optional<RoleChange> open;
  absl::Time done_at;
  int changes = 0;
  std::set<std::string> changed;
};

// Guards against a planner that never follows a lasting shift, and against one
// that changes an engine more than once for it.
BOOST_AUTO_TEST_CASE(LastingShiftChangesEachEngineOnce) {
  Group group({}, {.prefill = 4, .decode = 1, .mixed = 1});
  group.Run(0.8, 60);
  BOOST_TEST(group.changes == 0);
  group.Run(0.2, 300);
  BOOST_TEST(group.changes >= 2);
  BOOST_TEST(group.changes == static_cast<int>(group.changed.size()));
}

// Guards against flapping when a swing returns before a change pays.
BOOST_AUTO_TEST_CASE(ReturningSwingCausesNoChange) {
  RolePlannerOptions options;
  for (int seconds : {10, 15, 20}) {
    Group group(options, {.prefill = 2, .decode = 2, .mixed = 2});
    for (int i = 0; i < 20; ++i)
      group.Run(i % 2 == 0 ? 0.8 : 0.2, seconds);
    BOOST_TEST_CONTEXT("swings of " << seconds << " s")
    BOOST_TEST(group.changes == 0);
  }
}

// Guards against a change that costs more than it gains because nothing waits.
BOOST_AUTO_TEST_CASE(IdleGroupKeepsItsRoles) {
  ManualClock clock;
  RolePlanner planner(clock, {});
  planner.SetEngines({{.id = "0", .role = EngineRole::kPrefill},
                      {.id = "1", .role = EngineRole::kPrefill},
                      {.id = "2", .role = EngineRole::kMixed},
                      {.id = "3", .role = EngineRole::kMixed}});
  for (int i = 0; i < 200; ++i) {
    clock.Advance(absl::Seconds(1));
    planner.ObserveWork(0.05, 0.2, absl::Seconds(1));
    BOOST_TEST(!planner.Plan().has_value());
  }
}

// Guards against bounds of a new document that are never met because a change
// to meet them gains nothing.
BOOST_AUTO_TEST_CASE(ChangedBoundsAreMetWithoutWork) {
  RolePlannerOptions options;
  options.prefill = {0.5, 0.5};
  options.decode = {0.5, 0.5};
  options.mixed = {0, 0};
  Group group(options, {.prefill = 0, .decode = 0, .mixed = 6});
  group.Run(0, 6 * 13);
  BOOST_TEST(group.changes == 6);
  BOOST_TEST(group.changed.size() == 6U);
  int prefill = 0;
  for (const PlannedEngine& engine : group.engines)
    prefill += engine.role == EngineRole::kPrefill ? 1 : 0;
  BOOST_TEST(prefill == 3);
}

// Guards against counts outside the document's bounds, and against groups that
// can prefill but not decode or the other way round.
RC_BOOST_PROP(BestCountsStayWithinBounds, (uint8_t percent)) {
  RolePlannerOptions options;
  options.prefill = {0.2, 0.5};
  options.decode = {0.2, 0.6};
  options.mixed = {0, 0.4};
  ManualClock clock;
  RolePlanner planner(clock, options);
  int engines = *rc::gen::inRange(5, 40);
  double fraction = (percent % 101) / 100.0;
  RoleCounts counts = planner.BestCounts(fraction, engines);
  RC_ASSERT(counts.prefill + counts.decode + counts.mixed == engines);
  RC_ASSERT(counts.prefill >= 0.2 * engines && counts.prefill <= 0.5 * engines);
  RC_ASSERT(counts.decode >= 0.2 * engines && counts.decode <= 0.6 * engines);
  RC_ASSERT(counts.mixed <= 0.4 * engines);
}

// Guards against an estimate of throughput above what the engines can do.
RC_BOOST_PROP(
    ThroughputIsAtMostAllEngines,
    (uint8_t prefill, uint8_t decode, uint8_t mixed, uint8_t percent)) {
  ManualClock clock;
  RolePlanner planner(clock, {});
  RoleCounts counts{prefill, decode, mixed};
  double rate = planner.Throughput(counts, (percent % 101) / 100.0);
  RC_ASSERT(rate >= 0);
  RC_ASSERT(rate <= prefill + decode + mixed + 1e-9);
}

// Guards against role names that differ between configuration and protocol.
BOOST_AUTO_TEST_CASE(RoleNamesRoundTrip) {
  for (EngineRole role :
       {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed})
    BOOST_TEST((ParseEngineRole(EngineRoleName(role)) == role));
  BOOST_TEST(!ParseEngineRole("train").has_value());
}

}  // namespace
}  // namespace cranberryhill
