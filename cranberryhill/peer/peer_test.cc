#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <set>

#include "cranberryhill/peer/peer_exchange.h"

namespace cranberryhill {
namespace {

std::vector<PeerCandidate> Instances(int zones, int per_zone) {
  std::vector<PeerCandidate> instances;
  for (int zone = 0; zone < zones; ++zone) {
    for (int i = 0; i < per_zone; ++i) {
      instances.push_back({"i" + std::to_string(zone) + "-" + std::to_string(i),
                           "z" + std::to_string(zone)});
    }
  }
  return instances;
}

PeerMessage FullMessage() {
  PeerMessage message;
  message.environment = "annex";
  message.digest = "0123456789abcdef0123456789abcdef";
  message.generation = UINT64_MAX;
  message.plan_version = UINT64_MAX;
  message.plan_age = absl::Seconds(3);
  for (uint8_t i = 0; i < 40; ++i) {
    message.fingerprints.push_back({UINT64_MAX - i, 2});
    message.observations.push_back({UINT64_MAX - i, 3, 255});
    message.usage.push_back({UINT32_MAX - i, 1e6F, 1e6F});
  }
  return message;
}

// Guards against control traffic above 2,000 B/s with the largest messages and
// any number of instances.
RC_BOOST_PROP(TrafficStaysWithinItsBudget, ()) {
  ManualClock clock(absl::UnixEpoch() + absl::Hours(1));
  PeerExchange exchange({"annex", "i0-0", "z0", 1}, {}, clock);
  exchange.SetKnown(
      Instances(*rc::gen::inRange(1, 12), *rc::gen::inRange(1, 35)));
  size_t bytes = 0;
  for (int tick = 0; tick < 100; ++tick) {
    clock.Advance(absl::Milliseconds(100));
    for (const std::string& peer : exchange.Due()) {
      std::string message = exchange.Next(peer, FullMessage());
      RC_ASSERT(message.size() <= kMaxPeerMessageBytes);
      bytes += message.size();
    }
  }
  // 10 s at the budget, and the burst that a full bucket allows.
  RC_ASSERT(bytes <= 11 * 2000U);
}

// Guards against a message that changes on its way or drops what is urgent.
BOOST_AUTO_TEST_CASE(FullMessageKeepsFingerprints) {
  ManualClock clock;
  PeerExchange exchange({"annex", "i0-0", "z0", 7}, {}, clock);
  std::string bytes = exchange.Next("i0-1", FullMessage());
  auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST(decoded.value().fingerprints.size() == kMaxPeerEntries);
  BOOST_TEST(
      (decoded.value().fingerprints[0] == FullMessage().fingerprints[0]));
  BOOST_TEST(decoded.value().incarnation == 7U);
  BOOST_TEST((decoded.value().plan_age == absl::Seconds(3)));
}

// Guards against damaged or foreign bytes that stop the process or are used.
RC_BOOST_PROP(DamagedMessagesAreRefusedOrStayInRange, ()) {
  ManualClock clock;
  PeerExchange exchange({"annex", "i0-0", "z0", 7}, {}, clock);
  std::string bytes = exchange.Next("i0-1", FullMessage());
  int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    auto at = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
  auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
  if (decoded.ok()) {
    RC_ASSERT(decoded.value().fingerprints.size() <= kMaxPeerEntries);
    for (const PeerObservation& entry : decoded.value().observations)
      RC_ASSERT(entry.state <= 3);
  }
}

// Guards against messages from before a restart, repeated messages and
// messages of strangers.
BOOST_AUTO_TEST_CASE(OldAndForeignMessagesAreNotBelieved) {
  ManualClock clock;
  PeerExchange exchange({"annex", "i0-0", "z0", 1}, {}, clock);
  exchange.SetKnown(Instances(2, 2));
  PeerMessage message;
  message.environment = "annex";
  message.sender = "i0-1";
  message.availability_zone = "z0";
  message.incarnation = 5;
  message.sequence = 9;
  BOOST_TEST((exchange.Accept(message) == PeerVerdict::kAccepted));
  BOOST_TEST((exchange.Accept(message) == PeerVerdict::kOldSequence));
  message.incarnation = 4;
  message.sequence = 10;
  BOOST_TEST((exchange.Accept(message) == PeerVerdict::kOldIncarnation));
  message.incarnation = 6;
  message.sequence = 1;
  BOOST_TEST((exchange.Accept(message) == PeerVerdict::kAccepted));
  message.sequence = 2;
  message.availability_zone = "z1";
  BOOST_TEST((exchange.Accept(message) == PeerVerdict::kWrongZone));
  message.sender = "stranger";
  BOOST_TEST((exchange.Accept(message) == PeerVerdict::kUnknownInstance));
  message.environment = "other";
  BOOST_TEST((exchange.Accept(message) == PeerVerdict::kWrongEnvironment));
}

// Guards against rates that lose a tenth each time they are sent.
BOOST_AUTO_TEST_CASE(RatesInTenthsAreKept) {
  PeerMessage message;
  message.environment = message.sender = message.availability_zone = "x";
  message.usage = {{1, 0.7F, 1.3F}, {2, 1e30F, 0}};
  std::string bytes = EncodePeerMessage(message);
  auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST((decoded.value().usage[0] == message.usage[0]));
  BOOST_TEST(decoded.value().usage[1].requests_per_s == 1677721.5F);
}

// Guards against instances that no message ever reaches.
RC_BOOST_PROP(EveryInstanceOfAZoneIsReachable, ()) {
  auto instances = Instances(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 40));
  std::set<std::string> reached = {"i0-0"};
  std::vector<std::string> open = {"i0-0"};
  while (!open.empty()) {
    std::string id = open.back();
    open.pop_back();
    std::string zone = "z" + id.substr(1, id.find('-') - 1);
    std::vector<std::string> peers =
        ChoosePeers({id, zone}, instances, PeerSubsetOptions{});
    RC_ASSERT(peers.size() <= 4U);
    for (const std::string& peer : peers) {
      if (reached.insert(peer).second)
        open.push_back(peer);
    }
  }
  for (const PeerCandidate& instance : instances) {
    if (instance.availability_zone == "z0")
      RC_ASSERT(reached.contains(instance.id));
  }
}

}  // namespace
}  // namespace cranberryhill
