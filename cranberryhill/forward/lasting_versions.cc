#include "cranberryhill/forward/lasting_versions.h"

#include <algorithm>
#include <map>
#include <string_view>

#include "cranberryhill/forward/placement.h"

namespace cranberryhill::forward {
namespace {

/// Largest share of occupied slots. The requests of other instances are known
/// up to 0.4 s late, and placement avoids engines above 0.7.
constexpr double kMaxOccupancy = 0.5;

}  // namespace

void KeepLastingVersions(std::vector<std::shared_ptr<Replica>>& replicas) {
  std::map<std::string_view, int> decode_engines;
  for (const auto& replica : replicas) {
    if (replica->entry.role != EngineRole::kPrefill)
      ++decode_engines[replica->entry.software_version];
  }
  bool has_lasting =
      std::any_of(decode_engines.begin(), decode_engines.end(),
                  [](const auto& item) { return item.second > 1; });
  if (!has_lasting)
    return;
  std::erase_if(replicas, [&](const auto& replica) {
    return replica->entry.role != EngineRole::kPrefill &&
           decode_engines[replica->entry.software_version] == 1;
  });
}

bool HaveRoom(std::span<const std::shared_ptr<Replica>> replicas,
              absl::Time now) {
  double requests = 0;
  double slots = 0;
  for (const auto& replica : replicas) {
    if (replica->entry.role == EngineRole::kPrefill)
      continue;
    requests += replica->outstanding +
                std::max<double>(replica->peer_outstanding,
                                 EstimatedOtherRequests(*replica, now));
    slots += std::max(1, replica->entry.slots);
  }
  return slots > 0 && requests <= kMaxOccupancy * slots;
}

}  // namespace cranberryhill::forward
