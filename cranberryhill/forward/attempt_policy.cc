#include "cranberryhill/forward/attempt_policy.h"

#include <algorithm>

namespace cranberryhill::forward {

std::string_view SendOutcomeName(SendOutcome outcome) {
  switch (outcome) {
    case SendOutcome::kNotSent:
      return "not_sent";
    case SendOutcome::kNotRun:
      return "not_run";
    case SendOutcome::kFailed:
      return "failed";
    case SendOutcome::kBroken:
      return "broken";
    case SendOutcome::kTimedOut:
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
  if (std::find(this->sent_to.begin(), this->sent_to.end(), replica_id) ==
      this->sent_to.end())
    this->sent_to.emplace_back(replica_id);
}

bool AttemptPolicy::MaySendTo(std::string_view replica_id) const {
  return this->ReplicaLeft() ||
         std::find(this->sent_to.begin(), this->sent_to.end(), replica_id) !=
             this->sent_to.end();
}

NextStep AttemptPolicy::After(SendOutcome outcome,
                              AnswerProgress progress,
                              bool budget_left) {
  if (outcome == SendOutcome::kNotSent && !this->sent_to.empty())
    this->sent_to.pop_back();
  bool unsafe =
      outcome != SendOutcome::kNotSent && outcome != SendOutcome::kNotRun;
  this->may_have_run = this->may_have_run || unsafe;
  bool another = budget_left && this->ReplicaLeft() &&
                 (!this->may_have_run || this->may_repeat);
  if (progress == AnswerProgress::kEvents)
    return another && this->may_resume ? NextStep::kResume
                                       : NextStep::kCutStream;
  if (another)
    return NextStep::kSendAgain;
  if (outcome == SendOutcome::kFailed)
    return NextStep::kPassFailure;
  return this->may_have_run ? NextStep::kAnswerUnknown : NextStep::kRefuse;
}

}  // namespace cranberryhill::forward
