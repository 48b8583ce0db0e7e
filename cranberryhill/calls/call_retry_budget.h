#ifndef CRANBERRYHILL_CALLS_CALL_RETRY_BUDGET_H_
#define CRANBERRYHILL_CALLS_CALL_RETRY_BUDGET_H_

// Limits retries to a share of the requests plus a fixed rate, so that retries
// do not multiply the load when backend servers fail.
//
//   budget.OnRequest();
//   if (budget.TryRetry()) ...

#include "cranberryhill/base/clock.h"
#include "cranberryhill/calls/internal/token_bucket.h"

namespace cranberryhill {

struct CallRetryBudgetConfig {
  double share = 0.1;      ///< Retries that each request adds to the budget.
  double per_second = 1;   ///< Retries added each second without any request.
  double max_unused = 10;  ///< Maximum number of unused retries.
};

/// Not thread-safe.
class CallRetryBudget {
 public:
  /// @param clock Must outlive this object.
  CallRetryBudget(CallRetryBudgetConfig config, const Clock& clock);

  /// Adds the share of one request. Must not be called for its retries.
  void OnRequest();

  /// Takes one retry from the budget.
  /// @return False when the budget is used up.
  bool TryRetry();

 private:
  const double share;
  TokenBucket bucket;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_RETRY_BUDGET_H_
