#ifndef CRANBERRYHILL_ADMISSION_ATTEMPT_BUDGET_H_
#define CRANBERRYHILL_ADMISSION_ATTEMPT_BUDGET_H_

// Limits retries or hedged requests to a fraction of recent requests.
//
//   AttemptBudget retries(clock, kRetryBudget);
//   retries.OnRequest();
//   if (retries.TryTake()) ...

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// Rate of extra attempts that is allowed.
struct AttemptBudgetOptions {
  double fraction = 0;    ///< Of recent requests.
  double per_second = 0;  ///< Allowed in addition.
};

/// Design page, section 9.
inline constexpr AttemptBudgetOptions kRetryBudget{0.10, 1.0};
inline constexpr AttemptBudgetOptions kHedgeBudget{0.05, 0.0};

/// Token bucket that holds the allowance of recent requests. Not thread-safe.
class AttemptBudget {
 public:
  /// @param clock Must outlive this object.
  AttemptBudget(const Clock& clock, AttemptBudgetOptions options);

  /// Counts a first attempt.
  void OnRequest();

  /// @return True when an extra attempt is allowed; it is then counted.
  bool TryTake();

 private:
  void Refill();

  const Clock& clock;
  const AttemptBudgetOptions options;
  double requests = 0;  // Exponentially weighted count of recent requests.
  double allowance;
  absl::Time last;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ADMISSION_ATTEMPT_BUDGET_H_
