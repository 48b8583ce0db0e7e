#ifndef CRANBERRYHILL_FORWARD_REACHABILITY_H_
#define CRANBERRYHILL_FORWARD_REACHABILITY_H_

// Detects replicas that have gone silent, such as those that lost power: their
// connections stay open, and what was sent on them is never answered. A request
// that waits longer than expected at a replica from which nothing has been
// heard meanwhile makes this instance open a probe connection; a replica that
// neither accepts nor refuses it is unreachable. A replica that is only slow
// accepts it at once, so it is never taken for unreachable. Designed for the
// loss of several engines of a role at the same time, when everything sent to
// them is lost, and for availability zones that are cut off: what is known of
// some replicas of a zone is held against the others until one is heard.
//
//   Reachability reachability(clock);
//   if (reachability.ShouldProbe(replica, waiting_since))
//     reachability.OnProbeStarted(replica), ...connect...
//   reachability.OnProbeEnded(replica, answered);

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/forward/replica_set.h"

namespace cranberryhill::forward {

/// A request that waits this much longer than expected gives reason to doubt
/// its replica. Packets that were lost are resent within this time.
inline constexpr absl::Duration kSilenceTolerance = absl::Milliseconds(250);

/// @return True if the replica runs requests to their end; a prefill engine
/// does
///     not.
bool CanRunRequests(const Replica& replica);

/// Not thread-safe.
class Reachability {
 public:
  /// @param clock Must outlive this object.
  explicit Reachability(const Clock& clock) : clock(clock) {}

  /// Records that the replica sent something on any connection.
  void OnHeard(Replica& replica);

  /// Records that a part of an answer came from the replica.
  /// @param sent_at When the request was sent.
  void OnAnswerPart(Replica& replica, absl::Time sent_at);

  /// @param waiting_since When the request was sent, or its last progress.
  /// @return True when a request that has waited too long is a reason to probe
  ///     the replica now: nothing was heard from it since, and it was not
  ///     probed a moment ago.
  bool ShouldProbe(const Replica& replica, absl::Time waiting_since) const;

  /// @return True when the replica broke off an answer and no probe shows yet
  ///     whether it still accepts connections.
  bool ShouldProbeAfterBrokenAnswer(const Replica& replica) const;

  /// @return True when the time has come to probe an unreachable replica again.
  bool ShouldProbeAgain(const Replica& replica) const;

  /// @return True when a probe is due that shows whether the silence of an
  ///     unreachable replica outlasts that of a sound one.
  bool ShouldProbeForLoss(const Replica& replica) const;

  /// @return True when the replica has been silent for longer than a sound one
  ///     ever is, as a probe at the end of that time has shown.
  bool IsLost(const Replica& replica) const;

  void OnProbeStarted(Replica& replica);

  /// @param answered Whether the replica accepted or refused the connection. A
  ///     replica that has as many connections as it allows refuses more.
  void OnProbeEnded(Replica& replica, bool answered);

  /// @param members All replicas of a service.
  /// @return The availability zones that may be cut off: several replicas there
  ///     are unreachable, and none was heard since they fell silent.
  std::vector<std::string> SilentZones(
      std::span<const std::shared_ptr<Replica>> members) const;

  /// Chooses replicas of a silent zone whose answer to a probe would show that
  /// the zone is not cut off.
  /// @param random_value Differs between instances, so that they do not all
  ///     probe the same replicas.
  /// @return Few replicas, and none while earlier probes are recent.
  std::vector<std::shared_ptr<Replica>> ProbeTargets(
      std::span<const std::shared_ptr<Replica>> members,
      std::string_view zone,
      uint64_t random_value) const;

  /// Records that a connection to the replica could not be opened.
  void OnConnectFailed(Replica& replica);

  /// @return True if the replica is unreachable, or a connection to it failed
  ///     and nothing was heard from it since.
  bool IsInDoubt(const Replica& replica) const;

  /// @param members All replicas of a service.
  /// @return True if this instance reaches none of those that can run requests:
  ///     each is unreachable, or a connection to it failed and nothing was
  ///     heard from it since.
  bool IsCutOff(std::span<const std::shared_ptr<Replica>> members) const;

  /// @return True if that holds for half of them, or connections to them failed
  ///     a moment ago although others are still open.
  bool FailsToConnect(std::span<const std::shared_ptr<Replica>> members) const;

  /// @return Those of `members` to be probed now because this instance may be
  ///     cut off from all of them: connections to some failed, and nothing was
  ///     heard from any since.
  std::vector<std::shared_ptr<Replica>> CutOffSuspects(
      std::span<const std::shared_ptr<Replica>> members) const;

  /// Chooses replicas of a service from which this instance is cut off, whose
  /// answer to a probe shows that it is not any more.
  /// @param random_value Changes from call to call.
  /// @return Few replicas, and none while earlier probes are recent.
  std::vector<std::shared_ptr<Replica>> CutOffProbeTargets(
      std::span<const std::shared_ptr<Replica>> members,
      uint64_t random_value) const;

  /// @return The ids of those of `replicas` that are unreachable, for peers.
  std::vector<std::string> Unreachable(
      std::span<const std::shared_ptr<Replica>> replicas) const;

  /// @return True when a peer's report that the replica is unreachable is a
  ///     reason to probe it: this instance has requests there, and they have
  ///     heard nothing for a while.
  bool ShouldProbeForPeer(const Replica& replica) const;

 private:
  const Clock& clock;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_REACHABILITY_H_
