#ifndef CRANBERRYHILL_CALLER_CALLER_REQUEST_H_
#define CRANBERRYHILL_CALLER_CALLER_REQUEST_H_

// Parses and checks requests of callers.
//
//   BOOST_LEAF_AUTO(headers, ParseCallerHeaders(fields));
//   BOOST_LEAF_AUTO(request, ParseCompletion(CallerApi::kChatCompletions, body,
//                                            limits));

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill {

/// One header field as received; names are compared without case.
struct HeaderField {
  std::string_view name;
  std::string_view value;
};

/// What the headers of a request say.
struct CallerHeaders {
  std::string customer;                     ///< 1 to 64 of A-Z a-z 0-9 . _ -
  std::string idempotency_key;              ///< Empty when absent.
  std::optional<absl::Duration> time_left;  ///< From x-deadline-ms.
  bool first_attempt = false;               ///< From x-first-attempt.
};

/// Reads the customer from `Authorization: Bearer` or `x-customer`, and
/// `Idempotency-Key`, `x-deadline-ms` and `x-first-attempt`. Other fields are
/// ignored.
/// @return The headers, or kInvalidArgument for a field that breaks a rule, is
/// repeated, or for a missing customer (field "x-customer"). The value of
/// Authorization is never part of an error.
Result<CallerHeaders> ParseCallerHeaders(std::span<const HeaderField> fields);

enum class CallerApi {
  kChatCompletions,  ///< POST /v1/chat/completions
  kCompletions,      ///< POST /v1/completions
};

/// @return The API at `path` (a query is ignored), or none.
std::optional<CallerApi> CallerApiOfPath(std::string_view path);

/// Bounds that a request must keep.
struct CallerLimits {
  size_t max_body_bytes = 0;
  int64_t max_prompt_tokens = 0;
  int64_t max_output_tokens = 0;      ///< Upper bound of max_tokens.
  int64_t default_output_tokens = 0;  ///< Used when max_tokens is absent.
};

/// A checked request for tokens.
struct CompletionRequest {
  CallerApi api = CallerApi::kChatCompletions;
  std::string model;
  std::string prompt;         ///< Of a chat: "role: content\n" per message.
  int64_t prompt_tokens = 0;  ///< Estimate, see EstimateTokens().
  int64_t max_tokens = 0;
  bool stream = false;
  bool include_usage = false;  ///< From stream_options.include_usage.
};

/// Parses a request body. Sampling fields (temperature, top_p, seed,
/// presence_penalty, frequency_penalty, user) are checked and have no effect,
/// because the engine protocol has no place for them. Fields that would change
/// the form of the answer (such as n above 1 or tools) are refused.
/// @return The request, or kInvalidArgument with field, value and rule. A body
/// or prompt above its bound has the field "body" or "prompt"/"messages".
Result<CompletionRequest> ParseCompletion(CallerApi api,
                                          std::string_view body,
                                          const CallerLimits& limits);

/// @return About how many tokens `text` has: one per 4 bytes, rounded up.
int64_t EstimateTokens(std::string_view text);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLER_CALLER_REQUEST_H_
