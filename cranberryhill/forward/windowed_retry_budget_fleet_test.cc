// Simulates the retries of many instances that are restarted, alone and
// together, on a virtual clock.

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/fleet_share.h"
#include "cranberryhill/forward/windowed_retry_budget.h"

namespace cranberryhill::forward {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(50);
constexpr absl::Duration kLength = absl::Seconds(45);

struct FleetPlan {
  size_t instances = 1;
  double requests_per_s = 100;  // Of all instances together.
  double slack = 50;
  double ratio = 0.2;
  double failing_share = 0.9;  // Of the requests that want retries.
  absl::Duration failing_from;
  absl::Duration restart_interval;  // Of all at once.
  double single_restarts_per_s = 0;
  uint64_t seed = 1;
};

class RetryFleet {
 public:
  explicit RetryFleet(const FleetPlan& plan)
      : plan(plan), random(plan.seed), members(plan.instances) {
    for (Member& member : this->members)
      this->Restart(member);
    this->DrawWeights();
  }

  /// @return The largest number of retries beyond the bound in any window.
  double Run() {
    double worst = -this->plan.slack;
    absl::Time start = this->clock.Now();
    absl::Time next_restart = start + this->plan.restart_interval;
    while (this->clock.Now() < start + kLength) {
      this->clock.Advance(kStep);
      absl::Time now = this->clock.Now();
      if (now >= next_restart) {
        next_restart += this->plan.restart_interval;
        for (Member& member : this->members)
          this->Restart(member);
      }
      for (Member& member : this->members) {
        if (this->random.UniformDouble() <
            this->plan.single_restarts_per_s * absl::ToDoubleSeconds(kStep))
          this->Restart(member);
        this->Learn(member);
      }
      // Callers move between instances.
      if (this->random.UniformInt(0, 100) == 0)
        this->DrawWeights();
      this->SendRequests(now >= start + this->plan.failing_from);
      worst = std::max(worst, this->Excess());
    }
    return worst;
  }

  size_t retries() const { return this->retry_count; }  // NOLINT

 private:
  struct Member {
    std::unique_ptr<WindowedRetryBudget> budget;
    std::optional<size_t> known;  // Instances, itself included.
    absl::Time knows_at;
    double weight = 1;
  };

  RetryBudgetLimits LimitsOf(const Member& member) const {
    return {this->plan.ratio, absl::Seconds(10),
            RetrySlackOfInstance(this->plan.slack, member.known)};
  }

  void Restart(Member& member) {
    member.known.reset();
    member.knows_at =
        this->clock.Now() + absl::Seconds(2) * this->random.UniformDouble();
    member.budget =
        std::make_unique<WindowedRetryBudget>(this->clock, LimitsOf(member));
  }

  void Learn(Member& member) {
    if (member.known || this->clock.Now() < member.knows_at)
      return;
    member.known = this->plan.instances;
    member.budget->SetLimits(LimitsOf(member));
  }

  void DrawWeights() {
    this->total_weight = 0;
    for (Member& member : this->members) {
      member.weight = this->random.UniformDouble();
      this->total_weight += member.weight;
    }
  }

  void SendRequests(bool failing) {
    this->owed += this->plan.requests_per_s * absl::ToDoubleSeconds(kStep);
    for (; this->owed >= 1; this->owed -= 1) {
      double drawn = this->random.UniformDouble() * this->total_weight;
      size_t index = 0;
      while (index + 1 < this->members.size() &&
             drawn >= this->members[index].weight)
        drawn -= this->members[index++].weight;
      WindowedRetryBudget& budget = *this->members[index].budget;
      budget.OnRequest();
      this->requests.push_back(this->clock.Now());
      if (!failing || this->random.UniformDouble() > this->plan.failing_share)
        continue;
      for (int retry = 0; retry < 2 && budget.HasRoom(); ++retry) {
        budget.OnRetry();
        this->retries_sent.push_back(this->clock.Now());
        ++this->retry_count;
      }
    }
  }

  static double CountIn(const std::deque<absl::Time>& times,
                        absl::Time after,
                        absl::Time until) {
    return static_cast<double>(
        std::upper_bound(times.begin(), times.end(), until) -
        std::upper_bound(times.begin(), times.end(), after));
  }

  double Excess() {
    absl::Duration window = absl::Seconds(10);
    absl::Time now = this->clock.Now();
    absl::Time from = now - window;
    while (!this->retries_sent.empty() && this->retries_sent.front() <= from)
      this->retries_sent.pop_front();
    while (!this->requests.empty() && this->requests.front() <= from - window)
      this->requests.pop_front();
    double most_requests = std::max(
        {CountIn(this->requests, from, now),
         CountIn(this->requests, from - window, from),
         CountIn(this->requests, from - window / 2, now - window / 2)});
    return static_cast<double>(this->retries_sent.size()) -
           (this->plan.ratio * most_requests + this->plan.slack);
  }

  const FleetPlan plan;
  ManualClock clock;
  SeededRandom random;
  std::vector<Member> members;
  double total_weight = 0;
  double owed = 0;
  std::deque<absl::Time> requests;
  std::deque<absl::Time> retries_sent;
  size_t retry_count = 0;
};

// Guards against retries that a process has spent and its successor spends
// again: the bound is one of all processes that ever lived.
RC_BOOST_PROP(retries_of_restarted_fleets_stay_within_the_bound, ()) {
  FleetPlan plan;
  plan.instances = *rc::gen::inRange<size_t>(1, 24);
  plan.requests_per_s = *rc::gen::inRange(5, 400);
  plan.slack = *rc::gen::inRange(0, 200);
  plan.ratio = *rc::gen::element(0.0, 0.1, 0.2, 0.4);
  plan.failing_share = *rc::gen::element(0.1, 0.5, 0.9);
  plan.failing_from = absl::Seconds(*rc::gen::inRange(0, 25));
  plan.restart_interval = absl::Milliseconds(*rc::gen::inRange(500, 30'000));
  plan.single_restarts_per_s = *rc::gen::element(0.0, 0.02, 0.3);
  plan.seed = *rc::gen::arbitrary<uint64_t>();
  RetryFleet fleet(plan);
  RC_ASSERT(fleet.Run() <= 0);
}

// The same at the sizes of the users' deployments.
BOOST_AUTO_TEST_CASE(retries_of_large_fleets_stay_within_the_bound) {
  struct Size {
    size_t instances;
    double requests_per_s;
    double slack;
  };
  for (Size size :
       {Size{8, 101, 56}, Size{60, 410, 172}, Size{195, 361, 430}}) {
    for (int interval_s : {2, 3, 9, 60}) {
      FleetPlan plan;
      plan.instances = size.instances;
      plan.requests_per_s = size.requests_per_s;
      plan.slack = size.slack;
      plan.failing_from = absl::Seconds(12);
      plan.restart_interval = absl::Seconds(interval_s);
      plan.seed = size.instances;
      RetryFleet fleet(plan);
      BOOST_TEST_CONTEXT(size.instances << " instances, restarted every "
                                        << interval_s << " s") {
        BOOST_TEST(fleet.Run() <= 0);
        BOOST_TEST(fleet.retries() > 0);
      }
    }
  }
}

}  // namespace
}  // namespace cranberryhill::forward
