#include "cranberryhill/gateway/peer_link.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <utility>

#include "cranberryhill/base/hash.h"
#include "cranberryhill/duties/duty_message.h"

namespace cranberryhill::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr std::string_view kRowPrefix = "instance/";
/// Minimum interval between full updates. An engine takes 10 ms to prefill a
/// prompt of a thousand tokens, so a load that is 60 ms old still distinguishes
/// busy engines from idle ones.
constexpr std::chrono::milliseconds kFullUpdateInterval(60);
/// The interval between full updates is at least this long times the number of
/// peers, because sending a message to 60 peers takes about as long as serving
/// one request.
constexpr std::chrono::milliseconds kFullUpdateIntervalPerPeer(6);
/// Minimum interval between partial updates about prompts that were just sent.
/// It is short because other instances choose among the same engines, and an
/// engine prefills most prompts within 100 ms.
constexpr absl::Duration kMinPartialUpdateInterval = absl::Milliseconds(10);
constexpr absl::Duration kMinPartialUpdateIntervalPerPeer =
    absl::Microseconds(600);
/// Instances that start at the same time spread the writes of their rows over
/// this time, because a partition of the store takes 200 writes a second.
constexpr absl::Duration kMaxRowWriteDelay = absl::Seconds(2);
/// Interval between writes of the own row until it appears in the table.
constexpr absl::Duration kRowWriteInterval = absl::Seconds(2);
/// Maximum number of crash entries in one message; quarantined requests come
/// first.
constexpr size_t kMaxCrashEntries = 16;
/// Interval between messages while there is no work to report; they show that
/// the instance is alive and which table versions it has received.
constexpr absl::Duration kIdleUpdateInterval = absl::Milliseconds(400);
/// Interval between messages with the learned speed of engines. It changes
/// slowly, but an instance that has just started should know it within seconds.
constexpr absl::Duration kEngineSpeedInterval = absl::Seconds(3);

}  // namespace

PeerLink::PeerLink(asio::io_context& io,
                   std::string instance,
                   Endpoint address,
                   ControlTable& table,
                   forward::PeerLoadSync& peer_load_sync,
                   CrashQuarantine& crash_quarantine,
                   forward::PromptPartQuarantine& prompt_part_quarantine,
                   forward::ReplicaLimits& replica_limits,
                   forward::ReplicaNotices& replica_notices,
                   forward::ReplicaSet& replicas,
                   const OrderDispatcher& order_dispatcher,
                   forward::EngineSpeedModels& engine_speeds,
                   PeerLinkDelegate& delegate,
                   EventLog& log,
                   const Clock& clock)
    : instance(std::move(instance)),
      address(std::move(address)),
      table(table),
      peer_load_sync(peer_load_sync),
      crash_quarantine(crash_quarantine),
      prompt_part_quarantine(prompt_part_quarantine),
      replica_limits(replica_limits),
      replica_notices(replica_notices),
      replicas(replicas),
      order_dispatcher(order_dispatcher),
      engine_speeds(engine_speeds),
      delegate(delegate),
      log(log),
      clock(clock),
      socket(io),
      full_update_timer(io),
      partial_update_timer(io) {}

Result<void> PeerLink::Start() {
  error_code error;
  udp::endpoint endpoint(asio::ip::make_address(this->address.ip, error),
                         this->address.port);
  if (!error)
    this->socket.open(endpoint.protocol(), error);
  if (!error)
    this->socket.bind(endpoint, error);
  if (!error)
    this->socket.non_blocking(true, error);
  if (error) {
    return MakeError(ErrorCode::kUnavailable, "peer_address",
                     EndpointText(this->address), error.message());
  }
  this->Receive();
  this->ScheduleFullUpdate();
  return {};
}

