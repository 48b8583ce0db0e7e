#include "soak/fleet.h"

#include <fmt/format.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/numbers.h"
#include "cranberryhill/base/hash.h"
#include "platform/names.h"
#include "soak/fleet_members.h"
#include "soak/soak_address.h"

namespace cranberryhill::soak {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

/// Time of plain work, and between two events of a stream.
constexpr int kShortestWorkMs = 3;
constexpr int kLongestWorkMs = 40;
constexpr absl::Duration kEventGap = absl::Milliseconds(15);
/// An engine ends this long after it began the answer that crashes it, and is
/// back after the second time.
constexpr absl::Duration kCrashDelay = absl::Milliseconds(20);
constexpr absl::Duration kCrashTime = absl::Seconds(1);
/// What a limited replica takes per second, when its limit binds, and how long
/// before a request its gateway must have been told of it.
constexpr double kRequestsPerS = 2.5;
constexpr absl::Duration kLimitBinds = absl::Seconds(3);
constexpr absl::Duration kToldBefore = absl::Milliseconds(500);
/// How long a replica that is closed wants no requests, and how many may come
/// all the same.
constexpr absl::Duration kRetryAfter = absl::Seconds(2);
constexpr int kMaxEarlyArrivals = 2;
/// Time in which an engine carries out an order.
constexpr absl::Duration kOrderTime = absl::Milliseconds(300);
/// Entries that lapsed with the store are back this long after it.
constexpr absl::Duration kEntriesBack = absl::Milliseconds(1500);
constexpr std::chrono::milliseconds kLinkDelay(120);
/// Time to stop after SIGTERM, and what more is granted for a busy machine.
constexpr int kShutdownSeconds = 4;
constexpr absl::Duration kLongestStop = absl::Seconds(12);
/// A process has its signal handlers this long after its start.
constexpr absl::Duration kHandlersSet = absl::Milliseconds(500);
/// Ports of the gateways: below those that the kernel gives to sockets that ask
/// for any, so that none is taken while a gateway restarts.
constexpr uint16_t kFirstPort = 20000;
constexpr uint16_t kPortsPerGateway = 3;
constexpr std::string_view kLongBody = "0123456789abcdef";
constexpr std::string_view kVersionField = "event: ";
constexpr std::array<std::string_view, 3> kCustomers = {"addis", "oslo",
                                                        "lima"};
constexpr int kUsageWindowSeconds = 5;
/// An engine that breaks off streams does so after this many events.
constexpr int kEventsBeforeCut = 2;

bool Listen(http1::Server& server) {
  return Capture([&]() -> Result<bool> {
           BOOST_LEAF_CHECK(server.Listen(SoakAddress().to_string(), 0));
           return true;
         })
      .ok();
}

int EventCount(std::string_view id) {
  return 3 + static_cast<int>(StableHash(id) % 10);
}

/// @param version Names the software version of the replica that writes it;
///     left out if it is empty.
std::string EventText(std::string_view id,
                      int number,
                      std::string_view version) {
  std::string mark =
      version.empty() ? std::string() : fmt::format("event: {}\n", version);
  return fmt::format("id: {}\n{}data: {} {}\n\n", number, mark, id, number);
}

/// @return A head whose signature is its status, so that callers can compare.
http1::AnswerHead StatusSignedHead(std::string_view id, int status) {
  return platform::SignedHead(id, status, std::to_string(status));
}

enum class LinkFault {
  kSilent,  ///< Nothing passes.
  kOneWay,  ///< Nothing comes back.
  kReset,   ///< All connections are reset at its beginning.
  kDelayed,
};

void ApplyToLink(LinkProxy& link, LinkFault fault, bool begins) {
  if (fault == LinkFault::kReset)
    return begins ? link.Reset() : void();
  LinkState state;
  if (begins) {
    state.holds_to_target = fault == LinkFault::kSilent;
    state.holds_from_target = fault != LinkFault::kDelayed;
    if (fault == LinkFault::kDelayed)
      state.delay = kLinkDelay;
  }
  link.SetState(state);
}

}  // namespace

std::string_view CustomerOf(std::string_view id) {
  return kCustomers.at(StableHash(id) % kCustomers.size());
}

std::string KeyOf(std::string_view customer) {
  return fmt::format("key-{}", customer);
}

std::string ExpectedBody(std::string_view id, bool stream, int first_event) {
  std::string body;
  if (stream) {
    for (int number = first_event; number <= EventCount(id); ++number)
      body += EventText(id, number, "");
    return body;
  }
  body = fmt::format("answer to {} ", id);
  for (uint64_t i = 0; i < StableHash(id) % 200; ++i)
    body += kLongBody;
  return body;
}

