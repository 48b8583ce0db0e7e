#ifndef CRANBERRYHILL_ADMISSION_USAGE_LIMITS_H_
#define CRANBERRYHILL_ADMISSION_USAGE_LIMITS_H_

// Rate limits per customer and model. They hold approximately across all entry
// instances and need no write per request: each instance reports its recent
// usage to its peers and subtracts the usage that its peers report from the
// limit.
//
//   UsageLimits limits(clock);
//   limits.SetLimit("c7", "m", {.requests_per_s = 20, .tokens_per_s = 9000});
//   UsageDecision decision = limits.TryConsume("c7", "m", 1200);
//   for (const UsageEntry& entry : limits.BuildReport(12)) ...send to peers...
//   limits.OnPeerUsage("instance-2", entries_received);

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// Limits of one customer on one model over all instances; 0 means no limit.
struct UsageLimit {
  double requests_per_s = 0;
  double tokens_per_s = 0;
};

/// Recent usage of one customer and model on one instance. It takes 10 bytes in
/// a peer message: 4 for the key and 3 for each rate.
struct UsageEntry {
  uint32_t key = 0;  ///< Result of UsageKey().
  float requests_per_s = 0;
  float tokens_per_s = 0;
};

/// @return A 32-bit hash of customer and model. It is the same on all
/// instances.
uint32_t UsageKey(std::string_view customer, std::string_view model);

struct UsageDecision {
  bool allowed = true;
  absl::Duration retry_after{};  ///< Set if the request is not allowed.
};

/// Applies the usage limits of all customers. Not thread-safe.
class UsageLimits {
 public:
  /// @param clock Must outlive this object.
  explicit UsageLimits(const Clock& clock);

  void SetLimit(std::string_view customer,
                std::string_view model,
                const UsageLimit& limit);

  /// Sets how many instances there are and how many of them report their usage
  /// to this one. The usage of the others is extrapolated.
  /// @param instances Number of entry instances in total.
  /// @param reporting_peers Number of peers that send usage entries to this
  ///     instance.
  void SetInstances(uint32_t instances, uint32_t reporting_peers);

  /// Counts a request if it is within the limits.
  /// @param tokens Number of prompt tokens plus predicted output tokens.
  UsageDecision TryConsume(std::string_view customer,
                           std::string_view model,
                           double tokens);

  /// Corrects the usage when the real number of tokens of a request is known.
  /// @param tokens Tokens to add to the number given to TryConsume(); may be
  ///     negative.
  void AdjustTokens(std::string_view customer,
                    std::string_view model,
                    double tokens);

  /// Replaces the usage that a peer reported before. Entries expire after 5 s.
  void OnPeerUsage(std::string_view peer, std::span<const UsageEntry> entries);

  /// @return Recent usage on this instance. The entries with the highest usage
  ///     relative to their limit come first.
  std::vector<UsageEntry> BuildReport(size_t max_entries) const;

 private:
  struct Usage {
    UsageLimit limit;
    // Exponentially weighted rates per second.
    double requests = 0;
    double tokens = 0;
    // Number of requests and tokens that this instance can admit now.
    double request_credit = 0;
    double token_credit = 0;
    absl::Time last_update_at;
  };
  struct PeerUsage {
    absl::Time received_at;
    std::vector<UsageEntry> entries;
  };
  struct Rates {
    double requests = 0;
    double tokens = 0;
  };

  void UpdateCredit(Usage& usage, uint32_t key);
  Rates PeerRates(uint32_t key) const;

  const Clock& clock;
  uint32_t instances = 1;
  uint32_t reporting_peers = 0;
  absl::flat_hash_map<uint32_t, Usage> usage_by_key;
  absl::flat_hash_map<std::string, PeerUsage> peer_usage;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ADMISSION_USAGE_LIMITS_H_
