#include "cranberryhill/forward/peer_load_sync.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

ReplicaEntry EngineEntry(std::string id) {
  return MakeEntry(std::move(id), "a", EngineRole::kPrefill);
}

LoadMessage RoundTrip(const LoadMessage& message) {
  auto decoded =
      Capture([&] { return DecodeLoadMessage(EncodeLoadMessage(message)); });
  BOOST_REQUIRE(decoded.ok());
  return decoded.value();
}

// Guards against limits of replicas that get lost or change on the way.
BOOST_AUTO_TEST_CASE(limits_of_replicas_reach_peers) {
  LoadMessage message;
  message.instance = "peer";
  message.replica_limits = {{"x", 5.9, absl::Milliseconds(40)},
                            {"y", std::nullopt, absl::ZeroDuration()}};
  auto received = RoundTrip(message).replica_limits;
  BOOST_REQUIRE(received.size() == 2U);
  BOOST_TEST(received[0].replica == "x");
  BOOST_TEST(received[0].requests_per_s.value() == 5.9);
  BOOST_TEST((received[0].age == absl::Milliseconds(40)));
  BOOST_TEST(!received[1].requests_per_s.has_value());
}

// Guards against a load that drifts from what the peers really have when
// messages are lost, repeated or reordered: only the newest message of each
// peer counts.
RC_BOOST_PROP(only_the_newest_message_of_a_peer_counts, ()) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  replicas.Apply(EngineEntry("x"));
  PeerLoadSync sync("me", 1, clock);
  double newest_tokens[2] = {0, 0};
  uint64_t newest_sequence[2] = {0, 0};
  for (int step = 0; step < 30; ++step) {
    int peer = *rc::gen::inRange(0, 2);
    LoadMessage message;
    message.instance = peer == 0 ? "p0" : "p1";
    message.incarnation = 9;
    message.sequence = *rc::gen::inRange<uint64_t>(1, 40);
    double tokens = *rc::gen::inRange(0, 1000);
    message.engine_loads = {{"x", {tokens, 0}, 1}};
    if (message.sequence > newest_sequence[peer]) {
      newest_sequence[peer] = message.sequence;
      newest_tokens[peer] = tokens;
    }
    sync.Merge(RoundTrip(message), replicas);
    RC_ASSERT(replicas.Find("x")->peer_queued.on_time ==
              newest_tokens[0] + newest_tokens[1]);
  }
  clock.Advance(absl::Seconds(2));
  sync.RemoveSilentPeers(replicas);
  RC_ASSERT(replicas.Find("x")->peer_queued.on_time == 0);
  RC_ASSERT(replicas.Find("x")->peer_outstanding == 0);
}

// Guards against ignoring the first messages of a restarted peer as outdated.
BOOST_AUTO_TEST_CASE(first_message_of_a_restarted_peer_is_accepted) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  replicas.Apply(EngineEntry("x"));
  PeerLoadSync sync("me", 1, clock);
  BOOST_TEST(
      sync.Merge({"p", 1, 50, {{"x", {70, 0}, 1}}, {}, {}, {}, {}}, replicas));
  BOOST_TEST(
      sync.Merge({"p", 2, 1, {{"x", {5, 0}, 1}}, {}, {}, {}, {}}, replicas));
  BOOST_TEST(replicas.Find("x")->peer_queued.on_time == 5);
}

// Guards against a partial message about one engine that clears the peer's load
// on other engines.
BOOST_AUTO_TEST_CASE(partial_message_updates_only_the_listed_engines) {
  ManualClock clock;
  ReplicaSet receiver_replicas(clock);
  ReplicaSet sender_replicas(clock);
  for (const char* id : {"x", "y"}) {
    receiver_replicas.Apply(EngineEntry(id));
    sender_replicas.Apply(EngineEntry(id));
    sender_replicas.Find(id)->outstanding = 1;
    sender_replicas.Find(id)->queued.Add(PrefillLane::kOnTime, 100);
  }
  PeerLoadSync sender("p", 1, clock);
  PeerLoadSync receiver("me", 2, clock);
  receiver.Merge(RoundTrip(sender.BuildFullMessage(sender_replicas, {})),
                 receiver_replicas);
  BOOST_TEST(sender.BuildPartialMessage(sender_replicas).engine_loads.empty());
  sender_replicas.Find("y")->queued.Add(PrefillLane::kOnTime, 50);
  sender.RecordPromptSent("y", MakePrompt(7, 900, 10));
  LoadMessage partial = RoundTrip(sender.BuildPartialMessage(sender_replicas));
  BOOST_TEST(partial.engine_loads.size() == 1U);
  BOOST_TEST(partial.cached_prefixes.size() == 1U);
  BOOST_TEST(receiver.Merge(partial, receiver_replicas));
  BOOST_TEST(receiver_replicas.Find("x")->peer_queued.on_time == 100);
  BOOST_TEST(receiver_replicas.Find("y")->peer_queued.on_time == 150);
  // A full message without x reports that the requests there have ended.
  sender_replicas.Find("x")->outstanding = 0;
  receiver.Merge(RoundTrip(sender.BuildFullMessage(sender_replicas, {})),
                 receiver_replicas);
  BOOST_TEST(receiver_replicas.Find("x")->peer_queued.on_time == 0);
  BOOST_TEST(receiver_replicas.Find("x")->peer_outstanding == 0);
}