void PeerLink::UpdatePeers() {
  this->peer_endpoints.clear();
  for (const auto& [key, row] : this->table.rows()) {
    if (!key.starts_with(kRowPrefix) ||
        key.substr(kRowPrefix.size()) == this->instance)
      continue;
    auto peer = Capture(
        [&row = row, &key = key] { return ParseEndpoint(row.value, key); });
    if (!peer.ok()) {
      this->log.Write(LogEvent("peer_row_unreadable")
                          .Add("key", key)
                          .Add("reason", peer.error().ToString()));
      continue;
    }
    this->peer_endpoints.emplace_back(asio::ip::make_address(peer.value().ip),
                                      peer.value().port);
  }
}

void PeerLink::WriteOwnRow() {
  if (!this->table.loaded())
    return;
  absl::Time now = this->clock.Now();
  if (this->row_write_due_at == absl::InfinitePast()) {
    this->row_write_due_at =
        now + kMaxRowWriteDelay *
                  static_cast<double>(StableHash(this->instance) % 1000) / 1000;
  }
  if (now < this->row_write_due_at)
    return;
  std::string key = std::string(kRowPrefix) + this->instance;
  std::string text = EndpointText(this->address);
  auto known = this->table.rows().find(key);
  uint64_t version = kAbsentVersion;
  if (known != this->table.rows().end()) {
    if (known->second.value == text)
      return;
    version = known->second.version;
  }
  this->row_write_due_at = now + kRowWriteInterval;
  this->table.Commit({{{key, version}}, {{key, text}}, {}},
                     [](const CommitOutcome&) {});
}

void PeerLink::Receive() {
  this->socket.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error)
      return;
    while (true) {
      error_code receive_error;
      udp::endpoint sender;
      size_t bytes = this->socket.receive_from(
          asio::buffer(this->receive_buffer), sender, 0, receive_error);
      if (receive_error)
        break;
      // A newly started instance may send messages before its row has been
      // read, so every sender is added to the peers.
      if (std::find(this->peer_endpoints.begin(), this->peer_endpoints.end(),
                    sender) == this->peer_endpoints.end())
        this->peer_endpoints.push_back(sender);
      this->OnDatagram({this->receive_buffer.data(), bytes}, sender);
    }
    this->Receive();
  });
}

void PeerLink::OnDatagram(std::string_view bytes, const udp::endpoint& sender) {
  auto log_unreadable = [&](const Error& error) {
    this->log.Write(LogEvent("peer_message_unreadable")
                        .Add("from", sender.address().to_string())
                        .Add("reason", error.ToString()));
  };
  if (IsRowMessage(bytes)) {
    auto rows = Capture([&] { return DecodeRowMessage(bytes); });
    if (!rows.ok())
      return log_unreadable(rows.error());
    this->delegate.OnPeerRows(rows.value());
    return this->ForwardRows(std::move(rows.value()));
  }
  if (IsPermitMessage(bytes)) {
    auto permit = Capture([&] { return DecodePermitMessage(bytes); });
    if (!permit.ok())
      return log_unreadable(permit.error());
    return this->delegate.OnPeerPermit(permit.value());
  }
  if (duties::IsDutyReport(bytes) || duties::IsDutyNotice(bytes))
    return this->delegate.OnPeerDutyMessage(bytes);
  auto decoded = Capture([&] { return forward::DecodeLoadMessage(bytes); });
  if (!decoded.ok())
    return log_unreadable(decoded.error());
  const forward::LoadMessage& message = decoded.value();
  if (!this->peer_load_sync.Merge(message, this->replicas))
    return;
  this->endpoint_by_instance[message.instance] = sender;
  this->crash_quarantine.Merge(message.crashes, this->clock.Now());
  this->MergeLimits(message);
  this->MergeLeaving(message);
  this->engine_speeds.MergePeer(message.instance, message.engine_speeds);
  if (!message.partial) {
    this->MergePromptParts(message);
    this->delegate.OnPeerStoreContact(message);
    this->delegate.OnPeerReach(message);
  }
  this->delegate.OnPeerUnreachable(message.unreachable_replicas);
}

