#include "cranberryhill/exchange/shutdown_admission.h"

#include <algorithm>

#include "cranberryhill/base/absl_view.h"

namespace cranberryhill::gateway {
namespace {

/// The load balancer needs up to 3 s to take an instance out. Until shortly
/// before, most requests that are refused would come back to this instance.
constexpr absl::Duration kEarlyTime = absl::Milliseconds(2600);
/// Answers count as recent for one to two periods.
constexpr absl::Duration kPeriod = absl::Seconds(30);

}  // namespace

void ShutdownAdmission::OnAnswered(std::string_view route,
                                   absl::Duration took) {
  absl::Time now = this->clock.Now();
  LongestAnswers& longest = this->routes[ToAbsl(route)];
  absl::Duration age = now - longest.period_start;
  if (age >= kPeriod) {
    longest.previous =
        age < 2 * kPeriod ? longest.current : absl::ZeroDuration();
    longest.current = absl::ZeroDuration();
    longest.period_start = now;
  }
  longest.current = std::max(longest.current, took);
}

void ShutdownAdmission::Begin(absl::Duration time_for_requests) {
  this->begin = this->clock.Now();
  this->end = this->begin + time_for_requests;
}

bool ShutdownAdmission::MayTake(std::string_view route,
                                absl::Time arrived,
                                absl::Time deadline) const {
  if (deadline <= this->end)
    return true;
  if (arrived > this->begin + kEarlyTime)
    return false;
  auto found = this->routes.find(ToAbsl(route));
  if (found == this->routes.end())
    return false;
  const LongestAnswers& longest = found->second;
  absl::Time now = this->clock.Now();
  if (now - longest.period_start >= 2 * kPeriod)
    return false;
  return now + std::max(longest.current, longest.previous) <= this->end;
}

}  // namespace cranberryhill::gateway
