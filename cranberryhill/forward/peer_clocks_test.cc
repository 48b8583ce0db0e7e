#include "cranberryhill/forward/peer_clocks.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::forward {
namespace {

constexpr uint64_t kPeer = 7;
constexpr absl::Duration kPeerAhead = absl::Hours(5);

// Guards against times that are shifted because a message was read late.
BOOST_AUTO_TEST_CASE(late_message_keeps_its_time) {
  ManualClock clock;
  PeerClocks clocks(clock);
  clocks.OwnTime(kPeer, clock.Now() + kPeerAhead);
  clock.Advance(absl::Seconds(1));
  absl::Time sent = clock.Now();
  clock.Advance(absl::Seconds(5));
  absl::Duration error = clocks.OwnTime(kPeer, sent + kPeerAhead) - sent;
  BOOST_TEST((error >= absl::ZeroDuration()));
  BOOST_TEST((error <= absl::Milliseconds(100)));
}

// Guards against an offset that grows wrong as the clocks run at different
// rates.
BOOST_AUTO_TEST_CASE(slower_clock_of_a_peer_is_followed) {
  ManualClock clock;
  PeerClocks clocks(clock);
  constexpr double kRate = 0.995;
  absl::Time start = clock.Now();
  for (int i = 0; i < 3600; ++i) {
    clock.Advance(absl::Seconds(1));
    absl::Time by_peer = start + (clock.Now() - start) * kRate;
    absl::Duration error = clock.Now() - clocks.OwnTime(kPeer, by_peer);
    BOOST_REQUIRE((error <= absl::Milliseconds(20)));
  }
}

}  // namespace
}  // namespace cranberryhill::forward
