#ifndef CRANBERRYHILL_COST_LINEAR_FIT_H_
#define CRANBERRYHILL_COST_LINEAR_FIT_H_

// Learns a line from observations that arrive one by one, for models of speed
// that must follow engines whose speed changes.
//
//   LinearFit gap({0.010, 0.0003}, 80);
//   gap.Observe(24, 0.018);
//   double seconds = gap.At(32);

namespace cranberryhill {

struct Line {
  double intercept = 0;
  double slope = 0;

  /// @return The value of the line at `x`.
  double At(double x) const { return this->intercept + this->slope * x; }
};

/// How a LinearFit weighs its observations.
struct LinearFitPolicy {
  /// At each new observation the weight of the earlier ones is multiplied by
  /// this, so about the last 1 / (1 - decay) observations determine the line.
  double decay = 0.997;
  /// Observations that differ from the expected value by more than this factor
  /// are clamped, so that a slowed engine does not change the model of normal
  /// speed.
  double max_deviation = 2.0;
};

/// Linear regression over exponentially weighted observations. It starts as the
/// line given to the constructor. Not thread-safe.
class LinearFit {
 public:
  /// @param prior The line starts with two prior observations of this line: at
  ///     1 and at `typical_x`.
  LinearFit(Line prior, double typical_x, LinearFitPolicy policy = {});

  void Observe(double x, double y);

  /// @return The value of the line at `x`. The slope is never negative.
  double At(double x) const { return this->current.At(x); }

  const Line& line() const { return this->current; }  // NOLINT

 private:
  void Add(double x, double y, double weight);
  void Solve();

  LinearFitPolicy policy;
  // Weighted sums over the observations; w is the weight.
  double sum_w = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  Line current;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_LINEAR_FIT_H_
