#include "cranberryhill/cost/output_predictor.h"

#include <algorithm>
#include <cmath>

namespace cranberryhill {
namespace {

// About the last 50 answers count.
constexpr double kDecay = 0.98;
// Observed weight below which the next more general histogram is used.
constexpr double kMinWeight = 5;
constexpr double kHighQuantile = 0.9;
// Used before anything was observed.
constexpr OutputEstimate kPrior{.mean = 200, .high = 500};

}  // namespace

OutputPredictor::OutputPredictor(size_t max_keys) : max_keys(max_keys) {}

std::string OutputPredictor::KeyOf(std::string_view customer,
                                   std::string_view kind) {
  std::string key(customer);
  key += '\0';
  key += kind;
  return key;
}

void OutputPredictor::Add(Histogram& histogram, uint32_t tokens) {
  auto bucket = static_cast<size_t>(2 * std::log2(tokens + 1.0));
  for (float& weight : histogram.weight)
    weight *= kDecay;
  histogram.weight[std::min(bucket, kBuckets - 1)] += 1;
  histogram.total = histogram.total * kDecay + 1;
  histogram.mean += (tokens - histogram.mean) / histogram.total;
}

OutputEstimate OutputPredictor::Estimate(const Histogram& histogram) {
  double below = 0;
  size_t bucket = 0;
  for (; bucket < kBuckets - 1; ++bucket) {
    below += histogram.weight[bucket];
    if (below >= kHighQuantile * histogram.total)
      break;
  }
  double upper = std::exp2((static_cast<double>(bucket) + 1) / 2) - 1;
  return {.mean = histogram.mean, .high = std::max(upper, histogram.mean)};
}

OutputEstimate OutputPredictor::Predict(std::string_view customer,
                                        std::string_view kind,
                                        uint32_t max_tokens) const {
  OutputEstimate estimate = kPrior;
  auto key = this->by_key.find(KeyOf(customer, kind));
  auto of_kind = this->by_kind.find(std::string(kind));
  if (key != this->by_key.end() && key->second.total >= kMinWeight)
    estimate = Estimate(key->second);
  else if (of_kind != this->by_kind.end() &&
           of_kind->second.total >= kMinWeight)
    estimate = Estimate(of_kind->second);
  else if (this->all.total >= kMinWeight)
    estimate = Estimate(this->all);
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
  if (this->by_key.size() < this->max_keys || this->by_key.contains(key))
    Add(this->by_key[key], output_tokens);
  // Kinds come from callers, so their number is bounded as well.
  if (this->by_kind.size() < this->max_keys ||
      this->by_kind.contains(std::string(kind)))
    Add(this->by_kind[std::string(kind)], output_tokens);
  Add(this->all, output_tokens);
}

}  // namespace cranberryhill
