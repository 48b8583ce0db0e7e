#ifndef CRANBERRYHILL_EXCHANGE_METRICS_H_
#define CRANBERRYHILL_EXCHANGE_METRICS_H_

// Counters and latency histograms of a gateway, in the Prometheus text format.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class GatewayMetrics {
 public:
  GatewayMetrics();

  /// Counts a request by its outcome, such as "answered" or "refused".
  void CountOutcome(std::string_view outcome);

  /// Counts a decision, such as "retry", "resume" or "prompt_read".
  void CountDecision(std::string_view decision);

  void ObserveFirstByte(absl::Duration latency);
  void ObserveWholeAnswer(absl::Duration latency);
  /// @param error Actual minus expected time to the first event.
  void ObserveFirstByteError(absl::Duration error);

  /// @param delay How late a timer of the event loop fired, which is about what
  ///     the turn of the loop took in which it was due.
  void ObserveEventLoopDelay(absl::Duration delay);

  void SetGauge(std::string_view name, double value);

  /// Sets a learned figure of the engines of a service.
  void SetEngineSpeed(std::string_view service,
                      std::string_view figure,
                      double value);

  /// Sets how many retries a service may send now.
  /// Sets how many replicas of a kind a service should have in a zone.
  void SetWantedReplicas(std::string_view service,
                         std::string_view zone,
                         std::string_view kind,
                         double value);

  void SetRetryCredit(std::string_view service, double credit);

  /// @return All metrics in the Prometheus text format.
  std::string Render() const;

 private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& outcomes;
  prometheus::Family<prometheus::Counter>& decisions;
  prometheus::Family<prometheus::Gauge>& gauges;
  prometheus::Family<prometheus::Gauge>& engine_speeds;
  prometheus::Family<prometheus::Gauge>& retry_credits;
  prometheus::Family<prometheus::Gauge>& wanted_replicas;
  prometheus::Histogram& first_byte;
  prometheus::Histogram& whole_answer;
  prometheus::Histogram& first_byte_error;
  prometheus::Histogram& event_loop_delay;
  // A family takes a lock to look up labels; these maps cache the results.
  absl::flat_hash_map<std::string, prometheus::Counter*> outcome_counters;
  absl::flat_hash_map<std::string, prometheus::Counter*> decision_counters;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_EXCHANGE_METRICS_H_
