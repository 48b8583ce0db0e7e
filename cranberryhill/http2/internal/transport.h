#ifndef CRANBERRYHILL_HTTP2_INTERNAL_TRANSPORT_H_
#define CRANBERRYHILL_HTTP2_INTERNAL_TRANSPORT_H_

// A non-blocking TCP connection. cxxtools exceptions become close reasons.
// This header is also compiled as C++17, see CMakeLists.txt.
//
//   std::shared_ptr<Transport> transport = NewTransport(loop, handler);
//   transport->Connect(address, absl::Seconds(1), absl::ZeroDuration());

#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/http2/event_loop.h"
#include "cranberryhill/http2/http2_types.h"

namespace cxxtools::net {
class TcpServer;
}

namespace cranberryhill {

/// Receives the events of a transport. A callback may close the transport.
class TransportHandler {
 public:
  virtual ~TransportHandler() = default;

  virtual void OnConnected() = 0;
  virtual void OnBytes(std::string_view bytes) = 0;

  /// The bytes given to Write() are in the socket's buffer.
  virtual void OnWritten() = 0;

  /// The last event; not sent after Close().
  virtual void OnTransportClosed(CloseReason reason,
                                 const std::string& message) = 0;
};

/// Used by the thread of the event loop.
class Transport {
 public:
  virtual ~Transport() = default;

  /// Starts to connect.
  /// @param user_timeout TCP_USER_TIMEOUT, 0 for the system's default.
  virtual void Connect(const IpAddress& address,
                       absl::Duration timeout,
                       absl::Duration user_timeout) = 0;

  /// Takes a connection that `server` has pending.
  /// @return False when that fails.
  virtual bool Accept(cxxtools::net::TcpServer& server) = 0;

  /// Starts to read; called once, after Accept() or in OnConnected().
  virtual void StartReading() = 0;

  /// @return Whether a Write() is in progress.
  virtual bool writing() const = 0;  // NOLINT

  /// Writes all of `bytes`. Requires that writing() is false.
  virtual void Write(std::string bytes) = 0;

  /// Stops all events and leaves the socket open.
  virtual void Freeze() = 0;

  /// Closes the socket; no event follows. What the peer has not received is
  /// discarded on a connection that this side has opened.
  virtual void Close() = 0;

  /// @return The peer's address as "IP:PORT", empty when unknown.
  virtual std::string PeerAddress() const = 0;
};

/// @param handler Must live until Close() or its OnTransportClosed().
std::shared_ptr<Transport> NewTransport(EventLoop& loop,
                                        TransportHandler& handler);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_HTTP2_INTERNAL_TRANSPORT_H_
