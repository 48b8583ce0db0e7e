#ifndef CRANBERRYHILL_FORWARD_REPLICA_SET_H_
#define CRANBERRYHILL_FORWARD_REPLICA_SET_H_

// Tracks the replicas that may serve requests, from the operators' registry and
// from this instance's observations.
//
//   ReplicaSet replicas(clock);
//   replicas.Apply(entry);
//   for (const auto& replica : replicas.Usable("parts")) ...

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/forward/prefix_cache_estimate.h"

namespace cranberryhill::forward {

/// A replica's entry in the registry.
struct ReplicaEntry {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string availability_zone;
  /// Version of the replica's software. Replicas whose entries have none are of
  /// one version, the empty one.
  std::string software_version;
  int slots = 1;
  bool leaving = false;
  std::optional<EngineRole> role;  ///< Set for model engines only.
  /// First loaded model; empty if none is loaded.
  std::string model;
  /// Start time of the process; 0 if the registry does not have it.
  int64_t started_ms = 0;
  bool is_spot = false;  ///< Cheaper, and may be taken away at short notice.
};

/// The load that a replica reports in an answer.
struct ReplicaLoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /// Time that work takes now, as a multiple of the usual time.
  double slowness = 1;
};

/// The priority classes of prompts that wait for prefill at an engine, the most
/// urgent one first.
enum class PrefillLane {
  kResumed,   ///< The caller has events of the stream and waits for the next.
  kOnTime,    ///< The request can meet its latency target.
  kDeferred,  ///< It cannot; prefilled when no other prompt waits.
};

/// @return The lane's name, for logs.
std::string_view PrefillLaneName(PrefillLane lane);

/// Prompt tokens that were sent to an engine and await prefill.
struct QueuedTokens {
  double on_time = 0;
  double deferred = 0;
  double resumed = 0;

  /// Adds tokens to a lane, or subtracts them if negative; the sum does not go
  /// below zero.
  void Add(PrefillLane lane, double tokens);

  /// @return The number of tokens that are prefilled before a new prompt of
  ///     `lane`.
  double TokensAhead(PrefillLane lane) const;
};

inline constexpr int kUnlimitedConnections = std::numeric_limits<int>::max();

/// Below the 2 s after which leaving replicas must not receive new requests;
/// the rest is for the time in which the news travels.
inline constexpr absl::Duration kDefaultLeavingAllowance = absl::Seconds(1);

/// A replica with this instance's observations of it.
struct Replica {
  ReplicaEntry entry;
  bool registered = true;  ///< True while the registry lists the replica.
  absl::Time removed_at;   ///< When the registry stopped listing it.
  /// The registry has lost the entry, and the replica counts as removed at this
  /// time unless it writes another one.
  absl::Time missing_until = absl::InfiniteFuture();
  /// Requests of this instance without a complete answer.
  int outstanding = 0;
  QueuedTokens queued;  ///< Tokens of this instance's requests.
  /// Outstanding requests and queued tokens of all other instances, as last
  /// reported by them.
  int peer_outstanding = 0;
  QueuedTokens peer_queued;
  ReplicaLoadReport load;
  absl::Time load_received_at = absl::InfinitePast();
  /// Value of `outstanding` when the load report was received.
  int outstanding_at_report = 0;
  int consecutive_failures = 0;
  double failure_rate = 0;  ///< Moving average of recent outcomes, from 0 to 1.
  /// The replica is used before this time only when all others are much worse.
  absl::Time avoid_until = absl::InfinitePast();
  /// Until this time an order is assumed to be changing the replica's role. The
  /// replica rejects all new requests meanwhile.
  absl::Time role_changing_until = absl::InfinitePast();
  /// When the replica last sent something on any connection.
  absl::Time heard_at = absl::InfinitePast();
  /// When a part of an answer last came, and when one last came after a long
  /// silence to a request that was open all the while. See Reachability.
  absl::Time answered_at = absl::InfinitePast();
  absl::Time woke_at = absl::InfinitePast();
  /// The replica does not accept connections: it has lost power, or the network
  /// between it and this instance is down. See Reachability.
  bool unreachable = false;
  absl::Time unreachable_since;  ///< Start of the first probe that failed.
  bool probing = false;          ///< A probe connection is being opened.
  /// Another process than the registered one answers under this id, so the
  /// version of its software is not known.
  bool process_differs = false;
  absl::Time probed_at = absl::InfinitePast();
  int failed_probes = 0;  ///< In a row.
  /// When a connection to the replica last could not be opened.
  absl::Time connect_failed_at = absl::InfinitePast();
  /// The replica has said in an answer, to this instance or to a peer, that it
  /// is leaving. See ReplicaNotices.
  bool says_leaving = false;
  bool told_of_leaving = false;  ///< In an answer to this instance.
  absl::Time leaving_heard_at = absl::InfinitePast();
  /// Until this time a replica that leaves may get streams that no other
  /// replica can continue. In the past if nobody knows since when it leaves.
  absl::Time continues_streams_until = absl::InfinitePast();
  /// How long it may, from the time at which this instance learned of it.
  absl::Duration leaving_allowance = kDefaultLeavingAllowance;
  /// The replica wants no request of this instance before this time.
  absl::Time closed_until = absl::InfinitePast();
  bool turned_away = false;  ///< The end of this time has not been noticed yet.
  /// The last header of its answers that made no sense, for the log.
  std::string ignored_header;
  /// Connections that this instance may open to the replica.
  int connection_share = kUnlimitedConnections;
  PrefixCacheEstimate prefix_cache{0};

  /// @return The endpoint as "IP:PORT".
  std::string Address() const;

