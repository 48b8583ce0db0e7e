#include "cranberryhill/routing/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "cranberryhill/base/hash.h"

namespace cranberryhill {
namespace {

// Smaller slowdown factors are measurement noise and count as 1.
constexpr double kSlowFactorThreshold = 1.25;
// Added to the expected time to the first token when the slowdown of an engine
// is measured. The running step and requests of other instances delay the first
// token on engines of normal speed too.
constexpr double kFirstTokenSlackS = 0.15;
// Number of tokens of a stream over which one token gap is measured.
constexpr uint32_t kTokensPerGapSample = 16;
// Added to the score of an engine that runs long work when it is considered for
// short work.
constexpr double kLongWorkPenaltyS = 0.25;
// Largest fraction of a zone's engines that is reserved for long work.
constexpr double kMaxReservedFraction = 0.5;
// Estimated token gaps must not exceed this fraction of the limit, which leaves
// room for errors of the estimate.
constexpr double kGapLimitFraction = 0.92;
// A stream is moved to another decode engine only if its token gap there is
// less than this fraction of the gap on the present engine.
constexpr double kSwitchGapFraction = 0.8;
// Token gaps that differ by less than this are taken as equal. About three
// streams make such a difference.
constexpr double kGapToleranceS = 0.001;
constexpr absl::Duration kBacklogUpdateInterval = absl::Milliseconds(50);
constexpr absl::Duration kSlowdownUpdateInterval = absl::Milliseconds(200);
// Time constant of the average sent_tokens_per_s.
constexpr double kRateTimeConstantS = 2;
// Weight of one request in the averages all_work_tokens and long_work_tokens.
constexpr double kLongShareWeight = 0.01;

constexpr size_t RoleIndex(EngineRole role) {
  return static_cast<size_t>(role);
}

}  // namespace

struct Router::Impl {
  struct Engine {
    std::string id;
    uint32_t zone = 0;  // Index into Impl::zones.
    // Hash of the id. Engines are reserved for long work and distributed among
    // the instances in the order of their ranks, which all instances agree on.
    uint64_t rank = 0;
    EngineRole role = EngineRole::kMixed;
    bool usable = true;
    bool own_zone = true;
    bool home = false;
    // Requests in prefill on other engines that will decode on this one.
    uint32_t expected_streams = 0;
    uint32_t running_alone = 0;  // Requests here that must run alone.
    // Leading blocks of the current request that this engine has cached. The
    // number is valid if match_epoch equals Impl::match_epoch.
    uint32_t cached_blocks = 0;
    uint32_t match_epoch = 0;
    LoadTracker tracker;
    SlowdownEstimator slowdown;
    // Factor of `slowdown` relative to the engines of the same role.
    double slow_factor = 1;
    // Requests of this instance that have no first token yet.
    std::vector<uint64_t> awaiting_first_token;
  };

  // A request that was sent and has not finished.
  struct ActiveRequest {
    uint32_t engine = 0;
    uint32_t decode_engine = 0;
    absl::Time sent_at;
    double tokens_ahead = 0;  // Prefill tokens queued before this request.
    double streams = 0;       // Streams on the engine when it was sent.
    double prefill_tokens = 0;
    bool low_priority = false;
    bool run_alone = false;
    bool has_first_token = false;
    absl::Time sample_start;  // Start of the current measurement of the gap.
    absl::Time last_token{};
    absl::Duration longest_gap{};
    uint32_t sample_tokens = 0;
  };

  // An engine that could run a request. Times are in seconds from now.
  struct Candidate {
    uint32_t engine = 0;
    uint32_t decode_engine = 0;
    uint32_t cached_blocks = 0;
    double wait_s = 0;
    double first_token_s = 0;
    double gap_s = 0;
    double finish_s = 0;
    double score = 0;  // Finish time plus penalties; the lowest is the best.
    bool in_time = false;
  };

  // Expected token gaps of one more stream on an engine.
  struct DecodeEstimate {
    uint32_t engine = 0;
    double gap = 0;       // Mean number of seconds between tokens.
    double high_gap = 0;  // Number of seconds that 95% of gaps do not exceed.
  };

  // The durations of RouterOptions in seconds, converted once because the
  // estimate for each candidate uses them.
  struct OptionSeconds {
    explicit OptionSeconds(const RouterOptions& options)
        : non_home_penalty(absl::ToDoubleSeconds(options.non_home_penalty)),
          prefix_backlog_allowance(
              absl::ToDoubleSeconds(options.prefix_backlog_allowance)),
          zone_latency(absl::ToDoubleSeconds(options.zone_latency)),
          max_token_gap(absl::ToDoubleSeconds(options.max_token_gap)),
          max_backlog(absl::ToDoubleSeconds(options.max_backlog)) {}
    double non_home_penalty;
    double prefix_backlog_allowance;
    double zone_latency;
    double max_token_gap;
    double max_backlog;
  };

