#include "cranberryhill/gateway/table_follower.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// How often a table is polled. Each call has a cost, so the store may hold a
/// long poll for `wait`, and after a change the next poll is delayed by
/// `pause`, so that changes that occur close together cost one call.
struct PollingPolicy {
  absl::Duration wait;
  absl::Duration pause;
};

/// Pause with frequent polling. It must be much shorter than 2 s: a change must
/// be in force within 2 s of its acknowledgement, and a leaving replica must
/// get no request 2 s after its notice. Bursts of changes come every 330 ms.
constexpr absl::Duration kFrequentPollPause = absl::Milliseconds(300);
/// Used with infrequent polling; these instances learn from peers that poll
/// frequently that they have missed changes.
constexpr PollingPolicy kInfrequentPolling{absl::Seconds(25), absl::Seconds(1)};
/// Used for the control table. Instances write their address once and receive
/// each other's datagrams, so no change in this table is urgent.
constexpr PollingPolicy kControlTablePolling{absl::Seconds(25),
                                             absl::Seconds(4)};
/// Duration of a long poll with frequent polling. It is short because a store
/// that stops answering keeps its connections open and, after it recovers, does
/// not answer the old requests. A change must be in force at most 5 s after the
/// recovery (3 s for the store to count as stable, 2 s for the change).
constexpr absl::Duration kFrequentPollWait = absl::Milliseconds(1200);
/// A long poll that started less than this ago is not restarted, because it may
/// still return the change that a peer has reported.
constexpr absl::Duration kPeerVersionDelay = absl::Milliseconds(250);
/// Added to the duration of a long poll to obtain its timeout; allows for a
/// slow store.
constexpr absl::Duration kWatchTimeoutMargin = absl::Milliseconds(600);
/// Timeout for reading one page of a snapshot. Allows for a slow store, which
/// takes 60 times its usual 4 ms or more.
constexpr absl::Duration kReadTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kFirstRetryPause = absl::Milliseconds(100);
/// Longest pause between retries, with frequent polling and otherwise. Retries
/// are limited because refused calls have a cost as well.
constexpr absl::Duration kMaxFrequentRetryPause = absl::Milliseconds(300);
constexpr absl::Duration kMaxRetryPause = absl::Seconds(1);

PollingPolicy PollingPolicyFor(StoreTable table, bool frequent) {
  if (table == StoreTable::kControl)
    return kControlTablePolling;
  return frequent ? PollingPolicy{kFrequentPollWait, kFrequentPollPause}
                  : kInfrequentPolling;
}

constexpr int kOk = 200;
/// The store no longer keeps the changes since the requested version.
constexpr int kHistoryGone = 410;

}  // namespace

TableFollower::TableFollower(StoreTable table,
                             boost::asio::io_context& io,
                             boost::asio::ip::tcp::endpoint store,
                             const StoreCodec& codec,
                             TableObserver& observer,
                             EventLog& log,
                             const Clock& clock,
                             Random& random)
    : table(table),
      codec(codec),
      observer(observer),
      log(log),
      clock(clock),
      random(random),
      store_client(io, std::move(store)),
      pause_timer(io),
      answered_at(clock.Now()) {}

void TableFollower::Stop() {
  this->store_client.Cancel();
  this->pause_timer.cancel();
}

void TableFollower::ReadSnapshotPage(const std::string& from) {
  if (from.empty())
    this->rows.clear();
  ++this->call_count;
  this->store_client.Call(
      this->codec.EncodeRead(this->table, from), kReadTimeout,
      [this](HttpResult answer) { this->OnSnapshotPage(std::move(answer)); });
}

void TableFollower::OnSnapshotPage(HttpResult answer) {
  if (answer.status != kOk)
    return this->OnFailed(answer);
  auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
  if (!page.ok())
    return this->OnFailed({0, "", page.error().ToString()});
  // The long poll starts from the version of the first page, which is the
  // oldest, so that it returns all changes made while the pages were read.
  if (this->rows.empty())
    this->version = page.value().version;
  for (StoreRow& row : page.value().rows) {
    this->max_row_version = std::max(this->max_row_version, row.version);
    this->rows.push_back(std::move(row));
  }
  if (page.value().has_more && !this->rows.empty()) {
    // The next page starts after the last key of this one.
    return this->ReadSnapshotPage(this->rows.back().key + '\x01');
  }
  this->OnAnswered();
  this->needs_snapshot = false;
  this->has_read_snapshot = true;
  this->log.Write(LogEvent("table_read")
                      .Add("table", StoreTableName(this->table))
                      .Add("rows", static_cast<int64_t>(this->rows.size()))
                      .Add("version", this->version));
  this->observer.OnSnapshot(this->table, std::exchange(this->rows, {}));
  this->pausing = true;
  this->ContinueAfter(
      PollingPolicyFor(this->table, this->frequent_polling).pause);
}

