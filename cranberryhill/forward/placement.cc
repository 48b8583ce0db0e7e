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
/// Among replicas that hold none of a prompt's parts, the one ranked first for
/// them is taken unless another is faster by more than this. Without it two
/// instances that see the same part for the first time would read it at two
/// replicas.
constexpr double kHomeMs = 30;
/// Weight of the time that reading shared tokens again takes from others, in
/// relation to the time that it takes from the request itself. Queues at the
/// crest hold about six prompts, and each of them waits for it. Weights from 2
/// to 12 were measured on both sites' standard days.
constexpr double kRereadWeight = 6;
/// Reading at an engine that generates slows about ten streams there, and takes
/// nearly three times as long as at an engine that only reads.
constexpr double kSlowedStreamsWeight = 10;
/// Steps by whose slowness runners are compared: about one event.
constexpr double kStepsWeight = 10;
/// Instances see each other's streams up to 0.4 s late; about ten are sent to
/// each engine meanwhile. Engines within that many streams of the least loaded
/// one are as good as it.
constexpr double kRunnerSpreadMs = 5;
/// A stream holds a slot of its engine for about this long. An engine that
/// seems to have more than this share of its slots in use may be full by the
/// time the stream arrives, as others choose among the same engines.
constexpr double kStreamMs = 600;
constexpr double kSafeOccupancy = 0.7;

