#include "cranberryhill/forward/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "cranberryhill/base/hash.h"

namespace cranberryhill::forward {
namespace {

/// A load report loses half of its weight in this time, because load changes
/// within a few hundred milliseconds.
constexpr double kLoadHalfLifeMs = 400;
/// Penalty of a replica that is being avoided: it is used only when every other
/// replica is worse by this much.
constexpr double kAvoidedPenaltyMs = 2000;
/// Penalty of a replica at a recent failure rate of 1; smaller rates add a
/// proportional part.
constexpr double kFailurePenaltyMs = 800;
/// Traffic between availability zones costs money, so among replicas that are
/// about equally fast one in the gateway's own zone is chosen.
constexpr double kOtherZonePenaltyMs = 6;
/// Among replicas that have no part of a prompt cached, the one that ranks
/// first for its shared prefix is chosen unless another one is faster by more
/// than this. Without this penalty, two instances that see a prefix for the
/// first time would have it prefilled at two replicas.
constexpr double kNotFirstRankedPenaltyMs = 30;
/// Factor applied to the time of a repeated prefill of shared tokens, because
/// the prompts in the replica's queue, about six at peak load, wait for it as
/// well.
constexpr double kRepeatedPrefillWeight = 6;
/// Time from the end of a prefill at an engine that decodes to the first event.
constexpr double kFirstEventAfterPrefillMs = 8;
/// Number of streams that a prefill at a decode engine slows down. The cost of
/// such a prefill is increased by its duration once for each of them; it takes
/// nearly three times as long as at a prefill engine.
constexpr double kSlowedStreams = 10;
/// The cost of a decode engine includes the time by which its load prolongs
/// this many decode steps; they take about the time between two events.
constexpr double kComparedSteps = 10;
/// Largest pseudo-random amount that is added to the cost of a decode engine.
/// An instance learns of its peers' streams up to 0.4 s late, and about ten
/// streams are sent to each engine in that time. The amount therefore spreads
/// requests over engines whose loads differ by up to about ten streams.
constexpr double kDecodeEngineSpreadMs = 5;
/// A stream occupies a slot of its engine for about kStreamDurationMs. An
/// engine whose estimated share of occupied slots exceeds kSafeOccupancy may be
/// full by the time the stream arrives, because other instances choose among
/// the same engines. The excess times kStreamDurationMs is added to its cost.
constexpr double kStreamDurationMs = 600;
constexpr double kSafeOccupancy = 0.7;

bool Contains(std::span<const std::string> ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

uint64_t HashRank(const Replica& replica, uint64_t key) {
  return StableHash(replica.entry.id, key);
}

/// @return Tokens of all instances that are prefilled before a new prompt.
double TokensAhead(const Replica& replica, PrefillLane lane) {
  return replica.queued.TokensAhead(lane) +
         replica.peer_queued.TokensAhead(lane);
}

}  // namespace

double EstimatedSlowness(const Replica& replica, absl::Time now) {
  if (replica.load_received_at == absl::InfinitePast())
    return 1;
  double age_ms = absl::ToDoubleMilliseconds(now - replica.load_received_at);
  return 1 + (replica.load.slowness - 1) * std::exp2(-age_ms / kLoadHalfLifeMs);
}

double EstimatedOtherRequests(const Replica& replica, absl::Time now) {
  if (replica.load_received_at == absl::InfinitePast())
    return 0;
  double age_ms = absl::ToDoubleMilliseconds(now - replica.load_received_at);
  double others = std::max(0, replica.load.running + replica.load.waiting -
                                  replica.outstanding_at_report);
  return others * std::exp2(-age_ms / kLoadHalfLifeMs);
}

double Placement::OutstandingRequests(const Replica& replica,
                                      absl::Time now) const {
  // Two estimates of the other instances' requests; the larger one is used. The
  // peers' messages are more recent than the replica's load report.
  double others = std::max<double>(replica.peer_outstanding,
                                   EstimatedOtherRequests(replica, now));
  return replica.outstanding + others;
}

Line Placement::PrefillLine(const EngineSpeed& speed,
                            const Replica& replica,
                            absl::Time now) const {
  Line line =
      replica.entry.role == EngineRole::kPrefill
          ? speed.prefill
          : speed.AtDecodeEngine(this->OutstandingRequests(replica, now));
  double slowness = EstimatedSlowness(replica, now);
  return {line.intercept * slowness, line.slope * slowness};
}

double Placement::PenaltyMs(const Replica& replica, absl::Time now) const {
  double penalty = replica.failure_rate * kFailurePenaltyMs;
  if (now < replica.avoid_until)
    penalty += kAvoidedPenaltyMs;
  if (replica.entry.availability_zone != this->zone)
    penalty += kOtherZonePenaltyMs;
  return penalty;
}

Placement::Candidates Placement::RankCandidates(
    std::span<const ReplicaPtr> replicas,
    const PromptDescription& prompt,
    std::span<const std::string> excluded) {
  Candidates candidates;
  uint64_t key = prompt.SharedPrefixId();
  for (const ReplicaPtr& replica : replicas) {
    if (Contains(excluded, replica->entry.id))
      continue;
    bool prefill_only = replica->entry.role == EngineRole::kPrefill;
    (prefill_only ? candidates.prefill_engines : candidates.decode_engines)
        .push_back({replica, HashRank(*replica, key),
                    replica->prefix_cache.CachedTokens(prompt)});
  }
  auto by_rank = [](const Candidate& a, const Candidate& b) {
    return a.rank > b.rank;
  };
  std::sort(candidates.prefill_engines.begin(),
            candidates.prefill_engines.end(), by_rank);
  std::sort(candidates.decode_engines.begin(), candidates.decode_engines.end(),
            by_rank);
  return candidates;
}

PlacementChoice Placement::ChooseEngine(
    std::span<const ReplicaPtr> candidates,
    const PromptDescription& prompt,
    const LatencyLimits& limits,
    absl::Time now,
    std::span<const std::string> excluded) const {
  if (candidates.empty())
    return {};
  const EngineSpeed& speed =
      this->speeds.SpeedOf(candidates.front()->entry.service);
  Candidates ranked = RankCandidates(candidates, prompt, excluded);
  PlacementChoice choice =
      this->ChooseInLane(speed, ranked, prompt, PrefillLane::kOnTime, now);
  if (choice.replica == nullptr)
    return choice;
  const Replica& prefill_engine = choice.prefill_engine != nullptr
                                      ? *choice.prefill_engine
                                      : *choice.replica;
  double queue_wait_ms = this->PrefillLine(speed, prefill_engine, now).slope *
                         TokensAhead(prefill_engine, PrefillLane::kOnTime);
  bool on_time = choice.expected_first_byte <= limits.target_latency &&
                 absl::Milliseconds(queue_wait_ms) <= limits.max_queue_wait;
  if (on_time)
    return choice;
  return this->ChooseInLane(speed, ranked, prompt, PrefillLane::kDeferred, now);
}

PlacementChoice Placement::ChooseEngineToResume(
    std::span<const ReplicaPtr> candidates,
    const PromptDescription& prompt,
    absl::Time now,
    std::span<const std::string> excluded,
    std::span<const std::string> read_by) const {
  if (candidates.empty())
    return {};
  Candidates ranked = RankCandidates(candidates, prompt, excluded);
  for (auto* group : {&ranked.prefill_engines, &ranked.decode_engines}) {
    for (Candidate& candidate : *group) {
      if (Contains(read_by, candidate.replica->entry.id))
        candidate.cached_tokens = prompt.prompt_tokens;
    }
  }
  return this->ChooseInLane(
      this->speeds.SpeedOf(candidates.front()->entry.service), ranked, prompt,
      PrefillLane::kResumed, now);
}

double Placement::DecodeCost(const EngineSpeed& speed,
                             const Replica& replica,
                             uint64_t random_value,
                             absl::Time now) const {
  double spread = kDecodeEngineSpreadMs *
                  static_cast<double>(HashRank(replica, random_value)) /
                  static_cast<double>(UINT64_MAX);
  double occupancy =
      this->OutstandingRequests(replica, now) / replica.entry.slots;
  return this->PenaltyMs(replica, now) + spread +
         kComparedSteps * speed.step_ms_per_request *
             this->OutstandingRequests(replica, now) +
         kStreamDurationMs * std::max(0.0, occupancy - kSafeOccupancy);
}

std::shared_ptr<Replica> Placement::ChooseDecodeEngine(
    std::span<const ReplicaPtr> candidates,
    uint64_t random_value,
    absl::Time now,
    std::span<const std::string> excluded) const {
  ReplicaPtr best;
  double best_cost = std::numeric_limits<double>::infinity();
  if (candidates.empty())
    return nullptr;
  const EngineSpeed& speed =
      this->speeds.SpeedOf(candidates.front()->entry.service);
  for (const ReplicaPtr& replica : candidates) {
    if (replica->entry.role == EngineRole::kPrefill ||
        Contains(excluded, replica->entry.id))
      continue;
    double cost = this->DecodeCost(speed, *replica, random_value, now);
    if (cost < best_cost) {
      best_cost = cost;
      best = replica;
    }
  }
  return best;
}

PlacementChoice Placement::ChooseInLane(const EngineSpeed& speed,
                                        const Candidates& candidates,
                                        const PromptDescription& prompt,
                                        PrefillLane lane,
                                        absl::Time now) const {
  const auto& [prefill_engines, decode_engines] = candidates;
  bool has_shared_prefix = prompt.SharedPrefixId() != 0;
  auto tokens_to_prefill = [&prompt](const Candidate& candidate) {
    return std::max(1.0, 1.0 * prompt.prompt_tokens - candidate.cached_tokens);
  };
  // If the candidate prefills tokens that another engine has cached, the
  // repeated prefill delays the requests in its queue. This delay is added to
  // the candidate's cost. Streams of a lost engine are resumed at the same
  // moment and must spread, so there the repeated prefill counts little.
  double repeated_prefill_weight =
      lane == PrefillLane::kResumed ? 1 : kRepeatedPrefillWeight;
  uint32_t max_cached_tokens = 0;
  for (const auto* group : {&prefill_engines, &decode_engines}) {
    for (const Candidate& candidate : *group)
      max_cached_tokens = std::max(max_cached_tokens, candidate.cached_tokens);
  }
  auto extra_cost_ms = [&](const Candidate& candidate, size_t position,
                           double ms_per_token) {
    double repeated_tokens = max_cached_tokens - candidate.cached_tokens;
    return repeated_prefill_weight * repeated_tokens * ms_per_token +
           (has_shared_prefix && position > 0 ? kNotFirstRankedPenaltyMs : 0);
  };

  PlacementChoice best;
  double best_cost = std::numeric_limits<double>::infinity();
  // The decode engine that would decode the answer after a prefill at a prefill
  // engine.
  ReplicaPtr least_loaded;
  double least_loaded_cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < decode_engines.size(); ++i) {
    const Replica& replica = *decode_engines[i].replica;
    if (double decode_cost =
            this->DecodeCost(speed, replica, prompt.OwnPartId(), now);
        decode_cost < least_loaded_cost) {
      least_loaded_cost = decode_cost;
      least_loaded = decode_engines[i].replica;
    }
    double penalty_ms = this->PenaltyMs(replica, now);
    double tokens = tokens_to_prefill(decode_engines[i]);
    Line line = this->PrefillLine(speed, replica, now);
    double prefill_ms = line.At(
        PrefillWork{tokens, 1.0 * prompt.prompt_tokens, 0}.EffectiveTokens());
    double time_ms = TokensAhead(replica, lane) * line.slope + prefill_ms +
                     kFirstEventAfterPrefillMs;
    double cost = time_ms + penalty_ms +
                  extra_cost_ms(decode_engines[i], i, line.slope) +
                  kSlowedStreams * prefill_ms;
    if (cost < best_cost) {
      best_cost = cost;
      best = {decode_engines[i].replica,
              nullptr,
              absl::Milliseconds(time_ms),
              lane,
              tokens,
              0};
    }
  }
  double first_event_ms = speed.first_event.At(prompt.prompt_tokens / 1000.0);
  for (size_t i = 0; i < prefill_engines.size() && least_loaded != nullptr;
       ++i) {
    const Replica& replica = *prefill_engines[i].replica;
    double tokens = tokens_to_prefill(prefill_engines[i]);
    Line line = this->PrefillLine(speed, replica, now);
    PrefillWork work{tokens, 1.0 * prompt.prompt_tokens,
                     TokensAhead(replica, lane)};
    double time_ms = line.At(work.EffectiveTokens()) + first_event_ms;
    double cost = time_ms + this->PenaltyMs(replica, now) +
                  extra_cost_ms(prefill_engines[i], i, line.slope) +
                  least_loaded_cost;
    if (cost < best_cost) {
      best_cost = cost;
      best = {least_loaded,
              prefill_engines[i].replica,
              absl::Milliseconds(time_ms),
              lane,
              0,
              tokens};
    }
  }
  return best;
}

PlacementChoice Placement::ChooseServer(
    std::span<const ReplicaPtr> candidates,
    uint64_t random_value,
    absl::Time now,
    std::span<const std::string> excluded) const {
  PlacementChoice best;
  double best_cost_ms = std::numeric_limits<double>::infinity();
  uint64_t best_rank = 0;
  constexpr double kTypicalWorkMs = 40;
  for (const ReplicaPtr& replica : candidates) {
    if (Contains(excluded, replica->entry.id))
      continue;
    double outstanding =
        replica->outstanding + EstimatedOtherRequests(*replica, now);
    double slots = std::max(1, replica->entry.slots);
    // A replica that uses less than half of its slots is as fast as an idle
    // one.
    double work_ms = kTypicalWorkMs * EstimatedSlowness(*replica, now);
    double queue_ms = work_ms * std::max(0.0, outstanding / slots - 0.5);
    double cost_ms = work_ms + queue_ms + this->PenaltyMs(*replica, now);
    uint64_t rank = HashRank(*replica, random_value);
    if (cost_ms < best_cost_ms ||
        (cost_ms == best_cost_ms && rank > best_rank)) {
      best_cost_ms = cost_ms;
      best_rank = rank;
      best = {
          replica, nullptr, absl::Milliseconds(cost_ms), PrefillLane::kOnTime,
          0,       0};
    }
  }
  return best;
}

}  // namespace cranberryhill::forward
