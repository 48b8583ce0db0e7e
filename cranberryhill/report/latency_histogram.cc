#include "cranberryhill/report/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace cranberryhill {
namespace {

// Each power of two is divided into 32 equal buckets: relative error 1/32.
constexpr int kSubBucketBits = 5;
constexpr uint64_t kSubBuckets = uint64_t{1} << kSubBucketBits;

size_t IndexOf(uint64_t microseconds) {
  if (microseconds < kSubBuckets)
    return microseconds;
  int shift =
      static_cast<int>(std::bit_width(microseconds)) - 1 - kSubBucketBits;
  uint64_t sub_bucket = (microseconds >> shift) - kSubBuckets;
  return (static_cast<uint64_t>(shift) + 1) * kSubBuckets + sub_bucket;
}

absl::Duration UpperOf(size_t index) {
  if (index < kSubBuckets)
    return absl::Microseconds(static_cast<int64_t>(index));
  uint64_t shift = index / kSubBuckets - 1;
  uint64_t lower = (kSubBuckets + index % kSubBuckets) << shift;
  uint64_t upper = lower + (uint64_t{1} << shift) - 1;
  return absl::Microseconds(static_cast<int64_t>(upper));
}

}  // namespace

void LatencyHistogram::Record(absl::Duration latency) {
  latency = std::max(latency, absl::ZeroDuration());
  size_t index =
      IndexOf(static_cast<uint64_t>(absl::ToInt64Microseconds(latency)));
  if (this->counts.size() <= index)
    this->counts.resize(index + 1);
  ++this->counts[index];
  ++this->total;
  this->sum += latency;
  this->longest = std::max(this->longest, latency);
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  if (this->counts.size() < other.counts.size())
    this->counts.resize(other.counts.size());
  for (size_t i = 0; i < other.counts.size(); ++i)
    this->counts[i] += other.counts[i];
  this->total += other.total;
  this->sum += other.sum;
  this->longest = std::max(this->longest, other.longest);
}

absl::Duration LatencyHistogram::Mean() const {
  return this->total == 0 ? absl::ZeroDuration()
                          : this->sum / static_cast<int64_t>(this->total);
}

absl::Duration LatencyHistogram::Quantile(double share) const {
  auto rank = static_cast<uint64_t>(
      std::ceil(share * static_cast<double>(this->total)));
  rank = std::max<uint64_t>(rank, 1);
  uint64_t seen = 0;
  for (size_t i = 0; i < this->counts.size(); ++i) {
    seen += this->counts[i];
    if (seen >= rank)
      return std::min(UpperOf(i), this->longest);
  }
  return this->longest;
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::Buckets() const {
  std::vector<Bucket> buckets;
  for (size_t i = 0; i < this->counts.size(); ++i) {
    if (this->counts[i] > 0)
      buckets.push_back({UpperOf(i), this->counts[i]});
  }
  return buckets;
}

}  // namespace cranberryhill
