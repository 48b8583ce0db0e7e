#include "cranberryhill/roles/role_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace cranberryhill {
namespace {

// A new mix period starts when the prefill fraction differs by this much from
// the fraction at the start of the current one.
constexpr double kMixPeriodThreshold = 0.12;
// The throughput of role counts is computed at the estimated prefill fraction
// and at this distance on both sides of it, because the estimate is never
// exact.
constexpr double kMixUncertainty = 0.12;
// Capacity is planned for the demand times this factor, so that queues stay
// short.
constexpr double kHeadroom = 1.25;
// The gain that a change needs is multiplied by this factor for each recent
// reversal, that is each change that undid the one before it. The change itself
// counts too if it is a reversal.
constexpr double kReversalFactor = 2;
// Time constant of the decay of the number of recent reversals.
constexpr double kReversalDecayS = 180;
// A change is not made if its gain in throughput is below this fraction of the
// number of engines, because so small a gain is noise.
constexpr double kMinGainShare = 0.06;

int& CountOf(RoleCounts& counts, EngineRole role) {
  switch (role) {
    case EngineRole::kPrefill:
      return counts.prefill;
    case EngineRole::kDecode:
      return counts.decode;
    case EngineRole::kMixed:
      break;
  }
  return counts.mixed;
}

int ChangesBetween(const RoleCounts& a, const RoleCounts& b) {
  return (std::abs(a.prefill - b.prefill) + std::abs(a.decode - b.decode) +
          std::abs(a.mixed - b.mixed)) /
         2;
}

}  // namespace

RolePlanner::RolePlanner(const Clock& clock, RolePlannerOptions options)
    : clock(clock),
      options(options),
      mix_period_start(clock.Now()),
      mean_mix_period_s(absl::ToDoubleSeconds(options.initial_mix_period)) {}

double RolePlanner::PrefillFractionOf(const WorkAverage& average) {
  double sum = average.prefill + average.decode;
  return sum > 0 ? average.prefill / sum : 0.5;
}

double RolePlanner::PrefillFraction() const {
  return PrefillFractionOf(this->slow);
}

void RolePlanner::ObserveWork(double prefill_s,
                              double decode_s,
                              absl::Duration elapsed) {
  double seconds = absl::ToDoubleSeconds(elapsed);
  if (seconds <= 0)
    return;
  this->observed_time += elapsed;
  auto update = [&](WorkAverage& average, absl::Duration time_constant) {
    double weight = 1 - std::exp(-absl::FDivDuration(elapsed, time_constant));
    if (average.prefill + average.decode == 0)
      weight = 1;
    average.prefill += weight * (prefill_s / seconds - average.prefill);
    average.decode += weight * (decode_s / seconds - average.decode);
  };
  update(this->fast, this->options.fast_time_constant);
  update(this->slow, this->options.slow_time_constant);
  this->UpdateMixPeriod();
}

void RolePlanner::UpdateMixPeriod() {
  double fraction = PrefillFractionOf(this->fast);
  absl::Time now = this->clock.Now();
  if (this->mix_period_fraction < 0) {
    this->mix_period_fraction = fraction;
    this->mix_period_start = now;
    return;
  }
  if (std::abs(fraction - this->mix_period_fraction) < kMixPeriodThreshold)
    return;
  double lasted = absl::ToDoubleSeconds(now - this->mix_period_start);
  // The transition between two mixes crosses the threshold several times within
  // the averaging time; such short periods do not count towards the mean.
  if (lasted > absl::ToDoubleSeconds(this->options.fast_time_constant))
    this->mean_mix_period_s += 0.5 * (lasted - this->mean_mix_period_s);
  this->mix_period_fraction = fraction;
  this->mix_period_start = now;
}

double RolePlanner::ExpectedRemainingMixPeriodSeconds() const {
  double age =
      absl::ToDoubleSeconds(this->clock.Now() - this->mix_period_start);
  // A mix period that has lasted more than half of the mean is expected to
  // last as long again as it has lasted so far.
  return std::max(this->mean_mix_period_s - age, age);
}

void RolePlanner::SetEngines(std::vector<PlannedEngine> engines) {
  this->engines = std::move(engines);
}

