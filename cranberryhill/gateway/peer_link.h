#ifndef CRANBERRYHILL_GATEWAY_PEER_LINK_H_
#define CRANBERRYHILL_GATEWAY_PEER_LINK_H_

// Exchanges load messages with the other instances by UDP. Instances find each
// other's addresses in the control table.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/engine_speed.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/forward/prompt_part_quarantine.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/gateway/order_dispatcher.h"
#include "cranberryhill/gateway/settings.h"
#include "cranberryhill/peers/permit_message.h"
#include "cranberryhill/peers/send_permits.h"
#include "cranberryhill/request/crash_quarantine.h"
#include "cranberryhill/store/control_table.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/row_message.h"

namespace cranberryhill::gateway {

/// Provides the state that is sent to peers and receives what peers report.
class PeerLinkDelegate {
 public:
  virtual ~PeerLinkDelegate() = default;

  /// Called before each full update, when peers may have come or gone.
  virtual void OnPeersUpdated() = 0;

  /// Fills in what the instance knows about its contact with the store.
  virtual void DescribeStoreContact(forward::LoadMessage& message) const = 0;

  /// Called with a full message of a peer.
  virtual void OnPeerStoreContact(const forward::LoadMessage& message) = 0;

  /// Called with rows that a peer has received from the store.
  virtual void OnPeerRows(const RowMessage& message) = 0;

  /// Called with a message about the duties of one instance for all.
  virtual void OnPeerDutyMessage(std::string_view bytes) = 0;

  /// Called with a message about permits.
  virtual void OnPeerPermit(const PermitMessage& message) = 0;

  /// @return The replicas that this instance cannot reach.
  virtual std::vector<std::string> UnreachableReplicas() const = 0;

  /// Fills in where this instance runs and which services it cannot reach.
  virtual void DescribeReach(forward::LoadMessage& message) const = 0;

  /// Called with a full message of a peer.
  virtual void OnPeerReach(const forward::LoadMessage& message) = 0;

  /// Called with the replicas that a peer cannot reach.
  virtual void OnPeerUnreachable(std::span<const std::string> ids) = 0;
};

/// Not thread-safe.
class PeerLink : public PermitTransport {
 public:
  /// All references must outlive this object.
  PeerLink(boost::asio::io_context& io,
           std::string instance,
           Endpoint address,
           ControlTable& table,
           forward::PeerLoadSync& peer_load_sync,
           CrashQuarantine& crash_quarantine,
           forward::PromptPartQuarantine& prompt_part_quarantine,
           forward::ReplicaLimits& replica_limits,
           forward::ReplicaNotices& replica_notices,
           forward::ReplicaSet& replicas,
           const OrderDispatcher& order_dispatcher,
           forward::EngineSpeedModels& engine_speeds,
           PeerLinkDelegate& delegate,
           EventLog& log,
           const Clock& clock);

  /// @return kUnavailable when the address cannot be bound.
  Result<void> Start();

  /// @return The number of peers in the control table, whether or not they can
  ///     be reached.
  size_t known_peers() const { return this->peer_endpoints.size(); }  // NOLINT

  /// Updates the list of peers from the rows of the control table.
  void UpdatePeers();

  /// Sends the peers a partial update about prompts that were just sent to
  /// engines, immediately or as soon as the minimum interval has passed.
  void SendPartialUpdateSoon();

  /// Sends rows that this instance has received from the store to the peers.
  /// @param rank Distinguishes this instance from others that send the same
  ///     rows.
  void SendRows(StoreTable table,
                uint64_t era,
                uint64_t after,
                const std::vector<StoreRow>& rows,
                size_t rank);

  std::string OwnerOf(std::string_view key) const override;
  double ReachableShare() const override;
  void SendPermitMessage(std::string_view instance,
                         const PermitMessage& message) override;

  /// Sends a message to a live instance, if its address is known.
  void SendToInstance(std::string_view instance, std::string_view bytes);

  /// Sends a message to all peers.
  void SendToPeers(std::string_view bytes);

  /// @return The address at which the live instance accepts the requests of its
  ///     peers, if it is known.
  std::optional<boost::asio::ip::tcp::endpoint> RelayEndpoint(
      std::string_view instance) const;

  size_t peer_count() const { return this->peer_endpoints.size(); }  // NOLINT

 private:
  void Receive();
  void ScheduleFullUpdate();
  void SendFullUpdate();
  void SendPartialUpdate();
  void Send(const forward::LoadMessage& message);
  void SendTo(std::string_view bytes,
              const boost::asio::ip::udp::endpoint& peer);
  void ForwardRows(RowMessage message);
  void OnDatagram(std::string_view bytes,
                  const boost::asio::ip::udp::endpoint& sender);
  std::chrono::milliseconds FullUpdateInterval() const;
  void WriteOwnRow();
  void MergePromptParts(const forward::LoadMessage& message);
  void MergeLimits(const forward::LoadMessage& message);
  void MergeLeaving(const forward::LoadMessage& message);

  const std::string instance;
  const Endpoint address;
  ControlTable& table;
  forward::PeerLoadSync& peer_load_sync;
  CrashQuarantine& crash_quarantine;
  forward::PromptPartQuarantine& prompt_part_quarantine;
  forward::ReplicaLimits& replica_limits;
  forward::ReplicaNotices& replica_notices;
  forward::ReplicaSet& replicas;
  const OrderDispatcher& order_dispatcher;
  forward::EngineSpeedModels& engine_speeds;
  PeerLinkDelegate& delegate;
  EventLog& log;
  const Clock& clock;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer full_update_timer;
  std::vector<boost::asio::ip::udp::endpoint> peer_endpoints;
  // Endpoints from which instances have sent messages.
  std::map<std::string, boost::asio::ip::udp::endpoint, std::less<>>
      endpoint_by_instance;
  std::array<char, 16384> receive_buffer{};
  int idle_updates = 0;
  absl::Time full_update_sent_at = absl::InfinitePast();
  absl::Time engine_speeds_sent_at = absl::InfinitePast();
  boost::asio::steady_timer partial_update_timer;
  absl::Time partial_update_sent_at = absl::InfinitePast();
  absl::Time row_write_due_at = absl::InfinitePast();
  bool partial_update_scheduled = false;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_PEER_LINK_H_
