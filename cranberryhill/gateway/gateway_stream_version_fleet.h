#ifndef CRANBERRYHILL_GATEWAY_GATEWAY_STREAM_VERSION_FLEET_H_
#define CRANBERRYHILL_GATEWAY_GATEWAY_STREAM_VERSION_FLEET_H_

// What a gateway instance knows of the fleet, for the versions of streams.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/gateway/peer_link.h"
#include "cranberryhill/store/control_table.h"
#include "cranberryhill/store/service_row_reader.h"
#include "cranberryhill/store/store_contact.h"
#include "cranberryhill/store/table_follower.h"
#include "cranberryhill/stream_versions/stream_version_store.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class GatewayStreamVersionFleet : public StreamVersionFleet {
 public:
  /// All references must outlive this object.
  /// @param replica_follower Follows the registry.
  /// @param row_reader Reads rows of the control table.
  GatewayStreamVersionFleet(ControlTable& control_table,
                            ServiceRowReader& row_reader,
                            const PeerLink& peer_link,
                            const TableFollower& replica_follower,
                            const StoreContact& store_contact);

  std::optional<size_t> InstanceCount() const override;
  bool IsRegistryCurrent() const override;
  std::optional<Row> FindServiceRow(std::string_view key) const override;
  uint64_t StoreEra() const override;
  void ReadServiceRow(std::string_view key,
                      absl::Duration wait,
                      ServiceRowReader::Callback done) override;
  void CommitServiceRow(Transaction transaction,
                        CommitCallback callback) override;
  void RefreshServiceRows() override;

 private:
  ControlTable& control_table;
  ServiceRowReader& row_reader;
  const PeerLink& peer_link;
  const TableFollower& replica_follower;
  const StoreContact& store_contact;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_GATEWAY_STREAM_VERSION_FLEET_H_
