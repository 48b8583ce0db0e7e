#include "cranberryhill/cost/linear_fit.h"

#include <algorithm>

namespace cranberryhill {
namespace {

// Weight of each of the two prior observations.
constexpr double kPriorWeight = 10;

}  // namespace

LinearFit::LinearFit(Line prior, double typical_x, LinearFitPolicy policy)
    : policy(policy), current(prior) {
  this->Add(1, this->At(1), kPriorWeight);
  this->Add(typical_x, this->At(typical_x), kPriorWeight);
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
  // If all x are nearly equal the slope is undefined, and the previous one is
  // kept.
  if (spread > 0.5 * this->sum_w * this->sum_w) {
    double covariance = this->sum_w * this->sum_xy - this->sum_x * this->sum_y;
    this->current.slope = std::max(0.0, covariance / spread);
  }
  double mean_intercept =
      (this->sum_y - this->current.slope * this->sum_x) / this->sum_w;
  this->current.intercept = std::max(mean_intercept, 1e-6);
}

void LinearFit::Observe(double x, double y) {
  double expected = this->At(x);
  y = std::clamp(y, expected / this->policy.max_deviation,
                 expected * this->policy.max_deviation);
  for (double* sum :
       {&this->sum_w, &this->sum_x, &this->sum_y, &this->sum_xx, &this->sum_xy})
    *sum *= this->policy.decay;
  this->Add(x, y, 1);
  this->Solve();
}

}  // namespace cranberryhill
