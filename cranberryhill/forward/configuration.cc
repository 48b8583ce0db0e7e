#include "cranberryhill/forward/configuration.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "cranberryhill/base/absl_view.h"

namespace cranberryhill::forward {
namespace {

/// The caller of a stream waits for an event for the longest of
/// kMinEventTimeout, kEventTimeoutTargets times the latency target of the route
/// and kEventTimeoutIntervals times its target event interval.
constexpr absl::Duration kMinEventTimeout = absl::Seconds(2);
constexpr int kEventTimeoutTargets = 4;
constexpr int kEventTimeoutIntervals = 8;

std::string NormalizedHost(std::string_view host) {
  size_t colon = host.find(':');
  if (colon != std::string_view::npos)
    host = host.substr(0, colon);
  return absl::AsciiStrToLower(ToAbsl(host));
}

}  // namespace

absl::Duration Route::CallerEventTimeout() const {
  return std::max({kMinEventTimeout,
                   kEventTimeoutTargets * this->target_latency,
                   kEventTimeoutIntervals * this->target_event_interval});
}

bool Route::Allows(std::string_view service) const {
  // PickService() picks the first service if none has a weight.
  bool has_weights =
      std::any_of(this->services.begin(), this->services.end(),
                  [](const auto& candidate) { return candidate.weight > 0; });
  if (!has_weights)
    return !this->services.empty() && this->services.front().service == service;
  return std::any_of(this->services.begin(), this->services.end(),
                     [service](const auto& candidate) {
                       return candidate.weight > 0 &&
                              candidate.service == service;
                     });
}

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : config(std::move(configuration)) {
  for (const Route& route : this->config->routes)
    this->routes_by_host[NormalizedHost(route.host)].push_back(&route);
  for (auto& [host, routes] : this->routes_by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view target) const {
  auto found = this->routes_by_host.find(NormalizedHost(host));
  if (found == this->routes_by_host.end())
    return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : found->second) {
    if (path.starts_with(route->path_prefix))
      return route;
  }
  return nullptr;
}

absl::Duration RouteTable::ShortestTargetLatency(
    std::string_view service) const {
  absl::Duration shortest = absl::InfiniteDuration();
  for (const Route& route : this->config->routes) {
    bool uses_service =
        std::any_of(route.services.begin(), route.services.end(),
                    [service](const WeightedService& weighted) {
                      return weighted.service == service;
                    });
    if (uses_service)
      shortest = std::min(shortest, route.target_latency);
  }
  return shortest;
}

const ServiceConfig* RouteTable::FindService(std::string_view name) const {
  for (const ServiceConfig& service : this->config->services) {
    if (service.name == name)
      return &service;
  }
  return nullptr;
}

std::string_view PickService(const Route& route, uint64_t random_value) {
  uint64_t total_weight = 0;
  for (const WeightedService& candidate : route.services)
    total_weight += candidate.weight;
  if (total_weight == 0)
    return route.services.empty() ? std::string_view()
                                  : route.services.front().service;
  uint64_t offset = random_value % total_weight;
  for (const WeightedService& candidate : route.services) {
    if (offset < candidate.weight)
      return candidate.service;
    offset -= candidate.weight;
  }
  return route.services.back().service;
}

}  // namespace cranberryhill::forward
