#ifndef CRANBERRYHILL_HTTP2_HTTP2_TYPES_H_
#define CRANBERRYHILL_HTTP2_HTTP2_TYPES_H_

// Types that the HTTP/2 client and server share.
//
//   Headers headers = {{"content-type", "application/json"}};
//   std::string_view type = FindHeader(headers, "content-type");

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill {

/// One header field. Names are in lower case; pseudo-headers are not included.
struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

/// @return The value of the first field `name`, or an empty view.
std::string_view FindHeader(const Headers& headers, std::string_view name);

/// Error codes of RST_STREAM and GOAWAY (RFC 9113, section 7).
enum class Http2Error : uint32_t {
  kNoError = 0,
  kProtocolError = 1,
  kInternalError = 2,
  kFlowControlError = 3,
  kStreamClosed = 5,
  kRefusedStream = 7,
  kCancel = 8,
  kEnhanceYourCalm = 11,
};

/// Why a stream or a connection ended early.
enum class CloseReason {
  kConnectFailed,   ///< Refused, unreachable, or the connect timeout passed.
  kConnectionLost,  ///< The peer closed the connection, or an I/O error.
  kPingTimeout,     ///< The peer did not answer a ping in time.
  kProtocolError,   ///< The peer sent bytes that are not valid HTTP/2.
  kReset,           ///< The peer sent RST_STREAM.
  kRefused,         ///< The peer declared that it did not process the request.
  kNotAllowed,      ///< `allow_send` of the request returned false.
  kQueueFull,       ///< Too many requests wait for the connection.
  kBodyTooLarge,    ///< The request body exceeded the limit (status 413).
  kClosedLocally,   ///< Cancelled, reset or closed by this side.
};

/// @return A stable name for logs and metrics.
std::string_view CloseReasonName(CloseReason reason);

/// Limits that both sides of a connection observe.
struct Http2Limits {
  /// Interval of PING frames while streams are open.
  absl::Duration ping_interval = absl::Seconds(1);
  /// Interval of PING frames on a connection without open streams.
  absl::Duration idle_ping_interval = absl::Seconds(10);
  /// The connection is closed when a PING has no response for this long.
  absl::Duration ping_timeout = absl::Seconds(3);
  /// Streams that the peer may have open on one connection.
  uint32_t max_concurrent_streams = 1000;
  /// Received bytes per stream that wait for the application, at least 65,535;
  /// also the limit above which writers report a full send buffer.
  uint32_t stream_buffer_bytes = 256 * 1024;
  /// Received bytes per connection that wait for the application.
  uint32_t connection_buffer_bytes = 16 * 1024 * 1024;
  /// Size of the header fields of one message, names and values.
  uint32_t max_header_bytes = 64 * 1024;
};

/// Address of the form "10.0.0.1:8080".
struct IpAddress {
  std::string ip;
  uint16_t port = 0;

  std::string ToString() const;
};

/// Parses "IP:PORT". IPv6 addresses are written in brackets.
/// @return kInvalidArgument when the text has another form.
Result<IpAddress> ParseIpAddress(std::string_view text);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_HTTP2_HTTP2_TYPES_H_
