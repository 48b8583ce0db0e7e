#include "cranberryhill/caller/caller_answer.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string Event(const Json& json) {
  return fmt::format("data: {}\n\n", Dump(json));
}

Json HeadJson(const AnswerHead& head, std::string_view object) {
  return {{"id", head.id},
          {"object", object},
          {"created", absl::ToUnixSeconds(head.created)},
          {"model", head.model}};
}

Json UsageJson(const TokenUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
}

std::string Chunk(const AnswerHead& head, Json choice, Json finish_reason) {
  bool chat = head.api == CallerApi::kChatCompletions;
  Json json = HeadJson(head, chat ? "chat.completion.chunk"  //
                                  : "text_completion");
  choice["index"] = 0;
  choice["finish_reason"] = std::move(finish_reason);
  json["choices"] = Json::array({std::move(choice)});
  return Event(json);
}

}  // namespace

std::string WholeAnswer(const AnswerHead& head,
                        std::string_view text,
                        std::string_view finish_reason,
                        const TokenUsage& usage) {
  bool chat = head.api == CallerApi::kChatCompletions;
  Json json = HeadJson(head, chat ? "chat.completion" : "text_completion");
  Json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  json["choices"] = Json::array({std::move(choice)});
  json["usage"] = UsageJson(usage);
  return Dump(json);
}

std::string FirstChunk(const AnswerHead& head) {
  if (head.api != CallerApi::kChatCompletions)
    return "";
  return Chunk(head, {{"delta", {{"role", "assistant"}, {"content", ""}}}},
               nullptr);
}

std::string TokenChunk(const AnswerHead& head, std::string_view text) {
  if (head.api == CallerApi::kChatCompletions)
    return Chunk(head, {{"delta", {{"content", text}}}}, nullptr);
  return Chunk(head, {{"text", text}}, nullptr);
}

std::string FinishChunk(const AnswerHead& head,
                        std::string_view finish_reason,
                        const std::optional<TokenUsage>& usage) {
  bool chat = head.api == CallerApi::kChatCompletions;
  Json choice = chat ? Json{{"delta", Json::object()}} : Json{{"text", ""}};
  std::string events = Chunk(head, std::move(choice), Json(finish_reason));
  if (usage.has_value()) {
    Json json = HeadJson(head, chat ? "chat.completion.chunk"  //
                                    : "text_completion");
    json["choices"] = Json::array();
    json["usage"] = UsageJson(*usage);
    events += Event(json);
  }
  return events;
}

std::string RefusalChunk(const Refusal& refusal) {
  return fmt::format("data: {}\n\n", RefusalBody(refusal));
}

}  // namespace cranberryhill