StreamPart ParseStream(std::string_view body) {
  StreamPart part;
  std::string version;
  while (!body.empty()) {
    size_t newline = body.find('\n');
    std::string_view line = body.substr(0, newline);
    body.remove_prefix(line.size());
    bool ends = newline != std::string_view::npos;
    if (line.starts_with('e')) {
      version = line.substr(std::min(line.size(), kVersionField.size()));
    } else {
      part.body.append(line);
      part.body.append(ends ? "\n" : "");
    }
    if (!ends)
      break;
    body.remove_prefix(1);
    if (!line.empty())
      continue;
    ++part.events;
    part.versions.insert(version);
  }
  return part;
}

Fleet::Fleet(asio::io_context& io,
             const Clock& clock,
             Random& random,
             Ledger& ledger,
             FleetOptions options)
    : io(io),
      clock(clock),
      random(random),
      ledger(ledger),
      options(std::move(options)),
      peers(io, this->UsesKeys()) {}

Fleet::~Fleet() = default;

bool Fleet::Start() {
  bool started = true;
  for (int i = 1; i <= 3; ++i)
    started = started && this->AddServer(fmt::format("desk-{}", i), kDesk, "");
  for (int i = 1; i <= 2; ++i)
    started = started && this->AddServer(fmt::format("shop-{}", i), kShop, "");
  for (size_t i = 1; i <= kDrawnEngines; ++i) {
    started = started && this->AddServer(fmt::format("lm-{}", i), kEngines,
                                         i <= 4 ? "prefill" : "decode");
  }
  this->drawn_servers = this->servers.size();
  for (int i = 1; i <= kSpareEngines; ++i) {
    started = started && this->AddServer(fmt::format("lm-spare-{}", i),
                                         kEngines, "decode");
    if (started)
      this->MakeSpare(*this->servers.back());
  }
  if (!started)
    return false;
  this->Configure();
  if (this->UsesKeys() && !this->StartUsageServer())
    return false;
  for (size_t i = 0; i < this->options.gateways; ++i) {
    if (!this->AddMember(i))
      return false;
  }
  for (const auto& member : this->members) {
    if (!this->StartMember(*member))
      return false;
  }
  return true;
}

bool Fleet::AddServer(std::string_view id,
                      std::string_view service,
                      std::string_view stage) {
  auto server = std::make_unique<Server>();
  server->id = std::string(id);
  server->row.service = std::string(service);
  server->row.stage = std::string(stage);
  server->first_stage = server->row.stage;
  server->row.slots = stage.empty() ? 6 : 24;
  server->row.started_ms = 1;
  server->handler.work =
      [this, raw = server.get()](
          const http1::IncomingRequest& request,
          const std::shared_ptr<http1::Responder>& responder) {
        this->Work(*raw, request, responder);
      };
  server->server = std::make_unique<http1::Server>(
      this->io, this->clock, server->handler, http1::ServerLimits{});
  if (!Listen(*server->server))
    return false;
  server->link = std::make_unique<LinkProxy>(this->io, server->server->port());
  server->row.address =
      fmt::format("{}:{}", SoakAddress().to_string(), server->link->port());
  this->Publish(*server);
  this->servers.push_back(std::move(server));
  return true;
}

bool Fleet::AddMember(size_t index) {
  auto member = std::make_unique<Member>();
  member->id = GatewayId(index);
  auto first_port =
      static_cast<uint16_t>(kFirstPort + kPortsPerGateway * index);
  member->callers = std::make_unique<LinkProxy>(this->io, first_port);
  member->store_view =
      std::make_unique<StoreView>(this->store, this->peers, index);
  member->store_server = std::make_unique<http1::Server>(
      this->io, this->clock, *member->store_view, http1::ServerLimits{});
  if (!Listen(*member->store_server))
    return false;
  member->store =
      std::make_unique<LinkProxy>(this->io, member->store_server->port());
  if (!this->peers.Add(static_cast<uint16_t>(first_port + 2)))
    return false;
  auto address = [](uint16_t port) {
    return fmt::format("{}:{}", SoakAddress().to_string(), port);
  };
  json settings = {
      {"instance_id", member->id},
      {"availability_zone", index % 2 == 0 ? "a" : "b"},
      {"callers_address", address(first_port)},
      {"readiness_address", address(first_port + 1)},
      {"peer_address", address(first_port + 2)},
      {"store_address", address(member->store->port())},
      {"shutdown_s", kShutdownSeconds},
      {"retry_slack", this->options.retry_slack},
      {"log_lines_per_s", 2000},
  };
  auto write = [&](std::string_view suffix) {
    std::string path = fmt::format("{}/{}{}.json", this->options.directory,
                                   member->id, suffix);
    std::ofstream(path) << settings.dump(2) << "\n";
    return path;
  };
  // The other build refuses settings that it does not know, so it gets the
  // common ones only.
  member->other_program = {this->options.other_binary, write("-other")};
  if (this->usage_server != nullptr) {
    settings["duty_address"] = address(this->usage_server->port());
    settings["usage_window_s"] = kUsageWindowSeconds;
  }
  member->present_program = {this->options.binary, write("")};
  member->starts_other = this->UsesKeys() && !this->options.rollback;
  member->process = std::make_unique<GatewayProcess>(
      "", "", fmt::format("{}/{}.log", this->options.directory, member->id));
  this->members.push_back(std::move(member));
  return true;
}

