#include "programs/ctl/commands.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <fmt/format.h>

#include <charconv>
#include <exception>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <utility>

#include "absl/time/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/base/worker_pool.h"
#include "cranberryhill/environment/environment_document.h"
#include "cranberryhill/platform/http_platform.h"
#include "programs/ctl/command_loop.h"

namespace cranberryhill {
namespace {

constexpr size_t kMaxListedRows = 1000;

/// Access to the table for one command.
struct TableSession {
  explicit TableSession(const CommandOptions& options)
      : table(options.platform, this->pool, this->loop),
        operations(this->table, options.environment) {}

  CommandLoop loop;
  WorkerPool pool{1, 10};
  HttpTableService table;
  EnvironmentOperations operations;
};

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return MakeError(ErrorCode::kInvalidArgument, "file", path,
                     "cannot be opened");
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

Result<uint64_t> ParseVersion(const std::string& text) {
  uint64_t version = 0;
  const char* end = text.data() + text.size();
  auto [parsed, error] = std::from_chars(text.data(), end, version);
  if (error != std::errc() || parsed != end || version == 0) {
    return MakeError(ErrorCode::kInvalidArgument, "version", text,
                     "must be a whole number above 0");
  }
  return version;
}

std::string NewToken() {
  return fmt::format("{:016x}{:016x}", EntropySeed(), EntropySeed());
}

ChangeInfo NewChange(const CommandOptions& options) {
  return {options.author, options.token.empty() ? NewToken() : options.token,
          absl::Now()};
}

/// Runs an operation to its end. A lost answer is resolved until the timeout.
CommandResult RunOperation(
    std::string_view action,
    const std::string& token,
    const CommandOptions& options,
    const std::function<void(EnvironmentOperations&, OperationCallback)>&
        begin) {
  TableSession session(options);
  absl::Time deadline = absl::Now() + options.timeout;
  std::optional<OperationResult> result;
  OperationCallback on_result = [&](const OperationResult& outcome) {
    if (outcome.state != OperationState::kUnknown || absl::Now() >= deadline) {
      result = outcome;
      return;
    }
    session.loop.RunAfter(options.resolve_interval, [&] {
      session.operations.Resolve(token, on_result);
    });
  };
  begin(session.operations, on_result);
  session.loop.RunUntil([&] { return result.has_value(); });
  return FormatOperation(action, token, *result);
}

/// Runs a read to its end.
template <typename T>
CommandResult RunRead(
    const CommandOptions& options,
    const std::function<void(EnvironmentOperations&,
                             std::function<void(const Outcome<T>&)>)>& begin,
    const std::function<CommandResult(const T&)>& format) {
  TableSession session(options);
  std::optional<Outcome<T>> result;
  begin(session.operations,
        [&](const Outcome<T>& outcome) { result = outcome; });
  session.loop.RunUntil([&] { return result.has_value(); });
  return result->ok() ? format(result->value()) : FormatError(result->error());
}

Result<CommandResult> Validate(const std::vector<std::string>& words,
                               const CommandOptions&) {
  BOOST_LEAF_AUTO(text, ReadFile(words[1]));
  BOOST_LEAF_AUTO(document, ParseEnvironmentDocument(text));
  return FormatValid(document.environment,
                     DocumentDigest(CanonicalText(document)));
}

Result<CommandResult> Apply(const std::vector<std::string>& words,
                            const CommandOptions& options) {
  BOOST_LEAF_AUTO(text, ReadFile(words[1]));
  BOOST_LEAF_AUTO(document, ParseEnvironmentDocument(text));
  CommandOptions adapted = options;
  if (adapted.environment.empty())
    adapted.environment = document.environment;
  ApplyRequest request{NewChange(options), std::move(text), options.parent};
  return RunOperation("apply", request.change.token, adapted,
                      [&](EnvironmentOperations& operations, auto callback) {
                        operations.Apply(request, std::move(callback));
                      });
}

Result<CommandResult> Promote(const std::vector<std::string>& words,
                              const CommandOptions& options) {
  PromoteRequest request{NewChange(options), {}};
  if (words.size() > 1) {
    BOOST_LEAF_ASSIGN(request.expected_version, ParseVersion(words[1]));
  }
  return RunOperation("promote", request.change.token, options,
                      [&](EnvironmentOperations& operations, auto callback) {
                        operations.Promote(request, std::move(callback));
                      });
}

Result<CommandResult> Rollback(const std::vector<std::string>& words,
                               const CommandOptions& options) {
  BOOST_LEAF_AUTO(version, ParseVersion(words[1]));
  RollbackRequest request{NewChange(options), version};
  return RunOperation("rollback", request.change.token, options,
                      [&](EnvironmentOperations& operations, auto callback) {
                        operations.Rollback(request, std::move(callback));
                      });
}

Result<CommandResult> Resolve(const std::vector<std::string>& words,
                              const CommandOptions& options) {
  BOOST_LEAF_CHECK(CheckName(words[1], "token"));
  return RunOperation("resolve", words[1], options,
                      [&](EnvironmentOperations& operations, auto callback) {
                        operations.Resolve(words[1], std::move(callback));
                      });
}

Result<CommandResult> Status(const std::vector<std::string>&,
                             const CommandOptions& options) {
  return RunRead<EnvironmentStatus>(
      options,
      [](EnvironmentOperations& operations, auto callback) {
        operations.ReadStatus(std::move(callback));
      },
      [&](const EnvironmentStatus& status) {
        return FormatStatus(options.environment, status);
      });
}

Result<CommandResult> History(const std::vector<std::string>&,
                              const CommandOptions& options) {
  return RunRead<std::vector<DocumentRecord>>(
      options,
      [&](EnvironmentOperations& operations, auto callback) {
        operations.ReadHistory(options.limit, std::move(callback));
      },
      FormatHistory);
}

Result<CommandResult> Audit(const std::vector<std::string>&,
                            const CommandOptions& options) {
  return RunRead<std::vector<AuditRecord>>(
      options,
      [&](EnvironmentOperations& operations, auto callback) {
        operations.ReadAudit(options.limit, std::move(callback));
      },
      FormatAudit);
}

Result<CommandResult> Drain(const std::vector<std::string>&,
                            const CommandOptions& options) {
  try {
    cxxtools::http::Client client;
    client.prepareConnect(options.daemon.ip, options.daemon.port);
    cxxtools::http::Request request("/operator/drain");
    request.method("POST");
    cxxtools::Milliseconds timeout(absl::ToDoubleMilliseconds(options.timeout));
    client.execute(request, timeout, timeout);
    const cxxtools::http::Reply& reply = client.readBody();
    return FormatDrain(reply.httpReturnCode(), reply.body());
  } catch (const std::exception& error) {
    return MakeError(ErrorCode::kUnavailable, "daemon", options.daemon.ip,
                     error.what());
  }
}

struct Command {
  Result<CommandResult> (*run)(const std::vector<std::string>&,
                               const CommandOptions&);
  size_t min_arguments;
  size_t max_arguments;
  bool needs_environment;
  bool needs_author;
};

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"validate", {Validate, 1, 1, false, false}},
      {"apply", {Apply, 1, 1, false, true}},
      {"promote", {Promote, 0, 1, true, true}},
      {"rollback", {Rollback, 1, 1, true, true}},
      {"resolve", {Resolve, 1, 1, true, false}},
      {"status", {Status, 0, 0, true, false}},
      {"history", {History, 0, 0, true, false}},
      {"audit", {Audit, 0, 0, true, false}},
      {"drain", {Drain, 0, 0, false, false}},
  };
  return commands;
}

