#include "cranberryhill/forward/placement.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <set>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

struct Fleet {
  Fleet() {
    for (int i = 0; i < 3; ++i)
      this->Add("run" + std::to_string(i), EngineRole::kDecode);
    for (int i = 0; i < 6; ++i)
      this->Add("read" + std::to_string(i), EngineRole::kPrefill);
  }

  void Add(const std::string& id, EngineRole role) {
    this->replicas.Apply(MakeEntry(id, "a", role));
    this->replicas.SetCacheCapacity("service", 1'000'000);
  }

  PlacementChoice Choose(const PromptDescription& prompt,
                         LatencyLimits limits = {}) {
    return this->placement.ChooseEngine(this->replicas.Usable("service"),
                                        prompt, limits, this->clock.Now(), {});
  }

  ManualClock clock;
  ReplicaSet replicas{clock};
  EngineSpeedModels speeds{clock};
  Placement placement{"a", this->speeds};
};

// Guards against two instances that have the same shared prefix prefilled at
// two engines: they must agree on the engine without exchanging messages.
BOOST_AUTO_TEST_CASE(instances_agree_on_the_prefill_engine_of_a_shared_prefix) {
  std::set<std::string> used;
  for (uint64_t part = 1; part <= 40; ++part) {
    Fleet first;
    Fleet second;
    PromptDescription prompt = MakePrompt(part, 13000, 3700);
    PlacementChoice a = first.Choose(prompt);
    PlacementChoice b = second.Choose(prompt);
    BOOST_REQUIRE(a.prefill_engine != nullptr);
    BOOST_REQUIRE(b.prefill_engine != nullptr);
    BOOST_TEST(a.prefill_engine->entry.id == b.prefill_engine->entry.id);
    used.insert(a.prefill_engine->entry.id);
  }
  BOOST_TEST(used.size() == 6U);
}

// Guards against prefilling a long shared prefix again because the engine that
// has it cached is slightly busier than another one.
BOOST_AUTO_TEST_CASE(short_queue_does_not_cause_repeated_prefill) {
  Fleet fleet;
  PromptDescription prompt = MakePrompt(1, 13000, 3700);
  PlacementChoice first = fleet.Choose(prompt);
  first.prefill_engine->prefix_cache.RecordPrompt(prompt, fleet.clock.Now());
  first.prefill_engine->queued.Add(PrefillLane::kOnTime, 8000);
  PlacementChoice second = fleet.Choose(prompt);
  BOOST_REQUIRE(second.prefill_engine != nullptr);
  BOOST_TEST(second.prefill_engine->entry.id == first.prefill_engine->entry.id);
  BOOST_TEST(second.prefill_engine_tokens == 3700);
  first.prefill_engine->queued.Add(PrefillLane::kOnTime, 120000);
  PlacementChoice moved = fleet.Choose(prompt);
  BOOST_TEST(
      (moved.prefill_engine == nullptr ||
       moved.prefill_engine->entry.id != first.prefill_engine->entry.id));
}

// Guards against all instances sending their streams to the one engine that
// seems least loaded, and against sending streams to an engine that is clearly
// busier.
BOOST_AUTO_TEST_CASE(streams_spread_over_similarly_loaded_engines) {
  Fleet fleet;
  fleet.replicas.Find("run1")->peer_outstanding = 4;
  fleet.replicas.Find("run2")->peer_outstanding = 40;
  std::map<std::string, int> chosen;
  for (uint64_t random_value = 1; random_value <= 300; ++random_value) {
    auto decode_engine = fleet.placement.ChooseDecodeEngine(
        fleet.replicas.Usable("service"), random_value, fleet.clock.Now(), {});
    ++chosen[decode_engine->entry.id];
  }
  BOOST_TEST(chosen["run0"] > chosen["run1"]);
  BOOST_TEST(chosen["run1"] > 20);
  BOOST_TEST(chosen["run2"] == 0);
}

