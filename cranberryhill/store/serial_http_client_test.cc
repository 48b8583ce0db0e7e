#include "cranberryhill/store/serial_http_client.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "cranberryhill/store/send_and_forget.h"

namespace cranberryhill::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Accepts one connection, sends a head and then bytes until the connection is
/// closed, or nothing at all.
class EndlessServer {
 public:
  EndlessServer(asio::io_context& io, bool silent)
      : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
        socket(io),
        silent(silent),
        data(64 << 10, 'x') {
    this->acceptor.async_accept(this->socket, [this](error_code error) {
      if (!error)
        this->OnAccepted();
    });
  }

  tcp::endpoint Address() const { return this->acceptor.local_endpoint(); }
  bool IsClosed() const { return this->is_closed; }

 private:
  void OnAccepted() {
    this->AwaitClose();
    if (!this->silent)
      this->Send("HTTP/1.1 200 OK\r\n\r\n");
  }

  void AwaitClose() {
    this->socket.async_read_some(asio::buffer(this->received),
                                 [this](error_code error, size_t) {
                                   this->is_closed = bool{error};
                                   if (!error)
                                     this->AwaitClose();
                                 });
  }

  void Send(std::string_view bytes) {
    asio::async_write(this->socket, asio::buffer(bytes.data(), bytes.size()),
                      [this](error_code error, size_t) {
                        if (!error)
                          this->Send(this->data);
                      });
  }

  tcp::acceptor acceptor;
  tcp::socket socket;
  const bool silent;
  const std::string data;
  std::array<char, 1024> received;
  bool is_closed = false;
};

void RunUntil(asio::io_context& io, const std::function<bool()>& condition) {
  auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  bool met = condition();
  while (!met && std::chrono::steady_clock::now() < deadline) {
    io.run_one_for(std::chrono::milliseconds(50));
    met = condition();
  }
  BOOST_REQUIRE(met);
}

http1::OutgoingRequest MakeRequest() {
  http1::OutgoingRequest request;
  request.head.method = "GET";
  request.head.target = "/";
  request.head.headers.Add("Host", "h");
  return request;
}

// Guards against an answer without end that is used as if it were complete, or
// that keeps the connection until the timeout.
BOOST_AUTO_TEST_CASE(answer_without_end_fails_and_closes_the_connection) {
  asio::io_context io;
  EndlessServer server(io, false);
  BootClock clock;
  SerialHttpClient client(io, server.Address(), clock);
  std::optional<HttpResult> result;
  client.Call(MakeRequest(), absl::Minutes(1),
              [&result](HttpResult answer) { result = std::move(answer); });
  RunUntil(io, [&] { return result.has_value(); });
  BOOST_TEST(result->status == 0);
  BOOST_TEST(result->body.empty());
  RunUntil(io, [&server] { return server.IsClosed(); });
}

// Guards against cutting off a large answer that arrives over a slow link,
// which would be cut off again at each repeat of the call.
BOOST_AUTO_TEST_CASE(answer_that_is_arriving_outlasts_the_timeout) {
  constexpr absl::Duration kTimeout = absl::Milliseconds(50);
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  ManualClock clock;
  SerialHttpClient client(io, acceptor.local_endpoint(), clock);
  std::optional<HttpResult> result;
  client.Call(MakeRequest(), kTimeout,
              [&result](HttpResult answer) { result = std::move(answer); });
  tcp::socket server(io);
  acceptor.async_accept(server, [](error_code) {});
  RunUntil(io, [&server] { return server.is_open(); });
  const std::string part(100, 'x');
  asio::write(
      server,
      asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 200\r\n"
                               "\r\n") +
                   part));
  RunUntil(io, [&client] { return client.received_bytes() > 0; });
  clock.Advance(2 * kTimeout);
  bool timeout_has_passed = false;
  asio::steady_timer timer(io, absl::ToChronoMilliseconds(2 * kTimeout));
  timer.async_wait([&](error_code) { timeout_has_passed = true; });
  RunUntil(io, [&] { return timeout_has_passed; });
  BOOST_TEST(!result.has_value());
  asio::write(server, asio::buffer(part));
  RunUntil(io, [&result] { return result.has_value(); });
  BOOST_TEST(result->status == 200);
  BOOST_TEST(result->body.size() == 200U);
}

// Guards against connections that are kept for good because a replica never
// answers, or never ends its answer.
BOOST_AUTO_TEST_CASE(forgotten_request_does_not_keep_its_connection) {
  for (bool silent : {false, true}) {
    asio::io_context io;
    EndlessServer server(io, silent);
    http1::OutgoingRequest request = MakeRequest();
    SendAndForget(io, http1::ClientConnection::Create(io, server.Address()),
                  http1::SerializeRequest(request.head, request.body));
    RunUntil(io, [&server] { return server.IsClosed(); });
  }
}

}  // namespace
}  // namespace cranberryhill::gateway
