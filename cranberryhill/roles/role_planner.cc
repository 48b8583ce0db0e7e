#include "cranberryhill/roles/role_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace cranberryhill {
namespace {

// Distance of the mix to that of the current regime that starts a new one.
constexpr double kRegimeChange = 0.12;
// Counts are rated at the estimated mix and at this distance on both sides,
// because the estimate is never exact.
constexpr double kMixUncertainty = 0.12;
// Capacity wanted in excess of the demand, so that queues stay short.
constexpr double kHeadroom = 1.25;
// A change that undoes the last one needs a gain larger by this factor for
// each reversal in the recent past.
constexpr double kReversalFactor = 2;
constexpr double kReversalMemoryS = 180;
// Gains below this part of the engines' capacity are noise.
constexpr double kMinGain = 0.06;

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

int Distance(const RoleCounts& a, const RoleCounts& b) {
  return (std::abs(a.prefill - b.prefill) + std::abs(a.decode - b.decode) +
          std::abs(a.mixed - b.mixed)) /
         2;
}

}  // namespace

RolePlanner::RolePlanner(const Clock& clock, RolePlannerOptions options)
    : clock(clock),
      options(options),
      regime_start(clock.Now()),
      mean_duration_s(absl::ToDoubleSeconds(options.initial_duration)) {}

double RolePlanner::FractionOf(const Average& average) {
  double sum = average.prefill + average.decode;
  return sum > 0 ? average.prefill / sum : 0.5;
}

double RolePlanner::PrefillFraction() const {
  return FractionOf(this->slow);
}

void RolePlanner::ObserveWork(double prefill_s,
                              double decode_s,
                              absl::Duration elapsed) {
  double seconds = absl::ToDoubleSeconds(elapsed);
  if (seconds <= 0)
    return;
  this->observed += elapsed;
  auto update = [&](Average& average, absl::Duration time_constant) {
    double weight = 1 - std::exp(-absl::FDivDuration(elapsed, time_constant));
    if (average.prefill + average.decode == 0)
      weight = 1;
    average.prefill += weight * (prefill_s / seconds - average.prefill);
    average.decode += weight * (decode_s / seconds - average.decode);
  };
  update(this->fast, this->options.fast_average);
  update(this->slow, this->options.slow_average);
  this->TrackMix();
}

void RolePlanner::TrackMix() {
  double fraction = FractionOf(this->fast);
  absl::Time now = this->clock.Now();
  if (this->regime_fraction < 0) {
    this->regime_fraction = fraction;
    this->regime_start = now;
    return;
  }
  if (std::abs(fraction - this->regime_fraction) < kRegimeChange)
    return;
  double lasted = absl::ToDoubleSeconds(now - this->regime_start);
  // The passage from one mix to another crosses the threshold more than once
  // within the averaging time; it is no regime of its own.
  if (lasted > absl::ToDoubleSeconds(this->options.fast_average))
    this->mean_duration_s += 0.5 * (lasted - this->mean_duration_s);
  this->regime_fraction = fraction;
  this->regime_start = now;
}

