#include "cranberryhill/base/wall_clock.h"

#include "absl/time/clock.h"

namespace cranberryhill {

absl::Time WallClock::Now() const {
  return absl::Now();
}

}  // namespace cranberryhill
