#include "cranberryhill/request/request_state_machine.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {

RequestStateMachine::RequestStateMachine(RequestSpec spec,
                                         RequestPolicy policy,
                                         RetryBudgets& retry_budgets,
                                         CrashStatusSource& crash_statuses)
    : request(std::move(spec)),
      policy(policy),
      retry_budgets(retry_budgets),
      crash_statuses(crash_statuses) {}

RequestStateMachine::Attempt* RequestStateMachine::FindRunning(
    AttemptNumber attempt) {
  for (Attempt& candidate : this->running_attempts) {
    if (candidate.number == attempt)
      return &candidate;
  }
  return nullptr;
}

void RequestStateMachine::RemoveRunning(AttemptNumber attempt) {
  std::erase_if(this->running_attempts,
                [attempt](const Attempt& a) { return a.number == attempt; });
}

RequestActions RequestStateMachine::Start(absl::Time now) {
  RequestActions actions;
  this->StartNext(StartKind::kRegular, now, actions);
  return actions;
}

void RequestStateMachine::StartNext(StartKind kind,
                                    absl::Time now,
                                    RequestActions& actions) {
  CrashStatus status =
      this->crash_statuses.StatusOf(this->request.fingerprint, now);
  if (status == CrashStatus::kQuarantined) {
    this->CancelAll(actions);
    // Requests with this fingerprint have run and crashed engines, through this
    // instance or another one, so the outcome "not run" would be misleading.
    this->may_have_run = true;
    this->Fail(FailureCode::kCrashesEngines,
               "this request crashed two engines and is not run again",
               absl::ZeroDuration(), actions);
    return;
  }
  this->waiting = false;
  Attempt attempt;
  attempt.number = ++this->last_attempt;
  attempt.resume_from = this->next_token_index;
  attempt.replacement = kind == StartKind::kReplacement;
  attempt.started_at = now;
  attempt.last_progress_at = now;
  attempt.first_token = this->policy.default_first_token_time;
  this->running_attempts.push_back(attempt);
  actions.emplace_back(StartAttempt{
      attempt.number, attempt.resume_from, status == CrashStatus::kSuspect,
      kind == StartKind::kHedge, this->engines_tried});
}

RequestActions RequestStateMachine::OnPlaced(AttemptNumber attempt,
                                             std::string_view engine,
                                             absl::Duration first_token,
                                             absl::Duration token_gap,
                                             absl::Time now) {
  Attempt* placed = this->FindRunning(attempt);
  if (this->ended || placed == nullptr)
    return {};
  if (placed->has_delivered_token) {
    // The stream was handed over. The new engine has to deliver a first token
    // of its own.
    placed->has_delivered_token = false;
    placed->resume_from = this->next_token_index;
  }
  placed->engine = engine;
  placed->started_at = now;
  placed->last_progress_at = now;
  placed->first_token = first_token;
  placed->token_gap = token_gap;
  RequestActions actions;
  if (!placed->replacement)
    return actions;
  placed->replacement = false;
  // Two engines may continue an answer differently, so the old attempt must not
  // deliver any token that the replacement also delivers.
  if (placed->resume_from == this->next_token_index)
    this->CancelOthers(attempt, actions);
  else
    actions =
        this->OnAttemptFailed(attempt, AttemptFailure::kMalformedStream, now);
  return actions;
}

RequestActions RequestStateMachine::OnNoEngineAvailable(AttemptNumber attempt,
                                                        absl::Time now) {
  RequestActions actions;
  Attempt* running_attempt = this->FindRunning(attempt);
  if (this->ended || running_attempt == nullptr)
    return actions;
  this->RemoveRunning(attempt);
  // The attempt was never placed, so its number can be used again.
  if (attempt == this->last_attempt)
    --this->last_attempt;
  if (!this->running_attempts.empty())
    return actions;
  if (!this->waiting) {
    this->waiting = true;
    if (this->waiting_since == absl::Time())
      this->waiting_since = now;
  }
  this->needs_retry_budget = false;
  this->next_retry_at = now + this->policy.retry_interval;
  return actions;
}

