// The part of Exchange that decides how long a request waits for its replica.

#include <algorithm>
#include <utility>

#include "cranberryhill/exchange/exchange.h"

namespace cranberryhill::gateway {
namespace {

/// A resumable stream that has had no event for this long is resumed at another
/// replica. Callers give up after 2 s or more without an event.
constexpr absl::Duration kStreamStallTimeout = absl::Milliseconds(1000);
/// A repeatable request is sent to another replica if it gets no first byte
/// within this multiple of its latency target.
constexpr double kFirstByteTargetMultiple = 2.5;
/// The request must also have waited for this multiple of the expected time to
/// the first byte: a long queue that is known is not a sign of a fault, and
/// another send would only lengthen the queue.
constexpr double kFirstByteExpectedMultiple = 4.0;
constexpr absl::Duration kMinFirstByteTimeout = absl::Milliseconds(300);
/// Time limit for a connection if a request that may have run has no other
/// replica left: the first packet that is resent, after a second, still counts.
constexpr absl::Duration kLongestConnectTimeout = absl::Milliseconds(1500);
/// Interval between checks whether a silent replica is unreachable.
constexpr absl::Duration kSilenceCheckInterval = absl::Milliseconds(100);

}  // namespace

absl::Duration Exchange::FirstByteTimeout(absl::Duration expected) const {
  return std::max({kMinFirstByteTimeout,
                   this->route.target_latency * kFirstByteTargetMultiple,
                   expected * kFirstByteExpectedMultiple});
}

/// @return True if another replica could continue the request from here.
bool Exchange::MayGoOnElsewhere() const {
  if (this->stream_started) {
    return this->route.kind == forward::RequestKind::kStream &&
           this->route.resumable;
  }
  return this->route.MayRepeat();
}

/// @return Time limit for opening a connection for the send that begins.
absl::Duration Exchange::ConnectTimeout(const forward::Replica& target) {
  // The former send must outlast a connection that is not opened.
  if (this->former != nullptr)
    return kHandoverTime / 2;
  bool may_be_refused =
      !this->stream_started && !this->attempt_policy.MayHaveRun();
  // A request must not reach a leaving replica late.
  bool is_leaving = target.IsLeaving() || !target.registered;
  if (may_be_refused || is_leaving || !this->OtherReplicas(target).empty())
    return kConnectTimeout;
  return kLongestConnectTimeout;
}

/// @return When the send in progress has made no progress for too long.
absl::Time Exchange::NextTimeoutCheck() const {
  absl::Time next = this->deadline;
  bool may_move = this->phase == Phase::kPrefilling ||
                  (this->phase == Phase::kRunning && this->MayGoOnElsewhere());
  if (!may_move)
    return next;
  absl::Duration limit = this->stream_started
                             ? kStreamStallTimeout
                             : this->current->Plan().first_byte_timeout;
  return std::min(
      {next, this->current->LastProgressAt() + limit, this->kept_until});
}

/// @return When to check whether the replica has gone silent.
absl::Time Exchange::NextSilenceCheck() const {
  const ReplicaSend& send = *this->current;
  absl::Duration expected = send.HasHead() || this->stream_started
                                ? absl::ZeroDuration()
                                : send.Plan().expected_first_byte;
  // Until then a connection may still be opened; if that fails, the request has
  // certainly not run.
  absl::Time connected_at = send.SentAt() + send.Plan().connect_timeout * 1.1;
  return std::max(
      {send.LastProgressAt() + expected + forward::kSilenceTolerance,
       send.SilenceCheckedAt() + kSilenceCheckInterval, connected_at});
}

absl::Time Exchange::NextCheck() const {
  absl::Time next = std::min(this->deadline, this->record_retry_at);
  if (this->former != nullptr)
    next = std::min(next, this->former_ends_at);
  // Nothing is read from the replica of a paused send, so its silence says
  // nothing.
  if (this->current == nullptr || this->current->IsPaused())
    return next;
  return std::min({next, this->NextTimeoutCheck(), this->NextSilenceCheck()});
}

/// @return True if the request may leave an unreachable replica: it can go on
///     elsewhere, or gets no answer from this replica any more.
bool Exchange::MayLeaveSilentReplica() {
  return this->HasRoomForRetries() &&
         (this->phase == Phase::kPrefilling ||
          (this->MayGoOnElsewhere() && this->HasAlternativeReplica()));
}

/// Probes the replica if it has been silent for longer than expected.
/// @return True if it is unreachable and another replica has been sought.
bool Exchange::GiveUpOnUnreachableReplica() {
  if (this->Now() < this->NextSilenceCheck())
    return false;
  this->current->RecordSilenceCheck();
  const std::shared_ptr<forward::Replica>& replica = this->current->Target();
  if (!replica->unreachable) {
    if (this->context.reachability.ShouldProbe(*replica,
                                               this->current->LastProgressAt()))
      this->context.probe(replica);
    return false;
  }
  constexpr std::string_view kReason = "replica unreachable";
  bool is_lost = this->context.reachability.IsLost(*replica);
  if (is_lost || this->former != nullptr) {
    this->EndSendWithoutProgress(kReason);
    return true;
  }
  if (!this->MayLeaveSilentReplica()) {
    if (this->context.reachability.ShouldProbeForLoss(*replica))
      this->context.probe(replica);
    return false;
  }
  this->SeekSuccessor(kReason);
  return true;
}

/// Ends the send in progress, from which no answer is expected any more.
void Exchange::EndSendWithoutProgress(std::string_view reason) {
  if (this->current->Plan().prefill_only)
    return this->OnPrefillEnd(http1::AnswerEnd::kBroken, reason);
  this->OnSendFailed(this->current->HasSentRequest()
                         ? forward::AttemptOutcome::kTimedOut
                         : forward::AttemptOutcome::kNotSent,
                     reason);
}

void Exchange::ArmTimer() {
  this->ArmTimerAt(this->NextCheck());
}

void Exchange::ArmTimerAt(absl::Time next) {
  if (next >= this->timer_expires_at)
    return;
  this->timer_expires_at = next;
  absl::Duration wait = std::max(absl::ZeroDuration(), next - this->Now());
  this->timer.expires_after(absl::ToChronoMicroseconds(wait));
  this->timer.async_wait(
      [weak = this->weak_from_this()](boost::system::error_code error) {
        auto self = weak.lock();
        if (error || self == nullptr)
          return;
        self->timer_expires_at = absl::InfiniteFuture();
        self->OnTimer();
      });
}

void Exchange::OnTimer() {
  if (this->phase == Phase::kDone)
    return;
  auto self = this->shared_from_this();
  if (this->phase == Phase::kRelaying)
    return this->OnRelayTimer();
  absl::Time now = this->Now();
  bool has_send = this->current != nullptr || this->former != nullptr;
  if (has_send && now >= this->deadline)
    return this->OnDeadline();
  if (this->phase == Phase::kAwaitingConnection)
    return this->EndConnectionWait();
  if (this->phase == Phase::kAwaitingRetry)
    return this->EndUnanswered("retry_budget", absl::ZeroDuration());
  if (now >= this->record_retry_at) {
    this->RetryRecord();
    if (this->phase == Phase::kDone)
      return;
  }
  if (this->former != nullptr && now >= this->former_ends_at)
    this->EndHandover();
  // The next send arms the timer again.
  if (this->current == nullptr)
    return;
  if (this->current->IsPaused())
    return this->ArmTimer();
  if (this->GiveUpOnUnreachableReplica())
    return;
  bool move_is_due = std::exchange(this->move_is_due, false);
  if (now < this->NextTimeoutCheck() && !move_is_due)
    return this->ArmTimer();
  this->kept_until = absl::InfiniteFuture();
  // A prefill beside a former send is ended, as there is no third send.
  if (this->former != nullptr)
    return this->EndSendWithoutProgress("no progress");
  if (!this->HasRoomForRetries() || !this->HasAlternativeReplica()) {
    this->current->RecordProgress();
    return this->ArmTimer();
  }
  this->SeekSuccessor("no progress");
}

}  // namespace cranberryhill::gateway
