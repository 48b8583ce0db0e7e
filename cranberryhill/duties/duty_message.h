#ifndef CRANBERRYHILL_DUTIES_DUTY_MESSAGE_H_
#define CRANBERRYHILL_DUTIES_DUTY_MESSAGE_H_

// Messages between the instances of a fleet about the duties that one of them
// has: to report usage and to order replicas. Instances report to the holder,
// and the holder tells all what it has decided. Messages are datagrams; they
// may be lost, repeated and reordered.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/scaling/service_demand.h"
#include "cranberryhill/usage/usage_window.h"

namespace cranberryhill::duties {

/// From an instance to the holder.
struct DutyReport {
  std::string instance;
  uint64_t incarnation = 0;  ///< Differs between the processes of an instance.
  uint64_t sequence = 0;
  /// How far the instance's wall clock is ahead of the store's steady clock.
  std::optional<absl::Duration> clock_offset;
  /// The last window that is decided as far as the instance knows.
  int64_t decided = -1;
  /// The process sends no counts of earlier windows.
  int64_t first_window = 0;
  std::vector<usage::WindowCounts> windows;
  std::vector<scaling::ServiceDemand> demand;
};

/// From the holder to all instances.
struct DutyNotice {
  std::string holder;  ///< Empty if it has released the lease.
  uint64_t fencing_number = 0;
  int64_t decided = -1;  ///< Counts up to this window need not be kept.
  /// How far true time is ahead of the store's steady clock.
  std::optional<absl::Duration> clock_offset;
};

/// @return The report in as many messages as its counts need; each is valid on
///     its own.
std::vector<std::string> EncodeDutyReport(const DutyReport& report);
std::string EncodeDutyNotice(const DutyNotice& notice);

/// @return True if the bytes may encode a message of this kind.
bool IsDutyReport(std::string_view bytes);
bool IsDutyNotice(std::string_view bytes);

/// @return kInvalidArgument when the bytes do not encode a message, or one of a
///     newer form. Fields that are not known are ignored.
Result<DutyReport> DecodeDutyReport(std::string_view bytes);
Result<DutyNotice> DecodeDutyNotice(std::string_view bytes);

}  // namespace cranberryhill::duties

#endif  // CRANBERRYHILL_DUTIES_DUTY_MESSAGE_H_
