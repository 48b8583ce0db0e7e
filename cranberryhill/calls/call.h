#ifndef CRANBERRYHILL_CALLS_CALL_H_
#define CRANBERRYHILL_CALLS_CALL_H_

// A call to a configured service, such as "bookings", and its answer.
//
//   ServiceCall call{.service = "bookings", .method = "POST", ...};

#include <functional>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "cranberryhill/caller/refusal.h"

namespace cranberryhill {

struct ServiceCall {
  std::string customer;  ///< Checked by ParseCallerHeaders(); contains no '/'.
  std::string idempotency_key;  ///< Required for at-most-once calls.
  std::string service;          ///< Name of the configured service.
  std::string method;           ///< Such as "POST".
  std::string path;  ///< Path and query, sent on to the backend server.
  std::string content_type;
  std::string body;
  absl::Time deadline = absl::InfiniteFuture();  ///< On the local Clock.
  /// The caller states that it has sent no earlier request with this key.
  bool first_attempt = false;
};

/// The backend server's HTTP response, whatever its status.
struct CallResult {
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const CallResult&) const = default;
};

/// The backend server's response, or the refusal that the caller gets instead.
using CallAnswer = std::variant<CallResult, Refusal>;
using CallCallback = std::function<void(const CallAnswer&)>;

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_H_
