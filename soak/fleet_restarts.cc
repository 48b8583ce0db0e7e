// The part of Fleet that restarts gateways together while most requests fail,
// so that retries are wanted from processes that have just started.

#include <csignal>

#include "cranberryhill/base/hash.h"
#include "soak/fleet_members.h"

namespace cranberryhill::soak {
namespace {

/// While a service fails, one in this many runs ends well, so that its replicas
/// stay in use; while it fails late, one in this many fails.
constexpr uint64_t kSuccessShare = 5;
constexpr uint64_t kLateShare = 3;
/// For which a replica works on a request that fails late. A request that is
/// sent once more after over 0.5 s must be handed less time.
constexpr absl::Duration kLateAfter = absl::Milliseconds(600);

}  // namespace

void Fleet::RestartAll() {
  for (const auto& member : this->members) {
    member->may_end = true;
    member->disturbance.ended_at = this->clock.Now();
    member->process->Signal(SIGKILL);
  }
}

void Fleet::ApplyToAll(FaultKind kind) {
  if (kind == FaultKind::kKillAll)
    return this->RestartAll();
  for (const auto& member : this->members) {
    this->ApplyToProcess(*member,
                         kind == FaultKind::kTerminateAll
                             ? FaultKind::kTerminate
                             : FaultKind::kHangUp,
                         true);
  }
}

void Fleet::ApplyToService(const Fault& fault, bool begins) {
  std::string_view service = fault.target % 2 == 0 ? kDesk : kEngines;
  auto how =
      fault.target / 2 % 2 == 0 ? Server::Mode::kErrors : Server::Mode::kBreaks;
  if (begins)
    this->failing_services.insert(service);
  else
    this->failing_services.erase(service);
  for (const auto& server : this->servers) {
    if (server->row.service != service)
      continue;
    server->fails = begins ? std::optional(how) : std::nullopt;
    server->fails_late = fault.kind == FaultKind::kServiceFailsLate;
  }
}

/// @return True if the service of the replica fails and this run fails, at once
///     or after a while.
bool Fleet::EndsInFailure(Server& server,
                          std::string_view id,
                          const std::shared_ptr<http1::Responder>& responder) {
  if (!server.fails)
    return false;
  // Differs between the replicas that run a request.
  uint64_t drawn = StableHash(server.id + std::string(id));
  bool fails =
      server.fails_late ? drawn % kLateShare == 0 : drawn % kSuccessShare != 0;
  if (!fails)
    return false;
  this->After(server.fails_late ? kLateAfter : absl::ZeroDuration(),
              [this, &server, responder, id = std::string(id),
               breaks = *server.fails == Server::Mode::kBreaks] {
                if (!breaks) {
                  return responder->SendWhole(this->HeadOf(server, id, 500),
                                              "failed");
                }
                this->ledger.OnBrokenOff(id);
                responder->Abort();
              });
  return true;
}

}  // namespace cranberryhill::soak
