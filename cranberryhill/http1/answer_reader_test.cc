#include "cranberryhill/http1/answer_reader.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cranberryhill::http1 {
namespace {

using State = AnswerReader::State;

struct Collected : AnswerSink {
  void OnHead(AnswerHead head) override { this->head = std::move(head); }
  void OnBody(std::string_view data) override { this->body.append(data); }

  AnswerHead head;
  std::string body;
};

struct Outcome {
  State state;
  size_t used = 0;
  std::string body;
  int status = 0;
  bool keeps_alive = false;
};

Outcome Read(std::string_view bytes, size_t piece, bool end) {
  Collected collected;
  AnswerReader reader(collected, false);
  std::string pending;
  size_t used = 0;
  while (!bytes.empty() && reader.state() == State::kOpen) {
    size_t step = std::min(piece, bytes.size());
    pending.append(bytes.substr(0, step));
    bytes.remove_prefix(step);
    size_t taken = reader.Feed(pending);
    pending.erase(0, taken);
    used += taken;
  }
  if (end)
    reader.FeedEnd();
  return {reader.state(), used, collected.body, collected.head.status,
          reader.KeepsAlive()};
}

constexpr std::string_view kWithLength =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
constexpr std::string_view kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
constexpr std::string_view kNoLength = "HTTP/1.1 200 OK\r\n\r\nhello";

/// Feeds `begin` and then `unit` again and again.
/// @return The largest number of bytes that the reader left unused, or nothing
///     if it had not failed after four megabytes.
std::optional<size_t> FeedWithoutEnd(std::string_view begin,
                                     std::string_view unit) {
  constexpr size_t kTotalBytes = 4 << 20;
  Collected collected;
  AnswerReader reader(collected, false);
  std::string pending(begin);
  size_t most_unused = 0;
  for (size_t fed = 0; fed < kTotalBytes; fed += unit.size()) {
    pending.append(unit);
    pending.erase(0, reader.Feed(pending));
    most_unused = std::max(most_unused, pending.size());
    if (reader.state() == State::kFailed)
      return most_unused;
  }
  return std::nullopt;
}

// Guards against memory that grows until the end of a request because a replica
// in trouble sends bytes without end where no body can be.
BOOST_AUTO_TEST_CASE(bytes_without_end_fail_early) {
  constexpr size_t kMostUnused = 128 << 10;
  constexpr std::string_view kChunkedHead =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string run(1000, 'a');
  struct {
    std::string_view name;
    std::string begin;
    std::string unit;
  } cases[] = {
      {"status line", "HTTP/1.1 200 ", run},
      {"header", "HTTP/1.1 200 OK\r\nX-A: ", run},
      {"headers", "HTTP/1.1 200 OK\r\n", "X-A: " + run + "\r\n"},
      {"interim answers", "", "HTTP/1.1 102 Wait\r\n\r\n"},
      {"chunk size", std::string(kChunkedHead), std::string(1000, '0')},
      {"chunk extension", std::string(kChunkedHead) + "5;a=", run},
      {"trailer", std::string(kChunkedHead) + "0\r\nX-A: ", run},
      {"trailers", std::string(kChunkedHead) + "0\r\n", "X-A: " + run + "\r\n"},
  };
  for (const auto& test_case : cases) {
    auto unused = FeedWithoutEnd(test_case.begin, test_case.unit);
    BOOST_TEST_INFO(test_case.name);
    BOOST_TEST(unused.value_or(SIZE_MAX) < kMostUnused);
  }
}

// Guards against an answer that is read differently in other pieces, and
// against bytes after its end being taken for a part of it.
RC_BOOST_PROP(any_chunking_gives_the_same_answer, ()) {
  auto answer = std::string(*rc::gen::element(kWithLength, kChunked));
  Outcome outcome = Read(answer + "HTTP/1.1 200 OK\r\n",
                         *rc::gen::inRange<size_t>(1, 50), false);
  RC_ASSERT(outcome.state == State::kDone);
  RC_ASSERT(outcome.used == answer.size());
  RC_ASSERT(outcome.body == "hello");
  RC_ASSERT(outcome.keeps_alive);
}

// Guards against an answer that was cut being taken for a whole one.
BOOST_AUTO_TEST_CASE(cut_answers_fail) {
  for (std::string_view whole : {kWithLength, kChunked}) {
    for (size_t length = 1; length < whole.size(); ++length) {
      Outcome outcome = Read(whole.substr(0, length), 1000, true);
      BOOST_TEST_CONTEXT(length) {
        BOOST_TEST((outcome.state == State::kFailed));
      }
    }
  }
  BOOST_TEST((Read("", 1, true).state == State::kFailed));
}

// Guards against an answer that was cut in its head, in an interim head, in the
// line of a chunk or in a trailer being taken for a whole one.
BOOST_AUTO_TEST_CASE(answers_cut_in_their_framing_fail) {
  constexpr std::string_view kInterim =
      "HTTP/1.1 100 Continue\r\n\r\n"
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  constexpr std::string_view kHeads[] = {
      "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
      "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\nX-A: b\r\n\r\n",
      "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n",
      "HTTP/1.1 503 Busy\r\nX-A: b\r\nContent-Length: 0\r\n\r\n",
  };
  constexpr std::string_view kChunks[] = {
      "0\r\n\r\n",
      "5\r\nhello\r\n0\r\n\r\n",
      "5;name=value\r\nhello\r\n0;name=\"a;b\"\r\n\r\n",
      "5\r\nhello\r\n0\r\nX-Sum: 12\r\nX-End: 1\r\n\r\n",
      "1\r\n0\r\n00005\r\n0\r\n\r\n\r\n0\r\n\r\n",
  };
  std::vector<std::string> answers;
  for (std::string_view head : kHeads)
    answers.emplace_back(head);
  for (std::string_view chunks : kChunks) {
    answers.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      std::string(chunks));
  }
  for (size_t i = 0, count = answers.size(); i < count; ++i)
    answers.push_back(std::string(kInterim) + answers[i]);
  for (std::string_view whole : answers) {
    for (size_t piece : {size_t{1}, whole.size()}) {
      for (size_t length = 0; length < whole.size(); ++length) {
        Outcome outcome = Read(whole.substr(0, length), piece, true);
        BOOST_TEST_CONTEXT(whole << " cut after " << length) {
          BOOST_TEST((outcome.state == State::kFailed));
          BOOST_TEST(!outcome.keeps_alive);
        }
      }
      BOOST_TEST_CONTEXT(whole) {
        BOOST_TEST((Read(whole, piece, true).state == State::kDone));
      }
    }
  }
}

