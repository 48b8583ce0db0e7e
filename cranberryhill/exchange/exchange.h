#ifndef CRANBERRYHILL_EXCHANGE_EXCHANGE_H_
#define CRANBERRYHILL_EXCHANGE_EXCHANGE_H_

// Handles one request of a caller, from the last byte of the request to the
// last byte of its answer. Sends it to replicas as decided by Placement and
// AttemptPolicy and relays the answer.
//
// A send that makes no progress is not given up until another replica has taken
// the request. Until then the request listens to both and goes on with the one
// that makes progress first.

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/byte_account.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/exchange/connection_pool.h"
#include "cranberryhill/exchange/metrics.h"
#include "cranberryhill/exchange/replica_send.h"
#include "cranberryhill/exchange/request_observer.h"
#include "cranberryhill/exchange/shutdown_admission.h"
#include "cranberryhill/exchange/wire_format.h"
#include "cranberryhill/forward/attempt_policy.h"
#include "cranberryhill/forward/configuration.h"
#include "cranberryhill/forward/engine_speed.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/forward/placement.h"
#include "cranberryhill/forward/prompt_part_quarantine.h"
#include "cranberryhill/forward/reachability.h"
#include "cranberryhill/forward/relay_peers.h"
#include "cranberryhill/forward/replica_crash_quarantine.h"
#include "cranberryhill/forward/replica_limits.h"
#include "cranberryhill/forward/replica_notices.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/forward/route_history.h"
#include "cranberryhill/forward/windowed_retry_budget.h"
#include "cranberryhill/http1/client.h"
#include "cranberryhill/http1/server.h"
#include "cranberryhill/peers/peer_relay.h"
#include "cranberryhill/peers/send_permits.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/stream_versions/stream_versions.h"

namespace cranberryhill::gateway {

/// Retry-After of requests that are refused during a shutdown; another instance
/// can take them at once.
inline constexpr absl::Duration kRetryAfterShutdown = absl::Milliseconds(100);

/// Where a request came from.
enum class RequestOrigin { kCaller, kPeer };

/// State shared by all exchanges of a gateway. All members must outlive the
/// exchanges.
struct ExchangeContext {
  boost::asio::io_context& io;
  const Clock& clock;
  const WireFormat& wire;
  forward::ReplicaSet& replicas;
  forward::PeerLoadSync& peer_load_sync;
  CrashQuarantine& crash_quarantine;
  forward::PromptPartQuarantine& prompt_part_quarantine;
  forward::ReplicaCrashQuarantine& replica_crash_quarantine;
  forward::ReplicaLimits& replica_limits;
  forward::ReplicaNotices& replica_notices;
  SendPermits& send_permits;
  StreamVersions& stream_versions;
  const forward::Placement& placement;
  forward::EngineSpeedModels& engine_speeds;
  forward::Reachability& reachability;
  ConnectionPool& connection_pool;
  ShutdownAdmission& shutdown_admission;
  /// Bounds what is kept of all answers together; replicas are its owners.
  ByteAccount& answer_bytes;
  GatewayMetrics& metrics;
  EventLog& log;
  Random& random;
  std::function<forward::WindowedRetryBudget&(std::string_view service)>
      retry_budget;
  /// Called after a prompt has been sent to an engine for prefill.
  std::function<void()> notify_peers;
  /// Opens a probe connection to a replica that has gone silent or may have
  /// crashed.
  std::function<void(const std::shared_ptr<forward::Replica>&)> probe;
  /// Called when a replica refuses connections, which may confirm a crash.
  std::function<void(const forward::Replica&)> on_refused_connection;
  forward::RelayPeers& relay_peers;
  /// @return The address at which a peer accepts the requests of its peers.
  std::function<std::optional<boost::asio::ip::tcp::endpoint>(
      std::string_view instance)>
      relay_endpoint;
  /// Called when a connection to a replica could not be opened.
  std::function<void(forward::Replica&)> on_connect_failed;
  RequestObserver& observer;
  const forward::RouteHistory& route_history;
};

class Exchange : public http1::ActiveRequest,
                 public ReplicaSend::Observer,
                 public PeerRelay::Observer,
                 public std::enable_shared_from_this<Exchange> {
 public:
  /// @param routes The routes in force when the request arrived.
  /// @param route The matching route in `routes`.
  /// @param caller_request Decoded from `request`.
  Exchange(ExchangeContext& context,
           std::shared_ptr<const forward::RouteTable> routes,
           const forward::Route& route,
           http1::IncomingRequest request,
           CallerRequest caller_request,
           RequestOrigin origin,
           std::shared_ptr<http1::Responder> responder);
  ~Exchange() override;

  /// Chooses a replica and sends the request, or refuses it.
  void Start();

  void OnCallerLeft() override;
  void OnCallerCaughtUp() override;
  void OnShutdownEnds() override;

  http1::AnswerMatch MatchAnswer(const http1::AnswerHead& head,
                                 ReplicaAnswerInfo& info) override;
  void OnSendHead(ReplicaSend& send) override;
  void OnSendBody(ReplicaSend& send, std::string_view data) override;
  void OnSendEnd(ReplicaSend& send,
                 http1::AnswerEnd end,
                 std::string_view reason) override;
  bool MaySend(ReplicaSend& send) override;

  void OnRelayHead(PeerRelay& relay) override;
  void OnRelayBody(PeerRelay& relay, std::string_view data) override;
  void OnRelayEnd(PeerRelay& relay,
                  http1::AnswerEnd end,
                  std::string_view reason) override;

 private:
  /// Time limit for opening a connection to a replica. A replica in the same
  /// region accepts one within a few milliseconds. If a packet is lost, it is
  /// resent only after a second, so trying another replica is faster.
  static constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);
  /// A request is sent to a replica only if at least this much time is left.
  static constexpr absl::Duration kMinTimeForSend = absl::Milliseconds(30);
  /// Maximum number of prefills of one request on separate prefill engines; the
  /// second one follows a failure.
  static constexpr int kMaxPrefillAttempts = 2;
  /// Retry-After of refusals for which no better time is known. Replicas that
  /// crash or are replaced are back after a second or more.
  static constexpr absl::Duration kDefaultRetryAfter = absl::Milliseconds(500);
  /// A former send is listened to for this long after the run at the next
  /// replica was sent. Two replicas must not work on a stream for more than
  /// 400 ms.
  static constexpr absl::Duration kHandoverTime = absl::Milliseconds(300);

