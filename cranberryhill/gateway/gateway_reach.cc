// The part of Gateway that finds out which replicas it reaches.

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryhill/gateway/gateway.h"

namespace cranberryhill::gateway {

void Gateway::OnProbeRefused(const forward::Replica& replica) {
  this->OnRefusedConnection(replica);
}

void Gateway::OnReachChanged(forward::Replica& replica) {
  this->log.Write(LogEvent(replica.unreachable ? "replica_unreachable"
                                               : "replica_reachable")
                      .Add("replica", replica.entry.id)
                      .Add("outstanding", replica.outstanding)
                      .Add("silent_ms", this->clock.Now() - replica.heard_at));
  if (!replica.unreachable)
    return;
  // Connections that were open before may stay silent for good, even
  // when the replica can be reached again.
  this->connection_pool.CloseIdle(replica);
  this->replicas.OnUnreachable(replica);
}

void Gateway::OnRefusedConnection(const forward::Replica& replica) {
  forward::CrashFindings findings =
      this->replica_crash_quarantine.OnUnreachable(replica.entry.id);
  if (findings.suspects > 0) {
    this->log.Write(
        LogEvent("replica_crashed")
            .Add("replica", replica.entry.id)
            .Add("suspects", static_cast<int64_t>(findings.suspects)));
  }
  for (uint64_t part : findings.quarantined_parts) {
    this->log.Write(LogEvent("prompt_part_quarantined")
                        .Add("part", fmt::format("{:x}", part))
                        .Add("reason", "crashed_replicas")
                        .Add("replica", replica.entry.id));
  }
}

std::vector<std::string> Gateway::CutOffServices() const {
  std::vector<std::string> services;
  if (this->routes == nullptr)
    return services;
  for (const auto& service : this->routes->configuration().services) {
    if (this->reachability.IsCutOff(this->replicas.Members(service.name)))
      services.push_back(service.name);
  }
  return services;
}

void Gateway::UpdateCutOffServices() {
  auto contains = [](const std::vector<std::string>& services,
                     const std::string& service) {
    return std::find(services.begin(), services.end(), service) !=
           services.end();
  };
  std::vector<std::string> before =
      std::exchange(this->cut_off_services, this->CutOffServices());
  for (const std::string& service : this->cut_off_services) {
    if (!contains(before, service))
      this->log.Write(LogEvent("cut_off_from_service").Add("service", service));
  }
  for (const std::string& service : before) {
    if (!contains(this->cut_off_services, service))
      this->log.Write(
          LogEvent("service_reached_again").Add("service", service));
  }
}

void Gateway::DescribeReach(forward::LoadMessage& message) const {
  message.availability_zone = this->settings.availability_zone;
  if (this->ready() || this->routes == nullptr) {
    message.cut_off_services = this->CutOffServices();
    return;
  }
  // Requests of peers could outlast this instance.
  for (const auto& service : this->routes->configuration().services)
    message.cut_off_services.push_back(service.name);
}

void Gateway::OnPeerReach(const forward::LoadMessage& message) {
  this->relay_peers.OnMessage(message.instance, message.availability_zone,
                              message.cut_off_services);
}

void Gateway::EndNotices() {
  for (const forward::EndedNotice& ended :
       this->replica_notices.EndExpired(this->replicas.Registered())) {
    this->log.Write(LogEvent(ended.was_leaving ? "replica_leaving_ended"
                                               : "replica_reopened")
                        .Add("replica", ended.replica->entry.id)
                        .Add("reason", "time"));
  }
}

std::vector<std::string> Gateway::UnreachableReplicas() const {
  return this->reachability.Unreachable(this->replicas.Registered());
}

void Gateway::OnPeerUnreachable(std::span<const std::string> ids) {
  this->replica_prober.OnPeerUnreachable(ids);
}

}  // namespace cranberryhill::gateway
