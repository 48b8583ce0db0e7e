#include "cranberryhill/gateway/stream_version_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryhill::gateway {
namespace {

constexpr size_t kMaxRecentStreams = 50'000;
/// A stream is found by another instance after the next write.
constexpr absl::Duration kMinInterval = absl::Milliseconds(100);
/// A part of the store performs 200 transactions per second, one after another.
/// All instances together make 167, so that none queue for long.
constexpr absl::Duration kIntervalPerInstance = absl::Milliseconds(6);
/// While the number of instances is not known; enough for 166.
constexpr absl::Duration kIntervalOfUnknownFleet = absl::Seconds(1);
/// The interval after several failed calls.
constexpr absl::Duration kMaxRetryInterval = absl::Seconds(1);
/// Allows for a slow store, which takes 60 times its usual 5 ms.
constexpr absl::Duration kWriteTimeout = absl::Seconds(1);
/// Longest time that a request waits for the version of its stream.
constexpr absl::Duration kFindTimeout = absl::Milliseconds(300);
/// Instances that see a second version at the same time spread their writes
/// over this time per instance; one of them is enough.
constexpr absl::Duration kMixedSpreadPerInstance = absl::Milliseconds(5);
/// The same for a version that has become the only one, which is not urgent.
constexpr absl::Duration kSoleSpreadPerInstance = absl::Milliseconds(50);
constexpr absl::Duration kServiceRowRetry = absl::Milliseconds(150);
/// Rows of an earlier start of this instance are of no use after this time,
/// which is longer than kStreamVersionLifetime.
constexpr absl::Duration kStaleRowsDelay = absl::Seconds(17);
constexpr absl::Duration kStaleRowsSpread = absl::Seconds(10);
constexpr size_t kMaxStaleRowsPerWrite = 20;

constexpr int kOk = 200;

std::string ServiceRowKey(std::string_view service) {
  return fmt::format("service-version/{}", service);
}

}  // namespace

StoredStreamVersions::StoredStreamVersions(std::string instance,
                                           Channels channels,
                                           const StoreCodec& codec,
                                           StreamVersionFleet& fleet,
                                           EventLog& log,
                                           const Clock& clock,
                                           Random& random)
    : own_prefix(instance + "/"),
      start_prefix(fmt::format("{}/{:016x}/",
                               instance,
                               random.UniformInt(0, UINT64_MAX))),
      channels(std::move(channels)),
      codec(codec),
      fleet(fleet),
      log(log),
      clock(clock),
      random(random),
      recent(kMaxRecentStreams, clock),
      segments(clock),
      service_versions(clock),
      stale_rows_due(clock.Now() + kStaleRowsDelay +
                     kStaleRowsSpread * random.UniformDouble()) {}

void StoredStreamVersions::Stop() {
  this->channels.writer->Cancel();
  this->channels.reader->Cancel();
  this->channels.write_timer->Cancel();
  this->channels.read_timer->Cancel();
  this->channels.service_row_timer->Cancel();
}

/// @return The time between two writes, and between two reads, of an instance.
absl::Duration StoredStreamVersions::Interval() const {
  auto instances = this->fleet.InstanceCount();
  return instances ? std::max(kMinInterval, kIntervalPerInstance *
                                                static_cast<double>(*instances))
                   : kIntervalOfUnknownFleet;
}

void StoredStreamVersions::OnStreamBegan(std::string_view service,
                                         std::string_view attempt_id,
                                         std::string_view version) {
  // Nobody can name the stream.
  if (attempt_id.empty())
    return;
  forward::StreamVersionRecord record{
      std::string(service), std::string(attempt_id), std::string(version)};
  if (this->SoleVersion(service) == version) {
    this->recent.AddOwn(record, false);
    return;
  }
  this->recent.AddOwn(record, true);
  if (!this->segments.Add(record))
    ++this->records_refused;
  this->WriteSoon();
}

void StoredStreamVersions::Find(std::string_view service,
                                std::string_view attempt_id,
                                Callback done) {
  if (this->recent.Contains(service, attempt_id))
    return done(this->recent.Find(service, attempt_id));
  if (auto version = this->SoleVersion(service))
    return done(std::move(version));
  this->waiting.push_back({std::string(service), std::string(attempt_id),
                           this->clock.Now() + kFindTimeout, std::move(done)});
  this->ContinueReading();
}

