#include "cranberryhill/gateway/table_follower.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// How long the store may wait for a change. Each call has a price, and a
/// connection that went silent is found by keep-alive probes in between.
constexpr absl::Duration kWatchTime = absl::Seconds(8);
/// On top of kWatchTime, for a slow store.
constexpr absl::Duration kWatchSlack = absl::Seconds(2);
/// A slow store takes 60 times its usual 4 ms and more.
constexpr absl::Duration kReadTimeout = absl::Seconds(2);
constexpr absl::Duration kFirstPause = absl::Milliseconds(100);
constexpr absl::Duration kLongestPause = absl::Milliseconds(600);

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
      retry_timer(io),
      answered_at(clock.Now()) {}

void TableFollower::Stop() {
  this->client.Cancel();
  this->retry_timer.cancel();
}

void TableFollower::ReadPage(const std::string& from) {
  if (from.empty())
    this->rows.clear();
  ++this->call_count;
  this->client.Call(
      this->codec.EncodeRead(this->table, from), kReadTimeout,
      [this](StoreAnswer answer) { this->OnPage(std::move(answer)); });
}

void TableFollower::OnPage(StoreAnswer answer) {
  if (answer.status != kOk)
    return this->OnFailed(answer);
  auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
  if (!page.ok())
    return this->OnFailed({0, "", page.error().ToString()});
  // The first page has the oldest version; changes since are read again.
  if (this->rows.empty())
    this->version = page.value().version;
  for (StoreRow& row : page.value().rows)
    this->rows.push_back(std::move(row));
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
  this->Watch();
}

void TableFollower::Watch() {
  ++this->call_count;
  this->client.Call(
      this->codec.EncodeWatch(this->table, this->version, kWatchTime),
      kWatchTime + kWatchSlack,
      [this](StoreAnswer answer) { this->OnWatch(std::move(answer)); });
}

void TableFollower::OnWatch(StoreAnswer answer) {
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
  for (const StoreRow& row : page.value().rows)
    this->version = std::max(this->version, row.version);
  if (!page.value().rows.empty())
    this->observer.OnChanges(this->table, page.value().rows);
  this->Watch();
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

void TableFollower::OnFailed(const StoreAnswer& answer) {
  if (++this->failures == 1) {
    this->log.Write(LogEvent("store_lost")
                        .Add("table", StoreTableName(this->table))
                        .Add("status", answer.status)
                        .Add("reason", answer.reason)
                        .Add("age_ms", this->Age()));
  }
  double doubled = std::pow(2, std::min(this->failures - 1, 4));
  absl::Duration pause = std::min(kLongestPause, kFirstPause * doubled);
  // Spread, so that instances do not return to the store in step.
  this->RetryAfter(pause * (0.5 + this->random.UniformDouble()));
}

void TableFollower::RetryAfter(absl::Duration pause) {
  this->retry_timer.expires_after(absl::ToChronoMilliseconds(pause));
  this->retry_timer.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    if (this->must_read)
      this->ReadPage("");
    else
      this->Watch();
  });
}

}  // namespace cranberryhill::gateway
