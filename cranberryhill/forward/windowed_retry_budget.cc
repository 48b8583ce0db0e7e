#include "cranberryhill/forward/windowed_retry_budget.h"

#include <algorithm>

namespace cranberryhill::forward {
namespace {

// A window may see what was kept at its start and what is earned in it. The two
// shares of RetryBudgetLimits::ratio add up to less than one, because retries
// are counted when they are decided on while the bound applies to the times at
// which they arrive.
constexpr double kEarnedShare = 0.55;
constexpr double kKeptShare = 0.4;
// The same for RetryBudgetLimits::instance_slack, which is earned over time.
constexpr double kEarnedSlackShare = 0.5;
constexpr double kKeptSlackShare = 0.5;

}  // namespace

void WindowedRetryBudget::Update() {
  absl::Time now = this->clock.Now();
  while (!this->requests.empty() &&
         this->requests.front() <= now - this->limits.window)
    this->requests.pop_front();
  this->credit +=
      kEarnedSlackShare * this->limits.instance_slack *
      absl::FDivDuration(now - this->updated_at, this->limits.window);
  this->updated_at = now;
  double most_kept = kKeptShare * this->limits.ratio *
                         static_cast<double>(this->requests.size()) +
                     kKeptSlackShare * this->limits.instance_slack;
  this->credit = std::min(this->credit, most_kept);
}

void WindowedRetryBudget::OnRequest() {
  this->requests.push_back(this->clock.Now());
  this->credit += kEarnedShare * this->limits.ratio;
  this->Update();
}

void WindowedRetryBudget::OnRetry() {
  this->Update();
  this->credit -= 1;
}

void WindowedRetryBudget::OnRetryCancelled() {
  this->credit += 1;
  this->Update();
}

void WindowedRetryBudget::SetLimits(RetryBudgetLimits limits) {
  this->Update();
  this->limits = limits;
}

double WindowedRetryBudget::Credit() {
  this->Update();
  return this->credit;
}

bool WindowedRetryBudget::HasRoom(int count) {
  return this->Credit() >= count;
}

}  // namespace cranberryhill::forward
