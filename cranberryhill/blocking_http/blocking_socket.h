#ifndef CRANBERRYHILL_BLOCKING_HTTP_BLOCKING_SOCKET_H_
#define CRANBERRYHILL_BLOCKING_HTTP_BLOCKING_SOCKET_H_

// A TCP connection whose blocking functions return at a timeout. Its source is
// compiled as C++17, because <cxxtools/net/tcpsocket.h> uses types that C++20
// removed.
//
//   BlockingSocket socket;
//   if (socket.Connect("127.0.0.1", 80, absl::Seconds(1))) ...

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace cranberryhill {

enum class CloseMode {
  kOrderly,  ///< The system goes on sending what the peer has not received.
  kReset,    ///< What the peer has not received is discarded.
};

/// Not thread-safe.
class BlockingSocket {
 public:
  BlockingSocket();
  ~BlockingSocket();

  BlockingSocket(const BlockingSocket&) = delete;
  BlockingSocket& operator=(const BlockingSocket&) = delete;

  /// Sets what the end of this object or of the process does. Connect() sets
  /// kReset, so that a request that is given up does not arrive later.
  void SetCloseMode(CloseMode mode);

  /// @return False if no connection is established within `timeout`.
  bool Connect(const std::string& ip, uint16_t port, absl::Duration timeout);

  /// @return The number of bytes written, or std::nullopt after a failure or at
  /// the timeout.
  std::optional<size_t> Write(std::string_view bytes, absl::Duration timeout);

  /// @return The number of bytes read, 0 if the peer has closed the connection,
  /// or std::nullopt after a failure or at the timeout.
  std::optional<size_t> Read(char* buffer, size_t size, absl::Duration timeout);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BLOCKING_HTTP_BLOCKING_SOCKET_H_
