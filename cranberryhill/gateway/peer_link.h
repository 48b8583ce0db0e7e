#ifndef CRANBERRYHILL_GATEWAY_PEER_LINK_H_
#define CRANBERRYHILL_GATEWAY_PEER_LINK_H_

// Exchanges load messages with the other instances by datagrams. Instances
// find each other by rows in the control table.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <span>
#include <string>
#include <vector>

#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/gateway/control_table.h"
#include "cranberryhill/gateway/event_log.h"
#include "cranberryhill/gateway/order_desk.h"
#include "cranberryhill/gateway/settings.h"
#include "cranberryhill/request/crash_quarantine.h"

namespace cranberryhill::gateway {

/// What the store's tables have brought, here and at peers.
class TableVersions {
 public:
  virtual ~TableVersions() = default;

  /// @return The newest row known of each followed table.
  virtual std::vector<uint64_t> KnownVersions() const = 0;

  /// A peer knows these.
  virtual void OnPeerVersions(std::span<const uint64_t> versions) = 0;

  /// The peers that are heard have changed.
  virtual void OnRank(size_t rank) = 0;
};

/// Not thread-safe.
class PeerLink {
 public:
  /// All references must outlive this object.
  PeerLink(boost::asio::io_context& io,
           std::string instance,
           Endpoint address,
           ControlTable& table,
           forward::PeerLoadSync& share,
           CrashQuarantine& crashes,
           forward::ReplicaSet& replicas,
           const OrderDesk& orders,
           TableVersions& versions,
           EventLog& log,
           const Clock& clock);

  /// @return kUnavailable when the address cannot be bound.
  Result<void> Start();

  /// Takes over changed rows, and writes the own row if it is missing.
  void OnTableChanged();

  /// Tells the peers of work that has just begun, at once or as soon as the
  /// least interval between messages has passed.
  void SendSoon();

  size_t peers() const { return this->endpoints.size(); }  // NOLINT

 private:
  void Receive();
  void ScheduleSend();
  void SendToAll();
  void SendNews();
  void Send(const forward::LoadMessage& message);
  void Announce();

  const std::string instance;
  const Endpoint address;
  ControlTable& table;
  forward::PeerLoadSync& share;
  CrashQuarantine& crashes;
  forward::ReplicaSet& replicas;
  const OrderDesk& orders;
  TableVersions& versions;
  EventLog& log;
  const Clock& clock;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  std::vector<boost::asio::ip::udp::endpoint> endpoints;
  std::array<char, 16384> buffer{};
  int idle_rounds = 0;
  absl::Time sent_at = absl::InfinitePast();
  boost::asio::steady_timer news_timer;
  absl::Time news_sent_at = absl::InfinitePast();
  bool news_pending = false;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_PEER_LINK_H_