bool Contains(std::span<const std::string> ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

uint64_t Rank(const Replica& replica, uint64_t key) {
  return StableHash(replica.entry.id, key);
}

/// @return Time that work takes at a replica, in relation to the usual one, by
///     its last report. It changes many times a second.
double SlownessAt(const Replica& replica, absl::Time now) {
  if (replica.load_at == absl::InfinitePast())
    return 1;
  double age_ms = absl::ToDoubleMilliseconds(now - replica.load_at);
  return 1 + (replica.load.slowness - 1) * std::exp2(-age_ms / kLoadHalfLifeMs);
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

double Placement::Running(const Replica& replica, absl::Time now) const {
  // The peers' own figures are newer than the replica's report.
  double others =
      std::max<double>(replica.peer_running, OthersAt(replica, now));
  return replica.outstanding + others;
}

double Placement::StepMs(const Replica& replica, absl::Time now) const {
  return this->speed.step_ms +
         this->speed.step_ms_per_request * this->Running(replica, now);
}

double Placement::MsPerToken(const Replica& replica, absl::Time now) const {
  if (replica.entry.role == EngineRole::kPrefill) {
    return 1 / this->speed.prompt_tokens_per_ms +
           this->speed.step_ms / this->speed.chunk_tokens;
  }
  return 1 / (this->speed.prompt_tokens_per_ms *
              this->speed.decode_read_share) +
         this->StepMs(replica, now) / this->speed.decode_chunk_tokens;
}

double Placement::ReadMs(const Replica& replica,
                         double tokens,
                         double prompt_tokens,
                         absl::Time now) const {
  double pairs = tokens * (prompt_tokens - tokens / 2);
  return this->speed.prompt_start_ms + tokens * this->MsPerToken(replica, now) +
         pairs / 1e6 * this->speed.ms_per_million_pairs;
}

double Placement::PenaltyMs(const Replica& replica, absl::Time now) const {
  double penalty = replica.failure_rate * kFailureMs;
  if (now < replica.avoid_until)
    penalty += kAvoidedMs;
  if (replica.entry.availability_zone != this->zone)
    penalty += kOtherZoneMs;
  return penalty;
}

double Placement::WaitMs(const Replica& replica,
                         ReadLane lane,
                         absl::Time now) const {
  return (replica.queued.Before(lane) + replica.peer_queued.Before(lane)) *
         this->MsPerToken(replica, now);
}

PlacementChoice Placement::ChooseEngine(
    std::span<const ReplicaPtr> candidates,
    const PromptShape& shape,
    const LatencyLimits& limits,
    absl::Time now,
    std::span<const std::string> excluded) const {
  uint64_t key = shape.SharedKey();
  std::vector<Candidate> readers;
  std::vector<Candidate> runners;
  for (const ReplicaPtr& replica : candidates) {
    if (Contains(excluded, replica->entry.id))
      continue;
    bool reads_only = replica->entry.role == EngineRole::kPrefill;
    (reads_only ? readers : runners)
        .push_back(
            {replica, Rank(*replica, key), replica->cache.CachedTokens(shape)});
  }
  auto by_rank = [](const Candidate& a, const Candidate& b) {
    return a.rank > b.rank;
  };
  std::sort(readers.begin(), readers.end(), by_rank);
  std::sort(runners.begin(), runners.end(), by_rank);
  PlacementChoice choice =
      this->ChooseInLane(readers, runners, shape, ReadLane::kOnTime, now);
  if (choice.target == nullptr)
    return choice;
  const Replica& reader =
      choice.reader != nullptr ? *choice.reader : *choice.target;
  bool on_time = choice.expected_first <= limits.target &&
                 absl::Milliseconds(this->WaitMs(reader, ReadLane::kOnTime,
                                                 now)) <= limits.longest_wait;
  if (on_time)
    return choice;
  return this->ChooseInLane(readers, runners, shape, ReadLane::kDeferred, now);
}

double Placement::RunCost(const Replica& replica,
                          uint64_t draw,
                          absl::Time now) const {
  double spread = kRunnerSpreadMs * static_cast<double>(Rank(replica, draw)) /
                  static_cast<double>(UINT64_MAX);
  double occupancy = this->Running(replica, now) / replica.entry.slots;
  return this->PenaltyMs(replica, now) + spread +
         kStepsWeight * (this->StepMs(replica, now) - this->speed.step_ms) +
         kStreamMs * std::max(0.0, occupancy - kSafeOccupancy);
}

std::shared_ptr<Replica> Placement::ChooseRunner(
    std::span<const ReplicaPtr> candidates,
    uint64_t draw,
    absl::Time now,
    std::span<const std::string> excluded) const {
  ReplicaPtr best;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const ReplicaPtr& replica : candidates) {
    if (replica->entry.role == EngineRole::kPrefill ||
        Contains(excluded, replica->entry.id))
      continue;
    double cost = this->RunCost(*replica, draw, now);
    if (cost < best_cost) {
      best_cost = cost;
      best = replica;
    }
  }
  return best;
}

PlacementChoice Placement::ChooseInLane(std::span<const Candidate> readers,
                                        std::span<const Candidate> runners,
                                        const PromptShape& shape,
                                        ReadLane lane,
                                        absl::Time now) const {
  bool has_shared = shape.SharedKey() != 0;
  auto unread = [&shape](const Candidate& candidate) {
    return std::max(1.0, 1.0 * shape.prompt_tokens - candidate.cached_tokens);
  };
  // Shared tokens that somebody holds and `replica` would read again take time
  // from all other requests.
  uint32_t held_somewhere = 0;
  for (const auto& group : {readers, runners}) {
    for (const Candidate& candidate : group)
      held_somewhere = std::max(held_somewhere, candidate.cached_tokens);
  }
  auto extra_ms = [&](const Candidate& candidate, size_t place) {
    double again = held_somewhere - candidate.cached_tokens;
    return kRereadWeight * again * this->MsPerToken(*candidate.replica, now) +
           (has_shared && place > 0 ? kHomeMs : 0);
  };

  PlacementChoice best;
  double best_cost = std::numeric_limits<double>::infinity();
  // The runner after a reader: the least loaded one.
  ReplicaPtr free_runner;
  double free_runner_cost = std::numeric_limits<double>::infinity();
  for (size_t i = 0; i < runners.size(); ++i) {
    const Replica& replica = *runners[i].replica;
    if (double run_cost = this->RunCost(replica, shape.OwnKey(), now);
        run_cost < free_runner_cost) {
      free_runner_cost = run_cost;
      free_runner = runners[i].replica;
    }
    double penalty_ms = this->PenaltyMs(replica, now);
    double tokens = unread(runners[i]);
    double read_ms = this->ReadMs(replica, tokens, shape.prompt_tokens, now);
    double time_ms =
        this->WaitMs(replica, lane, now) + read_ms + this->speed.first_event_ms;
    double cost = time_ms + penalty_ms + extra_ms(runners[i], i) +
                  kSlowedStreamsWeight * read_ms;
    if (cost < best_cost) {
      best_cost = cost;
      best = {runners[i].replica,
              nullptr,
              absl::Milliseconds(time_ms),
              lane,
              tokens,
              0};
    }
  }
  double transfer_ms =
      this->speed.transfer_setup_ms +
      shape.prompt_tokens / 1000.0 * this->speed.transfer_ms_per_k;
  for (size_t i = 0; i < readers.size() && free_runner != nullptr; ++i) {
    const Replica& replica = *readers[i].replica;
    double tokens = unread(readers[i]);
    double time_ms = this->WaitMs(replica, lane, now) +
                     this->ReadMs(replica, tokens, shape.prompt_tokens, now) +
                     transfer_ms + this->speed.first_event_ms;
    double cost = time_ms + this->PenaltyMs(replica, now) +
                  extra_ms(readers[i], i) + free_runner_cost;
    if (cost < best_cost) {
      best_cost = cost;
      best = {
          free_runner, readers[i].replica, absl::Milliseconds(time_ms), lane, 0,
          tokens};
    }
  }
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
    double work_ms = kTypicalWorkMs * SlownessAt(*replica, now);
    double queue_ms = work_ms * std::max(0.0, waiting / slots - 0.5);
    double ms = work_ms + queue_ms + this->PenaltyMs(*replica, now);
    if (ms < best_ms) {
      best_ms = ms;
      best = {replica,           nullptr, absl::Milliseconds(ms),
              ReadLane::kOnTime, 0,       0};
    }
  }
  return best;
}

}  // namespace cranberryhill::forward