void TableFollower::EndPause() {
  if (!this->pausing)
    return;
  this->pause_timer.cancel();
  this->Watch();
}

void TableFollower::Watch() {
  this->pausing = false;
  ++this->call_count;
  this->watching = true;
  this->watch_started_at = this->clock.Now();
  absl::Duration wait =
      PollingPolicyFor(this->table, this->frequent_polling).wait;
  this->store_client.Call(
      this->codec.EncodeWatch(this->table, this->version, wait),
      wait + kWatchTimeoutMargin,
      [this](HttpResult answer) { this->OnWatchAnswer(std::move(answer)); });
}

void TableFollower::OnPeerVersion(uint64_t newest_peer_version) {
  absl::Time now = this->clock.Now();
  if (newest_peer_version <= this->max_row_version || !this->watching ||
      now - this->watch_started_at < kPeerVersionDelay)
    return;
  this->log.Write(LogEvent("table_behind_peers")
                      .Add("table", StoreTableName(this->table))
                      .Add("own_version", this->max_row_version)
                      .Add("peer_version", newest_peer_version)
                      .Add("age_ms", this->TimeSinceAnswer()));
  this->store_client.Cancel();
  this->Watch();
}

void TableFollower::OnWatchAnswer(HttpResult answer) {
  this->watching = false;
  if (answer.status == kHistoryGone) {
    this->log.Write(LogEvent("table_history_lost")
                        .Add("table", StoreTableName(this->table))
                        .Add("version", this->version));
    this->needs_snapshot = true;
    return this->ReadSnapshotPage("");
  }
  if (answer.status != kOk)
    return this->OnFailed(answer);
  auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
  if (!page.ok())
    return this->OnFailed({0, "", page.error().ToString()});
  this->OnAnswered();
  this->version = std::max(this->version, page.value().version);
  for (const StoreRow& row : page.value().rows) {
    this->version = std::max(this->version, row.version);
    this->max_row_version = std::max(this->max_row_version, row.version);
  }
  if (page.value().rows.empty())
    return this->Watch();
  this->observer.OnChanges(this->table, page.value().rows);
  this->pausing = true;
  this->ContinueAfter(
      PollingPolicyFor(this->table, this->frequent_polling).pause);
}

void TableFollower::OnAnswered() {
  absl::Duration outage = this->TimeSinceAnswer();
  this->answered_at = this->clock.Now();
  if (std::exchange(this->consecutive_failures, 0) == 0)
    return;
  this->log.Write(LogEvent("store_regained")
                      .Add("table", StoreTableName(this->table))
                      .Add("outage_ms", outage));
  this->observer.OnStoreRecovered(this->table, outage);
}

void TableFollower::OnFailed(const HttpResult& answer) {
  if (++this->consecutive_failures == 1) {
    this->log.Write(LogEvent("store_lost")
                        .Add("table", StoreTableName(this->table))
                        .Add("status", answer.status)
                        .Add("reason", answer.reason)
                        .Add("age_ms", this->TimeSinceAnswer()));
  }
  double backoff_factor =
      std::pow(2, std::min(this->consecutive_failures - 1, 4));
  absl::Duration max_pause =
      this->frequent_polling && this->table != StoreTable::kControl
          ? kMaxFrequentRetryPause
          : kMaxRetryPause;
  absl::Duration pause = std::min(max_pause, kFirstRetryPause * backoff_factor);
  // Adds jitter so that instances do not retry in lockstep.
  this->ContinueAfter(pause * (0.5 + this->random.UniformDouble()));
}

void TableFollower::ContinueAfter(absl::Duration pause) {
  this->pause_timer.expires_after(absl::ToChronoMilliseconds(pause));
  this->pause_timer.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    if (this->needs_snapshot)
      this->ReadSnapshotPage("");
    else
      this->Watch();
  });
}

}  // namespace cranberryhill::gateway
