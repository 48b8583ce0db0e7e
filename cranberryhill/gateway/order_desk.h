#ifndef CRANBERRYHILL_GATEWAY_ORDER_DESK_H_
#define CRANBERRYHILL_GATEWAY_ORDER_DESK_H_

// Gives engines the orders that RoleBalance asks for, while this instance
// holds the lease of orders. An engine gets orders of one holder at a time.

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/configuration.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/forward/role_balancer.h"
#include "cranberryhill/gateway/control_table.h"
#include "cranberryhill/gateway/event_log.h"
#include "cranberryhill/gateway/wire_format.h"
#include "cranberryhill/lease/lease_manager.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class OrderDesk {
 public:
  /// All references must outlive this object.
  /// @param turn_gap Orders of two holders must be this far apart.
  OrderDesk(boost::asio::io_context& io,
            std::string instance,
            absl::Duration turn_gap,
            ControlTable& table,
            forward::ReplicaSet& replicas,
            const WireFormat& wire,
            EventLog& log,
            const Clock& clock,
            Random& random);
  ~OrderDesk();

  /// Seeks the lease when a role must change, and gives the next order. Call
  /// it several times a second.
  /// @param rank How many live peers come before this instance.
  void Tick(const forward::RouteTable& routes, size_t rank);

  /// @return Engines whose role is being changed by orders of this instance.
  std::vector<std::string> Changing() const;

  uint64_t orders() const { return this->order_count; }  // NOLINT

 private:
  class Errand;

  bool MayOrder() const;
  void WatchRow();
  void TickLease(bool needed, size_t rank);
  void StartErrand(const std::string& service,
                   const forward::RoleChange& change);
  void OnErrandDone(Errand* errand);

  boost::asio::io_context& io;
  const std::string instance;
  const absl::Duration turn_gap;
  forward::ReplicaSet& replicas;
  const WireFormat& wire;
  EventLog& log;
  const Clock& clock;
  Random& random;
  ControlTable& table;
  std::unique_ptr<LeaseManager> lease;
  bool held = false;
  absl::Time needed_at;  // When a change was last due.
  uint64_t row_version = kAbsentVersion;
  // Orders of the holder before this one had ended by then.
  absl::Time others_quiet_from = absl::InfinitePast();
  absl::Time seek_from = absl::InfiniteFuture();
  std::map<std::string, forward::RoleBalancer> balances;
  std::map<Errand*, std::unique_ptr<Errand>> errands;
  uint64_t order_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_ORDER_DESK_H_
