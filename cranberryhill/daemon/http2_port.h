#ifndef CRANBERRYHILL_DAEMON_HTTP2_PORT_H_
#define CRANBERRYHILL_DAEMON_HTTP2_PORT_H_

// The HTTP/2 port for callers: whole answers and streams.
//
//   Http2Port port(loop, address, front);
//   BOOST_LEAF_CHECK(port.Start());

#include <memory>
#include <string_view>

#include "cranberryhill/daemon/caller_front.h"
#include "cranberryhill/http2/http2_server.h"
#include "cranberryhill/supervision/supervisor.h"

namespace cranberryhill {

/// Core thread only.
class Http2Port : public SupervisedPart {
 public:
  /// References must outlive this object.
  Http2Port(EventLoop& loop, IpAddress address, CallerFront& front);

  std::string_view name() const override { return "http2 port"; }
  Result<void> Start() override;
  void Stop() override;

  /// Adds `x-leaving` to answers from now on.
  void SetLeaving() { this->leaving = true; }

  /// Refuses new connections and lets open streams finish.
  void Shutdown();

  /// @return Requests in progress.
  size_t active_streams() const;  // NOLINT

 private:
  void OnRequest(const std::shared_ptr<Http2Request>& request,
                 const std::shared_ptr<Http2ResponseWriter>& response);

  EventLoop& loop;
  IpAddress address;
  CallerFront& front;
  std::unique_ptr<Http2Server> server;
  bool leaving = false;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_HTTP2_PORT_H_
