#ifndef CRANBERRYHILL_COST_OUTPUT_PREDICTOR_H_
#define CRANBERRYHILL_COST_OUTPUT_PREDICTOR_H_

// Predicts the output length of a request from earlier requests of the same
// customer and kind of call.
//
//   OutputPredictor predictor;
//   OutputEstimate estimate = predictor.Predict("c7", "chat", 512);
//   ...
//   predictor.Observe("c7", "chat", tokens_forwarded);

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "cranberryhill/cost/work.h"

namespace cranberryhill {

/// Exponentially weighted histograms of output lengths. If there are few
/// observations for a customer and kind, the prediction uses those of the kind,
/// and if these are few too, those of all calls. Not thread-safe.
class OutputPredictor {
 public:
  /// @param max_keys Largest number of pairs of customer and kind that have a
  ///     histogram, and of kinds that have one. Further pairs use the histogram
  ///     of the kind.
  explicit OutputPredictor(size_t max_keys = 20000);

  /// @param max_tokens Limit that the caller set; 0 means no limit.
  OutputEstimate Predict(std::string_view customer,
                         std::string_view kind,
                         uint32_t max_tokens) const;

  /// Records the output length of a finished answer.
  void Observe(std::string_view customer,
               std::string_view kind,
               uint32_t output_tokens);

 private:
  // There are two buckets for each doubling of the length. The last one also
  // counts outputs that are longer than 2^20 tokens.
  static constexpr size_t kBuckets = 42;

  struct Histogram {
    std::array<float, kBuckets> bucket_weights{};
    double total_weight = 0;
    double mean_tokens = 0;
  };

  static void AddObservation(Histogram& histogram, uint32_t tokens);
  static OutputEstimate EstimateFrom(const Histogram& histogram);
  static std::string KeyOf(std::string_view customer, std::string_view kind);

  const size_t max_keys;
  absl::flat_hash_map<std::string, Histogram> by_customer_and_kind;
  absl::flat_hash_map<std::string, Histogram> by_kind;
  Histogram all_calls;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_OUTPUT_PREDICTOR_H_
