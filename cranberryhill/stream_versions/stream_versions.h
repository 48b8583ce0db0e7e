#ifndef CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSIONS_H_
#define CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSIONS_H_

// Knows at which software version of its service each stream began. A stream
// may go on only at replicas of that version.

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace cranberryhill::gateway {

/// Where a stream began.
struct StreamOrigin {
  std::string service;
  std::string version;  ///< Of the software of the service's replicas.
};

/// Which streams need a record.
enum class RecordRule {
  kAwayFromBase,  ///< Those that begin at another version than the base.
  kAlways,        ///< This one also at the base: other instances may take it
                  ///< for one of another service.
};

/// Not thread-safe.
class StreamVersions {
 public:
  using Callback = std::function<void(std::optional<StreamOrigin> origin)>;

  virtual ~StreamVersions() = default;

  /// Records the version of a stream before its first event is passed on, so
  /// that all instances can find it from then on.
  /// @param done Called at once or later. With false if the record is needed
  /// and
  ///     was not stored in time.
  virtual void Prepare(std::string_view service,
                       std::string_view attempt_id,
                       std::string_view version,
                       RecordRule rule,
                       std::function<void(bool prepared)> done) = 0;

  /// @return True if a stream may begin at this version without a record: no
  ///     take-up can go on at another one for want of it.
  virtual bool MayBeginUnrecorded(std::string_view service,
                                  std::string_view version) = 0;

  /// Drops a record that was asked for.
  /// @return True if the store has no record of the attempt, and gets none.
  virtual bool Withdraw(std::string_view attempt_id) = 0;

  /// Remembers that the first event of a stream came from a replica of this
  /// version.
  virtual void OnStreamBegan(std::string_view service,
                             std::string_view attempt_id,
                             std::string_view version) = 0;

  /// @return True if streams that begin at this version need no record, or if
  ///     no version is known to need none.
  virtual bool NeedsNoRecord(std::string_view service,
                             std::string_view version) = 0;

  /// @return False while the store does not take records.
  virtual bool CanRecord() const = 0;

  /// @return True if the store turns this instance away, but not its peers.
  virtual bool IsTurnedAway() const = 0;

  /// @return True if streams that begin at this version need a record, which
  ///     another instance can have stored but this one cannot.
  virtual bool NeedsRecordOfPeer(std::string_view service,
                                 std::string_view version) = 0;

  /// Finds out where the attempt began its stream. Calls `done` at once or
  /// within `wait`; with nothing if nobody knows.
  /// @param service Where it began if it has no record.
  /// @param wait Longest time that the caller's request may wait.
  virtual void Find(std::string_view service,
                    std::string_view attempt_id,
                    absl::Duration wait,
                    Callback done) = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STREAM_VERSIONS_STREAM_VERSIONS_H_
