#ifndef CRANBERRYHILL_GATEWAY_TABLE_FOLLOWER_H_
#define CRANBERRYHILL_GATEWAY_TABLE_FOLLOWER_H_

// Follows one table of the store: reads a snapshot, then long-polls for
// changes, and reads another snapshot when changes may have been missed.

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/gateway/event_log.h"
#include "cranberryhill/gateway/serial_http_client.h"
#include "cranberryhill/gateway/store_codec.h"

namespace cranberryhill::gateway {

/// Receives the contents of a table and its changes.
class TableObserver {
 public:
  virtual ~TableObserver() = default;

  /// Called with all rows of the table after the whole table has been read.
  virtual void OnSnapshot(StoreTable table,
                          const std::vector<StoreRow>& rows) = 0;

  /// Called with rows that have changed since the snapshot, in order of their
  /// changes.
  virtual void OnChanges(StoreTable table,
                         const std::vector<StoreRow>& rows) = 0;

  /// Called when the store answers again after `outage` without an answer.
  virtual void OnStoreRecovered(StoreTable table, absl::Duration outage) = 0;
};

/// Not thread-safe.
class TableFollower {
 public:
  /// @param codec, observer, log, clock, random Must outlive this object.
  TableFollower(StoreTable table,
                boost::asio::io_context& io,
                boost::asio::ip::tcp::endpoint store,
                const StoreCodec& codec,
                TableObserver& observer,
                EventLog& log,
                const Clock& clock,
                Random& random);

  void Start() { this->ReadSnapshotPage(""); }
  void Stop();

  /// Frequent polling detects sooner that the store has stopped answering, at
  /// the cost of more calls.
  void SetFrequentPolling(bool frequent) { this->frequent_polling = frequent; }

  /// Reports that a peer has received a row of this version. If that is newer
  /// than any row received here, the long poll is restarted.
  void OnPeerVersion(uint64_t newest_peer_version);

  /// Starts the next long poll without waiting for the pause to end, because
  /// the table is known to have changed.
  void EndPause();

  /// @return The version of the newest row received.
  uint64_t newest_version() const { return this->max_row_version; }  // NOLINT

  /// @return True once the whole table has been read.
  bool has_snapshot() const { return this->has_read_snapshot; }  // NOLINT

  /// @return Time since the store last answered.
  absl::Duration TimeSinceAnswer() const {
    return this->clock.Now() - this->answered_at;
  }

  /// @return Number of calls made to the store.
  uint64_t store_calls() const { return this->call_count; }  // NOLINT

 private:
  void ReadSnapshotPage(const std::string& from);
  void OnSnapshotPage(HttpResult answer);
  void Watch();
  void OnWatchAnswer(HttpResult answer);
  void OnAnswered();
  void OnFailed(const HttpResult& answer);
  void ContinueAfter(absl::Duration pause);

  const StoreTable table;
  const StoreCodec& codec;
  TableObserver& observer;
  EventLog& log;
  const Clock& clock;
  Random& random;
  SerialHttpClient store_client;
  boost::asio::steady_timer pause_timer;
  std::vector<StoreRow> rows;
  uint64_t version = 0;
  uint64_t max_row_version = 0;
  absl::Time watch_started_at;
  bool watching = false;
  bool pausing = false;
  bool frequent_polling = true;
  bool needs_snapshot = true;
  bool has_read_snapshot = false;
  int consecutive_failures = 0;
  uint64_t call_count = 0;
  absl::Time answered_at;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_TABLE_FOLLOWER_H_
