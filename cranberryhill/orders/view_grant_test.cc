#include "cranberryhill/orders/view_grant.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill {
namespace {

struct Fixture {
  void View(uint64_t version, std::vector<std::string> marks) {
    this->grant.OnView({version, std::move(marks)}, this->clock.Now());
  }

  ManualClock clock;
  ViewGrant grant{ViewGrantSettings{}, clock};
};

// Guards against work without any view, on a marked engine, or after an older
// view took a mark away.
BOOST_FIXTURE_TEST_CASE(OnlyUnmarkedEnginesOfTheNewestView, Fixture) {
  BOOST_TEST(!this->grant.MayStart("a"));
  this->View(2, {"a"});
  this->View(1, {});
  BOOST_TEST(!this->grant.MayStart("a"));
  BOOST_TEST(this->grant.MayStart("b"));
}

// Guards against a grant that outlives view_ttl or that counts from the
// receipt of a view instead of the time at which it was current.
BOOST_FIXTURE_TEST_CASE(GrantEndsWithTheAgeOfTheView, Fixture) {
  absl::Time asked = this->clock.Now();
  this->clock.Advance(absl::Seconds(2));
  this->grant.OnView({1, {}}, asked);
  this->clock.Advance(absl::Milliseconds(2999));
  BOOST_TEST(this->grant.MayStart("a"));
  this->clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(!this->grant.MayStart("a"));
}

// Guards against an engine that is used again after a gap without a grant,
// also when an answer arrives late.
BOOST_FIXTURE_TEST_CASE(AGapEndsTheRightToUseAnEngine, Fixture) {
  this->View(1, {});
  this->clock.Advance(absl::Milliseconds(4900));
  this->grant.OnUse("a", this->clock.Now());
  this->clock.Advance(absl::Milliseconds(1000));
  BOOST_TEST(this->grant.MayStart("a"));
  BOOST_TEST(!this->grant.MayStart("b"));
  this->clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(!this->grant.MayStart("a"));
  this->grant.OnUse("a", this->clock.Now());
  BOOST_TEST(!this->grant.MayStart("a"));
  this->View(2, {});
  BOOST_TEST(this->grant.MayStart("a"));
}

// Guards against idle engines that are lost because probes start only after
// the grant has ended, and against a probe on every call.
BOOST_FIXTURE_TEST_CASE(ProbesKeepIdleEngines, Fixture) {
  this->View(1, {"marked"});
  BOOST_TEST(this->grant.ProbesDue({"a", "marked"}).empty());
  uint64_t probes = 0;
  for (int i = 0; i < 200; ++i) {
    this->clock.Advance(absl::Milliseconds(100));
    for (const std::string& engine : this->grant.ProbesDue({"a", "marked"})) {
      BOOST_TEST(engine == "a");
      this->grant.OnUse(engine, this->clock.Now());
      ++probes;
    }
  }
  BOOST_TEST(this->grant.MayStart("a"));
  BOOST_TEST(probes <= 40U);
}

// Guards against streams on a marked engine that are never moved, and against
// a later plan that starts the drain time again.
BOOST_FIXTURE_TEST_CASE(DrainTimeCountsFromTheFirstMark, Fixture) {
  this->View(1, {"a"});
  this->clock.Advance(absl::Seconds(29));
  this->View(2, {"a", "b"});
  BOOST_TEST(!this->grant.DrainOverdue("a"));
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(this->grant.DrainOverdue("a"));
  BOOST_TEST(!this->grant.DrainOverdue("b"));
}

}  // namespace
}  // namespace cranberryhill
