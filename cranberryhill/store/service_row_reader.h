#ifndef CRANBERRYHILL_STORE_SERVICE_ROW_READER_H_
#define CRANBERRYHILL_STORE_SERVICE_ROW_READER_H_

// Reads rows of the control table from the store itself, for decisions that
// must not rest on a local copy of unknown age.

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/store/delay_timer.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/store/store_codec.h"

namespace cranberryhill::gateway {

/// What the store said of a row.
struct ServiceRowReading {
  std::optional<std::string> value;  ///< Nothing if there is no such row.
  uint64_t era = 0;  ///< Of the store; 0 if the answer does not name it.
};

/// Makes one read at a time. Not thread-safe.
class ServiceRowReader {
 public:
  using Callback =
      std::function<void(const std::optional<ServiceRowReading>& reading)>;

  /// @param codec, log, clock Must outlive this object.
  ServiceRowReader(std::unique_ptr<HttpCaller> caller,
                   std::unique_ptr<DelayTimer> timer,
                   const StoreCodec& codec,
                   EventLog& log,
                   const Clock& clock);

  /// Reads the row by a call that begins after this one, which others that ask
  /// for the same row until then share.
  /// @param wait Longest time until `done` is called.
  /// @param done Called once, unless Stop() is called first; with nothing if
  ///     the store did not answer in time.
  void Read(std::string_view key, absl::Duration wait, Callback done);

  /// Cancels the read in progress; callbacks are not called any more.
  void Stop();

  uint64_t reads() const { return this->read_count; }  // NOLINT

 private:
  struct PendingRead {
    std::string key;
    absl::Time deadline;
    Callback done;
  };

  void Continue();
  void EndExpired(std::deque<PendingRead>& reads);
  void Begin();
  void OnRead(const std::string& key, const HttpResult& answer);
  void OnFailed(std::string_view reason, const HttpResult& answer);

  const std::unique_ptr<HttpCaller> caller;
  const std::unique_ptr<DelayTimer> timer;
  const StoreCodec& codec;
  EventLog& log;
  const Clock& clock;
  std::deque<PendingRead> waiting;     // For a read that has not begun.
  std::deque<PendingRead> being_read;  // By the read in progress.
  bool read_in_progress = false;
  absl::Time retry_at = absl::InfinitePast();
  int failed_reads = 0;  // In a row.
  uint64_t read_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_SERVICE_ROW_READER_H_
