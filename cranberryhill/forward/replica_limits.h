#ifndef CRANBERRYHILL_FORWARD_REPLICA_LIMITS_H_
#define CRANBERRYHILL_FORWARD_REPLICA_LIMITS_H_

// Knows which replicas take only a limited number of requests per second from
// all instances together. A replica names its limit in its answers, and the
// limit holds until an answer names another one or none. Instances tell each
// other what the answers to them said.
//
//   ReplicaLimits limits(clock);
//   limits.OnAnswer("i-7f3a", 5.9);
//   if (auto rate = limits.RateOf("i-7f3a")) ...
//
// A limit does not expire: a replica that gets no requests names nothing, and
// at most its limit arrives as long as no answer says otherwise.

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill::forward {

/// What an answer of a replica said.
struct ReplicaLimitReport {
  std::string replica;
  /// Requests per second from all instances; unset if there is no limit.
  std::optional<double> requests_per_s;
  absl::Duration age;  ///< Time since the answer.
};

/// Not thread-safe.
class ReplicaLimits {
 public:
  /// @param clock Must outlive this object.
  explicit ReplicaLimits(const Clock& clock) : clock(clock) {}

  /// Records what an answer of the replica to this instance says.
  /// @param requests_per_s Unset if the answer names no limit.
  /// @return True if this differs from what was known.
  bool OnAnswer(std::string_view replica, std::optional<double> requests_per_s);

  /// Records what an answer to a peer said, unless a later answer is known.
  /// @return True if this differs from what was known.
  bool Merge(const ReplicaLimitReport& report);

  /// @return What answers to this instance said lately. What peers have told is
  ///     not passed on, so that errors of ages do not add up.
  std::vector<ReplicaLimitReport> OwnReports() const;

  /// @return What is known of the replica; nothing if it never had a limit.
  std::optional<ReplicaLimitReport> ReportOf(std::string_view replica) const;

  /// @return Requests per second that all instances together may send to the
  ///     replica now, or nothing if it is not limited. After the replica has
  ///     stopped naming a limit, the rate doubles each second for some seconds,
  ///     so that not all instances turn to it at the same moment.
  std::optional<double> RateOf(std::string_view replica) const;

  /// @return The limited replicas and the rates that RateOf() returns.
  std::map<std::string, double> Rates() const;

  /// Forgets replicas for which `is_gone` returns true, and limits that ended
  /// long ago.
  void Prune(const std::function<bool(std::string_view replica)>& is_gone);

 private:
  struct Limit {
    double requests_per_s = 0;  ///< The limit that was named last.
    absl::Time heard_at;        ///< Time of the last answer.
    /// Time of the first answer without a limit.
    absl::Time ended_at = absl::InfiniteFuture();
    /// Time of the last answer to this instance.
    absl::Time own_answer_at = absl::InfinitePast();
  };

  bool Update(std::string_view replica,
              std::optional<double> requests_per_s,
              absl::Time at);

  const Clock& clock;
  std::map<std::string, Limit, std::less<>> by_replica;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_REPLICA_LIMITS_H_
