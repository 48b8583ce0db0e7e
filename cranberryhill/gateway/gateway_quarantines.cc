#include "cranberryhill/gateway/gateway_quarantines.h"

#include <utility>

namespace cranberryhill::gateway {

std::vector<QuarantinedItem> RequestQuarantineList::Items() const {
  std::vector<QuarantinedItem> items;
  for (const QuarantinedRequest& request :
       this->quarantine.Quarantined(this->clock.Now()))
    items.push_back({request.fingerprint, request.remaining});
  return items;
}

void RequestQuarantineList::Restore(const QuarantinedItem& item) {
  this->quarantine.Restore({item.id, item.remaining}, this->clock.Now());
}

std::vector<QuarantinedItem> PartQuarantineList::Items() const {
  std::vector<QuarantinedItem> items;
  for (const forward::QuarantinedPart& part : this->quarantine.Quarantined())
    items.push_back({part.part, part.remaining, part.is_certain});
  return items;
}

void PartQuarantineList::Restore(const QuarantinedItem& item) {
  this->quarantine.Restore({item.id, item.remaining});
}

GatewayQuarantines::GatewayQuarantines(
    ControlTable& control_table,
    const PeerLink& peer_link,
    CrashQuarantine& crash_quarantine,
    forward::PromptPartQuarantine& prompt_part_quarantine,
    std::unique_ptr<DelayTimer> request_timer,
    std::unique_ptr<DelayTimer> part_timer,
    EventLog& log,
    const Clock& clock,
    Random& random)
    : control_table(control_table),
      peer_link(peer_link),
      request_list(crash_quarantine, clock),
      part_list(prompt_part_quarantine),
      requests("quarantine/requests",
               QuarantineEnd::kTime,
               this->request_list,
               *this,
               std::move(request_timer),
               log,
               clock,
               random),
      parts("quarantine/prompt-parts",
            QuarantineEnd::kTimeOrSoundAnswer,
            this->part_list,
            *this,
            std::move(part_timer),
            log,
            clock,
            random) {}

void GatewayQuarantines::ReadRows() {
  this->requests.ReadRow();
  this->parts.ReadRow();
}

void GatewayQuarantines::Tick() {
  this->requests.Tick();
  this->parts.Tick();
}

std::optional<size_t> GatewayQuarantines::InstanceCount() const {
  if (!this->control_table.loaded())
    return std::nullopt;
  return this->peer_link.peer_count() + 1;
}

std::optional<Row> GatewayQuarantines::FindRow(std::string_view key) const {
  return this->control_table.FindIndependently(key);
}

uint64_t GatewayQuarantines::StoreEra() const {
  return this->control_table.era();
}

std::optional<absl::Time> GatewayQuarantines::StoreTime() const {
  return this->control_table.StoreTime();
}

void GatewayQuarantines::CommitRow(Transaction transaction,
                                   CommitCallback callback) {
  this->control_table.CommitIndependently(std::move(transaction),
                                          std::move(callback));
}

void GatewayQuarantines::RefreshRows() {
  this->control_table.Refresh();
}

}  // namespace cranberryhill::gateway
