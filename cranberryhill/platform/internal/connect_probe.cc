#include "cranberryhill/platform/internal/connect_probe.h"

#include <cxxtools/net/tcpsocket.h>

#include <exception>

namespace cranberryhill {

std::optional<std::string> FindConnectError(const std::string& ip,
                                            uint16_t port,
                                            double timeout_ms) {
  try {
    cxxtools::net::TcpSocket socket;
    socket.setTimeout(cxxtools::Milliseconds(timeout_ms));
    socket.connect(ip, port);
    return std::nullopt;
  } catch (const std::exception& error) {
    return error.what();
  }
}

}  // namespace cranberryhill
