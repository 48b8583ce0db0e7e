#include "cranberryhill/request/request_state_machine.h"

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>

#include "cranberryhill/request/crash_quarantine.h"

namespace cranberryhill {
namespace {

// Permits a fixed number of retries and hedged attempts.
class LimitedRetryBudgets : public RetryBudgets {
 public:
  explicit LimitedRetryBudgets(int remaining) : remaining(remaining) {}
  bool TryRetry(absl::Time) override { return this->remaining-- > 0; }
  bool TryHedge(absl::Time) override { return this->remaining-- > 0; }

  int remaining;
};

template <typename T>
const T* FindAction(const RequestActions& actions) {
  for (const RequestAction& action : actions) {
    if (const T* found = std::get_if<T>(&action))
      return found;
  }
  return nullptr;
}

struct RequestFixture {
  LimitedRetryBudgets retry_budgets{100};
  CrashQuarantine quarantine{CrashQuarantinePolicy{}};
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  RequestStateMachine machine{
      RequestSpec{"r", 1, this->now + absl::Seconds(60)}, RequestPolicy{},
      this->retry_budgets, this->quarantine};

  void Place(AttemptNumber attempt, std::string_view engine) {
    this->machine.OnPlaced(attempt, engine, absl::Milliseconds(200),
                           absl::Milliseconds(20), this->now);
  }
};

// Guards against sending the caller tokens of an attempt that has ended.
BOOST_FIXTURE_TEST_CASE(LateTokensAreDropped, RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  machine.OnToken(1, 0, "x", now);
  auto retry = machine.OnAttemptFailed(1, AttemptFailure::kEngineCrashed, now);
  BOOST_REQUIRE(FindAction<StartAttempt>(retry) != nullptr);
  BOOST_TEST(FindAction<StartAttempt>(retry)->resume_from == 1U);
  BOOST_TEST(machine.OnToken(1, 1, "late", now).empty());
  Place(2, "b");
  auto next = machine.OnToken(2, 1, "y", now);
  BOOST_REQUIRE(FindAction<ForwardToken>(next) != nullptr);
  BOOST_TEST(FindAction<ForwardToken>(next)->token == "y");
  BOOST_TEST(machine.dropped_tokens() == 1U);
}

// Guards against the outcome "not run" if a stream without a token was moved
// and its replacement was refused. The first engine may have run the request.
BOOST_FIXTURE_TEST_CASE(MovedAttemptCountsAsRun, RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  machine.MoveFromEngine("a", now);
  Place(2, "b");
  RequestActions actions =
      machine.OnAttemptFailed(2, AttemptFailure::kRefused, now);
  for (AttemptNumber n = 3; FindAction<StartAttempt>(actions) != nullptr; ++n) {
    Place(n, "c");
    actions = machine.OnAttemptFailed(n, AttemptFailure::kRefused, now);
  }
  BOOST_REQUIRE(FindAction<FinishFailure>(actions) != nullptr);
  BOOST_TEST(
      (FindAction<FinishFailure>(actions)->outcome == RunOutcome::kRunFailed));
}

// Guards against a list of tried engines that grows each time a stream cannot
// be moved because there is no other engine.
BOOST_FIXTURE_TEST_CASE(RepeatedMovesRecordTheEngineOnce, RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  for (int i = 0; i < 10; ++i) {
    RequestActions actions = machine.MoveFromEngine("a", now);
    BOOST_REQUIRE(FindAction<StartAttempt>(actions) != nullptr);
    BOOST_TEST(FindAction<StartAttempt>(actions)->tried_engines.size() == 1U);
    machine.OnNoEngineAvailable(2, now);
  }
}

// Guards against ending a running stream when its engine is to be changed and
// its fingerprint has been quarantined since it started.
BOOST_FIXTURE_TEST_CASE(QuarantinedStreamIsNotMoved, RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  machine.OnToken(1, 0, "x", now);
  std::vector<CrashEntry> entries = {{1, 2}};
  quarantine.Merge(entries, now);
  BOOST_TEST(machine.MoveFromEngine("a", now).empty());
  BOOST_TEST(!machine.finished());
}

// Guards against the outcome "not run" if an engine may have run the request,
// and against "run and failed" if every engine refused it.
BOOST_FIXTURE_TEST_CASE(OutcomeNotRunIsReportedOnlyWhenTrue, RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  machine.OnAttemptFailed(1, AttemptFailure::kRefused, now);
  Place(2, "b");
  machine.OnAttemptFailed(2, AttemptFailure::kRefused, now);
  auto end = machine.Tick(now + absl::Seconds(60));
  BOOST_REQUIRE(FindAction<FinishFailure>(end) != nullptr);
  BOOST_TEST((FindAction<FinishFailure>(end)->outcome == RunOutcome::kNotRun));

  RequestStateMachine interrupted(RequestSpec{"s", 2, now + absl::Seconds(60)},
                                  {}, retry_budgets, quarantine);
  interrupted.Start(now);
  interrupted.OnPlaced(1, "a", absl::Seconds(1), absl::Seconds(1), now);
  interrupted.OnAttemptFailed(1, AttemptFailure::kConnectionLost, now);
  auto late = interrupted.Tick(now + absl::Seconds(60));
  BOOST_REQUIRE(FindAction<FinishFailure>(late) != nullptr);
  BOOST_TEST(
      (FindAction<FinishFailure>(late)->outcome == RunOutcome::kRunFailed));
}

// Guards against a stream without tokens that blocks its request until the
// deadline.
BOOST_FIXTURE_TEST_CASE(StalledStreamIsResumedOnAnotherEngine, RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  machine.OnToken(1, 0, "x", now);
  auto actions = machine.Tick(now + absl::Milliseconds(2100));
  BOOST_REQUIRE(FindAction<CancelAttempt>(actions) != nullptr);
  BOOST_REQUIRE(FindAction<StartAttempt>(actions) != nullptr);
  BOOST_TEST(FindAction<StartAttempt>(actions)->tried_engines.front() == "a");
}

// Guards against an answer that mixes tokens of two engines when a stream is
// moved from an engine that will be changed.
BOOST_FIXTURE_TEST_CASE(PlacedReplacementCancelsTheOldAttempt, RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  machine.OnToken(1, 0, "x", now);
  auto move = machine.MoveFromEngine("a", now);
  BOOST_REQUIRE(FindAction<StartAttempt>(move) != nullptr);
  auto placed =
      machine.OnPlaced(2, "b", absl::Seconds(1), absl::Seconds(1), now);
  BOOST_REQUIRE(FindAction<CancelAttempt>(placed) != nullptr);
  BOOST_TEST(FindAction<CancelAttempt>(placed)->attempt == 1U);
  BOOST_TEST(machine.OnToken(1, 1, "old", now).empty());
  BOOST_TEST(!machine.OnToken(2, 1, "new", now).empty());
}

// Guards against ending a stream when its engine is to be changed and no other
// engine can run it.
BOOST_FIXTURE_TEST_CASE(StreamStaysWhenNoEngineCanRunTheReplacement,
                        RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  machine.OnToken(1, 0, "x", now);
  machine.MoveFromEngine("a", now);
  machine.OnNoEngineAvailable(2, now);
  BOOST_TEST(!machine.OnToken(1, 1, "y", now).empty());
}

// Guards against the slower attempt continuing to run after the hedged attempt
// has delivered the first token.
BOOST_FIXTURE_TEST_CASE(SlowerAttemptIsCancelled, RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  auto hedge = machine.Tick(now + absl::Milliseconds(700));
  BOOST_REQUIRE(FindAction<StartAttempt>(hedge) != nullptr);
  BOOST_TEST(FindAction<StartAttempt>(hedge)->hedge);
  Place(2, "b");
  auto first_token = machine.OnToken(2, 0, "x", now);
  BOOST_REQUIRE(FindAction<CancelAttempt>(first_token) != nullptr);
  BOOST_TEST(FindAction<CancelAttempt>(first_token)->attempt == 1U);
}

// Guards against a request that crashes one engine after another. After the
// first crash it must run alone, and after the second one it must not run
// again.
BOOST_FIXTURE_TEST_CASE(CrashingRequestRunsAloneAndIsThenQuarantined,
                        RequestFixture) {
  machine.Start(now);
  Place(1, "a");
  CrashedStream stream{1, now, true};
  quarantine.OnEngineCrashed({&stream, 1}, now);
  auto again = machine.OnAttemptFailed(1, AttemptFailure::kEngineCrashed, now);
  BOOST_REQUIRE(FindAction<StartAttempt>(again) != nullptr);
  BOOST_TEST(FindAction<StartAttempt>(again)->run_alone);
  Place(2, "b");
  quarantine.OnEngineCrashed({&stream, 1}, now);
  auto end = machine.OnAttemptFailed(2, AttemptFailure::kEngineCrashed, now);
  BOOST_REQUIRE(FindAction<FinishFailure>(end) != nullptr);
  BOOST_TEST(
      (FindAction<FinishFailure>(end)->outcome == RunOutcome::kRunFailed));
}

// Guards against two instances that renew each other's suspect entries forever.
BOOST_AUTO_TEST_CASE(MergedEntriesExpire) {
  CrashQuarantine a(CrashQuarantinePolicy{});
  CrashQuarantine b(CrashQuarantinePolicy{});
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  CrashedStream stream{7, now, true};
  a.OnEngineCrashed({&stream, 1}, now);
  for (int minute = 0; minute < 30; ++minute) {
    b.Merge(a.Entries(12, now), now);
    a.Merge(b.Entries(12, now), now);
    now += absl::Minutes(1);
  }
  BOOST_TEST((a.StatusOf(7, now) == CrashStatus::kClean));
  BOOST_TEST((b.StatusOf(7, now) == CrashStatus::kClean));
}

// Runs a RequestStateMachine with generated events and checks every action that
// it returns. Each engine sends its own text as a token, so that an answer with
// tokens of a cancelled attempt is detected.
class RequestDriver {
 public:
  RequestDriver()
      : retry_budgets(*rc::gen::inRange(0, 12)),
        machine(RequestSpec{"r", 1, this->now + absl::Seconds(30)},
                RequestPolicy{},
                this->retry_budgets,
                this->quarantine) {}

