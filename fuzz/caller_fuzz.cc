// Requests of callers. An input is a path, header lines, an empty line and a
// body; the path chooses the API. Without a path of an API the body is parsed
// for both.

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "cranberryhill/base/json.h"
#include "cranberryhill/caller/caller_answer.h"
#include "cranberryhill/caller/caller_request.h"
#include "cranberryhill/caller/refusal.h"
#include "fuzz/check.h"

namespace cranberryhill {
namespace {

constexpr CompletionLimits kLimits = {.max_body_bytes = 2048,
                                      .max_prompt_tokens = 200,
                                      .max_output_tokens = 1000,
                                      .default_output_tokens = 100};
// 80 bytes of the value and "...".
constexpr size_t kMaxErrorValue = 83;
// The known names and indexes, and a cut unknown name.
constexpr size_t kMaxErrorField = 200;

std::string_view TakeLine(std::string_view& text) {
  size_t end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
  return line;
}

std::vector<HeaderField> TakeHeaders(std::string_view& text) {
  std::vector<HeaderField> fields;
  while (!text.empty()) {
    std::string_view line = TakeLine(text);
    if (line.empty())
      break;
    size_t colon = std::min(line.find(':'), line.size() - 1);
    fields.push_back({line.substr(0, colon), line.substr(colon + 1)});
  }
  return fields;
}

void CheckRefusal(const Error& error) {
  CheckRefused(error);
  Check(error.value.size() <= kMaxErrorValue, "a quoted value is cut");
  Check(error.field.size() <= kMaxErrorField, "a quoted field name is cut");
  std::string body = RefusalBody(RefusalFromError(error));
  auto json = Capture([&] { return ParseJson(body, "refusal"); });
  Check(json.ok(), "a refusal is valid JSON");
  Check(json.value()["error"]["outcome"] == "not_run",
        "a refused request was not run");
}

void CheckHeaders(std::span<const HeaderField> fields) {
  auto headers = Capture([&] { return ParseCallerHeaders(fields); });
  if (!headers.ok()) {
    CheckRefusal(headers.error());
    Check(headers.error().field != "authorization" ||
              headers.error().value.empty(),
          "a credential is not part of an error");
    return;
  }
  const CallerHeaders& value = headers.value();
  Check(!value.customer.empty() && value.customer.size() <= 64 &&
            value.customer.find('/') == std::string::npos,
        "a customer is 1 to 64 bytes without a slash");
  Check(value.idempotency_key.size() <= 255 &&
            std::all_of(value.idempotency_key.begin(),
                        value.idempotency_key.end(),
                        [](unsigned char c) { return absl::ascii_isprint(c); }),
        "a key is at most 255 printable characters");
  Check(!value.time_left || (*value.time_left >= absl::Milliseconds(1) &&
                             *value.time_left <= absl::Hours(24)),
        "a time limit is from 1 ms to 24 h");
}

// Written as a completion, the request must parse to the same prompt.
void CheckRepeat(const CompletionRequest& request) {
  std::string body = Json{
      {"model", request.model},
      {"prompt", request.prompt},
      {"max_tokens", request.max_tokens},
      {"stream",
       request.stream}}.dump();
  CompletionLimits limits = kLimits;
  limits.max_body_bytes = body.size();
  auto again = Capture(
      [&] { return ParseCompletion(CallerApi::kCompletions, body, limits); });
  Check(again.ok(), "an accepted request can be written out");
  Check(again.value().model == request.model &&
            again.value().prompt == request.prompt &&
            again.value().prompt_tokens == request.prompt_tokens &&
            again.value().max_tokens == request.max_tokens &&
            again.value().stream == request.stream,
        "a request written out is equal");
}

void CheckAnswer(const CompletionRequest& request) {
  CompletionMetadata head{request.api, "id", request.model, absl::UnixEpoch()};
  std::string whole = CompletionJson(head, request.prompt, "stop", {});
  auto json = Capture([&] { return ParseJson(whole, "answer"); });
  Check(json.ok(), "an answer is valid JSON");
  const Json& choice = json.value()["choices"][0];
  const Json& text = request.api == CallerApi::kChatCompletions
                         ? choice["message"]["content"]
                         : choice["text"];
  Check(text == request.prompt, "an answer has the text unchanged");
  std::string event = TokenEvent(head, request.prompt);
  Check(event.starts_with("data: ") && event.ends_with("\n\n") &&
            event.find('\n') == event.size() - 2,
        "an event is one line and an empty line");
}

void CheckBody(CallerApi api, std::string_view body) {
  auto request = Capture([&] { return ParseCompletion(api, body, kLimits); });
  if (!request.ok())
    return CheckRefusal(request.error());
  const CompletionRequest& value = request.value();
  Check(body.size() <= kLimits.max_body_bytes, "a body is within its bound");
  Check(value.api == api, "a request has the API of its path");
  Check(!value.model.empty() && value.model.size() <= 200,
        "a model has 1 to 200 bytes");
  Check(!value.prompt.empty() &&
            value.prompt_tokens == EstimateTokens(value.prompt) &&
            value.prompt_tokens <= kLimits.max_prompt_tokens,
        "a prompt is within its bound");
  Check(value.max_tokens >= 1 && value.max_tokens <= kLimits.max_output_tokens,
        "max_tokens is within its bound");
  CheckRepeat(value);
  CheckAnswer(value);
}

}  // namespace
}  // namespace cranberryhill

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace cranberryhill;  // NOLINT
  std::string_view text = TextOf(data, size);
  std::optional<CallerApi> path = CallerApiFromPath(TakeLine(text));
  CheckHeaders(TakeHeaders(text));
  for (CallerApi api : {CallerApi::kChatCompletions, CallerApi::kCompletions}) {
    if (path.value_or(api) == api)
      CheckBody(api, text);
  }
  return 0;
}
