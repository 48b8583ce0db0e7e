#ifndef CRANBERRYHILL_ENVIRONMENT_CONFIG_FOLLOWER_H_
#define CRANBERRYHILL_ENVIRONMENT_CONFIG_FOLLOWER_H_

// Finds the newest production version of an environment and puts it in force in
// this process. It does no I/O: it receives events with the current time and
// returns the actions that its user has to carry out.
//
//   ConfigFollower follower("annex", random);
//   Run(follower.Start(clock.Now(), peers));
//   // At follower.NextTimerTime():
//   Run(follower.OnTimer(clock.Now()));
//   // After each ReadRowAction:
//   Run(follower.OnRowRead(id, outcome, now));
//   // After each FetchFromPeerAction:
//   Run(follower.OnPeerDocument(id, outcome, now));
//   // For each message of a peer:
//   Run(follower.OnAnnouncement(peer, generation, digest, now));

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
  std::string text;  ///< The document as CanonicalText().
};

/// A version that is in force. It is never modified, so that a request can use
/// the version that it started with until it ends.
struct VersionInForce {
  ProductionVersion production;
  EnvironmentDocument document;
};

/// Asks the user to read one row of the table service and to pass the outcome
/// to OnRowRead().
struct ReadRowAction {
  uint64_t request = 0;
  std::string key;
};

/// Asks the user to request a peer's version in force and to pass the outcome
/// to OnPeerDocument().
struct FetchFromPeerAction {
  uint64_t request = 0;
  std::string peer;  ///< Name of the peer instance.
};

/// Reports that a higher generation is now in force.
struct VersionChangedAction {
  std::shared_ptr<const VersionInForce> in_force;
};

/// Reports that a document was refused. The version in force does not change.
struct DocumentRefusedAction {
  uint64_t generation = 0;
  Error error;
};

using FollowerAction = std::variant<ReadRowAction,
                                    FetchFromPeerAction,
                                    VersionChangedAction,
                                    DocumentRefusedAction>;
using FollowerActions = std::vector<FollowerAction>;

/// Intervals and limits of a ConfigFollower.
struct FollowerOptions {
  /// Maximum time between polls of the production row.
  absl::Duration poll_interval = absl::Seconds(2);
  /// Each poll interval is shortened by a random fraction of up to this.
  double poll_jitter = 0.2;
  absl::Duration read_timeout = absl::Seconds(1);
  absl::Duration fetch_timeout = absl::Seconds(1);
  /// Maximum number of peers asked at once while no version is in force.
  size_t max_start_peers = 3;
};

/// Counts since the start.
struct FollowerCounters {
  uint64_t reads = 0;
  uint64_t failed_reads = 0;  ///< Includes reads that timed out.
  uint64_t peer_fetches = 0;
  uint64_t failed_peer_fetches = 0;
  uint64_t refused_documents = 0;
  /// Versions that were ignored because a higher generation is in force.
  uint64_t stale_generations = 0;
  uint64_t version_changes = 0;
};

/// Not thread-safe.
class ConfigFollower {
 public:
  /// @param random Source of the poll jitter; must outlive this object.
  ConfigFollower(std::string environment,
                 Random& random,
                 FollowerOptions options = {});

  /// Starts reading the production row. Must be called once.
  FollowerActions Start(absl::Time now, std::vector<std::string> peers);

  /// Sets the peers that may be asked while no version is in force.
  void SetPeers(std::vector<std::string> peers);

  /// Handles timeouts and polls that are due. May be called at any time.
  FollowerActions OnTimer(absl::Time now);

  /// @return The time at which OnTimer() has to be called next.
  absl::Time NextTimerTime() const;

  /// Handles the outcome of a ReadRowAction. An outcome that arrives after the
  /// timeout is ignored.
  FollowerActions OnRowRead(uint64_t request,
                            const ReadOutcome& outcome,
                            absl::Time now);

  /// Handles the outcome of a FetchFromPeerAction. An outcome that arrives
  /// after the timeout is ignored.
  FollowerActions OnPeerDocument(uint64_t request,
                                 const Outcome<ProductionVersion>& outcome,
                                 absl::Time now);

  /// Handles a message in which a peer announces its generation in force.
  FollowerActions OnAnnouncement(const std::string& peer,
                                 uint64_t generation,
                                 const std::string& digest,
                                 absl::Time now);

  /// @return The version in force, or null if there is none yet. It is also the
  /// answer to a peer that fetches it.
  std::shared_ptr<const VersionInForce> in_force() const {  // NOLINT
    return this->version_in_force;
  }

  /// @return The generation in force, or 0 if there is none.
  uint64_t generation() const;  // NOLINT

  const FollowerCounters& counters() const {  // NOLINT
    return this->counter_values;
  }

 private:
  enum class RequestKind { kProductionRow, kDocumentRow, kPeer };
  struct PendingRequest {
    RequestKind kind = RequestKind::kProductionRow;
    absl::Time deadline;
    StageRecord stage;  // kDocumentRow: the production row that was read.
    std::string peer;   // kPeer: the peer asked.
  };

  struct Announcement {
    uint64_t generation = 0;
    std::string digest;
  };

  bool IsPending(RequestKind kind) const;
  bool IsAcceptable(uint64_t generation, const std::string& digest) const;
  std::optional<PendingRequest> RemoveRequest(uint64_t request);
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
  void FetchFromBestAnnouncer(absl::Time now, FollowerActions& actions);
  void FetchFromPeer(const std::string& peer,
                     absl::Time now,
                     FollowerActions& actions);
  void FinishStartRoundIfDone(absl::Time now, FollowerActions& actions);
  bool PutInForce(const ProductionVersion& version, FollowerActions& actions);
  void Refuse(const ProductionVersion& version,
              const Error& error,
              FollowerActions& actions);

  const std::string environment;
  Random& random;
  const FollowerOptions options;

  std::shared_ptr<const VersionInForce> version_in_force;
  std::vector<std::string> peers;
  std::map<uint64_t, PendingRequest> pending_requests;
  uint64_t next_request = 1;
  absl::Time next_poll_at = absl::InfiniteFuture();
  // False if the last read of the table failed. Announced versions are then
  // fetched from peers at once.
  bool is_table_available = true;
  // The last announcement of each peer that has announced a generation above
  // the one in force. If a peer fails to deliver its version, its announcement
  // is removed.
  std::map<std::string, Announcement> announcements;
  // The generations and digests of versions whose document was refused.
  std::set<std::pair<uint64_t, std::string>> refused_versions;
  // True while several peers are asked for the first version. The answer with
  // the highest generation is taken.
  bool is_start_round = false;
  std::vector<ProductionVersion> start_round_answers;
  FollowerCounters counter_values;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ENVIRONMENT_CONFIG_FOLLOWER_H_
