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

  PlacementChoice Choose(const PromptShape& shape, LatencyLimits limits = {}) {
    return this->placement.ChooseEngine(this->replicas.Usable("service"), shape,
                                        limits, this->clock.Now(), {});
  }

  ManualClock clock;
  ReplicaSet replicas{clock};
  Placement placement{"a", EngineSpeed{}};
};

// Guards against two instances that read the same shared part at two engines:
// without any message they must agree where it belongs.
BOOST_AUTO_TEST_CASE(instances_agree_on_the_reader_of_a_shared_part) {
  std::set<std::string> used;
  for (uint64_t part = 1; part <= 40; ++part) {
    Fleet first;
    Fleet second;
    PromptShape shape = MakePrompt(part, 13000, 3700);
    PlacementChoice a = first.Choose(shape);
    PlacementChoice b = second.Choose(shape);
    BOOST_REQUIRE(a.reader != nullptr);
    BOOST_REQUIRE(b.reader != nullptr);
    BOOST_TEST(a.reader->entry.id == b.reader->entry.id);
    used.insert(a.reader->entry.id);
  }
  BOOST_TEST(used.size() == 6U);
}

// Guards against reading a long shared part again because the engine that
// holds it is a little busier than another one.
BOOST_AUTO_TEST_CASE(short_queue_is_no_reason_to_read_again) {
  Fleet fleet;
  PromptShape shape = MakePrompt(1, 13000, 3700);
  PlacementChoice first = fleet.Choose(shape);
  first.reader->cache.Record(shape, fleet.clock.Now());
  first.reader->queued.Add(ReadLane::kOnTime, 8000);
  PlacementChoice again = fleet.Choose(shape);
  BOOST_REQUIRE(again.reader != nullptr);
  BOOST_TEST(again.reader->entry.id == first.reader->entry.id);
  BOOST_TEST(again.reader_tokens == 3700);
  first.reader->queued.Add(ReadLane::kOnTime, 120000);
  PlacementChoice moved = fleet.Choose(shape);
  BOOST_TEST((moved.reader == nullptr ||
              moved.reader->entry.id != first.reader->entry.id));
}

// Guards against all instances sending their streams to the one engine that
// seems least loaded, and against sending any to one that is clearly busier.
BOOST_AUTO_TEST_CASE(streams_spread_over_engines_of_about_the_same_load) {
  Fleet fleet;
  fleet.replicas.Find("run1")->peer_running = 4;
  fleet.replicas.Find("run2")->peer_running = 40;
  std::map<std::string, int> chosen;
  for (uint64_t draw = 1; draw <= 300; ++draw) {
    auto runner = fleet.placement.ChooseRunner(fleet.replicas.Usable("service"),
                                               draw, fleet.clock.Now(), {});
    ++chosen[runner->entry.id];
  }
  BOOST_TEST(chosen["run0"] > chosen["run1"]);
  BOOST_TEST(chosen["run1"] > 20);
  BOOST_TEST(chosen["run2"] == 0);
}

// Guards against streams that wait for a slot while another engine has one.
BOOST_AUTO_TEST_CASE(engine_without_a_free_slot_is_passed_over) {
  Fleet fleet;
  ReplicaEntry full = fleet.replicas.Find("run0")->entry;
  full.slots = 24;
  fleet.replicas.Apply(full);
  fleet.replicas.Find("run0")->outstanding = 24;
  for (const char* other : {"run1", "run2"})
    fleet.replicas.Find(other)->outstanding = 60;
  auto runner = fleet.placement.ChooseRunner(fleet.replicas.Usable("service"),
                                             7, fleet.clock.Now(), {});
  BOOST_TEST(runner->entry.id != "run0");
}

// Guards against taking an engine for idle that other instances have filled.
BOOST_AUTO_TEST_CASE(load_of_peers_counts) {
  Fleet fleet;
  PromptShape shape = MakePrompt(1, 13000, 3700);
  PlacementChoice idle = fleet.Choose(shape);
  idle.reader->peer_queued.Add(ReadLane::kOnTime, 90000);
  PlacementChoice busy = fleet.Choose(shape);
  BOOST_REQUIRE(busy.target != nullptr);
  BOOST_TEST((busy.reader == nullptr ||
              busy.reader->entry.id != idle.reader->entry.id));
}

// Guards against an excluded or failing replica being chosen while another one
// can serve.
BOOST_AUTO_TEST_CASE(excluded_and_avoided_servers_are_passed_over) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  for (const char* id : {"x", "y", "z"})
    replicas.Apply(MakeEntry(id));
  Placement placement("a", {});
  replicas.Find("y")->avoid_until = clock.Now() + absl::Seconds(1);
  std::vector<std::string> excluded{"x"};
  auto usable = replicas.Usable("service");
  BOOST_TEST(
      placement.ChooseServer(usable, clock.Now(), excluded).target->entry.id ==
      "z");
  excluded = {"x", "y", "z"};
  BOOST_TEST((placement.ChooseServer(usable, clock.Now(), excluded).target ==
              nullptr));
}

