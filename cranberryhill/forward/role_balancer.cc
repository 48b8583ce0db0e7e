#include "cranberryhill/forward/role_balancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace cranberryhill::forward {
namespace {

/// Share of the engines that are to be decode engines. According to the
/// datasheets a request decodes for about half a second and its prompt takes 30
/// to 150 ms at a prefill engine, while a decode engine serves dozens of
/// requests at once.
constexpr double kDecodeShare = 0.2;
/// If engines have fewer slots than this, the share of decode engines is
/// increased in inverse proportion to the slots, up to kMaxDecodeShare. A fifth
/// of the engines would have too few slots in total, and streams would wait for
/// one: 0.3 s on average with 24 slots.
constexpr double kAmpleSlots = 32;
constexpr double kMaxDecodeShare = 0.5;
/// A deployment whose engines are being replaced is unbalanced for short times.
/// A change is ordered only after the imbalance has lasted this long, or the
/// shorter time if no engine decodes.
constexpr absl::Duration kSettleTime = absl::Milliseconds(1200);
constexpr absl::Duration kUrgentSettleTime = absl::Milliseconds(200);
/// Time after which an order counts as not carried out. An order that was not
/// answered may be carried out up to 12 s later.
constexpr absl::Duration kOrderTimeout = absl::Seconds(13);
/// Longest time that a change of role takes: 3 s according to the datasheet,
/// after the running requests have ended.
constexpr absl::Duration kRoleChangeTime = absl::Seconds(6);
/// An engine that changes its role serves no requests for seconds. While
/// requests are running, at most this share of the engines changes at the same
/// time.
constexpr double kMaxChangingShare = 0.34;
/// Decode engines that a version keeps beside others, so that it has one when
/// another one leaves.
constexpr size_t kDecodeEnginesPerVersion = 2;

}  // namespace

size_t RoleBalancer::WantedDecodeEngines(size_t engines,
                                         size_t zones,
                                         int slots) {
  if (engines < 2)
    return engines;
  double share = std::clamp(kDecodeShare * kAmpleSlots / slots, kDecodeShare,
                            kMaxDecodeShare);
  auto wanted_decode =
      static_cast<size_t>(std::ceil(share * static_cast<double>(engines)));
  // One decode engine per zone keeps requests within their zone and keeps the
  // service available when a zone fails.
  return std::clamp(std::max(wanted_decode, zones), size_t{1}, engines - 1);
}

size_t RoleBalancer::Counts::MinDecodeOf(std::string_view version) const {
  if (this->versions.size() < 2)
    return 0;
  const VersionCounts& counts = this->versions.at(version);
  return std::min(kDecodeEnginesPerVersion,
                  (counts.decode_engines + counts.prefill_engines) / 2);
}

size_t RoleBalancer::Counts::WantedDecode() const {
  size_t minimum = 0;
  for (const auto& [version, counts] : this->versions)
    minimum += this->MinDecodeOf(version);
  return std::max(
      minimum, WantedDecodeEngines(this->decode_engines + this->prefill_engines,
                                   this->zones, this->slots));
}

std::optional<std::string_view> RoleBalancer::Counts::LackingVersion() const {
  std::optional<std::string_view> lacking;
  size_t most = 0;
  for (const auto& [version, counts] : this->versions) {
    size_t wanted = this->MinDecodeOf(version);
    if (counts.decode_engines + most < wanted && counts.prefill_engines > 0) {
      most = wanted - counts.decode_engines;
      lacking = version;
    }
  }
  return lacking;
}

EngineRole RoleBalancer::RoleAfterOrders(const Replica& engine) const {
  auto found = this->pending_orders.find(engine.entry.id);
  if (found != this->pending_orders.end())
    return found->second.role;
  return engine.entry.role.value_or(EngineRole::kMixed);
}

/// @return True if the engine takes requests, or will when an order has been
///     carried out: an engine may turn requests away meanwhile.
bool RoleBalancer::IsCapacity(const Replica& engine) const {
  return this->pending_orders.contains(engine.entry.id) ||
         !engine.IsClosed(this->clock.Now());
}

RoleBalancer::Counts RoleBalancer::CountEngines(
    std::span<const std::shared_ptr<Replica>> engines) const {
  Counts counts;
  std::set<std::string_view> zones;
  counts.slots = std::numeric_limits<int>::max();
  for (const auto& engine : engines) {
    if (!this->IsCapacity(*engine))
      continue;
    counts.slots = std::min(counts.slots, std::max(1, engine->entry.slots));
    zones.insert(engine->entry.availability_zone);
    VersionCounts& version = counts.versions[engine->entry.software_version];
    if (this->RoleAfterOrders(*engine) == EngineRole::kPrefill) {
      ++counts.prefill_engines;
      ++version.prefill_engines;
    } else {
      ++counts.decode_engines;
      ++version.decode_engines;
      if (!this->pending_orders.contains(engine->entry.id))
        ++version.ready_decode_engines;
    }
  }
  counts.zones = zones.size();
  return counts;
}

