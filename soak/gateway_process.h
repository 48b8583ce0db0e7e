#ifndef SOAK_GATEWAY_PROCESS_H_
#define SOAK_GATEWAY_PROCESS_H_

// The gateway program as a child process.

#include <sys/types.h>

#include <optional>
#include <string>
#include <utility>

namespace cranberryhill::soak {

class GatewayProcess {
 public:
  /// @param binary Path of the gateway program.
  /// @param settings Path of its settings file.
  /// @param log Path of the file to which its output is appended.
  GatewayProcess(std::string binary, std::string settings, std::string log)
      : binary(std::move(binary)),
        settings(std::move(settings)),
        log(std::move(log)) {}
  /// Kills the process if it still runs.
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  /// Takes effect at the next start.
  void SetProgram(std::string binary, std::string settings) {  // NOLINT
    this->binary = std::move(binary);
    this->settings = std::move(settings);
  }

  /// @return False when the process cannot be started.
  bool Start();

  /// Sends a signal; without effect when the process has ended.
  void Signal(int signal);

  /// @return The wait status if the process has ended since the last call.
  std::optional<int> TakeEnd();

  bool running() const { return this->pid > 0; }  // NOLINT

 private:
  std::string binary;
  std::string settings;
  const std::string log;
  pid_t pid = 0;
};

}  // namespace cranberryhill::soak

#endif  // SOAK_GATEWAY_PROCESS_H_
