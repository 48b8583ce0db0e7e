#ifndef CRANBERRYHILL_PROGRAMS_BENCH_ROUTER_BENCHMARK_H_
#define CRANBERRYHILL_PROGRAMS_BENCH_ROUTER_BENCHMARK_H_

// Measures the processor time of routing decisions.
//
//   double us = RoutingMicroseconds(350, 20000, 1);

#include <cstdint>

namespace cranberryhill::bench {

/// Decisions per second of wall time depend on the instance; all else follows
/// from the seed.
/// @param candidates Engines, all in the zone of the router.
/// @param decisions Number of decisions measured.
/// @return Mean microseconds per Choose() and OnSent().
double RoutingMicroseconds(uint32_t candidates,
                           uint32_t decisions,
                           uint64_t seed);

}  // namespace cranberryhill::bench

#endif  // CRANBERRYHILL_PROGRAMS_BENCH_ROUTER_BENCHMARK_H_
