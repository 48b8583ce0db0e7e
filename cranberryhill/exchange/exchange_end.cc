// The part of Exchange that ends a request. A request that may go on somewhere
// is not ended, whatever the reason for which its next send failed.

#include <algorithm>
#include <utility>

#include "cranberryhill/exchange/exchange.h"

namespace cranberryhill::gateway {
namespace {

/// Retry-After for a request that crashed two replicas. It stays refused for
/// minutes, so an earlier retry is pointless.
constexpr absl::Duration kRetryAfterCrashes = absl::Seconds(5);

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

/// Refuses a request that is known to crash the replicas that run it, which may
/// have been learned since its last send.
bool Exchange::RefuseIfItCrashesReplicas() {
  bool crashes =
      this->context.crash_quarantine.StatusOf(this->fingerprint, this->Now()) ==
      CrashStatus::kQuarantined;
  bool part_crashes = this->context.prompt_part_quarantine.IsQuarantined(
      this->caller_request.prompt);
  if (!crashes && (!part_crashes || this->TakesTrial()))
    return false;
  this->may_be_relayed = false;
  this->EndUnanswered(
      crashes ? "crashes_replicas" : "prompt_part_crashes_replicas",
      kRetryAfterCrashes);
  return true;
}

/// @return True if the request is sent to tell whether a part of its prompt,
///     which is quarantined, is sound.
bool Exchange::TakesTrial() {
  if (!this->context.prompt_part_quarantine.TakeTrial(
          this->caller_request.prompt, this->context.peer_load_sync.Rank()))
    return false;
  this->context.metrics.CountDecision("prompt_part_tried");
  this->context.log.Write(
      this->MakeLogEvent("prompt_part_tried")
          .Add("shared_parts", SharedPartsText(this->caller_request.prompt)));
  return true;
}

/// @return True if the request has not run and is not to be sent to a replica,
///     because it may still run when the process ends.
bool Exchange::OutlastsShutdown() const {
  return !this->stream_started && !this->attempt_policy.MayHaveRun() &&
         !this->context.shutdown_admission.MayTake(
             this->route.name, this->request.arrived, this->deadline);
}

/// Ends a request that has no answer, unless a replica that it has left may
/// still answer it.
/// @param retry_after For a request that has not run.
void Exchange::EndUnanswered(std::string_view reason,
                             absl::Duration retry_after) {
  if (this->former != nullptr)
    return this->StayWithFormer(reason);
  if (this->ReturnToSilentReplica())
    return;
  if (this->attempt_policy.MayHaveRun())
    return this->EndNow(kBadGateway, reason, std::nullopt);
  if (this->RelayInsteadOfRefusal(reason, retry_after))
    return;
  this->EndNow(kUnavailable, reason, retry_after);
}

void Exchange::OnDeadline() {
  bool certainly_not_run =
      this->phase == Phase::kPrefilling &&
      (this->former == nullptr || this->former->Plan().prefill_only) &&
      !this->attempt_policy.MayHaveRun();
  // The replica of a paused stream has waited for the caller.
  if (this->current != nullptr && !this->current->IsPaused())
    this->context.replicas.OnFailure(*this->current->Target());
  if (certainly_not_run)
    return this->EndNow(kUnavailable, "deadline_before_run",
                        kDefaultRetryAfter);
  this->EndNow(kGatewayTimeout, "deadline", std::nullopt);
}

void Exchange::OnCallerLeft() {
  if (this->phase == Phase::kDone)
    return;
  auto self = this->shared_from_this();
  this->Finish("caller_left", "", 0);
}

void Exchange::OnShutdownEnds() {
  if (this->phase == Phase::kDone)
    return;
  auto self = this->shared_from_this();
  bool runs_at_former =
      this->former != nullptr && !this->former->Plan().prefill_only;
  bool certainly_not_run = this->phase != Phase::kRunning &&
                           this->phase != Phase::kRelaying && !runs_at_former &&
                           !this->attempt_policy.MayHaveRun();
  if (certainly_not_run)
    return this->EndNow(kUnavailable, "shutdown", kRetryAfterShutdown);
  this->EndNow(kGatewayTimeout, "shutdown", std::nullopt);
}

void Exchange::RelayWholeAnswer(ReplicaSend& send) {
  int status = send.Head().status;
  http1::AnswerHead head = send.Head();
  head.headers.RemoveConnectionFields();
  absl::Duration took = this->Now() - this->request.arrived;
  this->context.metrics.ObserveFirstByte(took);
  this->responder->SendWhole(std::move(head), send.Body());
  this->responder->HoldUntilSent(std::move(send.KeptBytes()));
  this->Finish(status < 500 ? "answered" : "failed",
               status < 500 ? "" : "failed_by_replica", status);
}

/// Ends a request that has no answer. A stream that has begun is aborted, so
/// that it does not look complete.
/// @param status Of the answer if no stream has begun.
/// @param retry_after Nothing if the request may have run.
void Exchange::EndNow(int status,
                      std::string_view reason,
                      std::optional<absl::Duration> retry_after) {
  if (this->stream_started) {
    this->responder->Abort();
    return this->Finish("cut", reason, kOk);
  }
  // Without the time, the instance that relayed the request asks no other peer,
  // which might begin the stream at another version than the record says.
  if (retry_after && this->origin == RequestOrigin::kPeer &&
      !this->WithdrawRecord())
    retry_after.reset();
  this->responder->SendWhole(
      this->context.wire.MakeGatewayAnswer(status, retry_after), "");
  this->Finish(retry_after ? "refused" : "failed", reason, status);
}

void Exchange::Finish(std::string_view outcome,
                      std::string_view reason,
                      int status) {
  this->phase = Phase::kDone;
  this->timer.cancel();
  this->EndCurrent();
  this->EndFormer();
  if (this->relay != nullptr)
    this->relay->End();
  // Another instance may get the request, and counts it then.
  if (this->origin == RequestOrigin::kPeer && outcome == "refused")
    this->context.retry_budget(this->service).OnRequestMoved(this->counted_at);
  this->ReleaseCache();
  this->CancelReservedRetry();
  absl::Duration took = this->Now() - this->request.arrived;
  this->context.metrics.CountOutcome(outcome);
  this->context.metrics.ObserveWholeAnswer(took);
  if (outcome != "refused" && outcome != "caller_left")
    this->context.shutdown_admission.OnAnswered(this->route.name, took);
  this->context.log.Write(
      this->MakeLogEvent("request_ended")
          .Add("outcome", outcome)
          .Add("reason", reason)
          .Add("status", status)
          .Add("took_ms", took)
          .Add("replicas",
               static_cast<int64_t>(this->attempt_policy.replicas().size()))
          .Add("events", this->event_count));
  this->responder = nullptr;
  this->request.body_bytes = nullptr;
}

}  // namespace cranberryhill::gateway
