cranberryhill_program(customer_benchmark
  SOURCES ${CMAKE_SOURCE_DIR}/platform/benchmarks/customer_benchmark.cc
  DEPS ch_adapter ch_customers)
