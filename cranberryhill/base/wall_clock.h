#ifndef CRANBERRYHILL_BASE_WALL_CLOCK_H_
#define CRANBERRYHILL_BASE_WALL_CLOCK_H_

// The time of day. It may jump when the system adjusts its clock, so it serves
// only for timestamps that are compared over hours or days.
//
//   WallClock wall_clock;

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// Reads the system's real-time clock. Thread-safe.
class WallClock : public Clock {
 public:
  absl::Time Now() const override;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_WALL_CLOCK_H_