  void Run() {
    this->Apply(this->machine.Start(this->now));
    for (int step = 0; step < 60; ++step)
      this->Step();
    this->now += absl::Seconds(60);
    this->Apply(this->machine.Tick(this->now));
    RC_ASSERT(this->finish_count == 1);
    for (const auto& [attempt, is_running] : this->is_running)
      RC_ASSERT(!is_running);
  }

 private:
  void Step() {
    this->now += absl::Milliseconds(*rc::gen::inRange(0, 900));
    AttemptNumber attempt = *rc::gen::inRange<AttemptNumber>(1, 8);
    // Cancelled attempts get events too, because messages of an engine may
    // arrive after the cancellation. Attempts that were not placed get none.
    if (!this->engines.contains(attempt)) {
      this->Apply(this->machine.Tick(this->now));
      return;
    }
    switch (*rc::gen::inRange(0, 8)) {
      case 0: {
        auto failure = static_cast<AttemptFailure>(*rc::gen::inRange(0, 5));
        this->is_running[attempt] = false;
        this->Apply(this->machine.OnAttemptFailed(attempt, failure, this->now));
        break;
      }
      case 1:
        this->Apply(
            this->machine.MoveFromEngine(this->engines[attempt], this->now));
        break;
      case 2:
        this->Apply(this->machine.Tick(this->now));
        break;
      case 3:
        if (this->is_running[attempt] && this->next_sent_index[attempt] > 0) {
          this->is_running[attempt] = false;
          this->Apply(this->machine.OnDone(attempt, "stop", this->now));
        }
        break;
      default: {
        uint32_t index = this->next_sent_index[attempt]++;
        this->Apply(this->machine.OnToken(attempt, index,
                                          this->engines[attempt], this->now));
      }
    }
  }

