#ifndef CRANBERRYHILL_LEASE_LEASE_MANAGER_H_
#define CRANBERRYHILL_LEASE_LEASE_MANAGER_H_

// Acquires, renews and releases one lease, which is stored as a table row. This
// instance decides by its own clock alone whether it holds the lease.
//
//   LeaseManager manager(settings, table, clock, random);
//   manager.Tick();  // Call it every 100 ms to 250 ms.
//   if (auto grant = manager.Grant())
//     ...act with grant->fencing_number until grant->valid_until...

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/lease/lease_record.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct LeaseSettings {
  std::string key;     ///< Key of the lease row; see LeaseRowKey().
  std::string holder;  ///< Id of this instance.
  /// Address of this instance, published in the lease row.
  std::string address;
  /// How long the lease is valid after each write of the row.
  absl::Duration term = absl::Seconds(6);
  /// The holder renews the lease this long after its last write of the row.
  absl::Duration renew_interval = absl::Seconds(2);
  /// Time between reads of the row while another instance holds the lease.
  absl::Duration poll_interval = absl::Seconds(1);
  /// Safety margin. The holder stops using the lease this long before its term
  /// ends, and another instance waits this long after the term before it takes
  /// the lease over.
  absl::Duration safety_margin = absl::Milliseconds(500);
  /// Lowest fencing number that this instance writes. Numbers that were given
  /// out in rows which the table has lost must be below it.
  uint64_t min_fencing_number = 1;
  /// Time after which an unanswered table call is given up.
  absl::Duration call_timeout = absl::Seconds(2);
};

/// A lease that this instance holds at the time of the call.
struct LeaseGrant {
  uint64_t fencing_number = 0;
  /// Version of the lease row. The holder includes it as a check in its
  /// commits, so that they fail after the lease is lost.
  uint64_t row_version = 0;
  absl::Time valid_until;  ///< End of the grant on this instance's clock.
  /// When this instance learned that it had acquired the lease; renewals do not
  /// change it.
  absl::Time acquired_at;
};

/// Not thread-safe. Answers to table calls that arrive after the manager is
/// destroyed are ignored.
class LeaseManager {
 public:
  /// @param table,clock,random Must outlive this object.
  LeaseManager(LeaseSettings settings,
               TableService& table,
               const Clock& clock,
               Random& random);
  ~LeaseManager();

  LeaseManager(const LeaseManager&) = delete;
  LeaseManager& operator=(const LeaseManager&) = delete;

  /// Starts the table reads and commits that are due. Reads the clock.
  void Tick();

  /// @return The grant while it is valid by this instance's clock and the
  ///     version of the lease row is known; nothing after Release().
  std::optional<LeaseGrant> Grant() const;

  /// Sets how often the row is read while another instance holds the lease.
  /// With many candidates, only a few of them should read the row often.
  void SetPollInterval(absl::Duration interval);

  /// Ends the grant at once and writes the release to the row during further
  /// Tick() calls. The manager does not acquire the lease again. Call it when
  /// no order is active.
  void Release();

  /// @return True when Release() was called and the lease row no longer names
  ///     this instance as the current holder.
  bool released() const;  // NOLINT

  /// @return The lease record as last read, or nothing before the first read.
  const std::optional<LeaseRecord>& last_record() const;  // NOLINT

  /// @return The last record read that this manager has not written. Unlike
  ///     last_record(), it still names the former holder when the lease was
  ///     acquired right after the read.
  const std::optional<LeaseRecord>& last_foreign_record() const;  // NOLINT

  const LeaseSettings& settings() const;  // NOLINT

 private:
  // A write of the lease row whose outcome is not known yet, or the last write
  // of this instance that was found in the row by its nonce.
  struct SentWrite {
    std::string nonce;
    uint64_t fencing_number = 0;
    absl::Time sent_at;
    bool release = false;  ///< This write releases the lease.
  };

  void Read();
  void OnRead(uint64_t sent_call_id, const ReadOutcome& outcome);
  void HandleRow(const Row* row);
  void HandleOwnRow(const Row& row, const SentWrite& write);
  void HandleForeignRow(const Row* row);
  void Write(uint64_t fencing_number, bool release);
  void OnCommit(uint64_t sent_call_id, const CommitOutcome& outcome);
  bool MayTakeOver() const;
  bool WroteRecently() const;
  const SentWrite* FindWrite(const std::string& nonce) const;
  std::string NewNonce();
  void ScheduleAfter(absl::Duration delay);

  LeaseSettings own_settings;
  TableService& table;
  const Clock& clock;
  Random& random;

  // Answers to calls with another id are ignored; they belong to calls that
  // were given up.
  uint64_t call_id = 0;
  bool call_active = false;
  absl::Time call_started_at;
  /// The row must be read to learn the outcome of the last call.
  bool read_back_due = false;
  absl::Time next_action_at = absl::InfinitePast();

  std::deque<SentWrite> recent_writes;
  std::optional<LeaseRecord> last_read_record;
  std::optional<LeaseRecord> foreign_record;
  uint64_t last_read_version = 0;
  /// When the current version of the row was first read.
  absl::Time version_first_read_at = absl::InfinitePast();

  bool holds_lease = false;
  LeaseGrant grant;
  absl::Time renew_at = absl::InfinitePast();
  bool release_requested = false;
  bool release_complete = false;

  /// Callbacks hold a weak pointer to this flag and do nothing once the pointer
  /// has expired.
  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_LEASE_LEASE_MANAGER_H_
