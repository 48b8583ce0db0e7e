#include "cranberryhill/cost/engine_speed.h"

#include <algorithm>
#include <cmath>

namespace cranberryhill {
namespace {

// Number of streams at which the second prior observation of a line is placed.
constexpr double kTypicalStreams = 80;
// Observations that differ from the expected value by more than this factor are
// clamped, so that a slowed engine does not change the model of normal speed.
constexpr double kMaxDeviation = 2.0;

// Number of streams per range of PrefillTimeTable.
constexpr double kStreamsPerRange = 16;
// At each new prefill of a range the weight of the earlier ones is multiplied
// by this.
constexpr double kPrefillDecay = 0.97;
// Weight of the prior in each range, as a number of observed tokens.
constexpr double kPriorTokens = 8000;
// Prefills of fewer tokens are not observed: their time is mostly that of one
// engine step and says little about the prefill rate.
constexpr double kMinPrefillTokens = 200;

// The engine time per token is taken from a low quantile of the prefill times,
// because fast prefills spent hardly any time in the queue. Prefills of fewer
// than kMinFastPrefillTokens are not used. The quantile is not lower, because
// the prompts of the very fastest prefills were probably cached.
constexpr double kMinFastPrefillTokens = 2000;
constexpr double kFastQuantile = 0.2;
// Each prefill changes the logarithm of the estimate by less than this.
constexpr double kFastQuantileStep = 0.02;

// Weight of a new observation in the moving average of the slowdown's
// logarithm.
constexpr double kSlowdownSampleWeight = 0.25;
constexpr double kMaxSlowdown = 20;
// The slowdown factor is kept for this time after the last observation and then
// returns to 1 within the same time, so that an engine that is avoided gets
// requests again.
constexpr absl::Duration kSlowdownHoldTime = absl::Seconds(6);

}  // namespace

PrefillTimeTable::PrefillTimeTable(double seconds_per_token) {
  this->range_sums.fill({kPriorTokens, kPriorTokens * seconds_per_token});
  this->seconds_per_token.fill(seconds_per_token);
}

void PrefillTimeTable::Observe(double streams, double tokens, double seconds) {
  auto range = std::min(kStreamRanges - 1,
                        static_cast<size_t>(streams / kStreamsPerRange));
  Sums& sum = this->range_sums[range];
  double expected = tokens * this->seconds_per_token[range];
  seconds =
      std::clamp(seconds, expected / kMaxDeviation, expected * kMaxDeviation);
  sum.tokens = sum.tokens * kPrefillDecay + tokens;
  sum.seconds = sum.seconds * kPrefillDecay + seconds;
  double running_max = 0;
  for (size_t i = 0; i < kStreamRanges; ++i) {
    running_max = std::max(
        running_max, this->range_sums[i].seconds / this->range_sums[i].tokens);
    this->seconds_per_token[i] = running_max;
  }
}

double PrefillTimeTable::At(double streams) const {
  double position = std::max(0.0, streams / kStreamsPerRange - 0.5);
  auto range = std::min(kStreamRanges - 1, static_cast<size_t>(position));
  auto next = std::min(kStreamRanges - 1, range + 1);
  double fraction = std::min(1.0, position - static_cast<double>(range));
  return this->seconds_per_token[range] * (1 - fraction) +
         this->seconds_per_token[next] * fraction;
}

SpeedModel::SpeedModel(SpeedPrior prior)
    : prefill_times(1 / prior.prefill_tokens_per_s),
      fast_seconds_per_token(1 / prior.prefill_tokens_per_s),
      mean_gap({prior.gap_base_s, prior.gap_per_stream_s}, kTypicalStreams),
      high_gap({prior.gap_base_s, prior.gap_per_stream_s}, kTypicalStreams) {}

void SpeedModel::ObserveFirstToken(double tokens,
                                   double streams,
                                   absl::Duration elapsed) {
  if (tokens < kMinPrefillTokens)
    return;
  double seconds =
      absl::ToDoubleSeconds(elapsed) - this->OverheadSeconds(streams);
  this->prefill_times.Observe(streams, tokens, std::max(0.0, seconds));
  if (tokens < kMinFastPrefillTokens)
    return;
  // Stochastic quantile estimate: in the logarithm, a step up is
  // kFastQuantile / (1 - kFastQuantile) times a step down, so the estimate
  // converges to the kFastQuantile quantile.
  double above = seconds / tokens > this->fast_seconds_per_token ? 1 : 0;
  this->fast_seconds_per_token *=
      std::exp(kFastQuantileStep * (above - (1 - kFastQuantile)));
}

void SpeedModel::ObserveGap(double streams,
                            absl::Duration mean,
                            absl::Duration longest) {
  this->mean_gap.Observe(streams, absl::ToDoubleSeconds(mean));
  this->high_gap.Observe(streams, absl::ToDoubleSeconds(longest));
}

double SpeedModel::DecodeTokenSeconds(absl::Duration max_token_gap) const {
  double longest = absl::ToDoubleSeconds(max_token_gap);
  double base = this->mean_gap.At(0);
  double slope = std::max(1e-6, this->mean_gap.At(1) - base);
  return longest / std::max(1.0, (longest - base) / slope);
}

void SlowdownEstimator::Observe(double ratio, absl::Time now) {
  double log_sample = std::log(std::clamp(ratio, 0.5, kMaxSlowdown));
  double previous = std::log(this->Factor(now));
  if (this->log_ratio < 0)
    previous = this->log_ratio;
  this->log_ratio = previous + kSlowdownSampleWeight * (log_sample - previous);
  this->last_observed_at = now;
}

double SlowdownEstimator::Factor(absl::Time now) const {
  if (this->log_ratio <= 0)
    return 1;
  double elapsed_hold_times =
      absl::FDivDuration(now - this->last_observed_at, kSlowdownHoldTime);
  return std::exp(this->log_ratio *
                  std::clamp(2 - elapsed_hold_times, 0.0, 1.0));
}

}  // namespace cranberryhill
