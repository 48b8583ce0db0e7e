#include "cranberryhill/forward/windowed_retry_budget.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

namespace cranberryhill::forward {
namespace {

// Guards against a budget that accumulates over many windows and is spent in
// one. The bound that all instances share uses the largest number of requests
// among three windows: the current one, the one that ended half a window ago
// and the one that ended a whole window ago.
RC_BOOST_PROP(retries_stay_within_the_bound_in_every_window, ()) {
  ManualClock clock;
  RetryBudgetLimits limits{0.2, absl::Seconds(10), 2};
  WindowedRetryBudget budget(clock, limits);
  std::deque<absl::Time> requests;
  std::deque<absl::Time> retries;
  auto count = [](const std::deque<absl::Time>& times, absl::Time from,
                  absl::Time to) {
    return std::count_if(times.begin(), times.end(), [from, to](absl::Time t) {
      return t > from && t <= to;
    });
  };
  for (int step = 0; step < 400; ++step) {
    clock.Advance(absl::Milliseconds(*rc::gen::inRange(0, 300)));
    if (*rc::gen::arbitrary<bool>()) {
      budget.OnRequest();
      requests.push_back(clock.Now());
    }
    if (budget.HasRoom()) {
      budget.OnRetry();
      retries.push_back(clock.Now());
    }
    absl::Time now = clock.Now();
    absl::Time start = now - limits.window;
    auto max_requests = std::max(
        {count(requests, start, now),
         count(requests, start - limits.window / 2, now - limits.window / 2),
         count(requests, start - limits.window, start)});
    RC_ASSERT(static_cast<double>(count(retries, start, now)) <=
              limits.ratio * static_cast<double>(max_requests) +
                  limits.instance_slack);
  }
}

// Guards against starting two retries when the budget allows only one.
BOOST_AUTO_TEST_CASE(budget_for_two_retries_is_checked_together) {
  ManualClock clock;
  // Half of the slack is kept.
  WindowedRetryBudget budget(clock, {0.2, absl::Seconds(10), 4});
  clock.Advance(absl::Seconds(11));
  BOOST_TEST(budget.HasRoom(2));
  budget.OnRetry();
  BOOST_TEST(budget.HasRoom());
  BOOST_TEST(!budget.HasRoom(2));
  clock.Advance(absl::Seconds(11));
  BOOST_TEST(budget.HasRoom(2));
}

// Guards against a process that begins with the slack that its predecessor has
// spent a moment before.
BOOST_AUTO_TEST_CASE(process_that_has_just_started_has_no_slack) {
  ManualClock clock;
  WindowedRetryBudget budget(clock, {0.2, absl::Seconds(10), 50});
  BOOST_TEST(!budget.HasRoom());
  clock.Advance(absl::Seconds(1));
  BOOST_TEST(budget.HasRoom(2));
  BOOST_TEST(!budget.HasRoom(4));
}

// Guards against a retry that is lost to the budget though it was not sent.
BOOST_AUTO_TEST_CASE(cancelled_retry_makes_room_again) {
  ManualClock clock;
  WindowedRetryBudget budget(clock, {0.2, absl::Seconds(10), 2});
  clock.Advance(absl::Seconds(11));
  budget.OnRetry();
  BOOST_TEST(!budget.HasRoom());
  budget.OnRetryCancelled();
  BOOST_TEST(budget.HasRoom());
  BOOST_TEST(!budget.HasRoom(2));
}

}  // namespace
}  // namespace cranberryhill::forward