// Guards against streams that wait for a slot while another engine has a free
// one.
BOOST_AUTO_TEST_CASE(engine_without_a_free_slot_is_not_chosen) {
  Fleet fleet;
  ReplicaEntry full = fleet.replicas.Find("run0")->entry;
  full.slots = 24;
  fleet.replicas.Apply(full);
  fleet.replicas.Find("run0")->outstanding = 24;
  for (const char* other : {"run1", "run2"})
    fleet.replicas.Find(other)->outstanding = 60;
  auto decode_engine = fleet.placement.ChooseDecodeEngine(
      fleet.replicas.Usable("service"), 7, fleet.clock.Now(), {});
  BOOST_TEST(decode_engine->entry.id != "run0");
}

// Guards against treating an engine as idle that other instances keep busy.
BOOST_AUTO_TEST_CASE(load_of_peers_is_considered) {
  Fleet fleet;
  PromptDescription prompt = MakePrompt(1, 13000, 3700);
  PlacementChoice idle = fleet.Choose(prompt);
  idle.prefill_engine->peer_queued.Add(PrefillLane::kOnTime, 90000);
  PlacementChoice busy = fleet.Choose(prompt);
  BOOST_REQUIRE(busy.replica != nullptr);
  BOOST_TEST((busy.prefill_engine == nullptr ||
              busy.prefill_engine->entry.id != idle.prefill_engine->entry.id));
}

// Guards against choosing an excluded or avoided replica while another one can
// serve the request.
BOOST_AUTO_TEST_CASE(excluded_and_avoided_servers_are_not_chosen) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  for (const char* id : {"x", "y", "z"})
    replicas.Apply(MakeEntry(id));
  EngineSpeedModels speeds(clock);
  Placement placement("a", speeds);
  replicas.Find("y")->avoid_until = clock.Now() + absl::Seconds(1);
  std::vector<std::string> excluded{"x"};
  auto usable = replicas.Usable("service");
  BOOST_TEST(placement.ChooseServer(usable, 0, clock.Now(), excluded)
                 .replica->entry.id == "z");
  excluded = {"x", "y", "z"};
  BOOST_TEST(
      (placement.ChooseServer(usable, 0, clock.Now(), excluded).replica ==
       nullptr));
}

// Guards against choosing a replica in another zone that is only slightly less
// busy.
BOOST_AUTO_TEST_CASE(own_zone_is_preferred_until_it_is_busy) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  replicas.Apply(MakeEntry("near", "a"));
  replicas.Apply(MakeEntry("far", "b"));
  EngineSpeedModels speeds(clock);
  Placement placement("a", speeds);
  auto usable = replicas.Usable("service");
  replicas.Find("near")->outstanding = 2;
  BOOST_TEST(
      placement.ChooseServer(usable, 0, clock.Now(), {}).replica->entry.id ==
      "near");
  replicas.Find("near")->outstanding = 8;
  BOOST_TEST(
      placement.ChooseServer(usable, 0, clock.Now(), {}).replica->entry.id ==
      "far");
}

// Guards against instances that send all requests of an idle service to the
// replica that a container happens to list first.
BOOST_AUTO_TEST_CASE(idle_servers_get_equal_shares) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  for (const char* id : {"x", "y", "z"})
    replicas.Apply(MakeEntry(id));
  EngineSpeedModels speeds(clock);
  Placement placement("a", speeds);
  SeededRandom random(5);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 300; ++i) {
    ++chosen[placement
                 .ChooseServer(replicas.Usable("service"),
                               random.UniformInt(0, UINT64_MAX), clock.Now(),
                               {})
                 .replica->entry.id];
  }
  for (const char* id : {"x", "y", "z"})
    BOOST_TEST(chosen[id] > 60);
}

/// A prompt in the prefill queue of an engine.
struct QueuedPrompt {
  absl::Time arrived;
  absl::Duration target_latency;
  double prefill_ms = 0;
  double tokens = 0;
  PrefillLane lane = PrefillLane::kOnTime;
};

