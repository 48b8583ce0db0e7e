#ifndef CRANBERRYHILL_HTTP2_EVENT_LOOP_H_
#define CRANBERRYHILL_HTTP2_EVENT_LOOP_H_

// The event loop of the core thread: sockets, timers and posted tasks.
//
//   BootClock clock;
//   auto loop = NewEventLoop(clock);
//   loop->RunAfter(absl::Seconds(1), [&] { loop->Stop(); });
//   loop->Run();

#include <memory>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/executor.h"

namespace cxxtools {
class SelectorBase;
}

namespace cranberryhill {

/// Runs socket events, timers and posted tasks on one thread. Post() and Stop()
/// are thread-safe; everything else belongs to the thread that runs the loop.
class EventLoop : public Executor {
 public:
  /// Runs until Stop().
  virtual void Run() = 0;

  /// Makes Run() return after the current step.
  virtual void Stop() = 0;

  /// Runs one step: waits for a socket event, a due timer or a posted task,
  /// and runs everything that is ready.
  /// @param max_wait Longest wait in real time; rounded up to milliseconds.
  virtual void RunOnce(absl::Duration max_wait) = 0;

  /// @return The clock that timers follow.
  virtual const Clock& clock() const = 0;  // NOLINT

  /// @return The selector that the sockets of this loop are added to.
  virtual cxxtools::SelectorBase& selector() = 0;  // NOLINT
};

/// @param clock Time source of timers; must outlive the loop. With a
///     ManualClock timers run in the step after the clock has passed them.
std::unique_ptr<EventLoop> NewEventLoop(const Clock& clock);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_HTTP2_EVENT_LOOP_H_
