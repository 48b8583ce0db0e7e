#ifndef CRANBERRYHILL_CALLS_RETRY_BUDGET_H_
#define CRANBERRYHILL_CALLS_RETRY_BUDGET_H_

// Bounds retries to a share of requests plus a few a second, so that retries
// do not multiply the load when backend servers fail.
//
//   budget.OnRequest();
//   if (budget.TryRetry()) ...

#include "cranberryhill/base/clock.h"
#include "cranberryhill/calls/internal/token_bucket.h"

namespace cranberryhill {

struct RetryBudgetConfig {
  double share = 0.1;     ///< Retries per request.
  double per_second = 1;  ///< Retries a second without any request.
  double max_saved = 10;  ///< Retries that can be saved up.
};

/// Not thread-safe.
class RetryBudget {
 public:
  /// @param clock Must outlive this object.
  RetryBudget(RetryBudgetConfig config, const Clock& clock);

  /// Counts a request, not its retries.
  void OnRequest();

  /// Takes one retry. @return False when the budget is used up.
  bool TryRetry();

 private:
  const double share;
  TokenBucket bucket;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_RETRY_BUDGET_H_
