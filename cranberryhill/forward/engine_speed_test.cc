#include "cranberryhill/forward/engine_speed.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/placement.h"
#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

/// Figures of one kind of engine.
struct EngineSheet {
  double prefill_tokens_per_ms;
  double chunk_tokens;
  double step_ms;
  double overhead_ms;
  double first_event_ms;
  int slots;
};

constexpr EngineSheet kFast{157, 1024, 3.55, 26, 14, 128};
constexpr EngineSheet kLargeModel{61.4, 2048, 4.55, 40, 25, 64};
constexpr EngineSheet kThreeTimesSlower{52, 512, 10.6, 78, 45, 8};

/// A prefill engine that prefills one prompt after the other, and a decode
/// engine, on a virtual clock.
class EngineSimulation {
 public:
  EngineSimulation() {
    ReplicaEntry prefill = MakeEntry("prefill", "a", EngineRole::kPrefill);
    ReplicaEntry decode = MakeEntry("decode", "a", EngineRole::kDecode);
    this->replicas.Apply(prefill);
    this->replicas.Apply(decode);
  }

  /// Serves prompts, one while up to `max_queued` others are queued.
  /// @return The relative errors of the expected times to the first byte, in
  ///     ascending order.
  std::vector<double> Serve(const EngineSheet& sheet, int prompts) {
    std::vector<double> errors;
    errors.reserve(static_cast<size_t>(prompts));
    for (int i = 0; i < prompts; ++i)
      errors.push_back(this->ServeOne(sheet));
    std::sort(errors.begin(), errors.end());
    return errors;
  }

  EngineSpeedModels speeds{clock};

 private:
  double ServeOne(const EngineSheet& sheet) {
    // Every prompt is new, so that nothing of it is cached.
    PromptDescription prompt =
        MakePrompt(this->next_id++, 200,
                   static_cast<uint32_t>(this->random.UniformInt(300, 12000)));
    auto engine = this->replicas.Find("prefill");
    double queued = static_cast<double>(this->random.UniformInt(0, 6000));
    engine->queued = {queued, 0};
    PlacementChoice choice = this->placement.ChooseEngine(
        this->replicas.Usable("service"), prompt, {}, this->clock.Now(), {});
    BOOST_REQUIRE(choice.replica != nullptr);
    double tokens = prompt.prompt_tokens;
    bool decodes = choice.prefill_engine == nullptr;
    // Each engine takes up to a tenth more or less than its figures say.
    double noise = 0.9 + 0.2 * this->random.UniformDouble();
    double ms_per_token = decodes ? 2 / sheet.prefill_tokens_per_ms +
                                        sheet.step_ms / (sheet.chunk_tokens / 4)
                                  : 1 / sheet.prefill_tokens_per_ms +
                                        sheet.step_ms / sheet.chunk_tokens;
    PrefillWork work{tokens, tokens, decodes ? 0 : queued};
    double prefill_ms =
        noise *
        (sheet.overhead_ms + ms_per_token * (work.tokens_ahead + work.tokens) +
         tokens * tokens / 2e6 * 11 * ms_per_token);
    double first_event_ms = noise * (sheet.first_event_ms + tokens * 0.0006);
    if (decodes) {
      this->speeds.ObserveDecodeEnginePrefill("service", work, 0,
                                              absl::Milliseconds(prefill_ms));
      first_event_ms = 8;
    } else {
      this->speeds.ObservePrefill("service", work,
                                  absl::Milliseconds(prefill_ms));
      this->speeds.ObserveFirstEvent("service", tokens,
                                     absl::Milliseconds(first_event_ms));
    }
    this->clock.Advance(absl::Milliseconds(prefill_ms + first_event_ms));
    double expected = absl::ToDoubleMilliseconds(choice.expected_first_byte);
    double actual = prefill_ms + first_event_ms;
    return std::abs(expected - actual) / actual;
  }

  ManualClock clock;
  SeededRandom random{5};
  ReplicaSet replicas{clock};
  Placement placement{"a", this->speeds};
  uint64_t next_id = 1;
};

