#include "cranberryhill/calls/retry_budget.h"

namespace cranberryhill {

RetryBudget::RetryBudget(RetryBudgetConfig config, const Clock& clock)
    : share(config.share), bucket(config.per_second, config.max_saved, clock) {}

void RetryBudget::OnRequest() {
  this->bucket.Add(this->share);
}

bool RetryBudget::TryRetry() {
  return this->bucket.TryTake();
}

}  // namespace cranberryhill
