#ifndef CRANBERRYHILL_ORDERS_ENGINE_ORDER_H_
#define CRANBERRYHILL_ORDERS_ENGINE_ORDER_H_

// Orders to engines, what engines report, and the interface that sends and
// reads them.
//
//   EngineOrder order{.engine = "e1", .kind = OrderKind::kSetRole,
//                     .role = "prefill"};
//   if (TargetReached(order, report)) ...

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/result.h"

namespace cranberryhill {

enum class OrderKind { kObserve, kSetRole, kLoad, kUnload };

/// @return The name in the engine protocol, such as "set_role".
std::string_view OrderKindName(OrderKind kind);

struct LoadedModel {
  std::string model;
  std::string version;
  std::string adapter;  ///< Empty: the model without an adapter.

  bool operator==(const LoadedModel&) const = default;
};

/// An order names a target state, so a repeat of it is harmless.
struct EngineOrder {
  std::string engine;
  uint64_t fencing_number = 0;
  uint64_t order_number = 0;  ///< Grows per engine; 0 for kObserve.
  OrderKind kind = OrderKind::kObserve;
  std::string role;   ///< kSetRole: "prefill", "decode" or "mixed".
  LoadedModel model;  ///< kLoad and kUnload.
};

/// @return True when both ask for the same target state.
bool SameTarget(const EngineOrder& left, const EngineOrder& right);

/// What an engine says about itself (GET /v1/status).
struct EngineReport {
  std::string role;
  std::vector<LoadedModel> models;  ///< In any order.
  uint64_t running = 0;
  uint64_t queued = 0;
  absl::Duration idle_for;  ///< Zero while running or queued is not zero.
  bool leaving = false;
};

/// @return True when the report shows the order's target state.
bool TargetReached(const EngineOrder& order, const EngineReport& report);

enum class OrderRowState { kIntent, kDone, kFailed };

/// The value of an order row.
struct OrderRecord {
  EngineOrder order;
  OrderRowState state = OrderRowState::kIntent;
};

std::string FormatOrderRecord(const OrderRecord& record);

/// @return The record, or kInvalidArgument that names the field.
Outcome<OrderRecord> ParseOrderRecord(std::string_view text);

/// @return The key `order/{environment}/{zone}/{engine}`.
std::string OrderRowKey(std::string_view environment,
                        std::string_view zone,
                        std::string_view engine);

enum class OrderSendState {
  kNotSent,    ///< No byte was written; the engine cannot have got the order.
  kAccepted,   ///< The engine took the order; its report shows the completion.
  kOldNumber,  ///< Refused: the engine has seen a higher fencing number.
  kRejected,   ///< Refused for good, such as an unknown model version.
  kUnknown,    ///< Bytes were written and no answer came.
};

using OrderSendCallback = std::function<void(OrderSendState)>;
using ReportCallback = std::function<void(const std::optional<EngineReport>&)>;

/// Sends orders and reads reports. Each callback runs exactly once, on the
/// caller's thread, during or after the call.
class OrderSender {
 public:
  virtual ~OrderSender() = default;

  /// Sends one order on a connection of its own with a TCP user timeout of
  /// 2 s and closes it afterwards. Calls `may_write` directly before the first
  /// byte is written, with nothing in between; when it returns false the
  /// answer is kNotSent. The callback runs when the answer is read, or when
  /// the connection is closed without one.
  virtual void Send(const EngineOrder& order,
                    std::function<bool()> may_write,
                    OrderSendCallback callback) = 0;

  /// Reads the engine's current report; nothing when there is no answer. A
  /// report that was read before this call must not be returned.
  virtual void ReadReport(const std::string& engine,
                          ReportCallback callback) = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_ENGINE_ORDER_H_
