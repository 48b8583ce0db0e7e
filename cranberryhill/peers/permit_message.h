#ifndef CRANBERRYHILL_PEERS_PERMIT_MESSAGE_H_
#define CRANBERRYHILL_PEERS_PERMIT_MESSAGE_H_

// Messages between instances about permits to send requests to replicas that
// take a limited number per second.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/replica_limits.h"

namespace cranberryhill::gateway {

struct PermitMessage {
  enum class Kind {
    kAsk,     ///< Asks the issuer for a permit.
    kReply,   ///< Grants or denies it.
    kNotice,  ///< Tells the issuer of a request that was sent without one.
  };

  Kind kind = Kind::kAsk;
  std::string sender;  ///< Name of the instance.
  uint64_t id = 0;     ///< Of the ask; repeated in the reply.
  std::string replica;
  bool granted = false;
  /// How long the receiver should not ask again.
  absl::Duration closed_for;
  /// What the sender knows of the replica's limit.
  std::optional<forward::ReplicaLimitReport> limit;
};

std::string EncodePermitMessage(const PermitMessage& message);

/// @return True if the bytes may encode a PermitMessage.
bool IsPermitMessage(std::string_view bytes);

/// @return kInvalidArgument when `bytes` do not encode a message.
Result<PermitMessage> DecodePermitMessage(std::string_view bytes);

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_PEERS_PERMIT_MESSAGE_H_