void RoleBalancer::EraseSettledOrders(
    std::span<const std::shared_ptr<Replica>> engines) {
  absl::Time now = this->clock.Now();
  absl::erase_if(this->pending_orders, [&](const auto& item) {
    if (now - item.second.ordered_at > kOrderTimeout)
      return true;
    auto engine =
        std::find_if(engines.begin(), engines.end(),
                     [&](const auto& e) { return e->entry.id == item.first; });
    return engine == engines.end() || (*engine)->entry.role == item.second.role;
  });
}

bool RoleBalancer::NeedsChange(
    std::span<const std::shared_ptr<Replica>> engines) {
  this->EraseSettledOrders(engines);
  Counts counts = this->CountEngines(engines);
  size_t engine_count = counts.decode_engines + counts.prefill_engines;
  bool version_lacks = counts.LackingVersion().has_value();
  bool balanced =
      engine_count < 2 ||
      (!version_lacks && counts.decode_engines == counts.WantedDecode());
  // A release changes the number of engines all the time, so this one does not
  // wait until it is steady.
  this->version_lacks_since =
      version_lacks ? std::min(this->version_lacks_since, this->clock.Now())
                    : absl::InfiniteFuture();
  // While the registry is still being filled, its size says little about the
  // final number of engines.
  if (balanced || engine_count != this->last_engine_count)
    this->unbalanced_since = absl::InfiniteFuture();
  if (!balanced)
    this->unbalanced_since =
        std::min(this->unbalanced_since, this->clock.Now());
  this->last_engine_count = engine_count;
  return !balanced;
}

std::optional<RoleChange> RoleBalancer::NextChange(
    std::span<const std::shared_ptr<Replica>> engines) {
  if (!this->NeedsChange(engines))
    return std::nullopt;
  Counts counts = this->CountEngines(engines);
  auto lacking = counts.LackingVersion();
  // Without a decode engine no request can be served.
  bool urgent = counts.decode_engines == 0;
  absl::Time now = this->clock.Now();
  bool version_is_due =
      lacking && now - this->version_lacks_since >= kUrgentSettleTime;
  if (!version_is_due &&
      now - this->unbalanced_since < (urgent ? kUrgentSettleTime : kSettleTime))
    return std::nullopt;
  bool idle = std::all_of(engines.begin(), engines.end(), [](const auto& e) {
    return e->outstanding == 0 && e->peer_outstanding == 0;
  });
  auto limit = static_cast<size_t>(
      std::max(1.0, kMaxChangingShare * static_cast<double>(engines.size())));
  if (!idle && this->pending_orders.size() >= limit)
    return std::nullopt;
  bool to_prefill =
      !version_is_due && counts.decode_engines > counts.WantedDecode();
  std::map<std::string_view, int> decode_engines_by_zone;
  for (const auto& engine : engines) {
    if (this->IsCapacity(*engine) &&
        this->RoleAfterOrders(*engine) != EngineRole::kPrefill)
      ++decode_engines_by_zone[engine->entry.availability_zone];
  }
  // A decode engine is taken from the zone with the most decode engines, a
  // prefill engine from the zone with the fewest. Within these zones the engine
  // with the least work is chosen; of several, the one with the lowest id, so
  // that the choice is deterministic.
  auto rank = [&](const Replica& engine) {
    int zone = decode_engines_by_zone[engine.entry.availability_zone];
    return std::tuple(to_prefill ? -zone : zone,
                      engine.outstanding + engine.peer_outstanding,
                      std::string_view(engine.entry.id));
  };
  const Replica* best = nullptr;
  for (const auto& engine : engines) {
    // Engines that have registered without a role decode.
    bool prefills = this->RoleAfterOrders(*engine) == EngineRole::kPrefill;
    if (prefills == to_prefill ||
        this->pending_orders.contains(engine->entry.id) ||
        !this->IsCapacity(*engine))
      continue;
    const std::string& version = engine->entry.software_version;
    bool is_needed_there =
        to_prefill && counts.versions[version].ready_decode_engines <=
                          counts.MinDecodeOf(version);
    if (is_needed_there || (version_is_due && version != *lacking))
      continue;
    if (best == nullptr || rank(*engine) < rank(*best))
      best = engine.get();
  }
  if (best == nullptr)
    return std::nullopt;
  return RoleChange{best->entry.id,
                    to_prefill ? EngineRole::kPrefill : EngineRole::kDecode};
}

std::vector<std::string> RoleBalancer::ChangingEngines() const {
  std::vector<std::string> changing;
  for (const auto& [replica, order] : this->pending_orders) {
    if (this->clock.Now() - order.ordered_at < kRoleChangeTime)
      changing.push_back(replica);
  }
  return changing;
}

void RoleBalancer::OnOrdered(const RoleChange& change) {
  this->pending_orders[change.replica] = {change.role, this->clock.Now()};
}

void RoleBalancer::OnRefused(std::string_view replica) {
  this->pending_orders.erase(std::string(replica));
}

}  // namespace cranberryhill::forward
