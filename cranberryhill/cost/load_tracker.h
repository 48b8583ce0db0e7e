#ifndef CRANBERRYHILL_COST_LOAD_TRACKER_H_
#define CRANBERRYHILL_COST_LOAD_TRACKER_H_

// Estimates the present load of one engine. The last load report is out of date
// by the time it arrives; it is corrected by the requests sent since it was
// measured and by the work that the engine did in the meantime.
//
//   LoadTracker tracker;
//   tracker.OnReport(report);
//   tracker.OnSent(1, clock.Now(), work);
//   EngineLoad load = tracker.Estimate(clock.Now(), 12000);

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/cost/work.h"

namespace cranberryhill {

/// Load that an engine reports.
struct LoadReport {
  /// Time of the measurement by the clock of this instance: the time of receipt
  /// minus the age stated in the report.
  absl::Time measured_at;
  uint32_t running = 0;       ///< Number of streams in decode.
  uint32_t queued = 0;        ///< Number of requests waiting for or in prefill.
  double prefill_tokens = 0;  ///< Number of tokens waiting for prefill.
  /// Number of prefill_tokens that belong to low-priority requests (long work).
  double low_priority_tokens = 0;
};

/// Estimated present load of an engine.
struct EngineLoad {
  double prefill_tokens = 0;  ///< Number of tokens waiting for prefill.
  /// Number of prefill_tokens that belong to low-priority requests (long work).
  double low_priority_tokens = 0;
};

/// Tracks the load of one engine. Not thread-safe.
class LoadTracker {
 public:
  /// Replaces the last report. Ignores a report that is older than the last
  /// one.
  void OnReport(const LoadReport& report);

  /// Records a request that this instance sent to the engine.
  /// @param low_priority True for long work.
  void OnSent(uint64_t request,
              absl::Time now,
              const Work& work,
              bool low_priority = false);

  /// Records that the prefill of a request sent to this engine has ended.
  /// @param work The work given to OnSent().
  void OnPrefillDone(uint64_t request,
                     absl::Time now,
                     const Work& work,
                     bool low_priority = false);

  /// Records that a request left the engine.
  void OnRequestLeft(absl::Time now);

  /// @param prefill_tokens_per_s Prefill speed of the engine.
  /// @param peer_tokens_per_s Rate of prefill tokens that other instances are
  ///     assumed to send to the engine.
  EngineLoad Estimate(absl::Time now,
                      double prefill_tokens_per_s,
                      double peer_tokens_per_s = 0) const;

  /// Same as Estimate(), but faster because the time is given in seconds since
  /// the Unix epoch.
  EngineLoad EstimateAt(double now_s,
                        double prefill_tokens_per_s,
                        double peer_tokens_per_s) const;

  /// @return Estimated number of streams that are in decode, in prefill or
  ///     queued.
  double EstimatedStreams() const;

  /// @return Number of prefill tokens that this instance sent since the last
  ///     report and whose prefill has not ended.
  double PrefillTokensSinceReport() const {
    return this->unreported_prefill_tokens;
  }

  /// @return Number of unfinished requests of this instance on the engine.
  uint32_t OutstandingRequests() const { return this->outstanding_requests; }

  /// @return Time at which the last report was measured.
  absl::Time ReportMeasuredAt() const { return this->report.measured_at; }

 private:
  struct SentRequest {
    uint64_t request;
    // All times of type double are seconds since the Unix epoch.
    double sent_at;
    double prefill_tokens;
    bool low_priority;
  };

  LoadReport report{.measured_at = absl::InfinitePast()};
  // Requests sent since the report was measured, oldest first.
  std::vector<SentRequest> sent_since_report;
  // Times at which requests left the engine since the report was measured.
  std::vector<double> departure_times;
  double unreported_prefill_tokens = 0;
  // Prefill tokens of this instance's high-priority requests that wait for
  // their first token.
  double own_prefill_tokens = 0;
  // Time at which a high-priority prefill of this instance last ended; or, if
  // none was waiting before, the time at which the first one was sent.
  double own_prefill_progress_at = 0;
  double report_measured_at = 0;
  uint32_t outstanding_requests = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_LOAD_TRACKER_H_
