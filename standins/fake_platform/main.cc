// A stand-in for the platform: table service, object store and instance list.

#include <exception>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "cranberryhill/base/log.h"
#include "standins/fake_platform/platform_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7000", "IP:PORT to serve on");

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

}  // namespace

int main(int argc, char** argv) {
  using namespace cranberryhill;  // NOLINT
  absl::SetProgramUsageMessage(
      "Stands in for the platform's table service, object store and instance "
      "list. Faults are set by POST /faults, instances by POST /v1/instances.");
  absl::ParseCommandLine(argc, argv);
  Outcome<Endpoint> endpoint = Capture(
      [] { return ParseEndpoint(absl::GetFlag(FLAGS_listen), "listen"); });
  if (!endpoint.ok()) {
    LogLine("{}", endpoint.error().ToString());
    return kExitUsage;
  }
  try {
    BootClock clock;
    PlatformState state(clock);
    PlatformServer server(endpoint.value(), state);
    LogLine("listening on {}", absl::GetFlag(FLAGS_listen));
    server.Run();
  } catch (const std::exception& error) {
    LogLine("cannot serve on {}: {}", absl::GetFlag(FLAGS_listen),
            error.what());
    return kExitFailure;
  }
  return 0;
}
