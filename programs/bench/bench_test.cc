#include <boost/test/unit_test.hpp>

#include "programs/bench/simulation.h"
#include "programs/bench/workload.h"

namespace cranberryhill::bench {
namespace {

RunResult Run(const char* scenario, std::string_view policy, uint64_t seed) {
  return RunScenario(*FindScenario(scenario), *FindPolicy(policy), seed);
}

// Guards against results that depend on anything but the seed.
BOOST_AUTO_TEST_CASE(OneSeedGivesOneResult) {
  RunResult first = Run("crash", "full", 3);
  RunResult second = Run("crash", "full", 3);
  BOOST_TEST(first.good == second.good);
  BOOST_TEST(first.first_token_p99 == second.first_token_p99);
  BOOST_TEST(first.good != Run("crash", "full", 4).good);
}

// Guards against a bound that a policy can beat.
BOOST_AUTO_TEST_CASE(NoPolicyBeatsTheBound) {
  for (const char* scenario : {"slow2", "shift_burst", "shift_peak_slow"}) {
    for (const PolicyInfo& policy : Policies())
      BOOST_TEST(Run(scenario, policy.name, 1).bound_ratio <= 1.0);
  }
}

// Guards against accepted requests that are dropped after an engine crash.
BOOST_AUTO_TEST_CASE(CrashLosesNoRequest) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    RunResult result = Run("crash", "full", seed);
    BOOST_TEST(result.affected > 0U);
    BOOST_TEST(result.lost == 0);
  }
}

}  // namespace
}  // namespace cranberryhill::bench
