#include "cranberryhill/forward/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cranberryhill/base/hash.h"

namespace cranberryhill::forward {
namespace {

/// Reports lose half of their weight in this time. Load changes within a few
/// hundred milliseconds.
constexpr double kLoadHalfLifeMs = 400;
/// Added for a replica that is being avoided: it is used only where all
/// others are worse by this much.
constexpr double kAvoidedMs = 2000;
/// Added in proportion to the recent failure rate.
constexpr double kFailureMs = 800;
/// Bytes between availability zones are priced; among replicas that are about
/// as fast, the one in the own zone is taken.
constexpr double kOtherZoneMs = 6;
/// Prompt tokens of a request whose size is not known, the mean of the sheets.
constexpr double kTypicalPromptTokens = 3000;
/// Chance that a replica ranked first for a shared part holds it though this
/// instance never sent it there: another instance may have.
constexpr double kHomeHasPart = 0.5;
/// A shared part is looked for at this many replicas.
constexpr size_t kHomes = 2;

bool Contains(std::span<const std::string> ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

uint64_t Rank(const Replica& replica, uint64_t key) {
  return StableHash(replica.entry.id, key);
}

}  // namespace

double OthersAt(const Replica& replica, absl::Time now) {
  if (replica.load_at == absl::InfinitePast())
    return 0;
  double age_ms = absl::ToDoubleMilliseconds(now - replica.load_at);
  double others = std::max(0, replica.load.running + replica.load.waiting -
                                  replica.outstanding_at_load);
  return others * std::exp2(-age_ms / kLoadHalfLifeMs);
}

double Placement::StepMs(const Replica& replica, absl::Time now) const {
  return this->speed.step_ms +
         this->speed.step_ms_per_request *
             (replica.outstanding + OthersAt(replica, now));
}

double Placement::MsPerToken(const Replica& replica, absl::Time now) const {
  if (replica.entry.role == EngineRole::kPrefill)
    return 1 / this->speed.prompt_tokens_per_ms;
  return 1 / (this->speed.prompt_tokens_per_ms * this->speed.decode_read_share) +
         this->StepMs(replica, now) / this->speed.decode_chunk_tokens;
}

double Placement::PenaltyMs(const Replica& replica, absl::Time now) const {
  double penalty = replica.failure_rate * kFailureMs;
  if (now < replica.avoid_until)
    penalty += kAvoidedMs;
  if (replica.entry.availability_zone != this->zone)
    penalty += kOtherZoneMs;
  return penalty;
}

double Placement::WaitMs(const Replica& replica, absl::Time now) const {
  // Of the reported requests, those that wait have prompts to be read.
  double age_ms = replica.load_at == absl::InfinitePast()
                      ? 0
                      : absl::ToDoubleMilliseconds(now - replica.load_at);
  double others_waiting =
      replica.entry.role == EngineRole::kPrefill
          ? OthersAt(replica, now)
          : replica.load.waiting * std::exp2(-age_ms / kLoadHalfLifeMs);
  double tokens =
      replica.queued_tokens + others_waiting * kTypicalPromptTokens;
  return tokens * this->MsPerToken(replica, now);
}

PlacementChoice Placement::ChooseEngine(
    std::span<const ReplicaPtr> candidates,
    const PromptShape& shape,
    absl::Time now,
    std::span<const std::string> excluded) const {
  uint64_t key = shape.SharedKey();
  auto unread = [&](const Replica& replica, bool is_home) {
    double cached = replica.cache.CachedTokens(shape);
    if (cached == 0 && is_home)
      cached = kHomeHasPart * shape.SharedTokens();
    return std::max(1.0, shape.prompt_tokens - cached);
  };
  std::vector<ReplicaPtr> readers;
  std::vector<ReplicaPtr> runners;
  for (const ReplicaPtr& replica : candidates) {
    if (Contains(excluded, replica->entry.id))
      continue;
    if (replica->entry.role == EngineRole::kPrefill)
      readers.push_back(replica);
    else
      runners.push_back(replica);
  }
  auto by_rank = [key](const ReplicaPtr& a, const ReplicaPtr& b) {
    return Rank(*a, key) > Rank(*b, key);
  };
  std::sort(readers.begin(), readers.end(), by_rank);
  std::sort(runners.begin(), runners.end(), by_rank);

  PlacementChoice best;
  double best_ms = std::numeric_limits<double>::infinity();
  double transfer_ms = this->speed.transfer_setup_ms +
                       shape.prompt_tokens / 1000.0 *
                           this->speed.transfer_ms_per_k;
  // The runner after a reader: the least loaded one.
  ReplicaPtr free_runner;
  double free_runner_ms = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < runners.size(); ++i) {
    const Replica& replica = *runners[i];
    double base_ms =
        this->PenaltyMs(replica, now) + this->speed.first_event_ms;
    double step_excess = (this->StepMs(replica, now) - this->speed.step_ms) * 10;
    if (base_ms + step_excess < free_runner_ms) {
      free_runner_ms = base_ms + step_excess;
      free_runner = runners[i];
    }
    double tokens = unread(replica, key != 0 && i < kHomes);
    double ms = base_ms + this->WaitMs(replica, now) +
                tokens * this->MsPerToken(replica, now);
    if (ms < best_ms) {
      best_ms = ms;
      best = {runners[i], nullptr, {}, tokens, 0};
    }
  }
  for (size_t i = 0; i < readers.size() && free_runner != nullptr; ++i) {
    const Replica& replica = *readers[i];
    double tokens = unread(replica, key != 0 && i < kHomes);
    double ms = this->PenaltyMs(replica, now) + this->WaitMs(replica, now) +
                tokens * this->MsPerToken(replica, now) + transfer_ms +
                free_runner_ms;
    if (ms < best_ms) {
      best_ms = ms;
      best = {free_runner, readers[i], {}, 0, tokens};
    }
  }
  if (best.target != nullptr)
    best.expected_first = absl::Milliseconds(best_ms);
  return best;
}

PlacementChoice Placement::ChooseServer(
    std::span<const ReplicaPtr> candidates,
    absl::Time now,
    std::span<const std::string> excluded) const {
  PlacementChoice best;
  double best_ms = std::numeric_limits<double>::infinity();
  constexpr double kTypicalWorkMs = 40;
  for (const ReplicaPtr& replica : candidates) {
    if (Contains(excluded, replica->entry.id))
      continue;
    double waiting = replica->outstanding + OthersAt(*replica, now);
    double slots = std::max(1, replica->entry.slots);
    // Below half of its slots a replica is as good as idle.
    double queue_ms =
        kTypicalWorkMs * std::max(0.0, waiting / slots - 0.5);
    double ms = kTypicalWorkMs + queue_ms + this->PenaltyMs(*replica, now);
    if (ms < best_ms) {
      best_ms = ms;
      best = {replica, nullptr, absl::Milliseconds(ms), 0, 0};
    }
  }
  return best;
}

}  // namespace cranberryhill::forward
