#ifndef CRANBERRYHILL_GATEWAY_GATEWAY_H_
#define CRANBERRYHILL_GATEWAY_GATEWAY_H_

// One gateway instance: follows the tables of the store, accepts requests of
// callers and forwards them to replicas. All instances run the same program and
// persist nothing locally; state that must survive a restart is in the store.
//
//   Gateway gateway(io, clock, random, log, settings, wire, codec, duty_codec,
//                   wall_clock, "/ready");
//   BOOST_LEAF_CHECK(gateway.Start());
//   io.run();

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/customers/key_index.h"
#include "cranberryhill/exchange/connect_probe.h"
#include "cranberryhill/exchange/connection_pool.h"
#include "cranberryhill/exchange/exchange.h"
#include "cranberryhill/exchange/metrics.h"
#include "cranberryhill/exchange/shutdown_admission.h"
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
#include "cranberryhill/forward/windowed_retry_budget.h"
#include "cranberryhill/gateway/gateway_duties.h"
#include "cranberryhill/gateway/gateway_quarantines.h"
#include "cranberryhill/gateway/gateway_stream_version_fleet.h"
#include "cranberryhill/gateway/order_dispatcher.h"
#include "cranberryhill/gateway/peer_link.h"
#include "cranberryhill/gateway/replica_prober.h"
#include "cranberryhill/gateway/settings.h"
#include "cranberryhill/gateway/status_pages.h"
#include "cranberryhill/http1/server.h"
#include "cranberryhill/peers/send_permits.h"
#include "cranberryhill/request/crash_quarantine.h"
#include "cranberryhill/store/control_table.h"
#include "cranberryhill/store/delay_timer.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/store/store_contact.h"
#include "cranberryhill/store/table_follower.h"
#include "cranberryhill/stream_versions/stream_version_store.h"

