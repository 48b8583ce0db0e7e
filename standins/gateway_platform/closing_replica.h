#ifndef STANDINS_GATEWAY_PLATFORM_CLOSING_REPLICA_H_
#define STANDINS_GATEWAY_PLATFORM_CLOSING_REPLICA_H_

// A replica of the users' platform whose answers have neither a length nor
// chunks and end with their connection.

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

  uint16_t port() const;  // NOLINT

 private:
  class Connection;

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor;
  const std::string content_type;
  const std::string body;
  const ConnectionEnd end;
};

}  // namespace cranberryhill::platform

#endif  // STANDINS_GATEWAY_PLATFORM_CLOSING_REPLICA_H_
