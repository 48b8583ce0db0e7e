#include "cranberryhill/caller/caller_answer.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

std::string ToText(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string ToEvent(const Json& json) {
  return fmt::format("data: {}\n\n", ToText(json));
}

Json MetadataJson(const CompletionMetadata& metadata, std::string_view object) {
  return {{"id", metadata.id},
          {"object", object},
          {"created", absl::ToUnixSeconds(metadata.created)},
          {"model", metadata.model}};
}

Json UsageJson(const TokenUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
}

std::string ChunkEvent(const CompletionMetadata& metadata,
                       Json choice,
                       Json finish_reason) {
  bool is_chat = metadata.api == CallerApi::kChatCompletions;
  Json json = MetadataJson(metadata, is_chat ? "chat.completion.chunk"  //
                                             : "text_completion");
  choice["index"] = 0;
  choice["finish_reason"] = std::move(finish_reason);
  json["choices"] = Json::array({std::move(choice)});
  return ToEvent(json);
}

}  // namespace

std::string CompletionJson(const CompletionMetadata& metadata,
                           std::string_view text,
                           std::string_view finish_reason,
                           const TokenUsage& usage) {
  bool is_chat = metadata.api == CallerApi::kChatCompletions;
  Json json =
      MetadataJson(metadata, is_chat ? "chat.completion" : "text_completion");
  Json choice = {{"index", 0}, {"finish_reason", finish_reason}};
  if (is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  json["choices"] = Json::array({std::move(choice)});
  json["usage"] = UsageJson(usage);
  return ToText(json);
}

std::string RoleEvent(const CompletionMetadata& metadata) {
  if (metadata.api != CallerApi::kChatCompletions)
    return "";
  return ChunkEvent(
      metadata, {{"delta", {{"role", "assistant"}, {"content", ""}}}}, nullptr);
}

std::string TokenEvent(const CompletionMetadata& metadata,
                       std::string_view text) {
  if (metadata.api == CallerApi::kChatCompletions)
    return ChunkEvent(metadata, {{"delta", {{"content", text}}}}, nullptr);
  return ChunkEvent(metadata, {{"text", text}}, nullptr);
}

std::string FinishReasonEvents(const CompletionMetadata& metadata,
                               std::string_view finish_reason,
                               const std::optional<TokenUsage>& usage) {
  bool is_chat = metadata.api == CallerApi::kChatCompletions;
  Json choice = is_chat ? Json{{"delta", Json::object()}} : Json{{"text", ""}};
  std::string events =
      ChunkEvent(metadata, std::move(choice), Json(finish_reason));
  if (usage.has_value()) {
    Json json = MetadataJson(metadata, is_chat ? "chat.completion.chunk"  //
                                               : "text_completion");
    json["choices"] = Json::array();
    json["usage"] = UsageJson(*usage);
    events += ToEvent(json);
  }
  return events;
}

std::string RefusalEvent(const Refusal& refusal) {
  return fmt::format("data: {}\n\n", RefusalBody(refusal));
}

}  // namespace cranberryhill
