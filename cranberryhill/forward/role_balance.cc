#include "cranberryhill/forward/role_balance.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

namespace cranberryhill::forward {
namespace {

/// Share of engines that generate. On the sheets a request generates for about
/// half a second and its prompt takes 30 to 150 ms of a reading engine, and a
/// generating engine serves dozens of requests at once.
constexpr double kRunnerShare = 0.2;
/// With fewer slots than this a fifth of the engines has too few of them in
/// all, and streams wait for one: with 24 slots they waited 0.3 s in the mean.
constexpr double kAmpleSlots = 32;
constexpr double kLargestRunnerShare = 0.5;
/// A deployment whose engines are being replaced is unbalanced for moments.
constexpr absl::Duration kSettleTime = absl::Milliseconds(1200);
constexpr absl::Duration kUrgentSettleTime = absl::Milliseconds(200);
/// An order that got no answer may be carried out up to 12 s later.
constexpr absl::Duration kOrderLost = absl::Seconds(13);
/// Longest time that a change of role takes; the sheets say 3 s, and running
/// requests end first.
constexpr absl::Duration kChangeTime = absl::Seconds(6);
/// An engine that changes its role serves nothing for seconds, so no more than
/// this share changes at the same time while requests are running.
constexpr double kChangingShare = 0.34;

}  // namespace

size_t RoleBalance::WantedRunners(size_t engines, size_t zones, int slots) {
  if (engines < 2)
    return engines;
  double share = std::clamp(kRunnerShare * kAmpleSlots / slots, kRunnerShare,
                            kLargestRunnerShare);
  auto wanted =
      static_cast<size_t>(std::ceil(share * static_cast<double>(engines)));
  // One per zone keeps requests within their zone and outlives a zone's loss.
  return std::clamp(std::max(wanted, zones), size_t{1}, engines - 1);
}

EngineRole RoleBalance::RoleOf(const Replica& engine) const {
  auto found = this->pending.find(engine.entry.id);
  if (found != this->pending.end())
    return found->second.role;
  return engine.entry.role.value_or(EngineRole::kMixed);
}

RoleBalance::Counts RoleBalance::Count(
    std::span<const std::shared_ptr<Replica>> engines) const {
  Counts counts;
  std::set<std::string_view> zones;
  counts.slots = std::numeric_limits<int>::max();
  for (const auto& engine : engines) {
    counts.slots = std::min(counts.slots, std::max(1, engine->entry.slots));
    zones.insert(engine->entry.availability_zone);
    if (this->RoleOf(*engine) == EngineRole::kPrefill)
      ++counts.readers;
    else
      ++counts.runners;
  }
  counts.zones = zones.size();
  return counts;
}

void RoleBalance::DropSettled(
    std::span<const std::shared_ptr<Replica>> engines) {
  absl::Time now = this->clock.Now();
  absl::erase_if(this->pending, [&](const auto& item) {
    if (now - item.second.ordered_at > kOrderLost)
      return true;
    auto engine =
        std::find_if(engines.begin(), engines.end(),
                     [&](const auto& e) { return e->entry.id == item.first; });
    return engine == engines.end() || (*engine)->entry.role == item.second.role;
  });
}

bool RoleBalance::NeedsChange(
    std::span<const std::shared_ptr<Replica>> engines) {
  this->DropSettled(engines);
  Counts counts = this->Count(engines);
  bool balanced = engines.size() < 2 || counts.runners == counts.Wanted();
  // A registry that is still filling says little about the final numbers.
  if (balanced || engines.size() != this->last_size)
    this->unbalanced_since = absl::InfiniteFuture();
  if (!balanced)
    this->unbalanced_since =
        std::min(this->unbalanced_since, this->clock.Now());
  this->last_size = engines.size();
  return !balanced;
}

std::optional<RoleChange> RoleBalance::Next(
    std::span<const std::shared_ptr<Replica>> engines) {
  if (!this->NeedsChange(engines))
    return std::nullopt;
  // Without an engine that generates nothing is served.
  bool urgent = this->Count(engines).runners == 0;
  if (this->clock.Now() - this->unbalanced_since <
      (urgent ? kUrgentSettleTime : kSettleTime))
    return std::nullopt;
  bool idle = std::all_of(engines.begin(), engines.end(), [](const auto& e) {
    return e->outstanding == 0 && e->peer_running == 0;
  });
  auto limit = static_cast<size_t>(
      std::max(1.0, kChangingShare * static_cast<double>(engines.size())));
  if (!idle && this->pending.size() >= limit)
    return std::nullopt;
  Counts counts = this->Count(engines);
  bool to_reader = counts.runners > counts.Wanted();
  EngineRole from = to_reader ? EngineRole::kDecode : EngineRole::kPrefill;
  std::map<std::string_view, int> runners_by_zone;
  for (const auto& engine : engines) {
    if (this->RoleOf(*engine) != EngineRole::kPrefill)
      ++runners_by_zone[engine->entry.availability_zone];
  }
  // From the zone with most runners, or to the zone with fewest; then the
  // engine with least work; then by id, so that the choice is repeatable.
  auto rank = [&](const Replica& engine) {
    int zone = runners_by_zone[engine.entry.availability_zone];
    return std::tuple(to_reader ? -zone : zone,
                      engine.outstanding + engine.peer_running,
                      std::string_view(engine.entry.id));
  };
  const Replica* best = nullptr;
  for (const auto& engine : engines) {
    if (this->RoleOf(*engine) != from ||
        this->pending.contains(engine->entry.id))
      continue;
    if (best == nullptr || rank(*engine) < rank(*best))
      best = engine.get();
  }
  if (best == nullptr)
    return std::nullopt;
  return RoleChange{best->entry.id,
                    to_reader ? EngineRole::kPrefill : EngineRole::kDecode};
}

std::vector<std::string> RoleBalance::Changing() const {
  std::vector<std::string> changing;
  for (const auto& [replica, order] : this->pending) {
    if (this->clock.Now() - order.ordered_at < kChangeTime)
      changing.push_back(replica);
  }
  return changing;
}

void RoleBalance::OnOrdered(const RoleChange& change) {
  this->pending[change.replica] = {change.role, this->clock.Now()};
}

void RoleBalance::OnRefused(std::string_view replica) {
  this->pending.erase(std::string(replica));
}

}  // namespace cranberryhill::forward
