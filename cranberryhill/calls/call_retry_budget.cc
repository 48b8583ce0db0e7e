#include "cranberryhill/calls/call_retry_budget.h"

namespace cranberryhill {

CallRetryBudget::CallRetryBudget(CallRetryBudgetConfig config,
                                 const Clock& clock)
    : share(config.share),
      bucket(config.per_second, config.max_unused, clock) {}

void CallRetryBudget::OnRequest() {
  this->bucket.Add(this->share);
}

bool CallRetryBudget::TryRetry() {
  return this->bucket.TryTake();
}

}  // namespace cranberryhill
