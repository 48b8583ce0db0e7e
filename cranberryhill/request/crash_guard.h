#ifndef CRANBERRYHILL_REQUEST_CRASH_GUARD_H_
#define CRANBERRYHILL_REQUEST_CRASH_GUARD_H_

// Finds requests that crash engines and bounds how many they may crash.
//
//   CrashGuard guard(CrashGuardPolicy{});
//   guard.OnEngineCrashed(streams, now);
//   if (guard.StandingOf(fingerprint, now) == CrashStanding::kSuspect)
//     ...run it alone...

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/request/request_life.h"

namespace cranberryhill {

/// @return The fingerprint of a request, equal on all instances.
uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view model,
                            std::string_view prompt);

struct CrashGuardPolicy {
  /// A stream that started later than this before the crash is a suspect.
  absl::Duration fresh = absl::Seconds(2);
  /// How long a suspect or condemned fingerprint is remembered.
  absl::Duration memory = absl::Minutes(10);
  size_t max_entries = 4096;
};

/// A stream that was running on an engine when the engine crashed.
struct CrashedStream {
  uint64_t fingerprint = 0;
  absl::Time started;
  bool in_prefill = false;  ///< No token of this attempt had arrived.
};

/// What instances tell each other about one fingerprint.
struct CrashEntry {
  uint64_t fingerprint = 0;
  uint8_t crashes = 0;
};

/// Not thread-safe.
class CrashGuard : public CrashStandings {
 public:
  explicit CrashGuard(CrashGuardPolicy policy) : policy(policy) {}

  /// Records the crash of an engine.
  /// @param streams The instance's own streams on it.
  /// @return The number of streams that became suspect or condemned.
  size_t OnEngineCrashed(std::span<const CrashedStream> streams,
                         absl::Time now);

  /// Takes over what a peer knows; counts are merged by the larger value, so
  /// a repeated message changes nothing.
  void Absorb(std::span<const CrashEntry> entries, absl::Time now);

  /// @param limit Largest number of entries returned.
  /// @return Condemned fingerprints first, then suspects, newest first.
  std::vector<CrashEntry> Entries(size_t limit, absl::Time now) const;

  /// Clears a suspect that ran alone and ended without a crash.
  void OnRanAlone(uint64_t fingerprint);

  CrashStanding StandingOf(uint64_t fingerprint, absl::Time now) override;

  /// @return True when some fingerprint is suspect.
  bool HasSuspects(absl::Time now) const;

  size_t size() const { return this->records.size(); }  // NOLINT

 private:
  struct Record {
    uint8_t crashes = 0;
    absl::Time last;
  };

  void Note(uint64_t fingerprint, uint8_t crashes, absl::Time now);
  void MakeRoom();

  CrashGuardPolicy policy;
  absl::flat_hash_map<uint64_t, Record> records;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_REQUEST_CRASH_GUARD_H_
