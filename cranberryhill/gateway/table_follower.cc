#include "cranberryhill/gateway/table_follower.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// How a table is followed. Each call has a price, so the store may wait long
/// for a change, and after one the next call pauses, so that changes that come
/// together cost one call.
struct Pace {
  absl::Duration wait;
  absl::Duration pause;
};

/// Of close watchers: a change must be in force within 2 s of its
/// acknowledgement, a leaving replica must get no request 2 s after its notice,
/// and storms of changes come every 330 ms.
constexpr absl::Duration kClosePause = absl::Milliseconds(300);
/// Of the others, which learn from close watchers that they are behind.
constexpr Pace kDistantPace{absl::Seconds(25), absl::Seconds(1)};
/// Of the gateway's own table. Instances announce themselves once and hear each
/// other's datagrams, so nothing waits for the news.
constexpr Pace kControlPace{absl::Seconds(25), absl::Seconds(4)};
/// Wait of an instance that watches closely. A store that falls silent keeps
/// its connections open and answers nothing, also after it is back; a change
/// must be in force 5 s after its return at the latest (3 s for the store to
/// count as stable, 2 s for the change).
constexpr absl::Duration kCloseWait = absl::Milliseconds(1200);
/// A watch that is younger than this may still bring the change that a peer
/// has told of.
constexpr absl::Duration kHintDelay = absl::Milliseconds(250);
/// On top of the wait, for a slow store.
constexpr absl::Duration kWatchSlack = absl::Milliseconds(600);
/// A slow store takes 60 times its usual 4 ms and more.
constexpr absl::Duration kReadTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kFirstPause = absl::Milliseconds(100);
/// Longest pause between tries of an instance that watches closely, and of the
/// others. Refused calls have a price as well.
constexpr absl::Duration kLongestClosePause = absl::Milliseconds(300);
constexpr absl::Duration kLongestPause = absl::Seconds(1);

Pace PaceOf(StoreTable table, bool close) {
  if (table == StoreTable::kControl)
    return kControlPace;
  return close ? Pace{kCloseWait, kClosePause} : kDistantPace;
}

constexpr int kOk = 200;
/// The history that was asked for is no longer kept.
constexpr int kGone = 410;

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
      client(io, std::move(store)),
      pause_timer(io),
      answered_at(clock.Now()) {}

void TableFollower::Stop() {
  this->client.Cancel();
  this->pause_timer.cancel();
}

void TableFollower::ReadPage(const std::string& from) {
  if (from.empty())
    this->rows.clear();
  ++this->call_count;
  this->client.Call(
      this->codec.EncodeRead(this->table, from), kReadTimeout,
      [this](CallAnswer answer) { this->OnPage(std::move(answer)); });
}

void TableFollower::OnPage(CallAnswer answer) {
  if (answer.status != kOk)
    return this->OnFailed(answer);
  auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
  if (!page.ok())
    return this->OnFailed({0, "", page.error().ToString()});
  // The first page has the oldest version; changes since are read again.
  if (this->rows.empty())
    this->version = page.value().version;
  for (StoreRow& row : page.value().rows) {
    this->newest_row = std::max(this->newest_row, row.version);
    this->rows.push_back(std::move(row));
  }
  if (page.value().has_more && !this->rows.empty()) {
    // The next page starts after the last key.
    return this->ReadPage(this->rows.back().key + '\x01');
  }
  this->OnAnswered();
  this->must_read = false;
  this->read_whole = true;
  this->log.Write(LogEvent("table_read")
                      .Add("table", StoreTableName(this->table))
                      .Add("rows", static_cast<int64_t>(this->rows.size()))
                      .Add("version", this->version));
  this->observer.OnTable(this->table, std::exchange(this->rows, {}));
  this->pausing = true;
  this->ContinueAfter(PaceOf(this->table, this->close_watch).pause);
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
  this->watch_began = this->clock.Now();
  absl::Duration wait = PaceOf(this->table, this->close_watch).wait;
  this->client.Call(this->codec.EncodeWatch(this->table, this->version, wait),
                    wait + kWatchSlack, [this](CallAnswer answer) {
                      this->OnWatch(std::move(answer));
                    });
}

void TableFollower::OnPeerVersion(uint64_t newest) {
  absl::Time now = this->clock.Now();
  if (newest <= this->newest_row || !this->watching ||
      now - this->watch_began < kHintDelay)
    return;
  this->log.Write(LogEvent("table_behind_peers")
                      .Add("table", StoreTableName(this->table))
                      .Add("own_version", this->newest_row)
                      .Add("peer_version", newest)
                      .Add("age_ms", this->Age()));
  this->client.Cancel();
  this->Watch();
}

void TableFollower::OnWatch(CallAnswer answer) {
  this->watching = false;
  if (answer.status == kGone) {
    this->log.Write(LogEvent("table_history_lost")
                        .Add("table", StoreTableName(this->table))
                        .Add("version", this->version));
    this->must_read = true;
    return this->ReadPage("");
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
    this->newest_row = std::max(this->newest_row, row.version);
  }
  if (page.value().rows.empty())
    return this->Watch();
  this->observer.OnChanges(this->table, page.value().rows);
  this->pausing = true;
  this->ContinueAfter(PaceOf(this->table, this->close_watch).pause);
}

void TableFollower::OnAnswered() {
  absl::Duration outage = this->Age();
  this->answered_at = this->clock.Now();
  if (std::exchange(this->failures, 0) == 0)
    return;
  this->log.Write(LogEvent("store_regained")
                      .Add("table", StoreTableName(this->table))
                      .Add("outage_ms", outage));
  this->observer.OnRegained(this->table, outage);
}

void TableFollower::OnFailed(const CallAnswer& answer) {
  if (++this->failures == 1) {
    this->log.Write(LogEvent("store_lost")
                        .Add("table", StoreTableName(this->table))
                        .Add("status", answer.status)
                        .Add("reason", answer.reason)
                        .Add("age_ms", this->Age()));
  }
  double doubled = std::pow(2, std::min(this->failures - 1, 4));
  absl::Duration longest =
      this->close_watch && this->table != StoreTable::kControl
          ? kLongestClosePause
          : kLongestPause;
  absl::Duration pause = std::min(longest, kFirstPause * doubled);
  // Spread, so that instances do not return to the store in step.
  this->ContinueAfter(pause * (0.5 + this->random.UniformDouble()));
}

void TableFollower::ContinueAfter(absl::Duration pause) {
  this->pause_timer.expires_after(absl::ToChronoMilliseconds(pause));
  this->pause_timer.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    if (this->must_read)
      this->ReadPage("");
    else
      this->Watch();
  });
}

}  // namespace cranberryhill::gateway
