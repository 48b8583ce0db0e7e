#include "cranberryhill/http2/internal/transport.h"

#include <arpa/inet.h>
#include <cxxtools/connectable.h>
#include <cxxtools/net/tcpserver.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/selector.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace cranberryhill {
namespace {

constexpr size_t kReadBytes = size_t{32} * 1024;

class SocketTransport : public Transport,
                        public cxxtools::Connectable,
                        public std::enable_shared_from_this<SocketTransport> {
 public:
  SocketTransport(EventLoop& loop, TransportHandler& handler)
      : loop(loop), handler(handler) {}

  void Connect(const IpAddress& address,
               absl::Duration timeout,
               absl::Duration user_timeout) override;
  bool Accept(cxxtools::net::TcpServer& server) override;
  void StartReading() override { this->BeginRead(); }
  bool writing() const override { return this->write_pending; }
  void Write(std::string bytes) override;
  void Freeze() override;
  void Close() override;
  std::string PeerAddress() const override;

 private:
  void WireSignals();
  void ConfigureSocket();
  void ResetOnClose();
  void OnSocketConnected(cxxtools::net::TcpSocket& socket);
  void OnInput(cxxtools::IODevice& device);
  void OnOutput(cxxtools::IODevice& device);
  void BeginRead();
  void BeginWrite();
  void Fail(CloseReason reason, const std::string& message);
  void FailLater(CloseReason reason, const std::string& message);

  EventLoop& loop;
  TransportHandler& handler;
  cxxtools::net::TcpSocket socket;
  absl::Duration user_timeout;
  bool connected = false;
  bool closed = false;
  bool write_pending = false;
  bool frozen = false;
  std::array<char, kReadBytes> read_buffer;
  std::string write_buffer;
  size_t write_offset = 0;
};

void SocketTransport::WireSignals() {
  cxxtools::connect(this->socket.connected, *this,
                    &SocketTransport::OnSocketConnected);
  cxxtools::connect(this->socket.inputReady, *this, &SocketTransport::OnInput);
  cxxtools::connect(this->socket.outputReady, *this,
                    &SocketTransport::OnOutput);
  this->loop.selector().add(this->socket);
}

void SocketTransport::ConfigureSocket() {
  int fd = this->socket.getFd();
  int no_delay = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
  auto timeout =
      static_cast<unsigned>(absl::ToInt64Milliseconds(this->user_timeout));
  if (timeout > 0)
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

// Requests that were given up with the connection do not arrive later. Holds
// for the end of this process, too.
void SocketTransport::ResetOnClose() {
  linger mode{1, 0};
  setsockopt(this->socket.getFd(), SOL_SOCKET, SO_LINGER, &mode, sizeof(mode));
}

void SocketTransport::Connect(const IpAddress& address,
                              absl::Duration timeout,
                              absl::Duration user_timeout) {
  this->user_timeout = user_timeout;
  std::weak_ptr<SocketTransport> weak = this->weak_from_this();
  this->loop.RunAfter(timeout, [weak] {
    auto self = weak.lock();
    if (self && !self->connected)
      self->Fail(CloseReason::kConnectFailed, "connect timeout");
  });
  std::string error;
  bool at_once = false;
  try {
    this->WireSignals();
    at_once = this->socket.beginConnect(address.ip, address.port);
  } catch (const std::exception& failure) {
    error = failure.what();
  }
  if (!error.empty()) {
    this->FailLater(CloseReason::kConnectFailed, error);
  } else if (at_once) {
    this->loop.Post([weak] {
      if (auto self = weak.lock())
        self->OnSocketConnected(self->socket);
    });
  }
}

bool SocketTransport::Accept(cxxtools::net::TcpServer& server) {
  try {
    this->socket.accept(server);
    this->connected = true;
    this->ConfigureSocket();
    this->WireSignals();
  } catch (const std::exception&) {
    return false;
  }
  return true;
}

void SocketTransport::OnSocketConnected(cxxtools::net::TcpSocket& /*socket*/) {
  auto self = this->shared_from_this();
  if (this->closed || this->connected)
    return;
  try {
    this->socket.endConnect();
    this->ConfigureSocket();
    this->ResetOnClose();
  } catch (const std::exception& failure) {
    this->Fail(CloseReason::kConnectFailed, failure.what());
    return;
  }
  this->connected = true;
  this->handler.OnConnected();
}

void SocketTransport::BeginRead() {
  if (this->closed)
    return;
  try {
    this->socket.beginRead(this->read_buffer.data(), this->read_buffer.size());
  } catch (const std::exception& failure) {
    this->FailLater(CloseReason::kConnectionLost, failure.what());
  }
}

void SocketTransport::OnInput(cxxtools::IODevice& /*device*/) {
  auto self = this->shared_from_this();
  if (this->closed || this->frozen || !this->connected)
    return;
  size_t count = 0;
  try {
    count = this->socket.endRead();
  } catch (const std::exception& failure) {
    this->Fail(CloseReason::kConnectionLost, failure.what());
    return;
  }
  if (count > 0)
    this->handler.OnBytes({this->read_buffer.data(), count});
  if (this->closed)
    return;
  if (this->socket.eof()) {
    this->Fail(CloseReason::kConnectionLost, "closed by the peer");
    return;
  }
  this->BeginRead();
}

void SocketTransport::Write(std::string bytes) {
  this->write_buffer = std::move(bytes);
  this->write_offset = 0;
  this->write_pending = true;
  this->BeginWrite();
}

void SocketTransport::BeginWrite() {
  if (this->closed)
    return;
  try {
    this->socket.beginWrite(this->write_buffer.data() + this->write_offset,
                            this->write_buffer.size() - this->write_offset);
  } catch (const std::exception& failure) {
    this->FailLater(CloseReason::kConnectionLost, failure.what());
  }
}

void SocketTransport::OnOutput(cxxtools::IODevice& /*device*/) {
  auto self = this->shared_from_this();
  if (this->closed || this->frozen || !this->write_pending)
    return;
  try {
    this->write_offset += this->socket.endWrite();
  } catch (const std::exception& failure) {
    this->Fail(CloseReason::kConnectionLost, failure.what());
    return;
  }
  if (this->write_offset < this->write_buffer.size()) {
    this->BeginWrite();
    return;
  }
  this->write_pending = false;
  this->handler.OnWritten();
}

void SocketTransport::Fail(CloseReason reason, const std::string& message) {
  if (this->closed)
    return;
  this->Close();
  this->handler.OnTransportClosed(reason, message);
}

// Keeps the handler from being called inside its own call.
void SocketTransport::FailLater(CloseReason reason,
                                const std::string& message) {
  this->loop.Post([weak = this->weak_from_this(), reason, message] {
    if (auto self = weak.lock())
      self->Fail(reason, message);
  });
}

void SocketTransport::Freeze() {
  this->frozen = true;
  // The selector may be sending a signal of the socket now.
  this->loop.Post([weak = this->weak_from_this()] {
    auto self = weak.lock();
    if (self && !self->closed)
      self->loop.selector().remove(self->socket);
  });
}

void SocketTransport::Close() {
  if (this->closed)
    return;
  this->closed = true;
  // The socket may be sending a signal now, so it is closed later.
  this->loop.Post([self = this->shared_from_this()] {
    try {
      self->socket.close();
    } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch)
      // The descriptor is released in any case.
    }
  });
}

std::string SocketTransport::PeerAddress() const {
  // TcpSocket::getPeerAddr() has no port.
  sockaddr_storage peer{};
  socklen_t size = sizeof(peer);
  auto* generic = reinterpret_cast<sockaddr*>(&peer);
  if (getpeername(this->socket.getFd(), generic, &size) != 0)
    return {};
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (peer.ss_family == AF_INET6) {
    auto* in6 = reinterpret_cast<sockaddr_in6*>(&peer);
    inet_ntop(AF_INET6, &in6->sin6_addr, text.data(), text.size());
    return IpAddress{text.data(), ntohs(in6->sin6_port)}.ToString();
  }
  auto* in4 = reinterpret_cast<sockaddr_in*>(&peer);
  inet_ntop(AF_INET, &in4->sin_addr, text.data(), text.size());
  return IpAddress{text.data(), ntohs(in4->sin_port)}.ToString();
}

}  // namespace

std::shared_ptr<Transport> NewTransport(EventLoop& loop,
                                        TransportHandler& handler) {
  return std::make_shared<SocketTransport>(loop, handler);
}

}  // namespace cranberryhill
