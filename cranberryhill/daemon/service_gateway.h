#ifndef CRANBERRYHILL_DAEMON_SERVICE_GATEWAY_H_
#define CRANBERRYHILL_DAEMON_SERVICE_GATEWAY_H_

// Routes calls of callers to plain services: idempotent ones directly, others
// through CallDeduplicator.
//
//   ServiceGateway gateway(directory, guard, client, clock, metrics);
//   gateway.SetDocument(version_in_force);
//   gateway.Submit(call, path, time_left, callback);

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/calls/call.h"
#include "cranberryhill/calls/call_deduplicator.h"
#include "cranberryhill/calls/service_client.h"
#include "cranberryhill/daemon/metrics.h"
#include "cranberryhill/environment/config_follower.h"
#include "cranberryhill/membership/membership_view.h"

namespace cranberryhill {

/// The backend servers of the configured services, own availability zone
/// first. Core thread only.
class ConfiguredServices : public ServiceDirectory {
 public:
  /// @param members Must outlive this object.
  ConfiguredServices(std::string availability_zone, MembershipView& members);

  void SetDocument(std::shared_ptr<const VersionInForce> version);

  /// @param service Path prefix of the service.
  std::vector<ServiceAddress> Candidates(
      std::string_view service) const override;

 private:
  std::string availability_zone;
  MembershipView& members;
  std::shared_ptr<const VersionInForce> document;
  // Spreads calls over the servers of a zone.
  mutable size_t next = 0;
};

/// Core thread only.
class ServiceGateway {
 public:
  /// References must outlive this object.
  ServiceGateway(ConfiguredServices& directory,
                 CallDeduplicator& guard,
                 ServiceClient& client,
                 const Clock& clock,
                 Metrics& metrics);

  void SetDocument(std::shared_ptr<const VersionInForce> version);

  /// Refuses new calls from now on.
  void StopAccepting() { this->accepting = false; }

  /// @param call Its `service`, `deadline` and `path` are filled in.
  /// @param path The path without a query.
  /// @param time_left The caller's deadline, or nothing.
  void Submit(ServiceCall call,
              const std::string& path,
              std::optional<absl::Duration> time_left,
              CallCallback callback);

  /// @return Calls that were not answered yet.
  size_t running() const { return this->in_progress; }  // NOLINT

 private:
  ConfiguredServices& directory;
  CallDeduplicator& guard;
  ServiceClient& client;
  const Clock& clock;
  Metrics& metrics;
  std::shared_ptr<const VersionInForce> document;
  size_t in_progress = 0;
  bool accepting = true;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_SERVICE_GATEWAY_H_
