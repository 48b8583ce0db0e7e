// Peer messages: what decodes is within its bounds, fits into a message again
// and decodes to the same values.

#include <algorithm>
#include <cmath>

#include "cranberryhill/peer/peer_message.h"
#include "fuzz/check.h"

namespace cranberryhill {
namespace {

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= 64;
}

bool IsRate(float rate) {
  return rate >= 0 && rate <= 0xFFFFFF / 10.0F;
}

void CheckBounds(const PeerMessage& message) {
  Check(IsName(message.environment) && IsName(message.sender) &&
            IsName(message.availability_zone) && message.digest.size() <= 64,
        "names have 1 to 64 bytes");
  Check(message.plan_age >= absl::ZeroDuration() &&
            message.plan_age <= absl::Hours(1),
        "the plan's age is at most an hour");
  Check(message.fingerprints.size() <= kMaxPeerEntries &&
            message.observations.size() <= kMaxPeerEntries &&
            message.usage.size() <= kMaxPeerEntries,
        "there are at most 12 entries of each kind");
  for (const PeerFingerprint& entry : message.fingerprints)
    Check(entry.crashes <= 2, "crashes are at most 2");
  for (const PeerObservation& entry : message.observations)
    Check(entry.state <= 3, "a member state is known");
  for (const PeerUsageRate& entry : message.usage) {
    Check(IsRate(entry.requests_per_s) && IsRate(entry.tokens_per_s),
          "rates are within their range");
  }
}

// Rates travel in tenths. Above 2^20 a float has steps of 0.125, so there a
// rate may move by one tenth and one step.
bool SameRate(float left, float right) {
  float tolerance = left < float{1 << 20} ? 0 : 0.25F;
  return std::abs(left - right) <= tolerance;
}

bool SameUsage(const PeerUsageRate& left, const PeerUsageRate& right) {
  return left.key == right.key &&
         SameRate(left.requests_per_s, right.requests_per_s) &&
         SameRate(left.tokens_per_s, right.tokens_per_s);
}

bool Same(const PeerMessage& left, const PeerMessage& right) {
  return left.environment == right.environment && left.sender == right.sender &&
         left.availability_zone == right.availability_zone &&
         left.incarnation == right.incarnation &&
         left.sequence == right.sequence &&
         left.generation == right.generation && left.digest == right.digest &&
         left.plan_version == right.plan_version &&
         left.plan_age == right.plan_age && left.leaving == right.leaving &&
         left.fingerprints == right.fingerprints &&
         left.observations == right.observations &&
         std::equal(left.usage.begin(), left.usage.end(), right.usage.begin(),
                    right.usage.end(), SameUsage);
}

}  // namespace
}  // namespace cranberryhill

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace cranberryhill;  // NOLINT
  auto decode = [](std::string_view bytes) {
    return Capture([&] { return DecodePeerMessage(bytes); });
  };
  auto message = decode(TextOf(data, size));
  if (!message.ok()) {
    CheckRefused(message.error());
    return 0;
  }
  Check(size <= kMaxPeerMessageBytes, "a longer message is refused");
  CheckBounds(message.value());
  std::string bytes = EncodePeerMessage(message.value());
  Check(bytes.size() <= kMaxPeerMessageBytes,
        "a message has at most 480 bytes");
  auto again = decode(bytes);
  Check(again.ok(), "an encoded message can be decoded");
  Check(Same(message.value(), again.value()),
        "a message encoded again keeps its values");
  return 0;
}
