// Open-loop load and experiments against running daemons. It checks every
// answer and, with --services, that at-most-once calls ran at most once.
//
//   cranberryhill-load --targets=127.0.41.1:8081,127.0.42.1:8081
//     --model=parts --mix=mixed --rate=20 --duration=30s --seed=1 --verify
//     --service_rate=5 --services=127.0.41.21:9100 --report=load.html
//
// Exit codes: 0 clean, 1 something was lost, cut, wrong, doubled or wrongly
// refused, 2 usage.

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/time/time.h"
#include "cranberryhill/base/log.h"
#include "programs/load/load_result.h"
#include "programs/load/load_run.h"
#include "programs/load/service_audit.h"

ABSL_FLAG(std::vector<std::string>,
          targets,
          {},
          "IP:PORT of the HTTP/2 ports of entry instances.");
ABSL_FLAG(std::string,
          direct,
          "",
          "IP:PORT of an engine that gets every second chat, to compare.");
ABSL_FLAG(std::string,
          mix,
          "mixed",
          "short_questions, long_readings, mixed, shift, swing or "
          "long_jobs_among_short.");
ABSL_FLAG(double, rate, 10, "Mean chats per second.");
ABSL_FLAG(double, service_rate, 0, "Mean service calls per second.");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(10), "Time of arrivals.");
ABSL_FLAG(uint64_t, seed, 1, "Seed of the arrivals and of the requests.");
ABSL_FLAG(std::vector<std::string>,
          customers,
          {"dealer-7"},
          "Names of customers; each request draws one.");
ABSL_FLAG(std::string, model, "parts", "Model that chats ask for.");
ABSL_FLAG(std::string,
          idempotent_path,
          "/orders/stock",
          "Path of idempotent calls (GET).");
ABSL_FLAG(std::string,
          at_most_once_path,
          "/orders/place",
          "Path of at-most-once calls (POST).");
ABSL_FLAG(std::vector<std::string>,
          services,
          {},
          "IP:PORT of all fake_service instances, to compare GET /calls.");
ABSL_FLAG(std::vector<std::string>,
          expected_refusals,
          {},
          "Codes of refusals that do not make the run fail.");
ABSL_FLAG(bool, verify, false, "Compare tokens with those of fake_engine.");
ABSL_FLAG(absl::Duration,
          chat_timeout,
          absl::Seconds(60),
          "A chat without an end for this long is lost.");
ABSL_FLAG(absl::Duration,
          fault_at,
          absl::ZeroDuration(),
          "When a fault is provoked; the report says how long after it the "
          "last request started that was not served in time.");
ABSL_FLAG(std::string, output, "text", "json or text.");
ABSL_FLAG(std::string, report, "", "File for the HTML report.");

namespace cranberryhill::load {
namespace {

constexpr int kUsage = 2;

Result<std::vector<IpAddress>> ParseAll(const std::vector<std::string>& texts) {
  std::vector<IpAddress> addresses;
  for (const std::string& text : texts) {
    BOOST_LEAF_AUTO(address, ParseIpAddress(text));
    addresses.push_back(address);
  }
  return addresses;
}

Result<LoadSettings> ReadFlags() {
  LoadSettings settings;
  std::string name = absl::GetFlag(FLAGS_mix);
  std::optional<Mix> mix = MixByName(name);
  if (!mix.has_value()) {
    return MakeError(ErrorCode::kInvalidArgument, "mix", name,
                     "must be one of " + MixNames());
  }
  BOOST_LEAF_ASSIGN(settings.targets, ParseAll(absl::GetFlag(FLAGS_targets)));
  if (settings.targets.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "targets", "",
                     "must name at least one IP:PORT");
  }
  if (!absl::GetFlag(FLAGS_direct).empty()) {
    BOOST_LEAF_ASSIGN(settings.direct,
                      ParseIpAddress(absl::GetFlag(FLAGS_direct)));
  }
  std::string output = absl::GetFlag(FLAGS_output);
  if (output != "json" && output != "text") {
    return MakeError(ErrorCode::kInvalidArgument, "output", output,
                     "must be json or text");
  }
  settings.workload = {*mix,
                       absl::GetFlag(FLAGS_rate),
                       absl::GetFlag(FLAGS_service_rate),
                       absl::GetFlag(FLAGS_duration),
                       absl::GetFlag(FLAGS_seed),
                       absl::GetFlag(FLAGS_customers)};
  if (settings.workload.customers.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "customers", "",
                     "must name at least one customer");
  }
  settings.model = absl::GetFlag(FLAGS_model);
  settings.verify = absl::GetFlag(FLAGS_verify);
  settings.idempotent_path = absl::GetFlag(FLAGS_idempotent_path);
  settings.at_most_once_path = absl::GetFlag(FLAGS_at_most_once_path);
  for (const std::string& code : absl::GetFlag(FLAGS_expected_refusals))
    settings.expected_refusals.insert(code);
  settings.chat_timeout = absl::GetFlag(FLAGS_chat_timeout);
  settings.fault_at = absl::GetFlag(FLAGS_fault_at);
  return settings;
}

void Audit(const std::vector<IpAddress>& services, LoadResult& result) {
  if (services.empty())
    return;
  auto runs = Capture([&] { return FetchRuns(services); });
  if (runs.ok())
    result.audit = AuditCalls(result.at_most_once, runs.value());
  else
    result.audit.error = runs.error().ToString();
}

bool WriteReport(const LoadResult& result) {
  std::string path = absl::GetFlag(FLAGS_report);
  if (path.empty())
    return true;
  std::ofstream file(path);
  file << HtmlReport(result);
  file.close();
  if (!file)
    LogLine("cannot write the report to {}", path);
  return static_cast<bool>(file);
}

int RunTool() {
  auto settings = Capture(ReadFlags);
  auto services =
      Capture([] { return ParseAll(absl::GetFlag(FLAGS_services)); });
  for (const Error* error : {settings.ok() ? nullptr : &settings.error(),
                             services.ok() ? nullptr : &services.error()}) {
    if (error != nullptr) {
      LogLine("invalid flags: {}", error->ToString());
      return kUsage;
    }
  }
  LoadResult result = RunLoad(settings.value());
  result.mix = absl::GetFlag(FLAGS_mix);
  result.seed = absl::GetFlag(FLAGS_seed);
  result.rate = absl::GetFlag(FLAGS_rate);
  result.service_rate = absl::GetFlag(FLAGS_service_rate);
  result.duration = absl::GetFlag(FLAGS_duration);
  Audit(services.value(), result);
  if (absl::GetFlag(FLAGS_output) == "json")
    std::cout << JsonReport(result).dump(2) << "\n";
  else
    std::cout << TextReport(result);
  return WriteReport(result) && IsClean(result) ? 0 : 1;
}

}  // namespace
}  // namespace cranberryhill::load

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Sends open-loop load to entry instances and checks every answer.");
  absl::ParseCommandLine(argc, argv);
  return cranberryhill::load::RunTool();
}
