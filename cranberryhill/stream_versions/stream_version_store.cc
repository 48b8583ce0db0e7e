#include "cranberryhill/stream_versions/stream_version_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryhill::gateway {
namespace {

constexpr size_t kMaxRecentStreams = 50'000;
/// Least time between two writes of an instance. First events wait for them, so
/// it is short; streams that begin within it share a write.
constexpr absl::Duration kMinInterval = absl::Milliseconds(25);
/// All instances together make at most 1,000 writes per second, of which the
/// store performs 200 in each part.
constexpr absl::Duration kIntervalPerInstance = absl::Milliseconds(1);
/// While the number of instances is not known.
constexpr absl::Duration kIntervalOfUnknownFleet = absl::Milliseconds(200);
/// The interval after several failed calls.
constexpr absl::Duration kMinRetryInterval = absl::Milliseconds(100);
constexpr absl::Duration kMaxRetryInterval = absl::Seconds(1);
/// Time limit of a write; doubles after each failure. First events wait for a
/// write whose answer was lost to be repeated.
constexpr absl::Duration kFirstWriteTimeout = absl::Milliseconds(200);
/// Allows for a slow store, which takes 60 times its usual 5 ms.
constexpr absl::Duration kMaxWriteTimeout = absl::Seconds(1);
/// Longest time that a first event waits for its record: two writes. Callers
/// give up a stream that is silent for two seconds.
constexpr absl::Duration kMaxPrepareTime = absl::Milliseconds(800);
/// After so many failed writes in a row first events do not wait any more.
constexpr int kFailedWritesOfLostStore = 2;
/// Instances that find at the same time that a row has to be written spread
/// their writes over this time per instance; one of them is enough.
constexpr absl::Duration kServiceRowSpread = absl::Milliseconds(50);
/// The same for a write that is urgent: without a row every stream needs a
/// record, and without replicas of the base nothing can go on there.
constexpr absl::Duration kUrgentRowSpread = absl::Milliseconds(5);
constexpr absl::Duration kServiceRowRetry = absl::Milliseconds(150);

/// An instance that did not tick for this long has stood still. It takes a
/// version for gone only when it has been awake for as long as entries of the
/// registry may lapse.
constexpr absl::Duration kStandstill = absl::Seconds(1);
constexpr absl::Duration kLongestLapse = absl::Seconds(3);
/// A version that an instance out of touch with the registry has seen there may
/// have gone and another may have become the base after this time, less what
/// callers need to take a stream up.
constexpr absl::Duration kMaxRegistryOutage = absl::Seconds(5);
/// The local copy of a row may be this much older than it looks: an answer of
/// the store may take a moment to arrive. Another base follows much later.
constexpr absl::Duration kMaxAnswerDelay = absl::Seconds(2);
/// Time limit of a read that confirms the local copy of a row, and the pause
/// after one that failed, as refused calls have a cost.
constexpr absl::Duration kConfirmationTimeout = absl::Milliseconds(600);
constexpr absl::Duration kConfirmationPause = absl::Seconds(3);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflictStatus = 412;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

/// @return True if a write without a readable confirmation may have been
///     performed, or may be performed later.
bool MayHaveTakenEffect(const HttpResult& answer) {
  bool was_refused =
      answer.status == kUnavailable ||
      (answer.status >= kBadRequest && answer.status < kServerError);
  return answer.sent && !was_refused;
}

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
      ticked_at(clock.Now()),
      awake_since(clock.Now()),
      registry_current_at(clock.Now()),
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

void StoredStreamVersions::Prepare(std::string_view service,
                                   std::string_view attempt_id,
                                   std::string_view version,
                                   RecordRule rule,
                                   std::function<void(bool prepared)> done) {
  // Nobody can name a stream without an id, and take-ups of one that cannot be
  // stored are refused while there is a choice of versions. An attempt that has
  // been recorded at another version keeps a record, also at the base.
  bool needs_record = forward::StreamVersionQueue::CanStore(attempt_id) &&
                      (rule == RecordRule::kAlways ||
                       this->RecordlessVersion(service) != version ||
                       this->queue.VersionOf(attempt_id).has_value());
  if (!needs_record)
    return done(true);
  forward::StreamVersionRecord record{
      std::string(service), std::string(attempt_id), std::string(version)};
  if (!this->queue.Add(record)) {
    ++this->records_refused;
    ++this->late_count;
    return done(false);
  }
  if (this->queue.IsWritten(record))
    return done(true);
  this->WriteSoon();
  if (!this->CanRecord())
    return done(false);
  this->pending_streams.push_back({std::move(record),
                                   this->clock.Now() + kMaxPrepareTime,
                                   std::move(done)});
}

void StoredStreamVersions::OnStreamBegan(std::string_view service,
                                         std::string_view attempt_id,
                                         std::string_view version) {
  if (attempt_id.empty())
    return;
  this->recent.Add(
      {std::string(service), std::string(attempt_id), std::string(version)});
}

bool StoredStreamVersions::MayBeginUnrecorded(std::string_view service,
                                              std::string_view version) {
  if (this->RecordlessVersion(service) == version)
    return true;
  auto base = this->BaseVersion(service);
  bool is_retired = this->HasRetiredBase(service);
  if (!base && !is_retired)
    return this->IsOnlyVersion(service, version);
  // Another version becomes the base only after it has been listed for longer
  // than a stream lasts that begins now, and the former one does not count when
  // it comes back.
  absl::Time now = this->clock.Now();
  return (is_retired || this->service_versions.IsGone(service, *base)) &&
         now - this->awake_since >= kLongestLapse &&
         now - this->registry_current_at <= kMaxRegistryOutage &&
         this->service_versions.IsListedAlone(service, version);
}

bool StoredStreamVersions::Withdraw(std::string_view attempt_id) {
  std::erase_if(this->pending_streams, [&](const PendingStream& stream) {
    return stream.record.attempt_id == attempt_id;
  });
  return this->queue.Withdraw(attempt_id);
}

bool StoredStreamVersions::NeedsNoRecord(std::string_view service,
                                         std::string_view version) {
  auto recordless = this->RecordlessVersion(service);
  return !recordless || *recordless == version;
}

bool StoredStreamVersions::CanRecord() const {
  bool is_late = this->write_in_progress &&
                 this->clock.Now() - this->write_started_at > kMaxPrepareTime;
  // Without a write that is repeated, the next one tells.
  bool is_retrying = this->write_in_progress || this->write_scheduled;
  bool is_lost = is_retrying && this->failed_writes >= kFailedWritesOfLostStore;
  return !is_lost && !is_late;
}

void StoredStreamVersions::Find(std::string_view service,
                                std::string_view attempt_id,
                                absl::Duration wait,
                                Callback done) {
  if (this->recent.Contains(attempt_id))
    return done(this->RecentOrigin(attempt_id));
  absl::Time deadline = this->clock.Now() + wait;
  // Another instance may have changed the row a moment ago, and this one may
  // not have run or been reached since.
  this->fleet.ReadServiceRow(
      ServiceRowKey(service), wait,
      [this, service = std::string(service),
       attempt_id = std::string(attempt_id), began_at = this->clock.Now(),
       deadline, done = std::move(done)](
          const std::optional<ServiceRowReading>& reading) {
        if (!reading) {
          this->OnUnknown(service, attempt_id, "service_row_not_read");
          return done(std::nullopt);
        }
        this->OnServiceRowRead(service, *reading, began_at);
        this->FindRecord(service, attempt_id, deadline, BaseVersionIn(*reading),
                         done);
      });
}

std::optional<StreamOrigin> StoredStreamVersions::RecentOrigin(
    std::string_view attempt_id) {
  auto record = this->recent.Find(attempt_id);
  if (!record)
    return std::nullopt;
  return StreamOrigin{std::move(record->service), std::move(record->version)};
}

/// Looks the stream's record up.
/// @param base Of the streams without a record.
void StoredStreamVersions::FindRecord(const std::string& service,
                                      const std::string& attempt_id,
                                      absl::Time deadline,
                                      BaseVersionReading base,
                                      Callback done) {
  // The record of a stream that cannot be named cannot be found.
  if (!forward::StreamVersionQueue::CanStore(attempt_id)) {
    if (base.version && !this->IsOnlyVersion(service, *base.version))
      base.version.reset();
    return this->OnRecordRead(service, attempt_id, base,
                              {std::nullopt, true, base.era}, done);
  }
  this->finder.Find(
      attempt_id, deadline - this->clock.Now(),
      [this, service, attempt_id, base = std::move(base),
       done = std::move(done)](const StreamVersionLookup& lookup) {
        this->OnRecordRead(service, attempt_id, base, lookup, done);
      });
}

void StoredStreamVersions::OnRecordRead(const std::string& service,
                                        const std::string& attempt_id,
                                        const BaseVersionReading& base,
                                        const StreamVersionLookup& lookup,
                                        const Callback& done) {
  if (lookup.record)
    this->recent.Add(*lookup.record);
  if (this->recent.Contains(attempt_id))
    return done(this->RecentOrigin(attempt_id));
  // A store that was restored between the two reads may have lost the record.
  auto version = lookup.has_no_row && lookup.era == base.era
                     ? this->UnrecordedVersion(service, base)
                     : std::nullopt;
  if (version) {
    this->log.Write(LogEvent("stream_version_by_service_row")
                        .Add("service", service)
                        .Add("attempt", attempt_id)
                        .Add("version", *version));
    return done(StreamOrigin{service, *version});
  }
  this->OnUnknown(service, attempt_id,
                  lookup.has_no_row ? "no_record" : "record_not_read");
  done(std::nullopt);
}

/// @return The version at which a stream without a record began; nothing if
///     there may be several.
std::optional<std::string> StoredStreamVersions::UnrecordedVersion(
    std::string_view service,
    const BaseVersionReading& base) const {
  if (base.is_retired) {
    std::vector<std::string> versions =
        this->service_versions.VersionsOf(service);
    return versions.size() == 1 && this->service_versions.KnowsAllVersions()
               ? std::optional(versions.front())
               : std::nullopt;
  }
  // While the base was away, an instance that could not store records may have
  // begun the stream at another version.
  bool is_certain =
      base.version && this->service_versions.IsListed(service, *base.version) &&
      !this->service_versions.WasAwayLately(service, *base.version);
  return is_certain ? base.version : std::nullopt;
}

void StoredStreamVersions::OnUnknown(std::string_view service,
                                     std::string_view attempt_id,
                                     std::string_view reason) {
  ++this->unknown_count;
  this->log.Write(LogEvent("stream_version_unknown")
                      .Add("service", service)
                      .Add("attempt", attempt_id)
                      .Add("reason", reason));
}

/// @return The version of the streams that have no record, by what the store
///     said; nothing if the row has come back with an older copy of the store.
StoredStreamVersions::BaseVersionReading StoredStreamVersions::BaseVersionIn(
    const ServiceRowReading& reading) {
  BaseVersionReading base{std::nullopt, reading.era};
  if (!reading.value)
    return base;
  auto row =
      Capture([&] { return forward::DecodeServiceVersion(*reading.value); });
  // UpdateServiceRow() logs a row that cannot be read.
  if (row.ok() && row.value().era == reading.era) {
    base.version = row.value().base;
    base.is_retired = !base.version;
  }
  return base;
}

/// @return True if the registry has listed no other version lately.
bool StoredStreamVersions::IsOnlyVersion(std::string_view service,
                                         std::string_view version) const {
  std::vector<std::string> versions =
      this->service_versions.VersionsOf(service);
  return versions.size() == 1 && versions.front() == version;
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
  uint64_t era = this->fleet.StoreEra();
  if (added || row.era != era)
    row.since = this->clock.Now();
  if (row.version == found->version && row.era == era)
    return &row;
  row.version = found->version;
  row.era = era;
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
      // Without a base, all streams are recorded.
      row.value = forward::ServiceVersionRow{};
    }
  }
  row.since = this->clock.Now();
  row.confirmed_at = row.since;
  if (row.value == previous)
    return &row;
  if (row.value) {
    this->log.Write(LogEvent("service_base_version")
                        .Add("service", service)
                        .Add("known", row.value->base.has_value())
                        .Add("version", row.value->base.value_or("")));
  }
  return &row;
}