bool Fleet::StartUsageServer() {
  this->usage_handler.work =
      [this](const http1::IncomingRequest& request,
             const std::shared_ptr<http1::Responder>& responder) {
        this->usage_handler.requests.clear();
        json report = json::parse(request.body);
        std::map<std::string, int64_t> counts = report["counts"];
        const http1::HeaderList& headers = request.head.headers;
        uint64_t token = 0;
        (void)absl::SimpleAtoi(
            std::string(headers.Find(platform::kFencingToken).value_or("")),
            &token);
        this->ledger.OnUsage(
            report["window-number"], counts,
            std::string(headers.Find(platform::kDutyHolder).value_or("")),
            token, this->clock.Now());
        responder->SendWhole({200, "", {}}, "");
      };
  this->usage_server = std::make_unique<http1::Server>(
      this->io, this->clock, this->usage_handler, http1::ServerLimits{});
  return Listen(*this->usage_server);
}

bool Fleet::StartMember(Member& member) {
  const Member::Program& program =
      member.starts_other ? member.other_program : member.present_program;
  member.process->SetProgram(program.binary, program.settings);
  member.runs_other = member.starts_other;
  member.switch_pending = false;
  member.started_at = this->clock.Now();
  return member.process->Start();
}

uint16_t Fleet::CallerPort(size_t gateway) const {
  return this->members.at(gateway)->callers->port();
}

bool Fleet::InTouch(size_t gateway, absl::Time from) const {
  const Member& member = *this->members.at(gateway);
  return this->Undisturbed(gateway, from) && member.started_at < from &&
         member.told_to_stop_at == absl::InfiniteFuture();
}

bool Fleet::Undisturbed(size_t gateway, absl::Time from) const {
  return this->shared.CalmSince(from) &&
         this->members.at(gateway)->disturbance.CalmSince(from);
}

void Fleet::Configure() {
  ++this->version;
  this->WriteConfiguration();
}

void Fleet::WriteConfiguration() {
  // Every second version moves the movable route to the other service.
  std::string_view movable = this->version % 2 == 0 ? kShop : kDesk;
  auto route = [](std::string_view name, std::string_view kind,
                  std::string_view service) {
    json route = {{"name", name},
                  {"host", "h"},
                  {"prefix", fmt::format("/{}/", name)},
                  {"kind", kind},
                  {"timeout-ms", 4000},
                  {"target-latency-ms", 500},
                  {"service", service},
                  {"attempts", kind == "non_idempotent" ? 1 : 2}};
    if (kind == "streaming")
      route["resumable"] = name == "resumable";
    return route;
  };
  json configuration = {
      {"version", this->version},
      {"limits", {{"idle-timeout-ms", absl::ToInt64Milliseconds(kIdleLimit)}}},
      {"routes",
       {route("look", "idempotent", kDesk),
        route("book", "non_idempotent", kDesk),
        route("moving", "idempotent", movable),
        route("resumable", "streaming", kEngines),
        route("once", "streaming", kEngines)}},
      {"services",
       {{{"name", kDesk}, {"health-path", "/health"}},
        {{"name", kShop}, {"health-path", "/health"}},
        {{"name", kEngines},
         {"health-path", "/health"},
         {"engine", {{"slots", 24}, {"kv-capacity-tokens", 1000000}}}}}}};
  if (this->UsesKeys()) {
    for (std::string_view customer : kCustomers) {
      configuration["tenants"].push_back(
          {{"name", customer}, {"api-keys", {KeyOf(customer)}}});
    }
  }
  this->store.Set("op", "config", configuration.dump());
}

void Fleet::Publish(Server& server) {
  if (!server.listed)
    return;
  server.row.zone = StableHash(server.id) % 2 == 0 ? "a" : "b";
  this->store.Set("servers", server.id, server.row.Text());
  ++server.row.sequence;
}

void Fleet::After(absl::Duration wait, std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(
      this->io, absl::ToChronoMicroseconds(wait));
  timer->async_wait([timer, action = std::move(action)](
                        boost::system::error_code) { action(); });
}

