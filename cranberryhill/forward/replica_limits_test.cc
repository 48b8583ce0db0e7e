#include "cranberryhill/forward/replica_limits.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::forward {
namespace {

struct Fixture {
  ManualClock clock;
  ReplicaLimits limits{clock};
};

// Guards against an old answer that a slow peer reports late and that replaces
// what a later one said.
BOOST_FIXTURE_TEST_CASE(latest_answer_counts, Fixture) {
  this->clock.Advance(absl::Seconds(100));
  this->limits.OnAnswer("x", 5.0);
  BOOST_TEST(!this->limits.Merge({"x", std::nullopt, absl::Seconds(2)}));
  BOOST_TEST(this->limits.RateOf("x").value() == 5.0);
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(this->limits.Merge({"x", 7.0, absl::Milliseconds(10)}));
  BOOST_TEST(this->limits.RateOf("x").value() == 7.0);
}

// Guards against a limit that ends because nobody sends requests.
BOOST_FIXTURE_TEST_CASE(limit_outlasts_silence, Fixture) {
  this->limits.OnAnswer("x", 5.0);
  this->clock.Advance(absl::Minutes(5));
  this->limits.Prune([](std::string_view) { return false; });
  BOOST_TEST(this->limits.RateOf("x").value() == 5.0);
}

// Guards against a replica without a limit that is kept from requests for good,
// or gets all of them at once.
BOOST_FIXTURE_TEST_CASE(rate_grows_after_the_limit, Fixture) {
  this->limits.OnAnswer("x", 4.0);
  this->clock.Advance(absl::Seconds(1));
  this->limits.OnAnswer("x", std::nullopt);
  BOOST_TEST(this->limits.RateOf("x").value() == 4.0);
  this->clock.Advance(absl::Seconds(2));
  BOOST_TEST(this->limits.RateOf("x").value() == 16.0);
  this->clock.Advance(absl::Seconds(5));
  BOOST_TEST(!this->limits.RateOf("x").has_value());
}

// Guards against a replica that takes nothing and is never asked again.
BOOST_FIXTURE_TEST_CASE(limit_of_zero_leaves_a_few_requests, Fixture) {
  this->limits.OnAnswer("x", 0.0);
  BOOST_TEST(this->limits.RateOf("x").value() > 0);
  BOOST_TEST(this->limits.RateOf("x").value() <= 0.5);
}

// Guards against the limit of a process that has ended, and against one that is
// passed on by hearsay.
BOOST_FIXTURE_TEST_CASE(gone_replicas_and_hearsay_are_not_reported, Fixture) {
  this->limits.OnAnswer("x", 4.0);
  this->limits.Merge({"y", 4.0, absl::ZeroDuration()});
  BOOST_REQUIRE(this->limits.OwnReports().size() == 1U);
  BOOST_TEST(this->limits.OwnReports()[0].replica == "x");
  this->limits.Prune([](std::string_view replica) { return replica == "x"; });
  BOOST_TEST(!this->limits.RateOf("x").has_value());
  BOOST_TEST(this->limits.RateOf("y").has_value());
}

}  // namespace
}  // namespace cranberryhill::forward
