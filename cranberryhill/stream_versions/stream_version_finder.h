#ifndef CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSION_FINDER_H_
#define CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSION_FINDER_H_

// Looks up the software versions of single streams in the store. The row of a
// stream is written before its first event is passed on.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/stream_version_records.h"
#include "cranberryhill/store/delay_timer.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/store/store_codec.h"

namespace cranberryhill::gateway {

/// What the store said of a stream.
struct StreamVersionLookup {
  std::optional<forward::StreamVersionRecord> record;
  /// True if the store has answered that it has no row of the stream.
  bool has_no_row = false;
  uint64_t era = 0;  ///< Of the store; 0 if the answer does not name it.
};

/// Not thread-safe.
class StreamVersionFinder {
 public:
  using Callback = std::function<void(const StreamVersionLookup& lookup)>;
  using AnswerObserver = std::function<void(const HttpResult& answer)>;

  /// @param readers As many reads may be in progress at once; others wait.
  /// @param on_answer Called with each answer of the store.
  /// @param codec, log, clock, random Must outlive this object.
  StreamVersionFinder(std::vector<std::unique_ptr<HttpCaller>> readers,
                      std::unique_ptr<DelayTimer> timer,
                      AnswerObserver on_answer,
                      const StoreCodec& codec,
                      EventLog& log,
                      const Clock& clock,
                      Random& random);

  /// Finds the record of a stream.
  /// @param wait Longest time until `done` is called.
  /// @param done Called once, unless Stop() is called first; without a record
  ///     if the stream has no row, or the store did not answer in time.
  void Find(std::string_view attempt_id, absl::Duration wait, Callback done);

  /// Cancels the reads in progress; callbacks are not called any more.
  void Stop();

  uint64_t reads() const { return this->read_count; }  // NOLINT

 private:
  struct PendingFind {
    std::string attempt_id;
    absl::Time started_at;
    absl::Time deadline;
    absl::Time look_at;  // When to read next.
    int looks = 0;
    int failed_looks = 0;  // In a row.
    std::string last_outcome;
    Callback done;
  };

  void Continue();
  void EndExpired();
  void Read(size_t reader, std::shared_ptr<PendingFind> find);
  void OnRead(size_t reader,
              const std::shared_ptr<PendingFind>& find,
              const HttpResult& answer);
  void End(const std::shared_ptr<PendingFind>& find,
           const StreamVersionLookup& lookup);

  const std::vector<std::unique_ptr<HttpCaller>> readers;
  const std::unique_ptr<DelayTimer> timer;
  const AnswerObserver on_answer;
  const StoreCodec& codec;
  EventLog& log;
  const Clock& clock;
  Random& random;
  std::vector<std::shared_ptr<PendingFind>> finds;
  /// What each reader is reading for; null while it is idle.
  std::vector<std::shared_ptr<PendingFind>> being_read;
  uint64_t read_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSION_FINDER_H_
