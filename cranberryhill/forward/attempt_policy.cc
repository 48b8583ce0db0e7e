#include "cranberryhill/forward/attempt_policy.h"

#include <algorithm>

namespace cranberryhill::forward {

std::string_view AttemptOutcomeName(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kNotSent:
      return "not_sent";
    case AttemptOutcome::kNotRun:
      return "not_run";
    case AttemptOutcome::kFailed:
      return "failed";
    case AttemptOutcome::kBroken:
      return "broken";
    case AttemptOutcome::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

std::string_view NextStepName(NextStep step) {
  switch (step) {
    case NextStep::kSendAgain:
      return "send_again";
    case NextStep::kResume:
      return "resume";
    case NextStep::kRefuse:
      return "refuse";
    case NextStep::kPassFailure:
      return "pass_failure";
    case NextStep::kAnswerUnknown:
      return "answer_unknown";
    case NextStep::kCutStream:
      return "cut_stream";
  }
  return "unknown";
}

void AttemptPolicy::OnSent(std::string_view replica_id) {
  this->last_is_new = std::find(this->sent_to.begin(), this->sent_to.end(),
                                replica_id) == this->sent_to.end();
  if (this->last_is_new)
    this->sent_to.emplace_back(replica_id);
}

bool AttemptPolicy::MaySendTo(std::string_view replica_id) const {
  return this->MayUseAnotherReplica() ||
         std::find(this->sent_to.begin(), this->sent_to.end(), replica_id) !=
             this->sent_to.end();
}

void AttemptPolicy::OnGivenUp(AttemptOutcome outcome) {
  if (outcome != AttemptOutcome::kNotSent && outcome != AttemptOutcome::kNotRun)
    this->may_have_run = true;
}

NextStep AttemptPolicy::DecideNextStep(AttemptOutcome outcome,
                                       AnswerProgress progress,
                                       bool budget_left) {
  if (outcome == AttemptOutcome::kNotSent && this->last_is_new)
    this->sent_to.pop_back();
  this->OnGivenUp(outcome);
  bool may_send_again = budget_left && this->MayUseAnotherReplica() &&
                        (!this->may_have_run || this->may_repeat);
  if (progress == AnswerProgress::kStreamStarted)
    return may_send_again && this->may_resume ? NextStep::kResume
                                              : NextStep::kCutStream;
  if (may_send_again)
    return NextStep::kSendAgain;
  if (outcome == AttemptOutcome::kFailed)
    return NextStep::kPassFailure;
  return this->may_have_run ? NextStep::kAnswerUnknown : NextStep::kRefuse;
}

}  // namespace cranberryhill::forward
