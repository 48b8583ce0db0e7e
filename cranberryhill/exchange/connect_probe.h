#ifndef CRANBERRYHILL_EXCHANGE_CONNECT_PROBE_H_
#define CRANBERRYHILL_EXCHANGE_CONNECT_PROBE_H_

// Finds out whether a host answers, by opening a connection and closing it at
// once.

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

#include "absl/time/time.h"
#include "cranberryhill/forward/replica_set.h"

namespace cranberryhill::gateway {

enum class ProbeResult {
  kAccepted,
  kRefused,  ///< The host answers, but nothing listens at the address.
  kSilent,   ///< Neither within the timeout.
};

/// Opens connections that only tell whether a replica answers.
class ProbeConnector {
 public:
  virtual ~ProbeConnector() = default;

  /// @param done Called once, after this function has returned.
  virtual void Connect(const forward::Replica& replica,
                       absl::Duration timeout,
                       std::function<void(ProbeResult)> done) = 0;
};

class AsioProbeConnector : public ProbeConnector {
 public:
  /// @param io Must outlive this object and its probes.
  explicit AsioProbeConnector(boost::asio::io_context& io) : io(io) {}

  void Connect(const forward::Replica& replica,
               absl::Duration timeout,
               std::function<void(ProbeResult)> done) override;

 private:
  boost::asio::io_context& io;
};

/// @param io Must outlive the probe.
/// @param done Called once.
void ProbeConnection(boost::asio::io_context& io,
                     const boost::asio::ip::tcp::endpoint& endpoint,
                     absl::Duration timeout,
                     std::function<void(ProbeResult)> done);

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_EXCHANGE_CONNECT_PROBE_H_
