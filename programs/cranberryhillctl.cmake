add_library(cranberryhillctl_core STATIC ctl/command_loop.cc ctl/commands.cc
  ctl/output.cc)
target_link_libraries(cranberryhillctl_core PUBLIC ch_platform ch_environment
  cxxtools-http cxxtools)
cranberryhill_program(cranberryhillctl SOURCES cranberryhillctl.cc
  DEPS cranberryhillctl_core absl::flags absl::flags_reflection)

file(GLOB documents CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/examples/*.json)
foreach(document ${documents})
  get_filename_component(name ${document} NAME_WE)
  add_test(NAME validate_${name} COMMAND cranberryhillctl validate ${document})
endforeach()

add_executable(cranberryhillctl_test ctl/commands_test.cc)
target_compile_definitions(cranberryhillctl_test PRIVATE BOOST_TEST_DYN_LINK)
target_link_libraries(cranberryhillctl_test PRIVATE cranberryhillctl_core
  fake_platform_core ch_test_main boost_unit_test_framework)
add_test(NAME cranberryhillctl_test COMMAND cranberryhillctl_test
  --log_level=warning)
set_tests_properties(cranberryhillctl_test PROPERTIES TIMEOUT 120)
