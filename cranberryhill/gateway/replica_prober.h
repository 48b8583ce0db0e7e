#ifndef CRANBERRYHILL_GATEWAY_REPLICA_PROBER_H_
#define CRANBERRYHILL_GATEWAY_REPLICA_PROBER_H_

// Opens probe connections to replicas that may be out of reach. Requests,
// failed connections, peers and the ends of earlier probes all ask for probes;
// this class spaces them out, so that neither the number of replicas nor that
// of requests decides how many are opened at a time.
//
//   ReplicaProber prober(reachability, replicas, connector, observer, ...);
//   prober.Probe(replica);
//   prober.ProbeUnreachable();  // Several times a second.

#include <cstdint>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/exchange/connect_probe.h"
#include "cranberryhill/forward/reachability.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/store/delay_timer.h"

namespace cranberryhill::gateway {

/// Told what probes find out.
class ProbeObserver {
 public:
  virtual ~ProbeObserver() = default;

  /// The host of the replica answers, but the replica does not.
  virtual void OnProbeRefused(const forward::Replica& replica) = 0;

  /// A probe has changed whether the replica counts as unreachable.
  virtual void OnReachChanged(forward::Replica& replica) = 0;
};

/// Not thread-safe.
class ReplicaProber {
 public:
  /// Probes that may begin within kProbeWindow. A probe ends within it, so no
  /// more are open at once. A replica is probed once within it.
  static constexpr size_t kMaxProbesPerWindow = 64;
  static constexpr absl::Duration kProbeWindow = absl::Milliseconds(300);

  /// @param reachability, replicas, connector, observer, clock, random Must
  ///     outlive this object.
  ReplicaProber(forward::Reachability& reachability,
                const forward::ReplicaSet& replicas,
                ProbeConnector& connector,
                ProbeObserver& observer,
                std::unique_ptr<DelayTimer> timer,
                const Clock& clock,
                Random& random);

  /// Probes a replica now or soon, unless it is heard before.
  void Probe(const std::shared_ptr<forward::Replica>& replica);

  /// Records that a connection to the replica could not be opened, and probes
  /// the others of its service if this instance may be cut off from all.
  void OnConnectFailed(forward::Replica& replica);

  /// Probes unreachable replicas again when their time has come, so that they
  /// are used when they are back.
  void ProbeUnreachable();

  /// Finds out whether services from which this instance is cut off can be
  /// reached again, also if no request comes.
  void ProbeCutOffServices(std::span<const std::string> services);

  /// Probes those of the replicas that a peer cannot reach which have left
  /// requests of this instance unanswered for a while.
  void OnPeerUnreachable(std::span<const std::string> ids);

  uint64_t started() const { return this->started_count; }  // NOLINT

 private:
  struct WaitingProbe {
    std::shared_ptr<forward::Replica> replica;
    absl::Time queued_at;
    absl::Time due;
  };

  void Enqueue(const std::shared_ptr<forward::Replica>& replica);
  void StartDueProbes();
  void Start(const std::shared_ptr<forward::Replica>& replica);
  void OnEnded(const std::shared_ptr<forward::Replica>& replica,
               ProbeResult result);
  absl::Time RoomFrom(absl::Time now);

  forward::Reachability& reachability;
  const forward::ReplicaSet& replicas;
  ProbeConnector& connector;
  ProbeObserver& observer;
  const std::unique_ptr<DelayTimer> timer;
  const Clock& clock;
  Random& random;
  std::vector<WaitingProbe> waiting;
  absl::flat_hash_set<const forward::Replica*> waiting_replicas;
  std::deque<absl::Time> recent_starts;  // Within kProbeWindow.
  uint64_t started_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_REPLICA_PROBER_H_
