#include "cranberryhill/gateway/gateway.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/http1/socket_options.h"

namespace cranberryhill::gateway {
namespace {

constexpr std::chrono::milliseconds kUpkeepInterval(250);
/// The load balancer asks once a second and takes an instance out after two
/// answers that are not 200; until then it sends new connections.
constexpr absl::Duration kBalancerNotice = absl::Milliseconds(3200);
/// Kept connections may bring requests for this long after shutdown began;
/// each answer tells the caller to close.
constexpr absl::Duration kIdleCloseAfter = absl::Milliseconds(2600);
/// Ends before the operators end the process by force.
constexpr absl::Duration kShutdownMargin = absl::Milliseconds(250);
/// Named where this process cannot serve yet; another instance can.
constexpr absl::Duration kRetryAfterNotReady = absl::Milliseconds(300);

/// The slack of extra sends and the connections of a replica are divided by the
/// instances that are known, times this for those that have started and are not
/// known yet. The slack is divided by no fewer than kLeastInstances while the
/// table is being read.
constexpr double kUnknownInstances = 1.3;
constexpr double kLeastInstances = 6;
/// Connections to one replica that an instance may always have: with one, a
/// request that waits would block all others.
constexpr double kLeastConnections = 2;

/// Instances that watch the store closely among those that hear each other; the
/// others learn from them that they have missed something. More than one, as
/// each may be cut off from the store.
constexpr size_t kCloseWatchers = 3;

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

}  // namespace

Gateway::Gateway(boost::asio::io_context& io,
                 const Clock& clock,
                 Random& random,
                 EventLog& log,
                 GatewaySettings settings,
                 const WireFormat& wire,
                 const StoreCodec& codec,
                 std::string_view readiness_path)
    : clock(clock),
      log(log),
      settings(std::move(settings)),
      wire(wire),
      codec(codec),
      replicas(clock),
      share(this->settings.instance_id,
            random.UniformInt(1, UINT64_MAX),
            clock),
      crashes(CrashQuarantinePolicy{}),
      crash_watch(this->crashes, clock),
      placement(this->settings.availability_zone, forward::EngineSpeed{}),
      pool(io, clock),
      context{
          io,
          clock,
          wire,
          this->replicas,
          this->share,
          this->crashes,
          this->crash_watch,
          this->placement,
          this->pool,
          this->metrics,
          log,
          random,
          [this](std::string_view service) -> forward::WindowedRetryBudget& {
            return this->BudgetOf(service);
          },
          [this] { this->peers.SendSoon(); }},
      configuration_follower(StoreTable::kConfiguration,
                             io,
                             http1::TcpEndpoint(this->settings.store),
                             codec,
                             *this,
                             log,
                             clock,
                             random),
      replica_follower(StoreTable::kReplicas,
                       io,
                       http1::TcpEndpoint(this->settings.store),
                       codec,
                       *this,
                       log,
                       clock,
                       random),
      control_table(io,
                    http1::TcpEndpoint(this->settings.store),
                    codec,
                    log,
                    clock,
                    random),
      orders(io,
             this->settings.instance_id,
             this->settings.lease_time,
             this->control_table,
             this->replicas,
             wire,
             log,
             clock,
             random),
      peers(io,
            this->settings.instance_id,
            this->settings.peers,
            this->control_table,
            this->share,
            this->crashes,
            this->replicas,
            this->orders,
            *this,
            log,
            clock),
      callers(io, clock, *this, {}),
      readiness(io, clock, this->readiness_pages, {}),
      control(io, clock, this->control_pages, {}),
      metrics_server(io, clock, this->control_pages, {}),
      upkeep_timer(io) {
  this->readiness_pages.Add(readiness_path,
                            [this] { return this->ReadinessPage(); });
  this->control_pages.Add("/status", [this] { return this->StatusPageOf(); });
  this->control_pages.Add("/metrics", [this] { return this->MetricsPage(); });
}

Gateway::~Gateway() = default;

Result<void> Gateway::Start() {
  BOOST_LEAF_CHECK(this->callers.Listen(this->settings.callers.ip,
                                        this->settings.callers.port));
  BOOST_LEAF_CHECK(this->readiness.Listen(this->settings.readiness.ip,
                                          this->settings.readiness.port));
  if (this->settings.control.port != 0) {
    BOOST_LEAF_CHECK(this->control.Listen(this->settings.control.ip,
                                          this->settings.control.port));
  }
  if (this->settings.metrics.port != 0) {
    BOOST_LEAF_CHECK(this->metrics_server.Listen(this->settings.metrics.ip,
                                                 this->settings.metrics.port));
  }
  this->log.Write(
      LogEvent("started")
          .Add("instance", this->settings.instance_id)
          .Add("availability_zone", this->settings.availability_zone));
  this->configuration_follower.Start();
  this->replica_follower.Start();
  if (this->settings.peers.port != 0) {
    BOOST_LEAF_CHECK(this->peers.Start());
    this->control_table.SetOnChange(
        [this](std::string_view) { this->OnPeersChanged(); });
    this->control_table.Start();
  }
  this->ScheduleUpkeep();
  return {};
}

bool Gateway::ready() const {
  return this->routes != nullptr && this->replica_follower.has_table() &&
         this->shutdown_began == absl::InfiniteFuture();
}

std::shared_ptr<http1::ActiveRequest> Gateway::OnRequest(
    http1::IncomingRequest request,
    std::shared_ptr<http1::Responder> responder) {
  auto facts =
      Capture([&] { return this->wire.DecodeCallerRequest(request.head); });
  if (!facts.ok()) {
    this->OnMalformed(kBadRequest, facts.error().ToString());
    responder->SendWhole(this->wire.OwnAnswer(kBadRequest, std::nullopt), "");
    return nullptr;
  }
  if (this->routes == nullptr || !this->replica_follower.has_table()) {
    this->metrics.CountOutcome("refused");
    this->log.Write(LogEvent("request_ended")
                        .Add("request", facts.value().attempt_id)
                        .Add("outcome", "refused")
                        .Add("reason", "no_configuration")
                        .Add("status", kUnavailable));
    responder->SendWhole(
        this->wire.OwnAnswer(kUnavailable, kRetryAfterNotReady), "");
    return nullptr;
  }
  const forward::Route* route =
      this->routes->Match(facts.value().host, request.head.target);
  if (route == nullptr) {
    this->metrics.CountOutcome("not_found");
    this->log.Write(
        LogEvent("request_ended")
            .Add("request", facts.value().attempt_id)
            .Add("outcome", "not_found")
            .Add("status", kNotFound)
            .Add("configuration", this->routes->configuration().version));
    responder->SendWhole(this->wire.OwnAnswer(kNotFound, std::nullopt), "");
    return nullptr;
  }
  auto exchange = std::make_shared<Exchange>(
      this->context, this->routes, *route, std::move(request),
      std::move(facts.value()), std::move(responder));
  exchange->Start();
  return exchange;
}

void Gateway::OnMalformed(int status, std::string_view reason) {
  this->metrics.CountOutcome("malformed");
  this->log.Write(LogEvent("request_malformed")
                      .Add("status", status)
                      .Add("reason", reason));
}

void Gateway::OnTable(StoreTable table, const std::vector<StoreRow>& rows) {
  if (table == StoreTable::kConfiguration)
    return this->OnChanges(table, rows);
  std::vector<forward::ReplicaEntry> entries;
  for (const StoreRow& row : rows) {
    if (auto entry = this->ReadReplica(row))
      entries.push_back(std::move(*entry));
  }
  this->replicas.Reset(entries);
}

std::optional<forward::ReplicaEntry> Gateway::ReadReplica(const StoreRow& row) {
  auto entry = Capture([&] { return this->codec.DecodeReplica(row); });
  if (entry.ok())
    return std::move(entry.value());
  this->log.Write(LogEvent("replica_entry_unreadable")
                      .Add("replica", row.key)
                      .Add("reason", entry.error().ToString()));
  return std::nullopt;
}

void Gateway::OnChanges(StoreTable table, const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    if (table == StoreTable::kReplicas)
      this->ApplyReplica(row);
    else if (this->codec.IsConfiguration(row) && !row.removed)
      this->ApplyConfiguration(row);
  }
}