/// Takes over what the local copy of the control table says.
/// @return Null if that may be out of date.
StoredStreamVersions::ServiceRow* StoredStreamVersions::UpdateServiceRow(
    std::string_view service) {
  auto found = this->fleet.FindServiceRow(ServiceRowKey(service));
  if (!found)
    return nullptr;
  auto [known, added] = this->service_rows.try_emplace(std::string(service));
  ServiceRow& row = known->second;
  if (added)
    row.since = this->clock.Now();
  if (row.version == found->version)
    return &row;
  row.version = found->version;
  auto previous = std::exchange(row.value, std::nullopt);
  if (found->version != kAbsentVersion) {
    auto value =
        Capture([&] { return forward::DecodeServiceVersion(found->value); });
    if (value.ok()) {
      row.value = std::move(value.value());
    } else {
      this->log.Write(LogEvent("service_version_unreadable")
                          .Add("service", service)
                          .Add("reason", value.error().ToString()));
      // Treated as several versions: all streams are recorded.
      row.value = forward::ServiceVersionRow{};
    }
  }
  row.since = this->clock.Now();
  if (row.value == previous)
    return &row;
  if (row.value && row.value->sole) {
    this->log.Write(LogEvent("service_version_sole")
                        .Add("service", service)
                        .Add("version", *row.value->sole));
  } else {
    this->log.Write(LogEvent("service_versions_mixed").Add("service", service));
  }
  return &row;
}

/// @return The version of all streams of the service that have no record of
///     their own, if the registry and the row agree on it.
std::optional<std::string> StoredStreamVersions::SoleVersion(
    std::string_view service) {
  ServiceRow* row = this->UpdateServiceRow(service);
  if (row == nullptr || !row->value || !row->value->sole)
    return std::nullopt;
  std::vector<std::string> versions =
      this->service_versions.VersionsOf(service);
  if (versions.size() != 1 || versions.front() != *row->value->sole)
    return std::nullopt;
  return versions.front();
}

void StoredStreamVersions::OnRegistered(std::string_view service,
                                        std::string_view version) {
  if (this->service_versions.Observe(service, version))
    this->Check(service);
}

void StoredStreamVersions::Tick() {
  if (!this->fleet.IsRegistryCurrent())
    this->service_versions.OnRegistryOutdated();
  for (const std::string& service : this->service_versions.Services())
    this->Check(service);
  if (this->segments.HasWork() || !this->stale_rows.empty())
    this->WriteSoon();
  if (this->clock.Now() >= this->stale_rows_due && !this->read_in_progress)
    this->FindStaleRows();
}

/// Schedules a write of the service's row if it has to say something else.
void StoredStreamVersions::Check(std::string_view service) {
  ServiceRow* row = this->UpdateServiceRow(service);
  if (row == nullptr)
    return;
  bool has_sole_version = this->SoleVersion(service).has_value();
  if (std::exchange(row->had_sole_version, has_sole_version) &&
      !has_sole_version)
    this->OnVersionsMixed(service);
  auto to_write = this->service_versions.RowToWrite(
      service, row->value ? &*row->value : nullptr, row->since);
  if (!to_write) {
    row->write_at = absl::InfiniteFuture();
    return;
  }
  if (row->write_at != absl::InfiniteFuture())
    return;
  absl::Duration spread =
      to_write->sole ? kSoleSpreadPerInstance : kMixedSpreadPerInstance;
  spread *= static_cast<double>(this->fleet.InstanceCount().value_or(1));
  row->write_at = this->clock.Now() + spread * this->random.UniformDouble();
  // Another instance may have written it already.
  this->fleet.RefreshServiceRows();
  this->ArmServiceRowTimer();
}

/// Stores the streams that needed no record until now.
void StoredStreamVersions::OnVersionsMixed(std::string_view service) {
  for (const auto& record : this->recent.TakeUnstored(service)) {
    if (!this->segments.Add(record))
      ++this->records_refused;
  }
  // All instances come here at about the same time.
  absl::Duration spread = this->Interval() * this->random.UniformDouble();
  this->write_started_at =
      std::max(this->write_started_at, this->clock.Now() - spread);
  this->WriteSoon();
}

void StoredStreamVersions::ArmServiceRowTimer() {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [service, row] : this->service_rows)
    next = std::min(next, row.write_at);
  if (next == absl::InfiniteFuture())
    return this->channels.service_row_timer->Cancel();
  this->channels.service_row_timer->Start(
      std::max(absl::ZeroDuration(), next - this->clock.Now()),
      [this] { this->WriteServiceRows(); });
}

void StoredStreamVersions::WriteServiceRows() {
  absl::Time now = this->clock.Now();
  for (auto& [service, row] : this->service_rows) {
    if (row.write_at <= now)
      this->WriteServiceRow(service, row);
  }
  this->ArmServiceRowTimer();
}

