#include "cranberryhill/gateway/order_dispatcher.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <optional>
#include <utility>

#include "cranberryhill/http1/socket_options.h"
#include "cranberryhill/store/serial_http_client.h"

namespace cranberryhill::gateway {
namespace {

constexpr char kLeaseKey[] = "lease/orders";
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);
/// Timeout of one role change command. A suspended engine keeps its connections
/// open without answering, and the next order must not wait for it.
constexpr absl::Duration kCommandTimeout = absl::Seconds(2);

constexpr int kOk = 200;
constexpr int kAccepted = 202;

HandoverLeaseSettings MakeLeaseSettings(std::string instance,
                                        absl::Duration handover_gap) {
  HandoverLeaseSettings settings;
  settings.key = kLeaseKey;
  settings.holder = std::move(instance);
  settings.handover_gap = handover_gap;
  return settings;
}

}  // namespace

/// Requests an engine's state, then sends it one order.
class OrderDispatcher::RoleChangeCommand {
 public:
  RoleChangeCommand(OrderDispatcher& dispatcher,
                    const forward::Replica& engine,
                    std::string service,
                    forward::RoleChange change)
      : dispatcher(dispatcher),
        service(std::move(service)),
        change(std::move(change)),
        address(engine.Address()),
        deadline(dispatcher.clock.Now() + kCommandTimeout),
        report_client(dispatcher.io,
                      http1::TcpEndpoint(engine.entry.endpoint),
                      dispatcher.clock,
                      kConnectTimeout),
        order_client(dispatcher.io,
                     http1::TcpEndpoint(engine.entry.endpoint),
                     dispatcher.clock,
                     kConnectTimeout) {}

  void Start() {
    this->Call(this->report_client,
               this->dispatcher.wire.EncodeReportRequest(this->address),
               [this](const HttpResult& answer) { this->OnReport(answer); });
  }

 private:
  void Call(SerialHttpClient& client,
            const http1::OutgoingRequest& request,
            SerialHttpClient::Callback done) {
    // An order cannot wait: engines without a role serve nothing.
    this->dispatcher.send_permits.OnSentWithoutPermit(this->change.replica);
    client.Call(request, this->deadline - this->dispatcher.clock.Now(),
                std::move(done));
  }

  void OnReport(const HttpResult& answer) {
    this->dispatcher.LearnNotices(this->change.replica, answer);
    auto engine = this->dispatcher.replicas.Find(this->change.replica);
    if (engine == nullptr ||
        engine->WantsNoRequests(this->dispatcher.clock.Now()))
      return this->End(answer, false, "takes_no_requests");
    auto report = Capture(
        [&] { return this->dispatcher.wire.DecodeReport(answer.body); });
    bool usable = answer.status == kOk && report.ok() && !report.value().busy;
    // Checks the lease again immediately before the order is sent.
    auto grant = this->dispatcher.lease.GrantToAct();
    if (!usable || !grant)
      return this->End(answer, false, usable ? "lease_lost" : answer.reason);
    RoleOrder order{this->change.replica, this->change.role,
                    this->dispatcher.instance, grant->fencing_number,
                    report.value().accepted_orders};
    ++this->dispatcher.order_count;
    this->dispatcher.log.Write(
        LogEvent("order_sent")
            .Add("replica", this->change.replica)
            .Add("role", EngineRoleName(this->change.role))
            .Add("fencing_token", order.fencing_token)
            .Add("expected_orders", order.expected_orders)
            .Add("lease_left_ms",
                 grant->valid_until - this->dispatcher.clock.Now()));
    this->Call(this->order_client,
               this->dispatcher.wire.EncodeRoleOrder(this->address, order),
               [this](const HttpResult& answer) { this->OnAnswer(answer); });
  }

  void OnAnswer(const HttpResult& answer) {
    this->dispatcher.LearnNotices(this->change.replica, answer);
    bool accepted = answer.status == kOk || answer.status == kAccepted;
    // Without an answer the order may still be carried out, so the engine
    // counts as changing.
    this->End(answer, accepted || answer.status == 0,
              accepted ? "accepted" : answer.reason);
  }

  void End(const HttpResult& answer,
           bool may_take_effect,
           std::string_view reason) {
    this->dispatcher.log.Write(
        LogEvent("order_ended")
            .Add("replica", this->change.replica)
            .Add("role", EngineRoleName(this->change.role))
            .Add("status", answer.status)
            .Add("may_hold", may_take_effect)
            .Add("reason", reason));
    if (!may_take_effect)
      this->dispatcher.role_balancers.at(this->service)
          .OnRefused(this->change.replica);
    this->dispatcher.OnCommandDone(this);
  }

