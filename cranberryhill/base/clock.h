#ifndef CRANBERRYHILL_BASE_CLOCK_H_
#define CRANBERRYHILL_BASE_CLOCK_H_

// Time sources. Decision code takes a Clock, so that tests and benchmarks can
// drive it with a ManualClock.
//
//   BootClock clock;
//   absl::Time deadline = clock.Now() + absl::Seconds(2);

#include "absl/time/time.h"

namespace cranberryhill {

/// Monotonic time source. Readings of different instances are not comparable.
class Clock {
 public:
  virtual ~Clock() = default;

  /// @return The current reading, counted from an arbitrary start.
  virtual absl::Time Now() const = 0;
};

/// Reads CLOCK_BOOTTIME, which goes on while the instance is suspended, so a
/// lease cannot look valid after a suspension. Thread-safe.
class BootClock : public Clock {
 public:
  absl::Time Now() const override;
};

/// A clock that moves only when told to. Not thread-safe.
class ManualClock : public Clock {
 public:
  explicit ManualClock(absl::Time start = absl::UnixEpoch()) : now(start) {}

  absl::Time Now() const override { return this->now; }

  /// Moves the clock forward.
  /// @param step A duration that is not negative.
  void Advance(absl::Duration step) { this->now += step; }

  /// Sets the reading. @param time Not before the current reading.
  void Set(absl::Time time) { this->now = time; }

 private:
  absl::Time now;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_CLOCK_H_
