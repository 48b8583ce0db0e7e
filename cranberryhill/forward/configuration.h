#ifndef CRANBERRYHILL_FORWARD_CONFIGURATION_H_
#define CRANBERRYHILL_FORWARD_CONFIGURATION_H_

// The operators' configuration of forwarded requests: routes, services and
// limits, and the choice of the route of a request.
//
//   RouteTable table(configuration);
//   const Route* route = table.Match("desk.example", "/orders/17?full=1");

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace cranberryhill::forward {

/// What may be repeated on a route.
enum class RequestKind {
  kIdempotent,  ///< May run more than once.
  kAtMostOnce,  ///< May run once per request of a caller.
  kStream,      ///< Answered by events; see Route::resumable.
};

struct ServiceShare {
  std::string service;
  uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RequestKind kind = RequestKind::kAtMostOnce;
  absl::Duration timeout = absl::Seconds(5);
  absl::Duration target_latency = absl::Seconds(1);
  /// Longest pause between events that still counts as on time.
  absl::Duration target_gap = absl::Milliseconds(250);
  int priority = 5;      ///< 0 is the most urgent.
  int max_replicas = 1;  ///< Replicas that one request may be sent to.
  bool resumable = false;
  std::vector<ServiceShare> services;

  /// @return How long callers wait for the first event of a stream, and between
  ///     two, before they give up.
  absl::Duration CallerPatience() const;

  /// @return True when a request may run again after a run that failed.
  bool MayRepeat() const {
    return this->kind == RequestKind::kIdempotent ||
           (this->kind == RequestKind::kStream && this->resumable);
  }
};

/// What the operators say of the model engines of a service.
struct EngineTraits {
  int64_t kv_capacity_tokens = 0;
};

struct ServiceConfig {
  std::string name;
  int max_connections = 0;  ///< Accepted by one replica from all callers.
  std::optional<EngineTraits> engine;
};

/// Bounds of what callers may send.
struct CallerLimits {
  uint32_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  absl::Duration request_time = absl::Seconds(3);
  absl::Duration idle_time = absl::Seconds(15);
};

struct Configuration {
  int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  CallerLimits limits;
};

/// Immutable index of one configuration.
class RouteTable {
 public:
  explicit RouteTable(std::shared_ptr<const Configuration> configuration);

  /// @param host Value of the Host field; a port is ignored.
  /// @param target Path, with or without a query.
  /// @return The route of that host whose prefix is the longest that begins
  ///     the path, or null.
  const Route* Match(std::string_view host, std::string_view target) const;

  /// @return The shortest latency target among the routes to a service.
  absl::Duration ShortestTarget(std::string_view service) const;

  /// @return The service, or null.
  const ServiceConfig* Service(std::string_view name) const;

  const Configuration& configuration() const {  // NOLINT
    return *this->held;
  }

 private:
  std::shared_ptr<const Configuration> held;
  // Longest prefix first.
  absl::flat_hash_map<std::string, std::vector<const Route*>> by_host;
};

/// @param draw A number that is spread evenly over all 64-bit values.
/// @return The service that serves a request of `route`; empty for a route
///     without services.
std::string_view PickService(const Route& route, uint64_t draw);

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_CONFIGURATION_H_
