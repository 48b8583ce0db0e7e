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

struct RouterFixture {
  ManualClock clock;
  SeededRandom random{7};
  Router router{clock, random, {.zone = "a"}};
  uint64_t next_id = 1;

  RouteRequest MakeRequest(uint32_t tokens = 2000) {
    return {.id = this->next_id++,
            .prompt_tokens = tokens,
            .output = {.mean = 100, .high = 200},
            .first_token_by = this->clock.Now() + absl::Seconds(1.1)};
  }

  void ReportLoad(uint32_t engine, double tokens, uint32_t running = 0) {
    this->router.OnLoadReport(engine, {.measured_at = this->clock.Now(),
                                       .running = running,
                                       .prefill_tokens = tokens});
  }

  uint32_t CachedBlocksOn(PrefixIndex& index,
                          const std::vector<uint64_t>& blocks,
                          uint32_t engine) {
    uint32_t found = 0;
    index.VisitHolders(blocks, [&](uint32_t holder, uint32_t cached_blocks) {
      if (holder == engine)
        found = cached_blocks;
    });
    return found;
  }
};

// Guards against block hashes that depend on the text after the block. Shared
// prefixes would then not be found.
BOOST_AUTO_TEST_CASE(EqualPrefixesHaveEqualHashes) {
  std::string shared_prefix(8000, 'x');
  auto a = HashBlocks(shared_prefix + std::string(4000, 'a'), 3000);
  auto b = HashBlocks(shared_prefix + std::string(9000, 'b'), 4250);
  BOOST_REQUIRE(a.size() == 3U);
  BOOST_TEST(a[1] == b[1]);
  BOOST_TEST(a[2] != b[2]);
}

// Guards against counting blocks that follow a block which is not cached.
BOOST_FIXTURE_TEST_CASE(MatchCountsLeadingBlocksOnly, RouterFixture) {
  PrefixIndex index(this->clock);
  index.RecordSent(1, std::vector<uint64_t>{10, 11, 13});
  BOOST_TEST(this->CachedBlocksOn(index, {10, 11, 12, 13}, 1) == 2U);
}

// Guards against an index that discards its entries at every lost event, and
// against one that keeps entries older than an evicted block.
BOOST_FIXTURE_TEST_CASE(EvictionInvalidatesOlderBlocks, RouterFixture) {
  PrefixIndex index(this->clock);
  index.OnCacheEvents(1, std::vector<CacheEvent>{{1, 10, true}});
  this->clock.Advance(absl::Seconds(1));
  index.OnCacheEvents(1, std::vector<CacheEvent>{{2, 20, true}});
  this->clock.Advance(absl::Seconds(1));
  index.OnCacheEvents(1, std::vector<CacheEvent>{{5, 30, true}});
  BOOST_TEST(this->CachedBlocksOn(index, {10}, 1) == 1U);
  index.OnCacheEvents(1, std::vector<CacheEvent>{{9, 20, false}});
  BOOST_TEST(this->CachedBlocksOn(index, {10}, 1) == 0U);
  BOOST_TEST(this->CachedBlocksOn(index, {20}, 1) == 0U);
  BOOST_TEST(this->CachedBlocksOn(index, {30}, 1) == 1U);
}

// Guards against an index that exceeds its limit on the number of blocks.
BOOST_FIXTURE_TEST_CASE(NumberOfBlocksIsLimited, RouterFixture) {
  PrefixIndex index(this->clock, 100);
  for (uint64_t block = 0; block < 1000; ++block) {
    this->clock.Advance(absl::Milliseconds(1));
    index.RecordSent(0, std::vector<uint64_t>{block});
    BOOST_REQUIRE(index.Size() <= 100U);
  }
  BOOST_TEST(this->CachedBlocksOn(index, {999}, 0) == 1U);
}

