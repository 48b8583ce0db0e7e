#include "cranberryhill/forward/replica_set.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/container/flat_hash_set.h"

namespace cranberryhill::forward {
namespace {

/// A replica that was removed from the registry still serves requests. For this
/// time after the removal it is used if its service has no other replica. The
/// value is below the 2 s after which leaving replicas must not receive new
/// requests.
constexpr absl::Duration kUseAfterRemoval = absl::Seconds(1);
/// Replaces kUseAfterRemoval for this time after an outage of the registry,
/// because entries that expired during the outage are written again within 2 s.
constexpr absl::Duration kReregistrationTime = absl::Seconds(2);
/// After the registry went back to an older copy, an entry of a known replica
/// is trusted after this time. Until then a replica that lives has written it
/// again, and the registry has dropped those of replicas that are silent.
constexpr absl::Duration kOutdatedEntryTime = absl::Milliseconds(4500);
/// Removed replicas are erased after this time. Until then they are known not
/// to be used if the registry goes back to a copy that lists them.
constexpr absl::Duration kEraseRemovedAfter = absl::Seconds(30);
/// How long a replica is avoided after kFailuresToAvoid failures in a row;
/// doubles with each further failure.
constexpr absl::Duration kFirstAvoidance = absl::Milliseconds(300);
constexpr int kMaxDoublings = 4;
/// A replica is avoided after this many consecutive failures. A single failure
/// often concerns just one connection.
constexpr int kFailuresToAvoid = 2;
/// How long a replica is avoided after it rejected a request. A full replica
/// has finished some of its requests after this time.
constexpr absl::Duration kRejectedPause = absl::Milliseconds(150);
/// How long a notice that the role of a replica is changing is valid. The
/// notice is repeated several times a second while the change lasts.
constexpr absl::Duration kRoleChangeNoticeTime = absl::Milliseconds(600);
/// Weight of the newest outcome in the failure rate.
constexpr double kOutcomeWeight = 0.1;
/// Share of the KV cache that is assumed to hold cached prefixes; running
/// requests occupy the rest.
constexpr double kCacheShare = 0.9;
/// Capacity for cached prefixes that is assumed until the configuration gives
/// one.
constexpr int64_t kDefaultCacheTokens = 900000;
/// After a replica was closed, an instance may have one request there at the
/// same time, and twice as many after each of these intervals.
constexpr absl::Duration kReopeningInterval = absl::Milliseconds(250);
constexpr int kReopeningIntervals = 8;

}  // namespace

std::string_view PrefillLaneName(PrefillLane lane) {
  switch (lane) {
    case PrefillLane::kResumed:
      return "resumed";
    case PrefillLane::kOnTime:
      return "on_time";
    case PrefillLane::kDeferred:
      return "deferred";
  }
  return "unknown";
}

void QueuedTokens::Add(PrefillLane lane, double tokens) {
  auto add = [tokens](double& sum) { sum = std::max(0.0, sum + tokens); };
  switch (lane) {
    case PrefillLane::kResumed:
      return add(this->resumed);
    case PrefillLane::kOnTime:
      return add(this->on_time);
    case PrefillLane::kDeferred:
      return add(this->deferred);
  }
}

double QueuedTokens::TokensAhead(PrefillLane lane) const {
  double tokens = this->resumed;
  if (lane != PrefillLane::kResumed)
    tokens += this->on_time;
  if (lane == PrefillLane::kDeferred)
    tokens += this->deferred;
  return tokens;
}

std::string Replica::Address() const {
  return EndpointText(this->entry.endpoint);
}

void Replica::BeginLeaving(absl::Time learned_at) {
  this->continues_streams_until = learned_at + this->leaving_allowance;
}

bool Replica::ContinuesStreams(absl::Time now) const {
  return (this->IsLeaving() || !this->registered) &&
         now < this->continues_streams_until && !this->IsClosed(now) &&
         !this->unreachable && this->role_changing_until <= now &&
         this->outstanding < this->connection_share;
}

bool Replica::TakesRequests(absl::Time now) const {
  if (this->WantsNoRequests(now))
    return false;
  double intervals =
      absl::FDivDuration(now - this->closed_until, kReopeningInterval);
  return intervals >= kReopeningIntervals ||
         this->outstanding < std::exp2(std::floor(intervals));
}

void ReplicaSet::Apply(const ReplicaEntry& entry) {
  this->outdated_entries.erase(entry.id);
  auto& replica = this->by_id[entry.id];
  bool same_process = replica != nullptr &&
                      replica->entry.endpoint == entry.endpoint &&
                      replica->entry.started_ms == entry.started_ms &&
                      replica->entry.service == entry.service;
  if (!same_process) {
    replica = std::make_shared<Replica>();
    auto capacity = this->cache_capacity_by_service.find(entry.service);
    replica->prefix_cache.SetCapacity(
        capacity == this->cache_capacity_by_service.end() ? kDefaultCacheTokens
                                                          : capacity->second);
  }
  replica->leaving_allowance = this->leaving_allowance;
  // Of a process that is new to this instance nobody knows since when it
  // leaves.
  if (same_process && entry.leaving && !replica->IsLeaving())
    replica->BeginLeaving(this->clock.Now());
  if (!entry.leaving && !replica->says_leaving)
    replica->continues_streams_until = absl::InfinitePast();
  auto share = this->connection_share_by_service.find(entry.service);
  if (share != this->connection_share_by_service.end())
    replica->connection_share = share->second;
  if (replica->entry.role != entry.role)
    replica->role_changing_until = absl::InfinitePast();
  replica->entry = entry;
  replica->registered = true;
  replica->missing_until = absl::InfiniteFuture();
}

void ReplicaSet::SetCacheCapacity(std::string_view service, int64_t tokens) {
  auto cached = static_cast<int64_t>(kCacheShare * static_cast<double>(tokens));
  this->cache_capacity_by_service[std::string(service)] = cached;
  for (auto& [id, replica] : this->by_id) {
    if (replica->entry.service == service)
      replica->prefix_cache.SetCapacity(cached);
  }
}

void ReplicaSet::SetConnectionShare(std::string_view service, int connections) {
  this->connection_share_by_service[std::string(service)] = connections;
  for (auto& [id, replica] : this->by_id) {
    if (replica->entry.service == service)
      replica->connection_share = connections;
  }
}

void ReplicaSet::Remove(std::string_view id) {
  this->outdated_entries.erase(std::string(id));
  auto found = this->by_id.find(id);
  if (found == this->by_id.end() || !found->second->registered)
    return;
  found->second->registered = false;
  found->second->removed_at = this->clock.Now();
  if (!found->second->IsLeaving())
    found->second->BeginLeaving(found->second->removed_at);
}

void ReplicaSet::Reset(const std::vector<ReplicaEntry>& entries) {
  absl::flat_hash_set<std::string_view> present_ids;
  this->outdated_entries.clear();
  for (const ReplicaEntry& entry : entries) {
    present_ids.insert(entry.id);
    if (this->IsOutdated(entry))
      this->outdated_entries[entry.id] = entry;
    else
      this->Apply(entry);
  }
  absl::Time now = this->clock.Now();
  absl::Time missing_until =
      now < this->entries_trusted_at ? now + kReregistrationTime : now;
  for (const auto& [id, replica] : this->by_id) {
    if (!present_ids.contains(id))
      replica->missing_until = std::min(replica->missing_until, missing_until);
  }
  this->SettleAfterRestore();
}

void ReplicaSet::ResetAfterRestore(const std::vector<ReplicaEntry>& entries) {
  this->entries_trusted_at = this->clock.Now() + kOutdatedEntryTime;
  this->Reset(entries);
}

/// @return True if the entry must be older than what is known of the replica.
bool ReplicaSet::IsOutdated(const ReplicaEntry& entry) const {
  auto found = this->by_id.find(entry.id);
  if (found == this->by_id.end() || entry.leaving ||
      this->clock.Now() >= this->entries_trusted_at)
    return false;
  const Replica& known = *found->second;
  if (entry.started_ms < known.entry.started_ms)
    return true;
  bool same_process = entry.started_ms == known.entry.started_ms &&
                      entry.endpoint == known.entry.endpoint;
  return same_process && (!known.registered || known.entry.leaving);
}

void ReplicaSet::SettleAfterRestore() {
  absl::Time now = this->clock.Now();
  if (now >= this->entries_trusted_at) {
    for (const auto& [id, entry] : std::exchange(this->outdated_entries, {}))
      this->Apply(entry);
  }
  std::vector<std::string> lost_ids;
  for (const auto& [id, replica] : this->by_id) {
    if (replica->registered && now >= replica->missing_until)
      lost_ids.push_back(id);
  }
  for (const std::string& id : lost_ids)
    this->Remove(id);
}

std::vector<std::shared_ptr<Replica>> ReplicaSet::Members(
    std::string_view service) const {
  std::vector<std::shared_ptr<Replica>> members;
  for (const auto& [id, replica] : this->by_id) {
    if (replica->entry.service == service && replica->registered &&
        !replica->IsLeaving())
      members.push_back(replica);
  }
  return members;
}

bool ReplicaSet::HasClosed(std::string_view service) const {
  absl::Time now = this->clock.Now();
  return std::any_of(
      this->by_id.begin(), this->by_id.end(), [&](const auto& item) {
        const Replica& replica = *item.second;
        return replica.IsClosed(now) && replica.registered &&
               !replica.IsLeaving() && replica.entry.service == service;
      });
}

std::vector<std::shared_ptr<Replica>> ReplicaSet::Usable(
    std::string_view service) {
  this->EraseExpired();
  absl::Time now = this->clock.Now();
  std::vector<std::shared_ptr<Replica>> members = this->Members(service);
  bool any_registered = !members.empty();
  std::erase_if(members, [now](const auto& replica) {
    return replica->outstanding >= replica->connection_share ||
           !replica->TakesRequests(now);
  });
  std::vector<std::shared_ptr<Replica>> available;
  for (const auto& replica : members) {
    if (replica->role_changing_until <= now && !replica->unreachable)
      available.push_back(replica);
  }
  if (!available.empty())
    return available;
  if (any_registered)
    return members;
  absl::Duration usable_time =
      now - this->registry_reconnected_at < kReregistrationTime
          ? kReregistrationTime
          : kUseAfterRemoval;
  for (const auto& [id, replica] : this->by_id) {
    if (replica->entry.service == service && !replica->registered &&
        replica->TakesRequests(now) && now - replica->removed_at < usable_time)
      members.push_back(replica);
  }
  return members;
}

std::vector<std::shared_ptr<Replica>> ReplicaSet::UsableWhileLeaving(
    std::string_view service) const {
  absl::Time now = this->clock.Now();
  std::vector<std::shared_ptr<Replica>> leaving;
  for (const auto& [id, replica] : this->by_id) {
    if (replica->entry.service == service && replica->ContinuesStreams(now) &&
        !this->IsSuperseded(*replica))
      leaving.push_back(replica);
  }
  return leaving;
}

/// @return True if the registry lists another replica at the same address.
bool ReplicaSet::IsSuperseded(const Replica& replica) const {
  return std::any_of(this->by_id.begin(), this->by_id.end(),
                     [&](const auto& item) {
                       const Replica& other = *item.second;
                       return &other != &replica && other.registered &&
                              other.entry.endpoint == replica.entry.endpoint;
                     });
}

void ReplicaSet::SetLeavingAllowance(absl::Duration allowance) {
  this->leaving_allowance = allowance;
  for (auto& [id, replica] : this->by_id)
    replica->leaving_allowance = allowance;
}

std::shared_ptr<Replica> ReplicaSet::Find(std::string_view id) const {
  auto found = this->by_id.find(id);
  if (found == this->by_id.end() || !found->second->registered)
    return nullptr;
  return found->second;
}

std::vector<std::shared_ptr<Replica>> ReplicaSet::Registered() const {
  std::vector<std::shared_ptr<Replica>> all;
  for (const auto& [id, replica] : this->by_id) {
    if (replica->registered)
      all.push_back(replica);
  }
  return all;
}

void ReplicaSet::OnSuccess(Replica& replica) {
  replica.consecutive_failures = 0;
  replica.avoid_until = absl::InfinitePast();
  replica.failure_rate *= 1 - kOutcomeWeight;
}

void ReplicaSet::OnFailure(Replica& replica) {
  ++replica.consecutive_failures;
  replica.failure_rate += kOutcomeWeight * (1 - replica.failure_rate);
  if (replica.consecutive_failures < kFailuresToAvoid)
    return;
  int doublings =
      std::min(replica.consecutive_failures - kFailuresToAvoid, kMaxDoublings);
  replica.avoid_until =
      this->clock.Now() + kFirstAvoidance * std::pow(2, doublings);
}

void ReplicaSet::OnUnreachable(Replica& replica) {
  // Unlike a broken answer, this failure is not limited to a single connection,
  // so the replica is avoided at once.
  replica.consecutive_failures =
      std::max(replica.consecutive_failures, kFailuresToAvoid);
  this->OnFailure(replica);
}

void ReplicaSet::OnRejected(Replica& replica) {
  absl::Time now = this->clock.Now();
  replica.avoid_until = std::max(replica.avoid_until, now + kRejectedPause);
}

void ReplicaSet::OnRoleChanging(std::string_view id) {
  auto replica = this->Find(id);
  if (replica != nullptr)
    replica->role_changing_until = this->clock.Now() + kRoleChangeNoticeTime;
}

void ReplicaSet::OnWrongInstance(Replica& replica) {
  // The registry still lists the old process. The replica is used again when
  // its entry changes.
  replica.entry.leaving = true;
}

void ReplicaSet::OnLoadReport(Replica& replica,
                              const ReplicaLoadReport& report) {
  replica.load = report;
  replica.load_received_at = this->clock.Now();
  replica.outstanding_at_report = replica.outstanding;
}

void ReplicaSet::EraseExpired() {
  absl::Time now = this->clock.Now();
  std::erase_if(this->by_id, [now](const auto& item) {
    return !item.second->registered &&
           now - item.second->removed_at > kEraseRemovedAfter;
  });
}

}  // namespace cranberryhill::forward
