#include "cranberryhill/gateway/peer_link.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <utility>

namespace cranberryhill::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

constexpr std::string_view kRowPrefix = "instance/";
/// A prompt of a thousand tokens takes 10 ms to read, so a load that is 60 ms
/// old still tells busy engines from idle ones.
constexpr std::chrono::milliseconds kInterval(60);
/// With many instances each sends less often: a message to 60 peers takes
/// about as long as serving one request.
constexpr std::chrono::milliseconds kIntervalPerPeer(6);
/// News of a prompt that was just sent goes out this soon: an engine reads most
/// prompts within 100 ms, and other instances choose among the same engines.
constexpr absl::Duration kNewsInterval = absl::Milliseconds(10);
constexpr absl::Duration kNewsIntervalPerPeer = absl::Microseconds(600);
/// Requests that crashed replicas named in one message; condemned ones first.
constexpr size_t kMaxCrashes = 16;
/// Without engine_loads messages are this far apart; they tell that the instance lives
/// and what it knows of the store.
constexpr absl::Duration kIdleInterval = absl::Milliseconds(400);

}  // namespace

PeerLink::PeerLink(asio::io_context& io,
                   std::string instance,
                   Endpoint address,
                   ControlTable& table,
                   forward::PeerLoadSync& share,
                   CrashQuarantine& crashes,
                   forward::ReplicaSet& replicas,
                   const OrderDesk& orders,
                   TableVersions& versions,
                   EventLog& log,
                   const Clock& clock)
    : instance(std::move(instance)),
      address(std::move(address)),
      table(table),
      share(share),
      crashes(crashes),
      replicas(replicas),
      orders(orders),
      versions(versions),
      log(log),
      clock(clock),
      socket(io),
      timer(io),
      news_timer(io) {}

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
  this->ScheduleSend();
  return {};
}

void PeerLink::OnTableChanged() {
  this->endpoints.clear();
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
    this->endpoints.emplace_back(asio::ip::make_address(peer.value().ip),
                                 peer.value().port);
  }
}

void PeerLink::Announce() {
  if (!this->table.known())
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
  // Repeated with the next round until the row is seen in the table.
  this->table.Commit({{{key, version}}, {{key, text}}, {}},
                     [](const CommitOutcome&) {});
}

void PeerLink::Receive() {
  this->socket.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error)
      return;
    while (true) {
      error_code receive_error;
      udp::endpoint from;
      size_t bytes = this->socket.receive_from(asio::buffer(this->buffer), from,
                                               0, receive_error);
      if (receive_error)
        break;
      // An instance that has just started is heard before its row is read.
      if (std::find(this->endpoints.begin(), this->endpoints.end(), from) ==
          this->endpoints.end())
        this->endpoints.push_back(from);
      auto message = Capture([&] {
        return forward::DecodeLoadMessage({this->buffer.data(), bytes});
      });
      if (message.ok() && this->share.Merge(message.value(), this->replicas)) {
        this->crashes.Merge(message.value().crashes, this->clock.Now());
        this->versions.OnPeerVersions(message.value().table_versions);
      }
      if (!message.ok())
        this->log.Write(LogEvent("peer_message_unreadable")
                            .Add("from", from.address().to_string())
                            .Add("reason", message.error().ToString()));
    }
    this->Receive();
  });
}

void PeerLink::SendSoon() {
  if (std::exchange(this->news_pending, true))
    return;
  absl::Duration least =
      std::max(kNewsInterval,
               kNewsIntervalPerPeer * static_cast<int>(this->endpoints.size()));
  absl::Duration wait = this->news_sent_at + least - this->clock.Now();
  this->news_timer.expires_after(
      absl::ToChronoMicroseconds(std::max(wait, absl::ZeroDuration())));
  this->news_timer.async_wait([this](error_code error) {
    this->news_pending = false;
    if (!error)
      this->SendNews();
  });
}

void PeerLink::ScheduleSend() {
  auto interval = std::max(
      kInterval, kIntervalPerPeer * static_cast<int>(this->endpoints.size()));
  this->timer.expires_after(interval);
  this->timer.async_wait([this](error_code error) {
    if (error)
      return;
    this->Announce();
    this->SendToAll();
    this->ScheduleSend();
  });
}

void PeerLink::SendToAll() {
  this->share.RemoveSilentPeers(this->replicas);
  this->versions.OnRank(this->share.Rank());
  forward::LoadMessage message =
      this->share.BuildFullMessage(this->replicas, this->orders.Changing());
  message.crashes = this->crashes.Entries(kMaxCrashes, this->clock.Now());
  message.table_versions = this->versions.KnownVersions();
  bool idle = message.engine_loads.empty() && message.cached_prefixes.empty() &&
              message.engines_changing_role.empty();
  this->idle_rounds = idle ? this->idle_rounds + 1 : 0;
  // The first messages without engine_loads tell the peers that it has ended.
  absl::Time now = this->clock.Now();
  if (this->idle_rounds > 2 && now - this->sent_at < kIdleInterval)
    return;
  this->sent_at = now;
  this->Send(message);
}

void PeerLink::SendNews() {
  forward::LoadMessage message = this->share.BuildPartialMessage(this->replicas);
  if (message.engine_loads.empty())
    return;
  this->news_sent_at = this->clock.Now();
  this->Send(message);
}

void PeerLink::Send(const forward::LoadMessage& message) {
  std::string bytes = forward::EncodeLoadMessage(message);
  for (const udp::endpoint& peer : this->endpoints) {
    // A datagram that is lost is replaced by the next one.
    error_code ignored;
    this->socket.send_to(asio::buffer(bytes), peer, 0, ignored);
  }
}

}  // namespace cranberryhill::gateway
