#ifndef CRANBERRYHILL_DAEMON_DAEMON_H_
#define CRANBERRYHILL_DAEMON_DAEMON_H_

// One entry instance: all parts, wired together.
//
//   Daemon daemon(settings);
//   BOOST_LEAF_CHECK(daemon.Start());
//   daemon.Run();                  // until a graceful shutdown is complete
//   // from a signal handler: daemon.RequestShutdown();

#include <memory>

#include "cranberryhill/base/result.h"
#include "cranberryhill/daemon/settings.h"

namespace cranberryhill {

/// RequestShutdown() may be called from any thread and from signal handlers;
/// everything else belongs to one thread.
class Daemon {
 public:
  explicit Daemon(const Settings& settings);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Opens the ports.
  /// @return kUnavailable when a port cannot be opened.
  Result<void> Start();

  /// Serves until the graceful shutdown is complete.
  void Run();

  /// Begins a graceful shutdown. Async-signal-safe.
  void RequestShutdown();

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_DAEMON_H_
