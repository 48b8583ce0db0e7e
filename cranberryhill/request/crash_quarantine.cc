#include "cranberryhill/request/crash_quarantine.h"

#include <algorithm>

#include "cranberryhill/base/hash.h"

namespace cranberryhill {
namespace {

// Numbers of crashes after which a fingerprint is suspect or quarantined.
constexpr uint8_t kSuspectCrashes = 1;
constexpr uint8_t kQuarantineCrashes = 2;

}  // namespace

uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view model,
                            std::string_view prompt) {
  return StableHash(prompt, StableHash(model, StableHash(customer)));
}

void CrashQuarantine::RecordCrashes(uint64_t fingerprint,
                                    uint8_t crashes,
                                    absl::Time now) {
  if (!this->records.contains(fingerprint) &&
      this->records.size() >= this->policy.max_entries) {
    this->RemoveOldest();
  }
  Record& record = this->records[fingerprint];
  record.crashes = std::max(record.crashes, crashes);
  record.last_seen_at = now;
  record.own = false;
}

void CrashQuarantine::RemoveOldest() {
  auto oldest =
      std::min_element(this->records.begin(), this->records.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.last_seen_at < b.second.last_seen_at;
                       });
  if (oldest != this->records.end())
    this->records.erase(oldest);
}

size_t CrashQuarantine::OnEngineCrashed(std::span<const CrashedStream> streams,
                                        absl::Time now) {
  size_t changed_streams = 0;
  for (const CrashedStream& stream : streams) {
    bool is_suspect = stream.in_prefill ||
                      now - stream.started <= this->policy.max_suspect_age;
    // A request that was already suspect ran alone, so it caused this crash
    // regardless of the time since its start.
    CrashStatus status = this->StatusOf(stream.fingerprint, now);
    if (!is_suspect && status == CrashStatus::kClean)
      continue;
    uint8_t crashes =
        status == CrashStatus::kClean ? kSuspectCrashes : kQuarantineCrashes;
    this->RecordCrashes(stream.fingerprint, crashes, now);
    this->records[stream.fingerprint].own = true;
    ++changed_streams;
  }
  return changed_streams;
}

void CrashQuarantine::Merge(std::span<const CrashEntry> entries,
                            absl::Time now) {
  for (const CrashEntry& entry : entries) {
    auto found = this->records.find(entry.fingerprint);
    bool known = found != this->records.end() &&
                 now - found->second.last_seen_at <= this->policy.retention &&
                 found->second.crashes >= entry.crashes;
    // The time of a known entry does not change. Otherwise two instances would
    // renew each other's entries forever.
    if (entry.crashes > 0 && !known)
      this->RecordCrashes(entry.fingerprint, entry.crashes, now);
  }
}

std::vector<CrashEntry> CrashQuarantine::Entries(size_t limit,
                                                 absl::Time now) const {
  std::vector<std::pair<uint64_t, Record>> current;
  for (const auto& [fingerprint, record] : this->records) {
    if (now - record.last_seen_at <= this->policy.retention)
      current.emplace_back(fingerprint, record);
  }
  std::sort(current.begin(), current.end(), [](const auto& a, const auto& b) {
    if (a.second.crashes != b.second.crashes)
      return a.second.crashes > b.second.crashes;
    if (a.second.last_seen_at != b.second.last_seen_at)
      return a.second.last_seen_at > b.second.last_seen_at;
    return a.first < b.first;
  });
  std::vector<CrashEntry> entries;
  for (size_t i = 0; i < current.size() && i < limit; ++i)
    entries.push_back({current[i].first, current[i].second.crashes});
  return entries;
}

std::vector<QuarantinedRequest> CrashQuarantine::Quarantined(
    absl::Time now) const {
  std::vector<QuarantinedRequest> quarantined;
  for (const auto& [fingerprint, record] : this->records) {
    absl::Duration remaining =
        record.last_seen_at + this->policy.retention - now;
    if (record.crashes >= kQuarantineCrashes &&
        remaining > absl::ZeroDuration())
      quarantined.push_back({fingerprint, remaining});
  }
  return quarantined;
}

void CrashQuarantine::Restore(const QuarantinedRequest& request,
                              absl::Time now) {
  absl::Time last_seen_at = now - this->policy.retention +
                            std::min(request.remaining, this->policy.retention);
  auto found = this->records.find(request.fingerprint);
  bool is_newer_here = found != this->records.end() && found->second.own &&
                       found->second.crashes >= kQuarantineCrashes &&
                       found->second.last_seen_at >= last_seen_at;
  if (!is_newer_here)
    this->RecordCrashes(request.fingerprint, kQuarantineCrashes, last_seen_at);
}

void CrashQuarantine::OnRanAlone(uint64_t fingerprint) {
  auto found = this->records.find(fingerprint);
  if (found != this->records.end() &&
      found->second.crashes == kSuspectCrashes) {
    this->records.erase(found);
  }
}

CrashStatus CrashQuarantine::StatusOf(uint64_t fingerprint, absl::Time now) {
  auto found = this->records.find(fingerprint);
  if (found == this->records.end())
    return CrashStatus::kClean;
  if (now - found->second.last_seen_at > this->policy.retention) {
    this->records.erase(found);
    return CrashStatus::kClean;
  }
  return found->second.crashes >= kQuarantineCrashes ? CrashStatus::kQuarantined
                                                     : CrashStatus::kSuspect;
}

bool CrashQuarantine::HasSuspects(absl::Time now) const {
  return std::any_of(this->records.begin(), this->records.end(),
                     [this, now](const auto& item) {
                       return item.second.crashes == kSuspectCrashes &&
                              now - item.second.last_seen_at <=
                                  this->policy.retention;
                     });
}

}  // namespace cranberryhill
