#include "cranberryhill/http1/server.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "cranberryhill/http1/socket_options.h"

namespace cranberryhill::http1 {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Bytes of further requests that are read while one is being answered. Enough
/// to notice that the caller has left; more stays in the kernel's buffer.
constexpr size_t kMaxReadAhead = 65536;
/// A caller that leaves this many bytes of a stream unread has stopped reading.
constexpr size_t kMaxUnsentBytes = 2 << 20;
/// A stream with more unsent bytes than this is backlogged until few are left.
constexpr size_t kBackloggedBytes = 64 << 10;
constexpr size_t kCaughtUpBytes = 16 << 10;
/// A body is kept once for the request and once more while it is being sent.
constexpr size_t kCopiesOfBody = 2;
/// How often time limits of connections are checked.
constexpr std::chrono::milliseconds kSweepInterval(250);
/// Pause after a connection could not be accepted.
constexpr std::chrono::milliseconds kAcceptPause(20);
/// A connection closed with unread bytes is reset, which can destroy the
/// answer on its way; after an answer that closes, bytes are read and dropped
/// for this long.
constexpr absl::Duration kLinger = absl::Seconds(1);
/// Longest time in which the rest of an answer must be sent after its end is
/// known. The system ends connections whose callers are gone much sooner.
constexpr absl::Duration kMaxSendTime = absl::Seconds(10);
constexpr int kBacklog = 1024;

}  // namespace

