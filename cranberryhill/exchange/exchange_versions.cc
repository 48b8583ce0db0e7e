// The part of Exchange that keeps a stream at the software version that began
// it. What two versions write does not fit together, and replicas do not check
// this.

#include <algorithm>
#include <utility>

#include "cranberryhill/exchange/exchange.h"
#include "cranberryhill/forward/lasting_versions.h"

namespace cranberryhill::gateway {
namespace {

/// Retry-After of a take-up whose version is not known. The instance may have
/// learned it by then.
constexpr absl::Duration kRetryAfterUnknownVersion = absl::Milliseconds(500);
/// Share of the caller's time that the search for the version may take; the
/// rest is for the stream.
constexpr double kFindShare = 0.5;
/// Callers give a stream up that has been silent for two seconds.
constexpr absl::Duration kMaxFindTime = absl::Milliseconds(1700);
/// While events wait for a record that was not stored in time.
constexpr absl::Duration kRecordRetryInterval = absl::Milliseconds(100);

}  // namespace

/// @return True if the caller has events of this stream from an earlier
///     attempt.
bool Exchange::IsTakeUp() const {
  return this->route.kind == forward::RequestKind::kStream &&
         this->route.resumable &&
         (!this->caller_request.resumed_attempt_id.empty() ||
          this->caller_request.has_last_event_id);
}

/// Sends the take-up to a replica when it is known at which version its stream
/// began; refuses it if nobody knows.
void Exchange::FindStreamVersion() {
  this->phase = Phase::kFindingVersion;
  this->context.stream_versions.Find(
      this->service, this->caller_request.resumed_attempt_id,
      std::min(kMaxFindTime, this->TimeLeft() * kFindShare),
      [weak = this->weak_from_this()](std::optional<StreamOrigin> origin) {
        auto self = weak.lock();
        if (self == nullptr || self->phase != Phase::kFindingVersion)
          return;
        self->phase = Phase::kIdle;
        self->OnStreamOriginFound(std::move(origin));
      });
}

void Exchange::OnStreamOriginFound(std::optional<StreamOrigin> origin) {
  this->context.metrics.CountDecision(origin ? "stream_version_found"
                                             : "stream_version_unknown");
  // A stream goes on nowhere if its route has moved: what another service
  // writes does not fit to it.
  bool may_go_on = origin && this->route.Allows(origin->service);
  if (may_go_on && origin->service != this->service) {
    this->context.retry_budget(this->service).OnRequestMoved(this->counted_at);
    this->SetService(origin->service);
    this->counted_at = this->context.retry_budget(this->service).OnRequest();
  }
  this->context.observer.OnArrived(this->service);
  LogEvent event = this->MakeLogEvent("stream_taken_up");
  event.Add("resumes", this->caller_request.resumed_attempt_id)
      .Add("service", origin ? origin->service : this->service)
      .Add("version_known", origin.has_value())
      .Add("software_version", origin ? origin->version : "")
      .Add("took_ms", this->Now() - this->request.arrived);
  this->context.log.Write(event);
  if (!origin) {
    bool relayed =
        this->context.stream_versions.IsTurnedAway() && this->MayRelay() &&
        this->Relay("stream_version_unknown", kRetryAfterUnknownVersion);
    if (relayed)
      return;
    return this->EndUnanswered("stream_version_unknown",
                               kRetryAfterUnknownVersion);
  }
  if (!may_go_on) {
    this->context.metrics.CountDecision("stream_service_not_allowed");
    return this->EndUnanswered("stream_service_not_allowed",
                               kDefaultRetryAfter);
  }
  this->stream_version = std::move(origin->version);
  this->SendToNextReplica();
}

/// @return Whether a stream that begins now needs a record also at the base:
///     tables that were in force lately pick another service for it, and an
///     instance that takes it up could not tell at which one it began.
RecordRule Exchange::RuleOfRecord() const {
  std::vector<std::string> picked = this->context.route_history.PickedServices(
      this->caller_request.host, this->request.head.target,
      this->caller_request.attempt_id, forward::RouteHistory::kSpan);
  bool is_certain =
      picked.empty() || (picked.size() == 1 && picked.front() == this->service);
  return is_certain ? RecordRule::kAwayFromBase : RecordRule::kAlways;
}

/// @return True if the next first event decides at which version the stream
///     goes on.
bool Exchange::BeginsStream() const {
  return this->route.kind == forward::RequestKind::kStream &&
         this->route.resumable && !this->stream_version;
}

/// Has the version recorded at which the stream may begin with this send. Its
/// first event is held back until then.
void Exchange::PrepareVersion(const std::shared_ptr<ReplicaSend>& send) {
  if (!this->BeginsStream())
    return;
  int preparation = send->AwaitPreparation();
  this->context.stream_versions.Prepare(
      this->service, this->caller_request.attempt_id, send->SoftwareVersion(),
      this->RuleOfRecord(),
      [weak = this->weak_from_this(), weak_send = std::weak_ptr(send),
       preparation](bool recorded) {
        auto self = weak.lock();
        auto pending = weak_send.lock();
        if (self != nullptr && pending != nullptr &&
            pending->Preparation() == preparation &&
            self->phase != Phase::kDone)
          self->OnPrepared(*pending, recorded);
      });
}

/// Keeps the events of a send whose version could not be recorded. Without a
/// record, a take-up elsewhere would go on at the base version.
void Exchange::OnNotRecorded(const ReplicaSend& send) {
  bool is_known = std::exchange(this->record_is_late, true);
  if (!is_known) {
    this->context.metrics.CountDecision("stream_awaits_record");
    this->context.log.Write(this->MakeLogEvent("stream_awaits_record")
                                .Add("replica", send.Target()->entry.id)
                                .Add("software_version", send.SoftwareVersion())
                                .Add("took_ms", this->Now() - send.SentAt()));
  }
  // The send may not have started yet, so it is not ended here.
  this->record_retry_at =
      this->Now() + (is_known ? kRecordRetryInterval : absl::ZeroDuration());
  this->ArmTimer();
}

/// Ends the send in progress and runs the request at a version that needs no
/// record.
/// @return False if that is not possible, or the record may be stored yet.
bool Exchange::BeginAtRecordlessVersion() {
  if (this->current == nullptr || this->current->IsPrepared() ||
      this->former != nullptr || !this->HasRoomForRetries() ||
      this->TimeLeft() < kMinTimeForSend)
    return false;
  // The held events are given up only for a run that is in time.
  std::string id = this->current->Target()->entry.id;
  this->excluded_replicas.push_back(id);
  forward::PlacementChoice choice = this->ChooseReplica();
  bool has_target = choice.replica != nullptr &&
                    choice.expected_first_byte <= this->UsefulTime() &&
                    this->context.stream_versions.MayBeginUnrecorded(
                        this->service, choice.replica->entry.software_version);
  if (!has_target || !this->context.stream_versions.Withdraw(
                         this->caller_request.attempt_id)) {
    this->excluded_replicas.pop_back();
    return false;
  }
  this->context.metrics.CountDecision("stream_moved_to_base");
  this->context.log.Write(
      this->MakeLogEvent("stream_moved_to_base")
          .Add("replica", id)
          .Add("software_version", this->current->SoftwareVersion())
          .Add("held_events", this->held_event_count)
          .Add("took_ms", this->Now() - this->current->SentAt()));
  this->ReserveRetry();
  this->attempt_policy.OnGivenUp(forward::AttemptOutcome::kTimedOut);
  this->EndCurrent();
  this->ReleaseCache();
  this->SendToNextReplica();
  return true;
}

/// Begins the stream at another version, or asks again for the record that the
/// send in progress waits for.
void Exchange::RetryRecord() {
  this->record_retry_at = absl::InfiniteFuture();
  if (!this->BeginsStream() || this->BeginAtRecordlessVersion())
    return;
  // A former send is prepared again if the request returns to it. Until then
  // its record must not replace that of the send that may go on.
  auto send = this->current;
  if (send != nullptr && !send->Plan().prefill_only && !send->IsPrepared())
    this->PrepareVersion(send);
}

/// Binds the stream to the version that the replica's entry had when the
/// request was sent. To be called before the first event of this answer is
/// relayed.
void Exchange::BindToSentVersion(const ReplicaSend& send) {
  this->stream_version = send.SoftwareVersion();
  StreamVersions& versions = this->context.stream_versions;
  versions.OnStreamBegan(this->service, this->caller_request.attempt_id,
                         send.SoftwareVersion());
  if (!this->IsTakeUp())
    return;
  // The caller may name either attempt when it takes the stream up again.
  versions.Prepare(this->service, this->caller_request.attempt_id,
                   send.SoftwareVersion(), RecordRule::kAwayFromBase,
                   [](bool) {});
  versions.OnStreamBegan(this->service, this->caller_request.resumed_attempt_id,
                         send.SoftwareVersion());
}

/// @return True if the replica may write events of this stream.
bool Exchange::MayWriteStream(const forward::Replica& replica) const {
  return !this->stream_version ||
         replica.entry.software_version == *this->stream_version;
}

/// @return True if a stream that begins at this replica needs no record. A
///     prefill engine begins none.
bool Exchange::NeedsNoRecord(const forward::Replica& replica) const {
  return replica.entry.role == EngineRole::kPrefill ||
         this->context.stream_versions.NeedsNoRecord(
             this->service, replica.entry.software_version);
}

/// Removes the replicas at which a new stream is not to begin.
void Exchange::KeepVersionsToBeginAt(
    std::vector<std::shared_ptr<forward::Replica>>& replicas) const {
  auto needs_record = [this](const auto& replica) {
    return !this->NeedsNoRecord(*replica);
  };
  bool can_record = this->context.stream_versions.CanRecord();
  if (can_record)
    forward::KeepLastingVersions(replicas);
  std::vector<std::shared_ptr<forward::Replica>> without_record;
  for (const auto& replica : replicas) {
    if (!needs_record(replica) && this->CanRun(*replica))
      without_record.push_back(replica);
  }
  // A record costs a call to the store. While it takes none, a stream that
  // needs one could not be taken up.
  bool prefers_them = can_record && !this->record_is_late
                          ? forward::HaveRoom(without_record, this->Now())
                          : !without_record.empty();
  if (prefers_them)
    std::erase_if(replicas, needs_record);
}

/// Logs which replicas of the stream's version are left when none can go on
/// with it.
void Exchange::LogVersionCapacity() const {
  int64_t staying_decode = 0;
  int64_t leaving_decode = 0;
  int64_t prefill = 0;
  for (const auto& replica : this->context.replicas.Registered()) {
    if (replica->entry.service != this->service ||
        !this->MayWriteStream(*replica))
      continue;
    if (replica->entry.role == EngineRole::kPrefill)
      ++prefill;
    else
      ++(replica->IsLeaving() ? leaving_decode : staying_decode);
  }
  this->context.log.Write(this->MakeLogEvent("stream_version_has_no_replica")
                              .Add("software_version", *this->stream_version)
                              .Add("staying_decode_engines", staying_decode)
                              .Add("leaving_decode_engines", leaving_decode)
                              .Add("prefill_engines", prefill));
}

/// @return True if the replica may take part in serving the request. A prefill
///     engine writes no events, so it may be of any version.
bool Exchange::IsOfUsableVersion(const forward::Replica& replica) const {
  return replica.entry.role == EngineRole::kPrefill ||
         this->MayWriteStream(replica);
}

}  // namespace cranberryhill::gateway
