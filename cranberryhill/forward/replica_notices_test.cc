#include "cranberryhill/forward/replica_notices.h"

#include <boost/test/unit_test.hpp>

#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

struct Fixture {
  Fixture() { this->replicas.Apply(this->EntryStartedAt(1)); }

  ReplicaEntry EntryStartedAt(int64_t started_ms) {
    ReplicaEntry entry = MakeEntry("r1");
    entry.started_ms = started_ms;
    return entry;
  }

  Replica& TheReplica() { return *this->replicas.Find("r1"); }
  bool IsUsable() { return !this->replicas.Usable("service").empty(); }

  ManualClock clock;
  SeededRandom random{3};
  ReplicaSet replicas{clock};
  ReplicaNotices notices{clock, random};
};

// Guards against requests to a replica that has said that it is leaving, while
// the registry still lists it as ready.
BOOST_FIXTURE_TEST_CASE(leaving_replica_is_not_usable, Fixture) {
  BOOST_TEST(this->notices.OnLeaving(this->TheReplica()));
  BOOST_TEST(!this->notices.OnLeaving(this->TheReplica()));
  BOOST_TEST(!this->IsUsable());
  // The replica writes its entry again, as each second.
  this->replicas.Apply(this->EntryStartedAt(1));
  this->clock.Advance(absl::Minutes(1));
  BOOST_TEST(!this->IsUsable());
  BOOST_TEST(this->replicas.Members("service").empty());
}

// Guards against a new process at the same address that is taken for the one
// that was leaving, also by a late report of a peer.
BOOST_FIXTURE_TEST_CASE(new_process_is_not_leaving, Fixture) {
  this->notices.OnLeaving(this->TheReplica());
  this->replicas.Apply(this->EntryStartedAt(2));
  BOOST_TEST(this->IsUsable());
  BOOST_TEST(!this->notices.MergeLeaving(this->TheReplica(),
                                         {"r1", 1, absl::Seconds(1)}));
  BOOST_TEST(this->IsUsable());
  BOOST_TEST(this->notices.MergeLeaving(this->TheReplica(),
                                        {"r1", 2, absl::Seconds(1)}));
  BOOST_TEST(!this->IsUsable());
}

// Guards against reports that travel in circles and never end.
BOOST_FIXTURE_TEST_CASE(only_own_answers_are_reported, Fixture) {
  auto reports = [this] {
    return this->notices.OwnReports(this->replicas.Registered());
  };
  this->notices.MergeLeaving(this->TheReplica(), {"r1", 1, absl::Seconds(3)});
  BOOST_TEST(reports().empty());
  this->notices.OnLeaving(this->TheReplica());
  this->clock.Advance(absl::Seconds(2));
  BOOST_REQUIRE(reports().size() == 1U);
  BOOST_TEST((reports()[0].age == absl::Seconds(2)));
  BOOST_TEST(reports()[0].started_ms == 1);
}

// Guards against a replica that gets no requests for good, because it was told
// to stay after it had said that it was leaving.
BOOST_FIXTURE_TEST_CASE(replica_that_stays_is_asked_again, Fixture) {
  this->notices.OnLeaving(this->TheReplica());
  this->clock.Advance(absl::Minutes(11));
  auto ended = this->notices.EndExpired(this->replicas.Registered());
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST(ended[0].was_leaving);
  BOOST_TEST(this->IsUsable());
}

// Guards against requests before the time that a replica has named, and against
// a later answer with a shorter time that opens it early.
BOOST_FIXTURE_TEST_CASE(closed_replica_opens_after_the_longest_time, Fixture) {
  BOOST_TEST(this->notices.OnTurnedAway(this->TheReplica(), absl::Seconds(4)));
  BOOST_TEST(!this->notices.OnTurnedAway(this->TheReplica(), absl::Seconds(1)));
  this->clock.Advance(absl::Milliseconds(3999));
  BOOST_TEST(!this->IsUsable());
  BOOST_TEST(this->notices.EndExpired(this->replicas.Registered()).empty());
  this->clock.Advance(absl::Milliseconds(1001));
  BOOST_TEST(this->IsUsable());
  auto ended = this->notices.EndExpired(this->replicas.Registered());
  BOOST_REQUIRE(ended.size() == 1U);
  BOOST_TEST(!ended[0].was_leaving);
  BOOST_TEST(this->notices.EndExpired(this->replicas.Registered()).empty());
}

// Guards against a replica that fails again, because all that waited for it
// arrives when it opens.
BOOST_FIXTURE_TEST_CASE(opened_replica_gets_few_requests_at_first, Fixture) {
  this->notices.OnTurnedAway(this->TheReplica(), absl::Milliseconds(200));
  this->clock.Set(this->TheReplica().closed_until);
  BOOST_TEST(this->IsUsable());
  this->TheReplica().outstanding = 1;
  BOOST_TEST(!this->IsUsable());
  this->clock.Advance(absl::Milliseconds(250));
  BOOST_TEST(this->IsUsable());
  this->TheReplica().outstanding = 100;
  BOOST_TEST(!this->IsUsable());
  this->clock.Advance(absl::Seconds(2));
  BOOST_TEST(this->IsUsable());
}

// Guards against a time to come back that begins anew after the instance was
// suspended.
BOOST_FIXTURE_TEST_CASE(time_of_a_suspension_counts, Fixture) {
  this->notices.OnTurnedAway(this->TheReplica(), absl::Seconds(4));
  this->clock.Advance(absl::Seconds(9));
  BOOST_TEST(this->IsUsable());
}

}  // namespace
}  // namespace cranberryhill::forward
