// The part of Gateway that takes over the tables of the store.

#include <algorithm>
#include <utility>

#include "cranberryhill/gateway/gateway.h"

namespace cranberryhill::gateway {
namespace {

/// Number of versions per table in a message to peers.
constexpr size_t kProgressFields = 5;
/// An answer of the store that is older than this says nothing to peers.
constexpr absl::Duration kMaxReportedAge = absl::Seconds(3);
/// For what an instance adds to the head of a request that it relays: the time
/// left and the name of the customer.
constexpr uint32_t kRelayHeaderBytes = 320;

}  // namespace

void Gateway::OnSnapshot(StoreTable table,
                         SnapshotKind kind,
                         const std::vector<StoreRow>& rows) {
  if (table == StoreTable::kConfiguration)
    return this->OnChanges(table, rows);
  std::vector<forward::ReplicaEntry> entries;
  for (const StoreRow& row : rows) {
    if (auto entry = this->DecodeReplicaRow(row)) {
      this->stream_versions.OnRegistered(entry->service,
                                         entry->software_version);
      entries.push_back(std::move(*entry));
    }
  }
  if (kind == SnapshotKind::kRestored)
    this->replicas.ResetAfterRestore(entries);
  else
    this->replicas.Reset(entries);
}

void Gateway::OnStoreRestored(StoreTable /*table*/, uint64_t era) {
  this->configuration_follower.OnEraSeenElsewhere(era);
  this->replica_follower.OnEraSeenElsewhere(era);
  this->control_table.OnEraSeenElsewhere(era);
}

std::optional<forward::ReplicaEntry> Gateway::DecodeReplicaRow(
    const StoreRow& row) {
  auto entry = Capture([&] { return this->codec.DecodeReplica(row); });
  if (entry.ok())
    return std::move(entry.value());
  this->log.Write(LogEvent("replica_entry_unreadable")
                      .Add("replica", row.key)
                      .Add("reason", entry.error().ToString()));
  return std::nullopt;
}

void Gateway::OnChanges(StoreTable table, const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    if (table == StoreTable::kReplicas)
      this->ApplyReplica(row);
    else if (this->codec.IsConfiguration(row) && !row.removed)
      this->ApplyConfiguration(row);
  }
}

void Gateway::OnStoreRecovered(StoreTable table, absl::Duration /*outage*/) {
  if (table == StoreTable::kReplicas)
    this->replicas.OnRegistryReconnected();
}

void Gateway::OnPolled(StoreTable table,
                       uint64_t era,
                       uint64_t after,
                       const std::vector<StoreRow>& rows) {
  size_t rank = this->StoreRank();
  if (!this->store_contact.IsPoller(rank))
    return;
  if (table != StoreTable::kConfiguration)
    return this->peer_link.SendRows(table, era, after, rows, rank);
  std::vector<StoreRow> shared_rows = rows;
  for (StoreRow& row : shared_rows) {
    if (this->codec.IsConfiguration(row) && !row.removed)
      row.value = this->codec.WithoutKeys(row.value);
  }
  this->peer_link.SendRows(table, era, after, shared_rows, rank);
}

void Gateway::OnStoreCall(StoreTable /*table*/, bool answered) {
  this->store_contact.OnOwnCall(answered);
}

/// @return The rank of this instance among those that are in contact with the
///     store, or among those that are not.
size_t Gateway::StoreRank() const {
  return this->peer_load_sync.RankByStore(this->store_contact.lost());
}

TableFollower& Gateway::FollowerOf(StoreTable table) {
  return table == StoreTable::kConfiguration ? this->configuration_follower
                                             : this->replica_follower;
}

void Gateway::OnPeersUpdated() {
  size_t rank = this->StoreRank();
  bool polls = this->store_contact.MustPoll(rank);
  bool poller = this->store_contact.IsPoller(rank);
  this->configuration_follower.SetPolling(polls, poller);
  this->replica_follower.SetPolling(polls, poller);
}

void Gateway::DescribeStoreContact(forward::LoadMessage& message) const {
  for (const TableFollower* follower :
       {&this->configuration_follower, &this->replica_follower}) {
    TableProgress progress = follower->Progress();
    message.table_versions.insert(
        message.table_versions.end(),
        {progress.newest_row, progress.complete_after, progress.seen,
         progress.history_lost, progress.era});
  }
  message.store_lost = this->store_contact.lost();
  message.may_poll_in = this->store_contact.TimeToPoll();
  absl::Duration age = std::max(this->configuration_follower.TimeSinceAnswer(),
                                this->replica_follower.TimeSinceAnswer());
  if (age <= kMaxReportedAge)
    message.store_answer_age = age;
}

