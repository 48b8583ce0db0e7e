#include "cranberryhill/forward/prompt_part_quarantine.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/peer_load_sync.h"

namespace cranberryhill::forward {
namespace {

constexpr uint64_t kFirst = 1;
constexpr uint64_t kCrashing = 2;
constexpr uint64_t kOther = 3;
/// Numbers of processes.
constexpr uint64_t kOwn = 11;
constexpr uint64_t kPeer = 12;

/// @param shared_parts Ids of the parts before the prompt's own part.
PromptDescription MakePrompt(const std::vector<uint64_t>& shared_parts) {
  PromptDescription prompt;
  for (uint64_t id : shared_parts)
    prompt.parts.push_back({id, 100});
  prompt.parts.push_back({999, 100});
  return prompt;
}

struct Fixture {
  /// @param engine The engine that crashes now.
  void Crash(PromptPartQuarantine& quarantine,
             uint64_t engine,
             const std::vector<uint64_t>& shared_parts) {
    quarantine.OnCrash({engine, this->clock.Now()},
                       std::vector{MakePrompt(shared_parts)});
  }
  bool IsQuarantined(const PromptPartQuarantine& quarantine,
                     const std::vector<uint64_t>& shared_parts) {
    return quarantine.IsQuarantined(MakePrompt(shared_parts));
  }

