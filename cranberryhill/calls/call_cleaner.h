#ifndef CRANBERRYHILL_CALLS_CALL_CLEANER_H_
#define CRANBERRYHILL_CALLS_CALL_CLEANER_H_

// Deletes the rows of calls whose retention has ended, in batches. Run by the
// holder of `lease/{env}/calls` only.
//
//   CallCleaner cleaner({.environment = "e"}, wall_clock, table);
//   cleaner.Step();  // every second while this instance holds the lease

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
  /// Rows per scan, and at most so many deletions per commit. 200 a second
  /// pass over the 6.2 million rows of a day at 72 calls a second in 9 h.
  size_t batch = 200;
  absl::Duration retention = absl::Hours(24);
  /// For rows without a result: unknown outcomes and abandoned claims.
  absl::Duration unknown_retention = absl::Hours(24 * 7);
  /// Added to both, for wall clocks of instances that differ.
  absl::Duration clock_tolerance = absl::Hours(1);
};

/// Core thread only. Callbacks that come after the destruction are ignored.
class CallCleaner {
 public:
  /// All references must outlive this object.
  CallCleaner(CallCleanerConfig config,
              const Clock& wall_clock,
              TableService& table);
  ~CallCleaner();

  CallCleaner(const CallCleaner&) = delete;
  CallCleaner& operator=(const CallCleaner&) = delete;

  /// Scans the next batch and deletes its old rows. Does nothing while the
  /// previous step waits for an answer.
  void Step();

  uint64_t deleted() const;  // NOLINT

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_CLEANER_H_
