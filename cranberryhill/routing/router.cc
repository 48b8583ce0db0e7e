#include "cranberryhill/routing/router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "cranberryhill/base/hash.h"

namespace cranberryhill {
namespace {

// Factors below this are noise of the measurement.
constexpr double kSlowThreshold = 1.25;
// Slack in judging a first token, as steps and other instances' requests
// delay it on normal engines too.
constexpr double kFirstTokenSlackS = 0.15;
// Tokens of a stream that give one measurement of the gap.
constexpr uint32_t kTokensPerGapSample = 16;
// Added to the finish time of short work on an engine that runs long work.
constexpr double kLongNeighbourPenaltyS = 0.25;
// Part of the engines that may be reserved for long work.
constexpr double kMaxLongShare = 0.5;
// Kept free below the limit of the gaps, because estimates err.
constexpr double kGapMargin = 0.92;
// A decode engine is replaced at the end of the prefill only by one with a
// gap this much smaller.
constexpr double kClearlyBetter = 0.8;
// Gaps that differ by less than this, about three streams, are taken as equal.
constexpr double kEqualGapS = 0.001;
constexpr absl::Duration kBacklogInterval = absl::Milliseconds(50);
constexpr absl::Duration kSlowdownInterval = absl::Milliseconds(200);
constexpr double kRateSeconds = 2;
// Share of long work is learned over about this many requests.
constexpr double kLongShareWeight = 0.01;

constexpr size_t RoleIndex(EngineRole role) {
  return static_cast<size_t>(role);
}

}  // namespace

struct Router::Impl {
  struct Engine {
    std::string id;
    uint32_t zone = 0;  // Index into Impl::zones.
    uint64_t rank = 0;  // Order in which engines are reserved for long work.
    EngineRole role = EngineRole::kMixed;
    bool usable = true;
    bool own_zone = true;
    bool home = false;
    uint32_t expected_streams = 0;  // Prefills that will decode here.
    uint32_t alone = 0;             // Suspects that run here.
    uint32_t cached = 0;            // Scratch of Choose().
    uint32_t cached_epoch = 0;
    LoadTracker tracker;
    Slowdown slowdown;
    double slow_factor = 1;         // Of `slowdown`, relative to the role.
    std::vector<uint64_t> waiting;  // Own requests without a first token.
  };

  struct Active {
    uint32_t engine = 0;
    uint32_t decode_engine = 0;
    absl::Time sent;
    double tokens_ahead = 0;
    double streams = 0;
    double prefill_tokens = 0;
    bool low_priority = false;
    bool alone = false;
    bool has_first_token = false;
    absl::Time mark;  // Start of the present gap sample.
    absl::Time last_token{};
    absl::Duration longest_gap{};
    uint32_t tokens = 0;
  };

  struct Candidate {
    uint32_t engine = 0;
    uint32_t decode_engine = 0;
    uint32_t cached = 0;
    double wait = 0;
    double first = 0;
    double gap = 0;
    double finish = 0;
    double score = 0;
    bool in_time = false;
  };

  // What an engine offers to a stream.
  struct DecodeOffer {
    uint32_t engine = 0;
    double gap = 0;       // Mean seconds between tokens.
    double high_gap = 0;  // Not exceeded by 95 in 100 gaps.
  };

  // Durations of the options as seconds, which candidates need often.
  struct OptionSeconds {
    explicit OptionSeconds(const RouterOptions& options)
        : foreign_margin(absl::ToDoubleSeconds(options.foreign_margin)),
          prefix_load_floor(absl::ToDoubleSeconds(options.prefix_load_floor)),
          zone_latency(absl::ToDoubleSeconds(options.zone_latency)),
          max_gap(absl::ToDoubleSeconds(options.max_gap)),
          max_backlog(absl::ToDoubleSeconds(options.max_backlog)) {}
    double foreign_margin;
    double prefix_load_floor;
    double zone_latency;
    double max_gap;
    double max_backlog;
  };

  // Properties of a request that all candidates share.
  struct Query {
    const RouteRequest& request;
    absl::Time now;
    double now_s;  // Seconds since the Unix epoch.
    double slack;  // Seconds until the first token is due.
    double peer_rate;
    double mean_backlog = 0;
    bool long_work = false;
  };

