#include "cranberryhill/caller/caller_answer.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace cranberryhill {
namespace {

using Json = nlohmann::json;

Json ParseEventData(std::string_view event) {
  BOOST_REQUIRE(event.starts_with("data: "));
  BOOST_REQUIRE(event.ends_with("\n\n"));
  return Json::parse(event.substr(6));
}

CompletionMetadata MakeMetadata(CallerApi api) {
  return {.api = api,
          .id = "r1",
          .model = "m",
          .created = absl::FromUnixSeconds(1000)};
}

// Guards against chat answers that clients of the OpenAI API cannot parse.
BOOST_AUTO_TEST_CASE(ChatAnswerHasOpenAiFormat) {
  CompletionMetadata metadata = MakeMetadata(CallerApi::kChatCompletions);
  Json answer = Json::parse(CompletionJson(metadata, "Hi", "stop", {3, 2}));
  BOOST_TEST(answer["object"] == "chat.completion");
  BOOST_TEST(answer["choices"][0]["message"]["content"] == "Hi");
  BOOST_TEST(answer["usage"]["total_tokens"] == 5);
  BOOST_TEST(ParseEventData(RoleEvent(
                 metadata))["choices"][0]["delta"]["role"] == "assistant");
  Json chunk = ParseEventData(TokenEvent(metadata, "a\n\nb"));
  BOOST_TEST(chunk["choices"][0]["delta"]["content"] == "a\n\nb");
  BOOST_TEST(chunk["choices"][0]["finish_reason"].is_null());
  Json finish = ParseEventData(FinishReasonEvents(metadata, "length", {}));
  BOOST_TEST(finish["choices"][0]["finish_reason"] == "length");
}

// Guards against completions that are formatted like chat answers.
BOOST_AUTO_TEST_CASE(CompletionHasOpenAiFormat) {
  CompletionMetadata metadata = MakeMetadata(CallerApi::kCompletions);
  BOOST_TEST(RoleEvent(metadata).empty());
  Json chunk = ParseEventData(TokenEvent(metadata, "x"));
  BOOST_TEST(chunk["object"] == "text_completion");
  BOOST_TEST(chunk["choices"][0]["text"] == "x");
}

// Guards against refusals without an outcome, and against a Retry-After that is
// rounded down to 0.
BOOST_AUTO_TEST_CASE(RefusalHasExpectedFormat) {
  Refusal refusal = MakeRefusal(RefusalCode::kOverloaded,
                                RefusalOutcome::kNotRun, "queue is full");
  refusal.retry_after = absl::Milliseconds(200);
  BOOST_TEST(RefusalBody(refusal) ==
             R"({"error":{"code":"overloaded","message":"queue is full",)"
             R"("outcome":"not_run"}})");
  BOOST_TEST(refusal.http_status == 503);
  BOOST_TEST(RetryAfterHeader(refusal) == "1");
  Refusal invalid = RefusalFromError(
      {ErrorCode::kInvalidArgument, "max_tokens", "0", "must be above 0"});
  BOOST_TEST(Json::parse(RefusalBody(invalid))["error"]["field"] ==
             "max_tokens");
  BOOST_TEST(invalid.http_status == 400);
}

}  // namespace
}  // namespace cranberryhill
