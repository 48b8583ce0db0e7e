// Server and client connections over loopback.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <optional>

#include "cranberryhill/http1/client.h"
#include "cranberryhill/http1/server.h"

namespace cranberryhill::http1 {
namespace {

using boost::asio::ip::tcp;

constexpr char kIp[] = "127.0.0.1";
/// Bounds a test whose condition never comes true.
constexpr std::chrono::seconds kLongest(10);

struct Handler : RequestHandler {
  using Work = std::function<void(IncomingRequest, std::shared_ptr<Responder>)>;

  struct Active : ActiveRequest {
    void OnCallerLeft() override { *this->left = true; }
    bool* left = nullptr;
  };

  std::shared_ptr<ActiveRequest> OnRequest(
      IncomingRequest request,
      std::shared_ptr<Responder> responder) override {
    ++this->requests;
    this->work(std::move(request), std::move(responder));
    auto active = std::make_shared<Active>();
    active->left = &this->caller_left;
    return active;
  }
  void OnMalformed(int status, std::string_view) override {
    this->malformed = status;
  }

  Work work;
  int requests = 0;
  int malformed = 0;
  bool caller_left = false;
};

struct Collected : AnswerHandler {
  AnswerMatch Match(const AnswerHead& head) override {
    std::string_view id = head.headers.Find("X-Id").value_or("own");
    if (id == "missing")
      return AnswerMatch::kUnidentified;
    return id == "own" ? AnswerMatch::kOwn : AnswerMatch::kForeign;
  }
  void OnHead(AnswerHead head) override { this->status = head.status; }
  void OnBody(std::string_view data) override { this->body.append(data); }
  void OnEnd(AnswerEnd end, std::string_view) override { this->end = end; }

  int status = 0;
  std::string body;
  std::optional<AnswerEnd> end;
};

struct Fixture {
  Fixture() {
    auto started = Capture([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(this->server.Listen(kIp, 0));
      return true;
    });
    BOOST_REQUIRE(started.ok());
  }

  void RunUntil(const std::function<bool()>& condition) {
    auto until = std::chrono::steady_clock::now() + kLongest;
    while (!condition() && std::chrono::steady_clock::now() < until)
      this->io.run_one_for(std::chrono::milliseconds(50));
    BOOST_REQUIRE(condition());
  }

  tcp::endpoint ServerEndpoint() {
    return {boost::asio::ip::make_address(kIp), this->server.port()};
  }

  std::string Request(std::string_view path) {
    RequestHead head;
    head.method = "GET";
    head.target = std::string(path);
    head.headers.Add("Host", "h");
    return SerializeRequest(head, "");
  }

  boost::asio::io_context io{1};
  BootClock clock;
  Handler handler;
  Server server{io, clock, handler, {}};
};

/// A server that writes given bytes to each connection after it has read some.
struct RawServer {
  RawServer(boost::asio::io_context& io, std::vector<std::string> answers)
      : acceptor(io, {boost::asio::ip::make_address(kIp), 0}),
        answers(std::move(answers)) {
    this->acceptor.async_accept(
        [this](boost::system::error_code error, tcp::socket accepted) {
          if (error)
            return;
          this->socket.emplace(std::move(accepted));
          this->Serve();
        });
  }

  void Serve() {
    this->socket->async_read_some(
        boost::asio::buffer(this->buffer),
        [this](boost::system::error_code error, size_t) {
          if (error) {
            this->closed = true;
            return;
          }
          if (this->next < this->answers.size())
            boost::asio::write(*this->socket, boost::asio::buffer(
                                                  this->answers[this->next++]));
          this->Serve();
        });
  }

