#ifndef CRANBERRYHILL_CALLS_INTERNAL_HTTP_EXCHANGE_H_
#define CRANBERRYHILL_CALLS_INTERNAL_HTTP_EXCHANGE_H_

// Sends one HTTP/1.1 request at most once, on a new connection.
//
// cxxtools::http::Client is not suitable. After an explicit connect() it opens
// a second connection and writes the request again if the first one ends
// without a response (seen with cxxtools 3.0). Without connect() it does not
// distinguish a failed connect from a lost response.
//
//   SendOutcome outcome =
//       RunHttpExchange(address, call, limits, may_send, clock);

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/calls/call.h"
#include "cranberryhill/calls/call_sender.h"
#include "cranberryhill/calls/service_client.h"

namespace cranberryhill {

struct HttpExchangeLimits {
  absl::Duration connect_timeout;
  absl::Duration answer_timeout;
  size_t max_answer_bytes = 0;
};

/// Blocks until the complete response is read, a limit is exceeded or the
/// deadline passes. Thread-safe if `clock` is thread-safe.
SendOutcome RunHttpExchange(const ServiceAddress& address,
                            const ServiceCall& call,
                            const HttpExchangeLimits& limits,
                            const MaySend& may_send,
                            const Clock& clock);

/// Parses one HTTP/1.1 response from the bytes received.
class HttpResponseReader {
 public:
  explicit HttpResponseReader(size_t max_bytes) : max_bytes(max_bytes) {}

  /// Adds the next bytes received.
  /// @return True when the response is complete, or kInvalidArgument if it is
  /// malformed or too large.
  Result<bool> Append(std::string_view bytes);

  /// Records that the backend server has closed the connection.
  /// @return True if this completes the response.
  bool OnConnectionClosed();

  const CallResult& result() const { return this->response; }  // NOLINT

 private:
  enum class Framing { kLength, kChunked, kUntilClose };

  Result<bool> ParseHead();
  Result<void> ParseHeaderLine(std::string_view line);
  Result<bool> ParseBody();
  Result<bool> ParseChunks();

  const size_t max_bytes;
  std::string buffer;  // Bytes received but not yet parsed.
  size_t received_bytes = 0;
  bool has_head = false;
  Framing framing = Framing::kUntilClose;
  size_t content_length = 0;
  CallResult response;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_INTERNAL_HTTP_EXCHANGE_H_