void PeerLink::MergePromptParts(const forward::LoadMessage& message) {
  for (uint64_t part : this->prompt_part_quarantine.Merge(
           message.prompt_parts, message.incarnation)) {
    this->log.Write(LogEvent("prompt_part_quarantined")
                        .Add("part", fmt::format("{:x}", part))
                        .Add("reason", "crashes_seen_by_peers")
                        .Add("from", message.instance));
  }
}

void PeerLink::MergeLimits(const forward::LoadMessage& message) {
  for (const forward::ReplicaLimitReport& report : message.replica_limits) {
    if (!this->replica_limits.Merge(report))
      continue;
    this->log.Write(LogEvent("replica_limit_changed")
                        .Add("replica", report.replica)
                        .Add("requests_per_s",
                             report.requests_per_s
                                 ? fmt::format("{}", *report.requests_per_s)
                                 : "none")
                        .Add("from", message.instance)
                        .Add("age_ms", report.age));
  }
}

void PeerLink::MergeLeaving(const forward::LoadMessage& message) {
  for (const forward::LeavingReport& report : message.leaving_replicas) {
    auto replica = this->replicas.Find(report.replica);
    if (replica == nullptr ||
        !this->replica_notices.MergeLeaving(*replica, report))
      continue;
    this->log.Write(LogEvent("replica_leaving")
                        .Add("replica", report.replica)
                        .Add("from", message.instance)
                        .Add("age_ms", report.age)
                        .Add("outstanding", replica->outstanding));
  }
}

std::string PeerLink::OwnerOf(std::string_view key) const {
  return this->peer_load_sync.OwnerOf(key);
}

double PeerLink::ReachableShare() const {
  return this->peer_load_sync.LiveShare();
}

std::optional<asio::ip::tcp::endpoint> PeerLink::RelayEndpoint(
    std::string_view instance) const {
  // Datagrams are sent from the address at which requests are accepted.
  auto found = this->endpoint_by_instance.find(instance);
  if (found == this->endpoint_by_instance.end())
    return std::nullopt;
  return asio::ip::tcp::endpoint(found->second.address(), found->second.port());
}

void PeerLink::SendPermitMessage(std::string_view instance,
                                 const PermitMessage& message) {
  this->SendToInstance(instance, EncodePermitMessage(message));
}

void PeerLink::SendToInstance(std::string_view instance,
                              std::string_view bytes) {
  auto found = this->endpoint_by_instance.find(instance);
  if (found != this->endpoint_by_instance.end())
    this->SendTo(bytes, found->second);
}

void PeerLink::SendPartialUpdateSoon() {
  if (std::exchange(this->partial_update_scheduled, true))
    return;
  absl::Duration min_interval =
      std::max(kMinPartialUpdateInterval,
               kMinPartialUpdateIntervalPerPeer *
                   static_cast<int>(this->peer_endpoints.size()));
  absl::Duration wait =
      this->partial_update_sent_at + min_interval - this->clock.Now();
  this->partial_update_timer.expires_after(
      absl::ToChronoMicroseconds(std::max(wait, absl::ZeroDuration())));
  this->partial_update_timer.async_wait([this](error_code error) {
    this->partial_update_scheduled = false;
    if (!error)
      this->SendPartialUpdate();
  });
}

std::chrono::milliseconds PeerLink::FullUpdateInterval() const {
  return std::max(kFullUpdateInterval,
                  kFullUpdateIntervalPerPeer *
                      static_cast<int>(this->peer_endpoints.size()));
}

void PeerLink::ScheduleFullUpdate() {
  this->full_update_timer.expires_after(this->FullUpdateInterval());
  this->full_update_timer.async_wait([this](error_code error) {
    if (error)
      return;
    this->WriteOwnRow();
    this->SendFullUpdate();
    this->ScheduleFullUpdate();
  });
}

