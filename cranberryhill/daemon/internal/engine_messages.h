#ifndef CRANBERRYHILL_DAEMON_INTERNAL_ENGINE_MESSAGES_H_
#define CRANBERRYHILL_DAEMON_INTERNAL_ENGINE_MESSAGES_H_

// Bodies of the engine protocol (docs/design.md, section 15).

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/cost/load_tracker.h"
#include "cranberryhill/orders/engine_order.h"
#include "cranberryhill/routing/prefix_index.h"

namespace cranberryhill {

struct AttemptRequest;

namespace internal {

/// @param now The deadline is sent as the time left from `now`.
/// @return Body of POST /v1/generate.
std::string GenerateBody(const AttemptRequest& attempt, absl::Time now);

/// One line of a token stream.
struct StreamLine {
  bool done = false;
  std::string finish_reason;  ///< Set when done.
  uint32_t index = 0;         ///< Set when not done.
  std::string token;
};

/// @return The line, or kInvalidArgument.
Result<StreamLine> ParseStreamLine(std::string_view line);

/// Answer of GET /v1/status.
struct EngineStatus {
  EngineReport report;
  EngineRole role = EngineRole::kMixed;
  LoadReport load;  ///< measured_at is not set.
  absl::Duration load_age;
};

/// @return The status, or kInvalidArgument. Unknown fields are ignored, because
///     engines of later versions may report more.
Result<EngineStatus> ParseEngineStatus(std::string_view body);

/// @return The events of GET /v1/cache_events, or kInvalidArgument.
Result<std::vector<CacheEvent>> ParseCacheEvents(std::string_view body);

}  // namespace internal
}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_INTERNAL_ENGINE_MESSAGES_H_
