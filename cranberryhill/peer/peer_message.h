#ifndef CRANBERRYHILL_PEER_PEER_MESSAGE_H_
#define CRANBERRYHILL_PEER_PEER_MESSAGE_H_

// The message that an entry instance sends to each of its peers once a second,
// encoded as MessagePack in at most kMaxPeerMessageBytes.
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

/// Version of the message layout. Messages with another version are rejected,
/// so that instances of two releases with different layouts ignore each other's
/// messages instead of misreading them.
inline constexpr uint64_t kPeerMessageVersion = 1;

/// Maximum size of an encoded message. One message a second to each of 4 peers
/// then stays below 2,000 B/s (section 11 of the design page).
inline constexpr size_t kMaxPeerMessageBytes = 480;
/// Maximum number of fingerprints, of observations and of usage entries.
inline constexpr size_t kMaxPeerEntries = 12;

/// A request fingerprint that is suspect or quarantined because it crashed
/// engines.
struct PeerFingerprint {
  uint64_t fingerprint = 0;
  uint8_t crashes = 0;  ///< Number of engines that the request crashed.

  bool operator==(const PeerFingerprint&) const = default;
};

/// The state of another member as observed by the sender.
struct PeerObservation {
  uint64_t member = 0;  ///< StableHash of the member's id.
  uint8_t state = 0;    ///< A MemberState as a number.
  uint8_t age_ds = 0;   ///< Age of the evidence in tenths of a second.

  bool operator==(const PeerObservation&) const = default;
};

/// Recent usage of one customer and model on the sender.
struct PeerUsageRate {
  uint32_t key = 0;  ///< Identifies the customer and the model.
  float requests_per_s = 0;
  float tokens_per_s = 0;

  bool operator==(const PeerUsageRate&) const = default;
};

/// The decoded message.
struct PeerMessage {
  std::string environment;
  std::string sender;
  std::string availability_zone;
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint64_t generation = 0;    ///< Generation of the configuration in force.
  std::string digest;         ///< Digest of the configuration in force.
  uint64_t plan_version = 0;  ///< Drain plan version that the sender applied.
  /// Age of the sender's view of the drain plan when the message was sent.
  absl::Duration plan_age;
  bool leaving = false;  ///< The sender is leaving.
  std::vector<PeerFingerprint> fingerprints;
  std::vector<PeerObservation> observations;
  std::vector<PeerUsageRate> usage;
};

/// @return The encoded message. If it is too long, usage entries, then
///     observations, then fingerprints are dropped from the end of their lists
///     until it fits, because a quarantined request does the most harm and a
///     usage entry the least.
std::string EncodePeerMessage(const PeerMessage& message);

/// @return The message, or kInvalidArgument naming the invalid field: an
///     unknown version, excess size, a wrong type or a number out of range.
Result<PeerMessage> DecodePeerMessage(std::string_view bytes);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PEER_PEER_MESSAGE_H_
