#ifndef CRANBERRYHILL_GATEWAY_CONNECTION_POOL_H_
#define CRANBERRYHILL_GATEWAY_CONNECTION_POOL_H_

// Kept connections to replicas. Opening one costs the replica time and is
// bounded there, so connections are used again while they are fresh.

#include <boost/asio/io_context.hpp>
#include <memory>
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

  /// @return A kept connection to the replica, or a new one.
  std::shared_ptr<http1::ClientConnection> Acquire(
      const forward::Replica& replica);

  /// Keeps a connection if it can carry another request.
  void Release(const forward::Replica& replica,
               std::shared_ptr<http1::ClientConnection> connection);

  /// Closes connections that the replica is about to close.
  void CloseStale();

  /// @return Connections opened so far.
  uint64_t opened() const { return this->opened_count; }  // NOLINT

 private:
  struct Kept {
    std::shared_ptr<http1::ClientConnection> connection;
    absl::Time since;
  };

  bool IsFresh(const Kept& kept) const;

  boost::asio::io_context& io;
  const Clock& clock;
  absl::flat_hash_map<std::string, std::vector<Kept>> kept;
  uint64_t opened_count = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_CONNECTION_POOL_H_
