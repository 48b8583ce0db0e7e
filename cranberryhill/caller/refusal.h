#ifndef CRANBERRYHILL_CALLER_REFUSAL_H_
#define CRANBERRYHILL_CALLER_REFUSAL_H_

// Refusals: what a caller is told when its request gets no normal answer.
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

/// What is known about the effect of the refused request.
enum class RefusalOutcome {
  kNotRun,     ///< This request had no effect and will have none.
  kRunFailed,  ///< It was started and failed; a repeat may be refused too.
  kUnknown,    ///< It, or an earlier request with its key, may have run.
};

/// Reason of a refusal; each has one HTTP status and one name in the JSON.
enum class RefusalCode {
  kInvalidRequest,    ///< 400, a field breaks a rule.
  kUnauthorized,      ///< 401, no customer is named.
  kNotFound,          ///< 404, no such path, model or service.
  kMethodNotAllowed,  ///< 405.
  kInProgress,        ///< 409, a request with the same key is running.
  kOutcomeUnknown,    ///< 502, the call may have run.
  kBodyTooLarge,      ///< 413.
  kKeyReused,         ///< 422, another body came with the same key.
  kStreamNeedsHttp2,  ///< 400, streams are served on the HTTP/2 port only.
  kCustomerLimit,     ///< 429, the customer's own limit is used up.
  kOverloaded,        ///< 503, no capacity in time.
  kNoBackendServer,   ///< 503, no backend server can be reached.
  kTableUnavailable,  ///< 503, the table service does not answer.
  kShuttingDown,      ///< 503, this instance is leaving.
  kDeadlineExpired,   ///< 504.
  kCrashesEngines,    ///< 422, the request crashed several engines.
  kBackendFailed,     ///< 502, the backend server failed.
  kInternal,          ///< 500.
};

struct Refusal {
  RefusalCode code = RefusalCode::kInternal;
  RefusalOutcome outcome = RefusalOutcome::kUnknown;
  std::string message;
  std::string field;  ///< The offending field; may be empty.
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

/// @return The refusal of a request that broke a rule before anything was
/// done for it: field, value and rule of `error`, outcome not_run.
Refusal RefusalFromError(const Error& error);

/// @return `{"error":{"code","outcome","message","field"}}`; "field" is left
/// out when empty, invalid UTF-8 is replaced.
std::string RefusalBody(const Refusal& refusal);

/// @return The value of the Retry-After header in whole seconds, rounded up,
/// or an empty string when the header is left out.
std::string RetryAfterHeader(const Refusal& refusal);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLER_REFUSAL_H_
