cranberryhill_program(policy_bench
  SOURCES policy_bench.cc bench/bound.cc bench/entry_policy.cc
    bench/fake_engine.cc bench/full_policy.cc bench/report.cc
    bench/router_benchmark.cc bench/simulation.cc bench/workload.cc
  DEPS ch_base ch_cost ch_routing ch_admission ch_roles absl::flags
    absl::flags_parse absl::flags_usage)
