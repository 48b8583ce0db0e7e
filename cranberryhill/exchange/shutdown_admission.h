#ifndef CRANBERRYHILL_EXCHANGE_SHUTDOWN_ADMISSION_H_
#define CRANBERRYHILL_EXCHANGE_SHUTDOWN_ADMISSION_H_

// Decides which requests an instance still sends to replicas while it shuts
// down. A request that is refused comes back at another instance at once; one
// that is cut at the end of the process may have run, and must not be repeated
// if it is an at-most-once request.
//
//   ShutdownAdmission admission(clock);
//   admission.OnAnswered("chat", absl::Milliseconds(700));
//   admission.Begin(absl::Seconds(8));
//   if (!admission.MayTake("chat", arrived, deadline)) ...refuse

#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class ShutdownAdmission {
 public:
  /// @param clock Must outlive this object.
  explicit ShutdownAdmission(const Clock& clock) : clock(clock) {}

  /// Records how long an answer took, from the arrival of its request.
  void OnAnswered(std::string_view route, absl::Duration took);

  /// Starts the shutdown.
  /// @param time_for_requests Time after which no request is answered any more.
  void Begin(absl::Duration time_for_requests);

  /// @return When the requests in progress are ended; infinite while there is
  ///     no shutdown.
  absl::Time requests_end_at() const { return this->end; }  // NOLINT

  /// @param arrived When the request arrived.
  /// @param deadline When the request is ended at the latest.
  /// @return True if the request ends before the shutdown does, or if it
  ///     arrived early in the shutdown and ends in time unless it takes longer
  ///     than all recent ones of its route.
  bool MayTake(std::string_view route,
               absl::Time arrived,
               absl::Time deadline) const;

 private:
  /// The longest answers of the current and the previous period.
  struct LongestAnswers {
    absl::Time period_start = absl::InfinitePast();
    absl::Duration current;
    absl::Duration previous;
  };

  const Clock& clock;
  absl::Time begin = absl::InfiniteFuture();
  absl::Time end = absl::InfiniteFuture();
  absl::flat_hash_map<std::string, LongestAnswers> routes;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_EXCHANGE_SHUTDOWN_ADMISSION_H_
