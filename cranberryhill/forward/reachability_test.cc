#include "cranberryhill/forward/reachability.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

struct Fixture {
  Fixture() {
    this->replicas.Apply(MakeEntry("x", "a", EngineRole::kDecode));
    this->engine = this->replicas.Find("x");
  }

  ManualClock clock;
  ReplicaSet replicas{clock};
  Reachability reachability{clock};
  std::shared_ptr<Replica> engine;
};

// Guards against a slow engine that is taken for one that has lost power.
BOOST_FIXTURE_TEST_CASE(engine_that_accepts_a_probe_stays_usable, Fixture) {
  absl::Time sent_at = this->clock.Now();
  this->clock.Advance(absl::Milliseconds(600));
  BOOST_TEST(this->reachability.ShouldProbe(*this->engine, sent_at));
  this->reachability.OnProbeStarted(*this->engine);
  this->reachability.OnProbeEnded(*this->engine, true);
  BOOST_TEST(!this->engine->unreachable);
  BOOST_TEST(!this->reachability.ShouldProbe(*this->engine, sent_at));
}

// Guards against probes of an engine that answers other requests.
BOOST_FIXTURE_TEST_CASE(engine_that_was_heard_is_not_probed, Fixture) {
  absl::Time sent_at = this->clock.Now();
  this->clock.Advance(absl::Milliseconds(500));
  this->reachability.OnHeard(*this->engine);
  this->clock.Advance(absl::Milliseconds(100));
  BOOST_TEST(!this->reachability.ShouldProbe(*this->engine, sent_at));
}

// Guards against an answer that arrives during the probe and is forgotten.
BOOST_FIXTURE_TEST_CASE(answer_during_a_failed_probe_counts, Fixture) {
  this->clock.Advance(absl::Milliseconds(500));
  this->reachability.OnProbeStarted(*this->engine);
  this->clock.Advance(absl::Milliseconds(100));
  this->reachability.OnHeard(*this->engine);
  this->clock.Advance(absl::Milliseconds(100));
  this->reachability.OnProbeEnded(*this->engine, false);
  BOOST_TEST(!this->engine->unreachable);
}

// Guards against an engine that is never used again after it has come back, and
// against hundreds of instances that probe it without pause.
BOOST_FIXTURE_TEST_CASE(unreachable_engine_is_probed_again_with_backoff,
                        Fixture) {
  int probes = 0;
  this->reachability.OnProbeStarted(*this->engine);
  this->reachability.OnProbeEnded(*this->engine, false);
  BOOST_TEST(this->replicas.Usable("service").size() == 1U);
  this->replicas.Apply(MakeEntry("y", "a", EngineRole::kDecode));
  BOOST_TEST(this->replicas.Usable("service").size() == 1U);
  for (int i = 0; i < 100; ++i) {
    this->clock.Advance(absl::Milliseconds(100));
    if (!this->reachability.ShouldProbeAgain(*this->engine))
      continue;
    ++probes;
    this->reachability.OnProbeStarted(*this->engine);
    this->reachability.OnProbeEnded(*this->engine, i > 90);
  }
  BOOST_TEST(probes >= 4);
  BOOST_TEST(probes <= 8);
  BOOST_TEST(!this->engine->unreachable);
  BOOST_TEST(this->replicas.Usable("service").size() == 2U);
}

// Guards against an instance that trusts a peer on the other side of a network
// partition: it makes a probe of its own, and only when it has reason to.
BOOST_FIXTURE_TEST_CASE(report_of_a_peer_is_checked, Fixture) {
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(!this->reachability.ShouldProbeForPeer(*this->engine));
  this->engine->outstanding = 1;
  BOOST_TEST(this->reachability.ShouldProbeForPeer(*this->engine));
  this->reachability.OnHeard(*this->engine);
  BOOST_TEST(!this->reachability.ShouldProbeForPeer(*this->engine));
}

