#include "standins/fake_platform/running_platform.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <exception>
#include <stdexcept>

namespace cranberryhill {
namespace {

// Another process may take a free port before the server listens on it.
constexpr int kListenAttempts = 10;

}  // namespace

Endpoint FreeEndpoint() {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* raw = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof address;
  bool found =
      fd >= 0 && bind(fd, raw, size) == 0 && getsockname(fd, raw, &size) == 0;
  if (fd >= 0)
    close(fd);
  if (!found)
    throw std::runtime_error("no free loopback port");
  return {"127.0.0.1", ntohs(address.sin_port)};
}

RunningPlatform::RunningPlatform() {
  for (int attempt = 1; this->server == nullptr; ++attempt) {
    this->endpoint = FreeEndpoint();
    try {
      this->server =
          std::make_unique<PlatformServer>(this->endpoint, this->state);
    } catch (const std::exception&) {
      if (attempt == kListenAttempts)
        throw;
    }
  }
  this->thread = std::thread([this] { this->server->Run(); });
}

RunningPlatform::~RunningPlatform() {
  this->server->Stop();
  this->thread.join();
}

}  // namespace cranberryhill