  // Values of one routing decision that are the same for all candidates.
  struct RoutingContext {
    const RouteRequest& request;
    absl::Time now;
    double now_s;    // Seconds since the Unix epoch.
    double slack_s;  // Seconds until the first token is due.
    double peer_tokens_per_s;
    double mean_backlog_s = 0;
    bool long_work = false;
  };

  Impl(const Clock& clock, Random& random, RouterOptions options)
      : clock(clock),
        random(random),
        options(std::move(options)),
        option_seconds(this->options),
        prefixes(clock),
        speed_models{SpeedModel(this->options.speed),
                     SpeedModel(this->options.speed),
                     SpeedModel(this->options.speed)},
        sent_rate_updated_at(clock.Now()) {}

  // Returns the slowdown relative to the median of the engines of the same
  // role. A slowdown that all of them share is caused by load or by errors of
  // the estimates and does not count.
  double ComputeSlowFactor(const Engine& engine, absl::Time now) const {
    if (!this->options.detect_slow_engines)
      return 1;
    double factor = engine.slowdown.Factor(now) /
                    this->median_slowdown[RoleIndex(engine.role)];
    return factor < kSlowFactorThreshold ? 1 : factor;
  }

  void ObserveSlowdown(Engine& engine, double ratio, absl::Time now) {
    engine.slowdown.Observe(ratio, now);
    engine.slow_factor = this->ComputeSlowFactor(engine, now);
  }

  void RefreshSlowFactors(absl::Time now) {
    if (now - this->slow_factors_updated_at < kSlowdownUpdateInterval)
      return;
    this->slow_factors_updated_at = now;
    for (EngineRole role :
         {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed})
      this->UpdateMedianSlowdown(role, now);
    for (Engine& engine : this->engines)
      engine.slow_factor = this->ComputeSlowFactor(engine, now);
  }

  void UpdateMedianSlowdown(EngineRole role, absl::Time now) {
    std::vector<double>& factors = this->factor_scratch;
    factors.clear();
    for (const Engine& engine : this->engines) {
      if (engine.role == role && engine.usable)
        factors.push_back(engine.slowdown.Factor(now));
    }
    if (factors.empty())
      return;
    auto middle =
        factors.begin() + static_cast<std::ptrdiff_t>(factors.size() / 2);
    std::nth_element(factors.begin(), middle, factors.end());
    this->median_slowdown[RoleIndex(role)] = *middle;
  }

  EngineLoad EstimateLoad(const Engine& engine, absl::Time now) const {
    double rate = 1 / (this->SpeedModelOf(engine).PrefillSeconds(
                           1, this->StreamsOf(engine)) *
                       engine.slow_factor);
    return engine.tracker.Estimate(now, rate, this->PeerTokensPerS(now));
  }

  const SpeedModel& SpeedModelOf(const Engine& engine) const {
    return this->speed_models[RoleIndex(engine.role)];
  }

  // Returns the prefill tokens per second that the other instances of the zone
  // send to one engine, assuming that each sends as much as this instance.
  double PeerTokensPerS(absl::Time now) const {
    if (this->prefill_engines == 0 || this->options.entry_instances < 2)
      return 0;
    double decay =
        std::exp(-absl::ToDoubleSeconds(now - this->sent_rate_updated_at) /
                 kRateTimeConstantS);
    return this->sent_tokens_per_s * decay *
           (this->options.entry_instances - 1) / this->prefill_engines;
  }

  bool IsExcluded(const RouteRequest& request, uint32_t index) const {
    return std::find(request.excluded.begin(), request.excluded.end(), index) !=
           request.excluded.end();
  }

  bool IsIdle(const Engine& engine, const RoutingContext& context) const {
    // With a prefill rate near 0, no progress since the last report is assumed.
    EngineLoad load = engine.tracker.Estimate(context.now, 1e-9, 0);
    return this->StreamsOf(engine) < 0.5 && load.prefill_tokens < 0.5;
  }

  static double StreamsOf(const Engine& engine) {
    return engine.tracker.EstimatedStreams() + engine.expected_streams;
  }

  // Returns the token gaps to expect if the engine ran one more stream.
  DecodeEstimate EstimateDecode(uint32_t index) const {
    const Engine& engine = this->engines[index];
    return this->EstimateDecodeWith(index, this->StreamsOf(engine) + 1,
                                    engine.slow_factor);
  }

