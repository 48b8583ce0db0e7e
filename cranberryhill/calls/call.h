#ifndef CRANBERRYHILL_CALLS_CALL_H_
#define CRANBERRYHILL_CALLS_CALL_H_

// A call to a plain service and its answer.
//
//   ServiceCall call{.service = "bookings", .method = "POST", ...};

#include <functional>
#include <string>
#include <variant>

#include "absl/time/time.h"
#include "cranberryhill/caller/refusal.h"

namespace cranberryhill {

struct ServiceCall {
  std::string customer;         ///< As checked by ParseCallerHeaders(); no '/'.
  std::string idempotency_key;  ///< Required for at-most-once calls.
  std::string service;          ///< Name of the configured service.
  std::string method;           ///< Such as "POST".
  std::string path;             ///< Path and query at the backend server.
  std::string content_type;
  std::string body;
  absl::Time deadline = absl::InfiniteFuture();  ///< On the local Clock.
  /// The caller says that it sent no request with this key before.
  bool first_attempt = false;
};

/// The backend server's answer, whatever its status.
struct CallResult {
  int status = 0;
  std::string content_type;
  std::string body;

  bool operator==(const CallResult&) const = default;
};

using CallAnswer = std::variant<CallResult, Refusal>;
using CallCallback = std::function<void(const CallAnswer&)>;

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_H_
