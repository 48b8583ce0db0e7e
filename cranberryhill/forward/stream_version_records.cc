#include "cranberryhill/forward/stream_version_records.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/base/json.h"

namespace cranberryhill::forward {
namespace {

std::string KeyOf(std::string_view service, std::string_view attempt_id) {
  std::string key(service);
  key.push_back('\0');
  key.append(attempt_id);
  return key;
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

std::string EncodeStreamVersion(const StreamVersionRecord& record) {
  return Json({{"service", record.service}, {"version", record.version}})
      .dump();
}

Result<StreamVersionRecord> DecodeStreamVersion(std::string_view attempt_id,
                                                std::string_view value) {
  BOOST_LEAF_AUTO(json, ParseJson(value, "stream version"));
  ObjectReader reader(json, "stream version");
  StreamVersionRecord record;
  record.attempt_id = std::string(attempt_id);
  BOOST_LEAF_ASSIGN(record.service, reader.String("service"));
  BOOST_LEAF_ASSIGN(record.version, reader.String("version"));
  return record;
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
