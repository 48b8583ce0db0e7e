#ifndef CRANBERRYHILL_STANDINS_FAKE_ENGINE_ORDERS_H_
#define CRANBERRYHILL_STANDINS_FAKE_ENGINE_ORDERS_H_

// Which orders a fake engine takes, and the role and models that result.
//
//   FakeEngineOrders orders("mixed", {{"m", "1", ""}}, true);
//   OrderAnswer answer = orders.Take(order);
//   if (answer.starts_role_change) ... orders.FinishRoleChange();

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

struct EngineModel {
  std::string model;
  std::string version;
  std::string adapter;  ///< Empty: the model without an adapter.

  bool operator==(const EngineModel&) const = default;
};

/// The body of POST /v1/orders.
struct EngineOrderRequest {
  uint64_t fencing_number = 0;
  uint64_t order_number = 0;
  std::string kind;  ///< observe, set_role, load or unload
  std::string role;
  EngineModel model;
};

/// Parses the body of an order.
/// @return kInvalidArgument that names the field.
Result<EngineOrderRequest> ParseEngineOrder(const std::string& body);

struct OrderAnswer {
  int status = 200;
  std::string code;     ///< Machine-readable reason of a refusal.
  std::string message;  ///< Empty when accepted.
  bool starts_role_change = false;
};

/// Not thread-safe.
class FakeEngineOrders {
 public:
  FakeEngineOrders(std::string role,
                   std::vector<EngineModel> models,
                   bool checks_fencing);

  /// Takes or refuses an order. Loads and unloads are done at once; a new role
  /// is in force after FinishRoleChange().
  OrderAnswer Take(const EngineOrderRequest& order);
  void FinishRoleChange();

  bool changing() const { return this->next_role.has_value(); }   // NOLINT
  const std::string& role() const { return this->current_role; }  // NOLINT
  const std::vector<EngineModel>& models() const {                // NOLINT
    return this->loaded;
  }
  bool HasModel(const std::string& model) const;
  uint64_t highest_fencing_number() const {  // NOLINT
    return this->highest_fencing;
  }
  /// @return The last accepted order that was not an observe order.
  const std::optional<EngineOrderRequest>& last_order() const {  // NOLINT
    return this->last;
  }
  void set_checks_fencing(bool value) { this->checks = value; }  // NOLINT

 private:
  std::optional<OrderAnswer> Refusal(const EngineOrderRequest& order) const;
  bool IsRepeat(const EngineOrderRequest& order) const;

  std::string current_role;
  std::vector<EngineModel> loaded;
  bool checks;
  std::optional<std::string> next_role;
  uint64_t highest_fencing = 0;
  std::optional<EngineOrderRequest> last;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_STANDINS_FAKE_ENGINE_ORDERS_H_
