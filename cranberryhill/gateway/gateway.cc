#include "cranberryhill/gateway/gateway.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "cranberryhill/forward/fleet_share.h"
#include "cranberryhill/http1/socket_options.h"
#include "cranberryhill/store/serial_http_client.h"

namespace cranberryhill::gateway {
namespace {

constexpr std::chrono::milliseconds kMaintenanceInterval(250);
/// Callers wait no longer than this for an instance that has nothing to do.
constexpr absl::Duration kLongLoopDelay = absl::Milliseconds(250);
/// After the start of a shutdown, connections are accepted for this long,
/// because the load balancer polls once a second and removes an instance only
/// after two answers that are not 200.
constexpr absl::Duration kLoadBalancerNoticeTime = absl::Milliseconds(3200);
/// Idle connections are closed this long after the start of a shutdown. Until
/// then they may carry new requests; each answer tells the caller to close its
/// connection.
constexpr absl::Duration kIdleCloseDelay = absl::Milliseconds(2600);
/// The requests in progress are ended this long before the time limit in the
/// settings, at which the operators kill the process.
constexpr absl::Duration kShutdownMargin = absl::Milliseconds(500);
/// Time for sending the answers to these requests.
constexpr absl::Duration kLastAnswersTime = absl::Milliseconds(250);
/// Retry-After while this instance has not yet read the configuration or the
/// replicas; a retry may reach an instance that is ready.
constexpr absl::Duration kRetryAfterNotReady = absl::Milliseconds(300);

/// Minimum number of connections to one replica per instance: with one, a
/// waiting request would block all others.
constexpr double kMinConnections = 2;

/// Reads of stream versions that may be in progress at once. When an instance
/// fails, each of the others is asked for a few of its streams.
constexpr int kStreamVersionReaders = 3;

/// Parts of the memory of the process that bodies of requests and answers may
/// use; the rest is for their heads, for the state and for the fragmentation of
/// the heap.
constexpr double kBodyMemoryShare = 0.2;
constexpr double kAnswerMemoryShare = 0.2;
/// Share of one caller in the former and of one replica in the latter.
constexpr double kCallerShare = 0.5;
constexpr double kReplicaShare = 0.25;
/// Retry-After of a request whose body found no room.
constexpr absl::Duration kRetryAfterNoRoom = absl::Milliseconds(500);

/// Part of the drain time in which a leaving replica may get streams that no
/// other one can continue. The rest is for the time in which the news that it
/// leaves, and then the request, travels.
constexpr double kLeavingAllowanceShare = 0.5;

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

/// @return A share of the memory of the process in bytes.
size_t MemoryPart(const GatewaySettings& settings, double share) {
  constexpr double kBytesPerMegabyte = 1 << 20;
  return static_cast<size_t>(settings.memory_mb * kBytesPerMegabyte * share);
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io,
                 const Clock& clock,
                 Random& random,
                 EventLog& log,
                 GatewaySettings settings,
                 const WireFormat& wire,
                 const StoreCodec& codec,
                 const duties::DutyCodec& duty_codec,
                 const Clock& wall_clock,
                 std::string_view readiness_path)
    : io(io),
      clock(clock),
      log(log),
      random(random),
      settings(std::move(settings)),
      wire(wire),
      codec(codec),
      answer_bytes(MemoryPart(this->settings, kAnswerMemoryShare),
                   kReplicaShare),
      body_bytes(MemoryPart(this->settings, kBodyMemoryShare), kCallerShare),
      replicas(clock),
      peer_load_sync(this->settings.instance_id,
                     random.UniformInt(1, UINT64_MAX),
                     clock),
      crash_quarantine(CrashQuarantinePolicy{}),
      prompt_part_quarantine(clock),
      replica_crash_quarantine(this->crash_quarantine,
                               this->prompt_part_quarantine,
                               clock),
      replica_limits(clock),
      replica_notices(clock, random),
      engine_speeds(clock),
      placement(this->settings.availability_zone, this->engine_speeds),
      reachability(clock),
      probe_connector(io),
      replica_prober(this->reachability,
                     this->replicas,
                     this->probe_connector,
                     *this,
                     std::make_unique<AsioDelayTimer>(io),
                     clock,
                     random),
      relay_peers(this->settings.availability_zone, clock),
      connection_pool(io, clock),
      shutdown_admission(clock),
      exchange_context{
          io,
          clock,
          wire,
          this->replicas,
          this->peer_load_sync,
          this->crash_quarantine,
          this->prompt_part_quarantine,
          this->replica_crash_quarantine,
          this->replica_limits,
          this->replica_notices,
          this->send_permits,
          this->stream_versions,
          this->placement,
          this->engine_speeds,
          this->reachability,
          this->connection_pool,
          this->shutdown_admission,
          this->answer_bytes,
          this->metrics,
          log,
          random,
          [this](std::string_view service) -> forward::WindowedRetryBudget& {
            return this->RetryBudgetFor(service);
          },
          [this] { this->peer_link.SendPartialUpdateSoon(); },
          [this](const std::shared_ptr<forward::Replica>& replica) {
            this->replica_prober.Probe(replica);
          },
          [this](const forward::Replica& replica) {
            this->OnRefusedConnection(replica);
          },
          this->relay_peers,
          [this](std::string_view instance) {
            return this->peer_link.RelayEndpoint(instance);
          },
          [this](forward::Replica& replica) {
            this->replica_prober.OnConnectFailed(replica);
          },
          this->duties,
          this->route_history},
      route_history(clock),
      store_contact(clock),
      configuration_follower(StoreTable::kConfiguration,
                             this->MakeStoreClient(),
                             std::make_unique<AsioDelayTimer>(io),
                             codec,
                             *this,
                             log,
                             clock,
                             random),
      replica_follower(StoreTable::kReplicas,
                       this->MakeStoreClient(),
                       std::make_unique<AsioDelayTimer>(io),
                       codec,
                       *this,
                       log,
                       clock,
                       random),
      control_table(io,
                    http1::TcpEndpoint(this->settings.store_address),
                    codec,
                    log,
                    clock,
                    random),
      order_dispatcher(io,
                       this->settings.instance_id,
                       this->settings.order_handover_gap,
                       this->control_table,
                       this->replicas,
                       this->send_permits,
                       this->replica_notices,
                       wire,
                       log,
                       clock,
                       random),
      peer_link(io,
                this->settings.instance_id,
                this->settings.peer_address,
                this->control_table,
                this->peer_load_sync,
                this->crash_quarantine,
                this->prompt_part_quarantine,
                this->replica_limits,
                this->replica_notices,
                this->replicas,
                this->order_dispatcher,
                this->engine_speeds,
                *this,
                log,
                clock),
      send_permits(this->settings.instance_id,
                   this->replica_limits,
                   this->peer_link,
                   std::make_unique<AsioDelayTimer>(io),
                   clock,
                   random),
      service_row_reader(this->MakeStoreClient(),
                         std::make_unique<AsioDelayTimer>(io),
                         codec,
                         log,
                         this->clock),
      stream_version_fleet(this->control_table,
                           this->service_row_reader,
                           this->peer_link,
                           this->replica_follower,
                           this->store_contact),
      stream_versions(this->MakeStreamVersionChannels(),
                      codec,
                      this->stream_version_fleet,
                      log,
                      clock,
                      random),
      quarantines(this->control_table,
                  this->peer_link,
                  this->crash_quarantine,
                  this->prompt_part_quarantine,
                  std::make_unique<AsioDelayTimer>(io),
                  std::make_unique<AsioDelayTimer>(io),
                  log,
                  clock,
                  random),
      duties(this->settings, this->MakeDutyContext(duty_codec, wall_clock)),
      caller_server(io, clock, *this, {}, &this->body_bytes),
      relay_handler(*this),
      relay_server(io, clock, this->relay_handler, {}, &this->body_bytes),
      readiness_server(io, clock, this->readiness_pages, {}),
      control_server(io, clock, this->control_pages, {}),
      metrics_server(io, clock, this->control_pages, {}),
      maintenance_timer(io),
      shutdown_timer(io) {
  this->replicas.SetLeavingAllowance(this->settings.drain_time *
                                     kLeavingAllowanceShare);
  this->readiness_pages.Add(readiness_path,
                            [this] { return this->MakeReadinessPage(); });
  this->control_pages.Add("/status", [this] { return this->MakeStatusPage(); });
  this->control_pages.Add("/metrics",
                          [this] { return this->MakeMetricsPage(); });
}

Gateway::~Gateway() {
  this->stream_versions.Stop();
  this->service_row_reader.Stop();
}

Result<void> Gateway::Start() {
  BOOST_LEAF_CHECK(this->caller_server.Listen(
      this->settings.callers_address.ip, this->settings.callers_address.port));
  BOOST_LEAF_CHECK(
      this->readiness_server.Listen(this->settings.readiness_address.ip,
                                    this->settings.readiness_address.port));
  if (this->settings.control_address.port != 0) {
    BOOST_LEAF_CHECK(
        this->control_server.Listen(this->settings.control_address.ip,
                                    this->settings.control_address.port));
  }
  if (this->settings.metrics_address.port != 0) {
    BOOST_LEAF_CHECK(
        this->metrics_server.Listen(this->settings.metrics_address.ip,
                                    this->settings.metrics_address.port));
  }
  this->log.Write(
      LogEvent("started")
          .Add("instance", this->settings.instance_id)
          .Add("availability_zone", this->settings.availability_zone));
  this->configuration_follower.Start();
  this->replica_follower.Start();
  if (this->settings.peer_address.port != 0) {
    BOOST_LEAF_CHECK(this->peer_link.Start());
    BOOST_LEAF_CHECK(this->relay_server.Listen(
        this->settings.peer_address.ip, this->settings.peer_address.port));
    this->control_table.SetOnChange(
        [this](std::string_view) { this->OnControlTableChanged(); });
    this->control_table.Start();
  }
  this->ScheduleMaintenance();
  return {};
}

std::unique_ptr<HttpCaller> Gateway::MakeStoreClient() const {
  return std::make_unique<SerialHttpClient>(
      this->io, http1::TcpEndpoint(this->settings.store_address), this->clock);
}

DutyContext Gateway::MakeDutyContext(const duties::DutyCodec& duty_codec,
                                     const Clock& wall_clock) {
  return {this->peer_link,
          this->peer_load_sync,
          this->replicas,
          this->engine_speeds,
          this->control_table,
          this->codec,
          duty_codec,
          this->log,
          this->clock,
          wall_clock,
          this->random,
          [this] { return this->MakeStoreClient(); },
          [this]() -> std::unique_ptr<HttpCaller> {
            boost::asio::ip::tcp::endpoint endpoint;
            if (this->settings.duty_address.port != 0)
              endpoint = http1::TcpEndpoint(this->settings.duty_address);
            return std::make_unique<SerialHttpClient>(this->io, endpoint,
                                                      this->clock);
          }};
}

StoredStreamVersions::Channels Gateway::MakeStreamVersionChannels() const {
  StoredStreamVersions::Channels channels;
  channels.writer = this->MakeStoreClient();
  for (int i = 0; i < kStreamVersionReaders; ++i)
    channels.readers.push_back(this->MakeStoreClient());
  channels.sweeper = this->MakeStoreClient();
  channels.write_timer = std::make_unique<AsioDelayTimer>(this->io);
  channels.find_timer = std::make_unique<AsioDelayTimer>(this->io);
  channels.service_row_timer = std::make_unique<AsioDelayTimer>(this->io);
  return channels;
}

bool Gateway::ready() const {
  return this->routes != nullptr && this->replica_follower.has_snapshot() &&
         this->shutdown_started_at == absl::InfiniteFuture();
}

std::shared_ptr<http1::ActiveRequest> Gateway::OnRequest(
    http1::IncomingRequest request,
    std::shared_ptr<http1::Responder> responder) {
  return this->HandleRequest(std::move(request), std::move(responder),
                             RequestOrigin::kCaller);
}

std::shared_ptr<http1::ActiveRequest> Gateway::HandleRequest(
    http1::IncomingRequest request,
    std::shared_ptr<http1::Responder> responder,
    RequestOrigin origin) {
  auto caller_request =
      Capture([&] { return this->wire.DecodeCallerRequest(request.head); });
  if (!caller_request.ok()) {
    this->OnMalformed(kBadRequest, caller_request.error().ToString());
    responder->SendWhole(
        this->wire.MakeGatewayAnswer(kBadRequest, std::nullopt), "");
    return nullptr;
  }
  if (this->routes == nullptr || !this->replica_follower.has_snapshot()) {
    this->metrics.CountOutcome("refused");
    this->log.Write(LogEvent("request_ended")
                        .Add("request", caller_request.value().attempt_id)
                        .Add("outcome", "refused")
                        .Add("reason", "no_configuration")
                        .Add("status", kUnavailable));
    responder->SendWhole(
        this->wire.MakeGatewayAnswer(kUnavailable, kRetryAfterNotReady), "");
    return nullptr;
  }
  const forward::Route* route =
      this->routes->Match(caller_request.value().host, request.head.target);
  if (route == nullptr) {
    this->metrics.CountOutcome("not_found");
    this->log.Write(
        LogEvent("request_ended")
            .Add("request", caller_request.value().attempt_id)
            .Add("outcome", "not_found")
            .Add("status", kNotFound)
            .Add("configuration", this->routes->configuration().version));
    responder->SendWhole(this->wire.MakeGatewayAnswer(kNotFound, std::nullopt),
                         "");
    return nullptr;
  }
  if (!this->Authenticate(*route, origin, caller_request.value(), *responder))
    return nullptr;
  if (origin == RequestOrigin::kPeer) {
    this->metrics.CountDecision("relayed_request");
    this->log.Write(LogEvent("relayed_request")
                        .Add("request", caller_request.value().attempt_id)
                        .Add("route", route->name));
  }
  auto exchange = std::make_shared<Exchange>(
      this->exchange_context, this->routes, *route, std::move(request),
      std::move(caller_request.value()), origin, std::move(responder));
  exchange->Start();
  return exchange;
}

/// Fills in the customer and the priority of a request.
/// @return False if the request has been answered, because its credentials are
///     not valid or cannot be checked.
bool Gateway::Authenticate(const forward::Route& route,
                           RequestOrigin origin,
                           CallerRequest& request,
                           http1::Responder& responder) {
  request.priority = route.priority;
  if (!this->keys->is_enabled())
    return true;
  auto end = [&](std::string_view outcome, std::string_view reason,
                 http1::AnswerHead head) {
    this->metrics.CountOutcome(outcome);
    this->log.Write(
        LogEvent("request_ended")
            .Add("request", request.attempt_id)
            .Add("route", route.name)
            .Add("outcome", outcome)
            .Add("reason", reason)
            .Add("status", head.status)
            .Add("configuration", this->routes->configuration().version));
    responder.SendWhole(std::move(head), "");
    return false;
  };
  bool has_key = request.credentials.kind == customers::Credentials::Kind::kKey;
  if (has_key && !this->MayUseKeys()) {
    return end("refused", "keys_may_be_revoked",
               this->wire.MakeGatewayAnswer(kUnavailable, kRetryAfterNotReady));
  }
  customers::Authentication result =
      origin == RequestOrigin::kPeer
          ? this->keys->AuthenticateRelayed(request.credentials,
                                            route.allow_anonymous)
          : this->keys->Authenticate(request.credentials,
                                     route.allow_anonymous);
  if (result.status == customers::AuthenticationStatus::kRejected)
    return end("unauthorized", "key", this->wire.MakeUnauthorizedAnswer());
  request.customer = std::move(result.customer);
  request.priority = result.priority.value_or(route.priority);
  return true;
}

/// @return False if keys may have been revoked for longer than the operators
///     allow an instance not to know of it.
bool Gateway::MayUseKeys() const {
  return !this->settings.revocation_limit ||
         this->store_contact.Age() <= *this->settings.revocation_limit;
}

void Gateway::OnMalformed(int status, std::string_view reason) {
  this->metrics.CountOutcome("malformed");
  this->log.Write(LogEvent("request_malformed")
                      .Add("status", status)
                      .Add("reason", reason));
}

http1::AnswerHead Gateway::OnNoRoomForBody() {
  this->metrics.CountOutcome("refused");
  this->log.Write(LogEvent("request_ended")
                      .Add("outcome", "refused")
                      .Add("reason", "no_room_for_body")
                      .Add("status", kUnavailable));
  return this->wire.MakeGatewayAnswer(kUnavailable, kRetryAfterNoRoom);
}

size_t Gateway::KnownInstances() const {
  return this->peer_link.peer_count() + 1;
}

forward::RetryBudgetLimits Gateway::OwnRetryBounds() const {
  bool has_peers = this->settings.peer_address.port != 0;
  std::optional<size_t> instances;
  if (!has_peers || this->control_table.loaded())
    instances = this->KnownInstances();
  forward::RetryBudgetLimits bounds = this->settings.retry_bounds;
  bounds.instance_slack =
      forward::RetrySlackOfInstance(this->settings.retry_slack, instances);
  return bounds;
}

void Gateway::UpdateRetryBudgets() {
  for (auto& [service, retry_budget] : this->retry_budgets)
    retry_budget->SetLimits(this->OwnRetryBounds());
}

void Gateway::UpdateConnectionShares() {
  if (this->routes == nullptr)
    return;
  for (const auto& service : this->routes->configuration().services) {
    if (service.max_connections == 0) {
      this->replicas.SetConnectionShare(service.name,
                                        forward::kUnlimitedConnections);
      continue;
    }
    double connections = forward::ShareOfInstance(service.max_connections,
                                                  this->KnownInstances());
    this->replicas.SetConnectionShare(
        service.name, static_cast<int>(std::max(kMinConnections, connections)));
  }
}

void Gateway::OnControlTableChanged() {
  this->peer_link.UpdatePeers();
  this->store_contact.SetKnownPeers(this->peer_link.peer_count());
  this->UpdateConnectionShares();
  this->UpdateRetryBudgets();
  this->quarantines.ReadRows();
}

forward::WindowedRetryBudget& Gateway::RetryBudgetFor(
    std::string_view service) {
  auto& retry_budget = this->retry_budgets[std::string(service)];
  if (retry_budget == nullptr) {
    retry_budget = std::make_unique<forward::WindowedRetryBudget>(
        this->clock, this->OwnRetryBounds());
  }
  return *retry_budget;
}

void Gateway::UpdateStreamVersions() {
  if (!this->replica_follower.has_snapshot())
    return;
  for (const auto& replica : this->replicas.Registered()) {
    this->stream_versions.OnRegistered(replica->entry.service,
                                       replica->entry.software_version);
  }
  this->stream_versions.Tick();
}

/// Notes how long the event loop was busy when the maintenance was due.
void Gateway::ObserveEventLoop() {
  absl::Duration delay = absl::FromChrono(std::chrono::steady_clock::now() -
                                          this->maintenance_timer.expiry());
  this->metrics.ObserveEventLoopDelay(delay);
  if (delay >= kLongLoopDelay)
    this->log.Write(LogEvent("event_loop_was_busy").Add("delay_ms", delay));
}

void Gateway::ScheduleMaintenance() {
  this->maintenance_timer.expires_after(kMaintenanceInterval);
  this->maintenance_timer.async_wait([this](boost::system::error_code error) {
    if (error)
      return;
    this->ObserveEventLoop();
    this->connection_pool.CloseStale();
    this->replica_limits.Prune([this](std::string_view replica) {
      return this->replicas.IsForgotten(replica);
    });
    this->send_permits.Prune();
    this->replicas.SettleAfterRestore();
    this->replica_prober.ProbeUnreachable();
    this->replica_prober.ProbeCutOffServices(this->CutOffServices());
    this->UpdateCutOffServices();
    this->EndNotices();
    this->UpdateStreamVersions();
    this->quarantines.Tick();
    if (this->ready())
      this->order_dispatcher.Tick(*this->routes, this->peer_load_sync.Rank());
    if (this->routes != nullptr && this->replica_follower.has_snapshot()) {
      bool stopping = this->shutdown_started_at != absl::InfiniteFuture();
      this->duties.Tick(*this->routes, stopping);
    }
    this->CheckShutdown();
    this->ScheduleMaintenance();
  });
}

void Gateway::Reload(const GatewaySettings& settings) {
  this->settings.retry_bounds = settings.retry_bounds;
  this->settings.retry_slack = settings.retry_slack;
  this->settings.drain_time = settings.drain_time;
  this->replicas.SetLeavingAllowance(settings.drain_time *
                                     kLeavingAllowanceShare);
  this->UpdateRetryBudgets();
  this->log.Write(LogEvent("settings_reloaded")
                      .Add("retry_ratio", settings.retry_bounds.ratio));
}

void Gateway::Shutdown(std::function<void()> done) {
  if (this->shutdown_started_at != absl::InfiniteFuture())
    return;
  this->shutdown_started_at = this->clock.Now();
  this->shutdown_done = std::move(done);
  absl::Duration time_for_requests = std::max(
      absl::ZeroDuration(), this->settings.shutdown_time - kShutdownMargin);
  this->shutdown_admission.Begin(time_for_requests);
  this->caller_server.CloseAfterAnswers();
  this->relay_server.CloseAfterAnswers();
  this->log.Write(
      LogEvent("stopping")
          .Add("active_requests",
               static_cast<int64_t>(this->caller_server.ActiveRequests())));
  this->shutdown_timer.Start(time_for_requests,
                             [this] { this->EndRequests(); });
}

void Gateway::CheckShutdown() {
  if (!this->shutdown_done)
    return;
  absl::Duration elapsed = this->clock.Now() - this->shutdown_started_at;
  if (elapsed >= kIdleCloseDelay &&
      !std::exchange(this->idle_connections_closed, true)) {
    this->caller_server.CloseWhenIdle();
    this->relay_server.CloseWhenIdle();
  }
  if (elapsed < kLoadBalancerNoticeTime)
    return;
  this->caller_server.StopAccepting();
  this->relay_server.StopAccepting();
  // A request that arrived later could be cut by the end of the process.
  this->caller_server.CloseWhenIdle();
  this->relay_server.CloseWhenIdle();
  if (this->caller_server.OpenConnections() +
          this->relay_server.OpenConnections() ==
      0)
    this->ReportStopped();
}

/// Answers all requests while there is still time to send the answers.
void Gateway::EndRequests() {
  if (!this->shutdown_done)
    return;
  size_t active = 0;
  size_t incomplete = 0;
  for (http1::Server* server : {&this->caller_server, &this->relay_server}) {
    server->StopAccepting();
    server->CloseWhenIdle();
    active += server->ActiveRequests();
    incomplete += server->EndRequests(
        this->wire.MakeGatewayAnswer(kUnavailable, kRetryAfterShutdown));
  }
  for (size_t i = 0; i < incomplete; ++i)
    this->metrics.CountOutcome("refused");
  this->log.Write(LogEvent("requests_ended_by_shutdown")
                      .Add("active", static_cast<int64_t>(active))
                      .Add("incomplete", static_cast<int64_t>(incomplete)));
  this->shutdown_timer.Start(kLastAnswersTime,
                             [this] { this->ReportStopped(); });
}

void Gateway::ReportStopped() {
  if (!this->shutdown_done)
    return;
  this->shutdown_timer.Cancel();
  this->log.Write(
      LogEvent("stopped")
          .Add("took_ms", this->clock.Now() - this->shutdown_started_at)
          .Add("unfinished_requests",
               static_cast<int64_t>(this->caller_server.ActiveRequests())));
  std::exchange(this->shutdown_done, nullptr)();
}

}  // namespace cranberryhill::gateway
