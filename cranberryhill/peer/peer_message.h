#ifndef CRANBERRYHILL_PEER_PEER_MESSAGE_H_
#define CRANBERRYHILL_PEER_PEER_MESSAGE_H_

// The message that entry instances send to their peers once a second, as
// MessagePack of at most kMaxPeerMessageBytes.
//
//   std::string bytes = EncodePeerMessage(message);
//   auto decoded = Capture([&] { return DecodePeerMessage(bytes); });

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill {

/// Version of the message's layout. Messages of other versions are refused, so
/// instances of two releases ignore each other instead of guessing.
inline constexpr uint64_t kPeerMessageVersion = 1;

/// Design page, section 11: 4 peers * 480 bytes a second stay under 2,000 B/s.
inline constexpr size_t kMaxPeerMessageBytes = 480;
inline constexpr size_t kMaxPeerEntries = 12;  ///< Of each kind.

/// A suspect or condemned request fingerprint.
struct PeerFingerprint {
  uint64_t fingerprint = 0;
  uint8_t crashes = 0;

  bool operator==(const PeerFingerprint&) const = default;
};

/// What the sender observed of another member.
struct PeerObservation {
  uint64_t member = 0;  ///< StableHash of the member's id.
  uint8_t state = 0;    ///< MemberState as a number.
  uint8_t age_ds = 0;   ///< Age of the evidence in tenths of a second.

  bool operator==(const PeerObservation&) const = default;
};

/// Recent usage of one customer and model on the sender.
struct PeerUsageRate {
  uint32_t key = 0;
  float requests_per_s = 0;
  float tokens_per_s = 0;

  bool operator==(const PeerUsageRate&) const = default;
};

struct PeerMessage {
  std::string environment;
  std::string sender;
  std::string availability_zone;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t generation = 0;
  std::string digest;
  uint64_t plan_version = 0;
  absl::Duration plan_age;  ///< Age of the sender's view when it sent this.
  bool leaving = false;
  std::vector<PeerFingerprint> fingerprints;
  std::vector<PeerObservation> observations;
  std::vector<PeerUsageRate> usage;
};

/// @return The bytes. Usage entries, then observations, then fingerprints are
///     left out from their ends until the message fits, because a condemned
///     request does the most harm and a usage entry the least.
std::string EncodePeerMessage(const PeerMessage& message);

/// @return The message, or kInvalidArgument that names the field: an unknown
///     version, excess size, a wrong type or a number out of range.
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PEER_PEER_MESSAGE_H_
