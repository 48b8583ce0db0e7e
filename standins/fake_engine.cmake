add_library(ch_fake_engine STATIC fake_engine.cc fake_engine_orders.cc
  fake_engine_cache.cc)
target_link_libraries(ch_fake_engine PUBLIC ch_http2 ch_base)
cranberryhill_program(fake_engine SOURCES fake_engine_main.cc DEPS
  ch_fake_engine absl::flags absl::flags_parse)

add_executable(fake_engine_test fake_engine_test.cc)
target_compile_definitions(fake_engine_test PRIVATE BOOST_TEST_DYN_LINK)
target_link_libraries(fake_engine_test PRIVATE ch_fake_engine ch_test_main
  boost_unit_test_framework)
add_test(NAME fake_engine_test COMMAND fake_engine_test --log_level=warning)
set_tests_properties(fake_engine_test PROPERTIES TIMEOUT 120)