void StoredStreamVersions::WriteServiceRow(const std::string& service,
                                           ServiceRow& row) {
  row.write_at = absl::InfiniteFuture();
  if (this->UpdateServiceRow(service) == nullptr)
    return;  // Tick() schedules the write again.
  auto to_write = this->service_versions.RowToWrite(
      service, row.value ? &*row.value : nullptr, row.since);
  if (!to_write)
    return;
  if (this->service_row_write_in_progress) {
    row.write_at = this->clock.Now() + kServiceRowRetry;
    return;
  }
  this->service_row_write_in_progress = true;
  std::string key = ServiceRowKey(service);
  Transaction transaction;
  transaction.checks.push_back({key, row.version});
  transaction.puts.push_back({key, forward::EncodeServiceVersion(*to_write)});
  this->fleet.CommitServiceRow(
      std::move(transaction), [this, service](const CommitOutcome& outcome) {
        this->service_row_write_in_progress = false;
        if (outcome.state == CommitState::kCommitted ||
            outcome.state == CommitState::kConflict) {
          this->UpdateServiceRow(service);
          return;
        }
        // ControlTable logs the failure.
        this->service_rows[service].write_at =
            this->clock.Now() +
            kServiceRowRetry * (1 + this->random.UniformDouble());
        this->ArmServiceRowTimer();
      });
}

std::string StoredStreamVersions::RowKey(uint64_t segment) const {
  return fmt::format("{}{:08}", this->start_prefix, segment);
}

void StoredStreamVersions::WriteSoon() {
  if (this->write_in_progress || this->write_scheduled)
    return;
  this->write_scheduled = true;
  absl::Duration interval = this->Interval();
  if (this->failed_writes > 0) {
    double backoff = std::pow(2, std::min(this->failed_writes, 4)) *
                     (0.5 + this->random.UniformDouble());
    interval =
        std::max(interval, std::min(kMaxRetryInterval, kMinInterval * backoff));
  }
  absl::Duration wait = this->write_started_at + interval - this->clock.Now();
  this->channels.write_timer->Start(std::max(absl::ZeroDuration(), wait),
                                    [this] { this->Write(); });
}

void StoredStreamVersions::Write() {
  this->write_scheduled = false;
  auto write = this->segments.StartWrite();
  std::vector<StoreRow> rows;
  size_t records = 0;
  if (write) {
    records = write->records;
    for (const forward::StreamVersionRow& row : write->rows)
      rows.push_back({this->RowKey(row.segment), row.value});
    for (uint64_t segment : write->removed_segments)
      rows.push_back({this->RowKey(segment), "", 0, true});
  }
  size_t stale_rows = std::min(this->stale_rows.size(), kMaxStaleRowsPerWrite);
  for (size_t i = 0; i < stale_rows; ++i)
    rows.push_back({this->stale_rows[i], "", 0, true});
  if (rows.empty())
    return;
  this->write_in_progress = true;
  this->write_started_at = this->clock.Now();
  ++this->store_call_count;
  this->channels.writer->Call(
      this->codec.EncodeUpdate(StoreTable::kStreamVersions, rows),
      kWriteTimeout, [this, records, stale_rows](const HttpResult& answer) {
        this->OnWritten(records, stale_rows, answer);
      });
}

void StoredStreamVersions::OnWritten(size_t records,
                                     size_t stale_rows,
                                     const HttpResult& answer) {
  this->write_in_progress = false;
  bool written = answer.status == kOk;
  bool unknown = answer.status == 0 && answer.sent;
  this->segments.OnWriteEnded(
      written   ? forward::StreamVersionWriteOutcome::kWritten
      : unknown ? forward::StreamVersionWriteOutcome::kUnknown
                : forward::StreamVersionWriteOutcome::kNotWritten);
  this->OnEraOf(answer);
  if (written) {
    this->records_written_count += records;
    this->stale_rows.erase(
        this->stale_rows.begin(),
        this->stale_rows.begin() + static_cast<std::ptrdiff_t>(stale_rows));
    if (this->failed_writes > 0) {
      this->log.Write(LogEvent("stream_versions_written_again")
                          .Add("failed_writes", this->failed_writes)
                          .Add("lost_records", this->records_lost()));
    }
    this->failed_writes = 0;
  } else if (++this->failed_writes == 1) {
    this->log.Write(LogEvent("stream_versions_not_written")
                        .Add("status", answer.status)
                        .Add("reason", answer.reason));
  }
  if (this->segments.HasWork() || !this->stale_rows.empty())
    this->WriteSoon();
}

void StoredStreamVersions::OnEraOf(const HttpResult& answer) {
  auto era = this->codec.DecodeEra(answer.headers);
  if (!era || *era <= this->store_era)
    return;
  if (std::exchange(this->store_era, *era) != 0)
    this->segments.OnStoreRestored();
}

