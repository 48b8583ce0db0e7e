add_library(cranberryhill_load_core STATIC load/answer_reader.cc
  load/load_result.cc load/load_run.cc load/service_audit.cc load/workload.cc)
target_link_libraries(cranberryhill_load_core PUBLIC ch_report ch_http2 ch_base
  ch_fake_engine cxxtools-http cxxtools)
cranberryhill_program(cranberryhill-load SOURCES cranberryhill_load.cc
  DEPS cranberryhill_load_core absl::flags absl::flags_parse absl::flags_usage)

add_executable(load_test load/load_test.cc)
target_compile_definitions(load_test PRIVATE BOOST_TEST_DYN_LINK)
target_link_libraries(load_test PRIVATE cranberryhill_load_core ch_test_main
  boost_unit_test_framework)
add_test(NAME load_test COMMAND load_test --log_level=warning)
set_tests_properties(load_test PROPERTIES TIMEOUT 120)
