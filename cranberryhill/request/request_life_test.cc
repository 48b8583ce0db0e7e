#include "cranberryhill/request/request_life.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>

#include "cranberryhill/request/crash_guard.h"

namespace cranberryhill {
namespace {

class CountedPermits : public RetryPermits {
 public:
  explicit CountedPermits(int permits) : permits(permits) {}
  bool TryRetry(absl::Time) override { return this->permits-- > 0; }
  bool TryHedge(absl::Time) override { return this->permits-- > 0; }

  int permits;
};

template <typename T>
const T* Find(const RequestActions& actions) {
  for (const RequestAction& action : actions) {
    if (const T* found = std::get_if<T>(&action))
      return found;
  }
  return nullptr;
}

struct Fixture {
  CountedPermits permits{100};
  CrashGuard guard{CrashGuardPolicy{}};
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  RequestLife life{RequestSpec{"r", 1, this->now + absl::Seconds(60)},
                   RequestPolicy{}, this->permits, this->guard};

  void Place(AttemptNumber attempt, std::string_view engine) {
    this->life.OnPlaced(attempt, engine, absl::Milliseconds(200),
                        absl::Milliseconds(20), this->now);
  }
};

// Guards against tokens of a cancelled attempt reaching the caller.
BOOST_FIXTURE_TEST_CASE(LateTokensAreDropped, Fixture) {
  life.Start(now);
  Place(1, "a");
  life.OnToken(1, 0, "x", now);
  auto retry = life.OnAttemptFailed(1, AttemptFailure::kEngineCrashed, now);
  BOOST_REQUIRE(Find<StartAttempt>(retry) != nullptr);
  BOOST_TEST(Find<StartAttempt>(retry)->resume_from == 1U);
  BOOST_TEST(life.OnToken(1, 1, "late", now).empty());
  Place(2, "b");
  auto next = life.OnToken(2, 1, "y", now);
  BOOST_REQUIRE(Find<ForwardToken>(next) != nullptr);
  BOOST_TEST(Find<ForwardToken>(next)->token == "y");
  BOOST_TEST(life.dropped_tokens() == 1U);
}

// Guards against "not run" after a stream that had no token yet was moved and
// its replacement was refused.
BOOST_FIXTURE_TEST_CASE(MovedAttemptCountsAsRun, Fixture) {
  life.Start(now);
  Place(1, "a");
  life.OnMoveAway("a", now);
  Place(2, "b");
  RequestActions actions =
      life.OnAttemptFailed(2, AttemptFailure::kRefused, now);
  for (AttemptNumber n = 3; Find<StartAttempt>(actions) != nullptr; ++n) {
    Place(n, "c");
    actions = life.OnAttemptFailed(n, AttemptFailure::kRefused, now);
  }
  BOOST_REQUIRE(Find<FinishFailure>(actions) != nullptr);
  BOOST_TEST((Find<FinishFailure>(actions)->outcome == RunOutcome::kRunFailed));
}

// Guards against a list of tried engines that grows with each try to move a
// stream for which there is no other engine.
BOOST_FIXTURE_TEST_CASE(RepeatedMovesNoteTheEngineOnce, Fixture) {
  life.Start(now);
  Place(1, "a");
  for (int i = 0; i < 10; ++i) {
    RequestActions actions = life.OnMoveAway("a", now);
    BOOST_REQUIRE(Find<StartAttempt>(actions) != nullptr);
    BOOST_TEST(Find<StartAttempt>(actions)->tried_engines.size() == 1U);
    life.OnNoEngine(2, now);
  }
}

// Guards against a planned change that ends a running stream because its
// fingerprint was condemned meanwhile.
BOOST_FIXTURE_TEST_CASE(CondemnedStreamIsNotCutByAMove, Fixture) {
  life.Start(now);
  Place(1, "a");
  life.OnToken(1, 0, "x", now);
  std::vector<CrashEntry> entries = {{1, 2}};
  guard.Absorb(entries, now);
  BOOST_TEST(life.OnMoveAway("a", now).empty());
  BOOST_TEST(!life.finished());
}

// Guards against "not run" after an engine may have run the request, and
// against "run and failed" when every engine refused it.
BOOST_FIXTURE_TEST_CASE(NotRunIsSaidOnlyWhenTrue, Fixture) {
  life.Start(now);
  Place(1, "a");
  life.OnAttemptFailed(1, AttemptFailure::kRefused, now);
  Place(2, "b");
  life.OnAttemptFailed(2, AttemptFailure::kRefused, now);
  auto end = life.Tick(now + absl::Seconds(60));
  BOOST_REQUIRE(Find<FinishFailure>(end) != nullptr);
  BOOST_TEST((Find<FinishFailure>(end)->outcome == RunOutcome::kNotRun));

  RequestLife ran(RequestSpec{"s", 2, now + absl::Seconds(60)}, {}, permits,
                  guard);
  ran.Start(now);
  ran.OnPlaced(1, "a", absl::Seconds(1), absl::Seconds(1), now);
  ran.OnAttemptFailed(1, AttemptFailure::kConnectionLost, now);
  auto late = ran.Tick(now + absl::Seconds(60));
  BOOST_REQUIRE(Find<FinishFailure>(late) != nullptr);
  BOOST_TEST((Find<FinishFailure>(late)->outcome == RunOutcome::kRunFailed));
}

// Guards against a silent stream that holds its request until the deadline.
BOOST_FIXTURE_TEST_CASE(StalledStreamIsResumedElsewhere, Fixture) {
  life.Start(now);
  Place(1, "a");
  life.OnToken(1, 0, "x", now);
  auto actions = life.Tick(now + absl::Milliseconds(2100));
  BOOST_REQUIRE(Find<CancelAttempt>(actions) != nullptr);
  BOOST_REQUIRE(Find<StartAttempt>(actions) != nullptr);
  BOOST_TEST(Find<StartAttempt>(actions)->tried_engines.front() == "a");
}

// Guards against an answer that mixes the continuations of two engines when
// a stream is moved away from an engine that will be changed.
BOOST_FIXTURE_TEST_CASE(MoveCancelsTheOldAttemptOncePlaced, Fixture) {
  life.Start(now);
  Place(1, "a");
  life.OnToken(1, 0, "x", now);
  auto move = life.OnMoveAway("a", now);
  BOOST_REQUIRE(Find<StartAttempt>(move) != nullptr);
  auto placed = life.OnPlaced(2, "b", absl::Seconds(1), absl::Seconds(1), now);
  BOOST_REQUIRE(Find<CancelAttempt>(placed) != nullptr);
  BOOST_TEST(Find<CancelAttempt>(placed)->attempt == 1U);
  BOOST_TEST(life.OnToken(1, 1, "old", now).empty());
  BOOST_TEST(!life.OnToken(2, 1, "new", now).empty());
}

// Guards against a planned change that ends a stream which no other engine
// can take.
BOOST_FIXTURE_TEST_CASE(MoveWithoutAnEngineKeepsTheStream, Fixture) {
  life.Start(now);
  Place(1, "a");
  life.OnToken(1, 0, "x", now);
  life.OnMoveAway("a", now);
  life.OnNoEngine(2, now);
  BOOST_TEST(!life.OnToken(1, 1, "y", now).empty());
}

// Guards against a second hedge and against a hedge's loser running on.
BOOST_FIXTURE_TEST_CASE(HedgeLoserIsCancelled, Fixture) {
  life.Start(now);
  Place(1, "a");
  auto hedge = life.Tick(now + absl::Milliseconds(700));
  BOOST_REQUIRE(Find<StartAttempt>(hedge) != nullptr);
  BOOST_TEST(Find<StartAttempt>(hedge)->hedge);
  Place(2, "b");
  auto won = life.OnToken(2, 0, "x", now);
  BOOST_REQUIRE(Find<CancelAttempt>(won) != nullptr);
  BOOST_TEST(Find<CancelAttempt>(won)->attempt == 1U);
}

// Guards against a request that crashes one engine after the other.
BOOST_FIXTURE_TEST_CASE(CrashingRequestRunsAloneAndIsThenRefused, Fixture) {
  life.Start(now);
  Place(1, "a");
  CrashedStream stream{1, now, true};
  guard.OnEngineCrashed({&stream, 1}, now);
  auto again = life.OnAttemptFailed(1, AttemptFailure::kEngineCrashed, now);
  BOOST_REQUIRE(Find<StartAttempt>(again) != nullptr);
  BOOST_TEST(Find<StartAttempt>(again)->alone);
  Place(2, "b");
  guard.OnEngineCrashed({&stream, 1}, now);
  auto end = life.OnAttemptFailed(2, AttemptFailure::kEngineCrashed, now);
  BOOST_REQUIRE(Find<FinishFailure>(end) != nullptr);
  BOOST_TEST((Find<FinishFailure>(end)->outcome == RunOutcome::kRunFailed));
}

// Guards against two instances that keep each other's suspects alive for ever.
BOOST_AUTO_TEST_CASE(AbsorbedEntriesExpire) {
  CrashGuard a(CrashGuardPolicy{});
  CrashGuard b(CrashGuardPolicy{});
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  CrashedStream stream{7, now, true};
  a.OnEngineCrashed({&stream, 1}, now);
  for (int minute = 0; minute < 30; ++minute) {
    b.Absorb(a.Entries(12, now), now);
    a.Absorb(b.Entries(12, now), now);
    now += absl::Minutes(1);
  }
  BOOST_TEST((a.StandingOf(7, now) == CrashStanding::kClear));
  BOOST_TEST((b.StandingOf(7, now) == CrashStanding::kClear));
}

// Drives a RequestLife with generated events and checks, at every step, what
// its caller sees. Each engine produces its own text for each index, so a
// mixed answer shows.
class Exchange {
 public:
  Exchange()
      : permits(*rc::gen::inRange(0, 12)),
        life(RequestSpec{"r", 1, this->now + absl::Seconds(30)},
             RequestPolicy{},
             this->permits,
             this->guard) {}

