#ifndef CRANBERRYHILL_DAEMON_CONFIG_PART_H_
#define CRANBERRYHILL_DAEMON_CONFIG_PART_H_

// Carries out what ConfigFollower asks for: table reads and fetches from
// peers, and tells the daemon of each version that comes into force.
//
//   ConfigPart config(environment, clock, random, table, metrics, on_version);
//   config.SetPeerFetcher([](peer, done) { ... });
//   config.Start(peer_ids);
//   config.Tick();            // every 100 ms

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/daemon/metrics.h"
#include "cranberryhill/environment/config_follower.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

/// Asks a peer for its version in force; the callback runs at most once.
using PeerDocumentCallback =
    std::function<void(const Outcome<ProductionVersion>&)>;
using PeerFetcher =
    std::function<void(const std::string& peer, PeerDocumentCallback done)>;

/// Core thread only.
class ConfigPart {
 public:
  using VersionCallback =
      std::function<void(const std::shared_ptr<const VersionInForce>&)>;

  /// References must outlive this object.
  ConfigPart(std::string environment,
             const Clock& clock,
             Random& random,
             TableService& table,
             Metrics& metrics,
             VersionCallback on_version);

  void SetPeerFetcher(PeerFetcher peer_fetcher);

  /// Begins to follow. Call once.
  void Start(std::vector<std::string> peers);

  void SetPeers(std::vector<std::string> peers);
  void Tick();

  /// A peer's message names its generation.
  void OnAnnouncement(const std::string& peer,
                      uint64_t generation,
                      const std::string& digest);

  std::shared_ptr<const VersionInForce> in_force() const {  // NOLINT
    return this->follower.in_force();
  }

 private:
  void Run(const FollowerActions& actions);
  void Carry(const ReadRowAction& action);
  void Carry(const FetchFromPeerAction& action);
  void Carry(const VersionChangedAction& action);
  void Carry(const DocumentRefusedAction& action);

  const Clock& clock;
  TableService& table;
  Metrics& metrics;
  VersionCallback on_version;
  PeerFetcher fetcher;
  ConfigFollower follower;
  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_CONFIG_PART_H_