void Fleet::Work(Server& server,
                 const http1::IncomingRequest& request,
                 const std::shared_ptr<http1::Responder>& responder) {
  server.handler.requests.clear();
  const http1::HeaderList& headers = request.head.headers;
  const std::string& target = request.head.target;
  if (target == platform::kReportPath) {
    json report = {{"stage", server.row.stage},
                   {"busy", false},
                   {"sequence", server.orders}};
    if (server.row.started_ms != 0)
      report["born"] = server.row.started_ms;
    return responder->SendWhole({200, "", {}}, report.dump());
  }
  if (target == platform::kOrderPath)
    return this->TakeOrder(server, request, *responder);
  if (target.starts_with(platform::kHandlePath))
    return responder->SendWhole({200, "", {}}, "");
  std::string id(headers.Find(platform::kAttemptId).value_or(""));
  bool refuses = server.mode == Server::Mode::kRefuses ||
                 headers.Find(platform::kExpectedReplica) != server.id;
  bool reads_only = headers.Find(platform::kStage).has_value();
  const SentRequest* sent = this->ledger.Find(id);
  bool crashes = sent != nullptr && sent->crashes_engine;
  if (crashes) {
    this->ledger.OnCrashingArrival(this->clock.Now(),
                                   this->IsCalm(*this->members[sent->gateway]));
  }
  if (sent != nullptr) {
    this->RecordLimitedArrival(server, *sent);
    this->CheckNotices(server, *sent);
    this->RecordTimeLeft(server, *sent, headers);
    this->CheckCustomer(*sent, headers);
  }
  refuses = refuses || server.closed;
  if (refuses || !reads_only)
    this->ledger.OnArrival(id, server.id, this->clock.Now(), !refuses);
  else
    this->ledger.OnPromptRead(id, this->clock.Now());
  if (server.closed)
    return responder->SendWhole(this->ClosedHead(server, id), "");
  if (refuses) {
    http1::AnswerHead head = this->HeadOf(server, id, 503);
    head.headers.Add(platform::kNotRun, "1");
    // Some are sent before the id has been read.
    if (StableHash(id) % 2 == 0)
      head.headers.Remove(platform::kAttemptId);
    return responder->SendWhole(std::move(head), "");
  }
  absl::Time now = this->clock.Now();
  if (now - server.draining_since > kDrainTime + kCalm &&
      this->shared.CalmSince(now - kCalm - kDrainTime)) {
    this->ledger.OnViolation(fmt::format(
        "drain: {} got {} {} after it announced its leaving", server.id, id,
        absl::FormatDuration(now - server.draining_since)));
  }
  if (server.mode == Server::Mode::kErrors)
    return responder->SendWhole(this->HeadOf(server, id, 500), "failed");
  if (server.mode == Server::Mode::kBreaks)
    return responder->Abort();
  if (server.mode == Server::Mode::kHangs)
    return server.unanswered.push_back(responder);
  if (reads_only)
    return this->ReadPrompt(server, id, *responder);
  if (this->EndsInFailure(server, id, responder))
    return;
  auto source = headers.Find(platform::kCacheSource);
  if (source && !source->ends_with("/cache-" + id)) {
    this->ledger.OnViolation(fmt::format(
        "mixed: {} goes on from the cache {} of another request", id, *source));
  }
  if (crashes)
    return this->CrashEngine(server, id, *responder);
  int first = 1;
  if (auto last = headers.Find(platform::kLastEventId))
    first = std::stoi(std::string(*last)) + 1;
  this->Run(server, id, first, server.row.service == kEngines, responder);
}

/// @return The head of an answer, with the limit of the replica if it has one.
http1::AnswerHead Fleet::HeadOf(Server& server,
                                std::string_view id,
                                int status) {
  http1::AnswerHead head = StatusSignedHead(id, status);
  const SentRequest* request = this->ledger.Find(id);
  if (server.says_leaving) {
    head.headers.Add(platform::kLeaving, "1");
    if (request != nullptr)
      server.told_of_leaving.try_emplace(request->gateway, this->clock.Now());
  }
  if (!server.requests_per_s)
    return head;
  head.headers.Add(platform::kRequestLimit,
                   fmt::format("{}", *server.requests_per_s));
  absl::Time now = this->clock.Now();
  server.limited_since = std::min(server.limited_since, now);
  if (const SentRequest* sent = this->ledger.Find(id))
    server.told.try_emplace(sent->gateway, now);
  return head;
}

void Fleet::RecordLimitedArrival(const Server& server,
                                 const SentRequest& sent) {
  absl::Time now = this->clock.Now();
  auto told = server.told.find(sent.gateway);
  if (!server.requests_per_s || told == server.told.end() ||
      now - told->second < kToldBefore ||
      !this->IsCalm(*this->members[sent.gateway]))
    return;
  this->ledger.OnLimitedArrival(server.id, *server.requests_per_s, now,
                                now - server.limited_since > kLimitBinds);
}

