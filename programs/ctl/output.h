#ifndef PROGRAMS_CTL_OUTPUT_H_
#define PROGRAMS_CTL_OUTPUT_H_

// What a command prints, as JSON or as text, and its exit code.
//
//   CommandResult result = FormatOperation("apply", token, outcome);
//   Print(result, OutputFormat::kText);

#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/result.h"
#include "cranberryhill/environment/environment_operations.h"

namespace cranberryhill {

/// Exit codes of the design page, section 7.
enum ExitCode {
  kExitSuccess = 0,
  kExitFailure = 1,
  kExitUsage = 2,     ///< Usage or invalid input.
  kExitLostRace = 3,  ///< Another change came first.
  kExitUnknown = 4,   ///< The change may have been made.
};

enum class OutputFormat { kText, kJson };

struct CommandResult {
  ExitCode exit_code = kExitSuccess;
  std::string json;
  std::string text;  ///< Lines without a line feed at the end.
};

/// Writes the result to standard output.
void Print(const CommandResult& result, OutputFormat format);

CommandResult FormatError(const Error& error);
CommandResult FormatOperation(std::string_view action,
                              std::string_view token,
                              const OperationResult& result);
CommandResult FormatStatus(std::string_view environment,
                           const EnvironmentStatus& status);
CommandResult FormatHistory(const std::vector<DocumentRecord>& history);
CommandResult FormatAudit(const std::vector<AuditRecord>& audit);

/// @param digest Of the canonical text.
CommandResult FormatValid(std::string_view environment,
                          std::string_view digest);

/// @param body The daemon's answer.
CommandResult FormatDrain(unsigned status, std::string_view body);

}  // namespace cranberryhill

#endif  // PROGRAMS_CTL_OUTPUT_H_
