add_library(fake_platform_core STATIC
  fake_platform/platform_state.cc fake_platform/platform_server.cc
  fake_platform/running_platform.cc fake_platform/shut_down_socket.cc)
target_link_libraries(fake_platform_core PUBLIC ch_environment ch_table ch_base
  cxxtools-http cxxtools)
# cxxtools/string.h uses members of std::allocator that C++20 removed.
set_source_files_properties(fake_platform/shut_down_socket.cc
  PROPERTIES COMPILE_OPTIONS -std=c++17)
cranberryhill_program(fake_platform SOURCES fake_platform/main.cc
  DEPS fake_platform_core absl::flags absl::flags_parse absl::flags_usage)
