#ifndef CRANBERRYHILL_PROGRAMS_BENCH_REPORT_H_
#define CRANBERRYHILL_PROGRAMS_BENCH_REPORT_H_

// Output of policy_bench.
//
//   std::string text = TextReport("peak2", "full", results);

#include <span>
#include <string>
#include <string_view>

#include "programs/bench/simulation.h"

namespace cranberryhill::bench {

/// @return A table line with the means over the seeds and the spread of the
///     goodput ratio.
std::string TextReport(std::string_view scenario,
                       std::string_view policy,
                       std::span<const RunResult> results);

/// @return Column names for TextReport().
std::string TextHeader();

/// @return One JSON object with the summary and the result of each seed.
std::string JsonReport(std::string_view scenario,
                       std::string_view policy,
                       std::span<const RunResult> results);

}  // namespace cranberryhill::bench

#endif  // CRANBERRYHILL_PROGRAMS_BENCH_REPORT_H_