namespace cranberryhill::gateway {

/// Not thread-safe: all calls are made on the thread that runs `io`.
class Gateway : public http1::RequestHandler,
                public TableObserver,
                public PeerLinkDelegate,
                public ProbeObserver {
 public:
  /// All references must outlive this object.
  /// @param wall_clock Time of day; only usage windows depend on it.
  /// @param readiness_path Path that the load balancer polls.
  Gateway(boost::asio::io_context& io,
          const Clock& clock,
          Random& random,
          EventLog& log,
          GatewaySettings settings,
          const WireFormat& wire,
          const StoreCodec& codec,
          const duties::DutyCodec& duty_codec,
          const Clock& wall_clock,
          std::string_view readiness_path);
  ~Gateway() override;

  /// @return kUnavailable when a listening address cannot be bound.
  Result<void> Start();

  /// Shuts down gracefully: reports not ready at once, lets requests in
  /// progress finish, then closes connections. Requests that may last longer
  /// than the time limit in the settings are refused unless they have been sent
  /// to a replica; those that are unfinished at its end are answered. Calls
  /// `done` when all answers have been sent or the time limit has passed.
  void Shutdown(std::function<void()> done);

  /// Applies the settings that can change while the process runs.
  void Reload(const GatewaySettings& settings);

  bool ready() const;  // NOLINT

  /// @return How many retries this instance may send to a service now.
  double RetryCredit(std::string_view service) {
    return this->RetryBudgetFor(service).Credit();
  }

  /// @return Number of other instances from which messages arrive.
  size_t LivePeers() const { return this->peer_load_sync.peers(); }

  std::shared_ptr<http1::ActiveRequest> OnRequest(
      http1::IncomingRequest request,
      std::shared_ptr<http1::Responder> responder) override;
  void OnMalformed(int status, std::string_view reason) override;
  http1::AnswerHead OnNoRoomForBody() override;

  void OnSnapshot(StoreTable table,
                  SnapshotKind kind,
                  const std::vector<StoreRow>& rows) override;
  void OnStoreRestored(StoreTable table, uint64_t era) override;
  void OnChanges(StoreTable table, const std::vector<StoreRow>& rows) override;
  void OnStoreRecovered(StoreTable table, absl::Duration outage) override;

  void OnPolled(StoreTable table,
                uint64_t era,
                uint64_t after,
                const std::vector<StoreRow>& rows) override;
  void OnStoreCall(StoreTable table, bool answered) override;

  void OnPeersUpdated() override;
  void DescribeStoreContact(forward::LoadMessage& message) const override;
  void OnPeerStoreContact(const forward::LoadMessage& message) override;
  void OnPeerRows(const RowMessage& message) override;
  void OnPeerDutyMessage(std::string_view bytes) override;
  void OnPeerPermit(const PermitMessage& message) override;
  std::vector<std::string> UnreachableReplicas() const override;
  void OnPeerUnreachable(std::span<const std::string> ids) override;
  void DescribeReach(forward::LoadMessage& message) const override;
  void OnPeerReach(const forward::LoadMessage& message) override;

  void OnProbeRefused(const forward::Replica& replica) override;
  void OnReachChanged(forward::Replica& replica) override;

 private:
  /// Takes the requests that other instances relay.
  class RelayHandler : public http1::RequestHandler {
   public:
    explicit RelayHandler(Gateway& gateway) : gateway(gateway) {}

    std::shared_ptr<http1::ActiveRequest> OnRequest(
        http1::IncomingRequest request,
        std::shared_ptr<http1::Responder> responder) override {
      return this->gateway.HandleRequest(
          std::move(request), std::move(responder), RequestOrigin::kPeer);
    }
    void OnMalformed(int status, std::string_view reason) override {
      this->gateway.OnMalformed(status, reason);
    }
    http1::AnswerHead OnNoRoomForBody() override {
      return this->gateway.OnNoRoomForBody();
    }

   private:
    Gateway& gateway;
  };

  std::shared_ptr<http1::ActiveRequest> HandleRequest(
      http1::IncomingRequest request,
      std::shared_ptr<http1::Responder> responder,
      RequestOrigin origin);
  bool Authenticate(const forward::Route& route,
                    RequestOrigin origin,
                    CallerRequest& request,
                    http1::Responder& responder);
  bool MayUseKeys() const;
  std::vector<std::string> CutOffServices() const;
  void UpdateCutOffServices();
  std::unique_ptr<HttpCaller> MakeStoreClient() const;
  DutyContext MakeDutyContext(const duties::DutyCodec& duty_codec,
                              const Clock& wall_clock);
  StoredStreamVersions::Channels MakeStreamVersionChannels() const;
  void ApplyConfiguration(const StoreRow& row);
  void ApplyReplica(const StoreRow& row);
  std::optional<forward::ReplicaEntry> DecodeReplicaRow(const StoreRow& row);
  size_t KnownInstances() const;
  forward::RetryBudgetLimits OwnRetryBounds() const;
  void UpdateRetryBudgets();
  void UpdateConnectionShares();
  void OnControlTableChanged();
  void OnRefusedConnection(const forward::Replica& replica);
  void EndNotices();
  size_t StoreRank() const;
  TableFollower& FollowerOf(StoreTable table);
  forward::WindowedRetryBudget& RetryBudgetFor(std::string_view service);
  void UpdateStreamVersions();
  void ScheduleMaintenance();
  void ObserveEventLoop();
  void CheckShutdown();
  void EndRequests();
  void ReportStopped();
  StatusPage MakeReadinessPage() const;
  StatusPage MakeStatusPage() const;
  StatusPage MakeMetricsPage();

  boost::asio::io_context& io;
  const Clock& clock;
  EventLog& log;
  Random& random;
  GatewaySettings settings;
  const WireFormat& wire;
  const StoreCodec& codec;

  ByteAccount answer_bytes;
  ByteAccount body_bytes;
  forward::ReplicaSet replicas;
  forward::PeerLoadSync peer_load_sync;
  CrashQuarantine crash_quarantine;
  forward::PromptPartQuarantine prompt_part_quarantine;
  forward::ReplicaCrashQuarantine replica_crash_quarantine;
  forward::ReplicaLimits replica_limits;
  forward::ReplicaNotices replica_notices;
  forward::EngineSpeedModels engine_speeds;
  forward::Placement placement;
  forward::Reachability reachability;
  AsioProbeConnector probe_connector;
  ReplicaProber replica_prober;
  forward::RelayPeers relay_peers;
  ConnectionPool connection_pool;
  ShutdownAdmission shutdown_admission;
  GatewayMetrics metrics;
  ExchangeContext exchange_context;
  std::shared_ptr<const forward::RouteTable> routes;
  forward::RouteHistory route_history;
  // Built from the configuration of `routes`.
  std::shared_ptr<const customers::KeyIndex> keys;
  absl::flat_hash_map<std::string,
                      std::unique_ptr<forward::WindowedRetryBudget>>
      retry_budgets;
  StoreContact store_contact;
  TableFollower configuration_follower;
  TableFollower replica_follower;
  ControlTable control_table;
  OrderDispatcher order_dispatcher;
  PeerLink peer_link;
  SendPermits send_permits;
  ServiceRowReader service_row_reader;
  GatewayStreamVersionFleet stream_version_fleet;
  StoredStreamVersions stream_versions;
  GatewayQuarantines quarantines;
  GatewayDuties duties;
  http1::Server caller_server;
  RelayHandler relay_handler;
  http1::Server relay_server;
  std::vector<std::string> cut_off_services;  // As last logged.
  StatusPages readiness_pages;
  StatusPages control_pages;
  http1::Server readiness_server;
  http1::Server control_server;
  http1::Server metrics_server;
  boost::asio::steady_timer maintenance_timer;
  AsioDelayTimer shutdown_timer;
  std::function<void()> shutdown_done;
  absl::Time shutdown_started_at = absl::InfiniteFuture();
  bool idle_connections_closed = false;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_GATEWAY_H_
