#ifndef CRANBERRYHILL_GATEWAY_SETTINGS_H_
#define CRANBERRYHILL_GATEWAY_SETTINGS_H_

// Settings of a gateway process, read from JSON with comments and validated
// when parsed.

#include <optional>
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
  Endpoint callers_address;    ///< Accepts the requests of callers.
  Endpoint readiness_address;  ///< Polled by the load balancer.
  Endpoint control_address;    ///< Serves status and metrics; port 0 if not
                               ///< configured.
  Endpoint metrics_address;    ///< Serves status and metrics; port 0 if not
                               ///< configured.
  Endpoint peer_address;  ///< Receives datagrams of other instances; port 0 if
                          ///< not configured.
  Endpoint store_address;
  /// Takes the calls that one instance makes for all; port 0 if there is none.
  Endpoint duty_address;
  /// Length of the windows in which usage is reported; unset if it is not.
  std::optional<absl::Duration> usage_window;
  /// Time after the end of a window by which its usage must be reported.
  absl::Duration usage_late = absl::Seconds(10);
  absl::Duration shutdown_time = absl::Seconds(8);
  /// Minimum time between the orders of two lease holders.
  absl::Duration order_handover_gap = absl::Seconds(3);
  /// Time for which replicas serve after they have said that they leave.
  absl::Duration drain_time = absl::Seconds(2);
  forward::RetryBudgetLimits retry_bounds;
  /// Retries allowed per window in addition to the ratio, divided among all
  /// instances.
  double retry_slack = 0;
  /// Longest time without contact with the store, direct or through peers, in
  /// which requests with keys are served; unset if they always are.
  std::optional<absl::Duration> revocation_limit;
  int log_lines_per_s = 400;
  /// Memory of this process in megabytes. Bodies of requests and answers may
  /// together use a part of it.
  int memory_mb = 160;
};

/// @return kInvalidArgument with the name of the field, its value and the
///     violated rule.
Result<GatewaySettings> ParseGatewaySettings(std::string_view text);

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_SETTINGS_H_
