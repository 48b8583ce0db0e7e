#ifndef CRANBERRYHILL_HTTP1_RAW_CALLER_TEST_H_
#define CRANBERRYHILL_HTTP1_RAW_CALLER_TEST_H_

// Test helper: a caller that decides which bytes it sends and when.

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cranberryhill::http1 {

/// Not thread-safe.
class RawCaller {
 public:
  RawCaller(boost::asio::io_context& io,
            const boost::asio::ip::tcp::endpoint& endpoint)
      : socket(io) {
    this->socket.connect(endpoint);
    this->Read();
  }

  /// Returns when the bytes are in the buffers of the connection.
  void Write(std::string_view bytes) {
    boost::system::error_code error;
    boost::asio::write(this->socket,
                       boost::asio::buffer(bytes.data(), bytes.size()), error);
  }

  /// @return The statuses of the answers that have been received in full, in
  ///     order. Only answers with a length are recognized.
  std::vector<int> Statuses() const {
    std::vector<int> statuses;
    std::string_view rest = this->received;
    while (true) {
      size_t head_bytes = rest.find("\r\n\r\n");
      if (head_bytes == std::string_view::npos)
        return statuses;
      std::string_view head = rest.substr(0, head_bytes);
      size_t body_bytes = 0;
      constexpr std::string_view kLength = "\r\nContent-Length: ";
      size_t length = head.find(kLength);
      if (length != std::string_view::npos)
        body_bytes =
            std::stoul(std::string(head.substr(length + kLength.size())));
      if (rest.size() < head_bytes + 4 + body_bytes)
        return statuses;
      statuses.push_back(std::stoi(std::string(head.substr(9, 3))));
      rest.remove_prefix(head_bytes + 4 + body_bytes);
    }
  }

  std::string received;
  bool closed = false;  ///< The other end has closed the connection.

 private:
  void Read() {
    this->socket.async_read_some(
        boost::asio::buffer(this->buffer),
        [this, alive = std::weak_ptr<bool>(this->alive)](
            boost::system::error_code error, size_t bytes) {
          if (alive.expired())
            return;
          this->received.append(this->buffer.data(), bytes);
          this->closed = static_cast<bool>(error);
          if (!error)
            this->Read();
        });
  }

  boost::asio::ip::tcp::socket socket;
  std::array<char, 4096> buffer{};
  // Ends with this object, after which the last read may still complete.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace cranberryhill::http1

#endif  // CRANBERRYHILL_HTTP1_RAW_CALLER_TEST_H_
