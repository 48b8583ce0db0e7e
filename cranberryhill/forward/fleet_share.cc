#include "cranberryhill/forward/fleet_share.h"

#include <algorithm>

namespace cranberryhill::forward {
namespace {

/// Allows for instances that have started and are not known yet.
constexpr double kUnknownInstancesFactor = 1.3;
/// The retry slack is divided by at least this number, because few instances
/// are known when all start for the first time.
constexpr double kMinInstances = 6;

}  // namespace

double ShareOfInstance(double fleet_total, size_t known_instances) {
  return fleet_total /
         (static_cast<double>(known_instances) * kUnknownInstancesFactor);
}

double RetrySlackOfInstance(double fleet_slack,
                            std::optional<size_t> known_instances) {
  if (!known_instances)
    return 0;
  return std::min(ShareOfInstance(fleet_slack, *known_instances),
                  fleet_slack / kMinInstances);
}

}  // namespace cranberryhill::forward
