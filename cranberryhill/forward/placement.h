#ifndef CRANBERRYHILL_FORWARD_PLACEMENT_H_
#define CRANBERRYHILL_FORWARD_PLACEMENT_H_

// Chooses the replica of a request by the expected time to the first byte. A
// prompt with a shared prefix goes to the replicas that a hash of the prefix
// ranks first, so that all instances agree where a prefix is cached without
// exchanging messages. Designed for long shared prompts whose prefill takes
// most of the fleet's capacity, and for services without model engines whose
// replicas have few slots.
//
//   Placement placement("addis-a", engine_speed_models);
//   PlacementChoice choice =
//       placement.ChooseEngine(replicas, prompt, limits, now, {});

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/forward/engine_speed.h"
#include "cranberryhill/forward/prompt.h"
#include "cranberryhill/forward/replica_set.h"

namespace cranberryhill::forward {

/// Conditions for the on-time lane, as times from now. A request that is not
/// expected to meet both is put into the deferred lane.
struct LatencyLimits {
  /// Longest expected time to the first byte.
  absl::Duration target_latency = absl::InfiniteDuration();
  /// Longest time that a request of the on-time lane may wait in the queue of
  /// an engine. It is the same for all routes of a service, so that requests of
  /// a route with a long latency target do not delay those of a route with a
  /// short one.
  absl::Duration max_queue_wait = absl::InfiniteDuration();
};

struct PlacementChoice {
  /// Runs the request; null when no replica can.
  std::shared_ptr<Replica> replica;
  /// Prefills the prompt before `replica` decodes the answer; null when
  /// `replica` does both.
  std::shared_ptr<Replica> prefill_engine;
  absl::Duration expected_first_byte;  ///< Expected time to the first byte.
  PrefillLane lane = PrefillLane::kOnTime;
  /// Prompt tokens that `replica` has to prefill.
  double replica_prefill_tokens = 0;
  /// Prompt tokens that `prefill_engine` has to prefill.
  double prefill_engine_tokens = 0;
};

/// Has no state except its settings.
class Placement {
 public:
  /// @param speeds Must outlive this object.
  Placement(std::string availability_zone, const EngineSpeedSource& speeds)
      : zone(std::move(availability_zone)), speeds(speeds) {}

  /// @param candidates Usable replicas of a model service.
  /// @param excluded Ids of replicas that the request must not be sent to.
  PlacementChoice ChooseEngine(
      std::span<const std::shared_ptr<Replica>> candidates,
      const PromptDescription& prompt,
      const LatencyLimits& limits,
      absl::Time now,
      std::span<const std::string> excluded) const;

  /// Chooses for a stream whose caller has events already. Its prompt is
  /// prefilled before all new ones, and only the time to the next event counts:
  /// callers give up a stream that stays silent.
  /// @param read_by Ids of the replicas that have read the whole prompt, whose
  ///     own part no estimate contains.
  PlacementChoice ChooseEngineToResume(
      std::span<const std::shared_ptr<Replica>> candidates,
      const PromptDescription& prompt,
      absl::Time now,
      std::span<const std::string> excluded,
      std::span<const std::string> read_by) const;

  /// Chooses the engine that decodes the answer to a prompt whose KV cache is
  /// kept at a prefill engine.
  /// @param random_value Differs between requests, so that instances that see
  ///     the same load do not all choose the same engine.
  /// @return The decode engine with the lowest cost, or null.
  std::shared_ptr<Replica> ChooseDecodeEngine(
      std::span<const std::shared_ptr<Replica>> candidates,
      uint64_t random_value,
      absl::Time now,
      std::span<const std::string> excluded) const;

  /// @param candidates Usable replicas of a service without model engines.
  /// @param random_value Differs between requests; decides among replicas that
  ///     cost the same.
  PlacementChoice ChooseServer(
      std::span<const std::shared_ptr<Replica>> candidates,
      uint64_t random_value,
      absl::Time now,
      std::span<const std::string> excluded) const;

 private:
  using ReplicaPtr = std::shared_ptr<Replica>;

  /// An engine with the values that the choice in both lanes needs for one
  /// prompt.
  struct Candidate {
    ReplicaPtr replica;
    /// Rank by a hash of the prompt's shared prefix; higher is better.
    uint64_t rank = 0;
    /// Tokens of the prompt that the engine has cached.
    uint32_t cached_tokens = 0;
  };

  /// The engines that may serve one prompt, in the order of their ranks.
  struct Candidates {
    std::vector<Candidate> prefill_engines;
    std::vector<Candidate> decode_engines;
  };

  static Candidates RankCandidates(std::span<const ReplicaPtr> replicas,
                                   const PromptDescription& prompt,
                                   std::span<const std::string> excluded);
  /// @return Expected milliseconds of a prefill at the replica for a number of
  ///     effective tokens.
  Line PrefillLine(const EngineSpeed& speed,
                   const Replica& replica,
                   absl::Time now) const;
  PlacementChoice ChooseInLane(const EngineSpeed& speed,
                               const Candidates& candidates,
                               const PromptDescription& prompt,
                               PrefillLane lane,
                               absl::Time now) const;
  double PenaltyMs(const Replica& replica, absl::Time now) const;
  double DecodeCost(const EngineSpeed& speed,
                    const Replica& replica,
                    uint64_t random_value,
                    absl::Time now) const;
  double OutstandingRequests(const Replica& replica, absl::Time now) const;

  std::string zone;
  const EngineSpeedSource& speeds;
};

/// @return The estimated number of requests that other instances have at a
///     replica, from its last load report; older reports count less.
double EstimatedOtherRequests(const Replica& replica, absl::Time now);

/// @return The estimated time that work takes at a replica, as a multiple of
///     the usual time, from its last load report. The value changes many times
///     a second, so older reports count less.
double EstimatedSlowness(const Replica& replica, absl::Time now);

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_PLACEMENT_H_
