#ifndef CRANBERRYHILL_FORWARD_WINDOWED_RETRY_BUDGET_H_
#define CRANBERRYHILL_FORWARD_WINDOWED_RETRY_BUDGET_H_

// Bounds the retries of a service within every window of time. Each instance is
// bounded by the number of its own requests, so the retries of all instances
// together stay within the shared bound without messages between them.
//
//   WindowedRetryBudget budget(clock, limits);
//   budget.OnRequest();
//   if (budget.HasRoom()) {
//     budget.OnRetry();
//     ...send to a second replica...

#include <deque>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill::forward {

struct RetryBudgetLimits {
  double ratio = 0.2;  ///< Retries per request.
  absl::Duration window = absl::Seconds(10);
  /// Retries that this instance may send in a window in addition to the ratio.
  double instance_slack = 2;
};

/// Not thread-safe.
class WindowedRetryBudget {
 public:
  /// @param clock Must outlive this object.
  WindowedRetryBudget(const Clock& clock, RetryBudgetLimits limits)
      : clock(clock), limits(limits) {}

  /// Counts the first attempt of a request.
  void OnRequest();

  /// @return True when the budget allows `count` more retries.
  bool HasRoom(int count = 1);

  /// Counts a retry.
  void OnRetry();

  void SetLimits(RetryBudgetLimits limits) { this->limits = limits; }

 private:
  void RemoveExpired();

  const Clock& clock;
  RetryBudgetLimits limits;
  std::deque<absl::Time> requests;
  std::deque<absl::Time> retries;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_WINDOWED_RETRY_BUDGET_H_
