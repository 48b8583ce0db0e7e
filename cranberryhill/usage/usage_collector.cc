#include "cranberryhill/usage/usage_collector.h"

#include <algorithm>

namespace cranberryhill::usage {
namespace {

/// Some instances may have just ended, or be cut off.
constexpr double kMostInstances = 0.9;

}  // namespace

bool UsageCollector::ProcessCounts::IsComplete() const {
  uint64_t sum = 0;
  for (const auto& [customer, count] : this->counts)
    sum += count;
  return this->is_final && sum >= this->total;
}

void UsageCollector::Merge(std::string_view instance,
                           uint64_t incarnation,
                           int64_t first_window,
                           std::span<const WindowCounts> merged) {
  this->first_windows[std::string(instance)] = first_window;
  this->reporters.emplace(instance);
  for (const WindowCounts& window : merged) {
    if (window.window <= this->decided)
      continue;
    ProcessCounts& process =
        this->windows[window.window][{std::string(instance), incarnation}];
    process.is_final = process.is_final || window.is_final;
    process.total = std::max(process.total, window.total);
    for (const auto& [customer, count] : window.counts) {
      uint64_t& known = process.counts[customer];
      known = std::max(known, count);
    }
  }
}

WindowState UsageCollector::StateOf(int64_t window,
                                    absl::Time true_time,
                                    std::span<const std::string> live) const {
  absl::Time end = EndOf(window, this->settings.window_length);
  if (true_time < end)
    return WindowState::kOpen;
  bool waits = true_time < end + this->settings.longest_wait;
  auto found = this->windows.find(window);
  if (found == this->windows.end())
    return waits ? WindowState::kOpen : WindowState::kUnknown;
  auto is_complete = [&](const std::string& instance) {
    return this->HasAllOf(instance, window, found->second);
  };
  // An instance that has counts of the window may be paused or cut off for a
  // moment rather than dead.
  bool has_all = std::all_of(live.begin(), live.end(), is_complete) &&
                 std::all_of(found->second.begin(), found->second.end(),
                             [&](const auto& process) {
                               return is_complete(process.first.first);
                             });
  return has_all || !waits ? WindowState::kReady : WindowState::kOpen;
}

bool UsageCollector::HasAllOf(const std::string& instance,
                              int64_t window,
                              const Processes& processes) const {
  auto started = this->first_windows.find(instance);
  if (started != this->first_windows.end() && started->second > window)
    return true;
  // Of a process that has been replaced by another one nothing more will come.
  for (auto process = processes.lower_bound({instance, 0});
       process != processes.end() && process->first.first == instance;
       ++process) {
    if (process->second.IsComplete())
      return true;
  }
  return false;
}

bool UsageCollector::HasReportsOfMost(std::span<const std::string> live) const {
  auto reported = std::count_if(
      live.begin(), live.end(),
      [this](const auto& name) { return this->reporters.contains(name); });
  return static_cast<double>(reported) >=
         kMostInstances * static_cast<double>(live.size());
}

CustomerCounts UsageCollector::Sum(int64_t window) const {
  CustomerCounts sum;
  auto found = this->windows.find(window);
  if (found == this->windows.end())
    return sum;
  for (const auto& [process, counted] : found->second) {
    for (const auto& [customer, count] : counted.counts)
      sum[customer] += count;
  }
  return sum;
}

void UsageCollector::OnDecided(int64_t window) {
  this->decided = std::max(this->decided, window);
  this->windows.erase(this->windows.begin(),
                      this->windows.upper_bound(this->decided));
}

}  // namespace cranberryhill::usage
