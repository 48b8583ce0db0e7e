#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "cranberryhill/admission/admission_queue.h"
#include "cranberryhill/admission/attempt_budget.h"
#include "cranberryhill/admission/usage_limits.h"

namespace cranberryhill {
namespace {

// Starts as many requests as it has slots.
class SlotGate : public DispatchGate {
 public:
  bool TryStart(uint64_t request) override {
    if (this->slots == 0)
      return false;
    --this->slots;
    this->started.push_back(request);
    return true;
  }

  size_t slots = 0;
  std::vector<uint64_t> started;
};

AdmissionRequest MakeRequest(const Clock& clock,
                             uint64_t id,
                             const std::string& customer,
                             double work_s = 0.1,
                             double slack_s = 1000) {
  return {.id = id,
          .customer = customer,
          .work = absl::Seconds(work_s),
          .first_token_by = clock.Now() + absl::Seconds(slack_s)};
}

// Guards against a customer that gets more than its weighted share by sending
// more.
BOOST_AUTO_TEST_CASE(SharesFollowWeights) {
  ManualClock clock;
  AdmissionQueue queue(clock, {});
  queue.SetWeight("big", 2);
  uint64_t id = 0;
  std::map<uint64_t, std::string> owner;
  auto offer = [&](const std::string& customer) {
    owner[++id] = customer;
    BOOST_REQUIRE(!queue.Offer(MakeRequest(clock, id, customer)));
  };
  for (int i = 0; i < 300; ++i) {
    offer("big");
    offer("small");
    offer("greedy");
    offer("greedy");
  }
  SlotGate gate;
  std::map<std::string, int> served;
  for (int i = 0; i < 100; ++i) {
    clock.Advance(absl::Milliseconds(100));
    gate.slots = 4;
    queue.Poll(gate);
  }
  for (uint64_t request : gate.started)
    ++served[owner[request]];
  BOOST_TEST(served["big"] == 200, boost::test_tools::tolerance(0.02));
  BOOST_TEST(served["small"] == 100, boost::test_tools::tolerance(0.02));
  BOOST_TEST(served["greedy"] == 100, boost::test_tools::tolerance(0.02));
}

// Guards against short work that waits behind long work.
BOOST_AUTO_TEST_CASE(ShortWorkPassesLongWork) {
  ManualClock clock;
  AdmissionQueue queue(clock, {});
  queue.Offer(MakeRequest(clock, 1, "a", 20));
  queue.Offer(MakeRequest(clock, 2, "a", 0.1));
  SlotGate gate;
  gate.slots = 1;
  queue.Poll(gate);
  BOOST_REQUIRE(gate.started.size() == 1U);
  BOOST_TEST(gate.started[0] == 2U);
}

// Guards against long work that starves while short work keeps coming.
BOOST_AUTO_TEST_CASE(LongWorkAges) {
  ManualClock clock;
  AdmissionOptions options;
  AdmissionQueue queue(clock, options);
  queue.Offer(MakeRequest(clock, 1, "a", 20));
  SlotGate gate;
  for (uint64_t id = 2; id < 100; ++id) {
    queue.Offer(MakeRequest(clock, id, "a", 0.1));
    if (clock.Now() > absl::UnixEpoch() + options.long_work_ageing)
      gate.slots = 1;
    queue.Poll(gate);
    clock.Advance(absl::Milliseconds(10));
  }
  BOOST_REQUIRE(!gate.started.empty());
  BOOST_TEST(gate.started[0] == 1U);
}

// Guards against late refusals: what can't be served in time is refused when
// it arrives, with a time after which a repeat makes sense.
BOOST_AUTO_TEST_CASE(HopelessRequestIsRefusedAtOnce) {
  ManualClock clock;
  AdmissionQueue queue(clock, {});
  AdmissionRequest request = MakeRequest(clock, 1, "a", 0.1, 0.5);
  request.min_first_token = absl::Seconds(0.6);
  auto refusal = queue.Offer(request);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((refusal->reason == RefusalReason::kWouldBeLate));
  BOOST_TEST((refusal->retry_after > absl::ZeroDuration()));
  BOOST_TEST(queue.Size() == 0U);
}

// Guards against a start rate that decayed during a pause: requests that arrive
// together after it would all be refused although engines are free.
BOOST_AUTO_TEST_CASE(BurstAfterAPauseIsQueued) {
  ManualClock clock;
  AdmissionQueue queue(clock, {});
  SlotGate gate;
  gate.slots = 1;
  BOOST_REQUIRE(!queue.Offer(MakeRequest(clock, 1, "a", 0.1, 1)));
  queue.Poll(gate);
  clock.Advance(absl::Seconds(9));
  for (uint64_t id = 2; id < 12; ++id)
    BOOST_TEST(!queue.Offer(MakeRequest(clock, id, "a", 0.1, 1)));
  gate.slots = 10;
  queue.Poll(gate);
  BOOST_TEST(gate.started.size() == 11U);
}

// Guards against requests that are lost or answered twice: each one offered is
// refused or started exactly once, and none starts too late to be in time.
RC_BOOST_PROP(EachRequestIsDecidedOnce,
              (const std::vector<std::pair<uint8_t, uint8_t>>& script)) {
  ManualClock clock;
  AdmissionQueue queue(clock, {});
  std::map<uint64_t, int> decided;
  std::map<uint64_t, absl::Time> due;
  SlotGate gate;
  auto poll = [&] {
    for (const AdmissionAction& action : queue.Poll(gate)) {
      ++decided[action.request];
      if (action.kind == AdmissionActionKind::kStart)
        RC_ASSERT(clock.Now() <= due[action.request]);
    }
  };
  uint64_t id = 0;
  for (auto [work, slack] : script) {
    ++id;
    auto request = MakeRequest(clock, id, std::to_string(work % 3), work / 20.0,
                               slack / 50.0);
    due[id] = request.first_token_by;
    decided[id] = 0;
    if (queue.Offer(request))
      ++decided[id];
    clock.Advance(absl::Milliseconds(work % 40));
    gate.slots = slack % 2;
    poll();
  }
  gate.slots = 0;
  clock.Advance(absl::Seconds(100));
  poll();
  RC_ASSERT(queue.Size() == 0U);
  for (auto [request, count] : decided)
    RC_ASSERT(count == 1);
}

// Guards against retries that multiply load: over any run they stay within the
// fraction of requests plus the rate per second.
RC_BOOST_PROP(RetriesStayWithinBudget, (const std::vector<uint8_t>& script)) {
  ManualClock clock;
  AttemptBudget budget(clock, kRetryBudget);
  double requests = 0;
  double taken = 0;
  for (uint8_t step : script) {
    clock.Advance(absl::Milliseconds(step));
    if (step % 3 == 0) {
      budget.OnRequest();
      ++requests;
    }
    for (int i = 0; i < step % 4; ++i)
      taken += budget.TryTake();
    double seconds = absl::ToDoubleSeconds(clock.Now() - absl::UnixEpoch());
    RC_ASSERT(taken <= 0.1 * requests + seconds + 1 + 1e-6);
  }
}

// Guards against hedged requests that are allowed without any traffic.
BOOST_AUTO_TEST_CASE(NoHedgeWithoutRequests) {
  ManualClock clock;
  AttemptBudget budget(clock, kHedgeBudget);
  clock.Advance(absl::Seconds(100));
  BOOST_TEST(!budget.TryTake());
  for (int i = 0; i < 21; ++i)
    budget.OnRequest();
  BOOST_TEST(budget.TryTake());
  BOOST_TEST(!budget.TryTake());
}

// Requests per second that several instances admit.
struct Admitted {
  double mean = 0;  // Over the last half of 60 s.
  int highest = 0;  // In any second of that half.
};

Admitted AdmittedRate(const std::vector<double>& demand, double limit) {
  ManualClock clock;
  auto count = static_cast<uint32_t>(demand.size());
  std::vector<UsageLimits> instances;
  for (uint32_t i = 0; i < count; ++i) {
    instances.emplace_back(clock);
    instances.back().SetInstances(count, count - 1);
    instances.back().SetLimit("c", "m", {.requests_per_s = limit});
  }
  constexpr int kStepsPerSecond = 50;
  std::vector<double> due(count, 0);
  Admitted result;
  int in_second = 0;
  for (int step = 0; step < 60 * kStepsPerSecond; ++step) {
    clock.Advance(absl::Seconds(1) / kStepsPerSecond);
    for (uint32_t i = 0; i < count; ++i) {
      for (due[i] += demand[i] / kStepsPerSecond; due[i] >= 1; due[i] -= 1) {
        bool allowed = instances[i].Take("c", "m", 1).allowed;
        in_second += allowed && step >= 30 * kStepsPerSecond;
      }
    }
    if (step % kStepsPerSecond != 0)
      continue;
    result.mean += in_second / 30.0;
    result.highest = std::max(result.highest, in_second);
    in_second = 0;
    for (uint32_t from = 0; from < count; ++from) {
      for (uint32_t to = 0; to < count; ++to) {
        if (from != to) {
          instances[to].OnPeerUsage(std::to_string(from),
                                    instances[from].Report(12));
        }
      }
    }
  }
  return result;
}

// Guards against instances that each grant the whole limit, or that swing
// between nothing and too much.
BOOST_AUTO_TEST_CASE(LimitHoldsAcrossInstances) {
  Admitted admitted = AdmittedRate({20, 20, 20, 20}, 20);
  BOOST_TEST(admitted.mean == 20, boost::test_tools::tolerance(0.25));
  BOOST_TEST(admitted.highest <= 40);
}

// Guards against a customer that is held to an even share of its limit although
// all its requests arrive at one instance.
BOOST_AUTO_TEST_CASE(LimitIsUsableThroughOneInstance) {
  BOOST_TEST(AdmittedRate({40, 0, 0, 0}, 20).mean == 20,
             boost::test_tools::tolerance(0.25));
}

}  // namespace
}  // namespace cranberryhill
