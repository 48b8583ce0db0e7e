#ifndef CRANBERRYHILL_GATEWAY_TABLE_FOLLOWER_H_
#define CRANBERRYHILL_GATEWAY_TABLE_FOLLOWER_H_

// Follows one table of the store: reads it whole, then waits for changes, and
// reads it whole again when changes may have been missed.

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/gateway/call_client.h"
#include "cranberryhill/gateway/event_log.h"
#include "cranberryhill/gateway/store_codec.h"

namespace cranberryhill::gateway {

/// Told what the table holds.
class TableObserver {
 public:
  virtual ~TableObserver() = default;

  /// The whole table as of one version.
  virtual void OnTable(StoreTable table, const std::vector<StoreRow>& rows) = 0;

  /// Rows that changed since, in order.
  virtual void OnChanges(StoreTable table,
                         const std::vector<StoreRow>& rows) = 0;

  /// The store has answered again after `outage` without an answer.
  virtual void OnRegained(StoreTable table, absl::Duration outage) = 0;
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

  void Start() { this->ReadPage(""); }
  void Stop();

  /// An instance that watches closely notices sooner that the store has fallen
  /// silent, at the price of more calls.
  void SetCloseWatch(bool close) { this->close_watch = close; }

  /// Tells that a peer knows a row of this version. The watch is renewed if
  /// that is newer than what is known here.
  void OnPeerVersion(uint64_t newest);

  /// Ends a pause between watches, when the table is known to have changed.
  void EndPause();

  /// @return The newest row that is known.
  uint64_t newest_version() const { return this->newest_row; }  // NOLINT

  /// @return True once the table was read whole.
  bool has_table() const { return this->read_whole; }  // NOLINT

  /// @return Time since the store last answered.
  absl::Duration Age() const { return this->clock.Now() - this->answered_at; }

  /// @return Calls made so far.
  uint64_t calls() const { return this->call_count; }  // NOLINT

 private:
  void ReadPage(const std::string& from);
  void OnPage(CallAnswer answer);
  void Watch();
  void OnWatch(CallAnswer answer);
  void OnAnswered();
  void OnFailed(const CallAnswer& answer);
  void ContinueAfter(absl::Duration pause);

  const StoreTable table;
  const StoreCodec& codec;
  TableObserver& observer;
  EventLog& log;
  const Clock& clock;
  Random& random;
  CallClient client;
  boost::asio::steady_timer pause_timer;
  std::vector<StoreRow> rows;
  uint64_t version = 0;
  uint64_t newest_row = 0;
  absl::Time watch_began;
  bool watching = false;
  bool pausing = false;
  bool close_watch = true;
  bool must_read = true;
  bool read_whole = false;
  int failures = 0;
  uint64_t call_count = 0;
  absl::Time answered_at;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_TABLE_FOLLOWER_H_
