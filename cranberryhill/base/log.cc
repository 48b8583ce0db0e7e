#include "cranberryhill/base/log.h"

#include <cstdio>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace cranberryhill {

void WriteLogLine(std::string_view line) {
  std::string time = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(),
                                      absl::UTCTimeZone());
  fmt::print(stderr, "{} {}\n", time, line);
}

}  // namespace cranberryhill
