#ifndef CRANBERRYHILL_CALLER_REFUSAL_H_
#define CRANBERRYHILL_CALLER_REFUSAL_H_

// A refusal is the error answer to a request that gets no normal answer.
//
//   Refusal refusal = MakeRefusal(RefusalCode::kOverloaded,
//                                 RefusalOutcome::kNotRun, "queue is full");
//   refusal.retry_after = absl::Seconds(1);
//   Send(refusal.http_status, RefusalBody(refusal), RetryAfterHeader(refusal));

#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill {

/// Whether the refused request may have had an effect.
enum class RefusalOutcome {
  kNotRun,     ///< The request has had no effect and will have none.
  kRunFailed,  ///< The request was started and failed; a repeat may be refused
               ///< too.
  kUnknown,    ///< The request, or an earlier one with its key, may have run.
};

/// The reason of a refusal. Each code has one HTTP status and one name in the
/// JSON body.
enum class RefusalCode {
  kInvalidRequest,    ///< 400, a field is invalid.
  kUnauthorized,      ///< 401, the request names no customer.
  kNotFound,          ///< 404, the path, model or service does not exist.
  kMethodNotAllowed,  ///< 405, the path does not support the method.
  kInProgress,        ///< 409, a request with the same key is running.
  kOutcomeUnknown,    ///< 502, the call may have run.
  kBodyTooLarge,      ///< 413, the body exceeds the limit.
  kKeyReused,         ///< 422, the key was used for a different request.
  kStreamNeedsHttp2,  ///< 400, streams are served on the HTTP/2 port only.
  kCustomerLimit,     ///< 429, the customer's own limit is reached.
  kOverloaded,        ///< 503, there is no capacity to run it in time.
  kNoBackendServer,   ///< 503, no backend server can be reached.
  kTableUnavailable,  ///< 503, the table service did not confirm a claim.
  kShuttingDown,      ///< 503, this instance is shutting down.
  kDeadlineExpired,   ///< 504, the deadline passed.
  kCrashesEngines,    ///< 422, the request crashed several engines.
  kBackendFailed,     ///< 502, the backend server failed.
  kInternal,          ///< 500, an internal error.
};

/// An error answer to a caller.
struct Refusal {
  RefusalCode code = RefusalCode::kInternal;
  RefusalOutcome outcome = RefusalOutcome::kUnknown;
  std::string message;
  std::string field;  ///< The invalid field, or empty.
  int http_status = 500;
  std::optional<absl::Duration> retry_after;
};

/// @return The name of `code` in the JSON body, such as "invalid_request".
std::string_view RefusalCodeName(RefusalCode code);

/// @return "not_run", "run_failed" or "unknown".
std::string_view RefusalOutcomeName(RefusalOutcome outcome);

/// @return The HTTP status that belongs to `code`.
int HttpStatusOf(RefusalCode code);

/// @return A refusal with the HTTP status of `code` and no Retry-After.
Refusal MakeRefusal(RefusalCode code,
                    RefusalOutcome outcome,
                    std::string_view message,
                    std::string_view field = "");

/// @return The refusal of a request that failed with `error` before any part of
/// it ran. Its outcome is kNotRun, and its message has the field, value and
/// rule of `error`.
Refusal RefusalFromError(const Error& error);

/// @return `{"error":{"code","outcome","message","field"}}`. An empty "field"
/// is omitted, and invalid UTF-8 is replaced.
std::string RefusalBody(const Refusal& refusal);

/// @return The value of the Retry-After header in whole seconds, rounded up,
/// or an empty string if the header is omitted.
std::string RetryAfterHeader(const Refusal& refusal);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLER_REFUSAL_H_
