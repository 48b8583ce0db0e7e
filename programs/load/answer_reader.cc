#include "programs/load/answer_reader.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/base/json.h"
#include "standins/fake_engine.h"

namespace cranberryhill::load {
namespace {

constexpr std::string_view kData = "data: ";

// Null when the text is no JSON or lacks the field.
Json FieldOf(const Json& json, const char* name) {
  if (!json.is_object() || !json.contains(name))
    return nullptr;
  return json[name];
}

std::string TextOf(const Json& json, const char* name) {
  Json field = FieldOf(json, name);
  return field.is_string() ? field.get<std::string>() : "";
}

Json ParseOrNull(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  return json.is_discarded() ? Json(nullptr) : json;
}

RefusalSeen RefusalIn(const Json& error) {
  RefusalSeen seen{TextOf(error, "code"), TextOf(error, "outcome")};
  if (seen.code.empty())
    seen.code = "unreadable";
  return seen;
}

}  // namespace

RefusalSeen ReadRefusal(std::string_view body) {
  return RefusalIn(FieldOf(ParseOrNull(body), "error"));
}

AnswerReader::AnswerReader(AnswerFormat format,
                           uint64_t max_tokens,
                           std::string prompt)
    : format(format), max_tokens(max_tokens), prompt(std::move(prompt)) {}

bool AnswerReader::wrong() const {
  return this->mismatch ||
         (this->ended && this->token_count != this->max_tokens);
}

size_t AnswerReader::Feed(std::string_view chunk) {
  uint64_t before = this->token_count;
  this->unread += chunk;
  std::string_view separator =
      this->format == AnswerFormat::kEvents ? "\n\n" : "\n";
  size_t start = 0;
  for (size_t end = this->unread.find(separator); end != std::string::npos;
       end = this->unread.find(separator, start)) {
    std::string_view part =
        std::string_view(this->unread).substr(start, end - start);
    start = end + separator.size();
    // Nothing may follow the end of an answer.
    if (this->ended)
      this->mismatch = true;
    else if (this->format == AnswerFormat::kEvents)
      this->ReadEvent(part);
    else
      this->ReadLine(part);
  }
  this->unread.erase(0, start);
  return this->token_count - before;
}

void AnswerReader::ReadEvent(std::string_view event) {
  if (!event.starts_with(kData)) {
    this->mismatch = true;
    return;
  }
  event.remove_prefix(kData.size());
  if (event == "[DONE]") {
    this->ended = true;
    return;
  }
  Json json = ParseOrNull(event);
  Json error = FieldOf(json, "error");
  if (!error.is_null()) {
    this->refused = RefusalIn(error);
    return;
  }
  Json choices = FieldOf(json, "choices");
  if (!choices.is_array()) {
    this->mismatch = true;
    return;
  }
  if (!choices.empty())
    this->TakeText(TextOf(FieldOf(choices[0], "delta"), "content"));
  Json completion = FieldOf(FieldOf(json, "usage"), "completion_tokens");
  if (!completion.is_null() && completion != this->token_count)
    this->mismatch = true;
}

void AnswerReader::ReadLine(std::string_view line) {
  Json json = ParseOrNull(line);
  if (FieldOf(json, "done") == true) {
    this->ended = true;
    return;
  }
  if (FieldOf(json, "index") != this->token_count)
    this->mismatch = true;
  this->TakeText(TextOf(json, "token"));
}

void AnswerReader::TakeText(std::string_view text) {
  if (text.empty())
    return;
  if (this->prompt.empty()) {
    ++this->token_count;
    return;
  }
  // An event may hold several tokens.
  while (!text.empty()) {
    std::string token = FakeToken(this->prompt, this->token_count);
    if (!text.starts_with(token)) {
      this->mismatch = true;
      return;
    }
    text.remove_prefix(token.size());
    ++this->token_count;
  }
}

}  // namespace cranberryhill::load
