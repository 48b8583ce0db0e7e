#include "cranberryhill/daemon/config_part.h"

#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {

ConfigPart::ConfigPart(std::string environment,
                       const Clock& clock,
                       Random& random,
                       TableService& table,
                       Metrics& metrics,
                       VersionCallback on_version)
    : clock(clock),
      table(table),
      metrics(metrics),
      on_version(std::move(on_version)),
      follower(std::move(environment), random),
      alive(std::make_shared<bool>(true)) {}

void ConfigPart::SetPeerFetcher(PeerFetcher peer_fetcher) {
  this->fetcher = std::move(peer_fetcher);
}

void ConfigPart::Start(std::vector<std::string> peers) {
  this->Run(this->follower.Start(this->clock.Now(), std::move(peers)));
}

void ConfigPart::SetPeers(std::vector<std::string> peers) {
  this->follower.SetPeers(std::move(peers));
}

void ConfigPart::Tick() {
  if (this->clock.Now() >= this->follower.NextTimerTime())
    this->Run(this->follower.OnTimer(this->clock.Now()));
  this->metrics.Set(
      "cranberryhill_table_failures", {},
      static_cast<double>(this->follower.counters().failed_reads));
}

void ConfigPart::OnAnnouncement(const std::string& peer,
                                uint64_t generation,
                                const std::string& digest) {
  this->Run(this->follower.OnAnnouncement(peer, generation, digest,
                                          this->clock.Now()));
}

void ConfigPart::Run(const FollowerActions& actions) {
  for (const FollowerAction& action : actions)
    std::visit([this](const auto& a) { this->Carry(a); }, action);
}

void ConfigPart::Carry(const ReadRowAction& action) {
  this->table.Read({action.key}, [this, id = action.request,
                                  guard = std::weak_ptr<bool>(this->alive)](
                                     const ReadOutcome& outcome) {
    if (!guard.expired())
      this->Run(this->follower.OnRowRead(id, outcome, this->clock.Now()));
  });
}

void ConfigPart::Carry(const FetchFromPeerAction& action) {
  if (!this->fetcher)
    return;
  this->fetcher(action.peer, [this, id = action.request,
                              guard = std::weak_ptr<bool>(this->alive)](
                                 const Outcome<ProductionVersion>& outcome) {
    if (!guard.expired())
      this->Run(this->follower.OnPeerDocument(id, outcome, this->clock.Now()));
  });
}

void ConfigPart::Carry(const VersionChangedAction& action) {
  const ProductionVersion& version = action.in_force->production;
  LogLine("generation {} (version {}, digest {}) is in force",
          version.generation, version.version, version.digest);
  this->metrics.Count("cranberryhill_config_changes_total");
  this->metrics.Set("cranberryhill_generation", {},
                    static_cast<double>(version.generation));
  this->on_version(action.in_force);
}

void ConfigPart::Carry(const DocumentRefusedAction& action) {
  LogLine("generation {} is refused, the version in force stays: {}",
          action.generation, action.error.ToString());
  this->metrics.Count("cranberryhill_config_refused_total");
}

}  // namespace cranberryhill
