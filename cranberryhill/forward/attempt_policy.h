#ifndef CRANBERRYHILL_FORWARD_ATTEMPT_POLICY_H_
#define CRANBERRYHILL_FORWARD_ATTEMPT_POLICY_H_

// What to do after a send of a request to a replica ended without an answer
// for the caller: send it elsewhere, resume the stream, or answer the caller.
// Free of I/O and time; one object per request.
//
//   AttemptPolicy policy(route);
//   policy.OnSent("i-7f3a");
//   switch (policy.After(SendOutcome::kBroken, progress)) ...

#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/forward/configuration.h"

namespace cranberryhill::forward {

/// How one send to a replica ended.
enum class SendOutcome {
  kNotSent,   ///< No connection; nothing reached the replica.
  kNotRun,    ///< The replica says that it did not run the request.
  kFailed,    ///< The replica answered with a failure after it ran.
  kBroken,    ///< No whole answer; the request may have run.
  kTimedOut,  ///< Ended by us for lack of progress; it may have run.
};

/// What the caller has of the answer.
enum class AnswerProgress {
  kNothing,
  kEvents,  ///< The head and possibly events of a stream.
};

enum class NextStep {
  kSendAgain,      ///< To another replica, from the beginning.
  kResume,         ///< To another replica, after the last whole event.
  kRefuse,         ///< Answer: the request has not run and never will.
  kPassFailure,    ///< Answer with the replica's own failure.
  kAnswerUnknown,  ///< Answer: failed, and it may have run.
  kCutStream,      ///< End the stream so that it does not look complete.
};

/// @return Names for logs and metrics.
std::string_view SendOutcomeName(SendOutcome outcome);
std::string_view NextStepName(NextStep step);

class AttemptPolicy {
 public:
  explicit AttemptPolicy(const Route& route)
      : may_repeat(route.MayRepeat()),
        may_resume(route.kind == RequestKind::kStream && route.resumable),
        max_replicas(route.max_replicas) {}

  /// Records that the request is on its way to a replica to be run.
  void OnSent(std::string_view replica_id);

  /// @return True when the request may be sent to one more replica, or to
  ///     `replica_id` again.
  bool MaySendTo(std::string_view replica_id) const;

  /// @param budget_left Another send fits in the retry budget and the
  ///     deadline.
  NextStep After(SendOutcome outcome,
                 AnswerProgress progress,
                 bool budget_left);

  /// @return True when some send may have run.
  bool MayHaveRun() const { return this->may_have_run; }

  /// @return Replicas the request was sent to.
  const std::vector<std::string>& replicas() const {  // NOLINT
    return this->sent_to;
  }

 private:
  bool ReplicaLeft() const {
    return this->sent_to.size() < static_cast<size_t>(this->max_replicas);
  }

  const bool may_repeat;
  const bool may_resume;
  const int max_replicas;
  std::vector<std::string> sent_to;
  bool may_have_run = false;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_ATTEMPT_POLICY_H_
