#include "cranberryhill/forward/prompt_part_quarantine.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
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

/// The crashes of one incident as two or three instances see them. A prompt
/// with the crashing part was at each crash, but the first instance sent only
/// two of these; sound prompts of it were at the third engine by chance.
class Incident {
 public:
  struct Sighting {
    size_t instance;
    uint64_t engine;
    std::vector<uint64_t> shared_parts;
  };

  explicit Incident(size_t instance_count) {
    for (size_t i = 0; i < instance_count; ++i)
      this->instances.push_back(
          std::make_unique<PromptPartQuarantine>(this->clock));
    this->sightings = {
        {0, 1, {kFirst, kCrashing}}, {0, 2, {kFirst, kCrashing}},
        {0, 3, {kFirst, 101}},       {0, 3, {kFirst, 102}},
        {0, 3, {kFirst, 103}},       {1, 3, {kFirst, kCrashing}}};
    if (instance_count > 2)
      this->sightings.push_back({2, 2, {kFirst, 104}});
  }

  void See(const Sighting& sighting) {
    this->instances[sighting.instance]->OnCrash(
        {sighting.engine, this->clock.Now()},
        std::vector{MakePrompt(sighting.shared_parts)});
  }

  void ExchangeReports() {
    for (size_t from = 0; from < this->instances.size(); ++from) {
      PromptPartReport report = this->instances[from]->Report();
      for (size_t to = 0; to < this->instances.size(); ++to) {
        if (to != from)
          this->instances[to]->Merge(report, from);
      }
    }
  }

  /// @return True if all instances refuse the crashing part and no other one.
  bool IsJudgedRight() const {
    return std::all_of(this->instances.begin(), this->instances.end(),
                       [](const auto& one) {
                         return one->IsQuarantined(MakePrompt({kCrashing})) &&
                                !one->IsQuarantined(MakePrompt({kFirst})) &&
                                one->QuarantinedCount() == 1;
                       });
  }

  ManualClock clock;
  std::vector<std::unique_ptr<PromptPartQuarantine>> instances;
  std::vector<Sighting> sightings;
};

// Guards against a verdict that depends on the order in which crashes and the
// reports of peers arrive: the part that all prompts share is refused for
// minutes if it is the first one with enough crashes.
BOOST_DATA_TEST_CASE(order_of_arrival_does_not_change_the_verdict,
                     boost::unit_test::data::make({2, 3}),
                     instance_count) {
  std::vector<Incident::Sighting> order = Incident(instance_count).sightings;
  std::vector<size_t> indices(order.size());
  std::iota(indices.begin(), indices.end(), 0);
  int wrong = 0;
  do {
    // Whether reports are exchanged after the first sightings, as the bits say.
    for (unsigned reports_after = 0;
         reports_after<(1U << order.size()); reports_after += instance_count> 2
             ? 13
             : 1) {
      Incident incident(instance_count);
      for (size_t step = 0; step < indices.size(); ++step) {
        incident.See(order[indices[step]]);
        if ((reports_after >> step & 1) != 0)
          incident.ExchangeReports();
      }
      incident.ExchangeReports();
      incident.ExchangeReports();
      wrong += incident.IsJudgedRight() ? 0 : 1;
    }
  } while (std::next_permutation(indices.begin(), indices.end()));
  BOOST_TEST(wrong == 0);
}

// Guards against a wrong verdict that stays because the instance that could
// correct it has ended, and refused requests prove nothing.
BOOST_AUTO_TEST_CASE(trial_undoes_a_wrong_verdict) {
  Incident incident(2);
  PromptPartQuarantine& own = *incident.instances[0];
  for (const Incident::Sighting& sighting : incident.sightings) {
    if (sighting.instance == 0)
      incident.See(sighting);
  }
  PromptDescription sound = MakePrompt({kFirst, 200});
  BOOST_TEST(own.IsQuarantined(sound));
  for (const QuarantinedPart& part : own.Quarantined())
    BOOST_TEST(!part.is_certain);
  // Peers may still report.
  BOOST_TEST(!own.TakeTrial(sound, 0));
  incident.clock.Advance(absl::Seconds(1));
  // It has another suspect part.
  BOOST_TEST(!own.TakeTrial(MakePrompt({kFirst, kCrashing}), 0));
  BOOST_TEST(!own.TakeTrial(sound, 1));
  BOOST_TEST(own.TakeTrial(sound, 0));
  BOOST_TEST(!own.TakeTrial(sound, 0));
  own.OnAnswered(sound);
  BOOST_TEST(!own.IsQuarantined(sound));
  incident.instances[1]->Merge(own.Report(), kOwn);
  BOOST_TEST(!incident.instances[1]->IsQuarantined(sound));
}

// Guards against trials that go on although the part crashes engines.
BOOST_FIXTURE_TEST_CASE(trial_that_crashes_an_engine_is_the_last, Fixture) {
  for (uint64_t crash = 1; crash <= 3; ++crash)
    this->Crash(own, crash, {kCrashing, 100 + crash});
  this->clock.Advance(absl::Seconds(1));
  PromptDescription prompt = MakePrompt({kCrashing, 200});
  BOOST_TEST(own.TakeTrial(prompt, 0));
  this->Crash(own, 4, {kCrashing, 200});
  BOOST_TEST(own.IsQuarantined(prompt));
  for (const QuarantinedPart& part : own.Quarantined())
    BOOST_TEST(part.is_certain);
  for (int second = 0; second < 60; ++second) {
    this->clock.Advance(absl::Seconds(1));
    BOOST_TEST(!own.TakeTrial(MakePrompt({kCrashing, 300}), 0));
  }
}

