#ifndef STANDINS_FAKE_PLATFORM_PLATFORM_SERVER_H_
#define STANDINS_FAKE_PLATFORM_PLATFORM_SERVER_H_

// Serves a PlatformState over HTTP/1.1.
//
//   PlatformServer server({"127.0.0.1", 7000}, state);
//   server.Run();

#include <memory>

#include "cranberryhill/base/endpoint.h"
#include "standins/fake_platform/platform_state.h"

namespace cranberryhill {

class PlatformServer {
 public:
  /// Starts to listen; throws std::exception when it cannot.
  /// @param state Must outlive this object.
  PlatformServer(const Endpoint& endpoint, PlatformState& state);
  ~PlatformServer();

  /// Serves until Stop().
  void Run();

  /// Thread-safe.
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace cranberryhill

#endif  // STANDINS_FAKE_PLATFORM_PLATFORM_SERVER_H_
