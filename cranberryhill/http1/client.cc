#include "cranberryhill/http1/client.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <utility>

#include "cranberryhill/http1/socket_options.h"

namespace cranberryhill::http1 {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kReadBytes = 16384;
/// Assumed where a server does not state how long it keeps idle connections.
constexpr absl::Duration kDefaultIdleLimit = absl::Seconds(3);
/// More answers to other requests than this on one connection are a fault.
constexpr int kMaxForeignAnswers = 3;

/// @return The time in a Keep-Alive field such as "timeout=5, max=100".
absl::Duration ParseIdleLimit(std::string_view value) {
  constexpr std::string_view kKey = "timeout=";
  size_t at = value.find(kKey);
  if (at == std::string_view::npos)
    return kDefaultIdleLimit;
  value.remove_prefix(at + kKey.size());
  int seconds = 0;
  auto parsed =
      std::from_chars(value.data(), value.data() + value.size(), seconds);
  return parsed.ec == std::errc() ? absl::Seconds(seconds) : kDefaultIdleLimit;
}

}  // namespace

/// Passes the answer on unless it belongs to another request.
class ClientConnection::Sink : public AnswerSink {
 public:
  explicit Sink(ClientConnection& owner) : owner(owner) {}

  void OnHead(AnswerHead head) override {
    AnswerMatch match = this->owner.handler->Match(head);
    if (match != AnswerMatch::kOwn)
      this->owner.clean = false;
    this->foreign = match == AnswerMatch::kForeign;
    if (this->foreign)
      return;
    this->owner.idle_time = kDefaultIdleLimit;
    if (auto value = head.headers.Find("Keep-Alive"))
      this->owner.idle_time = ParseIdleLimit(*value);
    this->owner.handler->OnHead(std::move(head));
  }

  void OnBody(std::string_view data) override {
    if (!this->foreign && this->owner.handler != nullptr)
      this->owner.handler->OnBody(data);
  }

  bool foreign = false;

 private:
  ClientConnection& owner;
};

std::shared_ptr<ClientConnection> ClientConnection::Create(
    asio::io_context& io,
    tcp::endpoint endpoint) {
  return std::shared_ptr<ClientConnection>(
      new ClientConnection(io, std::move(endpoint)));
}

ClientConnection::ClientConnection(asio::io_context& io, tcp::endpoint endpoint)
    : io(io),
      endpoint(std::move(endpoint)),
      socket(io),
      connect_timer(io),
      idle_time(kDefaultIdleLimit) {}

ClientConnection::~ClientConnection() {
  // The destructor of the socket would close it in order.
  this->CloseSocket();
}

void ClientConnection::Send(std::string request,
                            SendOptions options,
                            AnswerHandler& handler) {
  this->request = std::move(request);
  this->options = options;
  this->handler = &handler;
  this->foreign_answers = 0;
  this->written = false;
  this->write_failed = false;
  this->ended_by_server = false;
  this->NewReader();
  if (this->state == State::kNew)
    return this->Connect(options.connect_timeout);
  if (this->state == State::kClosed) {
    // The other end closed the connection after its last answer.
    boost::asio::post(this->io, [self = this->shared_from_this()] {
      if (self->handler != nullptr)
        self->Finish(AnswerEnd::kNotConnected, "the connection is closed");
    });
    return;
  }
  this->state = State::kBusy;
  this->WriteRequest();
}

void ClientConnection::Connect(absl::Duration timeout) {
  this->state = State::kConnecting;
  auto self = this->shared_from_this();
  if (error_code error = OpenOutgoing(this->socket, this->endpoint)) {
    return boost::asio::post(this->io, [self, error] {
      if (self->state == State::kConnecting)
        self->Finish(AnswerEnd::kNotConnected, error.message());
    });
  }
  this->connect_timer.expires_after(absl::ToChronoMilliseconds(timeout));
  this->connect_timer.async_wait([self](error_code error) {
    if (!error && self->state == State::kConnecting)
      self->Finish(AnswerEnd::kNotConnected, "connecting timed out");
  });
  this->socket.async_connect(this->endpoint, [self](error_code error) {
    if (self->state != State::kConnecting)
      return;
    self->connect_timer.cancel();
    if (error)
      return self->Finish(AnswerEnd::kNotConnected, error.message());
    SetSocketOptions(self->socket);
    // Holds for the end of this process, too.
    SetCloseMode(self->socket, CloseMode::kReset);
    self->state = State::kBusy;
    self->WriteRequest();
    self->Read();
  });
}

