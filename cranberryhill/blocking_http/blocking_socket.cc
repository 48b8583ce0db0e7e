#include "cranberryhill/blocking_http/blocking_socket.h"

#include <cxxtools/net/addrinfo.h>
#include <cxxtools/net/tcpsocket.h>
#include <sys/socket.h>

#include <algorithm>
#include <exception>

namespace cranberryhill {
namespace {

// Returns at least 1 ms, because cxxtools takes 0 as "do not wait" and negative
// values as "wait forever".
cxxtools::Milliseconds ToCxxtoolsTimeout(absl::Duration duration) {
  return cxxtools::Milliseconds(
      std::max(1.0, absl::ToDoubleMilliseconds(duration)));
}

}  // namespace

struct BlockingSocket::Impl {
  cxxtools::net::TcpSocket socket;
};

BlockingSocket::BlockingSocket() : impl(std::make_unique<Impl>()) {}

BlockingSocket::~BlockingSocket() = default;

bool BlockingSocket::Connect(const std::string& ip,
                             uint16_t port,
                             absl::Duration timeout) {
  try {
    this->impl->socket.setTimeout(ToCxxtoolsTimeout(timeout));
    this->impl->socket.connect(ip, port);
    this->SetCloseMode(CloseMode::kReset);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

void BlockingSocket::SetCloseMode(CloseMode mode) {
  linger option{mode == CloseMode::kReset ? 1 : 0, 0};
  // Fails only on a socket that is not connected, which has nothing to send.
  setsockopt(this->impl->socket.getFd(), SOL_SOCKET, SO_LINGER, &option,
             sizeof(option));
}

std::optional<size_t> BlockingSocket::Write(std::string_view bytes,
                                            absl::Duration timeout) {
  try {
    this->impl->socket.setTimeout(ToCxxtoolsTimeout(timeout));
    return this->impl->socket.write(bytes.data(), bytes.size());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<size_t> BlockingSocket::Read(char* buffer,
                                           size_t size,
                                           absl::Duration timeout) {
  try {
    this->impl->socket.setTimeout(ToCxxtoolsTimeout(timeout));
    return this->impl->socket.read(buffer, size);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace cranberryhill
