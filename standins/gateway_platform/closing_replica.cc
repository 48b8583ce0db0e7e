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
  Connection(tcp::socket socket, const ClosingReplica& replica)
      : socket(std::move(socket)),
        timer(this->socket.get_executor()),
        content_type(replica.content_type),
        body(replica.body),
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
    this->answer = "HTTP/1.1 200 OK\r\nContent-Type: " + this->content_type +
                   "\r\n" + std::string(kAttemptId) + ": " +
                   IdIn(request_head) + "\r\n" + std::string(kSignature) +
                   ": seal\r\n\r\n" + this->body;
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
  const std::string content_type;
  const std::string body;
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
