#include "cranberryhill/daemon/daemon.h"

#include <algorithm>
#include <atomic>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryhill/admission/usage_limits.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/hash.h"
#include "cranberryhill/base/json.h"
#include "cranberryhill/base/log.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/base/wall_clock.h"
#include "cranberryhill/base/worker_pool.h"
#include "cranberryhill/calls/call_deduplicator.h"
#include "cranberryhill/calls/service_client.h"
#include "cranberryhill/daemon/caller_front.h"
#include "cranberryhill/daemon/chat_service.h"
#include "cranberryhill/daemon/config_part.h"
#include "cranberryhill/daemon/control_part.h"
#include "cranberryhill/daemon/engine_fleet.h"
#include "cranberryhill/daemon/http1_port.h"
#include "cranberryhill/daemon/http2_port.h"
#include "cranberryhill/daemon/metrics.h"
#include "cranberryhill/daemon/order_link.h"
#include "cranberryhill/daemon/peer_part.h"
#include "cranberryhill/daemon/plan_views.h"
#include "cranberryhill/daemon/service_gateway.h"
#include "cranberryhill/http2/event_loop.h"
#include "cranberryhill/http2/http2_client.h"
#include "cranberryhill/membership/membership_view.h"
#include "cranberryhill/platform/http_platform.h"
#include "cranberryhill/request/crash_quarantine.h"
#include "cranberryhill/supervision/supervisor.h"

namespace cranberryhill {
namespace {

constexpr size_t kPlatformThreads = 4;
constexpr size_t kServiceThreads = 16;
constexpr size_t kMaxQueuedJobs = 1000;
constexpr absl::Duration kFastTick = absl::Milliseconds(20);
constexpr absl::Duration kSlowTick = absl::Milliseconds(100);
constexpr absl::Duration kPollInterval = absl::Seconds(2);
constexpr absl::Duration kReleaseLimit = absl::Seconds(5);
constexpr size_t kMaxPlanRows = 500;

// Tells CallDeduplicator which owners of claims have ended.
class MembershipOwners : public OwnerLiveness {
 public:
  explicit MembershipOwners(const MembershipView& members) : members(members) {}

  /// @param owner "ID/INCARNATION", as OwnerName() writes it.
  bool HasEnded(std::string_view owner) const override {
    size_t slash = owner.rfind('/');
    if (slash == std::string_view::npos)
      return false;
    std::string_view id = owner.substr(0, slash);
    uint64_t known = this->members.IncarnationOf(id);
    if (known != kUnknownIncarnation &&
        std::to_string(known) != owner.substr(slash + 1)) {
      return true;
    }
    return this->members.Find(id) != nullptr &&
           this->members.StateOf(id) == MemberState::kGone;
  }

 private:
  const MembershipView& members;
};

MemberState ToMemberState(ListedState state) {
  switch (state) {
    case ListedState::kLive:
      return MemberState::kLive;
    case ListedState::kLeaving:
      return MemberState::kLeaving;
    case ListedState::kGone:
      return MemberState::kGone;
  }
  return MemberState::kGone;
}

MemberKind ToMemberKind(std::string_view kind) {
  if (kind == "engine")
    return MemberKind::kEngine;
  if (kind == "service")
    return MemberKind::kBackendServer;
  return MemberKind::kEntryInstance;
}

// Incarnations of one instance id grow over restarts, so they come from the
// time of day. Two starts within a microsecond are not possible.
uint64_t NewIncarnation(const Clock& wall_clock) {
  return static_cast<uint64_t>(absl::ToUnixMicros(wall_clock.Now()));
}

}  // namespace

class Daemon::Impl : public PeerHandler, public DaemonPages {
 public:
  explicit Impl(const Settings& settings);

  Result<void> Start();
  void Run();
  void RequestShutdown() { this->shutdown_requested = true; }

  PeerMessage Compose() override;
  void OnMessage(const PeerMessage& message, absl::Duration transit) override;
  std::optional<ProductionVersion> Document() override;
  std::optional<PeerPlan> Plan() override;
  void OnPlan(const PeerPlan& plan, absl::Duration transit) override;

  bool Serves(std::string_view path) const override;
  WholeResponse Page(std::string_view method, std::string_view path) override;

 private:
  enum class Phase { kServing, kLeaving, kDraining, kEnding };

