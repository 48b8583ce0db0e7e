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
/// The lease is released when no order has been due for this long. Orders come
/// in groups because the replicas of a service are replaced one after the
/// other.
constexpr absl::Duration kReleaseAfterIdle = absl::Seconds(4);
/// The lease is acquired only while an order is due, so its term is short.
constexpr absl::Duration kTerm = absl::Seconds(5);
constexpr absl::Duration kRenewInterval = absl::Seconds(2);
/// All instances detect at the same time that a role must change. Each waits
/// for a random part of this time, so that one of them writes first and the
/// others see its row.
constexpr absl::Duration kAcquireJitter = absl::Seconds(1);
/// Instances try to acquire the lease in groups of this size, in order of their
/// ranks. Each group waits this much longer than the one before, so that it
/// tries only if the earlier ones cannot reach the store: every failed attempt
/// costs a call.
constexpr size_t kCandidatesPerGroup = 3;
constexpr absl::Duration kCandidateGroupDelay = absl::Seconds(5);
constexpr size_t kMaxCandidateGroup = 5;
constexpr absl::Duration kPollInterval = absl::Milliseconds(500);
/// An order is sent only if the lease is valid for at least this long. An order
/// arrives within this time or not at all: connecting times out after 300 ms
/// and the request fits in one packet.
constexpr absl::Duration kOrderDeliveryTime = absl::Seconds(1);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);
/// Timeout of one role change command. A suspended engine keeps its connections
/// open without answering, and the next order must not wait for it.
constexpr absl::Duration kCommandTimeout = absl::Seconds(2);

constexpr uint64_t kFencingNumbersPerEra = 1'000'000;

constexpr int kOk = 200;
constexpr int kAccepted = 202;

/// @param era Of the store. A store that was restored may have lost rows with
///     fencing numbers that were used; those of a new era are higher.
LeaseSettings MakeLeaseSettings(const std::string& instance, uint64_t era) {
  LeaseSettings settings;
  settings.key = kLeaseKey;
  settings.holder = instance;
  settings.term = kTerm;
  settings.renew_interval = kRenewInterval;
  settings.poll_interval = kPollInterval;
  settings.min_fencing_number = era * kFencingNumbersPerEra + 1;
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
    auto grant = this->dispatcher.lease->Grant();
    if (!usable || !grant || !this->dispatcher.MayOrder())
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
      handover_gap(handover_gap),
      replicas(replicas),
      send_permits(send_permits),
      replica_notices(replica_notices),
      wire(wire),
      log(log),
      clock(clock),
      random(random),
      table(table),
      lease(std::make_unique<LeaseManager>(MakeLeaseSettings(this->instance, 0),
                                           table,
                                           clock,
                                           random)),
      needed_at(clock.Now()) {}

OrderDispatcher::~OrderDispatcher() = default;

bool OrderDispatcher::MayOrder() const {
  auto grant = this->lease->Grant();
  if (!grant)
    return false;
  absl::Time now = this->clock.Now();
  return now - this->other_holder_ended_at >= this->handover_gap &&
         grant->valid_until - now >= kOrderDeliveryTime;
}

void OrderDispatcher::ResetLease() {
  this->lease = std::make_unique<LeaseManager>(
      MakeLeaseSettings(this->instance, this->era), this->table, this->clock,
      this->random);
  this->holds_lease = false;
}

/// Gives up the lease when the store has been restored: its row may be lost,
/// and so may be that of another holder.
void OrderDispatcher::ObserveEra() {
  if (this->table.era() == this->era)
    return;
  bool is_first = this->era == 0;
  this->era = this->table.era();
  this->ResetLease();
  if (is_first)
    return;
  this->row_version = kAbsentVersion;
  this->other_holder_ended_at = this->clock.Now() + kTerm;
  this->log.Write(LogEvent("order_lease_reset").Add("era", this->era));
}

/// Records until when the previous lease holder may still send orders.
void OrderDispatcher::ObserveLeaseRow() {
  auto row = this->table.rows().find(kLeaseKey);
  if (row == this->table.rows().end() ||
      row->second.version == this->row_version)
    return;
  this->row_version = row->second.version;
  auto record = ParseLeaseRecord(row->second.value);
  if (record.ok() && record.value().holder == this->instance)
    return;
  bool released = record.ok() && record.value().released;
  this->other_holder_ended_at =
      this->clock.Now() + (released ? absl::ZeroDuration() : kTerm);
}

void OrderDispatcher::Tick(const forward::RouteTable& routes, size_t rank) {
  this->ObserveEra();
  this->ObserveLeaseRow();
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
    if (!this->MayOrder())
      continue;
    while (auto change = role_balancer.NextChange(engines))
      this->StartRoleChange(service.name, *change);
  }
  this->UpdateLease(needed, rank);
}

/// Acquires the lease while orders are due and releases it some time
/// afterwards, so that the next holder need not wait until it expires.
void OrderDispatcher::UpdateLease(bool needed, size_t rank) {
  absl::Time now = this->clock.Now();
  if (needed)
    this->needed_at = now;
  if (!needed) {
    this->acquire_from = absl::InfiniteFuture();
  } else if (this->acquire_from == absl::InfiniteFuture()) {
    this->acquire_from = now + kAcquireJitter * this->random.UniformDouble() +
                         kCandidateGroupDelay * static_cast<double>(std::min(
                                                    rank / kCandidatesPerGroup,
                                                    kMaxCandidateGroup));
  }
  bool unused = now - this->needed_at > kReleaseAfterIdle;
  if (this->holds_lease && unused)
    this->lease->Release();
  if (this->holds_lease || now >= this->acquire_from)
    this->lease->Tick();
  if (this->lease->released()) {
    this->ResetLease();
    this->log.Write(LogEvent("order_lease_released"));
    return;
  }
  auto grant = this->lease->Grant();
  if (grant && !this->holds_lease) {
    this->holds_lease = true;
    this->log.Write(
        LogEvent("order_lease_held")
            .Add("fencing_token", grant->fencing_number)
            .Add("others_quiet_ms", now - this->other_holder_ended_at));
  } else if (!grant && this->holds_lease && !unused) {
    this->holds_lease = false;
    this->log.Write(LogEvent("order_lease_lost"));
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
