#include "cranberryhill/store/answer_deadline.h"

#include <boost/test/unit_test.hpp>

#include "cranberryhill/base/clock.h"

namespace cranberryhill::gateway {
namespace {

struct Fixture {
  bool Expired() const { return clock.Now() >= deadline.expires_at(); }

  /// Receives `bytes` every 100 ms for `duration`, or until the deadline.
  void Receive(size_t bytes, absl::Duration duration) {
    absl::Time end = clock.Now() + duration;
    while (clock.Now() < end && !this->Expired()) {
      deadline.OnBytes(bytes, clock.Now());
      clock.Advance(absl::Milliseconds(100));
    }
  }

  ManualClock clock;
  AnswerDeadline deadline{clock.Now(), absl::Milliseconds(1500)};
};

// Guards against waiting for an answer that never begins.
BOOST_FIXTURE_TEST_CASE(answer_must_begin_in_time, Fixture) {
  clock.Advance(absl::Milliseconds(1499));
  BOOST_TEST(!this->Expired());
  clock.Advance(absl::Milliseconds(1));
  BOOST_TEST(this->Expired());
}

// Guards against cutting off a large answer on a slow link.
BOOST_FIXTURE_TEST_CASE(slow_answer_that_makes_progress_may_last, Fixture) {
  deadline.OnBegin(clock.Now());
  this->Receive(2000, absl::Minutes(1));
  BOOST_TEST(!this->Expired());
}

// Guards against an answer that keeps its call for good with a byte now and
// then.
BOOST_FIXTURE_TEST_CASE(trickling_answer_ends, Fixture) {
  deadline.OnBegin(clock.Now());
  absl::Time begun_at = clock.Now();
  this->Receive(1, absl::Minutes(1));
  BOOST_TEST(this->Expired());
  BOOST_TEST((clock.Now() - begun_at <= absl::Milliseconds(1100)));
}

// Guards against waiting for the rest of an answer that stops in the middle.
BOOST_FIXTURE_TEST_CASE(stalled_answer_ends, Fixture) {
  deadline.OnBegin(clock.Now());
  this->Receive(100'000, absl::Seconds(3));
  BOOST_TEST(!this->Expired());
  clock.Advance(absl::Seconds(1));
  BOOST_TEST(this->Expired());
}

}  // namespace
}  // namespace cranberryhill::gateway
