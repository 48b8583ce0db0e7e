#ifndef CRANBERRYHILL_GATEWAY_GATEWAY_QUARANTINES_H_
#define CRANBERRYHILL_GATEWAY_GATEWAY_QUARANTINES_H_

// The quarantines of a gateway instance that outlast a restart of all
// instances.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/prompt_part_quarantine.h"
#include "cranberryhill/gateway/peer_link.h"
#include "cranberryhill/request/crash_quarantine.h"
#include "cranberryhill/store/control_table.h"
#include "cranberryhill/store/delay_timer.h"
#include "cranberryhill/store/event_log.h"
#include "cranberryhill/store/quarantine_store.h"

namespace cranberryhill::gateway {

/// Requests that crash replicas.
class RequestQuarantineList : public QuarantineList {
 public:
  /// @param quarantine, clock Must outlive this object.
  RequestQuarantineList(CrashQuarantine& quarantine, const Clock& clock)
      : quarantine(quarantine), clock(clock) {}

  std::vector<QuarantinedItem> Items() const override;
  void Restore(const QuarantinedItem& item) override;

 private:
  CrashQuarantine& quarantine;
  const Clock& clock;
};

/// Parts of prompts that crash replicas.
class PartQuarantineList : public QuarantineList {
 public:
  /// @param quarantine Must outlive this object.
  explicit PartQuarantineList(forward::PromptPartQuarantine& quarantine)
      : quarantine(quarantine) {}

  std::vector<QuarantinedItem> Items() const override;
  void Restore(const QuarantinedItem& item) override;

 private:
  forward::PromptPartQuarantine& quarantine;
};

/// Not thread-safe.
class GatewayQuarantines : public QuarantineFleet {
 public:
  /// @param request_timer, part_timer Used for writes.
  /// All references must outlive this object.
  GatewayQuarantines(ControlTable& control_table,
                     const PeerLink& peer_link,
                     CrashQuarantine& crash_quarantine,
                     forward::PromptPartQuarantine& prompt_part_quarantine,
                     std::unique_ptr<DelayTimer> request_timer,
                     std::unique_ptr<DelayTimer> part_timer,
                     EventLog& log,
                     const Clock& clock,
                     Random& random);

  /// Takes over what the rows say.
  void ReadRows();

  /// Writes what the rows lack. To be called some times a second.
  void Tick();

  std::optional<size_t> InstanceCount() const override;
  std::optional<Row> FindRow(std::string_view key) const override;
  uint64_t StoreEra() const override;
  std::optional<absl::Time> StoreTime() const override;
  void CommitRow(Transaction transaction, CommitCallback callback) override;
  void RefreshRows() override;

 private:
  ControlTable& control_table;
  const PeerLink& peer_link;
  RequestQuarantineList request_list;
  PartQuarantineList part_list;
  QuarantineStore requests;
  QuarantineStore parts;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_GATEWAY_QUARANTINES_H_
