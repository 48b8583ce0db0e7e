#include "cranberryhill/environment/config_follower.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/executor.h"
#include "cranberryhill/environment/environment_operations.h"
#include "cranberryhill/environment/test_documents.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

constexpr size_t kInstances = 4;
constexpr absl::Duration kInForceWithin = absl::Seconds(6);  // Invariant I9.
constexpr absl::Duration kMessageInterval = absl::Seconds(1);
constexpr absl::Duration kTick = absl::Milliseconds(50);

ProductionVersion MakeVersion(uint64_t generation, int variant = 0) {
  auto json = SmallDocument();
  json["limits"]["body_bytes"] = 1000 + variant;
  auto document =
      Capture([&] { return ParseEnvironmentDocument(json.dump()); });
  std::string text = CanonicalText(document.value());
  return {generation, generation, DocumentDigest(text), text};
}

/// Instances that follow one environment over a network with partitions.
class Fleet {
 public:
  Fleet() : executor(this->clock), operator_table(this->rows) {
    for (size_t i = 0; i < kInstances; ++i)
      this->Restart(i);
  }

  void Restart(size_t i) {
    Instance& instance = this->instances[i];
    ++instance.incarnation;
    instance.follower = std::make_unique<ConfigFollower>("annex", this->random);
    instance.started = this->clock.Now();
    instance.highest = 0;
    instance.reached.clear();
    std::vector<std::string> peers;
    for (size_t j = 0; j < kInstances; ++j) {
      if (j != i)
        peers.push_back(std::to_string(j));
    }
    this->Run(i, instance.follower->Start(this->clock.Now(), peers));
  }

  void SetTable(size_t i, bool up) {
    this->instances[i].table = up;
    this->instances[i].table_since = this->clock.Now();
  }

  void SetLink(size_t i, size_t j, bool up) {
    this->links[i][j] = this->links[j][i] = up;
    this->link_since[i][j] = this->link_since[j][i] = this->clock.Now();
  }

  void Promote(int variant) {
    ProductionVersion version = MakeVersion(0, variant);
    EnvironmentOperations operations(this->operator_table, "annex");
    std::string number = std::to_string(this->next_token++);
    operations.Apply({{"o", "a" + number, {}}, version.text, {}},
                     [](const auto&) {});
    operations.Promote({{"o", "p" + number, {}}, {}}, [&](const auto& result) {
      this->promoted[result.generation] = this->clock.Now();
    });
  }

  /// Lets time pass and checks the invariants all the while.
  void RunFor(absl::Duration duration) {
    for (absl::Time end = this->clock.Now() + duration;
         this->clock.Now() < end;) {
      this->executor.RunFor(kTick);
      for (size_t i = 0; i < kInstances; ++i) {
        Instance& instance = this->instances[i];
        if (this->clock.Now() >= instance.follower->NextWake())
          this->Run(i, instance.follower->OnTimer(this->clock.Now()));
        this->Announce(i);
        uint64_t generation = instance.follower->generation();
        RC_ASSERT(generation >= instance.highest);
        if (generation > instance.highest)
          instance.reached[generation] = this->clock.Now();
        instance.highest = generation;
      }
      this->CheckTimeLimit();
    }
  }

 private:
  struct Instance {
    std::unique_ptr<ConfigFollower> follower;
    int incarnation = 0;
    absl::Time started;
    absl::Time next_message;
    bool table = true;
    absl::Time table_since;
    uint64_t highest = 0;
    std::map<uint64_t, absl::Time> reached;
  };

  absl::Duration Latency() {
    return absl::Milliseconds(this->random.UniformInt(1, 60));
  }

  /// Runs `task` unless instance `i` has restarted by then.
  void Later(size_t i, const std::function<void()>& task) {
    int incarnation = this->instances[i].incarnation;
    this->executor.RunAfter(this->Latency(), [this, i, incarnation, task] {
      if (this->instances[i].incarnation == incarnation)
        task();
    });
  }

  void Run(size_t i, const FollowerActions& actions) {
    for (const FollowerAction& action : actions) {
      if (const auto* read = std::get_if<ReadRowAction>(&action))
        this->ReadRow(i, *read);
      if (const auto* fetch = std::get_if<FetchFromPeerAction>(&action))
        this->Fetch(i, *fetch);
    }
  }

