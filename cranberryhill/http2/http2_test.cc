#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/http2/event_loop.h"
#include "cranberryhill/http2/http2_client.h"
#include "cranberryhill/http2/http2_server.h"

namespace cranberryhill {
namespace {

constexpr int kMaxSteps = 20000;
constexpr absl::Duration kStepWait = absl::Milliseconds(1);

/// What the callbacks of one request have reported.
struct Record {
  int status = 0;
  std::string body;
  int ends = 0;
  std::vector<Http2Failure> failures;

  Http2Callbacks Callbacks() {
    Http2Callbacks calls;
    calls.on_headers = [this](int code, const Headers&) { status = code; };
    calls.on_data = [this](std::string_view chunk) { body.append(chunk); };
    calls.on_end = [this] { ++ends; };
    calls.on_failed = [this](const Http2Failure& f) { failures.push_back(f); };
    return calls;
  }
  bool Finished() const { return this->ends > 0 || !this->failures.empty(); }
};

using RequestPointer = std::shared_ptr<Http2Request>;
using WriterPointer = std::shared_ptr<Http2ResponseWriter>;

/// A loop on a manual clock, a server and a client.
struct Fixture {
  ManualClock clock;
  std::unique_ptr<EventLoop> loop = NewEventLoop(clock);
  std::unique_ptr<Http2Client> client = NewHttp2Client(*loop);
  std::unique_ptr<Http2Server> server;
  std::unique_ptr<Http2Connection> connection;

  void Serve(Http2Handler handler, const Http2ServerOptions& options = {}) {
    auto result =
        ListenHttp2(*loop, {"127.0.0.1", 0}, options, std::move(handler));
    BOOST_REQUIRE(result);
    this->server = std::move(result.value());
    this->Connect(this->server->port());
  }
  void Connect(uint16_t port, const Http2ConnectionOptions& options = {}) {
    this->connection = this->client->Connect({"127.0.0.1", port}, options);
  }
  /// Runs the loop until `condition` holds.
  void Until(const std::function<bool()>& condition) {
    for (int step = 0; step < kMaxSteps && !condition(); ++step)
      this->loop->RunOnce(kStepWait);
    BOOST_REQUIRE(condition());
  }
  void Settle() {
    for (int step = 0; step < 50; ++step)
      this->loop->RunOnce(kStepWait);
  }
};

/// A TCP peer that speaks no HTTP/2 by itself.
class RawPeer {
 public:
  RawPeer() : fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address = Loopback(0);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(this->fd, generic, size) == 0);
    BOOST_REQUIRE(getsockname(this->fd, generic, &size) == 0);
    this->bound_port = ntohs(address.sin_port);
  }
  ~RawPeer() {
    ::close(this->fd);
    if (this->accepted >= 0)
      ::close(this->accepted);
  }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  uint16_t Port() const { return this->bound_port; }
  void Listen(int backlog = 8) {
    BOOST_REQUIRE(listen(this->fd, backlog) == 0);
  }
  /// Makes the client's system keep most of what the client writes.
  void UseSmallestWindow() {
    constexpr int kSmallestWindow = 1;
    BOOST_REQUIRE(setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &kSmallestWindow,
                             sizeof(kSmallestWindow)) == 0);
  }
  void Accept() { this->accepted = accept(this->fd, nullptr, nullptr); }
  /// Reads what has arrived, without waiting.
  void ReadAvailable() {
    std::array<char, 4096> buffer;
    ssize_t count = 0;
    while ((count = recv(this->accepted, buffer.data(), buffer.size(),
                         MSG_DONTWAIT)) > 0)
      this->received += static_cast<size_t>(count);
    if (count < 0 && errno == ECONNRESET)
      this->reset = true;
  }
  /// @return Bytes that have arrived and are not read.
  size_t AvailableBytes() const {
    int bytes = 0;
    ioctl(this->accepted, FIONREAD, &bytes);
    return static_cast<size_t>(bytes);
  }
  /// Sends as much of `bytes` as the connection takes at once.
  /// @return Bytes sent, 0 also when the connection has ended.
  size_t SendAvailable(std::string_view bytes) {
    ssize_t count = send(this->accepted, bytes.data(), bytes.size(),
                         MSG_DONTWAIT | MSG_NOSIGNAL);
    return count < 0 ? 0 : static_cast<size_t>(count);
  }
  size_t ReceivedBytes() const { return this->received; }
  bool IsReset() const { return this->reset; }
  void ConnectAndSend(uint16_t port, const std::string& bytes) {
    sockaddr_in address = Loopback(port);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(connect(this->fd, generic, sizeof(address)) == 0);
    BOOST_REQUIRE(send(this->fd, bytes.data(), bytes.size(), 0) ==
                  static_cast<ssize_t>(bytes.size()));
  }
  void AcceptAndSend(const std::string& bytes) {
    this->accepted = accept(this->fd, nullptr, nullptr);
    BOOST_REQUIRE(send(this->accepted, bytes.data(), bytes.size(), 0) ==
                  static_cast<ssize_t>(bytes.size()));
  }

 private:
  static sockaddr_in Loopback(uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
  }

  int fd;
  int accepted = -1;
  uint16_t bound_port = 0;
  size_t received = 0;
  bool reset = false;
};

