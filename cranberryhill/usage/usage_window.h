#ifndef CRANBERRYHILL_USAGE_USAGE_WINDOW_H_
#define CRANBERRYHILL_USAGE_USAGE_WINDOW_H_

// Windows of true time in which the requests of customers are counted. Window k
// begins k times its length after the start of 1970.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "absl/time/time.h"

namespace cranberryhill::usage {

/// Requests that began to run, by the names of their customers.
using CustomerCounts = std::map<std::string, uint64_t, std::less<>>;

/// What one process has counted in one window.
struct WindowCounts {
  int64_t window = 0;
  /// No request will be counted in this window any more.
  bool is_final = false;
  /// Sum of all counts of the process in this window. `counts` may be a part of
  /// them, as messages are limited in size.
  uint64_t total = 0;
  CustomerCounts counts;
};

/// @return The number of the window that `time` lies in.
inline int64_t WindowOf(absl::Time time, absl::Duration length) {
  absl::Duration rest;
  return absl::IDivDuration(time - absl::UnixEpoch(), length, &rest);
}

/// @return When the window ends.
inline absl::Time EndOf(int64_t window, absl::Duration length) {
  return absl::UnixEpoch() + length * (window + 1);
}

}  // namespace cranberryhill::usage

#endif  // CRANBERRYHILL_USAGE_USAGE_WINDOW_H_
