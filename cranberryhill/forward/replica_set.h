#ifndef CRANBERRYHILL_FORWARD_REPLICA_SET_H_
#define CRANBERRYHILL_FORWARD_REPLICA_SET_H_

// The replicas that may be used, by the operators' registry and by what this
// instance observes of them.
//
//   ReplicaSet replicas(clock);
//   replicas.Apply(entry);
//   for (const auto& replica : replicas.Usable("parts", now)) ...

#include <cstdint>
#include <limits>
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
#include "cranberryhill/forward/prompt_cache.h"

namespace cranberryhill::forward {

/// What the registry says of a replica.
struct ReplicaEntry {
  std::string id;
  std::string service;
  Endpoint endpoint;
  std::string availability_zone;
  int slots = 1;
  bool leaving = false;
  std::optional<EngineRole> role;  ///< Of model engines only.
  std::string model;               ///< First model loaded; empty if none.
  int64_t started_ms = 0;  ///< Start of the process; 0 if it is not told.
};

/// What a replica says of its load in an answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  double slowness = 1;  ///< Time that work takes now; 1 is as usual.
};

/// The order in which engines read prompts.
enum class ReadLane {
  kOnTime,    ///< Can meet its latency target; read first.
  kDeferred,  ///< Cannot; read when nothing else waits.
};

/// Prompt tokens sent to an engine and not yet read.
struct QueuedTokens {
  double on_time = 0;
  double deferred = 0;

  /// Adds tokens to a lane; a sum below zero counts as zero.
  void Add(ReadLane lane, double tokens);

  /// @return Tokens that are read before a new prompt of `lane`.
  double Before(ReadLane lane) const {
    return lane == ReadLane::kOnTime ? this->on_time
                                     : this->on_time + this->deferred;
  }
};

inline constexpr int kUnlimitedConnections = std::numeric_limits<int>::max();

/// A replica with this instance's observations.
struct Replica {
  ReplicaEntry entry;
  bool listed = true;     ///< In the registry.
  absl::Time removed_at;  ///< When it left the registry.
  int outstanding = 0;    ///< Own requests without a complete answer.
  QueuedTokens queued;    ///< By own requests.
  /// The same two figures of all other instances, as they last told.
  int peer_running = 0;
  QueuedTokens peer_queued;
  LoadReport load;
  absl::Time load_at = absl::InfinitePast();
  int outstanding_at_load = 0;  ///< Own share of the reported load.
  int failures_in_row = 0;
  double failure_rate = 0;  ///< Recent, 0 to 1.
  absl::Time avoid_until = absl::InfinitePast();
  /// While an order changes its role it refuses all new requests.
  absl::Time changing_until = absl::InfinitePast();
  int connection_share = kUnlimitedConnections;  ///< Of this instance.
  PromptCache cache{0};

  /// @return The endpoint as "IP:PORT".
  std::string Address() const;
};

/// Not thread-safe.
class ReplicaSet {
 public:
  /// @param clock Must outlive this object.
  explicit ReplicaSet(const Clock& clock) : clock(clock) {}

  /// Adds or changes a replica. A process that started anew under its id is
  /// taken as unknown.
  void Apply(const ReplicaEntry& entry);

  /// Sets the memory of the engines of a service, in tokens.
  void SetCacheCapacity(std::string_view service, int64_t tokens);

  /// Sets how many connections this instance may have to one replica of a
  /// service; the others have their own share. Further ones would be refused,
  /// perhaps those of another instance.
  void SetConnectionShare(std::string_view service, int connections);

  /// Marks a replica as gone from the registry.
  void Remove(std::string_view id);

  /// Takes over the whole registry; replicas that are not in it are removed.
  void Reset(const std::vector<ReplicaEntry>& entries);

  /// Tells that the registry has been reached again after an outage.
  void OnRegistryRegained() { this->regained_at = this->clock.Now(); }

  /// @return All replicas of a service that are listed and not leaving.
  std::vector<std::shared_ptr<Replica>> Members(std::string_view service) const;

  /// @return Replicas of a service that may get new requests. Replicas to which
  ///     all connections of this instance are in use are left out. Replicas
  ///     whose role is changing are returned only when there is no other.
  ///     Replicas that have just left the registry are returned only when there
  ///     is no other.
  std::vector<std::shared_ptr<Replica>> Usable(std::string_view service);

  /// @return The replica with this id if it is listed, or null.
  std::shared_ptr<Replica> Find(std::string_view id) const;

  /// Records the outcome of a send.
  void OnSuccess(Replica& replica);
  void OnFailure(Replica& replica);

  /// Records that a replica refused a connection or did not answer to one.
  void OnUnreachable(Replica& replica);

  /// Records that a replica refused a request without running it: it is full,
  /// or its role is changing.
  void OnRejected(Replica& replica);

  /// Records that an order is being carried out at a replica.
  void OnChanging(std::string_view id);

  /// Records that another process has the address of this replica.
  void OnWrongInstance(Replica& replica);

  void OnLoadReport(Replica& replica, const LoadReport& report);

  /// @return All listed replicas.
  std::vector<std::shared_ptr<Replica>> Listed() const;

  size_t size() const { return this->by_id.size(); }  // NOLINT

 private:
  void DropForgotten();

  const Clock& clock;
  absl::flat_hash_map<std::string, std::shared_ptr<Replica>> by_id;
  absl::flat_hash_map<std::string, int64_t> cache_tokens;   // By service.
  absl::flat_hash_map<std::string, int> connection_shares;  // By service.
  absl::Time regained_at = absl::InfinitePast();
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_REPLICA_SET_H_
