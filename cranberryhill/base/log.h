#ifndef CRANBERRYHILL_BASE_LOG_H_
#define CRANBERRYHILL_BASE_LOG_H_

// Log lines on standard error. Lines are for changes of state; what happens
// often is counted in metrics instead.
//
//   LogLine("lease {} acquired with fencing number {}", key, number);

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace cranberryhill {

/// Writes one line with the UTC time in front. Thread-safe.
void WriteLogLine(std::string_view line);

template <typename... Args>
void LogLine(fmt::format_string<Args...> format, Args&&... args) {
  WriteLogLine(fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_BASE_LOG_H_