// Load: 200 streams a second on four decode engines, of which two lose power
// for 3.5 s; a stream's first event usually arrives within 25 ms, and one in
// twenty takes 400 ms. Guards against callers that wait for engines that have
// lost power until they give up after 2 s.
BOOST_AUTO_TEST_CASE(few_callers_wait_for_engines_that_lost_power) {
  constexpr absl::Duration kStep = absl::Milliseconds(5);
  constexpr absl::Duration kExpected = absl::Milliseconds(50);
  constexpr absl::Duration kProbe = absl::Milliseconds(250);
  ManualClock clock;
  SeededRandom random(3);
  ReplicaSet replicas(clock);
  Reachability reachability(clock);
  for (const char* id : {"a", "b", "c", "d"})
    replicas.Apply(MakeEntry(id, "a", EngineRole::kDecode));
  struct Stream {
    std::shared_ptr<Replica> engine;
    absl::Time sent_at;
    absl::Time answered_at;
  };
  std::vector<Stream> streams;
  std::map<Replica*, absl::Time> probe_ends;
  const absl::Time start = clock.Now();
  const absl::Time dark_from = start + absl::Seconds(1);
  const absl::Time dark_until = start + absl::Milliseconds(4500);
  auto dark = [&](const Replica& engine) {
    return (engine.entry.id == "a" || engine.entry.id == "b") &&
           clock.Now() >= dark_from && clock.Now() < dark_until;
  };
  int ended_late = 0;
  int sound_taken_for_dark = 0;
  int served = 0;
  while (clock.Now() < start + absl::Seconds(6)) {
    auto usable = replicas.Usable("service");
    auto engine = usable[random.UniformInt(0, usable.size() - 1)];
    absl::Duration first_event =
        absl::Milliseconds(random.UniformInt(0, 19) == 0 ? 400 : 25);
    streams.push_back(
        {engine, clock.Now(),
         dark(*engine) ? absl::InfiniteFuture() : clock.Now() + first_event});
    clock.Advance(kStep);
    for (auto& [replica, ends_at] : probe_ends) {
      if (ends_at > clock.Now())
        continue;
      ends_at = absl::InfiniteFuture();
      reachability.OnProbeEnded(*replica, !dark(*replica));
      if (replica->unreachable && !dark(*replica))
        ++sound_taken_for_dark;
    }
    auto probe = [&](Replica& replica) {
      reachability.OnProbeStarted(replica);
      probe_ends[&replica] =
          clock.Now() + (dark(replica) ? kProbe : absl::Milliseconds(3));
    };
    for (const auto& replica : replicas.Registered()) {
      if (reachability.ShouldProbeAgain(*replica))
        probe(*replica);
    }
    std::erase_if(streams, [&](const Stream& stream) {
      if (dark(*stream.engine) == false && stream.answered_at <= clock.Now()) {
        reachability.OnHeard(*stream.engine);
        ++served;
        return true;
      }
      if (clock.Now() < stream.sent_at + kExpected + kSilenceTolerance)
        return false;
      if (stream.engine->unreachable) {
        ended_late += clock.Now() - stream.sent_at > absl::Seconds(1) ? 1 : 0;
        return true;
      }
      if (reachability.ShouldProbe(*stream.engine, stream.sent_at))
        probe(*stream.engine);
      return false;
    });
  }
  BOOST_TEST(sound_taken_for_dark == 0);
  BOOST_TEST(ended_late == 0);
  // 200 a second arrive; half of them within 0.6 s may be lost.
  BOOST_TEST(served > 1050);
}

/// Three engines in each of two zones.
struct ZonesFixture {
  ZonesFixture() {
    for (const char* zone : {"a", "b"}) {
      for (const char* number : {"1", "2", "3"}) {
        this->replicas.Apply(
            MakeEntry(std::string(zone) + number, zone, EngineRole::kDecode));
      }
    }
    for (const auto& replica : this->replicas.Registered())
      this->reachability.OnHeard(*replica);
    this->clock.Advance(absl::Milliseconds(300));
  }

  void FailProbe(const char* id) {
    Replica& replica = *this->replicas.Find(id);
    this->reachability.OnProbeStarted(replica);
    this->clock.Advance(absl::Milliseconds(250));
    this->reachability.OnProbeEnded(replica, false);
  }

  std::vector<std::string> SilentZones() {
    return this->reachability.SilentZones(this->replicas.Members("service"));
  }

  ManualClock clock;
  ReplicaSet replicas{clock};
  Reachability reachability{clock};
};

// Guards against requests that are sent to the next engine of a zone that was
// cut off, after others there have been found unreachable.
BOOST_FIXTURE_TEST_CASE(zone_is_silent_after_two_of_its_engines, ZonesFixture) {
  this->FailProbe("a1");
  BOOST_TEST(this->SilentZones().empty());
  this->FailProbe("a2");
  BOOST_TEST(this->SilentZones() == std::vector<std::string>{"a"});
}

// Guards against a zone that is passed over because some of its engines have
// lost power.
BOOST_FIXTURE_TEST_CASE(zone_is_not_silent_while_an_engine_is_heard,
                        ZonesFixture) {
  this->FailProbe("a1");
  this->FailProbe("a2");
  this->reachability.OnHeard(*this->replicas.Find("a3"));
  BOOST_TEST(this->SilentZones().empty());
}

