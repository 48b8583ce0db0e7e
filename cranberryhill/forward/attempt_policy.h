#ifndef CRANBERRYHILL_FORWARD_ATTEMPT_POLICY_H_
#define CRANBERRYHILL_FORWARD_ATTEMPT_POLICY_H_

// Decides what follows when an attempt to serve a request at a replica ended
// without an answer for the caller: send the request to another replica, resume
// the stream there, or answer the caller. Performs no I/O and reads no clock.
// Each request has its own object.
//
//   AttemptPolicy policy(route);
//   policy.OnSent("i-7f3a");
//   NextStep step =
//       policy.DecideNextStep(AttemptOutcome::kBroken, progress, budget_left);

#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/forward/configuration.h"

namespace cranberryhill::forward {

/// How one attempt at a replica ended.
enum class AttemptOutcome {
  kNotSent,   ///< No connection was made; nothing reached the replica.
  kNotRun,    ///< The replica states that it did not run the request.
  kFailed,    ///< The replica ran the request and answered with a failure.
  kBroken,    ///< The answer is missing or incomplete; the request may have
              ///< run.
  kTimedOut,  ///< The gateway ended the attempt for lack of progress; the
              ///< request may have run.
};

/// What the caller has received of the answer.
enum class AnswerProgress {
  kNotStarted,
  kStreamStarted,  ///< The head of a stream and possibly some of its events.
};

enum class NextStep {
  kSendAgain,      ///< Send the request to another replica from the beginning.
  kResume,         ///< Send it to another replica, which continues after the
                   ///< last complete event.
  kRefuse,         ///< Answer that the request has not run and will not run.
  kPassFailure,    ///< Relay the failure that the replica answered.
  kAnswerUnknown,  ///< Answer that the request failed and may have run.
  kCutStream,      ///< Abort the stream so that the caller does not take it for
                   ///< complete.
};

/// @return The name that logs and metrics use.
std::string_view AttemptOutcomeName(AttemptOutcome outcome);
std::string_view NextStepName(NextStep step);

class AttemptPolicy {
 public:
  explicit AttemptPolicy(const Route& route)
      : may_repeat(route.MayRepeat()),
        may_resume(route.kind == RequestKind::kStream && route.resumable),
        max_replicas(route.max_replicas) {}

  /// Records that the request is being sent to a replica to be run.
  void OnSent(std::string_view replica_id);

  /// @return True when the request may be sent to one more replica, or to
  ///     `replica_id` again.
  bool MaySendTo(std::string_view replica_id) const;

  /// @param budget_left True when the retry budget and the deadline allow
  ///     another attempt.
  NextStep DecideNextStep(AttemptOutcome outcome,
                          AnswerProgress progress,
                          bool budget_left);

  /// Records that an attempt has ended beside a later one, which decides what
  /// follows.
  void OnGivenUp(AttemptOutcome outcome);

  /// @return True when the request may have run in one of its attempts.
  bool MayHaveRun() const { return this->may_have_run; }

  /// @return The replicas that the request was sent to.
  const std::vector<std::string>& replicas() const {  // NOLINT
    return this->sent_to;
  }

 private:
  bool MayUseAnotherReplica() const {
    return this->sent_to.size() < static_cast<size_t>(this->max_replicas);
  }

  const bool may_repeat;
  const bool may_resume;
  const int max_replicas;
  std::vector<std::string> sent_to;
  bool last_is_new = false;  // The last send was the first to its replica.
  bool may_have_run = false;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_ATTEMPT_POLICY_H_
