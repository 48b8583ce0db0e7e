#ifndef CRANBERRYHILL_HTTP2_HTTP2_CLIENT_H_
#define CRANBERRYHILL_HTTP2_HTTP2_CLIENT_H_

// HTTP/2 cleartext client on an event loop, with one connection for each
// backend server address.
//
//   auto client = NewHttp2Client(*loop);
//   auto connection = client->Connect({"10.0.0.7", 9000}, {});
//   Http2Callbacks callbacks;
//   callbacks.on_data = [](std::string_view chunk) { ... };
//   callbacks.on_end = [] { ... };
//   callbacks.on_failed = [](const Http2Failure& failure) { ... };
//   auto stream = connection->Send({"GET", "/v1/status", {}, ""}, callbacks);
//
// All functions and callbacks belong to the thread of the event loop. A
// callback may destroy any object of this library except the event loop.

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/http2/event_loop.h"
#include "cranberryhill/http2/http2_types.h"

namespace cranberryhill {

struct Http2ClientRequest {
  std::string method;
  std::string path;
  Headers headers;
  std::string body;
  /// Runs right before the first byte of the request is handed to the socket,
  /// for a last look at a clock. The request fails with kNotAllowed and
  /// nothing is sent when it returns false. It must not call this library.
  std::function<bool()> allow_send = nullptr;
};

/// How a request failed.
struct Http2Failure {
  CloseReason reason = CloseReason::kConnectionLost;
  /// Whether a byte of the request may have left this process. False is a
  /// promise; kRefused with true means that the peer gave the promise.
  bool may_have_been_sent = false;
  /// Code of the peer's RST_STREAM or GOAWAY, otherwise kNoError.
  Http2Error code = Http2Error::kNoError;
  std::string message;
};

/// Each may be empty. Exactly one of on_end and on_failed runs, last, unless
/// the stream is cancelled; none of them runs inside Send().
struct Http2Callbacks {
  std::function<void(int status, const Headers& headers)> on_headers;
  std::function<void(std::string_view chunk)> on_data;
  std::function<void()> on_end;
  std::function<void(const Http2Failure& failure)> on_failed;
};

/// A request that was sent or waits for its connection. Dropping the last
/// reference does not cancel the request.
class Http2Stream {
 public:
  virtual ~Http2Stream() = default;

  /// Sends RST_STREAM with kCancel when the request was sent. No callback runs
  /// after this call.
  virtual void Cancel() = 0;

  /// Stops on_data, on_end and flow-control credit. At most
  /// Http2Limits::stream_buffer_bytes are buffered meanwhile. A failure is
  /// reported at once and drops the buffered bytes.
  virtual void Pause() = 0;

  /// Ends Pause(); buffered bytes are delivered later in the loop.
  virtual void Resume() = 0;

  /// @return As in Http2Failure, for a request in progress.
  virtual bool may_have_been_sent() const = 0;  // NOLINT
};

enum class Http2ConnectionState {
  kConnecting,
  kOpen,
  kBackoff,  ///< Waits to reconnect; requests fail at once.
  kClosed,   ///< Closed for good: Close(), or a one-time connection ended.
};

struct Http2ConnectionOptions {
  Http2Limits limits;
  absl::Duration connect_timeout = absl::Seconds(1);
  /// Reconnect waits start here and double up to the maximum.
  absl::Duration min_backoff = absl::Milliseconds(100);
  absl::Duration max_backoff = absl::Seconds(2);
  /// False makes a one-time connection, which is not opened again.
  bool reconnect = true;
  /// TCP_USER_TIMEOUT of the socket; 0 keeps the system's default.
  absl::Duration tcp_user_timeout = absl::ZeroDuration();
  /// Requests that may wait until the connection is open, or until the peer
  /// allows one more stream; further ones fail with kQueueFull.
  size_t max_queued = 1000;
};

/// A connection to one backend server address. The destructor closes it;
/// requests then fail with kClosedLocally, later in the loop.
class Http2Connection {
 public:
  virtual ~Http2Connection() = default;

  /// Sends a request, or queues it while the connection is being opened or
  /// the peer's limit of concurrent streams is reached.
  /// @return The stream, never null.
  virtual std::shared_ptr<Http2Stream> Send(Http2ClientRequest request,
                                            Http2Callbacks callbacks) = 0;

  virtual Http2ConnectionState state() const = 0;  // NOLINT

  /// @return Round-trip time of the last answered ping, or none.
  virtual std::optional<absl::Duration> last_round_trip() const = 0;  // NOLINT

  /// @return Requests in progress or waiting.
  virtual size_t active_streams() const = 0;  // NOLINT

  /// `changed` runs after each change of state, with the reason when the
  /// connection was lost or could not be opened.
  virtual void OnStateChange(
      std::function<void(Http2ConnectionState state,
                         std::optional<CloseReason> reason)> changed) = 0;

  /// Closes the connection for good.
  virtual void Close() = 0;
};

class Http2Client {
 public:
  virtual ~Http2Client() = default;

  /// Starts to open a connection. It has its own socket, also when another
  /// connection to the same address exists.
  virtual std::unique_ptr<Http2Connection> Connect(
      const IpAddress& address,
      const Http2ConnectionOptions& options) = 0;
};

/// @param loop Must outlive the client and its connections.
std::unique_ptr<Http2Client> NewHttp2Client(EventLoop& loop);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_HTTP2_HTTP2_CLIENT_H_
