#ifndef CRANBERRYHILL_ENVIRONMENT_CONFIG_FOLLOWER_H_
#define CRANBERRYHILL_ENVIRONMENT_CONFIG_FOLLOWER_H_

// Keeps the newest production version of an environment in force in this
// process. It does no I/O: events and a clock reading go in, actions come out.
//
//   ConfigFollower follower("annex", random);
//   Run(follower.Start(clock.Now(), peers));
//   // at follower.NextWake():      Run(follower.OnTimer(clock.Now()));
//   // for a ReadRowAction:         Run(follower.OnRow(id, outcome, now));
//   // for a FetchFromPeerAction:   Run(follower.OnPeerDocument(id, ...));
//   // for each peer message:       Run(follower.OnAnnouncement(...));

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/environment/environment_document.h"
#include "cranberryhill/environment/environment_rows.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

/// A production version with its document, as passed between instances.
struct ProductionVersion {
  uint64_t generation = 0;
  uint64_t version = 0;
  std::string digest;
  std::string text;  ///< Canonical.
};

/// A version in force; immutable, so that requests can keep the one that they
/// started with.
struct VersionInForce {
  ProductionVersion production;
  EnvironmentDocument document;
};

/// Read one row of the table and pass the outcome to OnRow().
struct ReadRowAction {
  uint64_t request = 0;
  std::string key;
};

/// Ask a peer for its version in force and pass it to OnPeerDocument().
struct FetchFromPeerAction {
  uint64_t request = 0;
  std::string peer;  ///< Id of the peer.
};

/// A higher generation has come into force.
struct VersionChangedAction {
  std::shared_ptr<const VersionInForce> in_force;
};

/// A document was refused; the version in force stays.
struct DocumentRefusedAction {
  uint64_t generation = 0;
  Error error;
};

using FollowerAction = std::variant<ReadRowAction,
                                    FetchFromPeerAction,
                                    VersionChangedAction,
                                    DocumentRefusedAction>;
using FollowerActions = std::vector<FollowerAction>;

struct FollowerOptions {
  absl::Duration poll_interval = absl::Seconds(2);  ///< Longest interval.
  double poll_jitter = 0.2;  ///< Part of the interval, taken off at random.
  absl::Duration read_timeout = absl::Seconds(1);
  absl::Duration fetch_timeout = absl::Seconds(1);
  size_t start_peers = 3;  ///< Peers asked at a start without the table.
};

struct FollowerCounters {
  uint64_t reads = 0;
  uint64_t failed_reads = 0;  ///< Including those without an answer in time.
  uint64_t peer_fetches = 0;
  uint64_t failed_peer_fetches = 0;
  uint64_t refused_documents = 0;
  uint64_t stale_generations = 0;  ///< Lower than the one in force; dropped.
  uint64_t version_changes = 0;
};

/// Not thread-safe.
class ConfigFollower {
 public:
  /// @param random Source of the poll jitter; must outlive this object.
  ConfigFollower(std::string environment,
                 Random& random,
                 FollowerOptions options = {});

  /// Begins to follow. Call once.
  FollowerActions Start(absl::Time now, std::vector<std::string> peers);

  /// Sets the peers that may be asked while no version is in force.
  void SetPeers(std::vector<std::string> peers);

  /// Does what is due. May be called at any time.
  FollowerActions OnTimer(absl::Time now);

  /// @return When OnTimer() should run next.
  absl::Time NextWake() const;

  /// The outcome of a ReadRowAction; late outcomes are ignored.
  FollowerActions OnRow(uint64_t request,
                        const ReadOutcome& outcome,
                        absl::Time now);

  /// The outcome of a FetchFromPeerAction; late outcomes are ignored.
  FollowerActions OnPeerDocument(uint64_t request,
                                 const Outcome<ProductionVersion>& outcome,
                                 absl::Time now);

  /// A peer's message names its generation in force.
  FollowerActions OnAnnouncement(const std::string& peer,
                                 uint64_t generation,
                                 const std::string& digest,
                                 absl::Time now);

  /// @return The version in force, or null before the first. Answers peers
  /// that ask for it.
  std::shared_ptr<const VersionInForce> in_force() const {  // NOLINT
    return this->current;
  }

  /// @return The generation in force, 0 when none.
  uint64_t generation() const;  // NOLINT

  const FollowerCounters& counters() const {  // NOLINT
    return this->count;
  }

 private:
  enum class RequestKind { kProductionRow, kDocumentRow, kPeer };
  struct PendingRequest {
    RequestKind kind = RequestKind::kProductionRow;
    absl::Time deadline;
    StageRecord stage;  // kDocumentRow: what production named.
    std::string peer;   // kPeer
  };

  struct Announcement {
    uint64_t generation = 0;
    std::string digest;
  };

  bool IsPending(RequestKind kind) const;
  bool IsWanted(uint64_t generation, const std::string& digest) const;
  std::optional<PendingRequest> TakeRequest(uint64_t request);
  uint64_t AddRequest(PendingRequest request);
  void StartPoll(absl::Time now, FollowerActions& actions);
  void ReadProduction(absl::Time now, FollowerActions& actions);
  void ReadDocument(const StageRecord& stage,
                    absl::Time now,
                    FollowerActions& actions);
  void OnProductionRow(const ReadOutcome& outcome,
                       absl::Time now,
                       FollowerActions& actions);
  void OnDocumentRow(const StageRecord& stage,
                     const ReadOutcome& outcome,
                     absl::Time now,
                     FollowerActions& actions);
  void OnTableFailure(absl::Time now, FollowerActions& actions);
  void OnPeerFailure(const std::string& peer,
                     absl::Time now,
                     FollowerActions& actions);
  void AskStartPeers(absl::Time now, FollowerActions& actions);
  void FetchFromAnnouncer(absl::Time now, FollowerActions& actions);
  void FetchFromPeer(const std::string& peer,
                     absl::Time now,
                     FollowerActions& actions);
  void FinishStartRound(absl::Time now, FollowerActions& actions);
  bool Adopt(const ProductionVersion& version, FollowerActions& actions);
  void Refuse(const ProductionVersion& version,
              const Error& error,
              FollowerActions& actions);

  const std::string environment;
  Random& random;
  const FollowerOptions options;

  std::shared_ptr<const VersionInForce> current;
  std::vector<std::string> peers;
  std::map<uint64_t, PendingRequest> pending;
  uint64_t next_request = 1;
  absl::Time next_poll = absl::InfiniteFuture();
  // False while the last read has failed; peers are asked at once then.
  bool table_answers = true;
  // Last announcement per peer, only those above the generation in force. A
  // peer that does not deliver is left out until it announces again.
  std::map<std::string, Announcement> announced;
  // Documents that this build cannot read, by generation and digest.
  std::set<std::pair<uint64_t, std::string>> refused;
  // A start round asks several peers and takes the highest generation.
  bool start_round = false;
  std::vector<ProductionVersion> start_answers;
  FollowerCounters count;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ENVIRONMENT_CONFIG_FOLLOWER_H_
