#include "cranberryhill/forward/load_share.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

ReplicaEntry Engine(std::string id) {
  return MakeEntry(std::move(id), "a", EngineRole::kPrefill);
}

LoadMessage Decoded(const LoadMessage& message) {
  auto decoded =
      Capture([&] { return DecodeLoadMessage(EncodeLoadMessage(message)); });
  BOOST_REQUIRE(decoded.ok());
  return decoded.value();
}

// Guards against a load that drifts from what peers have when messages are
// lost, repeated or overtaken: only the newest message of each peer counts.
RC_BOOST_PROP(only_the_newest_message_of_a_peer_counts, ()) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  replicas.Apply(Engine("x"));
  LoadShare share("me", 1, clock);
  double newest[2] = {0, 0};
  uint64_t sequence[2] = {0, 0};
  for (int step = 0; step < 30; ++step) {
    int peer = *rc::gen::inRange(0, 2);
    LoadMessage message;
    message.instance = peer == 0 ? "p0" : "p1";
    message.incarnation = 9;
    message.sequence = *rc::gen::inRange<uint64_t>(1, 40);
    double tokens = *rc::gen::inRange(0, 1000);
    message.work = {{"x", {tokens, 0}, 1}};
    if (message.sequence > sequence[peer]) {
      sequence[peer] = message.sequence;
      newest[peer] = tokens;
    }
    share.Merge(Decoded(message), replicas);
    RC_ASSERT(replicas.Find("x")->peer_queued.on_time == newest[0] + newest[1]);
  }
  clock.Advance(absl::Seconds(2));
  share.ForgetSilent(replicas);
  RC_ASSERT(replicas.Find("x")->peer_queued.on_time == 0);
  RC_ASSERT(replicas.Find("x")->peer_running == 0);
}

// Guards against taking a restarted peer's first messages for old ones.
BOOST_AUTO_TEST_CASE(restarted_peer_is_heard_from_its_first_message) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  replicas.Apply(Engine("x"));
  LoadShare share("me", 1, clock);
  BOOST_TEST(
      share.Merge({"p", 1, 50, {{"x", {70, 0}, 1}}, {}, {}, {}, {}}, replicas));
  BOOST_TEST(
      share.Merge({"p", 2, 1, {{"x", {5, 0}, 1}}, {}, {}, {}, {}}, replicas));
  BOOST_TEST(replicas.Find("x")->peer_queued.on_time == 5);
}

// Guards against news of one engine that clears what a peer has at others.
BOOST_AUTO_TEST_CASE(news_tells_of_the_named_engines_only) {
  ManualClock clock;
  ReplicaSet mine(clock);
  ReplicaSet theirs(clock);
  for (const char* id : {"x", "y"}) {
    mine.Apply(Engine(id));
    theirs.Apply(Engine(id));
    theirs.Find(id)->outstanding = 1;
    theirs.Find(id)->queued.Add(ReadLane::kOnTime, 100);
  }
  LoadShare sender("p", 1, clock);
  LoadShare receiver("me", 2, clock);
  receiver.Merge(Decoded(sender.Collect(theirs, {})), mine);
  BOOST_TEST(sender.CollectNews(theirs).work.empty());
  theirs.Find("y")->queued.Add(ReadLane::kOnTime, 50);
  sender.NoteSent("y", MakePrompt(7, 900, 10));
  LoadMessage news = Decoded(sender.CollectNews(theirs));
  BOOST_TEST(news.work.size() == 1U);
  BOOST_TEST(news.cached.size() == 1U);
  BOOST_TEST(receiver.Merge(news, mine));
  BOOST_TEST(mine.Find("x")->peer_queued.on_time == 100);
  BOOST_TEST(mine.Find("y")->peer_queued.on_time == 150);
  // A full message tells that the work at x has ended.
  theirs.Find("x")->outstanding = 0;
  receiver.Merge(Decoded(sender.Collect(theirs, {})), mine);
  BOOST_TEST(mine.Find("x")->peer_queued.on_time == 0);
  BOOST_TEST(mine.Find("x")->peer_running == 0);
}

// Guards against reading a shared part twice because the instance that had it
// read is the only one that knows.
BOOST_AUTO_TEST_CASE(peers_learn_which_parts_were_sent_where) {
  ManualClock clock;
  ReplicaSet mine(clock);
  ReplicaSet theirs(clock);
  mine.Apply(Engine("x"));
  theirs.Apply(Engine("x"));
  LoadShare sender("p", 1, clock);
  LoadShare receiver("me", 2, clock);
  sender.NoteSent("x", MakePrompt(7, 900, 10));
  LoadMessage first = sender.Collect(theirs, {"x"});
  LoadMessage second = sender.Collect(theirs, {});
  BOOST_TEST(sender.Collect(theirs, {}).cached.empty());
  // The first message is lost; the record comes with the second one as well.
  BOOST_TEST(first.cached.size() == 1U);
  BOOST_TEST(receiver.Merge(Decoded(second), mine));
  BOOST_TEST(mine.Find("x")->cache.CachedTokens(MakePrompt(7, 900, 10)) ==
             900U);
}

// Guards against sending runs to an engine whose role another instance has
// just ordered to change.
BOOST_AUTO_TEST_CASE(peers_learn_which_engines_change_their_role) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  replicas.Apply(Engine("x"));
  replicas.Apply(Engine("y"));
  LoadShare receiver("me", 2, clock);
  receiver.Merge(Decoded({"p", 1, 1, {}, {}, {"x"}, {}, {}}), replicas);
  auto usable = replicas.Usable("service");
  BOOST_REQUIRE(usable.size() == 1U);
  BOOST_TEST(usable[0]->entry.id == "y");
}

// Guards against all instances, or none, watching the store closely.
BOOST_AUTO_TEST_CASE(live_instances_have_different_ranks) {
  ManualClock clock;
  ReplicaSet replicas(clock);
  std::vector<std::string> names{"a", "b", "c", "d"};
  std::vector<size_t> ranks;
  for (const std::string& own : names) {
    LoadShare share(own, 1, clock);
    for (const std::string& other : names)
      share.Merge({other, 1, 1, {}, {}, {}, {}, {}}, replicas);
    ranks.push_back(share.Rank());
  }
  std::sort(ranks.begin(), ranks.end());
  BOOST_TEST((ranks == std::vector<size_t>{0, 1, 2, 3}));
}

// Guards against a crash or a wrong load from bytes that are no message.
RC_BOOST_PROP(other_bytes_are_refused, (const std::string& bytes)) {
  auto decoded = Capture([&] { return DecodeLoadMessage(bytes); });
  RC_ASSERT(!decoded.ok());
}

}  // namespace
}  // namespace cranberryhill::forward
