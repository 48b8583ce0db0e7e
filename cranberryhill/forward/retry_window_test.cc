#include "cranberryhill/forward/retry_window.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

namespace cranberryhill::forward {
namespace {

// Guards against extra sends that are saved up over many windows and then spent
// in one. The shared bound takes the requests of the window, of the one before
// it or of the one half a window before, whichever has most.
RC_BOOST_PROP(extras_keep_to_the_bound_in_every_window, ()) {
  ManualClock clock;
  RetryBounds bounds{0.2, absl::Seconds(10), 2};
  RetryWindow budget(clock, bounds);
  std::deque<absl::Time> requests;
  std::deque<absl::Time> extras;
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
      budget.OnExtra();
      extras.push_back(clock.Now());
    }
    absl::Time now = clock.Now();
    absl::Time start = now - bounds.window;
    auto most = std::max(
        {count(requests, start, now),
         count(requests, start - bounds.window / 2, now - bounds.window / 2),
         count(requests, start - bounds.window, start)});
    RC_ASSERT(static_cast<double>(count(extras, start, now)) <=
              bounds.ratio * static_cast<double>(most) + bounds.own_slack);
  }
}

// Guards against a pair of sends that only has room for one of them.
BOOST_AUTO_TEST_CASE(room_for_two_is_asked_for_together) {
  ManualClock clock;
  RetryWindow budget(clock, {0.2, absl::Seconds(10), 2});
  BOOST_TEST(budget.HasRoom(2));
  budget.OnExtra();
  BOOST_TEST(budget.HasRoom());
  BOOST_TEST(!budget.HasRoom(2));
  clock.Advance(absl::Seconds(11));
  BOOST_TEST(budget.HasRoom(2));
}

}  // namespace
}  // namespace cranberryhill::forward
