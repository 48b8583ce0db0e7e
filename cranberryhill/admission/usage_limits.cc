#include "cranberryhill/admission/usage_limits.h"

#include <algorithm>
#include <cmath>

#include "cranberryhill/base/hash.h"

namespace cranberryhill {
namespace {

// Time constant of the announced rates.
constexpr double kRateSeconds = 2;
constexpr absl::Duration kPeerEntryLifetime = absl::Seconds(5);
// An instance may use at least this part of its even share, so that a customer
// whose requests move to another instance is not shut out there.
constexpr double kMinShare = 0.25;

// Refill rate of one instance. Each instance removes its even part of the
// total's distance to the limit. If each removed all of it, four busy instances
// that exchange usage once a second would exceed a limit of 20 requests/s by 8
// in single seconds instead of 4.
double RefillRate(double limit, double own, double peers, uint32_t instances) {
  double even = limit / instances;
  double rate = own + (limit - own - peers) / instances;
  return std::clamp(rate, kMinShare * even, limit);
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
  auto [entry, added] = this->usages.try_emplace(key);
  entry->second.limit = limit;
  if (!added)
    return;
  entry->second.last = this->clock.Now();
  entry->second.request_credit =
      std::max(1.0, limit.requests_per_s / this->instances);
  entry->second.token_credit = limit.tokens_per_s / this->instances;
}

void UsageLimits::SetInstances(uint32_t instances, uint32_t heard) {
  this->instances = std::max(1U, instances);
  this->heard = heard;
}

UsageLimits::Rates UsageLimits::PeerRates(uint32_t key) const {
  Rates sum;
  absl::Time now = this->clock.Now();
  for (const auto& [peer, usage] : this->peers) {
    if (now - usage.received > kPeerEntryLifetime)
      continue;
    for (const UsageEntry& entry : usage.entries) {
      if (entry.key == key) {
        sum.requests += entry.requests_per_s;
        sum.tokens += entry.tokens_per_s;
      }
    }
  }
  if (this->heard > 0 && this->instances > 1) {
    double factor =
        std::max(1.0, static_cast<double>(this->instances - 1) / this->heard);
    sum.requests *= factor;
    sum.tokens *= factor;
  }
  return sum;
}

void UsageLimits::Advance(Usage& usage, uint32_t key) {
  absl::Time now = this->clock.Now();
  double seconds = absl::ToDoubleSeconds(now - usage.last);
  usage.last = now;
  double decay = std::exp(-seconds / kRateSeconds);
  usage.requests *= decay;
  usage.tokens *= decay;
  Rates peers = this->PeerRates(key);
  double requests = RefillRate(usage.limit.requests_per_s, usage.requests,
                               peers.requests, this->instances);
  double tokens = RefillRate(usage.limit.tokens_per_s, usage.tokens,
                             peers.tokens, this->instances);
  // At most one second's worth is saved, so bursts stay near the limit.
  usage.request_credit = std::min(std::max(1.0, requests),
                                  usage.request_credit + requests * seconds);
  usage.token_credit = std::min(tokens, usage.token_credit + tokens * seconds);
}

UsageDecision UsageLimits::Take(std::string_view customer,
                                std::string_view model,
                                double tokens) {
  uint32_t key = UsageKey(customer, model);
  auto found = this->usages.find(key);
  if (found == this->usages.end())
    return {};
  Usage& usage = found->second;
  this->Advance(usage, key);
  bool few_requests =
      usage.limit.requests_per_s <= 0 || usage.request_credit >= 1;
  // The token credit may become negative by one request; otherwise a request
  // larger than one second's share could never run.
  bool few_tokens = usage.limit.tokens_per_s <= 0 || usage.token_credit > 0;
  if (!few_requests || !few_tokens) {
    double missing =
        few_requests ? -usage.token_credit / usage.limit.tokens_per_s
                     : (1 - usage.request_credit) / usage.limit.requests_per_s;
    return {
        .allowed = false,
        .retry_after = absl::Seconds(std::max(1.0, missing * this->instances))};
  }
  usage.request_credit -= 1;
  usage.token_credit -= tokens;
  usage.requests += 1 / kRateSeconds;
  usage.tokens += tokens / kRateSeconds;
  return {};
}

void UsageLimits::Correct(std::string_view customer,
                          std::string_view model,
                          double tokens) {
  auto found = this->usages.find(UsageKey(customer, model));
  if (found == this->usages.end())
    return;
  found->second.token_credit -= tokens;
  found->second.tokens =
      std::max(0.0, found->second.tokens + tokens / kRateSeconds);
}

void UsageLimits::OnPeerUsage(std::string_view peer,
                              std::span<const UsageEntry> entries) {
  PeerUsage& usage = this->peers[std::string(peer)];
  usage.received = this->clock.Now();
  usage.entries.assign(entries.begin(), entries.end());
}

std::vector<UsageEntry> UsageLimits::Report(size_t max_entries) const {
  struct Ranked {
    UsageEntry entry;
    double closeness;
  };
  std::vector<Ranked> ranked;
  absl::Time now = this->clock.Now();
  for (const auto& [key, usage] : this->usages) {
    double decay =
        std::exp(-absl::ToDoubleSeconds(now - usage.last) / kRateSeconds);
    double requests = usage.requests * decay;
    double tokens = usage.tokens * decay;
    if (requests < 0.01)
      continue;
    double closeness =
        std::max(requests / std::max(usage.limit.requests_per_s, 1e-9) *
                     (usage.limit.requests_per_s > 0),
                 tokens / std::max(usage.limit.tokens_per_s, 1e-9) *
                     (usage.limit.tokens_per_s > 0));
    ranked.push_back(
        {{key, static_cast<float>(requests), static_cast<float>(tokens)},
         closeness});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
    return a.closeness != b.closeness ? a.closeness > b.closeness
                                      : a.entry.key < b.entry.key;
  });
  std::vector<UsageEntry> entries;
  for (size_t i = 0; i < ranked.size() && i < max_entries; ++i)
    entries.push_back(ranked[i].entry);
  return entries;
}

}  // namespace cranberryhill