/// Simulates peak load: prompts without a shared prefix arrive 1.4 times as
/// fast as the fleet can prefill them.
/// @return The number of prompts, out of 600, that were prefilled within their
///     latency target.
int SimulatePeak(bool with_lanes) {
  Fleet fleet;
  SeededRandom random(20261204);
  std::map<std::string, std::deque<QueuedPrompt>> queues;
  std::map<std::string, absl::Time> free_at;
  int on_time_count = 0;
  constexpr int kPrompts = 600;
  constexpr double kTokens = 4000;
  // Prefill times of 4000 tokens, including the fixed time of a prompt and the
  // steps between chunks.
  constexpr double kPrefillEngineMs = 65;
  constexpr double kDecodeEngineMs = 132;
  absl::Duration interval = absl::Milliseconds(
      1 / (6 / kPrefillEngineMs + 3 / kDecodeEngineMs) / 1.4);
  auto run_engines = [&](absl::Time until) {
    for (auto& [id, queue] : queues) {
      while (!queue.empty() && free_at[id] < until) {
        auto next = std::find_if(
            queue.begin(), queue.end(), [](const QueuedPrompt& queued_prompt) {
              return queued_prompt.lane == PrefillLane::kOnTime;
            });
        if (next == queue.end())
          next = queue.begin();
        absl::Time begin = std::max(free_at[id], next->arrived);
        free_at[id] = begin + absl::Milliseconds(next->prefill_ms);
        on_time_count +=
            free_at[id] - next->arrived <= next->target_latency ? 1 : 0;
        fleet.replicas.Find(id)->queued.Add(next->lane, -next->tokens);
        queue.erase(next);
      }
    }
  };
  for (int i = 0; i < kPrompts; ++i) {
    fleet.clock.Advance(interval);
    run_engines(fleet.clock.Now());
    PromptDescription prompt;
    prompt.prompt_tokens = kTokens;
    absl::Duration target_latency =
        absl::Milliseconds(random.UniformInt(0, 1) == 0 ? 400 : 600);
    LatencyLimits limits;
    if (with_lanes)
      limits = {target_latency, absl::Milliseconds(240)};
    PlacementChoice choice = fleet.Choose(prompt, limits);
    Replica& prefill_engine =
        choice.prefill_engine ? *choice.prefill_engine : *choice.replica;
    double prefill_ms =
        choice.prefill_engine ? kPrefillEngineMs : kDecodeEngineMs;
    prefill_engine.queued.Add(choice.lane, kTokens);
    queues[prefill_engine.entry.id].push_back(
        {fleet.clock.Now(), target_latency, prefill_ms, kTokens, choice.lane});
  }
  run_engines(absl::InfiniteFuture());
  return on_time_count;
}

// Guards against the failure of a single FIFO queue at peak load: once the wait
// in it exceeds the target, every request is served late although the engines
// are never idle.
BOOST_AUTO_TEST_CASE(deferred_lane_serves_more_on_time_at_peak_load) {
  int with_lanes = SimulatePeak(true);
  int without_lanes = SimulatePeak(false);
  BOOST_TEST_MESSAGE("prompts prefilled on time, of 600: "
                     << with_lanes << " with lanes, " << without_lanes
                     << " without lanes");
  BOOST_TEST(with_lanes >= without_lanes * 3 / 2);
}

// Guards against sending requests to a replica whose machine is currently slow.
BOOST_AUTO_TEST_CASE(slow_server_is_not_chosen) {
  Fleet fleet;
  ReplicaSet servers(fleet.clock);
  for (const char* id : {"x", "y"})
    servers.Apply(MakeEntry(id));
  auto choose = [&] {
    return fleet.placement
        .ChooseServer(servers.Members("service"), 0, fleet.clock.Now(), {})
        .replica->entry.id;
  };
  servers.OnLoadReport(*servers.Find("x"), {0, 0, 6, 2.5});
  BOOST_TEST(choose() == "y");
  servers.OnLoadReport(*servers.Find("y"), {0, 0, 6, 4});
  BOOST_TEST(choose() == "x");
  // Old reports carry no weight, so the replica with fewer requests is chosen.
  fleet.clock.Advance(absl::Seconds(10));
  servers.Find("x")->outstanding = 6;
  BOOST_TEST(choose() == "y");
}

}  // namespace
}  // namespace cranberryhill::forward
