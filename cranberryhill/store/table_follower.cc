#include "cranberryhill/store/table_follower.h"

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

/// A change must be in force within 2 s of its acknowledgement, and a leaving
/// replica must get no request 2 s after its notice, so the pause is much
/// shorter than 2 s. Bursts of changes come every 330 ms. The long poll is
/// short because a store that stops answering keeps its connections open and,
/// after it recovers, does not answer the old requests. A change must be in
/// force at most 5 s after the recovery (3 s for the store to count as stable,
/// 2 s for the change).
constexpr PollingPolicy kPolling{absl::Milliseconds(1200),
                                 absl::Milliseconds(300)};
/// Used for the control table. Instances write their address once and receive
/// each other's datagrams, and a write with an outdated version is answered
/// with the current row, so no change in this table is urgent.
constexpr PollingPolicy kControlTablePolling{absl::Seconds(25),
                                             absl::Seconds(12)};
/// Pause after the first read of the control table. All instances start at
/// about the same time and have written their addresses after this time.
constexpr absl::Duration kFirstControlTablePause = absl::Milliseconds(2200);
/// Changes that a peer has received arrive here within this time, unless they
/// got lost.
constexpr absl::Duration kPeerRowsDelay = absl::Milliseconds(150);
/// A long poll that started less than this ago is not restarted, because it may
/// still return the change that a peer has reported. A slow store takes 60
/// times its usual 4 ms, and a lost packet is resent after some hundred
/// milliseconds. An older one may have been forgotten by the store.
constexpr absl::Duration kPeerVersionDelay = absl::Milliseconds(800);
/// Added to the duration of a long poll to obtain the time in which its answer
/// must begin; allows for a slow store.
constexpr absl::Duration kWatchTimeoutMargin = absl::Milliseconds(600);
/// Time in which a page of a snapshot must begin. Allows for a slow store,
/// which takes 60 times its usual 4 ms or more.
constexpr absl::Duration kReadTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kFirstRetryPause = absl::Milliseconds(100);
/// Longest pause between retries of a poller. Retries are limited because
/// refused calls have a cost as well.
constexpr absl::Duration kMaxPollerRetryPause = absl::Milliseconds(300);
/// Pause between retries of another instance.
constexpr absl::Duration kRetryPause = absl::Seconds(3);

/// Instances that have to read a snapshot for the same reason spread their
/// reads over this time.
constexpr absl::Duration kSnapshotReadSpread = absl::Milliseconds(200);
/// The same after the store was restored, when each reads all tables.
constexpr absl::Duration kEraReadSpread = absl::Milliseconds(500);

PollingPolicy PollingPolicyFor(StoreTable table) {
  return table == StoreTable::kControl ? kControlTablePolling : kPolling;
}

constexpr int kOk = 200;
/// The store no longer keeps the changes since the requested version.
constexpr int kHistoryGone = 410;

}  // namespace

