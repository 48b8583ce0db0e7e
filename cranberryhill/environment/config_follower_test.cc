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
// An instance must put a promoted version in force within this time after it
// can reach the table or a peer that has the version.
constexpr absl::Duration kInForceWithin = absl::Seconds(6);
constexpr absl::Duration kMessageInterval = absl::Seconds(1);
constexpr absl::Duration kTickInterval = absl::Milliseconds(50);

// Returns a version whose version number equals `generation` and whose document
// depends on `variant`.
ProductionVersion MakeVersion(uint64_t generation, int variant = 0) {
  auto json = SmallDocument();
  json["limits"]["body_bytes"] = 1000 + variant;
  auto document =
      Capture([&] { return ParseEnvironmentDocument(json.dump()); });
  std::string text = CanonicalText(document.value());
  return {generation, generation, DocumentDigest(text), text};
}

/// Instances that follow one environment over a simulated network with
/// partitions.
class SimulatedFleet {
 public:
  SimulatedFleet() : executor(this->clock), operator_table(this->rows) {
    for (size_t i = 0; i < kInstances; ++i)
      this->Restart(i);
  }

  void Restart(size_t i) {
    Instance& instance = this->instances[i];
    ++instance.incarnation;
    instance.follower = std::make_unique<ConfigFollower>("annex", this->random);
    instance.started_at = this->clock.Now();
    instance.highest_generation = 0;
    instance.in_force_since.clear();
    std::vector<std::string> peers;
    for (size_t j = 0; j < kInstances; ++j) {
      if (j != i)
        peers.push_back(std::to_string(j));
    }
    this->RunActions(i, instance.follower->Start(this->clock.Now(), peers));
  }

  void SetTable(size_t i, bool is_up) {
    this->instances[i].is_table_reachable = is_up;
    this->instances[i].table_changed_at = this->clock.Now();
  }

  void SetLink(size_t i, size_t j, bool is_up) {
    this->is_linked[i][j] = this->is_linked[j][i] = is_up;
    this->link_changed_at[i][j] = this->link_changed_at[j][i] =
        this->clock.Now();
  }

  void Promote(int variant) {
    ProductionVersion version = MakeVersion(0, variant);
    EnvironmentOperations operations(this->operator_table, "annex");
    std::string token_number = std::to_string(this->next_token++);
    operations.Apply({{"o", "a" + token_number, {}}, version.text, {}},
                     [](const auto&) {});
    operations.Promote(
        {{"o", "p" + token_number, {}}, {}}, [&](const auto& result) {
          this->promoted_at[result.generation] = this->clock.Now();
        });
  }

  /// Advances the clock by `duration` and checks after each tick that no
  /// generation goes down and that versions are in force within kInForceWithin.
  void RunFor(absl::Duration duration) {
    for (absl::Time end = this->clock.Now() + duration;
         this->clock.Now() < end;) {
      this->executor.RunFor(kTickInterval);
      for (size_t i = 0; i < kInstances; ++i) {
        Instance& instance = this->instances[i];
        if (this->clock.Now() >= instance.follower->NextTimerTime())
          this->RunActions(i, instance.follower->OnTimer(this->clock.Now()));
        this->Announce(i);
        uint64_t generation = instance.follower->generation();
        RC_ASSERT(generation >= instance.highest_generation);
        if (generation > instance.highest_generation)
          instance.in_force_since[generation] = this->clock.Now();
        instance.highest_generation = generation;
      }
      this->CheckInForceInTime();
    }
  }

 private:
  struct Instance {
    std::unique_ptr<ConfigFollower> follower;
    int incarnation = 0;
    absl::Time started_at;
    absl::Time next_announcement;
    bool is_table_reachable = true;
    absl::Time table_changed_at;
    uint64_t highest_generation = 0;
    std::map<uint64_t, absl::Time> in_force_since;
  };

  absl::Duration Latency() {
    return absl::Milliseconds(this->random.UniformInt(1, 60));
  }

  /// Runs `task` after a random latency, unless instance `i` restarts before.
  void RunAfterLatency(size_t i, const std::function<void()>& task) {
    int incarnation = this->instances[i].incarnation;
    this->executor.RunAfter(this->Latency(), [this, i, incarnation, task] {
      if (this->instances[i].incarnation == incarnation)
        task();
    });
  }

