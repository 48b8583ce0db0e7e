#include "cranberryhill/scaling/replica_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cranberryhill::scaling {
namespace {

/// Share of the replicas' capacity that is used. At one half, a request waits
/// on average about as long as another one takes (the wait in an M/M/1 queue),
/// and half as much load again finds room without a new replica.
constexpr double kTargetUtilization = 0.5;
/// Part of the replicas that the demand needs that cannot be taken away, so
/// that a service goes on, slowly, when the platform takes all the others.
constexpr double kOnDemandShare = 0.25;
/// The number of replicas follows the highest need within this many times the
/// time that a replica takes to start, and at least within the time below: a
/// replica that is given back too early is missing for one such time.
constexpr double kLookBackBootTimes = 3;
constexpr absl::Duration kMinLookBack = absl::Seconds(12);
/// The part of the surplus that is given back at once, and the pause before the
/// next part, in boot times.
constexpr double kShrinkStep = 0.34;
constexpr double kShrinkPauseBootTimes = 0.5;
/// Fewer replicas than this share are not worth a call to give them back.
constexpr double kMinShrinkShare = 0.08;
/// Growth by less would cost a call each second while the demand rises. Growth
/// by more within one boot time would follow work that is high for a moment,
/// while new replicas fill their caches.
constexpr double kSmallestGrowth = 1.08;
constexpr double kLargestGrowth = 1.5;
/// Refusals of more than this share of the requests show that the need is
/// higher than the work that was served says.
constexpr double kNotableRefusals = 0.01;
constexpr double kGrowthWhenRefusing = 1.25;
/// Requests are also refused while replicas crash or change their roles. Many
/// more replicas than the work needs would not help then.
constexpr double kMaxGrowthOverWork = 1.5;
constexpr double kRefusalBootTimes = 2;
/// A plan is made when the number of registered replicas has not changed for so
/// long: when a deployment starts, its replicas register within some seconds.
constexpr absl::Duration kSettleTime = absl::Seconds(3);
/// The platform takes spot replicas away for about ten seconds, so they are not
/// asked for again for so long, and then in short intervals.
constexpr absl::Duration kTakenAwayFor = absl::Seconds(8);
constexpr absl::Duration kUnavailableFor = absl::Seconds(3);
/// Replicas of one kind are given back when this share of those of the other
/// kind that replace them serve.
constexpr double kMostlyThere = 0.9;
/// An order is repeated if it has not been met after this many boot times.
constexpr double kRepeatAfterBootTimes = 3;
constexpr absl::Duration kMinRepeatInterval = absl::Seconds(6);
/// Weight of a new observation in the moving average of the arrivals.
constexpr double kArrivalsWeight = 0.1;
/// A service of engines with roles needs one of each role in a zone.
constexpr int kMinReplicasPerZone = 2;

constexpr ReplicaKind kKinds[] = {ReplicaKind::kOnDemand, ReplicaKind::kSpot};

int Sum(const ZoneCounts& counts, ReplicaKind kind) {
  int sum = 0;
  for (const auto& [zone, count] : counts)
    sum += count.Of(kind);
  return sum;
}

ReplicaKind OtherKind(ReplicaKind kind) {
  return kind == ReplicaKind::kSpot ? ReplicaKind::kOnDemand
                                    : ReplicaKind::kSpot;
}

int Total(const ZoneCounts& counts) {
  return Sum(counts, ReplicaKind::kOnDemand) + Sum(counts, ReplicaKind::kSpot);
}

}  // namespace

ReplicaPlanner::ReplicaPlanner(forward::ScalingConfig config,
                               const Clock& clock)
    : config(std::move(config)), clock(clock) {}

void ReplicaPlanner::SetConfig(forward::ScalingConfig config) {
  if (config == this->config)
    return;
  this->config = std::move(config);
  this->must_plan = true;
}

bool ReplicaPlanner::IsAvailable(const std::string& zone,
                                 ReplicaKind kind) const {
  auto found = this->unavailable_until.find({zone, kind});
  return found == this->unavailable_until.end() ||
         found->second <= this->clock.Now();
}

