#include "cranberryhill/forward/crash_watch.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::forward {
namespace {

struct Fixture {
  CrashStatus Standing(uint64_t fingerprint) {
    return this->guard.StatusOf(fingerprint, this->clock.Now());
  }

  ManualClock clock;
  CrashQuarantine guard{CrashQuarantinePolicy{}};
  CrashWatch watch{guard, clock};
};

// Guards against a request that crashes one replica after the other.
BOOST_FIXTURE_TEST_CASE(second_confirmed_crash_condemns, Fixture) {
  for (const char* replica : {"a", "b"}) {
    this->watch.OnBroken(replica, 7, this->clock.Now());
    this->clock.Advance(absl::Milliseconds(300));
    BOOST_TEST(this->watch.OnUnreachable(replica) == 1U);
  }
  BOOST_TEST((this->Standing(7) == CrashStatus::kQuarantined));
}

// Guards against refusing requests because connections were reset or answers
// were lost by replicas that live on.
BOOST_FIXTURE_TEST_CASE(broken_answers_alone_condemn_nobody, Fixture) {
  for (int i = 0; i < 5; ++i)
    this->watch.OnBroken("a", 7, this->clock.Now());
  BOOST_TEST((this->Standing(7) == CrashStatus::kClean));
  this->clock.Advance(absl::Seconds(3));
  BOOST_TEST(this->watch.OnUnreachable("a") == 0U);
  BOOST_TEST(this->watch.OnUnreachable("b") == 0U);
  BOOST_TEST((this->Standing(7) == CrashStatus::kClean));
}

}  // namespace
}  // namespace cranberryhill::forward
