#ifndef CRANBERRYHILL_FORWARD_PROMPT_PART_QUARANTINE_H_
#define CRANBERRYHILL_FORWARD_PROMPT_PART_QUARANTINE_H_

// Finds parts of prompts that crash engines. Prompts with such a part may
// differ in everything else, so that no single request is seen twice. Instances
// share what they observe: each crash is seen by all that have requests at the
// engine, but only one of them sent the request that caused it.
//
//   PromptPartQuarantine quarantine(clock);
//   quarantine.OnCrash({StableHash("i-7f3a"), crashed_at}, suspects);
//   quarantine.OnAnswered(prompt);  // Its parts are sound.
//   if (quarantine.IsQuarantined(prompt)) ...refuse...
//
// A part is quarantined after kCrashesToQuarantine crashes of engines that had
// begun to answer a prompt with it, unless an answer to a prompt with it was
// completed recently. A crash that one quarantined part explains does not count
// against another one, so that parts that were at the same engines by chance
// stay usable.
//
// What is quarantined follows from the crashes that are known, in whatever
// order they became known: what a peer has seen can change it. Where a later
// part of the same prompts may be the cause as well, one request is let through
// to tell.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/forward/peer_clocks.h"
#include "cranberryhill/forward/prompt.h"

namespace cranberryhill::forward {

/// Number of engines that one part may crash before it is quarantined.
inline constexpr size_t kCrashesToQuarantine = 3;

/// The crash of an engine, as one instance has seen it. Instances see the same
/// crash at about the same time, and an engine is not back at once, so that the
/// crashes of one engine can be told apart.
struct EngineCrash {
  uint64_t engine = 0;  ///< Hash of its id; the same on all instances.
  absl::Time at;        ///< When it broke off its answers.

  bool IsSameAs(const EngineCrash& other) const;
};

/// An engine crashed when it had begun to answer a prompt with this part.
struct PartCrash {
  uint64_t part = 0;
  uint64_t engine = 0;
  absl::Duration age;  ///< Time since the crash.
  /// Position of the part in the prompt, from 0. Later parts occur in fewer
  /// prompts than those before them.
  uint32_t position = 0;
};

struct QuarantinedPart {
  uint64_t part = 0;
  absl::Duration remaining;
  /// False if the crashes known to this instance may have another cause. Such a
  /// quarantine must not outlive the instances that can correct it.
  bool is_certain = true;
};

/// What an instance tells its peers.
struct PromptPartReport {
  absl::Time sent_at;  ///< By the sender's clock.
  /// Those that the sender has seen itself. What peers told it is not passed
  /// on, so that no error of a clock adds up.
  std::vector<PartCrash> crashes;
  std::vector<QuarantinedPart> quarantined;
  /// Parts of crashes to which this instance itself has seen a whole answer.
  std::vector<uint64_t> sound;
};

/// Not thread-safe.
class PromptPartQuarantine {
 public:
  /// @param clock Must outlive this object.
  explicit PromptPartQuarantine(const Clock& clock)
      : clock(clock), peer_clocks(clock) {}

  /// Records that an answer to the prompt was completed.
  void OnAnswered(const PromptDescription& prompt);

  /// Records the crash of an engine.
  /// @param suspects Prompts to which the engine had begun an answer, without
  ///     having sent a whole event.
  /// @return The parts that are quarantined because of this crash.
  std::vector<uint64_t> OnCrash(const EngineCrash& crash,
                                std::span<const PromptDescription> suspects);

  /// @return True if answering the prompt is expected to crash engines.
  bool IsQuarantined(const PromptDescription& prompt) const;

  /// Lets a prompt through although it is quarantined, to tell whether its part
  /// is the cause of the crashes. The caller then sends it once.
  /// @param rank Number of live instances that come before this one. The first
  ///     one tries first, and the others if it has nothing to try.
  /// @return False if it is certain that the prompt crashes engines, or another
  ///     prompt is to tell.
  bool TakeTrial(const PromptDescription& prompt, size_t rank);

  /// @return What to tell peers; bounded in size, the newest crashes first.
  PromptPartReport Report() const;

  /// Merges a report of a peer. Reports may be lost, repeated or reordered.
  /// @param sender The peer's process; a restarted one has another number.
  /// @return The parts that are quarantined because of it.
  std::vector<uint64_t> Merge(const PromptPartReport& report, uint64_t sender);

  /// @return All parts that are quarantined now, in no order.
  std::vector<QuarantinedPart> Quarantined() const;

  /// Quarantines a part that an instance had quarantined before, unless it has
  /// proved to be sound lately.
  /// @param part More than the usual time counts as the usual time.
  void Restore(const QuarantinedPart& part);

  size_t QuarantinedCount() const { return this->Quarantined().size(); }

 private:
  struct SuspectCrash {
    EngineCrash crash;
    bool own = false;  // This instance has seen it itself.
  };
  /// The crashes at which prompts with a part were.
  struct Suspicion {
    std::vector<SuspectCrash> crashes;  // In the order of their times.
    uint32_t position = 0;
  };
  struct SoundPart {
    absl::Time until;
    bool own = false;  // This instance has seen the answer itself.
  };
  /// A part that explains crashes by what is known here.
  struct Verdict {
    absl::Time until;
    absl::Time found_at;
    bool is_certain = false;
    int trials = 0;
    absl::Time tried_at = absl::InfinitePast();
  };
  using Crashes = std::vector<EngineCrash>;
  using CrashesByPart = absl::flat_hash_map<uint64_t, Crashes>;

  void AddCrash(uint64_t part, const SuspectCrash& added, uint32_t position);
  void Dispute(uint64_t part);
  void SetSound(uint64_t part, bool own);
  bool IsSound(uint64_t part) const;
  std::vector<uint64_t> Judge();
  CrashesByPart UnexplainedCrashes() const;
  std::optional<uint64_t> LikeliestCause(const CrashesByPart& crashes) const;
  bool HasRival(uint64_t part, const Crashes& crashes) const;
  void DropExplained(const CrashesByPart& unexplained);
  bool IsActive(uint64_t part) const;
  bool IsCertain(uint64_t part) const;
  void RemoveExpired();

  const Clock& clock;
  PeerClocks peer_clocks;
  absl::flat_hash_map<uint64_t, Suspicion> suspicions;  // By part.
  absl::flat_hash_map<uint64_t, Verdict> verdicts;      // By part.
  // Parts that others have quarantined; until when.
  absl::flat_hash_map<uint64_t, absl::Time> adopted;
  absl::flat_hash_map<uint64_t, SoundPart> sound_parts;
  // Parts that peers suspect, or that were suspect here, to which this instance
  // has seen an answer; until when peers are told.
  absl::flat_hash_map<uint64_t, absl::Time> disputed_parts;
  bool has_news = false;  // Since the last judgement.
  absl::Time next_expiry = absl::InfinitePast();
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_PROMPT_PART_QUARANTINE_H_
