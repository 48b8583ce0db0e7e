#ifndef CRANBERRYHILL_HTTP2_HTTP2_SERVER_H_
#define CRANBERRYHILL_HTTP2_HTTP2_SERVER_H_

// HTTP/2 cleartext server (prior knowledge) on an event loop.
//
//   auto handler = [](std::shared_ptr<Http2Request> request,
//                     std::shared_ptr<Http2ResponseWriter> response) {
//     request->ReadWhole([response](std::string body) {
//       response->SendHeaders(200, {{"content-type", "text/plain"}});
//       response->SendBody(body);
//       response->End();
//     });
//   };
//   BOOST_LEAF_AUTO(server, ListenHttp2(*loop, {"127.0.0.1", 0}, {}, handler));
//
// All functions and callbacks belong to the thread of the event loop. A
// callback may destroy any object of this library except the event loop and
// the server.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "cranberryhill/base/result.h"
#include "cranberryhill/http2/event_loop.h"
#include "cranberryhill/http2/http2_types.h"

namespace cranberryhill {

/// A request whose header fields have arrived.
class Http2Request {
 public:
  virtual ~Http2Request() = default;

  virtual const std::string& method() const = 0;     // NOLINT
  virtual const std::string& path() const = 0;       // NOLINT
  virtual const std::string& authority() const = 0;  // NOLINT
  virtual const Headers& headers() const = 0;        // NOLINT

  /// @return Address of the caller as "IP:PORT", empty when unknown.
  virtual const std::string& peer() const = 0;  // NOLINT

  /// Delivers the body when it is complete. A body above the limit is answered
  /// with 413 by the server; `done` is then not called and the writer reports
  /// kBodyTooLarge. Call either this or ReadStreamed(), at most once. `done`
  /// may run inside this call.
  virtual void ReadWhole(std::function<void(std::string body)> done) = 0;

  /// Delivers the body in chunks; the last call has `end` set and may have an
  /// empty chunk. The limit applies as for ReadWhole().
  virtual void ReadStreamed(
      std::function<void(std::string_view chunk, bool end)> on_chunk) = 0;
};

/// The response of one request. May be kept as long as needed: after the
/// stream has ended, all functions do nothing. When the last reference is
/// dropped before End() or Reset(), the stream is reset with kInternalError.
class Http2ResponseWriter {
 public:
  virtual ~Http2ResponseWriter() = default;

  /// Sends status and header fields, once, before any body.
  /// @return False when the stream has ended or headers were sent already.
  virtual bool SendHeaders(int status, const Headers& headers) = 0;

  /// Queues a part of the body. The chunk is always accepted while the stream
  /// is open; a writer that ignores the result can use memory without bound.
  /// @return False when the stream has ended, or when the send buffer has
  ///     reached its limit and the caller should wait for OnWritable().
  virtual bool SendBody(std::string_view chunk) = 0;

  /// Ends the response after the queued body.
  virtual void End() = 0;

  /// Drops the queued body and sends RST_STREAM.
  virtual void Reset(Http2Error code) = 0;

  /// @return Bytes of the body that are not yet handed to the socket.
  virtual size_t buffered_bytes() const = 0;  // NOLINT

  /// @return Whether the stream can still take headers or body.
  virtual bool open() const = 0;  // NOLINT

  /// `closed` runs once when the stream ends for another reason than End() or
  /// Reset() of this writer: the caller reset it, or the connection closed. It
  /// runs later in the loop when that has happened before.
  virtual void OnClosed(std::function<void(CloseReason)> closed) = 0;

  /// `writable` runs each time the send buffer falls below half of its limit
  /// after SendBody() reported it full.
  virtual void OnWritable(std::function<void()> writable) = 0;
};

struct Http2ServerOptions {
  Http2Limits limits;
  /// Largest request body; larger ones are answered with 413.
  size_t max_body_bytes = size_t{8} * 1024 * 1024;
  /// Connections above this number are closed when they are accepted.
  size_t max_connections = 10000;
};

/// Runs when the header fields of a request have arrived.
using Http2Handler =
    std::function<void(std::shared_ptr<Http2Request> request,
                       std::shared_ptr<Http2ResponseWriter> response)>;

class Http2Server {
 public:
  /// Closes the listener and all connections; writers report kClosedLocally.
  virtual ~Http2Server() = default;

  /// @return The port that is listened on, also when 0 was asked for.
  virtual uint16_t port() const = 0;  // NOLINT

  /// Graceful shutdown: refuses connections, sends GOAWAY, lets open streams
  /// finish and closes each connection after its last stream.
  virtual void Shutdown() = 0;

  /// Fault for stand-ins and tests: the connections that are open now are
  /// neither read nor written any more, and their peers are not told. New
  /// connections work. Does nothing unless overridden.
  virtual void FreezeOpenConnections() {}

  virtual size_t connections() const = 0;  // NOLINT

  /// @return Requests whose stream is open, over all connections.
  virtual size_t active_streams() const = 0;  // NOLINT
};

/// Starts a server.
/// @param loop Must outlive the server.
/// @param address Port 0 chooses a free port.
/// @return kUnavailable when the address cannot be listened on.
Result<std::unique_ptr<Http2Server>> ListenHttp2(
    EventLoop& loop,
    const IpAddress& address,
    const Http2ServerOptions& options,
    Http2Handler handler);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_HTTP2_HTTP2_SERVER_H_
