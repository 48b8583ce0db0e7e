#include "cranberryhill/forward/replica_set.h"

#include <algorithm>
#include <cmath>

#include "absl/container/flat_hash_set.h"

namespace cranberryhill::forward {
namespace {

/// A replica that left the registry goes on serving for a while; within this
/// time it is used where its service has no other replica. It stays below the
/// 2 s after which leaving replicas must get no new request.
constexpr absl::Duration kUseAfterRemoval = absl::Seconds(1);
/// Entries that lapsed during an outage of the registry come back within 2 s
/// of its return.
constexpr absl::Duration kReturnAfterOutage = absl::Seconds(2);
/// Removed replicas are forgotten after this time.
constexpr absl::Duration kForgetAfter = absl::Seconds(10);
/// First pause after a failure; doubles with each failure in a row.
constexpr absl::Duration kFirstAvoidance = absl::Milliseconds(300);
constexpr int kMaxDoublings = 4;
/// Failures in a row before a replica is avoided. One failure alone is often
/// that of a single connection.
constexpr int kFailuresToAvoid = 2;
/// A replica that was full has finished some of its requests after this time.
constexpr absl::Duration kFullPause = absl::Milliseconds(150);
/// News of a change of role is repeated several times a second while the change
/// lasts.
constexpr absl::Duration kChangeNews = absl::Milliseconds(600);
/// Weight of the newest outcome in the failure rate.
constexpr double kOutcomeWeight = 0.1;
/// Share of the engine's memory that cached parts are believed to fill; the
/// rest is taken by running requests.
constexpr double kCacheShare = 0.9;
/// Until the configuration tells.
constexpr int64_t kDefaultCacheTokens = 900000;

}  // namespace

void QueuedTokens::Add(ReadLane lane, double tokens) {
  double& sum = lane == ReadLane::kOnTime ? this->on_time : this->deferred;
  sum = std::max(0.0, sum + tokens);
}

std::string Replica::Address() const {
  return EndpointText(this->entry.endpoint);
}

void ReplicaSet::Apply(const ReplicaEntry& entry) {
  auto& slot = this->by_id[entry.id];
  bool same_process = slot != nullptr &&
                      slot->entry.endpoint == entry.endpoint &&
                      slot->entry.started_ms == entry.started_ms &&
                      slot->entry.service == entry.service;
  if (!same_process) {
    slot = std::make_shared<Replica>();
    auto capacity = this->cache_tokens.find(entry.service);
    slot->cache.SetCapacity(capacity == this->cache_tokens.end()
                                ? kDefaultCacheTokens
                                : capacity->second);
  }
  auto share = this->connection_shares.find(entry.service);
  if (share != this->connection_shares.end())
    slot->connection_share = share->second;
  if (slot->entry.role != entry.role)
    slot->changing_until = absl::InfinitePast();
  slot->entry = entry;
  slot->listed = true;
}

void ReplicaSet::SetCacheCapacity(std::string_view service, int64_t tokens) {
  auto cached = static_cast<int64_t>(kCacheShare * static_cast<double>(tokens));
  this->cache_tokens[std::string(service)] = cached;
  for (auto& [id, replica] : this->by_id) {
    if (replica->entry.service == service)
      replica->cache.SetCapacity(cached);
  }
}

void ReplicaSet::SetConnectionShare(std::string_view service, int connections) {
  this->connection_shares[std::string(service)] = connections;
  for (auto& [id, replica] : this->by_id) {
    if (replica->entry.service == service)
      replica->connection_share = connections;
  }
}

void ReplicaSet::Remove(std::string_view id) {
  auto found = this->by_id.find(std::string(id));
  if (found == this->by_id.end() || !found->second->listed)
    return;
  found->second->listed = false;
  found->second->removed_at = this->clock.Now();
}

void ReplicaSet::Reset(const std::vector<ReplicaEntry>& entries) {
  absl::flat_hash_set<std::string_view> present;
  for (const ReplicaEntry& entry : entries) {
    present.insert(entry.id);
    this->Apply(entry);
  }
  std::vector<std::string> gone;
  for (const auto& [id, replica] : this->by_id) {
    if (!present.contains(id))
      gone.push_back(id);
  }
  for (const std::string& id : gone)
    this->Remove(id);
}

std::vector<std::shared_ptr<Replica>> ReplicaSet::Members(
    std::string_view service) const {
  std::vector<std::shared_ptr<Replica>> members;
  for (const auto& [id, replica] : this->by_id) {
    if (replica->entry.service == service && replica->listed &&
        !replica->entry.leaving)
      members.push_back(replica);
  }
  return members;
}

std::vector<std::shared_ptr<Replica>> ReplicaSet::Usable(
    std::string_view service) {
  this->DropForgotten();
  absl::Time now = this->clock.Now();
  std::vector<std::shared_ptr<Replica>> members = this->Members(service);
  bool any_listed = !members.empty();
  std::erase_if(members, [](const auto& replica) {
    return replica->outstanding >= replica->connection_share;
  });
  std::vector<std::shared_ptr<Replica>> steady;
  for (const auto& replica : members) {
    if (replica->changing_until <= now)
      steady.push_back(replica);
  }
  if (!steady.empty())
    return steady;
  if (any_listed)
    return members;
  absl::Duration grace = now - this->regained_at < kReturnAfterOutage
                             ? kReturnAfterOutage
                             : kUseAfterRemoval;
  for (const auto& [id, replica] : this->by_id) {
    if (replica->entry.service == service && !replica->entry.leaving &&
        !replica->listed && now - replica->removed_at < grace)
      members.push_back(replica);
  }
  return members;
}

std::shared_ptr<Replica> ReplicaSet::Find(std::string_view id) const {
  auto found = this->by_id.find(std::string(id));
  if (found == this->by_id.end() || !found->second->listed)
    return nullptr;
  return found->second;
}

std::vector<std::shared_ptr<Replica>> ReplicaSet::Listed() const {
  std::vector<std::shared_ptr<Replica>> all;
  for (const auto& [id, replica] : this->by_id) {
    if (replica->listed)
      all.push_back(replica);
  }
  return all;
}

void ReplicaSet::OnSuccess(Replica& replica) {
  replica.failures_in_row = 0;
  replica.avoid_until = absl::InfinitePast();
  replica.failure_rate *= 1 - kOutcomeWeight;
}

void ReplicaSet::OnFailure(Replica& replica) {
  ++replica.failures_in_row;
  replica.failure_rate += kOutcomeWeight * (1 - replica.failure_rate);
  if (replica.failures_in_row < kFailuresToAvoid)
    return;
  int doublings =
      std::min(replica.failures_in_row - kFailuresToAvoid, kMaxDoublings);
  replica.avoid_until =
      this->clock.Now() + kFirstAvoidance * std::pow(2, doublings);
}

void ReplicaSet::OnUnreachable(Replica& replica) {
  // Unlike a broken answer this is no fault of a single connection.
  replica.failures_in_row = std::max(replica.failures_in_row, kFailuresToAvoid);
  this->OnFailure(replica);
}

void ReplicaSet::OnRejected(Replica& replica) {
  absl::Time now = this->clock.Now();
  replica.avoid_until = std::max(replica.avoid_until, now + kFullPause);
}

void ReplicaSet::OnChanging(std::string_view id) {
  auto replica = this->Find(id);
  if (replica != nullptr)
    replica->changing_until = this->clock.Now() + kChangeNews;
}

void ReplicaSet::OnWrongInstance(Replica& replica) {
  // The registry still lists the old process. It is used again when its entry
  // changes.
  replica.entry.leaving = true;
}

void ReplicaSet::OnLoadReport(Replica& replica, const LoadReport& report) {
  replica.load = report;
  replica.load_at = this->clock.Now();
  replica.outstanding_at_load = replica.outstanding;
}

void ReplicaSet::DropForgotten() {
  absl::Time now = this->clock.Now();
  absl::erase_if(this->by_id, [now](const auto& item) {
    return !item.second->listed && now - item.second->removed_at > kForgetAfter;
  });
}

}  // namespace cranberryhill::forward
