cranberryhill_program(gateway_soak SOURCES ${CMAKE_SOURCE_DIR}/programs/gateway_soak.cc
  DEPS ch_soak absl::flags absl::flags_parse absl::flags_usage)
# Its time bounds are those of the users' pages, several times what a run
# takes, so that a busy machine does not change the verdict.
add_test(NAME gateway_soak_short COMMAND gateway_soak
  --gateway=$<TARGET_FILE:cranberryhill-gateway>
  --directory=${CMAKE_BINARY_DIR}/gateway_soak --seed=7 --faults_s=6 --rate=60)
set_tests_properties(gateway_soak_short PROPERTIES TIMEOUT 120)
