#ifndef CRANBERRYHILL_CALLS_CALL_GUARD_H_
#define CRANBERRYHILL_CALLS_CALL_GUARD_H_

// Runs calls of one instance at most once across all instances, by claims in
// the table service.
//
//   CallGuard guard({.environment = "e", .owner = "entry-2/17"}, clock,
//                   wall_clock, random, table, objects, sender, owners);
//   guard.Submit(call, [](const CallAnswer& answer) { ... });
//   guard.Tick();  // at least every 100 ms

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/calls/call.h"
#include "cranberryhill/calls/call_sender.h"
#include "cranberryhill/calls/owner_view.h"
#include "cranberryhill/table/object_store.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct CallGuardConfig {
  std::string environment;
  std::string owner;  ///< Instance and incarnation; differs after a restart.

  double max_claims_per_second = 60;
  size_t max_running = 1000;  ///< Calls that this instance handles at a time.
  /// Results that wait to be written; above it new calls are refused.
  size_t max_unwritten_bytes = 16U << 20U;
  /// Larger results go to the object store.
  size_t max_row_result_bytes = 16U << 10U;
  /// An owner counts as gone this long after its call's deadline.
  absl::Duration owner_grace = absl::Seconds(30);
  /// A call may not run longer; keeps deadlines far below the retention.
  absl::Duration max_call_time = absl::Minutes(10);
  /// The answer waits this long for the result, or the release of the claim,
  /// to be written.
  absl::Duration write_wait = absl::Milliseconds(500);
  absl::Duration poll_first = absl::Milliseconds(50);
  absl::Duration poll_max = absl::Seconds(1);
  absl::Duration retry_first = absl::Milliseconds(100);
  absl::Duration retry_max = absl::Seconds(5);
};

/// Counters since the start.
struct CallGuardStats {
  uint64_t submitted = 0;
  uint64_t claims = 0;  ///< Claim commits sent.
  uint64_t sends = 0;   ///< Calls handed to the sender.
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t stored_answers = 0;  ///< Repeats that got a stored result.
  uint64_t key_reused = 0;
  uint64_t in_progress = 0;
  uint64_t refused_by_rate = 0;
  uint64_t writes_retried = 0;
};

/// Core thread only. Callbacks that come after the destruction are ignored.
class CallGuard {
 public:
  /// @param clock Deadlines of calls are readings of this clock; thread-safe
  /// when the sender uses threads.
  /// @param wall_clock Stamps rows for their deletion, nothing else.
  /// All references must outlive this object.
  CallGuard(CallGuardConfig config,
            const Clock& clock,
            const Clock& wall_clock,
            Random& random,
            TableService& table,
            ObjectStore& objects,
            CallSender& sender,
            const OwnerView& owners);
  ~CallGuard();

  CallGuard(const CallGuard&) = delete;
  CallGuard& operator=(const CallGuard&) = delete;

  /// Runs a call at most once, or answers a repeat from its first run.
  /// @param call Needs a customer and an Idempotency-Key; other calls are
  /// refused.
  /// @param callback Runs exactly once, during or after this call, unless the
  /// guard is destroyed before.
  ///
  /// A refusal with kNotRun is true of this request and of every request with
  /// its key that had ended before this one came: none ran, and none will.
  /// A request has ended when it was answered, its instance is gone or its
  /// deadline has passed. Requests with one key that overlap each speak for
  /// themselves.
  void Submit(ServiceCall call, CallCallback callback);

  /// Runs what has fallen due: polls, retries of writes, deadlines.
  void Tick();

  /// @return Calls that are not answered, or whose row is not yet final.
  size_t unfinished() const;  // NOLINT

  const CallGuardStats& stats() const;  // NOLINT

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_GUARD_H_
