#include "cranberryhill/peer/peer_subset.h"

#include <algorithm>

#include "cranberryhill/base/hash.h"

namespace cranberryhill {
namespace {

uint64_t RendezvousScore(std::string_view self, std::string_view peer) {
  return StableHash(peer, StableHash(self));
}

// Returns the next id after `self` in ascending order, or the lowest id when
// there is none.
std::string NextIdInRing(std::string_view self,
                         const std::vector<std::string>& zone_ids) {
  std::string next_id;
  std::string lowest_id;
  for (const std::string& id : zone_ids) {
    if (lowest_id.empty() || id < lowest_id)
      lowest_id = id;
    if (id > self && (next_id.empty() || id < next_id))
      next_id = id;
  }
  return next_id.empty() ? lowest_id : next_id;
}

void SortByScore(std::string_view self, std::vector<std::string>& ids) {
  std::sort(ids.begin(), ids.end(),
            [self](const std::string& a, const std::string& b) {
              uint64_t score_a = RendezvousScore(self, a);
              uint64_t score_b = RendezvousScore(self, b);
              return score_a != score_b ? score_a > score_b : a < b;
            });
}

}  // namespace

std::vector<std::string> ChoosePeers(const PeerCandidate& self,
                                     std::span<const PeerCandidate> candidates,
                                     const PeerSubsetOptions& options) {
  std::vector<std::string> own_zone_ids;
  std::vector<std::string> other_zone_ids;
  for (const PeerCandidate& candidate : candidates) {
    if (candidate.id == self.id)
      continue;
    bool same_zone = candidate.availability_zone == self.availability_zone;
    (same_zone ? own_zone_ids : other_zone_ids).push_back(candidate.id);
  }
  std::vector<std::string> chosen;
  if (!own_zone_ids.empty() && options.own_zone_peers > 0)
    chosen.push_back(NextIdInRing(self.id, own_zone_ids));
  SortByScore(self.id, own_zone_ids);
  for (const std::string& id : own_zone_ids) {
    if (chosen.size() >= options.own_zone_peers)
      break;
    if (std::find(chosen.begin(), chosen.end(), id) == chosen.end())
      chosen.push_back(id);
  }
  SortByScore(self.id, other_zone_ids);
  other_zone_ids.resize(
      std::min(other_zone_ids.size(), options.other_zone_peers));
  chosen.insert(chosen.end(), other_zone_ids.begin(), other_zone_ids.end());
  return chosen;
}

}  // namespace cranberryhill