void ReplicaPlanner::Observe(const ServiceObservation& observation) {
  // A kind that vanishes from a zone has been taken away there.
  for (const auto& [zone, wanted] : this->wanted_counts) {
    auto now = observation.registered.find(zone);
    int spot = now == observation.registered.end() ? 0 : now->second.spot;
    if (this->Registered(zone).spot > 0 && spot == 0 && wanted.spot > 0) {
      this->unavailable_until[{zone, ReplicaKind::kSpot}] =
          this->clock.Now() + kTakenAwayFor;
      this->ordered.erase({zone, ReplicaKind::kSpot});
    }
  }
  for (auto& [target, order] : this->ordered) {
    const auto& [zone, kind] = target;
    auto now = observation.registered.find(zone);
    // Replicas that come show that an order without an answer took effect.
    if (now != observation.registered.end() &&
        now->second.Of(kind) > this->Registered(zone).Of(kind))
      order.lowest = order.count;
  }
  this->last = observation;
  // The number of replicas in other zones is not the planner's to decide.
  std::erase_if(this->last.registered, [this](const auto& item) {
    return !this->config.zone_prices.contains(item.first);
  });
  for (const auto& [zone, price] : this->config.zone_prices) {
    auto arrived = observation.arrivals.find(zone);
    double arrivals =
        arrived == observation.arrivals.end() ? 0 : arrived->second;
    double& average = this->arrivals_by_zone[zone];
    average += kArrivalsWeight * (arrivals - average);
  }
  this->UpdateNeed();
  if (this->planned_total == 0)
    return;
  std::vector<Target> unavailable = this->Unavailable();
  if (!this->must_plan && this->planned_total == this->wanted_total &&
      unavailable == this->wanted_without)
    return;
  this->must_plan = false;
  this->wanted_total = this->planned_total;
  this->wanted_without = std::move(unavailable);
  this->wanted_counts = this->Plan(this->planned_total);
}

ReplicaCounts ReplicaPlanner::Registered(const std::string& zone) const {
  auto found = this->last.registered.find(zone);
  return found == this->last.registered.end() ? ReplicaCounts{} : found->second;
}

std::vector<ReplicaPlanner::Target> ReplicaPlanner::Unavailable() const {
  std::vector<Target> targets;
  for (const auto& [target, until] : this->unavailable_until) {
    if (until > this->clock.Now())
      targets.push_back(target);
  }
  return targets;
}

/// @return True if the number of registered replicas has stayed the same.
bool ReplicaPlanner::IsSettled(const ServiceObservation& observation) {
  int total = Total(observation.registered);
  absl::Time now = this->clock.Now();
  if (total == 0 || std::exchange(this->first_total, total) != total)
    this->first_total_since = now;
  return total > 0 && now - this->first_total_since >= kSettleTime;
}

/// Updates how many replicas the demand needs.
void ReplicaPlanner::UpdateNeed() {
  const ServiceObservation& observation = this->last;
  absl::Time now = this->clock.Now();
  if (this->planned_total == 0) {
    if (!this->IsSettled(observation))
      return;
    // Some of the spot replicas are the reserve for the loss of others.
    double zones = std::max<double>(
        2, static_cast<double>(this->config.zone_prices.size()));
    int spot = Sum(observation.registered, ReplicaKind::kSpot);
    this->planned_total = Total(observation.registered) -
                          static_cast<int>(std::floor(spot / zones));
  }
  if (!observation.load_is_known)
    return;
  this->load_known_since = observation.load_is_complete
                               ? std::min(this->load_known_since, now)
                               : absl::InfiniteFuture();
  double need = observation.busy_replicas / kTargetUtilization;
  // The replicas that were added last must have had time to serve.
  bool may_grow_further = now - this->grown_for_refusals_at >=
                          this->config.boot_time * kRefusalBootTimes;
  if (observation.refused_share > kNotableRefusals && may_grow_further) {
    this->grown_for_refusals_at = now;
    need = std::clamp(kGrowthWhenRefusing * this->planned_total, need,
                      need * kMaxGrowthOverWork);
  }
  this->needs.push_back({now, need});
  absl::Duration look_back =
      std::max(kMinLookBack, this->config.boot_time * kLookBackBootTimes);
  while (this->needs.front().at < now - look_back)
    this->needs.pop_front();
  int needed = this->NeededReplicas();
  if (needed >= this->planned_total) {
    if (needed > this->planned_total)
      this->Grow(needed);
    return;
  }
  int surplus = this->planned_total - needed;
  if (now - this->load_known_since < look_back ||
      now - this->shrunk_at < this->config.boot_time * kShrinkPauseBootTimes ||
      surplus < kMinShrinkShare * this->planned_total)
    return;
  this->shrunk_at = now;
  this->planned_total -=
      std::max(1, static_cast<int>(std::ceil(surplus * kShrinkStep)));
}