void Echo(const RequestPointer& request, const WriterPointer& response) {
  request->ReadWhole(
      [response, path = request->path()](const std::string& body) {
        response->SendHeaders(200, {{"x-path", path}});
        response->SendBody(body);
        response->End();
      });
}

// Guards against a body that is cut off or never acknowledged when it exceeds
// the flow-control window in both directions.
BOOST_FIXTURE_TEST_CASE(WholeExchangeBeyondTheWindow, Fixture) {
  this->Serve(Echo);
  Record record;
  std::string body;
  for (int i = 0; i < 300000; ++i)
    body += std::to_string(i);
  this->connection->Send({"POST", "/echo", {}, body}, record.Callbacks());
  this->Until([&] { return record.Finished(); });
  BOOST_TEST(record.status == 200);
  BOOST_TEST((record.body == body));
  BOOST_TEST(record.ends == 1);
  BOOST_TEST(this->connection->active_streams() == 0U);
}

// Guards against chunks that wait until the response is complete.
BOOST_FIXTURE_TEST_CASE(ChunksArriveWhileTheStreamIsOpen, Fixture) {
  WriterPointer writer;
  this->Serve([&](const RequestPointer&, const WriterPointer& response) {
    writer = response;
    writer->SendHeaders(200, {});
  });
  Record record;
  this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until([&] { return record.status == 200; });
  for (const char* expected : {"a", "ab", "abc"}) {
    writer->SendBody(std::string(1, std::string_view(expected).back()));
    this->Until([&] { return record.body == expected; });
  }
  BOOST_TEST(record.ends == 0);
  writer->End();
  this->Until([&] { return record.ends == 1; });
}

// Guards against a server that goes on working for a caller that has left,
// and against callbacks after Cancel().
BOOST_FIXTURE_TEST_CASE(CancelReachesTheServer, Fixture) {
  WriterPointer writer;
  std::vector<CloseReason> closed;
  this->Serve([&](const RequestPointer&, const WriterPointer& response) {
    writer = response;
    writer->SendHeaders(200, {});
    writer->OnClosed([&](CloseReason reason) { closed.push_back(reason); });
  });
  Record record;
  auto stream =
      this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until([&] { return record.status == 200; });
  stream->Cancel();
  this->Until([&] { return !closed.empty(); });
  BOOST_TEST((closed[0] == CloseReason::kReset));
  BOOST_TEST(!writer->open());
  BOOST_TEST(!record.Finished());
  BOOST_TEST(this->server->active_streams() == 0U);
}

// Guards against a server that goes on working for a caller whose connection
// is gone.
BOOST_FIXTURE_TEST_CASE(LostConnectionReachesTheServer, Fixture) {
  WriterPointer writer;
  std::vector<CloseReason> closed;
  std::string peer;
  this->Serve(
      [&](const RequestPointer& request, const WriterPointer& response) {
        peer = request->peer();
        writer = response;
        writer->SendHeaders(200, {});
      });
  Record record;
  this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until([&] { return record.status == 200; });
  this->connection.reset();
  this->Until([&] { return this->server->connections() == 0; });
  // Also a callback that is set too late is told.
  writer->OnClosed([&](CloseReason reason) { closed.push_back(reason); });
  this->Until([&] { return !closed.empty(); });
  BOOST_TEST((closed[0] == CloseReason::kConnectionLost));
  BOOST_TEST(peer.starts_with("127.0.0.1:"));
  BOOST_REQUIRE(record.failures.size() == 1U);
  BOOST_TEST((record.failures[0].reason == CloseReason::kClosedLocally));
}

