#include "cranberryhill/cost/output_predictor.h"

#include <algorithm>
#include <cmath>

namespace cranberryhill {
namespace {

// At each new answer the weight of the earlier ones in a histogram is
// multiplied by this, so about the last 50 answers determine the histogram.
constexpr double kWeightDecay = 0.98;
// A histogram with less total weight is not used; the prediction then uses the
// next more general one.
constexpr double kMinTotalWeight = 5;
constexpr double kHighQuantile = 0.9;
// Estimate that is used while no histogram has enough observations.
constexpr OutputEstimate kPriorEstimate{.mean = 200, .high = 500};

}  // namespace

OutputPredictor::OutputPredictor(size_t max_keys) : max_keys(max_keys) {}

std::string OutputPredictor::KeyOf(std::string_view customer,
                                   std::string_view kind) {
  std::string key(customer);
  key += '\0';
  key += kind;
  return key;
}

void OutputPredictor::AddObservation(Histogram& histogram, uint32_t tokens) {
  auto bucket = static_cast<size_t>(2 * std::log2(tokens + 1.0));
  for (float& weight : histogram.bucket_weights)
    weight *= kWeightDecay;
  histogram.bucket_weights[std::min(bucket, kBuckets - 1)] += 1;
  histogram.total_weight = histogram.total_weight * kWeightDecay + 1;
  histogram.mean_tokens +=
      (tokens - histogram.mean_tokens) / histogram.total_weight;
}

OutputEstimate OutputPredictor::EstimateFrom(const Histogram& histogram) {
  double cumulative_weight = 0;
  size_t bucket = 0;
  for (; bucket < kBuckets - 1; ++bucket) {
    cumulative_weight += histogram.bucket_weights[bucket];
    if (cumulative_weight >= kHighQuantile * histogram.total_weight)
      break;
  }
  double bucket_upper_tokens =
      std::exp2((static_cast<double>(bucket) + 1) / 2) - 1;
  return {.mean = histogram.mean_tokens,
          .high = std::max(bucket_upper_tokens, histogram.mean_tokens)};
}

OutputEstimate OutputPredictor::Predict(std::string_view customer,
                                        std::string_view kind,
                                        uint32_t max_tokens) const {
  OutputEstimate estimate = kPriorEstimate;
  auto key_entry = this->by_customer_and_kind.find(KeyOf(customer, kind));
  auto kind_entry = this->by_kind.find(std::string(kind));
  if (key_entry != this->by_customer_and_kind.end() &&
      key_entry->second.total_weight >= kMinTotalWeight)
    estimate = EstimateFrom(key_entry->second);
  else if (kind_entry != this->by_kind.end() &&
           kind_entry->second.total_weight >= kMinTotalWeight)
    estimate = EstimateFrom(kind_entry->second);
  else if (this->all_calls.total_weight >= kMinTotalWeight)
    estimate = EstimateFrom(this->all_calls);
  if (max_tokens > 0) {
    estimate.mean = std::min<double>(estimate.mean, max_tokens);
    estimate.high = std::min<double>(estimate.high, max_tokens);
  }
  return estimate;
}

void OutputPredictor::Observe(std::string_view customer,
                              std::string_view kind,
                              uint32_t output_tokens) {
  std::string key = KeyOf(customer, kind);
  if (this->by_customer_and_kind.size() < this->max_keys ||
      this->by_customer_and_kind.contains(key))
    AddObservation(this->by_customer_and_kind[key], output_tokens);
  // Callers choose the kinds, so the number of kinds needs a limit too.
  if (this->by_kind.size() < this->max_keys ||
      this->by_kind.contains(std::string(kind)))
    AddObservation(this->by_kind[std::string(kind)], output_tokens);
  AddObservation(this->all_calls, output_tokens);
}

}  // namespace cranberryhill