  DecodeEstimate EstimateDecodeWith(uint32_t index,
                                    double streams,
                                    double slow_factor) const {
    const SpeedModel& model = this->SpeedModelOf(this->engines[index]);
    return {.engine = index,
            .gap = model.GapSeconds(streams) * slow_factor,
            .high_gap = model.HighGapSeconds(streams) * slow_factor};
  }

  bool AcceptsWork(const Engine& engine) const {
    return engine.usable && engine.running_alone == 0;
  }

  // Chooses a decode engine at random among those whose token gaps are near the
  // smallest. Considers either only engines of this zone or only those of other
  // zones.
  std::optional<DecodeEstimate> PickDecodeEngine(const RouteRequest& request,
                                                 bool other_zones) {
    this->decode_estimates.clear();
    double best = std::numeric_limits<double>::infinity();
    for (uint32_t i = 0; i < this->engines.size(); ++i) {
      const Engine& engine = this->engines[i];
      if (!this->AcceptsWork(engine) || engine.role == EngineRole::kPrefill ||
          engine.own_zone == other_zones || this->IsExcluded(request, i))
        continue;
      this->decode_estimates.push_back(this->EstimateDecode(i));
      best = std::min(best, this->decode_estimates.back().high_gap);
    }
    if (this->decode_estimates.empty())
      return std::nullopt;
    double limit = best * this->options.near_best_ratio + 1e-9;
    uint32_t near_best_count = 0;
    DecodeEstimate chosen;
    for (const DecodeEstimate& estimate : this->decode_estimates) {
      if (estimate.high_gap <= limit &&
          this->random.UniformInt(0, near_best_count++) == 0)
        chosen = estimate;
    }
    return chosen;
  }

  Candidate EvaluateCandidate(
      uint32_t index,
      const RoutingContext& context,
      const std::optional<DecodeEstimate>& decode) const {
    const Engine& engine = this->engines[index];
    const SpeedModel& model = this->SpeedModelOf(engine);
    double slow_factor = engine.slow_factor;
    double streams = this->StreamsOf(engine);
    double seconds_per_token = model.PrefillSeconds(1, streams) * slow_factor;
    // Instances of other zones are assumed to send as much to their engines as
    // the instances of this zone send to its engines.
    EngineLoad load = engine.tracker.EstimateAt(
        context.now_s, 1 / seconds_per_token, context.peer_tokens_per_s);
    double tokens_ahead = context.long_work
                              ? load.prefill_tokens
                              : load.prefill_tokens - load.low_priority_tokens;
    Candidate candidate{.engine = index, .decode_engine = index};
    candidate.wait_s = tokens_ahead * seconds_per_token;
    if (!engine.home)
      candidate.wait_s += this->option_seconds.non_home_penalty;
    double backlog_limit =
        this->options.prefix_backlog_ratio * context.mean_backlog_s +
        this->option_seconds.prefix_backlog_allowance;
    if (engine.match_epoch == this->match_epoch &&
        candidate.wait_s <= backlog_limit)
      candidate.cached_blocks = engine.cached_blocks;
    Work work = WorkOf(context.request.prompt_tokens, candidate.cached_blocks,
                       context.request.output);
    candidate.first_token_s =
        candidate.wait_s + work.prefill_tokens * seconds_per_token;
    if (!engine.own_zone) {
      candidate.first_token_s += 2 * this->option_seconds.zone_latency;
    }
    DecodeEstimate estimate =
        this->EstimateDecodeWith(index, streams + 1, slow_factor);
    // A mixed engine hands its stream over to a decode engine if the token gaps
    // are clearly shorter there. Without this, decode engines would get streams
    // only from prefill engines.
    bool decode_elsewhere =
        engine.role == EngineRole::kPrefill ||
        (decode && decode->high_gap < kSwitchGapFraction * estimate.high_gap);
    if (decode_elsewhere && !context.request.run_alone)
      estimate = *decode;
    candidate.decode_engine = estimate.engine;
    candidate.gap_s = estimate.gap;
    candidate.finish_s =
        candidate.first_token_s + work.decode_tokens * candidate.gap_s;
    candidate.score = candidate.finish_s;
    if (!context.long_work && load.low_priority_tokens > 0)
      candidate.score += kLongWorkPenaltyS;
    double max_token_gap =
        this->option_seconds.max_token_gap * kGapLimitFraction;
    // A longer backlog is accepted if a cached prefix saves prefill time.
    double saved_s =
        candidate.cached_blocks * double{kCacheBlockTokens} * seconds_per_token;
    bool short_backlog =
        candidate.wait_s <= this->option_seconds.max_backlog + 0.5 * saved_s;
    candidate.in_time = candidate.first_token_s <= context.slack_s &&
                        (context.long_work || short_backlog) &&
                        estimate.high_gap <= max_token_gap;
    return candidate;
  }