// Guards against leaving the own zone for a server that is hardly less busy.
BOOST_AUTO_TEST_CASE(own_zone_is_preferred_until_it_is_busy) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  replicas.Apply(MakeEntry("near", "a"));
  replicas.Apply(MakeEntry("far", "b"));
  Placement placement("a", {});
  auto usable = replicas.Usable("service");
  replicas.Find("near")->outstanding = 2;
  BOOST_TEST(placement.ChooseServer(usable, clock.Now(), {}).target->entry.id ==
             "near");
  replicas.Find("near")->outstanding = 8;
  BOOST_TEST(placement.ChooseServer(usable, clock.Now(), {}).target->entry.id ==
             "far");
}

/// One prompt in the queue of a reader.
struct Job {
  absl::Time arrived;
  absl::Duration target;
  double read_ms = 0;
  double tokens = 0;
  ReadLane lane = ReadLane::kOnTime;
};

/// Plays a crest: prompts without shared parts arrive 1.4 times as fast as the
/// fleet can read them.
/// @return Prompts that were read within their target, of 600.
int PlayCrest(bool with_lanes) {
  Fleet fleet;
  SeededRandom random(20261204);
  std::map<std::string, std::deque<Job>> queues;
  std::map<std::string, absl::Time> free_at;
  int on_time = 0;
  constexpr int kPrompts = 600;
  constexpr double kTokens = 4000;
  // Of 4000 tokens, with the start of a prompt and the steps between chunks.
  constexpr double kReaderMs = 65;
  constexpr double kRunnerMs = 132;
  absl::Duration interval =
      absl::Milliseconds(1 / (6 / kReaderMs + 3 / kRunnerMs) / 1.4);
  auto run_readers = [&](absl::Time until) {
    for (auto& [id, queue] : queues) {
      while (!queue.empty() && free_at[id] < until) {
        auto next = std::find_if(queue.begin(), queue.end(), [](const Job& j) {
          return j.lane == ReadLane::kOnTime;
        });
        if (next == queue.end())
          next = queue.begin();
        absl::Time begin = std::max(free_at[id], next->arrived);
        free_at[id] = begin + absl::Milliseconds(next->read_ms);
        on_time += free_at[id] - next->arrived <= next->target ? 1 : 0;
        fleet.replicas.Find(id)->queued.Add(next->lane, -next->tokens);
        queue.erase(next);
      }
    }
  };
  for (int i = 0; i < kPrompts; ++i) {
    fleet.clock.Advance(interval);
    run_readers(fleet.clock.Now());
    PromptShape shape;
    shape.prompt_tokens = kTokens;
    absl::Duration target =
        absl::Milliseconds(random.UniformInt(0, 1) == 0 ? 400 : 600);
    LatencyLimits limits;
    if (with_lanes)
      limits = {target, absl::Milliseconds(240)};
    PlacementChoice choice = fleet.Choose(shape, limits);
    Replica& reader = choice.reader ? *choice.reader : *choice.target;
    double read_ms = choice.reader ? kReaderMs : kRunnerMs;
    reader.queued.Add(choice.lane, kTokens);
    queues[reader.entry.id].push_back(
        {fleet.clock.Now(), target, read_ms, kTokens, choice.lane});
  }
  run_readers(absl::InfiniteFuture());
  return on_time;
}

// Guards against the failure of a plain queue at a crest: once its wait is
// above the target, everything is served late although the engines never idle.
BOOST_AUTO_TEST_CASE(deferred_lane_serves_more_on_time_at_a_crest) {
  int with_lanes = PlayCrest(true);
  int without = PlayCrest(false);
  BOOST_TEST_MESSAGE("on time of 600: " << with_lanes << " with lanes, "
                                        << without << " without");
  BOOST_TEST(with_lanes >= without * 3 / 2);
}

// Guards against plain requests at a replica whose machine is slow just now.
BOOST_AUTO_TEST_CASE(slowed_server_is_passed_over) {
  Fleet fleet;
  ReplicaSet servers(fleet.clock);
  for (const char* id : {"x", "y"})
    servers.Apply(MakeEntry(id));
  auto choose = [&] {
    return fleet.placement
        .ChooseServer(servers.Members("service"), fleet.clock.Now(), {})
        .target->entry.id;
  };
  servers.OnLoadReport(*servers.Find("x"), {0, 0, 6, 2.5});
  BOOST_TEST(choose() == "y");
  servers.OnLoadReport(*servers.Find("y"), {0, 0, 6, 4});
  BOOST_TEST(choose() == "x");
  // Old reports say nothing: the one with less work is taken.
  fleet.clock.Advance(absl::Seconds(10));
  servers.Find("x")->outstanding = 6;
  BOOST_TEST(choose() == "y");
}

}  // namespace
}  // namespace cranberryhill::forward
