#include "cranberryhill/daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cstdlib>
#include <map>

#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

struct Description {
  const char* name;
  const char* help;
};

// Every metric of the daemon is listed here, so that the metrics page shows
// each of them from the start and a misspelled name is found by the first use.
constexpr Description kCounters[] = {
    {"cranberryhill_chats_total", "Chats by how they ended"},
    {"cranberryhill_refusals_total", "Refusals by code and outcome"},
    {"cranberryhill_tokens_total", "Tokens passed on to callers"},
    {"cranberryhill_dropped_tokens_total",
     "Late, repeated or crossed tokens that were not passed on"},
    {"cranberryhill_attempts_total", "Attempts on engines by their end"},
    {"cranberryhill_hedges_total", "Second attempts for a slow first token"},
    {"cranberryhill_moved_streams_total",
     "Streams moved away from an engine that will be changed"},
    {"cranberryhill_engine_crashes_total", "Engines seen to crash"},
    {"cranberryhill_crash_suspects_total",
     "Requests that became suspect or condemned"},
    {"cranberryhill_service_calls_total", "Service calls by kind and end"},
    {"cranberryhill_kv_transfers_total", "Transfers of KV cache blocks"},
    {"cranberryhill_probes_total", "Probes that keep the use of an engine"},
    {"cranberryhill_peer_messages_total",
     "Peer messages by what became of them"},
    {"cranberryhill_peer_bytes_total", "Bytes of peer messages sent"},
    {"cranberryhill_config_changes_total", "Versions that came into force"},
    {"cranberryhill_config_refused_total", "Documents that were refused"},
    {"cranberryhill_role_changes_total", "Role changes that were started"},
    {"cranberryhill_restarts_total", "Restarts of supervised parts"},
};

constexpr Description kGauges[] = {
    {"cranberryhill_chats_running", "Chats in progress"},
    {"cranberryhill_chats_waiting", "Chats that wait for an engine"},
    {"cranberryhill_generation", "Generation of the configuration in force"},
    {"cranberryhill_leaving", "1 during a graceful shutdown"},
    {"cranberryhill_lease_held", "1 while the zone's lease is held"},
    {"cranberryhill_fencing_number", "Fencing number of the held lease"},
    {"cranberryhill_view_age_seconds", "Age of the view of the plan"},
    {"cranberryhill_plan_version", "Version of the plan that is acted on"},
    {"cranberryhill_draining_engines", "Engines with an announced change"},
    {"cranberryhill_members", "Members by kind and state"},
    {"cranberryhill_engine_slowdown", "Largest slowdown among the engines"},
    {"cranberryhill_orders_sent", "Orders sent under the present lease"},
    {"cranberryhill_orders_done", "Orders that reached their target"},
    {"cranberryhill_orders_adopted", "Inherited orders that were adopted"},
    {"cranberryhill_calls_unfinished",
     "At-most-once calls whose row is not final yet"},
    {"cranberryhill_table_failures", "Table reads that failed or timed out"},
};

constexpr Description kHistograms[] = {
    {"cranberryhill_first_token_seconds",
     "Time from a chat's arrival to its first token"},
    {"cranberryhill_token_gap_seconds", "Mean gap between a chat's tokens"},
    {"cranberryhill_wait_seconds", "Time a chat waited for an engine"},
};

const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.033, 0.066, 0.1, 0.2,
    0.35,  0.5,   0.75,  1.1,  2,    5,     10,    30};

prometheus::Labels ToLabels(std::initializer_list<MetricLabel> labels) {
  prometheus::Labels converted;
  for (const MetricLabel& label : labels)
    converted.emplace(label.name, label.value);
  return converted;
}

template <typename Families>
auto& FindFamily(Families& families, std::string_view name) {
  auto found = families.find(name);
  if (found == families.end()) {
    LogLine("metric {} is not declared", name);
    std::abort();
  }
  return *found->second;
}

}  // namespace

struct Metrics::Impl {
  prometheus::Registry registry;
  std::map<std::string, prometheus::Family<prometheus::Counter>*, std::less<>>
      counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*, std::less<>>
      gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*, std::less<>>
      histograms;
};

Metrics::Metrics() : impl(std::make_unique<Impl>()) {
  for (const Description& d : kCounters) {
    this->impl->counters[d.name] =
        &prometheus::BuildCounter().Name(d.name).Help(d.help).Register(
            this->impl->registry);
  }
  for (const Description& d : kGauges) {
    this->impl->gauges[d.name] =
        &prometheus::BuildGauge().Name(d.name).Help(d.help).Register(
            this->impl->registry);
  }
  for (const Description& d : kHistograms) {
    this->impl->histograms[d.name] =
        &prometheus::BuildHistogram().Name(d.name).Help(d.help).Register(
            this->impl->registry);
  }
}

Metrics::~Metrics() = default;

void Metrics::Count(std::string_view name,
                    std::initializer_list<MetricLabel> labels,
                    double amount) {
  FindFamily(this->impl->counters, name)
      .Add(ToLabels(labels))
      .Increment(amount);
}

void Metrics::Set(std::string_view name,
                  std::initializer_list<MetricLabel> labels,
                  double value) {
  FindFamily(this->impl->gauges, name).Add(ToLabels(labels)).Set(value);
}

void Metrics::Observe(std::string_view name,
                      std::initializer_list<MetricLabel> labels,
                      double seconds) {
  FindFamily(this->impl->histograms, name)
      .Add(ToLabels(labels), kSecondsBuckets)
      .Observe(seconds);
}

std::string Metrics::Text() const {
  return prometheus::TextSerializer().Serialize(this->impl->registry.Collect());
}

}  // namespace cranberryhill
