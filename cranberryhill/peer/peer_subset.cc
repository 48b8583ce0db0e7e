#include "cranberryhill/peer/peer_subset.h"

#include <algorithm>

#include "cranberryhill/base/hash.h"

namespace cranberryhill {
namespace {

uint64_t Score(std::string_view self, std::string_view peer) {
  return StableHash(peer, StableHash(self));
}

// The next id after `self` in order of id, wrapping around.
std::string RingNeighbour(std::string_view self,
                          const std::vector<std::string>& zone) {
  std::string next;
  std::string first;
  for (const std::string& id : zone) {
    if (first.empty() || id < first)
      first = id;
    if (id > self && (next.empty() || id < next))
      next = id;
  }
  return next.empty() ? first : next;
}

void SortByScore(std::string_view self, std::vector<std::string>& ids) {
  std::sort(ids.begin(), ids.end(),
            [self](const std::string& a, const std::string& b) {
              uint64_t score_a = Score(self, a);
              uint64_t score_b = Score(self, b);
              return score_a != score_b ? score_a > score_b : a < b;
            });
}

}  // namespace

std::vector<std::string> ChoosePeers(const PeerCandidate& self,
                                     std::span<const PeerCandidate> candidates,
                                     const PeerSubsetOptions& options) {
  std::vector<std::string> own;
  std::vector<std::string> others;
  for (const PeerCandidate& candidate : candidates) {
    if (candidate.id == self.id)
      continue;
    bool same = candidate.availability_zone == self.availability_zone;
    (same ? own : others).push_back(candidate.id);
  }
  std::vector<std::string> chosen;
  if (!own.empty() && options.own_zone > 0)
    chosen.push_back(RingNeighbour(self.id, own));
  SortByScore(self.id, own);
  for (const std::string& id : own) {
    if (chosen.size() >= options.own_zone)
      break;
    if (std::find(chosen.begin(), chosen.end(), id) == chosen.end())
      chosen.push_back(id);
  }
  SortByScore(self.id, others);
  others.resize(std::min(others.size(), options.other_zones));
  chosen.insert(chosen.end(), others.begin(), others.end());
  return chosen;
}

}  // namespace cranberryhill
