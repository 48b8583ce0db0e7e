#include "cranberryhill/forward/retry_window.h"

namespace cranberryhill::forward {
namespace {

// Requests leave a window before the extra sends that they allowed do, and
// sends are counted when they leave while the bound holds for arrivals. With
// 0.9 a generated order of events was over the bound by 2%.
constexpr double kUsedShare = 0.8;

}  // namespace

void RetryWindow::Expire() {
  absl::Time oldest = this->clock.Now() - this->bounds.window;
  while (!this->requests.empty() && this->requests.front() < oldest)
    this->requests.pop_front();
  while (!this->extras.empty() && this->extras.front() < oldest)
    this->extras.pop_front();
}

void RetryWindow::OnRequest() {
  this->Expire();
  this->requests.push_back(this->clock.Now());
}

void RetryWindow::OnExtra() {
  this->extras.push_back(this->clock.Now());
}

bool RetryWindow::HasRoom(int sends) {
  this->Expire();
  double allowed = this->bounds.ratio * kUsedShare *
                       static_cast<double>(this->requests.size()) +
                   this->bounds.own_slack;
  return static_cast<double>(this->extras.size()) + sends <= allowed;
}

}  // namespace cranberryhill::forward