  void ReadRow(size_t i, const ReadRowAction& read) {
    this->Later(i, [this, i, read] {
      if (!this->instances[i].table)
        return;
      ReadOutcome rows = this->rows.Read({read.key});
      this->Later(i, [this, i, read, rows] {
        Instance& instance = this->instances[i];
        if (instance.table) {
          this->Run(i, instance.follower->OnRow(read.request, rows,
                                                this->clock.Now()));
        }
      });
    });
  }

  void Fetch(size_t i, const FetchFromPeerAction& fetch) {
    size_t peer = std::stoul(fetch.peer);
    this->Later(i, [this, i, peer, fetch] {
      if (!this->links[i][peer])
        return;
      auto version = this->instances[peer].follower->in_force();
      Outcome<ProductionVersion> outcome =
          version == nullptr ? Outcome<ProductionVersion>(
                                   Error{ErrorCode::kNotFound, "", "", ""})
                             : Outcome<ProductionVersion>(version->production);
      this->Later(i, [this, i, peer, fetch, outcome] {
        if (this->links[i][peer]) {
          this->Run(i, this->instances[i].follower->OnPeerDocument(
                           fetch.request, outcome, this->clock.Now()));
        }
      });
    });
  }

  void Announce(size_t i) {
    Instance& sender = this->instances[i];
    auto version = sender.follower->in_force();
    if (version == nullptr || this->clock.Now() < sender.next_message)
      return;
    sender.next_message = this->clock.Now() + kMessageInterval;
    for (size_t j = 0; j < kInstances; ++j) {
      if (j == i || !this->links[i][j])
        continue;
      this->Later(j, [this, i, j, version] {
        this->Run(j, this->instances[j].follower->OnAnnouncement(
                         std::to_string(i), version->production.generation,
                         version->production.digest, this->clock.Now()));
      });
    }
  }

  void CheckTimeLimit() {
    absl::Time limit = this->clock.Now() - kInForceWithin;
    for (size_t i = 0; i < kInstances; ++i) {
      const Instance& instance = this->instances[i];
      if (instance.started > limit)
        continue;
      uint64_t expected = 0;
      if (instance.table && instance.table_since <= limit)
        expected = GenerationAt(this->promoted, limit);
      for (size_t j = 0; j < kInstances; ++j) {
        const Instance& peer = this->instances[j];
        if (j != i && this->links[i][j] && this->link_since[i][j] <= limit &&
            peer.started <= limit) {
          expected = std::max(expected, GenerationAt(peer.reached, limit));
        }
      }
      RC_ASSERT(instance.follower->generation() >= expected);
    }
  }

  static uint64_t GenerationAt(const std::map<uint64_t, absl::Time>& times,
                               absl::Time limit) {
    uint64_t highest = 0;
    for (const auto& [generation, time] : times) {
      if (time <= limit)
        highest = generation;
    }
    return highest;
  }

  ManualClock clock;
  ManualExecutor executor;
  SeededRandom random{1};
  TableRows rows;
  MemoryTable operator_table;
  std::array<Instance, kInstances> instances;
  bool links[kInstances][kInstances] = {};
  absl::Time link_since[kInstances][kInstances] = {};
  std::map<uint64_t, absl::Time> promoted;
  int next_token = 0;
};

// Guards against an instance that takes longer than 6 s to put a promoted
// version in force once the table or a peer that has it can be reached, and
// against one that goes back to a lower generation.
RC_BOOST_PROP(PromotedVersionsAreInForceInTime, ()) {
  Fleet fleet;
  fleet.Promote(0);
  int steps = *rc::gen::inRange(5, 60);
  for (int step = 0; step < steps; ++step) {
    size_t i = *rc::gen::inRange<size_t>(0, kInstances);
    size_t j = *rc::gen::inRange<size_t>(0, kInstances);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        fleet.SetTable(i, *rc::gen::arbitrary<bool>());
        break;
      case 1:
        fleet.SetLink(i, j, *rc::gen::arbitrary<bool>());
        break;
      case 2:
        fleet.Restart(i);
        break;
      case 3:
        fleet.Promote(step + 1);
        break;
      default:
        fleet.RunFor(absl::Milliseconds(*rc::gen::inRange(100, 9000)));
    }
  }
  fleet.RunFor(absl::Seconds(20));
}