void ClientConnection::WriteRequest() {
  auto self = this->shared_from_this();
  asio::async_write(this->socket, asio::buffer(this->request),
                    [self](error_code error, size_t) {
                      self->written = !error;
                      if (error) {
                        // An answer sent before the request was read may still
                        // arrive; the read reports the end of the connection.
                        self->clean = false;
                        self->write_failed = true;
                      }
                      if (self->handler == nullptr || !error)
                        std::string().swap(self->request);
                      if (self->ended_by_server)
                        self->OnEndOfAnswer();
                    });
}

void ClientConnection::Read() {
  if (this->reading || this->paused || !this->socket.is_open())
    return;
  this->reading = true;
  this->socket.async_wait(tcp::socket::wait_read,
                          [self = this->shared_from_this()](error_code error) {
                            self->reading = false;
                            if (!error)
                              self->OnReadable();
                          });
}

void ClientConnection::Resume() {
  this->paused = false;
  if (this->state == State::kBusy)
    this->Read();
}

void ClientConnection::OnReadable() {
  if (!this->socket.is_open() || this->paused)
    return;
  std::array<char, kReadBytes> buffer;
  error_code error;
  this->socket.non_blocking(true, error);
  size_t bytes = this->socket.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block)
    return this->Read();
  if (error)
    return this->OnReadFailed(error);
  auto self = this->shared_from_this();
  this->OnBytes({buffer.data(), bytes});
  this->Read();
}

void ClientConnection::OnReadFailed(const error_code& error) {
  if (this->state != State::kBusy)
    return this->CloseSocket();
  // Only an orderly close can be the end of a body without a length.
  if (error == asio::error::eof) {
    this->reader->FeedEnd();
    if (this->handler == nullptr)
      return;
    if (this->reader->state() == AnswerReader::State::kDone &&
        !this->sink->foreign) {
      this->ended_by_server = true;
      return this->OnEndOfAnswer();
    }
  }
  this->Finish(AnswerEnd::kBroken, error.message());
}

/// Ends an answer that has no length when the server has ended the connection.
/// A reset looks like an orderly end if the write was the first to see it, so
/// the outcome of the write decides.
void ClientConnection::OnEndOfAnswer() {
  if (this->handler == nullptr || (!this->written && !this->write_failed))
    return;
  if (this->written)
    return this->Finish(AnswerEnd::kComplete, "");
  this->Finish(AnswerEnd::kBroken,
               "the connection was reset during the request");
}

void ClientConnection::OnBytes(std::string_view data) {
  // Bytes nobody asked for: a late extra answer.
  if (this->state != State::kBusy)
    return this->CloseSocket();
  this->incoming.append(data);
  while (this->state == State::kBusy && this->handler != nullptr) {
    size_t used = this->reader->Feed(this->incoming);
    if (this->handler == nullptr)
      return;
    this->incoming.erase(0, used);
    if (this->reader->state() == AnswerReader::State::kFailed)
      return this->Finish(AnswerEnd::kBroken, this->reader->failure_reason());
    if (this->reader->state() == AnswerReader::State::kOpen)
      return;
    this->OnAnswerDone();
  }
}

void ClientConnection::OnAnswerDone() {
  if (!this->sink->foreign)
    return this->Finish(AnswerEnd::kComplete, "");
  if (!this->reader->KeepsAlive() ||
      ++this->foreign_answers >= kMaxForeignAnswers) {
    return this->Finish(AnswerEnd::kBroken,
                        "the answer belongs to another request");
  }
  this->NewReader();
}

void ClientConnection::NewReader() {
  this->sink = std::make_unique<Sink>(*this);
  this->reader =
      std::make_unique<AnswerReader>(*this->sink, this->options.head_request);
}

void ClientConnection::Finish(AnswerEnd end, std::string_view reason) {
  AnswerHandler* finished = std::exchange(this->handler, nullptr);
  // An idle connection is read to notice its end.
  this->paused = false;
  bool reusable = end == AnswerEnd::kComplete && this->written && this->clean &&
                  this->incoming.empty() && this->reader->KeepsAlive();
  bool answered = end == AnswerEnd::kComplete && this->written;
  if (answered)
    this->state = State::kIdle;
  if (!reusable)
    this->CloseSocket();
  auto self = this->shared_from_this();
  if (finished != nullptr)
    finished->OnEnd(end, reason);
}

void ClientConnection::Cancel() {
  this->handler = nullptr;
  this->CloseSocket();
}

void ClientConnection::CloseSocket() {
  if (this->state == State::kIdle)
    SetCloseMode(this->socket, CloseMode::kOrderly);
  this->state = State::kClosed;
  this->connect_timer.cancel();
  error_code ignored;
  this->socket.close(ignored);
}

bool ClientConnection::Reusable() const {
  return this->state == State::kIdle && this->socket.is_open();
}

}  // namespace cranberryhill::http1