  void MatchPrefixes(const RouteRequest& request) {
    ++this->match_epoch;
    if (!this->options.use_cached_prefixes || request.blocks.empty())
      return;
    this->prefixes.VisitHolders(
        request.blocks, [&](uint32_t index, uint32_t cached_blocks) {
          if (index < this->engines.size()) {
            this->engines[index].cached_blocks = cached_blocks;
            this->engines[index].match_epoch = this->match_epoch;
          }
        });
  }

  // Reserves the engines with the lowest ranks of each zone for long work. The
  // reserved fraction of the engines is the share of long work in the prefill
  // tokens, but at most kMaxReservedFraction and at least one engine.
  void ReserveEnginesForLongWork() {
    this->reserved_ranks.assign(this->zones.size(), 0);
    std::vector<uint64_t>& ranks = this->rank_scratch;
    for (uint32_t zone = 0; zone < this->zones.size(); ++zone) {
      ranks.clear();
      for (const Engine& engine : this->engines) {
        if (engine.usable && engine.zone == zone &&
            engine.role != EngineRole::kDecode)
          ranks.push_back(engine.rank);
      }
      if (ranks.empty())
        continue;
      double share = std::min(kMaxReservedFraction, this->long_share);
      double count =
          std::max(1.0, std::ceil(share * static_cast<double>(ranks.size())));
      auto last = ranks.begin() + static_cast<std::ptrdiff_t>(count) - 1;
      std::nth_element(ranks.begin(), last, ranks.end());
      this->reserved_ranks[zone] = *last;
    }
  }

  // Distributes the engines of this zone among its instances as home engines.
  // Each instance gets engines of every role, as far as there are enough.
  void AssignHomeEngines() {
    this->home_engines_valid = true;
    this->prefill_engines = 0;
    for (const Engine& engine : this->engines)
      this->prefill_engines += engine.usable && engine.own_zone &&
                               engine.role != EngineRole::kDecode;
    std::vector<uint32_t>& order = this->home_scratch;
    order.clear();
    for (uint32_t i = 0; i < this->engines.size(); ++i) {
      Engine& engine = this->engines[i];
      engine.home = engine.own_zone &&
                    this->options.instance_index == kUnknownInstanceIndex;
      if (engine.own_zone && engine.usable)
        order.push_back(i);
    }
    if (this->options.instance_index == kUnknownInstanceIndex)
      return;
    std::sort(order.begin(), order.end(), [&](uint32_t a, uint32_t b) {
      const Engine& x = this->engines[a];
      const Engine& y = this->engines[b];
      return x.role != y.role ? x.role < y.role : x.rank < y.rank;
    });
    uint32_t instances = std::max(1U, this->options.entry_instances);
    auto count = static_cast<uint32_t>(order.size());
    for (uint32_t k = 0; k < count; ++k) {
      this->engines[order[k]].home =
          count >= instances ? k % instances == this->options.instance_index
                             : k == this->options.instance_index % count;
    }
  }

  void CollectCandidates(const RoutingContext& context, bool other_zones) {
    auto decode = this->PickDecodeEngine(context.request, other_zones);
    for (uint32_t i = 0; i < this->engines.size(); ++i) {
      const Engine& engine = this->engines[i];
      if (engine.own_zone == other_zones || !this->AcceptsWork(engine) ||
          this->IsExcluded(context.request, i))
        continue;
      if (context.request.run_alone) {
        if (!this->IsIdle(engine, context))
          continue;
      } else if (engine.role == EngineRole::kDecode ||
                 (engine.role == EngineRole::kPrefill && !decode)) {
        continue;
      }
      if (context.long_work && this->options.reserve_engines_for_long &&
          !context.request.run_alone &&
          engine.rank > this->reserved_ranks[engine.zone])
        continue;
      this->candidates.push_back(this->EvaluateCandidate(i, context, decode));
    }
  }

  // Returns MeanBacklog() as computed at most kBacklogUpdateInterval ago.
  double CachedMeanBacklog(absl::Time now) {
    if (now - this->mean_backlog_updated_at >= kBacklogUpdateInterval) {
      this->mean_backlog_updated_at = now;
      this->mean_backlog_s = this->MeanBacklog(now);
    }
    return this->mean_backlog_s;
  }

