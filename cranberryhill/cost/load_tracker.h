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
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/cost/work.h"

namespace cranberryhill {

/// What an engine reports about itself.
struct LoadReport {
  absl::Time measured_at;     ///< Own clock: time of receipt minus stated age.
  uint32_t running = 0;       ///< Streams in decode.
  uint32_t queued = 0;        ///< Requests waiting for or in prefill.
  double prefill_tokens = 0;  ///< Tokens that wait for prefill.
  /// Part of prefill_tokens that has low priority, for long work.
  double low_priority_tokens = 0;
};

/// Estimated present load.
struct EngineLoad {
  double prefill_tokens = 0;       ///< Waiting for prefill, long work included.
  double low_priority_tokens = 0;  ///< Part that is long work.
};

/// Not thread-safe.
class LoadTracker {
 public:
  /// A report that is older than the one known is ignored.
  void OnReport(const LoadReport& report);

  /// Records work sent by this instance.
  /// @param low_priority True for long work.
  void OnSent(uint64_t request,
              absl::Time now,
              const Work& work,
              bool low_priority = false);

  /// Records that the prefill of a request sent to this engine has ended.
  /// @param work As given to OnSent().
  void OnPrefillDone(uint64_t request,
                     absl::Time now,
                     const Work& work,
                     bool low_priority = false);

  /// Records that a request left the engine.
  void OnGone(absl::Time now);

  /// @param prefill_tokens_per_s Speed of the engine.
  /// @param peer_tokens_per_s Prefill tokens that other instances probably
  ///     send to the engine.
  EngineLoad Estimate(absl::Time now,
                      double prefill_tokens_per_s,
                      double peer_tokens_per_s = 0) const;

  /// The same with the time in seconds since the Unix epoch, which is faster.
  EngineLoad EstimateAt(double now_s,
                        double prefill_tokens_per_s,
                        double peer_tokens_per_s) const;

  /// @return Streams in decode or about to be.
  double Streams() const;

  /// @return Prefill tokens that this instance sent since the last report.
  double SentSinceReport() const { return this->sent_prefill; }

  /// @return Requests of this instance on the engine.
  uint32_t Outstanding() const { return this->outstanding; }

  /// @return Time at which the last report was measured.
  absl::Time ReportTime() const { return this->report.measured_at; }

 private:
  struct Sent {
    uint64_t request;
    double at;  // Seconds since the Unix epoch, as below.
    double prefill_tokens;
    bool low_priority;
  };

  LoadReport report{.measured_at = absl::InfinitePast()};
  std::vector<Sent> sent;    // Since the report, oldest first.
  std::vector<double> left;  // Ends of requests since the report.
  double sent_prefill = 0;
  double own_waiting = 0;  // Prefill tokens of own requests, high priority.
  double progress = 0;     // Time of the last progress of an own prefill.
  double measured_at = 0;
  uint32_t outstanding = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_COST_LOAD_TRACKER_H_
