#ifndef CRANBERRYHILL_FORWARD_REPLICA_NOTICES_H_
#define CRANBERRYHILL_FORWARD_REPLICA_NOTICES_H_

// Records what replicas say in their answers about the requests that they want:
// none any more, because they are leaving, or none from this instance for some
// time. Beside the registry, which may lag behind or be away. See ReplicaLimits
// for replicas that take a limited number of requests.
//
//   ReplicaNotices notices(clock, random);
//   notices.OnLeaving(replica);
//   notices.OnTurnedAway(replica, absl::Seconds(4));
//   if (!replica.IsLeaving() && !replica.IsClosed(now)) ...
//
// Only an answer that is surely the replica's to a request of this instance may
// be recorded. The notices are kept with the replica's process: a new process
// at the same address begins without any.

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/replica_set.h"

namespace cranberryhill::forward {

/// A replica that has told an instance that it is leaving.
struct LeavingReport {
  std::string replica;
  int64_t started_ms = 0;  ///< Start time of its process.
  absl::Duration age;      ///< Time since the answer.
};

/// A notice that holds no longer.
struct EndedNotice {
  std::shared_ptr<Replica> replica;
  bool was_leaving = false;  ///< Otherwise it had turned this instance away.
};

/// Not thread-safe.
class ReplicaNotices {
 public:
  /// @param clock Must count the time in which the process is suspended.
  /// @param clock, random Must outlive this object.
  ReplicaNotices(const Clock& clock, Random& random)
      : clock(clock), random(random) {}

  /// Records an answer that says that the replica is leaving.
  /// @return True if this was not known.
  bool OnLeaving(Replica& replica);

  /// Records an answer of this kind to a peer, unless another process of the
  /// replica gave it.
  /// @return True if this was not known.
  bool MergeLeaving(Replica& replica, const LeavingReport& report);

  /// Records that the replica turned a request away and wants none from this
  /// instance for some time.
  /// @param retry_after From now; at most a day.
  /// @return True if requests were sent to it until now.
  bool OnTurnedAway(Replica& replica, absl::Duration retry_after);

  /// @return The leaving replicas that have told this instance so. What peers
  ///     have told is not passed on, so that errors of ages do not add up.
  std::vector<LeavingReport> OwnReports(
      std::span<const std::shared_ptr<Replica>> replicas) const;

  /// Ends the notices whose time is over.
  std::vector<EndedNotice> EndExpired(
      std::span<const std::shared_ptr<Replica>> replicas);

 private:
  bool RecordLeaving(Replica& replica, absl::Time heard_at);

  const Clock& clock;
  Random& random;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_REPLICA_NOTICES_H_
