#include "cranberryhill/gateway/replica_prober.h"

#include <algorithm>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// A replica in the same region accepts a connection within a few milliseconds.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(250);

}  // namespace

ReplicaProber::ReplicaProber(forward::Reachability& reachability,
                             const forward::ReplicaSet& replicas,
                             ProbeConnector& connector,
                             ProbeObserver& observer,
                             std::unique_ptr<DelayTimer> timer,
                             const Clock& clock,
                             Random& random)
    : reachability(reachability),
      replicas(replicas),
      connector(connector),
      observer(observer),
      timer(std::move(timer)),
      clock(clock),
      random(random) {}

void ReplicaProber::Probe(const std::shared_ptr<forward::Replica>& replica) {
  this->Enqueue(replica);
  this->StartDueProbes();
}

void ReplicaProber::OnConnectFailed(forward::Replica& replica) {
  this->reachability.OnConnectFailed(replica);
  for (const auto& suspect : this->reachability.CutOffSuspects(
           this->replicas.Members(replica.entry.service)))
    this->Enqueue(suspect);
  this->StartDueProbes();
}

void ReplicaProber::ProbeUnreachable() {
  for (const auto& replica : this->replicas.Registered()) {
    if (!replica->WantsNoRequests(this->clock.Now()) &&
        this->reachability.ShouldProbeAgain(*replica))
      this->Enqueue(replica);
  }
  this->StartDueProbes();
}

void ReplicaProber::ProbeCutOffServices(std::span<const std::string> services) {
  for (const std::string& service : services) {
    for (const auto& replica : this->reachability.CutOffProbeTargets(
             this->replicas.Members(service),
             this->random.UniformInt(0, UINT64_MAX)))
      this->Enqueue(replica);
  }
  this->StartDueProbes();
}

void ReplicaProber::OnPeerUnreachable(std::span<const std::string> ids) {
  for (const std::string& id : ids) {
    auto replica = this->replicas.Find(id);
    if (replica != nullptr && this->reachability.ShouldProbeForPeer(*replica))
      this->Enqueue(replica);
  }
  this->StartDueProbes();
}

void ReplicaProber::Enqueue(const std::shared_ptr<forward::Replica>& replica) {
  if (!this->waiting_replicas.insert(replica.get()).second)
    return;
  absl::Time now = this->clock.Now();
  this->waiting.push_back(
      {replica, now, std::max(now, replica->probed_at + kProbeWindow)});
}

/// @return When the next probe may begin.
absl::Time ReplicaProber::RoomFrom(absl::Time now) {
  while (!this->recent_starts.empty() &&
         this->recent_starts.front() + kProbeWindow <= now)
    this->recent_starts.pop_front();
  return this->recent_starts.size() < kMaxProbesPerWindow
             ? now
             : this->recent_starts.front() + kProbeWindow;
}

/// Starts the probes for which there is room, and waits for the next ones.
void ReplicaProber::StartDueProbes() {
  absl::Time now = this->clock.Now();
  std::erase_if(this->waiting, [this](const WaitingProbe& probe) {
    bool is_heard = probe.replica->heard_at > probe.queued_at;
    if (is_heard)
      this->waiting_replicas.erase(probe.replica.get());
    return is_heard;
  });
  // Requests need engines that can run them first.
  std::stable_sort(this->waiting.begin(), this->waiting.end(),
                   [](const WaitingProbe& a, const WaitingProbe& b) {
                     return forward::CanRunRequests(*a.replica) &&
                            !forward::CanRunRequests(*b.replica);
                   });
  std::vector<std::shared_ptr<forward::Replica>> due;
  absl::Time next_due = absl::InfiniteFuture();
  size_t room = this->RoomFrom(now) > now
                    ? 0
                    : kMaxProbesPerWindow - this->recent_starts.size();
  std::erase_if(this->waiting, [&](const WaitingProbe& probe) {
    if (probe.due > now || due.size() >= room) {
      next_due = std::min(next_due, std::max(now, probe.due));
      return false;
    }
    this->waiting_replicas.erase(probe.replica.get());
    due.push_back(probe.replica);
    return true;
  });
  for (const auto& replica : due)
    this->Start(replica);
  if (next_due == absl::InfiniteFuture())
    return this->timer->Cancel();
  this->timer->Start(std::max(next_due, this->RoomFrom(now)) - now,
                     [this] { this->StartDueProbes(); });
}

void ReplicaProber::Start(const std::shared_ptr<forward::Replica>& replica) {
  ++this->started_count;
  this->recent_starts.push_back(this->clock.Now());
  this->reachability.OnProbeStarted(*replica);
  this->connector.Connect(
      *replica, kProbeTimeout,
      [this, replica](ProbeResult result) { this->OnEnded(replica, result); });
}

void ReplicaProber::OnEnded(const std::shared_ptr<forward::Replica>& replica,
                            ProbeResult result) {
  bool was_unreachable = replica->unreachable;
  auto members = this->replicas.Members(replica->entry.service);
  bool ends_doubt = result == ProbeResult::kAccepted &&
                    this->reachability.IsInDoubt(*replica) &&
                    this->reachability.IsCutOff(members);
  this->reachability.OnProbeEnded(*replica, result != ProbeResult::kSilent);
  if (result == ProbeResult::kRefused) {
    this->observer.OnProbeRefused(*replica);
    this->reachability.OnConnectFailed(*replica);
  }
  if (ends_doubt) {
    // One replica would get all requests until the others have been probed. A
    // replica that was in reach all the time says nothing about them.
    for (const auto& member : members) {
      if (this->reachability.IsInDoubt(*member))
        this->Enqueue(member);
    }
  }
  if (replica->unreachable != was_unreachable)
    this->observer.OnReachChanged(*replica);
  this->StartDueProbes();
}

}  // namespace cranberryhill::gateway