  /// What the request does apart from listening to the former send.
  enum class Phase {
    kIdle,
    kFindingVersion,
    kAwaitingPermit,
    kAwaitingConnection,
    kAwaitingRetry,
    kPrefilling,
    kRunning,
    kRelaying,
    kDone
  };

  /// What the choice of a replica has decided about the next send.
  struct Choice {
    absl::Time made_at;
    absl::Duration expected_first_byte;
    absl::Duration first_byte_timeout;
    forward::PrefillLane lane = forward::PrefillLane::kOnTime;
  };

  /// Why no replica takes a request, and when one may.
  struct NextOpening {
    std::string_view reason;
    absl::Duration wait;  ///< Zero if no time is known.
  };

  // exchange.cc: sends.
  void SendToNextReplica();
  absl::Duration UsefulTime() const;
  void SendTo(const forward::PlacementChoice& choice);
  void StartPrefill(const forward::PlacementChoice& choice);
  void RunWithCache();
  void StartRun(std::shared_ptr<forward::Replica> replica,
                double prefill_tokens,
                std::string cache_source);
  void Send(std::shared_ptr<forward::Replica> replica,
            double prefill_tokens,
            const ForwardFields& fields);
  bool NeedsRegisteredProcess() const;
  ReplicaSend::ProcessQuery MakeProcessQuery(const forward::Replica& target);
  int Priority() const;
  bool HasRoomForRetries(int count = 1);
  bool ReserveRetry();
  void OnRetrySent();
  void CancelReservedRetry();

  // exchange_choice.cc: where a request may be sent.
  forward::PlacementChoice ChooseReplica();
  void AwaitPermit(const forward::Replica& target,
                   std::function<void(bool granted)> next);
  std::vector<std::shared_ptr<forward::Replica>> UsableReplicas();
  std::vector<std::shared_ptr<forward::Replica>> OpenReplicasInHeardZones();
  bool CanRun(const forward::Replica& replica) const;
  bool IsExcluded(const forward::Replica& replica) const;
  bool TakesRequest(const forward::Replica& replica) const;
  std::vector<std::shared_ptr<forward::Replica>> OpenReplicas();
  NextOpening FindNextOpening();
  bool IsOverloaded(const forward::Replica& replica) const;
  bool HasAlternativeReplica();
  void ReservePermit(const std::string& id);
  std::vector<std::shared_ptr<forward::Replica>> OtherReplicas(
      const forward::Replica& than);
  bool AwaitFreeConnection();
  void EndConnectionWait();

