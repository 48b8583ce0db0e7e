#include "cranberryhill/store/direct_table.h"

#include <utility>

namespace cranberryhill::gateway {
namespace {

/// A call that is not answered by then is given up; the lease that it may serve
/// is renewed well before it ends.
constexpr absl::Duration kCallTimeout = absl::Seconds(1);

constexpr int kOk = 200;
constexpr int kConflictStatus = 412;

Error UnavailableError(std::string_view why) {
  return {ErrorCode::kUnavailable, "table", "", std::string(why)};
}

}  // namespace

DirectTable::DirectTable(StoreTable table,
                         std::unique_ptr<HttpCaller> reader,
                         std::unique_ptr<HttpCaller> writer,
                         const StoreCodec& codec,
                         EventLog& log)
    : table(table),
      reader(std::move(reader)),
      writer(std::move(writer)),
      codec(codec),
      log(log) {}

void DirectTable::LearnEra(const HttpResult& answer) {
  if (auto era = this->codec.DecodeEra(answer.headers))
    this->last_era = *era;
}

void DirectTable::Read(std::vector<std::string> keys, ReadCallback callback) {
  if (keys.size() != 1 || this->reads)
    return callback(UnavailableError("makes one read of one row at a time"));
  this->reads = true;
  ++this->call_count;
  std::string key = std::move(keys.front());
  http1::OutgoingRequest call = this->codec.EncodeReadRow(this->table, key);
  this->reader->Call(
      call, kCallTimeout,
      [this, key, callback = std::move(callback)](const HttpResult& answer) {
        this->reads = false;
        callback(this->OnRead(key, answer));
      });
}

ReadOutcome DirectTable::OnRead(const std::string& key,
                                const HttpResult& answer) {
  this->LearnEra(answer);
  if (answer.status != kOk)
    return UnavailableError(answer.reason);
  auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
  if (!page.ok()) {
    this->log.Write(LogEvent("store_row_unreadable")
                        .Add("key", key)
                        .Add("reason", page.error().ToString()));
    return page.error();
  }
  std::vector<Row> found;
  for (const StoreRow& row : page.value().rows) {
    if (row.key == key && !row.removed)
      found.push_back({row.key, row.version, row.value});
  }
  return found;
}

void DirectTable::Scan(std::string /*prefix*/,
                       std::string /*after*/,
                       size_t /*limit*/,
                       ReadCallback callback) {
  callback(UnavailableError("is not read by ranges"));
}

void DirectTable::Commit(Transaction transaction, CommitCallback callback) {
  bool one_row = transaction.checks.size() == 1 &&
                 transaction.puts.size() == 1 && transaction.deletes.empty() &&
                 transaction.checks[0].key == transaction.puts[0].key;
  if (!one_row || this->writes)
    return callback({CommitState::kUnavailable, ""});
  this->writes = true;
  ++this->call_count;
  const RowPut& put = transaction.puts[0];
  http1::OutgoingRequest call = this->codec.EncodeWrite(
      this->table, put.key, put.value, transaction.checks[0].version);
  this->writer->Call(call, kCallTimeout,
                     [this, key = put.key, callback = std::move(callback)](
                         const HttpResult& answer) {
                       this->writes = false;
                       callback(this->OnWritten(key, answer));
                     });
}

CommitOutcome DirectTable::OnWritten(const std::string& key,
                                     const HttpResult& answer) {
  this->LearnEra(answer);
  if (answer.status == kOk)
    return {CommitState::kCommitted, ""};
  this->log.Write(LogEvent("store_write_failed")
                      .Add("key", key)
                      .Add("status", answer.status)
                      .Add("reason", answer.reason));
  if (answer.status == kConflictStatus)
    return {CommitState::kConflict, key};
  bool may_have_taken_effect = answer.sent && answer.status == 0;
  return {
      may_have_taken_effect ? CommitState::kUnknown : CommitState::kUnavailable,
      ""};
}

}  // namespace cranberryhill::gateway
