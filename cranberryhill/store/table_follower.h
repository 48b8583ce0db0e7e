#ifndef CRANBERRYHILL_STORE_TABLE_FOLLOWER_H_
#define CRANBERRYHILL_STORE_TABLE_FOLLOWER_H_

// Follows one table of the store: reads a snapshot, then long-polls for
// changes, or applies the changes that peers pass on, and reads another
// snapshot when changes may have been missed.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/store/delay_timer.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/store/store_codec.h"
#include "cranberryhill/store/table_versions.h"

namespace cranberryhill::gateway {

enum class SnapshotKind {
  kCurrent,   ///< Holds all rows.
  kRestored,  ///< The first after the store was restored from an older copy. It
              ///< may lack rows that were acknowledged, and hold rows that were
              ///< replaced or removed, until their writers write again.
};

/// Receives the contents of a table and its changes.
class TableObserver {
 public:
  virtual ~TableObserver() = default;

  /// Called with all rows of the table after the whole table has been read.
  virtual void OnSnapshot(StoreTable table,
                          SnapshotKind kind,
                          const std::vector<StoreRow>& rows) = 0;

  /// Called when an answer of the store shows that it has been restored from an
  /// older copy.
  virtual void OnStoreRestored(StoreTable table, uint64_t era) = 0;

  /// Called with rows that have changed since the snapshot, in order of their
  /// changes.
  virtual void OnChanges(StoreTable table,
                         const std::vector<StoreRow>& rows) = 0;

  /// Called after OnChanges() with changes that this instance has polled from
  /// the store.
  /// @param era Of the versions.
  /// @param after All changes from this version to the last row are in `rows`.
  virtual void OnPolled(StoreTable table,
                        uint64_t era,
                        uint64_t after,
                        const std::vector<StoreRow>& rows) = 0;

  /// Called after each call to the store.
  virtual void OnStoreCall(StoreTable table, bool answered) = 0;

  /// Called when the store answers again after `outage` without an answer.
  virtual void OnStoreRecovered(StoreTable table, absl::Duration outage) = 0;
};

/// Not thread-safe.
class TableFollower {
 public:
  /// @param store Makes calls to the store.
  /// @param pause_timer Used for the pauses between calls.
  /// @param codec, observer, log, clock, random Must outlive this object.
  TableFollower(StoreTable table,
                std::unique_ptr<HttpCaller> store,
                std::unique_ptr<DelayTimer> pause_timer,
                const StoreCodec& codec,
                TableObserver& observer,
                EventLog& log,
                const Clock& clock,
                Random& random);

  void Start() { this->ReadSnapshotPage(""); }
  void Stop();

  /// Sets whether this instance polls the store for changes, or relies on its
  /// peers for them.
  /// @param poller True for an instance whose peers rely on it; it retries
  ///     sooner when the store does not answer.
  void SetPolling(bool polls, bool poller);

  /// Applies changes that a peer has received, unless earlier ones are missing
  /// here.
  /// @param era Of the versions.
  /// @param after All changes from this version to `up_to` are in `rows`. If
  ///     there are none, the peer has rows that it cannot pass on, and rows
  ///     that are missing here are read from the store at once.
  /// @param up_to Version of the last of `rows`.
  void OnPeerRows(uint64_t era,
                  uint64_t after,
                  uint64_t up_to,
                  const std::vector<StoreRow>& rows);

  /// Takes over what a peer knows about the table. Missing rows that do not
  /// arrive from peers soon are read from the store.
  void OnPeerProgress(const TableProgress& progress);

  /// Reads the table again if the store has been restored, as was seen
  /// elsewhere, since this instance last heard of it. Only an answer of the
  /// store itself changes the era.
  void OnEraSeenElsewhere(uint64_t era);

  /// Starts the next long poll without waiting for the pause to end, because
  /// the table is known to have changed.
  void EndPause();

  /// @return What this instance knows about the table, for its peers.
  const TableProgress& Progress() const { return this->versions.progress(); }

  /// @return True while the whole table has to be read.
  bool NeedsSnapshot() const { return this->versions.needs_snapshot(); }

  /// @return True once the whole table has been read.
  bool has_snapshot() const { return this->has_read_snapshot; }  // NOLINT

  /// @return Time since the store last answered.
  absl::Duration TimeSinceAnswer() const {
    return this->clock.Now() - this->answered_at;
  }

  /// @return The reading of the store's steady clock, by its last page and the
  ///     time since then; nothing until a page has named it.
  std::optional<absl::Time> StoreTime() const {
    return this->store_time_offset
               ? std::optional(this->clock.Now() + *this->store_time_offset)
               : std::nullopt;
  }

  /// @return How long peers have been known to have rows that are missing here.
  absl::Duration TimeBehindPeers() const;

  /// @return Bytes of the answer to the call in progress received so far.
  size_t received_bytes() const {  // NOLINT
    return this->store->received_bytes();
  }

  /// @return Number of calls made to the store.
  uint64_t store_calls() const { return this->call_count; }  // NOLINT

 private:
  void ReadSnapshotPage(const std::string& from);
  void OnSnapshotPage(HttpResult answer);
  void Watch();
  void OnWatchAnswer(HttpResult answer);
  bool OnEraOf(const HttpResult& answer);
  void OnTimeOf(const StorePage& page);
  void ReadSnapshotSoon(absl::Duration longest_pause);
  void OnAnswered();
  void OnFailed(const HttpResult& answer);
  void RetryAfter(absl::Duration mean_pause);
  void ContinueAfter(absl::Duration pause);
  void Continue();
  void OnBehindPeers(absl::Duration wait_for_rows);
  void UpdateBehindSince();
  void OnSnapshotNeededByPeer(uint64_t snapshot_version);

  const StoreTable table;
  const StoreCodec& codec;
  TableObserver& observer;
  EventLog& log;
  const Clock& clock;
  Random& random;
  const std::unique_ptr<HttpCaller> store;
  const std::unique_ptr<DelayTimer> pause_timer;
  std::vector<StoreRow> rows;     // Of the snapshot that is being read.
  uint64_t snapshot_version = 0;  // Of its first page.
  TableVersions versions;
  absl::Time watch_started_at;
  bool watching = false;
  bool fetches_missing_rows = false;  // The long poll in progress.
  bool pausing = false;
  bool idle = false;            // Relies on peers; no call is in progress.
  bool retries_slowly = false;  // Pauses for long after a failed call.
  bool polls = true;
  bool is_poller = true;
  bool history_lost = false;
  bool was_restored = false;        // Since the last snapshot.
  uint64_t era_seen_elsewhere = 0;  // The highest one.
  bool has_read_snapshot = false;
  int consecutive_failures = 0;
  uint64_t call_count = 0;
  absl::Time behind_since = absl::InfiniteFuture();
  absl::Time answered_at;
  // Of the store's clock from the clock of this instance.
  std::optional<absl::Duration> store_time_offset;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_TABLE_FOLLOWER_H_
