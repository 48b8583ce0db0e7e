#ifndef SOAK_LINK_PROXY_H_
#define SOAK_LINK_PROXY_H_

// A TCP proxy on loopback whose link can be delayed, silenced, cut in one
// direction or reset.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace cranberryhill::soak {

/// What happens to bytes on a link. Bytes that are held back arrive when the
/// fault ends, as TCP sends them again.
struct LinkState {
  bool holds_to_target = false;
  bool holds_from_target = false;
  std::chrono::milliseconds delay{0};  ///< Of each piece, either way.
  /// What the target has answered last on a connection comes once more when the
  /// next request arrives, unless it was long.
  bool repeats_answers = false;
};

/// Belongs to the thread of `io`.
class LinkProxy {
 public:
  /// Listens on a free port of loopback.
  /// @param io Must outlive this object.
  LinkProxy(boost::asio::io_context& io, uint16_t target_port);
  ~LinkProxy();

  uint16_t port() const;  // NOLINT

  void SetState(LinkState state) { this->state = state; }

  /// Resets all connections.
  void Reset();

  /// Refuses new connections while false, as an address at which nothing
  /// listens.
  void SetListening(bool listens);

 private:
  class Session;

  void Accept();

  boost::asio::io_context& io;
  const boost::asio::ip::tcp::endpoint target;
  boost::asio::ip::tcp::acceptor acceptor;
  const boost::asio::ip::tcp::endpoint address;
  LinkState state;
  bool listening = true;
  std::vector<std::weak_ptr<Session>> sessions;
};

}  // namespace cranberryhill::soak

#endif  // SOAK_LINK_PROXY_H_
