#include "cranberryhill/calls/call_deduplicator.h"

#include <boost/test/unit_test.hpp>

#include "cranberryhill/calls/call_cleaner.h"
#include "cranberryhill/calls/call_simulation_test.h"

namespace cranberryhill {
namespace {

const Refusal& GetRefusal(const CallSimulation& simulation, size_t attempt) {
  const auto* refusal = std::get_if<Refusal>(&simulation.GetAnswer(attempt));
  BOOST_REQUIRE(refusal != nullptr);
  return *refusal;
}

const CallResult& GetResult(const CallSimulation& simulation, size_t attempt) {
  const auto* result = std::get_if<CallResult>(&simulation.GetAnswer(attempt));
  BOOST_REQUIRE(result != nullptr);
  return *result;
}

void SetFaults(CallSimulation& simulation,
               size_t i,
               const TableFaults& faults) {
  simulation.instances[i]->memory_table->SetFaults(faults);
}

// Runs the table operations of instance `i` until it waits for the sender.
void RunTableOperations(CallSimulation& simulation, size_t i) {
  auto& instance = *simulation.instances[i];
  while (RunFirst(instance.outbox) || RunFirst(instance.inbox)) {
  }
}

// Guards against a repeat at another instance that does not get the stored
// result.
BOOST_AUTO_TEST_CASE(RepeatAtOtherInstanceGetsStoredResult) {
  CallSimulation simulation(2);
  size_t first = simulation.Submit(0, "k", true);
  simulation.RunFor();
  size_t repeat = simulation.Submit(1, "k", false);
  simulation.RunFor();
  BOOST_TEST(GetResult(simulation, first).body == "run 1 of k");
  BOOST_TEST((GetResult(simulation, first) == GetResult(simulation, repeat)));
  BOOST_TEST(simulation.runs["k"].size() == 1U);
}

// Guards against a request that reuses a key with a different body and gets the
// result of the first body.
BOOST_AUTO_TEST_CASE(KeyReusedWithOtherBodyIsRefused) {
  CallSimulation simulation(2);
  simulation.Submit(0, "k", true);
  size_t local = simulation.Submit(0, "k", false, absl::Seconds(5), "other");
  simulation.RunFor();
  size_t remote = simulation.Submit(1, "k", false, absl::Seconds(5), "other");
  simulation.RunFor();
  for (size_t attempt : {local, remote}) {
    BOOST_TEST(GetRefusal(simulation, attempt).http_status == 422);
    BOOST_TEST(GetRefusal(simulation, attempt).field == "idempotency-key");
  }
}

// Guards against the refusal "not run" for a repeat whose first attempt may
// have run.
BOOST_AUTO_TEST_CASE(OutageIsReportedAsNotRunOnlyForFirstAttempts) {
  CallSimulation simulation(1);
  SetFaults(simulation, 0, {.outage = true});
  size_t marked = simulation.Submit(0, "a", true);
  size_t unmarked = simulation.Submit(0, "b", false);
  simulation.RunPending();
  BOOST_TEST(
      (GetRefusal(simulation, marked).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST(
      (GetRefusal(simulation, unmarked).outcome == RefusalOutcome::kUnknown));
  BOOST_TEST((GetRefusal(simulation, unmarked).code ==  //
              RefusalCode::kTableUnavailable));
  BOOST_TEST(GetRefusal(simulation, unmarked).retry_after.has_value());
}

// Guards against a delayed claim that takes effect after the request was
// refused and then blocks the key.
BOOST_AUTO_TEST_CASE(DelayedClaimIsInvalidated) {
  CallSimulation simulation(2);
  SetFaults(simulation, 0, {.delay_commits = true});
  size_t refused = simulation.Submit(0, "k", true);
  RunTableOperations(simulation, 0);
  simulation.clock.Advance(absl::Seconds(1));
  simulation.instances[0]->deduplicator->Tick();
  BOOST_TEST(
      (GetRefusal(simulation, refused).outcome == RefusalOutcome::kNotRun));
  simulation.EndFaults();
  simulation.RunFor();
  BOOST_TEST(simulation.pending_sends.empty());
  size_t repeat = simulation.Submit(1, "k", false);
  simulation.RunFor();
  BOOST_TEST(GetResult(simulation, repeat).body == "run 1 of k");
}

// Guards against abandoning a claim that took effect, when the answer to its
// commit is lost.
BOOST_AUTO_TEST_CASE(LostClaimAnswerIsReadBack) {
  CallSimulation simulation(1);
  SetFaults(simulation, 0, {.lose_answers = true});
  size_t attempt = simulation.Submit(0, "k", true);
  simulation.RunFor();
  BOOST_TEST(GetResult(simulation, attempt).body == "run 1 of k");
}

// Guards against a key that stays claimed after a failed connect.
BOOST_AUTO_TEST_CASE(FailedConnectReleasesTheClaim) {
  CallSimulation simulation(2);
  size_t refused = simulation.Submit(0, "k", true);
  RunTableOperations(simulation, 0);
  simulation.AdvanceSend(0, false);
  RunTableOperations(simulation, 0);
  BOOST_TEST(
      (GetRefusal(simulation, refused).outcome == RefusalOutcome::kNotRun));
  size_t repeat = simulation.Submit(1, "k", false);
  simulation.RunFor();
  BOOST_TEST(GetResult(simulation, repeat).body == "run 1 of k");
}

// Guards against a waiting repeat that runs the call after the caller was told
// "not run" and may have given up.
BOOST_AUTO_TEST_CASE(WaitingRepeatDoesNotRunReleasedCall) {
  CallSimulation simulation(2);
  size_t refused = simulation.Submit(0, "k", true);
  RunTableOperations(simulation, 0);
  size_t waiting = simulation.Submit(1, "k", false);
  RunTableOperations(simulation, 1);
  simulation.AdvanceSend(0, false);
  simulation.RunFor();
  BOOST_TEST(
      (GetRefusal(simulation, refused).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST(
      (GetRefusal(simulation, waiting).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST(simulation.runs["k"].empty());
}

// Guards against a delayed first attempt that runs the call after a later
// request with the key was told "not run".
BOOST_AUTO_TEST_CASE(OvertakenFirstAttemptDoesNotRun) {
  CallSimulation simulation(2);
  size_t first = simulation.Submit(0, "k", true);
  size_t repeat = simulation.Submit(1, "k", false);
  RunTableOperations(simulation, 1);
  simulation.AdvanceSend(0, false);
  RunTableOperations(simulation, 1);
  BOOST_TEST(
      (GetRefusal(simulation, repeat).outcome == RefusalOutcome::kNotRun));
  simulation.RunFor();
  BOOST_TEST(
      (GetRefusal(simulation, first).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST(simulation.runs["k"].empty());
}

// Guards against calls that are sent after the caller's deadline.
BOOST_AUTO_TEST_CASE(DeadlineIsCheckedBeforeTheFirstByte) {
  CallSimulation simulation(1);
  size_t late_claim = simulation.Submit(0, "a", true);
  size_t late_connect = simulation.Submit(0, "b", true);
  RunFirst(simulation.instances[0]->outbox);
  RunTableOperations(simulation, 0);
  simulation.clock.Advance(absl::Seconds(6));
  simulation.RunFor();
  for (size_t attempt : {late_claim, late_connect}) {
    BOOST_TEST((GetRefusal(simulation, attempt).code ==  //
                RefusalCode::kDeadlineExpired));
    BOOST_TEST(
        (GetRefusal(simulation, attempt).outcome == RefusalOutcome::kNotRun));
  }
  BOOST_TEST(simulation.runs.empty());
}

// Guards against results that are lost because the table service or the object
// store was unavailable when the call ended.
BOOST_AUTO_TEST_CASE(ResultIsWrittenAfterOutage) {
  for (bool large : {false, true}) {
    CallDeduplicatorConfig config;
    config.max_row_result_bytes = large ? 1 : 100;
    CallSimulation simulation(2, config);
    size_t attempt = simulation.Submit(0, "k", true);
    RunTableOperations(simulation, 0);
    SetFaults(simulation, 0, {.outage = !large});
    simulation.objects.outage = large;
    simulation.RunFor(absl::Seconds(2));
    BOOST_TEST(GetResult(simulation, attempt).body == "run 1 of k");
    BOOST_TEST(simulation.instances[0]->deduplicator->unfinished() == 1U);
    size_t local = simulation.Submit(0, "k", false);
    simulation.RunPending();
    BOOST_TEST(GetResult(simulation, local).body == "run 1 of k");
    simulation.EndFaults();
    simulation.RunFor();
    size_t repeat = simulation.Submit(1, "k", false);
    simulation.RunFor();
    BOOST_TEST(GetResult(simulation, repeat).body == "run 1 of k");
    BOOST_TEST(simulation.objects.objects.size() == (large ? 1U : 0U));
  }
}

// Guards against claims that stay in progress forever after their owner has
// ended, or that expire earlier than 30 s after the call's deadline.
BOOST_AUTO_TEST_CASE(OwnerCountsAsEndedAfterGracePeriod) {
  CallSimulation simulation(2);
  simulation.Submit(0, "k", true);
  RunTableOperations(simulation, 0);
  simulation.Crash(0);
  size_t during_call = simulation.Submit(1, "k", false);
  simulation.RunFor(absl::Seconds(34));
  size_t before_grace_end =
      simulation.Submit(1, "k", false, absl::Milliseconds(500));
  simulation.RunFor(absl::Seconds(1));
  size_t after_grace_end = simulation.Submit(1, "k", false);
  simulation.RunFor(absl::Seconds(1));
  BOOST_TEST(
      (GetRefusal(simulation, during_call).code == RefusalCode::kInProgress));
  BOOST_TEST((GetRefusal(simulation, before_grace_end).code ==
              RefusalCode::kInProgress));
  BOOST_TEST((GetRefusal(simulation, after_grace_end).code ==
              RefusalCode::kOutcomeUnknown));
  BOOST_TEST((GetRefusal(simulation, after_grace_end).outcome ==
              RefusalOutcome::kUnknown));
  BOOST_TEST(simulation.runs["k"].empty());
}

// Guards against repeats that wait for an owner although the membership reports
// that it has ended.
BOOST_AUTO_TEST_CASE(MembershipReportsEndedOwner) {
  CallSimulation simulation(2);
  simulation.Submit(0, "k", true);
  RunTableOperations(simulation, 0);
  simulation.Crash(0);
  simulation.owners.ended.insert("entry-0/1");
  size_t repeat = simulation.Submit(1, "k", false);
  simulation.RunPending();
  BOOST_TEST(
      (GetRefusal(simulation, repeat).code == RefusalCode::kOutcomeUnknown));
}

// Guards against more writes a second than the platform accepts, and against
// refusing repeats of finished calls, which need no claim.
BOOST_AUTO_TEST_CASE(ClaimsPerSecondAreLimited) {
  CallDeduplicatorConfig config;
  config.max_claims_per_second = 2;
  CallSimulation simulation(1, config);
  simulation.Submit(0, "a", true);
  simulation.Submit(0, "b", true);
  simulation.RunPending();
  size_t refused = simulation.Submit(0, "c", true);
  size_t unmarked = simulation.Submit(0, "d", false);
  size_t repeat = simulation.Submit(0, "a", false);
  simulation.RunPending();
  BOOST_TEST(
      (GetRefusal(simulation, refused).code == RefusalCode::kOverloaded));
  BOOST_TEST(
      (GetRefusal(simulation, refused).outcome == RefusalOutcome::kNotRun));
  BOOST_TEST(
      (GetRefusal(simulation, unmarked).outcome == RefusalOutcome::kUnknown));
  BOOST_TEST(GetResult(simulation, repeat).body == "run 1 of a");
  simulation.RunFor(absl::Seconds(1));
  size_t later = simulation.Submit(0, "c", false);
  simulation.RunPending();
  BOOST_TEST(GetResult(simulation, later).body == "run 1 of c");
}

// Guards against rows that are deleted before their retention ends, or never.
BOOST_AUTO_TEST_CASE(CleanerDeletesRowsAfterRetention) {
  CallSimulation simulation(1);
  simulation.Submit(0, "done", true);
  simulation.RunFor();
  simulation.Submit(0, "unknown", true);
  RunTableOperations(simulation, 0);
  simulation.AdvanceSend(0, true);
  simulation.AdvanceSend(0, false);
  simulation.RunFor();
  MemoryTable table(simulation.rows);
  CallCleaner cleaner({.environment = "e", .batch = 1}, simulation.clock,
                      table);
  auto run_pass = [&] {
    for (int i = 0; i < 4; ++i)
      cleaner.Step();
    return simulation.rows.Scan("call/", "", 10).size();
  };
  simulation.clock.Advance(absl::Hours(24));
  BOOST_TEST(run_pass() == 2U);
  simulation.clock.Advance(absl::Hours(2));
  BOOST_TEST(run_pass() == 1U);
  simulation.clock.Advance(absl::Hours(24 * 6 - 2));
  BOOST_TEST(run_pass() == 1U);
  simulation.clock.Advance(absl::Hours(2));
  BOOST_TEST(run_pass() == 0U);
  BOOST_TEST(cleaner.deleted() == 2U);
}

}  // namespace
}  // namespace cranberryhill
