#ifndef CRANBERRYHILL_FORWARD_PLACEMENT_H_
#define CRANBERRYHILL_FORWARD_PLACEMENT_H_

// Chooses the replica of a request, by the expected time to the first byte.
// Prompts with shared parts go to the replicas that a hash of these parts
// ranks first, so that all instances agree where a part is cached without
// telling each other. Answers the load of long shared prompts whose reading
// fills the fleet, and of plain services with few slots.
//
//   Placement placement("addis-a", EngineSpeed{});
//   PlacementChoice choice =
//       placement.ChooseEngine(replicas, shape, limits, now, {});

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/forward/prompt.h"
#include "cranberryhill/forward/replica_set.h"

namespace cranberryhill::forward {

/// Speed of a model engine. The figures are those of the operators' sheets;
/// times of single requests to idle engines agree with them.
struct EngineSpeed {
  double prompt_tokens_per_ms = 157;  ///< Of an engine that only reads prompts.
  double chunk_tokens = 1024;         ///< Read in one step.
  /// An engine that also generates reads at this share of the speed, in chunks
  /// of a quarter of the size, between two generation steps.
  double decode_read_share = 0.5;
  double decode_chunk_tokens = 256;
  double step_ms = 3.55;  ///< A step without requests.
  double step_ms_per_request = 0.0462;
  double prompt_start_ms = 26;  ///< Of a prompt, beside its tokens.
  /// Attention over the tokens before, per million pairs of tokens.
  double ms_per_million_pairs = 0.109;
  /// From the end of reading, or of fetching the cache, to the first event.
  double first_event_ms = 8;
  /// Start and bytes of a move of cached tokens, per thousand tokens.
  double transfer_setup_ms = 6;
  double transfer_ms_per_k = 0.4;
};

/// When an answer is of use to the caller, counted from now.
struct LatencyLimits {
  absl::Duration target = absl::InfiniteDuration();  ///< Earns full credit.
  /// Longest time in the queue of an engine within the on-time lane. The same
  /// for all routes of a service, so that a route with a longer target does
  /// not fill the queue that one with a shorter target needs to be empty.
  absl::Duration longest_wait = absl::InfiniteDuration();
};

struct PlacementChoice {
  std::shared_ptr<Replica> target;  ///< Runs the request; null: nobody can.
  std::shared_ptr<Replica> reader;  ///< Reads the prompt first; may be null.
  absl::Duration expected_first;    ///< Time to the first byte.
  ReadLane lane = ReadLane::kOnTime;
  double target_tokens = 0;  ///< Prompt tokens that `target` has to read.
  double reader_tokens = 0;  ///< Prompt tokens that `reader` has to read.
};

/// Stateless but for its settings.
class Placement {
 public:
  Placement(std::string availability_zone, EngineSpeed speed)
      : zone(std::move(availability_zone)), speed(speed) {}

  /// @param candidates Usable replicas of a model service.
  /// @param excluded Ids of replicas that the request must not be sent to.
  PlacementChoice ChooseEngine(
      std::span<const std::shared_ptr<Replica>> candidates,
      const PromptShape& shape,
      const LatencyLimits& limits,
      absl::Time now,
      std::span<const std::string> excluded) const;

  /// @param draw Differs between requests, so that instances that see the same
  ///     load do not all choose the same engine.
  /// @return The engine that generates with least work, or null. For a prompt
  ///     whose cache is kept elsewhere.
  std::shared_ptr<Replica> ChooseRunner(
      std::span<const std::shared_ptr<Replica>> candidates,
      uint64_t draw,
      absl::Time now,
      std::span<const std::string> excluded) const;

  /// @param candidates Usable replicas of a plain service.
  PlacementChoice ChooseServer(
      std::span<const std::shared_ptr<Replica>> candidates,
      absl::Time now,
      std::span<const std::string> excluded) const;

 private:
  using ReplicaPtr = std::shared_ptr<Replica>;

  /// An engine with what both lanes need of it for one prompt.
  struct Candidate {
    ReplicaPtr replica;
    uint64_t rank = 0;           ///< By the hash of the prompt's shared part.
    uint32_t cached_tokens = 0;  ///< Of the prompt.
  };

  double ReadMs(const Replica& replica,
                double tokens,
                double prompt_tokens,
                absl::Time now) const;
  double WaitMs(const Replica& replica, ReadLane lane, absl::Time now) const;
  PlacementChoice ChooseInLane(std::span<const Candidate> readers,
                               std::span<const Candidate> runners,
                               const PromptShape& shape,
                               ReadLane lane,
                               absl::Time now) const;
  double PenaltyMs(const Replica& replica, absl::Time now) const;
  double RunCost(const Replica& replica, uint64_t draw, absl::Time now) const;
  double Running(const Replica& replica, absl::Time now) const;
  double StepMs(const Replica& replica, absl::Time now) const;
  double MsPerToken(const Replica& replica, absl::Time now) const;

  std::string zone;
  EngineSpeed speed;
};

/// @return Requests of other instances that a replica probably has, by its
///     last report; older reports count less.
double OthersAt(const Replica& replica, absl::Time now);

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_PLACEMENT_H_
