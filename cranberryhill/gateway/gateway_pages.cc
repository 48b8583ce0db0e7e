// The part of Gateway that shows its state: the pages for the load balancer,
// for operators and for their metrics.

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string>

#include "cranberryhill/gateway/gateway.h"

namespace cranberryhill::gateway {
namespace {

constexpr int kUnavailable = 503;

}  // namespace

StatusPage Gateway::MakeReadinessPage() const {
  return this->ready() ? StatusPage{200, "application/json", "{}"}
                       : StatusPage{kUnavailable, "application/json", "{}"};
}

StatusPage Gateway::MakeStatusPage() const {
  nlohmann::json page;
  page["instance"] = this->settings.instance_id;
  page["ready"] = this->ready();
  page["configuration_version"] =
      this->routes == nullptr ? -1 : this->routes->configuration().version;
  page["registry_age_ms"] =
      absl::ToInt64Milliseconds(this->store_contact.Age());
  page["active_requests"] = this->caller_server.ActiveRequests();
  page["requests_of_peers"] = this->relay_server.ActiveRequests();
  page["cut_off_services"] = this->CutOffServices();
  absl::Time now = this->clock.Now();
  for (const auto& replica : this->replicas.Registered()) {
    page["replicas"].push_back(
        {{"id", replica->entry.id},
         {"service", replica->entry.service},
         {"address", replica->Address()},
         {"role", replica->entry.role
                      ? std::string(EngineRoleName(*replica->entry.role))
                      : "none"},
         {"leaving", replica->entry.leaving},
         {"says_leaving", replica->says_leaving},
         {"closed_for_ms",
          absl::ToInt64Milliseconds(
              std::max(absl::ZeroDuration(), replica->closed_until - now))},
         {"avoided", now < replica->avoid_until},
         {"unreachable", replica->unreachable},
         {"failure_rate", replica->failure_rate},
         {"limited_to_per_s",
          this->replica_limits.RateOf(replica->entry.id).value_or(-1)},
         {"outstanding", replica->outstanding}});
  }
  for (const std::string& service : this->engine_speeds.Services()) {
    const forward::EngineSpeed& speed = this->engine_speeds.SpeedOf(service);
    page["engine_speeds"][service] = {
        {"prefill_ms", speed.prefill.intercept},
        {"prefill_ms_per_1000_tokens", speed.prefill.slope * 1000},
        {"decode_engine_prefill_ratio", speed.decode_engine_prefill_ratio},
        {"first_event_ms", speed.first_event.intercept},
        {"first_event_ms_per_1000_tokens", speed.first_event.slope}};
  }
  for (const auto& [service, retry_budget] : this->retry_budgets)
    page["retry_credit"][service] = retry_budget->Credit();
  page["store"] = {
      {"contact_age_ms", absl::ToInt64Milliseconds(this->store_contact.Age())},
      {"own_calls_fail", this->store_contact.lost()},
      {"may_poll_in_ms",
       absl::ToInt64Milliseconds(this->store_contact.TimeToPoll())},
      {"polls", this->store_contact.MustPoll(this->StoreRank())}};
  return {200, "application/json", page.dump()};
}

StatusPage Gateway::MakeMetricsPage() {
  this->metrics.SetGauge("replicas",
                         static_cast<double>(this->replicas.size()));
  this->metrics.SetGauge(
      "configuration_version",
      this->routes == nullptr
          ? -1
          : static_cast<double>(this->routes->configuration().version));
  this->metrics.SetGauge(
      "configuration_behind_peers_seconds",
      absl::ToDoubleSeconds(this->configuration_follower.TimeBehindPeers()));
  this->metrics.SetGauge(
      "replicas_behind_peers_seconds",
      absl::ToDoubleSeconds(this->replica_follower.TimeBehindPeers()));
  this->metrics.SetGauge(
      "quarantined_prompt_parts",
      static_cast<double>(this->prompt_part_quarantine.QuarantinedCount()));
  this->metrics.SetGauge(
      "limited_replicas",
      static_cast<double>(this->replica_limits.Rates().size()));
  size_t says_leaving = 0;
  size_t closed = 0;
  for (const auto& replica : this->replicas.Registered()) {
    says_leaving += replica->says_leaving ? 1 : 0;
    closed += replica->IsClosed(this->clock.Now()) ? 1 : 0;
  }
  this->metrics.SetGauge("leaving_replicas", static_cast<double>(says_leaving));
  this->metrics.SetGauge("closed_replicas", static_cast<double>(closed));
  this->metrics.SetGauge("cut_off_services",
                         static_cast<double>(this->CutOffServices().size()));
  this->metrics.SetGauge("send_permits_granted",
                         static_cast<double>(this->send_permits.granted()));
  this->metrics.SetGauge("send_permits_denied",
                         static_cast<double>(this->send_permits.denied()));
  this->metrics.SetGauge("registry_age_seconds",
                         absl::ToDoubleSeconds(this->store_contact.Age()));
  this->metrics.SetGauge(
      "store_calls",
      static_cast<double>(this->replica_follower.store_calls() +
                          this->configuration_follower.store_calls() +
                          this->control_table.store_calls() +
                          this->stream_versions.store_calls() +
                          this->duties.store_calls() +
                          this->service_row_reader.reads()));
  this->metrics.SetGauge(
      "stream_versions_written",
      static_cast<double>(this->stream_versions.records_written()));
  this->metrics.SetGauge(
      "stream_versions_lost",
      static_cast<double>(this->stream_versions.records_lost()));
  this->metrics.SetGauge(
      "stream_versions_late",
      static_cast<double>(this->stream_versions.records_late()));
  this->metrics.SetGauge("replica_probes",
                         static_cast<double>(this->replica_prober.started()));
  this->metrics.SetGauge(
      "stream_version_conflicts",
      static_cast<double>(this->stream_versions.write_conflicts()));
  this->metrics.SetGauge("stream_version_reads",
                         static_cast<double>(this->stream_versions.reads()));
  this->metrics.SetGauge("stream_versions_unknown",
                         static_cast<double>(this->stream_versions.unknown()));
  this->metrics.SetGauge(
      "orders", static_cast<double>(this->order_dispatcher.orders_sent()));
  this->duties.AddTo(this->metrics);
  this->metrics.SetGauge("peers",
                         static_cast<double>(this->peer_load_sync.peers()));
  for (const auto& [service, retry_budget] : this->retry_budgets)
    this->metrics.SetRetryCredit(service, retry_budget->Credit());
  for (const std::string& service : this->engine_speeds.Services()) {
    const forward::EngineSpeed& speed = this->engine_speeds.SpeedOf(service);
    this->metrics.SetEngineSpeed(service, "prefill_ms",
                                 speed.prefill.intercept);
    this->metrics.SetEngineSpeed(service, "prefill_ms_per_1000_tokens",
                                 speed.prefill.slope * 1000);
    this->metrics.SetEngineSpeed(service, "first_event_ms",
                                 speed.first_event.intercept);
  }
  this->metrics.SetGauge(
      "store_era",
      static_cast<double>(this->configuration_follower.Progress().era));
  this->metrics.SetGauge("store_contact_age_seconds",
                         absl::ToDoubleSeconds(this->store_contact.Age()));
  this->metrics.SetGauge(
      "store_poller", this->store_contact.IsPoller(this->StoreRank()) ? 1 : 0);
  this->metrics.SetGauge("replica_connections_opened",
                         static_cast<double>(this->connection_pool.opened()));
  return {200, "text/plain; version=0.0.4", this->metrics.Render()};
}

}  // namespace cranberryhill::gateway