/// @return True if the row names a base, and has not come back with an older
///     copy of the store.
bool StoredStreamVersions::IsTrusted(const ServiceRow& row) const {
  return row.value && row.value->base &&
         row.value->era == this->fleet.StoreEra();
}

/// @return The base version by the local copy of the row.
std::optional<std::string> StoredStreamVersions::BaseVersion(
    std::string_view service) {
  this->UpdateServiceRow(service);
  auto known = this->service_rows.find(service);
  if (known == this->service_rows.end() || !this->IsTrusted(known->second))
    return std::nullopt;
  return known->second.value->base;
}

/// @return True if the local copy of the row says that the replicas of the last
///     base have gone.
bool StoredStreamVersions::HasRetiredBase(std::string_view service) const {
  auto known = this->service_rows.find(service);
  return known != this->service_rows.end() && known->second.value &&
         !known->second.value->base &&
         known->second.value->era == this->fleet.StoreEra();
}

/// @return The version at which streams may begin without a record. Nothing if
///     there is none, or if the store has to confirm it first.
std::optional<std::string> StoredStreamVersions::RecordlessVersion(
    std::string_view service) {
  auto base = this->BaseVersion(service);
  if (!base)
    return std::nullopt;
  auto known = this->service_rows.find(service);
  if (this->IsConfirmed(service, *base, known->second))
    return base;
  if (!this->service_versions.IsGone(service, *base))
    this->ConfirmServiceRow(known->first, known->second);
  // Without another version there is nothing to confuse the stream with.
  return !this->CanRecord() && this->IsOnlyVersion(service, *base)
             ? base
             : std::nullopt;
}

