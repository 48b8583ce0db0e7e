// The part of Exchange that takes what arrives from replicas.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "absl/strings/numbers.h"
#include "cranberryhill/exchange/exchange.h"
#include "cranberryhill/store/send_and_forget.h"

namespace cranberryhill::gateway {
namespace {

/// Maximum size of an answer that is relayed as a whole; a larger one counts as
/// broken. According to the platform's documentation answers have a few
/// kilobytes.
constexpr size_t kMaxAnswerBytes = 1 << 20;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

/// @return True for statuses that tell callers that the request has not run.
bool ImpliesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

bool IsSuccess(const http1::AnswerHead& head) {
  return head.status >= 200 && head.status < 300;
}
}  // namespace

/// @return The ids of the parts that the prompt shares with others, for logs.
std::string Exchange::SharedPartsText(
    const forward::PromptDescription& prompt) {
  std::string text;
  for (size_t i = 0; i + 1 < prompt.parts.size(); ++i) {
    if (i > 0)
      text += ',';
    text += fmt::format("{:x}", prompt.parts[i].id);
  }
  return text;
}

http1::AnswerMatch Exchange::MatchAnswer(const http1::AnswerHead& head,
                                         ReplicaAnswerInfo& info) {
  info = this->context.wire.DecodeAnswer(head);
  // A success echoes the id of its request; a refusal may be sent before the
  // replica has read the id.
  bool is_identified = !info.attempt_id.empty();
  bool matches_request =
      is_identified ? info.attempt_id == this->caller_request.attempt_id
                    : head.status >= 300;
  if (!matches_request) {
    this->context.metrics.CountDecision("foreign_answer_dropped");
    info = {};
    return http1::AnswerMatch::kForeign;
  }
  if (is_identified)
    return http1::AnswerMatch::kOwn;
  this->context.metrics.CountDecision("unidentified_answer");
  return http1::AnswerMatch::kUnidentified;
}

void Exchange::OnSendHead(ReplicaSend& send) {
  auto self = this->shared_from_this();
  this->context.reachability.OnAnswerPart(*send.Target(), send.SentAt());
  if (send.Info().load)
    this->context.replicas.OnLoadReport(*send.Target(), *send.Info().load);
  this->LearnFromHead(send);
  send.SetRelaysEvents(!send.Plan().prefill_only && IsSuccess(send.Head()) &&
                       send.Info().is_signed && send.Info().is_event_stream);
  bool answers_run = !send.Plan().prefill_only && !send.Info().not_run;
  if (answers_run && !send.RelaysEvents())
    this->RecordBegan();
  if (!send.RelaysEvents() && this->HasTooLargeBody(send))
    this->OnAnswerTooLarge(send, true);
}

/// @return True if the head tells that the body cannot be kept.
bool Exchange::HasTooLargeBody(const ReplicaSend& send) const {
  auto value = send.Head().headers.Find("Content-Length");
  uint64_t length = 0;
  int status = send.Head().status;
  bool has_body = this->request.head.method != "HEAD" && status != kNoContent &&
                  status != kNotModified;
  // A refusal is one whatever its body.
  return value && has_body && !send.Info().not_run &&
         absl::SimpleAtoi(absl::string_view(value->data(), value->size()),
                          &length) &&
         length > kMaxAnswerBytes;
}

/// Makes room for so many bytes of this answer.
/// @return False if there is none; the send has been ended then.
bool Exchange::KeepOrGiveUp(ReplicaSend& send, size_t bytes) {
  if (bytes <= kMaxAnswerBytes && send.KeptBytes().Grow(bytes))
    return true;
  this->OnAnswerTooLarge(send, bytes > kMaxAnswerBytes ||
                                   !send.KeptBytes().IsWithinOwnerShare(bytes));
  return false;
}

void Exchange::OnSendBody(ReplicaSend& send, std::string_view data) {
  auto self = this->shared_from_this();
  this->context.reachability.OnAnswerPart(*send.Target(), send.SentAt());
  if (send.RelaysEvents())
    return this->RelayEvents(send, data);
  send.RecordProgress();
  if (this->KeepOrGiveUp(send, send.Body().size() + data.size()))
    send.Body().append(data);
}

void Exchange::RelayEvents(ReplicaSend& send, std::string_view data) {
  size_t events_before = send.Events().event_count();
  std::string events = send.Events().Feed(data);
  if (send.Events().too_large())
    return this->OnAnswerTooLarge(send, true);
  if (!this->KeepOrGiveUp(send, send.Events().incomplete_event().size()))
    return;
  // Only whole events count as progress: a replica that sends a byte now and
  // then has stalled.
  if (events.empty())
    return;
  this->RecordBegan();
  this->GoOnWith(send);
  if (send.RecordEvent())
    this->prompt_read_by.push_back(send.Target()->entry.id);
  int64_t count =
      static_cast<int64_t>(send.Events().event_count() - events_before);
  if (!send.IsPrepared()) {
    send.HoldEvents(events);
    this->held_event_count += count;
    return send.Pause();
  }
  this->PassEventsOn(send, events, count);
}

/// Tells the observer once that a replica has begun to run the request.
void Exchange::RecordBegan() {
  if (!std::exchange(this->has_begun_to_run, true))
    this->context.observer.OnBegan(this->caller_request.customer);
}

/// Lets the events of a send pass, unless its software version must be recorded
/// first.
/// @param recorded False if it could not be recorded in time.
void Exchange::OnPrepared(ReplicaSend& send, bool recorded) {
  auto self = this->shared_from_this();
  auto kept = send.shared_from_this();
  if (!recorded && !this->context.stream_versions.MayBeginUnrecorded(
                       this->service, send.SoftwareVersion()))
    return this->OnNotRecorded(send);
  send.SetPrepared(true);
  std::string events = send.TakeHeldEvents();
  if (events.empty() || &send != this->current.get())
    return;
  this->context.log.Write(this->MakeLogEvent("stream_prepared")
                              .Add("replica", send.Target()->entry.id)
                              .Add("recorded", recorded)
                              .Add("took_ms", this->Now() - send.SentAt()));
  this->PassEventsOn(send, events, std::exchange(this->held_event_count, 0));
  if (auto end = send.TakeHeldEnd())
    return this->OnSendEnd(send, end->first, end->second);
  if (this->phase == Phase::kRunning && !this->responder->IsBacklogged())
    this->OnCallerCaughtUp();
}

void Exchange::PassEventsOn(ReplicaSend& send,
                            std::string_view events,
                            int64_t count) {
  if (!this->stream_started) {
    this->BindToSentVersion(send);
    this->LearnFromFirstEvent(send);
    this->context.log.Write(
        this->MakeLogEvent("first_event")
            .Add("replica", send.Target()->entry.id)
            .Add("took_ms", this->Now() - send.SentAt())
            .Add("others",
                 forward::EstimatedOtherRequests(*send.Target(), this->Now())));
    this->RelayStreamHead(send);
  }
  if (send.Events().last_event_id())
    this->last_event_id = send.Events().last_event_id();
  this->event_count += count;
  this->kept_until = absl::InfiniteFuture();
  this->responder->SendPart(events);
  // The caller may have been given up meanwhile.
  if (this->phase == Phase::kRunning && this->responder->IsBacklogged())
    send.Pause();
}

void Exchange::OnCallerCaughtUp() {
  if (this->relay != nullptr)
    return this->relay->Resume();
  if (this->current == nullptr || !this->current->IsPaused() ||
      !this->current->IsPrepared())
    return;
  auto self = this->shared_from_this();
  this->current->Resume();
  if (this->phase != Phase::kDone)
    this->ArmTimer();
}

void Exchange::RelayStreamHead(const ReplicaSend& send) {
  this->stream_started = true;
  this->context.metrics.ObserveFirstByte(this->Now() - this->request.arrived);
  http1::AnswerHead head = send.Head();
  head.headers.RemoveConnectionFields();
  this->responder->BeginStream(std::move(head));
}

/// Ends a send whose answer may never end, or for which there is no room.
void Exchange::OnAnswerTooLarge(ReplicaSend& send, bool replica_is_at_fault) {
  // Operators search the logs for this reason.
  constexpr std::string_view kReason = "the answer is too large to be kept";
  this->context.metrics.CountDecision("answer_too_large");
  if (replica_is_at_fault)
    this->context.replicas.OnEndlessAnswer(*send.Target());
  this->OnSendEnd(send, http1::AnswerEnd::kBroken, kReason);
}

/// @return Time since the send, without the part that the slowness reported by
///     the replica explains.
absl::Duration Exchange::TookAtUsualSpeed(const ReplicaSend& send) const {
  absl::Time now = this->Now();
  return (now - send.SentAt()) /
         forward::EstimatedSlowness(*send.Target(), now);
}

void Exchange::LearnFromFirstEvent(const ReplicaSend& send) {
  if (!this->is_engine_service)
    return;
  const SendPlan& plan = send.Plan();
  this->context.metrics.ObserveFirstByteError(this->Now() - plan.chosen_at -
                                              plan.expected_first_byte);
  // Prompts of the deferred lane wait for prompts that arrive after them.
  if (plan.lane != forward::PrefillLane::kOnTime)
    return;
  absl::Duration took = this->TookAtUsualSpeed(send);
  if (plan.uses_cache_source) {
    this->context.engine_speeds.ObserveFirstEvent(
        this->service, this->caller_request.prompt.prompt_tokens, took);
  } else if (plan.replica->entry.role != EngineRole::kPrefill) {
    this->context.engine_speeds.ObserveDecodeEnginePrefill(
        this->service, plan.prefill_work, plan.replica->outstanding, took);
  }
}

void Exchange::OnSendEnd(ReplicaSend& send,
                         http1::AnswerEnd end,
                         std::string_view reason) {
  auto self = this->shared_from_this();
  if (!send.IsPrepared() && this->held_event_count > 0)
    return send.HoldEnd(end, reason);
  if (&send == this->former.get())
    return this->OnFormerEnd(end, reason);
  if (&send != this->current.get())
    return;
  if (send.Plan().prefill_only)
    this->OnPrefillEnd(end, reason);
  else
    this->OnRunEnd(end, reason);
}

/// Continues when the prefill in progress has ended.
void Exchange::OnPrefillEnd(http1::AnswerEnd end, std::string_view reason) {
  std::shared_ptr<ReplicaSend> send = this->current;
  const std::shared_ptr<forward::Replica>& prefill_engine = send->Target();
  bool answered = end == http1::AnswerEnd::kComplete;
  int status = answered ? send->Head().status : 0;
  if (answered && send->Info().wrong_instance)
    this->context.replicas.OnWrongInstance(*prefill_engine);
  this->EndCurrent();
  if (status == 200) {
    auto decoded = Capture(
        [&] { return this->context.wire.DecodeCacheHandle(send->Body()); });
    if (decoded.ok()) {
      // Another prefill of the prompt is not needed any more. A run is.
      if (this->former != nullptr && this->former->Plan().prefill_only)
        this->EndFormer();
      this->context.replicas.OnSuccess(*prefill_engine);
      if (send->Plan().lane == forward::PrefillLane::kOnTime) {
        this->context.engine_speeds.ObservePrefill(
            this->service, send->Plan().prefill_work,
            this->TookAtUsualSpeed(*send));
      }
      this->context.log.Write(
          this->MakeLogEvent("prompt_read")
              .Add("replica", prefill_engine->entry.id)
              .Add("took_ms", this->Now() - send->SentAt())
              .Add("others", forward::EstimatedOtherRequests(*prefill_engine,
                                                             this->Now())));
      this->cache_handle = decoded.value();
      this->cache_owner = prefill_engine;
      this->prompt_read_by.push_back(prefill_engine->entry.id);
      if (this->RefuseIfItCrashesReplicas())
        return;
      return this->RunWithCache();
    }
  }
  bool not_run = answered && send->Info().not_run;
  this->RecordPossibleCrash(*send, Classify(*send, end));
  if (not_run)
    this->context.replicas.OnRejected(*prefill_engine);
  else if (end == http1::AnswerEnd::kNotConnected)
    this->context.replicas.OnUnreachable(*prefill_engine);
  else
    this->context.replicas.OnFailure(*prefill_engine);
  this->context.log.Write(this->MakeLogEvent("prompt_read_failed")
                              .Add("replica", prefill_engine->entry.id)
                              .Add("status", status)
                              .Add("not_run", not_run)
                              .Add("reason", reason));
  this->excluded_replicas.push_back(prefill_engine->entry.id);
  if (end == http1::AnswerEnd::kNotConnected) {
    --this->prefill_attempts;
    return this->SendToNextReplica();
  }
  // The first prefill of a request is exempt from the retry budget only if it
  // succeeds, so a send that follows a failed prefill counts against the
  // budget.
  forward::WindowedRetryBudget& retry_budget =
      this->context.retry_budget(this->service);
  if (!retry_budget.HasRoom())
    return this->EndUnanswered("retry_budget", kDefaultRetryAfter);
  // Without a replica that takes requests nothing is sent.
  if (!this->OpenReplicas().empty())
    retry_budget.OnRetry();
  this->SendToNextReplica();
}

void Exchange::RecordPossibleCrash(const ReplicaSend& send,
                                   forward::AttemptOutcome outcome) {
  const std::shared_ptr<forward::Replica>& failed = send.Target();
  if (outcome == forward::AttemptOutcome::kNotSent) {
    if (!send.WasConnected()) {
      this->context.on_refused_connection(*failed);
      this->context.on_connect_failed(*failed);
    }
    return;
  }
  if (outcome != forward::AttemptOutcome::kBroken)
    return;
  bool had_begun =
      !send.Plan().prefill_only && send.HasHead() && !send.HasEvent();
  forward::BrokenSend broken{this->fingerprint, send.SentAt(), std::nullopt};
  if (had_begun)
    broken.begun_prompt = this->caller_request.prompt;
  this->context.replica_crash_quarantine.OnBrokenAnswer(failed->entry.id,
                                                        std::move(broken));
  // Other requests may not be sent there in time to notice a crash.
  if (had_begun &&
      this->context.reachability.ShouldProbeAfterBrokenAnswer(*failed))
    this->context.probe(failed);
}

forward::AttemptOutcome Exchange::Classify(const ReplicaSend& send,
                                           http1::AnswerEnd end) {
  if (end == http1::AnswerEnd::kNotConnected)
    return forward::AttemptOutcome::kNotSent;
  if (end == http1::AnswerEnd::kBroken || send.RelaysEvents())
    return forward::AttemptOutcome::kBroken;
  if (send.Info().not_run)
    return forward::AttemptOutcome::kNotRun;
  // A success without a signature did not come from the replica, so it counts
  // as a broken answer.
  return IsSuccess(send.Head()) ? forward::AttemptOutcome::kBroken
                                : forward::AttemptOutcome::kFailed;
}

/// @return True if the answer is a stream that has been passed on to its end.
bool Exchange::IsCompleteStream(const ReplicaSend& send,
                                http1::AnswerEnd end) const {
  // A caller that takes a stream up may have all of its events already.
  bool may_be_empty =
      this->IsTakeUp() && this->caller_request.has_last_event_id;
  return end == http1::AnswerEnd::kComplete && send.RelaysEvents() &&
         send.Events().incomplete_event().empty() &&
         (this->stream_started || may_be_empty);
}

/// @return True if the answer can be passed on as a whole.
bool Exchange::IsRelayable(const ReplicaSend& send,
                           http1::AnswerEnd end) const {
  int status = send.Head().status;
  return end == http1::AnswerEnd::kComplete && !send.RelaysEvents() &&
         !send.Info().not_run && !this->stream_started && status < 500 &&
         !ImpliesNotRun(status) && (status >= 300 || send.Info().is_signed);
}

/// Continues when the run in progress has ended.
void Exchange::OnRunEnd(http1::AnswerEnd end, std::string_view reason) {
  std::shared_ptr<ReplicaSend> send = this->current;
  if (this->IsCompleteStream(*send, end)) {
    if (!this->stream_started)
      this->RelayStreamHead(*send);
    this->context.replicas.OnSuccess(*send->Target());
    this->context.prompt_part_quarantine.OnAnswered(
        this->caller_request.prompt);
    this->cache_handle.clear();
    this->responder->EndStream();
    return this->Finish("answered", "", send->Head().status);
  }
  if (this->IsRelayable(*send, end)) {
    this->context.replicas.OnSuccess(*send->Target());
    this->cache_handle.clear();
    return this->RelayWholeAnswer(*send);
  }
  this->OnSendFailed(Classify(*send, end), reason);
}

/// Records what a failed send says about its replica.
void Exchange::RecordFailure(const ReplicaSend& send,
                             forward::AttemptOutcome outcome) {
  forward::Replica& failed = *send.Target();
  if (send.Info().wrong_instance)
    this->context.replicas.OnWrongInstance(failed);
  else if (outcome == forward::AttemptOutcome::kNotRun)
    this->context.replicas.OnRejected(failed);
  else if (outcome == forward::AttemptOutcome::kNotSent && !send.WasConnected())
    this->context.replicas.OnUnreachable(failed);
  else
    this->context.replicas.OnFailure(failed);
  this->RecordPossibleCrash(send, outcome);
}

void Exchange::OnSendFailed(forward::AttemptOutcome outcome,
                            std::string_view reason) {
  std::shared_ptr<ReplicaSend> send = this->current;
  const std::shared_ptr<forward::Replica>& failed = send->Target();
  absl::Duration replica_silence = send->ReplicaSilence();
  this->RecordFailure(*send, outcome);
  this->EndCurrent();
  // The run has not reached a replica.
  bool was_counted = std::exchange(this->run_is_retry, false);
  if (was_counted && outcome == forward::AttemptOutcome::kNotSent)
    this->context.retry_budget(this->service).OnRetryCancelled();

  // A request whose first send never reached a replica does not use the retry
  // budget when it is sent to another one.
  bool next_send_uses_budget = outcome != forward::AttemptOutcome::kNotSent ||
                               this->attempt_policy.replicas().size() > 1;
  bool budget_left = (!next_send_uses_budget || this->HasRoomForRetries()) &&
                     this->TimeLeft() > kMinTimeForSend;
  bool had_cache = !this->cache_handle.empty();
  if (had_cache && outcome == forward::AttemptOutcome::kNotRun && budget_left &&
      this->RunOnOtherReplicaOrWithoutCache(failed))
    return;
  if (had_cache)
    this->ReleaseCache();
  forward::NextStep step = this->attempt_policy.DecideNextStep(
      outcome,
      this->stream_started ? forward::AnswerProgress::kStreamStarted
                           : forward::AnswerProgress::kNotStarted,
      budget_left);
  this->context.metrics.CountDecision(NextStepName(step));
  LogEvent event = this->MakeLogEvent("send_ended");
  if (outcome == forward::AttemptOutcome::kBroken)
    event.Add("shared_parts", SharedPartsText(this->caller_request.prompt));
  this->context.log.Write(
      event.Add("replica", failed->entry.id)
          .Add("outcome", AttemptOutcomeName(outcome))
          .Add("status", send->HasHead() ? send->Head().status : 0)
          .Add("reason", reason)
          .Add("took_ms", this->Now() - send->SentAt())
          .Add("replica_silent_ms", replica_silence)
          .Add("events", this->event_count)
          .Add("budget_left", budget_left)
          .Add("next", NextStepName(step)));
  this->excluded_replicas.push_back(failed->entry.id);
  switch (step) {
    case forward::NextStep::kSendAgain:
    case forward::NextStep::kResume:
      if (outcome == forward::AttemptOutcome::kTimedOut)
        this->silent_replica = failed;
      if (next_send_uses_budget)
        this->ReserveRetry();
      return this->SendToNextReplica();
    case forward::NextStep::kRefuse:
      return this->EndUnanswered("not_run_by_replica", kDefaultRetryAfter);
    case forward::NextStep::kPassFailure:
      // Callers would conclude from these statuses that the request has not
      // run, but it has.
      if (this->former != nullptr || ImpliesNotRun(send->Head().status))
        return this->EndUnanswered("failed_by_replica", kDefaultRetryAfter);
      return this->RelayWholeAnswer(*send);
    case forward::NextStep::kAnswerUnknown:
      return this->EndUnanswered("no_answer_from_replica", kDefaultRetryAfter);
    case forward::NextStep::kCutStream:
      return this->EndUnanswered("stream_broken", kDefaultRetryAfter);
  }
}

/// Continues after an engine refused to run a request whose KV cache is kept at
/// a prefill engine: runs it at another engine with the same cache or, if the
/// route allows only one replica, at the same engine without the cache.
/// @return False when neither is possible.
bool Exchange::RunOnOtherReplicaOrWithoutCache(
    const std::shared_ptr<forward::Replica>& refused) {
  this->excluded_replicas.push_back(refused->entry.id);
  auto is_limited = [this](const auto& replica) {
    return this->context.replica_limits.RateOf(replica->entry.id).has_value();
  };
  auto usable_replicas = this->UsableReplicas();
  // A refused run is not worth one of the few requests that these take.
  std::erase_if(usable_replicas, is_limited);
  std::shared_ptr<forward::Replica> other =
      this->context.placement.ChooseDecodeEngine(usable_replicas,
                                                 this->fingerprint, this->Now(),
                                                 this->excluded_replicas);
  if (other != nullptr && this->attempt_policy.MaySendTo(other->entry.id)) {
    this->context.log.Write(this->MakeLogEvent("run_refused")
                                .Add("replica", refused->entry.id)
                                .Add("next", other->entry.id));
    std::string source = this->context.wire.CacheSource(
        this->cache_owner->Address(), this->cache_handle);
    this->StartRun(std::move(other), 0, std::move(source));
    return true;
  }
  this->ReleaseCache();
  if (std::exchange(this->tried_uncached, true) || is_limited(refused) ||
      !this->TakesRequest(*refused) || !this->MayWriteStream(*refused) ||
      !this->attempt_policy.MaySendTo(refused->entry.id))
    return false;
  this->prefill_attempts = kMaxPrefillAttempts;
  this->context.log.Write(this->MakeLogEvent("cache_not_fetched")
                              .Add("replica", refused->entry.id));
  this->StartRun(refused, this->caller_request.prompt.prompt_tokens, "");
  return true;
}

/// Frees a KV cache that no run will fetch; other requests cannot use it.
void Exchange::ReleaseCache() {
  if (this->cache_handle.empty())
    return;
  // The engine frees the cache itself when its time is over.
  if (this->cache_owner->IsClosed(this->Now())) {
    this->context.log.Write(this->MakeLogEvent("cache_not_released")
                                .Add("replica", this->cache_owner->entry.id)
                                .Add("reason", "replica_closed"));
    return this->cache_handle.clear();
  }
  this->context.send_permits.OnSentWithoutPermit(this->cache_owner->entry.id);
  http1::OutgoingRequest release = this->context.wire.EncodeCacheRelease(
      this->cache_owner->Address(), this->cache_handle);
  SendAndForget(this->context.io,
                this->context.connection_pool.Acquire(*this->cache_owner),
                http1::SerializeRequest(release.head, release.body));
  this->cache_handle.clear();
}

}  // namespace cranberryhill::gateway
