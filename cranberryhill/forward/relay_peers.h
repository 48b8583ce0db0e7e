#ifndef CRANBERRYHILL_FORWARD_RELAY_PEERS_H_
#define CRANBERRYHILL_FORWARD_RELAY_PEERS_H_

// Chooses the instance through which a request goes to its service when this
// instance reaches no replica of it.
//
//   RelayPeers peers("a", clock);
//   peers.OnMessage("entry-2", "a", {"desk"});
//   if (auto peer = peers.Choose("lm", {}, random_value)) ...send to it...

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill::forward {

/// Not thread-safe.
class RelayPeers {
 public:
  /// @param availability_zone Of this instance.
  /// @param clock Must outlive this object.
  RelayPeers(std::string availability_zone, const Clock& clock)
      : availability_zone(std::move(availability_zone)), clock(clock) {}

  /// Records what a peer says of itself.
  /// @param cut_off_services Services of which it reaches no replica.
  void OnMessage(std::string_view peer,
                 std::string_view availability_zone,
                 std::vector<std::string> cut_off_services);

  /// Records that a connection to the peer could not be opened. It is not
  /// chosen for a short time.
  void OnUnreachable(std::string_view peer);

  /// Count the requests that are at the peer.
  void OnRelayed(std::string_view peer);
  void OnRelayEnded(std::string_view peer);

  /// @param excluded Peers that are not chosen.
  /// @param random_value Chooses among equals, so that instances that are cut
  ///     off together do not all choose the same peer.
  /// @return A peer that was heard lately and reaches the service: one of the
  ///     own availability zone if there is any, with the fewest requests of
  ///     this instance; nothing if there is none.
  std::optional<std::string> Choose(std::string_view service,
                                    std::span<const std::string> excluded,
                                    uint64_t random_value) const;

 private:
  struct Peer {
    std::string availability_zone;
    std::vector<std::string> cut_off_services;
    absl::Time heard_at = absl::InfinitePast();
    absl::Time avoided_until = absl::InfinitePast();
    int requests = 0;
  };

  bool MayServe(const Peer& peer, std::string_view service) const;

  const std::string availability_zone;
  const Clock& clock;
  std::map<std::string, Peer, std::less<>> peers;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_RELAY_PEERS_H_