double RolePlanner::Throughput(const RoleCounts& counts,
                               double prefill_fraction) const {
  double mixed = counts.mixed * (1 - this->options.mixed_loss);
  double prefill = counts.prefill + mixed;
  double decode = counts.decode + mixed;
  double rate = counts.prefill + counts.decode + mixed;
  if (prefill_fraction > 0)
    rate = std::min(rate, prefill / prefill_fraction);
  if (prefill_fraction < 1)
    rate = std::min(rate, decode / (1 - prefill_fraction));
  return rate;
}

double RolePlanner::MeanThroughput(const RoleCounts& counts,
                                   double prefill_fraction,
                                   double demand) const {
  constexpr std::array<double, 3> kShifts{-kMixUncertainty, 0, kMixUncertainty};
  double sum = 0;
  for (double shift : kShifts) {
    double mix = std::clamp(prefill_fraction + shift, 0.0, 1.0);
    sum += std::min(demand, this->Throughput(counts, mix));
  }
  return sum / kShifts.size();
}

bool RolePlanner::WithinBounds(const RoleCounts& counts, int engines) const {
  return this->BoundsViolation(counts, engines) == 0;
}

RoleCounts RolePlanner::BestCounts(double prefill_fraction, int engines) const {
  RoleCounts best{.mixed = engines};
  double best_rate = -1;
  for (int prefill = 0; prefill <= engines; ++prefill) {
    for (int decode = 0; prefill + decode <= engines; ++decode) {
      RoleCounts counts{prefill, decode, engines - prefill - decode};
      // A prefill engine is useless without an engine that decodes.
      bool complete = (counts.prefill > 0) == (counts.decode > 0);
      if (!this->WithinBounds(counts, engines) ||
          (!complete && counts.mixed == 0))
        continue;
      double rate = this->MeanThroughput(counts, prefill_fraction, engines);
      if (rate > best_rate + 1e-9) {
        best_rate = rate;
        best = counts;
      }
    }
  }
  return best;
}

RoleCounts RolePlanner::CurrentCounts() const {
  RoleCounts counts;
  for (const PlannedEngine& engine : this->engines)
    ++CountOf(counts, engine.role);
  return counts;
}

