#ifndef CRANBERRYHILL_DAEMON_SETTINGS_H_
#define CRANBERRYHILL_DAEMON_SETTINGS_H_

// Settings of one entry instance, from a JSON file with comments.
//
//   BOOST_LEAF_AUTO(settings, ParseSettings(text));

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/endpoint.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill {

/// Another entry instance, known before the first instance list arrives.
struct PeerSetting {
  std::string id;
  std::string availability_zone;
  Endpoint address;  ///< Its `peer_address`.
};

struct Settings {
  std::string instance_id;
  std::string availability_zone;
  std::string environment;

  Endpoint http1_address;  ///< Whole answers, operator interface, metrics.
  Endpoint http2_address;  ///< Streams to callers.
  Endpoint peer_address;   ///< Messages of other entry instances.
  Endpoint platform_address;
  std::vector<PeerSetting> peers;

  int64_t max_requests = 2000;  ///< Chats in progress on this instance.
  absl::Duration first_token_target = absl::Milliseconds(1100);
  absl::Duration default_time_limit = absl::Minutes(10);
  /// Longest wait for running work during a graceful shutdown.
  absl::Duration shutdown_limit = absl::Minutes(15);
  /// Time between the leaving mark and the refusal of new connections, in
  /// which the platform's load balancer stops sending callers here.
  absl::Duration leaving_notice = absl::Seconds(2);
};

/// @return The settings, or kInvalidArgument that names field, value and rule.
Result<Settings> ParseSettings(std::string_view text);

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_SETTINGS_H_
