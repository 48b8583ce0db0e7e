#ifndef CRANBERRYHILL_USAGE_USAGE_COLLECTOR_H_
#define CRANBERRYHILL_USAGE_USAGE_COLLECTOR_H_

// Adds up what the instances of a fleet have counted, and tells when a window
// can be decided. Messages of instances may be lost, repeated and reordered:
// counts are cumulative, and the highest one of each process counts.
//
//   UsageCollector collector({absl::Seconds(5), absl::Seconds(6)});
//   collector.Merge("entry-1", incarnation, counts);
//   if (collector.StateOf(window, now, live) == WindowState::kReady)
//     ...report collector.Sum(window)...

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "cranberryhill/usage/usage_window.h"

namespace cranberryhill::usage {

struct CollectorSettings {
  absl::Duration window_length = absl::Seconds(5);
  /// How long after the end of a window the counts of silent instances are
  /// waited for.
  absl::Duration longest_wait = absl::Seconds(6);
};

enum class WindowState {
  kOpen,     ///< Counts are missing and may still arrive.
  kReady,    ///< All that are to be expected have arrived.
  kUnknown,  ///< Nobody has counted in this window, and nothing will arrive.
};

/// Not thread-safe.
class UsageCollector {
 public:
  explicit UsageCollector(CollectorSettings settings) : settings(settings) {}

  /// @param incarnation Differs between the processes of an instance.
  /// @param first_window The process has counted nothing before this window
  ///     that it would still send.
  void Merge(std::string_view instance,
             uint64_t incarnation,
             int64_t first_window,
             std::span<const WindowCounts> windows);

  /// @param live Names of the live instances, this one included.
  WindowState StateOf(int64_t window,
                      absl::Time true_time,
                      std::span<const std::string> live) const;

  /// @return True if most of the live instances have sent counts since
  ///     ForgetReports().
  bool HasReportsOfMost(std::span<const std::string> live) const;

  /// Forgets which instances have sent counts, but not the counts.
  void ForgetReports() { this->reporters.clear(); }

  /// @return The sums over all processes.
  CustomerCounts Sum(int64_t window) const;

  /// Forgets the windows up to this one.
  void OnDecided(int64_t window);

 private:
  /// The counts of one process.
  struct ProcessCounts {
    bool is_final = false;
    uint64_t total = 0;
    CustomerCounts counts;

    bool IsComplete() const;
  };
  /// By the instance and its incarnation.
  using Processes = std::map<std::pair<std::string, uint64_t>, ProcessCounts>;

  bool HasAllOf(const std::string& instance,
                int64_t window,
                const Processes& processes) const;

  const CollectorSettings settings;
  int64_t decided = -1;
  std::map<int64_t, Processes> windows;
  std::set<std::string, std::less<>> reporters;  // Names of instances.
  // By instance, of its newest process.
  std::map<std::string, int64_t, std::less<>> first_windows;
};

}  // namespace cranberryhill::usage

#endif  // CRANBERRYHILL_USAGE_USAGE_COLLECTOR_H_
