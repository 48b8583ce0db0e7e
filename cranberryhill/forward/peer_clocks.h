#ifndef CRANBERRYHILL_FORWARD_PEER_CLOCKS_H_
#define CRANBERRYHILL_FORWARD_PEER_CLOCKS_H_

// Converts readings of peers' clocks to the own clock. The offset of a peer is
// taken from the message that took the shortest time, so that messages which
// are late, or were read late after a pause, do not shift the times in them.
//
//   PeerClocks clocks(clock);
//   absl::Time sent = clocks.OwnTime(sender, message.sent_at);

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill::forward {

/// Not thread-safe.
class PeerClocks {
 public:
  /// @param clock Must outlive this object.
  explicit PeerClocks(const Clock& clock) : clock(clock) {}

  /// To be called when a message arrives.
  /// @param sender The peer's process; a restarted one has another number.
  /// @param sent_at When it sent the message, by its clock.
  /// @return The same time by the own clock, late by at most the shortest time
  ///     that a message of this peer took.
  absl::Time OwnTime(uint64_t sender, absl::Time sent_at);

 private:
  struct Offset {
    absl::Duration shortest;  // Own reading at receipt minus `sent_at`.
    absl::Time updated_at;
  };

  const Clock& clock;
  absl::flat_hash_map<uint64_t, Offset> offsets;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_PEER_CLOCKS_H_
