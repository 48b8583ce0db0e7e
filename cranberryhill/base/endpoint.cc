#include "cranberryhill/base/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <array>
#include <charconv>

namespace cranberryhill {
namespace {

constexpr std::string_view kMappedPrefix = "::ffff:";

// @return The canonical text of `ip`, or an empty string when it is not an
// address of the family.
std::string CanonicalIp(const std::string& ip, int family) {
  // inet_pton() would take what stands before a null character.
  if (ip.find('\0') != std::string::npos)
    return "";
  std::array<unsigned char, sizeof(in6_addr)> bytes;
  std::array<char, INET6_ADDRSTRLEN> text;
  if (inet_pton(family, ip.c_str(), bytes.data()) != 1 ||
      inet_ntop(family, bytes.data(), text.data(), text.size()) == nullptr) {
    return "";
  }
  std::string canonical = text.data();
  bool mapped = canonical.starts_with(kMappedPrefix) &&
                canonical.find('.') != std::string::npos;
  return mapped ? canonical.substr(kMappedPrefix.size()) : canonical;
}

}  // namespace

std::string EndpointText(const Endpoint& endpoint) {
  bool ipv6 = endpoint.ip.find(':') != std::string::npos;
  return ipv6 ? fmt::format("[{}]:{}", endpoint.ip, endpoint.port)
              : fmt::format("{}:{}", endpoint.ip, endpoint.port);
}

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

  Endpoint endpoint{
      CanonicalIp(std::string(ip), bracketed ? AF_INET6 : AF_INET), 0};
  const char* end = port_text.data() + port_text.size();
  auto [parsed, error] =
      std::from_chars(port_text.data(), end, endpoint.port, 10);
  if (error != std::errc() || parsed != end || endpoint.port == 0 ||
      endpoint.ip.empty()) {
    return refuse();
  }
  return endpoint;
}

}  // namespace cranberryhill
