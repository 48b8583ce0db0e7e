// The part of Fleet that plays releases of the engines' software, and gateways
// that are out of step while one goes on.

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <utility>

#include "soak/fleet_members.h"

namespace cranberryhill::soak {
namespace {

/// Engines of a release start, and those that return restart, within this time.
constexpr absl::Duration kStartSpread = absl::Milliseconds(300);
constexpr absl::Duration kRestartTime = absl::Seconds(1);
constexpr absl::Duration kListensAfterEntry = absl::Milliseconds(100);
/// An engine that leaves is gone this long after its drain time, and its entry
/// is removed some time before.
constexpr absl::Duration kUnlistedAfterDrain = absl::Milliseconds(300);
constexpr absl::Duration kGoneAfterDrain = absl::Milliseconds(800);
/// Time for an entry to reach the gateways that are in touch.
constexpr absl::Duration kListedBefore = absl::Seconds(1);
/// Shares of a fault's length.
constexpr double kOldOnesLeaveAfter = 0.3;
constexpr double kPausedShare = 0.7;

}  // namespace

void Fleet::MakeSpare(Server& server) {
  server.spare = true;
  server.slot = server.id;
  this->Unlist(server);
  this->StopServer(server);
}

void Fleet::StopServer(Server& server) {
  server.running = false;
  server.link->SetListening(false);
  server.link->Reset();
  for (const std::string& id : std::exchange(server.answering, {}))
    this->ledger.OnBrokenOff(id);
}

/// Starts it anew, a spare one under a new id. Its entry is written before it
/// accepts connections, so gateways in touch know its version when they reach
/// it.
void Fleet::StartServer(Server& server, std::string_view version) {
  this->StopServer(server);
  int generation = ++server.generation;
  if (server.spare) {
    this->Unlist(server);
    server.id = fmt::format("{}-{}", server.slot, version);
  }
  ++server.row.started_ms;
  server.row.sequence = 1;
  server.row.state = "ready";
  server.row.version = std::string(version);
  server.row.stage = server.first_stage;
  server.orders = 0;
  server.draining_since = absl::InfiniteFuture();
  server.running = true;
  server.retiring = false;
  server.listed = true;
  this->unlisted.erase(server.id);
  server.listed_at = this->clock.Now();
  this->Publish(server);
  this->After(kListensAfterEntry, [&server, generation] {
    if (server.generation == generation)
      server.link->SetListening(true);
  });
}

/// The entry of the start before stays in the registry meanwhile.
void Fleet::RestartServer(Server& server, std::string_view version) {
  this->StopServer(server);
  int generation = ++server.generation;
  this->After(kRestartTime,
              [this, &server, generation, version = std::string(version)] {
                if (server.generation == generation)
                  this->StartServer(server, version);
              });
}

void Fleet::Unlist(Server& server) {
  server.listed = false;
  this->unlisted.insert(server.id);
  this->store.Set("servers", server.id, std::nullopt);
}

/// @param announces It reports that it is draining; else its entry is removed
///     at once. It serves for the drain time and a little longer.
void Fleet::Retire(Server& server, bool announces) {
  int generation = ++server.generation;
  server.retiring = true;
  server.draining_since = this->clock.Now();
  if (announces) {
    server.row.state = "draining";
    this->Publish(server);
  } else {
    this->Unlist(server);
  }
  this->After(kDrainTime + kUnlistedAfterDrain, [this, &server, generation] {
    if (server.generation == generation)
      this->Unlist(server);
  });
  this->After(kDrainTime + kGoneAfterDrain, [this, &server, generation] {
    if (server.generation == generation)
      this->StopServer(server);
  });
}

void Fleet::ForEngines(bool spare, const std::function<void(Server&)>& action) {
  for (const auto& server : this->servers) {
    if (server->row.service == kEngines && server->spare == spare)
      action(*server);
  }
}

void Fleet::ApplyRelease(const Fault& fault, bool begins) {
  if (fault.kind == FaultKind::kReplicaReturns) {
    Server& server =
        *this->servers[this->drawn_servers - 1 - fault.target % kDrawnEngines];
    if (!server.running || this->release_at)
      return;
    return this->RestartServer(
        server,
        begins ? fmt::format("v{}", ++this->software_version) : this->released);
  }
  // One release at a time.
  if (begins == this->release_at.has_value() ||
      (!begins && *this->release_at != fault.at))
    return;
  auto soon = [this](const std::function<void()>& action) {
    this->After(kStartSpread * this->random.UniformDouble(), action);
  };
  bool announces = fault.target % 2 == 0;
  if (begins) {
    this->release_at = fault.at;
    std::string version = fmt::format("v{}", ++this->software_version);
    this->ForEngines(true, [&](Server& server) {
      soon([this, &server, version] { this->StartServer(server, version); });
    });
    if (fault.kind == FaultKind::kReleaseWithdrawn)
      return;
    this->released = version;
    return this->After(fault.lasts * kOldOnesLeaveAfter, [this, announces] {
      this->ForEngines(
          false, [&](Server& server) { this->Retire(server, announces); });
    });
  }
  this->release_at.reset();
  if (fault.kind == FaultKind::kReleaseCompleted) {
    this->ForEngines(false, [&](Server& server) {
      soon([this, &server] { this->RestartServer(server, this->released); });
    });
  }
  // The spare ones leave when the others have returned.
  this->After(kStartSpread + kRestartTime, [this, announces] {
    if (this->release_at)
      return;
    this->ForEngines(true,
                     [&](Server& server) { this->Retire(server, announces); });
  });
}

bool Fleet::HasTwoEnginesOf(std::string_view version) const {
  absl::Time now = this->clock.Now();
  auto count = std::count_if(
      this->servers.begin(), this->servers.end(), [&](const auto& server) {
        return server->running && server->listed &&
               now - server->listed_at > kListedBefore &&
               server->row.stage == "decode" &&
               server->row.version == version && server->row.state == "ready" &&
               server->mode == Server::Mode::kOk && !server->crashing &&
               !server->closed && !server->says_leaving &&
               !server->requests_per_s && server->link_disturbed_at <= now;
      });
  return count >= 2;
}

void Fleet::ApplyCut(const Fault& fault, bool begins) {
  size_t index = fault.target % this->members.size();
  Member& member = *this->members[index];
  bool hears = fault.kind == FaultKind::kCutOffOutbound ||
               fault.kind == FaultKind::kStoreLinkOutbound;
  bool speaks = fault.kind == FaultKind::kCutOffInbound;
  LinkState state;
  state.holds_to_target = begins && !speaks;
  state.holds_from_target = begins && !hears;
  member.store->SetState(state);
  if (fault.kind != FaultKind::kStoreLinkOutbound)
    this->peers.SetCut(index, {begins && !speaks, begins && !hears});
  if (fault.kind != FaultKind::kPauseThenCutOff || !begins)
    return;
  member.process->Signal(SIGSTOP);
  this->After(fault.lasts * kPausedShare,
              [&member] { member.process->Signal(SIGCONT); });
}

}  // namespace cranberryhill::soak
