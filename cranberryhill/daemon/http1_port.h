#ifndef CRANBERRYHILL_DAEMON_HTTP1_PORT_H_
#define CRANBERRYHILL_DAEMON_HTTP1_PORT_H_

// The HTTP/1.1 port: whole answers for callers, health, metrics and the
// operator interface. Requests are handled on the core thread, while a thread
// of cxxtools::http::Server waits for the answer.
//
//   Http1Port port(endpoint, executor, front, pages);
//   BOOST_LEAF_CHECK(port.Start());

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/base/executor.h"
#include "cranberryhill/daemon/caller_front.h"
#include "cranberryhill/supervision/supervisor.h"

namespace cranberryhill {

/// Pages of the daemon itself. Called on the core thread.
class DaemonPages {
 public:
  virtual ~DaemonPages() = default;

  /// @return Whether `path` is one of /health, /metrics and /operator/*.
  virtual bool Serves(std::string_view path) const = 0;

  virtual WholeResponse Page(std::string_view method,
                             std::string_view path) = 0;
};

/// Start() and Stop() belong to the core thread. Stop() waits for handlers
/// that wait for answers; these end early with a refusal.
class Http1Port : public SupervisedPart {
 public:
  /// References must outlive this object. The core thread must not block on
  /// this port's threads except in Stop().
  Http1Port(Endpoint endpoint,
            Executor& executor,
            CallerFront& front,
            DaemonPages& pages);
  ~Http1Port() override;

  std::string_view name() const override { return "http1 port"; }

  /// Sets the function that is told, on the core thread, when the server's
  /// thread has ended by a failure.
  void SetOnFailed(std::function<void(const Error&)> callback) {
    this->on_failed = std::move(callback);
  }

  Result<void> Start() override;
  void Stop() override;

 private:
  class Server;

  Endpoint endpoint;
  Executor& executor;
  CallerFront& front;
  DaemonPages& pages;
  std::function<void(const Error&)> on_failed;
  std::unique_ptr<Server> server;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_HTTP1_PORT_H_
