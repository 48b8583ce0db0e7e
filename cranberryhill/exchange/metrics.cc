#include "cranberryhill/exchange/metrics.h"

#include <prometheus/text_serializer.h>

namespace cranberryhill::gateway {
namespace {

const prometheus::Histogram::BucketBoundaries kLatencyBucketsSeconds{
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 3, 5, 8};

const prometheus::Histogram::BucketBoundaries kErrorBucketsSeconds{
    -1, -0.4, -0.2, -0.1, -0.05, -0.02, 0, 0.02, 0.05, 0.1, 0.2, 0.4, 1, 2};

const prometheus::Histogram::BucketBoundaries kLoopDelayBucketsSeconds{
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

prometheus::Histogram& AddHistogram(
    prometheus::Registry& registry,
    const std::string& name,
    const std::string& help,
    const prometheus::Histogram::BucketBoundaries& buckets =
        kLatencyBucketsSeconds) {
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Register(registry)
      .Add({}, buckets);
}

prometheus::Counter& GetOrAddCounter(
    prometheus::Family<prometheus::Counter>& family,
    absl::flat_hash_map<std::string, prometheus::Counter*>& counters,
    const std::string& label,
    std::string_view value) {
  prometheus::Counter*& counter = counters[std::string(value)];
  if (counter == nullptr)
    counter = &family.Add({{label, std::string(value)}});
  return *counter;
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : outcomes(prometheus::BuildCounter()
                   .Name("cranberryhill_requests_total")
                   .Help("Requests by outcome")
                   .Register(this->registry)),
      decisions(prometheus::BuildCounter()
                    .Name("cranberryhill_decisions_total")
                    .Help("Decisions about requests")
                    .Register(this->registry)),
      gauges(prometheus::BuildGauge()
                 .Name("cranberryhill_state")
                 .Help("What the process believes")
                 .Register(this->registry)),
      engine_speeds(prometheus::BuildGauge()
                        .Name("cranberryhill_engine_speed")
                        .Help("Learned figures of the engines of a service")
                        .Register(this->registry)),
      retry_credits(prometheus::BuildGauge()
                        .Name("cranberryhill_retry_credit")
                        .Help("Retries that a service may send now")
                        .Register(this->registry)),
      wanted_replicas(prometheus::BuildGauge()
                          .Name("cranberryhill_wanted_replicas")
                          .Help("Replicas that a service should have")
                          .Register(this->registry)),
      first_byte(AddHistogram(this->registry,
                              "cranberryhill_first_byte_seconds",
                              "From the request to the first byte answered")),
      whole_answer(AddHistogram(this->registry,
                                "cranberryhill_whole_answer_seconds",
                                "From the request to the end of its answer")),
      first_byte_error(
          AddHistogram(this->registry,
                       "cranberryhill_first_byte_error_seconds",
                       "Actual minus expected time to the first event",
                       kErrorBucketsSeconds)),
      event_loop_delay(AddHistogram(this->registry,
                                    "cranberryhill_event_loop_delay_seconds",
                                    "How late a timer of the event loop fired",
                                    kLoopDelayBucketsSeconds)) {}

void GatewayMetrics::CountOutcome(std::string_view outcome) {
  GetOrAddCounter(this->outcomes, this->outcome_counters, "outcome", outcome)
      .Increment();
}

void GatewayMetrics::CountDecision(std::string_view decision) {
  GetOrAddCounter(this->decisions, this->decision_counters, "decision",
                  decision)
      .Increment();
}

void GatewayMetrics::ObserveFirstByte(absl::Duration latency) {
  this->first_byte.Observe(absl::ToDoubleSeconds(latency));
}

void GatewayMetrics::ObserveWholeAnswer(absl::Duration latency) {
  this->whole_answer.Observe(absl::ToDoubleSeconds(latency));
}

void GatewayMetrics::ObserveFirstByteError(absl::Duration error) {
  this->first_byte_error.Observe(absl::ToDoubleSeconds(error));
}

void GatewayMetrics::ObserveEventLoopDelay(absl::Duration delay) {
  this->event_loop_delay.Observe(absl::ToDoubleSeconds(delay));
}

void GatewayMetrics::SetGauge(std::string_view name, double value) {
  this->gauges.Add({{"name", std::string(name)}}).Set(value);
}

void GatewayMetrics::SetEngineSpeed(std::string_view service,
                                    std::string_view figure,
                                    double value) {
  this->engine_speeds
      .Add({{"service", std::string(service)}, {"figure", std::string(figure)}})
      .Set(value);
}

void GatewayMetrics::SetWantedReplicas(std::string_view service,
                                       std::string_view zone,
                                       std::string_view kind,
                                       double value) {
  this->wanted_replicas
      .Add({{"service", std::string(service)},
            {"zone", std::string(zone)},
            {"kind", std::string(kind)}})
      .Set(value);
}

void GatewayMetrics::SetRetryCredit(std::string_view service, double credit) {
  this->retry_credits.Add({{"service", std::string(service)}}).Set(credit);
}

std::string GatewayMetrics::Render() const {
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

}  // namespace cranberryhill::gateway
