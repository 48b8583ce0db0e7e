#ifndef CRANBERRYHILL_GATEWAY_GATEWAY_H_
#define CRANBERRYHILL_GATEWAY_GATEWAY_H_

// One entry instance in front of replicas: follows the store, takes requests
// of callers and forwards them. All instances run the same process and keep
// nothing; what must last is in the store.
//
//   Gateway gateway(io, clock, random, log, settings, wire, codec, "/ready");
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
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/configuration.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/forward/placement.h"
#include "cranberryhill/forward/replica_crash_quarantine.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/forward/windowed_retry_budget.h"
#include "cranberryhill/gateway/connection_pool.h"
#include "cranberryhill/gateway/control_table.h"
#include "cranberryhill/gateway/event_log.h"
#include "cranberryhill/gateway/exchange.h"
#include "cranberryhill/gateway/metrics.h"
#include "cranberryhill/gateway/order_desk.h"
#include "cranberryhill/gateway/peer_link.h"
#include "cranberryhill/gateway/settings.h"
#include "cranberryhill/gateway/status_pages.h"
#include "cranberryhill/gateway/table_follower.h"
#include "cranberryhill/http1/server.h"
#include "cranberryhill/request/crash_quarantine.h"

namespace cranberryhill::gateway {

/// Runs on the thread of `io`.
class Gateway : public http1::RequestHandler,
                public TableObserver,
                public TableVersions {
 public:
  /// All references must outlive this object.
  /// @param readiness_path Asked by the load balancer.
  Gateway(boost::asio::io_context& io,
          const Clock& clock,
          Random& random,
          EventLog& log,
          GatewaySettings settings,
          const WireFormat& wire,
          const StoreCodec& codec,
          std::string_view readiness_path);
  ~Gateway() override;

  /// @return kUnavailable when an address cannot be bound.
  Result<void> Start();

  /// Ends the process's work without cutting a request: not ready at once,
  /// then closes, and calls `done` when all answers are sent or the time in
  /// the settings is up.
  void Shutdown(std::function<void()> done);

  /// Takes over settings that can change while running.
  void Reload(const GatewaySettings& settings);

  bool ready() const;  // NOLINT

  std::shared_ptr<http1::ActiveRequest> OnRequest(
      http1::IncomingRequest request,
      std::shared_ptr<http1::Responder> responder) override;
  void OnMalformed(int status, std::string_view reason) override;

  void OnTable(StoreTable table, const std::vector<StoreRow>& rows) override;
  void OnChanges(StoreTable table, const std::vector<StoreRow>& rows) override;
  void OnRegained(StoreTable table, absl::Duration outage) override;

  std::vector<uint64_t> KnownVersions() const override;
  void OnPeerVersions(std::span<const uint64_t> versions) override;
  void OnRank(size_t rank) override;

 private:
  void ApplyConfiguration(const StoreRow& row);
  void ApplyReplica(const StoreRow& row);
  std::optional<forward::ReplicaEntry> ReadReplica(const StoreRow& row);
  double OwnShareOf(double shared) const;
  forward::RetryBudgetLimits OwnRetryBounds() const;
  void UpdateBudgets();
  void ShareConnections();
  void OnPeersChanged();
  forward::WindowedRetryBudget& BudgetOf(std::string_view service);
  void ScheduleUpkeep();
  void CheckShutdown();
  StatusPage ReadinessPage() const;
  StatusPage StatusPageOf() const;
  StatusPage MetricsPage();

  const Clock& clock;
  EventLog& log;
  GatewaySettings settings;
  const WireFormat& wire;
  const StoreCodec& codec;

  forward::ReplicaSet replicas;
  forward::PeerLoadSync share;
  CrashQuarantine crashes;
  forward::ReplicaCrashQuarantine crash_watch;
  forward::Placement placement;
  ConnectionPool pool;
  GatewayMetrics metrics;
  ExchangeContext context;
  std::shared_ptr<const forward::RouteTable> routes;
  absl::flat_hash_map<std::string, std::unique_ptr<forward::WindowedRetryBudget>>
      budgets;
  TableFollower configuration_follower;
  TableFollower replica_follower;
  ControlTable control_table;
  OrderDesk orders;
  PeerLink peers;
  http1::Server callers;
  StatusPages readiness_pages;
  StatusPages control_pages;
  http1::Server readiness;
  http1::Server control;
  http1::Server metrics_server;
  boost::asio::steady_timer upkeep_timer;
  std::function<void()> shutdown_done;
  absl::Time shutdown_began = absl::InfiniteFuture();
  bool idle_closed = false;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_GATEWAY_H_
