// Simulates many instances and a service whose replicas say that they are
// leaving or want no requests for some time, on a virtual clock.

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/engine_speed.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/forward/placement.h"
#include "cranberryhill/forward/replica_notices.h"
#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

constexpr int kSlots = 20;
constexpr absl::Duration kWork = absl::Milliseconds(40);
/// A replica that a machine knows to be leaving gets nothing after this time.
constexpr absl::Duration kDrainTime = absl::Seconds(2);
/// A replica that has turned an instance away counts its requests from then on.
constexpr absl::Duration kNoticeTime = absl::Milliseconds(500);
constexpr int kMaxEarlyRequests = 2;

enum class Notices { kHeeded, kIgnored };

/// What callers and replicas have seen.
struct Tally {
  int served = 0;
  int turned_away = 0;    ///< Refused by a replica.
  int refused = 0;        ///< Refused by an instance, without a send.
  int late_arrivals = 0;  ///< At a replica that said that it was leaving.
  int most_early = 0;     ///< Arrivals of one instance before the named time.
};

/// Each request is sent once, to the replica that the placement chooses.
/// Messages between instances are delayed, and one in ten is lost.
class Fleet {
 public:
  Fleet(size_t instances, size_t replicas, Notices notices)
      : heed(notices == Notices::kHeeded),
        message_interval(
            std::max(absl::Milliseconds(60),
                     absl::Milliseconds(6) * static_cast<int>(instances))) {
    for (size_t i = 0; i < replicas; ++i)
      this->servers.push_back({MakeEntry("r" + std::to_string(i))});
    for (size_t i = 0; i < instances; ++i) {
      this->members.push_back(std::make_unique<Member>(*this, i));
      for (Server& server : this->servers) {
        server.entry.slots = kSlots;
        server.entry.started_ms = 1;
        this->members.back()->replicas.Apply(server.entry);
      }
      this->Schedule(this->message_interval * this->random.UniformDouble(),
                     [this, i] { this->SendMessage(i); });
    }
  }

  /// Sends requests to random instances.
  void Load(double requests_per_s, absl::Duration duration) {
    absl::Time end = this->clock.Now() + duration;
    for (absl::Time at = this->clock.Now(); at < end;
         at +=
         absl::Seconds(2 * this->random.UniformDouble() / requests_per_s)) {
      this->Schedule(at - this->clock.Now(), [this] {
        this->Send(this->random.UniformInt(0, this->members.size() - 1));
      });
    }
    this->RunUntil(end);
  }

  void SetLeaving(size_t replica) { this->servers[replica].leaving = true; }

  /// The replica turns all requests away until `duration` has passed, each
  /// time with a Retry-After of `retry_after`.
  void Close(size_t replica,
             absl::Duration duration,
             absl::Duration retry_after) {
    this->servers[replica].closed_until = this->clock.Now() + duration;
    this->servers[replica].retry_after = retry_after;
  }

  /// Starts the replica anew at the same address.
  void Restart(size_t replica) {
    Server& server = this->servers[replica];
    server.leaving = false;
    server.closed_until = absl::InfinitePast();
    server.told_by_instance.clear();
    ++server.entry.started_ms;
    for (const auto& member : this->members)
      member->replicas.Apply(server.entry);
  }

  Tally tally;
  ManualClock clock;

 private:
  struct Told {
    absl::Time leaving_at = absl::InfiniteFuture();
    absl::Time turned_away_at = absl::InfiniteFuture();
    absl::Time wants_none_until = absl::InfinitePast();
    int early = 0;
  };

  struct Server {
    ReplicaEntry entry;
    bool leaving = false;
    absl::Time closed_until = absl::InfinitePast();
    absl::Duration retry_after = absl::ZeroDuration();
    int running = 0;
    std::map<size_t, Told> told_by_instance = {};
  };

  struct Member {
    Member(Fleet& fleet, size_t index)
        : replicas(fleet.clock),
          notices(fleet.clock, fleet.random),
          sync("entry-" + std::to_string(index), index + 1, fleet.clock) {}

    ReplicaSet replicas;
    ReplicaNotices notices;
    PeerLoadSync sync;
  };