struct OneFollower {
  SeededRandom random{1};
  ConfigFollower follower{"annex", random};
  absl::Time now = absl::UnixEpoch();
  FollowerActions actions = follower.Start(now, {"p1", "p2", "p3"});

  /// Answers the last read with the row that production needs.
  void AnswerProduction(const ProductionVersion& version) {
    uint64_t id = std::get<ReadRowAction>(this->actions.at(0)).request;
    StageRecord stage{version.generation, version.version, version.digest, 1};
    this->actions = this->follower.OnRow(
        id, ReadOutcome({{ProductionKey("annex"), 1, Encode(stage)}}),
        this->now);
  }
  void AnswerDocument(const ProductionVersion& version) {
    uint64_t id = std::get<ReadRowAction>(this->actions.at(0)).request;
    DocumentRecord record{
        version.version, version.text, version.digest, 0, "o", 0};
    this->actions = this->follower.OnRow(
        id,
        ReadOutcome(
            {{DocumentKey("annex", version.version), 1, Encode(record)}}),
        this->now);
  }
  void Poll() {
    this->now = this->follower.NextWake();
    this->actions = this->follower.OnTimer(this->now);
  }
};

// Guards against a document that this build cannot read replacing the version
// in force, or being fetched again at every poll.
BOOST_AUTO_TEST_CASE(UnreadableDocumentKeepsTheVersionInForce) {
  OneFollower one;
  ProductionVersion good = MakeVersion(1);
  one.AnswerProduction(good);
  one.AnswerDocument(good);
  BOOST_TEST(one.follower.generation() == 1U);

  ProductionVersion future = MakeVersion(2);
  future.text = R"({"environment": "annex", "new_field": 1})";
  future.digest = DocumentDigest(future.text);
  one.Poll();
  one.AnswerProduction(future);
  one.AnswerDocument(future);
  BOOST_REQUIRE(one.actions.size() == 1U);
  BOOST_TEST(std::holds_alternative<DocumentRefusedAction>(one.actions[0]));
  BOOST_TEST(one.follower.generation() == 1U);
  BOOST_TEST(one.follower.counters().refused_documents == 1U);

  one.Poll();
  one.AnswerProduction(future);
  BOOST_TEST(one.actions.empty());
}

// Guards against a table that was restored from an older copy, or a peer that
// lags, taking an instance back to a lower generation.
BOOST_AUTO_TEST_CASE(LowerGenerationsAreDropped) {
  OneFollower one;
  ProductionVersion second = MakeVersion(2);
  one.AnswerProduction(second);
  one.AnswerDocument(second);
  one.Poll();
  one.AnswerProduction(MakeVersion(1, 7));
  BOOST_TEST(one.actions.empty());
  BOOST_TEST(one.follower.counters().stale_generations == 1U);
  BOOST_TEST(one.follower.OnAnnouncement("p1", 1, "d", one.now).empty());
  BOOST_TEST(one.follower.generation() == 2U);
}

// Guards against a start that takes the first peer's answer although another
// one has a higher generation, and against a text that its digest contradicts.
BOOST_AUTO_TEST_CASE(StartWithoutTheTableTakesTheHighestGoodAnswer) {
  OneFollower one;
  one.Poll();  // The read of production has no answer in time.
  BOOST_REQUIRE(one.actions.size() == 3U);
  auto id = [&](size_t i) {
    return std::get<FetchFromPeerAction>(one.actions[i]).request;
  };
  ProductionVersion corrupt = MakeVersion(9);
  corrupt.text += " ";
  BOOST_TEST(one.follower.OnPeerDocument(id(0), corrupt, one.now).empty());
  one.follower.OnPeerDocument(id(1), MakeVersion(3), one.now);
  one.follower.OnPeerDocument(id(2), MakeVersion(5), one.now);
  BOOST_TEST(one.follower.generation() == 5U);
  BOOST_TEST(one.follower.counters().version_changes == 1U);
}

}  // namespace
}  // namespace cranberryhill
