#ifndef CRANBERRYHILL_STORE_ANSWER_DEADLINE_H_
#define CRANBERRYHILL_STORE_ANSWER_DEADLINE_H_

// Decides how long an answer may take. The time to its beginning is limited,
// and from then on the rate at which it arrives, so that a large answer on a
// slow link is received, while one that stalls, or sends a byte now and then,
// ends.
//
//   AnswerDeadline deadline(clock.Now(), absl::Seconds(2));
//   deadline.OnBytes(n, clock.Now());
//   if (clock.Now() >= deadline.expires_at()) ...

#include <cstddef>

#include "absl/time/time.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class AnswerDeadline {
 public:
  /// Accepts all answers until the first call is made.
  AnswerDeadline() = default;

  /// @param now When the request is sent.
  /// @param time_to_begin Longest time until the answer begins.
  AnswerDeadline(absl::Time now, absl::Duration time_to_begin)
      : expiry(now + time_to_begin) {}

  /// Records that the head of the answer has arrived.
  void OnBegin(absl::Time now);

  /// Records that `bytes` of the body have arrived.
  void OnBytes(size_t bytes, absl::Time now);

  /// @return When the answer fails unless more of it arrives.
  absl::Time expires_at() const { return this->expiry; }  // NOLINT

 private:
  absl::Time expiry = absl::InfiniteFuture();
  size_t bytes_in_interval = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_ANSWER_DEADLINE_H_