  void OnVersion(const std::shared_ptr<const VersionInForce>& version);
  void FastTick();
  void SlowTick();
  void PollPlatform();
  void OnListPolled(const Outcome<InstanceListUpdate>& update);
  void OnList(const InstanceListUpdate& update);
  void UpdatePeers();
  void MoveStreams();
  void StepShutdown();
  bool WorkDone() const;
  void PublishMetrics();
  void PublishMembers();
  std::string_view StateName() const;
  std::string StatusText();
  void ReadPeerObservations(const PeerMessage& message, absl::Duration transit);
  void ReadPeerPlan(const PeerMessage& message, absl::Duration transit);

  const Settings settings;
  BootClock clock;
  WallClock wall_clock;
  const uint64_t incarnation;
  SeededRandom random;
  Metrics metrics;
  std::unique_ptr<EventLoop> loop;
  // The pools come after the loop, which their jobs post to.
  WorkerPool platform_pool;
  WorkerPool service_pool;
  HttpTableService table;
  HttpObjectStore objects;
  HttpInstanceList list;

  MembershipView members;
  MembershipOwners owners;
  CrashQuarantine crashes;
  UsageLimits limits;
  PlanViews views;
  std::unique_ptr<Http2Client> client;
  ChatService chats;
  EngineFleet fleet;
  ConfiguredServices directory;
  ServiceClient service_client;
  CallDeduplicator guard;
  ServiceGateway services;
  CallerFront front;
  ConfigPart config;
  OrderLink orders;
  ControlPart control;

  Http1Port http1;
  Http2Port http2;
  PeerPart peers;
  Supervisor root;

