#ifndef CRANBERRYHILL_PEER_PEER_SUBSET_H_
#define CRANBERRYHILL_PEER_PEER_SUBSET_H_

// Chooses the few peers that an instance sends its messages to, so that the
// traffic of one instance does not grow with the number of instances.
//
//   std::vector<std::string> peers = ChoosePeers(self, candidates, {});

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryhill {

struct PeerCandidate {
  std::string id;
  std::string availability_zone;
};

struct PeerSubsetOptions {
  size_t own_zone = 2;
  size_t other_zones = 2;
};

/// Chooses by rendezvous hashing, so that a change of one instance changes few
/// subsets. In the own zone the next instance in order of id is always chosen:
/// the zone's instances then form a ring and every message can reach all.
/// @param self The choosing instance; need not be among the candidates.
/// @return Ids, own zone first.
std::vector<std::string> ChoosePeers(const PeerCandidate& self,
                                     std::span<const PeerCandidate> candidates,
                                     const PeerSubsetOptions& options);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PEER_PEER_SUBSET_H_
