#ifndef CRANBERRYHILL_FORWARD_REPLICA_CRASH_QUARANTINE_H_
#define CRANBERRYHILL_FORWARD_REPLICA_CRASH_QUARANTINE_H_

// Distinguishes crashes of replicas from broken connections. A request counts
// as the cause of a crash only when the replica that broke off its answer
// cannot be reached right afterwards.
//
//   ReplicaCrashQuarantine crashes(quarantine, part_quarantine, clock);
//   crashes.OnBrokenAnswer("i-7f3a", {fingerprint, started, started_ms,
//   prompt}); crashes.OnUnreachable("i-7f3a");  // Counts as a crash of the
//   fingerprint.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/forward/prompt.h"
#include "cranberryhill/forward/prompt_part_quarantine.h"
#include "cranberryhill/request/crash_quarantine.h"

namespace cranberryhill::forward {

/// A send whose connection ended before the answer was complete.
struct BrokenSend {
  uint64_t fingerprint = 0;  ///< Of the request.
  absl::Time started;
  /// Set if the answer had begun, but no whole event had arrived.
  std::optional<PromptDescription> begun_prompt;
};

/// What the crash of a replica showed.
struct CrashFindings {
  size_t suspects = 0;  ///< Requests that now count as the cause of a crash.
  std::vector<uint64_t> quarantined_parts;  ///< Newly, because of this crash.
};

/// Not thread-safe.
class ReplicaCrashQuarantine {
 public:
  /// @param quarantine, part_quarantine, clock Must outlive this object.
  ReplicaCrashQuarantine(CrashQuarantine& quarantine,
                         PromptPartQuarantine& part_quarantine,
                         const Clock& clock)
      : quarantine(quarantine),
        part_quarantine(part_quarantine),
        clock(clock) {}

  /// Records that a connection ended before the answer was complete.
  void OnBrokenAnswer(std::string_view replica, BrokenSend send);

  /// Records that the replica refuses connections.
  CrashFindings OnUnreachable(std::string_view replica);

 private:
  struct BrokenAnswer {
    BrokenSend send;
    absl::Time broken_at;
  };

  CrashQuarantine& quarantine;
  PromptPartQuarantine& part_quarantine;
  const Clock& clock;
  absl::flat_hash_map<std::string, std::vector<BrokenAnswer>> broken_answers;
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_REPLICA_CRASH_QUARANTINE_H_
