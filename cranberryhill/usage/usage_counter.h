#ifndef CRANBERRYHILL_USAGE_USAGE_COUNTER_H_
#define CRANBERRYHILL_USAGE_USAGE_COUNTER_H_

// Counts the requests of customers that begin to run at this instance, and
// keeps the counts of each window until the fleet has decided what is reported
// for it.
//
//   UsageCounter counter(absl::Seconds(5));
//   counter.Count("hule930", true_time);
//   for (const WindowCounts& counts : counter.Undecided(true_time)) ...send...
//   counter.OnDecided(window);

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/usage/usage_window.h"

namespace cranberryhill::usage {

/// Not thread-safe.
class UsageCounter {
 public:
  /// @param window_length Length of the windows.
  explicit UsageCounter(absl::Duration window_length)
      : window_length(window_length) {}

  /// Counts a request that begins to run at `true_time`.
  void Count(std::string_view customer, absl::Time true_time);

  /// @return The counts of the windows that are not decided, in their order,
  ///     those without requests included. The first call begins with the
  ///     present window.
  std::vector<WindowCounts> Undecided(absl::Time true_time);

  /// Forgets the windows up to this one.
  void OnDecided(int64_t window);

  /// @return The last decided window that this instance knows of; -1 if none.
  int64_t decided() const { return this->decided_window; }  // NOLINT

  /// @return Requests whose windows were too old to be kept.
  uint64_t dropped() const { return this->dropped_requests; }  // NOLINT

 private:
  void KeepOpen(int64_t window);

  const absl::Duration window_length;
  // Windows before this one have been said to be final, or are decided.
  int64_t first_open = 0;
  int64_t decided_window = -1;
  std::map<int64_t, CustomerCounts> windows;
  uint64_t dropped_requests = 0;
};

}  // namespace cranberryhill::usage

#endif  // CRANBERRYHILL_USAGE_USAGE_COUNTER_H_
