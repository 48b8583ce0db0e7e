#include "cranberryhill/caller/caller_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "cranberryhill/base/absl_view.h"
#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

constexpr size_t kMaxCustomerBytes = 64;
constexpr size_t kMaxKeyBytes = 255;
constexpr size_t kMaxModelBytes = 200;
constexpr size_t kMaxQuotedBytes = 80;
constexpr int64_t kMaxDeadlineMs = int64_t{24} * 3600 * 1000;
constexpr int64_t kBytesPerToken = 4;
constexpr std::string_view kBearerPrefix = "bearer ";

std::string Shorten(std::string_view value) {
  return value.size() <= kMaxQuotedBytes
             ? std::string(value)
             : fmt::format("{}...", value.substr(0, kMaxQuotedBytes));
}

boost::leaf::error_id InvalidField(std::string_view field,
                                   std::string_view value,
                                   std::string_view rule) {
  return MakeError(ErrorCode::kInvalidArgument, field, Shorten(value), rule);
}

// Finds the header field `name`, which must not be repeated.
Result<std::optional<std::string_view>> FindHeader(
    std::span<const HeaderField> fields,
    std::string_view name) {
  std::optional<std::string_view> found;
  for (const HeaderField& field : fields) {
    if (!absl::EqualsIgnoreCase(ToAbsl(field.name), ToAbsl(name)))
      continue;
    if (found.has_value())
      return InvalidField(name, "", "must be given once");
    absl::string_view trimmed = absl::StripAsciiWhitespace(ToAbsl(field.value));
    found = std::string_view(trimmed.data(), trimmed.size());
  }
  return found;
}

bool IsCustomerName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxCustomerBytes &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-';
         });
}

constexpr std::string_view kCustomerRule =
    "must be 1 to 64 letters, digits, '.', '_' or '-'";

// The token of `Authorization: Bearer` is a credential, so error messages do
// not contain it.
Result<std::optional<std::string_view>> ReadBearerToken(
    std::span<const HeaderField> fields) {
  BOOST_LEAF_AUTO(value, FindHeader(fields, "authorization"));
  if (!value.has_value())
    return value;
  if (!absl::StartsWithIgnoreCase(ToAbsl(*value), ToAbsl(kBearerPrefix)))
    return InvalidField("authorization", "",
                        "must be 'Bearer' followed by a customer name");
  std::string_view token = value->substr(kBearerPrefix.size());
  if (!IsCustomerName(token))
    return InvalidField("authorization", "", kCustomerRule);
  return std::optional<std::string_view>(token);
}

Result<std::string> ParseCustomer(std::span<const HeaderField> fields) {
  BOOST_LEAF_AUTO(token, ReadBearerToken(fields));
  BOOST_LEAF_AUTO(customer, FindHeader(fields, "x-customer"));
  if (customer.has_value() && !IsCustomerName(*customer))
    return InvalidField("x-customer", *customer, kCustomerRule);
  if (token.has_value() && customer.has_value() && *token != *customer) {
    return InvalidField("x-customer", *customer,
                        "must equal the customer in authorization");
  }
  if (token.has_value())
    return std::string(*token);
  if (customer.has_value())
    return std::string(*customer);
  return InvalidField("x-customer", "",
                      "is required unless authorization is given");
}

Result<std::string> ParseIdempotencyKey(std::span<const HeaderField> fields) {
  BOOST_LEAF_AUTO(value, FindHeader(fields, "idempotency-key"));
  if (!value.has_value())
    return std::string();
  bool is_printable =
      std::all_of(value->begin(), value->end(),
                  [](unsigned char c) { return absl::ascii_isprint(c); });
  if (value->empty() || value->size() > kMaxKeyBytes || !is_printable) {
    return InvalidField("idempotency-key", *value,
                        "must be 1 to 255 printable ASCII characters");
  }
  return std::string(*value);
}

