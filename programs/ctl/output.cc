#include "programs/ctl/output.h"

#include <fmt/format.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

constexpr unsigned kFirstHttpError = 300;
constexpr unsigned kFirstHttpSuccess = 200;

std::string Dump(const Json& json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

Json ErrorJson(const Error& error) {
  return {{"code", ErrorCodeName(error.code)},
          {"field", error.field},
          {"value", error.value},
          {"rule", error.rule}};
}

ExitCode ExitCodeOf(OperationState state) {
  switch (state) {
    case OperationState::kAccepted:
      return kExitSuccess;
    case OperationState::kRefused:
      return kExitUsage;
    case OperationState::kLostRace:
      return kExitLostRace;
    case OperationState::kNotDone:
      return kExitFailure;
    case OperationState::kUnknown:
      return kExitUnknown;
  }
  return kExitFailure;
}

Json StageJson(const std::optional<StageRecord>& stage) {
  if (!stage)
    return nullptr;
  return {{"generation", stage->generation},
          {"version", stage->version},
          {"digest", stage->digest}};
}

std::string StageText(std::string_view name,
                      const std::optional<StageRecord>& stage) {
  if (!stage)
    return fmt::format("{}: none", name);
  return fmt::format("{}: version {}, generation {}, digest {}", name,
                     stage->version, stage->generation, stage->digest);
}

void AddLine(std::string& text, std::string_view line) {
  if (!text.empty())
    text += '\n';
  text += line;
}

}  // namespace

void Print(const CommandResult& result, OutputFormat format) {
  const std::string& text =
      format == OutputFormat::kJson ? result.json : result.text;
  fmt::print(stdout, "{}\n", text);
}

CommandResult FormatError(const Error& error) {
  ExitCode code =
      error.code == ErrorCode::kInvalidArgument ? kExitUsage : kExitFailure;
  return {code, Dump({{"state", "failed"}, {"error", ErrorJson(error)}}),
          error.ToString()};
}

CommandResult FormatOperation(std::string_view action,
                              std::string_view token,
                              const OperationResult& result) {
  std::string_view state = OperationStateName(result.state);
  Json json = {{"action", action}, {"state", state}, {"token", token}};
  std::string text;
  if (result.state == OperationState::kAccepted) {
    json["version"] = result.version;
    json["generation"] = result.generation;
    text = fmt::format("{} accepted: version {}, generation {}", action,
                       result.version, result.generation);
  } else {
    json["error"] = ErrorJson(result.error);
    text = fmt::format("{} {}: {}", action, state, result.error.ToString());
  }
  if (result.state == OperationState::kLostRace) {
    json["winning_version"] = result.version;
    AddLine(text, fmt::format("winning version: {}", result.version));
  }
  if (result.state == OperationState::kUnknown) {
    AddLine(text,
            fmt::format("later, run: cranberryhillctl resolve {}", token));
  }
  return {ExitCodeOf(result.state), Dump(json), text};
}

CommandResult FormatStatus(std::string_view environment,
                           const EnvironmentStatus& status) {
  uint64_t newest = status.head ? status.head->version : 0;
  std::string text = fmt::format("environment {}", environment);
  AddLine(text, fmt::format("newest version: {}", newest));
  AddLine(text, StageText("trial", status.trial));
  AddLine(text, StageText("production", status.production));
  return {kExitSuccess,
          Dump({{"environment", environment},
                {"newest_version", newest},
                {"trial", StageJson(status.trial)},
                {"production", StageJson(status.production)}}),
          text};
}

CommandResult FormatHistory(const std::vector<DocumentRecord>& history) {
  Json json = Json::array();
  std::string text;
  for (const DocumentRecord& record : history) {
    json.push_back({{"version", record.version},
                    {"parent", record.parent},
                    {"author", record.author},
                    {"digest", record.digest},
                    {"promoted_generation", record.promoted_generation}});
    std::string promoted = record.promoted_generation == 0
                               ? "never in production"
                               : fmt::format("production generation {}",
                                             record.promoted_generation);
    AddLine(text, fmt::format("version {} from {} by {}: {}, digest {}",
                              record.version, record.parent, record.author,
                              promoted, record.digest));
  }
  return {kExitSuccess, Dump(json), text.empty() ? "no versions" : text};
}

CommandResult FormatAudit(const std::vector<AuditRecord>& audit) {
  Json json = Json::array();
  std::string text;
  for (const AuditRecord& row : audit) {
    json.push_back({{"sequence", row.sequence},
                    {"time", row.time},
                    {"author", row.author},
                    {"action", OperationKindName(row.kind)},
                    {"version", row.version},
                    {"previous", row.previous},
                    {"source", row.source},
                    {"generation", row.generation},
                    {"token", row.token}});
    AddLine(text, fmt::format("{} {} {} {}: version {} after {}", row.sequence,
                              row.time, row.author, OperationKindName(row.kind),
                              row.version, row.previous));
  }
  return {kExitSuccess, Dump(json), text.empty() ? "no changes" : text};
}

CommandResult FormatValid(std::string_view environment,
                          std::string_view digest) {
  return {kExitSuccess,
          Dump({{"state", "valid"},
                {"environment", environment},
                {"digest", digest}}),
          fmt::format("valid: environment {}, digest {}", environment, digest)};
}

CommandResult FormatDrain(unsigned status, std::string_view body) {
  bool accepted = status >= kFirstHttpSuccess && status < kFirstHttpError;
  return {accepted ? kExitSuccess : kExitFailure,
          Dump({{"action", "drain"},
                {"state", accepted ? "accepted" : "refused"},
                {"http_status", status},
                {"answer", body}}),
          fmt::format("drain {}: HTTP status {}: {}",
                      accepted ? "accepted" : "refused", status, body)};
}

}  // namespace cranberryhill
