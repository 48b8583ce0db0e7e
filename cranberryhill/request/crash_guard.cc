#include "cranberryhill/request/crash_guard.h"

#include <algorithm>

#include "cranberryhill/base/hash.h"

namespace cranberryhill {
namespace {

constexpr uint8_t kSuspectCrashes = 1;
constexpr uint8_t kCondemnedCrashes = 2;

}  // namespace

uint64_t RequestFingerprint(std::string_view customer,
                            std::string_view model,
                            std::string_view prompt) {
  return StableHash(prompt, StableHash(model, StableHash(customer)));
}

void CrashGuard::Note(uint64_t fingerprint, uint8_t crashes, absl::Time now) {
  if (!this->records.contains(fingerprint) &&
      this->records.size() >= this->policy.max_entries) {
    this->MakeRoom();
  }
  Record& record = this->records[fingerprint];
  record.crashes = std::max(record.crashes, crashes);
  record.last = now;
}

void CrashGuard::MakeRoom() {
  auto oldest = std::min_element(this->records.begin(), this->records.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.last < b.second.last;
                                 });
  if (oldest != this->records.end())
    this->records.erase(oldest);
}

size_t CrashGuard::OnEngineCrashed(std::span<const CrashedStream> streams,
                                   absl::Time now) {
  size_t noted = 0;
  for (const CrashedStream& stream : streams) {
    bool suspect =
        stream.in_prefill || now - stream.started <= this->policy.fresh;
    // A suspect ran alone, so its second crash is its own doing whatever the
    // time since its start.
    CrashStanding standing = this->StandingOf(stream.fingerprint, now);
    if (!suspect && standing == CrashStanding::kClear)
      continue;
    uint8_t crashes =
        standing == CrashStanding::kClear ? kSuspectCrashes : kCondemnedCrashes;
    this->Note(stream.fingerprint, crashes, now);
    ++noted;
  }
  return noted;
}

void CrashGuard::Absorb(std::span<const CrashEntry> entries, absl::Time now) {
  for (const CrashEntry& entry : entries) {
    auto found = this->records.find(entry.fingerprint);
    bool known = found != this->records.end() &&
                 now - found->second.last <= this->policy.memory &&
                 found->second.crashes >= entry.crashes;
    // Known entries keep their own age, or two instances would refresh each
    // other's memory for ever.
    if (entry.crashes > 0 && !known)
      this->Note(entry.fingerprint, entry.crashes, now);
  }
}

std::vector<CrashEntry> CrashGuard::Entries(size_t limit,
                                            absl::Time now) const {
  std::vector<std::pair<uint64_t, Record>> current;
  for (const auto& [fingerprint, record] : this->records) {
    if (now - record.last <= this->policy.memory)
      current.emplace_back(fingerprint, record);
  }
  std::sort(current.begin(), current.end(), [](const auto& a, const auto& b) {
    if (a.second.crashes != b.second.crashes)
      return a.second.crashes > b.second.crashes;
    if (a.second.last != b.second.last)
      return a.second.last > b.second.last;
    return a.first < b.first;
  });
  std::vector<CrashEntry> entries;
  for (size_t i = 0; i < current.size() && i < limit; ++i)
    entries.push_back({current[i].first, current[i].second.crashes});
  return entries;
}

void CrashGuard::OnRanAlone(uint64_t fingerprint) {
  auto found = this->records.find(fingerprint);
  if (found != this->records.end() &&
      found->second.crashes == kSuspectCrashes) {
    this->records.erase(found);
  }
}

CrashStanding CrashGuard::StandingOf(uint64_t fingerprint, absl::Time now) {
  auto found = this->records.find(fingerprint);
  if (found == this->records.end())
    return CrashStanding::kClear;
  if (now - found->second.last > this->policy.memory) {
    this->records.erase(found);
    return CrashStanding::kClear;
  }
  return found->second.crashes >= kCondemnedCrashes ? CrashStanding::kCondemned
                                                    : CrashStanding::kSuspect;
}

bool CrashGuard::HasSuspects(absl::Time now) const {
  return std::any_of(this->records.begin(), this->records.end(),
                     [this, now](const auto& item) {
                       return item.second.crashes == kSuspectCrashes &&
                              now - item.second.last <= this->policy.memory;
                     });
}

}  // namespace cranberryhill
