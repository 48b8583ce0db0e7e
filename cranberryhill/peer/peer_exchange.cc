#include "cranberryhill/peer/peer_exchange.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {

std::string_view PeerMessageVerdictName(PeerMessageVerdict verdict) {
  switch (verdict) {
    case PeerMessageVerdict::kAccepted:
      return "accepted";
    case PeerMessageVerdict::kWrongEnvironment:
      return "wrong_environment";
    case PeerMessageVerdict::kUnknownInstance:
      return "unknown_instance";
    case PeerMessageVerdict::kWrongZone:
      return "wrong_zone";
    case PeerMessageVerdict::kOldIncarnation:
      return "old_incarnation";
    case PeerMessageVerdict::kOldSequence:
      return "old_sequence";
  }
  return "unknown";
}

PeerExchange::PeerExchange(PeerIdentity identity,
                           PeerExchangeOptions options,
                           const Clock& clock)
    : identity(std::move(identity)),
      options(options),
      clock(clock),
      budget_bytes(options.max_bytes_per_s),
      budget_updated_at(clock.Now()) {}

void PeerExchange::SetInstances(std::vector<PeerCandidate> instances) {
  this->zone_by_instance.clear();
  for (const PeerCandidate& instance : instances)
    this->zone_by_instance[instance.id] = instance.availability_zone;
  this->chosen_peers =
      ChoosePeers({this->identity.id, this->identity.availability_zone},
                  instances, this->options.subset);
  std::erase_if(this->last_received, [this](const auto& item) {
    return !this->zone_by_instance.contains(item.first);
  });
  std::erase_if(this->next_due_at, [this](const auto& item) {
    return std::find(this->chosen_peers.begin(), this->chosen_peers.end(),
                     item.first) == this->chosen_peers.end();
  });
}

std::vector<std::string> PeerExchange::DuePeers() {
  absl::Time now = this->clock.Now();
  std::vector<std::string> due;
  for (const std::string& peer : this->chosen_peers) {
    absl::Time& next =
        this->next_due_at.try_emplace(peer, absl::InfinitePast()).first->second;
    if (now >= next)
      due.push_back(peer);
  }
  return due;
}

bool PeerExchange::ConsumeBudget(size_t bytes) {
  absl::Time now = this->clock.Now();
  this->budget_bytes =
      std::min(this->options.max_bytes_per_s,
               this->budget_bytes +
                   absl::ToDoubleSeconds(now - this->budget_updated_at) *
                       this->options.max_bytes_per_s);
  this->budget_updated_at = now;
  if (this->budget_bytes < static_cast<double>(bytes)) {
    ++this->own_counters.over_budget;
    return false;
  }
  this->budget_bytes -= static_cast<double>(bytes);
  return true;
}

std::string PeerExchange::PrepareMessage(const std::string& peer,
                                         PeerMessage content) {
  content.environment = this->identity.environment;
  content.sender = this->identity.id;
  content.availability_zone = this->identity.availability_zone;
  content.incarnation = this->identity.incarnation;
  content.sequence = this->last_sent_sequence + 1;
  std::string bytes = EncodePeerMessage(content);
  if (!this->ConsumeBudget(bytes.size()))
    return {};
  ++this->last_sent_sequence;
  this->next_due_at[peer] = this->clock.Now() + this->options.interval;
  ++this->own_counters.sent;
  this->own_counters.sent_bytes += bytes.size();
  return bytes;
}

PeerMessageVerdict PeerExchange::AcceptMessage(const PeerMessage& message) {
  if (message.environment != this->identity.environment)
    return PeerMessageVerdict::kWrongEnvironment;
  auto zone = this->zone_by_instance.find(message.sender);
  if (zone == this->zone_by_instance.end() ||
      message.sender == this->identity.id)
    return PeerMessageVerdict::kUnknownInstance;
  if (zone->second != message.availability_zone)
    return PeerMessageVerdict::kWrongZone;
  LastReceived& last = this->last_received[message.sender];
  if (message.incarnation < last.incarnation)
    return PeerMessageVerdict::kOldIncarnation;
  if (message.incarnation == last.incarnation &&
      message.sequence <= last.sequence) {
    return PeerMessageVerdict::kOldSequence;
  }
  last = {message.incarnation, message.sequence};
  return PeerMessageVerdict::kAccepted;
}

}  // namespace cranberryhill
