#ifndef CRANBERRYHILL_LEASE_LEASE_MANAGER_H_
#define CRANBERRYHILL_LEASE_LEASE_MANAGER_H_

// Acquires, renews and releases one lease row. Whether the lease is held is
// decided by this instance's clock alone.
//
//   LeaseKeeper keeper(settings, table, clock, random);
//   keeper.Tick();                       // every 100 ms to 250 ms
//   if (auto grant = keeper.Grant())
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
  std::string key;      ///< Row key, see LeaseRowKey().
  std::string holder;   ///< Id of this instance.
  std::string address;  ///< Published in the row.
  absl::Duration term = absl::Seconds(6);
  absl::Duration renew_interval = absl::Seconds(2);
  absl::Duration poll_interval = absl::Seconds(1);
  /// Subtracted from the holder's validity and added to a challenger's wait.
  absl::Duration margin = absl::Milliseconds(500);
  /// A table call without an answer for this long is given up.
  absl::Duration call_timeout = absl::Seconds(2);
};

/// A lease that is held at the time of the call.
struct LeaseGrant {
  uint64_t fencing_number = 0;
  /// Version of the lease row, to be checked by commits of the holder.
  uint64_t row_version = 0;
  absl::Time valid_until;  ///< On this instance's clock.
  absl::Time acquired;     ///< When this holder's term of office was confirmed.
};

/// Not thread-safe. Callbacks of calls in flight are ignored after the keeper
/// is destroyed.
class LeaseKeeper {
 public:
  /// @param table,clock,random Must outlive this object.
  LeaseKeeper(LeaseSettings settings,
              TableService& table,
              const Clock& clock,
              Random& random);
  ~LeaseKeeper();

  LeaseKeeper(const LeaseKeeper&) = delete;
  LeaseKeeper& operator=(const LeaseKeeper&) = delete;

  /// Starts reads and commits that are due. Reads the clock.
  void Tick();

  /// @return The grant while it is valid by this instance's clock and the row
  ///     version is known; nothing after Release().
  std::optional<LeaseGrant> Grant() const;

  /// Sets how often the row is read while another instance holds the lease, so
  /// that few of many candidates read often.
  void SetPollInterval(absl::Duration interval);

  /// Ends the grant at once and writes the release during further Tick()
  /// calls. The lease is not sought again. Call it when no order is active.
  void Release();

  /// @return True when Release() was called and no row names this instance as
  ///     holder any more.
  bool released() const;  // NOLINT

  /// @return The record read last, or nothing when none was read.
  const std::optional<LeaseRecord>& last_record() const;  // NOLINT

  const LeaseSettings& settings() const;  // NOLINT

 private:
  // A write whose outcome is open or that was recognised by its nonce.
  struct SentWrite {
    std::string nonce;
    uint64_t fencing_number = 0;
    absl::Time sent;
    bool release = false;
  };

  void Read();
  void OnRead(uint64_t call, const ReadOutcome& outcome);
  void OnRow(const Row* row);
  void OnOwnRow(const Row& row, const SentWrite& write);
  void OnForeignRow(const Row* row);
  void Write(uint64_t fencing_number, bool release);
  void OnCommit(uint64_t call, const CommitOutcome& outcome);
  bool MayTakeOver() const;
  const SentWrite* FindWrite(const std::string& nonce) const;
  std::string NewNonce();
  void ScheduleAfter(absl::Duration delay);

  LeaseSettings own_settings;
  TableService& table;
  const Clock& clock;
  Random& random;

  // Distinguishes answers of the current call from those of calls given up.
  uint64_t call_number = 0;
  bool call_active = false;
  absl::Time call_started;
  bool read_back_due = false;
  absl::Time next_action = absl::InfinitePast();

  std::deque<SentWrite> writes;
  std::optional<LeaseRecord> seen;
  uint64_t seen_version = 0;
  absl::Time seen_since = absl::InfinitePast();

  bool holding = false;
  LeaseGrant grant;
  absl::Time renew_from = absl::InfinitePast();
  bool releasing = false;
  bool release_done = false;

  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_LEASE_LEASE_MANAGER_H_
