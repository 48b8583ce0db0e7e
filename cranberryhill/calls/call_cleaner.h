#ifndef CRANBERRYHILL_CALLS_CALL_CLEANER_H_
#define CRANBERRYHILL_CALLS_CALL_CLEANER_H_

// Deletes the table rows of calls whose retention period has ended, in batches.
// Only the instance that holds `lease/{env}/calls` runs it.
//
//   CallCleaner cleaner({.environment = "e"}, wall_clock, table);
//   cleaner.Step();  // Every second while this instance holds the lease.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct CallCleanerConfig {
  std::string environment;
  /// Rows per scan, and the maximum number of deletions per commit. With one
  /// step a second, a pass over the 6.2 million rows of a day (72 calls a
  /// second) takes 9 h.
  size_t batch = 200;
  /// For rows of finished calls: done and released.
  absl::Duration retention = absl::Hours(24);
  /// For calls without a known end: unknown outcomes and abandoned claims.
  absl::Duration unknown_retention = absl::Hours(24 * 7);
  /// Added to both retention periods, because the wall clocks of the instances
  /// may differ.
  absl::Duration clock_tolerance = absl::Hours(1);
};

/// Used on the core thread only. Answers of the table service that arrive
/// after the destruction are ignored.
class CallCleaner {
 public:
  /// All references must outlive this object.
  CallCleaner(CallCleanerConfig config,
              const Clock& wall_clock,
              TableService& table);
  ~CallCleaner();

  CallCleaner(const CallCleaner&) = delete;
  CallCleaner& operator=(const CallCleaner&) = delete;

  /// Scans the next batch and deletes its expired rows. Does nothing while the
  /// previous step still waits for the table service.
  void Step();

  /// @return The number of rows deleted since the start.
  uint64_t deleted() const;  // NOLINT

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_CLEANER_H_
