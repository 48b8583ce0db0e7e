#ifndef CRANBERRYHILL_FORWARD_REPLICA_LIMITS_H_
#define CRANBERRYHILL_FORWARD_REPLICA_LIMITS_H_

// Knows which replicas take only a limited number of requests per second from
// all instances together. A replica names its limit in its answers, and the
// limit holds until an answer names another one or none.
//
//   ReplicaLimits limits(clock);
//   limits.OnAnswer("i-7f3a", 5.9);
//   if (auto rate = limits.RateOf("i-7f3a")) ...

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill::forward {

/// Not thread-safe.
class ReplicaLimits {
 public:
  /// @param clock Must outlive this object.
  explicit ReplicaLimits(const Clock& clock) : clock(clock) {}

  /// Records what an answer of the replica says.
  /// @param requests_per_s Unset if the answer names no limit.
  /// @return True if this differs from what was known.
  bool OnAnswer(std::string_view replica, std::optional<double> requests_per_s);

  /// @return Requests per second that the replica takes from all instances
  ///     together, or nothing if it is not limited.
  std::optional<double> RateOf(std::string_view replica) const;

  /// @return The number of limited replicas.
  size_t size() const { return this->by_replica.size(); }  // NOLINT

 private:
  struct Limit {
    double requests_per_s = 0;
    absl::Time named_at;
  };

  const Clock& clock;
  std::map<std::string, Limit, std::less<>> by_replica;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_REPLICA_LIMITS_H_
