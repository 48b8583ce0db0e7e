cranberryhill_program(customer_benchmark SOURCES customer_benchmark.cc
  DEPS ch_adapter ch_customers)
