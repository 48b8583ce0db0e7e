#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cranberryhill/routing/prefix_index.h"
#include "cranberryhill/routing/router.h"

namespace cranberryhill {
namespace {

struct Fixture {
  ManualClock clock;
  SeededRandom random{7};
  Router router{clock, random, {.zone = "a"}};
  uint64_t next_id = 1;

  RouteRequest Request(uint32_t tokens = 2000) {
    return {.id = this->next_id++,
            .prompt_tokens = tokens,
            .output = {.mean = 100, .high = 200},
            .first_token_by = this->clock.Now() + absl::Seconds(1.1)};
  }

  void Report(uint32_t engine, double tokens, uint32_t running = 0) {
    this->router.OnLoadReport(engine, {.measured_at = this->clock.Now(),
                                       .running = running,
                                       .prefill_tokens = tokens});
  }

  uint32_t CachedOn(PrefixIndex& index,
                    const std::vector<uint64_t>& blocks,
                    uint32_t engine) {
    uint32_t found = 0;
    index.Match(blocks, [&](uint32_t holder, uint32_t cached) {
      if (holder == engine)
        found = cached;
    });
    return found;
  }
};

// Guards against hashes that depend on what follows the block, which would
// hide shared prefixes.
BOOST_AUTO_TEST_CASE(EqualPrefixesHashAlike) {
  std::string start(8000, 'x');
  auto a = HashBlocks(start + std::string(4000, 'a'), 3000);
  auto b = HashBlocks(start + std::string(9000, 'b'), 4250);
  BOOST_REQUIRE(a.size() == 3U);
  BOOST_TEST(a[1] == b[1]);
  BOOST_TEST(a[2] != b[2]);
}

// Guards against a match that skips a block in the middle of a prefix.
BOOST_FIXTURE_TEST_CASE(MatchCountsLeadingBlocksOnly, Fixture) {
  PrefixIndex index(this->clock);
  index.RecordSent(1, std::vector<uint64_t>{10, 11, 13});
  BOOST_TEST(this->CachedOn(index, {10, 11, 12, 13}, 1) == 2U);
}

// Guards against an index that becomes useless when events are lost, and
// against one that trusts blocks older than an evicted one.
BOOST_FIXTURE_TEST_CASE(EvictionEndsTrustInOlderBlocks, Fixture) {
  PrefixIndex index(this->clock);
  index.OnEvents(1, std::vector<CacheEvent>{{1, 10, true}});
  this->clock.Advance(absl::Seconds(1));
  index.OnEvents(1, std::vector<CacheEvent>{{2, 20, true}});
  this->clock.Advance(absl::Seconds(1));
  index.OnEvents(1, std::vector<CacheEvent>{{5, 30, true}});
  BOOST_TEST(this->CachedOn(index, {10}, 1) == 1U);
  index.OnEvents(1, std::vector<CacheEvent>{{9, 20, false}});
  BOOST_TEST(this->CachedOn(index, {10}, 1) == 0U);
  BOOST_TEST(this->CachedOn(index, {20}, 1) == 0U);
  BOOST_TEST(this->CachedOn(index, {30}, 1) == 1U);
}

// Guards against an index that grows without limit.
BOOST_FIXTURE_TEST_CASE(IndexIsBounded, Fixture) {
  PrefixIndex index(this->clock, 100);
  for (uint64_t block = 0; block < 1000; ++block) {
    this->clock.Advance(absl::Milliseconds(1));
    index.RecordSent(0, std::vector<uint64_t>{block});
    BOOST_REQUIRE(index.Size() <= 100U);
  }
  BOOST_TEST(this->CachedOn(index, {999}, 0) == 1U);
}

// Guards against decisions for engines that are excluded, unusable or unable.
RC_BOOST_PROP(ChoosesOnlyPermittedEngines,
              (std::vector<uint8_t> kinds, uint64_t seed)) {
  ManualClock clock;
  SeededRandom random(seed);
  Router router(clock, random, {.zone = "a"});
  std::vector<uint32_t> excluded;
  std::set<uint32_t> prefill;
  std::set<uint32_t> decode;
  for (size_t i = 0; i < kinds.size(); ++i) {
    auto role = static_cast<EngineRole>(kinds[i] % 3);
    uint32_t engine =
        router.AddEngine(std::to_string(i), kinds[i] % 2 ? "a" : "b", role);
    if (kinds[i] % 5 == 0) {
      excluded.push_back(engine);
    } else if (kinds[i] % 7 == 0) {
      router.SetUsable(engine, false);
    } else {
      if (role != EngineRole::kDecode)
        prefill.insert(engine);
      if (role != EngineRole::kPrefill)
        decode.insert(engine);
    }
  }
  for (uint64_t id = 1; id < 10; ++id) {
    RouteRequest request{.id = id, .prompt_tokens = 500, .excluded = excluded};
    auto decision = router.Choose(request);
    if (!decision)
      continue;
    RC_ASSERT(prefill.contains(decision->engine));
    RC_ASSERT(decode.contains(decision->decode_engine));
    router.OnSent(request, *decision);
  }
}

// Guards against all instances with the same old data choosing the same
// engine.
BOOST_AUTO_TEST_CASE(EqualEnginesShareTheLoad) {
  ManualClock clock;
  std::map<uint32_t, int> chosen;
  for (uint64_t seed = 0; seed < 60; ++seed) {
    SeededRandom random(seed);
    Router router(clock, random, {.zone = "a"});
    for (int i = 0; i < 6; ++i)
      router.AddEngine(std::to_string(i), "a", EngineRole::kMixed);
    ++chosen[router.Choose({.id = 1, .prompt_tokens = 1000})->engine];
  }
  BOOST_TEST(chosen.size() == 6U);
}

// Guards against requests that leave the zone while it can serve them, and
// against requests that stay when it can't.
BOOST_FIXTURE_TEST_CASE(OtherZoneOnlyWhenOwnIsLate, Fixture) {
  uint32_t own = this->router.AddEngine("own", "a", EngineRole::kMixed);
  uint32_t other = this->router.AddEngine("other", "b", EngineRole::kMixed);
  // The other engine would finish earlier.
  this->Report(own, 1000, 100);
  this->Report(other, 0);
  BOOST_TEST(this->router.Choose(this->Request())->engine == own);
  this->Report(own, 60000);
  BOOST_TEST(this->router.Choose(this->Request())->engine == other);
}

// Guards against a cached prefix that is not used, and against a popular
// prefix that makes its engine a hot spot.
BOOST_FIXTURE_TEST_CASE(CachedPrefixIsUsedWithinBounds, Fixture) {
  std::vector<uint64_t> blocks{1, 2, 3, 4};
  uint32_t engines[2] = {this->router.AddEngine("x", "a", EngineRole::kMixed),
                         this->router.AddEngine("y", "a", EngineRole::kMixed)};
  RouteRequest request = this->Request(4500);
  request.blocks = blocks;
  auto first = this->router.Choose(request);
  this->router.OnSent(request, *first);
  this->router.OnFirstToken(request.id);
  this->router.OnFinished(request.id, AttemptEnd::kCompleted);
  this->clock.Advance(absl::Seconds(2));
  this->Report(engines[0], 0);
  this->Report(engines[1], 0);
  std::map<uint32_t, int> chosen;
  for (int i = 0; i < 20; ++i) {
    request = this->Request(4500);
    request.blocks = blocks;
    auto decision = this->router.Choose(request);
    if (i == 0) {
      BOOST_TEST(decision->engine == first->engine);
      BOOST_TEST(decision->cached_blocks == 4U);
    }
    ++chosen[decision->engine];
    this->router.OnSent(request, *decision);
  }
  BOOST_TEST(chosen.size() == 2U);
}

// Guards against savings that draw requests to an engine with a backlog far
// above the others'.
BOOST_FIXTURE_TEST_CASE(CachedPrefixDoesNotCountOnOverloadedEngine, Fixture) {
  uint32_t holder = this->router.AddEngine("x", "a", EngineRole::kMixed);
  this->router.AddEngine("y", "a", EngineRole::kMixed);
  this->router.AddEngine("z", "a", EngineRole::kMixed);
  std::vector<uint64_t> blocks;
  std::vector<CacheEvent> events;
  for (uint64_t block = 1; block <= 20; ++block) {
    blocks.push_back(block);
    events.push_back({block, block, true});
  }
  this->router.OnCacheEvents(holder, events);
  this->Report(holder, 13000);
  RouteRequest request = this->Request(20500);
  request.first_token_by = absl::InfiniteFuture();
  request.blocks = blocks;
  BOOST_TEST(this->router.Choose(request)->engine != holder);
}

// Guards against slowed engines that go unnoticed until the reports show them.
BOOST_FIXTURE_TEST_CASE(SlowedEngineIsAvoided, Fixture) {
  std::vector<uint32_t> engines;
  engines.reserve(4);
  for (int i = 0; i < 4; ++i) {
    engines.push_back(
        this->router.AddEngine(std::to_string(i), "a", EngineRole::kMixed));
  }
  for (int round = 0; round < 40; ++round) {
    RouteRequest request = this->Request(3000);
    auto decision = this->router.Choose(request);
    this->router.OnSent(request, *decision);
    bool slow = decision->engine == engines[2];
    this->clock.Advance(absl::Seconds(slow ? 1.5 : 0.3));
    this->router.OnFirstToken(request.id);
    for (int i = 0; i < 32; ++i) {
      this->clock.Advance(absl::Milliseconds(slow ? 60 : 12));
      this->router.OnTokens(request.id, 1);
    }
    this->router.OnFinished(request.id, AttemptEnd::kCompleted);
    for (uint32_t engine : engines)
      this->Report(engine, 0);
  }
  BOOST_TEST(this->router.SlowdownOf(engines[0]) == 1);
  // Avoided for some seconds, then tried again; judged slow when last tried.
  RouteRequest probe = this->Request(3000);
  std::vector<uint32_t> others{engines[0], engines[1], engines[3]};
  probe.excluded = others;
  for (int i = 0; i < 4; ++i) {
    auto decision = this->router.Choose(probe);
    this->router.OnSent(probe, *decision);
    this->clock.Advance(absl::Seconds(1.5));
    this->router.OnFirstToken(probe.id);
    this->router.OnFinished(probe.id, AttemptEnd::kCompleted);
    probe.id = this->next_id++;
  }
  BOOST_TEST(this->router.SlowdownOf(engines[2]) > 1.25);
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(this->router.Choose(this->Request())->engine != engines[2]);
}

// Guards against a suspect that shares an engine with other requests.
BOOST_FIXTURE_TEST_CASE(SuspectRunsAlone, Fixture) {
  uint32_t x = this->router.AddEngine("x", "a", EngineRole::kMixed);
  uint32_t y = this->router.AddEngine("y", "a", EngineRole::kMixed);
  this->Report(x, 0, 5);
  this->Report(y, 0, 0);
  RouteRequest suspect = this->Request();
  suspect.alone = true;
  auto decision = this->router.Choose(suspect);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST(decision->engine == y);
  this->router.OnSent(suspect, *decision);
  for (int i = 0; i < 10; ++i)
    BOOST_TEST(this->router.Choose(this->Request())->engine == x);
  RouteRequest second = this->Request();
  second.alone = true;
  BOOST_TEST(!this->router.Choose(second).has_value());
  this->router.OnFinished(suspect.id, AttemptEnd::kCompleted);
  BOOST_TEST(this->router.Choose(this->Request()).has_value());
}

// Guards against a prefill engine whose stream has nowhere to go, and against
// a handover to an engine that became unusable.
BOOST_FIXTURE_TEST_CASE(DecodeEngineIsReplacedWhenItLeaves, Fixture) {
  uint32_t p = this->router.AddEngine("p", "a", EngineRole::kPrefill);
  BOOST_TEST(!this->router.Choose(this->Request()).has_value());
  uint32_t d = this->router.AddEngine("d", "a", EngineRole::kDecode);
  RouteRequest request = this->Request();
  auto decision = this->router.Choose(request);
  BOOST_TEST(decision->engine == p);
  BOOST_TEST(decision->decode_engine == d);
  this->router.OnSent(request, *decision);
  uint32_t e = this->router.AddEngine("e", "a", EngineRole::kDecode);
  this->router.SetUsable(d, false);
  BOOST_TEST(*this->router.ChooseDecode(request.id) == e);
}

}  // namespace
}  // namespace cranberryhill