TableFollower::TableFollower(StoreTable table,
                             std::unique_ptr<HttpCaller> store,
                             std::unique_ptr<DelayTimer> pause_timer,
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
      store(std::move(store)),
      pause_timer(std::move(pause_timer)),
      answered_at(clock.Now()) {}

void TableFollower::Stop() {
  this->store->Cancel();
  this->pause_timer->Cancel();
}

void TableFollower::ReadSnapshotPage(const std::string& from) {
  if (from.empty())
    this->rows.clear();
  ++this->call_count;
  this->store->Call(
      this->codec.EncodeRead(this->table, from), kReadTimeout,
      [this](HttpResult answer) { this->OnSnapshotPage(std::move(answer)); });
}

/// @return True if the answer shows that the store has been restored.
bool TableFollower::OnEraOf(const HttpResult& answer) {
  auto era = this->codec.DecodeEra(answer.headers);
  uint64_t previous = this->versions.era();
  uint64_t seen = this->versions.seen();
  if (!era || !this->versions.OnEra(*era))
    return false;
  this->was_restored = true;
  this->log.Write(LogEvent("store_restored")
                      .Add("table", StoreTableName(this->table))
                      .Add("era", *era)
                      .Add("previous_era", previous)
                      .Add("version_before", seen));
  this->observer.OnStoreRestored(this->table, *era);
  return true;
}

void TableFollower::OnEraSeenElsewhere(uint64_t era) {
  if (era <= std::max(this->versions.era(), this->era_seen_elsewhere))
    return;
  this->era_seen_elsewhere = era;
  // Without an answer of the store there is nothing to read again.
  if (!this->has_read_snapshot || this->versions.needs_snapshot())
    return;
  this->log.Write(LogEvent("store_era_seen_elsewhere")
                      .Add("table", StoreTableName(this->table))
                      .Add("era", era)
                      .Add("own_era", this->versions.era())
                      .Add("version", this->versions.seen()));
  this->ReadSnapshotSoon(kEraReadSpread);
}

void TableFollower::OnSnapshotPage(HttpResult answer) {
  // Pages of two eras do not make up one snapshot.
  if (this->OnEraOf(answer) && !this->rows.empty())
    return this->ReadSnapshotPage("");
  if (answer.status != kOk)
    return this->OnFailed(answer);
  auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
  if (!page.ok())
    return this->OnFailed({0, "", page.error().ToString()});
  this->OnTimeOf(page.value());
  // The long poll starts from the version of the first page, which is the
  // oldest, so that it returns all changes made while the pages were read.
  if (this->rows.empty())
    this->snapshot_version = page.value().version;
  for (StoreRow& row : page.value().rows)
    this->rows.push_back(std::move(row));
  if (page.value().has_more && !this->rows.empty()) {
    // The next page starts after the last key of this one.
    return this->ReadSnapshotPage(this->rows.back().key + '\x01');
  }
  this->OnAnswered();
  bool first = !std::exchange(this->has_read_snapshot, true);
  this->versions.OnSnapshot(this->snapshot_version, this->rows,
                            std::exchange(this->history_lost, false));
  SnapshotKind kind = std::exchange(this->was_restored, false)
                          ? SnapshotKind::kRestored
                          : SnapshotKind::kCurrent;
  this->UpdateBehindSince();
  this->log.Write(LogEvent("table_read")
                      .Add("table", StoreTableName(this->table))
                      .Add("rows", static_cast<int64_t>(this->rows.size()))
                      .Add("version", this->snapshot_version)
                      .Add("era", this->versions.era()));
  this->observer.OnSnapshot(this->table, kind, std::exchange(this->rows, {}));
  bool first_control = first && this->table == StoreTable::kControl;
  this->pausing = true;
  this->ContinueAfter(first_control ? kFirstControlTablePause
                                    : PollingPolicyFor(this->table).pause);
}

void TableFollower::SetPolling(bool polls, bool poller) {
  this->polls = polls;
  this->is_poller = poller;
  if (polls && this->idle) {
    this->pause_timer->Cancel();
    this->Watch();
  }
}

void TableFollower::EndPause() {
  if (!this->pausing)
    return;
  this->pause_timer->Cancel();
  this->Watch();
}

void TableFollower::Watch() {
  this->pausing = false;
  this->idle = false;
  ++this->call_count;
  this->watching = true;
  this->watch_started_at = this->clock.Now();
  this->fetches_missing_rows = this->versions.IsBehindPeers();
  // After failed calls the store may have been restored, which its next answer
  // tells.
  absl::Duration wait = this->consecutive_failures > 0
                            ? absl::ZeroDuration()
                            : PollingPolicyFor(this->table).wait;
  this->store->Call(
      this->codec.EncodeWatch(this->table, this->versions.seen(), wait),
      wait + kWatchTimeoutMargin,
      [this](HttpResult answer) { this->OnWatchAnswer(std::move(answer)); });
}

void TableFollower::OnPeerProgress(const TableProgress& progress) {
  this->OnEraSeenElsewhere(progress.era);
  if (this->versions.OnPeerProgress(progress))
    return this->OnSnapshotNeededByPeer(progress.history_lost);
  this->OnBehindPeers(kPeerRowsDelay);
}

void TableFollower::OnPeerRows(uint64_t era,
                               uint64_t after,
                               uint64_t up_to,
                               const std::vector<StoreRow>& rows) {
  this->OnEraSeenElsewhere(era);
  std::vector<StoreRow> newer =
      this->versions.OnPeerRows(era, after, up_to, rows);
  if (!newer.empty())
    this->observer.OnChanges(this->table, newer);
  this->OnBehindPeers(rows.empty() ? absl::ZeroDuration() : kPeerRowsDelay);
}

/// Polls the store if rows are missing here that peers have received.
/// @param wait_for_rows Time in which a peer may still pass the rows on.
void TableFollower::OnBehindPeers(absl::Duration wait_for_rows) {
  this->UpdateBehindSince();
  if (!this->versions.IsBehindPeers())
    return;
  bool may_call = std::exchange(this->idle, false);
  if (may_call && wait_for_rows > absl::ZeroDuration()) {
    this->pausing = true;
    return this->ContinueAfter(wait_for_rows);
  }
  if (may_call)
    return this->Watch();
  if (this->pausing && wait_for_rows == absl::ZeroDuration())
    return this->EndPause();
  // The store answers others again.
  if (std::exchange(this->retries_slowly, false))
    return this->RetryAfter(kMaxPollerRetryPause);
  // A call for the missing rows, or one whose answer has begun, ends by its own
  // time limit only: restarted calls may never end on a slow link.
  if (!this->watching || this->fetches_missing_rows ||
      this->store->IsReceiving() ||
      this->clock.Now() - this->watch_started_at < kPeerVersionDelay)
    return;
  this->log.Write(
      LogEvent("table_behind_peers")
          .Add("table", StoreTableName(this->table))
          .Add("own_version", this->versions.seen())
          .Add("peer_version", this->versions.peer_row())
          .Add("age_ms", this->TimeSinceAnswer())
          .Add("behind_ms", this->TimeBehindPeers())
          .Add("call_age_ms", this->clock.Now() - this->watch_started_at));
  this->store->Cancel();
  this->Watch();
}

void TableFollower::UpdateBehindSince() {
  this->behind_since = this->versions.IsBehindPeers()
                           ? std::min(this->behind_since, this->clock.Now())
                           : absl::InfiniteFuture();
}

absl::Duration TableFollower::TimeBehindPeers() const {
  if (!this->versions.IsBehindPeers())
    return absl::ZeroDuration();
  return std::max(absl::ZeroDuration(), this->clock.Now() - this->behind_since);
}

void TableFollower::OnSnapshotNeededByPeer(uint64_t snapshot_version) {
  this->log.Write(LogEvent("table_snapshot_by_peer")
                      .Add("table", StoreTableName(this->table))
                      .Add("version", this->versions.seen())
                      .Add("peer_version", snapshot_version));
  this->ReadSnapshotSoon(kSnapshotReadSpread);
}

/// Reads a snapshot after a random pause, so that instances do not all read at
/// the same moment.
void TableFollower::ReadSnapshotSoon(absl::Duration longest_pause) {
  this->store->Cancel();
  this->watching = false;
  this->idle = false;
  this->versions.OnSnapshotNeeded();
  this->ContinueAfter(longest_pause * this->random.UniformDouble());
}

void TableFollower::OnWatchAnswer(HttpResult answer) {
  this->watching = false;
  if (this->OnEraOf(answer))
    return this->ReadSnapshotPage("");
  if (answer.status == kHistoryGone) {
    this->log.Write(LogEvent("table_history_lost")
                        .Add("table", StoreTableName(this->table))
                        .Add("version", this->versions.seen()));
    this->versions.OnSnapshotNeeded();
    // An instance that relies on its peers may ask for changes that are older
    // than the history. Peers that have followed the table lack nothing then.
    this->history_lost = this->is_poller;
    return this->ReadSnapshotPage("");
  }
  if (answer.status != kOk)
    return this->OnFailed(answer);
  auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
  if (!page.ok())
    return this->OnFailed({0, "", page.error().ToString()});
  this->OnAnswered();
  this->OnTimeOf(page.value());
  uint64_t complete_after = this->Progress().complete_after;
  std::vector<StoreRow> newer =
      this->versions.OnPolled(page.value().version, page.value().rows);
  this->UpdateBehindSince();
  if (newer.empty())
    return this->Continue();
  this->observer.OnChanges(this->table, newer);
  this->observer.OnPolled(this->table, this->versions.era(), complete_after,
                          newer);
  this->pausing = true;
  this->ContinueAfter(PollingPolicyFor(this->table).pause);
}

void TableFollower::OnTimeOf(const StorePage& page) {
  if (page.store_time)
    this->store_time_offset = *page.store_time - this->clock.Now();
}

void TableFollower::OnAnswered() {
  absl::Duration outage = this->TimeSinceAnswer();
  this->answered_at = this->clock.Now();
  this->observer.OnStoreCall(this->table, true);
  if (std::exchange(this->consecutive_failures, 0) == 0)
    return;
  this->log.Write(LogEvent("store_regained")
                      .Add("table", StoreTableName(this->table))
                      .Add("outage_ms", outage));
  this->observer.OnStoreRecovered(this->table, outage);
}

void TableFollower::OnFailed(const HttpResult& answer) {
  this->observer.OnStoreCall(this->table, false);
  if (++this->consecutive_failures == 1) {
    this->log.Write(LogEvent("store_lost")
                        .Add("table", StoreTableName(this->table))
                        .Add("status", answer.status)
                        .Add("reason", answer.reason)
                        .Add("age_ms", this->TimeSinceAnswer()));
  }
  // Hundreds of instances that rely on their peers may come here at the same
  // time, so they retry slowly from the beginning, unless they know that they
  // lack rows: these must be in force soon.
  bool lacks_rows =
      this->versions.needs_snapshot() || this->versions.IsBehindPeers();
  bool retries_soon =
      lacks_rows || (this->is_poller && this->table != StoreTable::kControl);
  double backoff_factor =
      std::pow(2, std::min(this->consecutive_failures - 1, 4));
  absl::Duration pause =
      retries_soon
          ? std::min(kMaxPollerRetryPause, kFirstRetryPause * backoff_factor)
          : kRetryPause;
  this->retries_slowly = !retries_soon;
  this->RetryAfter(pause);
}

/// Adds jitter so that instances do not retry in lockstep.
void TableFollower::RetryAfter(absl::Duration mean_pause) {
  this->ContinueAfter(mean_pause * (0.5 + this->random.UniformDouble()));
}

void TableFollower::ContinueAfter(absl::Duration pause) {
  this->pause_timer->Start(pause, [this] { this->Continue(); });
}

/// Makes the next call that is due, or waits for changes from peers.
void TableFollower::Continue() {
  this->pausing = false;
  this->retries_slowly = false;
  if (this->versions.needs_snapshot())
    return this->ReadSnapshotPage("");
  if (this->polls || this->versions.IsBehindPeers())
    return this->Watch();
  this->idle = true;
}

}  // namespace cranberryhill::gateway
