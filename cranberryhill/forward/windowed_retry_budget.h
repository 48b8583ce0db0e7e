#ifndef CRANBERRYHILL_FORWARD_WINDOWED_RETRY_BUDGET_H_
#define CRANBERRYHILL_FORWARD_WINDOWED_RETRY_BUDGET_H_

// Bounds the retries of a service within every window of time. The bound holds
// for the sum over all processes that lived in the window, without messages
// between them and without anything that outlives a process:
//
// - A request earns credit when it arrives. A process that has just started has
//   none, so it cannot spend again what its predecessor has spent.
// - Credit that is kept is limited by the requests of the window before, so
//   what a process spends in a window was earned in it or in the window before.
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
      : clock(clock), limits(limits), updated_at(clock.Now()) {}

  /// Counts the first attempt of a request.
  void OnRequest();

  /// @return True when the budget allows `count` more retries.
  bool HasRoom(int count = 1);

  /// Counts a retry, when it is decided on. Others could use the same room if
  /// it were counted when it is sent.
  void OnRetry();

  /// Takes back a retry that was counted a moment ago and is not sent.
  void OnRetryCancelled();

  void SetLimits(RetryBudgetLimits limits);

  /// @return The retries that may be sent now; negative after more were counted
  ///     than there was room for.
  double Credit();

 private:
  void Update();

  const Clock& clock;
  RetryBudgetLimits limits;
  double credit = 0;
  absl::Time updated_at;
  std::deque<absl::Time> requests;  // Of the last window.
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_WINDOWED_RETRY_BUDGET_H_