  void Schedule(absl::Duration wait, std::function<void()> event) {
    this->events.emplace(std::pair(this->clock.Now() + wait, this->next_id++),
                         std::move(event));
  }

  void RunUntil(absl::Time end) {
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
      auto event = std::move(this->events.begin()->second);
      this->clock.Set(this->events.begin()->first.first);
      this->events.erase(this->events.begin());
      event();
    }
    this->clock.Set(end);
  }

  absl::Duration Travel() {
    return absl::Milliseconds(1 + 2 * this->random.UniformDouble());
  }

  void SendMessage(size_t index) {
    Member& sender = *this->members[index];
    LoadMessage message = sender.sync.BuildFullMessage(sender.replicas, {});
    message.leaving_replicas =
        sender.notices.OwnReports(sender.replicas.Registered());
    for (size_t i = 0; i < this->members.size(); ++i) {
      if (i == index || this->random.UniformInt(0, 9) == 0)
        continue;
      this->Schedule(this->Travel(), [this, i, message] {
        Member& receiver = *this->members[i];
        if (!receiver.sync.Merge(message, receiver.replicas) || !this->heed)
          return;
        for (const LeavingReport& report : message.leaving_replicas) {
          auto replica = receiver.replicas.Find(report.replica);
          receiver.notices.MergeLeaving(*replica, report);
        }
      });
    }
    this->Schedule(this->message_interval,
                   [this, index] { this->SendMessage(index); });
  }

  void Send(size_t index) {
    Member& member = *this->members[index];
    auto choice = this->placement.ChooseServer(
        member.replicas.Usable("service"),
        this->random.UniformInt(0, UINT64_MAX), this->clock.Now(), {});
    if (choice.replica == nullptr) {
      ++this->tally.refused;
      return;
    }
    auto replica = choice.replica;
    ++replica->outstanding;
    size_t number = std::stoul(replica->entry.id.substr(1));
    this->Schedule(this->Travel(), [this, index, number, replica] {
      this->Arrive(index, number, replica);
    });
  }

  void Arrive(size_t index,
              size_t number,
              const std::shared_ptr<Replica>& replica) {
    Server& server = this->servers[number];
    absl::Time now = this->clock.Now();
    Told& told = server.told_by_instance[index];
    if (now - told.leaving_at > kDrainTime)
      ++this->tally.late_arrivals;
    if (now - told.turned_away_at > kNoticeTime && now < told.wants_none_until)
      this->tally.most_early = std::max(this->tally.most_early, ++told.early);
    bool turned_away =
        now < server.closed_until || server.running >= 2 * kSlots;
    absl::Duration takes = turned_away ? absl::ZeroDuration() : kWork;
    server.running += turned_away ? 0 : 1;
    absl::Duration retry_after =
        now < server.closed_until ? server.retry_after : absl::ZeroDuration();
    this->Schedule(takes + this->Travel(), [=, this] {
      this->Answer(index, number, replica, turned_away, retry_after);
    });
  }

  void Answer(size_t index,
              size_t number,
              const std::shared_ptr<Replica>& replica,
              bool turned_away,
              absl::Duration retry_after) {
    Server& server = this->servers[number];
    Member& member = *this->members[index];
    Told& told = server.told_by_instance[index];
    absl::Time now = this->clock.Now();
    --replica->outstanding;
    member.replicas.OnLoadReport(*replica, {server.running, 0, kSlots, 1});
    if (server.leaving) {
      told.leaving_at = std::min(told.leaving_at, now);
      if (this->heed)
        member.notices.OnLeaving(*replica);
    }
    if (!turned_away) {
      --server.running;
      ++this->tally.served;
      return member.replicas.OnSuccess(*replica);
    }
    ++this->tally.turned_away;
    member.replicas.OnRejected(*replica);
    if (retry_after <= absl::ZeroDuration())
      return;
    if (now >= told.wants_none_until) {
      told.turned_away_at = now;
      told.early = 0;
    }
    told.wants_none_until = std::max(told.wants_none_until, now + retry_after);
    if (this->heed)
      member.notices.OnTurnedAway(*replica, retry_after);
  }

  const bool heed;
  const absl::Duration message_interval;
  SeededRandom random{9};
  EngineSpeedModels speeds{clock};
  Placement placement{"a", this->speeds};
  std::vector<Server> servers;
  std::vector<std::unique_ptr<Member>> members;
  std::map<std::pair<absl::Time, uint64_t>, std::function<void()>> events;
  uint64_t next_id = 0;
};