double Quantile(const std::vector<double>& sorted, double quantile) {
  return sorted[static_cast<size_t>(quantile *
                                    static_cast<double>(sorted.size() - 1))];
}

// Load: prompts of 500 to 12,200 tokens behind queues of up to 6,000 tokens.
// Guards against expected times that hold for the engines of one vendor only.
BOOST_AUTO_TEST_CASE(expected_first_byte_holds_on_engines_of_any_speed) {
  for (const EngineSheet& sheet : {kFast, kLargeModel, kThreeTimesSlower}) {
    EngineSimulation simulation;
    simulation.Serve(sheet, 200);
    std::vector<double> errors = simulation.Serve(sheet, 200);
    BOOST_TEST_MESSAGE("tokens per ms " << sheet.prefill_tokens_per_ms
                                        << ": median error "
                                        << Quantile(errors, 0.5) << ", 90% "
                                        << Quantile(errors, 0.9));
    BOOST_TEST(Quantile(errors, 0.5) < 0.15);
    BOOST_TEST(Quantile(errors, 0.9) < 0.40);
  }
}

// Guards against figures that stay those of the old hardware after a release.
BOOST_AUTO_TEST_CASE(expected_first_byte_follows_a_change_of_hardware) {
  EngineSimulation simulation;
  simulation.Serve(kFast, 400);
  simulation.Serve(kThreeTimesSlower, 300);
  std::vector<double> errors = simulation.Serve(kThreeTimesSlower, 200);
  BOOST_TEST(Quantile(errors, 0.5) < 0.15);
  BOOST_TEST(Quantile(errors, 0.9) < 0.40);
  simulation.Serve(kFast, 300);
  errors = simulation.Serve(kFast, 200);
  BOOST_TEST(Quantile(errors, 0.5) < 0.15);
  BOOST_TEST(Quantile(errors, 0.9) < 0.40);
}

// Guards against an instance that has just started and expects the prior's
// times although its peers know the engines.
BOOST_AUTO_TEST_CASE(new_instance_uses_what_its_peers_have_learned) {
  EngineSimulation experienced;
  experienced.Serve(kThreeTimesSlower, 200);
  EngineSimulation started;
  started.speeds.MergePeer("peer", experienced.speeds.OwnSummaries());
  std::vector<double> errors = started.Serve(kThreeTimesSlower, 40);
  BOOST_TEST(Quantile(errors, 0.5) < 0.15);
}

// Guards against figures of a faulty peer that make all expected times useless.
BOOST_AUTO_TEST_CASE(implausible_figures_of_a_peer_are_ignored) {
  ManualClock clock;
  EngineSpeedModels speeds(clock);
  double nan = std::numeric_limits<double>::quiet_NaN();
  for (double bad : {nan, -1.0, 1e9}) {
    speeds.MergePeer("peer", {{"service", 60, {bad, 0.01}, 1, {14, 0.4}},
                              {"service", 60, {26, bad}, 1, {14, 0.4}},
                              {"service", bad, {26, 0.01}, 1, {14, 0.4}},
                              {"service", 60, {26, 0.01}, bad, {14, 0.4}},
                              {"service", 60, {26, 0.01}, 1, {bad, 0.4}}});
  }
  BOOST_TEST(speeds.SpeedOf("service").prefill.slope ==
             EngineSpeed{}.prefill.slope);
}

// Guards against figures of an instance that is gone for good, which would be
// weighed like those of a live one.
BOOST_AUTO_TEST_CASE(figures_of_a_silent_peer_expire) {
  ManualClock clock;
  EngineSpeedModels speeds(clock);
  speeds.MergePeer("gone", {{"service", 60, {260, 0.098}, 1, {140, 4}}});
  BOOST_TEST(speeds.SpeedOf("service").prefill.intercept > 200);
  clock.Advance(absl::Minutes(1));
  speeds.MergePeer("other", {{"service", 60, {26, 0.0098}, 1, {14, 0.4}}});
  BOOST_TEST(speeds.SpeedOf("service").prefill.intercept < 40);
}

}  // namespace
}  // namespace cranberryhill::forward
