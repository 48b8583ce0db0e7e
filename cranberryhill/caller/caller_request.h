#ifndef CRANBERRYHILL_CALLER_CALLER_REQUEST_H_
#define CRANBERRYHILL_CALLER_CALLER_REQUEST_H_

// Parses and validates the HTTP requests of callers.
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

/// One header field as received. Names are compared case-insensitively.
struct HeaderField {
  std::string_view name;
  std::string_view value;
};

/// The values of the headers that this system reads.
struct CallerHeaders {
  std::string customer;         ///< 1 to 64 characters of A-Z a-z 0-9 . _ -
  std::string idempotency_key;  ///< Empty when absent.
  std::optional<absl::Duration> time_left;  ///< From x-deadline-ms.
  bool first_attempt = false;               ///< From x-first-attempt.
};

/// Reads the customer from `Authorization: Bearer` or `x-customer`, and reads
/// `Idempotency-Key`, `x-deadline-ms` and `x-first-attempt`. Other header
/// fields are ignored.
/// @return The headers, or kInvalidArgument if a field is invalid or repeated
/// or the customer is missing (field "x-customer"). The error never contains
/// the value of Authorization.
Result<CallerHeaders> ParseCallerHeaders(std::span<const HeaderField> fields);

enum class CallerApi {
  kChatCompletions,  ///< POST /v1/chat/completions
  kCompletions,      ///< POST /v1/completions
};

/// @return The API at `path`, or std::nullopt. The query of `path` is ignored.
std::optional<CallerApi> CallerApiFromPath(std::string_view path);

/// Limits that apply to each request for generated text, and the default
/// number of output tokens.
struct CompletionLimits {
  size_t max_body_bytes = 0;
  int64_t max_prompt_tokens = 0;
  int64_t max_output_tokens = 0;      ///< Maximum of max_tokens.
  int64_t default_output_tokens = 0;  ///< Used when max_tokens is absent.
};

/// A validated request for generated text.
struct CompletionRequest {
  CallerApi api = CallerApi::kChatCompletions;
  std::string model;
  std::string prompt;  ///< For a chat, "role: content\n" for each message.
  int64_t prompt_tokens = 0;  ///< The estimate of EstimateTokens().
  int64_t max_tokens = 0;
  bool stream = false;
  bool include_usage = false;  ///< From stream_options.include_usage.
};

/// Parses a request body. Sampling fields (temperature, top_p, seed,
/// presence_penalty, frequency_penalty, user) are validated but have no effect,
/// because the engine protocol does not carry them. Fields that would change
/// the format of the answer, such as tools or an n above 1, are refused.
/// @return The request, or kInvalidArgument with field, value and rule. The
/// field is "body" if the body is too large, and "prompt" or "messages" if the
/// prompt is too long.
Result<CompletionRequest> ParseCompletion(CallerApi api,
                                          std::string_view body,
                                          const CompletionLimits& limits);

/// @return An estimate of the number of tokens in `text`: one per 4 bytes,
/// rounded up.
int64_t EstimateTokens(std::string_view text);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLER_CALLER_REQUEST_H_
