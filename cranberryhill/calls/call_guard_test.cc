#include "cranberryhill/calls/call_guard.h"

#include <boost/test/unit_test.hpp>

#include "cranberryhill/calls/call_cleaner.h"
#include "cranberryhill/calls/call_simulation_test.h"

namespace cranberryhill {
namespace {

const Refusal& RefusalOf(const CallSimulation& sim, size_t attempt) {
  const auto* refusal = std::get_if<Refusal>(&sim.AnswerOf(attempt));
  BOOST_REQUIRE(refusal != nullptr);
  return *refusal;
}

const CallResult& ResultOf(const CallSimulation& sim, size_t attempt) {
  const auto* result = std::get_if<CallResult>(&sim.AnswerOf(attempt));
  BOOST_REQUIRE(result != nullptr);
  return *result;
}

void SetFaults(CallSimulation& sim, size_t i, const TableFaults& faults) {
  sim.instances[i]->memory->SetFaults(faults);
}

// Lets instance `i` work alone until it waits for the sender.
void RunTable(CallSimulation& sim, size_t i) {
  auto& instance = *sim.instances[i];
  while (RunFirst(instance.outbox) || RunFirst(instance.inbox)) {
  }
}

// Guards against repeats that do not get the stored result.
BOOST_AUTO_TEST_CASE(RepeatElsewhereGetsTheResult) {
  CallSimulation sim(2);
  size_t first = sim.Submit(0, "k", true);
  sim.RunAll();
  size_t repeat = sim.Submit(1, "k", false);
  sim.RunAll();
  BOOST_TEST(ResultOf(sim, first).body == "run 1 of k");
  BOOST_TEST((ResultOf(sim, first) == ResultOf(sim, repeat)));
  BOOST_TEST(sim.runs["k"].size() == 1U);
}

// Guards against another body that gets the first body's result.
BOOST_AUTO_TEST_CASE(OtherBodyUnderTheKeyIsRefused) {
  CallSimulation sim(2);
  sim.Submit(0, "k", true);
  size_t local = sim.Submit(0, "k", false, absl::Seconds(5), "other");
  sim.RunAll();
  size_t remote = sim.Submit(1, "k", false, absl::Seconds(5), "other");
  sim.RunAll();
  for (size_t attempt : {local, remote}) {
    BOOST_TEST(RefusalOf(sim, attempt).http_status == 422);
    BOOST_TEST(RefusalOf(sim, attempt).field == "idempotency-key");
  }
}

// Guards against "not run" for a repeat whose first attempt may have run.
BOOST_AUTO_TEST_CASE(OutageIsNotRunForMarkedFirstAttemptsOnly) {
  CallSimulation sim(1);
  SetFaults(sim, 0, {.outage = true});
  size_t marked = sim.Submit(0, "a", true);
  size_t unmarked = sim.Submit(0, "b", false);
  sim.RunHeld();
  BOOST_TEST((RefusalOf(sim, marked).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST((RefusalOf(sim, unmarked).outcome == RefusalOutcome::kUnknown));
  BOOST_TEST((RefusalOf(sim, unmarked).code ==  //
              RefusalCode::kTableUnavailable));
  BOOST_TEST(RefusalOf(sim, unmarked).retry_after.has_value());
}

// Guards against a claim that lands after its refusal and blocks the key.
BOOST_AUTO_TEST_CASE(LateClaimIsFenced) {
  CallSimulation sim(2);
  SetFaults(sim, 0, {.delay_commits = true});
  size_t refused = sim.Submit(0, "k", true);
  RunTable(sim, 0);
  sim.clock.Advance(absl::Seconds(1));
  sim.instances[0]->guard->Tick();
  BOOST_TEST((RefusalOf(sim, refused).outcome == RefusalOutcome::kNotRun));
  sim.Heal();
  sim.RunAll();
  BOOST_TEST(sim.sends.empty());
  size_t repeat = sim.Submit(1, "k", false);
  sim.RunAll();
  BOOST_TEST(ResultOf(sim, repeat).body == "run 1 of k");
}

// Guards against a lost answer that gives up a claim which took effect.
BOOST_AUTO_TEST_CASE(LostClaimAnswerIsReadBack) {
  CallSimulation sim(1);
  SetFaults(sim, 0, {.lose_answers = true});
  size_t attempt = sim.Submit(0, "k", true);
  sim.RunAll();
  BOOST_TEST(ResultOf(sim, attempt).body == "run 1 of k");
}

// Guards against a failed connect that leaves the key claimed.
BOOST_AUTO_TEST_CASE(FailedConnectReleasesTheClaim) {
  CallSimulation sim(2);
  size_t refused = sim.Submit(0, "k", true);
  RunTable(sim, 0);
  sim.StepSend(0, false);
  RunTable(sim, 0);
  BOOST_TEST((RefusalOf(sim, refused).outcome == RefusalOutcome::kNotRun));
  size_t repeat = sim.Submit(1, "k", false);
  sim.RunAll();
  BOOST_TEST(ResultOf(sim, repeat).body == "run 1 of k");
}

// Guards against a waiting repeat that runs the call after the caller was
// told "not run" and may have given up.
BOOST_AUTO_TEST_CASE(WaitingRepeatDoesNotRunAReleasedCall) {
  CallSimulation sim(2);
  size_t refused = sim.Submit(0, "k", true);
  RunTable(sim, 0);
  size_t waiting = sim.Submit(1, "k", false);
  RunTable(sim, 1);
  sim.StepSend(0, false);
  sim.RunAll();
  BOOST_TEST((RefusalOf(sim, refused).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST((RefusalOf(sim, waiting).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST(sim.runs["k"].empty());
}

// Guards against a held up first attempt that runs the call after a later
// request was told "not run".
BOOST_AUTO_TEST_CASE(OvertakenFirstAttemptDoesNotRun) {
  CallSimulation sim(2);
  size_t first = sim.Submit(0, "k", true);
  size_t repeat = sim.Submit(1, "k", false);
  RunTable(sim, 1);
  sim.StepSend(0, false);
  RunTable(sim, 1);
  BOOST_TEST((RefusalOf(sim, repeat).outcome == RefusalOutcome::kNotRun));
  sim.RunAll();
  BOOST_TEST((RefusalOf(sim, first).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST(sim.runs["k"].empty());
}

// Guards against calls that are sent after the caller's deadline.
BOOST_AUTO_TEST_CASE(DeadlineIsCheckedBeforeTheFirstByte) {
  CallSimulation sim(1);
  size_t late_claim = sim.Submit(0, "a", true);
  size_t late_connect = sim.Submit(0, "b", true);
  RunFirst(sim.instances[0]->outbox);
  RunTable(sim, 0);
  sim.clock.Advance(absl::Seconds(6));
  sim.RunAll();
  for (size_t attempt : {late_claim, late_connect}) {
    BOOST_TEST((RefusalOf(sim, attempt).code ==  //
                RefusalCode::kDeadlineExpired));
    BOOST_TEST((RefusalOf(sim, attempt).outcome == RefusalOutcome::kNotRun));
  }
  BOOST_TEST(sim.runs.empty());
}

// Guards against results that are lost because the table or the object store
// was away when the call ended.
BOOST_AUTO_TEST_CASE(ResultIsAnsweredFirstAndWrittenLater) {
  for (bool large : {false, true}) {
    CallGuardConfig config;
    config.max_row_result_bytes = large ? 1 : 100;
    CallSimulation sim(2, config);
    size_t attempt = sim.Submit(0, "k", true);
    RunTable(sim, 0);
    SetFaults(sim, 0, {.outage = !large});
    sim.objects.outage = large;
    sim.RunAll(absl::Seconds(2));
    BOOST_TEST(ResultOf(sim, attempt).body == "run 1 of k");
    BOOST_TEST(sim.instances[0]->guard->unfinished() == 1U);
    size_t local = sim.Submit(0, "k", false);
    sim.RunHeld();
    BOOST_TEST(ResultOf(sim, local).body == "run 1 of k");
    sim.Heal();
    sim.RunAll();
    size_t repeat = sim.Submit(1, "k", false);
    sim.RunAll();
    BOOST_TEST(ResultOf(sim, repeat).body == "run 1 of k");
    BOOST_TEST(sim.objects.objects.size() == (large ? 1U : 0U));
  }
}

// Guards against claims of dead owners that stay "in progress" for ever, or
// end before 30 s after the call's deadline.
BOOST_AUTO_TEST_CASE(OwnerCountsAsGoneAfterTheGrace) {
  CallSimulation sim(2);
  sim.Submit(0, "k", true);
  RunTable(sim, 0);
  sim.Crash(0);
  size_t early = sim.Submit(1, "k", false);
  sim.RunAll(absl::Seconds(34));
  size_t before = sim.Submit(1, "k", false, absl::Milliseconds(500));
  sim.RunAll(absl::Seconds(1));
  size_t after = sim.Submit(1, "k", false);
  sim.RunAll(absl::Seconds(1));
  BOOST_TEST((RefusalOf(sim, early).code == RefusalCode::kInProgress));
  BOOST_TEST((RefusalOf(sim, before).code == RefusalCode::kInProgress));
  BOOST_TEST((RefusalOf(sim, after).code == RefusalCode::kOutcomeUnknown));
  BOOST_TEST((RefusalOf(sim, after).outcome == RefusalOutcome::kUnknown));
  BOOST_TEST(sim.runs["k"].empty());
}

// Guards against repeats that wait for an owner that membership saw end.
BOOST_AUTO_TEST_CASE(MembershipTellsThatTheOwnerIsGone) {
  CallSimulation sim(2);
  sim.Submit(0, "k", true);
  RunTable(sim, 0);
  sim.Crash(0);
  sim.owners.gone.insert("entry-0/1");
  size_t repeat = sim.Submit(1, "k", false);
  sim.RunHeld();
  BOOST_TEST((RefusalOf(sim, repeat).code == RefusalCode::kOutcomeUnknown));
}

// Guards against more writes than the platform takes, and against repeats of
// finished calls that are refused with the rest.
BOOST_AUTO_TEST_CASE(ClaimsPerSecondAreBounded) {
  CallGuardConfig config;
  config.max_claims_per_second = 2;
  CallSimulation sim(1, config);
  sim.Submit(0, "a", true);
  sim.Submit(0, "b", true);
  sim.RunHeld();
  size_t refused = sim.Submit(0, "c", true);
  size_t unmarked = sim.Submit(0, "d", false);
  size_t repeat = sim.Submit(0, "a", false);
  sim.RunHeld();
  BOOST_TEST((RefusalOf(sim, refused).code == RefusalCode::kOverloaded));
  BOOST_TEST((RefusalOf(sim, refused).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST((RefusalOf(sim, unmarked).outcome == RefusalOutcome::kUnknown));
  BOOST_TEST(ResultOf(sim, repeat).body == "run 1 of a");
  sim.RunAll(absl::Seconds(1));
  size_t later = sim.Submit(0, "c", false);
  sim.RunHeld();
  BOOST_TEST(ResultOf(sim, later).body == "run 1 of c");
}

// Guards against rows that are deleted before their retention or never.
BOOST_AUTO_TEST_CASE(CleanerKeepsTheRetention) {
  CallSimulation sim(1);
  sim.Submit(0, "done", true);
  sim.RunAll();
  sim.Submit(0, "unknown", true);
  RunTable(sim, 0);
  sim.StepSend(0, true);
  sim.StepSend(0, false);
  sim.RunAll();
  MemoryTable table(sim.rows);
  CallCleaner cleaner({.environment = "e", .batch = 1}, sim.clock, table);
  auto pass = [&] {
    for (int i = 0; i < 4; ++i)
      cleaner.Step();
    return sim.rows.Scan("call/", "", 10).size();
  };
  sim.clock.Advance(absl::Hours(24));
  BOOST_TEST(pass() == 2U);
  sim.clock.Advance(absl::Hours(2));
  BOOST_TEST(pass() == 1U);
  sim.clock.Advance(absl::Hours(24 * 6 - 2));
  BOOST_TEST(pass() == 1U);
  sim.clock.Advance(absl::Hours(2));
  BOOST_TEST(pass() == 0U);
  BOOST_TEST(cleaner.deleted() == 2U);
}

}  // namespace
}  // namespace cranberryhill
