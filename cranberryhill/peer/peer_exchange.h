#ifndef CRANBERRYHILL_PEER_PEER_EXCHANGE_H_
#define CRANBERRYHILL_PEER_PEER_EXCHANGE_H_

// Which messages go out and which that arrive are believed: sequence numbers,
// incarnations, the traffic budget. No I/O.
//
//   PeerExchange exchange(identity, clock);
//   exchange.SetKnown(members);
//   for (const std::string& peer : exchange.Due()) ...send exchange.Next(...)
//   if (exchange.Accept(message) == PeerVerdict::kAccepted) ...use it...

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/peer/peer_message.h"
#include "cranberryhill/peer/peer_subset.h"

namespace cranberryhill {

/// What became of an arriving message.
enum class PeerVerdict {
  kAccepted,
  kWrongEnvironment,
  kUnknownInstance,
  kWrongZone,       ///< The sender is known in another availability zone.
  kOldIncarnation,  ///< From before a restart of the sender.
  kOldSequence,     ///< Late or repeated.
};

/// @return A stable name for metrics.
std::string_view PeerVerdictName(PeerVerdict verdict);

struct PeerIdentity {
  std::string environment;
  std::string id;
  std::string availability_zone;
  uint64_t incarnation = 0;
};

struct PeerExchangeOptions {
  absl::Duration interval = absl::Seconds(1);
  PeerSubsetOptions subset;
  /// Bytes of messages that this instance sends to all its peers.
  double max_bytes_per_s = 2000;
};

struct PeerExchangeCounters {
  uint64_t sent = 0;
  uint64_t sent_bytes = 0;
  uint64_t over_budget = 0;  ///< Messages held back by the traffic budget.
};

/// Not thread-safe.
class PeerExchange {
 public:
  /// @param clock Must outlive this object.
  PeerExchange(PeerIdentity identity,
               PeerExchangeOptions options,
               const Clock& clock);

  /// Sets the entry instances that may send messages and be sent to.
  void SetKnown(std::vector<PeerCandidate> instances);

  /// @return Peers that a message is due to, each at most once an interval.
  std::vector<std::string> Due();

  /// Completes a message for sending: identity and sequence number.
  /// @return The bytes, or nothing when the traffic budget is used up; the
  ///     message is then due again later.
  std::string Next(const std::string& peer, PeerMessage content);

  /// Checks an arriving message and remembers its sequence number.
  PeerVerdict Accept(const PeerMessage& message);

  /// @return The peers that messages are sent to.
  const std::vector<std::string>& subset() const {  // NOLINT
    return this->chosen;
  }

  const PeerExchangeCounters& counters() const {  // NOLINT
    return this->own_counters;
  }

 private:
  struct Heard {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
  };

  bool TakeBudget(size_t bytes);

  const PeerIdentity identity;
  const PeerExchangeOptions options;
  const Clock& clock;
  std::map<std::string, std::string> zones;  // By instance id.
  std::vector<std::string> chosen;
  std::map<std::string, absl::Time> next_due;
  std::map<std::string, Heard> heard;
  uint64_t sequence = 0;
  double budget_bytes;
  absl::Time budget_time;
  PeerExchangeCounters own_counters;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PEER_PEER_EXCHANGE_H_
