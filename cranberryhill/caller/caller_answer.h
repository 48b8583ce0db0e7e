#ifndef CRANBERRYHILL_CALLER_CALLER_ANSWER_H_
#define CRANBERRYHILL_CALLER_CALLER_ANSWER_H_

// Formats answers to callers in the OpenAI format: one JSON document, or a
// stream of server-sent events.
//
//   std::string events = RoleEvent(metadata);  // The assistant's role.
//   events += TokenEvent(metadata, "Hello");
//   events += FinishReasonEvents(metadata, "stop", usage);
//   events += kDoneEvent;

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/caller/caller_request.h"
#include "cranberryhill/caller/refusal.h"

namespace cranberryhill {

inline constexpr std::string_view kEventStreamContentType = "text/event-stream";
inline constexpr std::string_view kJsonContentType = "application/json";

/// The event that ends a stream.
inline constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

/// Fields that are in the JSON document, or in every event, of an answer.
struct CompletionMetadata {
  CallerApi api = CallerApi::kChatCompletions;
  std::string id;
  std::string model;
  absl::Time created;  ///< By the wall clock.
};

/// Numbers of tokens, as reported to the caller.
struct TokenUsage {
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
};

/// @return The complete answer as one JSON document.
std::string CompletionJson(const CompletionMetadata& metadata,
                           std::string_view text,
                           std::string_view finish_reason,
                           const TokenUsage& usage);

/// @return The event before the first token, which names the assistant's role
/// in a chat, or an empty string for completions, which have no such event.
std::string RoleEvent(const CompletionMetadata& metadata);

/// @return One event with the next piece of text. Invalid UTF-8 is replaced, so
/// `text` must not begin or end inside a character.
std::string TokenEvent(const CompletionMetadata& metadata,
                       std::string_view text);

/// @return The event with the finish reason. If `usage` is given, a second
/// event with the token usage follows.
std::string FinishReasonEvents(const CompletionMetadata& metadata,
                               std::string_view finish_reason,
                               const std::optional<TokenUsage>& usage);

/// @return The event that reports that the stream failed after tokens were
/// sent. No kDoneEvent follows it.
std::string RefusalEvent(const Refusal& refusal);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLER_CALLER_ANSWER_H_