/// @return True if the row has not come to name another base since the copy of
///     it was read.
bool StoredStreamVersions::IsConfirmed(std::string_view service,
                                       std::string_view base,
                                       const ServiceRow& row) const {
  bool has_no_rival = this->service_versions.KnowsAllVersions() &&
                      this->IsOnlyVersion(service, base);
  return has_no_rival ||
         (!this->service_versions.WasAwayLately(service, base) &&
          row.confirmed_at + kMaxAnswerDelay >=
              this->service_versions.ListedSince(service, base));
}

/// Reads the row, unless that is in progress or has just failed.
void StoredStreamVersions::ConfirmServiceRow(const std::string& service,
                                             ServiceRow& row) {
  if (this->clock.Now() < row.confirm_from)
    return;
  row.confirm_from = absl::InfiniteFuture();
  this->fleet.ReadServiceRow(
      ServiceRowKey(service), kConfirmationTimeout,
      [this, service, began_at = this->clock.Now()](
          const std::optional<ServiceRowReading>& reading) {
        this->service_rows[service].confirm_from =
            reading ? absl::InfinitePast()
                    : this->clock.Now() + kConfirmationPause;
        if (reading)
          this->OnServiceRowRead(service, *reading, began_at);
      });
}

/// Compares the local copy of the row with what the store has said.
void StoredStreamVersions::OnServiceRowRead(std::string_view service,
                                            const ServiceRowReading& reading,
                                            absl::Time began_at) {
  auto base = this->BaseVersion(service);
  if (!base)
    return;
  ServiceRow& row = this->service_rows.find(service)->second;
  if (BaseVersionIn(reading).version == base && reading.era == row.era) {
    row.confirmed_at = std::max(row.confirmed_at, began_at);
    return;
  }
  this->log.Write(
      LogEvent("service_row_copy_outdated")
          .Add("service", service)
          .Add("base", *base)
          .Add("row", reading.value.value_or(""))
          .Add("era", reading.era)
          .Add("confirmed_ms_ago", this->clock.Now() - row.confirmed_at));
  this->fleet.RefreshServiceRows();
}

