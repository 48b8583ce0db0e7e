#ifndef CRANBERRYHILL_REPORT_LATENCY_HISTOGRAM_H_
#define CRANBERRYHILL_REPORT_LATENCY_HISTOGRAM_H_

// Counts latencies in log-linear buckets, so that a quantile of any size has a
// bounded relative error at constant memory.
//
//   LatencyHistogram first_token;
//   first_token.Record(absl::Milliseconds(120));
//   absl::Duration p99 = first_token.Quantile(0.99);

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"

namespace cranberryhill {

/// Not thread-safe.
class LatencyHistogram {
 public:
  /// A bucket that is not empty.
  struct Bucket {
    absl::Duration upper;  ///< Largest latency in the bucket.
    uint64_t count = 0;
  };

  /// Counts one latency, rounded down to microseconds; a negative one counts
  /// as zero.
  void Record(absl::Duration latency);

  void Merge(const LatencyHistogram& other);

  uint64_t count() const { return this->total; }        // NOLINT
  absl::Duration max() const { return this->longest; }  // NOLINT

  /// @return Zero when nothing was recorded.
  absl::Duration Mean() const;

  /// @param share From 0 to 1.
  /// @return A latency that at least `share` of the records do not exceed; it
  ///     is above the exact one by 1/32 of it at most. Zero when empty.
  absl::Duration Quantile(double share) const;

  /// @return The buckets that are not empty, in ascending order.
  std::vector<Bucket> Buckets() const;

 private:
  std::vector<uint64_t> counts;  // By bucket index, grown when needed.
  uint64_t total = 0;
  absl::Duration sum;
  absl::Duration longest;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_REPORT_LATENCY_HISTOGRAM_H_