/// Raises the number of replicas towards `needed`.
void ReplicaPlanner::Grow(int needed) {
  absl::Time now = this->clock.Now();
  int limit = this->config.max_replicas *
              static_cast<int>(this->config.zone_prices.size());
  // What is busy now is ordered at once.
  int busy = static_cast<int>(
      std::ceil(std::min<double>(limit, this->last.busy_replicas)));
  if (now - this->grown_at < this->config.boot_time &&
      this->planned_total >= busy)
    return;
  auto times = [this](double factor) {
    return static_cast<int>(std::ceil(this->planned_total * factor));
  };
  int total = std::clamp(needed, times(kSmallestGrowth), times(kLargestGrowth));
  total = std::min(std::max(total, busy), limit);
  if (total <= this->planned_total)
    return;
  this->planned_total = total;
  this->grown_at = now;
}

/// @return The highest need within the time that is looked back.
int ReplicaPlanner::NeededReplicas() const {
  double highest = 0;
  for (const Need& need : this->needs)
    highest = std::max(highest, need.replicas);
  // More cannot be ordered, and a higher number would have to shrink for a long
  // time before the first replica is given back.
  auto zones = static_cast<double>(this->config.zone_prices.size());
  highest = std::min(highest, zones * this->config.max_replicas);
  return static_cast<int>(
      std::ceil(std::max(highest, kMinReplicasPerZone * zones)));
}

/// @return The share of the replicas that each zone should have, by the
///     requests that arrive there.
std::map<std::string, double> ReplicaPlanner::ZoneShares() const {
  std::map<std::string, double> shares;
  double sum = 0;
  for (const auto& [zone, price] : this->config.zone_prices) {
    auto found = this->arrivals_by_zone.find(zone);
    shares[zone] = found == this->arrivals_by_zone.end() ? 0 : found->second;
    sum += shares[zone];
  }
  for (auto& [zone, share] : shares) {
    share = sum > 0
                ? share / sum
                : 1.0 / static_cast<double>(this->config.zone_prices.size());
  }
  return shares;
}

/// Adds so many replicas of a kind to the plan, by the shares of the zones that
/// have room.
void ReplicaPlanner::Distribute(int count,
                                ReplicaKind kind,
                                PlanZones zones,
                                ZoneCounts& plan) const {
  std::map<std::string, double> shares = this->ZoneShares();
  std::map<std::string, double> missing;
  for (const auto& [zone, share] : shares) {
    if (zones == PlanZones::kAll || this->IsAvailable(zone, kind))
      missing[zone] = share * count;
  }
  auto is_in_vain = [&](const std::string& zone, ReplicaKind other) {
    return zones == PlanZones::kAvailable && !this->IsAvailable(zone, other) &&
           plan[zone].Of(other) > this->Registered(zone).Of(other);
  };
  // One after the other to the zone that lacks most of its share.
  for (int i = 0; i < count; ++i) {
    auto best = missing.end();
    for (auto zone = missing.begin(); zone != missing.end(); ++zone) {
      bool has_room = plan[zone->first].Total() < this->config.max_replicas ||
                      is_in_vain(zone->first, OtherKind(kind));
      if (has_room && (best == missing.end() || zone->second > best->second))
        best = zone;
    }
    if (best == missing.end())
      return;
    best->second -= 1;
    ReplicaCounts& counts = plan[best->first];
    if (counts.Total() >= this->config.max_replicas)
      --counts.Of(OtherKind(kind));
    ++counts.Of(kind);
  }
}