  // Returns the mean prefill time, in seconds, of the short work that waits on
  // an engine of this zone.
  double MeanBacklog(absl::Time now) const {
    double sum = 0;
    uint32_t count = 0;
    for (const Engine& engine : this->engines) {
      if (!engine.usable || !engine.own_zone ||
          engine.role == EngineRole::kDecode)
        continue;
      double token_seconds = this->SpeedModelOf(engine).PrefillSeconds(1, 0);
      EngineLoad load = engine.tracker.Estimate(now, 1 / token_seconds, 0);
      sum += (load.prefill_tokens - load.low_priority_tokens) * token_seconds;
      ++count;
    }
    return count > 0 ? sum / count : 0;
  }

  // Chooses at random among the candidates whose score is near the best; better
  // scores are more likely. Prefers candidates that are in time.
  const Candidate& PickCandidate(double decode_tokens) {
    bool any_in_time =
        std::any_of(this->candidates.begin(), this->candidates.end(),
                    [](const Candidate& c) { return c.in_time; });
    const Candidate* best = nullptr;
    for (const Candidate& candidate : this->candidates) {
      if (candidate.in_time == any_in_time &&
          (best == nullptr || candidate.score < best->score))
        best = &candidate;
    }
    double range = best->first_token_s * (this->options.near_best_ratio - 1) +
                   absl::ToDoubleSeconds(this->options.near_best_tolerance) +
                   decode_tokens * kGapToleranceS;
    double total = 0;
    const Candidate* chosen = best;
    for (const Candidate& candidate : this->candidates) {
      double excess = candidate.score - best->score;
      if (candidate.in_time != any_in_time || excess > range)
        continue;
      double weight = std::exp(-2 * excess / range);
      total += weight;
      if (this->random.UniformDouble() * total < weight)
        chosen = &candidate;
    }
    return *chosen;
  }

  std::optional<RouteDecision> Choose(const RouteRequest& request) {
    absl::Time now = this->clock.Now();
    if (!this->home_engines_valid)
      this->AssignHomeEngines();
    RoutingContext context{
        .request = request,
        .now = now,
        .now_s = absl::ToDoubleSeconds(now - absl::UnixEpoch()),
        .slack_s = absl::ToDoubleSeconds(request.first_token_by - now),
        .peer_tokens_per_s = this->PeerTokensPerS(now),
        .long_work = request.prompt_tokens >= this->options.long_prompt_tokens};
    if (!request.blocks.empty())
      context.mean_backlog_s = this->CachedMeanBacklog(now);
    this->MatchPrefixes(request);
    if (context.long_work)
      this->ReserveEnginesForLongWork();
    this->candidates.clear();
    this->CollectCandidates(context, false);
    bool in_time = std::any_of(this->candidates.begin(), this->candidates.end(),
                               [](const Candidate& c) { return c.in_time; });
    if (!in_time)
      this->CollectCandidates(context, true);
    if (this->candidates.empty())
      return std::nullopt;
    const Candidate& chosen = this->PickCandidate(request.output.mean);
    return RouteDecision{.engine = chosen.engine,
                         .decode_engine = chosen.decode_engine,
                         .cached_blocks = chosen.cached_blocks,
                         .first_token = absl::Seconds(chosen.first_token_s),
                         .token_gap = absl::Seconds(chosen.gap_s),
                         .finish = absl::Seconds(chosen.finish_s),
                         .in_time = chosen.in_time,
                         .low_priority = context.long_work};
  }

  void UpdateSentRate(double tokens, absl::Time now) {
    double decay =
        std::exp(-absl::ToDoubleSeconds(now - this->sent_rate_updated_at) /
                 kRateTimeConstantS);
    this->sent_tokens_per_s =
        this->sent_tokens_per_s * decay + tokens / kRateTimeConstantS;
    this->sent_rate_updated_at = now;
  }

