#include "standins/fake_engine_orders.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

bool IsRole(const std::string& role) {
  return role == "prefill" || role == "decode" || role == "mixed";
}

}  // namespace

Result<EngineOrderRequest> ParseEngineOrder(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "order"));
  ObjectReader reader(json, "order");
  EngineOrderRequest order;
  BOOST_LEAF_AUTO(fencing, reader.Int("fencing_number", {}));
  BOOST_LEAF_AUTO(number, reader.Int("order_number", {}));
  order.fencing_number = static_cast<uint64_t>(fencing);
  order.order_number = static_cast<uint64_t>(number);
  BOOST_LEAF_ASSIGN(order.kind, reader.String("kind"));
  BOOST_LEAF_ASSIGN(order.role, reader.String("role", ""));
  BOOST_LEAF_ASSIGN(order.model.model, reader.String("model", ""));
  BOOST_LEAF_ASSIGN(order.model.version, reader.String("version", ""));
  BOOST_LEAF_ASSIGN(order.model.adapter, reader.String("adapter", ""));
  return order;
}

FakeEngineOrders::FakeEngineOrders(std::string role,
                                   std::vector<EngineModel> models,
                                   bool checks_fencing)
    : current_role(std::move(role)),
      loaded(std::move(models)),
      checks(checks_fencing) {}

bool FakeEngineOrders::HasModel(const std::string& model) const {
  return std::any_of(this->loaded.begin(), this->loaded.end(),
                     [&](const EngineModel& m) { return m.model == model; });
}

bool FakeEngineOrders::IsRepeat(const EngineOrderRequest& order) const {
  return this->last && this->last->kind == order.kind &&
         this->last->role == order.role && this->last->model == order.model;
}

std::optional<OrderAnswer> FakeEngineOrders::Refusal(
    const EngineOrderRequest& order) const {
  bool known = order.kind == "observe" || order.kind == "load" ||
               order.kind == "unload" ||
               (order.kind == "set_role" && IsRole(order.role));
  if (!known)
    return OrderAnswer{kBadRequest, "invalid_order", "unknown kind or role"};
  if (this->checks && order.fencing_number < this->highest_fencing) {
    return OrderAnswer{kConflict, "old_fencing_number",
                       "a higher fencing number was seen: " +
                           std::to_string(this->highest_fencing)};
  }
  if (order.kind == "observe")
    return std::nullopt;
  bool same_holder =
      this->last && this->last->fencing_number == order.fencing_number;
  if (this->checks && same_holder &&
      (order.order_number < this->last->order_number ||
       (order.order_number == this->last->order_number &&
        !this->IsRepeat(order)))) {
    return OrderAnswer{
        kConflict, "old_order_number",
        "order number seen: " + std::to_string(this->last->order_number)};
  }
  if (this->changing() && !this->IsRepeat(order))
    return OrderAnswer{kUnavailable, "busy", "a role change is in progress"};
  return std::nullopt;
}

OrderAnswer FakeEngineOrders::Take(const EngineOrderRequest& order) {
  if (auto refusal = this->Refusal(order))
    return *refusal;
  this->highest_fencing = std::max(this->highest_fencing, order.fencing_number);
  if (order.kind == "observe")
    return {};
  this->last = order;
  OrderAnswer answer;
  if (order.kind == "load") {
    if (std::find(this->loaded.begin(), this->loaded.end(), order.model) ==
        this->loaded.end())
      this->loaded.push_back(order.model);
  } else if (order.kind == "unload") {
    std::erase(this->loaded, order.model);
  } else if (!this->changing() && order.role != this->current_role) {
    this->next_role = order.role;
    answer.starts_role_change = true;
  }
  return answer;
}

void FakeEngineOrders::FinishRoleChange() {
  if (this->next_role)
    this->current_role = *std::exchange(this->next_role, std::nullopt);
}

}  // namespace cranberryhill
