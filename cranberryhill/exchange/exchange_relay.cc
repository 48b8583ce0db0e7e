// The part of Exchange that sends a request to another instance when this one
// reaches no replica of its service.

#include <algorithm>
#include <utility>

#include "cranberryhill/exchange/exchange.h"

namespace cranberryhill::gateway {
namespace {

/// Maximum number of peers that get a request. The second one gets it only if
/// the first has certainly not run it.
constexpr size_t kMaxPeers = 2;
/// Maximum size of an answer that is passed on as a whole.
constexpr size_t kMaxAnswerBytes = 1 << 20;

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

/// @return True if the request has reached no replica and may go to a peer. One
///     that came from a peer never does, so that requests do not go in circles.
bool Exchange::MayRelay() const {
  return this->origin == RequestOrigin::kCaller && this->may_be_relayed &&
         !this->stream_started && !this->OutlastsShutdown() &&
         this->current == nullptr && this->former == nullptr &&
         this->silent_replica == nullptr && this->prefill_attempts == 0 &&
         this->attempt_policy.replicas().empty() &&
         !this->attempt_policy.MayHaveRun() &&
         this->TimeLeft() >= kMinTimeForSend;
}

/// Relays the request if no replica of its service can be reached.
bool Exchange::RelayIfCutOff() {
  return this->MayRelay() &&
         this->context.reachability.IsCutOff(
             this->context.replicas.Members(this->service)) &&
         this->Relay("cut_off", kDefaultRetryAfter);
}

/// Relays a stream that would begin at a version which it has to be recorded
/// with, if the store turns this instance away and not its peers.
bool Exchange::RelayForRecord(const forward::Replica& replica) {
  return this->is_engine_service && this->BeginsStream() && this->MayRelay() &&
         this->context.stream_versions.NeedsRecordOfPeer(
             this->service, replica.entry.software_version) &&
         this->Relay("record_not_stored", kDefaultRetryAfter);
}

/// Relays a request that no replica takes, if that may be due to connections
/// that this instance cannot open.
bool Exchange::RelayInsteadOfRefusal(std::string_view reason,
                                     absl::Duration retry_after) {
  return this->MayRelay() &&
         this->context.reachability.FailsToConnect(
             this->context.replicas.Members(this->service)) &&
         this->Relay(reason, retry_after);
}

/// Drops the record of a stream that is to begin at another instance. What is
/// stored here or may be stored yet would say another version than the peer's
/// record, or than the base if the peer needs none.
/// @return False if the store has a record, or may get one.
bool Exchange::WithdrawRecord() {
  return !this->BeginsStream() || this->context.stream_versions.Withdraw(
                                      this->caller_request.attempt_id);
}

/// Sends the request to a peer.
/// @param reason, retry_after For the refusal if no peer takes it.
/// @return False if there is no peer.
bool Exchange::Relay(std::string_view reason, absl::Duration retry_after) {
  if (this->relayed_to.size() >= kMaxPeers)
    return false;
  auto peer = this->context.relay_peers.Choose(
      this->service, this->relayed_to,
      this->context.random.UniformInt(0, UINT64_MAX));
  auto endpoint = peer ? this->context.relay_endpoint(*peer) : std::nullopt;
  if (!endpoint || !this->WithdrawRecord())
    return false;
  // The peer counts the request.
  if (this->relayed_to.empty()) {
    this->CancelReservedRetry();
    this->context.retry_budget(this->service).OnRequestMoved(this->counted_at);
  }
  this->phase = Phase::kRelaying;
  this->relayed_to.push_back(*peer);
  // For the second peer, `reason` refers to relay_reason itself and is not
  // valid afterwards.
  this->relay_reason = std::string(reason);
  this->relay_retry_after = retry_after;
  this->context.metrics.CountDecision("request_relayed");
  this->context.log.Write(this->MakeLogEvent("request_relayed")
                              .Add("peer", *peer)
                              .Add("reason", this->relay_reason)
                              .Add("left_ms", this->TimeLeft()));
  PeerRelay::Resources resources{
      http1::ClientConnection::Create(this->context.io, *endpoint),
      this->context.answer_bytes.Open("instance/" + *peer),
      this->context.relay_peers};
  this->relay = std::make_shared<PeerRelay>(*peer, std::move(resources), *this);
  this->ArmTimerAt(this->deadline);
  http1::SendOptions options{kConnectTimeout,
                             this->request.head.method == "HEAD"};
  this->relay->Start(
      http1::SerializeRequest(
          this->context.wire.EncodeRelayedHead(
              this->request.head, this->TimeLeft(), this->ShownCustomer()),
          this->request.body),
      options);
  return true;
}

void Exchange::OnRelayHead(PeerRelay& relay) {
  auto self = this->shared_from_this();
  const http1::AnswerHead& head = relay.Head();
  ReplicaAnswerInfo info = this->context.wire.DecodeAnswer(head);
  if (head.status != kOk || !info.is_signed || !info.is_event_stream)
    return;
  this->stream_started = true;
  this->context.metrics.ObserveFirstByte(this->Now() - this->request.arrived);
  http1::AnswerHead passed_on = head;
  passed_on.headers.RemoveConnectionFields();
  this->responder->BeginStream(std::move(passed_on));
}

void Exchange::OnRelayBody(PeerRelay& relay, std::string_view data) {
  auto self = this->shared_from_this();
  auto is_kept = [&relay](size_t bytes) {
    return bytes <= kMaxAnswerBytes && relay.KeptBytes().Grow(bytes);
  };
  if (!this->stream_started) {
    if (!is_kept(relay.Body().size() + data.size()))
      return this->EndNow(kBadGateway, "answer_too_large", std::nullopt);
    relay.Body().append(data);
    return;
  }
  size_t events_before = relay.Events().event_count();
  std::string events = relay.Events().Feed(data);
  if (relay.Events().too_large() ||
      !is_kept(relay.Events().incomplete_event().size()))
    return this->EndNow(kBadGateway, "answer_too_large", std::nullopt);
  if (events.empty())
    return;
  this->event_count +=
      static_cast<int64_t>(relay.Events().event_count() - events_before);
  this->responder->SendPart(events);
  // The caller may have been given up meanwhile.
  if (this->phase == Phase::kRelaying && this->responder->IsBacklogged())
    relay.Pause();
}

void Exchange::OnRelayEnd(PeerRelay& relay,
                          http1::AnswerEnd end,
                          std::string_view reason) {
  auto self = this->shared_from_this();
  if (&relay != this->relay.get())
    return;
  std::shared_ptr<PeerRelay> ended = std::move(this->relay);
  ended->End();
  if (end != http1::AnswerEnd::kComplete)
    return this->OnRelayFailed(*ended, end, reason);
  if (this->stream_started) {
    if (!ended->Events().incomplete_event().empty())
      return this->EndNow(kBadGateway, "peer_answer_broken", std::nullopt);
    this->responder->EndStream();
    return this->Finish("answered", "", kOk);
  }
  ReplicaAnswerInfo info = this->context.wire.DecodeAnswer(ended->Head());
  int status = ended->Head().status;
  // An instance says so of requests that have not run only, and names a time if
  // another one may have them.
  bool is_refusal = status == kUnavailable && !info.is_signed;
  if (is_refusal && !info.retry_after)
    return this->EndNow(kUnavailable, "refused_by_peer",
                        this->relay_retry_after);
  if (is_refusal && this->TimeLeft() >= kMinTimeForSend &&
      this->Relay(this->relay_reason, this->relay_retry_after))
    return;
  http1::AnswerHead head = ended->Head();
  head.headers.RemoveConnectionFields();
  this->context.metrics.ObserveFirstByte(this->Now() - this->request.arrived);
  this->responder->SendWhole(std::move(head), ended->Body());
  this->responder->HoldUntilSent(std::move(ended->KeptBytes()));
  if (is_refusal)
    return this->Finish("refused", "refused_by_peer", status);
  this->Finish(status < 500 ? "answered" : "failed",
               status < 500 ? "" : "failed_by_peer", status);
}

void Exchange::OnRelayFailed(const PeerRelay& ended,
                             http1::AnswerEnd end,
                             std::string_view reason) {
  this->context.metrics.CountDecision("relay_failed");
  this->context.log.Write(
      this->MakeLogEvent("relay_failed")
          .Add("peer", ended.Peer())
          .Add("may_have_run", end != http1::AnswerEnd::kNotConnected)
          .Add("reason", reason));
  if (end != http1::AnswerEnd::kNotConnected)
    return this->EndNow(kBadGateway, "peer_answer_broken", std::nullopt);
  this->context.relay_peers.OnUnreachable(ended.Peer());
  if (this->TimeLeft() >= kMinTimeForSend &&
      this->Relay(this->relay_reason, this->relay_retry_after))
    return;
  this->EndNow(kUnavailable, this->relay_reason, this->relay_retry_after);
}

void Exchange::OnRelayTimer() {
  if (this->Now() < this->deadline)
    return this->ArmTimerAt(this->deadline);
  this->EndNow(kGatewayTimeout, "deadline", std::nullopt);
}

}  // namespace cranberryhill::gateway
