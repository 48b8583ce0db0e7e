// The daemon of one entry instance.

#include <csignal>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "cranberryhill/base/log.h"
#include "cranberryhill/daemon/daemon.h"
#include "cranberryhill/daemon/settings.h"

ABSL_FLAG(std::string, settings, "", "Path of the settings file (JSON)");
ABSL_FLAG(bool, check_settings, false, "Check the settings file and exit");

namespace cranberryhill {
namespace {

// Exit codes.
constexpr int kSuccess = 0;
constexpr int kFailure = 1;
constexpr int kInvalidInput = 2;

Daemon* signalled_daemon = nullptr;

void OnSignal(int) {
  if (signalled_daemon != nullptr)
    signalled_daemon->RequestShutdown();
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

int RunDaemon(const Settings& settings) {
  Daemon daemon(settings);
  auto started = Capture([&]() -> Result<bool> {
    BOOST_LEAF_CHECK(daemon.Start());
    return true;
  });
  if (!started.ok()) {
    LogLine("cannot start: {}", started.error().ToString());
    return kFailure;
  }
  signalled_daemon = &daemon;
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  daemon.Run();
  signalled_daemon = nullptr;
  LogLine("instance {} has ended", settings.instance_id);
  return kSuccess;
}

int Main() {
  std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    LogLine("--settings is required; see --help");
    return kInvalidInput;
  }
  std::optional<std::string> text = ReadFile(path);
  if (!text) {
    LogLine("settings: value {}: cannot be read", path);
    return kInvalidInput;
  }
  auto settings = Capture([&] { return ParseSettings(*text); });
  if (!settings.ok()) {
    LogLine("settings {}: {}", path, settings.error().ToString());
    return kInvalidInput;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    LogLine("settings {} are valid", path);
    return kSuccess;
  }
  return RunDaemon(settings.value());
}

}  // namespace
}  // namespace cranberryhill

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(
      "Serves callers of one environment from this entry instance.\n"
      "Usage: cranberryhilld --settings=FILE [--check_settings]");
  absl::ParseCommandLine(argc, argv);
  return cranberryhill::Main();
}