// Guards against one probe for each engine of a large zone, and against a zone
// that is passed over although nobody asks whether it is cut off.
BOOST_FIXTURE_TEST_CASE(few_engines_of_a_silent_zone_are_probed, ZonesFixture) {
  for (int number = 4; number < 50; ++number) {
    this->replicas.Apply(
        MakeEntry("a" + std::to_string(number), "a", EngineRole::kDecode));
  }
  this->FailProbe("a1");
  this->FailProbe("a2");
  auto members = this->replicas.Members("service");
  auto targets = this->reachability.ProbeTargets(members, "a", 7);
  BOOST_TEST(targets.size() == 2U);
  for (const auto& target : targets)
    this->reachability.OnProbeStarted(*target);
  BOOST_TEST(this->reachability.ProbeTargets(members, "a", 7).empty());
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(!this->reachability.ProbeTargets(members, "a", 7).empty());
}

struct CutOffFixture : Fixture {
  CutOffFixture() {
    this->replicas.Apply(MakeEntry("y", "b", EngineRole::kDecode));
    this->replicas.Apply(MakeEntry("z", "b", EngineRole::kPrefill));
    this->clock.Advance(absl::Seconds(5));
    this->other = this->replicas.Find("y");
  }

  std::vector<std::shared_ptr<Replica>> Members() const {
    return this->replicas.Members("service");
  }

  std::shared_ptr<Replica> other;
};

// Guards against an instance that does not notice that it reaches no replica,
// and against one that takes the failure of some for that of all.
BOOST_FIXTURE_TEST_CASE(cut_off_when_no_replica_that_runs_can_be_reached,
                        CutOffFixture) {
  BOOST_TEST(!this->reachability.IsCutOff({}));
  BOOST_TEST(!this->reachability.IsCutOff(this->Members()));
  this->reachability.OnConnectFailed(*this->engine);
  BOOST_TEST(!this->reachability.IsCutOff(this->Members()));
  BOOST_TEST(this->reachability.FailsToConnect(this->Members()));
  BOOST_TEST(this->reachability.CutOffSuspects(this->Members()).empty());
  this->reachability.OnConnectFailed(*this->other);
  BOOST_TEST(this->reachability.IsCutOff(this->Members()));
  BOOST_TEST(this->reachability.CutOffSuspects(this->Members()).size() == 3U);
  this->clock.Advance(absl::Milliseconds(1));
  this->reachability.OnHeard(*this->other);
  BOOST_TEST(!this->reachability.IsCutOff(this->Members()));
  BOOST_TEST(this->reachability.CutOffSuspects(this->Members()).empty());
}

// Guards against a cut that is taken to last because no request shows its end,
// and against probes without pause.
BOOST_FIXTURE_TEST_CASE(cut_off_replicas_are_probed_at_intervals,
                        CutOffFixture) {
  this->reachability.OnConnectFailed(*this->engine);
  BOOST_TEST(this->reachability.CutOffProbeTargets(this->Members(), 1).empty());
  this->reachability.OnConnectFailed(*this->other);
  auto targets = this->reachability.CutOffProbeTargets(this->Members(), 1);
  BOOST_TEST(targets.size() == 2U);
  this->reachability.OnProbeStarted(*targets.front());
  BOOST_TEST(this->reachability.CutOffProbeTargets(this->Members(), 1).empty());
  this->clock.Advance(absl::Milliseconds(500));
  BOOST_TEST(
      !this->reachability.CutOffProbeTargets(this->Members(), 1).empty());
}

// Guards against refusals of requests that find no open connection while others
// of this instance live on.
BOOST_FIXTURE_TEST_CASE(new_connections_fail_beside_open_ones, CutOffFixture) {
  this->reachability.OnConnectFailed(*this->engine);
  this->reachability.OnConnectFailed(*this->other);
  this->clock.Advance(absl::Milliseconds(100));
  this->reachability.OnHeard(*this->engine);
  this->reachability.OnHeard(*this->other);
  BOOST_TEST(!this->reachability.IsCutOff(this->Members()));
  BOOST_TEST(this->reachability.FailsToConnect(this->Members()));
  this->clock.Advance(absl::Seconds(3));
  BOOST_TEST(!this->reachability.FailsToConnect(this->Members()));
}

}  // namespace
}  // namespace cranberryhill::forward
