#ifndef CRANBERRYHILL_STORE_EVENT_LOG_H_
#define CRANBERRYHILL_STORE_EVENT_LOG_H_

// Structured log lines on standard output: one for each decision that affects a
// request or changes the state of the process.
//
//   log.Write(LogEvent("request_sent").Add("request", id).Add("replica", r));
//
// Lines over the rate limit are dropped and counted, and so are lines for which
// the pipe has no room: logging never blocks.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace spdlog {
class logger;
}

namespace cranberryhill::gateway {

/// One log line: the name of an event and its fields, as JSON.
class LogEvent {
 public:
  explicit LogEvent(std::string_view name);

  LogEvent& Add(std::string_view key, std::string_view value);
  LogEvent& Add(std::string_view key, const char* value) {
    return this->Add(key, std::string_view(value));
  }
  LogEvent& Add(std::string_view key, int64_t value);
  LogEvent& Add(std::string_view key, int value) {
    return this->Add(key, static_cast<int64_t>(value));
  }
  LogEvent& Add(std::string_view key, uint64_t value);
  /// JSON has no infinity: numbers that are not finite are written as null.
  LogEvent& Add(std::string_view key, double value);
  LogEvent& Add(std::string_view key, bool value);
  /// Written in milliseconds, so keys should end in "_ms". Infinite durations
  /// are written as null.
  LogEvent& Add(std::string_view key, absl::Duration value);

  const std::string& text() const { return this->line; }  // NOLINT

 private:
  LogEvent& AddNumber(std::string_view key, double value, int digits);

  std::string line;
};

/// Destination of log lines.
class EventLog {
 public:
  virtual ~EventLog() = default;

  virtual void Write(const LogEvent& event) = 0;
};

/// Writes to standard output through spdlog. Not thread-safe.
class StdoutEventLog : public EventLog {
 public:
  /// @param clock Must outlive this object.
  /// @param lines_per_s Rate limit; further lines are dropped and counted.
  StdoutEventLog(const Clock& clock, int lines_per_s);
  ~StdoutEventLog() override;

  void Write(const LogEvent& event) override;

 private:
  const Clock& clock;
  const double lines_per_s;
  double available_lines;
  absl::Time refilled_at;
  uint64_t dropped = 0;
  std::shared_ptr<spdlog::logger> logger;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_EVENT_LOG_H_
