#include "cranberryhill/store/event_log.h"

#include <fmt/format.h>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryhill::gateway {
namespace {

/// Maximum length of the text of one field; callers choose some of these texts.
constexpr size_t kMaxTextBytes = 200;

void AppendJsonText(std::string_view text, std::string& out) {
  out.push_back('"');
  for (char c : text.substr(0, kMaxTextBytes)) {
    auto code = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (code < 0x20 || code >= 0x7f) {
      out.append(fmt::format("\\u{:04x}", code));
    } else {
      out.push_back(c);
    }
  }
  out.push_back('"');
}

/// Never blocks: drops lines for which standard output has no room.
class NonBlockingStdoutSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  uint64_t TakeDropped() { return std::exchange(this->dropped, 0); }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t formatted;
    this->formatter_->format(message, formatted);
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    bool writable = poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    if (!writable ||
        write(STDOUT_FILENO, formatted.data(), formatted.size()) < 0)
      ++this->dropped;
  }

  void flush_() override {}

 private:
  uint64_t dropped = 0;
};

}  // namespace

LogEvent::LogEvent(std::string_view name) {
  this->line = "\"event\":";
  AppendJsonText(name, this->line);
}

LogEvent& LogEvent::Add(std::string_view key, std::string_view value) {
  this->line.append(fmt::format(",\"{}\":", key));
  AppendJsonText(value, this->line);
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, int64_t value) {
  this->line.append(fmt::format(",\"{}\":{}", key, value));
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, uint64_t value) {
  this->line.append(fmt::format(",\"{}\":{}", key, value));
  return *this;
}

LogEvent& LogEvent::AddNumber(std::string_view key, double value, int digits) {
  if (std::isfinite(value))
    this->line.append(fmt::format(",\"{}\":{:.{}f}", key, value, digits));
  else
    this->line.append(fmt::format(",\"{}\":null", key));
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, double value) {
  return this->AddNumber(key, value, 3);
}

LogEvent& LogEvent::Add(std::string_view key, bool value) {
  this->line.append(fmt::format(",\"{}\":{}", key, value));
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, absl::Duration value) {
  return this->AddNumber(key, absl::ToDoubleMilliseconds(value), 1);
}

StdoutEventLog::StdoutEventLog(const Clock& clock, int lines_per_s)
    : clock(clock),
      lines_per_s(lines_per_s),
      available_lines(lines_per_s),
      refilled_at(clock.Now()),
      logger(std::make_shared<spdlog::logger>(
          "events",
          std::make_shared<NonBlockingStdoutSink>())) {
  this->logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e",%v})");
}

StdoutEventLog::~StdoutEventLog() = default;

void StdoutEventLog::Write(const LogEvent& event) {
  absl::Time now = this->clock.Now();
  this->available_lines = std::min(
      this->lines_per_s,
      this->available_lines +
          this->lines_per_s * absl::ToDoubleSeconds(now - this->refilled_at));
  this->refilled_at = now;
  if (this->available_lines < 1) {
    ++this->dropped;
    return;
  }
  this->available_lines -= 1;
  if (this->dropped > 0) {
    LogEvent dropped_event("log_lines_dropped");
    dropped_event.Add("count", std::exchange(this->dropped, 0));
    this->logger->info(dropped_event.text());
  }
  auto* sink =
      static_cast<NonBlockingStdoutSink*>(this->logger->sinks().front().get());
  this->logger->info(event.text());
  this->dropped += sink->TakeDropped();
}

}  // namespace cranberryhill::gateway