double RolePlanner::ExpectedDuration() const {
  double age = absl::ToDoubleSeconds(this->clock.Now() - this->regime_start);
  // A mix that outlasted the usual duration is expected to last as long again.
  return std::max(this->mean_duration_s - age, age);
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

double RolePlanner::Rating(const RoleCounts& counts,
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
  return this->Violation(counts, engines) == 0;
}

RoleCounts RolePlanner::BestCounts(double prefill_fraction, int engines) const {
  RoleCounts best{.mixed = engines};
  double best_rate = -1;
  for (int prefill = 0; prefill <= engines; ++prefill) {
    for (int decode = 0; prefill + decode <= engines; ++decode) {
      RoleCounts counts{prefill, decode, engines - prefill - decode};
      // An engine that only prefills is useless without one that decodes.
      bool complete = (counts.prefill > 0) == (counts.decode > 0);
      if (!this->WithinBounds(counts, engines) ||
          (!complete && counts.mixed == 0))
        continue;
      double rate = this->Rating(counts, prefill_fraction, engines);
      if (rate > best_rate + 1e-9) {
        best_rate = rate;
        best = counts;
      }
    }
  }
  return best;
}

RoleCounts RolePlanner::Counts() const {
  RoleCounts counts;
  for (const PlannedEngine& engine : this->engines)
    ++CountOf(counts, engine.role);
  return counts;
}

std::optional<RoleChange> RolePlanner::Best(const RoleCounts& now,
                                            double fraction) const {
  int total = now.prefill + now.decode + now.mixed;
  RoleCounts target = this->BestCounts(fraction, total);
  int moves = Distance(now, target);
  if (moves == 0)
    return std::nullopt;
  double demand = kHeadroom * std::max(this->slow.prefill + this->slow.decode,
                                       this->fast.prefill + this->fast.decode);
  auto useful = [&](const RoleCounts& counts, double mix) {
    return this->Rating(counts, mix, demand);
  };
  double quick = FractionOf(this->fast);
  std::optional<RoleChange> best;
  for (EngineRole from :
       {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
    for (EngineRole to :
         {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
      RoleCounts next = now;
      RoleCounts absent = now;
      --CountOf(next, from);
      ++CountOf(next, to);
      --CountOf(absent, from);
      // Only moves that lead straight to the target: no engine changes twice.
      if (from == to || Distance(next, target) >= moves ||
          !this->WithinBounds(next, total))
        continue;
      // Part of this move in the gain of all moves, at both estimates.
      double gain = std::min(
          std::max(useful(next, fraction) - useful(now, fraction),
                   (useful(target, fraction) - useful(now, fraction)) / moves),
          std::max(useful(next, quick) - useful(now, quick),
                   (useful(target, quick) - useful(now, quick)) / moves));
      if (this->options.hysteresis && gain < kMinGain * total)
        continue;
      double absence = absl::ToDoubleSeconds(this->options.absence);
      double cost =
          absence * std::max(0.1, useful(now, quick) - useful(absent, quick));
      double lasts = std::max(0.0, this->ExpectedDuration() - absence);
      if (!best || gain * lasts - cost > best->gain - best->cost) {
        best = RoleChange{.engine = {},
                          .from = from,
                          .to = to,
                          .gain = gain * lasts,
                          .cost = cost};
      }
    }
  }
  return best;
}

double RolePlanner::RecentReversals() const {
  double age = absl::ToDoubleSeconds(this->clock.Now() - this->reversal_time);
  return this->reversals * std::exp(-age / kReversalMemoryS);
}

// Number of engines by which the counts miss the bounds.
int RolePlanner::Violation(const RoleCounts& counts, int engines) const {
  auto missed = [&](int count, const ShareBounds& bounds) {
    constexpr double kRounding = 1e-9;
    int low =
        static_cast<int>(std::ceil(bounds.min_share * engines - kRounding));
    int high =
        static_cast<int>(std::floor(bounds.max_share * engines + kRounding));
    return std::max(0, low - count) + std::max(0, count - high);
  };
  return missed(counts.prefill, this->options.prefill) +
         missed(counts.decode, this->options.decode) +
         missed(counts.mixed, this->options.mixed);
}

// The bounds are part of the configuration, so a move towards them needs no
// gain and no observation of the mix.
std::optional<RoleChange> RolePlanner::TowardsBounds() const {
  RoleCounts now = this->Counts();
  int total = now.prefill + now.decode + now.mixed;
  int least = this->Violation(now, total);
  std::optional<RoleChange> best;
  for (EngineRole from :
       {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
    for (EngineRole to :
         {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed}) {
      RoleCounts next = now;
      --CountOf(next, from);
      ++CountOf(next, to);
      if (from == to || this->LeastLoaded(from) == nullptr ||
          this->Violation(next, total) >= least) {
        continue;
      }
      least = this->Violation(next, total);
      best = RoleChange{.engine = {}, .from = from, .to = to};
    }
  }
  return best;
}

const PlannedEngine* RolePlanner::LeastLoaded(EngineRole role) const {
  const PlannedEngine* least = nullptr;
  for (const PlannedEngine& engine : this->engines) {
    if (engine.available && engine.role == role &&
        (least == nullptr || engine.load < least->load))
      least = &engine;
  }
  return least;
}

std::optional<RoleChange> RolePlanner::Plan() {
  if (this->change_open)
    return std::nullopt;
  if (std::optional<RoleChange> change = this->TowardsBounds()) {
    change->engine = this->LeastLoaded(change->from)->id;
    this->change_open = true;
    return change;
  }
  if (this->observed < this->options.warm_up ||
      this->slow.prefill + this->slow.decode <= 0)
    return std::nullopt;
  double fraction = this->options.hysteresis ? FractionOf(this->slow)
                                             : FractionOf(this->fast);
  std::optional<RoleChange> change = this->Best(this->Counts(), fraction);
  if (!change)
    return std::nullopt;
  bool reversal = this->last_change && this->last_change->from == change->to &&
                  this->last_change->to == change->from;
  double reversals = this->RecentReversals() + (reversal ? 1 : 0);
  double margin =
      this->options.gain_margin * std::pow(kReversalFactor, reversals);
  if (this->options.hysteresis && change->gain < margin * change->cost)
    return std::nullopt;
  const PlannedEngine* least = this->LeastLoaded(change->from);
  if (least == nullptr)
    return std::nullopt;
  change->engine = least->id;
  this->change_open = true;
  this->reversals = reversals;
  this->reversal_time = this->clock.Now();
  this->last_change = change;
  return change;
}

void RolePlanner::OnChangeEnded() {
  this->change_open = false;
}

}  // namespace cranberryhill
