#include "cranberryhill/caller/refusal.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

struct CodeEntry {
  RefusalCode code;
  std::string_view name;
  int http_status;
};

constexpr CodeEntry kCodes[] = {
    {RefusalCode::kInvalidRequest, "invalid_request", 400},
    {RefusalCode::kUnauthorized, "unauthorized", 401},
    {RefusalCode::kNotFound, "not_found", 404},
    {RefusalCode::kMethodNotAllowed, "method_not_allowed", 405},
    {RefusalCode::kInProgress, "in_progress", 409},
    {RefusalCode::kOutcomeUnknown, "outcome_unknown", 502},
    {RefusalCode::kBodyTooLarge, "body_too_large", 413},
    {RefusalCode::kKeyReused, "key_reused", 422},
    {RefusalCode::kStreamNeedsHttp2, "stream_needs_http2", 400},
    {RefusalCode::kCustomerLimit, "customer_limit", 429},
    {RefusalCode::kOverloaded, "overloaded", 503},
    {RefusalCode::kNoBackendServer, "no_backend_server", 503},
    {RefusalCode::kTableUnavailable, "table_unavailable", 503},
    {RefusalCode::kShuttingDown, "shutting_down", 503},
    {RefusalCode::kDeadlineExpired, "deadline_expired", 504},
    {RefusalCode::kCrashesEngines, "crashes_engines", 422},
    {RefusalCode::kBackendFailed, "backend_failed", 502},
    {RefusalCode::kInternal, "internal", 500},
};

const CodeEntry& FindCodeEntry(RefusalCode code) {
  for (const CodeEntry& entry : kCodes) {
    if (entry.code == code)
      return entry;
  }
  return kCodes[std::size(kCodes) - 1];
}

}  // namespace

std::string_view RefusalCodeName(RefusalCode code) {
  return FindCodeEntry(code).name;
}

std::string_view RefusalOutcomeName(RefusalOutcome outcome) {
  switch (outcome) {
    case RefusalOutcome::kNotRun:
      return "not_run";
    case RefusalOutcome::kRunFailed:
      return "run_failed";
    case RefusalOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

int HttpStatusOf(RefusalCode code) {
  return FindCodeEntry(code).http_status;
}

Refusal MakeRefusal(RefusalCode code,
                    RefusalOutcome outcome,
                    std::string_view message,
                    std::string_view field) {
  return Refusal{.code = code,
                 .outcome = outcome,
                 .message = std::string(message),
                 .field = std::string(field),
                 .http_status = HttpStatusOf(code),
                 .retry_after = std::nullopt};
}

Refusal RefusalFromError(const Error& error) {
  RefusalCode code = RefusalCode::kInternal;
  switch (error.code) {
    case ErrorCode::kInvalidArgument:
      code = RefusalCode::kInvalidRequest;
      break;
    case ErrorCode::kNotFound:
      code = RefusalCode::kNotFound;
      break;
    case ErrorCode::kConflict:
      code = RefusalCode::kInProgress;
      break;
    case ErrorCode::kUnavailable:
    case ErrorCode::kExhausted:
      code = RefusalCode::kOverloaded;
      break;
    case ErrorCode::kUnknown:
    case ErrorCode::kInternal:
      break;
  }
  return MakeRefusal(code, RefusalOutcome::kNotRun, error.ToString(),
                     error.field);
}

std::string RefusalBody(const Refusal& refusal) {
  Json error = {{"code", RefusalCodeName(refusal.code)},
                {"outcome", RefusalOutcomeName(refusal.outcome)},
                {"message", refusal.message}};
  if (!refusal.field.empty())
    error["field"] = refusal.field;
  return Json{{"error", std::move(error)}}.dump(-1, ' ', false,
                                                Json::error_handler_t::replace);
}

std::string RetryAfterHeader(const Refusal& refusal) {
  if (!refusal.retry_after.has_value())
    return "";
  absl::Duration rounded = absl::Ceil(*refusal.retry_after, absl::Seconds(1));
  return fmt::format("{}", absl::ToInt64Seconds(rounded));
}

}  // namespace cranberryhill