Result<const Command*> FindCommand(const std::vector<std::string>& words,
                                   const CommandOptions& options) {
  auto refuse = [](std::string_view field, std::string_view value,
                   std::string_view rule) {
    return MakeError(ErrorCode::kInvalidArgument, field, value, rule);
  };
  std::string name = words.empty() ? "" : words[0];
  auto found = Commands().find(name);
  if (found == Commands().end()) {
    return refuse("subcommand", name,
                  "must be validate, apply, promote, rollback, resolve, "
                  "status, history, audit or drain; see --help");
  }
  const Command& command = found->second;
  size_t arguments = words.size() - 1;
  if (arguments < command.min_arguments || arguments > command.max_arguments) {
    return refuse(name, fmt::format("{} arguments", arguments),
                  fmt::format("must have {} to {}", command.min_arguments,
                              command.max_arguments));
  }
  if (command.needs_environment)
    BOOST_LEAF_CHECK(CheckName(options.environment, "--environment"));
  if (command.needs_author && options.author.empty())
    return refuse("--author", "", "is required");
  if (options.limit == 0 || options.limit > kMaxListedRows) {
    return refuse("--limit", std::to_string(options.limit),
                  fmt::format("must be from 1 to {}", kMaxListedRows));
  }
  if (options.timeout < absl::ZeroDuration()) {
    return refuse("--timeout", absl::FormatDuration(options.timeout),
                  "must not be negative");
  }
  return &command;
}

}  // namespace

CommandResult RunCommand(const std::vector<std::string>& words,
                         const CommandOptions& options) {
  Outcome<CommandResult> result = Capture([&]() -> Result<CommandResult> {
    BOOST_LEAF_AUTO(command, FindCommand(words, options));
    return command->run(words, options);
  });
  return result.ok() ? result.value() : FormatError(result.error());
}

}  // namespace cranberryhill
