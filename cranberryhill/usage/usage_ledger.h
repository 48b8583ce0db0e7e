#ifndef CRANBERRYHILL_USAGE_USAGE_LEDGER_H_
#define CRANBERRYHILL_USAGE_USAGE_LEDGER_H_

// What the fleet has decided about usage windows, kept in one row of the store.
// All of it is in one row because the store then refuses each write of a holder
// that has lost its lease, also one that arrives late: the version of the row
// has changed.
//
//   UsageLedger ledger;
//   ledger.Decide(window, counts);
//   row.value = EncodeUsageLedger(ledger);  // Written before it is reported.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/result.h"
#include "cranberryhill/usage/usage_window.h"

namespace cranberryhill::usage {

/// A window whose counts are fixed and that may not have been reported yet.
struct PendingWindow {
  int64_t window = 0;
  CustomerCounts counts;
};

struct UsageLedger {
  uint64_t era = 0;  ///< Of the store when the row was written.
  /// All windows up to this one are decided: their counts are in `pending`, or
  /// have been reported or given up.
  int64_t decided = -1;
  std::vector<PendingWindow> pending;  ///< In the order of their windows.

  /// Decides the next window. @param counts What is reported for it.
  void Decide(int64_t window, CustomerCounts counts);

  /// Decides a window without reporting it.
  void GiveUp(int64_t window);

  /// Removes a window that has been reported.
  void Remove(int64_t window);
};

/// @return Compact bytes: a row of the store has at most 64 KB, and a window
/// may
///     have thousands of customers.
std::string EncodeUsageLedger(const UsageLedger& ledger);

/// @return kInvalidArgument when the bytes are not a ledger, or one of a newer
///     form.
Result<UsageLedger> DecodeUsageLedger(std::string_view bytes);

}  // namespace cranberryhill::usage

#endif  // CRANBERRYHILL_USAGE_USAGE_LEDGER_H_
