#include "cranberryhill/store/service_row_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace cranberryhill::gateway {
namespace {

/// Allows for a slow store, which takes 60 times its usual 4 ms.
constexpr absl::Duration kReadTimeout = absl::Milliseconds(600);
constexpr absl::Duration kRetryPause = absl::Milliseconds(100);
constexpr int kOk = 200;

}  // namespace

ServiceRowReader::ServiceRowReader(std::unique_ptr<HttpCaller> caller,
                                   std::unique_ptr<DelayTimer> timer,
                                   const StoreCodec& codec,
                                   EventLog& log,
                                   const Clock& clock)
    : caller(std::move(caller)),
      timer(std::move(timer)),
      codec(codec),
      log(log),
      clock(clock) {}

void ServiceRowReader::Read(std::string_view key,
                            absl::Duration wait,
                            Callback done) {
  this->waiting.push_back(
      {std::string(key), this->clock.Now() + wait, std::move(done)});
  this->Continue();
}

void ServiceRowReader::Stop() {
  this->caller->Cancel();
  this->timer->Cancel();
  this->waiting.clear();
  this->being_read.clear();
  this->read_in_progress = false;
}

/// Begins the read that is due, and waits for the next event.
void ServiceRowReader::Continue() {
  this->EndExpired(this->being_read);
  this->EndExpired(this->waiting);
  absl::Time now = this->clock.Now();
  if (!this->read_in_progress && !this->waiting.empty() &&
      now >= this->retry_at)
    this->Begin();
  absl::Time wake_at = absl::InfiniteFuture();
  for (const auto* reads : {&this->waiting, &this->being_read}) {
    for (const PendingRead& read : *reads)
      wake_at = std::min(wake_at, read.deadline);
  }
  if (!this->read_in_progress && !this->waiting.empty())
    wake_at = std::min(wake_at, this->retry_at);
  if (wake_at == absl::InfiniteFuture())
    return this->timer->Cancel();
  this->timer->Start(std::max(absl::ZeroDuration(), wake_at - now),
                     [this] { this->Continue(); });
}

void ServiceRowReader::EndExpired(std::deque<PendingRead>& reads) {
  absl::Time now = this->clock.Now();
  std::vector<Callback> expired;
  for (auto read = reads.begin(); read != reads.end();) {
    if (read->deadline > now) {
      ++read;
      continue;
    }
    expired.push_back(std::move(read->done));
    read = reads.erase(read);
  }
  for (const Callback& done : expired)
    done(std::nullopt);
}

/// Begins a read for all that wait for the same row as the first one.
void ServiceRowReader::Begin() {
  std::string key = this->waiting.front().key;
  absl::Time latest = absl::InfinitePast();
  std::deque<PendingRead> others;
  for (PendingRead& read : this->waiting) {
    if (read.key == key)
      latest = std::max(latest, read.deadline);
    (read.key == key ? this->being_read : others).push_back(std::move(read));
  }
  this->waiting = std::move(others);
  this->read_in_progress = true;
  ++this->read_count;
  this->caller->Call(
      this->codec.EncodeReadRow(StoreTable::kControl, key),
      std::min(kReadTimeout, latest - this->clock.Now()),
      [this, key](const HttpResult& answer) { this->OnRead(key, answer); });
}

void ServiceRowReader::OnRead(const std::string& key,
                              const HttpResult& answer) {
  this->read_in_progress = false;
  if (answer.status != kOk) {
    this->OnFailed(answer.reason, answer);
    return this->Continue();
  }
  auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
  if (!page.ok()) {
    this->OnFailed(page.error().ToString(), answer);
    return this->Continue();
  }
  this->failed_reads = 0;
  ServiceRowReading reading;
  reading.era = this->codec.DecodeEra(answer.headers).value_or(0);
  for (const StoreRow& row : page.value().rows) {
    if (row.key == key && !row.removed)
      reading.value = row.value;
  }
  for (const PendingRead& read : std::exchange(this->being_read, {}))
    read.done(reading);
  this->Continue();
}

/// Has the read repeated for those that can still wait.
void ServiceRowReader::OnFailed(std::string_view reason,
                                const HttpResult& answer) {
  if (++this->failed_reads == 1) {
    this->log.Write(LogEvent("service_row_not_read")
                        .Add("status", answer.status)
                        .Add("reason", reason));
  }
  this->retry_at = this->clock.Now() + kRetryPause;
  // They came before those that wait.
  this->waiting.insert(this->waiting.begin(),
                       std::make_move_iterator(this->being_read.begin()),
                       std::make_move_iterator(this->being_read.end()));
  this->being_read.clear();
}

}  // namespace cranberryhill::gateway