std::optional<RoleChange> RolePlanner::BestChange(const RoleCounts& current,
                                                  double fraction) const {
  int total = current.prefill + current.decode + current.mixed;
  RoleCounts target = this->BestCounts(fraction, total);
  int changes = ChangesBetween(current, target);
  if (changes == 0)
    return std::nullopt;
  double demand = kHeadroom * std::max(this->slow.prefill + this->slow.decode,
                                       this->fast.prefill + this->fast.decode);
  auto useful_throughput = [&](const RoleCounts& counts, double mix) {
    return this->MeanThroughput(counts, mix, demand);
  };
  double fast_fraction = PrefillFractionOf(this->fast);
  std::optional<RoleChange> best;
  for (EngineRole from :
       {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
    for (EngineRole to :
         {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
      RoleCounts next = current;
      RoleCounts during_change = current;
      --CountOf(next, from);
      ++CountOf(next, to);
      --CountOf(during_change, from);
      // Considers only changes that lead directly to the target, so that no
      // engine changes its role twice.
      if (from == to || ChangesBetween(next, target) >= changes ||
          !this->WithinBounds(next, total))
        continue;
      // For each estimate of the prefill fraction (`fraction` and
      // `fast_fraction`), the gain of the change is the larger of the gain of
      // `next` and the mean gain per change on the way to `target`. The smaller
      // of the two values is used.
      double gain =
          std::min(std::max(useful_throughput(next, fraction) -
                                useful_throughput(current, fraction),
                            (useful_throughput(target, fraction) -
                             useful_throughput(current, fraction)) /
                                changes),
                   std::max(useful_throughput(next, fast_fraction) -
                                useful_throughput(current, fast_fraction),
                            (useful_throughput(target, fast_fraction) -
                             useful_throughput(current, fast_fraction)) /
                                changes));
      if (this->options.hysteresis && gain < kMinGainShare * total)
        continue;
      double downtime_s = absl::ToDoubleSeconds(this->options.change_downtime);
      double cost =
          downtime_s *
          std::max(0.1, useful_throughput(current, fast_fraction) -
                            useful_throughput(during_change, fast_fraction));
      double useful_s =
          std::max(0.0, this->ExpectedRemainingMixPeriodSeconds() - downtime_s);
      if (!best || gain * useful_s - cost > best->gain - best->cost) {
        best = RoleChange{.engine = {},
                          .from = from,
                          .to = to,
                          .gain = gain * useful_s,
                          .cost = cost};
      }
    }
  }
  return best;
}

double RolePlanner::RecentReversals() const {
  double age = absl::ToDoubleSeconds(this->clock.Now() - this->reversal_time);
  return this->reversals * std::exp(-age / kReversalDecayS);
}

// Returns the number of engines by which the counts miss the bounds.
int RolePlanner::BoundsViolation(const RoleCounts& counts, int engines) const {
  auto violation_of = [&](int count, const ShareBounds& bounds) {
    constexpr double kRounding = 1e-9;
    int min_count =
        static_cast<int>(std::ceil(bounds.min_share * engines - kRounding));
    int max_count =
        static_cast<int>(std::floor(bounds.max_share * engines + kRounding));
    return std::max(0, min_count - count) + std::max(0, count - max_count);
  };
  return violation_of(counts.prefill, this->options.prefill) +
         violation_of(counts.decode, this->options.decode) +
         violation_of(counts.mixed, this->options.mixed);
}

// The bounds are part of the configuration, so a change towards them needs
// neither a gain nor an observation of the mix.
std::optional<RoleChange> RolePlanner::ChangeTowardsBounds() const {
  RoleCounts current = this->CurrentCounts();
  int total = current.prefill + current.decode + current.mixed;
  int min_violation = this->BoundsViolation(current, total);
  std::optional<RoleChange> best;
  for (EngineRole from :
       {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
    for (EngineRole to :
         {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
      RoleCounts next = current;
      --CountOf(next, from);
      ++CountOf(next, to);
      if (from == to || this->LeastLoaded(from) == nullptr ||
          this->BoundsViolation(next, total) >= min_violation) {
        continue;
      }
      min_violation = this->BoundsViolation(next, total);
      best = RoleChange{.engine = {}, .from = from, .to = to};
    }
  }
  return best;
}

const PlannedEngine* RolePlanner::LeastLoaded(EngineRole role) const {
  const PlannedEngine* least_loaded = nullptr;
  for (const PlannedEngine& engine : this->engines) {
    if (engine.available && engine.role == role &&
        (least_loaded == nullptr || engine.load < least_loaded->load))
      least_loaded = &engine;
  }
  return least_loaded;
}

std::optional<RoleChange> RolePlanner::NextChange() {
  if (this->change_in_progress)
    return std::nullopt;
  if (std::optional<RoleChange> change = this->ChangeTowardsBounds()) {
    change->engine = this->LeastLoaded(change->from)->id;
    this->change_in_progress = true;
    return change;
  }
  if (this->observed_time < this->options.warm_up ||
      this->slow.prefill + this->slow.decode <= 0)
    return std::nullopt;
  double fraction = this->options.hysteresis ? PrefillFractionOf(this->slow)
                                             : PrefillFractionOf(this->fast);
  std::optional<RoleChange> change =
      this->BestChange(this->CurrentCounts(), fraction);
  if (!change)
    return std::nullopt;
  bool reversal = this->last_change && this->last_change->from == change->to &&
                  this->last_change->to == change->from;
  double reversals = this->RecentReversals() + (reversal ? 1 : 0);
  double margin =
      this->options.gain_margin * std::pow(kReversalFactor, reversals);
  if (this->options.hysteresis && change->gain < margin * change->cost)
    return std::nullopt;
  const PlannedEngine* engine = this->LeastLoaded(change->from);
  if (engine == nullptr)
    return std::nullopt;
  change->engine = engine->id;
  this->change_in_progress = true;
  this->reversals = reversals;
  this->reversal_time = this->clock.Now();
  this->last_change = change;
  return change;
}

void RolePlanner::OnChangeEnded() {
  this->change_in_progress = false;
}

}  // namespace cranberryhill
