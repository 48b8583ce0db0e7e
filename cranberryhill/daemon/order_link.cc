#include "cranberryhill/daemon/order_link.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

// Design page, section 5: the longest time that a written order may arrive
// later.
constexpr absl::Duration kTcpUserTimeout = absl::Seconds(2);
constexpr absl::Duration kAnswerTimeout = absl::Seconds(3);
constexpr size_t kMaxAnswerBytes = size_t{64} * 1024;

std::string OrderBody(const EngineOrder& order) {
  Json body = {{"fencing_number", order.fencing_number},
               {"order_number", order.order_number},
               {"kind", OrderKindName(order.kind)}};
  if (order.kind == OrderKind::kSetRole)
    body["role"] = order.role;
  if (order.kind == OrderKind::kLoad || order.kind == OrderKind::kUnload) {
    body["model"] = order.model.model;
    body["version"] = order.model.version;
    if (!order.model.adapter.empty())
      body["adapter"] = order.model.adapter;
  }
  return body.dump();
}

}  // namespace

struct OrderLink::Exchange {
  uint64_t id = 0;
  std::unique_ptr<Http2Connection> connection;
  std::function<void(const Exchange&)> done;
  int status = 0;
  std::string body;
  std::optional<Http2Failure> failure;
};

OrderLink::OrderLink(Http2Client& client,
                     Executor& executor,
                     EngineFleet& fleet)
    : client(client),
      executor(executor),
      fleet(fleet),
      alive(std::make_shared<bool>(true)) {}

OrderLink::~OrderLink() {
  *this->alive = false;
}

void OrderLink::End(uint64_t id) {
  auto found = this->exchanges.find(id);
  if (found == this->exchanges.end())
    return;
  std::unique_ptr<Exchange> exchange = std::move(found->second);
  this->exchanges.erase(found);
  exchange->connection->Close();
  exchange->done(*exchange);
}

void OrderLink::Start(const std::string& engine,
                      Http2ClientRequest request,
                      std::function<void(const Exchange&)> done) {
  auto exchange = std::make_unique<Exchange>();
  uint64_t id = ++this->last_id;
  exchange->id = id;
  exchange->done = std::move(done);
  const IpAddress* address = this->fleet.AddressOf(engine);
  if (address == nullptr) {
    exchange->failure = Http2Failure{CloseReason::kConnectFailed, false,
                                     Http2Error::kNoError, "unknown engine"};
    exchange->done(*exchange);
    return;
  }
  Http2ConnectionOptions options;
  options.reconnect = false;
  options.tcp_user_timeout = kTcpUserTimeout;
  exchange->connection = this->client.Connect(*address, options);
  Exchange& stored = *(this->exchanges[id] = std::move(exchange));
  Http2Callbacks callbacks;
  callbacks.on_headers = [&stored](int status, const Headers&) {
    stored.status = status;
  };
  callbacks.on_data = [&stored](std::string_view chunk) {
    if (stored.body.size() + chunk.size() <= kMaxAnswerBytes)
      stored.body.append(chunk);
  };
  callbacks.on_end = [this, id] { this->End(id); };
  callbacks.on_failed = [this, id, &stored](const Http2Failure& failure) {
    stored.failure = failure;
    this->End(id);
  };
  stored.connection->Send(std::move(request), std::move(callbacks));
  // Closing the connection ends the exchange with a failure.
  this->executor.RunAfter(kAnswerTimeout, [this, id, guard = this->alive] {
    auto found = *guard ? this->exchanges.find(id) : this->exchanges.end();
    if (*guard && found != this->exchanges.end())
      found->second->connection->Close();
  });
}

void OrderLink::Send(const EngineOrder& order,
                     std::function<bool()> may_write,
                     OrderSendCallback callback) {
  Http2ClientRequest request{"POST",
                             "/v1/orders",
                             {{"content-type", "application/json"}},
                             OrderBody(order),
                             std::move(may_write)};
  this->Start(order.engine, std::move(request),
              [callback = std::move(callback)](const Exchange& exchange) {
                if (exchange.failure) {
                  callback(exchange.failure->may_have_been_sent
                               ? OrderSendResult::kUnknown
                               : OrderSendResult::kNotSent);
                } else if (exchange.status == 200 || exchange.status == 202) {
                  callback(OrderSendResult::kAccepted);
                } else if (exchange.status == 409) {
                  callback(OrderSendResult::kStaleFencingNumber);
                } else if (exchange.status >= 400 && exchange.status < 500) {
                  callback(OrderSendResult::kRejected);
                } else {
                  callback(OrderSendResult::kUnknown);
                }
              });
}

void OrderLink::ReadReport(const std::string& engine, ReportCallback callback) {
  this->fleet.ReadStatus(engine, std::move(callback));
}

}  // namespace cranberryhill
