cranberryhill_program(cranberryhill-gateway SOURCES ${CMAKE_SOURCE_DIR}/programs/cranberryhill_gateway.cc
  DEPS ch_adapter ch_gateway absl::flags absl::flags_parse absl::flags_usage)
