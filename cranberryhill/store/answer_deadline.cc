#include "cranberryhill/store/answer_deadline.h"

namespace cranberryhill::gateway {
namespace {

/// Below this rate the other end or the link counts as failed. A lost packet
/// delays the following ones by some hundred milliseconds.
constexpr absl::Duration kInterval = absl::Seconds(1);
constexpr size_t kMinBytesPerInterval = 16 << 10;

}  // namespace

void AnswerDeadline::OnBegin(absl::Time now) {
  this->bytes_in_interval = 0;
  this->expiry = now + kInterval;
}

void AnswerDeadline::OnBytes(size_t bytes, absl::Time now) {
  this->bytes_in_interval += bytes;
  if (this->bytes_in_interval >= kMinBytesPerInterval)
    this->OnBegin(now);
}

}  // namespace cranberryhill::gateway
