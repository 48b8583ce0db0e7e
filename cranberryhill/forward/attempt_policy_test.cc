#include "cranberryhill/forward/attempt_policy.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace cranberryhill::forward {
namespace {

Route MakeRoute(RequestKind kind, int max_replicas, bool resumable = false) {
  Route route;
  route.kind = kind;
  route.max_replicas = max_replicas;
  route.resumable = resumable;
  return route;
}

bool IsRetry(NextStep step) {
  return step == NextStep::kSendAgain || step == NextStep::kResume;
}

// Guards against a second run of a request that may run only once, against use
// of more replicas than the route allows, and against an answer of "not run"
// after an attempt that may have run.
RC_BOOST_PROP(retries_respect_route_replica_limit_and_progress, ()) {
  auto kind = *rc::gen::element(RequestKind::kIdempotent,
                                RequestKind::kAtMostOnce, RequestKind::kStream);
  Route route =
      MakeRoute(kind, *rc::gen::inRange(1, 5), *rc::gen::arbitrary<bool>());
  AttemptPolicy policy(route);
  bool may_have_run = false;
  for (int attempt = 0; attempt < 8; ++attempt) {
    policy.OnSent("replica-" + std::to_string(attempt));
    RC_ASSERT(policy.replicas().size() <=
              static_cast<size_t>(route.max_replicas));
    auto outcome =
        *rc::gen::element(AttemptOutcome::kNotSent, AttemptOutcome::kNotRun,
                          AttemptOutcome::kFailed, AttemptOutcome::kBroken,
                          AttemptOutcome::kTimedOut);
    bool possibly_run = outcome != AttemptOutcome::kNotSent &&
                        outcome != AttemptOutcome::kNotRun;
    auto progress = possibly_run
                        ? *rc::gen::element(AnswerProgress::kNotStarted,
                                            AnswerProgress::kStreamStarted)
                        : AnswerProgress::kNotStarted;
    may_have_run = may_have_run || possibly_run;
    NextStep step =
        policy.DecideNextStep(outcome, progress, *rc::gen::arbitrary<bool>());
    if (may_have_run && !route.MayRepeat())
      RC_ASSERT(!IsRetry(step));
    if (step == NextStep::kRefuse)
      RC_ASSERT(!may_have_run);
    if (progress == AnswerProgress::kStreamStarted)
      RC_ASSERT(step == NextStep::kResume || step == NextStep::kCutStream);
    if (!IsRetry(step))
      break;
  }
}

// Guards against rejecting a request that no replica has received.
BOOST_AUTO_TEST_CASE(failed_connection_does_not_count_as_used_replica) {
  AttemptPolicy policy(MakeRoute(RequestKind::kAtMostOnce, 1));
  policy.OnSent("a");
  BOOST_TEST((policy.DecideNextStep(AttemptOutcome::kNotSent,
                                    AnswerProgress::kNotStarted,
                                    true) == NextStep::kSendAgain));
  policy.OnSent("b");
  BOOST_TEST((policy.DecideNextStep(AttemptOutcome::kBroken,
                                    AnswerProgress::kNotStarted,
                                    true) == NextStep::kAnswerUnknown));
}

// Guards against aborting a stream that its route allows to resume.
BOOST_AUTO_TEST_CASE(resumable_stream_resumes_once_at_another_replica) {
  AttemptPolicy policy(MakeRoute(RequestKind::kStream, 2, true));
  policy.OnSent("a");
  BOOST_TEST((policy.DecideNextStep(AttemptOutcome::kBroken,
                                    AnswerProgress::kStreamStarted,
                                    true) == NextStep::kResume));
  policy.OnSent("b");
  BOOST_TEST((policy.DecideNextStep(AttemptOutcome::kBroken,
                                    AnswerProgress::kStreamStarted,
                                    true) == NextStep::kCutStream));
}

// Guards against a retry beyond the shared retry budget.
BOOST_AUTO_TEST_CASE(no_retry_without_budget) {
  AttemptPolicy policy(MakeRoute(RequestKind::kIdempotent, 3));
  policy.OnSent("a");
  BOOST_TEST((policy.DecideNextStep(AttemptOutcome::kFailed,
                                    AnswerProgress::kNotStarted,
                                    false) == NextStep::kPassFailure));
}

}  // namespace
}  // namespace cranberryhill::forward