  void Apply(const RequestActions& actions) {
    for (const RequestAction& action : actions) {
      RC_ASSERT(this->finish_count == 0);
      std::visit([this](const auto& a) { this->CarryOut(a); }, action);
    }
  }

  void CarryOut(const StartAttempt& start) {
    RC_ASSERT(start.resume_from == this->next_index);
    if (*rc::gen::inRange(0, 5) == 0) {
      this->Apply(this->machine.OnNoEngineAvailable(start.attempt, this->now));
      return;
    }
    this->engines[start.attempt] = "e" + std::to_string(start.attempt);
    this->next_sent_index[start.attempt] = start.resume_from;
    this->is_running[start.attempt] = true;
    this->Apply(this->machine.OnPlaced(
        start.attempt, this->engines[start.attempt], absl::Milliseconds(200),
        absl::Milliseconds(20), this->now));
  }
  void CarryOut(const CancelAttempt& cancel) {
    this->is_running[cancel.attempt] = false;
  }
  void CarryOut(const ForwardToken& token) {
    RC_ASSERT(token.index == this->next_index);
    ++this->next_index;
    // The token must come from an attempt that is still running.
    bool found = false;
    for (const auto& [attempt, engine] : this->engines)
      found |= engine == token.token && this->is_running[attempt];
    RC_ASSERT(found);
  }
  void CarryOut(const FinishAnswer&) { ++this->finish_count; }
  void CarryOut(const FinishFailure& failure) {
    ++this->finish_count;
    if (failure.outcome == RunOutcome::kNotRun)
      RC_ASSERT(this->next_index == 0U);
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  LimitedRetryBudgets retry_budgets;
  CrashQuarantine quarantine{CrashQuarantinePolicy{}};
  RequestStateMachine machine;
  std::map<AttemptNumber, std::string> engines;
  std::map<AttemptNumber, uint32_t> next_sent_index;
  std::map<AttemptNumber, bool> is_running;
  uint32_t next_index = 0;
  int finish_count = 0;
};

// Guards against answers with missing, repeated or mixed tokens, against a
// request that finishes twice, and against attempts that are still running at
// the end, for any order of events.
RC_BOOST_PROP(AnswerIsCompleteAndFinishesOnce, ()) {
  RequestDriver driver;
  driver.Run();
}

}  // namespace
}  // namespace cranberryhill
