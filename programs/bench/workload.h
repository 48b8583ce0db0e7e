#ifndef CRANBERRYHILL_PROGRAMS_BENCH_WORKLOAD_H_
#define CRANBERRYHILL_PROGRAMS_BENCH_WORKLOAD_H_

// Scenarios of policy_bench and their open-loop arrivals.
//
//   const Scenario* scenario = FindScenario("peak2");
//   std::vector<RequestSpec> arrivals = MakeArrivals(*scenario, seed);

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cranberryhill::bench {

/// Kinds of requests.
enum class Kind : uint8_t { kChat, kReading, kWriting, kBatch };
inline constexpr size_t kKinds = 4;

/// @return Stable name of a kind.
std::string_view KindName(Kind kind);

/// First token and gap limits of section 1.3 of the design page.
inline constexpr double kFirstTokenLimitS = 1.1;
inline constexpr double kGapLimitS = 0.066;
/// Part of a request's gaps that may exceed kGapLimitS.
inline constexpr double kLateGapShare = 0.05;
/// Own deadline of batch requests, from arrival to the last token.
inline constexpr double kBatchDeadlineS = 60;

/// One request of the open-loop load.
struct RequestSpec {
  uint64_t id = 0;
  double arrival = 0;  ///< Seconds from the start.
  uint32_t customer = 0;
  Kind kind = Kind::kChat;
  uint32_t instance = 0;  ///< Entry instance chosen by the load balancer.
  uint32_t prompt_tokens = 0;
  uint32_t output_tokens = 0;
  std::vector<uint64_t> blocks{};
  double new_tokens = 0;  ///< Prompt tokens outside blocks seen before.
  double deadline = 0;    ///< Seconds from arrival to the end; 0 means none.
};

/// Share of each kind, by number of requests.
using Mix = std::array<double, kKinds>;

/// A time span with one mix and one rate.
struct Phase {
  double seconds = 0;
  double load = 0;  ///< Offered work divided by the fleet's capacity.
  Mix mix{};
};

/// An engine that misbehaves for some time.
struct Disturbance {
  uint32_t engine = 0;
  double from = 0;
  double until = 0;
  double slow_factor = 1;
  bool crash = false;
};

struct Scenario {
  std::string_view name;
  std::string_view text;
  uint32_t engines = 0;
  uint32_t instances = 0;
  uint32_t zones = 3;
  double client_latency_s = 0.001;  ///< One way.
  uint32_t customers = 6;
  double top_customer_share = 0.3;  ///< Part of the load of customer 0.
  /// Time after the last arrival in which requests may complete. Scenarios
  /// below capacity have one, because what is in progress at the end would
  /// otherwise count as lost; at overload it would only loosen the bound.
  double tail_s = 0;
  std::vector<Phase> phases{};
  std::vector<Disturbance> disturbances{};

  /// @return Seconds in which requests arrive.
  double ArrivalSeconds() const;

  /// @return Seconds of the whole run.
  double Duration() const { return this->ArrivalSeconds() + this->tail_s; }
};

/// @return All scenarios.
const std::vector<Scenario>& Scenarios();

/// @return The scenario, or null.
const Scenario* FindScenario(std::string_view name);

/// @return Requests in order of arrival; equal for equal seeds.
std::vector<RequestSpec> MakeArrivals(const Scenario& scenario, uint64_t seed);

/// Least engine time that any policy needs for a request, in seconds.
struct LeastWork {
  double prefill = 0;
  double decode = 0;
  double Sum() const { return this->prefill + this->decode; }
};

/// See bound.h for why no policy needs less.
LeastWork LeastWorkOf(const RequestSpec& request);

/// @return Mean least work per request of a mix.
LeastWork MeanWork(const Mix& mix);

}  // namespace cranberryhill::bench

#endif  // CRANBERRYHILL_PROGRAMS_BENCH_WORKLOAD_H_
