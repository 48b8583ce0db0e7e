#ifndef CRANBERRYHILL_CALLS_WALL_CLOCK_H_
#define CRANBERRYHILL_CALLS_WALL_CLOCK_H_

// The time of day, for stamps that are compared over hours and days only.
//
//   WallClock wall_clock;

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// Reads the system's time of day. Thread-safe.
class WallClock : public Clock {
 public:
  absl::Time Now() const override;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_WALL_CLOCK_H_
