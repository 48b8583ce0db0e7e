#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "cranberryhill/roles/role_planner.h"

namespace cranberryhill {
namespace {

// Simulates a group in which each ordered change takes as long as the planner
// expects.
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

  // Simulates `seconds` seconds in which work arrives that occupies 90% of the
  // engines.
  void Run(double prefill_fraction, int seconds) {
    double work = 0.9 * static_cast<double>(this->engines.size());
    for (int i = 0; i < seconds; ++i) {
      this->clock.Advance(absl::Seconds(1));
      this->planner.ObserveWork(work * prefill_fraction,
                                work * (1 - prefill_fraction),
                                absl::Seconds(1));
      if (this->open_change && this->clock.Now() >= this->done_at)
        this->FinishChange();
      this->planner.SetEngines(this->engines);
      auto change = this->planner.NextChange();
      if (!change)
        continue;
      BOOST_REQUIRE(!this->open_change);
      this->open_change = change;
      this->done_at = this->clock.Now() + this->options.change_downtime;
    }
  }

  void FinishChange() {
    for (PlannedEngine& engine : this->engines) {
      if (engine.id == this->open_change->engine)
        engine.role = this->open_change->to;
    }
    ++this->change_count;
    this->changed_engines.insert(this->open_change->engine);
    this->open_change.reset();
    this->planner.OnChangeEnded();
  }

  ManualClock clock;
  RolePlannerOptions options;
  RolePlanner planner;
  std::vector<PlannedEngine> engines;
  std::optional<RoleChange> open_change;
  absl::Time done_at;
  int change_count = 0;
  std::set<std::string> changed_engines;
};

// Guards against a planner that ignores a lasting shift of the mix, and against
// one that changes the role of the same engine more than once after the shift.
BOOST_AUTO_TEST_CASE(LastingShiftChangesEachEngineOnce) {
  Group group({}, {.prefill = 4, .decode = 1, .mixed = 1});
  group.Run(0.8, 60);
  BOOST_TEST(group.change_count == 0);
  group.Run(0.2, 300);
  BOOST_TEST(group.change_count >= 2);
  BOOST_TEST(group.change_count ==
             static_cast<int>(group.changed_engines.size()));
}

// Guards against role changes when the mix shifts back before a change has paid
// off.
BOOST_AUTO_TEST_CASE(ShortSwingsCauseNoChange) {
  RolePlannerOptions options;
  for (int seconds : {10, 15, 20}) {
    Group group(options, {.prefill = 2, .decode = 2, .mixed = 2});
    for (int i = 0; i < 20; ++i)
      group.Run(i % 2 == 0 ? 0.8 : 0.2, seconds);
    BOOST_TEST_CONTEXT("swings of " << seconds << " s")
    BOOST_TEST(group.change_count == 0);
  }
}

// Guards against a change that costs more than it gains because no work waits.
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
    BOOST_TEST(!planner.NextChange().has_value());
  }
}

// Guards against ignoring the bounds of a new environment document because a
// change towards them has no gain.
BOOST_AUTO_TEST_CASE(ChangedBoundsAreMetWithoutWork) {
  RolePlannerOptions options;
  options.prefill = {0.5, 0.5};
  options.decode = {0.5, 0.5};
  options.mixed = {0, 0};
  Group group(options, {.prefill = 0, .decode = 0, .mixed = 6});
  group.Run(0, 6 * 13);
  BOOST_TEST(group.change_count == 6);
  BOOST_TEST(group.changed_engines.size() == 6U);
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

// Guards against an estimated throughput above the number of engines.
RC_BOOST_PROP(
    ThroughputDoesNotExceedEngineCount,
    (uint8_t prefill, uint8_t decode, uint8_t mixed, uint8_t percent)) {
  ManualClock clock;
  RolePlanner planner(clock, {});
  RoleCounts counts{prefill, decode, mixed};
  double rate = planner.Throughput(counts, (percent % 101) / 100.0);
  RC_ASSERT(rate >= 0);
  RC_ASSERT(rate <= prefill + decode + mixed + 1e-9);
}

// Guards against role names that differ between the configuration and the
// protocol.
BOOST_AUTO_TEST_CASE(RoleNamesRoundTrip) {
  for (EngineRole role :
       {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed})
    BOOST_TEST((ParseEngineRole(EngineRoleName(role)) == role));
  BOOST_TEST(!ParseEngineRole("train").has_value());
}

}  // namespace
}  // namespace cranberryhill