  void OnSent(const RouteRequest& request, const RouteDecision& decision) {
    absl::Time now = this->clock.Now();
    Engine& engine = this->engines[decision.engine];
    Work work =
        WorkOf(request.prompt_tokens, decision.cached_blocks, request.output);
    EngineLoad load = this->EstimateLoad(engine, now);
    double tokens_ahead = load.prefill_tokens;
    if (!decision.low_priority)
      tokens_ahead -= load.low_priority_tokens;
    ActiveRequest active_request{.engine = decision.engine,
                                 .decode_engine = decision.decode_engine,
                                 .sent_at = now,
                                 .tokens_ahead = tokens_ahead,
                                 .streams = this->StreamsOf(engine),
                                 .prefill_tokens = work.prefill_tokens,
                                 .low_priority = decision.low_priority,
                                 .run_alone = request.run_alone,
                                 .sample_start = now};
    engine.tracker.OnSent(request.id, now, work, decision.low_priority);
    engine.awaiting_first_token.push_back(request.id);
    engine.running_alone += request.run_alone;
    if (decision.decode_engine != decision.engine)
      ++this->engines[decision.decode_engine].expected_streams;
    if (!decision.low_priority)
      this->UpdateSentRate(work.prefill_tokens, now);
    double token_share = work.prefill_tokens * kLongShareWeight;
    this->all_work_tokens +=
        token_share - kLongShareWeight * this->all_work_tokens;
    this->long_work_tokens += token_share * decision.low_priority -
                              kLongShareWeight * this->long_work_tokens;
    this->long_share = this->all_work_tokens > 0
                           ? this->long_work_tokens / this->all_work_tokens
                           : 0;
    if (this->options.use_cached_prefixes)
      this->prefixes.RecordSent(decision.engine, request.blocks);
    this->active_requests.insert_or_assign(request.id, active_request);
  }

  std::optional<uint32_t> ChooseDecode(uint64_t id) {
    auto found = this->active_requests.find(id);
    if (found == this->active_requests.end())
      return std::nullopt;
    ActiveRequest& state = found->second;
    if (state.decode_engine == state.engine)
      return state.engine;
    RouteRequest unrestricted;
    auto best = this->PickDecodeEngine(unrestricted, false);
    if (!best)
      best = this->PickDecodeEngine(unrestricted, true);
    Engine& planned = this->engines[state.decode_engine];
    bool keep =
        this->AcceptsWork(planned) && planned.role != EngineRole::kPrefill &&
        (!best || best->high_gap >
                      kSwitchGapFraction *
                          this->EstimateDecode(state.decode_engine).high_gap);
    if (keep)
      return state.decode_engine;
    if (!best)
      return std::nullopt;
    if (!state.has_first_token) {
      --planned.expected_streams;
      ++this->engines[best->engine].expected_streams;
    }
    state.decode_engine = best->engine;
    return best->engine;
  }

  void RemoveAwaitingFirstToken(ActiveRequest& state, uint64_t id) {
    std::erase(this->engines[state.engine].awaiting_first_token, id);
  }

  void OnFirstToken(uint64_t id) {
    auto found = this->active_requests.find(id);
    if (found == this->active_requests.end() || found->second.has_first_token)
      return;
    ActiveRequest& state = found->second;
    absl::Time now = this->clock.Now();
    Engine& engine = this->engines[state.engine];
    this->RemoveAwaitingFirstToken(state, id);
    engine.tracker.OnPrefillDone(
        id, now, {.prefill_tokens = state.prefill_tokens}, state.low_priority);
    this->LearnFromPrefill(engine, state, now);
    if (state.decode_engine != state.engine) {
      engine.tracker.OnRequestLeft(now);
      Engine& decode = this->engines[state.decode_engine];
      --decode.expected_streams;
      decode.tracker.OnSent(id, now, {});
    }
    state.has_first_token = true;
    this->StartGapSample(state, now);
  }

  static void StartGapSample(ActiveRequest& state, absl::Time now) {
    state.sample_start = now;
    state.last_token = now;
    state.longest_gap = absl::ZeroDuration();
    state.sample_tokens = 0;
  }

  void LearnFromPrefill(Engine& engine,
                        const ActiveRequest& state,
                        absl::Time now) {
    double tokens = state.tokens_ahead + state.prefill_tokens;
    SpeedModel& model = this->speed_models[RoleIndex(engine.role)];
    absl::Duration elapsed = now - state.sent_at;
    if (!state.low_priority)
      this->ObserveFirstTokenTime(
          engine, elapsed, model.PrefillSeconds(tokens, state.streams), now);
    model.ObserveFirstToken(tokens, state.streams, elapsed);
  }

  // Compares the time to a first token with the expected number of seconds.
  void ObserveFirstTokenTime(Engine& engine,
                             absl::Duration elapsed,
                             double expected,
                             absl::Time now) {
    this->ObserveSlowdown(
        engine, absl::ToDoubleSeconds(elapsed) / (expected + kFirstTokenSlackS),
        now);
  }

