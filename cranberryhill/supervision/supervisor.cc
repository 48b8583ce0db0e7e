#include "cranberryhill/supervision/supervisor.h"

#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {

Supervisor::Supervisor(std::string name,
                       RestartLimits limits,
                       const Clock& clock)
    : own_name(std::move(name)), limits(limits), clock(clock) {}

void Supervisor::Add(SupervisedPart& part) {
  this->parts.push_back(&part);
}

void Supervisor::SetOnExhausted(std::function<void(const Error&)> callback) {
  this->on_exhausted = std::move(callback);
}

Result<void> Supervisor::Start() {
  size_t running_parts = 0;
  for (SupervisedPart* part : this->parts) {
    Result<void> result = part->Start();
    if (!result) {
      for (size_t i = running_parts; i > 0; --i)
        this->parts[i - 1]->Stop();
      return result;
    }
    ++running_parts;
  }
  this->started = true;
  return {};
}

void Supervisor::Stop() {
  if (!this->started)
    return;
  this->started = false;
  // clang-tidy 14 cannot parse std::views::reverse of this standard library.
  for (auto part = this->parts.rbegin(); part != this->parts.rend(); ++part)
    (*part)->Stop();
}

bool Supervisor::TakeRestart() {
  absl::Time now = this->clock.Now();
  while (!this->recent_restarts.empty() &&
         now - this->recent_restarts.front() > this->limits.window) {
    this->recent_restarts.pop_front();
  }
  if (this->recent_restarts.size() >=
      static_cast<size_t>(this->limits.max_restarts)) {
    return false;
  }
  this->recent_restarts.push_back(now);
  ++this->restart_count;
  return true;
}

void Supervisor::OnFailed(SupervisedPart& part, const Error& error) {
  if (!this->started)
    return;
  part.Stop();
  Error last = error;
  while (this->TakeRestart()) {
    LogLine("{}: restarting {} after: {}", this->own_name, part.name(),
            last.ToString());
    auto result = Capture([&part]() -> Result<bool> {
      BOOST_LEAF_CHECK(part.Start());
      return true;
    });
    if (result.ok())
      return;
    last = result.error();
  }
  this->GiveUp(part, last);
}

void Supervisor::GiveUp(const SupervisedPart& part, const Error& error) {
  LogLine("{}: {} failed more than {} times within {}; last error: {}",
          this->own_name, part.name(), this->limits.max_restarts,
          absl::FormatDuration(this->limits.window), error.ToString());
  if (this->on_exhausted)
    this->on_exhausted(error);
}

}  // namespace cranberryhill
