#ifndef CRANBERRYHILL_STORE_VIRTUAL_TIME_TEST_H_
#define CRANBERRYHILL_STORE_VIRTUAL_TIME_TEST_H_

// A queue of events on a virtual clock, for tests that simulate many instances.

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/store/delay_timer.h"

namespace cranberryhill::gateway {

/// Runs functions at their times.
class EventQueue {
 public:
  uint64_t Schedule(absl::Duration wait, std::function<void()> event) {
    uint64_t id = this->next_id++;
    this->events[{this->clock.Now() + wait, id}] = std::move(event);
    return id;
  }

  void RunFor(absl::Duration duration) {
    absl::Time end = this->clock.Now() + duration;
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
      auto next = this->events.begin();
      this->clock.Set(next->first.first);
      auto event = std::move(next->second);
      this->events.erase(next);
      event();
    }
    this->clock.Set(end);
  }

  ManualClock clock;

 private:
  std::map<std::pair<absl::Time, uint64_t>, std::function<void()>> events;
  uint64_t next_id = 0;
};

class VirtualTimer : public DelayTimer {
 public:
  explicit VirtualTimer(EventQueue& queue) : queue(queue) {}

  void Start(absl::Duration delay, std::function<void()> done) override {
    uint64_t call = ++this->current;
    this->queue.Schedule(delay, [this, call, done = std::move(done)] {
      if (call == this->current)
        done();
    });
  }
  void Cancel() override { ++this->current; }

 private:
  EventQueue& queue;
  uint64_t current = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_VIRTUAL_TIME_TEST_H_
