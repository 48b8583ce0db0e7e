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

// Guards against sending new requests to a replica that is leaving.
BOOST_FIXTURE_TEST_CASE(leaving_replica_gets_no_request, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  ReplicaEntry leaving = MakeEntry("y");
  leaving.leaving = true;
  this->replicas.Apply(leaving);
  BOOST_TEST((this->Usable() == Ids{"x"}));
  this->replicas.Remove("x");
  BOOST_TEST((this->Usable() == Ids{"x"}));
}

// Guards against a replica that has left and returns with an older copy of the
// registry, and against one that is never used again.
BOOST_FIXTURE_TEST_CASE(older_copy_does_not_bring_a_left_replica_back,
                        Fixture) {
  ReplicaEntry leaving = MakeEntry("leaving");
  leaving.leaving = true;
  for (const ReplicaEntry& entry :
       {MakeEntry("x"), leaving, MakeEntry("removed")})
    this->replicas.Apply(entry);
  this->replicas.Remove("removed");
  this->replicas.ResetAfterRestore(
      {MakeEntry("x"), MakeEntry("leaving"), MakeEntry("removed")});
  BOOST_TEST((this->Usable() == Ids{"x"}));
  this->replicas.Apply(MakeEntry("removed"));
  BOOST_TEST((this->Usable() == Ids{"removed", "x"}));
  this->clock.Advance(absl::Seconds(5));
  this->replicas.SettleAfterRestore();
  BOOST_TEST((this->Usable() == Ids{"leaving", "removed", "x"}));
}

// Guards against a replica that leaves after the restore and goes on being used
// because what was known before goes first.
BOOST_FIXTURE_TEST_CASE(replica_that_leaves_after_a_restore_gets_no_request,
                        Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->replicas.Apply(MakeEntry("y"));
  ReplicaEntry leaving = MakeEntry("y");
  leaving.leaving = true;
  this->replicas.ResetAfterRestore({MakeEntry("x"), leaving});
  BOOST_TEST((this->Usable() == Ids{"x"}));
}

// Guards against refusing requests because an older copy of the registry lacks
// replicas, and against using one that does not return.
BOOST_FIXTURE_TEST_CASE(entry_that_a_restore_lost_is_used_until_it_returns,
                        Fixture) {
  for (const char* id : {"x", "y", "z"})
    this->replicas.Apply(MakeEntry(id));
  this->replicas.ResetAfterRestore({MakeEntry("x")});
  BOOST_TEST((this->Usable() == Ids{"x", "y", "z"}));
  this->replicas.Apply(MakeEntry("y"));
  this->clock.Advance(absl::Milliseconds(2100));
  this->replicas.SettleAfterRestore();
  BOOST_TEST((this->Usable() == Ids{"x", "y"}));
}

// Guards against refusing all requests while registry entries expire, and
// against using a replica for longer than a second after its removal.
BOOST_FIXTURE_TEST_CASE(removed_replica_is_used_briefly_as_last_resort,
                        Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->replicas.Apply(MakeEntry("y"));
  this->replicas.Remove("x");
  BOOST_TEST((this->Usable() == Ids{"y"}));
  this->replicas.Remove("y");
  BOOST_TEST((this->Usable() == Ids{"x", "y"}));
  this->clock.Advance(absl::Milliseconds(1001));
  BOOST_TEST(this->Usable().empty());
}

// Guards against opening more connections than this instance's share: the
// replica would refuse connections of other instances.
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

// Guards against an interruption of service when the store comes back without
// the entries that expired during its outage; they are written again within 2
// s.
BOOST_FIXTURE_TEST_CASE(expired_entries_are_used_until_they_return, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->clock.Advance(absl::Seconds(60));
  this->replicas.OnRegistryReconnected();
  this->replicas.Reset({});
  this->clock.Advance(absl::Milliseconds(1900));
  BOOST_TEST((this->Usable() == Ids{"x"}));
  this->clock.Advance(absl::Milliseconds(200));
  BOOST_TEST(this->Usable().empty());
}