void Gateway::OnRegained(StoreTable table, absl::Duration /*outage*/) {
  if (table == StoreTable::kReplicas)
    this->replicas.OnRegistryReconnected();
}

std::vector<uint64_t> Gateway::KnownVersions() const {
  return {this->configuration_follower.newest_version(),
          this->replica_follower.newest_version()};
}

void Gateway::OnPeerVersions(std::span<const uint64_t> versions) {
  if (versions.size() != 2)
    return;
  this->configuration_follower.OnPeerVersion(versions[0]);
  this->replica_follower.OnPeerVersion(versions[1]);
}

void Gateway::OnRank(size_t rank) {
  bool close = rank < kCloseWatchers;
  this->configuration_follower.SetCloseWatch(close);
  this->replica_follower.SetCloseWatch(close);
}

void Gateway::ApplyConfiguration(const StoreRow& row) {
  auto decoded =
      Capture([&] { return this->codec.DecodeConfiguration(row.value); });
  if (!decoded.ok()) {
    this->log.Write(LogEvent("configuration_unreadable")
                        .Add("row_version", row.version)
                        .Add("reason", decoded.error().ToString()));
    return;
  }
  int64_t version = decoded.value().version;
  int64_t current =
      this->routes == nullptr ? -1 : this->routes->configuration().version;
  // A read that was overtaken by a newer one must not bring back the old.
  if (version <= current)
    return;
  auto configuration = std::make_shared<const forward::Configuration>(
      std::move(decoded.value()));
  const forward::CallerLimits& limits = configuration->limits;
  this->callers.SetLimits({{limits.max_header_bytes, limits.max_body_bytes},
                           limits.receive_timeout,
                           limits.idle_timeout});
  for (const forward::ServiceConfig& service : configuration->services) {
    if (service.engine && service.engine->kv_capacity_tokens > 0) {
      this->replicas.SetCacheCapacity(service.name,
                                      service.engine->kv_capacity_tokens);
    }
  }
  this->routes = std::make_shared<const forward::RouteTable>(configuration);
  this->ShareConnections();
  this->log.Write(
      LogEvent("configuration_in_force")
          .Add("version", version)
          .Add("replaced", current)
          .Add("routes", static_cast<int64_t>(configuration->routes.size())));
}

