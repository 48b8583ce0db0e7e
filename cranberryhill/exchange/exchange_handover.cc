// The part of Exchange that takes a request from one replica to another. A send
// that has made no progress may be that of a sound replica, so it is listened
// to until the next replica has taken the request.

#include <algorithm>
#include <utility>

#include "cranberryhill/exchange/exchange.h"

namespace cranberryhill::gateway {
namespace {

constexpr int kOk = 200;
/// Interval between checks whether the budget has room for a retry.
constexpr absl::Duration kRetryCheckInterval = absl::Milliseconds(20);

}  // namespace

/// Sends the request to another replica, beside the send in progress.
void Exchange::SeekSuccessor(std::string_view reason) {
  const std::shared_ptr<forward::Replica>& left = this->current->Target();
  this->move_is_due = false;
  this->kept_until = absl::InfiniteFuture();
  this->context.metrics.CountDecision("successor_sought");
  this->context.log.Write(
      this->MakeLogEvent("successor_sought")
          .Add("replica", left->entry.id)
          .Add("reason", reason)
          .Add("read_only", this->current->Plan().prefill_only)
          .Add("took_ms", this->Now() - this->current->SentAt())
          .Add("replica_silent_ms", this->current->ReplicaSilence())
          .Add("events", this->event_count));
  this->ReserveRetry();
  this->context.replicas.OnFailure(*left);
  this->excluded_replicas.push_back(left->entry.id);
  this->former = std::move(this->current);
  this->former_ends_at = absl::InfiniteFuture();
  this->SendToNextReplica();
}

/// Ends the other send when one has made progress.
void Exchange::GoOnWith(const ReplicaSend& send) {
  if (this->former == nullptr)
    return;
  if (&send != this->former.get())
    return this->GiveUpFormer("successor_goes_on");
  this->StayWithFormer("went_on");
}

/// Goes on with the former send as if no other replica had been asked.
void Exchange::StayWithFormer(std::string_view reason) {
  this->context.metrics.CountDecision("stayed_with_replica");
  this->context.log.Write(
      this->MakeLogEvent("stayed_with_replica")
          .Add("replica", this->former->Target()->entry.id)
          .Add("reason", reason)
          .Add("replica_silent_ms", this->former->ReplicaSilence())
          .Add("events", this->event_count));
  this->EndCurrent();
  this->ReleaseCache();
  this->CancelReservedRetry();
  ++this->returns;
  this->current = std::move(this->former);
  std::erase(this->excluded_replicas, this->current->Target()->entry.id);
  this->phase =
      this->current->Plan().prefill_only ? Phase::kPrefilling : Phase::kRunning;
  this->current->RecordProgress();
  // The successor may have had another version recorded.
  if (!this->stream_started && !this->current->Plan().prefill_only)
    this->PrepareVersion(this->current);
  if (this->phase != Phase::kDone)
    this->ArmTimer();
}

/// Continues when the former send has ended by itself.
void Exchange::OnFormerEnd(http1::AnswerEnd end, std::string_view reason) {
  const ReplicaSend& send = *this->former;
  bool is_answer =
      send.Plan().prefill_only
          ? end == http1::AnswerEnd::kComplete && send.Head().status == kOk
          : this->IsCompleteStream(send, end) || this->IsRelayable(send, end);
  if (is_answer) {
    this->StayWithFormer("answered");
    return this->OnSendEnd(*this->current, end, reason);
  }
  forward::AttemptOutcome outcome = Classify(send, end);
  this->context.log.Write(this->MakeLogEvent("former_send_ended")
                              .Add("replica", send.Target()->entry.id)
                              .Add("outcome", AttemptOutcomeName(outcome))
                              .Add("reason", reason));
  this->RecordFailure(send, outcome);
  // Only the first prefill that a replica accepts is exempt from the budget.
  if (send.Plan().prefill_only)
    this->context.retry_budget(this->service).OnRetry();
  else
    this->attempt_policy.OnGivenUp(outcome);
  this->EndFormer();
}

/// Ends one of two sends when neither has made progress. The former replica
/// certainly has the request, so it keeps it if it has woken up meanwhile.
void Exchange::EndHandover() {
  const ReplicaSend& send = *this->former;
  // The next replica has not been sent anything yet.
  if (this->current != nullptr && !this->current->HasSentRequest())
    return this->EndSendWithoutProgress("successor_not_reached");
  if (send.Target()->woke_at <= send.LastProgressAt() ||
      this->kept_after_events == this->event_count)
    return this->GiveUpFormer("no_sign");
  this->kept_after_events = this->event_count;
  this->kept_until = this->Now() + kHandoverTime;
  this->StayWithFormer("replica_woke");
}

/// Ends the former send, at which the request may have run.
void Exchange::GiveUpFormer(std::string_view reason) {
  this->context.log.Write(
      this->MakeLogEvent("former_send_given_up")
          .Add("replica", this->former->Target()->entry.id)
          .Add("reason", reason)
          .Add("replica_silent_ms", this->former->ReplicaSilence()));
  if (!this->former->Plan().prefill_only) {
    if (this->former->HasSentRequest())
      this->attempt_policy.OnGivenUp(forward::AttemptOutcome::kTimedOut);
    this->silent_replica = this->former->Target();
  }
  this->EndFormer();
}

void Exchange::EndCurrent() {
  this->former_ends_at = absl::InfiniteFuture();
  this->held_event_count = 0;
  if (auto send = std::exchange(this->current, nullptr))
    send->End();
}

void Exchange::EndFormer() {
  if (auto send = std::exchange(this->former, nullptr))
    send->End();
}

/// Sends a request that no other replica has answered to the one that it has
/// left for its silence, which may have been that of a sound replica. A stream
/// that has begun waits until the retry budget has room and the replica takes
/// requests again.
/// @return False if it cannot be sent there.
bool Exchange::ReturnToSilentReplica() {
  std::shared_ptr<forward::Replica> target =
      std::exchange(this->silent_replica, nullptr);
  // A limited replica takes few requests, and a repeated one is not worth one
  // of them.
  if (target == nullptr || this->TimeLeft() < kMinTimeForSend ||
      this->context.replica_limits.RateOf(target->entry.id) ||
      this->OutlastsShutdown())
    return false;
  auto open_replicas = this->OpenReplicas();
  bool is_open = std::find(open_replicas.begin(), open_replicas.end(),
                           target) != open_replicas.end();
  bool may_open = target->registered && !target->IsLeaving() &&
                  !this->context.reachability.IsLost(*target);
  if (!is_open && !may_open)
    return false;
  if (!is_open || !this->HasRoomForRetries()) {
    // A stream that has begun would be cut, though its replica may be sound.
    if (!this->stream_started)
      return false;
    this->silent_replica = std::move(target);
    this->phase = Phase::kAwaitingRetry;
    this->ArmTimerAt(this->Now() + kRetryCheckInterval);
    return true;
  }
  if (this->RefuseIfItCrashesReplicas())
    return true;
  std::erase(this->excluded_replicas, target->entry.id);
  this->context.metrics.CountDecision("returned_to_silent_replica");
  this->context.log.Write(this->MakeLogEvent("returned_to_silent_replica")
                              .Add("replica", target->entry.id));
  this->ReleaseCache();
  this->choice.made_at = this->Now();
  if (this->HasBegun())
    this->choice.lane = forward::PrefillLane::kResumed;
  this->StartRun(std::move(target), this->caller_request.prompt.prompt_tokens,
                 "");
  return true;
}

}  // namespace cranberryhill::gateway