  // exchange_versions.cc: software versions of streams.
  bool IsTakeUp() const;
  bool HasBegun() const;
  void FindStreamVersion();
  void OnStreamOriginFound(std::optional<StreamOrigin> origin);
  std::string FirstService() const;
  void SetService(std::string service);
  RecordRule RuleOfRecord() const;
  bool BeginsStream() const;
  bool WithdrawRecord();
  void PrepareVersion(const std::shared_ptr<ReplicaSend>& send);
  void OnNotRecorded(const ReplicaSend& send);
  bool BeginAtRecordlessVersion();
  void RetryRecord();
  void BindToSentVersion(const ReplicaSend& send);
  bool MayWriteStream(const forward::Replica& replica) const;
  bool IsOfUsableVersion(const forward::Replica& replica) const;
  bool NeedsNoRecord(const forward::Replica& replica) const;
  void KeepVersionsToBeginAt(
      std::vector<std::shared_ptr<forward::Replica>>& replicas) const;
  void LogVersionCapacity() const;

  // exchange_answer.cc: what arrives from replicas.
  void OnPrefillEnd(http1::AnswerEnd end, std::string_view reason);
  void OnRunEnd(http1::AnswerEnd end, std::string_view reason);
  bool IsCompleteStream(const ReplicaSend& send, http1::AnswerEnd end) const;
  bool IsRelayable(const ReplicaSend& send, http1::AnswerEnd end) const;
  static forward::AttemptOutcome Classify(const ReplicaSend& send,
                                          http1::AnswerEnd end);
  void OnSendFailed(forward::AttemptOutcome outcome, std::string_view reason);
  void RecordFailure(const ReplicaSend& send, forward::AttemptOutcome outcome);
  bool RunOnOtherReplicaOrWithoutCache(
      const std::shared_ptr<forward::Replica>& refused);
  void RelayEvents(ReplicaSend& send, std::string_view data);
  void OnPrepared(ReplicaSend& send, bool recorded);
  void PassEventsOn(ReplicaSend& send, std::string_view events, int64_t count);
  void RelayStreamHead(const ReplicaSend& send);
  bool KeepOrGiveUp(ReplicaSend& send, size_t bytes);
  bool HasTooLargeBody(const ReplicaSend& send) const;
  void OnAnswerTooLarge(ReplicaSend& send, bool replica_is_at_fault);
  void LearnFromFirstEvent(const ReplicaSend& send);
  void RecordBegan();
  absl::Duration TookAtUsualSpeed(const ReplicaSend& send) const;
  void RecordPossibleCrash(const ReplicaSend& send,
                           forward::AttemptOutcome outcome);
  void ReleaseCache();

  // exchange_notices.cc: what replicas say about themselves.
  void LearnFromHead(const ReplicaSend& send);
  void LearnLimit(const ReplicaSend& send);

  // exchange_handover.cc: from one replica to another.
  void SeekSuccessor(std::string_view reason);
  void GoOnWith(const ReplicaSend& send);
  void StayWithFormer(std::string_view reason);
  void OnFormerEnd(http1::AnswerEnd end, std::string_view reason);
  void EndHandover();
  void GiveUpFormer(std::string_view reason);
  void EndCurrent();
  void EndFormer();
  bool ReturnToSilentReplica();

  // exchange_timing.cc: how long a request waits for its replica.
  void ArmTimer();
  void ArmTimerAt(absl::Time next);
  void OnTimer();
  bool MayGoOnElsewhere() const;
  absl::Duration ConnectTimeout(const forward::Replica& target);
  absl::Time NextTimeoutCheck() const;
  absl::Time NextSilenceCheck() const;
  absl::Time NextCheck() const;
  bool GiveUpOnUnreachableReplica();
  bool MayLeaveSilentReplica();
  void EndSendWithoutProgress(std::string_view reason);
  absl::Duration FirstByteTimeout(absl::Duration expected) const;

