#include "cranberryhill/stream_versions/stream_version_sweeper.h"

#include <algorithm>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// Time between two sweeps of a fleet, whatever its size.
constexpr absl::Duration kSweepInterval = absl::Seconds(30);
/// Rows are of no use after this time. It is longer than the lifetime of a
/// record, the delay of its removal and that of a write that is performed late.
constexpr absl::Duration kMaxRowAge = absl::Seconds(60);
constexpr absl::Duration kCallTimeout = absl::Seconds(2);
/// Rows of a transaction of the store.
constexpr size_t kMaxRowsPerWrite = 100;
constexpr int kOk = 200;

}  // namespace

StreamVersionSweeper::StreamVersionSweeper(std::unique_ptr<HttpCaller> caller,
                                           const StoreCodec& codec,
                                           EventLog& log,
                                           const Clock& clock,
                                           Random& random)
    : caller(std::move(caller)),
      codec(codec),
      log(log),
      clock(clock),
      random(random) {}

void StreamVersionSweeper::Tick(size_t instances) {
  this->instances = instances;
  if (this->in_progress)
    return;
  if (!this->due)
    this->ScheduleNext();
  if (this->clock.Now() < *this->due)
    return;
  this->in_progress = true;
  this->version.reset();
  this->has_rows = false;
  this->old_rows.clear();
  this->part = 0;
  this->ReadPage("");
}

void StreamVersionSweeper::OnStoreRestored() {
  this->earlier_version.reset();
  this->version.reset();
  this->old_rows.clear();
}

void StreamVersionSweeper::ScheduleNext() {
  absl::Duration interval =
      kSweepInterval *
      static_cast<double>(std::max<size_t>(1, this->instances));
  this->due = this->clock.Now() + 2 * interval * this->random.UniformDouble();
}

void StreamVersionSweeper::ReadPage(const std::string& from) {
  ++this->store_call_count;
  this->caller->Call(
      this->codec.EncodeRead({StoreTable::kStreamVersions, this->part}, from),
      kCallTimeout, [this](const HttpResult& answer) { this->OnPage(answer); });
}

void StreamVersionSweeper::OnPage(const HttpResult& answer) {
  std::string reason = answer.reason;
  std::optional<StorePage> page;
  if (answer.status == kOk) {
    auto decoded = Capture([&] { return this->codec.DecodePage(answer.body); });
    if (decoded.ok())
      page = std::move(decoded.value());
    else
      reason = decoded.error().ToString();
  }
  if (!page) {
    this->log.Write(LogEvent("stream_version_sweep_failed")
                        .Add("status", answer.status)
                        .Add("reason", reason));
    return this->End();
  }
  // Versions of another era say nothing about the age of rows.
  uint64_t era = this->codec.DecodeEra(answer.headers).value_or(0);
  if (std::exchange(this->era, era) != era)
    this->OnStoreRestored();
  if (!this->version)
    this->version = page->version;
  this->next_key = page->has_more && !page->rows.empty()
                       ? page->rows.back().key + '\x01'
                       : "";
  for (StoreRow& row : page->rows) {
    this->has_rows = true;
    if (this->earlier_version && row.version <= *this->earlier_version)
      this->old_rows.push_back(std::move(row));
  }
  this->RemoveRows();
}

/// Removes the rows found so far, then goes on with the next page.
void StreamVersionSweeper::RemoveRows() {
  if (this->old_rows.empty()) {
    if (this->next_key.empty() && ++this->part == forward::kStreamVersionParts)
      return this->End();
    return this->ReadPage(this->next_key);
  }
  size_t count = std::min(this->old_rows.size(), kMaxRowsPerWrite);
  std::vector<RowUpdate> removals;
  auto first = this->old_rows.end() - static_cast<std::ptrdiff_t>(count);
  for (auto row = first; row != this->old_rows.end(); ++row)
    removals.push_back({std::move(row->key), "", true});
  this->old_rows.resize(this->old_rows.size() - count);
  ++this->store_call_count;
  this->caller->Call(
      this->codec.EncodeUpdate({StoreTable::kStreamVersions, this->part},
                               removals),
      kCallTimeout, [this, count](const HttpResult& answer) {
        this->log.Write(LogEvent("stream_version_rows_removed")
                            .Add("rows", static_cast<uint64_t>(count))
                            .Add("status", answer.status)
                            .Add("reason", answer.reason));
        if (answer.status != kOk)
          return this->End();
        this->RemoveRows();
      });
}

/// Rows that are in the store now may have been left there: they are looked at
/// again when they are old enough.
void StreamVersionSweeper::End() {
  this->in_progress = false;
  this->earlier_version = this->has_rows
                              ? std::exchange(this->version, std::nullopt)
                              : std::nullopt;
  this->ScheduleNext();
  if (this->earlier_version)
    this->due = std::max(*this->due, this->clock.Now() + kMaxRowAge);
}

}  // namespace cranberryhill::gateway
