#include "cranberryhill/exchange/connect_probe.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "cranberryhill/http1/socket_options.h"

namespace cranberryhill::gateway {
namespace {

using boost::system::error_code;

/// Kept alive by its pending operations.
struct Probe {
  explicit Probe(boost::asio::io_context& io) : socket(io), timer(io) {}

  void Finish(ProbeResult result) {
    error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    if (auto callback = std::exchange(this->done, nullptr))
      callback(result);
  }

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::function<void(ProbeResult)> done;
};

}  // namespace

void AsioProbeConnector::Connect(const forward::Replica& replica,
                                 absl::Duration timeout,
                                 std::function<void(ProbeResult)> done) {
  ProbeConnection(this->io, http1::TcpEndpoint(replica.entry.endpoint), timeout,
                  std::move(done));
}

void ProbeConnection(boost::asio::io_context& io,
                     const boost::asio::ip::tcp::endpoint& endpoint,
                     absl::Duration timeout,
                     std::function<void(ProbeResult)> done) {
  auto probe = std::make_shared<Probe>(io);
  probe->done = std::move(done);
  if (http1::OpenOutgoing(probe->socket, endpoint)) {
    return boost::asio::post(io,
                             [probe] { probe->Finish(ProbeResult::kSilent); });
  }
  probe->timer.expires_after(absl::ToChronoMilliseconds(timeout));
  probe->timer.async_wait([probe](error_code error) {
    if (!error)
      probe->Finish(ProbeResult::kSilent);
  });
  probe->socket.async_connect(endpoint, [probe](error_code error) {
    if (!error)
      return probe->Finish(ProbeResult::kAccepted);
    bool refused = error == boost::asio::error::connection_refused ||
                   error == boost::asio::error::connection_reset;
    // Any other error, such as an unreachable network, says no more than
    // silence.
    probe->Finish(refused ? ProbeResult::kRefused : ProbeResult::kSilent);
  });
}

}  // namespace cranberryhill::gateway
