#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "cranberryhill/cost/engine_speed.h"
#include "cranberryhill/cost/load_tracker.h"
#include "cranberryhill/cost/output_predictor.h"
#include "cranberryhill/cost/work.h"

namespace cranberryhill {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

// Guards against work of zero or less if more blocks are cached than the prompt
// has.
RC_BOOST_PROP(WorkIsAlwaysPositive, (uint16_t tokens, uint8_t blocks)) {
  Work work = WorkOf(tokens, blocks, {});
  RC_ASSERT(work.prefill_tokens >= 1);
  RC_ASSERT(work.prefill_tokens <= std::max<uint32_t>(1, tokens));
}

// Guards against predictions that mix customers or kinds of calls.
BOOST_AUTO_TEST_CASE(PredictionFollowsCustomerAndKind) {
  OutputPredictor predictor;
  for (int i = 0; i < 50; ++i) {
    predictor.Observe("a", "chat", 100);
    predictor.Observe("b", "chat", 800);
    predictor.Observe("a", "code", 400);
  }
  BOOST_TEST(predictor.Predict("a", "chat", 0).mean == 100,
             boost::test_tools::tolerance(0.01));
  BOOST_TEST(predictor.Predict("b", "chat", 0).mean == 800,
             boost::test_tools::tolerance(0.01));
  // The prediction for an unknown customer uses the histogram of the kind.
  double unknown = predictor.Predict("c", "chat", 0).mean;
  BOOST_TEST((unknown > 100 && unknown < 800));
}

// Guards against estimates above the limit that the caller set, and against a
// high quantile below the mean.
RC_BOOST_PROP(PredictionRespectsLimit,
              (const std::vector<uint16_t>& lengths, uint16_t limit)) {
  OutputPredictor predictor;
  for (uint16_t length : lengths)
    predictor.Observe("a", "chat", length);
  OutputEstimate estimate = predictor.Predict("a", "chat", limit);
  RC_ASSERT(estimate.high >= estimate.mean);
  if (limit > 0)
    RC_ASSERT(estimate.high <= limit);
}

// Guards against a prefill rate that does not adapt to engines slower than the
// prior, and against one that counts the step time as prefill time.
BOOST_AUTO_TEST_CASE(SpeedModelLearnsRates) {
  SpeedModel model({.prefill_tokens_per_s = 20000,
                    .gap_base_s = 0.010,
                    .gap_per_stream_s = 0});
  for (int i = 0; i < 300; ++i) {
    double tokens = 2000 + 1000.0 * (i % 5);
    model.ObserveFirstToken(tokens, 4, absl::Seconds(0.010 + tokens / 8000));
    double streams = 10.0 * (i % 10);
    absl::Duration gap = absl::Seconds(0.010 + 0.0005 * streams);
    model.ObserveGap(streams, gap, gap);
  }
  BOOST_TEST(model.PrefillSeconds(8000, 4) == 1.0,
             boost::test_tools::tolerance(0.1));
  BOOST_TEST(model.GapSeconds(60) == 0.040, boost::test_tools::tolerance(0.1));
}

// Guards against a slowdown that is not detected within a few observations, and
// against a factor that stays high so that the engine is never tried again.
BOOST_AUTO_TEST_CASE(SlowdownRisesAndExpires) {
  SlowdownEstimator slowdown;
  for (int i = 0; i < 8; ++i)
    slowdown.Observe(5, At(0.1 * i));
  BOOST_TEST(slowdown.Factor(At(1)) > 3);
  BOOST_TEST(slowdown.Factor(At(60)) == 1);
}

// Guards against taking a load report as current: work sent after the report
// was measured must be added, and work sent before it must not count twice.
BOOST_AUTO_TEST_CASE(ReportIsCorrectedByWorkSentSince) {
  LoadTracker tracker;
  tracker.OnSent(1, At(1.0), {.prefill_tokens = 4000});
  tracker.OnSent(2, At(2.0), {.prefill_tokens = 3000});
  tracker.OnReport({.measured_at = At(1.9), .prefill_tokens = 4000});
  // At 100 tokens/s the engine has processed only 10 tokens since the report.
  EngineLoad load = tracker.Estimate(At(2.0), 100);
  BOOST_TEST(load.prefill_tokens == 6990, boost::test_tools::tolerance(0.01));
  BOOST_TEST(tracker.PrefillTokensSinceReport() == 3000);
}

// Guards against counting a stream that has ended as still running until the
// next report arrives.
BOOST_AUTO_TEST_CASE(EndedStreamsAreNotCounted) {
  LoadTracker tracker;
  tracker.OnReport({.measured_at = At(1), .running = 5});
  tracker.OnRequestLeft(At(2));
  BOOST_TEST(tracker.EstimatedStreams() == 4);
}

// Guards against an older report replacing a newer one.
BOOST_AUTO_TEST_CASE(OlderReportIsIgnored) {
  LoadTracker tracker;
  tracker.OnReport({.measured_at = At(2), .prefill_tokens = 10});
  tracker.OnReport({.measured_at = At(1), .prefill_tokens = 99});
  BOOST_TEST(tracker.Estimate(At(2), 1).prefill_tokens == 10);
}

// Guards against estimates that become negative, or that do not return to zero
// when all requests have ended.
RC_BOOST_PROP(LoadReturnsToZero, (std::vector<uint16_t> sizes)) {
  LoadTracker tracker;
  double time = 0;
  uint64_t id = 0;
  for (uint16_t size : sizes) {
    tracker.OnSent(id++, At(time), {.prefill_tokens = double{1} + size});
    time += 0.01;
    RC_ASSERT(tracker.Estimate(At(time), 5000).prefill_tokens >= 0);
  }
  for (uint64_t i = 0; i < id; ++i) {
    tracker.OnPrefillDone(i, At(time),
                          {.prefill_tokens = double{1} + sizes[i]});
    tracker.OnRequestLeft(At(time));
  }
  tracker.OnReport({.measured_at = At(time + 1)});
  RC_ASSERT(tracker.Estimate(At(time + 1), 5000).prefill_tokens < 1e-6);
  RC_ASSERT(tracker.EstimatedStreams() == 0);
}

}  // namespace
}  // namespace cranberryhill
