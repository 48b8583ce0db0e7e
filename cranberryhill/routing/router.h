#ifndef CRANBERRYHILL_ROUTING_ROUTER_H_
#define CRANBERRYHILL_ROUTING_ROUTER_H_

// Chooses the engine of a request by expected finish time. One Router per
// model and entry instance. The caller reports what happens to each request,
// so that the router learns speeds and corrects lagging load reports.
//
//   Router router(clock, random, {.zone = "a"});
//   uint32_t engine = router.AddEngine("engine-1", "a", EngineRole::kMixed);
//   router.OnLoadReport(engine, report);
//   std::optional<RouteDecision> decision = router.Choose(request);
//   if (decision && decision->in_time) router.OnSent(request, *decision);
//   ...
//   router.OnFirstToken(request.id);
//   router.OnTokens(request.id, 8);
//   router.OnFinished(request.id, AttemptEnd::kCompleted);

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/cost/engine_speed.h"
#include "cranberryhill/cost/load_tracker.h"
#include "cranberryhill/cost/work.h"
#include "cranberryhill/routing/prefix_index.h"

namespace cranberryhill {

/// Stands for an index that is not known.
inline constexpr uint32_t kNoIndex = UINT32_MAX;

/// Bounds and behaviour of a Router.
struct RouterOptions {
  std::string zone{};            ///< Availability zone of this instance.
  uint32_t entry_instances = 1;  ///< Instances that use the same engines.
  /// Index of this instance among them, or kNoIndex. With an index, each
  /// engine is the home of one instance (or of several, when there are fewer
  /// engines), which knows most of the work sent to it. Other instances use it
  /// only when it is better by foreign_margin.
  uint32_t instance_index = kNoIndex;
  absl::Duration foreign_margin = absl::Milliseconds(300);
  absl::Duration zone_latency = absl::Milliseconds(0.5);  ///< One way.
  absl::Duration max_gap = absl::Milliseconds(66);        ///< Between tokens.
  /// Candidates whose finish time exceeds the best by at most near_best_floor,
  /// the part near_best - 1 of the best's first token and differences of gaps
  /// that are below the precision of the estimates take part in the random
  /// choice.
  double near_best = 1.05;
  absl::Duration near_best_floor = absl::Milliseconds(20);
  /// A cached prefix counts only while its engine's waiting prefill is at most
  /// this many times the mean of the candidates, plus prefix_load_floor.
  double prefix_load_limit = 2.0;
  absl::Duration prefix_load_floor = absl::Milliseconds(150);
  /// Prompts from this size on run on the engines reserved for long work.
  uint32_t long_prompt_tokens = 24000;
  /// Requests wait at the entry instance while every engine has more backlog.
  absl::Duration max_backlog = absl::Milliseconds(300);
  bool reserve_engines_for_long = true;
  bool detect_slow = true;
  bool use_prefixes = true;
  SpeedPrior speed{};
};

/// A request to place.
struct RouteRequest {
  uint64_t id = 0;
  uint32_t prompt_tokens = 0;  ///< With the tokens already forwarded.
  OutputEstimate output{};     ///< Predicted tokens still to come.
  absl::Time first_token_by = absl::InfiniteFuture();
  std::span<const uint64_t> blocks{};    ///< From HashBlocks().
  std::span<const uint32_t> excluded{};  ///< Engines already tried.
  bool alone = false;  ///< A suspect: needs an engine without other streams.
};

/// Where a request goes.
struct RouteDecision {
  uint32_t engine = 0;  ///< Runs the prefill.
  /// Runs the decode. Differs from `engine` when that has role prefill, or
  /// role mixed and many streams.
  uint32_t decode_engine = 0;
  uint32_t cached_blocks = 0;
  absl::Duration first_token;  ///< Expected time to the first token.
  absl::Duration gap;          ///< Expected time between tokens.
  absl::Duration finish;       ///< Expected time to the last token.
  /// First token and gap meet their limits, and the engine's backlog is short
  /// enough to send the request now. When false, the request should wait in
  /// the admission queue, where it can still go to any engine.
  bool in_time = false;
  bool low_priority = false;  ///< Long work: send it with low priority.
};

/// Engine time that a request needs.
struct RequestEstimate {
  absl::Duration prefill;          ///< Prompt, less the best cached prefix.
  absl::Duration decode;           ///< Its part of a full batch's time.
  absl::Duration min_first_token;  ///< On an idle engine.
};

/// How an attempt ended.
enum class AttemptEnd {
  kCompleted,
  kCancelled,
  kFailed,  ///< Engine crash, stall or broken connection.
};

/// Not thread-safe.
class Router {
 public:
  /// @param clock Must outlive the router.
  /// @param random Must outlive the router.
  Router(const Clock& clock, Random& random, RouterOptions options);
  ~Router();

  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Adds an engine, or returns the index of the known one with this id and
  /// updates its zone and role.
  /// @return Index used by all other functions; never reused.
  uint32_t AddEngine(std::string_view id,
                     std::string_view zone,
                     EngineRole role);

  /// @return The id given to AddEngine().
  const std::string& EngineId(uint32_t engine) const;

  void SetRole(uint32_t engine, EngineRole role);

  /// Excludes an engine from new work (draining, leaving, suspect, gone) or
  /// admits it again.
  void SetUsable(uint32_t engine, bool usable);

  /// Forgets what is known of an engine that restarted: load and cache.
  void OnEngineRestarted(uint32_t engine);

  /// @param count Entry instances of the zone.
  /// @param index Position of this one in their sorted list.
  void SetEntryInstances(uint32_t count, uint32_t index = kNoIndex);

  void OnLoadReport(uint32_t engine, const LoadReport& report);
  void OnCacheEvents(uint32_t engine, std::span<const CacheEvent> events);

  /// Chooses engines; changes no state except the random generator.
  /// @return Nothing when no usable engine exists (or, for a suspect, none is
  ///     idle). Check `in_time` to refuse or delay a request that would be
  ///     late everywhere.
  std::optional<RouteDecision> Choose(const RouteRequest& request);

  /// Records that the request was sent as decided.
  void OnSent(const RouteRequest& request, const RouteDecision& decision);

  /// Chooses the decode engine anew, when the prefill has ended. Keeps the one
  /// chosen with the prefill unless another is clearly better.
  /// @return The engine, or nothing when no decode engine is usable.
  std::optional<uint32_t> ChooseDecode(uint64_t request);

  void OnFirstToken(uint64_t request);

  /// @param count Tokens received since the last call.
  void OnTokens(uint64_t request, uint32_t count);

  void OnFinished(uint64_t request, AttemptEnd end);

  /// @return Observed slowdown of an engine; 1 is normal.
  double SlowdownOf(uint32_t engine) const;

  /// @return Time until the candidate that is first free can start a prefill.
  ///     Used for Retry-After.
  absl::Duration ShortestWait() const;

  /// @return The engine time of a request, for admission and role planning.
  RequestEstimate EstimateWork(const RouteRequest& request) const;

  size_t EngineCount() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ROUTING_ROUTER_H_
