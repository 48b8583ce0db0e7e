#include "cranberryhill/http1/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>

namespace cranberryhill::http1 {
namespace {

/// @return The number of files that outgoing connections leave to others.
rlim_t OutgoingFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    return RLIM_INFINITY;
  return limit.rlim_cur - limit.rlim_cur / 4;
}

}  // namespace

boost::asio::ip::tcp::endpoint TcpEndpoint(const Endpoint& endpoint) {
  return {boost::asio::ip::make_address(endpoint.ip), endpoint.port};
}

boost::system::error_code OpenOutgoing(
    boost::asio::ip::tcp::socket& socket,
    const boost::asio::ip::tcp::endpoint& endpoint) {
  boost::system::error_code error;
  socket.open(endpoint.protocol(), error);
  if (error)
    return error;
  // A new file gets the lowest number that is free.
  if (static_cast<rlim_t>(socket.native_handle()) < OutgoingFileLimit())
    return {};
  socket.close(error);
  return boost::asio::error::no_descriptors;
}

void SetSocketOptions(boost::asio::ip::tcp::socket& socket) {
  int handle = socket.native_handle();
  auto set = [handle](int level, int name, int value) {
    (void)setsockopt(handle, level, name, &value, sizeof(value));
  };
  set(IPPROTO_TCP, TCP_NODELAY, 1);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMs);
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleS);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalS);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
}

void SetCloseMode(boost::asio::ip::tcp::socket& socket, CloseMode mode) {
  boost::system::error_code ignored;
  socket.set_option(
      boost::asio::socket_base::linger(mode == CloseMode::kReset, 0), ignored);
}

}  // namespace cranberryhill::http1
