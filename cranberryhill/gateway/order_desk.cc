#include "cranberryhill/gateway/order_desk.h"

#include <boost/asio/post.hpp>
#include <optional>
#include <utility>

#include "cranberryhill/gateway/call_client.h"
#include "cranberryhill/http1/socket_options.h"

namespace cranberryhill::gateway {
namespace {

constexpr char kLeaseKey[] = "lease/orders";
/// The lease is given up when no order was due for this long. Orders come in
/// groups, as replicas of a service are replaced one after the other.
constexpr absl::Duration kKeepAfterUse = absl::Seconds(4);
/// The lease is sought only while an order is due, so it is short.
constexpr absl::Duration kTerm = absl::Seconds(5);
constexpr absl::Duration kRenewInterval = absl::Seconds(2);
/// All instances see at the same time that a role must change; each waits for
/// a part of this, so that one of them writes first and the others see it.
constexpr absl::Duration kSeekSpread = absl::Seconds(1);
/// The first instances by rank seek at once; the others only if these do not
/// reach the store, as every instance that tries in vain makes a call.
constexpr size_t kFirstSeekers = 3;
constexpr absl::Duration kSeekLate = absl::Seconds(5);
constexpr absl::Duration kPollInterval = absl::Milliseconds(500);
/// An order arrives within this time of its decision, or not at all: connecting
/// ends after 300 ms and the request is one packet.
constexpr absl::Duration kOrderTime = absl::Seconds(1);
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);
/// An engine that is stopped keeps its connections open without an answer; the
/// next order must not wait for it.
constexpr absl::Duration kErrandTime = absl::Seconds(2);

constexpr int kOk = 200;
constexpr int kAccepted = 202;

LeaseSettings MakeLeaseSettings(const std::string& instance) {
  LeaseSettings settings;
  settings.key = kLeaseKey;
  settings.holder = instance;
  settings.term = kTerm;
  settings.renew_interval = kRenewInterval;
  settings.poll_interval = kPollInterval;
  return settings;
}

}  // namespace

/// Asks an engine for its state, then gives it one order.
class OrderDesk::Errand {
 public:
  Errand(OrderDesk& desk,
         const forward::Replica& engine,
         std::string service,
         forward::RoleChange change)
      : desk(desk),
        service(std::move(service)),
        change(std::move(change)),
        address(engine.Address()),
        give_up_at(desk.clock.Now() + kErrandTime),
        client(desk.io,
               http1::TcpEndpoint(engine.entry.endpoint),
               kConnectTimeout) {}

  void Start() {
    this->Call(this->desk.wire.EncodeReportRequest(this->address),
               [this](const CallAnswer& answer) { this->OnReport(answer); });
  }

 private:
  void Call(const http1::OutgoingRequest& request, CallClient::Callback done) {
    this->client.Call(request, this->give_up_at - this->desk.clock.Now(),
                      std::move(done));
  }

  void OnReport(const CallAnswer& answer) {
    auto report =
        Capture([&] { return this->desk.wire.DecodeReport(answer.body); });
    bool usable = answer.status == kOk && report.ok() && !report.value().busy;
    // The lease is checked again right before the order leaves.
    auto grant = this->desk.lease->Grant();
    if (!usable || !grant || !this->desk.MayOrder())
      return this->End(answer, false, usable ? "lease_lost" : answer.reason);
    RoleOrder order{this->change.replica, this->change.role,
                    this->desk.instance, grant->fencing_number,
                    report.value().orders};
    ++this->desk.order_count;
    this->desk.log.Write(
        LogEvent("order_sent")
            .Add("replica", this->change.replica)
            .Add("role", EngineRoleName(this->change.role))
            .Add("fencing_token", order.fencing_token)
            .Add("expected_orders", order.expected_orders)
            .Add("lease_left_ms", grant->valid_until - this->desk.clock.Now()));
    this->Call(this->desk.wire.EncodeRoleOrder(this->address, order),
               [this](const CallAnswer& answer) { this->OnAnswer(answer); });
  }

  void OnAnswer(const CallAnswer& answer) {
    bool accepted = answer.status == kOk || answer.status == kAccepted;
    // Without an answer the order may still be carried out, so the engine
    // counts as changing.
    this->End(answer, accepted || answer.status == 0,
              accepted ? "accepted" : answer.reason);
  }

  void End(const CallAnswer& answer, bool may_hold, std::string_view reason) {
    this->desk.log.Write(LogEvent("order_ended")
                             .Add("replica", this->change.replica)
                             .Add("role", EngineRoleName(this->change.role))
                             .Add("status", answer.status)
                             .Add("may_hold", may_hold)
                             .Add("reason", reason));
    if (!may_hold)
      this->desk.balances.at(this->service).OnRefused(this->change.replica);
    this->desk.OnErrandDone(this);
  }