  void OnTokens(uint64_t id, uint32_t count) {
    auto found = this->active_requests.find(id);
    if (found == this->active_requests.end() || !found->second.has_first_token)
      return;
    ActiveRequest& state = found->second;
    absl::Time now = this->clock.Now();
    state.sample_tokens += count;
    state.longest_gap =
        std::max(state.longest_gap, (now - state.last_token) / count);
    state.last_token = now;
    if (state.sample_tokens < kTokensPerGapSample)
      return;
    Engine& engine = this->engines[state.decode_engine];
    absl::Duration gap = (now - state.sample_start) / state.sample_tokens;
    double streams = engine.tracker.EstimatedStreams();
    SpeedModel& model = this->speed_models[RoleIndex(engine.role)];
    this->ObserveSlowdown(
        engine, absl::ToDoubleSeconds(gap) / model.GapSeconds(streams), now);
    model.ObserveGap(streams, gap, state.longest_gap);
    this->StartGapSample(state, now);
  }

  void OnFinished(uint64_t id, AttemptEnd) {
    auto found = this->active_requests.find(id);
    if (found == this->active_requests.end())
      return;
    ActiveRequest& state = found->second;
    absl::Time now = this->clock.Now();
    Engine& engine = this->engines[state.engine];
    this->RemoveAwaitingFirstToken(state, id);
    engine.running_alone -= state.run_alone;
    if (!state.has_first_token) {
      engine.tracker.OnPrefillDone(id, now,
                                   {.prefill_tokens = state.prefill_tokens},
                                   state.low_priority);
      engine.tracker.OnRequestLeft(now);
      if (state.decode_engine != state.engine)
        --this->engines[state.decode_engine].expected_streams;
    } else {
      this->engines[state.decode_engine].tracker.OnRequestLeft(now);
    }
    this->active_requests.erase(found);
  }

  // Counts overdue requests in the slowdown of their engine before their first
  // token arrives. A slowed engine would otherwise be detected only when the
  // first token arrives.
  void ObserveOverdueRequests(Engine& engine, absl::Time now) {
    this->RefreshSlowFactors(now);
    const SpeedModel& model = this->SpeedModelOf(engine);
    for (uint64_t id : engine.awaiting_first_token) {
      const ActiveRequest& state = this->active_requests.at(id);
      if (state.low_priority)
        continue;
      double expected = model.PrefillSeconds(
          state.tokens_ahead + state.prefill_tokens, state.streams);
      double elapsed = absl::ToDoubleSeconds(now - state.sent_at);
      if (elapsed > kSlowFactorThreshold * (expected + kFirstTokenSlackS))
        this->ObserveFirstTokenTime(engine, now - state.sent_at, expected, now);
    }
  }

  uint32_t ZoneIndex(std::string_view zone) {
    auto found = std::find(this->zones.begin(), this->zones.end(), zone);
    if (found == this->zones.end())
      found = this->zones.insert(found, std::string(zone));
    return static_cast<uint32_t>(found - this->zones.begin());
  }

  RequestEstimate EstimateWork(const RouteRequest& request) const {
    uint32_t cached_blocks = 0;
    if (this->options.use_cached_prefixes && !request.blocks.empty()) {
      this->prefixes.VisitHolders(
          request.blocks, [&](uint32_t, uint32_t blocks) {
            cached_blocks = std::max(cached_blocks, blocks);
          });
    }
    Work work = WorkOf(request.prompt_tokens, cached_blocks, request.output);
    const SpeedModel& prefill =
        this->speed_models[RoleIndex(EngineRole::kPrefill)];
    const SpeedModel& decode =
        this->speed_models[RoleIndex(EngineRole::kDecode)];
    double seconds = work.prefill_tokens * prefill.PrefillTokenSeconds();
    return {
        .prefill = absl::Seconds(seconds),
        .decode = absl::Seconds(
            work.decode_tokens *
            decode.DecodeTokenSeconds(this->options.max_token_gap)),
        .min_first_token = absl::Seconds(seconds + prefill.OverheadSeconds(0))};
  }

