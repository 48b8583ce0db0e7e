// The part of Exchange that decides where a request may be sent.

#include <algorithm>
#include <utility>

#include "cranberryhill/gateway/exchange.h"

namespace cranberryhill::gateway {
namespace {

/// A request that was denied this many permits is sent to replicas without a
/// limit only, so that it does not wait for one reply after the other.
constexpr int kMaxDeniedPermits = 3;
/// Share of the shortest latency target that a prompt may spend in an engine's
/// queue; the rest is for the prefill, the transfer of the cache and the first
/// event.
constexpr double kMaxQueueWaitShare = 0.8;

}  // namespace

forward::PlacementChoice Exchange::ChooseReplica() {
  std::vector<std::shared_ptr<forward::Replica>> usable_replicas =
      this->OpenReplicas();
  absl::Time now = this->Now();
  if (!this->is_engine_service)
    return this->context.placement.ChooseServer(usable_replicas, now,
                                                this->excluded_replicas);
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
                   next = std::move(next)](bool granted) {
    auto self = weak.lock();
    if (self == nullptr || self->phase == Phase::kDone) {
      if (granted)
        context.send_permits.Return(id);
      return;
    }
    self->phase = Phase::kIdle;
    if (!granted) {
      ++self->denied_permits;
      context.metrics.CountDecision("permit_denied");
    }
    next(granted);
  };
  this->context.send_permits.Acquire(id, std::move(on_reply));
}

/// @return The usable replicas without the limited ones that take no request
///     now.
std::vector<std::shared_ptr<forward::Replica>> Exchange::OpenReplicas() {
  auto replicas = this->context.replicas.Usable(this->service);
  std::erase_if(replicas, [this](const auto& replica) {
    const std::string& id = replica->entry.id;
    if (!this->context.replica_limits.RateOf(id))
      return false;
    return this->denied_permits >= kMaxDeniedPermits ||
           this->context.send_permits.TimeToOpen(id) > absl::ZeroDuration();
  });
  return replicas;
}

/// @return Time until a limited replica may take a request; zero if none is
///     closed.
absl::Duration Exchange::TimeToOpenReplica() {
  absl::Duration shortest = absl::InfiniteDuration();
  for (const auto& replica : this->context.replicas.Usable(this->service)) {
    absl::Duration wait =
        this->context.send_permits.TimeToOpen(replica->entry.id);
    if (wait > absl::ZeroDuration())
      shortest = std::min(shortest, wait);
  }
  return shortest == absl::InfiniteDuration() ? absl::ZeroDuration() : shortest;
}

bool Exchange::HasAlternativeReplica() {
  bool may_move = this->phase == Phase::kPrefilling ||
                  this->attempt_policy.replicas().size() <
                      static_cast<size_t>(this->route.max_replicas);
  if (!may_move)
    return false;
  absl::Time now = this->Now();
  auto usable_replicas = this->OpenReplicas();
  return std::any_of(
      usable_replicas.begin(), usable_replicas.end(), [&](const auto& other) {
        const std::string& id = other->entry.id;
        return other->entry.role == this->replica->entry.role &&
               id != this->replica->entry.id && now >= other->avoid_until &&
               std::find(this->excluded_replicas.begin(),
                         this->excluded_replicas.end(),
                         id) == this->excluded_replicas.end();
      });
}

}  // namespace cranberryhill::gateway
