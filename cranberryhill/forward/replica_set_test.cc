#include "cranberryhill/forward/replica_set.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

struct Fixture {
  std::vector<std::string> Usable() {
    std::vector<std::string> ids;
    for (const auto& replica : this->replicas.Usable("service"))
      ids.push_back(replica->entry.id);
    std::sort(ids.begin(), ids.end());
    return ids;
  }

  using Ids = std::vector<std::string>;
  ManualClock clock;
  ReplicaSet replicas{clock};
};

// Guards against new requests at a replica that is leaving.
BOOST_FIXTURE_TEST_CASE(leaving_replica_gets_no_request, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  ReplicaEntry leaving = MakeEntry("y");
  leaving.leaving = true;
  this->replicas.Apply(leaving);
  BOOST_TEST((this->Usable() == Ids{"x"}));
  this->replicas.Remove("x");
  BOOST_TEST((this->Usable() == Ids{"x"}));
}

// Guards against refusing everything while entries lapse, and against using
// one for longer than a second after it is gone.
BOOST_FIXTURE_TEST_CASE(removed_replica_is_used_briefly_and_last, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->replicas.Apply(MakeEntry("y"));
  this->replicas.Remove("x");
  BOOST_TEST((this->Usable() == Ids{"y"}));
  this->replicas.Remove("y");
  BOOST_TEST((this->Usable() == Ids{"x", "y"}));
  this->clock.Advance(absl::Milliseconds(1001));
  BOOST_TEST(this->Usable().empty());
}

// Guards against connections beyond what a replica accepts from all instances:
// it would refuse those of the others.
BOOST_FIXTURE_TEST_CASE(replica_with_all_connections_used_is_left_out,
                        Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->replicas.SetConnectionShare("service", 2);
  this->replicas.Apply(MakeEntry("y"));
  this->replicas.Find("x")->outstanding = 2;
  this->replicas.Find("y")->outstanding = 1;
  BOOST_TEST((this->Usable() == Ids{"y"}));
  this->replicas.Find("y")->outstanding = 2;
  BOOST_TEST(this->Usable().empty());
}

// Guards against a gap of service when the store returns without the entries
// that lapsed while it was away: they come back within 2 s.
BOOST_FIXTURE_TEST_CASE(lapsed_entries_are_used_until_they_are_back, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->clock.Advance(absl::Seconds(60));
  this->replicas.OnRegistryRegained();
  this->replicas.Reset({});
  this->clock.Advance(absl::Milliseconds(1900));
  BOOST_TEST((this->Usable() == Ids{"x"}));
  this->clock.Advance(absl::Milliseconds(200));
  BOOST_TEST(this->Usable().empty());
}

// Guards against trusting what a process knew that has started anew under its
// old id.
BOOST_FIXTURE_TEST_CASE(reborn_replica_is_unknown, Fixture) {
  ReplicaEntry entry = MakeEntry("x");
  entry.started_ms = 1;
  this->replicas.Apply(entry);
  this->replicas.Find("x")->cache.Record(MakePrompt(5, 1000, 10),
                                         this->clock.Now());
  entry.started_ms = 2;
  this->replicas.Apply(entry);
  BOOST_TEST(this->replicas.Find("x")->cache.CachedTokens(
                 MakePrompt(5, 1000, 10)) == 0U);
}

// Guards against sending to an address that another service has taken over
// until the registry says so.
BOOST_FIXTURE_TEST_CASE(wrong_instance_is_not_asked_again, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->replicas.Apply(MakeEntry("y"));
  this->replicas.OnWrongInstance(*this->replicas.Find("x"));
  BOOST_TEST((this->Usable() == Ids{"y"}));
  this->replicas.Apply(MakeEntry("x"));
  BOOST_TEST((this->Usable() == Ids{"x", "y"}));
}

// Guards against requests that are all refused while an engine changes its
// role, and against waiting for its news for ever.
BOOST_FIXTURE_TEST_CASE(changing_replica_is_passed_over, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->replicas.Apply(MakeEntry("y"));
  this->replicas.OnChanging("x");
  BOOST_TEST((this->Usable() == Ids{"y"}));
  this->replicas.OnChanging("y");
  BOOST_TEST(this->Usable().size() == 2U);
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(this->Usable().size() == 2U);
}

// Guards against avoiding a replica for one broken connection, and against
// not avoiding one that keeps failing.
BOOST_FIXTURE_TEST_CASE(failures_in_a_row_are_avoided_longer, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  Replica& replica = *this->replicas.Find("x");
  this->replicas.OnFailure(replica);
  BOOST_TEST((replica.avoid_until <= this->clock.Now()));
  this->replicas.OnFailure(replica);
  absl::Duration first = replica.avoid_until - this->clock.Now();
  BOOST_TEST(first > absl::ZeroDuration());
  this->replicas.OnFailure(replica);
  BOOST_TEST(replica.avoid_until - this->clock.Now() > first);
  this->replicas.OnSuccess(replica);
  BOOST_TEST((replica.avoid_until <= this->clock.Now()));
}

// Guards against one connection attempt after the other to a replica that has
// crashed and is still listed.
BOOST_FIXTURE_TEST_CASE(unreachable_replica_is_avoided_at_once, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  Replica& replica = *this->replicas.Find("x");
  this->replicas.OnUnreachable(replica);
  BOOST_TEST((replica.avoid_until > this->clock.Now()));
}

// Guards against a belief that everything sent is still cached: engines drop
// the parts that were not used for longest.
BOOST_AUTO_TEST_CASE(cache_forgets_the_least_recently_used_part) {
  ManualClock clock;
  PromptCache cache(2500);
  for (uint64_t part : {1, 2}) {
    cache.Record(MakePrompt(part, 1000, 10), clock.Now());
    clock.Advance(absl::Seconds(1));
  }
  cache.Record(MakePrompt(1, 1000, 10), clock.Now());
  clock.Advance(absl::Seconds(1));
  cache.Record(MakePrompt(3, 1000, 10), clock.Now());
  BOOST_TEST(cache.CachedTokens(MakePrompt(1, 1000, 10)) == 1000U);
  BOOST_TEST(cache.CachedTokens(MakePrompt(2, 1000, 10)) == 0U);
  BOOST_TEST(cache.CachedTokens(MakePrompt(3, 1000, 10)) == 1000U);
}

// Guards against counting a cached part whose predecessors are not cached.
BOOST_AUTO_TEST_CASE(cached_parts_count_up_to_the_first_gap) {
  ManualClock clock;
  PromptCache cache(10000);
  PromptShape shape;
  shape.parts = {{1, 100}, {2, 200}, {3, 50}};
  cache.RecordParts(std::vector<PromptPart>{{2, 200}}, clock.Now());
  BOOST_TEST(cache.CachedTokens(shape) == 0U);
  cache.RecordParts(std::vector<PromptPart>{{1, 100}}, clock.Now());
  BOOST_TEST(cache.CachedTokens(shape) == 300U);
}

}  // namespace
}  // namespace cranberryhill::forward
