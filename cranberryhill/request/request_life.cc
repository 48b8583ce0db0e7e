#include "cranberryhill/request/request_life.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {

RequestLife::RequestLife(RequestSpec spec,
                         RequestPolicy policy,
                         RetryPermits& permits,
                         CrashStandings& standings)
    : request(std::move(spec)),
      policy(policy),
      permits(permits),
      standings(standings) {}

RequestLife::Attempt* RequestLife::FindLive(AttemptNumber attempt) {
  for (Attempt& candidate : this->live) {
    if (candidate.number == attempt)
      return &candidate;
  }
  return nullptr;
}

void RequestLife::RemoveLive(AttemptNumber attempt) {
  std::erase_if(this->live,
                [attempt](const Attempt& a) { return a.number == attempt; });
}

RequestActions RequestLife::Start(absl::Time now) {
  RequestActions actions;
  this->StartNext(StartKind::kRegular, now, actions);
  return actions;
}

void RequestLife::StartNext(StartKind kind,
                            absl::Time now,
                            RequestActions& actions) {
  CrashStanding standing =
      this->standings.StandingOf(this->request.fingerprint, now);
  if (standing == CrashStanding::kCondemned) {
    this->CancelAll(actions);
    // The fingerprint has run and crashed its engines, through this instance
    // or another, so "not run" would be misleading.
    this->may_have_run = true;
    this->Fail(FailureCode::kCrashesEngines,
               "this request crashed two engines and is not run again",
               absl::ZeroDuration(), actions);
    return;
  }
  this->waiting = false;
  Attempt attempt;
  attempt.number = ++this->last_attempt;
  attempt.resume_from = this->next_token;
  attempt.replacement = kind == StartKind::kReplacement;
  attempt.started = now;
  attempt.last_progress = now;
  attempt.first_token = this->policy.default_first_token;
  this->live.push_back(attempt);
  actions.emplace_back(StartAttempt{attempt.number, attempt.resume_from,
                                    standing == CrashStanding::kSuspect,
                                    kind == StartKind::kHedge, this->tried});
}

RequestActions RequestLife::OnPlaced(AttemptNumber attempt,
                                     std::string_view engine,
                                     absl::Duration first_token,
                                     absl::Duration token_gap,
                                     absl::Time now) {
  Attempt* placed = this->FindLive(attempt);
  if (this->ended || placed == nullptr)
    return {};
  if (placed->delivered) {
    // A hand-over: the new engine has to deliver its own first token.
    placed->delivered = false;
    placed->resume_from = this->next_token;
  }
  placed->engine = engine;
  placed->started = now;
  placed->last_progress = now;
  placed->first_token = first_token;
  placed->token_gap = token_gap;
  RequestActions actions;
  if (!placed->replacement)
    return actions;
  placed->replacement = false;
  // Continuations of two engines may differ, so the old attempt must not
  // deliver any token that the replacement delivers too.
  if (placed->resume_from == this->next_token)
    this->CancelOthers(attempt, actions);
  else
    actions = this->OnAttemptFailed(attempt, AttemptFailure::kBadStream, now);
  return actions;
}

RequestActions RequestLife::OnNoEngine(AttemptNumber attempt, absl::Time now) {
  RequestActions actions;
  Attempt* live_attempt = this->FindLive(attempt);
  if (this->ended || live_attempt == nullptr)
    return actions;
  this->RemoveLive(attempt);
  // The attempt was never placed, so its number does not count.
  if (attempt == this->last_attempt)
    --this->last_attempt;
  if (!this->live.empty())
    return actions;
  if (!this->waiting) {
    this->waiting = true;
    if (this->waiting_since == absl::Time())
      this->waiting_since = now;
  }
  this->needs_permit = false;
  this->next_try = now + this->policy.retry_pause;
  return actions;
}

RequestActions RequestLife::OnToken(AttemptNumber attempt,
                                    uint32_t index,
                                    std::string_view token,
                                    absl::Time now) {
  RequestActions actions;
  Attempt* source = this->FindLive(attempt);
  if (this->ended || source == nullptr || index < this->next_token) {
    ++this->dropped;
    return actions;
  }
  if (index > this->next_token) {
    // A gap cannot be filled from this stream any more.
    ++this->dropped;
    return this->OnAttemptFailed(attempt, AttemptFailure::kBadStream, now);
  }
  source->delivered = true;
  // Set here too, because an engine may still claim later not to have run it.
  this->may_have_run = true;
  source->last_progress = now;
  this->waiting_since = absl::Time();
  this->CancelOthers(attempt, actions);
  ++this->next_token;
  actions.emplace_back(ForwardToken{index, std::string(token)});
  return actions;
}

RequestActions RequestLife::OnDone(AttemptNumber attempt,
                                   std::string_view finish_reason,
                                   absl::Time now) {
  RequestActions actions;
  Attempt* source = this->FindLive(attempt);
  if (this->ended || source == nullptr)
    return actions;
  // An attempt that is behind, because another one delivered meanwhile, must
  // not end the answer early. An attempt that delivered is never behind.
  if (!source->delivered && source->resume_from != this->next_token)
    return this->OnAttemptFailed(attempt, AttemptFailure::kBadStream, now);
  this->CancelOthers(attempt, actions);
  this->live.clear();
  this->ended = true;
  actions.emplace_back(FinishAnswer{std::string(finish_reason)});
  return actions;
}

