add_library(policy_bench_core STATIC bench/bound.cc bench/entry_policy.cc
  bench/fake_engine.cc bench/full_policy.cc bench/report.cc
  bench/router_benchmark.cc bench/simulation.cc bench/workload.cc)
target_link_libraries(policy_bench_core PUBLIC ch_base ch_cost ch_routing
  ch_admission ch_roles)

cranberryhill_program(policy_bench SOURCES policy_bench.cc
  DEPS policy_bench_core absl::flags absl::flags_parse absl::flags_usage)

add_executable(policy_bench_test bench/bench_test.cc)
target_compile_definitions(policy_bench_test PRIVATE BOOST_TEST_DYN_LINK)
target_link_libraries(policy_bench_test PRIVATE policy_bench_core ch_test_main
  boost_unit_test_framework)
add_test(NAME policy_bench_test COMMAND policy_bench_test --log_level=warning)
set_tests_properties(policy_bench_test PROPERTIES TIMEOUT 120)
