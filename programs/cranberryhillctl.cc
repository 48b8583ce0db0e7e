// The operators' command line.

#include <fmt/format.h>

#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/reflection.h"
#include "programs/ctl/commands.h"

ABSL_FLAG(std::string,
          platform,
          "127.0.0.1:7000",
          "IP:PORT of the platform's table service");
ABSL_FLAG(std::string,
          daemon,
          "127.0.0.1:8080",
          "IP:PORT of the daemon to drain (HTTP/1.1)");
ABSL_FLAG(std::string, environment, "", "name of the environment");
ABSL_FLAG(std::string, author, "", "who makes the change, for the audit");
ABSL_FLAG(std::string, token, "", "operation token, to repeat a command");
ABSL_FLAG(int64_t, parent, -1, "newest version that apply expects");
ABSL_FLAG(int64_t, limit, 20, "rows shown by history and audit");
ABSL_FLAG(absl::Duration,
          timeout,
          absl::Seconds(10),
          "how long a lost answer is resolved for");
ABSL_FLAG(std::string, output, "text", "json or text");

namespace cranberryhill {
namespace {

constexpr std::string_view kUsage =
    R"(cranberryhillctl [flags] SUBCOMMAND [arguments]

Subcommands:
  validate FILE      check a document
  apply FILE         write a document as a new version and put it in trial
  promote [VERSION]  put the version in trial into production
  rollback VERSION   put the content of an older version into production, as a
                     new version
  resolve TOKEN      tell whether a change whose answer was lost was made, and
                     prevent it if not
  status             show the newest, trial and production versions
  history            list versions
  audit              list accepted changes
  drain              stop a daemon gracefully

Flags:
  --platform=IP:PORT    table service of the platform (127.0.0.1:7000)
  --daemon=IP:PORT      daemon to drain (127.0.0.1:8080)
  --environment=NAME    environment; apply takes it from the document
  --author=TEXT         who makes the change; required by apply, promote and
                        rollback
  --token=TEXT          operation token, to repeat a command that may have run
  --parent=VERSION      newest version that apply expects, 0 for none
  --limit=N             rows shown by history and audit (20)
  --timeout=DURATION    how long a lost answer is resolved for (10s)
  --output=json|text    format of the result (text)
  --help                show this text

Exit codes: 0 success, 1 failure, 2 usage or invalid input, 3 lost a race,
4 outcome unknown.
)";

Error FlagError(std::string_view flag,
                std::string_view value,
                std::string_view rule) {
  return {ErrorCode::kInvalidArgument, fmt::format("--{}", flag),
          std::string(value), std::string(rule)};
}

/// Sets the flags and collects the other words. absl::ParseCommandLine() is
/// not used because it ends the process with exit code 1 on a wrong flag and
/// on --help.
Outcome<std::vector<std::string>> ParseArguments(int argc, char** argv) {
  std::vector<std::string> words;
  for (int i = 1; i < argc; ++i) {
    std::string_view word = argv[i];
    if (!word.starts_with("--")) {
      words.emplace_back(word);
      continue;
    }
    size_t equals = word.find('=');
    std::string name(word.substr(2, equals - 2));
    absl::CommandLineFlag* flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr)
      return FlagError(name, "", "is not a known flag; see --help");
    std::string value;
    if (equals != std::string_view::npos) {
      value = word.substr(equals + 1);
    } else if (i + 1 < argc) {
      value = argv[++i];
    } else {
      return FlagError(name, "", "needs a value");
    }
    std::string problem;
    if (!flag->ParseFrom(value, &problem))
      return FlagError(name, value, "has a value that cannot be read");
  }
  return words;
}

bool WantsHelp(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    std::string_view word = argv[i];
    if (word == "--help" || word == "-h")
      return true;
  }
  return false;
}

Result<CommandOptions> ReadOptions() {
  CommandOptions options;
  BOOST_LEAF_ASSIGN(options.platform,
                    ParseEndpoint(absl::GetFlag(FLAGS_platform), "--platform"));
  BOOST_LEAF_ASSIGN(options.daemon,
                    ParseEndpoint(absl::GetFlag(FLAGS_daemon), "--daemon"));
  options.environment = absl::GetFlag(FLAGS_environment);
  options.author = absl::GetFlag(FLAGS_author);
  options.token = absl::GetFlag(FLAGS_token);
  if (absl::GetFlag(FLAGS_parent) >= 0)
    options.parent = static_cast<uint64_t>(absl::GetFlag(FLAGS_parent));
  // Negative limits become huge ones, which the commands refuse.
  options.limit = static_cast<size_t>(absl::GetFlag(FLAGS_limit));
  options.timeout = absl::GetFlag(FLAGS_timeout);
  return options;
}

Outcome<OutputFormat> ReadFormat() {
  std::string name = absl::GetFlag(FLAGS_output);
  if (name == "json")
    return OutputFormat::kJson;
  if (name == "text")
    return OutputFormat::kText;
  return FlagError("output", name, "must be json or text");
}

int Run(int argc, char** argv) {
  if (WantsHelp(argc, argv)) {
    fmt::print(stdout, "{}", kUsage);
    return kExitSuccess;
  }
  Outcome<std::vector<std::string>> words = ParseArguments(argc, argv);
  Outcome<OutputFormat> format = ReadFormat();
  Outcome<CommandOptions> options = Capture(ReadOptions);
  CommandResult result;
  if (!words.ok()) {
    result = FormatError(words.error());
  } else if (!format.ok()) {
    result = FormatError(format.error());
  } else if (!options.ok()) {
    result = FormatError(options.error());
  } else {
    result = RunCommand(words.value(), options.value());
  }
  Print(result, format.ok() ? format.value() : OutputFormat::kText);
  return result.exit_code;
}

}  // namespace
}  // namespace cranberryhill

int main(int argc, char** argv) {
  return cranberryhill::Run(argc, argv);
}
