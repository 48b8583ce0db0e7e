#ifndef CRANBERRYHILL_LEASE_HANDOVER_LEASE_H_
#define CRANBERRYHILL_LEASE_HANDOVER_LEASE_H_

// A lease for orders to receivers that may not check fencing numbers: an
// instance may act only while it holds the lease, and only when the previous
// holder cannot have acted for some time.
//
//   HandoverLease lease(settings, table, clock, random);
//   lease.Tick(work_is_due, rank);  // Several times a second.
//   if (auto grant = lease.GrantToAct())
//     ...send an order with grant->fencing_number...

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/lease/lease_manager.h"
#include "cranberryhill/lease/lease_record.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

struct HandoverLeaseSettings {
  std::string key;     ///< Key of the lease row.
  std::string holder;  ///< Id of this instance.
  /// How long the lease is valid after each write of the row.
  absl::Duration term = absl::Seconds(5);
  absl::Duration renew_interval = absl::Seconds(2);
  absl::Duration poll_interval = absl::Milliseconds(500);
  /// Minimum time between the orders of two holders.
  absl::Duration handover_gap = absl::Seconds(3);
  /// An order is sent only if the lease is valid for at least this long. An
  /// order must arrive within this time or not at all.
  absl::Duration delivery_time = absl::Seconds(1);
  /// The lease is released when it has not been needed for so long.
  absl::Duration release_after_idle = absl::Seconds(4);
};

/// What a call of Tick() has changed.
enum class LeaseChange { kNone, kAcquired, kLost, kReleased };

/// Not thread-safe.
class HandoverLease {
 public:
  /// @param table, clock, random Must outlive this object.
  HandoverLease(HandoverLeaseSettings settings,
                TableService& table,
                const Clock& clock,
                Random& random);

  /// Tries to acquire the lease while it is needed, renews it, and releases it
  /// some time afterwards, so that the next holder need not wait until it
  /// expires.
  /// @param rank Number of live instances that come before this one. Those with
  ///     low ranks try first.
  LeaseChange Tick(bool needed, size_t rank);

  /// Ends the grant at once and releases the lease, if this instance holds it,
  /// during further calls of Tick(). To be called before the process ends, when
  /// no order is active.
  void Release();

  /// Records a row of the lease that was read elsewhere.
  /// @param value Of the row.
  void ObserveRow(uint64_t version, std::string_view value);

  /// Gives up the lease when the store has been restored from an older copy:
  /// its row may be lost, and so may be that of another holder. That may also
  /// have happened shortly before this process started, so the first era of a
  /// process makes it wait as well, unless it is the first one of the store.
  /// @param era Of the store; 0 while it is not known.
  /// @return True if the lease was reset because the era has changed.
  bool ObserveEra(uint64_t era);

  /// @return The grant if an order may be sent now.
  std::optional<LeaseGrant> GrantToAct() const;

  /// @return The grant while this instance holds the lease, also if it must not
  ///     act yet.
  std::optional<LeaseGrant> Grant() const { return this->lease->Grant(); }

  bool holds() const { return this->is_holder; }  // NOLINT

  /// @return Time since the previous holder could last act.
  absl::Duration TimeSinceOtherHolder() const {
    return this->clock.Now() - this->other_holder_ended_at;
  }

 private:
  void Reset();
  void ObserveForeignRecord(const LeaseRecord& record);
  void ObserveRecordOfLease();

  const HandoverLeaseSettings settings;
  TableService& table;
  const Clock& clock;
  Random& random;
  std::unique_ptr<LeaseManager> lease;
  bool is_holder = false;
  bool is_releasing = false;
  uint64_t era = 0;
  absl::Time needed_at;
  absl::Time acquire_from = absl::InfiniteFuture();
  uint64_t observed_version = kAbsentVersion;
  std::string observed_nonce;
  // The process does not try before to acquire the lease.
  absl::Time may_acquire_from = absl::InfinitePast();
  // By this time the previous holder can no longer send orders.
  absl::Time other_holder_ended_at = absl::InfinitePast();
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_LEASE_HANDOVER_LEASE_H_