void StoredStreamVersions::OnRegistered(std::string_view service,
                                        std::string_view version) {
  if (this->service_versions.Observe(service, version))
    this->Check(service);
}

void StoredStreamVersions::Tick() {
  // What was observed before the process stood still says nothing about now.
  absl::Time now = this->clock.Now();
  if (now - std::exchange(this->ticked_at, now) >= kStandstill)
    this->awake_since = now;
  this->ObserveRegistryAge();
  for (const std::string& service : this->service_versions.Services())
    this->Check(service);
  if (this->queue.HasWork())
    this->WriteSoon();
  this->BeginPreparedStreams();
  if (auto instances = this->fleet.InstanceCount())
    this->sweeper.Tick(*instances);
}

/// Notes when versions may have come and gone unnoticed.
void StoredStreamVersions::ObserveRegistryAge() {
  absl::Time now = this->clock.Now();
  if (this->fleet.IsRegistryCurrent()) {
    this->registry_current_at = now;
    return;
  }
  this->service_versions.OnRegistryOutdated();
  if (now - this->registry_current_at > kMaxRegistryOutage)
    this->service_versions.OnListingsMissed();
}

/// Schedules a write of the service's row if it has to say something else.
void StoredStreamVersions::Check(std::string_view service) {
  ServiceRow* row = this->UpdateServiceRow(service);
  if (row == nullptr)
    return;
  auto to_write = this->service_versions.RowToWrite(
      service, row->value ? &*row->value : nullptr, row->since,
      this->fleet.StoreEra());
  if (!to_write) {
    row->write_at = absl::InfiniteFuture();
    return;
  }
  if (row->write_at != absl::InfiniteFuture())
    return;
  absl::Duration spread =
      row->value && to_write->base ? kServiceRowSpread : kUrgentRowSpread;
  spread *= static_cast<double>(this->fleet.InstanceCount().value_or(1));
  row->write_at = this->clock.Now() + spread * this->random.UniformDouble();
  // Another instance may have written it already.
  this->fleet.RefreshServiceRows();
  this->ArmServiceRowTimer();
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
      service, row.value ? &*row.value : nullptr, row.since,
      this->fleet.StoreEra());
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
    interval = std::max(
        interval, std::min(kMaxRetryInterval, kMinRetryInterval * backoff));
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
  std::vector<RowUpdate> updates;
  for (const forward::StreamVersionPut& put : write->puts) {
    updates.push_back({put.record.attempt_id,
                       forward::EncodeStreamVersion(put.record), false,
                       put.expected_version});
  }
  for (const std::string& attempt_id : write->removed_attempt_ids)
    updates.push_back({attempt_id, "", true});
  this->write_in_progress = true;
  this->write_started_at = this->clock.Now();
  ++this->write_count;
  this->writer->Call(
      this->codec.EncodeUpdate({StoreTable::kStreamVersions, write->part},
                               updates),
      std::min(kMaxWriteTimeout,
               kFirstWriteTimeout * std::pow(2, this->failed_writes)),
      [this, records = write->puts.size()](const HttpResult& answer) {
        this->OnWriteEnded(records, answer);
      });
}

