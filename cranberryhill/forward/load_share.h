#ifndef CRANBERRYHILL_FORWARD_LOAD_SHARE_H_
#define CRANBERRYHILL_FORWARD_LOAD_SHARE_H_

// What instances tell each other several times a second: the work each has on
// each engine, and which prompt parts it sent where. Engines report their load
// late or not at all, and without this every instance would take a busy engine
// for an idle one. Messages may be lost, repeated or reordered.
//
//   LoadShare share("entry-a1", clock);
//   peer.Send(EncodeLoadMessage(share.Collect(replicas, {})));
//   share.Merge(message, replicas);

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/prompt.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/request/crash_quarantine.h"

namespace cranberryhill::forward {

/// Work of one instance on one engine.
struct EngineWork {
  std::string replica;
  QueuedTokens queued;
  int running = 0;  ///< Requests without a complete answer.
};

/// Shared prompt parts that an engine was sent.
struct CachedPrompt {
  std::string replica;
  std::vector<PromptPart> parts;
};

struct LoadMessage {
  std::string instance;
  uint64_t incarnation = 0;  ///< Drawn at the start of the process.
  uint64_t sequence = 0;
  /// Engines that are not listed have none, unless the message is partial.
  std::vector<EngineWork> work;
  std::vector<CachedPrompt> cached;
  std::vector<std::string> changing;  ///< Engines whose role is being changed.
  std::vector<CrashEntry> crashes;    ///< Requests that crashed replicas.
  /// Newest row of each followed table that the instance knows.
  std::vector<uint64_t> table_versions;
  bool partial = false;  ///< Tells only of engines that got a prompt just now.
};

std::string EncodeLoadMessage(const LoadMessage& message);

/// @return kInvalidArgument for bytes that are no message.
Result<LoadMessage> DecodeLoadMessage(std::string_view bytes);

/// Not thread-safe.
class LoadShare {
 public:
  /// @param incarnation Distinguishes this process from earlier ones.
  /// @param clock Must outlive this object.
  LoadShare(std::string instance, uint64_t incarnation, const Clock& clock)
      : instance(std::move(instance)), incarnation(incarnation), clock(clock) {}

  /// Records that this instance sent `shape` to `replica`.
  void NoteSent(std::string_view replica, const PromptShape& shape);

  /// @return The next message to all peers.
  /// @param changing Engines whose role this instance has ordered to change.
  LoadMessage Collect(const ReplicaSet& replicas,
                      std::vector<std::string> changing);

  /// @return A short message about the engines that were sent prompts since the
  ///     last message; no work if there are none.
  LoadMessage CollectNews(const ReplicaSet& replicas);

  /// Takes over what a peer says. Older messages than known are ignored.
  /// @return False if the message was ignored.
  bool Merge(const LoadMessage& message, ReplicaSet& replicas);

  /// Forgets the work of peers that have been silent; their requests have
  /// ended or are no longer known.
  void ForgetSilent(ReplicaSet& replicas);

  /// @return How many live peers come before this instance in an order that is
  ///     the same everywhere.
  size_t Rank() const;

  size_t peers() const { return this->known.size(); }  // NOLINT

 private:
  struct Peer {
    uint64_t incarnation = 0;
    uint64_t sequence = 0;
    absl::Time heard_at;
    std::vector<EngineWork> work;
  };

  struct Noted {
    CachedPrompt prompt;
    int sends_left = 0;
  };

  void AddWork(const EngineWork& entry, int sign, ReplicaSet& replicas);
  void Replace(Peer& peer, std::vector<EngineWork> work, ReplicaSet& replicas);
  void ReplaceListed(Peer& peer,
                     std::span<const EngineWork> work,
                     ReplicaSet& replicas);
  LoadMessage NewMessage();
  void TakeRecords(LoadMessage& message);

  const std::string instance;
  const uint64_t incarnation;
  const Clock& clock;
  uint64_t next_sequence = 1;
  std::vector<Noted> noted;
  // Engines that were sent prompts since the last message.
  absl::flat_hash_set<std::string> news;
  absl::flat_hash_map<std::string, Peer> known;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_LOAD_SHARE_H_
