#include "cranberryhill/admission/attempt_retry_budget.h"

#include <algorithm>
#include <cmath>

namespace cranberryhill {
namespace {

// Time constant with which the count of recent requests decays. With 10 s, an
// instance that lost 40 streams in an engine crash took 15 s to resume them.
constexpr double kRecentRequestsTimeConstantS = 60;

}  // namespace

AttemptRetryBudget::AttemptRetryBudget(const Clock& clock,
                                       AttemptRetryBudgetOptions options)
    : clock(clock),
      options(options),
      allowance(options.per_second),
      last_refill_at(clock.Now()) {}

void AttemptRetryBudget::Refill() {
  absl::Time now = this->clock.Now();
  double seconds = absl::ToDoubleSeconds(now - this->last_refill_at);
  this->last_refill_at = now;
  this->recent_requests *= std::exp(-seconds / kRecentRequestsTimeConstantS);
  // Unused allowance is limited by the number of recent requests.
  double max_allowance = this->options.fraction * this->recent_requests +
                         std::max(1.0, this->options.per_second);
  this->allowance = std::min(
      max_allowance, this->allowance + this->options.per_second * seconds);
}

void AttemptRetryBudget::OnRequest() {
  this->Refill();
  this->recent_requests += 1;
  this->allowance += this->options.fraction;
}

bool AttemptRetryBudget::TryTake() {
  this->Refill();
  if (this->allowance < 1)
    return false;
  this->allowance -= 1;
  return true;
}

}  // namespace cranberryhill