  /// @return True if the registry or the replica itself says that it is
  ///     leaving.
  bool IsLeaving() const { return this->entry.leaving || this->says_leaving; }

  /// @return True if the replica wants no request of this instance now.
  bool IsClosed(absl::Time now) const { return now < this->closed_until; }

  /// @return True if the replica wants no request of this instance, now or any
  ///     more.
  bool WantsNoRequests(absl::Time now) const {
    return this->IsLeaving() || this->IsClosed(now);
  }

  /// Records that the replica leaves.
  /// @param learned_at When this instance, or a peer, learned of it.
  void BeginLeaving(absl::Time learned_at);

  /// @return True if the replica leaves, or has left the registry, and may
  /// still
  ///     get streams that no other replica can continue.
  bool ContinuesStreams(absl::Time now) const;

  /// @return True if the replica may receive one more request of this instance.
  ///     For some time after it was closed, it gets few at the same time.
  bool TakesRequests(absl::Time now) const;
};

/// Not thread-safe.
class ReplicaSet {
 public:
  /// @param clock Must outlive this object.
  explicit ReplicaSet(const Clock& clock) : clock(clock) {}

  /// Adds or updates a replica. Observations are discarded when the entry
  /// belongs to a new process with the same id.
  void Apply(const ReplicaEntry& entry);

  /// Sets the KV cache capacity of the engines of a service, in tokens.
  void SetCacheCapacity(std::string_view service, int64_t tokens);

  /// Sets how many connections this instance may open to one replica of a
  /// service; each instance has its own share of the replica's limit. The
  /// replica would refuse connections beyond its limit, possibly those of
  /// another instance.
  void SetConnectionShare(std::string_view service, int connections);

  /// Marks a replica as removed from the registry.
  void Remove(std::string_view id);

  /// Replaces the registry's contents; replicas that `entries` does not contain
  /// are removed.
  void Reset(const std::vector<ReplicaEntry>& entries);

  /// Takes over the registry's contents after it went back to an older copy, in
  /// which entries are missing and others are out of date until the replicas
  /// write them again. What is known of a replica goes before its entry for
  /// some seconds; those that `entries` does not contain are kept for about
  /// two.
  void ResetAfterRestore(const std::vector<ReplicaEntry>& entries);

  /// Ends the times after ResetAfterRestore() that have passed. To be called
  /// several times a second.
  void SettleAfterRestore();

  /// Records that the registry is reachable again after an outage.
  void OnRegistryReconnected() {
    this->registry_reconnected_at = this->clock.Now();
  }

  /// @return All registered replicas of a service that are not leaving.
  std::vector<std::shared_ptr<Replica>> Members(std::string_view service) const;

  /// @return True if a replica of the service that is not leaving wants no
  ///     requests now.
  bool HasClosed(std::string_view service) const;

  /// @return The replicas of a service that may receive new requests. Replicas
  ///     to which this instance has used up its connections are left out.
  ///     So are those that want none now. Unreachable replicas and those whose
  ///     role is changing are returned only when there is no other. Replicas
  ///     that the registry has just removed are returned only when it lists no
  ///     other.
  std::vector<std::shared_ptr<Replica>> Usable(std::string_view service);

  /// @return The replicas of a service that are leaving or have just left the
  ///     registry and still serve, for streams that no other one can continue.
  std::vector<std::shared_ptr<Replica>> UsableWhileLeaving(
      std::string_view service) const;

  /// Sets for how long replicas that leave may get such streams, from the time
  /// at which this instance learns of it.
  void SetLeavingAllowance(absl::Duration allowance);

  /// @return The replica with this id if it is registered, or null.
  std::shared_ptr<Replica> Find(std::string_view id) const;

  /// @return True if the replica is not registered and was not lately.
  bool IsForgotten(std::string_view id) const {
    return !this->by_id.contains(id);
  }

  /// Records the outcome of an attempt.
  void OnSuccess(Replica& replica);
  void OnFailure(Replica& replica);

  /// Records that a replica refused a connection or did not answer the
  /// connection attempt.
  void OnUnreachable(Replica& replica);

  /// Records that a replica sent more than an answer can have. It is avoided at
  /// once: each further request there would cost as much memory.
  void OnEndlessAnswer(Replica& replica) { this->OnUnreachable(replica); }

  /// Records that a replica refused a request without running it, because it is
  /// full or its role is changing.
  void OnRejected(Replica& replica);

  /// Records that an order is changing the role of a replica.
  void OnRoleChanging(std::string_view id);

  /// Records that another process answered at the address of this replica.
  void OnWrongInstance(Replica& replica);

  void OnLoadReport(Replica& replica, const ReplicaLoadReport& report);

  /// @return All registered replicas.
  std::vector<std::shared_ptr<Replica>> Registered() const;

  size_t size() const { return this->by_id.size(); }  // NOLINT

 private:
  void EraseExpired();
  bool IsOutdated(const ReplicaEntry& entry) const;
  bool IsSuperseded(const Replica& replica) const;

  const Clock& clock;
  // In the order of ids, which is the same in every process.
  std::map<std::string, std::shared_ptr<Replica>, std::less<>> by_id;
  // Capacities in tokens.
  absl::flat_hash_map<std::string, int64_t> cache_capacity_by_service;
  absl::Duration leaving_allowance = kDefaultLeavingAllowance;
  absl::flat_hash_map<std::string, int> connection_share_by_service;
  absl::Time registry_reconnected_at = absl::InfinitePast();
  // Entries of the registry's older copy that differ from what is known.
  absl::flat_hash_map<std::string, ReplicaEntry> outdated_entries;
  absl::Time entries_trusted_at = absl::InfinitePast();
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_REPLICA_SET_H_