void Gateway::OnPeerStoreContact(const forward::LoadMessage& message) {
  if (this->store_contact.OnPeerContact(message.store_answer_age,
                                        message.may_poll_in))
    this->replicas.OnRegistryReconnected();
  const std::vector<uint64_t>& versions = message.table_versions;
  if (versions.size() != 2 * kProgressFields)
    return;
  size_t first = 0;
  for (TableFollower* follower :
       {&this->configuration_follower, &this->replica_follower}) {
    follower->OnPeerProgress({versions[first], versions[first + 1],
                              versions[first + 2], versions[first + 3],
                              versions[first + 4]});
    first += kProgressFields;
  }
}

void Gateway::OnPeerRows(const RowMessage& message) {
  this->FollowerOf(message.table)
      .OnPeerRows(message.era, message.after, message.up_to, message.rows);
}

void Gateway::OnPeerDutyMessage(std::string_view bytes) {
  this->duties.OnMessage(bytes);
}

void Gateway::OnPeerPermit(const PermitMessage& message) {
  this->send_permits.OnMessage(message);
}

void Gateway::ApplyConfiguration(const StoreRow& row) {
  auto decoded =
      Capture([&] { return this->codec.DecodeConfiguration(row.value); });
  if (!decoded.ok()) {
    this->log.Write(LogEvent("configuration_unreadable")
                        .Add("row_version", row.version)
                        .Add("reason", decoded.error().ToString()));
    return;
  }
  int64_t version = decoded.value().version;
  int64_t current =
      this->routes == nullptr ? -1 : this->routes->configuration().version;
  // A read that completes after a newer one must not restore an older
  // configuration.
  if (version <= current)
    return;
  auto configuration = std::make_shared<const forward::Configuration>(
      std::move(decoded.value()));
  const forward::CallerLimits& limits = configuration->limits;
  http1::ServerLimits server_limits{
      {limits.max_header_bytes, limits.max_body_bytes},
      limits.receive_timeout,
      limits.idle_timeout};
  this->caller_server.SetLimits(server_limits);
  // The caller may not have named the time left.
  server_limits.request.header_bytes += kRelayHeaderBytes;
  this->relay_server.SetLimits(server_limits);
  for (const forward::ServiceConfig& service : configuration->services) {
    if (service.engine && service.engine->kv_capacity_tokens > 0) {
      this->replicas.SetCacheCapacity(service.name,
                                      service.engine->kv_capacity_tokens);
    }
    // Begins to earn its slack, which needs no requests.
    this->RetryBudgetFor(service.name);
  }
  this->routes = std::make_shared<const forward::RouteTable>(configuration);
  this->route_history.Add(this->routes);
  this->keys = std::make_shared<const customers::KeyIndex>(configuration);
  this->UpdateConnectionShares();
  this->log.Write(
      LogEvent("configuration_in_force")
          .Add("version", version)
          .Add("replaced", current)
          .Add("routes", static_cast<int64_t>(configuration->routes.size()))
          .Add("customers",
               configuration->customers
                   ? static_cast<int64_t>(configuration->customers->size())
                   : 0));
}

void Gateway::ApplyReplica(const StoreRow& row) {
  auto known = this->replicas.Find(row.key);
  auto log_end_of_leaving = [&](std::string_view reason) {
    if (known == nullptr || !known->says_leaving)
      return;
    this->log.Write(LogEvent("replica_leaving_ended")
                        .Add("replica", row.key)
                        .Add("reason", reason));
  };
  if (row.removed) {
    log_end_of_leaving("removed");
    this->replicas.Remove(row.key);
    this->log.Write(LogEvent("replica_removed")
                        .Add("replica", row.key)
                        .Add("row_version", row.version));
    return;
  }
  auto entry = this->DecodeReplicaRow(row);
  if (!entry)
    return this->replicas.Remove(row.key);
  const forward::ReplicaEntry& replica_entry = *entry;
  this->replicas.Apply(replica_entry);
  this->stream_versions.OnRegistered(replica_entry.service,
                                     replica_entry.software_version);
  if (this->replicas.Find(row.key) != known)
    log_end_of_leaving("restarted");
  this->log.Write(LogEvent("replica_changed")
                      .Add("replica", replica_entry.id)
                      .Add("service", replica_entry.service)
                      .Add("software_version", replica_entry.software_version)
                      .Add("leaving", replica_entry.leaving)
                      .Add("role", replica_entry.role
                                       ? EngineRoleName(*replica_entry.role)
                                       : "none")
                      .Add("row_version", row.version));
}

}  // namespace cranberryhill::gateway
