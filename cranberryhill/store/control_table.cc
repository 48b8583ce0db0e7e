#include "cranberryhill/store/control_table.h"

#include <utility>

namespace cranberryhill::gateway {
namespace {

constexpr absl::Duration kWriteTimeout = absl::Seconds(1);
/// If a write with an unknown outcome took effect, the long poll returns it
/// within this time. Until then reads fail, because the cached rows may be
/// older than the write and a caller that reads them would repeat the write at
/// once. With 66 instances, such repeated writes reached 4,300 calls per
/// second.
constexpr absl::Duration kMaxLongPollDelay = absl::Seconds(1);
constexpr int kOk = 200;
constexpr int kConflictStatus = 412;

Error StaleRowsError() {
  return Error{ErrorCode::kUnavailable, "control table", "",
               "the cache is not loaded or may be older than the last write"};
}

}  // namespace

ControlTable::ControlTable(boost::asio::io_context& io,
                           const boost::asio::ip::tcp::endpoint& store,
                           const StoreCodec& codec,
                           EventLog& log,
                           const Clock& clock,
                           Random& random)
    : codec(codec),
      log(log),
      clock(clock),
      follower(StoreTable::kControl,
               std::make_unique<SerialHttpClient>(io, store, clock),
               std::make_unique<AsioDelayTimer>(io),
               codec,
               *this,
               log,
               clock,
               random),
      writer{{io, store, clock}},
      independent_writer{{io, store, clock}} {}

bool ControlTable::HasCurrentRows(const Writer& writer) const {
  return this->loaded() && !this->follower.NeedsSnapshot() &&
         this->clock.Now() >= writer.stale_until;
}

void ControlTable::Stop() {
  this->follower.Stop();
  this->writer.client.Cancel();
  this->independent_writer.client.Cancel();
}

void ControlTable::Read(std::vector<std::string> keys, ReadCallback callback) {
  if (!this->HasCurrentRows(this->writer))
    return callback(StaleRowsError());
  std::vector<Row> found;
  for (const std::string& key : keys) {
    auto row = this->cached_rows.find(key);
    if (row != this->cached_rows.end())
      found.push_back(row->second);
  }
  callback(found);
}

void ControlTable::Scan(std::string prefix,
                        std::string after,
                        size_t limit,
                        ReadCallback callback) {
  if (!this->HasCurrentRows(this->writer))
    return callback(StaleRowsError());
  std::vector<Row> found;
  for (auto row = this->cached_rows.lower_bound(prefix);
       row != this->cached_rows.end() && found.size() < limit &&
       row->first.starts_with(prefix);
       ++row) {
    if (row->first > after)
      found.push_back(row->second);
  }
  callback(found);
}

std::optional<Row> ControlTable::FindIndependently(std::string_view key) const {
  if (!this->HasCurrentRows(this->independent_writer))
    return std::nullopt;
  auto row = this->cached_rows.find(key);
  return row == this->cached_rows.end()
             ? Row{std::string(key), kAbsentVersion, ""}
             : row->second;
}

void ControlTable::Commit(Transaction transaction, CommitCallback callback) {
  this->Write(this->writer, std::move(transaction), std::move(callback));
}

void ControlTable::CommitIndependently(Transaction transaction,
                                       CommitCallback callback) {
  this->Write(this->independent_writer, std::move(transaction),
              std::move(callback));
}

void ControlTable::Write(Writer& writer,
                         Transaction transaction,
                         CommitCallback callback) {
  bool one_row = transaction.checks.size() == 1 &&
                 transaction.puts.size() == 1 && transaction.deletes.empty() &&
                 transaction.checks[0].key == transaction.puts[0].key;
  if (!one_row || writer.write_in_progress)
    return callback({CommitState::kUnavailable, ""});
  Row row{transaction.puts[0].key, 0, transaction.puts[0].value};
  writer.write_in_progress = true;
  ++this->write_calls;
  http1::OutgoingRequest call = this->codec.EncodeWrite(
      StoreTable::kControl, row.key, row.value, transaction.checks[0].version);
  writer.client.Call(call, kWriteTimeout,
                     [this, &writer, row, callback = std::move(callback)](
                         const HttpResult& answer) {
                       writer.write_in_progress = false;
                       callback(this->OnWriteDone(writer, row, answer));
                     });
}

CommitOutcome ControlTable::OnWriteDone(Writer& writer,
                                        Row row,
                                        const HttpResult& answer) {
  std::string reason = answer.reason;
  auto era = this->codec.DecodeEra(answer.headers);
  if (era && this->era() != 0 && *era != this->era()) {
    // The write is lost, or was applied to rows that this instance has not
    // read.
    this->log.Write(LogEvent("store_write_crossed_restore")
                        .Add("key", row.key)
                        .Add("status", answer.status)
                        .Add("era", *era)
                        .Add("own_era", this->era()));
    this->follower.OnEraSeenElsewhere(*era);
    return {CommitState::kUnknown, ""};
  }
  if (answer.status == kOk) {
    auto version =
        Capture([&] { return this->codec.DecodeWrite(answer.body); });
    if (version.ok()) {
      row.version = version.value();
      this->Apply(row);
      return {CommitState::kCommitted, ""};
    }
    reason = version.error().ToString();
  }
  this->log.Write(LogEvent("store_write_failed")
                      .Add("key", row.key)
                      .Add("status", answer.status)
                      .Add("reason", reason));
  if (answer.status == kConflictStatus) {
    this->follower.EndPause();
    this->OnConflict(writer, row.key, answer.body);
    return {CommitState::kConflict, row.key};
  }
  bool may_have_taken_effect =
      answer.sent && (answer.status == 0 || answer.status == kOk);
  if (!may_have_taken_effect)
    return {CommitState::kUnavailable, ""};
  writer.stale_until = this->clock.Now() + kMaxLongPollDelay;
  return {CommitState::kUnknown, ""};
}

/// @param body Holds the current rows, whose versions differ from those that
///     the write expected.
void ControlTable::OnConflict(Writer& writer,
                              const std::string& key,
                              std::string_view body) {
  auto version = [this, &key] {
    auto row = this->cached_rows.find(key);
    return row == this->cached_rows.end() ? kAbsentVersion
                                          : row->second.version;
  };
  uint64_t known = version();
  auto page = Capture([&] { return this->codec.DecodePage(body); });
  if (page.ok())
    this->OnChanges(StoreTable::kControl, page.value().rows);
  if (version() == known)
    writer.stale_until = this->clock.Now() + kMaxLongPollDelay;
}

void ControlTable::OnSnapshot(StoreTable /*table*/,
                              SnapshotKind kind,
                              const std::vector<StoreRow>& rows) {
  // Rows of this table are never removed, so a snapshot can only add or update
  // rows, unless the store has lost some.
  if (kind == SnapshotKind::kRestored)
    this->cached_rows.clear();
  for (const StoreRow& row : rows)
    this->Apply({row.key, row.version, row.value});
  // An empty table has been read, too.
  if (this->on_change)
    this->on_change("");
}

void ControlTable::OnChanges(StoreTable /*table*/,
                             const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows)
    this->Apply({row.key, row.version, row.value});
}

void ControlTable::Apply(const Row& row) {
  Row& known = this->cached_rows[row.key];
  // The answer to a write and the long poll that returns the same row may
  // arrive in either order.
  if (row.version <= known.version)
    return;
  known = row;
  if (this->on_change)
    this->on_change(row.key);
}

}  // namespace cranberryhill::gateway
