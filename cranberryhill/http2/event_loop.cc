#include "cranberryhill/http2/event_loop.h"

#include <cxxtools/selector.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kLongestWait = absl::Hours(1);

class SelectorEventLoop : public EventLoop {
 public:
  explicit SelectorEventLoop(const Clock& clock) : time_source(clock) {}
  ~SelectorEventLoop() override;

  void Post(std::function<void()> task) override;
  void RunAfter(absl::Duration delay, std::function<void()> task) override;
  void Run() override;
  void Stop() override;
  void RunOnce(absl::Duration max_wait) override;
  const Clock& clock() const override { return this->time_source; }
  cxxtools::SelectorBase& selector() override { return this->devices; }

 private:
  void RunPosted();
  void RunDueTimers();
  absl::Duration WaitTime(absl::Duration max_wait);

  const Clock& time_source;
  // Declared before the tasks, which may own sockets of the selector.
  cxxtools::Selector devices;
  std::atomic<bool> stopping = false;
  std::mutex mutex;
  std::deque<std::function<void()>> posted;
  std::thread::id runner;
  uint64_t next_sequence = 0;
  // Ordered by due time, then by order of submission.
  std::map<std::pair<absl::Time, uint64_t>, std::function<void()>> timers;
};

SelectorEventLoop::~SelectorEventLoop() {
  // Destroying a task can post or schedule another one.
  while (!this->posted.empty() || !this->timers.empty()) {
    auto dropped_tasks = std::exchange(this->posted, {});
    auto dropped_timers = std::exchange(this->timers, {});
  }
}

void SelectorEventLoop::Post(std::function<void()> task) {
  bool wake = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    wake = this->posted.empty() && this->runner != std::this_thread::get_id();
    this->posted.push_back(std::move(task));
  }
  if (wake)
    this->devices.wake();
}

void SelectorEventLoop::RunAfter(absl::Duration delay,
                                 std::function<void()> task) {
  this->timers.emplace(
      std::make_pair(this->time_source.Now() + delay, this->next_sequence++),
      std::move(task));
}

void SelectorEventLoop::Run() {
  while (!this->stopping.exchange(false))
    this->RunOnce(kLongestWait);
}

void SelectorEventLoop::Stop() {
  this->stopping = true;
  this->devices.wake();
}

absl::Duration SelectorEventLoop::WaitTime(absl::Duration max_wait) {
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->runner = std::this_thread::get_id();
    if (!this->posted.empty())
      return absl::ZeroDuration();
  }
  absl::Duration wait = std::min(max_wait, kLongestWait);
  if (!this->timers.empty()) {
    wait = std::min(
        wait, this->timers.begin()->first.first - this->time_source.Now());
  }
  return std::max(wait, absl::ZeroDuration());
}

void SelectorEventLoop::RunOnce(absl::Duration max_wait) {
  absl::Duration wait = this->WaitTime(max_wait);
  try {
    // Rounded up, so that a timer is due when the wait is over.
    this->devices.wait(
        absl::ToDoubleMilliseconds(absl::Ceil(wait, absl::Milliseconds(1))));
  } catch (const std::exception& error) {
    LogLine("selector failed: {}", error.what());
  }
  this->RunPosted();
  // After the sockets: when this process was suspended, responses that have
  // arrived meanwhile are read before their timeouts are looked at.
  this->RunDueTimers();
}

void SelectorEventLoop::RunPosted() {
  std::deque<std::function<void()>> tasks;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    tasks.swap(this->posted);
  }
  while (!tasks.empty()) {
    std::function<void()> task = std::move(tasks.front());
    tasks.pop_front();
    task();
  }
}

void SelectorEventLoop::RunDueTimers() {
  absl::Time now = this->time_source.Now();
  uint64_t end = this->next_sequence;  // Timers set meanwhile wait a step.
  while (!this->timers.empty()) {
    auto first = this->timers.begin();
    if (first->first.first > now || first->first.second >= end)
      return;
    std::function<void()> task = std::move(first->second);
    this->timers.erase(first);
    task();
  }
}

}  // namespace

std::unique_ptr<EventLoop> NewEventLoop(const Clock& clock) {
  return std::make_unique<SelectorEventLoop>(clock);
}

}  // namespace cranberryhill
