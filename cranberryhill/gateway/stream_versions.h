#ifndef CRANBERRYHILL_GATEWAY_STREAM_VERSIONS_H_
#define CRANBERRYHILL_GATEWAY_STREAM_VERSIONS_H_

// Knows at which software version of its service each stream began. A stream
// may go on only at replicas of that version.

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class StreamVersions {
 public:
  using Callback = std::function<void(std::optional<std::string> version)>;

  virtual ~StreamVersions() = default;

  /// Records that the first event of a stream came from a replica of this
  /// version.
  virtual void OnStreamBegan(std::string_view service,
                             std::string_view attempt_id,
                             std::string_view version) = 0;

  /// Finds the software version at which the attempt began its stream. Calls
  /// `done` at once or within `wait`; with nothing if nobody knows.
  /// @param wait Longest time that the caller's request may wait.
  virtual void Find(std::string_view service,
                    std::string_view attempt_id,
                    absl::Duration wait,
                    Callback done) = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_STREAM_VERSIONS_H_
