#include "cranberryhill/peer/peer_exchange.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {

std::string_view PeerVerdictName(PeerVerdict verdict) {
  switch (verdict) {
    case PeerVerdict::kAccepted:
      return "accepted";
    case PeerVerdict::kWrongEnvironment:
      return "wrong_environment";
    case PeerVerdict::kUnknownInstance:
      return "unknown_instance";
    case PeerVerdict::kWrongZone:
      return "wrong_zone";
    case PeerVerdict::kOldIncarnation:
      return "old_incarnation";
    case PeerVerdict::kOldSequence:
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
      budget_time(clock.Now()) {}

void PeerExchange::SetKnown(std::vector<PeerCandidate> instances) {
  this->zones.clear();
  for (const PeerCandidate& instance : instances)
    this->zones[instance.id] = instance.availability_zone;
  this->chosen =
      ChoosePeers({this->identity.id, this->identity.availability_zone},
                  instances, this->options.subset);
  std::erase_if(this->heard, [this](const auto& item) {
    return !this->zones.contains(item.first);
  });
  std::erase_if(this->next_due, [this](const auto& item) {
    return std::find(this->chosen.begin(), this->chosen.end(), item.first) ==
           this->chosen.end();
  });
}

std::vector<std::string> PeerExchange::Due() {
  absl::Time now = this->clock.Now();
  std::vector<std::string> due;
  for (const std::string& peer : this->chosen) {
    absl::Time& next =
        this->next_due.try_emplace(peer, absl::InfinitePast()).first->second;
    if (now >= next)
      due.push_back(peer);
  }
  return due;
}

bool PeerExchange::TakeBudget(size_t bytes) {
  absl::Time now = this->clock.Now();
  this->budget_bytes = std::min(
      this->options.max_bytes_per_s,
      this->budget_bytes + absl::ToDoubleSeconds(now - this->budget_time) *
                               this->options.max_bytes_per_s);
  this->budget_time = now;
  if (this->budget_bytes < static_cast<double>(bytes)) {
    ++this->own_counters.over_budget;
    return false;
  }
  this->budget_bytes -= static_cast<double>(bytes);
  return true;
}

std::string PeerExchange::Next(const std::string& peer, PeerMessage content) {
  content.environment = this->identity.environment;
  content.sender = this->identity.id;
  content.availability_zone = this->identity.availability_zone;
  content.incarnation = this->identity.incarnation;
  content.sequence = this->sequence + 1;
  std::string bytes = EncodePeerMessage(content);
  if (!this->TakeBudget(bytes.size()))
    return {};
  ++this->sequence;
  this->next_due[peer] = this->clock.Now() + this->options.interval;
  ++this->own_counters.sent;
  this->own_counters.sent_bytes += bytes.size();
  return bytes;
}

PeerVerdict PeerExchange::Accept(const PeerMessage& message) {
  if (message.environment != this->identity.environment)
    return PeerVerdict::kWrongEnvironment;
  auto zone = this->zones.find(message.sender);
  if (zone == this->zones.end() || message.sender == this->identity.id)
    return PeerVerdict::kUnknownInstance;
  if (zone->second != message.availability_zone)
    return PeerVerdict::kWrongZone;
  Heard& last = this->heard[message.sender];
  if (message.incarnation < last.incarnation)
    return PeerVerdict::kOldIncarnation;
  if (message.incarnation == last.incarnation &&
      message.sequence <= last.sequence) {
    return PeerVerdict::kOldSequence;
  }
  last = {message.incarnation, message.sequence};
  return PeerVerdict::kAccepted;
}

}  // namespace cranberryhill
