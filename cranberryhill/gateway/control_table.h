#ifndef CRANBERRYHILL_GATEWAY_CONTROL_TABLE_H_
#define CRANBERRYHILL_GATEWAY_CONTROL_TABLE_H_

// The gateway's own rows in the store: where the instances are, and the lease
// of engine orders. Reads are answered from the followed table; this is safe,
// as all writes are conditional on the version that was read.

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/gateway/call_client.h"
#include "cranberryhill/gateway/table_follower.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class ControlTable : public TableService, public TableObserver {
 public:
  /// Called when a row has changed.
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

  /// @return True once the table was read.
  bool known() const { return this->follower.has_table(); }  // NOLINT

  const std::map<std::string, Row, std::less<>>& rows() const {  // NOLINT
    return this->known_rows;
  }

  /// Answered from what is known here. kUnavailable before the table was read,
  /// and for a moment after a write whose outcome the known rows do not tell.
  void Read(std::vector<std::string> keys, ReadCallback callback) override;
  void Scan(std::string prefix,
            std::string after,
            size_t limit,
            ReadCallback callback) override;

  /// Takes transactions of one checked row. kUnavailable while another write
  /// is in progress.
  void Commit(Transaction transaction, CommitCallback callback) override;

  uint64_t calls() const {  // NOLINT
    return this->follower.calls() + this->write_calls;
  }

  void OnTable(StoreTable table, const std::vector<StoreRow>& rows) override;
  void OnChanges(StoreTable table, const std::vector<StoreRow>& rows) override;
  void OnRegained(StoreTable, absl::Duration) override {}

 private:
  bool Trusted() const;
  void Apply(const Row& row);
  void OnConflict(const std::string& key, std::string_view body);
  CommitOutcome OnWritten(Row row, const CallAnswer& answer);

  const StoreCodec& codec;
  EventLog& log;
  const Clock& clock;
  TableFollower follower;
  CallClient writer;
  std::map<std::string, Row, std::less<>> known_rows;
  OnChange on_change;
  bool writing = false;
  uint64_t write_calls = 0;
  absl::Time distrusted_until = absl::InfinitePast();
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_CONTROL_TABLE_H_
