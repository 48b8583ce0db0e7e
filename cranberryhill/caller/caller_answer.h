#ifndef CRANBERRYHILL_CALLER_CALLER_ANSWER_H_
#define CRANBERRYHILL_CALLER_CALLER_ANSWER_H_

// Writes answers to callers: one JSON document, or server-sent events.
//
//   std::string events = FirstChunk(head);              // chat: the role
//   events += TokenChunk(head, "Hello");
//   events += FinishChunk(head, "stop", usage);
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

/// What all parts of one answer have in common.
struct AnswerHead {
  CallerApi api = CallerApi::kChatCompletions;
  std::string id;
  std::string model;
  absl::Time created;  ///< Wall clock.
};

struct TokenUsage {
  int64_t prompt_tokens = 0;
  int64_t completion_tokens = 0;
};

/// @return The whole answer as one JSON document.
std::string WholeAnswer(const AnswerHead& head,
                        std::string_view text,
                        std::string_view finish_reason,
                        const TokenUsage& usage);

/// @return The event before the first token: the assistant's role for a chat,
/// empty for completions, which have no such event.
std::string FirstChunk(const AnswerHead& head);

/// @return One event with the next piece of text. Text that is not UTF-8 is
/// replaced, so the caller must not cut a character in two.
std::string TokenChunk(const AnswerHead& head, std::string_view text);

/// @return The event with the finish reason; a second event with the usage
/// follows when `usage` is given.
std::string FinishChunk(const AnswerHead& head,
                        std::string_view finish_reason,
                        const std::optional<TokenUsage>& usage);

/// @return The event that tells a caller, after tokens were sent, that the
/// stream failed. No kDoneEvent follows.
std::string RefusalChunk(const Refusal& refusal);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLER_CALLER_ANSWER_H_
