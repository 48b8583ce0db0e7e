#ifndef CRANBERRYHILL_COST_OUTPUT_PREDICTOR_H_
#define CRANBERRYHILL_COST_OUTPUT_PREDICTOR_H_

// Predicts output lengths per customer and kind of call.
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

/// Exponentially weighted histograms of output lengths. A customer and kind
/// with few observations falls back to the kind, and then to all calls. Not
/// thread-safe.
class OutputPredictor {
 public:
  /// @param max_keys Customers and kinds remembered; further ones use the
  ///     histogram of the kind.
  explicit OutputPredictor(size_t max_keys = 20000);

  /// @param max_tokens The caller's own limit; 0 means none.
  OutputEstimate Predict(std::string_view customer,
                         std::string_view kind,
                         uint32_t max_tokens) const;

  /// Learns from a finished answer.
  void Observe(std::string_view customer,
               std::string_view kind,
               uint32_t output_tokens);

 private:
  // Two buckets per doubling, up to 2^20 tokens.
  static constexpr size_t kBuckets = 42;

  struct Histogram {
    std::array<float, kBuckets> weight{};
    double total = 0;
    double mean = 0;
  };

  static void Add(Histogram& histogram, uint32_t tokens);
  static OutputEstimate Estimate(const Histogram& histogram);
  static std::string KeyOf(std::string_view customer, std::string_view kind);

  const size_t max_keys;
  absl::flat_hash_map<std::string, Histogram> by_key;
  absl::flat_hash_map<std::string, Histogram> by_kind;
  Histogram all;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_OUTPUT_PREDICTOR_H_
