#ifndef PROGRAMS_CTL_COMMANDS_H_
#define PROGRAMS_CTL_COMMANDS_H_

// The subcommands of cranberryhillctl. Each blocks until it has its result.
//
//   CommandOptions options;
//   options.environment = "annex";
//   CommandResult result = RunCommand({"apply", "annex.json"}, options);

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/endpoint.h"
#include "programs/ctl/output.h"

namespace cranberryhill {

struct CommandOptions {
  Endpoint platform;
  Endpoint daemon;  ///< For drain.
  std::string environment;
  std::string author;
  std::string token;               ///< Empty: a new one.
  std::optional<uint64_t> parent;  ///< For apply.
  size_t limit = 20;               ///< For history and audit.
  /// How long a lost answer is resolved for, and how often.
  absl::Duration timeout = absl::Seconds(10);
  absl::Duration resolve_interval = absl::Seconds(1);
};

/// @param words The subcommand and its arguments.
/// @return The result; kExitUsage for an unknown subcommand or arguments that
/// do not fit it.
CommandResult RunCommand(const std::vector<std::string>& words,
                         const CommandOptions& options);

}  // namespace cranberryhill

#endif  // PROGRAMS_CTL_COMMANDS_H_
