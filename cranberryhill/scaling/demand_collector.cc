#include "cranberryhill/scaling/demand_collector.h"

#include <algorithm>

namespace cranberryhill::scaling {
namespace {

/// An instance that has sent nothing for so long has no requests any more.
constexpr absl::Duration kSilentAfter = absl::Seconds(5);
/// An engine that decodes prefills at half the speed, in the steps between the
/// tokens of its streams.
constexpr double kPrefillSpeedOfDecodeEngine = 0.5;

}  // namespace

double DemandChange::Arrived() const {
  double sum = 0;
  for (const auto& [zone, arrived] : this->arrivals)
    sum += arrived;
  return sum;
}

void DemandCollector::Merge(std::string_view instance,
                            uint64_t incarnation,
                            std::span<const ServiceDemand> demand) {
  bool is_known = this->processes.contains(instance);
  Process& process = this->processes[std::string(instance)];
  bool is_new = !is_known || process.incarnation != incarnation;
  if (is_new) {
    process = {};
    process.incarnation = incarnation;
  }
  process.heard_at = this->clock.Now();
  for (const ServiceDemand& entry : demand) {
    // The first message may have been one without demand, of several.
    bool is_first = !process.newest.contains(entry.service);
    ServiceDemand& newest = process.newest[entry.service];
    if (entry.arrived >= newest.arrived)
      newest = entry;
    if (is_first)
      process.taken[entry.service] = entry;
  }
}

std::map<std::string, DemandChange> DemandCollector::TakeChanges() {
  std::map<std::string, DemandChange> changes;
  absl::Time now = this->clock.Now();
  std::erase_if(this->processes, [now](const auto& item) {
    return now - item.second.heard_at > kSilentAfter;
  });
  for (auto& [instance, process] : this->processes) {
    for (const auto& [service, newest] : process.newest) {
      ServiceDemand& taken = process.taken[service];
      DemandChange& change = changes[service];
      change.is_known = true;
      change.arrivals[newest.zone] +=
          static_cast<double>(newest.arrived - taken.arrived);
      change.refused += static_cast<double>(newest.refused - taken.refused);
      change.work_ms += newest.work_ms - taken.work_ms;
      change.outstanding += newest.outstanding;
      taken = newest;
    }
  }
  return changes;
}

double BusyReplicas(const DemandChange& change,
                    const EngineCounts& engines,
                    absl::Duration elapsed,
                    double slots) {
  double elapsed_ms = absl::ToDoubleMilliseconds(elapsed);
  if (elapsed_ms <= 0)
    return 0;
  int total = engines.prefill + engines.decode;
  double capacity_share =
      total == 0
          ? 1
          : (engines.prefill + engines.decode * kPrefillSpeedOfDecodeEngine) /
                total;
  // The work of refused requests is not in `work_ms`.
  double arrived = change.Arrived();
  double served = std::max(1.0, arrived - change.refused);
  double asked_for = arrived > served ? arrived / served : 1;
  double by_work = change.work_ms * asked_for / elapsed_ms / capacity_share;
  double by_slots = change.outstanding / std::max(1.0, slots);
  return std::max(by_work, by_slots);
}

}  // namespace cranberryhill::scaling
