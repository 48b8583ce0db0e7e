#ifndef CRANBERRYHILL_ROUTING_ROUTER_H_
#define CRANBERRYHILL_ROUTING_ROUTER_H_

// Chooses the engine that is expected to finish a request first. Each entry
// instance has one Router per model. Its owner reports the events of each
// request, from which the router learns engine speeds and corrects load reports
// that are out of date.
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

/// Value of RouterOptions::instance_index when the index is not known.
inline constexpr uint32_t kUnknownInstanceIndex = UINT32_MAX;

/// Limits and settings of a Router.
struct RouterOptions {
  std::string zone{};  ///< Availability zone of this instance.
  /// Number of entry instances that send requests to the same engines.
  uint32_t entry_instances = 1;
  /// Index of this instance among the entry instances, or
  /// kUnknownInstanceIndex. With a known index, each engine is a home engine of
  /// one instance (of several, if there are fewer engines than instances). That
  /// instance sends most of the engine's requests and so knows its load best.
  /// For the other instances non_home_penalty is added to the engine's wait.
  uint32_t instance_index = kUnknownInstanceIndex;
  absl::Duration non_home_penalty = absl::Milliseconds(300);
  /// One-way network latency to another availability zone.
  absl::Duration zone_latency = absl::Milliseconds(0.5);
  /// Longest permitted gap between two tokens of a stream.
  absl::Duration max_token_gap = absl::Milliseconds(66);
  /// The engine is chosen at random among the candidates that finish nearly as
  /// early as the best one. The permitted difference is the sum of
  /// near_best_tolerance, (near_best_ratio - 1) times the best candidate's
  /// time to the first token, and a tolerance for token gaps that differ by
  /// less than the precision of the estimates.
  double near_best_ratio = 1.05;
  absl::Duration near_best_tolerance = absl::Milliseconds(20);
  /// A cached prefix is taken into account only if the wait on its engine is at
  /// most this many times the mean prefill backlog of the zone's engines, plus
  /// prefix_backlog_allowance.
  double prefix_backlog_ratio = 2.0;
  absl::Duration prefix_backlog_allowance = absl::Milliseconds(150);
  /// A prompt of at least this size is long work: it runs with low priority, on
  /// the engines reserved for long work.
  uint32_t long_prompt_tokens = 24000;
  /// A request is held in the admission queue while every engine has a longer
  /// prefill backlog than this.
  absl::Duration max_backlog = absl::Milliseconds(300);
  bool reserve_engines_for_long = true;
  bool detect_slow_engines = true;
  bool use_cached_prefixes = true;
  SpeedPrior speed{};
};

/// A request to place.
struct RouteRequest {
  uint64_t id = 0;
  /// Length of the prompt, plus output tokens already sent to the caller.
  uint32_t prompt_tokens = 0;
  OutputEstimate output{};  ///< Predicted number of remaining output tokens.
  absl::Time first_token_by = absl::InfiniteFuture();
  std::span<const uint64_t> blocks{};    ///< Result of HashBlocks().
  std::span<const uint32_t> excluded{};  ///< Engines that must not be chosen.
  /// Set for a request suspected of crashing engines. It needs an engine that
  /// runs no other streams.
  bool run_alone = false;
};

/// The engines chosen for a request, with the expected times.
struct RouteDecision {
  uint32_t engine = 0;  ///< Engine that runs the prefill.
  /// Engine that runs the decode. It differs from `engine` if that has role
  /// prefill, or has role mixed and runs many streams.
  uint32_t decode_engine = 0;
  /// Leading blocks of the prompt expected in the prefix cache of `engine`.
  uint32_t cached_blocks = 0;
  absl::Duration first_token;  ///< Expected time to the first token.
  absl::Duration token_gap;    ///< Expected time between tokens.
  absl::Duration finish;       ///< Expected time to the last token.
  /// True if the first token and the token gap are expected to meet their
  /// limits and the engine's backlog is short enough to send the request now.
  /// If false, the request should wait in the admission queue, from which it
  /// can still be sent to any engine.
  bool in_time = false;
  bool low_priority = false;  ///< Set for long work.
};

/// Expected engine time of a request.
struct RequestEstimate {
  /// Time to prefill the prompt without its longest known cached prefix.
  absl::Duration prefill;
  /// The request's share of the decode time of a full batch.
  absl::Duration decode;
  /// Time to the first token on an idle engine.
  absl::Duration min_first_token;
};

/// How an attempt ended.
enum class AttemptEnd {
  kCompleted,
  kCancelled,
  kFailed,  ///< The engine crashed or stalled, or the connection broke.
};

/// Chooses engines for the requests of one model. Not thread-safe.
class Router {
 public:
  /// @param clock Must outlive the router.
  /// @param random Must outlive the router.
  Router(const Clock& clock, Random& random, RouterOptions options);
  ~Router();

  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Adds an engine. If an engine with this id is known, updates its zone and
  /// role instead.
  /// @return Index of the engine, by which all other functions name it. An
  ///     index is never reused.
  uint32_t AddEngine(std::string_view id,
                     std::string_view zone,
                     EngineRole role);

  /// @return The id given to AddEngine().
  const std::string& EngineId(uint32_t engine) const;

  void SetRole(uint32_t engine, EngineRole role);

  /// Sets whether an engine may get new requests. An engine is not usable while
  /// it drains, leaves, is suspected to have failed, or is gone.
  void SetUsable(uint32_t engine, bool usable);

  /// Discards the load, slowdown and cached blocks known of an engine that
  /// restarted.
  void OnEngineRestarted(uint32_t engine);

  /// @param count Number of entry instances in the zone.
  /// @param index Position of this instance in the sorted list of them.
  void SetEntryInstances(uint32_t count,
                         uint32_t index = kUnknownInstanceIndex);

  void OnLoadReport(uint32_t engine, const LoadReport& report);
  void OnCacheEvents(uint32_t engine, std::span<const CacheEvent> events);

  /// Chooses the engines of a request. Does not record the request; OnSent()
  /// does.
  /// @return Nothing if no engine is usable, or if none is idle for a request
  ///     that must run alone. A request that would be late on every engine gets
  ///     a decision whose `in_time` is false; the caller refuses or delays it.
  std::optional<RouteDecision> Choose(const RouteRequest& request);

  /// Records that the request was sent to the engines of `decision`.
  void OnSent(const RouteRequest& request, const RouteDecision& decision);

  /// Chooses the decode engine again when the prefill has ended. Keeps the
  /// engine that Choose() selected unless it has become unusable or another one
  /// has clearly smaller token gaps.
  /// @return The engine, or nothing if no decode engine is usable.
  std::optional<uint32_t> ChooseDecode(uint64_t request);

  void OnFirstToken(uint64_t request);

  /// @param count Number of tokens received since the last call.
  void OnTokens(uint64_t request, uint32_t count);

  void OnFinished(uint64_t request, AttemptEnd end);

  /// @return How many times slower an engine is than the engines of the same
  ///     role; 1 is normal.
  double SlowdownFactor(uint32_t engine) const;

  /// @return Time until the least loaded engine can start another prefill. The
  ///     value serves for Retry-After.
  absl::Duration ShortestWait() const;

  /// @return The expected engine time of a request, for admission and role
  ///     planning.
  RequestEstimate EstimateWork(const RouteRequest& request) const;

  size_t EngineCount() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ROUTING_ROUTER_H_