http1::AnswerHead Fleet::ClosedHead(Server& server, std::string_view id) {
  http1::AnswerHead head = this->HeadOf(server, id, 503);
  head.headers.Add(platform::kNotRun, "1");
  head.headers.Add(platform::kRetryAfter,
                   fmt::format("{}", absl::ToInt64Seconds(kRetryAfter)));
  absl::Time now = this->clock.Now();
  if (const SentRequest* sent = this->ledger.Find(id)) {
    Server::Closing& closing = server.told_to_come_back[sent->gateway];
    if (now >= closing.until)
      closing = {now, now + kRetryAfter};
    closing.until = std::max(closing.until, now + kRetryAfter);
  }
  return head;
}

/// @return True if the gateway must have got an answer that the replica gave it
///     at this time, and has not been restarted or suspended since.
bool Fleet::KnowsSince(const Server& server,
                       const Member& member,
                       absl::Time told_at) const {
  return member.started_at < told_at &&
         member.disturbance.CalmSince(told_at - kToldBefore) &&
         server.link_disturbed_at < told_at - kToldBefore;
}

void Fleet::CheckNotices(Server& server, const SentRequest& sent) {
  absl::Time now = this->clock.Now();
  const Member& member = *this->members[sent.gateway];
  auto leaving = server.told_of_leaving.find(sent.gateway);
  if (leaving != server.told_of_leaving.end() &&
      now - leaving->second > kDrainTime &&
      sent.at - leaving->second > kDrainTime &&
      this->KnowsSince(server, member, leaving->second)) {
    this->ledger.OnViolation(fmt::format(
        "leaving: {} got a request {} after it had told {} that it leaves",
        server.id, absl::FormatDuration(now - leaving->second), member.id));
  }
  auto closing = server.told_to_come_back.find(sent.gateway);
  if (closing != server.told_to_come_back.end() &&
      now - closing->second.told_at > kToldBefore &&
      now < closing->second.until &&
      this->KnowsSince(server, member, closing->second.told_at) &&
      ++closing->second.early > kMaxEarlyArrivals) {
    this->ledger.OnViolation(fmt::format(
        "closed: {} got request {} from {} before the time it had named",
        server.id, closing->second.early, member.id));
  }
}

/// Counts only what gateways without disturbance sent over sound links: other
/// requests may have been held up on their way.
void Fleet::RecordTimeLeft(const Server& server,
                           const SentRequest& sent,
                           const http1::HeaderList& headers) {
  absl::Time now = this->clock.Now();
  std::optional<absl::Duration> time_left;
  int64_t ms = 0;
  if (auto text = headers.Find(platform::kTimeLeftMs);
      text && absl::SimpleAtoi(std::string(*text), &ms))
    time_left = absl::Milliseconds(ms);
  this->ledger.OnTimeLeft(sent.id, now, time_left,
                          this->IsCalm(*this->members[sent.gateway]) &&
                              now - server.link_disturbed_at > kCalm);
}

/// Checks what the present build does with keys. The other one may not know
/// them and then passes them on.
void Fleet::CheckCustomer(const SentRequest& sent,
                          const http1::HeaderList& headers) {
  const Member& member = *this->members[sent.gateway];
  // A request that is older than the process was sent to an earlier one.
  if (!this->UsesKeys() || member.runs_other || sent.at < member.started_at)
    return;
  std::string_view customer = CustomerOf(sent.id);
  if (headers.Find(platform::kAuthorization)) {
    this->ledger.OnViolation(fmt::format(
        "key: a replica got the key of {} through {}", sent.id, member.id));
  }
  auto named = headers.Find(platform::kCustomer);
  if (named != customer) {
    this->ledger.OnViolation(
        fmt::format("customer: a replica got {} of {} through {} as one of {}",
                    sent.id, customer, member.id, named.value_or("nobody")));
  }
}

bool Fleet::IsCalm(const Member& member) const {
  absl::Time now = this->clock.Now();
  return now - member.started_at > kCalm &&
         member.disturbance.CalmSince(now - kCalm);
}

void Fleet::CrashEngine(Server& server,
                        std::string_view id,
                        http1::Responder& responder) {
  http1::AnswerHead head = this->HeadOf(server, id, 200);
  head.headers.Add("Content-Type", "text/event-stream");
  responder.BeginStream(std::move(head));
  responder.SendPart("id: 1\nda");
  if (std::exchange(server.crashing, true))
    return;
  ++this->shared.active;
  this->After(kCrashDelay, [this, &server] {
    this->ledger.OnEngineCrash(this->clock.Now());
    server.link->SetListening(false);
    server.link->Reset();
  });
  this->After(kCrashTime, [this, &server] {
    server.crashing = false;
    server.link->SetListening(server.running);
    --this->shared.active;
    this->shared.ended_at = this->clock.Now();
  });
}

