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

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
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

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_INTERNAL_HTTP_EXCHANGE_H_
