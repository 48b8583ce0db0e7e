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

// Scenarios that are run for each case of the property. One would not be
// enough, because some faults show only in orders of events that occur once in
// several hundred scenarios.
constexpr int kScenariosPerCase = 20;

// One generated event. `kind`, from 0 to 99, selects what
// Scenario::ApplyEvent() does with the other values.
struct SimulationEvent {
  int kind;
  size_t selector;
  size_t argument;
};

// RapidCheck narrows ranges to its current size, which starts small. This size
// makes it use the full ranges.
constexpr int kFullGeneratorSize = 100;

rc::Gen<SimulationEvent> AnySimulationEvent() {
  return rc::gen::resize(
      kFullGeneratorSize,
      rc::gen::build<SimulationEvent>(
          rc::gen::set(&SimulationEvent::kind, rc::gen::inRange(0, 100)),
          rc::gen::set(&SimulationEvent::selector,
                       rc::gen::inRange<size_t>(0, 1000)),
          rc::gen::set(&SimulationEvent::argument,
                       rc::gen::inRange<size_t>(0, 1000))));
}

// Applies events to a simulation and checks what callers and the service saw.
class Scenario {
 public:
  Scenario() : simulation(kInstances, MakeConfig()) {}

  void ApplyEvent(const SimulationEvent& event) {
    size_t i = event.selector % kInstances;
    auto& instance = *this->simulation.instances[i];
    if (event.kind < 12) {
      this->Submit(i, event.argument);
    } else if (event.kind < 37) {
      RunFirst(instance.outbox);
    } else if (event.kind < 60) {
      RunFirst(instance.inbox);
    } else if (event.kind < 75) {
      if (!this->simulation.pending_sends.empty())
        this->simulation.AdvanceSend(
            event.argument % this->simulation.pending_sends.size(),
            event.selector % 4 != 0);
    } else if (event.kind < 77) {
      if (!this->simulation.pending_sends.empty())
        this->simulation.TimeOutSend(event.argument %
                                     this->simulation.pending_sends.size());
    } else if (event.kind < 83) {
      this->simulation.clock.Advance(absl::Milliseconds(event.argument));
      instance.deduplicator->Tick();
    } else if (event.kind < 84) {
      this->simulation.clock.Advance(absl::Seconds(event.argument % 60));
    } else if (event.kind < 86) {
      this->simulation.Crash(i);
    } else if (event.kind < 94) {
      this->SetFaults(i, event.argument);
    } else if (event.kind < 97) {
      instance.memory_table->DeliverLate();
    } else {
      this->simulation.objects.outage = event.argument % 2 == 0;
    }
  }

  // Ends all faults. Each request must then have one answer, unless its
  // instance crashed.
  void EndFaultsAndCheckAnswers() {
    this->simulation.EndFaults();
    this->simulation.RunFor(absl::Minutes(1));
    for (const Attempt& attempt : this->simulation.attempts)
      RC_ASSERT(attempt.crashed || attempt.answers.size() == 1U);
    for (auto& instance : this->simulation.instances)
      RC_ASSERT(instance->deduplicator->unfinished() == 0U);
  }

  // Checks that each key ran at most once, and that its call was written before
  // the deadline.
  void CheckRuns() {
    for (const auto& [key, runs] : this->simulation.runs)
      RC_ASSERT(runs.size() <= 1U);
    for (const auto& [key, runs] : this->simulation.runs) {
      for (const ServiceRun& run : runs)
        RC_ASSERT(run.written_at < run.attempt_deadline);
    }
  }

  // Checks that every result is that of the only run of its key.
  void CheckResults() {
    for (const Attempt& attempt : this->simulation.attempts) {
      for (const CallAnswer& answer : attempt.answers) {
        const auto* result = std::get_if<CallResult>(&answer);
        if (result == nullptr)
          continue;
        RC_ASSERT(result->body == "run 1 of " + attempt.key);
      }
    }
  }

  // Checks refusals with kNotRun: neither the refused attempt nor an attempt
  // that ended before the refused one was submitted may have run the call.
  void CheckNotRun() {
    for (const Attempt& refused : this->simulation.attempts) {
      if (!WasRefusedAsNotRun(refused))
        continue;
      for (const ServiceRun& run : this->simulation.runs[refused.key]) {
        const Attempt& running_attempt =
            this->FindAttempt(run.attempt_deadline);
        RC_ASSERT(running_attempt.deadline != refused.deadline);
        RC_ASSERT(running_attempt.ended_step > refused.submitted_step);
        RC_ASSERT(running_attempt.deadline > refused.submitted_at);
        // A first attempt must not run after a later request was told "not
        // run".
        RC_ASSERT(!running_attempt.first_attempt ||
                  run.step < refused.ended_step);
      }
    }
  }