void Fleet::TakeOrder(Server& server,
                      const http1::IncomingRequest& request,
                      http1::Responder& responder) {
  json order = json::parse(request.body);
  if (order["expected-revision"] != server.orders)
    return responder.SendWhole({409, "", {}}, "");
  this->ledger.OnOrder(server.id, order["holder"].get<std::string>(),
                       order["fencing-token"].get<uint64_t>(),
                       this->clock.Now());
  ++server.orders;
  responder.SendWhole({202, "", {}}, "");
  this->After(kOrderTime, [this, &server, generation = server.generation,
                           stage = order["stage"].get<std::string>()] {
    if (server.generation != generation)
      return;
    server.row.stage = stage;
    this->Publish(server);
  });
}

void Fleet::ReadPrompt(Server& server,
                       std::string_view id,
                       http1::Responder& responder) {
  json handle = {{"transfer-handle", fmt::format("cache-{}", id)},
                 {"tokens", 5000},
                 {"version", 1}};
  responder.SendWhole(this->HeadOf(server, id, 200), handle.dump());
}

void Fleet::Run(Server& server,
                std::string_view id,
                int first_event,
                bool stream,
                const std::shared_ptr<http1::Responder>& responder) {
  if (!stream) {
    auto work = absl::Milliseconds(
        this->random.UniformInt(kShortestWorkMs, kLongestWorkMs));
    return this->After(work, [this, &server, responder, id = std::string(id)] {
      responder->SendWhole(this->HeadOf(server, id, 200),
                           ExpectedBody(id, false));
    });
  }
  http1::AnswerHead head = this->HeadOf(server, id, 200);
  head.headers.Add("Content-Type", "text/event-stream");
  responder->BeginStream(std::move(head));
  const SentRequest* sent = this->ledger.Find(id);
  std::string stream_id(sent == nullptr ? id : sent->stream_id());
  int last = EventCount(stream_id);
  bool cuts = server.mode == Server::Mode::kCuts;
  int stop = cuts ? std::min(last, first_event + kEventsBeforeCut - 1) : last;
  server.answering.insert(std::string(id));
  for (int number = first_event; number <= stop; ++number) {
    std::string text = EventText(stream_id, number, server.row.version);
    this->After(kEventGap * (number - first_event + 1),
                [this, &server, responder, id = std::string(id), text, cuts,
                 ends = number == stop] {
                  responder->SendPart(text);
                  if (!ends)
                    return;
                  server.answering.erase(id);
                  if (!cuts)
                    return responder->EndStream();
                  this->ledger.OnBrokenOff(id);
                  responder->Abort();
                });
  }
  // A caller that resumes after the last event gets an empty rest.
  if (first_event > last) {
    server.answering.erase(std::string(id));
    responder->EndStream();
  }
}

Fleet::Disturbance* Fleet::DisturbanceOf(const Fault& fault) {
  switch (fault.kind) {
    // Planned work.
    case FaultKind::kTerminate:
    case FaultKind::kHangUp:
    case FaultKind::kConfigure:
    case FaultKind::kReplicaDrains:
    case FaultKind::kReplicaLimited:
    case FaultKind::kReplicaSaysLeaving:
    case FaultKind::kReplicaCloses:
    case FaultKind::kReleaseWithdrawn:
    case FaultKind::kReleaseCompleted:
    case FaultKind::kReplicaReturns:
    case FaultKind::kReplicaCuts:
    // Sound replicas may be silent for about a second.
    case FaultKind::kReplicaPauses:
    case FaultKind::kStreamsBreak:
    case FaultKind::kTerminateAll:
    case FaultKind::kHangUpAll:
    case FaultKind::kSwitchProgram:
      return nullptr;
    case FaultKind::kKill:
    case FaultKind::kPause:
    case FaultKind::kCutOff:
    case FaultKind::kCutOffInbound:
    case FaultKind::kCutOffOutbound:
    case FaultKind::kStoreLinkOutbound:
    case FaultKind::kPauseThenCutOff:
    case FaultKind::kStoreLinkSilent:
    case FaultKind::kStoreLinkOneWay:
    case FaultKind::kStoreLinkReset:
    case FaultKind::kCallerLinkReset:
    case FaultKind::kCallerLinkDelayed:
      return &this->members[fault.target % this->members.size()]->disturbance;
    default:
      return &this->shared;
  }
}

void Fleet::Begin(const Fault& fault) {
  if (Disturbance* disturbance = this->DisturbanceOf(fault))
    ++disturbance->active;
  this->Apply(fault, true);
}

void Fleet::End(const Fault& fault) {
  this->Apply(fault, false);
  if (Disturbance* disturbance = this->DisturbanceOf(fault)) {
    --disturbance->active;
    disturbance->ended_at = this->clock.Now();
  }
}

