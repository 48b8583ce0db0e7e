#include "standins/fake_platform/shut_down_socket.h"

#include <cxxtools/net/tcpsocket.h>
#include <sys/socket.h>

namespace cranberryhill {

void ShutDownSocket(const cxxtools::net::TcpSocket& socket) {
  shutdown(socket.getFd(), SHUT_RDWR);
}

}  // namespace cranberryhill