/// @return How many of the planned replicas there are or can be had now.
int ReplicaPlanner::ObtainableReplicas(const ZoneCounts& plan) const {
  int sum = 0;
  for (const auto& [zone, counts] : plan) {
    for (ReplicaKind kind : kKinds) {
      int count = counts.Of(kind);
      sum += this->IsAvailable(zone, kind)
                 ? count
                 : std::min(count, this->Registered(zone).Of(kind));
    }
  }
  return sum;
}

/// @return The counts at which the loss of all spot replicas of one zone leaves
///     `needed` replicas.
ZoneCounts ReplicaPlanner::Plan(int needed) const {
  ZoneCounts plan;
  int zones = static_cast<int>(this->config.zone_prices.size());
  // With one zone, all spot replicas may be lost at once.
  double with_reserve =
      zones > 1 ? static_cast<double>(zones) / (zones - 1) : 0;
  bool spot_pays = zones > 1 && this->config.spot_price * with_reserve < 1;
  int on_demand = needed;
  if (spot_pays) {
    on_demand = std::min(
        needed,
        std::max(zones, static_cast<int>(std::ceil(needed * kOnDemandShare))));
  }
  this->Distribute(on_demand, ReplicaKind::kOnDemand, PlanZones::kAll, plan);
  if (spot_pays) {
    int spot = static_cast<int>(std::ceil((needed - on_demand) * with_reserve));
    this->Distribute(spot, ReplicaKind::kSpot, PlanZones::kAll, plan);
  }
  for (const auto& [zone, price] : this->config.zone_prices) {
    ReplicaCounts& counts = plan[zone];
    counts.on_demand += std::max(0, this->config.min_replicas - counts.Total());
  }
  // While some cannot be had, others take their place as far as the present
  // demand needs them; there is no reserve then.
  for (ReplicaKind kind : {ReplicaKind::kSpot, ReplicaKind::kOnDemand}) {
    int missing = needed - this->ObtainableReplicas(plan);
    if (missing > 0 && (spot_pays || kind == ReplicaKind::kOnDemand))
      this->Distribute(missing, kind, PlanZones::kAvailable, plan);
  }
  return plan;
}

absl::Duration ReplicaPlanner::RepeatAfter() const {
  return std::max(kMinRepeatInterval,
                  this->config.boot_time * kRepeatAfterBootTimes);
}

/// @return The replicas that serve and are not known to be leaving.
int ReplicaPlanner::Present(const std::string& zone, ReplicaKind kind) const {
  int registered = this->Registered(zone).Of(kind);
  auto known = this->ordered.find({zone, kind});
  return known == this->ordered.end()
             ? registered
             : std::min(registered, known->second.count);
}

/// @return The replicas that serve and that no order has given back, whether or
///     not it was answered.
int ReplicaPlanner::Staying(const std::string& zone, ReplicaKind kind) const {
  int registered = this->Registered(zone).Of(kind);
  auto known = this->ordered.find({zone, kind});
  return known == this->ordered.end()
             ? registered
             : std::min(registered, known->second.lowest);
}

/// @return The replicas that serve or have been ordered.
int ReplicaPlanner::Requested(const std::string& zone, ReplicaKind kind) const {
  int registered = this->Registered(zone).Of(kind);
  auto known = this->ordered.find({zone, kind});
  return known == this->ordered.end()
             ? registered
             : std::max(registered, known->second.count);
}

/// @return The replicas that serve or will within a few boot times.
int ReplicaPlanner::Expected(const std::string& zone, ReplicaKind kind) const {
  auto known = this->ordered.find({zone, kind});
  bool is_due = known == this->ordered.end() ||
                this->clock.Now() - known->second.at >= this->RepeatAfter();
  return is_due ? this->Registered(zone).Of(kind) : known->second.count;
}

