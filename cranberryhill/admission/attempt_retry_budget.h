#ifndef CRANBERRYHILL_ADMISSION_ATTEMPT_RETRY_BUDGET_H_
#define CRANBERRYHILL_ADMISSION_ATTEMPT_RETRY_BUDGET_H_

// Limits the number of retries, or of hedged requests, to a fraction of the
// recent requests.
//
//   AttemptRetryBudget retries(clock, kRetryBudget);
//   retries.OnRequest();
//   if (retries.TryTake()) ...

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// Permitted number of extra attempts.
struct AttemptRetryBudgetOptions {
  double fraction = 0;    ///< Extra attempts per recent request.
  double per_second = 0;  ///< Extra attempts per second, even without requests.
};

/// Budgets for retries and for hedged requests. Section 9 of the design page
/// gives the reasons for the values.
inline constexpr AttemptRetryBudgetOptions kRetryBudget{0.10, 1.0};
inline constexpr AttemptRetryBudgetOptions kHedgeBudget{0.05, 0.0};

/// Token bucket. Requests and the passing of time add tokens, and each extra
/// attempt takes one. Not thread-safe.
class AttemptRetryBudget {
 public:
  /// @param clock Must outlive this object.
  AttemptRetryBudget(const Clock& clock, AttemptRetryBudgetOptions options);

  /// Counts a first attempt.
  void OnRequest();

  /// @return True if an extra attempt is permitted. It then counts as made.
  bool TryTake();

 private:
  void Refill();

  const Clock& clock;
  const AttemptRetryBudgetOptions options;
  // Exponentially weighted number of recent requests.
  double recent_requests = 0;
  // Number of extra attempts permitted now.
  double allowance;
  absl::Time last_refill_at;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ADMISSION_ATTEMPT_RETRY_BUDGET_H_