void Gateway::ApplyReplica(const StoreRow& row) {
  if (row.removed) {
    this->replicas.Remove(row.key);
    this->log.Write(LogEvent("replica_removed")
                        .Add("replica", row.key)
                        .Add("row_version", row.version));
    return;
  }
  auto entry = this->ReadReplica(row);
  if (!entry)
    return this->replicas.Remove(row.key);
  const forward::ReplicaEntry& now = *entry;
  this->replicas.Apply(now);
  this->log.Write(
      LogEvent("replica_changed")
          .Add("replica", now.id)
          .Add("service", now.service)
          .Add("leaving", now.leaving)
          .Add("role", now.role ? EngineRoleName(*now.role) : "none")
          .Add("row_version", row.version));
}

double Gateway::OwnShareOf(double shared) const {
  auto instances = static_cast<double>(this->peers.peers() + 1);
  return shared / (instances * kUnknownInstances);
}

forward::RetryBudgetLimits Gateway::OwnRetryBounds() const {
  forward::RetryBudgetLimits bounds = this->settings.retries;
  bounds.instance_slack =
      std::clamp(this->OwnShareOf(this->settings.retry_slack), 1.0,
                 std::max(1.0, this->settings.retry_slack / kLeastInstances));
  return bounds;
}

void Gateway::UpdateBudgets() {
  for (auto& [service, budget] : this->budgets)
    budget->SetLimits(this->OwnRetryBounds());
}

void Gateway::ShareConnections() {
  if (this->routes == nullptr)
    return;
  for (const auto& service : this->routes->configuration().services) {
    if (service.max_connections == 0)
      continue;
    double share = this->OwnShareOf(service.max_connections);
    this->replicas.SetConnectionShare(
        service.name, static_cast<int>(std::max(kLeastConnections, share)));
  }
}

void Gateway::OnPeersChanged() {
  this->peers.OnTableChanged();
  this->ShareConnections();
  this->UpdateBudgets();
}

forward::WindowedRetryBudget& Gateway::BudgetOf(std::string_view service) {
  auto& budget = this->budgets[std::string(service)];
  if (budget == nullptr) {
    budget = std::make_unique<forward::WindowedRetryBudget>(
        this->clock, this->OwnRetryBounds());
  }
  return *budget;
}

