#ifndef CRANBERRYHILL_PEER_PEER_EXCHANGE_H_
#define CRANBERRYHILL_PEER_PEER_EXCHANGE_H_

// Decides when messages are sent to peers, within a traffic budget, and accepts
// or rejects received messages by their environment, sender, zone, incarnation
// and sequence number. Performs no I/O.
//
//   PeerExchange exchange(identity, options, clock);
//   exchange.SetInstances(instances);
//   for (const std::string& peer : exchange.DuePeers())
//     ...send exchange.PrepareMessage(peer, content)...
//   if (exchange.AcceptMessage(message) == PeerMessageVerdict::kAccepted)
//     ...use the message...

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

/// The result of the checks of a received message.
enum class PeerMessageVerdict {
  kAccepted,
  kWrongEnvironment,
  kUnknownInstance,
  /// The sender is known to be in another availability zone than the message
  /// states.
  kWrongZone,
  /// The message was sent before the sender's last known restart.
  kOldIncarnation,
  kOldSequence,  ///< The message is late or a duplicate.
};

/// @return The name of the verdict in metrics; names do not change.
std::string_view PeerMessageVerdictName(PeerMessageVerdict verdict);

/// What this instance writes into its messages as the sender.
struct PeerIdentity {
  std::string environment;
  std::string id;
  std::string availability_zone;
  uint64_t incarnation = 0;
};

struct PeerExchangeOptions {
  /// Time between messages to the same peer.
  absl::Duration interval = absl::Seconds(1);
  PeerSubsetOptions subset;
  /// Limit of the message bytes that this instance sends to all its peers
  /// together.
  double max_bytes_per_s = 2000;
};

struct PeerExchangeCounters {
  uint64_t sent = 0;
  uint64_t sent_bytes = 0;
  /// Messages that were not sent because the traffic budget was used up.
  uint64_t over_budget = 0;
};

/// Not thread-safe.
class PeerExchange {
 public:
  /// @param clock Must outlive this object.
  PeerExchange(PeerIdentity identity,
               PeerExchangeOptions options,
               const Clock& clock);

  /// Sets the entry instances that messages are accepted from, and chooses from
  /// them the peers that messages are sent to.
  void SetInstances(std::vector<PeerCandidate> instances);

  /// @return Peers to which a message is due; each is due at most once per
  ///     interval.
  std::vector<std::string> DuePeers();

  /// Adds this instance's identity and a sequence number to the content and
  /// encodes the message.
  /// @return The encoded message, or an empty string when the traffic budget is
  ///     used up; the peer is then still due.
  std::string PrepareMessage(const std::string& peer, PeerMessage content);

  /// Checks a received message and, if it is accepted, records its incarnation
  /// and sequence number.
  PeerMessageVerdict AcceptMessage(const PeerMessage& message);

  /// @return The peers that messages are sent to.
  const std::vector<std::string>& subset() const {  // NOLINT
    return this->chosen_peers;
  }

  const PeerExchangeCounters& counters() const {  // NOLINT
    return this->own_counters;
  }

 private:
  // Incarnation and sequence number of the last accepted message of a sender.
  struct LastReceived {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
  };

  bool ConsumeBudget(size_t bytes);

  const PeerIdentity identity;
  const PeerExchangeOptions options;
  const Clock& clock;
  // Availability zone of each known instance, by instance id.
  std::map<std::string, std::string> zone_by_instance;
  std::vector<std::string> chosen_peers;
  std::map<std::string, absl::Time> next_due_at;
  std::map<std::string, LastReceived> last_received;
  uint64_t last_sent_sequence = 0;
  /// Bytes that may be sent now; refilled at max_bytes_per_s.
  double budget_bytes;
  absl::Time budget_updated_at;
  PeerExchangeCounters own_counters;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PEER_PEER_EXCHANGE_H_