RequestActions RequestStateMachine::OnToken(AttemptNumber attempt,
                                            uint32_t index,
                                            std::string_view token,
                                            absl::Time now) {
  RequestActions actions;
  Attempt* source = this->FindRunning(attempt);
  if (this->ended || source == nullptr || index < this->next_token_index) {
    ++this->dropped_count;
    return actions;
  }
  if (index > this->next_token_index) {
    // The stream skipped tokens, which it will not deliver any more.
    ++this->dropped_count;
    return this->OnAttemptFailed(attempt, AttemptFailure::kMalformedStream,
                                 now);
  }
  source->has_delivered_token = true;
  // The engine may later answer that it did not run the request, although it
  // has delivered a token.
  this->may_have_run = true;
  source->last_progress_at = now;
  this->waiting_since = absl::Time();
  this->CancelOthers(attempt, actions);
  ++this->next_token_index;
  actions.emplace_back(ForwardToken{index, std::string(token)});
  return actions;
}

RequestActions RequestStateMachine::OnDone(AttemptNumber attempt,
                                           std::string_view finish_reason,
                                           absl::Time now) {
  RequestActions actions;
  Attempt* source = this->FindRunning(attempt);
  if (this->ended || source == nullptr)
    return actions;
  // If another attempt has delivered tokens since this one started, the end of
  // this one must not end the answer early. This cannot happen to an
  // attempt that has delivered a token, because it has cancelled all others.
  if (!source->has_delivered_token &&
      source->resume_from != this->next_token_index)
    return this->OnAttemptFailed(attempt, AttemptFailure::kMalformedStream,
                                 now);
  this->CancelOthers(attempt, actions);
  this->running_attempts.clear();
  this->ended = true;
  actions.emplace_back(FinishAnswer{std::string(finish_reason)});
  return actions;
}

RequestActions RequestStateMachine::OnAttemptFailed(AttemptNumber attempt,
                                                    AttemptFailure failure,
                                                    absl::Time now) {
  RequestActions actions;
  Attempt* failed = this->FindRunning(attempt);
  if (this->ended || failed == nullptr)
    return actions;
  if (!failed->engine.empty())
    this->engines_tried.push_back(failed->engine);
  if (failure == AttemptFailure::kMalformedStream)
    actions.emplace_back(CancelAttempt{attempt});
  if (failure != AttemptFailure::kNotSent &&
      failure != AttemptFailure::kRefused) {
    this->may_have_run = true;
  }
  this->RemoveRunning(attempt);
  if (!this->running_attempts.empty())
    return actions;
  this->RetryOrWait(now, actions);
  return actions;
}

void RequestStateMachine::RetryOrWait(absl::Time now, RequestActions& actions) {
  if (this->last_attempt >= this->policy.max_attempts) {
    this->Fail(FailureCode::kTooManyAttempts,
               "the maximum number of attempts was reached; all of them failed",
               absl::Seconds(1), actions);
    return;
  }
  if (this->retry_budgets.TryRetry(now)) {
    this->StartNext(StartKind::kRegular, now, actions);
    return;
  }
  if (!this->waiting && this->waiting_since == absl::Time())
    this->waiting_since = now;
  this->waiting = true;
  this->needs_retry_budget = true;
  this->next_retry_at = now + this->policy.retry_interval;
}

RequestActions RequestStateMachine::MoveFromEngine(std::string_view engine,
                                                   absl::Time now) {
  RequestActions actions;
  if (this->ended || this->running_attempts.size() != 1 ||
      this->running_attempts.front().engine != engine) {
    return actions;
  }
  // A quarantined request may finish on its present engine but must not run on
  // another one.
  if (this->crash_statuses.StatusOf(this->request.fingerprint, now) ==
      CrashStatus::kQuarantined) {
    return actions;
  }
  // The move may be attempted many times until another engine is free, but the
  // present engine is recorded only once.
  if (std::find(this->engines_tried.begin(), this->engines_tried.end(),
                engine) == this->engines_tried.end()) {
    this->engines_tried.emplace_back(engine);
  }
  this->StartNext(StartKind::kReplacement, now, actions);
  return actions;
}

RequestActions RequestStateMachine::OnCallerDisconnected(absl::Time) {
  RequestActions actions;
  if (this->ended)
    return actions;
  this->CancelAll(actions);
  this->ended = true;
  return actions;
}