  void Run() {
    this->Apply(this->life.Start(this->now));
    for (int step = 0; step < 60; ++step)
      this->Step();
    this->now += absl::Seconds(60);
    this->Apply(this->life.Tick(this->now));
    RC_ASSERT(this->finishes == 1);
    for (const auto& [attempt, running] : this->running)
      RC_ASSERT(!running);
  }

 private:
  void Step() {
    this->now += absl::Milliseconds(*rc::gen::inRange(0, 900));
    AttemptNumber attempt = *rc::gen::inRange<AttemptNumber>(1, 8);
    // Events of cancelled attempts go on arriving late.
    if (!this->engines.contains(attempt)) {
      this->Apply(this->life.Tick(this->now));
      return;
    }
    switch (*rc::gen::inRange(0, 8)) {
      case 0: {
        auto failure = static_cast<AttemptFailure>(*rc::gen::inRange(0, 5));
        this->running[attempt] = false;
        this->Apply(this->life.OnAttemptFailed(attempt, failure, this->now));
        break;
      }
      case 1:
        this->Apply(this->life.OnMoveAway(this->engines[attempt], this->now));
        break;
      case 2:
        this->Apply(this->life.Tick(this->now));
        break;
      case 3:
        if (this->running[attempt] && this->sent_index[attempt] > 0) {
          this->running[attempt] = false;
          this->Apply(this->life.OnDone(attempt, "stop", this->now));
        }
        break;
      default: {
        uint32_t index = this->sent_index[attempt]++;
        this->Apply(this->life.OnToken(attempt, index, this->engines[attempt],
                                       this->now));
      }
    }
  }