  tcp::acceptor acceptor;
  std::vector<std::string> answers;
  std::optional<tcp::socket> socket;
  std::array<char, 4096> buffer{};
  size_t next = 0;
  bool closed = false;
};

std::string RawAnswer(std::string_view id, std::string_view body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(id) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

// Guards against connections that are opened anew for each request.
BOOST_FIXTURE_TEST_CASE(connection_carries_requests_one_after_the_other,
                        Fixture) {
  this->handler.work = [](const IncomingRequest& request, auto responder) {
    responder->SendWhole({200, "", {}}, request.head.target);
  };
  auto link = ClientConnection::Create(this->io, this->ServerEndpoint());
  for (const char* path : {"/a", "/b"}) {
    Collected answer;
    link->Send(this->Request(path), {}, answer);
    this->RunUntil([&] { return answer.end.has_value(); });
    BOOST_TEST((*answer.end == AnswerEnd::kComplete));
    BOOST_TEST(answer.body == path);
    BOOST_TEST(link->Reusable());
  }
  BOOST_TEST(this->server.OpenConnections() == 1U);
}

// Guards against a late answer to an earlier request being given to the next
// one on the connection, and against keeping such a connection.
BOOST_FIXTURE_TEST_CASE(answer_to_another_request_is_skipped, Fixture) {
  RawServer raw(this->io,
                {RawAnswer("other", "wrong") + RawAnswer("own", "right")});
  auto link = ClientConnection::Create(this->io, raw.acceptor.local_endpoint());
  Collected answer;
  link->Send(this->Request("/"), {}, answer);
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST((*answer.end == AnswerEnd::kComplete));
  BOOST_TEST(answer.body == "right");
  BOOST_TEST(!link->Reusable());
}

// Guards against a late copy of an answer being taken for the answer to the
// next request on the connection.
BOOST_FIXTURE_TEST_CASE(unidentified_answer_ends_the_connection, Fixture) {
  RawServer raw(this->io, {RawAnswer("missing", "refused")});
  auto link = ClientConnection::Create(this->io, raw.acceptor.local_endpoint());
  Collected answer;
  link->Send(this->Request("/"), {}, answer);
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST((*answer.end == AnswerEnd::kComplete));
  BOOST_TEST(answer.body == "refused");
  BOOST_TEST(!link->Reusable());
}

// Guards against bytes after a whole answer being read as the next answer.
BOOST_FIXTURE_TEST_CASE(extra_bytes_end_the_connection, Fixture) {
  RawServer raw(this->io, {RawAnswer("own", "right") + "HTTP/1.1 200"});
  auto link = ClientConnection::Create(this->io, raw.acceptor.local_endpoint());
  Collected answer;
  link->Send(this->Request("/"), {}, answer);
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST((*answer.end == AnswerEnd::kComplete));
  BOOST_TEST(!link->Reusable());
}

// Guards against a request whose replica is gone being reported as sent.
BOOST_FIXTURE_TEST_CASE(refused_connection_sent_nothing, Fixture) {
  tcp::endpoint closed = this->ServerEndpoint();
  this->server.StopAccepting();
  auto link = ClientConnection::Create(this->io, closed);
  Collected answer;
  link->Send(this->Request("/"), {}, answer);
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST((*answer.end == AnswerEnd::kNotConnected));
}

// Guards against a request that is never answered because its connection was
// closed after the answer before.
BOOST_FIXTURE_TEST_CASE(request_on_a_closed_connection_is_reported, Fixture) {
  this->handler.work = [](const IncomingRequest&, auto responder) {
    responder->SendWhole({200, "", {}}, "");
  };
  this->server.CloseAfterAnswers();
  auto link = ClientConnection::Create(this->io, this->ServerEndpoint());
  Collected first;
  link->Send(this->Request("/"), {}, first);
  this->RunUntil([&] { return first.end.has_value(); });
  BOOST_TEST(!link->Reusable());
  Collected second;
  link->Send(this->Request("/"), {}, second);
  this->RunUntil([&] { return second.end.has_value(); });
  BOOST_TEST((*second.end == AnswerEnd::kNotConnected));
}

// Guards against a cut stream that looks complete to the caller.
BOOST_FIXTURE_TEST_CASE(aborted_stream_is_not_complete, Fixture) {
  this->handler.work = [](const IncomingRequest&, auto responder) {
    responder->BeginStream({200, "", {}});
    responder->SendPart("one");
    responder->Abort();
  };
  auto link = ClientConnection::Create(this->io, this->ServerEndpoint());
  Collected answer;
  link->Send(this->Request("/"), {}, answer);
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST((*answer.end == AnswerEnd::kBroken));
  BOOST_TEST(answer.body == "one");
}

// Guards against work that goes on for a caller that has left.
BOOST_FIXTURE_TEST_CASE(caller_that_leaves_is_noticed, Fixture) {
  std::shared_ptr<Responder> kept;
  this->handler.work = [&kept](const IncomingRequest&, auto responder) {
    kept = std::move(responder);
  };
  auto link = ClientConnection::Create(this->io, this->ServerEndpoint());
  Collected answer;
  link->Send(this->Request("/"), {}, answer);
  this->RunUntil([&] { return kept != nullptr; });
  link->Cancel();
  this->RunUntil([&] { return this->handler.caller_left; });
  // Answering now has no effect.
  kept->SendWhole({200, "", {}}, "late");
  BOOST_TEST(this->server.OpenConnections() == 0U);
}

/// Accepts one connection and reads nothing until it is told to, as if the
/// network kept the two ends apart.
struct DeafServer {
  explicit DeafServer(boost::asio::io_context& io) : acceptor(io), socket(io) {
    constexpr int kSmallestWindow = 1;
    tcp::endpoint endpoint(boost::asio::ip::make_address(kIp), 0);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(
        boost::asio::socket_base::receive_buffer_size(kSmallestWindow));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->acceptor.async_accept(
        this->socket, [this](boost::system::error_code) { this->open = true; });
  }

  /// Reads until the connection ends.
  void ReadAll() {
    this->socket.async_read_some(
        boost::asio::buffer(this->buffer),
        [this](boost::system::error_code error, size_t bytes) {
          this->received += bytes;
          if (error)
            this->end = error;
          else
            this->ReadAll();
        });
  }

  tcp::acceptor acceptor;
  tcp::socket socket;
  bool open = false;
  std::array<char, 4096> buffer{};
  size_t received = 0;
  std::optional<boost::system::error_code> end;
};

struct PendingRequestFixture : Fixture {
  /// Sends a request that waits in this system for the server to read it.
  void SendRequest() {
    constexpr size_t kBodyBytes = 64 << 10;
    RequestHead head{"POST", "/", true, true, {}};
    head.headers.Add("Host", "h");
    std::string request = SerializeRequest(head, std::string(kBodyBytes, 'x'));
    this->bytes = request.size();
    this->link->Send(std::move(request), {}, this->answer);
    this->RunUntil([this] {
      return this->deaf.open && this->deaf.socket.available() > 0;
    });
    this->io.run_for(std::chrono::milliseconds(20));
  }

  DeafServer deaf{io};
  std::shared_ptr<ClientConnection> link =
      ClientConnection::Create(io, deaf.acceptor.local_endpoint());
  Collected answer;
  size_t bytes = 0;
};

// Guards against the other test of this fixture passing because the system had
// no room for the request.
BOOST_FIXTURE_TEST_CASE(request_arrives_when_its_server_reads_again,
                        PendingRequestFixture) {
  this->SendRequest();
  this->deaf.ReadAll();
  this->RunUntil([this] { return this->deaf.received == this->bytes; });
  this->link->Cancel();
}

// Guards against a request that arrives after it was given up, because the
// system goes on sending what the server had not received.
BOOST_FIXTURE_TEST_CASE(given_up_request_does_not_arrive_later,
                        PendingRequestFixture) {
  this->SendRequest();
  this->link->Cancel();
  this->deaf.ReadAll();
  this->RunUntil([this] { return this->deaf.end.has_value(); });
  BOOST_TEST(this->deaf.received < this->bytes);
  BOOST_TEST((*this->deaf.end == boost::asio::error::connection_reset));
}

// Guards against a second, pipelined request being served after a request that
// cannot be parsed.
BOOST_FIXTURE_TEST_CASE(malformed_request_ends_the_connection, Fixture) {
  this->handler.work = [](const IncomingRequest&, auto responder) {
    responder->SendWhole({200, "", {}}, "");
  };
  auto link = ClientConnection::Create(this->io, this->ServerEndpoint());
  Collected answer;
  link->Send(
      "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
      "Content-Length: 2\r\n\r\n" +
          this->Request("/smuggled"),
      {}, answer);
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST(answer.status == 400);
  BOOST_TEST(this->handler.malformed == 400);
  BOOST_TEST(this->handler.requests == 0);
}

// Guards against a shutdown that cuts the answer to a request in progress or
// leaves its connection open for more.
BOOST_FIXTURE_TEST_CASE(closing_server_finishes_the_request_in_progress,
                        Fixture) {
  std::shared_ptr<Responder> kept;
  this->handler.work = [&kept](const IncomingRequest&, auto responder) {
    kept = std::move(responder);
  };
  auto link = ClientConnection::Create(this->io, this->ServerEndpoint());
  Collected answer;
  link->Send(this->Request("/"), {}, answer);
  this->RunUntil([&] { return kept != nullptr; });
  this->server.CloseAfterAnswers();
  this->server.StopAccepting();
  this->server.CloseWhenIdle();
  BOOST_TEST(this->server.ActiveRequests() == 1U);
  kept->SendWhole({200, "", {}}, "done");
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST((*answer.end == AnswerEnd::kComplete));
  BOOST_TEST(answer.body == "done");
  BOOST_TEST(!link->Reusable());
}

// Guards against a connection that stays open for more requests during a
// shutdown, because the head of its stream was sent before.
BOOST_FIXTURE_TEST_CASE(stream_that_began_before_the_shutdown_closes, Fixture) {
  std::shared_ptr<Responder> kept;
  this->handler.work = [&kept](const IncomingRequest&, auto responder) {
    responder->BeginStream({200, "", {}});
    responder->SendPart("one");
    kept = std::move(responder);
  };
  auto link = ClientConnection::Create(this->io, this->ServerEndpoint());
  Collected answer;
  link->Send(this->Request("/"), {}, answer);
  this->RunUntil([&] { return answer.body == "one"; });
  this->server.CloseAfterAnswers();
  this->server.CloseWhenIdle();
  kept->EndStream();
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST((*answer.end == AnswerEnd::kComplete));
  this->RunUntil([&] { return !link->Reusable(); });
}

/// A server that answers without a length before it has read a long request.
struct EarlyAnswer {
  explicit EarlyAnswer(boost::asio::io_context& io)
      : acceptor(io, {boost::asio::ip::make_address(kIp), 0}), socket(io) {
    this->acceptor.async_accept(this->socket,
                                [this](boost::system::error_code error) {
                                  if (!error)
                                    this->Answer();
                                });
  }

  void Answer() {
    boost::asio::write(
        this->socket,
        boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\npart")));
  }

  void Reset() {
    this->socket.set_option(tcp::socket::linger(true, 0));
    this->socket.close();
  }

  /// Ends the answer in order and reads the rest of the request.
  void EndAnswer() {
    this->socket.shutdown(tcp::socket::shutdown_send);
    this->ReadOn();
  }

  void ReadOn() {
    this->socket.async_read_some(
        boost::asio::buffer(this->buffer),
        [this](boost::system::error_code error, size_t) {
          if (!error)
            this->ReadOn();
        });
  }

  tcp::acceptor acceptor;
  tcp::socket socket;
  std::array<char, 65536> buffer{};
};

/// A request that does not fit into the buffers of a connection.
std::string LongRequest() {
  constexpr size_t kBodyBytes = 32 << 20;
  RequestHead head;
  head.method = "POST";
  head.target = "/";
  head.headers.Add("Host", "h");
  return SerializeRequest(head, std::string(kBodyBytes, 'x'));
}

// Guards against a part of an answer that counts as whole because the write of
// the request was the first to see that the connection had been reset.
BOOST_FIXTURE_TEST_CASE(answer_reset_during_the_request_is_not_complete,
                        Fixture) {
  EarlyAnswer replica(this->io);
  auto connection =
      ClientConnection::Create(this->io, replica.acceptor.local_endpoint());
  Collected answer;
  connection->Send(LongRequest(), {}, answer);
  this->RunUntil([&] { return answer.body == "part"; });
  replica.Reset();
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST((answer.end == AnswerEnd::kBroken));
}

// Guards against an answer that is lost because it ended, in order, before its
// request had been read.
BOOST_FIXTURE_TEST_CASE(answer_that_ends_during_the_request_is_complete,
                        Fixture) {
  EarlyAnswer replica(this->io);
  auto connection =
      ClientConnection::Create(this->io, replica.acceptor.local_endpoint());
  Collected answer;
  connection->Send(LongRequest(), {}, answer);
  this->RunUntil([&] { return answer.body == "part"; });
  replica.EndAnswer();
  this->RunUntil([&] { return answer.end.has_value(); });
  BOOST_TEST((answer.end == AnswerEnd::kComplete));
  BOOST_TEST(!connection->Reusable());
}

}  // namespace
}  // namespace cranberryhill::http1
