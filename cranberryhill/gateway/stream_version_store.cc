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
/// Time that a row may take to be written beyond the interval of writes, for a
/// connection to the store, a queue there and one repeated write.
constexpr absl::Duration kWriteSlack = absl::Milliseconds(500);
/// Instances that see a second version at the same time spread their writes
/// over this time per instance; one of them is enough.
constexpr absl::Duration kMixedSpreadPerInstance = absl::Milliseconds(5);
/// The same for a version that has become the only one, which is not urgent.
constexpr absl::Duration kSoleSpreadPerInstance = absl::Milliseconds(50);
constexpr absl::Duration kServiceRowRetry = absl::Milliseconds(150);

constexpr int kOk = 200;

std::string ServiceRowKey(std::string_view service) {
  return fmt::format("service-version/{}", service);
}

}  // namespace

StoredStreamVersions::StoredStreamVersions(Channels channels,
                                           const StoreCodec& codec,
                                           StreamVersionFleet& fleet,
                                           EventLog& log,
                                           const Clock& clock,
                                           Random& random)
    : writer(std::move(channels.writer)),
      write_timer(std::move(channels.write_timer)),
      service_row_timer(std::move(channels.service_row_timer)),
      codec(codec),
      fleet(fleet),
      log(log),
      clock(clock),
      random(random),
      recent(kMaxRecentStreams, clock),
      queue(clock),
      service_versions(clock),
      finder(
          std::move(channels.readers),
          std::move(channels.find_timer),
          [this](const HttpResult& answer) { this->OnEraOf(answer); },
          codec,
          log,
          clock,
          random),
      sweeper(std::move(channels.sweeper), codec, log, clock, random) {}

void StoredStreamVersions::Stop() {
  this->writer->Cancel();
  this->write_timer->Cancel();
  this->service_row_timer->Cancel();
  this->finder.Stop();
  this->sweeper.Stop();
}

/// @return The time between two writes of an instance.
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
  if (!this->queue.Add(record))
    ++this->records_refused;
  this->WriteSoon();
}

void StoredStreamVersions::Find(std::string_view service,
                                std::string_view attempt_id,
                                absl::Duration wait,
                                Callback done) {
  if (this->recent.Contains(service, attempt_id))
    return done(this->recent.Find(service, attempt_id));
  if (auto version = this->SoleVersion(service))
    return done(std::move(version));
  if (attempt_id.empty()) {
    ++this->unknown_count;
    return done(std::nullopt);
  }
  this->finder.Find(
      attempt_id, wait, this->Interval() + kWriteSlack,
      [this, service = std::string(service),
       attempt_id = std::string(attempt_id), done = std::move(done)](
          const std::optional<forward::StreamVersionRecord>& record) {
        this->OnRecordRead(service, attempt_id, record, done);
      });
}

void StoredStreamVersions::OnRecordRead(
    std::string_view service,
    std::string_view attempt_id,
    const std::optional<forward::StreamVersionRecord>& record,
    const Callback& done) {
  if (record)
    this->recent.AddRead(*record);
  auto version = this->recent.Find(service, attempt_id);
  if (!version)
    ++this->unknown_count;
  done(std::move(version));
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
  if (this->queue.HasWork())
    this->WriteSoon();
  if (auto instances = this->fleet.InstanceCount())
    this->sweeper.Tick(*instances);
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
    if (!this->queue.Add(record))
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
    return this->service_row_timer->Cancel();
  this->service_row_timer->Start(
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
  this->write_timer->Start(std::max(absl::ZeroDuration(), wait),
                           [this] { this->Write(); });
}

void StoredStreamVersions::Write() {
  this->write_scheduled = false;
  auto write = this->queue.StartWrite();
  if (!write)
    return;
  std::vector<StoreRow> rows;
  for (const forward::StreamVersionRecord& record : write->records)
    rows.push_back({record.attempt_id, forward::EncodeStreamVersion(record)});
  for (const std::string& attempt_id : write->removed_attempt_ids)
    rows.push_back({attempt_id, "", 0, true});
  this->write_in_progress = true;
  this->write_started_at = this->clock.Now();
  ++this->write_count;
  this->writer->Call(
      this->codec.EncodeUpdate(StoreTable::kStreamVersions, rows),
      kWriteTimeout,
      [this, records = write->records.size()](const HttpResult& answer) {
        this->OnWritten(records, answer);
      });
}

void StoredStreamVersions::OnWritten(size_t records, const HttpResult& answer) {
  this->write_in_progress = false;
  bool written = answer.status == kOk;
  bool unknown = answer.status == 0 && answer.sent;
  this->queue.OnWriteEnded(
      written   ? forward::StreamVersionWriteOutcome::kWritten
      : unknown ? forward::StreamVersionWriteOutcome::kUnknown
                : forward::StreamVersionWriteOutcome::kNotWritten);
  this->OnEraOf(answer);
  if (written) {
    this->records_written_count += records;
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
  if (this->queue.HasWork())
    this->WriteSoon();
}

void StoredStreamVersions::OnEraOf(const HttpResult& answer) {
  auto era = this->codec.DecodeEra(answer.headers);
  if (!era || *era <= this->store_era)
    return;
  if (std::exchange(this->store_era, *era) != 0) {
    this->queue.OnStoreRestored();
    this->sweeper.OnStoreRestored();
  }
}

}  // namespace cranberryhill::gateway