  Impl(const Clock& clock, Random& random, RouterOptions options)
      : clock(clock),
        random(random),
        options(std::move(options)),
        seconds(this->options),
        prefixes(clock),
        models{SpeedModel(this->options.speed), SpeedModel(this->options.speed),
               SpeedModel(this->options.speed)},
        rate_time(clock.Now()) {}

  // Slowdown relative to the engines of the same role: what slows all of them
  // is load, or an error of the estimates.
  double ComputeSlowFactor(const Engine& engine, absl::Time now) const {
    if (!this->options.detect_slow)
      return 1;
    double factor = engine.slowdown.Factor(now) /
                    this->usual_slowdown[RoleIndex(engine.role)];
    return factor < kSlowThreshold ? 1 : factor;
  }

  void Observe(Engine& engine, double ratio, absl::Time now) {
    engine.slowdown.Observe(ratio, now);
    engine.slow_factor = this->ComputeSlowFactor(engine, now);
  }

  void RefreshSlowFactors(absl::Time now) {
    if (now - this->slowdown_time < kSlowdownInterval)
      return;
    this->slowdown_time = now;
    for (EngineRole role :
         {EngineRole::kPrefill, EngineRole::kDecode, EngineRole::kMixed})
      this->UpdateUsualSlowdown(role, now);
    for (Engine& engine : this->engines)
      engine.slow_factor = this->ComputeSlowFactor(engine, now);
  }

  void UpdateUsualSlowdown(EngineRole role, absl::Time now) {
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
    this->usual_slowdown[RoleIndex(role)] = *middle;
  }

  EngineLoad LoadOf(const Engine& engine, absl::Time now) const {
    double rate =
        1 / (this->ModelOf(engine).PrefillSeconds(1, this->StreamsOf(engine)) *
             engine.slow_factor);
    return engine.tracker.Estimate(now, rate, this->PeerRate(now));
  }

  const SpeedModel& ModelOf(const Engine& engine) const {
    return this->models[RoleIndex(engine.role)];
  }

  // Prefill tokens per second that the other instances of the zone send to one
  // engine, if they send as much as this one.
  double PeerRate(absl::Time now) const {
    if (this->prefill_engines == 0 || this->options.entry_instances < 2)
      return 0;
    double decay =
        std::exp(-absl::ToDoubleSeconds(now - this->rate_time) / kRateSeconds);
    return this->sent_rate * decay * (this->options.entry_instances - 1) /
           this->prefill_engines;
  }

  bool IsExcluded(const RouteRequest& request, uint32_t index) const {
    return std::find(request.excluded.begin(), request.excluded.end(), index) !=
           request.excluded.end();
  }

  bool IsIdle(const Engine& engine, const Query& query) const {
    EngineLoad load = engine.tracker.Estimate(query.now, 1e-9, 0);
    return this->StreamsOf(engine) < 0.5 && load.prefill_tokens < 0.5;
  }

  static double StreamsOf(const Engine& engine) {
    return engine.tracker.Streams() + engine.expected_streams;
  }

  // Gaps between tokens if one more stream ran on the engine.
  DecodeOffer OfferOf(uint32_t index) const {
    const Engine& engine = this->engines[index];
    return this->OfferWith(index, this->StreamsOf(engine) + 1,
                           engine.slow_factor);
  }

  DecodeOffer OfferWith(uint32_t index, double streams, double slow) const {
    const SpeedModel& model = this->ModelOf(this->engines[index]);
    return {.engine = index,
            .gap = model.GapSeconds(streams) * slow,
            .high_gap = model.HighGapSeconds(streams) * slow};
  }

  bool TakesWork(const Engine& engine) const {
    return engine.usable && engine.alone == 0;
  }

