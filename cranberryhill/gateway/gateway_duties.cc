#include "cranberryhill/gateway/gateway_duties.h"

#include <algorithm>
#include <utility>

namespace cranberryhill::gateway {
namespace {

constexpr char kLeaseKey[] = "lease/duties";
/// An instance that has just started does not know its peers yet, and all of
/// them would try to acquire the lease.
constexpr absl::Duration kStartDelay = absl::Seconds(3);
/// The lease is asked for when no holder has been heard of for this long. The
/// holder sends a notice a second, and some may get lost.
constexpr absl::Duration kHolderSilence = absl::Milliseconds(3500);
constexpr absl::Duration kNoticeInterval = absl::Seconds(1);
/// What an instance has counted since its last report is lost if it is killed.
constexpr absl::Duration kReportInterval = absl::Seconds(1);
/// Time after the end of a window at which its counts are final and are sent.
constexpr absl::Duration kFinalReportDelay = absl::Milliseconds(300);
constexpr absl::Duration kPlanInterval = absl::Seconds(1);
constexpr absl::Duration kOrderTimeout = absl::Seconds(2);
constexpr absl::Duration kOrderRetryPause = absl::Milliseconds(500);
/// Without the clocks of at least half of the fleet, the holder trusts those
/// that it has after this time.
constexpr absl::Duration kClockWait = absl::Seconds(8);
/// A report of a clock says nothing after this time.
constexpr absl::Duration kClockReportAge = absl::Seconds(10);
/// Share of the time in which usage is due that silent instances are waited
/// for.
constexpr double kUsageWaitShare = 0.6;

constexpr int kOk = 200;
constexpr int kConflict = 409;

HandoverLeaseSettings MakeLeaseSettings(const GatewaySettings& settings) {
  HandoverLeaseSettings lease;
  lease.key = kLeaseKey;
  lease.holder = settings.instance_id;
  lease.handover_gap = settings.order_handover_gap;
  return lease;
}

}  // namespace

GatewayDuties::GatewayDuties(const GatewaySettings& settings,
                             DutyContext context)
    : instance(settings.instance_id),
      zone(settings.availability_zone),
      incarnation(context.random.UniformInt(1, UINT64_MAX)),
      has_platform_api(settings.duty_address.port != 0),
      usage_window(settings.usage_window.value_or(absl::Seconds(5))),
      usage_is_wanted(settings.usage_window.has_value()),
      context(std::move(context)),
      lease_table(StoreTable::kDuties,
                  this->context.make_store_client(),
                  this->context.make_store_client(),
                  this->context.store_codec,
                  this->context.log),
      usage_table(StoreTable::kDuties,
                  this->context.make_store_client(),
                  this->context.make_store_client(),
                  this->context.store_codec,
                  this->context.log),
      usage_client(this->context.make_platform_client()),
      order_client(this->context.make_platform_client()),
      lease(MakeLeaseSettings(settings),
            this->lease_table,
            this->context.clock,
            this->context.random),
      fleet_time(this->context.wall_clock),
      counter(this->usage_window),
      collector({this->usage_window, settings.usage_late * kUsageWaitShare}),
      reporter({this->instance, this->usage_window},
               this->usage_table,
               *this->usage_client,
               this->context.duty_codec,
               this->collector,
               this->context.log,
               this->context.clock),
      demand_collector(this->context.clock),
      started_at(this->context.clock.Now()) {}

bool GatewayDuties::ReportsUsage(const forward::RouteTable& routes) const {
  return this->has_platform_api && this->usage_is_wanted &&
         routes.configuration().customers.has_value();
}

bool GatewayDuties::OrdersReplicas(const forward::RouteTable& routes) {
  const auto& services = routes.configuration().services;
  return std::any_of(services.begin(), services.end(), [](const auto& service) {
    return service.scaling.has_value();
  });
}

absl::Time GatewayDuties::TrueTime() const {
  return this->fleet_time.Now(this->context.control_table.StoreTime());
}

void GatewayDuties::Tick(const forward::RouteTable& routes, bool stopping) {
  this->counts_usage = this->ReportsUsage(routes);
  bool orders_replicas = this->has_platform_api && OrdersReplicas(routes);
  if (!orders_replicas)
    this->planners.clear();
  if (!this->counts_usage && !orders_replicas)
    return;
  absl::Time now = this->context.clock.Now();
  this->UpdateLease(stopping);
  if (this->lease.holds() && now >= this->notice_due_at)
    this->SendNotice();
  if (now >= this->report_due_at)
    this->SendReport();
  if (!this->lease.holds())
    return;
  if (this->counts_usage)
    this->ReportUsage();
  if (orders_replicas)
    this->OrderReplicas(routes);
}

/// @return The era of the store; 0 while it is not known. The table of duties
///     names it only after the first call, which may already write a row.
uint64_t GatewayDuties::Era() const {
  return std::max(this->lease_table.era(), this->context.control_table.era());
}

void GatewayDuties::UpdateLease(bool stopping) {
  absl::Time now = this->context.clock.Now();
  if (this->lease.ObserveEra(this->Era())) {
    this->context.log.Write(
        LogEvent("duty_lease_reset").Add("era", this->Era()));
    this->ForgetHeldState();
  }
  if (stopping && this->lease.holds()) {
    // The next holder need not wait until the lease has run out.
    this->lease.Release();
  }
  bool holder_is_silent = now - this->holder_heard_at > kHolderSilence;
  bool needed =
      !stopping && (this->lease.holds() ||
                    (now - this->started_at > kStartDelay && holder_is_silent));
  switch (this->lease.Tick(needed, this->context.peer_load_sync.Rank())) {
    case LeaseChange::kNone:
      return;
    case LeaseChange::kReleased:
      this->context.log.Write(LogEvent("duty_lease_released"));
      this->SendReleaseNotice();
      return this->ForgetHeldState();
    case LeaseChange::kLost:
      this->context.log.Write(LogEvent("duty_lease_lost"));
      return this->ForgetHeldState();
    case LeaseChange::kAcquired:
      this->held_since = now;
      this->context.log.Write(
          LogEvent("duty_lease_held")
              .Add("fencing_token", this->lease.Grant()->fencing_number)
              .Add("others_quiet_ms", this->lease.TimeSinceOtherHolder()));
      return;
  }
}

/// Forgets what the next holder decides.
void GatewayDuties::ForgetHeldState() {
  this->planners.clear();
  this->clock_reports.clear();
}

/// Tells the holder what this instance has counted.
void GatewayDuties::SendReport() {
  absl::Time true_time = this->TrueTime();
  int64_t window = usage::WindowOf(true_time, this->usage_window);
  absl::Duration until_final =
      usage::EndOf(window, this->usage_window) + kFinalReportDelay - true_time;
  this->report_due_at =
      this->context.clock.Now() + std::min(kReportInterval, until_final);
  duties::DutyReport report;
  report.instance = this->instance;
  report.incarnation = this->incarnation;
  report.sequence = this->next_sequence++;
  report.clock_offset =
      this->fleet_time.OwnOffset(this->context.control_table.StoreTime());
  report.decided = this->counter.decided();
  if (this->counts_usage)
    report.windows = this->counter.Undecided(true_time);
  report.first_window =
      report.windows.empty() ? window : report.windows.front().window;
  for (auto& [service, demand] : this->own_demand) {
    demand.outstanding = 0;
    for (const auto& replica : this->context.replicas.Members(service))
      demand.outstanding += replica->outstanding;
    report.demand.push_back(demand);
  }
  if (this->lease.holds())
    return this->TakeReport(report);
  for (const std::string& message : duties::EncodeDutyReport(report))
    this->context.peer_link.SendToInstance(this->holder, message);
}

void GatewayDuties::OnMessage(std::string_view bytes) {
  auto log_unreadable = [this](const Error& error) {
    this->context.log.Write(
        LogEvent("duty_message_unreadable").Add("reason", error.ToString()));
  };
  if (duties::IsDutyNotice(bytes)) {
    auto notice = Capture([&] { return duties::DecodeDutyNotice(bytes); });
    return notice.ok() ? this->TakeNotice(notice.value())
                       : log_unreadable(notice.error());
  }
  auto report = Capture([&] { return duties::DecodeDutyReport(bytes); });
  return report.ok() ? this->TakeReport(report.value())
                     : log_unreadable(report.error());
}

void GatewayDuties::TakeReport(const duties::DutyReport& report) {
  this->known_decided = std::max(this->known_decided, report.decided);
  this->collector.Merge(report.instance, report.incarnation,
                        report.first_window, report.windows);
  this->demand_collector.Merge(report.instance, report.incarnation,
                               report.demand);
  if (report.clock_offset) {
    this->clock_reports[report.instance] = {*report.clock_offset,
                                            this->context.clock.Now()};
  }
}

void GatewayDuties::TakeNotice(const duties::DutyNotice& notice) {
  // A former holder may not have noticed yet that it is not one any more.
  absl::Time now = this->context.clock.Now();
  bool is_outdated = notice.fencing_number < this->holder_fencing_number &&
                     now - this->holder_heard_at <= kHolderSilence;
  if (is_outdated)
    return;
  this->holder = notice.holder;
  this->holder_fencing_number = notice.fencing_number;
  this->holder_heard_at = notice.holder.empty() ? absl::InfinitePast() : now;
  this->known_decided = std::max(this->known_decided, notice.decided);
  this->counter.OnDecided(notice.decided);
  if (notice.clock_offset)
    this->fleet_time.Adopt(*notice.clock_offset);
}

/// @return How far true time is ahead of the store's clock; nothing while too
///     few instances have told their clocks.
std::optional<absl::Duration> GatewayDuties::FleetOffset() const {
  absl::Time now = this->context.clock.Now();
  std::vector<absl::Duration> offsets;
  for (const auto& [name, report] : this->clock_reports) {
    if (now - report.received_at <= kClockReportAge)
      offsets.push_back(report.offset);
  }
  size_t instances = this->context.peer_load_sync.peers() + 1;
  bool suffice =
      2 * offsets.size() >= instances || now - this->held_since >= kClockWait;
  return suffice ? usage::MedianOf(std::move(offsets)) : std::nullopt;
}

void GatewayDuties::SendNotice() {
  this->notice_due_at = this->context.clock.Now() + kNoticeInterval;
  auto grant = this->lease.Grant();
  if (!grant)
    return;
  duties::DutyNotice notice;
  notice.holder = this->instance;
  notice.fencing_number = grant->fencing_number;
  notice.decided =
      std::max(this->known_decided, this->reporter.decided().value_or(-1));
  notice.clock_offset = this->FleetOffset();
  this->TakeNotice(notice);
  this->context.peer_link.SendToPeers(duties::EncodeDutyNotice(notice));
}

/// Tells all instances that they need not wait for another notice.
void GatewayDuties::SendReleaseNotice() {
  duties::DutyNotice notice;
  notice.fencing_number = this->holder_fencing_number;
  notice.decided = this->known_decided;
  this->TakeNotice(notice);
  this->context.peer_link.SendToPeers(duties::EncodeDutyNotice(notice));
}

void GatewayDuties::ReportUsage() {
  // Windows that are decided too early lack counts.
  if (!this->fleet_time.has_offset())
    return;
  std::vector<std::string> live = this->context.peer_load_sync.LivePeers();
  live.push_back(this->instance);
  this->reporter.Tick(this->lease, this->TrueTime(), live, this->known_decided,
                      this->usage_table.era());
}

void GatewayDuties::OnArrived(std::string_view service) {
  auto found = this->own_demand.find(service);
  if (found == this->own_demand.end()) {
    found = this->own_demand.try_emplace(std::string(service)).first;
    found->second.service = std::string(service);
    found->second.zone = this->zone;
  }
  ++found->second.arrived;
}

void GatewayDuties::OnRefused(std::string_view service) {
  auto found = this->own_demand.find(service);
  if (found != this->own_demand.end())
    ++found->second.refused;
}

void GatewayDuties::OnPrefill(std::string_view service,
                              const forward::PrefillWork& work) {
  auto found = this->own_demand.find(service);
  if (found == this->own_demand.end())
    return;
  forward::PrefillWork alone{work.tokens, work.prompt_tokens, 0};
  // The intercept is latency, in which the engine does other work.
  found->second.work_ms +=
      this->context.engine_speeds.SpeedOf(service).prefill.slope *
      alone.EffectiveTokens();
}

void GatewayDuties::OnBegan(std::string_view customer) {
  // Only a configuration with customers names one. It may be so new that
  // Tick() has not seen it yet.
  if (this->has_platform_api && this->usage_is_wanted && !customer.empty())
    this->counter.Count(customer, this->TrueTime());
}

/// @return How the service is now.
scaling::ServiceObservation GatewayDuties::Observe(
    const forward::ServiceConfig& service,
    const scaling::DemandChange& change,
    absl::Duration elapsed) const {
  scaling::ServiceObservation observation;
  scaling::EngineCounts engines;
  double slots = 0;
  int replicas = 0;
  for (const auto& replica : this->context.replicas.Registered()) {
    const forward::ReplicaEntry& entry = replica->entry;
    if (entry.service != service.name || replica->IsLeaving())
      continue;
    auto kind = entry.is_spot ? scaling::ReplicaKind::kSpot
                              : scaling::ReplicaKind::kOnDemand;
    ++observation.registered[entry.availability_zone].Of(kind);
    ++(entry.role == EngineRole::kPrefill ? engines.prefill : engines.decode);
    slots += entry.slots;
    ++replicas;
  }
  observation.arrivals = change.arrivals;
  double arrived = change.Arrived();
  observation.refused_share = arrived > 0 ? change.refused / arrived : 0;
  observation.busy_replicas =
      BusyReplicas(change, engines, elapsed, slots / std::max(1, replicas));
  std::vector<std::string> learned = this->context.engine_speeds.Services();
  // Without arrivals, the service has been used before, and is not any more.
  observation.load_is_known =
      change.is_known &&
      (!service.engine || std::find(learned.begin(), learned.end(),
                                    service.name) != learned.end());
  // An instance that reaches the store but not its peers knows little of the
  // demand.
  observation.load_is_complete = 2 * this->demand_collector.instances() >=
                                 this->context.peer_link.known_peers() + 1;
  return observation;
}

void GatewayDuties::OrderReplicas(const forward::RouteTable& routes) {
  absl::Time now = this->context.clock.Now();
  const auto& services = routes.configuration().services;
  std::erase_if(this->planners, [&services](const auto& item) {
    return std::none_of(services.begin(), services.end(),
                        [&item](const forward::ServiceConfig& service) {
                          return service.name == item.first && service.scaling;
                        });
  });
  if (now - this->planned_at >= kPlanInterval) {
    absl::Duration elapsed = now - std::exchange(this->planned_at, now);
    std::map<std::string, scaling::DemandChange> changes =
        this->demand_collector.TakeChanges();
    for (const forward::ServiceConfig& service : services) {
      if (!service.scaling)
        continue;
      auto& planner =
          this->planners
              .try_emplace(service.name, *service.scaling, this->context.clock)
              .first->second;
      planner.SetConfig(*service.scaling);
      scaling::ServiceObservation observation =
          this->Observe(service, changes[service.name], elapsed);
      int needed_before = planner.needed();
      planner.Observe(observation);
      if (planner.needed() == needed_before)
        continue;
      this->context.log.Write(
          LogEvent("replicas_planned")
              .Add("service", service.name)
              .Add("needed", planner.needed())
              .Add("needed_before", needed_before)
              .Add("busy", observation.busy_replicas)
              .Add("refused_share", observation.refused_share));
    }
  }
  this->SendNextOrder();
}

void GatewayDuties::SendNextOrder() {
  // Checks the lease immediately before the call.
  auto grant = this->lease.GrantToAct();
  if (this->order_active || !grant ||
      this->context.clock.Now() < this->order_retry_at)
    return;
  std::vector<std::pair<std::string, scaling::ReplicaOrder>> due;
  for (auto& [service, planner] : this->planners) {
    for (scaling::ReplicaOrder& order : planner.DueOrders())
      due.emplace_back(service, std::move(order));
  }
  if (due.empty())
    return;
  // An order that fails again and again must not hold up the others.
  const auto& [service, order] = due[this->orders_failed_in_a_row % due.size()];
  duties::ReplicaCountOrder call{service, order.zone, order.count,
                                 order.kind == scaling::ReplicaKind::kSpot};
  this->order_active = true;
  ++this->orders_sent;
  this->context.log.Write(LogEvent("replicas_ordered")
                              .Add("service", service)
                              .Add("zone", order.zone)
                              .Add("spot", call.spot)
                              .Add("count", order.count)
                              .Add("fencing_token", grant->fencing_number));
  this->order_client->Call(
      this->context.duty_codec.EncodeReplicaCount(
          {this->instance, grant->fencing_number}, call),
      kOrderTimeout,
      [this, service = service, order = order](const HttpResult& answer) {
        this->order_active = false;
        this->OnOrderAnswered(service, order, answer);
      });
}

void GatewayDuties::OnOrderAnswered(const std::string& service,
                                    const scaling::ReplicaOrder& order,
                                    const HttpResult& answer) {
  auto planner = this->planners.find(service);
  bool accepted = answer.status == kOk;
  if (!accepted) {
    this->context.log.Write(LogEvent("replica_order_failed")
                                .Add("service", service)
                                .Add("zone", order.zone)
                                .Add("status", answer.status)
                                .Add("reason", answer.reason));
  }
  if (answer.status == kConflict) {
    ++this->orders_unavailable;
  } else if (!accepted) {
    ++this->orders_failed;
    ++this->orders_failed_in_a_row;
    this->order_retry_at = this->context.clock.Now() + kOrderRetryPause;
  }
  if (planner == this->planners.end())
    return;
  if (accepted) {
    this->orders_failed_in_a_row = 0;
    planner->second.OnAccepted(order);
  } else if (answer.status == kConflict) {
    planner->second.OnUnavailable(order);
  } else {
    planner->second.OnFailed(order);
  }
  this->SendNextOrder();
}

void GatewayDuties::AddTo(GatewayMetrics& metrics) const {
  const duties::UsageReporterCounts& usage = this->reporter.counts();
  metrics.SetGauge("duty_holder", this->lease.holds() ? 1 : 0);
  metrics.SetGauge("usage_windows_reported",
                   static_cast<double>(usage.reported));
  metrics.SetGauge("usage_windows_given_up",
                   static_cast<double>(usage.given_up));
  metrics.SetGauge("usage_windows_pending",
                   static_cast<double>(this->reporter.PendingWindows()));
  metrics.SetGauge("usage_calls", static_cast<double>(usage.calls));
  metrics.SetGauge("usage_calls_failed",
                   static_cast<double>(usage.failed_calls));
  metrics.SetGauge("usage_requests_dropped",
                   static_cast<double>(this->counter.dropped()));
  metrics.SetGauge("replica_orders", static_cast<double>(this->orders_sent));
  metrics.SetGauge("replica_orders_unavailable",
                   static_cast<double>(this->orders_unavailable));
  metrics.SetGauge("replica_orders_failed",
                   static_cast<double>(this->orders_failed));
  for (const auto& [service, planner] : this->planners) {
    for (const auto& [zone, counts] : planner.wanted()) {
      metrics.SetWantedReplicas(service, zone, "on_demand", counts.on_demand);
      metrics.SetWantedReplicas(service, zone, "spot", counts.spot);
    }
  }
}

}  // namespace cranberryhill::gateway
