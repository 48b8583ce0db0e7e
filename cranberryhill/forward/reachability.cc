#include "cranberryhill/forward/reachability.h"

#include <algorithm>
#include <cmath>

namespace cranberryhill::forward {
namespace {

/// A replica that accepted a probe but stays silent is probed again after this
/// time.
constexpr absl::Duration kProbeInterval = absl::Seconds(1);
/// An unreachable replica is probed again after this time, which doubles with
/// each failed probe, because hundreds of instances may do so at the same time.
constexpr absl::Duration kFirstRetryInterval = absl::Milliseconds(500);
constexpr int kMaxDoublings = 2;
/// A sound replica may send nothing and accept no connection for a second or
/// so. One that is silent for longer has lost power or cannot be reached.
constexpr absl::Duration kLongestSoundSilence = absl::Seconds(1);
/// A probe that never ended, because its exchange was destroyed, no longer
/// counts as running after this time.
constexpr absl::Duration kMaxProbeTime = absl::Seconds(2);

}  // namespace

void Reachability::OnHeard(Replica& replica) {
  replica.heard_at = this->clock.Now();
  replica.unreachable = false;
  replica.failed_probes = 0;
}

bool Reachability::ShouldProbe(const Replica& replica,
                               absl::Time waiting_since) const {
  absl::Time now = this->clock.Now();
  return !replica.unreachable && replica.heard_at <= waiting_since &&
         now - replica.probed_at >= kProbeInterval;
}

bool Reachability::ShouldProbeAfterBrokenAnswer(const Replica& replica) const {
  return this->clock.Now() - replica.probed_at >= kProbeInterval;
}

bool Reachability::ShouldProbeForPeer(const Replica& replica) const {
  absl::Time now = this->clock.Now();
  return !replica.unreachable && replica.outstanding > 0 &&
         now - replica.heard_at >= kSilenceTolerance &&
         now - replica.probed_at >= kProbeInterval;
}

bool Reachability::ShouldProbeAgain(const Replica& replica) const {
  if (!replica.unreachable)
    return false;
  absl::Duration since_probe = this->clock.Now() - replica.probed_at;
  if (replica.probing)
    return since_probe >= kMaxProbeTime;
  int doublings = std::clamp(replica.failed_probes - 1, 0, kMaxDoublings);
  return since_probe >= kFirstRetryInterval * std::pow(2, doublings);
}

bool Reachability::ShouldProbeForLoss(const Replica& replica) const {
  return replica.unreachable && !replica.probing && !this->IsLost(replica) &&
         this->clock.Now() - replica.unreachable_since >= kLongestSoundSilence;
}

bool Reachability::IsLost(const Replica& replica) const {
  return replica.unreachable && !replica.probing &&
         replica.probed_at - replica.unreachable_since >= kLongestSoundSilence;
}

void Reachability::OnProbeStarted(Replica& replica) {
  replica.probing = true;
  replica.probed_at = this->clock.Now();
}

void Reachability::OnProbeEnded(Replica& replica, bool answered) {
  replica.probing = false;
  if (answered)
    return this->OnHeard(replica);
  // Something may have arrived while the probe was running.
  if (replica.heard_at > replica.probed_at)
    return;
  if (!replica.unreachable)
    replica.unreachable_since = replica.probed_at;
  replica.unreachable = true;
  ++replica.failed_probes;
}

std::vector<std::string> Reachability::Unreachable(
    std::span<const std::shared_ptr<Replica>> replicas) const {
  std::vector<std::string> ids;
  for (const auto& replica : replicas) {
    if (replica->unreachable)
      ids.push_back(replica->entry.id);
  }
  return ids;
}

}  // namespace cranberryhill::forward
