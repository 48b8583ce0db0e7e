#ifndef CRANBERRYHILL_HTTP1_SOCKET_OPTIONS_H_
#define CRANBERRYHILL_HTTP1_SOCKET_OPTIONS_H_

// Options of every TCP socket: no delay, and time-outs of the kernel for peers
// that stop answering without a reset.

#include <boost/asio/ip/tcp.hpp>

#include "cranberryhill/base/endpoint.h"

namespace cranberryhill::http1 {

/// Links go silent without a reset. Unacknowledged bytes fail a connection
/// after this many milliseconds.
inline constexpr int kUserTimeoutMs = 2500;

/// An idle connection is probed after this many seconds and fails after
/// kKeepAliveProbes unanswered probes one second apart, so a silent link is
/// found within 3 s, the shortest span in which the operators' rules take an
/// instance as undisturbed again.
inline constexpr int kKeepAliveIdleS = 1;
inline constexpr int kKeepAliveIntervalS = 1;
inline constexpr int kKeepAliveProbes = 2;

/// @param endpoint From ParseEndpoint().
boost::asio::ip::tcp::endpoint TcpEndpoint(const Endpoint& endpoint);

/// Opens a socket for an outgoing connection. The last quarter of the files
/// that the process may have open is kept for connections that callers open.
/// @return no_descriptors if only those are left.
boost::system::error_code OpenOutgoing(
    boost::asio::ip::tcp::socket& socket,
    const boost::asio::ip::tcp::endpoint& endpoint);

/// Sets the options. Failures are ignored: the connection works without them,
/// and a closed socket is reported by the next read.
void SetSocketOptions(boost::asio::ip::tcp::socket& socket);

enum class CloseMode {
  kOrderly,  ///< The system goes on sending what the other end has not
             ///< received.
  kReset,    ///< What the other end has not received is discarded.
};

/// Sets what the end of the socket does: its close, or the end of the process.
void SetCloseMode(boost::asio::ip::tcp::socket& socket, CloseMode mode);

}  // namespace cranberryhill::http1

#endif  // CRANBERRYHILL_HTTP1_SOCKET_OPTIONS_H_
