#ifndef CRANBERRYHILL_BASE_EXECUTOR_H_
#define CRANBERRYHILL_BASE_EXECUTOR_H_

// Runs functions on the core thread, now or later. The daemon's event loop
// implements it; tests use ManualExecutor on a ManualClock.
//
//   executor.Post([this] { this->OnAnswer(); });        // from any thread
//   executor.RunAfter(absl::Seconds(1), [this] { this->Tick(); });

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

class Executor {
 public:
  virtual ~Executor() = default;

  /// Queues `task` to run on the core thread, never inside this call.
  /// Thread-safe.
  virtual void Post(std::function<void()> task) = 0;

  /// Runs `task` once on the core thread after `delay`. Core thread only.
  virtual void RunAfter(absl::Duration delay, std::function<void()> task) = 0;
};

/// Executor driven by a ManualClock. Not thread-safe.
class ManualExecutor : public Executor {
 public:
  /// @param clock Moved by RunFor(); must outlive this object.
  explicit ManualExecutor(ManualClock& clock) : clock(clock) {}

  void Post(std::function<void()> task) override;
  void RunAfter(absl::Duration delay, std::function<void()> task) override;

  /// Runs all tasks that fall due within `duration`, in order of time, and
  /// leaves the clock `duration` later.
  void RunFor(absl::Duration duration);

 private:
  ManualClock& clock;
  uint64_t next_sequence = 0;
  // Ordered by due time, then by order of submission.
  std::map<std::pair<absl::Time, uint64_t>, std::function<void()>> tasks;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_EXECUTOR_H_
