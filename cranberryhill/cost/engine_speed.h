#ifndef CRANBERRYHILL_COST_ENGINE_SPEED_H_
#define CRANBERRYHILL_COST_ENGINE_SPEED_H_

// Speed of engines, learned from the instance's own streams: a model shared by
// the engines of one kind, and a slowdown factor for each engine.
//
//   SpeedModel model;
//   model.ObserveFirstToken(4000, 0, absl::Milliseconds(300));
//   model.ObserveGap(24, absl::Milliseconds(18), absl::Milliseconds(25));
//   double seconds = model.PrefillSeconds(8000, 24);

#include <array>
#include <cstddef>

#include "absl/time/time.h"

namespace cranberryhill {

/// Values used until enough has been observed.
struct SpeedPrior {
  double prefill_tokens_per_s = 12000;
  double gap_base_s = 0.010;         ///< Gap between tokens of a lone stream.
  double gap_per_stream_s = 0.0003;  ///< Added by each further stream.
};

/// Line through decayed observations, which starts as the prior line. Not
/// thread-safe.
class LinearFit {
 public:
  /// @param scale Largest x that is expected; places the prior observations.
  LinearFit(double intercept, double slope, double scale);

  void Observe(double x, double y);

  /// @return The value at `x`; the slope used is never negative.
  double At(double x) const { return this->intercept + this->slope * x; }

 private:
  void Add(double x, double y, double weight);
  void Solve();

  double sum_w = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double intercept;
  double slope;
};

/// Seconds per prefill token in ranges of the number of streams. A ratio of
/// sums, because a mean of rates would be governed by the few samples that were
/// fast by accident. Not thread-safe.
class PrefillRates {
 public:
  explicit PrefillRates(double seconds_per_token);

  void Observe(double streams, double tokens, double seconds);

  /// @return Seconds per token, never less than with fewer streams.
  double At(double streams) const;

 private:
  static constexpr size_t kRanges = 16;
  struct Sums {
    double tokens = 0;
    double seconds = 0;
  };

  std::array<Sums, kRanges> sums;
  std::array<double, kRanges> seconds_per_token;  // Not falling.
};

/// Expected time to the first token and gaps between tokens, as lines over the
/// number of streams in decode. Not thread-safe.
class SpeedModel {
 public:
  explicit SpeedModel(SpeedPrior prior = {});

  /// @param tokens Prefill tokens processed, those ahead in the queue included.
  /// @param streams Streams that the engine ran at the time.
  /// @param elapsed Time from sending to the first token.
  void ObserveFirstToken(double tokens, double streams, absl::Duration elapsed);

  /// @param streams Streams that the engine ran at the time.
  /// @param mean Mean gap of some consecutive tokens of one stream.
  /// @param longest Longest of these gaps.
  void ObserveGap(double streams, absl::Duration mean, absl::Duration longest);

  /// @return Seconds that the engine needs to prefill `tokens`.
  double PrefillSeconds(double tokens, double streams) const {
    return tokens * this->prefill.At(streams);
  }

  /// @return Seconds of engine time per prefill token, without waiting. Unlike
  ///     PrefillSeconds() it is not raised by waiting that the load reports do
  ///     not show.
  double PrefillTokenSeconds() const { return this->fastest_prefill; }

  /// @return Seconds to the first token in addition to PrefillSeconds(): the
  ///     rest of the running step.
  double OverheadSeconds(double streams) const {
    return this->GapSeconds(streams);
  }

  /// @return Mean seconds between tokens with `streams` streams running.
  double GapSeconds(double streams) const { return this->gap.At(streams); }

  /// @return Seconds that about 95 in 100 gaps do not exceed.
  double HighGapSeconds(double streams) const {
    return this->high_gap.At(streams);
  }

  /// @return Seconds of engine time per output token, with as many streams
  ///     running as `max_gap` permits.
  double DecodeTokenSeconds(absl::Duration max_gap) const;

 private:
  PrefillRates prefill;
  double fastest_prefill;  // Low quantile of seconds per token.
  LinearFit gap;
  LinearFit high_gap;
};

/// Ratio of one engine's times to the times expected of a normal engine.
/// Rises within a few observations and falls back as the engine recovers.
/// Not thread-safe.
class Slowdown {
 public:
  /// @param ratio Observed time divided by expected time.
  /// @param now Reading of the clock.
  void Observe(double ratio, absl::Time now);

  /// @param now Reading of the clock. Without observations the factor returns
  ///     to 1, so that the engine is tried again.
  /// @return At least 1; 1 means normal speed.
  double Factor(absl::Time now) const;

 private:
  double log_ratio = 0;
  absl::Time last = absl::InfinitePast();
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_ENGINE_SPEED_H_