// Guards against a streamed request body that arrives only when complete, or
// in another order than it was sent in.
BOOST_FIXTURE_TEST_CASE(RequestBodyIsStreamed, Fixture) {
  std::string received;
  int chunks = 0;
  this->Serve(
      [&](const RequestPointer& request, const WriterPointer& response) {
        request->ReadStreamed([&, response](std::string_view chunk, bool end) {
          received.append(chunk);
          ++chunks;
          if (end) {
            response->SendHeaders(204, {});
            response->End();
          }
        });
      });
  std::string body;
  for (int i = 0; i < 200000; ++i)
    body += std::to_string(i);
  Record record;
  this->connection->Send({"POST", "/", {}, body}, record.Callbacks());
  this->Until([&] { return record.Finished(); });
  BOOST_TEST(record.status == 204);
  BOOST_TEST((received == body));
  BOOST_TEST(chunks > 10);
}

// Guards against a reset by the server that looks like a complete response.
BOOST_FIXTURE_TEST_CASE(ServerResetFailsTheRequest, Fixture) {
  this->Serve([](const RequestPointer&, const WriterPointer& response) {
    response->SendHeaders(200, {});
    response->Reset(Http2Error::kEnhanceYourCalm);
  });
  Record record;
  this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until([&] { return record.Finished(); });
  BOOST_REQUIRE(record.failures.size() == 1U);
  BOOST_TEST((record.failures[0].reason == CloseReason::kReset));
  BOOST_TEST((record.failures[0].code == Http2Error::kEnhanceYourCalm));
  BOOST_TEST(record.failures[0].may_have_been_sent);
  BOOST_TEST(record.ends == 0);
}

// Guards against requests that hang for good on a connection gone silent.
BOOST_FIXTURE_TEST_CASE(SilentPeerIsClosedByPings, Fixture) {
  RawPeer silent;
  silent.Listen();
  this->Connect(silent.Port());
  Record record;
  this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until(
      [&] { return this->connection->state() == Http2ConnectionState::kOpen; });
  this->clock.Advance(absl::Milliseconds(2900));
  this->Settle();
  BOOST_TEST(!record.Finished());
  this->clock.Advance(absl::Milliseconds(200));
  this->Until([&] { return record.Finished(); });
  BOOST_TEST((record.failures[0].reason == CloseReason::kPingTimeout));
  BOOST_TEST(record.failures[0].may_have_been_sent);
}

// Guards against a healthy connection that is closed by its own pings, and
// against a round-trip time that is never measured.
BOOST_FIXTURE_TEST_CASE(AnsweredPingsKeepTheConnection, Fixture) {
  this->Serve(Echo);
  int changes = 0;
  this->connection->OnStateChange(
      [&](Http2ConnectionState, std::optional<CloseReason>) { ++changes; });
  this->Until([&] { return this->connection->last_round_trip().has_value(); });
  for (int second = 0; second < 10; ++second) {
    this->clock.Advance(absl::Seconds(1));
    this->Settle();
  }
  BOOST_TEST((this->connection->state() == Http2ConnectionState::kOpen));
  BOOST_TEST(changes == 1);
}

/// @return A frame of HTTP/2 for the first stream of a client.
std::string Frame(char type, char flags, const std::string& payload) {
  std::string frame(3, '\0');
  frame[1] = static_cast<char>(payload.size() >> 8);
  frame[2] = static_cast<char>(payload.size() & 0xff);
  frame += type;
  frame += flags;
  frame += std::string("\0\0\0\1", 4);
  return frame + payload;
}

