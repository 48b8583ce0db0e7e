#include "cranberryhill/base/clock.h"

#include <time.h>

namespace cranberryhill {

absl::Time BootClock::Now() const {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return absl::TimeFromTimespec(reading);
}

}  // namespace cranberryhill
