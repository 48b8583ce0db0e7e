#ifndef CRANBERRYHILL_STORE_QUARANTINE_STORE_H_
#define CRANBERRYHILL_STORE_QUARANTINE_STORE_H_

// Keeps what the instances have quarantined over a restart of all of them, in
// one row of the store. Without it, each restart lets what crashes replicas
// crash further ones.
//
//   QuarantineStore store("quarantine/requests", list, fleet, ...);
//   store.ReadRow();  // When the row may have changed.
//   store.Tick();     // Some times a second.
//
// The instances learn of a quarantine from each other; the row is read by those
// that start. It is written only when something becomes quarantined, or is
// found sound. Entries end by the steady clock of the store, as clocks of
// instances are not comparable.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/store/delay_timer.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill::gateway {

/// The usual time of a quarantine.
inline constexpr absl::Duration kLongestQuarantine = absl::Minutes(10);

/// What ends the quarantine of an item.
enum class QuarantineEnd {
  kTime,
  /// An instance may also find the item sound, and tells its peers. It then
  /// removes the entry, so that no instance that starts later takes it over.
  kTimeOrSoundAnswer,
};

struct QuarantinedItem {
  uint64_t id = 0;  ///< The same on all instances.
  absl::Duration remaining;
  /// False for an item that may prove to be sound. It is not stored, as those
  /// that restart could not know better.
  bool is_certain = true;
};

/// What this instance has quarantined, of one kind.
class QuarantineList {
 public:
  virtual ~QuarantineList() = default;

  /// @return All items with time remaining, in no order.
  virtual std::vector<QuarantinedItem> Items() const = 0;

  /// Quarantines an item that instances had quarantined before.
  virtual void Restore(const QuarantinedItem& item) = 0;
};

/// The fleet and its rows in the store.
class QuarantineFleet {
 public:
  virtual ~QuarantineFleet() = default;

  /// @return The number of instances, this one included; nothing until it is
  ///     known.
  virtual std::optional<size_t> InstanceCount() const = 0;

  /// @return The row in the local copy, with kAbsentVersion if there is none.
  ///     Nothing while the copy may be out of date.
  virtual std::optional<Row> FindRow(std::string_view key) const = 0;

  /// @return The era of the rows.
  virtual uint64_t StoreEra() const = 0;

  /// @return The reading of the store's steady clock; nothing until it is
  /// known.
  virtual std::optional<absl::Time> StoreTime() const = 0;

  virtual void CommitRow(Transaction transaction, CommitCallback callback) = 0;

  /// Brings the local copy of the rows up to date.
  virtual void RefreshRows() = 0;
};

/// Not thread-safe.
class QuarantineStore {
 public:
  /// @param key Of the row.
  /// @param list, fleet, log, clock, random Must outlive this object.
  QuarantineStore(std::string key,
                  QuarantineEnd end,
                  QuarantineList& list,
                  QuarantineFleet& fleet,
                  std::unique_ptr<DelayTimer> timer,
                  EventLog& log,
                  const Clock& clock,
                  Random& random);

  void Stop() { this->timer->Cancel(); }

  /// Takes over what the row says.
  void ReadRow();

  /// Schedules a write if something here has not been in the row, or the row
  /// has something that has been found sound.
  void Tick();

 private:
  struct Entry {
    uint64_t id = 0;
    absl::Time until;  // By the clock of the store.
  };

  bool UpdateRow();
  void Decode(const Row& found);
  void RestoreEntries();
  void UpdateWritten();
  bool IsCleared(const Entry& entry,
                 const std::vector<QuarantinedItem>& items) const;
  bool HasWork() const;
  bool MustAdd(const QuarantinedItem& item) const;
  std::vector<Entry> WantedEntries() const;
  void WriteRow();
  void OnCommitted(CommitState state);

  const std::string key;
  const QuarantineEnd end;
  QuarantineList& list;
  QuarantineFleet& fleet;
  const std::unique_ptr<DelayTimer> timer;
  EventLog& log;
  const Clock& clock;
  Random& random;

  absl::Time store_time;
  uint64_t row_version = UINT64_MAX;  // None has been read.
  uint64_t row_era = 0;
  bool is_other_format = false;
  std::vector<Entry> entries;
  // Entries that have been passed to the list; until when, by their ids.
  absl::flat_hash_map<uint64_t, absl::Time> restored;
  // Items of the list that have been in the row; when they were last
  // quarantined here, by the clock of this instance.
  absl::flat_hash_map<uint64_t, absl::Time> written;
  bool write_scheduled = false;
  bool write_in_progress = false;
  int failed_writes = 0;
  absl::Time next_write_at = absl::InfinitePast();
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_QUARANTINE_STORE_H_
