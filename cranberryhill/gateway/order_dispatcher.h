#ifndef CRANBERRYHILL_GATEWAY_ORDER_DISPATCHER_H_
#define CRANBERRYHILL_GATEWAY_ORDER_DISPATCHER_H_

// Sends engines the role changes that RoleBalancer requests while this instance
// holds the order lease. An engine gets the orders of only one lease holder at
// a time.

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/exchange/wire_format.h"
#include "cranberryhill/forward/configuration.h"
#include "cranberryhill/forward/replica_notices.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/forward/role_balancer.h"
#include "cranberryhill/lease/handover_lease.h"
#include "cranberryhill/peers/send_permits.h"
#include "cranberryhill/store/control_table.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/http_caller.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class OrderDispatcher {
 public:
  /// All references must outlive this object.
  /// @param handover_gap Minimum time between the orders of two lease holders.
  OrderDispatcher(boost::asio::io_context& io,
                  std::string instance,
                  absl::Duration handover_gap,
                  ControlTable& table,
                  forward::ReplicaSet& replicas,
                  SendPermits& send_permits,
                  forward::ReplicaNotices& replica_notices,
                  const WireFormat& wire,
                  EventLog& log,
                  const Clock& clock,
                  Random& random);
  ~OrderDispatcher();

  /// Tries to acquire the lease when a role must change, and sends the orders
  /// that are due. Must be called several times per second.
  /// @param rank Number of live peers that rank before this instance.
  void Tick(const forward::RouteTable& routes, size_t rank);

  /// @return Engines whose role is being changed by orders of this instance.
  std::vector<std::string> ChangingEngines() const;

  uint64_t orders_sent() const { return this->order_count; }  // NOLINT

 private:
  class RoleChangeCommand;

  void ObserveLease();
  void UpdateLease(bool needed, size_t rank);
  void StartRoleChange(const std::string& service,
                       const forward::RoleChange& change);
  void LearnNotices(std::string_view replica, const HttpResult& answer);
  void OnCommandDone(RoleChangeCommand* command);

  boost::asio::io_context& io;
  const std::string instance;
  forward::ReplicaSet& replicas;
  SendPermits& send_permits;
  forward::ReplicaNotices& replica_notices;
  const WireFormat& wire;
  EventLog& log;
  const Clock& clock;
  ControlTable& table;
  HandoverLease lease;
  std::map<std::string, forward::RoleBalancer> role_balancers;
  std::map<RoleChangeCommand*, std::unique_ptr<RoleChangeCommand>> commands;
  uint64_t order_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_ORDER_DISPATCHER_H_
