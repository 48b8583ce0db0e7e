#ifndef CRANBERRYHILL_FORWARD_PEER_LOAD_SYNC_H_
#define CRANBERRYHILL_FORWARD_PEER_LOAD_SYNC_H_

// Shares load between instances. Several times a second each instance tells its
// peers how much work it has on each engine and which shared prefixes it sent
// to which engine. The engines' own load reports arrive late or not at all;
// without these messages each instance would treat an engine that its peers
// keep busy as idle. Messages may be lost, repeated or reordered.
//
//   PeerLoadSync sync("entry-a1", incarnation, clock);
//   peer.Send(EncodeLoadMessage(sync.BuildFullMessage(replicas, {})));
//   sync.Merge(message, replicas);

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/engine_speed.h"
#include "cranberryhill/forward/prompt.h"
#include "cranberryhill/forward/prompt_part_quarantine.h"
#include "cranberryhill/forward/replica_limits.h"
#include "cranberryhill/forward/replica_notices.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/request/crash_quarantine.h"

namespace cranberryhill::forward {

/// The load that one instance has placed on one engine.
struct EngineLoadEntry {
  std::string replica;
  QueuedTokens queued;
  int outstanding = 0;  ///< Requests without a complete answer.
};

/// A shared prefix that was sent to an engine.
struct CachedPrefix {
  std::string replica;
  std::vector<PromptPart> parts;
};

struct LoadMessage {
  std::string instance;
  uint64_t incarnation = 0;  ///< Random number drawn when the process starts.
  uint64_t sequence = 0;
  /// The instance has no load on engines that are not listed, unless the
  /// message is partial.
  std::vector<EngineLoadEntry> engine_loads;
  std::vector<CachedPrefix> cached_prefixes;
  /// Engines whose role is being changed.
  std::vector<std::string> engines_changing_role;
  std::vector<CrashEntry> crashes;  ///< Requests that crashed replicas.
  /// Versions up to which the instance knows the tables that it follows.
  std::vector<uint64_t> table_versions;
  /// The message lists only engines that were sent a prompt since the last
  /// message.
  bool partial = false;
  /// What the instance has learned about the speed of engines; sent at longer
  /// intervals than the loads.
  std::vector<EngineSpeedSummary> engine_speeds = {};
  /// Replicas that the instance cannot reach.
  std::vector<std::string> unreachable_replicas = {};
  /// Time since the instance's last answer of the store, or infinite when that
  /// was long ago.
  absl::Duration store_answer_age = absl::InfiniteDuration();
  /// True when the instance's calls to the store have been failing.
  bool store_lost = false;
  /// Time until the instance, which has just started, may poll the store for
  /// its peers.
  absl::Duration may_poll_in = absl::ZeroDuration();
  /// Parts of prompts that crash engines.
  PromptPartReport prompt_parts = {};
  /// Limits that replicas have named to this instance.
  std::vector<ReplicaLimitReport> replica_limits = {};
  /// Replicas that have told this instance that they are leaving.
  std::vector<LeavingReport> leaving_replicas = {};
  /// Where the instance runs.
  std::string availability_zone = {};
  /// Services for which the instance takes no requests of peers, because it
  /// reaches none of their replicas or is about to end.
  std::vector<std::string> cut_off_services = {};
};

std::string EncodeLoadMessage(const LoadMessage& message);

/// @return kInvalidArgument when `bytes` do not encode a message.
Result<LoadMessage> DecodeLoadMessage(std::string_view bytes);

/// Not thread-safe.
class PeerLoadSync {
 public:
  /// @param incarnation Distinguishes this process from earlier ones.
  /// @param clock Must outlive this object.
  PeerLoadSync(std::string instance, uint64_t incarnation, const Clock& clock)
      : instance(std::move(instance)), incarnation(incarnation), clock(clock) {}

  /// Records that this instance sent `prompt` to `replica`.
  void RecordPromptSent(std::string_view replica,
                        const PromptDescription& prompt);

  /// @return The next periodic message to all peers.
  /// @param engines_changing_role Engines that this instance has ordered to
  ///     change their role.
  LoadMessage BuildFullMessage(const ReplicaSet& replicas,
                               std::vector<std::string> engines_changing_role);

  /// @return A partial message about the engines that were sent prompts since
  ///     the last message; it is without loads when no prompts were sent.
  LoadMessage BuildPartialMessage(const ReplicaSet& replicas);

  /// Merges a message of a peer. A message that is older than the newest one
  /// received from that peer is ignored.
  /// @return False if the message was ignored.
  bool Merge(const LoadMessage& message, ReplicaSet& replicas);

  /// Removes peers that have sent nothing for several intervals between
  /// messages, together with their load: their requests have ended, or their
  /// state is unknown.
  /// @param interval Longest interval between two messages of a peer.
  void RemoveSilentPeers(ReplicaSet& replicas, absl::Duration interval = {});

  /// @return The number of live peers that come before this instance in an
  ///     order that is the same on all instances.
  size_t Rank() const;

  /// @param store_lost Whether this instance's calls to the store fail.
  /// @return The same among the peers for which that is equal and which may
  ///     poll the store, or will soon: a peer that has just restarted must not
  ///     keep another one from polling in its place.
  size_t RankByStore(bool store_lost) const;

  /// @return The name of the live instance, possibly this one, that comes first
  ///     in an order that depends on `key` and is the same on all instances.
  std::string OwnerOf(std::string_view key) const;

  /// @return The share of the instances, including this one, heard within the
  ///     last minute that are live.
  double LiveShare() const;

  /// @return The names of the live peers.
  std::vector<std::string> LivePeers() const;

  size_t peers() const { return this->peers_by_instance.size(); }  // NOLINT

 private:
  struct Peer {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    absl::Time last_seen_at;
    bool store_lost = false;
    absl::Time may_poll_from;
    std::vector<EngineLoadEntry> engine_loads;
  };

  struct PendingPrefix {
    CachedPrefix prefix;
    int sends_left = 0;
  };

  size_t RankAmong(const std::function<bool(const Peer&)>& counts) const;
  void AddLoad(const EngineLoadEntry& entry, int sign, ReplicaSet& replicas);
  void ReplaceLoads(Peer& peer,
                    std::vector<EngineLoadEntry> engine_loads,
                    ReplicaSet& replicas);
  void ReplaceListedLoads(Peer& peer,
                          std::span<const EngineLoadEntry> engine_loads,
                          ReplicaSet& replicas);
  LoadMessage NewMessage();
  void AttachPendingPrefixes(LoadMessage& message);

  const std::string instance;
  const uint64_t incarnation;
  const Clock& clock;
  uint64_t next_sequence = 1;
  std::vector<PendingPrefix> pending_prefixes;
  // Engines that were sent prompts since the last message.
  absl::flat_hash_set<std::string> engines_sent_prompts;
  absl::flat_hash_map<std::string, Peer> peers_by_instance;
  // Also of peers that are not live any more.
  absl::flat_hash_map<std::string, absl::Time> last_seen_by_instance;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_PEER_LOAD_SYNC_H_
