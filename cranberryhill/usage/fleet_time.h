#ifndef CRANBERRYHILL_USAGE_FLEET_TIME_H_
#define CRANBERRYHILL_USAGE_FLEET_TIME_H_

// True time, although the wall clocks of some instances may be wrong. All
// instances read the same steady clock, that of the store. Each tells how far
// its wall clock is ahead of it, and all use the median.
//
//   FleetTime time(wall_clock);
//   auto offset = time.OwnOffset(store_time);  // Sent to the other instances.
//   time.Adopt(MedianOf(offsets));
//   absl::Time now = time.Now(store_time);

#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill::usage {

/// Not thread-safe.
class FleetTime {
 public:
  /// @param wall_clock Must outlive this object.
  explicit FleetTime(const Clock& wall_clock) : wall_clock(wall_clock) {}

  /// @param store_time Reading of the store's clock, if it is known.
  /// @return How far the wall clock of this instance is ahead of it.
  std::optional<absl::Duration> OwnOffset(
      std::optional<absl::Time> store_time) const;

  /// @param offset How far true time is ahead of the store's clock.
  void Adopt(absl::Duration offset) { this->offset = offset; }

  /// @return True time: by the store's clock if that and the offset are known,
  ///     otherwise by the own wall clock.
  absl::Time Now(std::optional<absl::Time> store_time) const;

  bool has_offset() const { return this->offset.has_value(); }  // NOLINT

 private:
  const Clock& wall_clock;
  std::optional<absl::Duration> offset;
};

/// @return The median, the lower one of two; nothing of nothing.
std::optional<absl::Duration> MedianOf(std::vector<absl::Duration> offsets);

}  // namespace cranberryhill::usage

#endif  // CRANBERRYHILL_USAGE_FLEET_TIME_H_
