#ifndef CRANBERRYHILL_DAEMON_ORDER_LINK_H_
#define CRANBERRYHILL_DAEMON_ORDER_LINK_H_

// Sends orders to engines, each on a connection of its own, and reads their
// status through the fleet.
//
//   OrderLink link(client, executor, addresses);
//   link.Send(order, may_write, callback);

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cranberryhill/base/executor.h"
#include "cranberryhill/daemon/engine_fleet.h"
#include "cranberryhill/http2/http2_client.h"
#include "cranberryhill/orders/engine_order.h"

namespace cranberryhill {

/// Core thread only.
class OrderLink : public OrderSender {
 public:
  /// References must outlive this object.
  OrderLink(Http2Client& client, Executor& executor, EngineFleet& fleet);
  ~OrderLink() override;

  void Send(const EngineOrder& order,
            std::function<bool()> may_write,
            OrderSendCallback callback) override;

  void ReadReport(const std::string& engine, ReportCallback callback) override;

 private:
  struct Exchange;

  void Start(const std::string& engine,
             Http2ClientRequest request,
             std::function<void(const Exchange& exchange)> done);
  void End(uint64_t id);

  Http2Client& client;
  Executor& executor;
  EngineFleet& fleet;
  uint64_t last_id = 0;
  std::map<uint64_t, std::unique_ptr<Exchange>> exchanges;
  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_ORDER_LINK_H_
