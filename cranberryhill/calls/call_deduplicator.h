#ifndef CRANBERRYHILL_CALLS_CALL_DEDUPLICATOR_H_
#define CRANBERRYHILL_CALLS_CALL_DEDUPLICATOR_H_

// Ensures that a call with an Idempotency-Key runs at most once, whichever
// instance receives it. An instance claims the key with a row in the table
// service before it sends the call, and repeats get the stored result.
//
//   CallDeduplicator deduplicator(
//       {.environment = "e", .owner = "entry-2/17"}, clock, wall_clock, random,
//       table, objects, sender, owners);
//   deduplicator.Submit(call, [](const CallAnswer& answer) { ... });
//   deduplicator.Tick();  // At least every 100 ms.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/calls/call.h"
#include "cranberryhill/calls/call_sender.h"
#include "cranberryhill/calls/owner_liveness.h"
#include "cranberryhill/table/object_store.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct CallDeduplicatorConfig {
  std::string environment;
  std::string owner;  ///< Instance and incarnation; a restart changes it.

  double max_claims_per_second = 60;
  size_t max_unanswered = 1000;  ///< Requests that may wait for an answer.
  /// Maximum total size of the results that are not yet written. While it is
  /// reached, no new call is started.
  size_t max_unwritten_bytes = 16U << 20U;
  /// Result bodies larger than this are written to the object store.
  size_t max_row_result_bytes = 16U << 10U;
  /// A claim that is still unfinished this long after its call's deadline is
  /// answered as "unknown", because its owner is then assumed to have ended.
  absl::Duration owner_grace_period = absl::Seconds(30);
  /// Maximum time from Submit() to the deadline. Later deadlines are shortened
  /// to it, so that calls end long before the retention of their rows.
  absl::Duration max_call_time = absl::Minutes(10);
  /// Maximum time that an answer waits until the result or the release of the
  /// claim has been written.
  absl::Duration max_answer_delay = absl::Milliseconds(500);
  /// Bounds of the exponential backoff between reads of another owner's claim.
  absl::Duration initial_poll_delay = absl::Milliseconds(50);
  absl::Duration max_poll_delay = absl::Seconds(1);
  /// Bounds of the exponential backoff before a failed write or fetch is
  /// retried.
  absl::Duration initial_retry_delay = absl::Milliseconds(100);
  absl::Duration max_retry_delay = absl::Seconds(5);
};

/// Counts since the start.
struct CallDeduplicatorStats {
  uint64_t submitted = 0;
  uint64_t claims = 0;  ///< Commits sent that claim a key.
  uint64_t sends = 0;   ///< Calls passed to the CallSender.
  /// Requests that got a result directly from the backend server's response.
  uint64_t answered = 0;
  uint64_t not_run = 0;  ///< Refusals with kNotRun, except key_reused.
  uint64_t unknown = 0;  ///< Refusals with kUnknown, except in_progress.
  /// Requests that got a result that was read from the call's row.
  uint64_t stored_answers = 0;
  uint64_t key_reused = 0;   ///< Refusals with kKeyReused.
  uint64_t in_progress = 0;  ///< Refusals with kInProgress.
  /// Calls that were not allowed to claim their key, because of
  /// max_claims_per_second or max_unwritten_bytes.
  uint64_t claims_refused = 0;
  uint64_t retries = 0;  ///< Failed writes and fetches; each is retried.
};

/// Used on the core thread only. Answers of the table service, the object store
/// and the sender that arrive after the destruction are ignored.
class CallDeduplicator {
 public:
  /// @param clock The deadlines of calls refer to this clock. It must be
  /// thread-safe if the sender uses threads.
  /// @param wall_clock Gives the time at which each row was written, from which
  /// CallCleaner computes the age of the row.
  /// All references must outlive this object.
  CallDeduplicator(CallDeduplicatorConfig config,
                   const Clock& clock,
                   const Clock& wall_clock,
                   Random& random,
                   TableService& table,
                   ObjectStore& objects,
                   CallSender& sender,
                   const OwnerLiveness& owners);
  ~CallDeduplicator();

  CallDeduplicator(const CallDeduplicator&) = delete;
  CallDeduplicator& operator=(const CallDeduplicator&) = delete;

  /// Runs a call at most once. A repeat gets the result of the first run.
  /// @param call Must have a customer and an Idempotency-Key; other calls are
  /// refused.
  /// @param callback Runs exactly once, during Submit() or later, unless this
  /// object is destroyed first.
  ///
  /// A refusal with kNotRun covers this request and every request with its key
  /// that ended before this one was submitted: none of them has run or will
  /// run. A request ends when it is answered, its instance ends or its deadline
  /// passes. It says nothing about other requests with the key that were in
  /// progress at the same time.
  void Submit(ServiceCall call, CallCallback callback);

  /// Runs the polls and retries that are due, and answers requests whose
  /// deadline has passed.
  void Tick();

  /// @return The number of calls that are not answered or whose row does not
  /// yet have its final state.
  size_t unfinished() const;  // NOLINT

  const CallDeduplicatorStats& stats() const;  // NOLINT

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_DEDUPLICATOR_H_