  const Clock& clock;
  Random& random;
  RouterOptions options;
  const OptionSeconds option_seconds;
  PrefixIndex prefixes;
  std::array<SpeedModel, 3> speed_models;
  std::vector<Engine> engines;
  absl::flat_hash_map<std::string, uint32_t> engine_index_by_id;
  absl::flat_hash_map<uint64_t, ActiveRequest> active_requests;
  uint32_t match_epoch = 0;
  // Prefill tokens per second that this instance sends, as an exponentially
  // weighted average.
  double sent_tokens_per_s = 0;
  absl::Time sent_rate_updated_at;
  // Exponentially weighted averages of the prefill tokens per request: of all
  // requests, and of long work only. Their ratio is long_share.
  double all_work_tokens = 0;
  double long_work_tokens = 0;
  double long_share = 0;
  double mean_backlog_s = 0;
  absl::Time mean_backlog_updated_at = absl::InfinitePast();
  bool home_engines_valid = false;
  // Number of usable engines in this zone that run prefills.
  uint32_t prefill_engines = 0;
  std::vector<uint32_t> home_scratch;
  std::array<double, 3> median_slowdown{1, 1, 1};  // Indexed by RoleIndex().
  absl::Time slow_factors_updated_at = absl::InfinitePast();
  std::vector<double> factor_scratch;
  std::vector<std::string> zones;
  // Highest rank of the engines reserved for long work in each zone.
  std::vector<uint64_t> reserved_ranks;
  std::vector<uint64_t> rank_scratch;
  // Buffers that are reused between calls to avoid allocations, like the
  // vectors whose names end in _scratch.
  std::vector<Candidate> candidates;
  std::vector<DecodeEstimate> decode_estimates;
};

Router::Router(const Clock& clock, Random& random, RouterOptions options)
    : impl(std::make_unique<Impl>(clock, random, std::move(options))) {}

Router::~Router() = default;

uint32_t Router::AddEngine(std::string_view id,
                           std::string_view zone,
                           EngineRole role) {
  auto next = static_cast<uint32_t>(this->impl->engines.size());
  auto [entry, added] =
      this->impl->engine_index_by_id.try_emplace(std::string(id), next);
  if (added)
    this->impl->engines.emplace_back();
  Impl::Engine& engine = this->impl->engines[entry->second];
  engine.id = id;
  engine.zone = this->impl->ZoneIndex(zone);
  engine.rank = StableHash(id);
  engine.own_zone = zone == this->impl->options.zone;
  engine.role = role;
  this->impl->home_engines_valid = false;
  return entry->second;
}

const std::string& Router::EngineId(uint32_t engine) const {
  return this->impl->engines[engine].id;
}

void Router::SetRole(uint32_t engine, EngineRole role) {
  this->impl->engines[engine].role = role;
  this->impl->home_engines_valid = false;
}

void Router::SetUsable(uint32_t engine, bool usable) {
  this->impl->engines[engine].usable = usable;
  this->impl->home_engines_valid = false;
}

void Router::OnEngineRestarted(uint32_t engine) {
  this->impl->engines[engine].tracker = LoadTracker();
  this->impl->engines[engine].slowdown = SlowdownEstimator();
  this->impl->engines[engine].slow_factor = 1;
  this->impl->prefixes.RemoveEngine(engine);
}

void Router::SetEntryInstances(uint32_t count, uint32_t index) {
  this->impl->options.entry_instances = count;
  this->impl->options.instance_index = index;
  this->impl->home_engines_valid = false;
}

void Router::OnLoadReport(uint32_t engine, const LoadReport& report) {
  Impl::Engine& state = this->impl->engines[engine];
  state.tracker.OnReport(report);
  this->impl->ObserveOverdueRequests(state, this->impl->clock.Now());
}

void Router::OnCacheEvents(uint32_t engine,
                           std::span<const CacheEvent> events) {
  this->impl->prefixes.OnCacheEvents(engine, events);
}

std::optional<RouteDecision> Router::Choose(const RouteRequest& request) {
  return this->impl->Choose(request);
}

void Router::OnSent(const RouteRequest& request,
                    const RouteDecision& decision) {
  this->impl->OnSent(request, decision);
}

std::optional<uint32_t> Router::ChooseDecode(uint64_t request) {
  return this->impl->ChooseDecode(request);
}

void Router::OnFirstToken(uint64_t request) {
  this->impl->OnFirstToken(request);
}

void Router::OnTokens(uint64_t request, uint32_t count) {
  this->impl->OnTokens(request, count);
}

void Router::OnFinished(uint64_t request, AttemptEnd end) {
  this->impl->OnFinished(request, end);
}

double Router::SlowdownFactor(uint32_t engine) const {
  return this->impl->engines[engine].slow_factor;
}

absl::Duration Router::ShortestWait() const {
  double best = std::numeric_limits<double>::infinity();
  absl::Time now = this->impl->clock.Now();
  for (const Impl::Engine& engine : this->impl->engines) {
    if (!engine.usable || engine.role == EngineRole::kDecode)
      continue;
    double token_seconds =
        this->impl->SpeedModelOf(engine).PrefillSeconds(1, 0) *
        engine.slow_factor;
    EngineLoad load = engine.tracker.Estimate(now, 1 / token_seconds, 0);
    best = std::min(best, load.prefill_tokens * token_seconds);
  }
  return absl::Seconds(best);
}

RequestEstimate Router::EstimateWork(const RouteRequest& request) const {
  return this->impl->EstimateWork(request);
}

size_t Router::EngineCount() const {
  return this->impl->engines.size();
}

}  // namespace cranberryhill
