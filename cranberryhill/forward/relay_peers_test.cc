#include "cranberryhill/forward/relay_peers.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "cranberryhill/base/clock.h"

namespace cranberryhill::forward {
namespace {

using Names = std::vector<std::string>;

struct Fixture {
  std::string Choose(uint64_t random_value = 0, const Names& excluded = {}) {
    return this->peers.Choose("lm", excluded, random_value).value_or("none");
  }

  ManualClock clock;
  RelayPeers peers{"a", clock};
};

// Guards against requests that cross zones although a near peer could serve
// them.
BOOST_FIXTURE_TEST_CASE(relay_stays_in_its_zone, Fixture) {
  this->peers.OnMessage("entry-b", "b", {});
  BOOST_TEST(this->Choose() == "entry-b");
  this->peers.OnMessage("entry-a", "a", {});
  for (uint64_t value = 0; value < 4; ++value)
    BOOST_TEST(this->Choose(value) == "entry-a");
  const Names excluded{"entry-a"};
  BOOST_TEST(this->Choose(0, excluded) == "entry-b");
}

// Guards against requests that are sent to peers that cannot serve them.
BOOST_FIXTURE_TEST_CASE(relay_avoids_peers_that_are_cut_off, Fixture) {
  this->peers.OnMessage("entry-1", "a", {"desk", "lm"});
  BOOST_TEST(this->Choose() == "none");
  this->peers.OnMessage("entry-2", "b", {"desk"});
  BOOST_TEST(this->Choose() == "entry-2");
  this->peers.OnMessage("entry-1", "a", {});
  BOOST_TEST(this->Choose() == "entry-1");
}

// Guards against requests that are sent to peers that are gone.
BOOST_FIXTURE_TEST_CASE(relay_avoids_silent_and_unreachable_peers, Fixture) {
  this->peers.OnMessage("entry-1", "a", {});
  this->peers.OnMessage("entry-2", "a", {});
  this->peers.OnUnreachable("entry-1");
  for (uint64_t value = 0; value < 4; ++value)
    BOOST_TEST(this->Choose(value) == "entry-2");
  this->clock.Advance(absl::Milliseconds(2100));
  BOOST_TEST(this->Choose() == "none");
  this->peers.OnMessage("entry-1", "a", {});
  BOOST_TEST(this->Choose() == "entry-1");
}

// Guards against one peer that gets everything.
BOOST_FIXTURE_TEST_CASE(relay_spreads_requests, Fixture) {
  for (std::string_view name : {"entry-1", "entry-2", "entry-3"})
    this->peers.OnMessage(name, "a", {});
  BOOST_TEST(this->Choose(0) != this->Choose(1));
  this->peers.OnRelayed("entry-1");
  this->peers.OnRelayed("entry-3");
  for (uint64_t value = 0; value < 4; ++value)
    BOOST_TEST(this->Choose(value) == "entry-2");
  this->peers.OnRelayEnded("entry-3");
  this->peers.OnRelayed("entry-2");
  BOOST_TEST(this->Choose() == "entry-3");
}

}  // namespace
}  // namespace cranberryhill::forward
