#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

#include "cranberryhill/calls/call_simulation_test.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

namespace cranberryhill {
namespace {

constexpr size_t kInstances = 3;
constexpr size_t kKeys = 2;

// Rare orders of events need a few hundred scenarios to appear.
constexpr int kScenariosPerCase = 20;

// One generated event; what it does depends on `kind` out of 100.
struct Event {
  int kind;
  size_t a;
  size_t b;
};

// Ranges shrink with RapidCheck's size, which starts small.
constexpr int kFullSize = 100;

rc::Gen<Event> AnyEvent() {
  return rc::gen::resize(
      kFullSize,
      rc::gen::build<Event>(
          rc::gen::set(&Event::kind, rc::gen::inRange(0, 100)),
          rc::gen::set(&Event::a, rc::gen::inRange<size_t>(0, 1000)),
          rc::gen::set(&Event::b, rc::gen::inRange<size_t>(0, 1000))));
}

class Scenario {
 public:
  Scenario() : sim(kInstances, Config()) {}

  void Apply(const Event& event) {
    size_t i = event.a % kInstances;
    auto& instance = *this->sim.instances[i];
    if (event.kind < 12) {
      this->Submit(i, event.b);
    } else if (event.kind < 37) {
      RunFirst(instance.outbox);
    } else if (event.kind < 60) {
      RunFirst(instance.inbox);
    } else if (event.kind < 75) {
      if (!this->sim.sends.empty())
        this->sim.StepSend(event.b % this->sim.sends.size(), event.a % 4 != 0);
    } else if (event.kind < 77) {
      if (!this->sim.sends.empty())
        this->sim.GiveUpSend(event.b % this->sim.sends.size());
    } else if (event.kind < 83) {
      this->sim.clock.Advance(absl::Milliseconds(event.b));
      instance.guard->Tick();
    } else if (event.kind < 84) {
      this->sim.clock.Advance(absl::Seconds(event.b % 60));
    } else if (event.kind < 86) {
      this->sim.Crash(i);
    } else if (event.kind < 94) {
      this->SetFaults(i, event.b);
    } else if (event.kind < 97) {
      instance.memory->DeliverLate();
    } else {
      this->sim.objects.outage = event.b % 2 == 0;
    }
  }

  void Finish() {
    this->sim.Heal();
    this->sim.RunAll(absl::Minutes(1));
    for (const Attempt& attempt : this->sim.attempts)
      RC_ASSERT(attempt.crashed || attempt.answers.size() == 1U);
    for (auto& instance : this->sim.instances)
      RC_ASSERT(instance->guard->unfinished() == 0U);
  }

  // One run per key, written before the deadline.
  void CheckRuns() {
    for (const auto& [key, runs] : this->sim.runs)
      RC_ASSERT(runs.size() <= 1U);
    for (const auto& [key, runs] : this->sim.runs) {
      for (const CallRun& run : runs)
        RC_ASSERT(run.written < run.attempt);
    }
  }

  // A result comes from the one run.
  void CheckResults() {
    for (const Attempt& attempt : this->sim.attempts) {
      for (const CallAnswer& answer : attempt.answers) {
        const auto* result = std::get_if<CallResult>(&answer);
        if (result == nullptr)
          continue;
        RC_ASSERT(result->body == "run 1 of " + attempt.key);
      }
    }
  }

  // No attempt that was refused as not run, and none that had ended before it
  // came, ran the call at any time.
  void CheckNotRun() {
    for (const Attempt& refused : this->sim.attempts) {
      if (!IsNotRun(refused))
        continue;
      for (const CallRun& run : this->sim.runs[refused.key]) {
        const Attempt& runner = this->AttemptNamed(run.attempt);
        RC_ASSERT(runner.deadline != refused.deadline);
        RC_ASSERT(runner.ended_step > refused.submitted_step);
        RC_ASSERT(runner.deadline > refused.submitted);
        // A first attempt that was overtaken does not run any more.
        RC_ASSERT(!runner.first_attempt || run.step < refused.ended_step);
      }
    }
  }

  // Repeats through all instances agree, and find a result that some caller
  // got while its instance lived on.
  void CheckRepeats() {
    size_t before = this->sim.attempts.size();
    std::set<std::string> kept;
    for (size_t a = 0; a < before; ++a) {
      const Attempt& attempt = this->sim.attempts[a];
      if (!attempt.answers.empty() &&
          std::holds_alternative<CallResult>(attempt.answers[0]) &&
          !this->WasRestartedAfter(attempt)) {
        kept.insert(attempt.key);
      }
    }
    for (const auto& [key, runs] : this->sim.runs) {
      for (size_t i = 0; i < kInstances; ++i) {
        size_t repeat = this->sim.Submit(i, key, false);
        this->sim.RunAll();
        RC_ASSERT(this->sim.attempts[repeat].answers.size() == 1U);
        if (kept.contains(key)) {
          RC_ASSERT(
              std::holds_alternative<CallResult>(this->sim.AnswerOf(repeat)));
        }
      }
    }
  }

 private:
  static CallGuardConfig Config() {
    CallGuardConfig config;
    // Results of the key "k1 (large)" go to the object store.
    config.max_row_result_bytes = std::string("run 1 of k0").size();
    return config;
  }

  static bool IsNotRun(const Attempt& attempt) {
    if (attempt.answers.empty())
      return false;
    const auto* refusal = std::get_if<Refusal>(&attempt.answers[0]);
    return refusal != nullptr && refusal->outcome == RefusalOutcome::kNotRun;
  }

  void Submit(size_t i, size_t b) {
    std::string key = b % kKeys == 0 ? "k0" : "k1 (large)";
    bool is_first = this->submitted.insert(key).second;
    bool marked = is_first && b % 3 != 0;
    this->sim.Submit(i, key, marked, absl::Milliseconds(100 + 5 * b));
  }

  void SetFaults(size_t i, size_t b) {
    TableFaults faults;
    faults.outage = b % 6 == 1;
    faults.lose_answers = b % 6 == 2;
    faults.delay_commits = b % 6 == 3;
    this->sim.instances[i]->memory->SetFaults(faults);
  }

  const Attempt& AttemptNamed(absl::Time deadline) {
    auto found = std::find_if(
        this->sim.attempts.begin(), this->sim.attempts.end(),
        [&](const Attempt& other) { return other.deadline == deadline; });
    RC_ASSERT(found != this->sim.attempts.end());
    return *found;
  }

  bool WasRestartedAfter(const Attempt& attempt) const {
    auto crash = this->sim.crash_steps.find(attempt.instance);
    return crash != this->sim.crash_steps.end() &&
           crash->second > attempt.ended_step;
  }

  CallSimulation sim;
  std::set<std::string> submitted;
};

// Guards against calls that run twice, refusals that wrongly say "not run",
// repeats that get different results and requests that are never answered,
// under any order of crashes, pauses, lost answers, delayed commits, outages
// and repeats through other instances.
RC_BOOST_PROP(CallsRunAtMostOnce, ()) {
  for (int i = 0; i < kScenariosPerCase; ++i) {
    auto events = *rc::gen::container<std::vector<Event>>(
        *rc::gen::resize(kFullSize, rc::gen::inRange<size_t>(20, 300)),
        AnyEvent());
    Scenario scenario;
    for (const Event& event : events)
      scenario.Apply(event);
    scenario.CheckRuns();
    scenario.Finish();
    scenario.CheckRepeats();
    scenario.CheckRuns();
    scenario.CheckResults();
    scenario.CheckNotRun();
  }
}

}  // namespace
}  // namespace cranberryhill
