#include "cranberryhill/base/executor.h"

namespace cranberryhill {

void ManualExecutor::Post(std::function<void()> task) {
  this->RunAfter(absl::ZeroDuration(), std::move(task));
}

void ManualExecutor::RunAfter(absl::Duration delay,
                              std::function<void()> task) {
  this->tasks.emplace(
      std::make_pair(this->clock.Now() + delay, this->next_sequence++),
      std::move(task));
}

void ManualExecutor::RunFor(absl::Duration duration) {
  absl::Time end = this->clock.Now() + duration;
  while (!this->tasks.empty() && this->tasks.begin()->first.first <= end) {
    auto first = this->tasks.extract(this->tasks.begin());
    if (first.key().first > this->clock.Now())
      this->clock.Set(first.key().first);
    first.mapped()();
  }
  this->clock.Set(end);
}

}  // namespace cranberryhill
