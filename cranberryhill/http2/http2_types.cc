#include "cranberryhill/http2/http2_types.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace cranberryhill {

std::string_view FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (header.name == name)
      return header.value;
  }
  return {};
}

std::string_view CloseReasonName(CloseReason reason) {
  switch (reason) {
    case CloseReason::kConnectFailed:
      return "connect_failed";
    case CloseReason::kConnectionLost:
      return "connection_lost";
    case CloseReason::kPingTimeout:
      return "ping_timeout";
    case CloseReason::kProtocolError:
      return "protocol_error";
    case CloseReason::kReset:
      return "reset";
    case CloseReason::kRefused:
      return "refused";
    case CloseReason::kNotAllowed:
      return "not_allowed";
    case CloseReason::kQueueFull:
      return "queue_full";
    case CloseReason::kBodyTooLarge:
      return "body_too_large";
    case CloseReason::kClosedLocally:
      return "closed_locally";
  }
  return "unknown";
}

namespace {

// Host names are refused, because looking them up would block the loop.
bool IsIpLiteral(const std::string& ip) {
  std::array<unsigned char, sizeof(in6_addr)> bytes;
  return inet_pton(AF_INET, ip.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), bytes.data()) == 1;
}

}  // namespace

std::string IpAddress::ToString() const {
  bool v6 = this->ip.find(':') != std::string::npos;
  std::string text = v6 ? "[" + this->ip + "]" : this->ip;
  return text + ":" + std::to_string(this->port);
}

Result<IpAddress> ParseIpAddress(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return MakeError(ErrorCode::kInvalidArgument, "address", text,
                     "must have the form IP:PORT");
  }
  std::string_view ip = text.substr(0, colon);
  std::string_view port = text.substr(colon + 1);
  bool bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (bracketed)
    ip = ip.substr(1, ip.size() - 2);
  if (!bracketed && ip.find(':') != std::string_view::npos) {
    return MakeError(ErrorCode::kInvalidArgument, "address", text,
                     "must have an IPv6 address in brackets");
  }
  IpAddress address{std::string(ip), 0};
  const char* end = port.data() + port.size();
  auto parsed = std::from_chars(port.data(), end, address.port);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return MakeError(ErrorCode::kInvalidArgument, "address", text,
                     "must have a port from 0 to 65535");
  }
  if (!IsIpLiteral(address.ip)) {
    return MakeError(ErrorCode::kInvalidArgument, "address", text,
                     "must have an IP address, not a name");
  }
  return address;
}

}  // namespace cranberryhill
