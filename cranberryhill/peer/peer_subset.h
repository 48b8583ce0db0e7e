#ifndef CRANBERRYHILL_PEER_PEER_SUBSET_H_
#define CRANBERRYHILL_PEER_PEER_SUBSET_H_

// Chooses the few peers to which an instance sends its messages, so that the
// traffic of an instance does not grow with the number of instances.
//
//   std::vector<std::string> peers = ChoosePeers(self, candidates, {});

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryhill {

/// An instance that may be chosen as a peer.
struct PeerCandidate {
  std::string id;
  std::string availability_zone;
};

/// Maximum numbers of peers in the own and in other availability zones.
struct PeerSubsetOptions {
  size_t own_zone_peers = 2;
  size_t other_zone_peers = 2;
};

/// Chooses peers by rendezvous hashing, so that adding or removing one instance
/// changes few subsets. In the own zone, the next instance by id is always
/// chosen: the instances of a zone then form a ring, so that information passed
/// on from peer to peer can reach all of them.
/// @param self The instance that chooses; it need not be among the candidates.
/// @return The ids of the peers, those of the own zone first.
std::vector<std::string> ChoosePeers(const PeerCandidate& self,
                                     std::span<const PeerCandidate> candidates,
                                     const PeerSubsetOptions& options);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PEER_PEER_SUBSET_H_
