#ifndef CRANBERRYHILL_CALLS_INTERNAL_TOKEN_BUCKET_H_
#define CRANBERRYHILL_CALLS_INTERNAL_TOKEN_BUCKET_H_

// A rate limit that allows bursts up to a capacity.
//
//   TokenBucket bucket(60, 60, clock);
//   if (!bucket.TryTake()) return Overloaded();

#include <algorithm>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// The bucket starts full. Not thread-safe.
class TokenBucket {
 public:
  /// @param clock Must outlive this object.
  TokenBucket(double per_second, double capacity, const Clock& clock)
      : per_second(per_second),
        capacity(capacity),
        clock(clock),
        tokens(capacity),
        last_refill(clock.Now()) {}

  /// Adds `count` tokens, up to the capacity.
  void Add(double count) {
    this->tokens = std::min(this->capacity, this->tokens + count);
  }

  /// Takes one token.
  /// @return False if less than one token is left.
  bool TryTake() {
    absl::Time now = this->clock.Now();
    this->Add(absl::ToDoubleSeconds(now - this->last_refill) *
              this->per_second);
    this->last_refill = now;
    if (this->tokens < 1)
      return false;
    this->tokens -= 1;
    return true;
  }

 private:
  const double per_second;
  const double capacity;
  const Clock& clock;
  double tokens;
  absl::Time last_refill;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_INTERNAL_TOKEN_BUCKET_H_
