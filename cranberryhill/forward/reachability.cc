#include "cranberryhill/forward/reachability.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cranberryhill::forward {
namespace {

/// A replica that has answered nothing for this long and then goes on with an
/// open request has slept: its other open requests go on, too.
constexpr absl::Duration kShortestSleep = absl::Milliseconds(500);

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
/// Fewer unreachable replicas say nothing about the others of their zone.
constexpr int kMinUnreachableInSilentZone = 2;
/// Replicas of a silent zone that are probed at the same time. One that answers
/// clears the whole zone, so the number does not grow with the zone.
constexpr size_t kZoneProbes = 2;
/// A single failed connection says nothing about other replicas.
constexpr int kMinFailedConnections = 2;
/// Connections that fail while others live on say for this long that new ones
/// fail.
constexpr absl::Duration kConnectFailureMemory = absl::Seconds(3);
/// Replicas of a service that is cut off are probed at this interval, so many
/// at a time.
constexpr absl::Duration kCutOffProbeInterval = absl::Milliseconds(500);
constexpr size_t kCutOffProbes = 2;

}  // namespace

bool CanRunRequests(const Replica& replica) {
  return replica.entry.role != EngineRole::kPrefill;
}

// A refusal of a probe counts as heard.
bool Reachability::IsInDoubt(const Replica& replica) const {
  return replica.unreachable ||
         (replica.connect_failed_at != absl::InfinitePast() &&
          replica.connect_failed_at >= replica.heard_at);
}

void Reachability::OnHeard(Replica& replica) {
  replica.heard_at = this->clock.Now();
  replica.unreachable = false;
  replica.failed_probes = 0;
}

void Reachability::OnAnswerPart(Replica& replica, absl::Time sent_at) {
  absl::Time now = this->clock.Now();
  // A request that is sent later may be on a new connection, which says nothing
  // about those that have gone silent.
  bool was_open = sent_at <= replica.answered_at;
  if (was_open && now - replica.answered_at >= kShortestSleep)
    replica.woke_at = now;
  replica.answered_at = now;
  this->OnHeard(replica);
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

std::vector<std::string> Reachability::SilentZones(
    std::span<const std::shared_ptr<Replica>> members) const {
  std::map<std::string_view, absl::Time> heard_at_by_zone;
  for (const auto& replica : members) {
    if (replica->unreachable)
      heard_at_by_zone[replica->entry.availability_zone] = absl::InfinitePast();
  }
  if (heard_at_by_zone.empty())
    return {};
  for (const auto& replica : members) {
    auto zone = heard_at_by_zone.find(replica->entry.availability_zone);
    if (zone != heard_at_by_zone.end())
      zone->second = std::max(zone->second, replica->heard_at);
  }
  std::map<std::string_view, int> unreachable_by_zone;
  for (const auto& replica : members) {
    std::string_view zone = replica->entry.availability_zone;
    if (replica->unreachable &&
        replica->unreachable_since >= heard_at_by_zone[zone])
      ++unreachable_by_zone[zone];
  }
  std::vector<std::string> silent;
  for (const auto& [zone, count] : unreachable_by_zone) {
    if (count >= kMinUnreachableInSilentZone)
      silent.emplace_back(zone);
  }
  return silent;
}

std::vector<std::shared_ptr<Replica>> Reachability::ProbeTargets(
    std::span<const std::shared_ptr<Replica>> members,
    std::string_view zone,
    uint64_t random_value) const {
  absl::Time now = this->clock.Now();
  std::vector<std::shared_ptr<Replica>> targets;
  size_t recent_probes = 0;
  for (const auto& replica : members) {
    // Unreachable ones are probed again anyway.
    if (replica->entry.availability_zone != zone || replica->unreachable)
      continue;
    if (now - replica->probed_at < kProbeInterval)
      ++recent_probes;
    else
      targets.push_back(replica);
  }
  if (!targets.empty()) {
    auto first = static_cast<ptrdiff_t>(random_value % targets.size());
    std::rotate(targets.begin(), targets.begin() + first, targets.end());
  }
  targets.resize(std::min(targets.size(),
                          kZoneProbes - std::min(kZoneProbes, recent_probes)));
  return targets;
}

void Reachability::OnConnectFailed(Replica& replica) {
  replica.connect_failed_at = this->clock.Now();
}

bool Reachability::IsCutOff(
    std::span<const std::shared_ptr<Replica>> members) const {
  bool any = false;
  for (const auto& replica : members) {
    if (!CanRunRequests(*replica))
      continue;
    if (!this->IsInDoubt(*replica))
      return false;
    any = true;
  }
  return any;
}

bool Reachability::FailsToConnect(
    std::span<const std::shared_ptr<Replica>> members) const {
  absl::Time now = this->clock.Now();
  size_t all = 0;
  size_t failing = 0;
  for (const auto& replica : members) {
    if (!CanRunRequests(*replica))
      continue;
    ++all;
    if (this->IsInDoubt(*replica) ||
        now - replica->connect_failed_at < kConnectFailureMemory)
      ++failing;
  }
  return failing > 0 && 2 * failing >= all;
}

std::vector<std::shared_ptr<Replica>> Reachability::CutOffSuspects(
    std::span<const std::shared_ptr<Replica>> members) const {
  absl::Time now = this->clock.Now();
  absl::Time first_failed_at = absl::InfiniteFuture();
  absl::Time heard_at = absl::InfinitePast();
  int failed = 0;
  std::vector<std::shared_ptr<Replica>> suspects;
  for (const auto& replica : members) {
    heard_at = std::max(heard_at, replica->heard_at);
    if (now - replica->connect_failed_at < kConnectFailureMemory) {
      ++failed;
      first_failed_at = std::min(first_failed_at, replica->connect_failed_at);
    }
    if (!replica->unreachable && now - replica->probed_at >= kProbeInterval)
      suspects.push_back(replica);
  }
  bool is_suspected =
      failed >= kMinFailedConnections && heard_at <= first_failed_at;
  return is_suspected ? suspects : std::vector<std::shared_ptr<Replica>>{};
}

std::vector<std::shared_ptr<Replica>> Reachability::CutOffProbeTargets(
    std::span<const std::shared_ptr<Replica>> members,
    uint64_t random_value) const {
  if (!this->IsCutOff(members))
    return {};
  absl::Time now = this->clock.Now();
  std::vector<std::shared_ptr<Replica>> targets;
  for (const auto& replica : members) {
    if (!CanRunRequests(*replica))
      continue;
    if (now - replica->probed_at < kCutOffProbeInterval)
      return {};
    targets.push_back(replica);
  }
  auto first = static_cast<ptrdiff_t>(random_value % targets.size());
  std::rotate(targets.begin(), targets.begin() + first, targets.end());
  targets.resize(std::min(targets.size(), kCutOffProbes));
  return targets;
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