// Guards against a block of headers without end that is all kept.
BOOST_FIXTURE_TEST_CASE(HeadersWithoutEndAreNotKept, Fixture) {
  constexpr char kHeaders = 1;
  constexpr char kContinuation = 9;
  constexpr size_t kManyBytes = size_t{16} << 20;
  constexpr size_t kFewBytes = size_t{8} << 20;
  const std::string settings("\0\0\0\4\0\0\0\0\0", 9);
  // A literal field without indexing.
  const std::string field = std::string("\0\1a\x64", 4) + std::string(100, 'v');
  const std::string block = Frame(kContinuation, 0, field + field + field);

  RawPeer peer;
  peer.Listen();
  this->Connect(peer.Port());
  peer.Accept();
  Record record;
  auto stream =
      this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until([&] {
    peer.ReadAvailable();
    return stream->may_have_been_sent();
  });
  this->Settle();
  std::string unsent = settings + Frame(kHeaders, 0, "\x88");
  size_t sent = 0;
  while (!record.Finished() && sent < kManyBytes) {
    while (unsent.size() < kManyBytes / 256)
      unsent += block;
    size_t count = peer.SendAvailable(unsent);
    unsent.erase(0, count);
    sent += count;
    this->loop->RunOnce(kStepWait);
    peer.ReadAvailable();
  }
  BOOST_TEST(record.failures.size() == 1U);
  BOOST_TEST(sent < kFewBytes);
  BOOST_TEST(record.status == 0);
}

struct PendingRequestFixture : Fixture {
  /// Sends a request that waits in this system for the peer to read it.
  void SendRequest() {
    this->peer.UseSmallestWindow();
    this->peer.Listen();
    this->Connect(this->peer.Port());
    this->Until([this] {
      return this->connection->state() == Http2ConnectionState::kOpen;
    });
    this->peer.Accept();
    this->stream =
        this->connection->Send({"POST", "/", {}, std::string(kBodyBytes, 'x')},
                               this->record.Callbacks());
    this->Settle();
  }

  // Within the flow control window of a peer that is silent.
  static constexpr size_t kBodyBytes = 60'000;
  RawPeer peer;
  Record record;
  std::shared_ptr<Http2Stream> stream;
};

// Guards against the next test passing because the system had no room for the
// request.
BOOST_FIXTURE_TEST_CASE(RequestArrivesWhenItsPeerReadsAgain,
                        PendingRequestFixture) {
  this->SendRequest();
  this->Until([this] {
    this->peer.ReadAvailable();
    return this->peer.ReceivedBytes() > kBodyBytes;
  });
}

// Guards against a request that arrives after its connection was given up,
// because the system goes on sending what the peer had not received.
BOOST_FIXTURE_TEST_CASE(GivenUpRequestDoesNotArriveLater,
                        PendingRequestFixture) {
  this->SendRequest();
  size_t arrived = this->peer.AvailableBytes();
  this->connection->Close();
  this->Settle();
  this->Until([this] {
    this->peer.ReadAvailable();
    return this->peer.IsReset() || this->peer.ReceivedBytes() > kBodyBytes;
  });
  BOOST_TEST(this->peer.ReceivedBytes() <= arrived);
  BOOST_TEST(this->peer.IsReset());
}

// Guards against a refused connection that is reported as possibly sent, which
// would turn a call that never ran into an unknown outcome.
BOOST_FIXTURE_TEST_CASE(RefusedConnectionSentNothing, Fixture) {
  RawPeer bound_only;
  this->Connect(bound_only.Port());
  Record record;
  this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until([&] { return record.Finished(); });
  BOOST_TEST((record.failures[0].reason == CloseReason::kConnectFailed));
  BOOST_TEST(!record.failures[0].may_have_been_sent);
  // The connection opens by itself once the peer listens.
  bound_only.Listen();
  this->clock.Advance(absl::Seconds(1));
  this->Until(
      [&] { return this->connection->state() == Http2ConnectionState::kOpen; });
}

// Guards against requests that wait for good for an unreachable address.
BOOST_FIXTURE_TEST_CASE(ConnectTimeoutSentNothing, Fixture) {
  RawPeer full;
  full.Listen(0);
  // With its queue of accepted connections full, the system ignores others.
  std::array<std::unique_ptr<Http2Connection>, 4> filling;
  for (auto& other : filling)
    other = this->client->Connect({"127.0.0.1", full.Port()}, {});
  this->Settle();
  Http2ConnectionOptions options;
  options.max_queued = 1;
  this->Connect(full.Port(), options);
  Record record;
  Record excess;
  this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->connection->Send({"GET", "/", {}, ""}, excess.Callbacks());
  this->Until([&] { return excess.Finished(); });
  BOOST_TEST((excess.failures[0].reason == CloseReason::kQueueFull));
  BOOST_TEST(!record.Finished());
  this->clock.Advance(absl::Milliseconds(1001));
  this->Until([&] { return record.Finished(); });
  BOOST_TEST((record.failures[0].reason == CloseReason::kConnectFailed));
  BOOST_TEST(!record.failures[0].may_have_been_sent);
}

