#ifndef STANDINS_GATEWAY_PLATFORM_CLOSING_REPLICA_H_
#define STANDINS_GATEWAY_PLATFORM_CLOSING_REPLICA_H_

// A replica of the users' platform whose answers end with their connection, and
// have neither a length nor chunks, or a status that is not valid.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cranberryhill::platform {

/// How the connection ends after the bytes of an answer.
enum class ConnectionEnd {
  kClosed,  ///< In order; the answer is complete.
  kReset,   ///< The rest of the answer is lost.
};

/// Not thread-safe.
class ClosingReplica {
 public:
  /// Listens at a free port of the loopback interface.
  /// @param io Must outlive this object.
  ClosingReplica(boost::asio::io_context& io,
                 std::string_view content_type,
                 std::string_view body,
                 ConnectionEnd end);

  /// Has the answers carry this text as their status, and a length.
  void UseStatus(std::string_view status);

  int answers() const { return this->answer_count; }  // NOLINT

  uint16_t port() const;  // NOLINT

 private:
  class Connection;

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor;
  const std::string content_type;
  const std::string body;
  const ConnectionEnd end;
  std::string status = "200";
  bool has_length = false;
  int answer_count = 0;
};

}  // namespace cranberryhill::platform

#endif  // STANDINS_GATEWAY_PLATFORM_CLOSING_REPLICA_H_
