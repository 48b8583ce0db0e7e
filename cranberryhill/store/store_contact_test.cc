#include "cranberryhill/store/store_contact.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::gateway {
namespace {

constexpr size_t kHighRank = 100;

struct Fixture {
  void Start() { this->clock.Advance(absl::Seconds(6)); }

  ManualClock clock;
  StoreContact contact{clock};
};

// Guards against hundreds of instances that all poll the store at their start,
// because none of them knows its peers yet.
BOOST_FIXTURE_TEST_CASE(started_instance_waits_for_its_peers, Fixture) {
  this->contact.OnOwnCall(true);
  this->contact.SetKnownPeers(194);
  this->clock.Advance(absl::Milliseconds(3500));
  BOOST_TEST(!this->contact.MustPoll(0));
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(this->contact.MustPoll(0));
  BOOST_TEST(!this->contact.MustPoll(kHighRank));
}

// Guards against a small fleet that was restarted as a whole and follows no
// change for seconds, because each instance waits for the others to poll.
BOOST_FIXTURE_TEST_CASE(restarted_instance_of_a_small_fleet_polls, Fixture) {
  this->contact.OnOwnCall(true);
  BOOST_TEST(!this->contact.MustPoll(0));
  this->contact.SetKnownPeers(7);
  BOOST_TEST(this->contact.MustPoll(2));
  BOOST_TEST(!this->contact.MustPoll(3));
}

// Guards against an instance that never hears of changes again, because its
// peers are gone or cut off from the store.
BOOST_FIXTURE_TEST_CASE(instance_polls_when_no_peer_is_in_contact, Fixture) {
  this->Start();
  this->contact.OnPeerContact(absl::Milliseconds(200));
  BOOST_TEST(!this->contact.MustPoll(kHighRank));
  this->clock.Advance(absl::Seconds(2));
  BOOST_TEST(!this->contact.MustPoll(kHighRank));
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(this->contact.MustPoll(kHighRank));
  // Word of an old contact does not help; that of a recent one does.
  this->contact.OnPeerContact(absl::Seconds(10));
  BOOST_TEST(this->contact.MustPoll(kHighRank));
  BOOST_TEST(this->contact.OnPeerContact(absl::Milliseconds(100)));
  BOOST_TEST(!this->contact.MustPoll(kHighRank));
}

// Guards against an instance that counts as in contact although its own calls
// fail, so that no other takes over polling.
BOOST_FIXTURE_TEST_CASE(failing_calls_show, Fixture) {
  this->Start();
  this->contact.OnOwnCall(false);
  BOOST_TEST(this->contact.lost());
  this->contact.OnOwnCall(true);
  BOOST_TEST(!this->contact.lost());
}

}  // namespace
}  // namespace cranberryhill::gateway
