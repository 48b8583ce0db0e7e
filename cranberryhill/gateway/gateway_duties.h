#ifndef CRANBERRYHILL_GATEWAY_GATEWAY_DUTIES_H_
#define CRANBERRYHILL_GATEWAY_GATEWAY_DUTIES_H_

// The calls to the platform that one instance makes for all: usage reports and
// orders of replicas. Each instance counts, and tells the holder of the duty
// lease; the holder decides and calls.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/duties/duty_codec.h"
#include "cranberryhill/duties/duty_message.h"
#include "cranberryhill/duties/usage_reporter.h"
#include "cranberryhill/exchange/metrics.h"
#include "cranberryhill/exchange/request_observer.h"
#include "cranberryhill/forward/configuration.h"
#include "cranberryhill/forward/engine_speed.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/gateway/peer_link.h"
#include "cranberryhill/gateway/settings.h"
#include "cranberryhill/lease/handover_lease.h"
#include "cranberryhill/scaling/demand_collector.h"
#include "cranberryhill/scaling/replica_planner.h"
#include "cranberryhill/store/control_table.h"
#include "cranberryhill/store/direct_table.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/usage/fleet_time.h"
#include "cranberryhill/usage/usage_collector.h"
#include "cranberryhill/usage/usage_counter.h"

namespace cranberryhill::gateway {

/// What GatewayDuties shares with the rest of the gateway. All references must
/// outlive it.
struct DutyContext {
  PeerLink& peer_link;
  const forward::PeerLoadSync& peer_load_sync;
  const forward::ReplicaSet& replicas;
  const forward::EngineSpeedModels& engine_speeds;
  const ControlTable& control_table;
  const StoreCodec& store_codec;
  const duties::DutyCodec& duty_codec;
  EventLog& log;
  const Clock& clock;
  const Clock& wall_clock;
  Random& random;
  /// Makes a client of the store.
  std::function<std::unique_ptr<HttpCaller>()> make_store_client;
  /// Makes a client of the platform's API.
  std::function<std::unique_ptr<HttpCaller>()> make_platform_client;
};

/// Not thread-safe.
class GatewayDuties : public RequestObserver {
 public:
  GatewayDuties(const GatewaySettings& settings, DutyContext context);

  /// Does what is due. To be called several times a second.
  /// @param routes In force.
  /// @param stopping Whether the instance is being stopped. It still serves and
  ///     counts requests, but does not acquire the lease any more.
  void Tick(const forward::RouteTable& routes, bool stopping);

  /// Takes a message of a peer.
  void OnMessage(std::string_view bytes);

  void OnArrived(std::string_view service) override;
  void OnRefused(std::string_view service) override;
  void OnPrefill(std::string_view service,
                 const forward::PrefillWork& work) override;
  void OnBegan(std::string_view customer) override;

  void AddTo(GatewayMetrics& metrics) const;

  /// @return Number of calls made to the store.
  uint64_t store_calls() const {  // NOLINT
    return this->lease_table.calls() + this->usage_table.calls();
  }

 private:
  bool ReportsUsage(const forward::RouteTable& routes) const;
  static bool OrdersReplicas(const forward::RouteTable& routes);
  absl::Time TrueTime() const;
  uint64_t Era() const;
  void UpdateLease(bool stopping);
  void SendReport();
  void TakeReport(const duties::DutyReport& report);
  void TakeNotice(const duties::DutyNotice& notice);
  void SendNotice();
  void SendReleaseNotice();
  std::optional<absl::Duration> FleetOffset() const;
  void ReportUsage();
  void OrderReplicas(const forward::RouteTable& routes);
  scaling::ServiceObservation Observe(const forward::ServiceConfig& service,
                                      const scaling::DemandChange& change,
                                      absl::Duration elapsed) const;
  void SendNextOrder();
  void OnOrderAnswered(const std::string& service,
                       const scaling::ReplicaOrder& order,
                       const HttpResult& answer);
  void ForgetHeldState();

  struct ClockReport {
    absl::Duration offset;
    absl::Time received_at;
  };

  const std::string instance;
  const std::string zone;
  const uint64_t incarnation;
  const bool has_platform_api;
  const absl::Duration usage_window;
  const bool usage_is_wanted;
  DutyContext context;
  DirectTable lease_table;
  DirectTable usage_table;
  std::unique_ptr<HttpCaller> usage_client;
  std::unique_ptr<HttpCaller> order_client;
  HandoverLease lease;
  usage::FleetTime fleet_time;
  usage::UsageCounter counter;
  usage::UsageCollector collector;
  duties::UsageReporter reporter;
  scaling::DemandCollector demand_collector;
  std::map<std::string, scaling::ReplicaPlanner> planners;
  std::map<std::string, scaling::ServiceDemand, std::less<>> own_demand;

  const absl::Time started_at;
  bool counts_usage = false;  // The configuration names customers.
  uint64_t next_sequence = 1;
  std::string holder;  // As last heard; empty while there is none.
  uint64_t holder_fencing_number = 0;
  absl::Time holder_heard_at = absl::InfinitePast();
  absl::Time report_due_at = absl::InfinitePast();
  absl::Time notice_due_at = absl::InfinitePast();
  absl::Time planned_at = absl::InfinitePast();
  absl::Time held_since = absl::InfinitePast();
  int64_t known_decided = -1;
  std::map<std::string, ClockReport, std::less<>> clock_reports;
  bool order_active = false;
  size_t orders_failed_in_a_row = 0;
  absl::Time order_retry_at = absl::InfinitePast();
  uint64_t orders_sent = 0;
  uint64_t orders_unavailable = 0;
  uint64_t orders_failed = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_GATEWAY_DUTIES_H_
