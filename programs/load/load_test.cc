#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "programs/load/answer_reader.h"
#include "programs/load/service_audit.h"
#include "programs/load/workload.h"
#include "standins/fake_engine.h"

namespace cranberryhill::load {
namespace {

const std::string kPrompt = "user: hinge\n";

std::string Event(const std::string& text) {
  return R"(data: {"choices":[{"index":0,"delta":{"content":")" + text +
         "\"}}]}\n\n";
}

// Events of tokens `first` to `last`, both included.
std::string Events(uint64_t first, uint64_t last) {
  std::string events;
  for (uint64_t i = first; i <= last; ++i)
    events += Event(FakeToken(kPrompt, i));
  return events;
}

AnswerReader ReaderOf(uint64_t tokens) {
  return {AnswerFormat::kEvents, tokens, kPrompt};
}

BOOST_AUTO_TEST_SUITE(load)

// Guards against a whole answer that is counted as wrong because of where
// chunks begin and end, or because an event holds two tokens.
BOOST_AUTO_TEST_CASE(WholeAnswerIsRightInAnyChunks) {
  std::string answer = Events(0, 1) +
                       Event(FakeToken(kPrompt, 2) + FakeToken(kPrompt, 3)) +
                       "data: [DONE]\n\n";
  for (size_t size = 1; size <= answer.size(); size += 7) {
    AnswerReader reader = ReaderOf(4);
    size_t tokens = 0;
    for (size_t i = 0; i < answer.size(); i += size)
      tokens += reader.Feed(std::string_view(answer).substr(i, size));
    BOOST_TEST(tokens == 4U);
    BOOST_TEST(reader.done());
    BOOST_TEST(!reader.wrong());
  }
}

// Guards against gaps, repeats, short answers and late data that pass the
// check of an answer.
BOOST_AUTO_TEST_CASE(GapsRepeatsAndWrongLengthsAreSeen) {
  const std::string done = "data: [DONE]\n\n";
  for (const std::string& answer :
       {Events(0, 0) + Events(2, 3) + done, Events(0, 1) + Events(1, 2) + done,
        Events(0, 1) + done, Events(0, 2) + done + Events(3, 3)}) {
    AnswerReader reader = ReaderOf(3);
    reader.Feed(answer);
    BOOST_TEST(reader.wrong());
  }
}

// Guards against a refusal in a stream that is taken for a complete answer.
BOOST_AUTO_TEST_CASE(RefusalInAStreamIsNoEnd) {
  AnswerReader reader = ReaderOf(2);
  reader.Feed(Events(0, 0) +
              "data: {\"error\":{\"code\":\"backend_failed\","
              "\"outcome\":\"run_failed\"}}\n\n");
  BOOST_TEST(!reader.done());
  BOOST_REQUIRE(reader.refusal().has_value());
  BOOST_TEST(reader.refusal()->code == "backend_failed");
}

// Guards against an audit that misses a doubled run, an answer without a run,
// or a run that its caller was told had not happened.
BOOST_AUTO_TEST_CASE(AuditFindsEachKindOfDifference) {
  std::vector<CallRecord> calls = {
      {"ok", CallEnd::kAnswered},      {"twice", CallEnd::kUnknown},
      {"missing", CallEnd::kAnswered}, {"ran", CallEnd::kNotRun},
      {"not run", CallEnd::kNotRun},   {"unclear", CallEnd::kUnknown},
  };
  CallAudit audit =
      AuditCalls(calls, {{"ok", 1}, {"twice", 2}, {"ran", 1}, {"unclear", 1}});
  BOOST_TEST(audit.doubled == 1U);
  BOOST_TEST(audit.lost == 1U);
  BOOST_TEST(audit.wrong_not_run == 1U);
  BOOST_TEST(audit.unknown == 2U);
}

// Guards against runs with one seed that differ, and against two chats with
// the same prompt, which would share a crash fingerprint.
BOOST_AUTO_TEST_CASE(OneSeedGivesOneWorkload) {
  WorkloadSettings settings;
  settings.mix = Mix::kMixed;
  settings.chats_per_s = 10;
  settings.duration = absl::Seconds(10);
  settings.customers = {"a", "b"};
  Workload first(settings);
  Workload second(settings);
  std::string last;
  for (int i = 0; i < 50; ++i) {
    absl::Duration elapsed = absl::Milliseconds(100 * i);
    BOOST_TEST((first.ChatGap(elapsed) == second.ChatGap(elapsed)));
    ChatWork chat = first.NextChat(elapsed);
    BOOST_TEST(chat.content == second.NextChat(elapsed).content);
    BOOST_TEST(chat.content != last);
    last = chat.content;
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cranberryhill::load
