#include "cranberryhill/orders/engine_order.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

constexpr OrderKind kOrderKinds[] = {OrderKind::kObserve, OrderKind::kSetRole,
                                     OrderKind::kLoad, OrderKind::kUnload};
constexpr OrderRowState kRowStates[] = {
    OrderRowState::kIntent, OrderRowState::kDone, OrderRowState::kFailed};

std::string_view RowStateName(OrderRowState state) {
  switch (state) {
    case OrderRowState::kIntent:
      return "intent";
    case OrderRowState::kDone:
      return "done";
    case OrderRowState::kFailed:
      return "failed";
  }
  return "intent";
}

Result<OrderKind> ReadKind(std::string_view name) {
  for (OrderKind kind : kOrderKinds) {
    if (OrderKindName(kind) == name)
      return kind;
  }
  return MakeError(ErrorCode::kInvalidArgument, "order.kind", name,
                   "must be observe, set_role, load or unload");
}

Result<OrderRowState> ReadRowState(std::string_view name) {
  for (OrderRowState state : kRowStates) {
    if (RowStateName(state) == name)
      return state;
  }
  return MakeError(ErrorCode::kInvalidArgument, "order.state", name,
                   "must be intent, done or failed");
}

Result<OrderRecord> ReadOrderRecord(std::string_view text) {
  BOOST_LEAF_AUTO(json, ParseJson(text, "order"));
  ObjectReader reader(json, "order");
  OrderRecord record;
  EngineOrder& order = record.order;
  BOOST_LEAF_ASSIGN(order.engine, reader.String("engine"));
  BOOST_LEAF_AUTO(fencing, reader.Int("fencing_number", {1, INT64_MAX}));
  BOOST_LEAF_AUTO(number, reader.Int("order_number", {1, INT64_MAX}));
  order.fencing_number = static_cast<uint64_t>(fencing);
  order.order_number = static_cast<uint64_t>(number);
  BOOST_LEAF_AUTO(kind, reader.String("kind"));
  BOOST_LEAF_ASSIGN(order.kind, ReadKind(kind));
  BOOST_LEAF_ASSIGN(order.role, reader.String("role", ""));
  BOOST_LEAF_ASSIGN(order.model.model, reader.String("model", ""));
  BOOST_LEAF_ASSIGN(order.model.version, reader.String("version", ""));
  BOOST_LEAF_ASSIGN(order.model.adapter, reader.String("adapter", ""));
  BOOST_LEAF_AUTO(state, reader.String("state"));
  BOOST_LEAF_ASSIGN(record.state, ReadRowState(state));
  return record;
}

bool HasModel(const EngineReport& report, const LoadedModel& model) {
  return std::find(report.models.begin(), report.models.end(), model) !=
         report.models.end();
}

}  // namespace

std::string_view OrderKindName(OrderKind kind) {
  switch (kind) {
    case OrderKind::kObserve:
      return "observe";
    case OrderKind::kSetRole:
      return "set_role";
    case OrderKind::kLoad:
      return "load";
    case OrderKind::kUnload:
      return "unload";
  }
  return "observe";
}

bool SameTarget(const EngineOrder& left, const EngineOrder& right) {
  return left.engine == right.engine && left.kind == right.kind &&
         left.role == right.role && left.model == right.model;
}

bool TargetReached(const EngineOrder& order, const EngineReport& report) {
  switch (order.kind) {
    case OrderKind::kObserve:
      return true;
    case OrderKind::kSetRole:
      return report.role == order.role;
    case OrderKind::kLoad:
      return HasModel(report, order.model);
    case OrderKind::kUnload:
      return !HasModel(report, order.model);
  }
  return false;
}

std::string FormatOrderRecord(const OrderRecord& record) {
  const EngineOrder& order = record.order;
  return Json{{"engine", order.engine},
              {"fencing_number", order.fencing_number},
              {"order_number", order.order_number},
              {"kind", std::string(OrderKindName(order.kind))},
              {"role", order.role},
              {"model", order.model.model},
              {"version", order.model.version},
              {"adapter", order.model.adapter},
              {"state", std::string(RowStateName(record.state))}}
      .dump();
}

Outcome<OrderRecord> ParseOrderRecord(std::string_view text) {
  return Capture([&] { return ReadOrderRecord(text); });
}

std::string OrderRowKey(std::string_view environment,
                        std::string_view zone,
                        std::string_view engine) {
  return fmt::format("order/{}/{}/{}", environment, zone, engine);
}

}  // namespace cranberryhill
