#include "cranberryhill/forward/relay_peers.h"

#include <algorithm>
#include <tuple>

namespace cranberryhill::forward {
namespace {

/// Fleets of 195 instances send messages every 1.2 s, small ones every 0.4 s or
/// more often.
constexpr absl::Duration kLongestSilence = absl::Seconds(2);
/// Entries of peers that are gone are kept no longer than this.
constexpr absl::Duration kForgottenAfter = absl::Minutes(1);
constexpr absl::Duration kAvoidance = absl::Seconds(1);

}  // namespace

void RelayPeers::OnMessage(std::string_view peer,
                           std::string_view availability_zone,
                           std::vector<std::string> cut_off_services) {
  absl::Time now = this->clock.Now();
  Peer& known = this->peers[std::string(peer)];
  known.availability_zone = std::string(availability_zone);
  known.cut_off_services = std::move(cut_off_services);
  known.heard_at = now;
  std::erase_if(this->peers, [now](const auto& item) {
    return item.second.requests == 0 &&
           now - item.second.heard_at >= kForgottenAfter;
  });
}

void RelayPeers::OnUnreachable(std::string_view peer) {
  auto found = this->peers.find(peer);
  if (found != this->peers.end())
    found->second.avoided_until = this->clock.Now() + kAvoidance;
}

void RelayPeers::OnRelayed(std::string_view peer) {
  ++this->peers[std::string(peer)].requests;
}

void RelayPeers::OnRelayEnded(std::string_view peer) {
  auto found = this->peers.find(peer);
  if (found != this->peers.end())
    --found->second.requests;
}

bool RelayPeers::MayServe(const Peer& peer, std::string_view service) const {
  absl::Time now = this->clock.Now();
  return now - peer.heard_at < kLongestSilence && now >= peer.avoided_until &&
         std::find(peer.cut_off_services.begin(), peer.cut_off_services.end(),
                   service) == peer.cut_off_services.end();
}

std::optional<std::string> RelayPeers::Choose(
    std::string_view service,
    std::span<const std::string> excluded,
    uint64_t random_value) const {
  using Rank = std::tuple<bool, int>;
  std::optional<Rank> best;
  std::vector<std::string_view> candidates;
  for (const auto& [name, peer] : this->peers) {
    if (!this->MayServe(peer, service) ||
        std::find(excluded.begin(), excluded.end(), name) != excluded.end())
      continue;
    Rank rank{peer.availability_zone != this->availability_zone, peer.requests};
    if (best && rank > *best)
      continue;
    if (!best || rank < *best)
      candidates.clear();
    best = rank;
    candidates.push_back(name);
  }
  if (candidates.empty())
    return std::nullopt;
  return std::string(candidates[random_value % candidates.size()]);
}

}  // namespace cranberryhill::forward
