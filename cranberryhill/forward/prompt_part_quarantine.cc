#include "cranberryhill/forward/prompt_part_quarantine.h"

#include <algorithm>
#include <tuple>

namespace cranberryhill::forward {
namespace {

/// A part is answered again after this time, as engines may have been repaired.
constexpr absl::Duration kQuarantineTime = absl::Minutes(10);
/// Crashes that lie further back are forgotten.
constexpr absl::Duration kCrashRetention = absl::Minutes(10);
/// A part that was answered this recently is not the cause of a crash. A change
/// of the engines' software can make a sound part crash them, so the time is
/// shorter than the retention of crashes.
constexpr absl::Duration kSoundTime = absl::Minutes(1);
/// Two instances see the same crash at most this far apart. An engine that
/// crashes needs longer to be back.
constexpr absl::Duration kCrashTimeTolerance = absl::Milliseconds(500);
/// Bounds on what is kept.
constexpr size_t kMaxSuspicions = 1024;
constexpr size_t kMaxSoundParts = 8192;
constexpr size_t kMaxQuarantined = 256;
constexpr size_t kMaxExplainedCrashes = 1024;
constexpr size_t kMaxDisputedParts = 256;
/// Peers are told for this long that a part is sound. Several messages may get
/// lost, and they suspect it again with each crash.
constexpr absl::Duration kDisputeTime = absl::Seconds(10);
/// Bounds on what one message to peers contains; it stays below 2 KB.
constexpr size_t kMaxReportedCrashes = 32;
constexpr size_t kMaxReportedParts = 32;

/// @return The parts that other prompts may share.
std::span<const PromptPart> SharedParts(const PromptDescription& prompt) {
  std::span<const PromptPart> parts(prompt.parts);
  return parts.empty() ? parts : parts.first(parts.size() - 1);
}

/// Removes the entry with the smallest key if the map is full.
template <typename Map, typename Key>
void MakeRoom(Map& map, size_t limit, const Key& key) {
  if (map.size() < limit)
    return;
  map.erase(std::min_element(
      map.begin(), map.end(),
      [&key](const auto& a, const auto& b) { return key(a) < key(b); }));
}

}  // namespace

bool EngineCrash::IsSameAs(const EngineCrash& other) const {
  return this->engine == other.engine &&
         absl::AbsDuration(this->at - other.at) <= kCrashTimeTolerance;
}

void PromptPartQuarantine::OnAnswered(const PromptDescription& prompt) {
  for (const PromptPart& part : SharedParts(prompt)) {
    if (this->suspicions.contains(part.id) ||
        this->quarantined.contains(part.id))
      this->Dispute(part.id);
    this->SetSound(part.id, true);
  }
}

void PromptPartQuarantine::Dispute(uint64_t part) {
  MakeRoom(this->disputed_parts, kMaxDisputedParts,
           [](const auto& item) { return item.second; });
  this->disputed_parts[part] = this->clock.Now() + kDisputeTime;
}

void PromptPartQuarantine::SetSound(uint64_t part, bool own) {
  if (!this->sound_parts.contains(part)) {
    MakeRoom(this->sound_parts, kMaxSoundParts,
             [](const auto& item) { return item.second.until; });
  }
  SoundPart& sound = this->sound_parts[part];
  absl::Time now = this->clock.Now();
  // The word of a peer does not replace an own observation, which is passed on.
  sound.own = own || (sound.own && now < sound.until);
  sound.until = now + kSoundTime;
  this->suspicions.erase(part);
  this->quarantined.erase(part);
}

bool PromptPartQuarantine::IsSound(uint64_t part) const {
  auto found = this->sound_parts.find(part);
  return found != this->sound_parts.end() &&
         this->clock.Now() < found->second.until;
}

std::vector<uint64_t> PromptPartQuarantine::OnCrash(
    const EngineCrash& crash,
    std::span<const PromptDescription> suspects) {
  for (const PromptDescription& prompt : suspects) {
    std::span<const PromptPart> parts = SharedParts(prompt);
    for (size_t i = 0; i < parts.size(); ++i)
      this->AddCrash(parts[i].id, {crash, true}, static_cast<uint32_t>(i));
  }
  return this->QuarantineSuspects();
}

void PromptPartQuarantine::AddCrash(uint64_t part,
                                    const SuspectCrash& added,
                                    uint32_t position) {
  const EngineCrash& crash = added.crash;
  auto is_same = [&crash](const SuspectCrash& other) {
    return crash.IsSameAs(other.crash);
  };
  if (this->quarantined.contains(part)) {
    this->explained_crashes.push_back(crash);
    if (this->explained_crashes.size() > kMaxExplainedCrashes)
      this->explained_crashes.pop_front();
    for (auto& [other, suspicion] : this->suspicions)
      std::erase_if(suspicion.crashes, is_same);
    return;
  }
  if (this->IsSound(part)) {
    if (this->sound_parts[part].own)
      this->Dispute(part);
    return;
  }
  bool is_explained = std::any_of(
      this->explained_crashes.begin(), this->explained_crashes.end(),
      [&crash](const EngineCrash& other) { return crash.IsSameAs(other); });
  if (is_explained || this->clock.Now() - crash.at > kCrashRetention)
    return;
  if (!this->suspicions.contains(part)) {
    MakeRoom(this->suspicions, kMaxSuspicions,
             [](const auto& item) { return item.second.last_crash_at; });
  }
  Suspicion& suspicion = this->suspicions[part];
  suspicion.position = std::max(suspicion.position, position);
  auto known =
      std::find_if(suspicion.crashes.begin(), suspicion.crashes.end(), is_same);
  if (known != suspicion.crashes.end()) {
    known->own = known->own || added.own;
    return;
  }
  // Parts that most prompts share would otherwise collect more crashes than the
  // part that causes them.
  if (suspicion.crashes.size() >= kCrashesToQuarantine)
    return;
  suspicion.crashes.push_back(added);
  suspicion.last_crash_at = std::max(suspicion.last_crash_at, crash.at);
}

/// Quarantines the parts with enough crashes, those with most crashes first;
/// the crashes of one part then no longer count against the others.
std::vector<uint64_t> PromptPartQuarantine::QuarantineSuspects() {
  this->RemoveExpired();
  std::vector<uint64_t> parts;
  while (true) {
    auto rank = [](const auto& item) {
      // Of the parts of one prompt, the first ones are shared by the most
      // prompts. Without an answer to any of these, the later part is the more
      // likely cause, and its quarantine affects fewer prompts.
      return std::tuple(item.second.crashes.size(), item.second.position,
                        item.first);
    };
    auto worst = std::max_element(
        this->suspicions.begin(), this->suspicions.end(),
        [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
    if (worst == this->suspicions.end() ||
        worst->second.crashes.size() < kCrashesToQuarantine)
      return parts;
    parts.push_back(worst->first);
    this->Quarantine(worst->first, kQuarantineTime);
  }
}

void PromptPartQuarantine::Quarantine(uint64_t part, absl::Duration duration) {
  if (!this->quarantined.contains(part)) {
    MakeRoom(this->quarantined, kMaxQuarantined,
             [](const auto& item) { return item.second; });
  }
  absl::Time& until = this->quarantined[part];
  until = std::max(until, this->clock.Now() + duration);
  this->ExplainCrashes(part);
}

void PromptPartQuarantine::ExplainCrashes(uint64_t part) {
  auto found = this->suspicions.find(part);
  if (found == this->suspicions.end())
    return;
  Suspicion explained = std::move(found->second);
  this->suspicions.erase(found);
  for (const SuspectCrash& entry : explained.crashes)
    this->AddCrash(part, entry, explained.position);
}

bool PromptPartQuarantine::IsQuarantined(
    const PromptDescription& prompt) const {
  if (this->quarantined.empty())
    return false;
  std::span<const PromptPart> parts = SharedParts(prompt);
  return std::any_of(parts.begin(), parts.end(), [this](const auto& part) {
    auto found = this->quarantined.find(part.id);
    return found != this->quarantined.end() &&
           this->clock.Now() < found->second;
  });
}

PromptPartReport PromptPartQuarantine::Report() const {
  PromptPartReport report;
  absl::Time now = this->clock.Now();
  report.sent_at = now;
  for (const auto& [part, until] : this->quarantined) {
    if (now < until && report.quarantined.size() < kMaxReportedParts)
      report.quarantined.push_back({part, until - now});
  }
  for (const auto& [part, until] : this->disputed_parts) {
    if (now < until && report.sound.size() < kMaxReportedParts)
      report.sound.push_back(part);
  }
  for (const auto& [part, suspicion] : this->suspicions) {
    for (const SuspectCrash& entry : suspicion.crashes) {
      if (!entry.own)
        continue;
      report.crashes.push_back(
          {part, entry.crash.engine, now - entry.crash.at, suspicion.position});
    }
  }
  std::sort(report.crashes.begin(), report.crashes.end(),
            [](const PartCrash& a, const PartCrash& b) {
              return std::tuple(a.age, a.part, a.engine) <
                     std::tuple(b.age, b.part, b.engine);
            });
  if (report.crashes.size() > kMaxReportedCrashes)
    report.crashes.resize(kMaxReportedCrashes);
  return report;
}

std::vector<uint64_t> PromptPartQuarantine::Merge(
    const PromptPartReport& report,
    uint64_t sender) {
  absl::Time sent_at = this->peer_clocks.OwnTime(sender, report.sent_at);
  for (uint64_t part : report.sound)
    this->SetSound(part, false);
  for (const QuarantinedPart& entry : report.quarantined)
    this->Restore(entry);
  for (const PartCrash& entry : report.crashes) {
    this->AddCrash(entry.part, {{entry.engine, sent_at - entry.age}, false},
                   entry.position);
  }
  return this->QuarantineSuspects();
}

std::vector<QuarantinedPart> PromptPartQuarantine::Quarantined() const {
  std::vector<QuarantinedPart> parts;
  absl::Time now = this->clock.Now();
  for (const auto& [part, until] : this->quarantined) {
    if (now < until)
      parts.push_back({part, until - now});
  }
  return parts;
}

void PromptPartQuarantine::Restore(const QuarantinedPart& part) {
  if (!this->IsSound(part.part))
    this->Quarantine(part.part, std::min(part.remaining, kQuarantineTime));
  else if (this->sound_parts[part.part].own)
    this->Dispute(part.part);
}

void PromptPartQuarantine::RemoveExpired() {
  absl::Time now = this->clock.Now();
  absl::erase_if(this->quarantined,
                 [now](const auto& item) { return item.second <= now; });
  auto is_old = [now](const EngineCrash& crash) {
    return now - crash.at > kCrashRetention;
  };
  std::erase_if(this->explained_crashes, is_old);
  absl::erase_if(this->disputed_parts,
                 [now](const auto& item) { return item.second <= now; });
  for (auto& [part, suspicion] : this->suspicions) {
    std::erase_if(suspicion.crashes, [&is_old](const SuspectCrash& entry) {
      return is_old(entry.crash);
    });
  }
  absl::erase_if(this->suspicions,
                 [](const auto& item) { return item.second.crashes.empty(); });
}

}  // namespace cranberryhill::forward
