#ifndef CRANBERRYHILL_PLATFORM_INTERNAL_CONNECT_PROBE_H_
#define CRANBERRYHILL_PLATFORM_INTERNAL_CONNECT_PROBE_H_

// Finds out whether a server accepts connections, before a call that must not
// be sent twice. The source is compiled as C++17, because cxxtools/string.h
// uses members of std::allocator that C++20 removed.
//
//   if (auto error = FindConnectError("127.0.0.1", 7000, 500)) Refuse(*error);

#include <cstdint>
#include <optional>
#include <string>

namespace cranberryhill {

/// Opens and closes a connection; blocks for at most `timeout_ms`.
/// @return Nothing when the server has accepted it, else what went wrong.
std::optional<std::string> FindConnectError(const std::string& ip,
                                            uint16_t port,
                                            double timeout_ms);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PLATFORM_INTERNAL_CONNECT_PROBE_H_
