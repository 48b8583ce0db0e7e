#ifndef CRANBERRYHILL_GATEWAY_EXCHANGE_H_
#define CRANBERRYHILL_GATEWAY_EXCHANGE_H_

// One request of a caller, from its last byte to the last byte of its answer.
// Sends it to replicas as Placement and AttemptPolicy decide and relays the
// answer.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/attempt_policy.h"
#include "cranberryhill/forward/configuration.h"
#include "cranberryhill/forward/event_splitter.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/forward/placement.h"
#include "cranberryhill/forward/replica_crash_quarantine.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/forward/windowed_retry_budget.h"
#include "cranberryhill/gateway/connection_pool.h"
#include "cranberryhill/gateway/event_log.h"
#include "cranberryhill/gateway/metrics.h"
#include "cranberryhill/gateway/wire_format.h"
#include "cranberryhill/http1/client.h"
#include "cranberryhill/http1/server.h"

namespace cranberryhill::gateway {

/// What all requests of a gateway share. All members outlive the exchanges.
struct ExchangeContext {
  boost::asio::io_context& io;
  const Clock& clock;
  const WireFormat& wire;
  forward::ReplicaSet& replicas;
  forward::PeerLoadSync& share;
  CrashQuarantine& crashes;
  forward::ReplicaCrashQuarantine& crash_watch;
  const forward::Placement& placement;
  ConnectionPool& pool;
  GatewayMetrics& metrics;
  EventLog& log;
  Random& random;
  std::function<forward::WindowedRetryBudget&(std::string_view service)> retry_budget;
  /// Called when a prompt is on its way to an engine.
  std::function<void()> tell_peers;
};

class Exchange : public http1::ActiveRequest,
                 public http1::AnswerHandler,
                 public std::enable_shared_from_this<Exchange> {
 public:
  /// @param routes The configuration in force when the request came.
  /// @param route Of `routes`.
  /// @param facts Decoded from `request`.
  Exchange(ExchangeContext& context,
           std::shared_ptr<const forward::RouteTable> routes,
           const forward::Route& route,
           http1::IncomingRequest request,
           CallerRequest facts,
           std::shared_ptr<http1::Responder> responder);
  ~Exchange() override;

  /// Decides on the first send.
  void Start();

  void OnCallerLeft() override;

  bool IsOwnAnswer(const http1::AnswerHead& head) override;
  void OnHead(http1::AnswerHead head) override;
  void OnBody(std::string_view data) override;
  void OnEnd(http1::AnswerEnd end, std::string_view reason) override;

 private:
  enum class Phase { kIdle, kReadingPrompt, kRunning, kDone };

  void SendNext();
  void StartReading(const forward::PlacementChoice& choice);
  void StartRun(std::shared_ptr<forward::Replica> replica,
                double unread_tokens,
                std::string cache_source);
  void Send(std::shared_ptr<forward::Replica> replica,
            double unread_tokens,
            const ForwardFields& fields);
  void SettleSend();

  void OnPromptRead(http1::AnswerEnd end, std::string_view reason);
  void OnRunEnd(http1::AnswerEnd end, std::string_view reason);
  forward::AttemptOutcome Classify(http1::AnswerEnd end) const;
  void OnSendFailed(forward::AttemptOutcome outcome, std::string_view reason);
  bool RunElsewhereOrUncached(const std::shared_ptr<forward::Replica>& refused);
  void RelayEvents(std::string_view data);
  void ReleaseHandle();

  bool HasBetterReplica();
  void ArmTimer();
  void OnTimer();
  absl::Time NextCheck() const;
  forward::PlacementChoice Choose();
  void NoteCrashEvidence(const forward::Replica& failed,
                         forward::AttemptOutcome outcome);
  int Priority() const;
  absl::Duration FirstByteLimit(absl::Duration expected) const;

  void Refuse(std::string_view reason, absl::Duration retry_after);
  void AnswerWhole();
  void AnswerOwn(int status, std::string_view reason);
  void CutStream(std::string_view reason);
  void Finish(std::string_view outcome, std::string_view reason, int status);

  absl::Time Now() const { return this->context.clock.Now(); }
  absl::Duration TimeLeft() const { return this->deadline - this->Now(); }
  LogEvent Event(std::string_view name) const;

  ExchangeContext& context;
  const std::shared_ptr<const forward::RouteTable> routes;
  const forward::Route& route;
  http1::IncomingRequest request;
  const CallerRequest facts;
  std::shared_ptr<http1::Responder> responder;
  const uint64_t fingerprint;
  std::string service;
  bool is_engine = false;
  absl::Time deadline;
  forward::AttemptPolicy policy;
  std::vector<std::string> excluded;

  Phase phase = Phase::kIdle;
  std::shared_ptr<forward::Replica> replica;  // Of the send in progress.
  std::shared_ptr<http1::ClientConnection> connection;
  double queued_tokens = 0;  // Added to the replica's queue by this send.
  forward::PrefillLane lane = forward::PrefillLane::kOnTime;
  absl::Time sent_at;
  absl::Time last_progress;
  absl::Duration expected_first;    // By the last choice of a replica.
  absl::Duration first_byte_limit;  // Longest time without a first byte.
  int prompt_reads = 0;
  bool tried_uncached = false;  // After a runner refused the cache.
  std::string handle;           // Of a cache that no run has taken yet.
  std::shared_ptr<forward::Replica> handle_keeper;

  http1::AnswerHead answer_head;
  AnswerFacts answer_facts;
  std::string answer_body;
  bool has_head = false;
  bool too_large = false;  // More than is kept of a whole answer.
  bool relaying = false;   // Events of this send go to the caller.
  bool stream_begun = false;
  forward::EventSplitter splitter;
  boost::asio::steady_timer timer;
  absl::Time timer_at = absl::InfiniteFuture();
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_EXCHANGE_H_
