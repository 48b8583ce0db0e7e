#include "programs/ctl/command_loop.h"

#include <utility>

namespace cranberryhill {

void CommandLoop::Post(std::function<void()> task) {
  {
    std::lock_guard lock(this->mutex);
    this->tasks.push_back(std::move(task));
  }
  this->posted.notify_one();
}

void CommandLoop::RunAfter(absl::Duration delay, std::function<void()> task) {
  std::lock_guard lock(this->mutex);
  this->timers.emplace(this->clock.Now() + delay, std::move(task));
}

void CommandLoop::RunUntil(const std::function<bool()>& done) {
  while (!done())
    this->WaitForTask()();
}

std::function<void()> CommandLoop::WaitForTask() {
  std::unique_lock lock(this->mutex);
  while (true) {
    if (!this->tasks.empty()) {
      std::function<void()> task = std::move(this->tasks.front());
      this->tasks.pop_front();
      return task;
    }
    if (this->timers.empty()) {
      this->posted.wait(lock);
      continue;
    }
    absl::Duration left = this->timers.begin()->first - this->clock.Now();
    if (left <= absl::ZeroDuration())
      return std::move(this->timers.extract(this->timers.begin()).mapped());
    this->posted.wait_for(lock, absl::ToChronoNanoseconds(left));
  }
}

}  // namespace cranberryhill
