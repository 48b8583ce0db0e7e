#ifndef CRANBERRYHILL_GATEWAY_SETTINGS_H_
#define CRANBERRYHILL_GATEWAY_SETTINGS_H_

// Settings of a gateway process: JSON with comments, checked when read.

#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/windowed_retry_budget.h"

namespace cranberryhill::gateway {

struct GatewaySettings {
  std::string instance_id;
  std::string availability_zone;
  Endpoint callers;    ///< Requests.
  Endpoint readiness;  ///< Asked by the load balancer.
  Endpoint control;    ///< Status; may have port 0 for none.
  Endpoint metrics;    ///< May have port 0 for none.
  Endpoint peers;      ///< Datagrams of other instances; may be none.
  Endpoint store;
  absl::Duration shutdown_time = absl::Seconds(8);
  /// Orders of two holders must be this far apart.
  absl::Duration lease_time = absl::Seconds(3);
  forward::RetryBudgetLimits retries;
  /// Extra sends in a window beside the ratio, shared by all instances.
  double retry_slack = 0;
  int log_lines_per_s = 400;
};

/// @return kInvalidArgument with the field, the value and the rule.
Result<GatewaySettings> ParseGatewaySettings(std::string_view text);

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_SETTINGS_H_
