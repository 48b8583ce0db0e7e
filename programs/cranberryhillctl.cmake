add_library(cranberryhillctl_core STATIC ctl/command_loop.cc ctl/commands.cc
  ctl/output.cc)
target_link_libraries(cranberryhillctl_core PUBLIC ch_platform ch_environment)
cranberryhill_program(cranberryhillctl SOURCES cranberryhillctl.cc
  DEPS cranberryhillctl_core absl::flags absl::flags_reflection)

file(GLOB documents CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/examples/*.json)
foreach(document ${documents})
  get_filename_component(name ${document} NAME_WE)
  add_test(NAME validate_${name} COMMAND cranberryhillctl validate ${document})
endforeach()
