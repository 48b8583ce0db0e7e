#ifndef PROGRAMS_CTL_COMMAND_LOOP_H_
#define PROGRAMS_CTL_COMMAND_LOOP_H_

// The core thread of a command: runs posted tasks and timers until the command
// has its result.
//
//   CommandLoop loop;
//   table.Read(keys, [&](const ReadOutcome&) { done = true; });
//   loop.RunUntil([&] { return done; });

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/executor.h"

namespace cranberryhill {

class CommandLoop : public Executor {
 public:
  void Post(std::function<void()> task) override;
  void RunAfter(absl::Duration delay, std::function<void()> task) override;

  /// Runs tasks on the calling thread until `done` returns true. Without a
  /// task or timer left to run, it waits for the next Post().
  void RunUntil(const std::function<bool()>& done);

 private:
  std::function<void()> WaitForTask();

  BootClock clock;
  std::mutex mutex;
  std::condition_variable posted;
  std::deque<std::function<void()>> tasks;
  std::multimap<absl::Time, std::function<void()>> timers;
};

}  // namespace cranberryhill

#endif  // PROGRAMS_CTL_COMMAND_LOOP_H_