  OrderDispatcher& dispatcher;
  const std::string service;
  const forward::RoleChange change;
  const std::string address;
  const absl::Time deadline;
  SerialHttpClient report_client;
  // Not shared with the report: a late copy of it would count as the answer to
  // the order, as neither names its request.
  SerialHttpClient order_client;
};

OrderDispatcher::OrderDispatcher(boost::asio::io_context& io,
                                 std::string instance,
                                 absl::Duration handover_gap,
                                 ControlTable& table,
                                 forward::ReplicaSet& replicas,
                                 SendPermits& send_permits,
                                 forward::ReplicaNotices& replica_notices,
                                 const WireFormat& wire,
                                 EventLog& log,
                                 const Clock& clock,
                                 Random& random)
    : io(io),
      instance(std::move(instance)),
      replicas(replicas),
      send_permits(send_permits),
      replica_notices(replica_notices),
      wire(wire),
      log(log),
      clock(clock),
      table(table),
      lease(MakeLeaseSettings(this->instance, handover_gap),
            table,
            clock,
            random) {}

OrderDispatcher::~OrderDispatcher() = default;

/// Takes over what the control table says about the lease.
void OrderDispatcher::ObserveLease() {
  if (this->lease.ObserveEra(this->table.era())) {
    this->log.Write(
        LogEvent("order_lease_reset").Add("era", this->table.era()));
  }
  auto row = this->table.rows().find(kLeaseKey);
  if (row != this->table.rows().end())
    this->lease.ObserveRow(row->second.version, row->second.value);
}

void OrderDispatcher::Tick(const forward::RouteTable& routes, size_t rank) {
  this->ObserveLease();
  bool needed = false;
  for (const std::string& engine : this->ChangingEngines())
    this->replicas.OnRoleChanging(engine);
  for (const forward::ServiceConfig& service :
       routes.configuration().services) {
    if (!service.engine)
      continue;
    auto engines = this->replicas.Members(service.name);
    auto& role_balancer =
        this->role_balancers.try_emplace(service.name, this->clock)
            .first->second;
    if (!role_balancer.NeedsChange(engines))
      continue;
    needed = true;
    if (!this->lease.GrantToAct())
      continue;
    while (auto change = role_balancer.NextChange(engines))
      this->StartRoleChange(service.name, *change);
  }
  this->UpdateLease(needed, rank);
}

/// Acquires the lease while orders are due and releases it some time
/// afterwards.
void OrderDispatcher::UpdateLease(bool needed, size_t rank) {
  switch (this->lease.Tick(needed, rank)) {
    case LeaseChange::kNone:
      return;
    case LeaseChange::kReleased:
      this->log.Write(LogEvent("order_lease_released"));
      return;
    case LeaseChange::kLost:
      this->log.Write(LogEvent("order_lease_lost"));
      return;
    case LeaseChange::kAcquired:
      this->log.Write(
          LogEvent("order_lease_held")
              .Add("fencing_token", this->lease.Grant()->fencing_number)
              .Add("others_quiet_ms", this->lease.TimeSinceOtherHolder()));
      return;
  }
}

std::vector<std::string> OrderDispatcher::ChangingEngines() const {
  std::vector<std::string> all;
  for (const auto& [service, role_balancer] : this->role_balancers) {
    std::vector<std::string> some = role_balancer.ChangingEngines();
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

void OrderDispatcher::StartRoleChange(const std::string& service,
                                      const forward::RoleChange& change) {
  this->role_balancers.at(service).OnOrdered(change);
  auto engine = this->replicas.Find(change.replica);
  if (engine == nullptr)
    return;
  auto command =
      std::make_unique<RoleChangeCommand>(*this, *engine, service, change);
  RoleChangeCommand* started = command.get();
  this->commands[started] = std::move(command);
  started->Start();
}

/// Records what an engine's answer says about the requests that it wants.
void OrderDispatcher::LearnNotices(std::string_view replica,
                                   const HttpResult& answer) {
  auto engine = this->replicas.Find(replica);
  if (engine == nullptr || answer.status == 0)
    return;
  ReplicaAnswerInfo info =
      this->wire.DecodeAnswer({answer.status, "", answer.headers});
  if (info.wrong_instance)
    return;
  if (info.is_leaving && this->replica_notices.OnLeaving(*engine))
    this->log.Write(LogEvent("replica_leaving").Add("replica", replica));
  if (info.retry_after &&
      this->replica_notices.OnTurnedAway(*engine, *info.retry_after)) {
    this->log.Write(LogEvent("replica_closed")
                        .Add("replica", replica)
                        .Add("retry_after_ms", *info.retry_after));
  }
}

void OrderDispatcher::OnCommandDone(RoleChangeCommand* command) {
  // The command is still executing in the caller of this function, so it is
  // destroyed later.
  boost::asio::post(this->io,
                    [this, command] { this->commands.erase(command); });
}

}  // namespace cranberryhill::gateway
