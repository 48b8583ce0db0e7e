#include "cranberryhill/forward/peer_clocks.h"

#include <algorithm>

namespace cranberryhill::forward {
namespace {

/// Largest difference between the rates of two clocks. An offset is corrected
/// by as much, in case the peer's clock is slower.
constexpr double kMaxRateDifference = 0.01;
constexpr size_t kMaxPeers = 4096;

}  // namespace

absl::Time PeerClocks::OwnTime(uint64_t sender, absl::Time sent_at) {
  absl::Time now = this->clock.Now();
  auto found = this->offsets.find(sender);
  if (found == this->offsets.end()) {
    if (this->offsets.size() >= kMaxPeers) {
      this->offsets.erase(
          std::min_element(this->offsets.begin(), this->offsets.end(),
                           [](const auto& a, const auto& b) {
                             return a.second.updated_at < b.second.updated_at;
                           }));
    }
    found = this->offsets.emplace(sender, Offset{now - sent_at, now}).first;
  }
  Offset& offset = found->second;
  absl::Duration drift = (now - offset.updated_at) * kMaxRateDifference;
  offset.shortest = std::min(now - sent_at, offset.shortest + drift);
  offset.updated_at = now;
  return sent_at + offset.shortest;
}

}  // namespace cranberryhill::forward
