// What engines send: the input is read as the lines of a token stream, as a
// status and as cache events, and is sent to an engine as a prompt.

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"
#include "cranberryhill/daemon/engine_fleet.h"
#include "cranberryhill/daemon/internal/engine_messages.h"
#include "fuzz/check.h"

namespace cranberryhill {
namespace {

constexpr uint64_t kMaxTokens = 10'000'000;
constexpr absl::Duration kMaxAge = absl::Milliseconds(int64_t{1} << 40);

auto ParseLine(std::string_view text) {
  auto line = Capture([&] { return internal::ParseStreamLine(text); });
  if (line.ok()) {
    Check(line.value().index <= kMaxTokens, "an index is within its range");
    Check(line.value().done ? line.value().token.empty()
                            : line.value().finish_reason.empty(),
          "a line is a token or the end");
  }
  return line;
}

std::string FormatLine(const internal::StreamLine& line) {
  if (line.done)
    return Json{{"done", true}, {"finish_reason", line.finish_reason}}.dump();
  return Json{{"index", line.index}, {"token", line.token}}.dump();
}

auto ParseStatus(std::string_view text) {
  auto status = Capture([&] { return internal::ParseEngineStatus(text); });
  if (!status.ok())
    return status;
  const internal::EngineStatus& value = status.value();
  Check(EngineRoleName(value.role) == value.report.role,
        "the role and its name agree");
  Check(value.report.running <= kMaxTokens &&
            value.report.queued <= kMaxTokens &&
            value.load.running <= kMaxTokens && value.load.queued <= kMaxTokens,
        "numbers of requests are within their range");
  Check(value.load.prefill_tokens >= 0 && value.load.prefill_tokens <= 1e12,
        "prefill_tokens is within its range");
  Check(value.load_age >= absl::ZeroDuration() && value.load_age <= kMaxAge &&
            value.report.idle_for >= absl::ZeroDuration() &&
            value.report.idle_for <= kMaxAge,
        "ages are within their range");
  return status;
}

std::string FormatStatus(const internal::EngineStatus& status) {
  Json models = Json::array();
  for (const LoadedModel& model : status.report.models) {
    models.push_back({{"model", model.model},
                      {"version", model.version},
                      {"adapter", model.adapter}});
  }
  auto ms = absl::ToInt64Milliseconds;
  return Json{{"role", status.report.role},
              {"models", std::move(models)},
              {"running", status.report.running},
              {"queued", status.report.queued},
              {"idle_for_ms", ms(status.report.idle_for)},
              {"leaving", status.report.leaving},
              {"load",
               {{"running", status.load.running},
                {"queued", status.load.queued},
                {"prefill_tokens", status.load.prefill_tokens},
                {"age_ms", ms(status.load_age)}}}}
      .dump();
}

auto ParseEvents(std::string_view text) {
  auto events = Capture([&] { return internal::ParseCacheEvents(text); });
  if (events.ok()) {
    for (const CacheEvent& event : events.value())
      Check(event.sequence >= 1, "sequence numbers start at 1");
  }
  return events;
}

std::string FormatEvents(const std::vector<CacheEvent>& events) {
  Json array = Json::array();
  for (const CacheEvent& event : events) {
    array.push_back({{"sequence", event.sequence},
                     {"block", event.block},
                     {"stored", event.stored}});
  }
  return Json{{"events", std::move(array)}}.dump();
}

// The prompt comes from a caller; a prompt that is UTF-8 arrives unchanged.
void CheckGenerate(std::string_view prompt) {
  AttemptRequest attempt;
  attempt.prompt = std::string(prompt);
  attempt.deadline = absl::InfinitePast();
  std::string body = internal::GenerateBody(attempt, absl::UnixEpoch());
  auto json = Capture([&] { return ParseJson(body, "generate"); });
  Check(json.ok(), "a generate body is valid JSON");
  Check(json.value()["deadline_ms"] == 0, "a time left is not negative");
  std::string sent = json.value()["prompt"].get<std::string>();
  attempt.prompt = sent;
  Check(internal::GenerateBody(attempt, absl::UnixEpoch()) == body,
        "a UTF-8 prompt is unchanged");
}

}  // namespace
}  // namespace cranberryhill

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace cranberryhill;  // NOLINT
  std::string_view text = TextOf(data, size);
  CheckGenerate(text);
  CheckRoundTrip(text, ParseStatus, FormatStatus);
  CheckRoundTrip(text, ParseEvents, FormatEvents);
  while (!text.empty()) {
    size_t end = std::min(text.find('\n'), text.size() - 1);
    CheckRoundTrip(text.substr(0, end + 1), ParseLine, FormatLine);
    text.remove_prefix(end + 1);
  }
  return 0;
}