// Guards against prefilling a shared prefix at a second engine because only the
// instance that sent it knows where it is cached.
BOOST_AUTO_TEST_CASE(peers_receive_the_prefixes_that_were_sent) {
  ManualClock clock;
  ReplicaSet receiver_replicas(clock);
  ReplicaSet sender_replicas(clock);
  receiver_replicas.Apply(EngineEntry("x"));
  sender_replicas.Apply(EngineEntry("x"));
  PeerLoadSync sender("p", 1, clock);
  PeerLoadSync receiver("me", 2, clock);
  sender.RecordPromptSent("x", MakePrompt(7, 900, 10));
  LoadMessage first = sender.BuildFullMessage(sender_replicas, {"x"});
  LoadMessage second = sender.BuildFullMessage(sender_replicas, {});
  BOOST_TEST(
      sender.BuildFullMessage(sender_replicas, {}).cached_prefixes.empty());
  // The first message is lost; the second one repeats the prefix.
  BOOST_TEST(first.cached_prefixes.size() == 1U);
  BOOST_TEST(receiver.Merge(RoundTrip(second), receiver_replicas));
  BOOST_TEST(receiver_replicas.Find("x")->prefix_cache.CachedTokens(
                 MakePrompt(7, 900, 10)) == 900U);
}

// Guards against sending requests to an engine whose role another instance has
// just ordered to change.
BOOST_AUTO_TEST_CASE(peers_avoid_engines_that_change_their_role) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  replicas.Apply(EngineEntry("x"));
  replicas.Apply(EngineEntry("y"));
  PeerLoadSync receiver("me", 2, clock);
  receiver.Merge(RoundTrip({"p", 1, 1, {}, {}, {"x"}, {}, {}}), replicas);
  auto usable = replicas.Usable("service");
  BOOST_REQUIRE(usable.size() == 1U);
  BOOST_TEST(usable[0]->entry.id == "y");
}

// Guards against instances that compute the same rank: ranks decide which
// instances poll the store frequently, and it must be neither all nor none.
BOOST_AUTO_TEST_CASE(live_instances_have_different_ranks) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  std::vector<std::string> names{"a", "b", "c", "d"};
  std::vector<size_t> ranks;
  for (const std::string& own : names) {
    PeerLoadSync sync(own, 1, clock);
    for (const std::string& other : names)
      sync.Merge({other, 1, 1, {}, {}, {}, {}, {}}, replicas);
    ranks.push_back(sync.Rank());
  }
  std::sort(ranks.begin(), ranks.end());
  BOOST_TEST((ranks == std::vector<size_t>{0, 1, 2, 3}));
}

// Guards against fields of a message that are lost or exchanged on the way.
BOOST_AUTO_TEST_CASE(store_contact_and_leaving_replicas_are_decoded) {
  LoadMessage message;
  message.instance = "entry-1";
  message.may_poll_in = absl::Milliseconds(1700);
  message.store_answer_age = absl::Milliseconds(300);
  message.leaving_replicas = {{"r1", 1700000000123, absl::Milliseconds(450)}};
  std::string bytes = EncodeLoadMessage(message);
  auto decoded = Capture([&] { return DecodeLoadMessage(bytes); });
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST((decoded.value().may_poll_in == absl::Milliseconds(1700)));
  BOOST_TEST((decoded.value().store_answer_age == absl::Milliseconds(300)));
  BOOST_REQUIRE(decoded.value().leaving_replicas.size() == 1U);
  const LeavingReport& report = decoded.value().leaving_replicas[0];
  BOOST_TEST(report.replica == "r1");
  BOOST_TEST(report.started_ms == 1700000000123);
  BOOST_TEST((report.age == absl::Milliseconds(450)));
}

// Guards against a message of nested arrays that overflows the stack.
BOOST_AUTO_TEST_CASE(deeply_nested_message_is_rejected) {
  std::string bytes(16384, '\x91');
  BOOST_TEST(!Capture([&] { return DecodeLoadMessage(bytes); }).ok());
}

// Guards against a crash or a wrong load caused by bytes that do not encode a
// message.
RC_BOOST_PROP(arbitrary_bytes_are_rejected, (const std::string& bytes)) {
  auto decoded = Capture([&] { return DecodeLoadMessage(bytes); });
  RC_ASSERT(!decoded.ok());
}

// Guards against requests that are relayed to peers that cannot serve them.
BOOST_AUTO_TEST_CASE(zone_and_cut_off_services_are_decoded) {
  LoadMessage message;
  message.instance = "entry-1";
  message.availability_zone = "b";
  message.cut_off_services = {"desk", "lm"};
  auto decoded =
      Capture([&] { return DecodeLoadMessage(EncodeLoadMessage(message)); });
  BOOST_REQUIRE(decoded.ok());
  BOOST_TEST(decoded.value().availability_zone == "b");
  BOOST_TEST((decoded.value().cut_off_services == message.cut_off_services));
}

}  // namespace
}  // namespace cranberryhill::forward