Result<std::optional<absl::Duration>> ParseDeadline(
    std::span<const HeaderField> fields) {
  BOOST_LEAF_AUTO(value, FindHeader(fields, "x-deadline-ms"));
  if (!value.has_value())
    return std::optional<absl::Duration>();
  int64_t ms = 0;
  const char* end = value->data() + value->size();
  auto parsed = std::from_chars(value->data(), end, ms);
  if (parsed.ec != std::errc() || parsed.ptr != end || ms < 1 ||
      ms > kMaxDeadlineMs) {
    return InvalidField(
        "x-deadline-ms", *value,
        fmt::format("must be an integer from 1 to {}", kMaxDeadlineMs));
  }
  return std::optional(absl::Milliseconds(ms));
}

Result<bool> ParseFirstAttempt(std::span<const HeaderField> fields) {
  BOOST_LEAF_AUTO(value, FindHeader(fields, "x-first-attempt"));
  if (!value.has_value() || *value == "false")
    return false;
  if (*value == "true")
    return true;
  return InvalidField("x-first-attempt", *value, "must be true or false");
}

// Returns the text of a message. Its content is a string or an array of parts
// of type "text".
Result<std::string> ReadContent(const Json& message, const std::string& path) {
  auto content = message.find("content");
  if (content == message.end() || !content->is_array()) {
    ObjectReader reader(message, path);
    return reader.String("content");
  }
  std::string text;
  for (size_t i = 0; i < content->size(); ++i) {
    std::string part_path = fmt::format("{}.content[{}]", path, i);
    ObjectReader part((*content)[i], part_path);
    BOOST_LEAF_AUTO(type, part.String("type"));
    if (type != "text")
      return InvalidField(part.PathOf("type"), type, "must be \"text\"");
    BOOST_LEAF_AUTO(part_text, part.String("text"));
    BOOST_LEAF_CHECK(part.RefuseUnknownFields());
    text += part_text;
  }
  return text;
}

Result<std::string> ReadMessages(ObjectReader& reader) {
  BOOST_LEAF_AUTO(messages, reader.Array("messages"));
  if (messages->empty())
    return InvalidField("messages", "[]", "must have at least one message");
  std::string prompt;
  for (size_t i = 0; i < messages->size(); ++i) {
    const Json& message = (*messages)[i];
    std::string path = fmt::format("messages[{}]", i);
    ObjectReader fields(message, path);
    BOOST_LEAF_AUTO(role, fields.String("role"));
    if (role != "system" && role != "developer" && role != "user" &&
        role != "assistant") {
      return InvalidField(fields.PathOf("role"), role,
                          "must be system, developer, user or assistant");
    }
    BOOST_LEAF_CHECK(fields.String("name", ""));
    BOOST_LEAF_AUTO(content, ReadContent(message, path));
    prompt += fmt::format("{}: {}\n", role, content);
  }
  return prompt;
}

Result<void> CheckSamplingFields(ObjectReader& reader) {
  BOOST_LEAF_CHECK(reader.Double("temperature", {0, 2}, 1));
  BOOST_LEAF_CHECK(reader.Double("top_p", {0, 1}, 1));
  BOOST_LEAF_CHECK(reader.Double("presence_penalty", {-2, 2}, 0));
  BOOST_LEAF_CHECK(reader.Double("frequency_penalty", {-2, 2}, 0));
  BOOST_LEAF_CHECK(reader.Int("seed", {INT64_MIN, INT64_MAX}, 0));
  BOOST_LEAF_CHECK(reader.String("user", ""));
  BOOST_LEAF_CHECK(reader.Int("n", {1, 1}, 1));
  return {};
}

Result<int64_t> ReadMaxTokens(ObjectReader& reader,
                              CallerApi api,
                              const CompletionLimits& limits) {
  IntRange range{1, limits.max_output_tokens};
  BOOST_LEAF_AUTO(
      tokens, reader.Int("max_tokens", range, limits.default_output_tokens));
  if (api == CallerApi::kCompletions)
    return tokens;
  return reader.Int("max_completion_tokens", range, tokens);
}

