#ifndef CRANBERRYHILL_ADMISSION_USAGE_LIMITS_H_
#define CRANBERRYHILL_ADMISSION_USAGE_LIMITS_H_

// Limits per customer and model, held approximately across entry instances
// without a write per request: each instance announces its recent usage to its
// peers and subtracts theirs from the limit.
//
//   UsageLimits limits(clock);
//   limits.SetLimit("c7", "m", {.requests_per_s = 20, .tokens_per_s = 9000});
//   UsageDecision decision = limits.Take("c7", "m", 1200);
//   for (const UsageEntry& entry : limits.Report(12)) ...send to the peers...
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

/// Limits of one customer on one model over all instances; 0 means none.
struct UsageLimit {
  double requests_per_s = 0;
  double tokens_per_s = 0;
};

/// Recent usage of one customer and model on one instance. Peer messages carry
/// it in 10 bytes: 4 for the key and 3 for each rate.
struct UsageEntry {
  uint32_t key = 0;  ///< From UsageKey().
  float requests_per_s = 0;
  float tokens_per_s = 0;
};

/// @return Short hash of customer and model, equal on all instances.
uint32_t UsageKey(std::string_view customer, std::string_view model);

struct UsageDecision {
  bool allowed = true;
  absl::Duration retry_after{};  ///< Set when not allowed.
};

/// Not thread-safe.
class UsageLimits {
 public:
  /// @param clock Must outlive this object.
  explicit UsageLimits(const Clock& clock);

  void SetLimit(std::string_view customer,
                std::string_view model,
                const UsageLimit& limit);

  /// Share of the fleet's instances whose usage arrives in peer messages,
  /// directly. Usage of the others is extrapolated.
  /// @param instances Entry instances in all.
  /// @param heard Peers that send usage entries to this instance.
  void SetInstances(uint32_t instances, uint32_t heard);

  /// Counts a request when it is within the limit.
  /// @param tokens Prompt plus predicted output tokens.
  UsageDecision Take(std::string_view customer,
                     std::string_view model,
                     double tokens);

  /// Corrects the count by the real number of tokens.
  /// @param tokens Difference to what Take() counted; may be negative.
  void Correct(std::string_view customer,
               std::string_view model,
               double tokens);

  /// Replaces the usage known of a peer. Entries expire after 5 s.
  void OnPeerUsage(std::string_view peer, std::span<const UsageEntry> entries);

  /// @return The entries nearest to or above their limit first.
  std::vector<UsageEntry> Report(size_t max_entries) const;

 private:
  struct Usage {
    UsageLimit limit;
    double requests = 0;  // Exponentially weighted rates.
    double tokens = 0;
    double request_credit = 0;
    double token_credit = 0;
    absl::Time last;
  };
  struct PeerUsage {
    absl::Time received;
    std::vector<UsageEntry> entries;
  };
  struct Rates {
    double requests = 0;
    double tokens = 0;
  };

  void Advance(Usage& usage, uint32_t key);
  Rates PeerRates(uint32_t key) const;

  const Clock& clock;
  uint32_t instances = 1;
  uint32_t heard = 0;
  absl::flat_hash_map<uint32_t, Usage> usages;
  absl::flat_hash_map<std::string, PeerUsage> peers;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ADMISSION_USAGE_LIMITS_H_
