#include "cranberryhill/daemon/service_gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kDefaultTimeLimit = absl::Seconds(30);

Refusal NotRun(RefusalCode code,
               std::string_view message,
               std::string_view field = "") {
  return MakeRefusal(code, RefusalOutcome::kNotRun, message, field);
}

}  // namespace

ConfiguredServices::ConfiguredServices(std::string availability_zone,
                                       MembershipView& members)
    : availability_zone(std::move(availability_zone)), members(members) {}

void ConfiguredServices::SetDocument(
    std::shared_ptr<const VersionInForce> version) {
  this->document = std::move(version);
  for (const ServiceSpec& service : this->document->document.services) {
    for (const BackendServerSpec& server : service.backend_servers) {
      this->members.AddConfigured({server.id, server.address,
                                   server.availability_zone,
                                   MemberKind::kBackendServer});
    }
  }
}

std::vector<ServiceAddress> ConfiguredServices::Candidates(
    std::string_view service) const {
  std::vector<ServiceAddress> own_zone;
  std::vector<ServiceAddress> other_zones;
  if (this->document == nullptr)
    return own_zone;
  for (const ServiceSpec& spec : this->document->document.services) {
    if (spec.path_prefix != service)
      continue;
    for (const BackendServerSpec& server : spec.backend_servers) {
      if (!this->members.MayReceiveWork(server.id))
        continue;
      auto endpoint =
          Capture([&] { return ParseEndpoint(server.address, "address"); });
      if (!endpoint.ok())
        continue;
      ServiceAddress address{endpoint.value().ip, endpoint.value().port};
      (server.availability_zone == this->availability_zone ? own_zone
                                                           : other_zones)
          .push_back(address);
    }
  }
  if (!own_zone.empty()) {
    std::rotate(own_zone.begin(),
                own_zone.begin() +
                    static_cast<std::ptrdiff_t>(this->next++ % own_zone.size()),
                own_zone.end());
  }
  own_zone.insert(own_zone.end(), other_zones.begin(), other_zones.end());
  return own_zone;
}

ServiceGateway::ServiceGateway(ConfiguredServices& directory,
                               CallDeduplicator& guard,
                               ServiceClient& client,
                               const Clock& clock,
                               Metrics& metrics)
    : directory(directory),
      guard(guard),
      client(client),
      clock(clock),
      metrics(metrics) {}

void ServiceGateway::SetDocument(
    std::shared_ptr<const VersionInForce> version) {
  this->document = version;
  this->directory.SetDocument(std::move(version));
}

void ServiceGateway::Submit(ServiceCall call,
                            const std::string& path,
                            std::optional<absl::Duration> time_left,
                            CallCallback callback) {
  if (!this->accepting) {
    callback(
        NotRun(RefusalCode::kShuttingDown, "this instance is shutting down"));
    return;
  }
  if (this->document == nullptr) {
    Refusal refusal =
        NotRun(RefusalCode::kOverloaded, "no configuration is in force yet");
    refusal.retry_after = absl::Seconds(1);
    callback(refusal);
    return;
  }
  ServiceMatch match =
      FindServiceMethod(this->document->document, call.method, path);
  if (match.service == nullptr) {
    callback(NotRun(RefusalCode::kNotFound,
                    fmt::format("path: value \"{}\": no such path", path),
                    "path"));
    return;
  }
  if (match.method == nullptr) {
    callback(NotRun(
        RefusalCode::kMethodNotAllowed,
        fmt::format("method: value {} {}: is not listed for this service",
                    call.method, path),
        "method"));
    return;
  }
  call.service = match.service->path_prefix;
  call.deadline = this->clock.Now() + time_left.value_or(kDefaultTimeLimit);
  bool idempotent = match.method->idempotent;
  ++this->in_progress;
  auto done = [this, idempotent,
               callback = std::move(callback)](const CallAnswer& answer) {
    --this->in_progress;
    bool answered = std::holds_alternative<CallResult>(answer);
    this->metrics.Count("cranberryhill_service_calls_total",
                        {{"kind", idempotent ? "idempotent" : "at_most_once"},
                         {"end", answered ? "answered" : "refused"}});
    callback(answer);
  };
  if (idempotent)
    this->client.SendIdempotent(call, std::move(done));
  else
    this->guard.Submit(std::move(call), std::move(done));
}

}  // namespace cranberryhill