// Guards against decisions for engines that are excluded or not usable, or
// whose role does not permit the work.
RC_BOOST_PROP(ChoosesOnlyPermittedEngines,
              (std::vector<uint8_t> engine_kinds, uint64_t seed)) {
  ManualClock clock;
  SeededRandom random(seed);
  Router router(clock, random, {.zone = "a"});
  std::vector<uint32_t> excluded;
  std::set<uint32_t> prefill;
  std::set<uint32_t> decode;
  for (size_t i = 0; i < engine_kinds.size(); ++i) {
    auto role = static_cast<EngineRole>(engine_kinds[i] % 3);
    uint32_t engine = router.AddEngine(std::to_string(i),
                                       engine_kinds[i] % 2 ? "a" : "b", role);
    if (engine_kinds[i] % 5 == 0) {
      excluded.push_back(engine);
    } else if (engine_kinds[i] % 7 == 0) {
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

// Guards against instances that all choose the same engine because they have
// the same outdated load data.
BOOST_AUTO_TEST_CASE(EachOfEqualEnginesIsChosen) {
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

// Guards against sending a request to another zone while its own zone can serve
// it in time, and against keeping it in its zone when the zone cannot.
BOOST_FIXTURE_TEST_CASE(OtherZoneIsChosenOnlyWhenOwnZoneIsLate, RouterFixture) {
  uint32_t own = this->router.AddEngine("own", "a", EngineRole::kMixed);
  uint32_t other = this->router.AddEngine("other", "b", EngineRole::kMixed);
  // The engine in the other zone is idle and would finish the request earlier.
  this->ReportLoad(own, 1000, 100);
  this->ReportLoad(other, 0);
  BOOST_TEST(this->router.Choose(this->MakeRequest())->engine == own);
  this->ReportLoad(own, 60000);
  BOOST_TEST(this->router.Choose(this->MakeRequest())->engine == other);
}

// Guards against ignoring a cached prefix, and against overloading the one
// engine that holds a popular prefix.
BOOST_FIXTURE_TEST_CASE(CachedPrefixIsUsedUntilItsEngineIsBusy, RouterFixture) {
  std::vector<uint64_t> blocks{1, 2, 3, 4};
  uint32_t engines[2] = {this->router.AddEngine("x", "a", EngineRole::kMixed),
                         this->router.AddEngine("y", "a", EngineRole::kMixed)};
  RouteRequest request = this->MakeRequest(4500);
  request.blocks = blocks;
  auto first_decision = this->router.Choose(request);
  this->router.OnSent(request, *first_decision);
  this->router.OnFirstToken(request.id);
  this->router.OnFinished(request.id, AttemptEnd::kCompleted);
  this->clock.Advance(absl::Seconds(2));
  this->ReportLoad(engines[0], 0);
  this->ReportLoad(engines[1], 0);
  std::map<uint32_t, int> chosen;
  for (int i = 0; i < 20; ++i) {
    request = this->MakeRequest(4500);
    request.blocks = blocks;
    auto decision = this->router.Choose(request);
    if (i == 0) {
      BOOST_TEST(decision->engine == first_decision->engine);
      BOOST_TEST(decision->cached_blocks == 4U);
    }
    ++chosen[decision->engine];
    this->router.OnSent(request, *decision);
  }
  BOOST_TEST(chosen.size() == 2U);
}

// Guards against a cached prefix that attracts requests to an engine whose
// backlog is far above that of the others.
BOOST_FIXTURE_TEST_CASE(CachedPrefixDoesNotCountOnOverloadedEngine,
                        RouterFixture) {
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
  this->ReportLoad(holder, 13000);
  RouteRequest request = this->MakeRequest(20500);
  request.first_token_by = absl::InfiniteFuture();
  request.blocks = blocks;
  BOOST_TEST(this->router.Choose(request)->engine != holder);
}

// Guards against detecting a slowed engine only by its load reports. The times
// of its requests must show the slowdown although the reports show no backlog.
BOOST_FIXTURE_TEST_CASE(SlowedEngineIsAvoided, RouterFixture) {
  std::vector<uint32_t> engines;
  engines.reserve(4);
  for (int i = 0; i < 4; ++i) {
    engines.push_back(
        this->router.AddEngine(std::to_string(i), "a", EngineRole::kMixed));
  }
  for (int round = 0; round < 40; ++round) {
    RouteRequest request = this->MakeRequest(3000);
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
      this->ReportLoad(engine, 0);
  }
  BOOST_TEST(this->router.SlowdownFactor(engines[0]) == 1);
  // A slow engine is avoided for some seconds and then gets requests again. The
  // following requests can run only on the slow engine, and their times must
  // show that it is still slow.
  RouteRequest probe = this->MakeRequest(3000);
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
  BOOST_TEST(this->router.SlowdownFactor(engines[2]) > 1.25);
  for (int i = 0; i < 20; ++i)
    BOOST_TEST(this->router.Choose(this->MakeRequest())->engine != engines[2]);
}

// Guards against running a request that is suspected of crashing engines on the
// same engine as other requests.
BOOST_FIXTURE_TEST_CASE(SuspectRequestRunsAlone, RouterFixture) {
  uint32_t x = this->router.AddEngine("x", "a", EngineRole::kMixed);
  uint32_t y = this->router.AddEngine("y", "a", EngineRole::kMixed);
  this->ReportLoad(x, 0, 5);
  this->ReportLoad(y, 0, 0);
  RouteRequest suspect = this->MakeRequest();
  suspect.run_alone = true;
  auto decision = this->router.Choose(suspect);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST(decision->engine == y);
  this->router.OnSent(suspect, *decision);
  for (int i = 0; i < 10; ++i)
    BOOST_TEST(this->router.Choose(this->MakeRequest())->engine == x);
  RouteRequest second = this->MakeRequest();
  second.run_alone = true;
  BOOST_TEST(!this->router.Choose(second).has_value());
  this->router.OnFinished(suspect.id, AttemptEnd::kCompleted);
  BOOST_TEST(this->router.Choose(this->MakeRequest()).has_value());
}

// Guards against choosing a prefill engine while no engine can run the decode,
// and against handing a stream over to an engine that has become unusable.
BOOST_FIXTURE_TEST_CASE(UnusableDecodeEngineIsReplaced, RouterFixture) {
  uint32_t p = this->router.AddEngine("p", "a", EngineRole::kPrefill);
  BOOST_TEST(!this->router.Choose(this->MakeRequest()).has_value());
  uint32_t d = this->router.AddEngine("d", "a", EngineRole::kDecode);
  RouteRequest request = this->MakeRequest();
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
