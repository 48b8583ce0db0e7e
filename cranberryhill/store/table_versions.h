#ifndef CRANBERRYHILL_STORE_TABLE_VERSIONS_H_
#define CRANBERRYHILL_STORE_TABLE_VERSIONS_H_

// Keeps track of how far an instance knows a table of the store, from its own
// calls and from messages of peers. Messages may be lost, repeated or
// reordered, and an own call may return rows that a peer has sent meanwhile: an
// instance that has seen version v has exactly the rows that the store had at
// v.

#include <cstdint>
#include <vector>

#include "cranberryhill/store/store_codec.h"

namespace cranberryhill::gateway {

/// Versions up to which an instance knows a table.
/// All of them belong to one era.
struct TableProgress {
  /// The newest row received.
  uint64_t newest_row = 0;
  /// All changes after this version have been received, up to `seen`. Removals
  /// before it may not have been seen, because a snapshot does not show them.
  uint64_t complete_after = 0;
  uint64_t seen = 0;
  /// Version of the last snapshot that was read because the store had discarded
  /// changes that this instance was waiting for; 0 if there was none.
  uint64_t history_lost = 0;
  /// Era of the store; 0 until the store has named one.
  uint64_t era = 0;
};

/// Not thread-safe.
class TableVersions {
 public:
  /// Records that the whole table was read. A table that is empty at the first
  /// time is followed from version 0, so that all instances that start with an
  /// empty store can use each other's rows.
  /// @param version Version of the store when its first page was read.
  /// @param history_lost True if the store had discarded changes that peers may
  ///     not have received either.
  void OnSnapshot(uint64_t version,
                  const std::vector<StoreRow>& rows,
                  bool history_lost);

  /// Records the era that an answer of the store names. In a new era everything
  /// that is known of the table has to be read again.
  /// @return True if the store has been restored since its last answer.
  bool OnEra(uint64_t era);

  /// Records that a snapshot must be read, and until then no changes are used.
  void OnSnapshotNeeded() { this->snapshot_needed = true; }

  /// @param version Version of the store.
  /// @param rows All changes after seen().
  /// @return Those of `rows` that are not known yet.
  std::vector<StoreRow> OnPolled(uint64_t version,
                                 const std::vector<StoreRow>& rows);

  /// @param era Of the versions.
  /// @param rows All changes from `after` to `up_to`.
  /// @return Those of `rows` to apply; empty when earlier changes are missing,
  ///     and in another era than that of this instance.
  std::vector<StoreRow> OnPeerRows(uint64_t era,
                                   uint64_t after,
                                   uint64_t up_to,
                                   const std::vector<StoreRow>& rows);

  /// Takes over what a peer knows about the table, unless that belongs to
  /// another era.
  /// @return True if a snapshot must be read, because removals may be missing
  ///     from the changes that peers pass on.
  bool OnPeerProgress(const TableProgress& progress);

  /// @return True when a peer has received a row that is missing here.
  bool IsBehindPeers() const { return this->peer_version > this->current.seen; }

  bool needs_snapshot() const { return this->snapshot_needed; }  // NOLINT
  uint64_t era() const { return this->current.era; }             // NOLINT
  uint64_t seen() const { return this->current.seen; }           // NOLINT
  uint64_t peer_row() const { return this->peer_version; }       // NOLINT

  /// @return What this instance knows, for its peers.
  const TableProgress& progress() const { return this->current; }  // NOLINT

 private:
  TableProgress current;
  uint64_t peer_version = 0;  // Newest row that any peer has received.
  bool snapshot_needed = true;
  bool has_read_snapshot = false;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_TABLE_VERSIONS_H_
