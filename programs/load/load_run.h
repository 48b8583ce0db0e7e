#ifndef CRANBERRYHILL_PROGRAMS_LOAD_LOAD_RUN_H_
#define CRANBERRYHILL_PROGRAMS_LOAD_LOAD_RUN_H_

// Sends open-loop load to entry instances and checks the answers.
//
//   LoadResult result = RunLoad(settings);

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/http2/http2_types.h"
#include "programs/load/load_result.h"
#include "programs/load/workload.h"

namespace cranberryhill::load {

struct LoadSettings {
  WorkloadSettings workload;
  std::vector<IpAddress> targets;   ///< HTTP/2 ports of entry instances.
  std::optional<IpAddress> direct;  ///< Engine that gets every second chat.
  std::string model;
  bool verify = false;  ///< Compare tokens with those of fake_engine.
  std::string idempotent_path;
  std::string at_most_once_path;
  std::set<std::string> expected_refusals;  ///< Codes.
  absl::Duration chat_timeout;
  /// When the caller provokes a fault, from the start of the run.
  absl::Duration fault_at;
};

/// Runs until all requests have ended. Latencies count from the moment at
/// which a request was due, so that a slow start is not left out.
LoadResult RunLoad(const LoadSettings& settings);

}  // namespace cranberryhill::load

#endif  // CRANBERRYHILL_PROGRAMS_LOAD_LOAD_RUN_H_
