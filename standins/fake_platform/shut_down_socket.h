#ifndef STANDINS_FAKE_PLATFORM_SHUT_DOWN_SOCKET_H_
#define STANDINS_FAKE_PLATFORM_SHUT_DOWN_SOCKET_H_

// Ends a connection so that its peer gets no answer. The source is compiled as
// C++17, because cxxtools/string.h uses members of std::allocator that C++20
// removed.

namespace cxxtools::net {
class TcpSocket;
}  // namespace cxxtools::net

namespace cranberryhill {

void ShutDownSocket(const cxxtools::net::TcpSocket& socket);

}  // namespace cranberryhill

#endif  // STANDINS_FAKE_PLATFORM_SHUT_DOWN_SOCKET_H_
