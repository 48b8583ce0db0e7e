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

bool GoesOn(NextStep step) {
  return step == NextStep::kSendAgain || step == NextStep::kResume;
}

// Guards against a second run of a request that may run once, against more
// replicas than the route allows, and against a refusal that says "not run"
// after a send that may have run.
RC_BOOST_PROP(no_sequence_of_outcomes_breaks_the_promises, ()) {
  auto kind = *rc::gen::element(RequestKind::kIdempotent,
                                RequestKind::kAtMostOnce, RequestKind::kStream);
  Route route =
      MakeRoute(kind, *rc::gen::inRange(1, 5), *rc::gen::arbitrary<bool>());
  AttemptPolicy policy(route);
  bool may_have_run = false;
  for (int send = 0; send < 8; ++send) {
    policy.OnSent("replica-" + std::to_string(send));
    RC_ASSERT(policy.replicas().size() <=
              static_cast<size_t>(route.max_replicas));
    auto outcome = *rc::gen::element(
        SendOutcome::kNotSent, SendOutcome::kNotRun, SendOutcome::kFailed,
        SendOutcome::kBroken, SendOutcome::kTimedOut);
    bool unsafe =
        outcome != SendOutcome::kNotSent && outcome != SendOutcome::kNotRun;
    auto progress = unsafe ? *rc::gen::element(AnswerProgress::kNothing,
                                               AnswerProgress::kEvents)
                           : AnswerProgress::kNothing;
    may_have_run = may_have_run || unsafe;
    NextStep step =
        policy.After(outcome, progress, *rc::gen::arbitrary<bool>());
    if (may_have_run && !route.MayRepeat())
      RC_ASSERT(!GoesOn(step));
    if (step == NextStep::kRefuse)
      RC_ASSERT(!may_have_run);
    if (progress == AnswerProgress::kEvents)
      RC_ASSERT(step == NextStep::kResume || step == NextStep::kCutStream);
    if (!GoesOn(step))
      break;
  }
}

// Guards against giving up a request that no replica has seen.
BOOST_AUTO_TEST_CASE(failed_connection_uses_up_no_replica) {
  AttemptPolicy policy(MakeRoute(RequestKind::kAtMostOnce, 1));
  policy.OnSent("a");
  BOOST_TEST((policy.After(SendOutcome::kNotSent, AnswerProgress::kNothing,
                           true) == NextStep::kSendAgain));
  policy.OnSent("b");
  BOOST_TEST((policy.After(SendOutcome::kBroken, AnswerProgress::kNothing,
                           true) == NextStep::kAnswerUnknown));
}

// Guards against a stream that is cut though its route allows to resume it.
BOOST_AUTO_TEST_CASE(resumable_stream_goes_on_elsewhere_once) {
  AttemptPolicy policy(MakeRoute(RequestKind::kStream, 2, true));
  policy.OnSent("a");
  BOOST_TEST((policy.After(SendOutcome::kBroken, AnswerProgress::kEvents,
                           true) == NextStep::kResume));
  policy.OnSent("b");
  BOOST_TEST((policy.After(SendOutcome::kBroken, AnswerProgress::kEvents,
                           true) == NextStep::kCutStream));
}

// Guards against a retry that the shared budget has no room for.
BOOST_AUTO_TEST_CASE(no_budget_no_second_send) {
  AttemptPolicy policy(MakeRoute(RequestKind::kIdempotent, 3));
  policy.OnSent("a");
  BOOST_TEST((policy.After(SendOutcome::kFailed, AnswerProgress::kNothing,
                           false) == NextStep::kPassFailure));
}

}  // namespace
}  // namespace cranberryhill::forward
