#ifndef CRANBERRYHILL_STORE_DIRECT_TABLE_H_
#define CRANBERRYHILL_STORE_DIRECT_TABLE_H_

// A table of the store that few instances use and none follows: each read and
// each write is a call. Rows that change every few seconds belong here, because
// a change of a followed table is read by all instances.
//
//   DirectTable table(StoreTable::kDuties, reader, writer, codec, log);
//   LeaseManager lease(settings, table, clock, random);

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/store/store_codec.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill::gateway {

/// Not thread-safe. Makes one read and one write at a time; others get
/// kUnavailable meanwhile.
class DirectTable : public TableService {
 public:
  /// @param reader, writer Make calls to the store.
  /// @param codec, log Must outlive this object.
  DirectTable(StoreTable table,
              std::unique_ptr<HttpCaller> reader,
              std::unique_ptr<HttpCaller> writer,
              const StoreCodec& codec,
              EventLog& log);

  /// Reads one row; more keys are kUnavailable.
  void Read(std::vector<std::string> keys, ReadCallback callback) override;

  /// Always kUnavailable.
  void Scan(std::string prefix,
            std::string after,
            size_t limit,
            ReadCallback callback) override;

  /// Accepts only transactions that check and write one and the same row.
  void Commit(Transaction transaction, CommitCallback callback) override;

  /// @return The era of the store as its last answer names it; 0 before.
  uint64_t era() const { return this->last_era; }  // NOLINT

  /// @return Number of calls made to the store.
  uint64_t calls() const { return this->call_count; }  // NOLINT

 private:
  void LearnEra(const HttpResult& answer);
  ReadOutcome OnRead(const std::string& key, const HttpResult& answer);
  CommitOutcome OnWritten(const std::string& key, const HttpResult& answer);

  const StoreTable table;
  const std::unique_ptr<HttpCaller> reader;
  const std::unique_ptr<HttpCaller> writer;
  const StoreCodec& codec;
  EventLog& log;
  bool reads = false;
  bool writes = false;
  uint64_t last_era = 0;
  uint64_t call_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_DIRECT_TABLE_H_
