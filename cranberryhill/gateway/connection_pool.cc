#include "cranberryhill/gateway/connection_pool.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/http1/socket_options.h"

namespace cranberryhill::gateway {
namespace {

/// A request that crosses the other end's close may have run, so a connection
/// is given up this much before its idle limit.
constexpr absl::Duration kIdleMargin = absl::Milliseconds(700);
/// Connections to one replica that are kept without a request.
constexpr int64_t kMaxKept = 24;

/// A replica that starts anew at the same address gets its own connections.
std::string KeyOf(const forward::Replica& replica) {
  return replica.entry.id + "@" + replica.Address() + "#" +
         std::to_string(replica.entry.started_ms);
}

}  // namespace

bool ConnectionPool::IsFresh(const Kept& kept) const {
  return kept.connection->Reusable() &&
         this->clock.Now() - kept.since <
             kept.connection->idle_limit() - kIdleMargin;
}

std::shared_ptr<http1::ClientConnection> ConnectionPool::Acquire(
    const forward::Replica& replica) {
  auto found = this->kept.find(KeyOf(replica));
  if (found != this->kept.end()) {
    // The most recently used one first, so that the others can lapse.
    while (!found->second.empty()) {
      Kept last = std::move(found->second.back());
      found->second.pop_back();
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
  auto& list = this->kept[KeyOf(replica)];
  // The requests in progress use the rest of this instance's share.
  auto most = std::min<int64_t>(
      kMaxKept, int64_t{replica.connection_share} - replica.outstanding);
  if (!replica.registered || static_cast<int64_t>(list.size()) >= most) {
    connection->Cancel();
    return;
  }
  list.push_back({std::move(connection), this->clock.Now()});
}

void ConnectionPool::CloseStale() {
  for (auto& [key, list] : this->kept) {
    for (const Kept& entry : list) {
      if (!this->IsFresh(entry))
        entry.connection->Cancel();
    }
    std::erase_if(
        list, [](const Kept& entry) { return !entry.connection->Reusable(); });
  }
  absl::erase_if(this->kept,
                 [](const auto& item) { return item.second.empty(); });
}

}  // namespace cranberryhill::gateway
