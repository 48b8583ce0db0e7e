#include "cranberryhill/exchange/connection_pool.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/http1/socket_options.h"

namespace cranberryhill::gateway {
namespace {

/// A request that is sent while the replica closes the connection may have run,
/// so an idle connection is closed this long before its idle limit.
constexpr absl::Duration kIdleCloseMargin = absl::Milliseconds(700);
/// Maximum number of idle connections to one replica.
constexpr int64_t kMaxIdlePerReplica = 24;

/// The key contains the start time, so that a replica that restarts at the same
/// address gets new connections.
std::string PoolKey(const forward::Replica& replica) {
  return replica.entry.id + "@" + replica.Address() + "#" +
         std::to_string(replica.entry.started_ms);
}

}  // namespace

bool ConnectionPool::IsFresh(const IdleConnection& idle) const {
  return idle.connection->Reusable() &&
         this->clock.Now() - idle.idle_since <
             idle.connection->idle_limit() - kIdleCloseMargin;
}

std::shared_ptr<http1::ClientConnection> ConnectionPool::Acquire(
    const forward::Replica& replica,
    std::span<const std::weak_ptr<http1::ClientConnection>> excluded) {
  auto is_excluded = [excluded](const IdleConnection& idle) {
    return std::any_of(excluded.begin(), excluded.end(),
                       [&idle](const auto& connection) {
                         return connection.lock() == idle.connection;
                       });
  };
  auto found = this->idle_connections.find(PoolKey(replica));
  if (found != this->idle_connections.end()) {
    std::vector<IdleConnection>& pooled = found->second;
    // The most recently used connection is taken first, so that the others can
    // expire.
    for (size_t i = pooled.size(); i > 0; --i) {
      if (is_excluded(pooled[i - 1]))
        continue;
      IdleConnection last = std::move(pooled[i - 1]);
      pooled.erase(pooled.begin() + static_cast<ptrdiff_t>(i) - 1);
      if (this->IsFresh(last))
        return last.connection;
      last.connection->Cancel();
    }
  }
  ++this->opened_count;
  return http1::ClientConnection::Create(
      this->io, http1::TcpEndpoint(replica.entry.endpoint));
}

void ConnectionPool::Release(
    const forward::Replica& replica,
    std::shared_ptr<http1::ClientConnection> connection) {
  if (!connection->Reusable())
    return;
  auto& pooled = this->idle_connections[PoolKey(replica)];
  // Requests in progress use the rest of this instance's share of connections.
  auto max_idle =
      std::min<int64_t>(kMaxIdlePerReplica, int64_t{replica.connection_share} -
                                                replica.outstanding);
  if (!replica.registered || static_cast<int64_t>(pooled.size()) >= max_idle) {
    connection->Cancel();
    return;
  }
  pooled.push_back({std::move(connection), this->clock.Now()});
}

void ConnectionPool::CloseIdle(const forward::Replica& replica) {
  auto found = this->idle_connections.find(PoolKey(replica));
  if (found == this->idle_connections.end())
    return;
  for (const IdleConnection& entry : found->second)
    entry.connection->Cancel();
  this->idle_connections.erase(found);
}

void ConnectionPool::CloseStale() {
  for (auto& [key, pooled] : this->idle_connections) {
    for (const IdleConnection& entry : pooled) {
      if (!this->IsFresh(entry))
        entry.connection->Cancel();
    }
    std::erase_if(pooled, [](const IdleConnection& entry) {
      return !entry.connection->Reusable();
    });
  }
  absl::erase_if(this->idle_connections,
                 [](const auto& item) { return item.second.empty(); });
}

}  // namespace cranberryhill::gateway