// Guards against instances that prolong each other's quarantine by the time
// that messages take.
BOOST_FIXTURE_TEST_CASE(late_messages_do_not_prolong_a_quarantine, Fixture) {
  for (uint64_t crash = 1; crash <= 3; ++crash)
    this->Crash(own, crash, {kOther});
  peer.Merge(own.Report(), kOwn);
  own.Merge(peer.Report(), kPeer);
  constexpr absl::Duration kInterval = absl::Milliseconds(500);
  absl::Time end = this->clock.Now() + absl::Minutes(11);
  while (this->clock.Now() < end) {
    for (absl::Duration latency :
         {absl::Milliseconds(5), absl::Milliseconds(450)}) {
      PromptPartReport of_own = own.Report();
      PromptPartReport of_peer = peer.Report();
      this->clock.Advance(latency);
      peer.Merge(of_own, kOwn);
      own.Merge(of_peer, kPeer);
      this->clock.Advance(kInterval - latency);
    }
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
  /// @param first_parts Number of first parts, which prompts share.
  /// @param crashes_from When prompts with the crashing part begin to come.
  /// @param answer_time Until an answer tells that its prompt is sound.
  Fleet(int instance_count,
        int first_parts,
        absl::Duration crashes_from,
        absl::Duration answer_time)
      : first_parts(first_parts),
        crashes_from(crashes_from),
        answer_time(answer_time),
        message_interval(absl::Milliseconds(std::max(60, 6 * instance_count))) {
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
    for (absl::Duration at = this->crashes_from; at < kSimulatedTime;
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
  // From two windows after the fifth crash, or the last one if there are fewer.
  int sound_sent_late = 0;
  int sound_refused_late = 0;

 private:
  using Event = std::pair<absl::Time, std::function<void()>>;
  struct RunInProgress {
    size_t instance;
    PromptDescription prompt;
    absl::Time begun_at;
  };

  static constexpr int kEngines = 12;
  static constexpr int kSecondParts = 300;
  static constexpr absl::Duration kSimulatedTime = absl::Seconds(40);
  static constexpr absl::Duration kRestartTime = absl::Seconds(4);
  static constexpr absl::Duration kQueueTime = absl::Milliseconds(20);
  static constexpr absl::Duration kFirstEventTime = absl::Milliseconds(40);
  /// Time in which a fact must be known to all instances.
  static constexpr absl::Duration kStableWindow = absl::Seconds(3);

  void Schedule(absl::Duration wait, std::function<void()> event) {
    absl::Time at = this->clock.Now() + wait;
    this->events.emplace(std::pair(at, this->next_event++),
                         Event(at, std::move(event)));
  }

  uint64_t DrawFirstPart() {
    return 100 + this->random.UniformInt(0, this->first_parts - 1);
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
    bool counts_as_late =
        !crashes_engine &&
        this->clock.Now() > this->counted_crash_at + 2 * kStableWindow;

    this->sound_sent_late += counts_as_late ? 1 : 0;
    PromptPartQuarantine& quarantine = *this->instances[instance];
    if (quarantine.IsQuarantined(prompt) &&
        !quarantine.TakeTrial(prompt, instance)) {
      this->sound_refused += crashes_engine ? 0 : 1;
      this->sound_refused_late += counts_as_late ? 1 : 0;
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
      this->Schedule(crashes_engine ? kFirstEventTime / 2 : this->answer_time,
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
    if (++this->crashes <= 5)
      this->counted_crash_at = now;
    if (this->crashes == 5)
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

  const int first_parts;
  const absl::Duration crashes_from;
  const absl::Duration answer_time;
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
  // The fifth, or the last one before.
  absl::Time counted_crash_at = absl::InfiniteFuture();
};

// Guards against a crashing part that many instances go on sending, because
// each of them sees few of the crashes, and against refusing sound prompts.
BOOST_DATA_TEST_CASE(fleet_of_any_size_learns_of_a_crashing_part,
                     boost::unit_test::data::make({8, 60, 195}),
                     instance_count) {
  constexpr int kMaxSentTooLate = 3;
  constexpr int kFirstParts = 4;
  Fleet fleet(instance_count, kFirstParts, absl::Seconds(3),
              absl::Milliseconds(500));
  fleet.Run();
  BOOST_TEST_MESSAGE(instance_count << " instances: " << fleet.crashes
                                    << " crashes");
  BOOST_TEST(fleet.crashes > 0);
  BOOST_TEST(fleet.sent_too_late <= kMaxSentTooLate);
  BOOST_TEST(fleet.sound_refused == 0);
}

// Guards against refusing all prompts of a route whose first part nobody has
// seen answered yet, as after a restart of all instances.
BOOST_DATA_TEST_CASE(fleet_serves_sound_prompts_that_share_their_first_part,
                     boost::unit_test::data::make({8, 60, 195}),
                     instance_count) {
  constexpr int kMaxSentTooLate = 3;
  Fleet fleet(instance_count, 1, absl::Milliseconds(100), absl::Seconds(8));
  fleet.Run();
  BOOST_TEST_MESSAGE(instance_count << " instances: " << fleet.crashes
                                    << " crashes, " << fleet.sound_refused
                                    << " sound prompts refused, "
                                    << fleet.sound_refused_late << " of "
                                    << fleet.sound_sent_late << " late");
  BOOST_TEST(fleet.crashes > 0);
  BOOST_TEST(fleet.sent_too_late <= kMaxSentTooLate);
  BOOST_TEST(2 * fleet.sound_refused_late < fleet.sound_sent_late);
}

}  // namespace
}  // namespace cranberryhill::forward
