#include "cranberryhill/usage/usage_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace cranberryhill::usage {
namespace {

/// Of the row's value. Readers ignore fields that they do not know; a value
/// that they would misread has a higher number.
constexpr int kForm = 1;

}  // namespace

void UsageLedger::Decide(int64_t window, CustomerCounts counts) {
  this->pending.push_back({window, std::move(counts)});
  this->decided = window;
}

void UsageLedger::GiveUp(int64_t window) {
  this->decided = std::max(this->decided, window);
}

void UsageLedger::Remove(int64_t window) {
  std::erase_if(this->pending, [window](const PendingWindow& entry) {
    return entry.window == window;
  });
}

std::string EncodeUsageLedger(const UsageLedger& ledger) {
  using nlohmann::json;
  json pending = json::array();
  for (const PendingWindow& entry : ledger.pending)
    pending.push_back({{"window", entry.window}, {"counts", entry.counts}});
  std::string bytes;
  json::to_msgpack({{"form", kForm},
                    {"era", ledger.era},
                    {"decided", ledger.decided},
                    {"pending", std::move(pending)}},
                   bytes);
  return bytes;
}

Result<UsageLedger> DecodeUsageLedger(std::string_view bytes) {
  using nlohmann::json;
  auto invalid = [](const std::string& rule) {
    return MakeError(ErrorCode::kInvalidArgument, "usage ledger", "", rule);
  };
  json fields = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
  // The checked accessors throw when a field has the wrong type.
  try {
    if (fields.at("form").get<int>() != kForm)
      return invalid("has an unsupported form");
    UsageLedger ledger;
    ledger.era = fields.at("era").get<uint64_t>();
    ledger.decided = fields.at("decided").get<int64_t>();
    for (const json& entry : fields.at("pending")) {
      ledger.pending.push_back({entry.at("window").get<int64_t>(),
                                entry.at("counts").get<CustomerCounts>()});
    }
    return ledger;
  } catch (const json::exception& error) {
    return invalid(error.what());
  }
}

}  // namespace cranberryhill::usage