  void RunActions(size_t i, const FollowerActions& actions) {
    for (const FollowerAction& action : actions) {
      if (const auto* read_action = std::get_if<ReadRowAction>(&action))
        this->ReadRow(i, *read_action);
      if (const auto* fetch_action = std::get_if<FetchFromPeerAction>(&action))
        this->FetchFromPeer(i, *fetch_action);
    }
  }

  void ReadRow(size_t i, const ReadRowAction& read_action) {
    this->RunAfterLatency(i, [this, i, read_action] {
      if (!this->instances[i].is_table_reachable)
        return;
      ReadOutcome rows = this->rows.Read({read_action.key});
      this->RunAfterLatency(i, [this, i, read_action, rows] {
        Instance& instance = this->instances[i];
        if (instance.is_table_reachable) {
          this->RunActions(
              i, instance.follower->OnRowRead(read_action.request, rows,
                                              this->clock.Now()));
        }
      });
    });
  }

  void FetchFromPeer(size_t i, const FetchFromPeerAction& fetch_action) {
    size_t peer = std::stoul(fetch_action.peer);
    this->RunAfterLatency(i, [this, i, peer, fetch_action] {
      if (!this->is_linked[i][peer])
        return;
      auto version = this->instances[peer].follower->in_force();
      Outcome<ProductionVersion> outcome =
          version == nullptr ? Outcome<ProductionVersion>(
                                   Error{ErrorCode::kNotFound, "", "", ""})
                             : Outcome<ProductionVersion>(version->production);
      this->RunAfterLatency(i, [this, i, peer, fetch_action, outcome] {
        if (this->is_linked[i][peer]) {
          this->RunActions(
              i, this->instances[i].follower->OnPeerDocument(
                     fetch_action.request, outcome, this->clock.Now()));
        }
      });
    });
  }

  void Announce(size_t i) {
    Instance& sender = this->instances[i];
    auto version = sender.follower->in_force();
    if (version == nullptr || this->clock.Now() < sender.next_announcement)
      return;
    sender.next_announcement = this->clock.Now() + kMessageInterval;
    for (size_t j = 0; j < kInstances; ++j) {
      if (j == i || !this->is_linked[i][j])
        continue;
      this->RunAfterLatency(j, [this, i, j, version] {
        this->RunActions(j,
                         this->instances[j].follower->OnAnnouncement(
                             std::to_string(i), version->production.generation,
                             version->production.digest, this->clock.Now()));
      });
    }
  }

  void CheckInForceInTime() {
    absl::Time latest_allowed = this->clock.Now() - kInForceWithin;
    for (size_t i = 0; i < kInstances; ++i) {
      const Instance& instance = this->instances[i];
      if (instance.started_at > latest_allowed)
        continue;
      uint64_t expected = 0;
      if (instance.is_table_reachable &&
          instance.table_changed_at <= latest_allowed)
        expected = HighestGenerationUntil(this->promoted_at, latest_allowed);
      for (size_t j = 0; j < kInstances; ++j) {
        const Instance& peer = this->instances[j];
        if (j != i && this->is_linked[i][j] &&
            this->link_changed_at[i][j] <= latest_allowed &&
            peer.started_at <= latest_allowed) {
          expected = std::max(
              expected,
              HighestGenerationUntil(peer.in_force_since, latest_allowed));
        }
      }
      RC_ASSERT(instance.follower->generation() >= expected);
    }
  }

  static uint64_t HighestGenerationUntil(
      const std::map<uint64_t, absl::Time>& times,
      absl::Time latest_allowed) {
    uint64_t highest_generation = 0;
    for (const auto& [generation, time] : times) {
      if (time <= latest_allowed)
        highest_generation = generation;
    }
    return highest_generation;
  }

  ManualClock clock;
  ManualExecutor executor;
  SeededRandom random{1};
  TableRows rows;
  MemoryTable operator_table;
  std::array<Instance, kInstances> instances;
  bool is_linked[kInstances][kInstances] = {};
  absl::Time link_changed_at[kInstances][kInstances] = {};
  std::map<uint64_t, absl::Time> promoted_at;
  int next_token = 0;
};

