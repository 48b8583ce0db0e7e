#include "cranberryhill/exchange/shutdown_admission.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::gateway {
namespace {

constexpr absl::Duration kTimeForRequests = absl::Seconds(7);

struct SettableClock : Clock {
  absl::Time Now() const override { return this->now; }
  absl::Time now = absl::UnixEpoch();
};

struct Fixture {
  /// @return Whether a request is taken that arrives now.
  bool Takes(std::string_view route, absl::Duration allowed) const {
    return this->admission.MayTake(route, this->clock.now,
                                   this->clock.now + allowed);
  }

  SettableClock clock;
  ShutdownAdmission admission{clock};
};

// Guards against refusals while no shutdown is in progress.
BOOST_FIXTURE_TEST_CASE(takes_all_requests_before_a_shutdown, Fixture) {
  BOOST_TEST(this->Takes("chat", absl::Hours(1)));
}

// Guards against refusing requests that end in time in any case.
BOOST_FIXTURE_TEST_CASE(takes_requests_that_surely_end_in_time, Fixture) {
  this->admission.Begin(kTimeForRequests);
  BOOST_TEST(this->Takes("chat", kTimeForRequests));
  BOOST_TEST(!this->Takes("chat", kTimeForRequests + absl::Milliseconds(1)));
  this->clock.now += absl::Seconds(5);
  BOOST_TEST(this->Takes("chat", absl::Seconds(2)));
  BOOST_TEST(!this->Takes("chat", absl::Seconds(3)));
}

// Guards against refusing early requests of routes that answer quickly, and
// against taking those of routes that do not.
BOOST_FIXTURE_TEST_CASE(early_requests_are_judged_by_the_longest_answer,
                        Fixture) {
  this->admission.OnAnswered("fast", absl::Seconds(1));
  this->admission.OnAnswered("slow", absl::Seconds(6));
  this->admission.OnAnswered("slow", absl::Seconds(1));
  this->admission.Begin(kTimeForRequests);
  this->clock.now += absl::Seconds(2);
  BOOST_TEST(this->Takes("fast", absl::Minutes(1)));
  BOOST_TEST(!this->Takes("slow", absl::Minutes(1)));
  BOOST_TEST(!this->Takes("unknown", absl::Minutes(1)));
  this->clock.now += absl::Seconds(1);
  BOOST_TEST(!this->Takes("fast", absl::Minutes(1)));
}

// Guards against judging by an answer that was slow long ago, and against
// forgetting one that was slow just before.
BOOST_FIXTURE_TEST_CASE(answers_are_forgotten_after_a_minute, Fixture) {
  this->admission.OnAnswered("chat", absl::Seconds(20));
  this->clock.now += absl::Seconds(31);
  this->admission.OnAnswered("chat", absl::Seconds(1));
  ShutdownAdmission early = this->admission;
  early.Begin(kTimeForRequests);
  BOOST_TEST(!early.MayTake("chat", this->clock.now, absl::InfiniteFuture()));
  this->clock.now += absl::Seconds(31);
  this->admission.OnAnswered("chat", absl::Seconds(1));
  this->admission.Begin(kTimeForRequests);
  BOOST_TEST(this->Takes("chat", absl::Minutes(1)));
}

// Guards against judging by no answer at all as if all had been quick.
BOOST_FIXTURE_TEST_CASE(route_without_recent_answers_is_unknown, Fixture) {
  this->admission.OnAnswered("chat", absl::Seconds(1));
  this->clock.now += absl::Minutes(2);
  this->admission.Begin(kTimeForRequests);
  BOOST_TEST(!this->Takes("chat", absl::Minutes(1)));
}

}  // namespace
}  // namespace cranberryhill::gateway