void Fleet::Apply(const Fault& fault, bool begins) {
  Member& member = *this->members[fault.target % this->members.size()];
  Server& server = *this->servers[fault.target % this->drawn_servers];
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kPause:
    case FaultKind::kTerminate:
    case FaultKind::kHangUp:
      return this->ApplyToProcess(member, fault.kind, begins);
    case FaultKind::kSwitchProgram:
      if (begins) {
        member.starts_other = this->options.rollback;
        member.switch_pending = true;
      }
      return;
    case FaultKind::kCutOff:
    case FaultKind::kCutOffInbound:
    case FaultKind::kCutOffOutbound:
    case FaultKind::kStoreLinkOutbound:
    case FaultKind::kPauseThenCutOff:
      return this->ApplyCut(fault, begins);
    case FaultKind::kReleaseWithdrawn:
    case FaultKind::kReleaseCompleted:
    case FaultKind::kReplicaReturns:
      return this->ApplyRelease(fault, begins);
    case FaultKind::kStreamsBreak:
      this->breaking_streams += begins ? 1 : -1;
      return;
    case FaultKind::kServiceFails:
    case FaultKind::kServiceFailsLate:
      return this->ApplyToService(fault, begins);
    case FaultKind::kKillAll:
    case FaultKind::kTerminateAll:
    case FaultKind::kHangUpAll:
      return begins ? this->ApplyToAll(fault.kind) : void();
    case FaultKind::kStoreLinkSilent:
      return ApplyToLink(*member.store, LinkFault::kSilent, begins);
    case FaultKind::kStoreLinkOneWay:
      return ApplyToLink(*member.store, LinkFault::kOneWay, begins);
    case FaultKind::kStoreLinkReset:
      return ApplyToLink(*member.store, LinkFault::kReset, begins);
    case FaultKind::kCallerLinkReset:
      return ApplyToLink(*member.callers, LinkFault::kReset, begins);
    case FaultKind::kCallerLinkDelayed:
      return ApplyToLink(*member.callers, LinkFault::kDelayed, begins);
    case FaultKind::kCrashingPart:
      this->crashing_parts += begins ? 1 : -1;
      return;
    case FaultKind::kConfigure:
      return begins ? this->Configure() : void();
    case FaultKind::kRolesChange:
      return begins ? this->ChangeRoles() : void();
    case FaultKind::kStoreDown:
    case FaultKind::kStoreSilent:
    case FaultKind::kStoreLosesAnswers:
    case FaultKind::kStoreForgets:
    case FaultKind::kStoreRestored:
    case FaultKind::kRegistryLapses:
      return this->ApplyToStore(fault.kind, begins);
    default:
      return this->ApplyToReplica(server, fault.kind, begins);
  }
}

void Fleet::ChangeRoles() {
  std::string_view role =
      this->random.UniformInt(0, 1) == 0 ? "prefill" : "decode";
  for (const auto& server : this->servers) {
    if (server->row.stage.empty())
      continue;
    server->row.stage = std::string(role);
    this->Publish(*server);
  }
}

bool Fleet::HasHandlers(const Member& member) const {
  return member.process->running() &&
         this->clock.Now() - member.started_at > kHandlersSet;
}

/// Tells a process to stop if it is to be restarted with another program and
/// has not been told yet.
void Fleet::SwitchWhenReady(Member& member) {
  if (member.switch_pending && member.told_to_stop_at == absl::InfiniteFuture())
    this->ApplyToProcess(member, FaultKind::kTerminate, true);
}

void Fleet::ApplyToProcess(Member& member, FaultKind kind, bool begins) {
  GatewayProcess& process = *member.process;
  bool has_handlers = this->HasHandlers(member);
  if (kind == FaultKind::kPause) {
    process.Signal(begins ? SIGSTOP : SIGCONT);
  } else if (kind == FaultKind::kKill && begins) {
    member.may_end = true;
    process.Signal(SIGKILL);
  } else if (kind == FaultKind::kTerminate && begins && has_handlers) {
    member.may_end = true;
    member.told_to_stop_at = this->clock.Now();
    process.Signal(SIGTERM);
  } else if (kind == FaultKind::kHangUp && begins && has_handlers) {
    process.Signal(SIGHUP);
  }
}