// Guards against keeping the cache estimate of a process that has been
// restarted under the same id.
BOOST_FIXTURE_TEST_CASE(restarted_replica_has_no_cached_prefixes, Fixture) {
  ReplicaEntry entry = MakeEntry("x");
  entry.started_ms = 1;
  this->replicas.Apply(entry);
  this->replicas.Find("x")->prefix_cache.RecordPrompt(MakePrompt(5, 1000, 10),
                                                      this->clock.Now());
  entry.started_ms = 2;
  this->replicas.Apply(entry);
  BOOST_TEST(this->replicas.Find("x")->prefix_cache.CachedTokens(
                 MakePrompt(5, 1000, 10)) == 0U);
}

// Guards against sending requests to an address that a process of another
// service has taken over, before the registry shows the change.
BOOST_FIXTURE_TEST_CASE(wrong_instance_gets_no_further_requests, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->replicas.Apply(MakeEntry("y"));
  this->replicas.OnWrongInstance(*this->replicas.Find("x"));
  BOOST_TEST((this->Usable() == Ids{"y"}));
  this->replicas.Apply(MakeEntry("x"));
  BOOST_TEST((this->Usable() == Ids{"x", "y"}));
}

// Guards against sending all requests to an engine that rejects them while it
// changes its role, and against excluding the engine for ever when no further
// notice arrives.
BOOST_FIXTURE_TEST_CASE(replica_changing_its_role_is_used_as_last_resort,
                        Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  this->replicas.Apply(MakeEntry("y"));
  this->replicas.OnRoleChanging("x");
  BOOST_TEST((this->Usable() == Ids{"y"}));
  this->replicas.OnRoleChanging("y");
  BOOST_TEST(this->Usable().size() == 2U);
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(this->Usable().size() == 2U);
}

// Guards against avoiding a replica because of one broken connection, and
// against using one that keeps failing.
BOOST_FIXTURE_TEST_CASE(consecutive_failures_extend_the_avoidance, Fixture) {
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

// Guards against repeated connection attempts to a replica that has crashed and
// is still registered.
BOOST_FIXTURE_TEST_CASE(unreachable_replica_is_avoided_at_once, Fixture) {
  this->replicas.Apply(MakeEntry("x"));
  Replica& replica = *this->replicas.Find("x");
  this->replicas.OnUnreachable(replica);
  BOOST_TEST((replica.avoid_until > this->clock.Now()));
}

// Guards against the assumption that every prompt sent is still cached: engines
// evict the least recently used parts.
BOOST_AUTO_TEST_CASE(cache_estimate_evicts_the_least_recently_used_part) {
  ManualClock clock;
  PrefixCacheEstimate cache(2500);
  for (uint64_t part : {1, 2}) {
    cache.RecordPrompt(MakePrompt(part, 1000, 10), clock.Now());
    clock.Advance(absl::Seconds(1));
  }
  cache.RecordPrompt(MakePrompt(1, 1000, 10), clock.Now());
  clock.Advance(absl::Seconds(1));
  cache.RecordPrompt(MakePrompt(3, 1000, 10), clock.Now());
  BOOST_TEST(cache.CachedTokens(MakePrompt(1, 1000, 10)) == 1000U);
  BOOST_TEST(cache.CachedTokens(MakePrompt(2, 1000, 10)) == 0U);
  BOOST_TEST(cache.CachedTokens(MakePrompt(3, 1000, 10)) == 1000U);
}

// Guards against counting a cached part when a part before it is not cached.
BOOST_AUTO_TEST_CASE(cached_parts_count_up_to_the_first_missing_part) {
  ManualClock clock;
  PrefixCacheEstimate cache(10000);
  PromptDescription prompt;
  prompt.parts = {{1, 100}, {2, 200}, {3, 50}};
  cache.RecordParts(std::vector<PromptPart>{{2, 200}}, clock.Now());
  BOOST_TEST(cache.CachedTokens(prompt) == 0U);
  cache.RecordParts(std::vector<PromptPart>{{1, 100}}, clock.Now());
  BOOST_TEST(cache.CachedTokens(prompt) == 300U);
}

}  // namespace
}  // namespace cranberryhill::forward
