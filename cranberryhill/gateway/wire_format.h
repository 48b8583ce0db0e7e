#ifndef CRANBERRYHILL_GATEWAY_WIRE_FORMAT_H_
#define CRANBERRYHILL_GATEWAY_WIRE_FORMAT_H_

// How a deployment writes what the gateway says to callers and replicas. The
// gateway decides; an implementation only knows names and formats.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/forward/prompt.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/http1/message.h"

namespace cranberryhill::gateway {

/// What a caller states beside the method, path and body.
struct CallerRequest {
  std::string attempt_id;  ///< Unique for each attempt of a caller.
  std::string host;
  std::optional<absl::Duration> time_left;
  forward::PromptDescription prompt;  ///< Empty for plain services.
};

/// What the gateway adds for a replica.
struct ForwardFields {
  absl::Duration time_left;
  std::string replica_id;         ///< Any other process must refuse.
  std::optional<int> priority;    ///< 0 is the most urgent, up to 9.
  bool read_prompt_only = false;  ///< Keep the prompt's cache, do not run.
  std::string cache_source;       ///< Where the prompt's cache is kept.
  std::optional<std::string> resume_after;  ///< Id of the last whole event.
};

/// What the head of a replica's answer says.
struct AnswerFacts {
  std::string attempt_id;  ///< Echo; empty if missing.
  bool is_signed = false;
  bool not_run = false;  ///< The replica did not run the request.
  bool wrong_instance = false;
  bool is_event_stream = false;
  std::optional<forward::ReplicaLoadReport> load;
};

/// What an engine says of itself.
struct EngineReport {
  std::optional<EngineRole> role;
  bool busy = false;   ///< An order is being carried out.
  int64_t orders = 0;  ///< Orders accepted since the engine's start.
};

/// An order to an engine to change its role.
struct RoleOrder {
  std::string replica_id;
  EngineRole role = EngineRole::kDecode;
  std::string holder;           ///< Instance that gives the order.
  uint64_t fencing_token = 0;   ///< Grows with each change of the holder.
  int64_t expected_orders = 0;  ///< The order is void after any other one.
};

class WireFormat {
 public:
  virtual ~WireFormat() = default;

  /// @return kInvalidArgument when a field that is needed cannot be read.
  virtual Result<CallerRequest> DecodeCallerRequest(
      const http1::RequestHead& head) const = 0;

  /// @return The head for a replica: method, target and the caller's fields,
  ///     without those that only the gateway may set.
  virtual http1::RequestHead EncodeForward(
      const http1::RequestHead& head,
      const ForwardFields& fields) const = 0;

  virtual AnswerFacts DecodeAnswer(const http1::AnswerHead& head) const = 0;

  /// @param body Of a successful answer to a request to read a prompt only.
  /// @return The handle of the kept cache.
  virtual Result<std::string> DecodePromptHandle(
      std::string_view body) const = 0;

  /// @return Where a replica finds the cache kept under `handle`.
  virtual std::string CacheSource(std::string_view address,
                                  std::string_view handle) const = 0;

  /// @return A request that frees the cache kept under `handle`.
  virtual http1::OutgoingRequest EncodeRelease(
      std::string_view address,
      std::string_view handle) const = 0;

  virtual http1::OutgoingRequest EncodeReportRequest(
      std::string_view address) const = 0;
  virtual Result<EngineReport> DecodeReport(std::string_view body) const = 0;
  virtual http1::OutgoingRequest EncodeRoleOrder(
      std::string_view address,
      const RoleOrder& order) const = 0;

  /// @return An answer of the gateway itself. `retry_after` is sent with
  ///     refusals of requests that have not run.
  virtual http1::AnswerHead OwnAnswer(
      int status,
      std::optional<absl::Duration> retry_after) const = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_GATEWAY_WIRE_FORMAT_H_
