#include "programs/bench/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>

namespace cranberryhill::bench {
namespace {

struct Field {
  const char* name;
  double RunResult::*value;
};

constexpr std::array<Field, 12> kFields{{
    {"goodput", &RunResult::goodput},
    {"bound_ratio", &RunResult::bound_ratio},
    {"capacity_ratio", &RunResult::capacity_ratio},
    {"first_token_p50_s", &RunResult::first_token_p50},
    {"first_token_p99_s", &RunResult::first_token_p99},
    {"short_wait_p99_s", &RunResult::short_wait_p99},
    {"long_stretch_p99", &RunResult::long_stretch_p99},
    {"affected_p99_s", &RunResult::affected_p99},
    {"extra_work", &RunResult::extra_work},
    {"fairness", &RunResult::fairness},
    {"role_changes", &RunResult::role_changes},
    {"lost", &RunResult::lost},
}};

struct Summary {
  double mean = 0;
  double min = 0;
  double max = 0;
  double deviation = 0;
};

Summary Summarize(std::span<const RunResult> results,
                  double RunResult::*value) {
  Summary summary{.min = results[0].*value, .max = results[0].*value};
  auto count = static_cast<double>(results.size());
  for (const RunResult& result : results) {
    summary.mean += result.*value / count;
    summary.min = std::min(summary.min, result.*value);
    summary.max = std::max(summary.max, result.*value);
  }
  for (const RunResult& result : results) {
    double distance = result.*value - summary.mean;
    summary.deviation += distance * distance / count;
  }
  summary.deviation = std::sqrt(summary.deviation);
  return summary;
}

}  // namespace

std::string TextHeader() {
  return fmt::format(
      "{:<16}{:<18}{:>8}{:>7}{:>13}{:>7}{:>8}{:>8}{:>8}{:>8}{:>8}{:>6}{:>7}"
      "{:>6}{:>6}",
      "scenario", "policy", "goodput", "ratio", "spread", "capac", "ft_p50",
      "ft_p99", "wait99", "long99", "aff99", "roles", "extra", "fair", "lost");
}

std::string TextReport(std::string_view scenario,
                       std::string_view policy,
                       std::span<const RunResult> results) {
  auto mean = [&](double RunResult::*value) {
    return Summarize(results, value).mean;
  };
  Summary ratio = Summarize(results, &RunResult::bound_ratio);
  return fmt::format(
      "{:<16}{:<18}{:>8.2f}{:>7.3f}{:>13}{:>7.3f}{:>8.3f}{:>8.3f}{:>8.3f}"
      "{:>8.2f}{:>8.3f}{:>6.1f}{:>7.3f}{:>6.2f}{:>6.1f}",
      scenario, policy, mean(&RunResult::goodput), ratio.mean,
      fmt::format("{:.3f}-{:.3f}", ratio.min, ratio.max),
      mean(&RunResult::capacity_ratio), mean(&RunResult::first_token_p50),
      mean(&RunResult::first_token_p99), mean(&RunResult::short_wait_p99),
      mean(&RunResult::long_stretch_p99), mean(&RunResult::affected_p99),
      mean(&RunResult::role_changes), mean(&RunResult::extra_work),
      mean(&RunResult::fairness), mean(&RunResult::lost));
}

std::string JsonReport(std::string_view scenario,
                       std::string_view policy,
                       std::span<const RunResult> results) {
  nlohmann::ordered_json json;
  json["scenario"] = std::string(scenario);
  json["policy"] = std::string(policy);
  for (const Field& field : kFields) {
    Summary summary = Summarize(results, field.value);
    json["summary"][field.name] = {{"mean", summary.mean},
                                   {"min", summary.min},
                                   {"max", summary.max},
                                   {"deviation", summary.deviation}};
  }
  for (const RunResult& result : results) {
    nlohmann::ordered_json run;
    run["seed"] = result.seed;
    run["arrived"] = result.arrived;
    run["refused"] = result.refused;
    run["good"] = result.good;
    run["late"] = result.late;
    for (size_t kind = 0; kind < kKinds; ++kind) {
      std::string name(KindName(static_cast<Kind>(kind)));
      run["arrived_by_kind"][name] = result.arrived_by_kind[kind];
      run["good_by_kind"][name] = result.good_by_kind[kind];
    }
    for (const Field& field : kFields)
      run[field.name] = result.*field.value;
    json["runs"].push_back(std::move(run));
  }
  return json.dump(2);
}

}  // namespace cranberryhill::bench