/// Begins a read if one is due, and waits for the next event otherwise.
void StoredStreamVersions::ContinueReading() {
  this->EndExpired(this->waiting);
  this->EndExpired(this->being_read);
  absl::Time now = this->clock.Now();
  absl::Time next = absl::InfiniteFuture();
  for (const auto* finds : {&this->waiting, &this->being_read}) {
    if (!finds->empty())
      next = std::min(next, finds->front().deadline);
  }
  if (!this->waiting.empty() && !this->read_in_progress) {
    absl::Time due = this->read_started_at + this->Interval();
    if (due <= now) {
      std::swap(this->being_read, this->waiting);
      this->read_in_progress = true;
      this->read_started_at = now;
      ++this->read_count;
      this->ReadPage("");
      // The answer may have come already.
      if (!this->read_in_progress)
        return;
      next = this->being_read.front().deadline;
    } else {
      next = std::min(next, due);
    }
  }
  if (next != absl::InfiniteFuture()) {
    this->channels.read_timer->Start(std::max(absl::ZeroDuration(), next - now),
                                     [this] { this->ContinueReading(); });
  }
}

void StoredStreamVersions::ReadPage(const std::string& from) {
  ++this->store_call_count;
  this->channels.reader->Call(
      this->codec.EncodeRead(StoreTable::kStreamVersions, from), kFindTimeout,
      [this](const HttpResult& answer) { this->OnPage(answer); });
}

void StoredStreamVersions::OnPage(const HttpResult& answer) {
  this->OnEraOf(answer);
  std::string reason = answer.reason;
  bool readable = false;
  StorePage page;
  if (answer.status == kOk) {
    auto decoded = Capture([&] { return this->codec.DecodePage(answer.body); });
    readable = decoded.ok();
    if (readable)
      page = std::move(decoded.value());
    else
      reason = decoded.error().ToString();
  }
  if (!readable) {
    if (++this->failed_reads == 1) {
      this->log.Write(LogEvent("stream_versions_not_read")
                          .Add("status", answer.status)
                          .Add("reason", reason));
    }
    return this->OnReadEnded(false);
  }
  for (const StoreRow& row : page.rows) {
    if (row.removed)
      continue;
    if (this->reads_stale_rows) {
      if (row.key.starts_with(this->own_prefix) &&
          !row.key.starts_with(this->start_prefix))
        this->stale_rows.push_back(row.key);
      continue;
    }
    auto records =
        Capture([&] { return forward::DecodeStreamVersions(row.value); });
    if (!records.ok()) {
      this->log.Write(LogEvent("stream_versions_unreadable")
                          .Add("key", row.key)
                          .Add("reason", records.error().ToString()));
      continue;
    }
    for (const forward::StreamVersionRecord& record : records.value())
      this->recent.AddRead(record);
  }
  // The rows of an earlier start fit into one page.
  if (page.has_more && !page.rows.empty() && !this->reads_stale_rows)
    return this->ReadPage(page.rows.back().key + '\x01');
  this->failed_reads = 0;
  this->OnReadEnded(true);
}

void StoredStreamVersions::OnReadEnded(bool complete) {
  this->read_in_progress = false;
  if (std::exchange(this->reads_stale_rows, false)) {
    if (!complete)
      this->stale_rows_due = this->clock.Now() + kStaleRowsDelay;
    return this->ContinueReading();
  }
  std::deque<PendingFind> finds = std::exchange(this->being_read, {});
  if (complete) {
    for (PendingFind& find : finds) {
      auto version = this->recent.Find(find.service, find.attempt_id);
      if (!version)
        this->OnUnknown(find, "no_record");
      find.done(std::move(version));
    }
  } else {
    // They came before those that wait.
    this->waiting.insert(this->waiting.begin(),
                         std::make_move_iterator(finds.begin()),
                         std::make_move_iterator(finds.end()));
  }
  this->ContinueReading();
}

void StoredStreamVersions::EndExpired(std::deque<PendingFind>& finds) {
  while (!finds.empty() && finds.front().deadline <= this->clock.Now()) {
    PendingFind find = std::move(finds.front());
    finds.pop_front();
    this->OnUnknown(find, "timeout");
    find.done(std::nullopt);
  }
}

void StoredStreamVersions::OnUnknown(const PendingFind& find,
                                     std::string_view reason) {
  ++this->unknown_count;
  this->log.Write(LogEvent("stream_version_unknown")
                      .Add("service", find.service)
                      .Add("attempt", find.attempt_id)
                      .Add("reason", reason));
}

/// Reads which rows an earlier start of this instance has left in the store.
void StoredStreamVersions::FindStaleRows() {
  this->stale_rows_due = absl::InfiniteFuture();
  this->reads_stale_rows = true;
  this->read_in_progress = true;
  ++this->read_count;
  this->ReadPage(this->own_prefix);
}

}  // namespace cranberryhill::gateway
