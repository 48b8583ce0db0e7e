#include "cranberryhill/daemon/internal/refusals.h"

namespace cranberryhill::internal {
namespace {

RefusalCode CodeOf(FailureCode code) {
  switch (code) {
    case FailureCode::kDeadlineExceeded:
      return RefusalCode::kDeadlineExpired;
    case FailureCode::kNoEngineAvailable:
      return RefusalCode::kNoBackendServer;
    case FailureCode::kCrashesEngines:
      return RefusalCode::kCrashesEngines;
    case FailureCode::kTooManyAttempts:
      return RefusalCode::kBackendFailed;
  }
  return RefusalCode::kInternal;
}

RefusalOutcome OutcomeOf(RunOutcome outcome) {
  switch (outcome) {
    case RunOutcome::kNotRun:
      return RefusalOutcome::kNotRun;
    case RunOutcome::kRunFailed:
      return RefusalOutcome::kRunFailed;
    case RunOutcome::kUnknown:
      return RefusalOutcome::kUnknown;
  }
  return RefusalOutcome::kUnknown;
}

}  // namespace

Refusal RefusalOf(const FinishFailure& failure) {
  Refusal refusal = MakeRefusal(CodeOf(failure.code),
                                OutcomeOf(failure.outcome), failure.message);
  if (failure.retry_after > absl::ZeroDuration())
    refusal.retry_after = failure.retry_after;
  return refusal;
}

}  // namespace cranberryhill::internal
