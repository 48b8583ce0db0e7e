#ifndef CRANBERRYHILL_ORDERS_ENGINE_ORDER_H_
#define CRANBERRYHILL_ORDERS_ENGINE_ORDER_H_

// Orders to engines, reports of engines, and the interface that sends orders
// and reads reports.

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

/// @return The name of the kind in the engine protocol, such as "set_role".
std::string_view OrderKindName(OrderKind kind);

/// A model version that an engine holds or is to hold.
struct LoadedModel {
  std::string model;
  std::string version;
  std::string adapter;  ///< Empty when the model runs without an adapter.

  bool operator==(const LoadedModel&) const = default;
};

/// An order to bring an engine to a target state. Carrying it out twice has the
/// same effect as once.
struct EngineOrder {
  std::string engine;
  uint64_t fencing_number = 0;
  /// Increases with each order to the same engine; 0 for kObserve.
  uint64_t order_number = 0;
  OrderKind kind = OrderKind::kObserve;
  std::string role;   ///< Set for kSetRole: "prefill", "decode" or "mixed".
  LoadedModel model;  ///< Set for kLoad and kUnload.
};

/// @return True when both orders have the same engine, kind and target state.
bool SameTarget(const EngineOrder& left, const EngineOrder& right);

/// The state that an engine reports about itself (GET /v1/status).
struct EngineReport {
  std::string role;
  std::vector<LoadedModel> models;  ///< Loaded models, not sorted.
  uint64_t running = 0;
  uint64_t queued = 0;
  absl::Duration idle_for;  ///< Zero while requests are running or queued.
  bool leaving = false;
};

/// @return True when the report shows the order's target state.
bool TargetReached(const EngineOrder& order, const EngineReport& report);

enum class OrderRowState { kIntent, kDone, kFailed };

/// The value of an order row, which holds the last order to an engine.
struct OrderRecord {
  EngineOrder order;
  OrderRowState state = OrderRowState::kIntent;
};

std::string FormatOrderRecord(const OrderRecord& record);

/// @return The record, or kInvalidArgument naming the invalid field.
Outcome<OrderRecord> ParseOrderRecord(std::string_view text);

/// @return The key `order/{environment}/{zone}/{engine}`.
std::string OrderRowKey(std::string_view environment,
                        std::string_view zone,
                        std::string_view engine);

enum class OrderSendResult {
  /// No byte was written, so the engine cannot have received the order.
  kNotSent,
  /// The engine accepted the order; a later report shows when it is complete.
  kAccepted,
  /// The engine refused the order because it has seen a higher fencing number.
  kStaleFencingNumber,
  /// The engine refused the order permanently, for example because the model
  /// version is unknown.
  kRejected,
  kUnknown,  ///< Bytes were written but no answer was received.
};

using OrderSendCallback = std::function<void(OrderSendResult)>;
using ReportCallback = std::function<void(const std::optional<EngineReport>&)>;

/// Sends orders to engines and reads their reports. Each callback runs exactly
/// once, on the caller's thread, during or after the call.
class OrderSender {
 public:
  virtual ~OrderSender() = default;

  /// Sends one order on a new connection with a TCP user timeout of 2 s and
  /// closes the connection afterwards. Calls `may_write` immediately before the
  /// first byte is written; when it returns false, nothing is written and the
  /// result is kNotSent. The callback runs when the answer is read, or when the
  /// connection is closed without one.
  virtual void Send(const EngineOrder& order,
                    std::function<bool()> may_write,
                    OrderSendCallback callback) = 0;

  /// Reads the engine's current report. The callback gets nothing when the
  /// engine does not answer. A report that was read before this call must not
  /// be returned.
  virtual void ReadReport(const std::string& engine,
                          ReportCallback callback) = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_ENGINE_ORDER_H_
