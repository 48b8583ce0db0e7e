#include "cranberryhill/duties/usage_reporter.h"

#include <algorithm>
#include <utility>

namespace cranberryhill::duties {
namespace {

using gateway::LogEvent;

constexpr char kRowKey[] = "usage/windows";
/// A call whose answer has not begun by then is made again. The platform may
/// take 50 times as long as usual.
constexpr absl::Duration kCallTimeout = absl::Seconds(2);
/// Pause after a failed call; it doubles with each further one.
constexpr absl::Duration kRetryPause = absl::Milliseconds(250);
constexpr absl::Duration kLongestRetryPause = absl::Seconds(2);
/// A window that could not be reported for this long is given up: billing has
/// closed, and the row of the store has room for a limited number of windows.
constexpr absl::Duration kLongestDelay = absl::Minutes(1);
/// Instances report once a second; a new holder waits for them so long at most.
constexpr absl::Duration kLongestWaitForReports = absl::Seconds(6);
/// A row of the store has at most 64 KB.
constexpr size_t kMaxRowBytes = 60'000;

constexpr int kOk = 200;

}  // namespace

UsageReporter::UsageReporter(UsageReporterSettings settings,
                             TableService& table,
                             gateway::HttpCaller& platform,
                             const DutyCodec& codec,
                             usage::UsageCollector& collector,
                             gateway::EventLog& log,
                             const Clock& clock)
    : settings(std::move(settings)),
      table(table),
      platform(platform),
      codec(codec),
      collector(collector),
      log(log),
      clock(clock) {}

size_t UsageReporter::PendingWindows() const {
  if (!this->ledger)
    return 0;
  // A window may have been given up before the platform has accepted it.
  return static_cast<size_t>(
      std::count_if(this->ledger->pending.begin(), this->ledger->pending.end(),
                    [this](const usage::PendingWindow& entry) {
                      return !this->reported.contains(entry.window);
                    }));
}

/// Forgets the row, which has to be read again.
void UsageReporter::ForgetRow() {
  this->ledger.reset();
  this->read_row.reset();
}

/// Forgets all that another holder may change.
void UsageReporter::Forget() {
  this->ForgetRow();
  this->reported.clear();
}

void UsageReporter::Tick(const HandoverLease& lease,
                         absl::Time true_time,
                         std::span<const std::string> live,
                         int64_t known_decided,
                         uint64_t era) {
  auto grant = lease.GrantToAct();
  if (!grant)
    return this->Forget();
  if (grant->fencing_number != this->fencing_number) {
    this->fencing_number = grant->fencing_number;
    this->Forget();
    this->collector.ForgetReports();
  }
  if (this->table_call_active)
    return;
  if (!this->ledger)
    return this->Load(true_time, known_decided, era);
  // A new holder has the counts of few instances at first.
  bool has_counts =
      this->collector.HasReportsOfMost(live) ||
      this->clock.Now() - grant->acquired_at >= kLongestWaitForReports;
  if (!has_counts || !this->DecideWindows(true_time, live))
    this->SendNext(lease);
}

/// Reads the row, then takes it over.
void UsageReporter::Load(absl::Time true_time,
                         int64_t known_decided,
                         uint64_t era) {
  if (!this->read_row) {
    this->table_call_active = true;
    return this->table.Read({kRowKey}, [this](const ReadOutcome& outcome) {
      this->table_call_active = false;
      this->OnRead(outcome);
    });
  }
  std::optional<Row> row = *std::exchange(this->read_row, std::nullopt);
  this->row_version = row ? row->version : kAbsentVersion;
  usage::UsageLedger read;
  if (row) {
    auto decoded =
        Capture([&] { return usage::DecodeUsageLedger(row->value); });
    if (!decoded.ok()) {
      // A newer build has written it, which will report again.
      this->log.Write(LogEvent("usage_row_unreadable")
                          .Add("reason", decoded.error().ToString()));
      return;
    }
    read = std::move(decoded.value());
  }
  int64_t present = usage::WindowOf(true_time, this->settings.window_length);
  int64_t kept_windows =
      absl::ToInt64Seconds(kLongestDelay) /
      std::max<int64_t>(1, absl::ToInt64Seconds(this->settings.window_length));
  // Nobody has counts of windows that ended long before.
  read.decided = std::max(read.decided, present - kept_windows);
  // Without a row nothing has been reported yet. A store that was restored may
  // have lost what was decided since its copy was made: windows that may have
  // been reported are not reported again.
  if (!row || read.era != era)
    read.decided = std::max(read.decided, present - 1);
  read.decided = std::max(read.decided, known_decided);
  read.era = era;
  std::erase_if(this->reported, [&read](int64_t window) {
    return std::none_of(read.pending.begin(), read.pending.end(),
                        [window](const usage::PendingWindow& entry) {
                          return entry.window == window;
                        });
  });
  this->ledger = std::move(read);
  this->collector.OnDecided(this->ledger->decided);
}

void UsageReporter::OnRead(const ReadOutcome& outcome) {
  if (!outcome.ok())
    return;
  const Row* row = FindRow(outcome.value(), kRowKey);
  this->read_row = row == nullptr ? std::nullopt : std::optional(*row);
}

/// Decides the windows that are due, and forgets those that have been reported.
/// @return True if the row is being written.
bool UsageReporter::DecideWindows(absl::Time true_time,
                                  std::span<const std::string> live) {
  usage::UsageLedger next = *this->ledger;
  for (int64_t window : this->reported)
    next.Remove(window);
  while (true) {
    int64_t window = next.decided + 1;
    usage::WindowState state = this->collector.StateOf(window, true_time, live);
    if (state == usage::WindowState::kOpen)
      break;
    if (state == usage::WindowState::kUnknown) {
      next.GiveUp(window);
      this->RecordGivenUp(window, "no_counts", this->last_without_counts);
      continue;
    }
    usage::UsageLedger with_window = next;
    with_window.Decide(window, this->collector.Sum(window));
    // A single window is written whatever its size.
    if (!next.pending.empty() &&
        usage::EncodeUsageLedger(with_window).size() > kMaxRowBytes)
      break;
    next = std::move(with_window);
  }
  absl::Time oldest = true_time - kLongestDelay;
  size_t expired =
      std::erase_if(next.pending, [&](const usage::PendingWindow& entry) {
        if (usage::EndOf(entry.window, this->settings.window_length) > oldest)
          return false;
        this->RecordGivenUp(entry.window, "not_accepted_in_time",
                            this->last_not_accepted);
        return true;
      });
  if (next.decided == this->ledger->decided && expired == 0)
    return false;
  this->Write(std::move(next));
  return true;
}

/// Counts and logs a window that is not reported, once although the write of
/// the row may fail and be repeated.
/// @param last The last window that was given up for this reason.
void UsageReporter::RecordGivenUp(int64_t window,
                                  std::string_view reason,
                                  int64_t& last) {
  if (window <= last)
    return;
  last = window;
  ++this->call_counts.given_up;
  this->log.Write(LogEvent("usage_window_given_up")
                      .Add("window", window)
                      .Add("reason", reason));
}

void UsageReporter::Write(usage::UsageLedger next) {
  this->table_call_active = true;
  Transaction transaction;
  transaction.checks.push_back({kRowKey, this->row_version});
  transaction.puts.push_back({kRowKey, usage::EncodeUsageLedger(next)});
  this->table.Commit(std::move(transaction), [this, next = std::move(next)](
                                                 const CommitOutcome& outcome) {
    this->table_call_active = false;
    if (outcome.state == CommitState::kCommitted) {
      this->log.Write(
          LogEvent("usage_decided")
              .Add("window", next.decided)
              .Add("pending", static_cast<int64_t>(next.pending.size())));
    }
    // The row says what has been decided, and has a new version.
    this->ForgetRow();
  });
}

/// Reports the oldest window that has not been reported.
void UsageReporter::SendNext(const HandoverLease& lease) {
  if (this->platform_call_active || this->clock.Now() < this->retry_at)
    return;
  auto next =
      std::find_if(this->ledger->pending.begin(), this->ledger->pending.end(),
                   [this](const usage::PendingWindow& entry) {
                     return !this->reported.contains(entry.window);
                   });
  // Checks the lease immediately before the call.
  auto grant = lease.GrantToAct();
  if (next == this->ledger->pending.end() || !grant)
    return;
  this->platform_call_active = true;
  ++this->call_counts.calls;
  int64_t window = next->window;
  this->log.Write(
      LogEvent("usage_sent")
          .Add("window", window)
          .Add("customers", static_cast<int64_t>(next->counts.size()))
          .Add("fencing_token", grant->fencing_number));
  this->platform.Call(
      this->codec.EncodeUsage({this->settings.instance, grant->fencing_number},
                              window, next->counts),
      kCallTimeout, [this, window](const gateway::HttpResult& answer) {
        this->platform_call_active = false;
        this->OnSent(window, answer);
      });
}

void UsageReporter::OnSent(int64_t window, const gateway::HttpResult& answer) {
  if (answer.status == kOk) {
    this->failures_in_a_row = 0;
    ++this->call_counts.reported;
    this->reported.insert(window);
    return;
  }
  ++this->call_counts.failed_calls;
  this->retry_at =
      this->clock.Now() +
      std::min(kLongestRetryPause,
               kRetryPause * (1 << std::min(this->failures_in_a_row++, 8)));
  this->log.Write(LogEvent("usage_call_failed")
                      .Add("window", window)
                      .Add("status", answer.status)
                      .Add("reason", answer.reason));
}

}  // namespace cranberryhill::duties
