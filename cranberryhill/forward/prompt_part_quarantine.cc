#include "cranberryhill/forward/prompt_part_quarantine.h"

#include <algorithm>
#include <tuple>

namespace cranberryhill::forward {
namespace {

/// A part is answered again after this time, as engines may have been repaired.
constexpr absl::Duration kQuarantineTime = absl::Minutes(10);
/// Crashes of one part that lie further apart do not add up.
constexpr absl::Duration kCrashWindow = absl::Minutes(10);
/// Crashes are kept for as long as they can matter: a quarantine after the last
/// of those that add up.
constexpr absl::Duration kCrashRetention = absl::Minutes(20);
/// A part that was answered this recently is not the cause of a crash. A change
/// of the engines' software can make a sound part crash them, so the time is
/// shorter than the retention of crashes.
constexpr absl::Duration kSoundTime = absl::Minutes(1);
/// Two instances see the same crash at most this far apart. An engine that
/// crashes needs longer to be back.
constexpr absl::Duration kCrashTimeTolerance = absl::Milliseconds(500);
/// As many reports on the cause of crashes may be missing, because the instance
/// that has seen a crash has ended.
constexpr size_t kMaxMissingReports = 2;
/// While nothing becomes known, what has expired is removed this often.
constexpr absl::Duration kExpiryInterval = absl::Seconds(1);
/// Time until a request is let through that tells whether an uncertain part is
/// sound; reports of peers arrive before. The next instance follows when it
/// would know the outcome of the first one's.
constexpr absl::Duration kTrialDelay = absl::Seconds(1);
constexpr absl::Duration kTrialDelayPerRank = absl::Seconds(2);
/// A trial without an outcome, such as a refused one, is repeated.
constexpr absl::Duration kTrialInterval = absl::Seconds(5);
constexpr int kMaxTrials = 2;
/// Bounds on what is kept.
constexpr size_t kMaxSuspicions = 1024;
constexpr size_t kMaxCrashesOfPart = 32;
constexpr size_t kMaxSoundParts = 8192;
constexpr size_t kMaxQuarantined = 256;
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

bool Contains(std::span<const EngineCrash> crashes, const EngineCrash& crash) {
  return std::any_of(
      crashes.begin(), crashes.end(),
      [&crash](const EngineCrash& other) { return crash.IsSameAs(other); });
}

/// @param crashes Of one part, in the order of their times.
/// @return When the quarantine ends that the last crashes that add up have led
///     to; the infinite past if there are too few.
absl::Time EndOfQuarantine(std::span<const EngineCrash> crashes) {
  constexpr size_t kOthers = kCrashesToQuarantine - 1;
  for (size_t last = crashes.size(); last-- > kOthers;) {
    if (crashes[last].at - crashes[last - kOthers].at <= kCrashWindow)
      return crashes[last].at + kQuarantineTime;
  }
  return absl::InfinitePast();
}

}  // namespace

bool EngineCrash::IsSameAs(const EngineCrash& other) const {
  return this->engine == other.engine &&
         absl::AbsDuration(this->at - other.at) <= kCrashTimeTolerance;
}

void PromptPartQuarantine::OnAnswered(const PromptDescription& prompt) {
  for (const PromptPart& part : SharedParts(prompt)) {
    if (this->suspicions.contains(part.id) || this->IsActive(part.id))
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
  this->has_news |= this->suspicions.erase(part) > 0;
  this->verdicts.erase(part);
  this->adopted.erase(part);
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
  return this->Judge();
}

void PromptPartQuarantine::AddCrash(uint64_t part,
                                    const SuspectCrash& added,
                                    uint32_t position) {
  if (this->IsSound(part)) {
    if (this->sound_parts[part].own)
      this->Dispute(part);
    return;
  }
  if (this->clock.Now() - added.crash.at > kCrashRetention)
    return;
  if (!this->suspicions.contains(part)) {
    MakeRoom(this->suspicions, kMaxSuspicions, [](const auto& item) {
      return item.second.crashes.back().crash.at;
    });
  }
  Suspicion& suspicion = this->suspicions[part];
  suspicion.position = std::max(suspicion.position, position);
  auto& crashes = suspicion.crashes;
  auto known = std::find_if(crashes.begin(), crashes.end(),
                            [&added](const SuspectCrash& other) {
                              return added.crash.IsSameAs(other.crash);
                            });
  if (known != crashes.end()) {
    known->own = known->own || added.own;
    return;
  }
  auto later = std::find_if(crashes.begin(), crashes.end(),
                            [&added](const SuspectCrash& other) {
                              return other.crash.at > added.crash.at;
                            });
  crashes.insert(later, added);
  this->has_news = true;
  if (crashes.size() > kMaxCrashesOfPart)
    crashes.erase(crashes.begin());
}

/// Decides anew which parts are the cause of the known crashes.
/// @return The parts that are quarantined now and were not before.
std::vector<uint64_t> PromptPartQuarantine::Judge() {
  absl::Time now = this->clock.Now();
  if (!this->has_news && now < this->next_expiry)
    return {};
  this->has_news = false;
  this->next_expiry = now + kExpiryInterval;
  this->RemoveExpired();
  CrashesByPart unexplained = this->UnexplainedCrashes();
  absl::flat_hash_map<uint64_t, Verdict> found;
  std::vector<uint64_t> added;
  while (auto cause = this->LikeliestCause(unexplained)) {
    Crashes crashes = std::move(unexplained[*cause]);
    unexplained.erase(*cause);
    auto known = this->verdicts.find(*cause);
    Verdict verdict =
        known == this->verdicts.end() ? Verdict{{}, now} : known->second;
    verdict.until = EndOfQuarantine(crashes);
    verdict.is_certain = !this->HasRival(*cause, crashes);
    if (now < verdict.until && !this->IsActive(*cause))
      added.push_back(*cause);
    found.emplace(*cause, verdict);
    for (auto& [part, others] : unexplained) {
      std::erase_if(others, [&crashes](const EngineCrash& crash) {
        return Contains(crashes, crash);
      });
    }
  }
  this->verdicts = std::move(found);
  this->DropExplained(unexplained);
  return added;
}

PromptPartQuarantine::CrashesByPart PromptPartQuarantine::UnexplainedCrashes()
    const {
  CrashesByPart crashes;
  for (const auto& [part, suspicion] : this->suspicions) {
    for (const SuspectCrash& entry : suspicion.crashes)
      crashes[part].push_back(entry.crash);
  }
  return crashes;
}

/// @return Of the parts with enough crashes, the one that is the cause; nothing
///     if there is none.
std::optional<uint64_t> PromptPartQuarantine::LikeliestCause(
    const CrashesByPart& crashes) const {
  size_t most = 0;
  for (const auto& [part, own] : crashes) {
    if (EndOfQuarantine(own) != absl::InfinitePast())
      most = std::max(most, own.size());
  }
  if (most == 0)
    return std::nullopt;
  // The first parts of prompts are shared by the most prompts, so that they
  // were at all crashes that a later part has caused, and at others. Of those
  // with about as many crashes, the later part is the likelier cause, and its
  // quarantine affects fewer prompts.
  std::optional<std::tuple<uint32_t, size_t, uint64_t>> likeliest;
  for (const auto& [part, own] : crashes) {
    if (own.size() + kMaxMissingReports < most ||
        EndOfQuarantine(own) == absl::InfinitePast())
      continue;
    uint32_t position = this->suspicions.find(part)->second.position;
    likeliest = std::max(likeliest,
                         std::optional(std::tuple(position, own.size(), part)));
  }
  return std::get<2>(*likeliest);
}

/// @return True if another part, which came later in prompts, was at these
///     crashes as well, and further crashes have not shown that it is not the
///     cause.
bool PromptPartQuarantine::HasRival(uint64_t part,
                                    const Crashes& crashes) const {
  if (crashes.size() > kCrashesToQuarantine)
    return false;
  uint32_t position = this->suspicions.find(part)->second.position;
  return std::any_of(
      this->suspicions.begin(), this->suspicions.end(), [&](const auto& item) {
        const auto& [other, suspicion] = item;
        return other != part && suspicion.position > position &&
               std::any_of(suspicion.crashes.begin(), suspicion.crashes.end(),
                           [&crashes](const SuspectCrash& entry) {
                             return Contains(crashes, entry.crash);
                           });
      });
}

/// Drops what others have quarantined if all crashes that speak against it have
/// another cause.
void PromptPartQuarantine::DropExplained(const CrashesByPart& unexplained) {
  absl::erase_if(this->adopted, [&](const auto& item) {
    uint64_t part = item.first;
    auto left = unexplained.find(part);
    return this->suspicions.contains(part) && !this->verdicts.contains(part) &&
           left != unexplained.end() && left->second.empty();
  });
}

bool PromptPartQuarantine::IsActive(uint64_t part) const {
  absl::Time now = this->clock.Now();
  auto verdict = this->verdicts.find(part);
  if (verdict != this->verdicts.end() && now < verdict->second.until)
    return true;
  auto other = this->adopted.find(part);
  return other != this->adopted.end() && now < other->second;
}

bool PromptPartQuarantine::TakeTrial(const PromptDescription& prompt,
                                     size_t rank) {
  absl::Time now = this->clock.Now();
  Verdict* tried = nullptr;
  for (const PromptPart& part : SharedParts(prompt)) {
    auto verdict = this->verdicts.find(part.id);
    bool is_cause =
        verdict != this->verdicts.end() && now < verdict->second.until;
    // Only a prompt without any other suspect tells something about the part.
    if (!is_cause &&
        (this->suspicions.contains(part.id) || this->IsActive(part.id)))
      return false;
    if (!is_cause)
      continue;
    if (tried != nullptr || verdict->second.is_certain)
      return false;
    tried = &verdict->second;
  }
  absl::Duration delay =
      kTrialDelay + kTrialDelayPerRank * static_cast<double>(rank);
  if (tried == nullptr || now - tried->found_at < delay ||
      now - tried->tried_at < kTrialInterval || tried->trials >= kMaxTrials)
    return false;
  ++tried->trials;
  tried->tried_at = now;
  return true;
}

bool PromptPartQuarantine::IsQuarantined(
    const PromptDescription& prompt) const {
  if (this->verdicts.empty() && this->adopted.empty())
    return false;
  std::span<const PromptPart> parts = SharedParts(prompt);
  return std::any_of(parts.begin(), parts.end(), [this](const auto& part) {
    return this->IsActive(part.id);
  });
}

PromptPartReport PromptPartQuarantine::Report() const {
  PromptPartReport report;
  absl::Time now = this->clock.Now();
  report.sent_at = now;
  for (const QuarantinedPart& part : this->Quarantined()) {
    if (report.quarantined.size() < kMaxReportedParts)
      report.quarantined.push_back(part);
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
  absl::Duration age = this->clock.Now() - sent_at;
  for (const QuarantinedPart& entry : report.quarantined)
    this->Restore({entry.part, entry.remaining - age});
  for (const PartCrash& entry : report.crashes) {
    this->AddCrash(entry.part, {{entry.engine, sent_at - entry.age}, false},
                   entry.position);
  }
  return this->Judge();
}

std::vector<QuarantinedPart> PromptPartQuarantine::Quarantined() const {
  absl::flat_hash_map<uint64_t, absl::Time> ends = this->adopted;
  for (const auto& [part, verdict] : this->verdicts)
    ends[part] = std::max(ends[part], verdict.until);
  std::vector<QuarantinedPart> parts;
  absl::Time now = this->clock.Now();
  for (const auto& [part, until] : ends) {
    if (now < until)
      parts.push_back({part, until - now, this->IsCertain(part)});
  }
  return parts;
}

/// @return False if what is known here leaves other explanations.
bool PromptPartQuarantine::IsCertain(uint64_t part) const {
  auto verdict = this->verdicts.find(part);
  return verdict == this->verdicts.end() ? !this->suspicions.contains(part)
                                         : verdict->second.is_certain;
}

void PromptPartQuarantine::Restore(const QuarantinedPart& part) {
  if (this->IsSound(part.part)) {
    if (this->sound_parts[part.part].own)
      this->Dispute(part.part);
    return;
  }
  if (!this->adopted.contains(part.part)) {
    MakeRoom(this->adopted, kMaxQuarantined,
             [](const auto& item) { return item.second; });
  }
  auto [known, added] =
      this->adopted.try_emplace(part.part, absl::InfinitePast());
  this->has_news |= added;
  known->second =
      std::max(known->second,
               this->clock.Now() + std::min(part.remaining, kQuarantineTime));
}

void PromptPartQuarantine::RemoveExpired() {
  absl::Time now = this->clock.Now();
  absl::erase_if(this->adopted,
                 [now](const auto& item) { return item.second <= now; });
  absl::erase_if(this->disputed_parts,
                 [now](const auto& item) { return item.second <= now; });
  for (auto& [part, suspicion] : this->suspicions) {
    std::erase_if(suspicion.crashes, [now](const SuspectCrash& entry) {
      return now - entry.crash.at > kCrashRetention;
    });
  }
  absl::erase_if(this->suspicions,
                 [](const auto& item) { return item.second.crashes.empty(); });
}

}  // namespace cranberryhill::forward