class Server::Connection : public Responder,
                           public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& server, tcp::socket socket)
      : server(&server),
        socket(std::move(socket)),
        waiting_since(server.clock.Now()),
        idle_time(server.limits.idle_time) {}

  void Start() { this->Read(); }

  bool busy() const { return this->phase == Phase::kAnswering; }  // NOLINT

  void SendWhole(AnswerHead head, std::string_view body) override {
    if (this->phase != Phase::kAnswering || this->streaming)
      return;
    bool close = this->MustClose();
    this->Write(SerializeAnswer(head, BodyFraming::Length(body.size()), close));
    if (this->method != "HEAD")
      this->Write(body);
    this->FinishAnswer(close);
  }

  void BeginStream(AnswerHead head) override {
    if (this->phase != Phase::kAnswering || this->streaming)
      return;
    this->streaming = true;
    this->close_after_stream = this->MustClose() || !this->http_1_1;
    this->Write(SerializeAnswer(
        head, this->http_1_1 ? BodyFraming::Chunked() : BodyFraming::Close(),
        this->close_after_stream));
  }

  void SendPart(std::string_view data) override {
    if (this->phase != Phase::kAnswering || !this->streaming)
      return;
    if (this->http_1_1)
      this->Write(SerializeChunk(data));
    else
      this->Write(data);
    if (this->outgoing.size() > kMaxUnsentBytes)
      return this->Close();
    if (this->UnsentBytes() > kBackloggedBytes)
      this->backlogged = true;
  }

  void HoldUntilSent(ByteAccount::Reservation bytes) override {
    if (this->UnsentBytes() > 0 && this->socket.is_open())
      this->unsent_reservations.push_back(std::move(bytes));
  }

  bool IsBacklogged() const override { return this->backlogged; }

  void EndStream() override {
    if (this->phase != Phase::kAnswering || !this->streaming)
      return;
    if (this->http_1_1)
      this->Write(kLastChunk);
    this->FinishAnswer(this->close_after_stream);
  }

  void Abort() override {
    if (this->phase != Phase::kAnswering)
      return;
    this->active = nullptr;
    // The end of a body without a length is marked by an orderly close, so
    // only a reset shows that this one is cut.
    if (!this->http_1_1)
      return this->Reset();
    this->phase = Phase::kClosing;
    this->close_after_write = true;
    this->MaybeCloseAfterWrite();
  }

  /// Closes the connection if a time limit has passed.
  void CheckTime(absl::Time now) {
    if (!this->IsTimeUp(now))
      return;
    // While the event loop was busy, the request may have arrived in time.
    this->ReadArrived();
    if (!this->IsTimeUp(now))
      return;
    switch (this->phase) {
      case Phase::kAnswering:
        return;
      case Phase::kReading:
        this->phase = Phase::kAnswering;
        this->force_close = true;
        this->server->handler.OnMalformed(408, "the request came too slowly");
        return this->SendWhole({408, "", {}}, "");
      case Phase::kIdle:
      case Phase::kClosing:
        return this->Close();
    }
  }

  void CloseIfIdle() {
    this->ReadArrived();
    if (this->phase == Phase::kIdle)
      this->BeginLinger();
  }

  /// @return True if the request has not arrived in full and was refused.
  bool EndRequest(const AnswerHead& refusal) {
    if (this->phase == Phase::kAnswering) {
      if (auto request = this->active)
        request->OnShutdownEnds();
      return false;
    }
    if (this->phase != Phase::kReading)
      return false;
    this->phase = Phase::kAnswering;
    this->force_close = true;
    this->SendWhole(refusal, "");
    return true;
  }

  void Close() {
    if (!this->socket.is_open())
      return;
    error_code ignored;
    this->socket.close(ignored);
    this->phase = Phase::kClosing;
    this->body_bytes = nullptr;
    this->unsent_reservations.clear();
    auto left = std::exchange(this->active, nullptr);
    auto self = this->shared_from_this();
    this->server->connections.erase(self);
    if (left)
      left->OnCallerLeft();
  }

 private:
  enum class Phase { kIdle, kReading, kAnswering, kClosing };

  /// @return True if the current phase has lasted for its time limit.
  bool IsTimeUp(absl::Time now) const {
    absl::Duration elapsed = now - this->waiting_since;
    if (this->writing && this->phase != Phase::kAnswering)
      return elapsed >= kMaxSendTime;
    switch (this->phase) {
      case Phase::kAnswering:
        return false;
      case Phase::kReading:
        return elapsed >= this->request_time;
      case Phase::kIdle:
        return elapsed >=
               std::max(this->idle_time, this->server->limits.idle_time);
      case Phase::kClosing:
        return elapsed >= kLinger;
    }
    return false;
  }

  size_t UnsentBytes() const {
    return this->outgoing.size() + this->in_flight.size();
  }

  bool MustClose() const {
    return this->force_close || this->server->closing || !this->keep_alive;
  }

  void Reset() {
    SetCloseMode(this->socket, CloseMode::kReset);
    this->Close();
  }

  void Read() {
    if (this->reading || !this->socket.is_open())
      return;
    bool must_wait = this->phase == Phase::kAnswering ||
                     this->UnsentBytes() > kBackloggedBytes;
    if (must_wait && this->incoming.size() > kMaxReadAhead)
      return;
    this->reading = true;
    this->socket.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this()](error_code error) {
          self->reading = false;
          if (!error)
            self->OnReadable();
        });
  }

  void OnReadable() {
    if (!this->socket.is_open())
      return;
    auto& buffer = this->server->read_buffer;
    error_code error;
    this->socket.non_blocking(true, error);
    size_t bytes = this->socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block)
      return this->Read();
    if (error)
      return this->Close();
    if (this->phase != Phase::kClosing)
      this->incoming.append(buffer.data(), bytes);
    this->Consume();
    this->Read();
  }

  /// Reads the bytes that have arrived, if the connection waits for any.
  void ReadArrived() {
    error_code error;
    size_t unread = this->socket.available(error);
    size_t buffer_bytes = this->server->read_buffer.size();
    // A caller that goes on sending does not keep this loop busy.
    for (size_t read = 0; read < unread; read += buffer_bytes) {
      if (this->phase != Phase::kIdle && this->phase != Phase::kReading)
        return;
      this->OnReadable();
    }
  }

  void Consume() {
    while (this->phase == Phase::kIdle || this->phase == Phase::kReading) {
      if (this->phase == Phase::kIdle) {
        // A caller that sends requests and reads no answers must not make
        // their answers pile up.
        if (this->incoming.empty() || this->UnsentBytes() > kBackloggedBytes)
          return;
        this->phase = Phase::kReading;
        this->waiting_since = this->server->clock.Now();
        this->request_began = this->waiting_since;
        this->request_time = this->server->limits.request_time;
        this->reader =
            std::make_unique<RequestReader>(this->server->limits.request);
        this->OpenBodyBytes();
      }
      size_t used = this->reader->Feed(this->incoming);
      this->incoming.erase(0, used);
      if (!this->HasRoomForBody())
        return this->RefuseBody();
      if (this->reader->state() == RequestReader::State::kFailed)
        return this->RefuseMalformed();
      if (this->reader->state() != RequestReader::State::kDone) {
        if (this->reader->state() == RequestReader::State::kBody &&
            !this->continue_sent && this->reader->ExpectsContinue()) {
          this->continue_sent = true;
          this->Write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        return;
      }
      this->Dispatch();
    }
  }

  void OpenBodyBytes() {
    if (this->server->body_account == nullptr)
      return;
    error_code error;
    auto caller = this->socket.remote_endpoint(error);
    this->body_bytes = std::make_shared<ByteAccount::Reservation>(
        this->server->body_account->Open(error ? "unknown"
                                               : caller.address().to_string()));
  }

  bool HasRoomForBody() {
    return this->body_bytes == nullptr ||
           this->body_bytes->Grow(kCopiesOfBody * this->reader->body_bytes());
  }

  void RefuseBody() {
    this->reader = nullptr;
    this->body_bytes = nullptr;
    this->phase = Phase::kAnswering;
    this->force_close = true;
    this->SendWhole(this->server->handler.OnNoRoomForBody(), "");
  }

  void RefuseMalformed() {
    int status = this->reader->failure_status();
    this->server->handler.OnMalformed(status, this->reader->failure_reason());
    this->phase = Phase::kAnswering;
    this->force_close = true;
    this->SendWhole({status, "", {}}, "");
  }

  /// @return True if the caller has closed its connection behind the request. A
  ///     request that was read late may have been given up meanwhile.
  bool HasCallerLeft() {
    char next = 0;
    error_code error;
    this->socket.receive(asio::buffer(&next, 1), tcp::socket::message_peek,
                         error);
    return error && error != asio::error::would_block;
  }

  void Dispatch() {
    if (this->HasCallerLeft())
      return this->Close();
    IncomingRequest request{this->reader->TakeHead(), this->reader->TakeBody(),
                            this->request_began, std::move(this->body_bytes)};
    this->reader = nullptr;
    this->continue_sent = false;
    this->phase = Phase::kAnswering;
    this->streaming = false;
    this->backlogged = false;
    this->keep_alive = request.head.keep_alive;
    this->http_1_1 = request.head.http_1_1;
    this->method = request.head.method;
    auto self = this->shared_from_this();
    auto started = this->server->handler.OnRequest(std::move(request), self);
    if (this->phase == Phase::kAnswering)
      this->active = std::move(started);
  }

  void FinishAnswer(bool close) {
    this->active = nullptr;
    this->streaming = false;
    this->waiting_since = this->server->clock.Now();
    this->idle_time = this->server->limits.idle_time;
    // The head of a stream may have been sent before the server began to close.
    if (close || this->server->closes_when_idle)
      return this->BeginLinger();
    this->phase = Phase::kIdle;
    // Consume() runs from the event loop, so that a pipelined request does
    // not nest inside the answer to the one before it.
    if (!this->incoming.empty()) {
      asio::post(this->server->io, [self = this->shared_from_this()] {
        self->Consume();
        self->Read();
      });
    }
    this->Read();
  }

  // Sends what is pending, then the end of the stream, and reads until the
  // other end closes or the time is up.
  void BeginLinger() {
    this->phase = Phase::kClosing;
    this->waiting_since = this->server->clock.Now();
    this->shutdown_after_write = true;
    this->incoming.clear();
    this->MaybeCloseAfterWrite();
    this->Read();
  }

  void Write(std::string_view data) {
    this->outgoing.append(data);
    if (!this->writing)
      this->StartWrite();
  }

  void StartWrite() {
    if (this->outgoing.empty() || !this->socket.is_open())
      return;
    this->writing = true;
    // Parts written in the same turn of the loop leave in one call.
    asio::post(this->server->io, [self = this->shared_from_this()] {
      self->in_flight = std::exchange(self->outgoing, {});
      asio::async_write(
          self->socket, asio::buffer(self->in_flight),
          [self](error_code error, size_t) { self->OnWritten(error); });
    });
  }

  void OnWritten(error_code error) {
    this->writing = false;
    // An idle connection must not keep the memory of its last answer.
    std::string().swap(this->in_flight);
    if (error)
      return this->Close();
    this->StartWrite();
    if (!this->writing)
      this->unsent_reservations.clear();
    if (this->backlogged && this->UnsentBytes() <= kCaughtUpBytes)
      this->OnCaughtUp();
    // Requests that came while too much was unsent.
    if (this->phase == Phase::kIdle && !this->incoming.empty()) {
      this->Consume();
      this->Read();
    }
    // The caller can use the connection again only now.
    if (!this->writing && this->phase != Phase::kReading)
      this->waiting_since = this->server->clock.Now();
    this->MaybeCloseAfterWrite();
  }

  void OnCaughtUp() {
    this->backlogged = false;
    if (auto request = this->active)
      request->OnCallerCaughtUp();
  }

  void MaybeCloseAfterWrite() {
    if (this->writing || !this->socket.is_open())
      return;
    if (this->close_after_write)
      return this->Close();
    if (this->shutdown_after_write) {
      this->shutdown_after_write = false;
      error_code ignored;
      this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
  }

  Server* server;
  tcp::socket socket;
  std::unique_ptr<RequestReader> reader;  // Set while a request is read.
  Phase phase = Phase::kIdle;
  absl::Time waiting_since;  // Start of the current phase, for time limits.
  // Limit in force when the connection became idle. Callers may use the
  // connection for that long, so a shorter limit does not replace it.
  absl::Duration idle_time;
  absl::Time request_began;
  absl::Duration request_time;  // Limit in force when the request began.
  // Of the request that is being read.
  std::shared_ptr<ByteAccount::Reservation> body_bytes;
  std::vector<ByteAccount::Reservation> unsent_reservations;
  std::string incoming;
  std::string outgoing;
  std::string in_flight;
  std::string method;
  std::shared_ptr<ActiveRequest> active;
  bool reading = false;
  bool writing = false;
  bool streaming = false;
  bool backlogged = false;
  bool keep_alive = true;
  bool http_1_1 = true;
  bool continue_sent = false;
  bool force_close = false;
  bool close_after_stream = false;
  bool close_after_write = false;
  bool shutdown_after_write = false;
};

Server::Server(asio::io_context& io,
               const Clock& clock,
               RequestHandler& handler,
               ServerLimits limits,
               ByteAccount* body_account)
    : io(io),
      clock(clock),
      handler(handler),
      limits(limits),
      body_account(body_account),
      acceptor(io),
      sweep_timer(io),
      accept_timer(io) {}

Server::~Server() {
  this->CloseAll();
}

Result<void> Server::Listen(const std::string& ip, uint16_t port) {
  error_code error;
  tcp::endpoint endpoint(asio::ip::make_address(ip, error), port);
  if (!error)
    this->acceptor.open(endpoint.protocol(), error);
  if (!error)
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error)
    this->acceptor.bind(endpoint, error);
  if (!error)
    this->acceptor.listen(kBacklog, error);
  if (error) {
    return MakeError(ErrorCode::kUnavailable, "listen",
                     ip + ":" + std::to_string(port), error.message());
  }
  this->Accept();
  this->ScheduleSweep();
  return {};
}