  ManualClock clock;
  PromptPartQuarantine own{clock};
  PromptPartQuarantine peer{clock};
};

// Guards against a part that crashes engine after engine, and against refusing
// sound prompts that share their first part with it.
BOOST_FIXTURE_TEST_CASE(third_crash_quarantines_the_part, Fixture) {
  own.OnAnswered(MakePrompt({kFirst, kOther}));
  for (uint64_t crash = 1; crash <= 3; ++crash) {
    BOOST_TEST(!this->IsQuarantined(own, {kFirst, kCrashing}));
    this->Crash(own, crash, {kFirst, kCrashing});
  }
  BOOST_TEST(this->IsQuarantined(own, {kFirst, kCrashing}));
  BOOST_TEST(this->IsQuarantined(own, {kOther, kCrashing}));
  BOOST_TEST(!this->IsQuarantined(own, {kFirst, kOther}));
}

// Guards against blaming the part that most prompts share, when no prompt has
// been answered yet.
BOOST_FIXTURE_TEST_CASE(later_part_is_suspected_first, Fixture) {
  for (uint64_t crash = 1; crash <= 3; ++crash)
    this->Crash(own, crash, {kFirst, kCrashing});
  BOOST_TEST(this->IsQuarantined(own, {kFirst, kCrashing}));
  BOOST_TEST(!this->IsQuarantined(own, {kFirst, kOther}));
}

// Guards against counting the crashes of an engine that is back under its id as
// one crash, and against counting one twice that two instances have seen.
BOOST_FIXTURE_TEST_CASE(each_crash_of_one_engine_counts_once, Fixture) {
  for (int crash = 0; crash < 3; ++crash) {
    BOOST_TEST(!this->IsQuarantined(own, {kOther}));
    this->Crash(peer, 1, {kOther});
    this->clock.Advance(absl::Milliseconds(100));
    this->Crash(own, 1, {kOther});
    own.Merge(peer.Report(), kPeer);
    this->clock.Advance(absl::Seconds(1));
  }
  BOOST_TEST(this->IsQuarantined(own, {kOther}));
}

// Guards against the own part of a request being taken for a shared one.
BOOST_FIXTURE_TEST_CASE(own_part_is_never_suspected, Fixture) {
  for (uint64_t crash = 1; crash <= 9; ++crash)
    this->Crash(own, crash, {});
  BOOST_TEST(!this->IsQuarantined(own, {999}));
}

// Guards against a part that was at crashed engines by chance, and collects one
// crash after the other.
BOOST_FIXTURE_TEST_CASE(explained_crashes_do_not_count_against_other_parts,
                        Fixture) {
  for (uint64_t crash = 1; crash <= 3; ++crash) {
    this->Crash(own, crash, {kFirst, kCrashing});
    if (crash > 1)
      this->Crash(own, crash, {kOther});
  }
  this->Crash(own, 4, {kCrashing});
  this->Crash(own, 4, {kOther});
  BOOST_TEST(!this->IsQuarantined(own, {kOther}));
}

// Guards against refusing prompts for good whose part proves to be sound, here
// or at a peer.
BOOST_FIXTURE_TEST_CASE(whole_answer_ends_the_quarantine_everywhere, Fixture) {
  for (uint64_t crash = 1; crash <= 3; ++crash)
    this->Crash(own, crash, {kOther});
  peer.Merge(own.Report(), kOwn);
  BOOST_TEST(this->IsQuarantined(peer, {kOther}));
  own.OnAnswered(MakePrompt({kOther}));
  peer.Merge(own.Report(), kOwn);
  BOOST_TEST(!this->IsQuarantined(own, {kOther}));
  BOOST_TEST(!this->IsQuarantined(peer, {kOther}));
}

// Guards against a part that one instance knows to be sound being refused by
// its peers.
BOOST_FIXTURE_TEST_CASE(peers_learn_that_a_suspect_part_is_sound, Fixture) {
  own.OnAnswered(MakePrompt({kOther}));
  this->Crash(peer, 1, {kOther});
  this->Crash(peer, 2, {kOther});
  own.Merge(peer.Report(), kPeer);
  peer.Merge(own.Report(), kOwn);
  this->Crash(peer, 3, {kOther});
  BOOST_TEST(!this->IsQuarantined(peer, {kOther}));
}

// Guards against crashes that count twice because several instances, or
// repeated messages, report them.
BOOST_FIXTURE_TEST_CASE(crashes_of_peers_are_counted_once, Fixture) {
  for (uint64_t crash : {1, 2}) {
    this->Crash(own, crash, {kOther});
    this->Crash(peer, crash, {kOther});
    for (int repeat = 0; repeat < 3; ++repeat) {
      own.Merge(peer.Report(), kPeer);
      peer.Merge(own.Report(), kOwn);
    }
  }
  BOOST_TEST(!this->IsQuarantined(own, {kOther}));
  this->Crash(peer, 3, {kOther});
  own.Merge(peer.Report(), kPeer);
  BOOST_TEST(this->IsQuarantined(own, {kOther}));
}

// Guards against an instance that was paused, and takes the messages that it
// reads late for reports of further crashes.
BOOST_FIXTURE_TEST_CASE(messages_read_late_tell_of_no_further_crash, Fixture) {
  own.Merge(peer.Report(), kPeer);
  this->Crash(peer, 1, {kOther});
  std::vector<PromptPartReport> unread;
  for (int message = 0; message < 5; ++message) {
    unread.push_back(peer.Report());
    this->clock.Advance(absl::Seconds(1));
  }
  for (const PromptPartReport& report : unread)
    own.Merge(report, kPeer);
  BOOST_TEST(!this->IsQuarantined(own, {kOther}));
}

// Guards against instances that renew each other's quarantine for good.
BOOST_FIXTURE_TEST_CASE(quarantine_ends_although_peers_repeat_it, Fixture) {
  for (uint64_t crash = 1; crash <= 3; ++crash)
    this->Crash(own, crash, {kOther});
  for (int minute = 0; minute < 11; ++minute) {
    peer.Merge(own.Report(), kOwn);
    own.Merge(peer.Report(), kPeer);
    this->clock.Advance(absl::Minutes(1));
  }
  BOOST_TEST(!this->IsQuarantined(own, {kOther}));
  BOOST_TEST(!this->IsQuarantined(peer, {kOther}));
}

// Guards against reports that do not fit into a datagram.
BOOST_FIXTURE_TEST_CASE(report_is_bounded, Fixture) {
  for (uint64_t part = 100; part < 5000; ++part)
    this->Crash(own, part % 50, {part});
  LoadMessage message;
  message.prompt_parts = own.Report();
  BOOST_TEST(EncodeLoadMessage(message).size() < 2000U);
}

/// Instances in front of engines that crash when they begin to answer a prompt
/// with the crashing part. Messages between instances are delayed, and one in
/// ten is lost.
class Fleet {
 public:
  explicit Fleet(int instance_count)
      : message_interval(absl::Milliseconds(std::max(60, 6 * instance_count))) {
    for (int i = 0; i < instance_count; ++i)
      this->instances.push_back(
          std::make_unique<PromptPartQuarantine>(this->clock));
    this->engine_up_at.resize(kEngines, absl::UnixEpoch());
  }

  void Run() {
    this->Schedule(absl::ZeroDuration(), [this] { this->SendReports(); });
    for (absl::Duration at; at < kSimulatedTime; at += absl::Milliseconds(10))
      this->Schedule(at,
                     [this] { this->Send(this->DrawSoundPrompt(), false); });
    for (absl::Duration at = absl::Seconds(3); at < kSimulatedTime;
         at += absl::Milliseconds(250)) {
      this->Schedule(at, [this] {
        this->Send({this->DrawFirstPart(), kCrashing}, true);
      });
    }
    while (!this->events.empty()) {
      auto [at, event] = this->events.begin()->second;
      this->events.erase(this->events.begin());
      this->clock.Set(at);
      event();
    }
  }

  int crashes = 0;
  int sent_too_late = 0;
  int sound_refused = 0;

 private:
  using Event = std::pair<absl::Time, std::function<void()>>;
  struct RunInProgress {
    size_t instance;
    PromptDescription prompt;
    absl::Time begun_at;
  };

