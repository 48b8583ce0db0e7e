#ifndef CRANBERRYHILL_FORWARD_CONFIGURATION_H_
#define CRANBERRYHILL_FORWARD_CONFIGURATION_H_

// The operators' configuration of forwarded requests: routes, services and
// limits. RouteTable finds the route of a request.
//
//   RouteTable table(configuration);
//   const Route* route = table.Match("desk.example", "/orders/17?full=1");

#include <array>
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

namespace cranberryhill::forward {

/// How often a request of a route may run and how it is answered.
enum class RequestKind {
  kIdempotent,  ///< May run more than once.
  kAtMostOnce,  ///< May run at most once per request of a caller.
  kStream,      ///< Is answered by a stream of events; see Route::resumable.
};

struct WeightedService {
  std::string service;
  uint32_t weight = 1;

  bool operator==(const WeightedService&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kAtMostOnce;
  absl::Duration timeout = absl::Seconds(5);
  absl::Duration target_latency = absl::Seconds(1);
  /// Longest interval between two events that still counts as on time.
  absl::Duration target_event_interval = absl::Milliseconds(250);
  int priority = 5;  ///< 0 is the most urgent.
  /// Number of replicas that one request may be sent to.
  int max_replicas = 1;
  /// True when another replica can continue a stream after a given event.
  bool resumable = false;
  /// True when requests need no key of a customer.
  bool allow_anonymous = false;
  std::vector<WeightedService> services;

  /// @return How long callers wait for the first event of a stream, or for the
  ///     next one, before they close the connection.
  absl::Duration CallerEventTimeout() const;

  /// @return True when requests of the route may run at the service.
  bool Allows(std::string_view service) const;

  /// @return True when a request may run again after a run that failed.
  bool MayRepeat() const {
    return this->kind == RequestKind::kIdempotent ||
           (this->kind == RequestKind::kStream && this->resumable);
  }
};

/// Configuration of the model engines of a service.
struct EngineConfig {
  int64_t kv_capacity_tokens = 0;
};

/// How many replicas of a service may be ordered, and what they cost.
struct ScalingConfig {
  int min_replicas = 0;  ///< In each availability zone, of both kinds together.
  int max_replicas = 0;  ///< In each availability zone, of both kinds together.
  /// Time from the order of a replica until it serves.
  absl::Duration boot_time = absl::ZeroDuration();
  /// Price of a spot replica, as a share of the price of another replica.
  double spot_price = 1;
  /// Price of a replica per second, by availability zone.
  std::map<std::string, double, std::less<>> zone_prices;

  bool operator==(const ScalingConfig&) const = default;
};

struct ServiceConfig {
  std::string name;
  /// Connections that one replica accepts from all gateway instances together.
  int max_connections = 0;
  std::optional<EngineConfig> engine;
  /// Unset when the number of replicas is not the gateway's to decide.
  std::optional<ScalingConfig> scaling;
};

/// Hash of a customer's API key. Keys themselves are not kept.
using ApiKeyHash = std::array<uint64_t, 2>;

struct Customer {
  std::string name;
  std::vector<ApiKeyHash> key_hashes;
  /// Replaces the priority of routes; 0 is the most urgent.
  std::optional<int> priority;
};

/// Limits on the size of callers' requests and on the time they may take.
struct CallerLimits {
  uint32_t max_header_bytes = 16384;
  uint64_t max_body_bytes = 4194304;
  absl::Duration receive_timeout = absl::Seconds(3);
  absl::Duration idle_timeout = absl::Seconds(15);
};

struct Configuration {
  int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  CallerLimits limits;
  /// Unset when requests carry no keys.
  std::optional<std::vector<Customer>> customers;
};

/// Immutable index of one configuration.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  /// @param host Value of the Host header; a port is ignored.
  /// @param target Path, with or without a query.
  /// @return The route of `host` with the longest prefix that matches the path,
  ///     or null.
  const Route* Match(std::string_view host, std::string_view target) const;

  /// @return The shortest latency target among the routes to a service.
  absl::Duration ShortestTargetLatency(std::string_view service) const;

  /// @return The service, or null when the configuration has none of that name.
  const ServiceConfig* FindService(std::string_view name) const;

  const Configuration& configuration() const {  // NOLINT
    return *this->config;
  }

 private:
  std::shared_ptr<const Configuration> config;
  // Routes of each host, sorted by descending length of the prefix.
  absl::flat_hash_map<std::string, std::vector<const Route*>> routes_by_host;
};

/// @param random_value Uniformly distributed over all 64-bit values.
/// @return The service that serves a request of `route`; empty when the route
///     has no services.
std::string_view PickService(const Route& route, uint64_t random_value);

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_CONFIGURATION_H_