  // Chooses among the decode engines, at random among the near-best.
  std::optional<DecodeOffer> BestDecode(const RouteRequest& request,
                                        bool other_zones) {
    this->decode_offers.clear();
    double best = std::numeric_limits<double>::infinity();
    for (uint32_t i = 0; i < this->engines.size(); ++i) {
      const Engine& engine = this->engines[i];
      if (!this->TakesWork(engine) || engine.role == EngineRole::kPrefill ||
          engine.own_zone == other_zones || this->IsExcluded(request, i))
        continue;
      this->decode_offers.push_back(this->OfferOf(i));
      best = std::min(best, this->decode_offers.back().high_gap);
    }
    if (this->decode_offers.empty())
      return std::nullopt;
    double limit = best * this->options.near_best + 1e-9;
    uint32_t near = 0;
    DecodeOffer chosen;
    for (const DecodeOffer& offer : this->decode_offers) {
      if (offer.high_gap <= limit && this->random.UniformInt(0, near++) == 0)
        chosen = offer;
    }
    return chosen;
  }

  Candidate Rate(uint32_t index,
                 const Query& query,
                 const std::optional<DecodeOffer>& decode) const {
    const Engine& engine = this->engines[index];
    const SpeedModel& model = this->ModelOf(engine);
    double slow = engine.slow_factor;
    double streams = this->StreamsOf(engine);
    double seconds_per_token = model.PrefillSeconds(1, streams) * slow;
    // Other zones are assumed to be as busy as the own one.
    EngineLoad load = engine.tracker.EstimateAt(
        query.now_s, 1 / seconds_per_token, query.peer_rate);
    double ahead = query.long_work
                       ? load.prefill_tokens
                       : load.prefill_tokens - load.low_priority_tokens;
    Candidate candidate{.engine = index, .decode_engine = index};
    candidate.wait = ahead * seconds_per_token;
    if (!engine.home)
      candidate.wait += this->seconds.foreign_margin;
    double backlog_limit =
        this->options.prefix_load_limit * query.mean_backlog +
        this->seconds.prefix_load_floor;
    if (engine.cached_epoch == this->epoch && candidate.wait <= backlog_limit)
      candidate.cached = engine.cached;
    Work work = WorkOf(query.request.prompt_tokens, candidate.cached,
                       query.request.output);
    candidate.first = candidate.wait + work.prefill_tokens * seconds_per_token;
    if (!engine.own_zone) {
      candidate.first += 2 * this->seconds.zone_latency;
    }
    DecodeOffer offer = this->OfferWith(index, streams + 1, slow);
    // A mixed engine passes the stream on when that makes the gaps clearly
    // shorter; otherwise decode engines would depend on prefill engines.
    bool pass_on =
        engine.role == EngineRole::kPrefill ||
        (decode && decode->high_gap < kClearlyBetter * offer.high_gap);
    if (pass_on && !query.request.alone)
      offer = *decode;
    candidate.decode_engine = offer.engine;
    candidate.gap = offer.gap;
    candidate.finish = candidate.first + work.decode_tokens * candidate.gap;
    candidate.score = candidate.finish;
    if (!query.long_work && load.low_priority_tokens > 0)
      candidate.score += kLongNeighbourPenaltyS;
    double max_gap = this->seconds.max_gap * kGapMargin;
    // Saved prefill makes up for a longer wait.
    double saved =
        candidate.cached * double{kCacheBlockTokens} * seconds_per_token;
    bool short_backlog =
        candidate.wait <= this->seconds.max_backlog + 0.5 * saved;
    candidate.in_time = candidate.first <= query.slack &&
                        (query.long_work || short_backlog) &&
                        offer.high_gap <= max_gap;
    return candidate;
  }

  void MatchPrefixes(const RouteRequest& request) {
    ++this->epoch;
    if (!this->options.use_prefixes || request.blocks.empty())
      return;
    this->prefixes.Match(request.blocks, [&](uint32_t index, uint32_t cached) {
      if (index < this->engines.size()) {
        this->engines[index].cached = cached;
        this->engines[index].cached_epoch = this->epoch;
      }
    });
  }

  // Finds the engines that take long prompts: in each zone the first by rank,
  // as many as the share of long work asks for.
  void ReserveForLong() {
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
      double share = std::min(kMaxLongShare, this->long_share);
      double count =
          std::max(1.0, std::ceil(share * static_cast<double>(ranks.size())));
      auto last = ranks.begin() + static_cast<std::ptrdiff_t>(count) - 1;
      std::nth_element(ranks.begin(), last, ranks.end());
      this->reserved_ranks[zone] = *last;
    }
  }