// Guards against a queue without bound in front of a connection.
BOOST_FIXTURE_TEST_CASE(RequestsAboveTheQueueFail, Fixture) {
  RawPeer silent;
  silent.Listen();
  Http2ConnectionOptions options;
  options.max_queued = 2;
  this->Connect(silent.Port(), options);
  this->Until(
      [&] { return this->connection->state() == Http2ConnectionState::kOpen; });
  // 100 streams are taken to be allowed until the peer states its limit.
  std::vector<Record> records(100 + 3);
  for (Record& record : records) {
    this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
    this->loop->RunOnce(kStepWait);
    this->loop->RunOnce(kStepWait);
  }
  this->Until([&] { return records.back().Finished(); });
  BOOST_TEST((records.back().failures[0].reason == CloseReason::kQueueFull));
  for (size_t i = 0; i + 1 < records.size(); ++i)
    BOOST_TEST(!records[i].Finished());
}

// Guards against a posted task that waits until the selector's wait is over,
// and against timers that run out of order.
BOOST_FIXTURE_TEST_CASE(LoopRunsPostedTasksAndTimers, Fixture) {
  std::vector<int> order;
  this->loop->RunAfter(absl::Seconds(2), [&] { order.push_back(2); });
  this->loop->RunAfter(absl::Seconds(1), [&] { order.push_back(1); });
  this->loop->RunAfter(absl::Seconds(3), [&] { order.push_back(3); });
  this->clock.Advance(absl::Seconds(2));
  this->loop->RunOnce(kStepWait);
  BOOST_TEST((order == std::vector<int>{1, 2}));
  this->clock.Advance(absl::Seconds(1));
  this->loop->RunOnce(kStepWait);
  BOOST_TEST((order == std::vector<int>{1, 2, 3}));
  // Some posts meet a loop that waits. It waits for up to an hour when a post
  // does not wake it, and the test then times out.
  std::thread other([&] {
    for (int round = 0; round < 200; ++round) {
      std::promise<void> ran;
      this->loop->Post([&] { ran.set_value(); });
      ran.get_future().wait();
    }
    this->loop->Post([&] { this->loop->Stop(); });
  });
  this->loop->Run();
  other.join();
}

// Guards against a request that is written after its sender lost the right to
// send it.
BOOST_FIXTURE_TEST_CASE(DisallowedRequestIsNotSent, Fixture) {
  int requests = 0;
  this->Serve(
      [&](const RequestPointer& request, const WriterPointer& response) {
        ++requests;
        Echo(request, response);
      });
  Record denied;
  Record allowed;
  this->connection->Send({"POST", "/", {}, "x", [] { return false; }},
                         denied.Callbacks());
  this->connection->Send({"POST", "/", {}, "y", [] { return true; }},
                         allowed.Callbacks());
  this->Until([&] { return denied.Finished() && allowed.Finished(); });
  BOOST_REQUIRE(denied.failures.size() == 1U);
  BOOST_TEST((denied.failures[0].reason == CloseReason::kNotAllowed));
  BOOST_TEST(!denied.failures[0].may_have_been_sent);
  BOOST_TEST(allowed.body == "y");
  BOOST_TEST(requests == 1);
}

// Guards against an oversize body that is buffered, or that takes other
// streams of its connection down with it.
BOOST_FIXTURE_TEST_CASE(OversizeBodyIsAnsweredAlone, Fixture) {
  Http2ServerOptions options;
  options.max_body_bytes = 1000;
  std::vector<CloseReason> closed;
  this->Serve(
      [&](const RequestPointer& request, const WriterPointer& response) {
        response->OnClosed([&](CloseReason r) { closed.push_back(r); });
        Echo(request, response);
      },
      options);
  Record undeclared;
  Record declared;
  Record small;
  this->connection->Send({"POST", "/", {}, std::string(500000, 'x')},
                         undeclared.Callbacks());
  this->connection->Send(
      {"POST", "/", {{"content-length", "500000"}}, std::string(500000, 'x')},
      declared.Callbacks());
  this->connection->Send({"POST", "/", {}, "small"}, small.Callbacks());
  this->Until([&] {
    return undeclared.Finished() && declared.Finished() && small.Finished();
  });
  BOOST_TEST(undeclared.status == 413);
  BOOST_TEST(undeclared.ends == 1);
  BOOST_TEST(undeclared.body.find("\"not_run\"") != std::string::npos);
  BOOST_TEST(declared.status == 413);
  BOOST_TEST(small.body == "small");
  BOOST_REQUIRE(closed.size() == 1U);
  BOOST_TEST((closed[0] == CloseReason::kBodyTooLarge));
  this->Until([&] { return this->server->active_streams() == 0; });
}