void Fleet::ApplyToReplica(Server& server, FaultKind kind, bool begins) {
  auto set_mode = [&server, begins](Server::Mode mode) {
    server.mode = begins ? mode : Server::Mode::kOk;
  };
  switch (kind) {
    case FaultKind::kReplicaLinkSilent:
    case FaultKind::kReplicaLinkOneWay:
    case FaultKind::kReplicaLinkReset:
    case FaultKind::kReplicaLinkDelayed:
    case FaultKind::kReplicaRepeats:
      return this->ApplyToReplicaLink(server, kind, begins);
    case FaultKind::kReplicaPauses:
      return this->ApplyToReplicaLink(server, FaultKind::kReplicaLinkSilent,
                                      begins);
    case FaultKind::kReplicaCuts:
      return set_mode(Server::Mode::kCuts);
    case FaultKind::kReplicaErrors:
      return set_mode(Server::Mode::kErrors);
    case FaultKind::kReplicaLimited:
      server.requests_per_s =
          begins ? std::optional(kRequestsPerS) : std::nullopt;
      server.limited_since = absl::InfiniteFuture();
      server.told.clear();
      return;
    case FaultKind::kReplicaSaysLeaving:
      server.says_leaving = begins;
      server.told_of_leaving.clear();
      if (!begins) {
        ++server.row.started_ms;
        server.orders = 0;
        this->Publish(server);
      }
      return;
    case FaultKind::kReplicaCloses:
      server.closed = begins;
      return;
    case FaultKind::kReplicaRefuses:
      return set_mode(Server::Mode::kRefuses);
    case FaultKind::kReplicaBreaks:
      return set_mode(Server::Mode::kBreaks);
    case FaultKind::kReplicaHangs:
      set_mode(Server::Mode::kHangs);
      if (!begins) {
        for (auto& responder : std::exchange(server.unanswered, {}))
          responder->Abort();
      }
      return;
    default:
      if (server.retiring)
        return;
      server.row.state = begins ? "draining" : "ready";
      server.draining_since =
          begins ? this->clock.Now() : absl::InfiniteFuture();
      this->Publish(server);
  }
}

void Fleet::ApplyToReplicaLink(Server& server, FaultKind kind, bool begins) {
  server.link_disturbed_at =
      begins ? absl::InfiniteFuture() : this->clock.Now();
  if (kind == FaultKind::kReplicaRepeats) {
    LinkState state;
    state.repeats_answers = begins;
    return server.link->SetState(state);
  }
  LinkFault fault = LinkFault::kDelayed;
  if (kind == FaultKind::kReplicaLinkSilent)
    fault = LinkFault::kSilent;
  else if (kind == FaultKind::kReplicaLinkOneWay)
    fault = LinkFault::kOneWay;
  else if (kind == FaultKind::kReplicaLinkReset)
    fault = LinkFault::kReset;
  ApplyToLink(*server.link, fault, begins);
}

void Fleet::ApplyToStore(FaultKind kind, bool begins) {
  if (kind == FaultKind::kStoreSilent)
    return this->store.SetSilent(begins);
  if (kind == FaultKind::kStoreLosesAnswers)
    return this->store.SetLosesAnswers(begins);
  if (kind == FaultKind::kStoreForgets)
    return begins ? this->store.DropHistory() : void();
  if (kind == FaultKind::kStoreRestored)
    return begins ? this->store.SaveCopy() : this->RestoreStore();
  this->store_outages += begins ? 1 : -1;
  this->store.SetDown(this->store_outages > 0);
  if (kind != FaultKind::kRegistryLapses)
    return;
  if (begins) {
    for (const auto& server : this->servers)
      this->store.Set("servers", server->id, std::nullopt);
    return;
  }
  this->After(kEntriesBack, [this] {
    for (const auto& server : this->servers)
      this->Publish(*server);
  });
}

/// What the operators and the replicas wrote is written again, in part at once
/// and in part some time later.
void Fleet::RestoreStore() {
  this->store.Restore();
  this->WriteConfiguration();
  for (const auto& server : this->servers) {
    auto wait = kEntriesBack * this->random.UniformDouble();
    this->After(wait, [this, &server = *server] { this->Publish(server); });
  }
  // Entries of replicas that have left lapse.
  this->After(kEntriesBack, [this] {
    for (const std::string& id : this->unlisted)
      this->store.Set("servers", id, std::nullopt);
  });
}

void Fleet::Tick() {
  absl::Time now = this->clock.Now();
  this->store.EndOldWatches(now);
  for (const auto& member : this->members) {
    if (auto status = member->process->TakeEnd()) {
      bool stopped = WIFEXITED(*status) && WEXITSTATUS(*status) == 0;
      bool killed = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGKILL;
      if (!member->may_end || (!stopped && !killed)) {
        this->ledger.OnViolation(fmt::format(
            "ended: {} ended by itself with status {}", member->id, *status));
      }
      member->may_end = false;
      member->told_to_stop_at = absl::InfiniteFuture();
      if (!this->StartMember(*member))
        this->ledger.OnViolation("the gateway cannot be started");
    }
    this->SwitchWhenReady(*member);
    if (now - member->told_to_stop_at > kLongestStop) {
      this->ledger.OnViolation(
          fmt::format("stop: {} still runs {} after SIGTERM", member->id,
                      absl::FormatDuration(now - member->told_to_stop_at)));
      member->told_to_stop_at = absl::InfiniteFuture();
      member->process->Signal(SIGKILL);
    }
  }
}

}  // namespace cranberryhill::soak