  std::atomic<bool> shutdown_requested = false;
  Phase phase = Phase::kServing;
  absl::Time phase_since;
  absl::Time next_plan_poll = absl::InfinitePast();
  absl::Time next_list_poll = absl::InfinitePast();
  absl::Time last_work_report;
  uint64_t list_revision = 0;
  bool list_readable = true;  // At the last poll.
};

Daemon::Impl::Impl(const Settings& settings)
    : settings(settings),
      incarnation(NewIncarnation(this->wall_clock)),
      random(EntropySeed()),
      loop(NewEventLoop(this->clock)),
      platform_pool(kPlatformThreads, kMaxQueuedJobs),
      service_pool(kServiceThreads, kMaxQueuedJobs),
      table(settings.platform_address, this->platform_pool, *this->loop),
      objects(settings.platform_address, this->platform_pool, *this->loop),
      list(settings.platform_address, this->platform_pool, *this->loop),
      members(MembershipSettings{}, this->clock),
      owners(this->members),
      crashes(CrashQuarantinePolicy{}),
      limits(this->clock),
      views(settings.environment, this->clock),
      client(NewHttp2Client(*this->loop)),
      chats({this->settings, this->clock, this->crashes, this->limits,
             this->metrics, this->incarnation}),
      fleet(
          {settings.availability_zone, *this->client, this->clock, this->random,
           this->crashes, this->members, this->views, this->metrics},
          this->chats),
      directory(settings.availability_zone, this->members),
      service_client({},
                     this->clock,
                     this->directory,
                     this->service_pool,
                     *this->loop),
      guard({.environment = settings.environment,
             .owner = settings.instance_id + "/" +
                      std::to_string(this->incarnation)},
            this->clock,
            this->wall_clock,
            this->random,
            this->table,
            this->objects,
            this->service_client,
            this->owners),
      services(this->directory,
               this->guard,
               this->service_client,
               this->clock,
               this->metrics),
      front(this->chats, this->services, this->metrics, this->wall_clock),
      config(settings.environment,
             this->clock,
             this->random,
             this->table,
             this->metrics,
             [this](const std::shared_ptr<const VersionInForce>& version) {
               this->OnVersion(version);
             }),
      orders(*this->client, *this->loop, this->fleet),
      control({this->settings, this->clock, this->wall_clock, this->random,
               this->table, this->orders, this->fleet, this->members,
               this->metrics}),
      http1(settings.http1_address, *this->loop, this->front, *this),
      http2(*this->loop,
            {settings.http2_address.ip, settings.http2_address.port},
            this->front),
      peers({this->settings, this->incarnation, this->clock, *this->loop,
             *this->client, this->metrics},
            *this),
      root("daemon", RestartLimits{}, this->clock) {
  this->chats.SetFleet(this->fleet);
  this->config.SetPeerFetcher(
      [this](const std::string& peer, PeerDocumentCallback done) {
        this->peers.FetchDocument(peer, std::move(done));
      });
  this->http1.SetOnFailed([this](const Error& error) {
    this->metrics.Count("cranberryhill_restarts_total");
    this->root.OnFailed(this->http1, error);
  });
  this->root.SetOnExhausted([this](const Error&) { this->RequestShutdown(); });
  this->root.Add(this->peers);
  this->root.Add(this->http2);
  this->root.Add(this->http1);
  this->last_work_report = this->clock.Now();
}

Result<void> Daemon::Impl::Start() {
  BOOST_LEAF_CHECK(this->root.Start());
  std::vector<std::string> peer_ids;
  for (const PeerSetting& peer : this->settings.peers) {
    this->members.AddConfigured(
        {peer.id, peer.address.ip + ":" + std::to_string(peer.address.port),
         peer.availability_zone, MemberKind::kEntryInstance});
    peer_ids.push_back(peer.id);
  }
  this->UpdatePeers();
  this->config.Start(std::move(peer_ids));
  this->FastTick();
  this->SlowTick();
  LogLine("instance {} of zone {} serves environment {}, incarnation {}",
          this->settings.instance_id, this->settings.availability_zone,
          this->settings.environment, this->incarnation);
  return {};
}

void Daemon::Impl::Run() {
  this->loop->Run();
  this->root.Stop();
}

void Daemon::Impl::OnVersion(
    const std::shared_ptr<const VersionInForce>& version) {
  this->views.SetDocument(version->document);
  this->fleet.SetEngines(version->document.engines);
  this->chats.SetDocument(version);
  this->services.SetDocument(version);
  this->front.SetDocument(version);
  this->control.SetDocument(version);
  // New zones have no view yet.
  this->next_plan_poll = absl::InfinitePast();
}

void Daemon::Impl::FastTick() {
  this->chats.Tick();
  this->guard.Tick();
  // Without work there is nothing to check often; wake-ups are most of what a
  // daemon at rest costs.
  bool busy = this->chats.running() > 0 || this->guard.unfinished() > 0;
  this->loop->RunAfter(busy ? kFastTick : kSlowTick,
                       [this] { this->FastTick(); });
}

void Daemon::Impl::SlowTick() {
  this->config.Tick();
  this->PollPlatform();
  this->fleet.Tick();
  this->control.Tick();
  this->peers.Tick();
  for (const std::string& engine : this->views.ProbesDue())
    this->fleet.Probe(engine);
  this->MoveStreams();
  this->PublishMetrics();
  this->StepShutdown();
  this->loop->RunAfter(kSlowTick, [this] { this->SlowTick(); });
}

void Daemon::Impl::PollPlatform() {
  absl::Time now = this->clock.Now();
  // Jitter spreads the polls of many instances.
  absl::Duration interval =
      kPollInterval * (0.8 + 0.2 * this->random.UniformDouble());
  if (now >= this->next_plan_poll) {
    this->next_plan_poll = now + interval;
    this->table.Scan(this->views.PlanPrefix(), "", kMaxPlanRows,
                     [this, now](const ReadOutcome& outcome) {
                       if (outcome.ok())
                         this->views.OnRows(outcome.value(), now);
                     });
  }
  if (now >= this->next_list_poll) {
    this->next_list_poll = now + interval;
    this->list.Poll(this->list_revision,
                    [this](const Outcome<InstanceListUpdate>& update) {
                      this->OnListPolled(update);
                    });
  }
}

void Daemon::Impl::OnListPolled(const Outcome<InstanceListUpdate>& update) {
  bool readable = update.ok();
  if (readable != std::exchange(this->list_readable, readable)) {
    LogLine("instance list: {}", readable ? std::string("readable again")
                                          : update.error().ToString());
  }
  if (readable)
    this->OnList(update.value());
}

void Daemon::Impl::OnList(const InstanceListUpdate& update) {
  if (!update.unreadable_entries.empty()) {
    LogLine("instance list: {} entries are left out, the first one: {}",
            update.unreadable_entries.size(),
            update.unreadable_entries.front().ToString());
  }
  PlatformListUpdate converted;
  converted.revision = update.revision;
  converted.complete = this->list_revision == 0;
  for (const ListedInstance& instance : update.instances) {
    converted.members.push_back(
        {{instance.id, instance.address, instance.availability_zone,
          ToMemberKind(instance.kind)},
         ToMemberState(instance.state)});
  }
  this->list_revision = update.revision;
  this->members.OnPlatformList(converted);
  this->UpdatePeers();
}

void Daemon::Impl::UpdatePeers() {
  std::vector<PeerInstance> instances;
  std::vector<std::string> ids;
  for (const std::string& id :
       this->members.Members(MemberKind::kEntryInstance)) {
    const MemberInfo* info = this->members.Find(id);
    auto address = Capture([&] { return ParseIpAddress(info->address); });
    if (!address.ok())
      continue;
    instances.push_back({id, info->zone, address.value()});
    if (id != this->settings.instance_id)
      ids.push_back(id);
  }
  this->peers.SetInstances(instances);
  std::set<std::string> zone = {this->settings.instance_id};
  for (const PeerInstance& instance : instances) {
    if (instance.availability_zone == this->settings.availability_zone)
      zone.insert(instance.id);
  }
  this->fleet.SetEntryInstances(
      static_cast<uint32_t>(zone.size()),
      static_cast<uint32_t>(
          std::distance(zone.begin(), zone.find(this->settings.instance_id))));
  this->limits.SetInstances(
      static_cast<uint32_t>(ids.size() + 1),
      static_cast<uint32_t>(this->peers.exchange().subset().size()));
  this->config.SetPeers(std::move(ids));
}

void Daemon::Impl::MoveStreams() {
  for (const std::string& engine : this->views.DrainOverdue())
    this->chats.MoveAwayFrom(engine);
}

void Daemon::Impl::PublishMetrics() {
  absl::Time now = this->clock.Now();
  if (auto version = this->config.in_force()) {
    absl::Duration elapsed = now - this->last_work_report;
    if (elapsed >= absl::Seconds(1)) {
      this->PublishMembers();
      this->last_work_report = now;
      for (const ModelSpec& model : version->document.models) {
        this->control.ObserveWork(
            model.name, this->chats.TakeArrivedWork(model.name), elapsed);
      }
    }
  }
  if (DrainPlanView* view =
          this->views.ViewOf(this->settings.availability_zone)) {
    this->metrics.Set("cranberryhill_view_age_seconds", {},
                      absl::ToDoubleSeconds(view->Age()));
    this->metrics.Set("cranberryhill_plan_version", {},
                      static_cast<double>(view->plan_version()));
  }
  this->metrics.Set("cranberryhill_draining_engines", {},
                    static_cast<double>(this->views.DrainingCount()));
  this->metrics.Set("cranberryhill_engine_slowdown", {},
                    this->fleet.WorstSlowdown());
  this->metrics.Set("cranberryhill_calls_unfinished", {},
                    static_cast<double>(this->guard.unfinished()));
  this->metrics.Set("cranberryhill_leaving", {},
                    this->phase == Phase::kServing ? 0 : 1);
}

void Daemon::Impl::PublishMembers() {
  static constexpr std::pair<MemberKind, std::string_view> kKinds[] = {
      {MemberKind::kEntryInstance, "entry_instance"},
      {MemberKind::kEngine, "engine"},
      {MemberKind::kBackendServer, "service"}};
  for (const auto& [kind, name] : kKinds) {
    std::map<MemberState, int> counts = {{MemberState::kLive, 0},
                                         {MemberState::kLeaving, 0},
                                         {MemberState::kSuspect, 0}};
    for (const std::string& id : this->members.Members(kind))
      ++counts[this->members.StateOf(id)];
    for (const auto& [state, count] : counts) {
      this->metrics.Set("cranberryhill_members",
                        {{"kind", name}, {"state", MemberStateName(state)}},
                        count);
    }
  }
}

bool Daemon::Impl::WorkDone() const {
  return this->chats.running() == 0 && this->services.running() == 0 &&
         this->guard.unfinished() == 0 && this->http2.active_streams() == 0;
}

void Daemon::Impl::StepShutdown() {
  absl::Time now = this->clock.Now();
  switch (this->phase) {
    case Phase::kServing:
      if (!this->shutdown_requested)
        return;
      LogLine("leaving: {} chats and {} service calls in progress",
              this->chats.running(), this->services.running());
      this->http2.SetLeaving();
      this->phase = Phase::kLeaving;
      this->phase_since = now;
      return;
    case Phase::kLeaving:
      if (now - this->phase_since < this->settings.leaving_notice)
        return;
      this->chats.StopAccepting();
      this->services.StopAccepting();
      this->http2.Shutdown();
      this->phase = Phase::kDraining;
      this->phase_since = now;
      return;
    case Phase::kDraining:
      this->control.Release();
      if (!this->WorkDone() &&
          now - this->phase_since < this->settings.shutdown_limit) {
        return;
      }
      LogLine("{} chats, {} service calls and {} unwritten results remain",
              this->chats.running(), this->services.running(),
              this->guard.unfinished());
      this->phase = Phase::kEnding;
      this->phase_since = now;
      return;
    case Phase::kEnding:
      this->control.Release();
      if (this->control.released() || now - this->phase_since > kReleaseLimit)
        this->loop->Stop();
      return;
  }
}

PeerMessage Daemon::Impl::Compose() {
  PeerMessage message;
  absl::Time now = this->clock.Now();
  if (auto version = this->config.in_force()) {
    message.generation = version->production.generation;
    message.digest = version->production.digest;
  }
  if (DrainPlanView* view =
          this->views.ViewOf(this->settings.availability_zone)) {
    message.plan_version = view->plan_version();
    message.plan_age = view->Age();
  }
  message.leaving = this->phase != Phase::kServing;
  for (const CrashEntry& entry : this->crashes.Entries(kMaxPeerEntries, now))
    message.fingerprints.push_back({entry.fingerprint, entry.crashes});
  for (const MemberReport& report :
       this->members.ReportsForPeers(kMaxPeerEntries)) {
    auto age_ds = static_cast<uint8_t>(
        std::clamp(absl::ToDoubleSeconds(report.age) * 10, 0.0, 255.0));
    message.observations.push_back(
        {StableHash(report.id), static_cast<uint8_t>(report.state), age_ds});
  }
  for (const UsageEntry& entry : this->limits.BuildReport(kMaxPeerEntries)) {
    message.usage.push_back(
        {entry.key, entry.requests_per_s, entry.tokens_per_s});
  }
  return message;
}

void Daemon::Impl::OnMessage(const PeerMessage& message,
                             absl::Duration transit) {
  absl::Time now = this->clock.Now();
  this->members.OnContact(message.sender, message.incarnation);
  if (message.leaving)
    this->members.OnLeavingReported(message.sender, message.incarnation);
  if (message.generation > 0) {
    this->config.OnAnnouncement(message.sender, message.generation,
                                message.digest);
  }
  std::vector<CrashEntry> entries;
  for (const PeerFingerprint& entry : message.fingerprints)
    entries.push_back({entry.fingerprint, entry.crashes});
  this->crashes.Merge(entries, now);
  std::vector<UsageEntry> usage;
  for (const PeerUsageRate& entry : message.usage)
    usage.push_back({entry.key, entry.requests_per_s, entry.tokens_per_s});
  this->limits.OnPeerUsage(message.sender, usage);
  this->ReadPeerObservations(message, transit);
  this->ReadPeerPlan(message, transit);
}

void Daemon::Impl::ReadPeerObservations(const PeerMessage& message,
                                        absl::Duration transit) {
  if (message.observations.empty())
    return;
  std::map<uint64_t, std::string> ids;
  for (MemberKind kind : {MemberKind::kEntryInstance, MemberKind::kEngine,
                          MemberKind::kBackendServer}) {
    for (std::string& id : this->members.Members(kind)) {
      uint64_t hash = StableHash(id);
      ids[hash] = std::move(id);
    }
  }
  std::vector<MemberReport> reports;
  for (const PeerObservation& entry : message.observations) {
    auto found = ids.find(entry.member);
    if (found == ids.end())
      continue;
    reports.push_back({found->second, kUnknownIncarnation,
                       static_cast<MemberState>(entry.state),
                       absl::Milliseconds(100 * entry.age_ds)});
  }
  this->members.MergePeerReports(message.sender, reports, transit);
}

void Daemon::Impl::ReadPeerPlan(const PeerMessage& message,
                                absl::Duration transit) {
  if (message.availability_zone != this->settings.availability_zone)
    return;
  DrainPlanView* view = this->views.ViewOf(this->settings.availability_zone);
  if (view == nullptr)
    return;
  if (message.plan_version > view->plan_version()) {
    this->peers.FetchPlan(message.sender);
  } else if (message.plan_version == view->plan_version()) {
    DrainPlanRecord same = view->plan();
    view->UpdatePlan(same, this->clock.Now() - message.plan_age - transit -
                               absl::Milliseconds(1));
  }
}

std::optional<ProductionVersion> Daemon::Impl::Document() {
  auto version = this->config.in_force();
  if (version == nullptr)
    return std::nullopt;
  return version->production;
}

std::optional<PeerPlan> Daemon::Impl::Plan() {
  DrainPlanView* view = this->views.ViewOf(this->settings.availability_zone);
  if (view == nullptr || !view->IsFresh())
    return std::nullopt;
  return PeerPlan{view->plan(), view->Age()};
}

void Daemon::Impl::OnPlan(const PeerPlan& plan, absl::Duration transit) {
  if (DrainPlanView* view =
          this->views.ViewOf(this->settings.availability_zone))
    view->UpdatePlan(plan.plan, this->clock.Now() - plan.age - transit);
}

bool Daemon::Impl::Serves(std::string_view path) const {
  return path == "/health" || path == "/metrics" ||
         path.starts_with("/operator/");
}

WholeResponse Daemon::Impl::Page(std::string_view method,
                                 std::string_view path) {
  if (path == "/metrics")
    return {200, "text/plain; version=0.0.4", "", this->metrics.Text()};
  if (path == "/health") {
    std::string_view state = this->StateName();
    return {state == "serving" ? 200 : 503, "application/json", "",
            Json{{"state", state}}.dump()};
  }
  if (path == "/operator/status" && method == "GET")
    return {200, "application/json", "", this->StatusText()};
  if (path == "/operator/drain" && method == "POST") {
    this->RequestShutdown();
    return {202, "application/json", "", R"({"state":"leaving"})"};
  }
  Refusal refusal = MakeRefusal(RefusalCode::kNotFound, RefusalOutcome::kNotRun,
                                "no such operator page", "path");
  return {refusal.http_status, "application/json", "", RefusalBody(refusal)};
}

// "starting" until work can be started: callers would be refused before.
std::string_view Daemon::Impl::StateName() const {
  if (this->phase != Phase::kServing)
    return "leaving";
  auto version = this->config.in_force();
  if (version == nullptr)
    return "starting";
  const std::vector<EngineSpec>& engines = version->document.engines;
  bool usable =
      engines.empty() || std::any_of(engines.begin(), engines.end(),
                                     [this](const EngineSpec& engine) {
                                       return this->views.MayStart(engine.id);
                                     });
  return usable ? "serving" : "starting";
}

std::string Daemon::Impl::StatusText() {
  Json status = {{"instance", this->settings.instance_id},
                 {"availability_zone", this->settings.availability_zone},
                 {"environment", this->settings.environment},
                 {"incarnation", this->incarnation},
                 {"state", this->StateName()},
                 {"chats", this->chats.running()},
                 {"service_calls", this->services.running()},
                 {"holds_lease", this->control.holds_lease()},
                 {"peers", this->peers.exchange().subset()}};
  if (auto version = this->config.in_force()) {
    status["generation"] = version->production.generation;
    status["version"] = version->production.version;
  }
  Json engines = Json::array();
  for (const std::string& id : this->fleet.EngineIds()) {
    Json engine = {{"id", id},
                   {"state", MemberStateName(this->members.StateOf(id))},
                   {"may_start", this->views.MayStart(id)},
                   {"own_streams", this->fleet.RunningOn(id)}};
    if (const EngineReport* report = this->fleet.ReportOf(id)) {
      engine["role"] = report->role;
      engine["running"] = report->running;
      engine["queued"] = report->queued;
    }
    engines.push_back(std::move(engine));
  }
  status["engines"] = std::move(engines);
  return status.dump();
}

Daemon::Daemon(const Settings& settings)
    : impl(std::make_unique<Impl>(settings)) {}

Daemon::~Daemon() = default;

Result<void> Daemon::Start() {
  return this->impl->Start();
}

void Daemon::Run() {
  this->impl->Run();
}

void Daemon::RequestShutdown() {
  this->impl->RequestShutdown();
}

}  // namespace cranberryhill