/// @return What to order now on the way to `target`: replicas are given back
///     only when those that replace them serve, and both kinds together must
///     not exceed the limit of the zone.
ReplicaCounts ReplicaPlanner::NextStep(const std::string& zone,
                                       const ReplicaCounts& target) const {
  ReplicaCounts registered = this->Registered(zone);
  ReplicaCounts expected;
  for (ReplicaKind kind : kKinds)
    expected.Of(kind) = this->Expected(zone, kind);
  ReplicaCounts step = target;
  for (ReplicaKind kind : kKinds) {
    int others = registered.Of(OtherKind(kind));
    int kept = std::max(0, this->config.min_replicas - others);
    // A few may be missing because they have crashed.
    if (others < kMostlyThere * target.Of(OtherKind(kind)))
      kept = std::max(kept, target.Total() - others);
    // Those that are starting are kept too: an order for fewer would end them.
    kept = std::min(kept, std::max(expected.Of(kind), registered.Of(kind)));
    step.Of(kind) = std::max(target.Of(kind), kept);
  }
  // Those that have not been ordered wait for room first.
  for (const ReplicaCounts& base : {expected, registered, target}) {
    for (ReplicaKind kind : kKinds) {
      int excess = std::max(0, step.Total() - this->config.max_replicas);
      int growth = std::max(0, step.Of(kind) - base.Of(kind));
      step.Of(kind) -= std::min(growth, excess);
    }
  }
  return step;
}

std::vector<ReplicaOrder> ReplicaPlanner::DueOrders() {
  std::vector<ReplicaOrder> due;
  absl::Time now = this->clock.Now();
  // What can be given back: a zone may replace what is missing in another one.
  int surplus = -this->planned_total;
  for (const auto& [zone, target] : this->wanted_counts) {
    for (ReplicaKind kind : kKinds)
      surplus += this->Staying(zone, kind);
  }
  for (const auto& [zone, target] : this->wanted_counts) {
    ReplicaCounts step = this->NextStep(zone, target);
    ReplicaCounts requested;
    ReplicaCounts present;
    for (ReplicaKind kind : kKinds) {
      requested.Of(kind) = this->Requested(zone, kind);
      present.Of(kind) = this->Present(zone, kind);
    }
    for (ReplicaKind kind : kKinds) {
      if (!this->IsAvailable(zone, kind))
        continue;
      int count = step.Of(kind);
      int given_back = std::max(0, present.Of(kind) - count);
      // `surplus` does not count these any more.
      int in_doubt = present.Of(kind) - this->Staying(zone, kind);
      int excess = std::max(0, present.Total() - this->config.max_replicas);
      int allowed =
          std::min(given_back, std::max({0, surplus + in_doubt, excess}));
      count += given_back - allowed;
      surplus -= std::max(0, allowed - in_doubt);
      present.Of(kind) -= allowed;
      // The other kind is ordered down first if it takes up the room.
      int room = this->config.max_replicas - requested.Of(OtherKind(kind));
      if (count > requested.Of(kind))
        count = std::max(requested.Of(kind), std::min(count, room));
      int registered = this->Registered(zone).Of(kind);
      auto known = this->ordered.find({zone, kind});
      bool is_known = known != this->ordered.end();
      bool is_new = count != (is_known ? known->second.count : registered);
      bool is_unmet = is_known && count != registered &&
                      (!known->second.in_effect ||
                       now - known->second.at >= this->RepeatAfter());
      if (is_new || is_unmet)
        due.push_back({zone, kind, count});
    }
  }
  return due;
}

void ReplicaPlanner::OnAccepted(const ReplicaOrder& order) {
  this->ordered[{order.zone, order.kind}] = {order.count, this->clock.Now(),
                                             order.count};
}

void ReplicaPlanner::OnUnavailable(const ReplicaOrder& order) {
  this->unavailable_until[{order.zone, order.kind}] =
      this->clock.Now() + kUnavailableFor;
  auto known = this->ordered.find({order.zone, order.kind});
  if (known != this->ordered.end())
    known->second.in_effect = false;
}

void ReplicaPlanner::OnFailed(const ReplicaOrder& order) {
  // It may have taken effect or not; it is sent again, as it is absolute.
  int requested = this->Requested(order.zone, order.kind);
  int staying = this->Staying(order.zone, order.kind);
  this->ordered[{order.zone, order.kind}] = {
      std::max(requested, order.count), this->clock.Now(),
      std::min(staying, order.count), false};
}

}  // namespace cranberryhill::scaling
