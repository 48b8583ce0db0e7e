#ifndef CRANBERRYHILL_COST_LOAD_TRACKER_H_
#define CRANBERRYHILL_COST_LOAD_TRACKER_H_

// Load of one engine: the last report, which lags, corrected by the work sent
// since and by the work that the engine did in the meantime.
//
//   LoadTracker tracker;
//   tracker.OnReport(report);
//   tracker.OnSent(1, clock.Now(), work);
//   EngineLoad load = tracker.Estimate(clock.Now(), 12000);

#include <cstdint>
#include <deque>

#include "absl/time/time.h"
#include "cranberryhill/cost/work.h"

namespace cranberryhill {

/// What an engine reports about itself.
struct LoadReport {
  absl::Time measured_at;     ///< Own clock: time of receipt minus stated age.
  uint32_t running = 0;       ///< Streams in decode.
  uint32_t queued = 0;        ///< Requests waiting for or in prefill.
  double prefill_tokens = 0;  ///< Tokens that wait for prefill.
};

/// Estimated present load.
struct EngineLoad {
  double prefill_tokens = 0;  ///< Waiting for prefill.
  double streams = 0;         ///< Streams in decode or about to be.
};

/// Not thread-safe.
class LoadTracker {
 public:
  /// A report that is older than the one known is ignored.
  void OnReport(const LoadReport& report);

  /// Records work sent by this instance.
  void OnSent(uint64_t request, absl::Time now, const Work& work);

  /// Records that a request sent to this engine got its first token.
  void OnPrefillDone(uint64_t request, absl::Time now);

  /// Records that a request left the engine.
  void OnGone(uint64_t request, absl::Time now);

  /// @param prefill_tokens_per_s Speed of the engine.
  EngineLoad Estimate(absl::Time now, double prefill_tokens_per_s) const;

  /// @return Prefill tokens that this instance sent since the last report.
  double SentSinceReport() const { return this->sent_prefill; }

  /// @return Requests that this instance sent since the last report.
  uint32_t RequestsSinceReport() const { return this->sent_requests; }

  /// @return Requests of this instance on the engine.
  uint32_t Outstanding() const { return this->outstanding; }

  /// @return Time at which the last report was measured.
  absl::Time ReportTime() const { return this->report.measured_at; }

 private:
  struct Sent {
    uint64_t request;
    absl::Time at;
    double prefill_tokens;
  };
  struct Left {
    absl::Time at;
    double prefill_tokens;
  };

  void DropReported();

  LoadReport report{.measured_at = absl::InfinitePast()};
  std::deque<Sent> sent;        // Since the report, oldest first.
  std::deque<absl::Time> left;  // Streams that ended since the report.
  double sent_prefill = 0;
  uint32_t sent_requests = 0;
  uint32_t outstanding = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_LOAD_TRACKER_H_
