#ifndef CRANBERRYHILL_STORE_CONTROL_TABLE_H_
#define CRANBERRYHILL_STORE_CONTROL_TABLE_H_

// The gateway's own rows in the store: the addresses of the instances, the
// lease for engine orders, the versions of services and what is quarantined.
// Reads are answered from a local copy of the table. This is safe because every
// write is conditional on the version that was read.

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/store/delay_timer.h"
#include "cranberryhill/store/serial_http_client.h"
#include "cranberryhill/store/table_follower.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class ControlTable : public TableService, public TableObserver {
 public:
  /// Called with the key of each row that has changed, and with an empty one
  /// when the whole table has been read.
  using OnChange = std::function<void(std::string_view key)>;

  /// @param codec, log, clock, random Must outlive this object.
  ControlTable(boost::asio::io_context& io,
               const boost::asio::ip::tcp::endpoint& store,
               const StoreCodec& codec,
               EventLog& log,
               const Clock& clock,
               Random& random);

  void Start() { this->follower.Start(); }
  void Stop();

  void SetOnChange(OnChange callback) { this->on_change = std::move(callback); }

  /// Reads the table again if the store has been restored.
  /// @param era As an answer of the store for another table says.
  void OnEraSeenElsewhere(uint64_t era) {
    this->follower.OnEraSeenElsewhere(era);
  }

  /// @return The era of the rows; 0 until the store has named one.
  uint64_t era() const { return this->follower.Progress().era; }  // NOLINT

  /// @return The reading of the store's steady clock; nothing until it is
  /// known.
  std::optional<absl::Time> StoreTime() const {
    return this->follower.StoreTime();
  }

  /// @return True once the whole table has been read.
  bool loaded() const { return this->follower.has_snapshot(); }  // NOLINT

  const std::map<std::string, Row, std::less<>>& rows() const {  // NOLINT
    return this->cached_rows;
  }

  /// Reads from the local copy of the table. The result is kUnavailable until
  /// the table has been read once. It is also kUnavailable for a short time
  /// after a write with an unknown outcome, and after a conflict whose answer
  /// does not update the row in the local copy.
  void Read(std::vector<std::string> keys, ReadCallback callback) override;
  void Scan(std::string prefix,
            std::string after,
            size_t limit,
            ReadCallback callback) override;

  /// Accepts only transactions that check and write one and the same row.
  /// Returns kUnavailable while another write is in progress.
  void Commit(Transaction transaction, CommitCallback callback) override;

  /// @return The row with this key in the local copy, with kAbsentVersion if
  ///     there is none. Nothing while the copy may be out of date: until the
  ///     table has been read, and for a short time after CommitIndependently()
  ///     had an unknown outcome, or a conflict that did not update the row.
  std::optional<Row> FindIndependently(std::string_view key) const;

  /// Commits like Commit(), for rows that no user of Commit() and Read() needs.
  /// Does not affect their results, because a lease that waits for another
  /// write could expire. Returns kUnavailable while another such write is in
  /// progress.
  void CommitIndependently(Transaction transaction, CommitCallback callback);

  /// Reads changes soon, without waiting for the pause between calls to end.
  void Refresh() { this->follower.EndPause(); }

  uint64_t store_calls() const {  // NOLINT
    return this->follower.store_calls() + this->write_calls;
  }

  void OnSnapshot(StoreTable table,
                  SnapshotKind kind,
                  const std::vector<StoreRow>& rows) override;
  void OnStoreRestored(StoreTable, uint64_t) override {}
  void OnChanges(StoreTable table, const std::vector<StoreRow>& rows) override;
  void OnStoreRecovered(StoreTable, absl::Duration) override {}
  void OnPolled(StoreTable,
                uint64_t,
                uint64_t,
                const std::vector<StoreRow>&) override {}
  void OnStoreCall(StoreTable, bool) override {}

 private:
  /// Makes one write at a time.
  struct Writer {
    SerialHttpClient client;
    bool write_in_progress = false;
    /// Until then the local copy of the rows may be older than the last write.
    absl::Time stale_until = absl::InfinitePast();
  };

  bool HasCurrentRows(const Writer& writer) const;
  void Apply(const Row& row);
  void Write(Writer& writer, Transaction transaction, CommitCallback callback);
  void OnConflict(Writer& writer,
                  const std::string& key,
                  std::string_view body);
  CommitOutcome OnWriteDone(Writer& writer, Row row, const HttpResult& answer);

  const StoreCodec& codec;
  EventLog& log;
  const Clock& clock;
  TableFollower follower;
  Writer writer;
  Writer independent_writer;
  std::map<std::string, Row, std::less<>> cached_rows;
  OnChange on_change;
  uint64_t write_calls = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_CONTROL_TABLE_H_
