#include "cranberryhill/forward/configuration.h"

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "cranberryhill/base/absl_view.h"

namespace cranberryhill::forward {
namespace {

/// Callers of streams wait for the longest of these.
constexpr absl::Duration kLeastPatience = absl::Seconds(2);
constexpr int kPatienceTargets = 4;
constexpr int kPatienceGaps = 8;

std::string LowerHost(std::string_view host) {
  size_t colon = host.find(':');
  if (colon != std::string_view::npos)
    host = host.substr(0, colon);
  return absl::AsciiStrToLower(ToAbsl(host));
}

}  // namespace

absl::Duration Route::CallerPatience() const {
  return std::max({kLeastPatience, kPatienceTargets * this->target_latency,
                   kPatienceGaps * this->target_gap});
}

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : held(std::move(configuration)) {
  for (const Route& route : this->held->routes)
    this->by_host[LowerHost(route.host)].push_back(&route);
  for (auto& [host, routes] : this->by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* a, const Route* b) {
                       return a->path_prefix.size() > b->path_prefix.size();
                     });
  }
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view target) const {
  auto found = this->by_host.find(LowerHost(host));
  if (found == this->by_host.end())
    return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : found->second) {
    if (path.starts_with(route->path_prefix))
      return route;
  }
  return nullptr;
}

absl::Duration RouteTable::ShortestTarget(std::string_view service) const {
  absl::Duration shortest = absl::InfiniteDuration();
  for (const Route& route : this->held->routes) {
    bool uses = std::any_of(
        route.services.begin(), route.services.end(),
        [service](const ServiceShare& s) { return s.service == service; });
    if (uses)
      shortest = std::min(shortest, route.target_latency);
  }
  return shortest;
}

const ServiceConfig* RouteTable::Service(std::string_view name) const {
  for (const ServiceConfig& service : this->held->services) {
    if (service.name == name)
      return &service;
  }
  return nullptr;
}

std::string_view PickService(const Route& route, uint64_t draw) {
  uint64_t total = 0;
  for (const ServiceShare& share : route.services)
    total += share.weight;
  if (total == 0)
    return route.services.empty() ? std::string_view()
                                  : route.services.front().service;
  uint64_t at = draw % total;
  for (const ServiceShare& share : route.services) {
    if (at < share.weight)
      return share.service;
    at -= share.weight;
  }
  return route.services.back().service;
}

}  // namespace cranberryhill::forward