RequestActions RequestLife::OnAttemptFailed(AttemptNumber attempt,
                                            AttemptFailure failure,
                                            absl::Time now) {
  RequestActions actions;
  Attempt* failed = this->FindLive(attempt);
  if (this->ended || failed == nullptr)
    return actions;
  if (!failed->engine.empty())
    this->tried.push_back(failed->engine);
  if (failure == AttemptFailure::kBadStream)
    actions.emplace_back(CancelAttempt{attempt});
  if (failure != AttemptFailure::kNotSent &&
      failure != AttemptFailure::kRefused) {
    this->may_have_run = true;
  }
  this->RemoveLive(attempt);
  if (!this->live.empty())
    return actions;
  this->RetryOrWait(now, actions);
  return actions;
}

void RequestLife::RetryOrWait(absl::Time now, RequestActions& actions) {
  if (this->last_attempt >= this->policy.max_attempts) {
    this->Fail(FailureCode::kTooManyAttempts,
               "every attempt on an engine failed", absl::Seconds(1), actions);
    return;
  }
  if (this->permits.TryRetry(now)) {
    this->StartNext(StartKind::kRegular, now, actions);
    return;
  }
  if (!this->waiting && this->waiting_since == absl::Time())
    this->waiting_since = now;
  this->waiting = true;
  this->needs_permit = true;
  this->next_try = now + this->policy.retry_pause;
}

RequestActions RequestLife::OnMoveAway(std::string_view engine,
                                       absl::Time now) {
  RequestActions actions;
  if (this->ended || this->live.size() != 1 ||
      this->live.front().engine != engine) {
    return actions;
  }
  // A condemned request may end where it runs, but must not run elsewhere.
  if (this->standings.StandingOf(this->request.fingerprint, now) ==
      CrashStanding::kCondemned) {
    return actions;
  }
  // There may be many tries until another engine is free.
  if (std::find(this->tried.begin(), this->tried.end(), engine) ==
      this->tried.end()) {
    this->tried.emplace_back(engine);
  }
  this->StartNext(StartKind::kReplacement, now, actions);
  return actions;
}

RequestActions RequestLife::OnCallerGone(absl::Time) {
  RequestActions actions;
  if (this->ended)
    return actions;
  this->CancelAll(actions);
  this->ended = true;
  return actions;
}

RequestActions RequestLife::Tick(absl::Time now) {
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
  this->CheckStalls(now, actions);
  this->CheckHedge(now, actions);
  if (!this->ended && this->waiting && now >= this->next_try)
    this->GiveUpWaiting(now, actions);
  return actions;
}

void RequestLife::GiveUpWaiting(absl::Time now, RequestActions& actions) {
  if (now - this->waiting_since >= this->policy.max_wait) {
    this->Fail(FailureCode::kNoEngineAvailable,
               "no engine could take the request", absl::Seconds(2), actions);
    return;
  }
  if (this->needs_permit && !this->permits.TryRetry(now)) {
    this->next_try = now + this->policy.retry_pause;
    return;
  }
  this->StartNext(StartKind::kRegular, now, actions);
}

bool RequestLife::StalledAt(const Attempt& attempt, absl::Time now) const {
  if (attempt.engine.empty())
    return false;
  absl::Duration expected =
      attempt.delivered ? attempt.token_gap : attempt.first_token;
  absl::Duration bound = std::max(this->policy.min_stall,
                                  this->policy.stall_gap_factor * expected);
  return now - attempt.last_progress > bound;
}

void RequestLife::CheckStalls(absl::Time now, RequestActions& actions) {
  std::vector<AttemptNumber> stalled;
  for (const Attempt& attempt : this->live) {
    if (this->StalledAt(attempt, now))
      stalled.push_back(attempt.number);
  }
  for (AttemptNumber number : stalled) {
    actions.emplace_back(CancelAttempt{number});
    RequestActions more =
        this->OnAttemptFailed(number, AttemptFailure::kConnectionLost, now);
    std::move(more.begin(), more.end(), std::back_inserter(actions));
  }
}

void RequestLife::CheckHedge(absl::Time now, RequestActions& actions) {
  if (this->ended || this->hedged || this->live.size() != 1 ||
      this->next_token != 0) {
    return;
  }
  const Attempt& only = this->live.front();
  if (only.engine.empty() ||
      now - only.started < this->policy.hedge_factor * only.first_token) {
    return;
  }
  // A suspect must run alone, so it is never hedged.
  if (this->standings.StandingOf(this->request.fingerprint, now) !=
      CrashStanding::kClear) {
    return;
  }
  this->hedged = true;
  if (!this->permits.TryHedge(now))
    return;
  std::string engine = only.engine;
  this->tried.push_back(engine);
  this->StartNext(StartKind::kHedge, now, actions);
  // The slower engine has not failed; a later attempt may use it again.
  std::erase(this->tried, engine);
}

void RequestLife::CancelOthers(AttemptNumber winner, RequestActions& actions) {
  for (const Attempt& attempt : this->live) {
    if (attempt.number == winner)
      continue;
    this->may_have_run |= !attempt.engine.empty();
    actions.emplace_back(CancelAttempt{attempt.number});
  }
  std::erase_if(this->live,
                [winner](const Attempt& a) { return a.number != winner; });
}

void RequestLife::CancelAll(RequestActions& actions) {
  for (const Attempt& attempt : this->live) {
    this->may_have_run |= !attempt.engine.empty();
    actions.emplace_back(CancelAttempt{attempt.number});
  }
  this->live.clear();
}

void RequestLife::Fail(FailureCode code,
                       std::string_view message,
                       absl::Duration retry_after,
                       RequestActions& actions) {
  this->ended = true;
  actions.emplace_back(FinishFailure{
      this->may_have_run ? RunOutcome::kRunFailed : RunOutcome::kNotRun, code,
      std::string(message), retry_after});
}

}  // namespace cranberryhill
