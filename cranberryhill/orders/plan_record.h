#ifndef CRANBERRYHILL_ORDERS_PLAN_RECORD_H_
#define CRANBERRYHILL_ORDERS_PLAN_RECORD_H_

// The value of the plan row of a shard: the engines that get no new work
// because of an announced change.
//
//   Outcome<PlanRecord> plan = ParsePlanRecord(row.value);

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

struct PlanRecord {
  uint64_t plan_version = 0;          ///< Grows with each write; 0: no row yet.
  std::vector<std::string> draining;  ///< Engine ids.
};

std::string FormatPlanRecord(const PlanRecord& record);

/// @return The record, or kInvalidArgument that names the field.
Outcome<PlanRecord> ParsePlanRecord(std::string_view text);

/// @return The key `plan/{environment}/{zone}/{shard}`.
std::string PlanRowKey(std::string_view environment,
                       std::string_view zone,
                       std::string_view shard);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_PLAN_RECORD_H_
