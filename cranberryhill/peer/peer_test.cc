#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <set>

#include "cranberryhill/peer/peer_exchange.h"

namespace cranberryhill {
namespace {

std::vector<PeerCandidate> MakeInstances(int zone_count,
                                         int instances_per_zone) {
  std::vector<PeerCandidate> instances;
  for (int zone = 0; zone < zone_count; ++zone) {
    for (int i = 0; i < instances_per_zone; ++i) {
      instances.push_back({"i" + std::to_string(zone) + "-" + std::to_string(i),
                           "z" + std::to_string(zone)});
    }
  }
  return instances;
}

PeerMessage OversizedMessage() {
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

// Guards against peer traffic above 2,000 B/s, with messages of the maximum
// size and any number of instances.
RC_BOOST_PROP(PeerTrafficStaysWithinItsBudget, ()) {
  ManualClock clock(absl::UnixEpoch() + absl::Hours(1));
  PeerExchange exchange({"annex", "i0-0", "z0", 1}, {}, clock);
  exchange.SetInstances(
      MakeInstances(*rc::gen::inRange(1, 12), *rc::gen::inRange(1, 35)));
  size_t total_bytes = 0;
  for (int tick = 0; tick < 100; ++tick) {
    clock.Advance(absl::Milliseconds(100));
    for (const std::string& peer : exchange.DuePeers()) {
      std::string message = exchange.PrepareMessage(peer, OversizedMessage());
      RC_ASSERT(message.size() <= kMaxPeerMessageBytes);
      total_bytes += message.size();
    }
  }
  // 10 s of traffic at the budgeted rate, plus the 1 s burst that an unused
  // budget allows.
  RC_ASSERT(total_bytes <= 11 * 2000U);
}

// Guards against a message that decodes differently than it was encoded, or
// that drops the most important entries when it is too long.
BOOST_AUTO_TEST_CASE(OversizedMessageKeepsFingerprints) {
  ManualClock clock;
  PeerExchange exchange({"annex", "i0-0", "z0", 7}, {}, clock);
  std::string bytes = exchange.PrepareMessage("i0-1", OversizedMessage());
  auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST(decoded.value().fingerprints.size() == kMaxPeerEntries);
  BOOST_TEST(
      (decoded.value().fingerprints[0] == OversizedMessage().fingerprints[0]));
  BOOST_TEST(decoded.value().incarnation == 7U);
  BOOST_TEST((decoded.value().plan_age == absl::Seconds(3)));
}

// Guards against damaged messages that crash the process or decode to values
// out of range.
RC_BOOST_PROP(DamagedMessagesAreRejectedOrInRange, ()) {
  ManualClock clock;
  PeerExchange exchange({"annex", "i0-0", "z0", 7}, {}, clock);
  std::string bytes = exchange.PrepareMessage("i0-1", OversizedMessage());
  int changed_bytes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changed_bytes; ++i) {
    auto position = *rc::gen::inRange<size_t>(0, bytes.size());
    bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
  }
  bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
  auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
  if (decoded.ok()) {
    RC_ASSERT(decoded.value().fingerprints.size() <= kMaxPeerEntries);
    for (const PeerObservation& entry : decoded.value().observations)
      RC_ASSERT(entry.state <= 3);
  }
}

// Guards against accepting messages from before a restart of the sender,
// duplicate messages, and messages of unknown instances.
BOOST_AUTO_TEST_CASE(OldAndForeignMessagesAreNotAccepted) {
  ManualClock clock;
  PeerExchange exchange({"annex", "i0-0", "z0", 1}, {}, clock);
  exchange.SetInstances(MakeInstances(2, 2));
  PeerMessage message;
  message.environment = "annex";
  message.sender = "i0-1";
  message.availability_zone = "z0";
  message.incarnation = 5;
  message.sequence = 9;
  BOOST_TEST(
      (exchange.AcceptMessage(message) == PeerMessageVerdict::kAccepted));
  BOOST_TEST(
      (exchange.AcceptMessage(message) == PeerMessageVerdict::kOldSequence));
  message.incarnation = 4;
  message.sequence = 10;
  BOOST_TEST(
      (exchange.AcceptMessage(message) == PeerMessageVerdict::kOldIncarnation));
  message.incarnation = 6;
  message.sequence = 1;
  BOOST_TEST(
      (exchange.AcceptMessage(message) == PeerMessageVerdict::kAccepted));
  message.sequence = 2;
  message.availability_zone = "z1";
  BOOST_TEST(
      (exchange.AcceptMessage(message) == PeerMessageVerdict::kWrongZone));
  message.sender = "stranger";
  BOOST_TEST((exchange.AcceptMessage(message) ==
              PeerMessageVerdict::kUnknownInstance));
  message.environment = "other";
  BOOST_TEST((exchange.AcceptMessage(message) ==
              PeerMessageVerdict::kWrongEnvironment));
}

// Guards against rates that decrease by a tenth each time they are encoded.
BOOST_AUTO_TEST_CASE(RatesInTenthsAreUnchangedByEncoding) {
  PeerMessage message;
  message.environment = message.sender = message.availability_zone = "x";
  message.usage = {{1, 0.7F, 1.3F}, {2, 1e30F, 0}};
  std::string bytes = EncodePeerMessage(message);
  auto decoded = Capture([&] { return DecodePeerMessage(bytes); });
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST((decoded.value().usage[0] == message.usage[0]));
  BOOST_TEST(decoded.value().usage[1].requests_per_s == 1677721.5F);
}

// Guards against instances of a zone that information from another instance of
// the zone cannot reach when each instance sends only to its chosen peers.
RC_BOOST_PROP(EveryInstanceOfAZoneIsReachable, ()) {
  auto instances =
      MakeInstances(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 40));
  std::set<std::string> reached = {"i0-0"};
  std::vector<std::string> unvisited = {"i0-0"};
  while (!unvisited.empty()) {
    std::string id = unvisited.back();
    unvisited.pop_back();
    std::string zone = "z" + id.substr(1, id.find('-') - 1);
    std::vector<std::string> peers =
        ChoosePeers({id, zone}, instances, PeerSubsetOptions{});
    RC_ASSERT(peers.size() <= 4U);
    for (const std::string& peer : peers) {
      if (reached.insert(peer).second)
        unvisited.push_back(peer);
    }
  }
  for (const PeerCandidate& instance : instances) {
    if (instance.availability_zone == "z0")
      RC_ASSERT(reached.contains(instance.id));
  }
}

}  // namespace
}  // namespace cranberryhill
