#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "cranberryhill/admission/admission_queue.h"
#include "cranberryhill/admission/attempt_retry_budget.h"
#include "cranberryhill/admission/usage_limits.h"

namespace cranberryhill {
namespace {

// Gate that accepts as many requests as it has slots.
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

// Guards against a customer that gets more than its weighted share because it
// sends more requests.
BOOST_AUTO_TEST_CASE(SharesFollowWeights) {
  ManualClock clock;
  AdmissionQueue queue(clock, {});
  queue.SetWeight("big", 2);
  uint64_t id = 0;
  std::map<uint64_t, std::string> owner;
  auto enqueue = [&](const std::string& customer) {
    owner[++id] = customer;
    BOOST_REQUIRE(!queue.TryEnqueue(MakeRequest(clock, id, customer)));
  };
  for (int i = 0; i < 300; ++i) {
    enqueue("big");
    enqueue("small");
    enqueue("greedy");
    enqueue("greedy");
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

// Guards against short work that waits until long work has started.
BOOST_AUTO_TEST_CASE(ShortWorkStartsBeforeLongWork) {
  ManualClock clock;
  AdmissionQueue queue(clock, {});
  queue.TryEnqueue(MakeRequest(clock, 1, "a", 20));
  queue.TryEnqueue(MakeRequest(clock, 2, "a", 0.1));
  SlotGate gate;
  gate.slots = 1;
  queue.Poll(gate);
  BOOST_REQUIRE(gate.started.size() == 1U);
  BOOST_TEST(gate.started[0] == 2U);
}

// Guards against long work that never starts while short work keeps arriving.
BOOST_AUTO_TEST_CASE(LongWorkStartsAfterWaiting) {
  ManualClock clock;
  AdmissionOptions options;
  AdmissionQueue queue(clock, options);
  queue.TryEnqueue(MakeRequest(clock, 1, "a", 20));
  SlotGate gate;
  for (uint64_t id = 2; id < 100; ++id) {
    queue.TryEnqueue(MakeRequest(clock, id, "a", 0.1));
    if (clock.Now() > absl::UnixEpoch() + options.long_work_ageing)
      gate.slots = 1;
    queue.Poll(gate);
    clock.Advance(absl::Milliseconds(10));
  }
  BOOST_REQUIRE(!gate.started.empty());
  BOOST_TEST(gate.started[0] == 1U);
}

// Guards against refusing a request only after it has waited. A request that
// cannot be served in time must be refused when it arrives, with a time after
// which the caller can try again.
BOOST_AUTO_TEST_CASE(RequestThatWouldBeLateIsRefusedAtOnce) {
  ManualClock clock;
  AdmissionQueue queue(clock, {});
  AdmissionRequest request = MakeRequest(clock, 1, "a", 0.1, 0.5);
  request.min_first_token = absl::Seconds(0.6);
  auto refusal = queue.TryEnqueue(request);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((refusal->reason == RefusalReason::kWouldBeLate));
  BOOST_TEST((refusal->retry_after > absl::ZeroDuration()));
  BOOST_TEST(queue.Size() == 0U);
}

// Guards against using a start rate that decayed during a pause. Requests that
// arrive together after the pause would all be refused although engines are
// idle.
BOOST_AUTO_TEST_CASE(BurstAfterAPauseIsQueued) {
  ManualClock clock;
  AdmissionQueue queue(clock, {});
  SlotGate gate;
  gate.slots = 1;
  BOOST_REQUIRE(!queue.TryEnqueue(MakeRequest(clock, 1, "a", 0.1, 1)));
  queue.Poll(gate);
  clock.Advance(absl::Seconds(9));
  for (uint64_t id = 2; id < 12; ++id)
    BOOST_TEST(!queue.TryEnqueue(MakeRequest(clock, id, "a", 0.1, 1)));
  gate.slots = 10;
  queue.Poll(gate);
  BOOST_TEST(gate.started.size() == 11U);
}

// Guards against requests that are lost or answered twice. Each request must be
// either refused or started, exactly once, and none may start after its first
// token is due.
RC_BOOST_PROP(EachRequestIsDecidedOnce,
              (const std::vector<std::pair<uint8_t, uint8_t>>& steps)) {
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
  for (auto [work, slack] : steps) {
    ++id;
    auto request = MakeRequest(clock, id, std::to_string(work % 3), work / 20.0,
                               slack / 50.0);
    due[id] = request.first_token_by;
    decided[id] = 0;
    if (queue.TryEnqueue(request))
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

// Guards against retries that multiply the load. At any time their number must
// be within the fraction of the requests plus the rate per second.
RC_BOOST_PROP(RetriesStayWithinBudget, (const std::vector<uint8_t>& steps)) {
  ManualClock clock;
  AttemptRetryBudget budget(clock, kRetryBudget);
  double requests = 0;
  double taken = 0;
  for (uint8_t step : steps) {
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

// Guards against permitting hedged requests while there are no requests.
BOOST_AUTO_TEST_CASE(HedgeNeedsRecentRequests) {
  ManualClock clock;
  AttemptRetryBudget budget(clock, kHedgeBudget);
  clock.Advance(absl::Seconds(100));
  BOOST_TEST(!budget.TryTake());
  for (int i = 0; i < 21; ++i)
    budget.OnRequest();
  BOOST_TEST(budget.TryTake());
  BOOST_TEST(!budget.TryTake());
}

// Requests per second that several instances admit together.
struct AdmittedRequests {
  double mean = 0;  // Mean over the last 30 s of a run of 60 s.
  int peak = 0;     // Highest number in any of these seconds.
};

// Runs one instance for each element of `demand`, the requests per second that
// the instance gets, for 60 s.
AdmittedRequests RunInstances(const std::vector<double>& demand, double limit) {
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
  AdmittedRequests result;
  int in_second = 0;
  for (int step = 0; step < 60 * kStepsPerSecond; ++step) {
    clock.Advance(absl::Seconds(1) / kStepsPerSecond);
    for (uint32_t i = 0; i < count; ++i) {
      for (due[i] += demand[i] / kStepsPerSecond; due[i] >= 1; due[i] -= 1) {
        bool allowed = instances[i].TryConsume("c", "m", 1).allowed;
        in_second += allowed && step >= 30 * kStepsPerSecond;
      }
    }
    if (step % kStepsPerSecond != 0)
      continue;
    result.mean += in_second / 30.0;
    result.peak = std::max(result.peak, in_second);
    in_second = 0;
    for (uint32_t from = 0; from < count; ++from) {
      for (uint32_t to = 0; to < count; ++to) {
        if (from != to) {
          instances[to].OnPeerUsage(std::to_string(from),
                                    instances[from].BuildReport(12));
        }
      }
    }
  }
  return result;
}

// Guards against instances that each admit requests up to the whole limit, or
// whose rates oscillate between too little and too much.
BOOST_AUTO_TEST_CASE(LimitHoldsAcrossInstances) {
  AdmittedRequests admitted = RunInstances({20, 20, 20, 20}, 20);
  BOOST_TEST(admitted.mean == 20, boost::test_tools::tolerance(0.25));
  BOOST_TEST(admitted.peak <= 40);
}

// Guards against limiting a customer to an even share of its limit although all
// its requests arrive at one instance.
BOOST_AUTO_TEST_CASE(LimitIsUsableThroughOneInstance) {
  BOOST_TEST(RunInstances({40, 0, 0, 0}, 20).mean == 20,
             boost::test_tools::tolerance(0.25));
}

}  // namespace
}  // namespace cranberryhill
