#include "cranberryhill/usage/usage_counter.h"

#include <algorithm>
#include <string>
#include <utility>

namespace cranberryhill::usage {
namespace {

/// A window is final this long after its end: the instance's idea of true time
/// may still be corrected by a few milliseconds.
constexpr absl::Duration kSettleTime = absl::Milliseconds(200);
/// Number of windows that are kept while nobody decides about them: a minute of
/// windows of 5 s.
constexpr size_t kMaxWindows = 12;

}  // namespace

void UsageCounter::KeepOpen(int64_t window) {
  this->windows[window];
  while (this->windows.size() > kMaxWindows) {
    for (const auto& [customer, count] : this->windows.begin()->second)
      this->dropped_requests += count;
    this->windows.erase(this->windows.begin());
  }
}

void UsageCounter::Count(std::string_view customer, absl::Time true_time) {
  // Counts of a final window must not change, whatever the clock says.
  int64_t window =
      std::max(WindowOf(true_time, this->window_length), this->first_open);
  this->KeepOpen(window);
  auto found = this->windows.find(window);
  // Dropped, because it is older than all that are kept.
  if (found == this->windows.end())
    return;
  ++found->second[std::string(customer)];
}

std::vector<WindowCounts> UsageCounter::Undecided(absl::Time true_time) {
  int64_t present = WindowOf(true_time, this->window_length);
  int64_t first =
      this->windows.empty() ? present : this->windows.rbegin()->first + 1;
  first = std::max(first, present - static_cast<int64_t>(kMaxWindows) + 1);
  for (int64_t window = first; window <= present; ++window) {
    if (window > this->decided_window)
      this->KeepOpen(window);
  }
  int64_t open = WindowOf(true_time - kSettleTime, this->window_length);
  this->first_open = std::max(this->first_open, open);
  std::vector<WindowCounts> undecided;
  for (const auto& [window, counts] : this->windows) {
    WindowCounts entry{window, window < this->first_open, 0, counts};
    for (const auto& [customer, count] : counts)
      entry.total += count;
    undecided.push_back(std::move(entry));
  }
  return undecided;
}

void UsageCounter::OnDecided(int64_t window) {
  if (window <= this->decided_window)
    return;
  this->decided_window = window;
  this->first_open = std::max(this->first_open, window + 1);
  this->windows.erase(this->windows.begin(), this->windows.upper_bound(window));
}

}  // namespace cranberryhill::usage
