#ifndef CRANBERRYHILL_PROGRAMS_LOAD_LOAD_RESULT_H_
#define CRANBERRYHILL_PROGRAMS_LOAD_LOAD_RESULT_H_

// What a load run counted, and its forms for output.
//
//   LoadResult result = RunLoad(settings);
//   std::cout << TextReport(result);

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/json.h"
#include "cranberryhill/report/latency_histogram.h"

namespace cranberryhill::load {

/// How an at-most-once call ended for its caller.
enum class CallEnd {
  kAnswered,
  kNotRun,   ///< The last answer said "not run".
  kUnknown,  ///< The last answer said "unknown" or "run failed".
  kLost,     ///< No attempt got an answer.
};

struct CallRecord {
  std::string key;
  CallEnd end = CallEnd::kLost;
};

/// One second of the run; requests count in the second in which they started.
struct SecondCounts {
  uint64_t started = 0;
  uint64_t good = 0;  ///< Answered once, correctly and in time.
};

/// Counts of chats or of service calls. Each request counts in exactly one of
/// good, late, lost, cut, wrong and refused.
struct RequestCounts {
  uint64_t started = 0;
  uint64_t good = 0;
  uint64_t late = 0;   ///< Whole and right, but above a time limit.
  uint64_t lost = 0;   ///< No answer, also from other targets.
  uint64_t cut = 0;    ///< An open connection ended the answer early.
  uint64_t wrong = 0;  ///< Other tokens, order or length than asked for.
  uint64_t refused = 0;
  /// Refusals by "code/outcome", and cuts by "cut:" and the reason.
  std::map<std::string, uint64_t> reasons;
  uint64_t unexpected_refusals = 0;  ///< Codes that the settings do not name.
  /// Attempts whose connection was lost; each is repeated elsewhere.
  uint64_t resets = 0;
  /// Attempts that were repeated after a refusal that asked for it.
  uint64_t repeats = 0;
};

/// What GET /calls of the services says about the at-most-once calls.
struct CallAudit {
  bool done = false;  ///< All services answered.
  std::string error;
  uint64_t keys = 0;
  uint64_t doubled = 0;        ///< Keys that ran more than once.
  uint64_t lost = 0;           ///< Answered keys that never ran.
  uint64_t wrong_not_run = 0;  ///< Keys that ran despite "not run".
  uint64_t unknown = 0;        ///< Keys whose caller was told "unknown".
};

struct LoadResult {
  std::string mix;
  uint64_t seed = 0;
  double rate = 0;
  double service_rate = 0;
  absl::Duration duration;
  RequestCounts chats;
  RequestCounts calls;
  CallAudit audit;
  LatencyHistogram first_token;
  LatencyHistogram token_gap;  ///< Mean gap of each answer.
  LatencyHistogram call_latency;
  /// The same for chats sent straight to an engine.
  RequestCounts direct;
  LatencyHistogram direct_first_token;
  LatencyHistogram direct_token_gap;
  std::vector<SecondCounts> seconds;
  std::vector<CallRecord> at_most_once;
  /// From the fault to the start of the last request that was not good.
  absl::Duration normal_after;
};

/// @return Whether nothing was lost, cut, wrong, doubled, wrongly refused or
///     wrongly said not to have run.
bool IsClean(const LoadResult& result);

Json JsonReport(const LoadResult& result);
std::string TextReport(const LoadResult& result);
std::string HtmlReport(const LoadResult& result);

}  // namespace cranberryhill::load

#endif  // CRANBERRYHILL_PROGRAMS_LOAD_LOAD_RESULT_H_
