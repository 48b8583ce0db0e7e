// One entry instance on the users' platform: takes requests of callers and
// forwards them to replicas.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "cranberryhill/base/log.h"
#include "cranberryhill/base/wall_clock.h"
#include "cranberryhill/gateway/gateway.h"
#include "platform/duty_codec.h"
#include "platform/names.h"
#include "platform/store_codec.h"
#include "platform/wire.h"

ABSL_FLAG(std::string,
          settings,
          "",
          "Path of the settings file (JSON with comments); default is the "
          "path that the platform passes in the environment");
ABSL_FLAG(bool, check_settings, false, "Check the settings file and exit");

namespace cranberryhill::gateway {
namespace {

// Exit codes.
constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kInvalidInput = 2;

std::string SettingsPath() {
  std::string path = absl::GetFlag(FLAGS_settings);
  const char* variable = std::getenv(platform::kSettingsPathVariable);
  if (path.empty() && variable != nullptr)
    path = variable;
  return path;
}

Result<GatewaySettings> LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return MakeError(ErrorCode::kNotFound, "settings", path, "cannot be read");
  std::string text(std::istreambuf_iterator<char>(file), {});
  return ParseGatewaySettings(text);
}

void ReloadOnHangup(boost::asio::signal_set& signals,
                    Gateway& gateway,
                    EventLog& log,
                    const std::string& path) {
  signals.async_wait([&, path](boost::system::error_code error, int) {
    if (error)
      return;
    auto loaded = Capture([&] { return LoadSettings(path); });
    if (loaded.ok()) {
      gateway.Reload(loaded.value());
    } else {
      log.Write(LogEvent("settings_refused")
                    .Add("reason", loaded.error().ToString()));
    }
    ReloadOnHangup(signals, gateway, log, path);
  });
}

int Run(const std::string& path, GatewaySettings settings) {
  boost::asio::io_context io(1);
  BootClock clock;
  SeededRandom random(EntropySeed());
  StdoutEventLog log(clock, settings.log_lines_per_s);
  platform::PlatformWire wire;
  platform::PlatformStoreCodec codec(EndpointText(settings.store_address));
  platform::PlatformDutyCodec duty_codec(EndpointText(settings.duty_address));
  WallClock wall_clock;
  Gateway gateway(io, clock, random, log, std::move(settings), wire, codec,
                  duty_codec, wall_clock, platform::kReadinessPath);
  auto started = Capture([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(gateway.Start());
    return true;
  });
  if (!started.ok()) {
    log.Write(
        LogEvent("start_failed").Add("reason", started.error().ToString()));
    return kFailure;
  }
  boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT);
  stop_signals.async_wait([&](boost::system::error_code error, int) {
    if (!error)
      gateway.Shutdown([&io] { io.stop(); });
  });
  boost::asio::signal_set hangup(io, SIGHUP);
  ReloadOnHangup(hangup, gateway, log, path);
  io.run();
  return kSuccess;
}

int Main() {
  // A caller that closes its connection is reported by the write.
  std::signal(SIGPIPE, SIG_IGN);
  std::string path = SettingsPath();
  auto settings = Capture([&] { return LoadSettings(path); });
  if (!settings.ok()) {
    LogLine("settings refused: {}", settings.error().ToString());
    return kInvalidInput;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    LogLine("the settings are valid");
    return kSuccess;
  }
  return Run(path, std::move(settings.value()));
}

}  // namespace
}  // namespace cranberryhill::gateway

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "One entry instance: forwards requests of callers to replicas.\n"
      "Exit codes: 0 stopped, 1 cannot start, 2 invalid settings.");
  absl::ParseCommandLine(argc, argv);
  return cranberryhill::gateway::Main();
}