// Guards against requests above the peer's limit of concurrent streams that
// are dropped, refused or answered to the wrong caller.
BOOST_FIXTURE_TEST_CASE(ManyStreamsAreAnsweredEachToItsOwn, Fixture) {
  constexpr size_t kStreams = 2000;
  constexpr size_t kLimit = 10;
  Http2ServerOptions options;
  options.limits.max_concurrent_streams = kLimit;
  size_t most = 0;
  this->Serve(
      [&](const RequestPointer& request, const WriterPointer& response) {
        most = std::max(most, this->server->active_streams());
        Echo(request, response);
      },
      options);
  Http2ConnectionOptions client_options;
  client_options.max_queued = kStreams;
  this->Connect(this->server->port(), client_options);
  // The limit is known to the client after the first exchange.
  Record first;
  this->connection->Send({"GET", "/", {}, ""}, first.Callbacks());
  this->Until([&] { return first.Finished(); });
  std::vector<Record> records(kStreams);
  size_t submitted = 0;
  size_t ended = 0;
  size_t most_submitted = 0;
  auto count = [&] {
    most_submitted = std::max(most_submitted, ++submitted - ended);
    return true;
  };
  for (size_t i = 0; i < kStreams; ++i) {
    Http2Callbacks calls = records[i].Callbacks();
    calls.on_end = [&, end = calls.on_end] {
      ++ended;
      end();
    };
    this->connection->Send({"POST", "/", {}, std::to_string(i), count}, calls);
  }
  size_t next = 0;
  this->Until([&] {
    while (next < kStreams && records[next].Finished())
      ++next;
    return next == kStreams;
  });
  for (size_t i = 0; i < kStreams; ++i)
    BOOST_TEST(records[i].body == std::to_string(i));
  BOOST_TEST(most <= kLimit);
  BOOST_TEST(most_submitted <= kLimit);
}

// Guards against a slow reader that makes the sender buffer without bound, and
// against a paused stream that blocks the others of its connection.
BOOST_FIXTURE_TEST_CASE(PausedStreamStopsTheSender, Fixture) {
  WriterPointer writer;
  int writable = 0;
  this->Serve(
      [&](const RequestPointer& request, const WriterPointer& response) {
        if (request->path() != "/slow")
          return Echo(request, response);
        writer = response;
        writer->OnWritable([&] { ++writable; });
        writer->SendHeaders(200, {});
      });
  Record slow;
  auto stream =
      this->connection->Send({"GET", "/slow", {}, ""}, slow.Callbacks());
  this->Until([&] { return slow.status == 200; });
  stream->Pause();
  const std::string chunk(10000, 'c');
  size_t sent = 0;
  bool more = true;
  for (int step = 0; step < 1000 && more; ++step) {
    more = writer->SendBody(chunk);
    sent += chunk.size();
    this->loop->RunOnce(kStepWait);
  }
  BOOST_TEST(!more);
  BOOST_TEST(sent <
             size_t{2} * Http2Limits{}.stream_buffer_bytes + 2 * chunk.size());
  Record other;
  this->connection->Send({"POST", "/", {}, "o"}, other.Callbacks());
  this->Until([&] { return other.Finished(); });
  BOOST_TEST(writable == 0);
  stream->Resume();
  this->Until([&] { return slow.body.size() == sent; });
  BOOST_TEST(writable == 1);
}