const std::vector<size_t> kFleets = {8, 60, 195};

// Guards against instances that go on sending to a replica that has told them
// that it is leaving, while its entry in the registry says that it is ready,
// and against a new process at its address that gets nothing.
BOOST_DATA_TEST_CASE(leaving_replica_gets_nothing_after_the_drain_time,
                     boost::unit_test::data::make(kFleets),
                     instances) {
  for (Notices notices : {Notices::kIgnored, Notices::kHeeded}) {
    Fleet fleet(instances, 4, notices);
    fleet.Load(400, absl::Seconds(3));
    fleet.SetLeaving(1);
    fleet.Load(400, absl::Seconds(8));
    bool heeded = notices == Notices::kHeeded;
    BOOST_TEST((fleet.tally.late_arrivals == 0) == heeded);
    if (!heeded)
      continue;
    BOOST_TEST(fleet.tally.refused == 0);
    // All replicas leave; the last one comes back at the same address.
    for (size_t replica : {0, 2, 3})
      fleet.SetLeaving(replica);
    fleet.Load(400, absl::Seconds(4));
    BOOST_TEST(fleet.tally.late_arrivals == 0);
    fleet.Restart(3);
    fleet.tally = {};
    fleet.Load(200, absl::Seconds(4));
    BOOST_TEST(fleet.tally.refused == 0);
    BOOST_TEST(fleet.tally.served > 700);
  }
}

// Guards against requests to a replica before the time that it has named to an
// instance, also where all replicas of the service have.
BOOST_DATA_TEST_CASE(closed_replica_gets_nothing_before_its_time,
                     boost::unit_test::data::make(kFleets),
                     instances) {
  for (size_t closed : {1, 4}) {
    for (Notices notices : {Notices::kIgnored, Notices::kHeeded}) {
      Fleet fleet(instances, 4, notices);
      fleet.Load(400, absl::Seconds(3));
      for (size_t replica = 0; replica < closed; ++replica)
        fleet.Close(replica, absl::Seconds(6), absl::Seconds(4));
      fleet.Load(400, absl::Seconds(12));
      // A large fleet sends too few requests for each instance to break it.
      if (notices == Notices::kHeeded)
        BOOST_TEST(fleet.tally.most_early <= kMaxEarlyRequests);
      else if (instances == 8)
        BOOST_TEST(fleet.tally.most_early > kMaxEarlyRequests);
    }
  }
}

// The load: four replicas, of which three turn all requests away for 6 s. The
// fourth, and the three after their return, carry it. Guards against callers
// that are refused meanwhile, and against a herd at the return.
BOOST_DATA_TEST_CASE(fourth_replica_serves_while_three_are_closed,
                     boost::unit_test::data::make(kFleets),
                     instances) {
  constexpr double kRequestsPerS = 400;
  constexpr absl::Duration kDuration = absl::Seconds(12);
  Tally tallies[2];
  for (Notices notices : {Notices::kIgnored, Notices::kHeeded}) {
    Fleet fleet(instances, 4, notices);
    fleet.Load(kRequestsPerS, absl::Seconds(2));
    fleet.tally = {};
    for (size_t replica : {0, 1, 2})
      fleet.Close(replica, absl::Seconds(6), absl::Seconds(4));
    fleet.Load(kRequestsPerS, kDuration);
    tallies[notices == Notices::kHeeded ? 1 : 0] = fleet.tally;
  }
  const Tally& before = tallies[0];
  const Tally& after = tallies[1];
  BOOST_TEST_MESSAGE(instances
                     << " instances: turned away " << before.turned_away
                     << " before, " << after.turned_away << " after; served "
                     << before.served << " and " << after.served << "; refused "
                     << after.refused);
  double sent = kRequestsPerS * absl::ToDoubleSeconds(kDuration);
  BOOST_TEST(after.served > 0.8 * sent);
  BOOST_TEST(after.served >= before.served);
  BOOST_TEST(after.turned_away < before.turned_away);
}

}  // namespace
}  // namespace cranberryhill::forward
