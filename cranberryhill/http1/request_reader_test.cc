#include "cranberryhill/http1/request_reader.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace cranberryhill::http1 {
namespace {

using State = RequestReader::State;

// Feeds `bytes` in pieces, as a connection does, until the request has ended.
size_t FeedInPieces(RequestReader& reader,
                    std::string_view bytes,
                    size_t piece) {
  std::string pending;
  size_t used = 0;
  while (!bytes.empty() && reader.state() != State::kDone &&
         reader.state() != State::kFailed) {
    size_t step = std::min(piece, bytes.size());
    pending.append(bytes.substr(0, step));
    bytes.remove_prefix(step);
    size_t taken = reader.Feed(pending);
    pending.erase(0, taken);
    used += taken;
  }
  return used;
}

int StatusFor(std::string_view bytes, RequestLimits limits = {}) {
  RequestReader reader(limits);
  FeedInPieces(reader, bytes, bytes.size());
  return reader.state() == State::kFailed ? reader.failure_status() : 0;
}

// Guards against a request that is read differently when its bytes come in
// other pieces, and against taking bytes of the next one.
RC_BOOST_PROP(any_chunking_gives_the_same_request, ()) {
  bool chunked = *rc::gen::arbitrary<bool>();
  std::string request =
      chunked ? "POST /p/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n"
              : "POST /p/ HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n"
                "hello world";
  RequestReader reader(RequestLimits{});
  size_t used = FeedInPieces(reader, request + "GET /next HTTP/1.1\r\n",
                             *rc::gen::inRange<size_t>(1, 40));
  RC_ASSERT(reader.state() == State::kDone);
  RC_ASSERT(used == request.size());
  RC_ASSERT(reader.TakeHead().target == "/p/");
  RC_ASSERT(reader.TakeBody() == "hello world");
}

// Guards against requests smuggled inside another one: whoever reads them with
// another rule for the length would see a second request.
BOOST_AUTO_TEST_CASE(ambiguous_lengths_are_refused) {
  const char* head = "POST / HTTP/1.1\r\nHost: h\r\n";
  for (const char* fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: 3, 3\r\n", "Content-Length: +3\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding : chunked\r\n"}) {
    BOOST_TEST_CONTEXT(fields) {
      BOOST_TEST(StatusFor(std::string(head) + fields + "\r\nabc") == 400);
    }
  }
  BOOST_TEST(StatusFor("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "0\r\n\r\n") == 400);
  BOOST_TEST(StatusFor("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") == 400);
  BOOST_TEST(StatusFor("GET / HTTP/1.1\r\n\r\n") == 400);
}

// Guards against unbounded memory for one request, with the status that tells
// the caller which bound it hit.
BOOST_AUTO_TEST_CASE(limits_are_kept) {
  RequestLimits limits{200, 10};
  std::string long_field(300, 'x');
  BOOST_TEST(
      StatusFor("GET / HTTP/1.1\r\nHost: h\r\nX: " + long_field + "\r\n\r\n",
                limits) == 431);
  BOOST_TEST(StatusFor("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11"
                       "\r\n\r\nhello world",
                       limits) == 413);
  BOOST_TEST(StatusFor("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10"
                       "\r\n\r\nhello worl",
                       limits) == 0);
}

// Guards against memory that grows while a caller sends the head of a chunk or
// a trailer that never ends, and against refusing a large chunk.
BOOST_AUTO_TEST_CASE(body_without_end_is_refused) {
  constexpr std::string_view kHead =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  RequestLimits limits{2000, 1 << 20};
  for (std::string_view begin : {"5;a=", "0\r\nX: "}) {
    RequestReader reader(limits);
    std::string bytes =
        std::string(kHead) + std::string(begin) + std::string(1 << 20, 'a');
    FeedInPieces(reader, bytes, 4096);
    BOOST_TEST((reader.state() == State::kFailed));
    BOOST_TEST(reader.failure_status() == 400);
  }
  RequestReader reader(limits);
  std::string chunk(100'000, 'b');
  FeedInPieces(
      reader, std::string(kHead) + "186a0\r\n" + chunk + "\r\n0\r\n\r\n", 4096);
  BOOST_TEST((reader.state() == State::kDone));
}

// Guards against fields of one connection that reach the next one.
BOOST_AUTO_TEST_CASE(connection_fields_are_removed) {
  HeaderList headers;
  headers.Add("Connection", "close, X-Private");
  headers.Add("X-Private", "1");
  headers.Add("Keep-Alive", "timeout=5");
  headers.Add("Transfer-Encoding", "chunked");
  headers.Add("Content-Length", "3");
  headers.Add("X-Kept", "1");
  headers.RemoveConnectionFields();
  BOOST_TEST(headers.Count("X-Kept") == 1U);
  BOOST_TEST(std::distance(headers.begin(), headers.end()) == 1);
}

}  // namespace
}  // namespace cranberryhill::http1