void StoredStreamVersions::OnWriteEnded(size_t records,
                                        const HttpResult& answer) {
  this->write_in_progress = false;
  if (this->OnWritten(answer)) {
    this->records_written_count += records;
    this->OnStoreAnswered();
  } else if (this->OnConflict(answer)) {
    ++this->conflict_count;
    this->OnStoreAnswered();
  } else {
    this->queue.OnWriteFailed(
        MayHaveTakenEffect(answer)
            ? forward::StreamVersionWriteOutcome::kUnknown
            : forward::StreamVersionWriteOutcome::kNotWritten);
    if (++this->failed_writes == 1) {
      this->log.Write(LogEvent("stream_versions_not_written")
                          .Add("status", answer.status)
                          .Add("reason", answer.reason));
    }
  }
  this->OnEraOf(answer);
  this->BeginPreparedStreams();
  if (this->queue.HasWork())
    this->WriteSoon();
}

/// @return False if the store has not performed the write, as far as it is
///     known.
bool StoredStreamVersions::OnWritten(const HttpResult& answer) {
  if (answer.status != kOk)
    return false;
  auto version = Capture([&] { return this->codec.DecodeWrite(answer.body); });
  if (!version.ok())
    return false;
  this->queue.OnWritten(version.value());
  return true;
}

/// @return False if the answer does not say which rows are not as expected.
bool StoredStreamVersions::OnConflict(const HttpResult& answer) {
  if (answer.status != kConflictStatus)
    return false;
  auto page = Capture([&] { return this->codec.DecodePage(answer.body); });
  if (!page.ok())
    return false;
  std::vector<forward::StreamVersionRow> rows;
  for (const StoreRow& row : page.value().rows) {
    if (row.removed || row.version == 0)
      continue;
    auto record = Capture(
        [&] { return forward::DecodeStreamVersion(row.key, row.value); });
    rows.push_back({row.key, row.version,
                    record.ok() ? std::optional(std::move(record.value()))
                                : std::nullopt});
  }
  this->queue.OnConflict(rows);
  this->log.Write(LogEvent("stream_version_rows_differ")
                      .Add("rows", static_cast<int64_t>(rows.size())));
  return true;
}

void StoredStreamVersions::OnStoreAnswered() {
  if (this->failed_writes > 0) {
    this->log.Write(LogEvent("stream_versions_written_again")
                        .Add("failed_writes", this->failed_writes)
                        .Add("lost_records", this->records_lost()));
  }
  this->failed_writes = 0;
}

/// Lets streams begin whose records are stored, or have waited for too long.
void StoredStreamVersions::BeginPreparedStreams() {
  absl::Time now = this->clock.Now();
  bool can_record = this->CanRecord();
  std::vector<std::pair<std::function<void(bool)>, bool>> ready;
  std::erase_if(this->pending_streams, [&](PendingStream& stream) {
    bool is_written = this->queue.IsWritten(stream.record);
    if (!is_written && can_record && now < stream.deadline)
      return false;
    this->late_count += is_written ? 0 : 1;
    ready.emplace_back(std::move(stream.done), is_written);
    return true;
  });
  for (const auto& [done, is_written] : ready)
    done(is_written);
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