void Gateway::ScheduleUpkeep() {
  this->upkeep_timer.expires_after(kUpkeepInterval);
  this->upkeep_timer.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    this->pool.CloseStale();
    if (this->ready())
      this->orders.Tick(*this->routes, this->share.Rank());
    this->CheckShutdown();
    this->ScheduleUpkeep();
  });
}

void Gateway::Reload(const GatewaySettings& settings) {
  this->settings.retries = settings.retries;
  this->settings.retry_slack = settings.retry_slack;
  this->UpdateBudgets();
  this->log.Write(
      LogEvent("settings_reloaded").Add("retry_ratio", settings.retries.ratio));
}

void Gateway::Shutdown(std::function<void()> done) {
  if (this->shutdown_began != absl::InfiniteFuture())
    return;
  this->shutdown_began = this->clock.Now();
  this->shutdown_done = std::move(done);
  this->callers.CloseAfterAnswers();
  this->log.Write(
      LogEvent("stopping")
          .Add("active_requests",
               static_cast<int64_t>(this->callers.ActiveRequests())));
}

void Gateway::CheckShutdown() {
  if (!this->shutdown_done)
    return;
  absl::Duration elapsed = this->clock.Now() - this->shutdown_began;
  if (elapsed >= kIdleCloseAfter && !std::exchange(this->idle_closed, true))
    this->callers.CloseIdle();
  if (elapsed < kBalancerNotice)
    return;
  bool time_is_up = elapsed >= this->settings.shutdown_time - kShutdownMargin -
                                   absl::FromChrono(kUpkeepInterval);
  this->callers.StopAccepting();
  if (this->callers.ActiveRequests() > 0 && !time_is_up)
    return;
  if (this->callers.OpenConnections() > 0 && !time_is_up) {
    this->callers.CloseIdle();
    return;
  }
  this->log.Write(
      LogEvent("stopped")
          .Add("took_ms", elapsed)
          .Add("unfinished_requests",
               static_cast<int64_t>(this->callers.ActiveRequests())));
  std::exchange(this->shutdown_done, nullptr)();
}

StatusPage Gateway::ReadinessPage() const {
  return this->ready() ? StatusPage{200, "application/json", "{}"}
                       : StatusPage{kUnavailable, "application/json", "{}"};
}

StatusPage Gateway::StatusPageOf() const {
  nlohmann::json page;
  page["instance"] = this->settings.instance_id;
  page["ready"] = this->ready();
  page["configuration_version"] =
      this->routes == nullptr ? -1 : this->routes->configuration().version;
  page["registry_age_ms"] =
      absl::ToInt64Milliseconds(this->replica_follower.Age());
  page["active_requests"] = this->callers.ActiveRequests();
  absl::Time now = this->clock.Now();
  for (const auto& replica : this->replicas.Registered()) {
    page["replicas"].push_back(
        {{"id", replica->entry.id},
         {"service", replica->entry.service},
         {"address", replica->Address()},
         {"role", replica->entry.role
                      ? std::string(EngineRoleName(*replica->entry.role))
                      : "none"},
         {"leaving", replica->entry.leaving},
         {"avoided", now < replica->avoid_until},
         {"failure_rate", replica->failure_rate},
         {"outstanding", replica->outstanding}});
  }
  return {200, "application/json", page.dump()};
}

StatusPage Gateway::MetricsPage() {
  this->metrics.SetGauge("replicas",
                         static_cast<double>(this->replicas.size()));
  this->metrics.SetGauge(
      "configuration_version",
      this->routes == nullptr
          ? -1
          : static_cast<double>(this->routes->configuration().version));
  this->metrics.SetGauge("registry_age_seconds",
                         absl::ToDoubleSeconds(this->replica_follower.Age()));
  this->metrics.SetGauge(
      "store_calls", static_cast<double>(this->replica_follower.calls() +
                                         this->configuration_follower.calls() +
                                         this->control_table.calls()));
  this->metrics.SetGauge("orders", static_cast<double>(this->orders.orders()));
  this->metrics.SetGauge("peers", static_cast<double>(this->share.peers()));
  this->metrics.SetGauge("replica_connections_opened",
                         static_cast<double>(this->pool.opened()));
  return {200, "text/plain; version=0.0.4", this->metrics.Render()};
}

}  // namespace cranberryhill::gateway
