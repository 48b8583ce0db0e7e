#ifndef CRANBERRYHILL_FORWARD_STREAM_VERSION_QUEUE_H_
#define CRANBERRYHILL_FORWARD_STREAM_VERSION_QUEUE_H_

// Decides which of an instance's streams are written to the store, and when
// their rows are removed. Each stream has a row of its own, so that another
// instance reads just the stream that it is asked for.
//
// A write whose answer was lost may be performed seconds later. Each row is
// therefore written under the condition that it still is as it was found, so a
// late write cannot replace a newer one.
//
//   StreamVersionQueue queue(clock);
//   queue.Add(record);
//   if (auto write = queue.StartWrite()) ...

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/forward/stream_version_records.h"

namespace cranberryhill::forward {

/// A record and the row that it replaces.
struct StreamVersionPut {
  StreamVersionRecord record;
  uint64_t expected_version = 0;  ///< Of the row; 0 if there must be none.

  bool operator==(const StreamVersionPut&) const = default;
};

/// A row of the store, as the answer to a refused write shows it.
struct StreamVersionRow {
  std::string attempt_id;
  uint64_t row_version = 0;
  std::optional<StreamVersionRecord> record;  ///< Nothing if unreadable.
};

/// A write that is due, of rows of one part of the store. Its conditions, rows
/// and removals together are at most 100.
struct StreamVersionWrite {
  int part = 0;
  std::vector<StreamVersionPut> puts;
  std::vector<std::string> removed_attempt_ids;
};

enum class StreamVersionWriteOutcome {
  kNotWritten,
  kUnknown,  ///< The write may take effect now, later or never.
};

/// One write may be in progress. Not thread-safe.
class StreamVersionQueue {
 public:
  /// @param clock Must outlive this object.
  explicit StreamVersionQueue(const Clock& clock) : clock(clock) {}

  /// @return False for an attempt id that is too long, empty, or has characters
  ///     other than printable ASCII.
  static bool CanStore(std::string_view attempt_id);

  /// Replaces an earlier record of the same attempt.
  /// @return False if the record cannot be stored: its attempt id is too long
  ///     or has characters other than printable ASCII, or too much is kept.
  bool Add(const StreamVersionRecord& record);

  /// @return The version that is stored or waits to be stored for the attempt.
  std::optional<std::string> VersionOf(std::string_view attempt_id) const;

  /// Drops what is kept of an attempt, if the store has no row of it and gets
  /// none by a write that has been made.
  /// @return False if the store has, or may get, a row.
  bool Withdraw(std::string_view attempt_id);

  /// @return True if the store has the record.
  bool IsWritten(const StreamVersionRecord& record) const;

  /// @return True if records wait to be written, or old rows must be removed
  ///     without waiting for new records.
  bool HasWork();

  /// @return The write that is due, or nothing. Requires that no write is in
  ///     progress.
  std::optional<StreamVersionWrite> StartWrite();

  /// Ends the write in progress, which the store has performed.
  /// @param row_version Of the rows written.
  void OnWritten(uint64_t row_version);

  /// Ends the write in progress, which the store has refused because rows are
  /// not as expected.
  /// @param rows Those of the write that exist.
  void OnConflict(std::span<const StreamVersionRow> rows);

  /// Ends the write in progress in any other case.
  void OnWriteFailed(StreamVersionWriteOutcome outcome);

  /// Has everything written again, because the store may have lost it.
  void OnStoreRestored();

  /// @return Number of records that are kept.
  size_t size() const { return this->streams.size(); }  // NOLINT
  /// @return Number of records that were not written while they were of use.
  uint64_t expired_unwritten() const {  // NOLINT
    return this->expired_unwritten_count;
  }

 private:
  enum class State { kWaiting, kBeingWritten, kWritten, kWithdrawn };

  struct Stream {
    StreamVersionRecord record;
    absl::Time added_at;
    State state = State::kWaiting;
    bool changed_during_write = false;
    /// The store may have a row of the stream.
    bool may_be_stored = false;
    uint64_t row_version = 0;  // As last seen; 0 if there was no row.
  };

  struct Removal {
    std::string attempt_id;
    absl::Time due;
    bool in_progress = false;
  };

  std::optional<int> NextPart() const;
  void EndWrite(Stream& stream, bool is_stored);

  void EraseExpired();

  const Clock& clock;
  std::deque<Stream> streams;  // In the order in which they were added.
  absl::flat_hash_map<std::string, Stream*> by_attempt;
  size_t waiting = 0;
  std::deque<Removal> removals;
  bool write_in_progress = false;
  uint64_t expired_unwritten_count = 0;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_STREAM_VERSION_QUEUE_H_
