#ifndef CRANBERRYHILL_EXCHANGE_WIRE_FORMAT_H_
#define CRANBERRYHILL_EXCHANGE_WIRE_FORMAT_H_

// Interface for the headers and bodies that a deployment uses between callers,
// the gateway and replicas. The gateway makes the decisions; an implementation
// only encodes and decodes.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/base/result.h"
#include "cranberryhill/customers/key_index.h"
#include "cranberryhill/forward/prompt.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/http1/message.h"

namespace cranberryhill::gateway {

/// What a caller's request says in addition to its method, path and body.
struct CallerRequest {
  std::string attempt_id;  ///< Unique for each attempt of a caller's request.
  /// Attempt of the caller that brought the first event of the stream that this
  /// one continues; empty if none is named.
  std::string resumed_attempt_id;
  bool has_last_event_id = false;  ///< Continues a stream after an event.
  std::string host;
  std::optional<absl::Duration> time_left;
  forward::PromptDescription prompt;  ///< Empty if not for an engine.
  customers::Credentials credentials;
  /// Name of the customer that the request's key belongs to. The gateway fills
  /// it in; empty for requests without a key.
  std::string customer;
  /// The customer's priority, or the one of the route. The gateway fills it in.
  int priority = 0;
};

/// What a request shows of its customer beyond the gateway.
struct CustomerFields {
  /// The gateway has authenticated the request: the credentials that its caller
  /// sent are removed.
  bool is_authenticated = false;
  std::string customer;  ///< Empty for requests without a key.
};

/// Header fields that the gateway adds to a request to a replica.
struct ForwardFields {
  absl::Duration time_left;
  std::string replica_id;       ///< Only this replica may run the request.
  std::optional<int> priority;  ///< From 0 (most urgent) to 9 (least urgent).
  bool prefill_only = false;    ///< Run only the prefill and keep its KV cache.
  std::string cache_source;     ///< Where the KV cache of the prompt is kept.
  std::optional<std::string> resume_after_event_id;  ///< Last event relayed.
  CustomerFields customer;
};

/// What the status and headers of a replica's answer say.
struct ReplicaAnswerInfo {
  std::string attempt_id;       ///< Echoed from the request; empty if missing.
  bool is_signed = false;       ///< The answer has the replica's signature.
  bool not_run = false;         ///< The replica did not run the request.
  bool wrong_instance = false;  ///< Reached another replica than intended.
  bool is_event_stream = false;
  std::optional<forward::ReplicaLoadReport> load;
  /// Requests per second that the replica takes from all instances together;
  /// unset while it takes any number.
  std::optional<double> requests_per_s;
  bool is_leaving = false;  ///< The replica will end soon.
  /// The replica wants no request from this instance for so long.
  std::optional<absl::Duration> retry_after;
  /// A header of these whose value makes no sense, as "NAME: VALUE"; it is
  /// ignored.
  std::string ignored_header;
};

/// The role of an engine and its progress with orders, as reported by the
/// engine.
struct EngineOrderStatus {
  std::optional<EngineRole> role;
  bool busy = false;            ///< True while the engine carries out an order.
  int64_t accepted_orders = 0;  ///< Since the engine started.
  int64_t started_ms = 0;  ///< Start time of the process; 0 if it names none.
};

/// An order to an engine to change its role.
struct RoleOrder {
  std::string replica_id;
  EngineRole role = EngineRole::kDecode;
  std::string holder;           ///< Instance that sends the order.
  uint64_t fencing_token = 0;   ///< Increases with each new holder.
  int64_t expected_orders = 0;  ///< Must equal the engine's accepted_orders.
};

class WireFormat {
 public:
  virtual ~WireFormat() = default;

  /// @return kInvalidArgument when a required field cannot be parsed.
  virtual Result<CallerRequest> DecodeCallerRequest(
      const http1::RequestHead& head) const = 0;

  /// @return The request head for a replica: the caller's method, target and
  ///     fields, without the fields that only the gateway may set.
  virtual http1::RequestHead EncodeForwardedHead(
      const http1::RequestHead& head,
      const ForwardFields& fields) const = 0;

  virtual ReplicaAnswerInfo DecodeAnswer(
      const http1::AnswerHead& head) const = 0;

  /// @param head Head of a caller's request.
  /// @param time_left Until the deadline of the request.
  /// @param customer Named to the other instance in place of the credentials.
  /// @return The head with which another instance gets the request in place of
  ///     this one.
  virtual http1::RequestHead EncodeRelayedHead(
      const http1::RequestHead& head,
      absl::Duration time_left,
      const CustomerFields& customer) const = 0;

  /// @param body Body of a successful answer to a prefill-only request.
  /// @return The handle of the KV cache that the engine keeps.
  virtual Result<std::string> DecodeCacheHandle(
      std::string_view body) const = 0;

  /// @param address Address of the engine that keeps the KV cache.
  /// @return The header value that tells another replica to fetch the cache
  ///     with this handle from that engine.
  virtual std::string CacheSource(std::string_view address,
                                  std::string_view handle) const = 0;

  /// @return A request that frees the cache with this handle.
  virtual http1::OutgoingRequest EncodeCacheRelease(
      std::string_view address,
      std::string_view handle) const = 0;

  virtual http1::OutgoingRequest EncodeReportRequest(
      std::string_view address) const = 0;
  virtual Result<EngineOrderStatus> DecodeReport(
      std::string_view body) const = 0;
  virtual http1::OutgoingRequest EncodeRoleOrder(
      std::string_view address,
      const RoleOrder& order) const = 0;

  /// @return The head of an answer that the gateway itself gives. `retry_after`
  ///     is sent when the gateway refuses a request that has not run.
  virtual http1::AnswerHead MakeGatewayAnswer(
      int status,
      std::optional<absl::Duration> retry_after) const = 0;

  /// @return The head of the answer to a request whose credentials are missing,
  ///     malformed or unknown.
  virtual http1::AnswerHead MakeUnauthorizedAnswer() const = 0;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_EXCHANGE_WIRE_FORMAT_H_
