#ifndef CRANBERRYHILL_CALLS_INTERNAL_TOKEN_BUCKET_H_
#define CRANBERRYHILL_CALLS_INTERNAL_TOKEN_BUCKET_H_

// A rate limit with a burst.
//
//   TokenBucket bucket(60, 60, clock);
//   if (!bucket.TryTake()) ...refuse...

#include <algorithm>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// Starts full. Not thread-safe.
class TokenBucket {
 public:
  /// @param clock Must outlive this object.
  TokenBucket(double per_second, double capacity, const Clock& clock)
      : per_second(per_second),
        capacity(capacity),
        clock(clock),
        tokens(capacity),
        refilled(clock.Now()) {}

  /// Adds `count` tokens, up to the capacity.
  void Add(double count) {
    this->tokens = std::min(this->capacity, this->tokens + count);
  }

  /// Takes one token. @return False when there is none.
  bool TryTake() {
    absl::Time now = this->clock.Now();
    this->Add(absl::ToDoubleSeconds(now - this->refilled) * this->per_second);
    this->refilled = now;
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
  absl::Time refilled;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_INTERNAL_TOKEN_BUCKET_H_
