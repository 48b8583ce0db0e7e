#include "cranberryhill/gateway/gateway_stream_version_fleet.h"

#include <utility>

namespace cranberryhill::gateway {
namespace {

/// Longer than a poll of the registry takes while nothing changes.
constexpr absl::Duration kMaxRegistryAge = absl::Seconds(3);

}  // namespace

GatewayStreamVersionFleet::GatewayStreamVersionFleet(
    ControlTable& control_table,
    ServiceRowReader& row_reader,
    const PeerLink& peer_link,
    const TableFollower& replica_follower,
    const StoreContact& store_contact)
    : control_table(control_table),
      row_reader(row_reader),
      peer_link(peer_link),
      replica_follower(replica_follower),
      store_contact(store_contact) {}

std::optional<size_t> GatewayStreamVersionFleet::InstanceCount() const {
  if (!this->control_table.loaded())
    return std::nullopt;
  return this->peer_link.peer_count() + 1;
}

bool GatewayStreamVersionFleet::IsRegistryCurrent() const {
  return this->replica_follower.has_snapshot() &&
         !this->replica_follower.NeedsSnapshot() &&
         this->replica_follower.TimeBehindPeers() == absl::ZeroDuration() &&
         this->store_contact.Age() <= kMaxRegistryAge;
}

std::optional<Row> GatewayStreamVersionFleet::FindServiceRow(
    std::string_view key) const {
  return this->control_table.FindIndependently(key);
}

uint64_t GatewayStreamVersionFleet::StoreEra() const {
  return this->control_table.era();
}

void GatewayStreamVersionFleet::ReadServiceRow(
    std::string_view key,
    absl::Duration wait,
    ServiceRowReader::Callback done) {
  this->row_reader.Read(key, wait, std::move(done));
}

void GatewayStreamVersionFleet::CommitServiceRow(Transaction transaction,
                                                 CommitCallback callback) {
  this->control_table.CommitIndependently(std::move(transaction),
                                          std::move(callback));
}

void GatewayStreamVersionFleet::RefreshServiceRows() {
  this->control_table.Refresh();
}

}  // namespace cranberryhill::gateway