Result<bool> ReadIncludeUsage(ObjectReader& reader) {
  BOOST_LEAF_AUTO(options, reader.Object("stream_options", false));
  if (options == nullptr)
    return false;
  ObjectReader fields(*options, "stream_options");
  BOOST_LEAF_AUTO(include_usage, fields.Bool("include_usage", false));
  BOOST_LEAF_CHECK(fields.RefuseUnknownFields());
  return include_usage;
}

Result<void> CheckPromptSize(const CompletionRequest& request,
                             const CompletionLimits& limits) {
  if (request.prompt_tokens <= limits.max_prompt_tokens)
    return {};
  return InvalidField(
      request.api == CallerApi::kCompletions ? "prompt" : "messages",
      fmt::format("about {} tokens", request.prompt_tokens),
      fmt::format("must have at most {} tokens", limits.max_prompt_tokens));
}

}  // namespace

Result<CallerHeaders> ParseCallerHeaders(std::span<const HeaderField> fields) {
  CallerHeaders headers;
  BOOST_LEAF_ASSIGN(headers.customer, ParseCustomer(fields));
  BOOST_LEAF_ASSIGN(headers.idempotency_key, ParseIdempotencyKey(fields));
  BOOST_LEAF_ASSIGN(headers.time_left, ParseDeadline(fields));
  BOOST_LEAF_ASSIGN(headers.first_attempt, ParseFirstAttempt(fields));
  return headers;
}

std::optional<CallerApi> CallerApiFromPath(std::string_view path) {
  path = path.substr(0, path.find('?'));
  if (path == "/v1/chat/completions")
    return CallerApi::kChatCompletions;
  if (path == "/v1/completions")
    return CallerApi::kCompletions;
  return std::nullopt;
}

Result<CompletionRequest> ParseCompletion(CallerApi api,
                                          std::string_view body,
                                          const CompletionLimits& limits) {
  if (body.size() > limits.max_body_bytes) {
    return InvalidField("body", fmt::format("{} bytes", body.size()),
                        fmt::format("must have at most {} bytes",  //
                                    limits.max_body_bytes));
  }
  BOOST_LEAF_AUTO(json, ParseJson(body, "body"));
  if (!json.is_object())
    return InvalidField("body", json.type_name(), "must be an object");
  ObjectReader reader(json, "");
  CompletionRequest request;
  request.api = api;
  BOOST_LEAF_ASSIGN(request.model, reader.String("model"));
  if (request.model.empty() || request.model.size() > kMaxModelBytes) {
    return InvalidField("model", request.model,
                        fmt::format("must have 1 to {} bytes", kMaxModelBytes));
  }
  BOOST_LEAF_ASSIGN(request.prompt, api == CallerApi::kChatCompletions
                                        ? ReadMessages(reader)
                                        : reader.String("prompt"));
  if (request.prompt.empty())
    return InvalidField("prompt", "", "must not be empty");
  request.prompt_tokens = EstimateTokens(request.prompt);
  BOOST_LEAF_CHECK(CheckPromptSize(request, limits));
  BOOST_LEAF_ASSIGN(request.max_tokens, ReadMaxTokens(reader, api, limits));
  BOOST_LEAF_ASSIGN(request.stream, reader.Bool("stream", false));
  BOOST_LEAF_ASSIGN(request.include_usage, ReadIncludeUsage(reader));
  BOOST_LEAF_CHECK(CheckSamplingFields(reader));
  BOOST_LEAF_CHECK(reader.RefuseUnknownFields());
  return request;
}

int64_t EstimateTokens(std::string_view text) {
  return (static_cast<int64_t>(text.size()) + kBytesPerToken - 1) /
         kBytesPerToken;
}

}  // namespace cranberryhill
