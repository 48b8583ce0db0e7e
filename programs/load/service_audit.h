#ifndef CRANBERRYHILL_PROGRAMS_LOAD_SERVICE_AUDIT_H_
#define CRANBERRYHILL_PROGRAMS_LOAD_SERVICE_AUDIT_H_

// Compares what callers of at-most-once calls were told with what the services
// counted.
//
//   CallAudit audit = AuditCalls(result.at_most_once, runs);

#include <cstdint>
#include <map>
#include <span>
#include <string>

#include "cranberryhill/base/result.h"
#include "cranberryhill/http2/http2_types.h"
#include "programs/load/load_result.h"

namespace cranberryhill::load {

/// How often each idempotency key has run.
using RunsByKey = std::map<std::string, uint64_t>;

/// Reads GET /calls of each service and adds the counts up. Blocks.
/// @return kUnavailable when a service does not answer.
Result<RunsByKey> FetchRuns(std::span<const IpAddress> services);

/// @return The differences, with `done` set.
CallAudit AuditCalls(std::span<const CallRecord> calls, const RunsByKey& runs);

}  // namespace cranberryhill::load

#endif  // CRANBERRYHILL_PROGRAMS_LOAD_SERVICE_AUDIT_H_