  // Checks that repeats through any instance are answered, and that they get a
  // result if an earlier attempt got one and the instance of that attempt has
  // not restarted since.
  void CheckRepeats() {
    size_t attempt_count = this->simulation.attempts.size();
    std::set<std::string> keys_with_result;
    for (size_t index = 0; index < attempt_count; ++index) {
      const Attempt& attempt = this->simulation.attempts[index];
      if (!attempt.answers.empty() &&
          std::holds_alternative<CallResult>(attempt.answers[0]) &&
          !this->WasRestartedAfter(attempt)) {
        keys_with_result.insert(attempt.key);
      }
    }
    for (const auto& [key, runs] : this->simulation.runs) {
      for (size_t i = 0; i < kInstances; ++i) {
        size_t repeat = this->simulation.Submit(i, key, false);
        this->simulation.RunFor();
        RC_ASSERT(this->simulation.attempts[repeat].answers.size() == 1U);
        if (keys_with_result.contains(key)) {
          RC_ASSERT(std::holds_alternative<CallResult>(
              this->simulation.GetAnswer(repeat)));
        }
      }
    }
  }

 private:
  static CallDeduplicatorConfig MakeConfig() {
    CallDeduplicatorConfig config;
    // The results of the key "k1 (large)" exceed this and go to the object
    // store.
    config.max_row_result_bytes = std::string("run 1 of k0").size();
    return config;
  }

  static bool WasRefusedAsNotRun(const Attempt& attempt) {
    if (attempt.answers.empty())
      return false;
    const auto* refusal = std::get_if<Refusal>(&attempt.answers[0]);
    return refusal != nullptr && refusal->outcome == RefusalOutcome::kNotRun;
  }

  void Submit(size_t i, size_t argument) {
    std::string key = argument % kKeys == 0 ? "k0" : "k1 (large)";
    bool is_first = this->submitted_keys.insert(key).second;
    bool is_marked_first = is_first && argument % 3 != 0;
    this->simulation.Submit(i, key, is_marked_first,
                            absl::Milliseconds(100 + 5 * argument));
  }

  void SetFaults(size_t i, size_t argument) {
    TableFaults faults;
    faults.outage = argument % 6 == 1;
    faults.lose_answers = argument % 6 == 2;
    faults.delay_commits = argument % 6 == 3;
    this->simulation.instances[i]->memory_table->SetFaults(faults);
  }

  const Attempt& FindAttempt(absl::Time deadline) {
    auto found = std::find_if(
        this->simulation.attempts.begin(), this->simulation.attempts.end(),
        [&](const Attempt& other) { return other.deadline == deadline; });
    RC_ASSERT(found != this->simulation.attempts.end());
    return *found;
  }

  bool WasRestartedAfter(const Attempt& attempt) const {
    auto crash = this->simulation.crash_steps.find(attempt.instance);
    return crash != this->simulation.crash_steps.end() &&
           crash->second > attempt.ended_step;
  }

  CallSimulation simulation;
  std::set<std::string> submitted_keys;
};

// Guards against calls that run twice, refusals that wrongly report "not run",
// repeats that get different results and requests that are never answered.
// Crashes, pauses, lost answers, delayed commits, outages and repeats through
// other instances occur in any order.
RC_BOOST_PROP(CallsRunAtMostOnce, ()) {
  for (int i = 0; i < kScenariosPerCase; ++i) {
    auto events = *rc::gen::container<std::vector<SimulationEvent>>(
        *rc::gen::resize(kFullGeneratorSize, rc::gen::inRange<size_t>(20, 300)),
        AnySimulationEvent());
    Scenario scenario;
    for (const SimulationEvent& event : events)
      scenario.ApplyEvent(event);
    scenario.CheckRuns();
    scenario.EndFaultsAndCheckAnswers();
    scenario.CheckRepeats();
    scenario.CheckRuns();
    scenario.CheckResults();
    scenario.CheckNotRun();
  }
}

}  // namespace
}  // namespace cranberryhill
