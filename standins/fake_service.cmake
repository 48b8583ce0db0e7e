cranberryhill_program(fake_service SOURCES fake_service.cc DEPS
  absl::flags absl::flags_parse cxxtools-http cxxtools Threads::Threads)
# <cxxtools/net/tcpsocket.h> uses allocator types that C++20 removed.
set_target_properties(fake_service PROPERTIES CXX_STANDARD 17)
