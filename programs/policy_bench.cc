// Runs the decision code against small fake engines on a virtual clock.
//
//   policy_bench --scenario=peak2 --policy=full --seeds=20 --output=json

#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "programs/bench/entry_policy.h"
#include "programs/bench/report.h"
#include "programs/bench/router_benchmark.h"
#include "programs/bench/simulation.h"
#include "programs/bench/workload.h"

ABSL_FLAG(std::string, scenario, "all", "name of a scenario, or all");
ABSL_FLAG(std::string, policy, "full", "name of a policy, or all");
ABSL_FLAG(uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(uint32_t, seeds, 1, "number of runs, with consecutive seeds");
ABSL_FLAG(std::string, output, "text", "json or text");
ABSL_FLAG(bool, list, false, "list scenarios and policies");
ABSL_FLAG(bool, trace, false, "print engines and outcomes over time");
ABSL_FLAG(uint32_t,
          routing_candidates,
          0,
          "measure the time of a routing decision with this many candidates "
          "instead of running scenarios");

namespace cranberryhill::bench {
namespace {

constexpr std::string_view kUsage = R"(
Runs the policy libraries against small fake engines on a virtual clock. One
seed gives one result.

Columns: goodput (requests answered in time per second), ratio (goodput divided
by an upper bound) with its range over the seeds, capac (goodput divided by
capacity), first token p50 and p99 in seconds, wait99 (p99 from arrival to start
of prefill of short requests), long99 (p99 of the time of long requests divided
by the time on an idle fleet), aff99 (p99 of the longest silence of requests hit
by a crash), roles (role changes), extra (work of repeated attempts), fair (least
ratio of a customer's served work to its fair share), lost (accepted requests
that were dropped).

Upper bound: every request is charged the least engine time that its new prompt
tokens and its output tokens can take: the time per token plus a full step's
share of the fixed time of a step. All work of a counted request lies within the
run, so the sum over counted requests cannot exceed the engines' time, less
crashes and slow phases. The bound counts the cheapest requests that fit.
Capacity counts the same engine time with all requests served in proportion, so
a policy that serves cheap requests first can exceed it. programs/bench/bound.h
gives the argument in full.
)";

constexpr int kExitUsage = 2;

void List() {
  fmt::print("scenarios:\n");
  for (const Scenario& scenario : Scenarios())
    fmt::print("  {:<18}{}\n", scenario.name, scenario.text);
  fmt::print("policies:\n");
  for (const PolicyInfo& policy : Policies())
    fmt::print("  {:<18}{}\n", policy.name, policy.text);
}

int MeasureRouting(uint32_t candidates, uint64_t seed) {
  constexpr uint32_t kDecisions = 20000;
  double microseconds = RoutingMicroseconds(candidates, kDecisions, seed);
  fmt::print(
      "{{\"candidates\":{},\"decisions\":{},\"us_per_decision\":{:.2f}}}\n",
      candidates, kDecisions, microseconds);
  return 0;
}

std::vector<RunResult> RunSeeds(const Scenario& scenario,
                                const PolicyInfo& policy) {
  std::vector<RunResult> results;
  uint64_t first = absl::GetFlag(FLAGS_seed);
  for (uint64_t i = 0; i < absl::GetFlag(FLAGS_seeds); ++i)
    results.push_back(
        RunScenario(scenario, policy, first + i, absl::GetFlag(FLAGS_trace)));
  return results;
}

// Prints the results of each pair as soon as they exist.
void RunAll(const std::vector<const Scenario*>& scenarios,
            const std::vector<const PolicyInfo*>& policies,
            bool json) {
  if (!json)
    fmt::print("{}\n", TextHeader());
  const char* separator = "[";
  for (const Scenario* scenario : scenarios) {
    for (const PolicyInfo* policy : policies) {
      std::vector<RunResult> results = RunSeeds(*scenario, *policy);
      if (json) {
        fmt::print("{}{}", separator,
                   JsonReport(scenario->name, policy->name, results));
        separator = ",\n";
      } else {
        fmt::print("{}\n", TextReport(scenario->name, policy->name, results));
      }
      std::fflush(stdout);
    }
  }
  if (json)
    fmt::print("]\n");
}

int Run() {
  if (absl::GetFlag(FLAGS_list)) {
    List();
    return 0;
  }
  if (absl::GetFlag(FLAGS_routing_candidates) > 0) {
    return MeasureRouting(absl::GetFlag(FLAGS_routing_candidates),
                          absl::GetFlag(FLAGS_seed));
  }
  std::string scenario_name = absl::GetFlag(FLAGS_scenario);
  std::string policy_name = absl::GetFlag(FLAGS_policy);
  std::string output = absl::GetFlag(FLAGS_output);
  std::vector<const Scenario*> scenarios;
  for (const Scenario& scenario : Scenarios()) {
    if (scenario_name == "all" || scenario_name == scenario.name)
      scenarios.push_back(&scenario);
  }
  std::vector<const PolicyInfo*> policies;
  for (const PolicyInfo& policy : Policies()) {
    if (policy_name == "all" || policy_name == policy.name)
      policies.push_back(&policy);
  }
  if (scenarios.empty() || policies.empty() ||
      absl::GetFlag(FLAGS_seeds) == 0 ||
      (output != "json" && output != "text")) {
    fmt::print(stderr,
               "policy_bench: unknown --scenario={}, --policy={} or "
               "--output={}, or --seeds=0; see --list and --help\n",
               scenario_name, policy_name, output);
    return kExitUsage;
  }
  RunAll(scenarios, policies, output == "json");
  return 0;
}

}  // namespace
}  // namespace cranberryhill::bench

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      absl::string_view(cranberryhill::bench::kUsage.data(),
                        cranberryhill::bench::kUsage.size()));
  absl::ParseCommandLine(argc, argv);
  return cranberryhill::bench::Run();
}
