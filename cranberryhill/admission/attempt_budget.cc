#include "cranberryhill/admission/attempt_budget.h"

#include <algorithm>
#include <cmath>

namespace cranberryhill {
namespace {

// Requests older than this no longer count as recent. With 10 s an instance
// that lost 40 streams in an engine crash took 15 s to resume them.
constexpr double kRecentSeconds = 60;

}  // namespace

AttemptBudget::AttemptBudget(const Clock& clock, AttemptBudgetOptions options)
    : clock(clock),
      options(options),
      allowance(options.per_second),
      last(clock.Now()) {}

void AttemptBudget::Refill() {
  absl::Time now = this->clock.Now();
  double seconds = absl::ToDoubleSeconds(now - this->last);
  this->last = now;
  this->requests *= std::exp(-seconds / kRecentSeconds);
  // Unused allowance is kept only as far as recent requests justify it.
  double most = this->options.fraction * this->requests +
                std::max(1.0, this->options.per_second);
  this->allowance =
      std::min(most, this->allowance + this->options.per_second * seconds);
}

void AttemptBudget::OnRequest() {
  this->Refill();
  this->requests += 1;
  this->allowance += this->options.fraction;
}

bool AttemptBudget::TryTake() {
  this->Refill();
  if (this->allowance < 1)
    return false;
  this->allowance -= 1;
  return true;
}

}  // namespace cranberryhill
