# cranberryhill_library(NAME [DEPS target...]) builds the folder's sources into
# the static library ch_NAME, and its *_test.cc files into the one test program
# NAME_test, which CTest runs with a fixed RapidCheck seed.
set(CRANBERRYHILL_RC_PARAMS "seed=20261204 max_success=100" CACHE STRING
    "RapidCheck parameters of the test runs")

if(NOT CRANBERRYHILL_GATEWAY_ONLY)
  add_library(ch_test_main OBJECT ${CMAKE_SOURCE_DIR}/cmake/test_main.cc)
  target_compile_definitions(ch_test_main PRIVATE BOOST_TEST_DYN_LINK)
endif()

function(cranberryhill_library name)
  cmake_parse_arguments(arg "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc internal/*.cc)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  list(FILTER tests INCLUDE REGEX "_test\\.cc$")
  if(sources)
    add_library(ch_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(ch_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_link_libraries(ch_${name} ${scope} ${arg_DEPS})
  if(tests AND NOT CRANBERRYHILL_GATEWAY_ONLY)
    add_executable(${name}_test ${tests})
    target_compile_definitions(${name}_test PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name}_test PRIVATE ch_${name} ch_test_main
      rapidcheck boost_unit_test_framework)
    add_test(NAME ${name}_test COMMAND ${name}_test --log_level=warning)
    set_tests_properties(${name}_test PROPERTIES
      ENVIRONMENT "RC_PARAMS=${CRANBERRYHILL_RC_PARAMS}" TIMEOUT 300)
  endif()
endfunction()

# cranberryhill_program(NAME SOURCES file... [DEPS target...])
function(cranberryhill_program name)
  cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE ${arg_DEPS})
endfunction()
