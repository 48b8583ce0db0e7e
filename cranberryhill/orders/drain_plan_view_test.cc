#include "cranberryhill/orders/drain_plan_view.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill {
namespace {

struct Fixture {
  void UpdatePlan(uint64_t version, std::vector<std::string> marks) {
    this->view.UpdatePlan({version, std::move(marks)}, this->clock.Now());
  }

  ManualClock clock;
  DrainPlanView view{DrainPlanViewSettings{}, clock};
};

// Guards against starting work before the plan is known or on a marked engine,
// also if an older plan without the mark arrives after the newest one.
BOOST_FIXTURE_TEST_CASE(OnlyUnmarkedEnginesOfTheNewestPlan, Fixture) {
  BOOST_TEST(!this->view.MayStart("a"));
  this->UpdatePlan(2, {"a"});
  this->UpdatePlan(1, {});
  BOOST_TEST(!this->view.MayStart("a"));
  BOOST_TEST(this->view.MayStart("b"));
}

// Guards against a view that stays fresh for longer than view_ttl, or whose age
// counts from the receipt of the plan instead of from the time at which the
// plan was current.
BOOST_FIXTURE_TEST_CASE(FreshnessCountsFromThePlansAge, Fixture) {
  absl::Time requested_at = this->clock.Now();
  this->clock.Advance(absl::Seconds(2));
  this->view.UpdatePlan({1, {}}, requested_at);
  this->clock.Advance(absl::Milliseconds(2999));
  BOOST_TEST(this->view.MayStart("a"));
  this->clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(!this->view.MayStart("a"));
}

// Guards against starting work on an engine that was not used for longer than
// max_use_gap while the view was not fresh. An answer that arrives after the
// gap must not make the engine usable again.
BOOST_FIXTURE_TEST_CASE(AGapInUseEndsUseOfAnEngineWithStaleView, Fixture) {
  this->UpdatePlan(1, {});
  this->clock.Advance(absl::Milliseconds(4900));
  this->view.OnUse("a", this->clock.Now());
  this->clock.Advance(absl::Milliseconds(1000));
  BOOST_TEST(this->view.MayStart("a"));
  BOOST_TEST(!this->view.MayStart("b"));
  this->clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(!this->view.MayStart("a"));
  this->view.OnUse("a", this->clock.Now());
  BOOST_TEST(!this->view.MayStart("a"));
  this->UpdatePlan(2, {});
  BOOST_TEST(this->view.MayStart("a"));
}

// Guards against idle engines that become unusable because probes start only
// after the view has expired, and against probing on every call.
BOOST_FIXTURE_TEST_CASE(ProbesKeepIdleEnginesUsable, Fixture) {
  this->UpdatePlan(1, {"marked"});
  BOOST_TEST(this->view.ProbesDue({"a", "marked"}).empty());
  uint64_t probe_count = 0;
  for (int i = 0; i < 200; ++i) {
    this->clock.Advance(absl::Milliseconds(100));
    for (const std::string& engine : this->view.ProbesDue({"a", "marked"})) {
      BOOST_TEST(engine == "a");
      this->view.OnUse(engine, this->clock.Now());
      ++probe_count;
    }
  }
  BOOST_TEST(this->view.MayStart("a"));
  BOOST_TEST(probe_count <= 40U);
}

// Guards against streams on a marked engine that are never resumed elsewhere,
// and against a later plan that restarts the drain time.
BOOST_FIXTURE_TEST_CASE(DrainTimeCountsFromTheFirstMark, Fixture) {
  this->UpdatePlan(1, {"a"});
  this->clock.Advance(absl::Seconds(29));
  this->UpdatePlan(2, {"a", "b"});
  BOOST_TEST(!this->view.DrainOverdue("a"));
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(this->view.DrainOverdue("a"));
  BOOST_TEST(!this->view.DrainOverdue("b"));
}

}  // namespace
}  // namespace cranberryhill
