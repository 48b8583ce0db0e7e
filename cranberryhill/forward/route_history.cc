#include "cranberryhill/forward/route_history.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/base/hash.h"

namespace cranberryhill::forward {
namespace {

/// Bounds the memory that former tables take.
constexpr size_t kMaxKeptTables = 64;
constexpr size_t kMaxKeptRoutes = 20'000;

bool HaveSameSplits(const RouteTable& a, const RouteTable& b) {
  const std::vector<Route>& routes = a.configuration().routes;
  const std::vector<Route>& others = b.configuration().routes;
  return std::equal(routes.begin(), routes.end(), others.begin(), others.end(),
                    [](const Route& route, const Route& other) {
                      return route.host == other.host &&
                             route.path_prefix == other.path_prefix &&
                             route.services == other.services;
                    });
}

size_t CountRoutes(const RouteTable& table) {
  return table.configuration().routes.size();
}

}  // namespace

void RouteHistory::Add(std::shared_ptr<const RouteTable> table) {
  if (!this->entries.empty()) {
    Entry& last = this->entries.back();
    if (HaveSameSplits(*last.table, *table)) {
      last.table = std::move(table);
      return;
    }
    last.ended_at = this->clock.Now();
    this->kept_routes += CountRoutes(*last.table);
  }
  this->entries.push_back({std::move(table)});
  this->EraseOld();
}

void RouteHistory::EraseOld() {
  while (this->entries.size() > 1) {
    const Entry& oldest = this->entries.front();
    bool is_over = oldest.ended_at + kSpan <= this->clock.Now();
    bool is_too_much = this->entries.size() > kMaxKeptTables + 1 ||
                       this->kept_routes > kMaxKeptRoutes;
    if (!is_over && !is_too_much)
      return;
    this->kept_routes -= CountRoutes(*oldest.table);
    this->entries.pop_front();
  }
}

std::vector<std::string> RouteHistory::PickedServices(
    std::string_view host,
    std::string_view target,
    std::string_view stream_id,
    absl::Duration span) const {
  std::vector<std::string> services;
  absl::Time since = this->clock.Now() - span;
  for (const Entry& entry : this->entries) {
    if (entry.ended_at <= since)
      continue;
    const Route* route = entry.table->Match(host, target);
    if (route == nullptr)
      continue;
    std::string service(PickService(*route, StableHash(stream_id)));
    if (std::find(services.begin(), services.end(), service) == services.end())
      services.push_back(std::move(service));
  }
  return services;
}

}  // namespace cranberryhill::forward
