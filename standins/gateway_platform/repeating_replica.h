#ifndef STANDINS_GATEWAY_PLATFORM_REPEATING_REPLICA_H_
#define STANDINS_GATEWAY_PLATFORM_REPEATING_REPLICA_H_

// A faulty replica of the users' platform: it sends some of its answers once
// more, when the next request arrives on the same connection.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cranberryhill/http1/message.h"

namespace cranberryhill::platform {

/// Not thread-safe.
class RepeatingReplica {
 public:
  struct Answer {
    std::string bytes;
    bool is_repeated = false;
  };
  using Work = std::function<Answer(const http1::RequestHead&)>;

  /// Listens at a free port of the loopback interface.
  /// @param io Must outlive this object.
  RepeatingReplica(boost::asio::io_context& io, Work work);

  uint16_t port() const;  // NOLINT

  std::vector<http1::RequestHead> requests;
  int copies_sent = 0;

 private:
  class Connection;

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor;
  const Work work;
};

/// @param id The value of the header that echoes the id of the request; no such
///     header is sent if it is empty.
/// @return A refusal of a request that has not run.
std::string RefusalBytes(std::string_view id);

/// @return A signed event stream with the events 1 to `last`.
std::string StreamBytes(std::string_view id, int last);

/// @return A signed answer with a length.
std::string AnswerBytes(std::string_view id, int status, std::string_view body);

}  // namespace cranberryhill::platform

#endif  // STANDINS_GATEWAY_PLATFORM_REPEATING_REPLICA_H_
