// The part of Exchange that decides where a request may be sent.

#include <algorithm>
#include <utility>

#include "cranberryhill/exchange/exchange.h"

namespace cranberryhill::gateway {
namespace {

/// A request that was denied this many permits is sent to replicas without a
/// limit only, so that it does not wait for one reply after the other.
constexpr int kMaxDeniedPermits = 3;
/// Share of the shortest latency target that a prompt may spend in an engine's
/// queue; the rest is for the prefill, the transfer of the cache and the first
/// event.
constexpr double kMaxQueueWaitShare = 0.8;
/// While replicas of a service are closed, the open ones get no further request
/// at this many times their slots, so that they do not fail under all of the
/// load: as many wait as are served.
constexpr double kMaxLoadOfOpenReplica = 2;
/// Interval between checks whether a connection to a replica has become free.
constexpr absl::Duration kConnectionCheckInterval = absl::Milliseconds(20);
/// Callers that are refused until a replica opens return within this time.
constexpr absl::Duration kReturnSpread = absl::Milliseconds(300);

}  // namespace

forward::PlacementChoice Exchange::ChooseReplica() {
  std::vector<std::shared_ptr<forward::Replica>> usable_replicas =
      this->OpenReplicasInHeardZones();
  absl::Time now = this->Now();
  if (!this->is_engine_service)
    return this->context.placement.ChooseServer(
        usable_replicas, this->context.random.UniformInt(0, UINT64_MAX), now,
        this->excluded_replicas);
  if (this->HasBegun()) {
    return this->context.placement.ChooseEngineToResume(
        usable_replicas, this->caller_request.prompt, now,
        this->excluded_replicas, this->prompt_read_by);
  }
  absl::Duration elapsed = now - this->request.arrived;
  forward::LatencyLimits limits{
      this->route.target_latency - elapsed,
      this->routes->ShortestTargetLatency(this->service) * kMaxQueueWaitShare};
  return this->context.placement.ChooseEngine(
      usable_replicas, this->caller_request.prompt, limits, now,
      this->excluded_replicas);
}

/// Calls `next` at once if the replica is not limited, otherwise when it is
/// known whether one more request may be sent to it.
void Exchange::AwaitPermit(const forward::Replica& target,
                           std::function<void(bool granted)> next) {
  const std::string& id = target.entry.id;
  if (!this->context.replica_limits.RateOf(id))
    return next(true);
  this->phase = Phase::kAwaitingPermit;
  auto on_reply = [weak = this->weak_from_this(), &context = this->context, id,
                   returns = this->returns,
                   next = std::move(next)](bool granted) {
    auto self = weak.lock();
    if (self == nullptr || self->phase == Phase::kDone ||
        self->returns != returns) {
      if (granted)
        context.send_permits.Return(id);
      return;
    }
    self->phase = Phase::kIdle;
    if (granted && self->OutlastsShutdown()) {
      context.send_permits.Return(id);
      granted = false;
    }
    if (!granted) {
      ++self->denied_permits;
      context.metrics.CountDecision("permit_denied");
    }
    next(granted);
  };
  this->context.send_permits.Acquire(id, std::move(on_reply));
}

/// @return The usable replicas, for a stream that has begun only those of its
///     software version, and for a new one those of a version that it may begin
///     at, if there are any.
std::vector<std::shared_ptr<forward::Replica>> Exchange::UsableReplicas() {
  auto replicas = this->context.replicas.Usable(this->service);
  bool needs_process = this->NeedsRegisteredProcess();
  std::erase_if(replicas, [&](const auto& replica) {
    return !this->IsOfUsableVersion(*replica) ||
           (needs_process && replica->process_differs &&
            replica->entry.role != EngineRole::kPrefill);
  });
  if (!this->stream_version) {
    if (this->route.resumable && this->is_engine_service)
      this->KeepVersionsToBeginAt(replicas);
    return replicas;
  }
  bool can_go_on =
      std::any_of(replicas.begin(), replicas.end(),
                  [&](const auto& replica) { return this->CanRun(*replica); });
  if (can_go_on)
    return replicas;
  // Those that leave serve on for a while, and their version may have no other.
  for (const auto& replica :
       this->context.replicas.UsableWhileLeaving(this->service)) {
    if (this->MayWriteStream(*replica) && this->CanRun(*replica))
      replicas.push_back(replica);
  }
  if (!replicas.empty() && this->CanRun(*replicas.back()))
    return replicas;
  // Usable() leaves unreachable ones out if another version is reachable.
  absl::Time now = this->Now();
  for (const auto& replica : this->context.replicas.Members(this->service)) {
    if (replica->unreachable && replica->TakesRequests(now) &&
        replica->role_changing_until <= now &&
        replica->outstanding < replica->connection_share &&
        this->MayWriteStream(*replica) && this->CanRun(*replica))
      replicas.push_back(replica);
  }
  return replicas;
}

/// @return True if the replica, as it is known now, may get this request.
bool Exchange::TakesRequest(const forward::Replica& replica) const {
  absl::Time now = this->Now();
  return !replica.WantsNoRequests(now) ||
         (this->stream_version && replica.ContinuesStreams(now));
}

/// @return The open replicas. Those in availability zones that may be cut off
///     are left out if one in another zone can run the request.
std::vector<std::shared_ptr<forward::Replica>>
Exchange::OpenReplicasInHeardZones() {
  auto replicas = this->OpenReplicas();
  auto members = this->context.replicas.Members(this->service);
  for (const std::string& zone :
       this->context.reachability.SilentZones(members)) {
    auto is_there = [&zone](const auto& replica) {
      return replica->entry.availability_zone == zone;
    };
    bool has_choice =
        std::any_of(replicas.begin(), replicas.end(), [&](const auto& replica) {
          return !is_there(replica) && this->CanRun(*replica);
        });
    if (has_choice)
      std::erase_if(replicas, is_there);
    for (const auto& replica : this->context.reachability.ProbeTargets(
             members, zone, this->context.random.UniformInt(0, UINT64_MAX)))
      this->context.probe(replica);
  }
  return replicas;
}

/// @return True if the replica is not for prefill only, has not failed this
///     request, and the request may have one more replica or had this one.
bool Exchange::CanRun(const forward::Replica& replica) const {
  return replica.entry.role != EngineRole::kPrefill &&
         !this->IsExcluded(replica) &&
         this->attempt_policy.MaySendTo(replica.entry.id);
}

bool Exchange::IsExcluded(const forward::Replica& replica) const {
  return std::find(this->excluded_replicas.begin(),
                   this->excluded_replicas.end(),
                   replica.entry.id) != this->excluded_replicas.end();
}

/// @return The usable replicas without those that take no request now: limited
///     ones, and while others of the service are closed, those that have as
///     much to do as they can serve.
std::vector<std::shared_ptr<forward::Replica>> Exchange::OpenReplicas() {
  auto replicas = this->UsableReplicas();
  bool some_are_closed = this->context.replicas.HasClosed(this->service);
  std::erase_if(replicas, [&](const auto& replica) {
    if (some_are_closed && this->IsOverloaded(*replica))
      return true;
    const std::string& id = replica->entry.id;
    if (!this->context.replica_limits.RateOf(id))
      return false;
    return this->denied_permits >= kMaxDeniedPermits ||
           this->context.send_permits.TimeToOpen(id) > absl::ZeroDuration();
  });
  return replicas;
}

/// @return True if the replica has more requests than it serves soon. Engines
///     are judged by the expected time to the first event instead.
bool Exchange::IsOverloaded(const forward::Replica& replica) const {
  if (this->is_engine_service)
    return false;
  double requests = replica.outstanding +
                    forward::EstimatedOtherRequests(replica, this->Now());
  return requests >= kMaxLoadOfOpenReplica * std::max(1, replica.entry.slots);
}

Exchange::NextOpening Exchange::FindNextOpening() {
  absl::Time now = this->Now();
  NextOpening next{
      this->stream_version ? "no_replica_of_stream_version" : "no_replica",
      absl::InfiniteDuration()};
  for (const auto& replica : this->context.replicas.Members(this->service)) {
    if (!this->MayWriteStream(*replica))
      continue;
    absl::Duration closed_for = replica->closed_until - now;
    absl::Duration wait = std::max(
        closed_for, this->context.send_permits.TimeToOpen(replica->entry.id));
    if (wait <= absl::ZeroDuration() || wait >= next.wait)
      continue;
    next = {closed_for >= wait ? "replicas_closed" : "replicas_limited", wait};
  }
  if (next.wait == absl::InfiniteDuration())
    return {next.reason, absl::ZeroDuration()};
  // The callers of one instance must not all return at the same moment.
  next.wait += kReturnSpread * this->context.random.UniformDouble();
  return next;
}

bool Exchange::HasAlternativeReplica() {
  bool may_move = this->phase == Phase::kPrefilling ||
                  this->attempt_policy.replicas().size() <
                      static_cast<size_t>(this->route.max_replicas);
  if (!may_move)
    return false;
  auto others = this->OtherReplicas(*this->current->Target());
  // A limited replica may not take the request, so its permit comes first.
  auto is_certain = [this](const auto& other) {
    const std::string& id = other->entry.id;
    return !this->context.replica_limits.RateOf(id) ||
           this->context.send_permits.HasUnused(id);
  };
  if (std::any_of(others.begin(), others.end(), is_certain))
    return true;
  if (others.empty())
    return false;
  this->ReservePermit(others.front()->entry.id);
  return is_certain(others.front());
}

/// Acquires a permit that the request can use when it leaves its replica.
void Exchange::ReservePermit(const std::string& id) {
  this->context.send_permits.Acquire(
      id, [weak = this->weak_from_this(), &context = this->context, id,
           send = std::weak_ptr<ReplicaSend>(this->current),
           asked_at = this->Now()](bool granted) {
        if (!granted)
          return;
        context.send_permits.Return(id);
        auto self = weak.lock();
        // The permit ends before the next regular check.
        if (self != nullptr && self->current != nullptr &&
            self->current == send.lock() && self->Now() > asked_at &&
            self->current->LastProgressAt() <= asked_at) {
          self->move_is_due = true;
          self->OnTimer();
        }
      });
}

/// @return The other replicas of the same role that take requests and have not
///     failed this one.
std::vector<std::shared_ptr<forward::Replica>> Exchange::OtherReplicas(
    const forward::Replica& than) {
  absl::Time now = this->Now();
  auto replicas = this->OpenReplicas();
  std::erase_if(replicas, [&](const auto& other) {
    const std::string& id = other->entry.id;
    return other->entry.role != than.entry.role || id == than.entry.id ||
           now < other->avoid_until ||
           std::find(this->excluded_replicas.begin(),
                     this->excluded_replicas.end(),
                     id) != this->excluded_replicas.end();
  });
  return replicas;
}

/// Waits for a replica that has as many requests as it allows connections, if
/// the request may have run and thus cannot be refused.
/// @return False if there is no such replica.
bool Exchange::AwaitFreeConnection() {
  if (!this->stream_started && !this->attempt_policy.MayHaveRun())
    return false;
  absl::Time now = this->Now();
  auto members = this->context.replicas.Members(this->service);
  bool are_in_use =
      std::any_of(members.begin(), members.end(), [&](const auto& replica) {
        return replica->outstanding >= replica->connection_share &&
               replica->entry.role != EngineRole::kPrefill &&
               !replica->unreachable && !replica->WantsNoRequests(now) &&
               this->MayWriteStream(*replica) &&
               std::find(this->excluded_replicas.begin(),
                         this->excluded_replicas.end(),
                         replica->entry.id) == this->excluded_replicas.end();
      });
  if (!are_in_use)
    return false;
  this->phase = Phase::kAwaitingConnection;
  this->ArmTimerAt(now + kConnectionCheckInterval);
  return true;
}

void Exchange::EndConnectionWait() {
  this->phase = Phase::kIdle;
  if (this->ReserveRetry())
    return this->SendToNextReplica();
  if (this->Now() < this->deadline && this->AwaitFreeConnection())
    return;
  this->EndUnanswered("retry_budget", absl::ZeroDuration());
}

}  // namespace cranberryhill::gateway
