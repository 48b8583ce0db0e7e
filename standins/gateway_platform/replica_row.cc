#include "standins/gateway_platform/replica_row.h"

#include <nlohmann/json.hpp>

namespace cranberryhill::platform {

std::string ReplicaRow::Text() const {
  using nlohmann::json;
  json row = {{"service", this->service}, {"address", this->address},
              {"zone", this->zone},       {"slots", this->slots},
              {"state", this->state},     {"sequence", this->sequence}};
  if (!this->version.empty())
    row["version"] = this->version;
  if (this->started_ms != 0)
    row["born"] = this->started_ms;
  if (!this->stage.empty()) {
    row["stage"] = this->stage;
    row["models"] = {
        {{"name", "m"}, {"version", 1}, {"adapters", json::array()}}};
  }
  return row.dump();
}

}  // namespace cranberryhill::platform
