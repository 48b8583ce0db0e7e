#include "standins/gateway_platform/repeating_replica.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <utility>

#include "cranberryhill/http1/request_reader.h"
#include "platform/names.h"
#include "standins/gateway_platform/fake_replica.h"

namespace cranberryhill::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

}  // namespace

/// Answers requests one after the other. Kept alive by its pending operations.
class RepeatingReplica::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, RepeatingReplica& replica)
      : socket(std::move(socket)), replica(replica) {
    this->NewReader();
  }

  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [self = this->shared_from_this()](error_code error, size_t bytes) {
          if (error)
            return;
          self->received.append(self->buffer.data(), bytes);
          self->Consume();
        });
  }

 private:
  void NewReader() {
    this->reader =
        std::make_unique<http1::RequestReader>(http1::RequestLimits{});
  }

  void Consume() {
    this->received.erase(0, this->reader->Feed(this->received));
    if (this->reader->state() == http1::RequestReader::State::kFailed)
      return;
    if (this->reader->state() != http1::RequestReader::State::kDone)
      return this->Read();
    http1::RequestHead head = this->reader->TakeHead();
    this->NewReader();
    this->replica.requests.push_back(head);
    Answer answer = this->replica.work(head);
    this->replica.copies_sent += this->copy.empty() ? 0 : 1;
    this->outgoing = std::exchange(this->copy, "") + answer.bytes;
    if (answer.is_repeated)
      this->copy = std::move(answer.bytes);
    asio::async_write(
        this->socket, asio::buffer(this->outgoing),
        [self = this->shared_from_this()](error_code error, size_t) {
          if (!error)
            self->Read();
        });
  }

  tcp::socket socket;
  RepeatingReplica& replica;
  std::unique_ptr<http1::RequestReader> reader;
  std::array<char, 4096> buffer{};
  std::string received;
  std::string outgoing;
  std::string copy;  // Sent before the next answer.
};

RepeatingReplica::RepeatingReplica(asio::io_context& io, Work work)
    : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
      work(std::move(work)) {
  this->Accept();
}

uint16_t RepeatingReplica::port() const {
  return this->acceptor.local_endpoint().port();
}

void RepeatingReplica::Accept() {
  this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
    if (error)
      return;
    std::make_shared<Connection>(std::move(socket), *this)->Read();
    this->Accept();
  });
}

std::string RefusalBytes(std::string_view id) {
  http1::AnswerHead head;
  head.status = 503;
  head.headers.Add(kNotRun, "1");
  if (!id.empty())
    head.headers.Add(kAttemptId, id);
  return http1::SerializeAnswer(head, http1::BodyFraming::Length(0), false);
}

std::string StreamBytes(std::string_view id, int last) {
  http1::AnswerHead head = SignedHead(id, 200);
  head.headers.Add("Content-Type", "text/event-stream");
  std::string bytes =
      http1::SerializeAnswer(head, http1::BodyFraming::Chunked(), false);
  for (int event = 1; event <= last; ++event)
    bytes += http1::SerializeChunk(Event(event));
  return bytes + std::string(http1::kLastChunk);
}

std::string AnswerBytes(std::string_view id,
                        int status,
                        std::string_view body) {
  return http1::SerializeAnswer(SignedHead(id, status),
                                http1::BodyFraming::Length(body.size()),
                                false) +
         std::string(body);
}

}  // namespace cranberryhill::platform
