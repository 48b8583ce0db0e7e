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
// Least part of the value at 0 that a falling line reaches.
constexpr double kMinPart = 0.05;

// Small prefills show the overhead and large ones the rate. A fit of the rate
// to small ones took the step time for prefill time and was wrong four times.
constexpr double kOverheadSampleTokens = 1000;
constexpr double kPrefillSampleTokens = 2500;

constexpr double kSlowdownWeight = 0.25;
constexpr double kMaxSlowdown = 20;
// Time after which an engine that was avoided is tried again.
constexpr absl::Duration kForgetAfter = absl::Seconds(6);

}  // namespace

LinearFit::LinearFit(double intercept, double slope, double scale, int sign)
    : intercept(intercept), slope(slope), sign(sign) {
  this->Add(1, this->At(1), kPriorWeight);
  this->Add(scale, this->At(scale), kPriorWeight);
}

double LinearFit::At(double x) const {
  return std::max(kMinPart * this->intercept,
                  this->intercept + this->slope * x);
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
    this->slope = this->sign * std::max(0.0, this->sign * covariance / spread);
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

SpeedModel::SpeedModel(SpeedPrior prior)
    : prefill_rate(prior.prefill_tokens_per_s, 0, kTypicalStreams, -1),
      overhead(prior.gap_base_s, prior.gap_per_stream_s, kTypicalStreams),
      gap(prior.gap_base_s, prior.gap_per_stream_s, kTypicalStreams),
      high_gap(prior.gap_base_s, prior.gap_per_stream_s, kTypicalStreams) {}

void SpeedModel::ObserveFirstToken(double tokens,
                                   double streams,
                                   absl::Duration elapsed) {
  double seconds = absl::ToDoubleSeconds(elapsed);
  if (tokens <= kOverheadSampleTokens)
    this->overhead.Observe(
        streams,
        std::max(0.0, seconds - this->PrefillSeconds(tokens, streams)));
  else if (tokens >= kPrefillSampleTokens)
    this->prefill_rate.Observe(
        streams,
        tokens / std::max(1e-3, seconds - this->OverheadSeconds(streams)));
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