  static constexpr int kEngines = 12;
  static constexpr int kFirstParts = 4;
  static constexpr int kSecondParts = 300;
  static constexpr absl::Duration kSimulatedTime = absl::Seconds(40);
  static constexpr absl::Duration kRestartTime = absl::Seconds(4);
  static constexpr absl::Duration kQueueTime = absl::Milliseconds(20);
  static constexpr absl::Duration kFirstEventTime = absl::Milliseconds(40);
  static constexpr absl::Duration kAnswerTime = absl::Milliseconds(500);
  /// Time in which a fact must be known to all instances.
  static constexpr absl::Duration kStableWindow = absl::Seconds(3);

  void Schedule(absl::Duration wait, std::function<void()> event) {
    absl::Time at = this->clock.Now() + wait;
    this->events.emplace(std::pair(at, this->next_event++),
                         Event(at, std::move(event)));
  }

  uint64_t DrawFirstPart() {
    return 100 + this->random.UniformInt(0, kFirstParts - 1);
  }
  std::vector<uint64_t> DrawSoundPrompt() {
    return {this->DrawFirstPart(),
            1000 + this->random.UniformInt(0, kSecondParts - 1)};
  }

  void SendReports() {
    for (size_t i = 0; i < this->instances.size(); ++i) {
      const auto& sender = this->instances[i];
      PromptPartReport report = sender->Report();
      for (const auto& receiver : this->instances) {
        if (receiver == sender || this->random.UniformInt(0, 9) == 0)
          continue;
        this->Schedule(absl::Milliseconds(this->random.UniformInt(1, 50)),
                       [&receiver, report, i] { receiver->Merge(report, i); });
      }
    }
    if (this->clock.Now() < absl::UnixEpoch() + kSimulatedTime)
      this->Schedule(this->message_interval, [this] { this->SendReports(); });
  }

  void Send(const std::vector<uint64_t>& shared_parts, bool crashes_engine) {
    size_t instance = this->random.UniformInt(0, this->instances.size() - 1);
    PromptDescription prompt = MakePrompt(shared_parts);
    if (this->instances[instance]->IsQuarantined(prompt)) {
      this->sound_refused += crashes_engine ? 0 : 1;
      return;
    }
    if (crashes_engine &&
        this->clock.Now() > this->fifth_crash_at + kStableWindow)
      ++this->sent_too_late;
    auto engine = static_cast<size_t>(this->random.UniformInt(0, kEngines - 1));
    if (this->clock.Now() < this->engine_up_at[engine])
      return;
    absl::Time boot = this->engine_up_at[engine];
    uint64_t run = this->next_run++;
    this->Schedule(kQueueTime, [=, this] {
      if (this->engine_up_at[engine] != boot)
        return;
      this->running[engine][run] = {instance, prompt, this->clock.Now()};
      this->Schedule(crashes_engine ? kFirstEventTime / 2 : kAnswerTime,
                     [=, this] { this->End(engine, run, crashes_engine); });
    });
  }

  void End(size_t engine, uint64_t run, bool crashes_engine) {
    auto found = this->running[engine].find(run);
    if (found == this->running[engine].end())
      return;  // The engine has crashed.
    if (!crashes_engine) {
      this->instances[found->second.instance]->OnAnswered(found->second.prompt);
      this->running[engine].erase(found);
      return;
    }
    absl::Time now = this->clock.Now();
    if (++this->crashes == 5)
      this->fifth_crash_at = now;
    this->engine_up_at[engine] = now + kRestartTime;
    for (const auto& [id, broken] : std::exchange(this->running[engine], {})) {
      if (now - broken.begun_at >= kFirstEventTime)
        continue;
      this->Schedule(absl::Milliseconds(this->random.UniformInt(1, 50)),
                     [this, crash = EngineCrash{engine, now}, broken = broken] {
                       this->instances[broken.instance]->OnCrash(
                           crash, {&broken.prompt, 1});
                     });
    }
  }

  const absl::Duration message_interval;
  ManualClock clock;
  SeededRandom random{17};
  std::vector<std::unique_ptr<PromptPartQuarantine>> instances;
  std::vector<absl::Time> engine_up_at;
  std::map<size_t, std::map<uint64_t, RunInProgress>> running;  // By engine.
  std::map<std::pair<absl::Time, uint64_t>, Event> events;
  uint64_t next_event = 0;
  uint64_t next_run = 0;
  absl::Time fifth_crash_at = absl::InfiniteFuture();
};

// Guards against a crashing part that many instances go on sending, because
// each of them sees few of the crashes, and against refusing sound prompts.
BOOST_DATA_TEST_CASE(fleet_of_any_size_learns_of_a_crashing_part,
                     boost::unit_test::data::make({8, 60, 195}),
                     instance_count) {
  constexpr int kMaxSentTooLate = 3;
  Fleet fleet(instance_count);
  fleet.Run();
  BOOST_TEST_MESSAGE(instance_count << " instances: " << fleet.crashes
                                    << " crashes");
  BOOST_TEST(fleet.crashes > 0);
  BOOST_TEST(fleet.sent_too_late <= kMaxSentTooLate);
  BOOST_TEST(fleet.sound_refused == 0);
}

}  // namespace
}  // namespace cranberryhill::forward
