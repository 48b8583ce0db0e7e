#include "cranberryhill/forward/replica_limits.h"

namespace cranberryhill::forward {

bool ReplicaLimits::OnAnswer(std::string_view replica,
                             std::optional<double> requests_per_s) {
  bool changed = this->RateOf(replica) != requests_per_s;
  if (requests_per_s) {
    this->by_replica[std::string(replica)] = {*requests_per_s,
                                              this->clock.Now()};
  } else {
    this->by_replica.erase(std::string(replica));
  }
  return changed;
}

std::optional<double> ReplicaLimits::RateOf(std::string_view replica) const {
  auto found = this->by_replica.find(replica);
  if (found == this->by_replica.end())
    return std::nullopt;
  return found->second.requests_per_s;
}

}  // namespace cranberryhill::forward