// Guards against an instance that takes longer than 6 s to put a promoted
// version in force although it can reach the table or a peer that has the
// version, and against an instance that returns to a lower generation.
RC_BOOST_PROP(PromotedVersionsAreInForceInTime, ()) {
  SimulatedFleet fleet;
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

/// A single follower whose actions the test answers.
struct SingleFollower {
  SeededRandom random{1};
  ConfigFollower follower{"annex", random};
  absl::Time now = absl::UnixEpoch();
  FollowerActions actions = follower.Start(now, {"p1", "p2", "p3"});

  /// Answers the last read with the production row of `version`.
  void AnswerProductionRead(const ProductionVersion& version) {
    uint64_t id = std::get<ReadRowAction>(this->actions.at(0)).request;
    StageRecord stage{version.generation, version.version, version.digest, 1};
    this->actions = this->follower.OnRowRead(
        id, ReadOutcome({{ProductionKey("annex"), 1, Encode(stage)}}),
        this->now);
  }
  /// Answers the last read with the document row of `version`.
  void AnswerDocumentRead(const ProductionVersion& version) {
    uint64_t id = std::get<ReadRowAction>(this->actions.at(0)).request;
    DocumentRecord record{
        version.version, version.text, version.digest, 0, "o", 0};
    this->actions = this->follower.OnRowRead(
        id,
        ReadOutcome(
            {{DocumentKey("annex", version.version), 1, Encode(record)}}),
        this->now);
  }
  /// Advances the time to the next timer and runs it.
  void Poll() {
    this->now = this->follower.NextTimerTime();
    this->actions = this->follower.OnTimer(this->now);
  }
};

// A document that this build cannot read must not replace the version in force
// and must not be fetched again at every poll.
BOOST_AUTO_TEST_CASE(UnreadableDocumentDoesNotReplaceVersionInForce) {
  SingleFollower single;
  ProductionVersion valid = MakeVersion(1);
  single.AnswerProductionRead(valid);
  single.AnswerDocumentRead(valid);
  BOOST_TEST(single.follower.generation() == 1U);

  ProductionVersion unreadable = MakeVersion(2);
  unreadable.text = R"({"environment": "annex", "new_field": 1})";
  unreadable.digest = DocumentDigest(unreadable.text);
  single.Poll();
  single.AnswerProductionRead(unreadable);
  single.AnswerDocumentRead(unreadable);
  BOOST_REQUIRE(single.actions.size() == 1U);
  BOOST_TEST(std::holds_alternative<DocumentRefusedAction>(single.actions[0]));
  BOOST_TEST(single.follower.generation() == 1U);
  BOOST_TEST(single.follower.counters().refused_documents == 1U);

  single.Poll();
  single.AnswerProductionRead(unreadable);
  BOOST_TEST(single.actions.empty());
}

// Guards against a return to a lower generation when the table was restored
// from an older copy or a peer is behind.
BOOST_AUTO_TEST_CASE(LowerGenerationsAreIgnored) {
  SingleFollower single;
  ProductionVersion second = MakeVersion(2);
  single.AnswerProductionRead(second);
  single.AnswerDocumentRead(second);
  single.Poll();
  single.AnswerProductionRead(MakeVersion(1, 7));
  BOOST_TEST(single.actions.empty());
  BOOST_TEST(single.follower.counters().stale_generations == 1U);
  BOOST_TEST(single.follower.OnAnnouncement("p1", 1, "d", single.now).empty());
  BOOST_TEST(single.follower.generation() == 2U);
}

// Guards against a start that uses the first peer's answer although another
// answer has a higher generation, and against accepting a text that does not
// match its digest.
BOOST_AUTO_TEST_CASE(StartWithoutTableTakesHighestValidGeneration) {
  SingleFollower single;
  single.Poll();  // The read of the production row times out.
  BOOST_REQUIRE(single.actions.size() == 3U);
  auto id = [&](size_t i) {
    return std::get<FetchFromPeerAction>(single.actions[i]).request;
  };
  ProductionVersion corrupt = MakeVersion(9);
  corrupt.text += " ";
  BOOST_TEST(
      single.follower.OnPeerDocument(id(0), corrupt, single.now).empty());
  single.follower.OnPeerDocument(id(1), MakeVersion(3), single.now);
  single.follower.OnPeerDocument(id(2), MakeVersion(5), single.now);
  BOOST_TEST(single.follower.generation() == 5U);
  BOOST_TEST(single.follower.counters().version_changes == 1U);
}

}  // namespace
}  // namespace cranberryhill
