#ifndef CRANBERRYHILL_DUTIES_USAGE_REPORTER_H_
#define CRANBERRYHILL_DUTIES_USAGE_REPORTER_H_

// Reports the usage of each window to the platform while this instance holds
// the duty lease. The counts of a window are written to the store before they
// are sent, and what is sent is what was written, so that all holders send the
// same.
//
//   UsageReporter reporter(settings, table, platform, codec, collector, log,
//                          clock);
//   reporter.Tick(lease, true_time, live_instances, era);  // Several times a
//                                                          // second.

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/duties/duty_codec.h"
#include "cranberryhill/lease/handover_lease.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"
#include "cranberryhill/table/table_service.h"
#include "cranberryhill/usage/usage_collector.h"
#include "cranberryhill/usage/usage_ledger.h"

namespace cranberryhill::duties {

struct UsageReporterSettings {
  std::string instance;
  absl::Duration window_length = absl::Seconds(5);
};

struct UsageReporterCounts {
  uint64_t reported = 0;  ///< Windows that the platform has accepted.
  uint64_t given_up = 0;  ///< Windows that were not reported.
  uint64_t calls = 0;
  uint64_t failed_calls = 0;
};

/// Not thread-safe.
class UsageReporter {
 public:
  /// All references must outlive this object.
  /// @param platform Makes the calls; used by this object alone.
  UsageReporter(UsageReporterSettings settings,
                TableService& table,
                gateway::HttpCaller& platform,
                const DutyCodec& codec,
                usage::UsageCollector& collector,
                gateway::EventLog& log,
                const Clock& clock);

  /// Does what is due.
  /// @param true_time Present true time.
  /// @param live Names of the live instances, this one included.
  /// @param known_decided The last window that any instance knows to be
  ///     decided.
  /// @param era Of the store.
  void Tick(const HandoverLease& lease,
            absl::Time true_time,
            std::span<const std::string> live,
            int64_t known_decided,
            uint64_t era);

  /// @return The last decided window; nothing while it is not known.
  std::optional<int64_t> decided() const {  // NOLINT
    return this->ledger ? std::optional(this->ledger->decided) : std::nullopt;
  }

  /// @return Number of decided windows that have not been reported yet.
  size_t PendingWindows() const;

  const UsageReporterCounts& counts() const {  // NOLINT
    return this->call_counts;
  }

 private:
  void ForgetRow();
  void Forget();
  void Load(absl::Time true_time, int64_t known_decided, uint64_t era);
  void OnRead(const ReadOutcome& outcome);
  bool DecideWindows(absl::Time true_time, std::span<const std::string> live);
  void RecordGivenUp(int64_t window, std::string_view reason, int64_t& last);
  void Write(usage::UsageLedger next);
  void SendNext(const HandoverLease& lease);
  void OnSent(int64_t window, const gateway::HttpResult& answer);

  const UsageReporterSettings settings;
  TableService& table;
  gateway::HttpCaller& platform;
  const DutyCodec& codec;
  usage::UsageCollector& collector;
  gateway::EventLog& log;
  const Clock& clock;
  // As in the store; nothing while it is not known.
  std::optional<usage::UsageLedger> ledger;
  uint64_t row_version = kAbsentVersion;
  // The row as read, until Load() has taken it over.
  std::optional<std::optional<Row>> read_row;
  bool table_call_active = false;
  bool platform_call_active = false;
  absl::Time retry_at = absl::InfinitePast();
  int failures_in_a_row = 0;
  uint64_t fencing_number = 0;  // Of the lease under which `ledger` was read.
  std::set<int64_t> reported;   // Windows that are still pending in the row.
  // The last windows that were given up for each of the two reasons.
  int64_t last_without_counts = -1;
  int64_t last_not_accepted = -1;
  UsageReporterCounts call_counts;
};

}  // namespace cranberryhill::duties

#endif  // CRANBERRYHILL_DUTIES_USAGE_REPORTER_H_