uint16_t Server::port() const {
  return this->acceptor.local_endpoint().port();
}

void Server::CloseWhenIdle() {
  this->closes_when_idle = true;
  std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                this->connections.end());
  for (const auto& connection : open)
    connection->CloseIfIdle();
}

size_t Server::EndRequests(const AnswerHead& refusal) {
  std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                this->connections.end());
  return static_cast<size_t>(std::count_if(
      open.begin(), open.end(),
      [&](const auto& connection) { return connection->EndRequest(refusal); }));
}

void Server::StopAccepting() {
  error_code ignored;
  this->acceptor.close(ignored);
}

void Server::CloseAll() {
  this->StopAccepting();
  std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                this->connections.end());
  for (const auto& connection : open)
    connection->Close();
}

size_t Server::ActiveRequests() const {
  return static_cast<size_t>(
      std::count_if(this->connections.begin(), this->connections.end(),
                    [](const auto& connection) { return connection->busy(); }));
}

void Server::Accept() {
  this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !this->acceptor.is_open())
      return;
    // Such as no free file descriptor, which the next try would find as well.
    if (error && error != asio::error::connection_aborted)
      return this->AcceptLater();
    if (!error) {
      SetSocketOptions(socket);
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      this->connections.insert(connection);
      connection->Start();
    }
    this->Accept();
  });
}

void Server::AcceptLater() {
  this->accept_timer.expires_after(kAcceptPause);
  this->accept_timer.async_wait([this](error_code error) {
    if (!error && this->acceptor.is_open())
      this->Accept();
  });
}

void Server::ScheduleSweep() {
  this->sweep_timer.expires_after(kSweepInterval);
  this->sweep_timer.async_wait([this](error_code error) {
    if (error)
      return;
    this->Sweep();
    this->ScheduleSweep();
  });
}

void Server::Sweep() {
  absl::Time now = this->clock.Now();
  std::vector<std::shared_ptr<Connection>> open(this->connections.begin(),
                                                this->connections.end());
  for (const auto& connection : open)
    connection->CheckTime(now);
}

}  // namespace cranberryhill::http1
