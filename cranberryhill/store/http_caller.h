#ifndef CRANBERRYHILL_STORE_HTTP_CALLER_H_
#define CRANBERRYHILL_STORE_HTTP_CALLER_H_

// Interface for calls to one HTTP server, one at a time.

#include <cstddef>
#include <functional>
#include <string>

#include "absl/time/time.h"
#include "cranberryhill/http1/message.h"

namespace cranberryhill::gateway {

/// Result of a call. Status 0 means that there was no answer; a write may
/// nevertheless have taken effect.
struct HttpResult {
  int status = 0;
  std::string body;
  std::string reason;  ///< Why there is no answer.
  bool sent = true;    ///< False when no connection could be made.
  http1::HeaderList headers = {};
};

/// Not thread-safe. At most one call may be in progress.
class HttpCaller {
 public:
  using Callback = std::function<void(HttpResult)>;

  virtual ~HttpCaller() = default;

  /// Sends a request. If its answer does not begin in time, or then arrives too
  /// slowly, the call fails and its connection is closed.
  /// @param timeout Longest time until the answer begins.
  /// @param done Called once, unless the call is cancelled or this object is
  ///     destroyed first.
  virtual void Call(const http1::OutgoingRequest& request,
                    absl::Duration timeout,
                    Callback done) = 0;

  /// Cancels the call in progress; its callback is not called.
  virtual void Cancel() = 0;

  /// @return True while the answer to the call in progress is being received.
  virtual bool IsReceiving() const = 0;

  /// @return Bytes of the body of the answer in progress received so far.
  virtual size_t received_bytes() const = 0;  // NOLINT
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_HTTP_CALLER_H_
