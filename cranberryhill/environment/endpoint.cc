#include "cranberryhill/environment/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace cranberryhill {
namespace {

bool IsIpAddress(const std::string& ip, int family) {
  std::array<unsigned char, sizeof(in6_addr)> buffer;
  return inet_pton(family, ip.c_str(), buffer.data()) == 1;
}

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view text, std::string_view field) {
  auto refuse = [&] {
    return MakeError(ErrorCode::kInvalidArgument, field, text,
                     "must be an IP address and a port from 1 to 65535, such "
                     "as 127.0.0.1:8080 or [::1]:8080");
  };
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return refuse();
  std::string_view ip = text.substr(0, colon);
  std::string_view port_text = text.substr(colon + 1);
  bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed)
    ip = ip.substr(1, ip.size() - 2);

  Endpoint endpoint{std::string(ip), 0};
  const char* end = port_text.data() + port_text.size();
  auto [parsed, error] =
      std::from_chars(port_text.data(), end, endpoint.port, 10);
  if (error != std::errc() || parsed != end || endpoint.port == 0 ||
      !IsIpAddress(endpoint.ip, bracketed ? AF_INET6 : AF_INET)) {
    return refuse();
  }
  return endpoint;
}

}  // namespace cranberryhill
