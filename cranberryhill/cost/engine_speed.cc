#include "cranberryhill/cost/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace cranberryhill {
namespace {

// About the last 300 observations count.
constexpr double kFitDecay = 0.997;
// Weight of each of the two prior observations.
constexpr double kPriorWeight = 10;
// Streams at which the prior lines are anchored.
constexpr double kTypicalStreams = 80;
// Observations farther from the line are clamped, so that a slowed engine
// does not change what counts as normal.
constexpr double kMaxDeviation = 2.0;

// Streams per range of the prefill rates, and the decay per observation.
constexpr double kStreamsPerRange = 16;
constexpr double kPrefillDecay = 0.97;
// Tokens that the prior counts for in each range.
constexpr double kPriorTokens = 8000;
// Prefills below this size show the step time instead of the rate.
constexpr double kMinPrefillTokens = 200;

// The fastest prefills, which hardly waited, show the engine time per token.
// Small ones and the very fastest are excluded, whose prompts were cached.
constexpr double kFastPrefillTokens = 2000;
constexpr double kFastQuantile = 0.2;
constexpr double kFastStep = 0.02;

constexpr double kSlowdownWeight = 0.25;
constexpr double kMaxSlowdown = 20;
// Time after which an engine that was avoided is tried again.
constexpr absl::Duration kForgetAfter = absl::Seconds(6);

}  // namespace

LinearFit::LinearFit(double intercept, double slope, double scale)
    : intercept(intercept), slope(slope) {
  this->Add(1, this->At(1), kPriorWeight);
  this->Add(scale, this->At(scale), kPriorWeight);
}

void LinearFit::Add(double x, double y, double weight) {
  this->sum_w += weight;
  this->sum_x += weight * x;
  this->sum_y += weight * y;
  this->sum_xx += weight * x * x;
  this->sum_xy += weight * x * y;
}

void LinearFit::Solve() {
  double spread = this->sum_w * this->sum_xx - this->sum_x * this->sum_x;
  // Without spread in x the slope is undefined; the known one is kept.
  if (spread > 0.5 * this->sum_w * this->sum_w) {
    double covariance = this->sum_w * this->sum_xy - this->sum_x * this->sum_y;
    this->slope = std::max(0.0, covariance / spread);
  }
  double level = (this->sum_y - this->slope * this->sum_x) / this->sum_w;
  this->intercept = std::max(level, 1e-6);
}

void LinearFit::Observe(double x, double y) {
  double expected = this->At(x);
  y = std::clamp(y, expected / kMaxDeviation, expected * kMaxDeviation);
  for (double* sum :
       {&this->sum_w, &this->sum_x, &this->sum_y, &this->sum_xx, &this->sum_xy})
    *sum *= kFitDecay;
  this->Add(x, y, 1);
  this->Solve();
}

PrefillRates::PrefillRates(double seconds_per_token) {
  this->sums.fill({kPriorTokens, kPriorTokens * seconds_per_token});
  this->seconds_per_token.fill(seconds_per_token);
}

void PrefillRates::Observe(double streams, double tokens, double seconds) {
  auto range =
      std::min(kRanges - 1, static_cast<size_t>(streams / kStreamsPerRange));
  Sums& sum = this->sums[range];
  double expected = tokens * this->seconds_per_token[range];
  seconds =
      std::clamp(seconds, expected / kMaxDeviation, expected * kMaxDeviation);
  sum.tokens = sum.tokens * kPrefillDecay + tokens;
  sum.seconds = sum.seconds * kPrefillDecay + seconds;
  double least = 0;
  for (size_t i = 0; i < kRanges; ++i) {
    least = std::max(least, this->sums[i].seconds / this->sums[i].tokens);
    this->seconds_per_token[i] = least;
  }
}

double PrefillRates::At(double streams) const {
  double position = std::max(0.0, streams / kStreamsPerRange - 0.5);
  auto range = std::min(kRanges - 1, static_cast<size_t>(position));
  auto next = std::min(kRanges - 1, range + 1);
  double part = std::min(1.0, position - static_cast<double>(range));
  return this->seconds_per_token[range] * (1 - part) +
         this->seconds_per_token[next] * part;
}

SpeedModel::SpeedModel(SpeedPrior prior)
    : prefill(1 / prior.prefill_tokens_per_s),
      fastest_prefill(1 / prior.prefill_tokens_per_s),
      gap(prior.gap_base_s, prior.gap_per_stream_s, kTypicalStreams),
      high_gap(prior.gap_base_s, prior.gap_per_stream_s, kTypicalStreams) {}

void SpeedModel::ObserveFirstToken(double tokens,
                                   double streams,
                                   absl::Duration elapsed) {
  if (tokens < kMinPrefillTokens)
    return;
  double seconds =
      absl::ToDoubleSeconds(elapsed) - this->OverheadSeconds(streams);
  this->prefill.Observe(streams, tokens, std::max(0.0, seconds));
  if (tokens < kFastPrefillTokens)
    return;
  // Moves up and down in the proportion that holds it at the quantile.
  double up = seconds / tokens > this->fastest_prefill ? 1 : 0;
  this->fastest_prefill *= std::exp(kFastStep * (up - (1 - kFastQuantile)));
}

void SpeedModel::ObserveGap(double streams,
                            absl::Duration mean,
                            absl::Duration longest) {
  this->gap.Observe(streams, absl::ToDoubleSeconds(mean));
  this->high_gap.Observe(streams, absl::ToDoubleSeconds(longest));
}

double SpeedModel::DecodeTokenSeconds(absl::Duration max_gap) const {
  double longest = absl::ToDoubleSeconds(max_gap);
  double base = this->gap.At(0);
  double slope = std::max(1e-6, this->gap.At(1) - base);
  return longest / std::max(1.0, (longest - base) / slope);
}

void Slowdown::Observe(double ratio, absl::Time now) {
  double log_sample = std::log(std::clamp(ratio, 0.5, kMaxSlowdown));
  double known = std::log(this->Factor(now));
  if (this->log_ratio < 0)
    known = this->log_ratio;
  this->log_ratio = known + kSlowdownWeight * (log_sample - known);
  this->last = now;
}

double Slowdown::Factor(absl::Time now) const {
  if (this->log_ratio <= 0)
    return 1;
  double silent = absl::FDivDuration(now - this->last, kForgetAfter);
  return std::exp(this->log_ratio * std::clamp(2 - silent, 0.0, 1.0));
}

}  // namespace cranberryhill