// Guards against handing on a body without a length before its end is known,
// and against using its connection again.
BOOST_AUTO_TEST_CASE(body_without_length_ends_with_the_connection) {
  BOOST_TEST((Read(kNoLength, 7, false).state == State::kOpen));
  Outcome outcome = Read(kNoLength, 7, true);
  BOOST_TEST((outcome.state == State::kDone));
  BOOST_TEST(outcome.body == "hello");
  BOOST_TEST(!outcome.keeps_alive);
}

// Guards against an interim answer being taken for the final one.
BOOST_AUTO_TEST_CASE(interim_answers_are_skipped) {
  std::string bytes =
      "HTTP/1.1 100 Continue\r\n\r\n" + std::string(kWithLength);
  Outcome outcome = Read(bytes, 3, false);
  BOOST_TEST((outcome.state == State::kDone));
  BOOST_TEST(outcome.status == 200);
  BOOST_TEST(outcome.body == "hello");
}

// Guards against a hang on bytes that are no answer at all.
BOOST_AUTO_TEST_CASE(other_bytes_fail) {
  BOOST_TEST(
      (Read("\x01\x02garbage\r\n\r\n", 100, false).state == State::kFailed));
}

// Guards against an answer whose status the protocol does not have, which a
// caller would get as it is.
BOOST_AUTO_TEST_CASE(status_outside_of_the_protocol_is_no_answer) {
  for (const char* status : {"000", "001", "099", "600", "999"}) {
    std::string answer = std::string("HTTP/1.1 ") + status +
                         " OK\r\nContent-Length: 5\r\n\r\nhello";
    for (size_t piece : {size_t{1}, answer.size()}) {
      Outcome outcome = Read(answer, piece, false);
      BOOST_TEST((outcome.state == State::kFailed), status);
      BOOST_TEST(outcome.status == AnswerHead{}.status);
      BOOST_TEST(outcome.body.empty());
    }
  }
  for (const char* status : {"200", "299", "404", "599"}) {
    std::string answer = std::string("HTTP/1.1 ") + status +
                         " OK\r\nContent-Length: 5\r\n\r\nhello";
    BOOST_TEST((Read(answer, 7, false).state == State::kDone), status);
  }
}

}  // namespace
}  // namespace cranberryhill::http1
