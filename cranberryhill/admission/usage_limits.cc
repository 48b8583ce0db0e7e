#include "cranberryhill/admission/usage_limits.h"

#include <algorithm>
#include <cmath>

#include "cranberryhill/base/hash.h"

namespace cranberryhill {
namespace {

// Time constant of the rates that are reported to peers.
constexpr double kRateTimeConstantS = 2;
constexpr absl::Duration kPeerEntryLifetime = absl::Seconds(5);
// Each instance admits at least this fraction of its even share of a limit.
// Otherwise a customer whose requests move to another instance would be refused
// there.
constexpr double kMinEvenShareFraction = 0.25;

// Returns the rate at which the credit of one instance is refilled. The
// instances together use up the difference between the limit and the total
// usage, so each adds an even share of it to its own rate. If each added the
// whole difference, four busy instances that exchange usage once a second would
// exceed a limit of 20 requests/s by up to 8 in single seconds, instead of 4.
double RefillRate(double limit,
                  double own_rate,
                  double peer_rate,
                  uint32_t instances) {
  double even_share = limit / instances;
  double rate = own_rate + (limit - own_rate - peer_rate) / instances;
  return std::clamp(rate, kMinEvenShareFraction * even_share, limit);
}

}  // namespace

uint32_t UsageKey(std::string_view customer, std::string_view model) {
  return static_cast<uint32_t>(StableHash(customer, StableHash(model)));
}

UsageLimits::UsageLimits(const Clock& clock) : clock(clock) {}

void UsageLimits::SetLimit(std::string_view customer,
                           std::string_view model,
                           const UsageLimit& limit) {
  uint32_t key = UsageKey(customer, model);
  auto [entry, added] = this->usage_by_key.try_emplace(key);
  entry->second.limit = limit;
  if (!added)
    return;
  entry->second.last_update_at = this->clock.Now();
  entry->second.request_credit =
      std::max(1.0, limit.requests_per_s / this->instances);
  entry->second.token_credit = limit.tokens_per_s / this->instances;
}

void UsageLimits::SetInstances(uint32_t instances, uint32_t reporting_peers) {
  this->instances = std::max(1U, instances);
  this->reporting_peers = reporting_peers;
}

UsageLimits::Rates UsageLimits::PeerRates(uint32_t key) const {
  Rates peer_rates;
  absl::Time now = this->clock.Now();
  for (const auto& [peer, usage] : this->peer_usage) {
    if (now - usage.received_at > kPeerEntryLifetime)
      continue;
    for (const UsageEntry& entry : usage.entries) {
      if (entry.key == key) {
        peer_rates.requests += entry.requests_per_s;
        peer_rates.tokens += entry.tokens_per_s;
      }
    }
  }
  if (this->reporting_peers > 0 && this->instances > 1) {
    double factor = std::max(
        1.0, static_cast<double>(this->instances - 1) / this->reporting_peers);
    peer_rates.requests *= factor;
    peer_rates.tokens *= factor;
  }
  return peer_rates;
}

void UsageLimits::UpdateCredit(Usage& usage, uint32_t key) {
  absl::Time now = this->clock.Now();
  double seconds = absl::ToDoubleSeconds(now - usage.last_update_at);
  usage.last_update_at = now;
  double decay = std::exp(-seconds / kRateTimeConstantS);
  usage.requests *= decay;
  usage.tokens *= decay;
  Rates peers = this->PeerRates(key);
  double requests = RefillRate(usage.limit.requests_per_s, usage.requests,
                               peers.requests, this->instances);
  double tokens = RefillRate(usage.limit.tokens_per_s, usage.tokens,
                             peers.tokens, this->instances);
  // The credit is limited to one second's refill, so that bursts stay near the
  // limit.
  usage.request_credit = std::min(std::max(1.0, requests),
                                  usage.request_credit + requests * seconds);
  usage.token_credit = std::min(tokens, usage.token_credit + tokens * seconds);
}

UsageDecision UsageLimits::TryConsume(std::string_view customer,
                                      std::string_view model,
                                      double tokens) {
  uint32_t key = UsageKey(customer, model);
  auto found = this->usage_by_key.find(key);
  if (found == this->usage_by_key.end())
    return {};
  Usage& usage = found->second;
  this->UpdateCredit(usage, key);
  bool requests_within_limit =
      usage.limit.requests_per_s <= 0 || usage.request_credit >= 1;
  // One request may make the token credit negative. Otherwise a request with
  // more tokens than one second's refill could never run.
  bool tokens_within_limit =
      usage.limit.tokens_per_s <= 0 || usage.token_credit > 0;
  if (!requests_within_limit || !tokens_within_limit) {
    double shortage_s =
        requests_within_limit
            ? -usage.token_credit / usage.limit.tokens_per_s
            : (1 - usage.request_credit) / usage.limit.requests_per_s;
    return {.allowed = false,
            .retry_after =
                absl::Seconds(std::max(1.0, shortage_s * this->instances))};
  }
  usage.request_credit -= 1;
  usage.token_credit -= tokens;
  usage.requests += 1 / kRateTimeConstantS;
  usage.tokens += tokens / kRateTimeConstantS;
  return {};
}

void UsageLimits::AdjustTokens(std::string_view customer,
                               std::string_view model,
                               double tokens) {
  auto found = this->usage_by_key.find(UsageKey(customer, model));
  if (found == this->usage_by_key.end())
    return;
  found->second.token_credit -= tokens;
  found->second.tokens =
      std::max(0.0, found->second.tokens + tokens / kRateTimeConstantS);
}

void UsageLimits::OnPeerUsage(std::string_view peer,
                              std::span<const UsageEntry> entries) {
  PeerUsage& usage = this->peer_usage[std::string(peer)];
  usage.received_at = this->clock.Now();
  usage.entries.assign(entries.begin(), entries.end());
}

std::vector<UsageEntry> UsageLimits::BuildReport(size_t max_entries) const {
  struct Ranked {
    UsageEntry entry;
    double limit_fraction;
  };
  std::vector<Ranked> ranked;
  absl::Time now = this->clock.Now();
  for (const auto& [key, usage] : this->usage_by_key) {
    double decay = std::exp(-absl::ToDoubleSeconds(now - usage.last_update_at) /
                            kRateTimeConstantS);
    double requests = usage.requests * decay;
    double tokens = usage.tokens * decay;
    if (requests < 0.01)
      continue;
    double limit_fraction =
        std::max(requests / std::max(usage.limit.requests_per_s, 1e-9) *
                     (usage.limit.requests_per_s > 0),
                 tokens / std::max(usage.limit.tokens_per_s, 1e-9) *
                     (usage.limit.tokens_per_s > 0));
    ranked.push_back(
        {{key, static_cast<float>(requests), static_cast<float>(tokens)},
         limit_fraction});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.limit_fraction != b.limit_fraction
               ? a.limit_fraction > b.limit_fraction
               : a.entry.key < b.entry.key;
  });
  std::vector<UsageEntry> entries;
  for (size_t i = 0; i < ranked.size() && i < max_entries; ++i)
    entries.push_back(ranked[i].entry);
  return entries;
}

}  // namespace cranberryhill