// Guards against invalid bytes that stop the server or stay unanswered.
BOOST_FIXTURE_TEST_CASE(MalformedBytesCloseOnlyTheirConnection, Fixture) {
  this->Serve(Echo);
  this->Until([&] { return this->server->connections() == 1; });
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"),
        preface + std::string(200, '\xff'),
        // DATA on stream 0.
        preface + std::string("\0\0\0\4\0\0\0\0\0\0\0\1\0\0\0\0\0\0x", 19)}) {
    RawPeer peer;
    peer.ConnectAndSend(this->server->port(), bytes);
    this->Until([&] { return this->server->connections() == 2; });
    this->Until([&] { return this->server->connections() == 1; });
  }
  Record record;
  this->connection->Send({"POST", "/", {}, "ok"}, record.Callbacks());
  this->Until([&] { return record.Finished(); });
  BOOST_TEST(record.body == "ok");
}

// Guards against a client that waits for a peer that speaks another protocol.
BOOST_FIXTURE_TEST_CASE(PeerWithoutHttp2IsAProtocolError, Fixture) {
  RawPeer peer;
  peer.Listen();
  this->Connect(peer.Port());
  Record record;
  this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until(
      [&] { return this->connection->state() == Http2ConnectionState::kOpen; });
  peer.AcceptAndSend("HTTP/1.1 400 Bad Request\r\n\r\n");
  this->Until([&] { return record.Finished(); });
  BOOST_TEST((record.failures[0].reason == CloseReason::kProtocolError));
}

// Guards against a planned stop that interrupts a request.
BOOST_FIXTURE_TEST_CASE(ShutdownLetsOpenStreamsFinish, Fixture) {
  WriterPointer writer;
  this->Serve([&](const RequestPointer&, const WriterPointer& response) {
    writer = response;
    writer->SendHeaders(200, {});
  });
  Record record;
  this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until([&] { return record.status == 200; });
  this->server->Shutdown();
  this->Until([&] {
    return this->connection->state() == Http2ConnectionState::kBackoff;
  });
  Record refused;
  this->connection->Send({"GET", "/", {}, ""}, refused.Callbacks());
  this->Until([&] { return refused.Finished(); });
  BOOST_TEST(!refused.failures[0].may_have_been_sent);
  writer->SendBody("rest");
  writer->End();
  this->Until([&] { return record.Finished(); });
  BOOST_TEST(record.body == "rest");
  BOOST_TEST(record.ends == 1);
  this->Until([&] { return this->server->connections() == 0; });
}

// Guards against use after free when a callback destroys its connection.
BOOST_FIXTURE_TEST_CASE(CallbackMayDestroyTheConnection, Fixture) {
  this->Serve(Echo);
  Record other;
  this->connection->Send({"POST", "/", {}, std::string(300000, 'x')},
                         other.Callbacks());
  bool destroyed = false;
  Http2Callbacks callbacks;
  callbacks.on_headers = [&](int, const Headers&) {
    this->connection.reset();
    destroyed = true;
  };
  this->connection->Send({"POST", "/", {}, "y"}, callbacks);
  this->Until([&] { return destroyed && other.Finished(); });
  BOOST_REQUIRE(other.failures.size() == 1U);
  BOOST_TEST((other.failures[0].reason == CloseReason::kClosedLocally));
  this->Until([&] { return this->server->connections() == 0; });
}

// Guards against a response whose status HTTP does not have, which ends without
// a head or is passed on as it is.
BOOST_FIXTURE_TEST_CASE(InvalidStatusIsNoResponse, Fixture) {
  int status = 0;
  this->Serve([&](const RequestPointer&, const WriterPointer& response) {
    response->SendHeaders(status, {});
    response->SendBody("body");
    response->End();
  });
  // nghttp2 itself refuses others that have not three digits.
  for (int invalid : {600, 999}) {
    status = invalid;
    Record record;
    this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
    this->Until([&] { return record.Finished(); });
    BOOST_TEST(record.status == 0);
    BOOST_TEST(record.body.empty());
    BOOST_TEST(record.ends == 0);
    BOOST_REQUIRE(record.failures.size() == 1U);
    BOOST_TEST((record.failures[0].reason == CloseReason::kProtocolError));
  }
  // The connection goes on.
  status = 599;
  Record record;
  this->connection->Send({"GET", "/", {}, ""}, record.Callbacks());
  this->Until([&] { return record.Finished(); });
  BOOST_TEST(record.status == 599);
  BOOST_TEST(record.body == "body");
}

}  // namespace
}  // namespace cranberryhill
