#ifndef CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSION_SWEEPER_H_
#define CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSION_SWEEPER_H_

// Removes rows of streams that their instances have left in the store, because
// they ended first or because a write was performed late. All instances take
// part, so that it does not matter which of them come back.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/stream_version_records.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/store/store_codec.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class StreamVersionSweeper {
 public:
  /// @param codec, log, clock, random Must outlive this object.
  StreamVersionSweeper(std::unique_ptr<HttpCaller> caller,
                       const StoreCodec& codec,
                       EventLog& log,
                       const Clock& clock,
                       Random& random);

  /// Begins a sweep if one is due. To be called several times per second.
  /// @param instances Number of instances that share the work.
  void Tick(size_t instances);

  /// Versions of rows are not comparable with earlier ones any more.
  void OnStoreRestored();

  /// Cancels the call in progress.
  void Stop() { this->caller->Cancel(); }

  uint64_t store_calls() const { return this->store_call_count; }  // NOLINT

 private:
  void ScheduleNext();
  void ReadPage(const std::string& from);
  void OnPage(const HttpResult& answer);
  void RemoveRows();
  void End();

  const std::unique_ptr<HttpCaller> caller;
  const StoreCodec& codec;
  EventLog& log;
  const Clock& clock;
  Random& random;
  size_t instances = 0;
  bool in_progress = false;
  std::optional<absl::Time> due;
  /// Version of the store at the earlier sweep: rows that are not newer are
  /// older than kMaxRowAge.
  std::optional<uint64_t> earlier_version;
  uint64_t era = 0;                 // Of the store, as the last page named it.
  std::optional<uint64_t> version;  // When this sweep began.
  bool has_rows = false;
  std::vector<StoreRow> old_rows;
  std::string next_key;  // Of the next page; empty at the end.
  int part = 0;          // The one that is being swept.
  uint64_t store_call_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSION_SWEEPER_H_
