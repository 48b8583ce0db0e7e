#include "cranberryhill/orders/drain_plan_record.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

Result<DrainPlanRecord> ReadDrainPlanRecord(std::string_view text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "plan"));
  ObjectReader reader(json, "plan");
  DrainPlanRecord record;
  BOOST_LEAF_AUTO(version, reader.Int("plan_version", {1, INT64_MAX}));
  record.plan_version = static_cast<uint64_t>(version);
  BOOST_LEAF_AUTO(draining, reader.Array("draining"));
  for (const Json& engine : *draining) {
    if (!engine.is_string()) {
      return MakeError(ErrorCode::kInvalidArgument, "plan.draining",
                       engine.dump(), "must contain only engine ids");
    }
    record.draining.push_back(engine.get<std::string>());
  }
  return record;
}

}  // namespace

std::string FormatDrainPlanRecord(const DrainPlanRecord& record) {
  return Json{{"plan_version", record.plan_version},
              {"draining", record.draining}}
      .dump();
}

Outcome<DrainPlanRecord> ParseDrainPlanRecord(std::string_view text) {
  return Capture([&] { return ReadDrainPlanRecord(text); });
}

std::string PlanRowKey(std::string_view environment,
                       std::string_view zone,
                       std::string_view shard) {
  return fmt::format("plan/{}/{}/{}", environment, zone, shard);
}

}  // namespace cranberryhill
