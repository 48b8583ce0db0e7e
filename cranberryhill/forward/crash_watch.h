#ifndef CRANBERRYHILL_FORWARD_CRASH_WATCH_H_
#define CRANBERRYHILL_FORWARD_CRASH_WATCH_H_

// Tells crashes of replicas from broken connections. A request is held
// responsible only when the replica that broke off its answer cannot be reached
// right afterwards.
//
//   CrashWatch watch(guard, clock);
//   watch.OnBroken("i-7f3a", fingerprint, started);
//   watch.OnUnreachable("i-7f3a");  // Counts as a crash for the fingerprint.

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/request/crash_quarantine.h"

namespace cranberryhill::forward {

/// Not thread-safe.
class CrashWatch {
 public:
  /// @param guard, clock Must outlive this object.
  CrashWatch(CrashQuarantine& guard, const Clock& clock)
      : guard(guard), clock(clock) {}

  /// A connection ended before the answer was whole.
  void OnBroken(std::string_view replica,
                uint64_t fingerprint,
                absl::Time started);

  /// The replica refuses connections.
  /// @return Requests that are now held responsible for a crash.
  size_t OnUnreachable(std::string_view replica);

 private:
  struct Broken {
    CrashedStream stream;
    absl::Time at;
  };

  CrashQuarantine& guard;
  const Clock& clock;
  absl::flat_hash_map<std::string, std::vector<Broken>> broken;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_CRASH_WATCH_H_