  OrderDesk& desk;
  const std::string service;
  const forward::RoleChange change;
  const std::string address;
  const absl::Time give_up_at;
  CallClient client;
};

OrderDesk::OrderDesk(boost::asio::io_context& io,
                     std::string instance,
                     absl::Duration turn_gap,
                     ControlTable& table,
                     forward::ReplicaSet& replicas,
                     const WireFormat& wire,
                     EventLog& log,
                     const Clock& clock,
                     Random& random)
    : io(io),
      instance(std::move(instance)),
      turn_gap(turn_gap),
      replicas(replicas),
      wire(wire),
      log(log),
      clock(clock),
      random(random),
      table(table),
      lease(std::make_unique<LeaseManager>(MakeLeaseSettings(this->instance),
                                           table,
                                           clock,
                                           random)),
      needed_at(clock.Now()) {}

OrderDesk::~OrderDesk() = default;

bool OrderDesk::MayOrder() const {
  auto grant = this->lease->Grant();
  if (!grant)
    return false;
  absl::Time now = this->clock.Now();
  return now - this->others_quiet_from >= this->turn_gap &&
         grant->valid_until - now >= kOrderTime;
}

/// Notes until when another holder may have given orders.
void OrderDesk::WatchRow() {
  auto row = this->table.rows().find(kLeaseKey);
  if (row == this->table.rows().end() ||
      row->second.version == this->row_version)
    return;
  this->row_version = row->second.version;
  auto record = ParseLeaseRecord(row->second.value);
  if (record.ok() && record.value().holder == this->instance)
    return;
  bool released = record.ok() && record.value().released;
  this->others_quiet_from =
      this->clock.Now() + (released ? absl::ZeroDuration() : kTerm);
}

void OrderDesk::Tick(const forward::RouteTable& routes, size_t rank) {
  this->WatchRow();
  bool needed = false;
  for (const std::string& engine : this->Changing())
    this->replicas.OnRoleChanging(engine);
  for (const forward::ServiceConfig& service :
       routes.configuration().services) {
    if (!service.engine)
      continue;
    auto engines = this->replicas.Members(service.name);
    auto& balance =
        this->balances.try_emplace(service.name, this->clock).first->second;
    if (!balance.NeedsChange(engines))
      continue;
    needed = true;
    if (!this->MayOrder())
      continue;
    while (auto change = balance.NextChange(engines))
      this->StartErrand(service.name, *change);
  }
  this->TickLease(needed, rank);
}

/// Seeks the lease while it is needed and gives it up some time afterwards, so
/// that the next holder need not wait until it lapses.
void OrderDesk::TickLease(bool needed, size_t rank) {
  absl::Time now = this->clock.Now();
  if (needed)
    this->needed_at = now;
  if (!needed) {
    this->seek_from = absl::InfiniteFuture();
  } else if (this->seek_from == absl::InfiniteFuture()) {
    this->seek_from = now + kSeekSpread * this->random.UniformDouble() +
                      (rank < kFirstSeekers ? absl::ZeroDuration() : kSeekLate);
  }
  bool done = now - this->needed_at > kKeepAfterUse;
  if (this->held && done)
    this->lease->Release();
  if (this->held || now >= this->seek_from)
    this->lease->Tick();
  if (this->lease->released()) {
    this->lease =
        std::make_unique<LeaseManager>(MakeLeaseSettings(this->instance),
                                       this->table, this->clock, this->random);
    this->held = false;
    this->log.Write(LogEvent("order_lease_released"));
    return;
  }
  auto grant = this->lease->Grant();
  if (grant && !this->held) {
    this->held = true;
    this->log.Write(LogEvent("order_lease_held")
                        .Add("fencing_token", grant->fencing_number)
                        .Add("others_quiet_ms", now - this->others_quiet_from));
  } else if (!grant && this->held && !done) {
    this->held = false;
    this->log.Write(LogEvent("order_lease_lost"));
  }
}

std::vector<std::string> OrderDesk::Changing() const {
  std::vector<std::string> all;
  for (const auto& [service, balance] : this->balances) {
    std::vector<std::string> some = balance.ChangingEngines();
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

void OrderDesk::StartErrand(const std::string& service,
                            const forward::RoleChange& change) {
  this->balances.at(service).OnOrdered(change);
  auto engine = this->replicas.Find(change.replica);
  if (engine == nullptr)
    return;
  auto errand = std::make_unique<Errand>(*this, *engine, service, change);
  Errand* started = errand.get();
  this->errands[started] = std::move(errand);
  started->Start();
}

void OrderDesk::OnErrandDone(Errand* errand) {
  // The errand is still on the stack of this call.
  boost::asio::post(this->io, [this, errand] { this->errands.erase(errand); });
}

}  // namespace cranberryhill::gateway
