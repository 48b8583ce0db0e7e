#ifndef CRANBERRYHILL_EXCHANGE_CONNECTION_POOL_H_
#define CRANBERRYHILL_EXCHANGE_CONNECTION_POOL_H_

// Pool of persistent connections to replicas. Opening a connection costs the
// replica time and replicas limit their number, so connections are reused until
// shortly before the replica closes them as idle.

#include <boost/asio/io_context.hpp>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/http1/client.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class ConnectionPool {
 public:
  /// @param io, clock Must outlive this object.
  ConnectionPool(boost::asio::io_context& io, const Clock& clock)
      : io(io), clock(clock) {}

  /// @param excluded Connections that are not returned. A request must not be
  ///     sent again on a connection that has carried it: a late copy of the
  ///     first answer could not be told from the second answer.
  /// @return An idle connection to the replica, or a new one.
  std::shared_ptr<http1::ClientConnection> Acquire(
      const forward::Replica& replica,
      std::span<const std::weak_ptr<http1::ClientConnection>> excluded = {});

  /// Returns a connection to the pool, if it can carry another request and the
  /// pool has room for it.
  void Release(const forward::Replica& replica,
               std::shared_ptr<http1::ClientConnection> connection);

  /// Closes the idle connections to a replica.
  void CloseIdle(const forward::Replica& replica);

  /// Closes idle connections that the replica is about to close.
  void CloseStale();

  /// @return Number of connections opened.
  uint64_t opened() const { return this->opened_count; }  // NOLINT

 private:
  struct IdleConnection {
    std::shared_ptr<http1::ClientConnection> connection;
    absl::Time idle_since;
  };

  bool IsFresh(const IdleConnection& idle) const;

  boost::asio::io_context& io;
  const Clock& clock;
  absl::flat_hash_map<std::string, std::vector<IdleConnection>>
      idle_connections;
  uint64_t opened_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_EXCHANGE_CONNECTION_POOL_H_
