#ifndef CRANBERRYHILL_REQUEST_CRASH_QUARANTINE_H_
#define CRANBERRYHILL_REQUEST_CRASH_QUARANTINE_H_

// Detects requests that crash engines and limits the number of engines that one
// request can crash. The fingerprint of a request is clean at first. It becomes
// suspect after one crash and quarantined after two.
//
//   CrashQuarantine quarantine(CrashQuarantinePolicy{});
//   quarantine.OnEngineCrashed(streams, now);
//   if (quarantine.StatusOf(fingerprint, now) == CrashStatus::kSuspect)
//     ...run the request alone...

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/request/request_state_machine.h"

namespace cranberryhill {

/// @return The fingerprint of a request. It is the same on all instances.
uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view model,
                            std::string_view prompt);

struct CrashQuarantinePolicy {
  /// A stream becomes suspect if it started at most this long before a crash or
  /// was still in prefill.
  absl::Duration max_suspect_age = absl::Seconds(2);
  /// Time after which a suspect or quarantined fingerprint is clean again.
  absl::Duration retention = absl::Minutes(10);
  size_t max_entries = 4096;
};

/// A stream that was running on an engine when the engine crashed.
struct CrashedStream {
  uint64_t fingerprint = 0;
  absl::Time started;
  bool in_prefill = false;  ///< True if no token of the attempt had arrived.
};

/// Number of crashes of one fingerprint, as instances report it to each other.
struct CrashEntry {
  uint64_t fingerprint = 0;
  uint8_t crashes = 0;
};

/// A quarantined fingerprint, as it is kept over a restart of all instances.
struct QuarantinedRequest {
  uint64_t fingerprint = 0;
  absl::Duration remaining;  ///< Time until it is clean again.
};

/// Records the fingerprints of requests that may have crashed engines. Not
/// thread-safe.
class CrashQuarantine : public CrashStatusSource {
 public:
  explicit CrashQuarantine(CrashQuarantinePolicy policy) : policy(policy) {}

  /// Records the crash of an engine.
  /// @param streams The streams of this instance that ran on the engine.
  /// @return The number of streams that became suspect or quarantined.
  size_t OnEngineCrashed(std::span<const CrashedStream> streams,
                         absl::Time now);

  /// Merges the entries that a peer sent. Of two crash counts the larger one is
  /// kept, so a repeated message changes nothing.
  void Merge(std::span<const CrashEntry> entries, absl::Time now);

  /// @param limit Largest number of entries to return.
  /// @return Quarantined fingerprints and after them suspect ones, in each case
  ///     the newest first.
  std::vector<CrashEntry> Entries(size_t limit, absl::Time now) const;

  /// @return All quarantined fingerprints, in no order.
  std::vector<QuarantinedRequest> Quarantined(absl::Time now) const;

  /// Quarantines a fingerprint that instances had quarantined before. What is
  /// known from peers ends at the given time too, as they do not say when the
  /// crashes were.
  /// @param request More than the usual time counts as the usual time.
  void Restore(const QuarantinedRequest& request, absl::Time now);

  /// Makes a suspect fingerprint clean, as its request ran alone without a
  /// crash.
  void OnRanAlone(uint64_t fingerprint);

  CrashStatus StatusOf(uint64_t fingerprint, absl::Time now) override;

  /// @return True if any fingerprint is suspect.
  bool HasSuspects(absl::Time now) const;

  size_t size() const { return this->records.size(); }  // NOLINT

 private:
  struct Record {
    uint8_t crashes = 0;
    absl::Time last_seen_at;
    bool own = false;  // This instance has seen the last crash itself.
  };

  void RecordCrashes(uint64_t fingerprint, uint8_t crashes, absl::Time now);
  void RemoveOldest();

  CrashQuarantinePolicy policy;
  absl::flat_hash_map<uint64_t, Record> records;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_REQUEST_CRASH_QUARANTINE_H_
