#include "cranberryhill/daemon/internal/engine_messages.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

#include "cranberryhill/base/json.h"
#include "cranberryhill/daemon/engine_fleet.h"

namespace cranberryhill::internal {
namespace {

constexpr int64_t kMaxTokens = 10'000'000;
constexpr int64_t kMaxMilliseconds = int64_t{1} << 40;

Result<std::vector<LoadedModel>> ReadModels(ObjectReader& reader) {
  std::vector<LoadedModel> models;
  BOOST_LEAF_AUTO(array, reader.Array("models", false));
  if (array == nullptr)
    return models;
  for (const Json& item : *array) {
    ObjectReader entry(item, "models[]");
    LoadedModel model;
    BOOST_LEAF_ASSIGN(model.model, entry.String("model"));
    BOOST_LEAF_ASSIGN(model.version, entry.String("version", ""));
    BOOST_LEAF_ASSIGN(model.adapter, entry.String("adapter", ""));
    models.push_back(std::move(model));
  }
  return models;
}

Result<EngineRole> ParseReportedRole(std::string_view name) {
  if (std::optional<EngineRole> role = ParseEngineRole(name))
    return *role;
  return MakeError(ErrorCode::kInvalidArgument, "status.role", name,
                   "must be prefill, decode or mixed");
}

Result<void> ReadLoad(ObjectReader& reader, EngineStatus& status) {
  BOOST_LEAF_AUTO(json, reader.Object("load", false));
  if (json == nullptr) {
    status.load.running = static_cast<uint32_t>(status.report.running);
    status.load.queued = static_cast<uint32_t>(status.report.queued);
    return {};
  }
  ObjectReader load(*json, "status.load");
  BOOST_LEAF_AUTO(running, load.Int("running", {0, kMaxTokens}));
  BOOST_LEAF_AUTO(queued, load.Int("queued", {0, kMaxTokens}));
  BOOST_LEAF_AUTO(age, load.Int("age_ms", {0, kMaxMilliseconds}, 0));
  BOOST_LEAF_AUTO(prefill, load.Double("prefill_tokens", {0, 1e12}, 0.0));
  status.load.running = static_cast<uint32_t>(running);
  status.load.queued = static_cast<uint32_t>(queued);
  status.load.prefill_tokens = prefill;
  status.load_age = absl::Milliseconds(age);
  return {};
}

}  // namespace

std::string GenerateBody(const AttemptRequest& attempt, absl::Time now) {
  Json body = {{"request_id", attempt.request_id},
               {"attempt", attempt.key.attempt},
               {"model", attempt.model},
               {"prompt", attempt.prompt},
               {"prompt_tokens", attempt.prompt_tokens},
               {"resume_from", attempt.resume_from},
               {"max_tokens", attempt.max_tokens},
               {"priority", attempt.priority}};
  if (attempt.deadline != absl::InfiniteFuture()) {
    body["deadline_ms"] =
        std::max<int64_t>(0, absl::ToInt64Milliseconds(attempt.deadline - now));
  }
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<StreamLine> ParseStreamLine(std::string_view line) {
  BOOST_LEAF_AUTO(json, ParseJson(line, "stream line"));
  ObjectReader reader(json, "");
  StreamLine event;
  BOOST_LEAF_ASSIGN(event.done, reader.Bool("done", false));
  if (event.done) {
    BOOST_LEAF_ASSIGN(event.finish_reason,
                      reader.String("finish_reason", "stop"));
    return event;
  }
  BOOST_LEAF_AUTO(index, reader.Int("index", {0, kMaxTokens}));
  event.index = static_cast<uint32_t>(index);
  BOOST_LEAF_ASSIGN(event.token, reader.String("token"));
  return event;
}

Result<EngineStatus> ParseEngineStatus(std::string_view body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "status"));
  ObjectReader reader(json, "status");
  EngineStatus status;
  BOOST_LEAF_ASSIGN(status.report.role, reader.String("role"));
  BOOST_LEAF_ASSIGN(status.role, ParseReportedRole(status.report.role));
  BOOST_LEAF_ASSIGN(status.report.models, ReadModels(reader));
  BOOST_LEAF_AUTO(running, reader.Int("running", {0, kMaxTokens}));
  BOOST_LEAF_AUTO(queued, reader.Int("queued", {0, kMaxTokens}));
  BOOST_LEAF_AUTO(idle, reader.Int("idle_for_ms", {0, kMaxMilliseconds}, 0));
  status.report.running = static_cast<uint64_t>(running);
  status.report.queued = static_cast<uint64_t>(queued);
  status.report.idle_for = absl::Milliseconds(idle);
  BOOST_LEAF_ASSIGN(status.report.leaving, reader.Bool("leaving", false));
  BOOST_LEAF_CHECK(ReadLoad(reader, status));
  return status;
}

Result<std::vector<CacheEvent>> ParseCacheEvents(std::string_view body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "cache events"));
  ObjectReader reader(json, "cache events");
  BOOST_LEAF_AUTO(array, reader.Array("events"));
  std::vector<CacheEvent> events;
  for (const Json& item : *array) {
    ObjectReader entry(item, "events[]");
    CacheEvent event;
    BOOST_LEAF_AUTO(sequence, entry.Int("sequence", {1, INT64_MAX}));
    event.sequence = static_cast<uint64_t>(sequence);
    BOOST_LEAF_ASSIGN(event.stored, entry.Bool("stored", true));
    auto block = item.find("block");
    if (block == item.end() || !block->is_number_unsigned()) {
      return MakeError(ErrorCode::kInvalidArgument, "events[].block", "",
                       "must be an unsigned number");
    }
    event.block = block->get<uint64_t>();
    events.push_back(event);
  }
  return events;
}

}  // namespace cranberryhill::internal