  // exchange_relay.cc: through another instance.
  bool MayRelay() const;
  bool RelayIfCutOff();
  bool RelayForRecord(const forward::Replica& replica);
  bool RelayInsteadOfRefusal(std::string_view reason,
                             absl::Duration retry_after);
  bool Relay(std::string_view reason, absl::Duration retry_after);
  void OnRelayFailed(const PeerRelay& ended,
                     http1::AnswerEnd end,
                     std::string_view reason);
  void OnRelayTimer();

  // exchange_end.cc: how a request ends.
  bool RefuseIfItCrashesReplicas();
  bool TakesTrial();
  static std::string SharedPartsText(const forward::PromptDescription& prompt);
  bool OutlastsShutdown() const;
  void EndUnanswered(std::string_view reason, absl::Duration retry_after);
  void RelayWholeAnswer(ReplicaSend& send);
  void OnDeadline();
  void EndNow(int status,
              std::string_view reason,
              std::optional<absl::Duration> retry_after);
  void Finish(std::string_view outcome, std::string_view reason, int status);

  absl::Time Now() const { return this->context.clock.Now(); }
  absl::Duration TimeLeft() const {
    return std::min(this->deadline,
                    this->context.shutdown_admission.requests_end_at()) -
           this->Now();
  }
  CustomerFields ShownCustomer() const;
  LogEvent MakeLogEvent(std::string_view name) const;

  ExchangeContext& context;
  const std::shared_ptr<const forward::RouteTable> routes;
  const forward::Route& route;
  http1::IncomingRequest request;
  const CallerRequest caller_request;
  const RequestOrigin origin;
  std::shared_ptr<http1::Responder> responder;
  const uint64_t fingerprint;
  std::string service;
  bool is_engine_service = false;
  absl::Time deadline;
  forward::AttemptPolicy attempt_policy;
  std::vector<std::string> excluded_replicas;
  std::vector<std::string> prompt_read_by;  // Ids of replicas that have it.
  // Have carried this request.
  std::vector<std::weak_ptr<http1::ClientConnection>> used_connections;

  Phase phase = Phase::kIdle;
  Choice choice;
  std::shared_ptr<ReplicaSend> current;  // Null while none is in progress.
  // Has made no progress and is listened to until `current` is accepted.
  std::shared_ptr<ReplicaSend> former;
  absl::Time former_ends_at = absl::InfiniteFuture();
  // The last replica that was left because nothing came from it.
  std::shared_ptr<forward::Replica> silent_replica;
  // Number of events at which a former send was last kept because its replica
  // had woken up. Kept once only: the send may be stuck on its own.
  int64_t kept_after_events = -1;
  absl::Time kept_until = absl::InfiniteFuture();  // Without an event.
  // Counts the returns to the former send. Permits that were asked for before
  // are not used.
  int returns = 0;
  bool move_is_due = false;  // A permit to leave the replica has arrived.

  // The budget has counted the next send that is a retry. It may wait for a
  // prefill or a permit, and others must not use the same room meanwhile.
  bool has_reserved_retry = false;
  bool run_is_retry = false;  // The budget has counted the run in progress.
  int prefill_attempts = 0;
  int denied_permits = 0;
  bool tried_uncached = false;  // A run without the cache was tried.
  std::string cache_handle;     // Set until a run has used the cache.
  std::shared_ptr<forward::Replica> cache_owner;

  absl::Time counted_at;             // From the retry budget.
  bool may_be_relayed = true;        // False if each instance would refuse it.
  std::shared_ptr<PeerRelay> relay;  // Null while none is in progress.
  std::vector<std::string> relayed_to;  // Names of instances.
  std::string relay_reason;
  absl::Duration relay_retry_after;

  // Software version that began the stream; unset before its first event.
  std::optional<std::string> stream_version;
  // The record of the version of a send was not stored in time.
  bool record_is_late = false;
  absl::Time record_retry_at = absl::InfiniteFuture();
  bool has_begun_to_run = false;  // The observer knows.
  bool stream_started = false;
  std::optional<std::string> last_event_id;  // Of the events passed on.
  int64_t event_count = 0;
  int64_t held_event_count = 0;  // Of the current send.
  boost::asio::steady_timer timer;
  absl::Time timer_expires_at = absl::InfiniteFuture();
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_EXCHANGE_EXCHANGE_H_
