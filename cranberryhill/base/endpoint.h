#ifndef CRANBERRYHILL_BASE_ENDPOINT_H_
#define CRANBERRYHILL_BASE_ENDPOINT_H_

// An IP address and a TCP port, written "10.0.0.1:80" or "[::1]:80".
//
//   BOOST_LEAF_AUTO(endpoint, ParseEndpoint("127.0.0.1:8080", "platform"));

#include <cstdint>
#include <string>
#include <string_view>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

struct Endpoint {
  std::string ip;  ///< Without brackets, in canonical form (RFC 5952).
  uint16_t port = 0;

  bool operator==(const Endpoint&) const = default;
};

/// @return "10.0.0.1:80" or "[::1]:80".
std::string EndpointText(const Endpoint& endpoint);

/// Two spellings of one address give equal endpoints: an IPv4 address that is
/// written as an IPv6 one ("::ffff:10.0.0.1") becomes an IPv4 address.
/// @param text The address; host names are not accepted.
/// @param field Name of the field, used in errors.
/// @return The endpoint, or kInvalidArgument.
Result<Endpoint> ParseEndpoint(std::string_view text, std::string_view field);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_ENDPOINT_H_