RequestActions RequestStateMachine::Tick(absl::Time now) {
  RequestActions actions;
  if (this->ended)
    return actions;
  if (now >= this->request.deadline) {
    this->CancelAll(actions);
    this->Fail(FailureCode::kDeadlineExceeded,
               "the request's deadline has passed", absl::ZeroDuration(),
               actions);
    return actions;
  }
  this->ResumeStalledAttempts(now, actions);
  this->StartHedgeIfSlow(now, actions);
  if (!this->ended && this->waiting && now >= this->next_retry_at)
    this->RetryOrFailWaiting(now, actions);
  return actions;
}

void RequestStateMachine::RetryOrFailWaiting(absl::Time now,
                                             RequestActions& actions) {
  if (now - this->waiting_since >= this->policy.max_wait) {
    this->Fail(FailureCode::kNoEngineAvailable,
               "no engine could take the request", absl::Seconds(2), actions);
    return;
  }
  if (this->needs_retry_budget && !this->retry_budgets.TryRetry(now)) {
    this->next_retry_at = now + this->policy.retry_interval;
    return;
  }
  this->StartNext(StartKind::kRegular, now, actions);
}

bool RequestStateMachine::IsStalled(const Attempt& attempt,
                                    absl::Time now) const {
  if (attempt.engine.empty())
    return false;
  absl::Duration expected =
      attempt.has_delivered_token ? attempt.token_gap : attempt.first_token;
  absl::Duration stall_timeout =
      std::max(this->policy.min_stall_timeout,
               this->policy.stall_timeout_factor * expected);
  return now - attempt.last_progress_at > stall_timeout;
}

void RequestStateMachine::ResumeStalledAttempts(absl::Time now,
                                                RequestActions& actions) {
  std::vector<AttemptNumber> stalled;
  for (const Attempt& attempt : this->running_attempts) {
    if (this->IsStalled(attempt, now))
      stalled.push_back(attempt.number);
  }
  for (AttemptNumber number : stalled) {
    actions.emplace_back(CancelAttempt{number});
    RequestActions failure_actions =
        this->OnAttemptFailed(number, AttemptFailure::kConnectionLost, now);
    std::move(failure_actions.begin(), failure_actions.end(),
              std::back_inserter(actions));
  }
}

void RequestStateMachine::StartHedgeIfSlow(absl::Time now,
                                           RequestActions& actions) {
  if (this->ended || this->hedge_considered ||
      this->running_attempts.size() != 1 || this->next_token_index != 0) {
    return;
  }
  const Attempt& single_attempt = this->running_attempts.front();
  if (single_attempt.engine.empty() ||
      now - single_attempt.started_at <
          this->policy.hedge_factor * single_attempt.first_token) {
    return;
  }
  // A suspect request must run alone, so it gets no hedged attempt.
  if (this->crash_statuses.StatusOf(this->request.fingerprint, now) !=
      CrashStatus::kClean) {
    return;
  }
  this->hedge_considered = true;
  if (!this->retry_budgets.TryHedge(now))
    return;
  std::string engine = single_attempt.engine;
  this->engines_tried.push_back(engine);
  this->StartNext(StartKind::kHedge, now, actions);
  // The slower engine has not failed, so a later attempt may use it again.
  std::erase(this->engines_tried, engine);
}

void RequestStateMachine::CancelOthers(AttemptNumber winner,
                                       RequestActions& actions) {
  for (const Attempt& attempt : this->running_attempts) {
    if (attempt.number == winner)
      continue;
    this->may_have_run |= !attempt.engine.empty();
    actions.emplace_back(CancelAttempt{attempt.number});
  }
  std::erase_if(this->running_attempts,
                [winner](const Attempt& a) { return a.number != winner; });
}

void RequestStateMachine::CancelAll(RequestActions& actions) {
  for (const Attempt& attempt : this->running_attempts) {
    this->may_have_run |= !attempt.engine.empty();
    actions.emplace_back(CancelAttempt{attempt.number});
  }
  this->running_attempts.clear();
}

void RequestStateMachine::Fail(FailureCode code,
                               std::string_view message,
                               absl::Duration retry_after,
                               RequestActions& actions) {
  this->ended = true;
  actions.emplace_back(FinishFailure{
      this->may_have_run ? RunOutcome::kRunFailed : RunOutcome::kNotRun, code,
      std::string(message), retry_after});
}

}  // namespace cranberryhill
