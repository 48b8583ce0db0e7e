#ifndef CRANBERRYHILL_DUTIES_DUTY_CODEC_H_
#define CRANBERRYHILL_DUTIES_DUTY_CODEC_H_

// Interface that encodes the calls to the platform that one instance at a time
// makes for the fleet.

#include <cstdint>
#include <string>

#include "cranberryhill/http1/message.h"
#include "cranberryhill/usage/usage_window.h"

namespace cranberryhill::duties {

/// Shows that an instance may make a call.
struct DutyAuthority {
  std::string holder;
  uint64_t fencing_number = 0;  ///< Rises with each new holder.
};

/// An order for a number of replicas. It is absolute, so that it may be
/// repeated.
struct ReplicaCountOrder {
  std::string service;
  std::string zone;
  int count = 0;
  bool spot = false;  ///< The order is for spot replicas only.
};

class DutyCodec {
 public:
  virtual ~DutyCodec() = default;

  virtual http1::OutgoingRequest EncodeUsage(
      const DutyAuthority& authority,
      int64_t window,
      const usage::CustomerCounts& counts) const = 0;

  virtual http1::OutgoingRequest EncodeReplicaCount(
      const DutyAuthority& authority,
      const ReplicaCountOrder& order) const = 0;
};

}  // namespace cranberryhill::duties

#endif  // CRANBERRYHILL_DUTIES_DUTY_CODEC_H_
