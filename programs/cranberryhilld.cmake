cranberryhill_program(cranberryhilld SOURCES cranberryhilld.cc
  DEPS ch_daemon absl::flags absl::flags_parse absl::flags_usage)
