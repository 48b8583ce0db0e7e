#ifndef CRANBERRYHILL_COST_ENGINE_SPEED_H_
#define CRANBERRYHILL_COST_ENGINE_SPEED_H_

// Engine speed, learned from the streams of this instance. Engines of the same
// role share a SpeedModel; each engine has its own SlowdownEstimator.
//
//   SpeedModel model;
//   model.ObserveFirstToken(4000, 0, absl::Milliseconds(300));
//   model.ObserveGap(24, absl::Milliseconds(18), absl::Milliseconds(25));
//   double seconds = model.PrefillSeconds(8000, 24);

#include <array>
#include <cstddef>

#include "absl/time/time.h"
#include "cranberryhill/cost/linear_fit.h"

namespace cranberryhill {

/// Speed assumed until enough has been observed.
struct SpeedPrior {
  double prefill_tokens_per_s = 12000;
  double gap_base_s = 0.010;         ///< Token gap of an otherwise idle engine.
  double gap_per_stream_s = 0.0003;  ///< Added to the gap by each stream.
};

/// Seconds per prefill token for ranges of the number of streams. Each value is
/// the ratio of summed seconds to summed tokens: a mean of rates would depend
/// mostly on the few prefills that happened to be fast. Not thread-safe.
class PrefillTimeTable {
 public:
  explicit PrefillTimeTable(double seconds_per_token);

  void Observe(double streams, double tokens, double seconds);

  /// @return Seconds per token. The value never falls as `streams` rises.
  double At(double streams) const;

 private:
  static constexpr size_t kStreamRanges = 16;
  struct Sums {
    double tokens = 0;
    double seconds = 0;
  };

  std::array<Sums, kStreamRanges> range_sums;
  // One value per range, in ascending order.
  std::array<double, kStreamRanges> seconds_per_token;
};

/// Expected prefill time and token gaps as functions of the number of streams
/// that the engine runs. Not thread-safe.
class SpeedModel {
 public:
  explicit SpeedModel(SpeedPrior prior = {});

  /// @param tokens Prefill tokens processed until the first token, including
  ///     those queued before the request.
  /// @param streams Number of streams that the engine ran at the time.
  /// @param elapsed Time from sending the request to its first token.
  void ObserveFirstToken(double tokens, double streams, absl::Duration elapsed);

  /// @param streams Number of streams that the engine ran at the time.
  /// @param mean Mean gap between some consecutive tokens of one stream.
  /// @param longest Longest of these gaps.
  void ObserveGap(double streams, absl::Duration mean, absl::Duration longest);

  /// @return Seconds that the engine needs to prefill `tokens`.
  double PrefillSeconds(double tokens, double streams) const {
    return tokens * this->prefill_times.At(streams);
  }

  /// @return Seconds of engine time per prefill token, without time spent in
  ///     the queue. PrefillSeconds() can include time in the queue that the
  ///     load reports did not show.
  double PrefillTokenSeconds() const { return this->fast_seconds_per_token; }

  /// @return Seconds to the first token in addition to PrefillSeconds(): a
  ///     prefill starts only when the engine's running step has ended.
  double OverheadSeconds(double streams) const {
    return this->GapSeconds(streams);
  }

  /// @return Mean seconds between tokens with `streams` streams running.
  double GapSeconds(double streams) const { return this->mean_gap.At(streams); }

  /// @return Seconds that about 95% of the gaps between tokens do not exceed.
  double HighGapSeconds(double streams) const {
    return this->high_gap.At(streams);
  }

  /// @return Seconds of engine time per output token if the engine runs as many
  ///     streams as `max_token_gap` permits.
  double DecodeTokenSeconds(absl::Duration max_token_gap) const;

 private:
  PrefillTimeTable prefill_times;
  // Low quantile of the seconds per token: that of prefills that did not wait
  // in the queue.
  double fast_seconds_per_token;
  LinearFit mean_gap;
  LinearFit high_gap;
};

/// Estimates how many times longer one engine takes than an engine of normal
/// speed. The estimate rises within a few slow observations and falls again
/// when the engine recovers. Not thread-safe.
class SlowdownEstimator {
 public:
  /// @param ratio Observed time divided by expected time.
  /// @param now The current time.
  void Observe(double ratio, absl::Time now);

  /// @param now The current time. If there are no new observations the factor
  ///     returns to 1, so that an engine that is avoided gets requests again.
  /// @return Factor of at least 1; 1 means normal speed.
  double Factor(absl::Time now) const;

 private:
  double log_ratio = 0;
  absl::Time last_observed_at = absl::InfinitePast();
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_ENGINE_SPEED_H_
