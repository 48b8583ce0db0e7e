#include "cranberryhill/blocking_http/http_response_reader.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cranberryhill {
namespace {

// Guards against bytes without end that are all kept.
BOOST_AUTO_TEST_CASE(ResponsesWithoutEndFail) {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string chunked =
      status + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n";
  const std::vector<std::pair<std::string, std::string>> endless = {
      {"HTTP/1.1 200 ", "x"},
      {status, "x"},
      {status + "a: ", "x"},
      {status, "a: b\r\n"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {status + "\r\n", "x"},
      {chunked, "4\r\nabcd\r\n"},
      {chunked + "4;", "x"}};
  constexpr size_t kMaxBytes = 100'000;
  constexpr size_t kMaxTakenBytes = 200'000;
  for (const auto& [begin, repeated] : endless) {
    HttpResponseReader reader(kMaxBytes);
    size_t taken = 0;
    std::string next = begin;
    while (taken < kMaxTakenBytes &&
           Capture([&] { return reader.Append(next); }).ok()) {
      taken += next.size();
      next = repeated;
    }
    BOOST_TEST(taken < kMaxTakenBytes);
    BOOST_TEST(reader.result().body.size() <= kMaxTakenBytes);
  }
}

// Guards against a backend server that keeps an instance busy for longer with
// each byte of a part that never ends.
BOOST_AUTO_TEST_CASE(WorkIsLinearInTheBytesHoweverTheyAreSplit) {
  constexpr size_t kMostScansOfAByte = 4;
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> endless = {
      {"HTTP/1.1 200 OK\r\na: ", "x"}, {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
      {chunked + "4;", "x"},           {chunked, "0"},
      {chunked, "1\r\na\r\n"},         {chunked + "fff0;x\r\n", "x"}};
  for (const auto& answer : endless) {
    for (size_t size : {size_t{4} << 10, size_t{60} << 10}) {
      HttpResponseReader reader(1 << 20);
      size_t fed = 0;
      std::string next = answer.first;
      while (fed < size) {
        BOOST_TEST(Capture([&] { return reader.Append(next); }).ok());
        fed += next.size();
        next = answer.second;
      }
      BOOST_TEST(reader.scanned_bytes() <= kMostScansOfAByte * fed);
    }
  }
}

// Guards against responses whose end is recognized only if the bytes arrive in
// certain packets.
BOOST_AUTO_TEST_CASE(ResponsesAreParsedByteByByte) {
  std::map<std::string, std::string> answers = {
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
       "\r\nabc",
       "abc"},
      {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x=1\r\nab\r\n"
       "1\r\nc\r\n0\r\n",
       "abc"},
      {"HTTP/1.1 204 No Content\r\n\r\n", ""}};
  for (const auto& answer : answers) {
    const std::string& text = answer.first;
    HttpResponseReader reader(100);
    for (size_t i = 0; i < text.size(); ++i) {
      auto complete = Capture([&] { return reader.Append({&text[i], 1}); });
      BOOST_REQUIRE(complete.ok());
      BOOST_TEST(complete.value() == (i + 1 == text.size()));
    }
    BOOST_TEST(reader.result().body == answer.second);
  }
  HttpResponseReader closed(100);
  auto complete =
      Capture([&] { return closed.Append("HTTP/1.0 200 OK\r\n\r\nabc"); });
  BOOST_TEST(!complete.value());
  BOOST_TEST(closed.OnConnectionClosed());
  HttpResponseReader large(2);
  BOOST_TEST(!Capture([&] {
                return large.Append(
                    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
              }).ok());
}

// Guards against a response whose status the protocol does not have.
BOOST_AUTO_TEST_CASE(StatusesOutsideOfTheProtocolAreMalformed) {
  for (const char* status : {"000", "099", "600", "999"}) {
    HttpResponseReader reader(1000);
    std::string response =
        std::string("HTTP/1.1 ") + status + " OK\r\nContent-Length: 0\r\n\r\n";
    BOOST_TEST(!Capture([&] { return reader.Append(response); }).ok(), status);
  }
}

}  // namespace
}  // namespace cranberryhill