  // Divides the engines of the own zone among its instances, so that each
  // gets some of every role.
  void AssignHomes() {
    this->homes_valid = true;
    this->prefill_engines = 0;
    for (const Engine& engine : this->engines)
      this->prefill_engines += engine.usable && engine.own_zone &&
                               engine.role != EngineRole::kDecode;
    std::vector<uint32_t>& order = this->order_scratch;
    order.clear();
    for (uint32_t i = 0; i < this->engines.size(); ++i) {
      Engine& engine = this->engines[i];
      engine.home = engine.own_zone && this->options.instance_index == kNoIndex;
      if (engine.own_zone && engine.usable)
        order.push_back(i);
    }
    if (this->options.instance_index == kNoIndex)
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

  void Collect(const Query& query, bool other_zones) {
    auto decode = this->BestDecode(query.request, other_zones);
    for (uint32_t i = 0; i < this->engines.size(); ++i) {
      const Engine& engine = this->engines[i];
      if (engine.own_zone == other_zones || !this->TakesWork(engine) ||
          this->IsExcluded(query.request, i))
        continue;
      if (query.request.alone) {
        if (!this->IsIdle(engine, query))
          continue;
      } else if (engine.role == EngineRole::kDecode ||
                 (engine.role == EngineRole::kPrefill && !decode)) {
        continue;
      }
      if (query.long_work && this->options.reserve_engines_for_long &&
          !query.request.alone &&
          engine.rank > this->reserved_ranks[engine.zone])
        continue;
      this->candidates.push_back(this->Rate(i, query, decode));
    }
  }

  double RecentMeanBacklog(absl::Time now) {
    if (now - this->backlog_time >= kBacklogInterval) {
      this->backlog_time = now;
      this->mean_backlog = this->MeanBacklog(now);
    }
    return this->mean_backlog;
  }

  double MeanBacklog(absl::Time now) const {
    double sum = 0;
    uint32_t count = 0;
    for (const Engine& engine : this->engines) {
      if (!engine.usable || !engine.own_zone ||
          engine.role == EngineRole::kDecode)
        continue;
      double token_seconds = this->ModelOf(engine).PrefillSeconds(1, 0);
      EngineLoad load = engine.tracker.Estimate(now, 1 / token_seconds, 0);
      sum += (load.prefill_tokens - load.low_priority_tokens) * token_seconds;
      ++count;
    }
    return count > 0 ? sum / count : 0;
  }

  // Random choice among the candidates near the best, weighted by score.
  const Candidate& Pick(double decode_tokens) {
    bool any_in_time =
        std::any_of(this->candidates.begin(), this->candidates.end(),
                    [](const Candidate& c) { return c.in_time; });
    const Candidate* best = nullptr;
    for (const Candidate& candidate : this->candidates) {
      if (candidate.in_time == any_in_time &&
          (best == nullptr || candidate.score < best->score))
        best = &candidate;
    }
    double range = best->first * (this->options.near_best - 1) +
                   absl::ToDoubleSeconds(this->options.near_best_floor) +
                   decode_tokens * kEqualGapS;
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
    if (!this->homes_valid)
      this->AssignHomes();
    Query query{
        .request = request,
        .now = now,
        .now_s = absl::ToDoubleSeconds(now - absl::UnixEpoch()),
        .slack = absl::ToDoubleSeconds(request.first_token_by - now),
        .peer_rate = this->PeerRate(now),
        .long_work = request.prompt_tokens >= this->options.long_prompt_tokens};
    if (!request.blocks.empty())
      query.mean_backlog = this->RecentMeanBacklog(now);
    this->MatchPrefixes(request);
    if (query.long_work)
      this->ReserveForLong();
    this->candidates.clear();
    this->Collect(query, false);
    bool in_time = std::any_of(this->candidates.begin(), this->candidates.end(),
                               [](const Candidate& c) { return c.in_time; });
    if (!in_time)
      this->Collect(query, true);
    if (this->candidates.empty())
      return std::nullopt;
    const Candidate& chosen = this->Pick(request.output.mean);
    return RouteDecision{.engine = chosen.engine,
                         .decode_engine = chosen.decode_engine,
                         .cached_blocks = chosen.cached,
                         .first_token = absl::Seconds(chosen.first),
                         .gap = absl::Seconds(chosen.gap),
                         .finish = absl::Seconds(chosen.finish),
                         .in_time = chosen.in_time,
                         .low_priority = query.long_work};
  }

  void CountSent(double tokens, absl::Time now) {
    double decay =
        std::exp(-absl::ToDoubleSeconds(now - this->rate_time) / kRateSeconds);
    this->sent_rate = this->sent_rate * decay + tokens / kRateSeconds;
    this->rate_time = now;
  }

  void OnSent(const RouteRequest& request, const RouteDecision& decision) {
    absl::Time now = this->clock.Now();
    Engine& engine = this->engines[decision.engine];
    Work work =
        WorkOf(request.prompt_tokens, decision.cached_blocks, request.output);
    EngineLoad load = this->LoadOf(engine, now);
    double ahead = load.prefill_tokens;
    if (!decision.low_priority)
      ahead -= load.low_priority_tokens;
    Active active{.engine = decision.engine,
                  .decode_engine = decision.decode_engine,
                  .sent = now,
                  .tokens_ahead = ahead,
                  .streams = this->StreamsOf(engine),
                  .prefill_tokens = work.prefill_tokens,
                  .low_priority = decision.low_priority,
                  .alone = request.alone,
                  .mark = now};
    engine.tracker.OnSent(request.id, now, work, decision.low_priority);
    engine.waiting.push_back(request.id);
    engine.alone += request.alone;
    if (decision.decode_engine != decision.engine)
      ++this->engines[decision.decode_engine].expected_streams;
    if (!decision.low_priority)
      this->CountSent(work.prefill_tokens, now);
    double token_share = work.prefill_tokens * kLongShareWeight;
    this->work_seen += token_share - kLongShareWeight * this->work_seen;
    this->long_seen += token_share * decision.low_priority -
                       kLongShareWeight * this->long_seen;
    this->long_share =
        this->work_seen > 0 ? this->long_seen / this->work_seen : 0;
    if (this->options.use_prefixes)
      this->prefixes.RecordSent(decision.engine, request.blocks);
    this->active.insert_or_assign(request.id, active);
  }

  std::optional<uint32_t> ChooseDecode(uint64_t id) {
    auto found = this->active.find(id);
    if (found == this->active.end())
      return std::nullopt;
    Active& state = found->second;
    if (state.decode_engine == state.engine)
      return state.engine;
    RouteRequest any;
    auto best = this->BestDecode(any, false);
    if (!best)
      best = this->BestDecode(any, true);
    Engine& planned = this->engines[state.decode_engine];
    bool keep = this->TakesWork(planned) &&
                planned.role != EngineRole::kPrefill &&
                (!best || best->high_gap >
                              kClearlyBetter *
                                  this->OfferOf(state.decode_engine).high_gap);
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

  void StopWaiting(Active& state, uint64_t id) {
    std::erase(this->engines[state.engine].waiting, id);
  }

  void OnFirstToken(uint64_t id) {
    auto found = this->active.find(id);
    if (found == this->active.end() || found->second.has_first_token)
      return;
    Active& state = found->second;
    absl::Time now = this->clock.Now();
    Engine& engine = this->engines[state.engine];
    this->StopWaiting(state, id);
    engine.tracker.OnPrefillDone(
        id, now, {.prefill_tokens = state.prefill_tokens}, state.low_priority);
    this->LearnPrefill(engine, state, now);
    if (state.decode_engine != state.engine) {
      engine.tracker.OnGone(now);
      Engine& decode = this->engines[state.decode_engine];
      --decode.expected_streams;
      decode.tracker.OnSent(id, now, {});
    }
    state.has_first_token = true;
    this->StartSample(state, now);
  }

  static void StartSample(Active& state, absl::Time now) {
    state.mark = now;
    state.last_token = now;
    state.longest_gap = absl::ZeroDuration();
    state.tokens = 0;
  }

  void LearnPrefill(Engine& engine, const Active& state, absl::Time now) {
    double tokens = state.tokens_ahead + state.prefill_tokens;
    SpeedModel& model = this->models[RoleIndex(engine.role)];
    absl::Duration elapsed = now - state.sent;
    if (!state.low_priority)
      this->Judge(engine, elapsed, model.PrefillSeconds(tokens, state.streams),
                  now);
    model.ObserveFirstToken(tokens, state.streams, elapsed);
  }

  void Judge(Engine& engine,
             absl::Duration elapsed,
             double expected,
             absl::Time now) {
    this->Observe(
        engine, absl::ToDoubleSeconds(elapsed) / (expected + kFirstTokenSlackS),
        now);
  }

  void OnTokens(uint64_t id, uint32_t count) {
    auto found = this->active.find(id);
    if (found == this->active.end() || !found->second.has_first_token)
      return;
    Active& state = found->second;
    absl::Time now = this->clock.Now();
    state.tokens += count;
    state.longest_gap =
        std::max(state.longest_gap, (now - state.last_token) / count);
    state.last_token = now;
    if (state.tokens < kTokensPerGapSample)
      return;
    Engine& engine = this->engines[state.decode_engine];
    absl::Duration gap = (now - state.mark) / state.tokens;
    double streams = engine.tracker.Streams();
    SpeedModel& model = this->models[RoleIndex(engine.role)];
    this->Observe(engine,
                  absl::ToDoubleSeconds(gap) / model.GapSeconds(streams), now);
    model.ObserveGap(streams, gap, state.longest_gap);
    this->StartSample(state, now);
  }

  void OnFinished(uint64_t id, AttemptEnd) {
    auto found = this->active.find(id);
    if (found == this->active.end())
      return;
    Active& state = found->second;
    absl::Time now = this->clock.Now();
    Engine& engine = this->engines[state.engine];
    this->StopWaiting(state, id);
    engine.alone -= state.alone;
    if (!state.has_first_token) {
      engine.tracker.OnPrefillDone(id, now,
                                   {.prefill_tokens = state.prefill_tokens},
                                   state.low_priority);
      engine.tracker.OnGone(now);
      if (state.decode_engine != state.engine)
        --this->engines[state.decode_engine].expected_streams;
    } else {
      this->engines[state.decode_engine].tracker.OnGone(now);
    }
    this->active.erase(found);
  }

  // Judges requests that are overdue without waiting for their first token;
  // a slowed engine would otherwise go unnoticed for that long.
  void JudgeOverdue(Engine& engine, absl::Time now) {
    this->RefreshSlowFactors(now);
    const SpeedModel& model = this->ModelOf(engine);
    for (uint64_t id : engine.waiting) {
      const Active& state = this->active.at(id);
      if (state.low_priority)
        continue;
      double expected = model.PrefillSeconds(
          state.tokens_ahead + state.prefill_tokens, state.streams);
      double elapsed = absl::ToDoubleSeconds(now - state.sent);
      if (elapsed > kSlowThreshold * (expected + kFirstTokenSlackS))
        this->Judge(engine, now - state.sent, expected, now);
    }
  }

  uint32_t ZoneIndex(std::string_view zone) {
    auto found = std::find(this->zones.begin(), this->zones.end(), zone);
    if (found == this->zones.end())
      found = this->zones.insert(found, std::string(zone));
    return static_cast<uint32_t>(found - this->zones.begin());
  }

  RequestEstimate EstimateWork(const RouteRequest& request) const {
    uint32_t cached = 0;
    if (this->options.use_prefixes && !request.blocks.empty()) {
      this->prefixes.Match(request.blocks, [&](uint32_t, uint32_t blocks) {
        cached = std::max(cached, blocks);
      });
    }
    Work work = WorkOf(request.prompt_tokens, cached, request.output);
    const SpeedModel& prefill = this->models[RoleIndex(EngineRole::kPrefill)];
    const SpeedModel& decode = this->models[RoleIndex(EngineRole::kDecode)];
    double seconds = work.prefill_tokens * prefill.PrefillTokenSeconds();
    return {
        .prefill = absl::Seconds(seconds),
        .decode =
            absl::Seconds(work.decode_tokens *
                          decode.DecodeTokenSeconds(this->options.max_gap)),
        .min_first_token = absl::Seconds(seconds + prefill.OverheadSeconds(0))};
  }

  const Clock& clock;
  Random& random;
  RouterOptions options;
  const OptionSeconds seconds;
  PrefixIndex prefixes;
  std::array<SpeedModel, 3> models;
  std::vector<Engine> engines;
  absl::flat_hash_map<std::string, uint32_t> index_of;
  absl::flat_hash_map<uint64_t, Active> active;
  uint32_t epoch = 0;
  double sent_rate = 0;  // Prefill tokens per second, exponentially weighted.
  absl::Time rate_time;
  double work_seen = 0;
  double long_seen = 0;
  double long_share = 0;
  double mean_backlog = 0;
  absl::Time backlog_time = absl::InfinitePast();
  bool homes_valid = false;
  uint32_t prefill_engines = 0;  // Usable ones in the own zone.
  std::vector<uint32_t> order_scratch;
  std::array<double, 3> usual_slowdown{1, 1, 1};  // Median for each role.
  absl::Time slowdown_time = absl::InfinitePast();
  std::vector<double> factor_scratch;
  std::vector<std::string> zones;
  std::vector<uint64_t> reserved_ranks;  // Highest reserved rank per zone.
  std::vector<uint64_t> rank_scratch;
  std::vector<Candidate> candidates;       // Scratch.
  std::vector<DecodeOffer> decode_offers;  // Scratch.
};

Router::Router(const Clock& clock, Random& random, RouterOptions options)
    : impl(std::make_unique<Impl>(clock, random, std::move(options))) {}

Router::~Router() = default;

uint32_t Router::AddEngine(std::string_view id,
                           std::string_view zone,
                           EngineRole role) {
  auto next = static_cast<uint32_t>(this->impl->engines.size());
  auto [entry, added] = this->impl->index_of.try_emplace(std::string(id), next);
  if (added)
    this->impl->engines.emplace_back();
  Impl::Engine& engine = this->impl->engines[entry->second];
  engine.id = id;
  engine.zone = this->impl->ZoneIndex(zone);
  engine.rank = StableHash(id);
  engine.own_zone = zone == this->impl->options.zone;
  engine.role = role;
  this->impl->homes_valid = false;
  return entry->second;
}

const std::string& Router::EngineId(uint32_t engine) const {
  return this->impl->engines[engine].id;
}

void Router::SetRole(uint32_t engine, EngineRole role) {
  this->impl->engines[engine].role = role;
  this->impl->homes_valid = false;
}

void Router::SetUsable(uint32_t engine, bool usable) {
  this->impl->engines[engine].usable = usable;
  this->impl->homes_valid = false;
}

void Router::OnEngineRestarted(uint32_t engine) {
  this->impl->engines[engine].tracker = LoadTracker();
  this->impl->engines[engine].slowdown = Slowdown();
  this->impl->engines[engine].slow_factor = 1;
  this->impl->prefixes.Forget(engine);
}

void Router::SetEntryInstances(uint32_t count, uint32_t index) {
  this->impl->options.entry_instances = count;
  this->impl->options.instance_index = index;
  this->impl->homes_valid = false;
}

void Router::OnLoadReport(uint32_t engine, const LoadReport& report) {
  Impl::Engine& state = this->impl->engines[engine];
  state.tracker.OnReport(report);
  this->impl->JudgeOverdue(state, this->impl->clock.Now());
}

void Router::OnCacheEvents(uint32_t engine,
                           std::span<const CacheEvent> events) {
  this->impl->prefixes.OnEvents(engine, events);
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

double Router::SlowdownOf(uint32_t engine) const {
  return this->impl->engines[engine].slow_factor;
}

absl::Duration Router::ShortestWait() const {
  double best = std::numeric_limits<double>::infinity();
  absl::Time now = this->impl->clock.Now();
  for (const Impl::Engine& engine : this->impl->engines) {
    if (!engine.usable || engine.role == EngineRole::kDecode)
      continue;
    double token_seconds =
        this->impl->ModelOf(engine).PrefillSeconds(1, 0) * engine.slow_factor;
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
