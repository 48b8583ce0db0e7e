#include "soak/peer_proxy.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>

#include "soak/link_proxy.h"
#include "soak/soak_address.h"

namespace cranberryhill::soak {

using boost::asio::ip::udp;
using boost::system::error_code;

/// The address at which `from` reaches `to`.
struct PeerProxy::Pipe {
  Pipe(boost::asio::io_context& io, size_t from, size_t to)
      : from(from), to(to), socket(io) {}

  const size_t from;
  const size_t to;
  std::unique_ptr<LinkProxy> requests;  // Null unless they are relayed.
  udp::socket socket;
  udp::endpoint sender;
  std::array<char, 65536> buffer{};
};

PeerProxy::PeerProxy(boost::asio::io_context& io, bool relays)
    : io(io), relays(relays) {}

PeerProxy::~PeerProxy() = default;

bool PeerProxy::Add(uint16_t port) {
  size_t added = this->ports.size();
  this->ports.push_back(port);
  this->cuts.emplace_back();
  bool opened = true;
  for (size_t other = 0; other < added; ++other)
    opened = opened && this->Open(added, other) && this->Open(other, added);
  return opened;
}

bool PeerProxy::Open(size_t from, size_t to) {
  auto pipe = std::make_unique<Pipe>(this->io, from, to);
  error_code error;
  udp::endpoint endpoint(SoakAddress(), 0);
  if (this->relays) {
    pipe->requests = std::make_unique<LinkProxy>(this->io, this->ports[to]);
    // An instance takes the requests of its peers at its address for datagrams.
    endpoint.port(pipe->requests->port());
  }
  pipe->socket.open(endpoint.protocol(), error);
  if (!error)
    pipe->socket.bind(endpoint, error);
  if (!error)
    pipe->socket.non_blocking(true, error);
  if (error)
    return false;
  this->Receive(*pipe);
  this->pipes.push_back(std::move(pipe));
  return true;
}

void PeerProxy::SetCut(size_t instance, PeerCut cut) {
  this->cuts.at(instance) = cut;
  for (const auto& pipe : this->pipes) {
    if (pipe->requests == nullptr)
      continue;
    const PeerCut& from = this->cuts[pipe->from];
    const PeerCut& to = this->cuts[pipe->to];
    LinkState state;
    state.holds_to_target = from.sent || to.received;
    state.holds_from_target = to.sent || from.received;
    pipe->requests->SetState(state);
  }
}

std::string PeerProxy::Address(size_t from, size_t to) const {
  auto pipe = std::find_if(
      this->pipes.begin(), this->pipes.end(),
      [&](const auto& p) { return p->from == from && p->to == to; });
  return fmt::format("{}:{}", SoakAddress().to_string(),
                     (*pipe)->socket.local_endpoint().port());
}

void PeerProxy::Receive(Pipe& pipe) {
  pipe.socket.async_receive_from(
      boost::asio::buffer(pipe.buffer), pipe.sender,
      [this, &pipe](error_code error, size_t bytes) {
        if (error == boost::asio::error::operation_aborted)
          return;
        // Other errors tell of a target that does not run at the moment.
        if (!error)
          this->Forward(pipe, bytes);
        this->Receive(pipe);
      });
}

void PeerProxy::Forward(const Pipe& pipe, size_t bytes) {
  // An instance may have learned this address from another one.
  auto port =
      std::find(this->ports.begin(), this->ports.end(), pipe.sender.port());
  if (port == this->ports.end())
    return;
  auto source = static_cast<size_t>(port - this->ports.begin());
  if (this->cuts[source].sent || this->cuts[pipe.to].received)
    return;
  auto back = std::find_if(
      this->pipes.begin(), this->pipes.end(),
      [&](const auto& p) { return p->from == pipe.to && p->to == source; });
  if (back == this->pipes.end())
    return;
  error_code ignored;  // A datagram that cannot be sent is lost.
  (*back)->socket.send_to(boost::asio::buffer(pipe.buffer.data(), bytes),
                          {SoakAddress(), this->ports[pipe.to]}, 0, ignored);
}

}  // namespace cranberryhill::soak
