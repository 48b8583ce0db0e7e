#include "standins/gateway_platform/closing_replica.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "platform/names.h"

namespace cranberryhill::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Time between the last byte and the reset, which would discard bytes that the
/// other end has not read.
constexpr std::chrono::milliseconds kResetDelay(30);

/// @return The id in the head of a request.
std::string IdIn(std::string_view head) {
  std::string field = std::string(kAttemptId) + ": ";
  size_t at = head.find(field);
  if (at == std::string_view::npos)
    return {};
  head.remove_prefix(at + field.size());
  return std::string(head.substr(0, head.find('\r')));
}

}  // namespace

/// Answers one request. Kept alive by its pending operations.
class ClosingReplica::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, ClosingReplica& replica)
      : socket(std::move(socket)),
        timer(this->socket.get_executor()),
        replica(replica),
        end(replica.end) {}

  void Start() {
    asio::async_read_until(
        this->socket, asio::dynamic_buffer(this->received), "\r\n\r\n",
        [self = this->shared_from_this()](error_code error, size_t bytes) {
          if (!error)
            self->Answer(std::string_view(self->received).substr(0, bytes));
        });
  }

 private:
  void Answer(std::string_view request_head) {
    ++this->replica.answer_count;
    const std::string& body = this->replica.body;
    std::string length;
    if (this->replica.has_length)
      length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    this->answer = "HTTP/1.1 " + this->replica.status +
                   " OK\r\nContent-Type: " + this->replica.content_type +
                   "\r\n" + std::string(kAttemptId) + ": " +
                   IdIn(request_head) + "\r\n" + std::string(kSignature) +
                   ": seal\r\n" + length + "\r\n" + body;
    asio::async_write(
        this->socket, asio::buffer(this->answer),
        [self = this->shared_from_this()](error_code, size_t) { self->End(); });
  }

  void End() {
    error_code ignored;
    if (this->end == ConnectionEnd::kClosed) {
      this->socket.shutdown(tcp::socket::shutdown_send, ignored);
      return this->AwaitClose();
    }
    this->timer.expires_after(kResetDelay);
    this->timer.async_wait([self = this->shared_from_this()](error_code) {
      error_code reset_ignored;
      self->socket.set_option(asio::socket_base::linger(true, 0),
                              reset_ignored);
      self->socket.close(reset_ignored);
    });
  }

  /// Reads until the other end closes, because closing with unread bytes would
  /// reset the connection.
  void AwaitClose() {
    this->socket.async_read_some(
        asio::buffer(this->discarded),
        [self = this->shared_from_this()](error_code error, size_t) {
          if (!error)
            self->AwaitClose();
        });
  }

  tcp::socket socket;
  asio::steady_timer timer;
  ClosingReplica& replica;  // Used only before the request is answered.
  const ConnectionEnd end;
  std::string received;
  std::string answer;
  std::array<char, 1024> discarded{};
};

ClosingReplica::ClosingReplica(asio::io_context& io,
                               std::string_view content_type,
                               std::string_view body,
                               ConnectionEnd end)
    : acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}),
      content_type(content_type),
      body(body),
      end(end) {
  this->Accept();
}

void ClosingReplica::UseStatus(std::string_view status) {
  this->status = std::string(status);
  this->has_length = true;
}

uint16_t ClosingReplica::port() const {
  return this->acceptor.local_endpoint().port();
}

void ClosingReplica::Accept() {
  this->acceptor.async_accept([this](error_code error, tcp::socket socket) {
    if (error)
      return;
    std::make_shared<Connection>(std::move(socket), *this)->Start();
    this->Accept();
  });
}

}  // namespace cranberryhill::platform