void PeerLink::SendFullUpdate() {
  this->peer_load_sync.RemoveSilentPeers(
      this->replicas, absl::FromChrono(this->FullUpdateInterval()));
  this->delegate.OnPeersUpdated();
  forward::LoadMessage message = this->peer_load_sync.BuildFullMessage(
      this->replicas, this->order_dispatcher.ChangingEngines());
  message.crashes =
      this->crash_quarantine.Entries(kMaxCrashEntries, this->clock.Now());
  message.prompt_parts = this->prompt_part_quarantine.Report();
  message.replica_limits = this->replica_limits.OwnReports();
  message.leaving_replicas =
      this->replica_notices.OwnReports(this->replicas.Registered());
  this->delegate.DescribeStoreContact(message);
  message.unreachable_replicas = this->delegate.UnreachableReplicas();
  this->delegate.DescribeReach(message);
  bool idle = message.engine_loads.empty() && message.cached_prefixes.empty() &&
              message.engines_changing_role.empty();
  this->idle_updates = idle ? this->idle_updates + 1 : 0;
  // The first messages without work are not delayed, because they tell the
  // peers that earlier work has ended.
  absl::Time now = this->clock.Now();
  if (this->idle_updates > 2 &&
      now - this->full_update_sent_at < kIdleUpdateInterval)
    return;
  this->full_update_sent_at = now;
  if (now - this->engine_speeds_sent_at >= kEngineSpeedInterval) {
    this->engine_speeds_sent_at = now;
    message.engine_speeds = this->engine_speeds.OwnSummaries();
  }
  this->Send(message);
}

void PeerLink::SendPartialUpdate() {
  forward::LoadMessage message =
      this->peer_load_sync.BuildPartialMessage(this->replicas);
  message.replica_limits = this->replica_limits.OwnReports();
  message.leaving_replicas =
      this->replica_notices.OwnReports(this->replicas.Registered());
  if (message.engine_loads.empty() && message.replica_limits.empty() &&
      message.leaving_replicas.empty())
    return;
  this->partial_update_sent_at = this->clock.Now();
  this->Send(message);
}

void PeerLink::SendRows(StoreTable table,
                        uint64_t era,
                        uint64_t after,
                        const std::vector<StoreRow>& rows,
                        size_t rank) {
  std::vector<Endpoint> peers;
  for (const udp::endpoint& peer : this->peer_endpoints)
    peers.push_back({peer.address().to_string(), peer.port()});
  std::vector<RowRecipient> recipients =
      ChooseRecipients(std::move(peers), rank);
  std::vector<RowMessage> messages = SplitIntoMessages(table, era, after, rows);
  bool has_all =
      !messages.empty() && messages.back().up_to == rows.back().version;
  if (!rows.empty() && !has_all)
    messages.push_back(AnnouncementOf(table, era, rows.back().version));
  for (RowMessage& message : messages) {
    for (const RowRecipient& recipient : recipients) {
      message.forward_to = recipient.forward_to;
      this->SendTo(
          EncodeRowMessage(message),
          {asio::ip::make_address(recipient.peer.ip), recipient.peer.port});
    }
  }
}

/// Sends a message on to the peers that it names.
void PeerLink::ForwardRows(RowMessage message) {
  std::vector<Endpoint> recipients = std::exchange(message.forward_to, {});
  if (recipients.empty())
    return;
  std::string bytes = EncodeRowMessage(message);
  for (const udp::endpoint& peer : this->peer_endpoints) {
    // Only known peers get messages, so that a malformed one cannot direct
    // traffic elsewhere.
    Endpoint endpoint{peer.address().to_string(), peer.port()};
    if (std::find(recipients.begin(), recipients.end(), endpoint) !=
        recipients.end())
      this->SendTo(bytes, peer);
  }
}

void PeerLink::Send(const forward::LoadMessage& message) {
  this->SendToPeers(forward::EncodeLoadMessage(message));
}

void PeerLink::SendToPeers(std::string_view bytes) {
  for (const udp::endpoint& peer : this->peer_endpoints)
    this->SendTo(bytes, peer);
}

void PeerLink::SendTo(std::string_view bytes, const udp::endpoint& peer) {
  // A lost datagram is not resent; the next one replaces it.
  error_code ignored;
  this->socket.send_to(asio::buffer(bytes.data(), bytes.size()), peer, 0,
                       ignored);
}

}  // namespace cranberryhill::gateway
