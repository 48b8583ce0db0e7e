#ifndef SOAK_PEER_PROXY_H_
#define SOAK_PEER_PROXY_H_

// A proxy on loopback for the datagrams between gateways and, if wanted, for
// the requests that they relay. It can cut one of them off from the others, in
// one direction or both.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cranberryhill::soak {

/// Which datagrams of an instance are dropped.
struct PeerCut {
  bool sent = false;
  bool received = false;
};

/// Belongs to the thread of `io`.
class PeerProxy {
 public:
  /// @param io Must outlive this object.
  /// @param relays Whether requests are passed on; otherwise their connections
  ///     are refused.
  PeerProxy(boost::asio::io_context& io, bool relays);
  ~PeerProxy();

  /// Adds the next instance.
  /// @param port At which it receives datagrams.
  /// @return False when no socket can be opened.
  bool Add(uint16_t port);

  void SetCut(size_t instance, PeerCut cut);

  size_t instances() const { return this->ports.size(); }  // NOLINT

  /// @return IP:PORT at which one instance reaches another. What the other
  ///     receives comes from the address at which it reaches the first.
  std::string Address(size_t from, size_t to) const;

 private:
  struct Pipe;

  bool Open(size_t from, size_t to);
  void Receive(Pipe& pipe);
  void Forward(const Pipe& pipe, size_t bytes);

  boost::asio::io_context& io;
  const bool relays;
  std::vector<uint16_t> ports;
  std::vector<PeerCut> cuts;
  std::vector<std::unique_ptr<Pipe>> pipes;
};

}  // namespace cranberryhill::soak

#endif  // SOAK_PEER_PROXY_H_
