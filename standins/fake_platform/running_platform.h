#ifndef STANDINS_FAKE_PLATFORM_RUNNING_PLATFORM_H_
#define STANDINS_FAKE_PLATFORM_RUNNING_PLATFORM_H_

// The stand-in on a thread of its own and a free loopback port, for tests.
//
//   RunningPlatform platform;
//   HttpTableService table(platform.endpoint, pool, executor);

#include <memory>
#include <string>
#include <thread>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/endpoint.h"
#include "standins/fake_platform/platform_server.h"
#include "standins/fake_platform/platform_state.h"

namespace cranberryhill {

/// @return A loopback endpoint that nothing listens on at the moment.
Endpoint FreeEndpoint();

class RunningPlatform {
 public:
  RunningPlatform();
  ~RunningPlatform();

  /// Runs a call without a connection, even during an outage of the network.
  PlatformAnswer Post(const std::string& path, const std::string& body) {
    return this->state.Handle({"POST", path, "", body});
  }

  Endpoint endpoint;  ///< Where it serves; not to be changed.

 private:
  BootClock clock;
  PlatformState state{clock};
  std::unique_ptr<PlatformServer> server;
  std::thread thread;
};

}  // namespace cranberryhill

#endif  // STANDINS_FAKE_PLATFORM_RUNNING_PLATFORM_H_
