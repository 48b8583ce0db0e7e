#include "cranberryhill/caller/caller_request.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace cranberryhill {
namespace {

constexpr CompletionLimits kLimits{.max_body_bytes = 4000,
                                   .max_prompt_tokens = 100,
                                   .max_output_tokens = 50,
                                   .default_output_tokens = 16};

Error HeaderError(const std::vector<HeaderField>& fields) {
  auto headers = Capture([&] { return ParseCallerHeaders(fields); });
  BOOST_REQUIRE(!headers.ok());
  return headers.error();
}

Error BodyError(std::string_view body,
                CallerApi api = CallerApi::kCompletions) {
  auto request = Capture([&] { return ParseCompletion(api, body, kLimits); });
  BOOST_REQUIRE(!request.ok());
  return request.error();
}

// Guards against header names that are compared case-sensitively, and against
// header values that are ignored.
BOOST_AUTO_TEST_CASE(HeadersAreParsed) {
  std::vector<HeaderField> fields = {{"AUTHORIZATION", "bearer mill-7"},
                                     {"idempotency-key", " k1 "},
                                     {"X-Deadline-Ms", "1500"},
                                     {"x-first-attempt", "true"}};
  auto headers = Capture([&] { return ParseCallerHeaders(fields); });
  BOOST_REQUIRE(headers.ok());
  BOOST_TEST(headers.value().customer == "mill-7");
  BOOST_TEST(headers.value().idempotency_key == "k1");
  BOOST_TEST((headers.value().time_left == absl::Milliseconds(1500)));
  BOOST_TEST(headers.value().first_attempt);
}

// Guards against invalid headers that are accepted, and against errors that do
// not name the invalid field.
BOOST_AUTO_TEST_CASE(ErrorNamesInvalidHeader) {
  BOOST_TEST(HeaderError({}).field == "x-customer");
  BOOST_TEST(HeaderError({{"x-customer", "a/b"}}).value == "a/b");
  HeaderField customer{"x-customer", "a"};
  BOOST_TEST(HeaderError({customer, {"authorization", "Bearer b"}}).field ==
             "x-customer");
  BOOST_TEST(HeaderError({customer, {"idempotency-key", ""}}).field ==
             "idempotency-key");
  for (std::string_view value : {"0", "-1", "1.5", "1s", "", "99999999999"}) {
    Error error = HeaderError({customer, {"x-deadline-ms", value}});
    BOOST_TEST(error.field == "x-deadline-ms");
    BOOST_TEST(error.value == value);
  }
  BOOST_TEST(HeaderError({customer, {"x-first-attempt", "yes"}}).rule ==
             "must be true or false");
  BOOST_TEST(HeaderError({customer, customer}).rule == "must be given once");
}

// Guards against credentials that reach logs or callers in error messages.
BOOST_AUTO_TEST_CASE(ErrorsDoNotContainBearerToken) {
  Error error = HeaderError({{"authorization", "Bearer secret/token"}});
  BOOST_TEST(error.ToString().find("secret") == std::string::npos);
}

// Guards against chat messages that are lost or changed in the prompt.
BOOST_AUTO_TEST_CASE(ChatIsParsed) {
  auto request = Capture([&] {
    return ParseCompletion(
        CallerApi::kChatCompletions,
        R"({"model":"m","messages":[{"role":"system","content":"Be brief."},
           {"role":"user","content":[{"type":"text","text":"Hi"}]}],
           "max_completion_tokens":7,"stream":true,"temperature":0.5,
           "stream_options":{"include_usage":true}})",
        kLimits);
  });
  BOOST_REQUIRE(request.ok());
  BOOST_TEST(request.value().prompt == "system: Be brief.\nuser: Hi\n");
  BOOST_TEST(request.value().prompt_tokens == 7);
  BOOST_TEST(request.value().max_tokens == 7);
  BOOST_TEST(request.value().stream);
  BOOST_TEST(request.value().include_usage);
}

// Guards against invalid request bodies that are accepted and reach an engine.
BOOST_AUTO_TEST_CASE(ErrorNamesInvalidBodyField) {
  auto field = [](std::string_view body,
                  CallerApi api = CallerApi::kCompletions) {
    return BodyError(body, api).field;
  };
  BOOST_TEST(field("{") == "body");
  BOOST_TEST(field("[]") == "body");
  BOOST_TEST(field(std::string(4001, ' ')) == "body");
  BOOST_TEST(field(R"({"prompt":"a"})") == "model");
  BOOST_TEST(field(R"({"model":"m"})") == "prompt");
  BOOST_TEST(field(R"({"model":"m","prompt":""})") == "prompt");
  BOOST_TEST(field(R"({"model":"m","prompt":")" + std::string(401, 'a') +
                   "\"}") == "prompt");
  for (std::string_view invalid_field :
       {R"("max_tokens":0)", R"("max_tokens":51)", R"("n":2)", R"("tools":[])",
        R"("stream":"yes")", R"("temperature":3)", R"("top_p":-1)"}) {
    std::string body = R"({"model":"m","prompt":"a",)";
    body.append(invalid_field).append("}");
    std::string_view name =
        invalid_field.substr(1, invalid_field.find('"', 1) - 1);
    BOOST_TEST(field(body) == name);
  }
  CallerApi chat = CallerApi::kChatCompletions;
  BOOST_TEST(field(R"({"model":"m","messages":[]})", chat) == "messages");
  BOOST_TEST(field(R"({"model":"m","messages":[{"role":"x","content":""}]})",
                   chat) == "messages[0].role");
  BOOST_TEST(field(R"({"model":"m","messages":[{"role":"user"}]})", chat) ==
             "messages[0].content");
}

}  // namespace
}  // namespace cranberryhill
