#include "cranberryhill/forward/replica_crash_quarantine.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::forward {
namespace {

struct Fixture {
  CrashStatus StatusOf(uint64_t fingerprint) {
    return this->quarantine.StatusOf(fingerprint, this->clock.Now());
  }

  ManualClock clock;
  CrashQuarantine quarantine{CrashQuarantinePolicy{}};
  PromptPartQuarantine part_quarantine{clock};
  ReplicaCrashQuarantine crashes{quarantine, part_quarantine, clock};
};

// Guards against a request that crashes one replica after another.
BOOST_FIXTURE_TEST_CASE(second_confirmed_crash_quarantines_the_request,
                        Fixture) {
  for (const char* replica : {"a", "b"}) {
    this->crashes.OnBrokenAnswer(replica, {7, this->clock.Now(), {}});
    this->clock.Advance(absl::Milliseconds(300));
    BOOST_TEST(this->crashes.OnUnreachable(replica).suspects == 1U);
  }
  BOOST_TEST((this->StatusOf(7) == CrashStatus::kQuarantined));
}

// Guards against refusing requests because of connection resets or lost answers
// of replicas that did not crash.
BOOST_FIXTURE_TEST_CASE(broken_answers_alone_do_not_quarantine, Fixture) {
  for (int i = 0; i < 5; ++i)
    this->crashes.OnBrokenAnswer("a", {7, this->clock.Now(), {}});
  BOOST_TEST((this->StatusOf(7) == CrashStatus::kClean));
  this->clock.Advance(absl::Seconds(3));
  BOOST_TEST(this->crashes.OnUnreachable("a").suspects == 0U);
  BOOST_TEST(this->crashes.OnUnreachable("b").suspects == 0U);
  BOOST_TEST((this->StatusOf(7) == CrashStatus::kClean));
}

}  // namespace
}  // namespace cranberryhill::forward
