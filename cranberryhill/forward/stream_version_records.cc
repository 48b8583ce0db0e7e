#include "cranberryhill/forward/stream_version_records.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/base/json.h"

namespace cranberryhill::forward {
namespace {

constexpr absl::Duration kSegmentDuration = absl::Seconds(1);
/// A row of the store holds 64 KB.
constexpr size_t kMaxSegmentBytes = 32 << 10;
/// Bytes of a record besides its attempt id, at most, if its service and
/// version are those of another record.
constexpr size_t kRecordOverhead = 4;
constexpr size_t kMaxAttemptIdBytes = 128;
/// Bounds what is kept while the store does not answer.
constexpr size_t kMaxSegments = 48;
/// A transaction of the store holds 100 rows and 1 MB, of which base64 takes a
/// third.
constexpr size_t kMaxRowsPerWrite = 16;
constexpr size_t kMaxRemovalsPerWrite = 60;
/// Segments that no later write removes are removed this much later.
constexpr absl::Duration kRemovalDelay = absl::Seconds(15);

std::string KeyOf(std::string_view service, std::string_view attempt_id) {
  std::string key(service);
  key.push_back('\0');
  key.append(attempt_id);
  return key;
}

bool IsStorable(std::string_view attempt_id) {
  return !attempt_id.empty() && attempt_id.size() <= kMaxAttemptIdBytes &&
         std::all_of(attempt_id.begin(), attempt_id.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

void RecentStreamVersions::AddOwn(const StreamVersionRecord& record,
                                  bool stored) {
  this->Add(record, stored);
}

void RecentStreamVersions::AddRead(const StreamVersionRecord& record) {
  this->Add(record, true);
}

void RecentStreamVersions::Add(const StreamVersionRecord& record, bool stored) {
  this->EraseExpired();
  std::string key = KeyOf(record.service, record.attempt_id);
  auto [known, added] =
      this->streams.try_emplace(key, Stream{record, false, stored});
  if (!added) {
    known->second.contradicted |=
        known->second.record.version != record.version;
    return;
  }
  this->expiries.emplace_back(this->clock.Now() + kStreamVersionLifetime,
                              std::move(key));
  if (this->streams.size() > this->max_streams) {
    this->streams.erase(this->expiries.front().second);
    this->expiries.pop_front();
  }
}

bool RecentStreamVersions::Contains(std::string_view service,
                                    std::string_view attempt_id) {
  this->EraseExpired();
  return this->streams.contains(KeyOf(service, attempt_id));
}

std::optional<std::string> RecentStreamVersions::Find(
    std::string_view service,
    std::string_view attempt_id) {
  this->EraseExpired();
  auto known = this->streams.find(KeyOf(service, attempt_id));
  if (known == this->streams.end() || known->second.contradicted)
    return std::nullopt;
  return known->second.record.version;
}

std::vector<StreamVersionRecord> RecentStreamVersions::TakeUnstored(
    std::string_view service) {
  this->EraseExpired();
  std::vector<StreamVersionRecord> unstored;
  for (const auto& [expiry, key] : this->expiries) {
    Stream& stream = this->streams.at(key);
    if (!stream.stored && stream.record.service == service) {
      stream.stored = true;
      unstored.push_back(stream.record);
    }
  }
  return unstored;
}

void RecentStreamVersions::EraseExpired() {
  absl::Time now = this->clock.Now();
  while (!this->expiries.empty() && this->expiries.front().first <= now) {
    this->streams.erase(this->expiries.front().second);
    this->expiries.pop_front();
  }
}

bool StreamVersionSegments::Add(const StreamVersionRecord& record) {
  if (!IsStorable(record.attempt_id))
    return false;
  this->CloseExpired();
  absl::Time now = this->clock.Now();
  // The names of the service and the version are counted in full, because the
  // record may be the first that has them.
  size_t bytes = record.attempt_id.size() + record.service.size() +
                 record.version.size() + kRecordOverhead;
  bool opens = this->segments.empty() || this->segments.back().closed ||
               now - this->segments.back().opened_at >= kSegmentDuration ||
               this->segments.back().bytes + bytes > kMaxSegmentBytes;
  if (opens) {
    if (this->segments.size() >= kMaxSegments)
      return false;
    Segment segment;
    segment.number = this->next_number++;
    segment.opened_at = now;
    this->segments.push_back(std::move(segment));
  }
  this->segments.back().records.push_back(record);
  this->segments.back().bytes += bytes;
  return true;
}

bool StreamVersionSegments::HasWork() {
  this->CloseExpired();
  bool has_records = std::any_of(
      this->segments.begin(), this->segments.end(), [](const Segment& segment) {
        return segment.written < segment.records.size();
      });
  absl::Time overdue = this->clock.Now() - kRemovalDelay;
  return has_records ||
         std::any_of(
             this->removals.begin(), this->removals.end(),
             [&](const Removal& removal) { return removal.due <= overdue; });
}

std::optional<StreamVersionWrite> StreamVersionSegments::StartWrite() {
  if (!this->HasWork())
    return std::nullopt;
  StreamVersionWrite write;
  // The newest streams first: the older ones are more likely to have ended.
  for (auto segment = this->segments.rbegin();
       segment != this->segments.rend() && write.rows.size() < kMaxRowsPerWrite;
       ++segment) {
    if (segment->written == segment->records.size())
      continue;
    write.rows.push_back(
        {segment->number, EncodeStreamVersions(segment->records)});
    write.records += segment->records.size() - segment->written;
    segment->being_written = segment->records.size();
  }
  absl::Time now = this->clock.Now();
  std::erase_if(this->removals, [&](const Removal& removal) {
    if (removal.due > now ||
        write.removed_segments.size() >= kMaxRemovalsPerWrite)
      return false;
    write.removed_segments.push_back(removal.number);
    return true;
  });
  this->removals_in_progress = write.removed_segments;
  this->write_in_progress = true;
  return write;
}

void StreamVersionSegments::OnWriteEnded(StreamVersionWriteOutcome outcome) {
  absl::Time now = this->clock.Now();
  this->write_in_progress = false;
  for (Segment& segment : this->segments) {
    size_t being_written = std::exchange(segment.being_written, 0);
    if (being_written == 0)
      continue;
    if (outcome == StreamVersionWriteOutcome::kWritten) {
      segment.written = being_written;
      segment.may_be_stored = true;
    } else if (outcome == StreamVersionWriteOutcome::kUnknown) {
      // The write may be performed seconds later, and would then replace the
      // row with one that lacks later records.
      this->removals.push_back({segment.number, now + kStreamVersionLifetime});
      segment.number = this->next_number++;
      segment.written = 0;
      segment.may_be_stored = false;
    }
  }
  if (outcome != StreamVersionWriteOutcome::kWritten) {
    // Due at once: the rows were old when the write began.
    for (uint64_t number : this->removals_in_progress)
      this->removals.push_back({number, now});
  }
  this->removals_in_progress.clear();
}

void StreamVersionSegments::OnStoreRestored() {
  for (Segment& segment : this->segments)
    segment.written = 0;
}

size_t StreamVersionSegments::record_count() const {
  size_t count = 0;
  for (const Segment& segment : this->segments)
    count += segment.records.size();
  return count;
}

void StreamVersionSegments::CloseExpired() {
  // A segment in the write in progress stays until the outcome is known.
  absl::Time now = this->clock.Now();
  while (!this->segments.empty() && !this->write_in_progress) {
    Segment& oldest = this->segments.front();
    if (now - oldest.opened_at < kSegmentDuration + kStreamVersionLifetime)
      return;
    this->expired_unwritten_count += oldest.records.size() - oldest.written;
    if (oldest.may_be_stored)
      this->removals.push_back({oldest.number, now});
    this->segments.pop_front();
  }
}

std::string EncodeStreamVersions(
    const std::vector<StreamVersionRecord>& records) {
  Json services = Json::object();
  for (const StreamVersionRecord& record : records)
    services[record.service][record.version].push_back(record.attempt_id);
  return services.dump();
}

Result<std::vector<StreamVersionRecord>> DecodeStreamVersions(
    std::string_view value) {
  BOOST_LEAF_AUTO(json, ParseJson(value, "stream versions"));
  auto malformed = [] {
    return MakeError(ErrorCode::kInvalidArgument, "stream versions", "",
                     "must hold lists of attempt ids by service and version");
  };
  std::vector<StreamVersionRecord> records;
  if (!json.is_object())
    return malformed();
  for (const auto& [service, versions] : json.items()) {
    if (!versions.is_object())
      return malformed();
    for (const auto& [version, attempt_ids] : versions.items()) {
      if (!attempt_ids.is_array())
        return malformed();
      for (const Json& attempt_id : attempt_ids) {
        if (!attempt_id.is_string())
          return malformed();
        records.push_back({service, attempt_id.get<std::string>(), version});
      }
    }
  }
  return records;
}

std::string EncodeServiceVersion(const ServiceVersionRow& row) {
  // An empty text is the version of replicas that name none.
  Json json;
  json["sole"] = row.sole ? Json(*row.sole) : Json(nullptr);
  return json.dump();
}

Result<ServiceVersionRow> DecodeServiceVersion(std::string_view value) {
  BOOST_LEAF_AUTO(json, ParseJson(value, "service version"));
  if (json.is_object() && json.contains("sole")) {
    const Json& sole = json["sole"];
    if (sole.is_null())
      return ServiceVersionRow{};
    if (sole.is_string())
      return ServiceVersionRow{sole.get<std::string>()};
  }
  return MakeError(ErrorCode::kInvalidArgument, "sole", "",
                   "must be a version or null");
}

bool ServiceVersions::Observe(std::string_view service,
                              std::string_view version) {
  absl::Time now = this->clock.Now();
  auto& versions = this->seen[std::string(service)];
  auto [known, added] = versions.try_emplace(std::string(version), now);
  bool is_new = added || now - known->second >= kStreamVersionLifetime;
  known->second = now;
  return is_new;
}

std::vector<std::string> ServiceVersions::VersionsOf(
    std::string_view service) const {
  std::vector<std::string> versions;
  auto known = this->seen.find(service);
  if (known == this->seen.end())
    return versions;
  for (const auto& [version, last_seen] : known->second) {
    if (this->clock.Now() - last_seen < kStreamVersionLifetime)
      versions.push_back(version);
  }
  return versions;
}

std::vector<std::string> ServiceVersions::Services() const {
  std::vector<std::string> services;
  for (const auto& [service, versions] : this->seen)
    services.push_back(service);
  return services;
}

std::optional<ServiceVersionRow> ServiceVersions::RowToWrite(
    std::string_view service,
    const ServiceVersionRow* row,
    absl::Time row_since) const {
  std::vector<std::string> versions = this->VersionsOf(service);
  if (versions.empty())
    return std::nullopt;
  if (row != nullptr && row->sole) {
    if (versions.size() == 1 && versions.front() == *row->sole)
      return std::nullopt;
    return ServiceVersionRow{};
  }
  // Without a row, and with one that names no version, every stream has a
  // record.
  absl::Time settled = this->clock.Now() - kStreamVersionLifetime;
  if (versions.size() == 1 && this->current_since <= settled &&
      row_since <= settled)
    return ServiceVersionRow{versions.front()};
  return std::nullopt;
}

}  // namespace cranberryhill::forward
