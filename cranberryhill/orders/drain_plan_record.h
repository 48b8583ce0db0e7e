#ifndef CRANBERRYHILL_ORDERS_DRAIN_PLAN_RECORD_H_
#define CRANBERRYHILL_ORDERS_DRAIN_PLAN_RECORD_H_

// The value of the plan row of a shard: the engines that receive no new work
// because a change of them is announced.
//
//   Outcome<DrainPlanRecord> plan = ParseDrainPlanRecord(row.value);

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

struct DrainPlanRecord {
  /// Increases with each write; 0 when the row does not exist.
  uint64_t plan_version = 0;
  /// Ids of the engines that receive no new work.
  std::vector<std::string> draining;
};

std::string FormatDrainPlanRecord(const DrainPlanRecord& record);

/// @return The record, or kInvalidArgument naming the invalid field.
Outcome<DrainPlanRecord> ParseDrainPlanRecord(std::string_view text);

/// @return The key `plan/{environment}/{zone}/{shard}`.
std::string PlanRowKey(std::string_view environment,
                       std::string_view zone,
                       std::string_view shard);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_DRAIN_PLAN_RECORD_H_
