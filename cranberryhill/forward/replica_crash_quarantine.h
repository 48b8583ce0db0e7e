#ifndef CRANBERRYHILL_FORWARD_REPLICA_CRASH_QUARANTINE_H_
#define CRANBERRYHILL_FORWARD_REPLICA_CRASH_QUARANTINE_H_

// Distinguishes crashes of replicas from broken connections. A request counts
// as the cause of a crash only when the replica that broke off its answer
// cannot be reached right afterwards.
//
//   ReplicaCrashQuarantine crashes(quarantine, clock);
//   crashes.OnBrokenAnswer("i-7f3a", fingerprint, started);
//   crashes.OnUnreachable("i-7f3a");  // Counts as a crash of the fingerprint.

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/request/crash_quarantine.h"

namespace cranberryhill::forward {

/// Not thread-safe.
class ReplicaCrashQuarantine {
 public:
  /// @param quarantine, clock Must outlive this object.
  ReplicaCrashQuarantine(CrashQuarantine& quarantine, const Clock& clock)
      : quarantine(quarantine), clock(clock) {}

  /// Records that a connection ended before the answer was complete.
  void OnBrokenAnswer(std::string_view replica,
                      uint64_t fingerprint,
                      absl::Time started);

  /// Records that the replica refuses connections.
  /// @return The number of requests that now count as the cause of a crash.
  size_t OnUnreachable(std::string_view replica);

 private:
  struct BrokenAnswer {
    CrashedStream stream;
    absl::Time broken_at;
  };

  CrashQuarantine& quarantine;
  const Clock& clock;
  absl::flat_hash_map<std::string, std::vector<BrokenAnswer>> broken_answers;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_REPLICA_CRASH_QUARANTINE_H_