  void Apply(const RequestActions& actions) {
    for (const RequestAction& action : actions) {
      RC_ASSERT(this->finishes == 0);
      std::visit([this](const auto& a) { this->Carry(a); }, action);
    }
  }

  void Carry(const StartAttempt& start) {
    RC_ASSERT(start.resume_from == this->expected);
    if (*rc::gen::inRange(0, 5) == 0) {
      this->Apply(this->life.OnNoEngine(start.attempt, this->now));
      return;
    }
    this->engines[start.attempt] = "e" + std::to_string(start.attempt);
    this->sent_index[start.attempt] = start.resume_from;
    this->running[start.attempt] = true;
    this->Apply(this->life.OnPlaced(start.attempt, this->engines[start.attempt],
                                    absl::Milliseconds(200),
                                    absl::Milliseconds(20), this->now));
  }
  void Carry(const CancelAttempt& cancel) {
    this->running[cancel.attempt] = false;
  }
  void Carry(const ForwardToken& token) {
    RC_ASSERT(token.index == this->expected);
    ++this->expected;
    // The source must be an attempt that was not cancelled.
    bool found = false;
    for (const auto& [attempt, engine] : this->engines)
      found |= engine == token.token && this->running[attempt];
    RC_ASSERT(found);
  }
  void Carry(const FinishAnswer&) { ++this->finishes; }
  void Carry(const FinishFailure& failure) {
    ++this->finishes;
    if (failure.outcome == RunOutcome::kNotRun)
      RC_ASSERT(this->expected == 0U);
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  CountedPermits permits;
  CrashGuard guard{CrashGuardPolicy{}};
  RequestLife life;
  std::map<AttemptNumber, std::string> engines;
  std::map<AttemptNumber, uint32_t> sent_index;
  std::map<AttemptNumber, bool> running;
  uint32_t expected = 0;
  int finishes = 0;
};

// Guards against gaps, duplicates, mixed answers, two ends of one request and
// attempts left running, under any order of events.
RC_BOOST_PROP(AnswerIsOneGaplessSequenceWithOneEnd, ()) {
  Exchange exchange;
  exchange.Run();
}

}  // namespace
}  // namespace cranberryhill
