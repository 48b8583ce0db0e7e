#include "cranberryhill/daemon/engine_fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cranberryhill/base/json.h"
#include "cranberryhill/base/log.h"
#include "cranberryhill/daemon/internal/engine_messages.h"
#include "cranberryhill/daemon/kv_transfer.h"

namespace cranberryhill {
namespace {

constexpr absl::Duration kPollInterval = absl::Seconds(1);
// Keeps the polls of one instance within its control traffic when there are
// hundreds of engines.
constexpr double kMaxPollsPerSecond = 15;
constexpr size_t kEnginesPerTick = 100;
// Bounds the work of reconnecting when a whole availability zone is lost.
constexpr absl::Duration kMaxReconnectWait = absl::Seconds(5);
constexpr absl::Duration kPollTimeout = absl::Seconds(3);
// Above kPollTimeout, so that a late status still counts as contact.
constexpr absl::Duration kMaxReadTime = absl::Seconds(6);
constexpr int kProbePriority = -100;
constexpr int kLowPriority = -1;  // Long work; short work has 0.
constexpr size_t kMaxLineBytes = size_t{64} * 1024;
// Cache events are late anyway, and what this instance sent is known at once.
constexpr absl::Duration kCacheEventInterval = absl::Seconds(5);
// Finish reason of a stream that was cut at its `max_tokens`.
constexpr std::string_view kCutReason = "length";
constexpr size_t kMaxEventBytes = size_t{1} * 1024 * 1024;
constexpr int kStatusOk = 200;

// Other server errors, such as 500, may come after the engine has run a part.
bool SaysNotRun(int status) {
  constexpr int kUnavailable = 503;
  return (status >= 400 && status < 500) || status == kUnavailable;
}

}  // namespace

/// A poll whose answer is being read.
struct EngineFleet::BodyRead {
  /// Gives up what has not arrived.
  /// @param failed Whether what has arrived is of no use.
  void End(bool failed) {
    auto callback = std::exchange(this->done, nullptr);
    if (!callback)
      return;
    if (auto open = std::exchange(this->stream, nullptr))
      open->Cancel();
    callback(failed ? std::nullopt : std::optional(this->body));
  }

  absl::Time started;
  BodyCallback done;
  std::string body;
  std::shared_ptr<Http2Stream> stream;
};

struct EngineFleet::Engine {
  EngineSpec spec;
  IpAddress address;
  uint32_t router_index = 0;
  Router* router = nullptr;
  std::unique_ptr<Http2Connection> connection;
  std::optional<EngineReport> report;
  bool configured = true;
  bool polling = false;
  absl::Time poll_sent;
  absl::Time next_poll = absl::InfinitePast();
  uint64_t last_cache_event = 0;
  absl::Time next_cache_poll = absl::InfinitePast();
  uint64_t incarnation = kUnknownIncarnation;
  std::vector<std::shared_ptr<BodyRead>> reads;
};

struct EngineFleet::Running {
  AttemptRequest attempt;
  std::vector<uint64_t> blocks;  // Of the prompt, for a KV transfer.
  std::string engine;
  std::string decode_engine;  // Differs when the engine only does prefill.
  bool prefill_only = false;  // The present stream ends after one token.
  absl::Duration first_token;
  absl::Duration token_gap;
  std::unique_ptr<KvTransfer> transfer;
  Router* router = nullptr;
  absl::Time started;
  bool got_token = false;       // From any of the attempt's engines.
  bool engine_started = false;  // The present engine sent a token.
  int status = kStatusOk;
  std::string buffer;  // An incomplete line.
  std::shared_ptr<Http2Stream> stream;
};

EngineFleet::EngineFleet(const FleetContext& context, AttemptListener& listener)
    : context(context),
      listener(listener),
      alive(std::make_shared<bool>(true)) {}

EngineFleet::~EngineFleet() {
  *this->alive = false;
}

EngineFleet::Engine* EngineFleet::FindEngine(std::string_view id) {
  auto found = this->engines.find(id);
  return found == this->engines.end() ? nullptr : found->second.get();
}

const EngineFleet::Engine* EngineFleet::FindEngine(std::string_view id) const {
  auto found = this->engines.find(id);
  return found == this->engines.end() ? nullptr : found->second.get();
}

void EngineFleet::SetEntryInstances(uint32_t count, uint32_t index) {
  this->entry_instances = count;
  this->entry_index = index;
  for (auto& [model, router] : this->routers)
    router->SetEntryInstances(count, index);
}

Router* EngineFleet::RouterOf(std::string_view model) {
  auto found = this->routers.find(model);
  return found == this->routers.end() ? nullptr : found->second.get();
}

std::optional<uint32_t> EngineFleet::RouterIndexOf(
    std::string_view engine) const {
  const Engine* found = this->FindEngine(engine);
  if (found == nullptr)
    return std::nullopt;
  return found->router_index;
}

void EngineFleet::SetEngines(std::span<const EngineSpec> specs) {
  for (auto& [id, engine] : this->engines)
    engine->configured = false;
  for (const EngineSpec& spec : specs) {
    Engine* known = this->FindEngine(spec.id);
    if (known != nullptr && known->spec.address == spec.address &&
        known->spec.model == spec.model) {
      known->spec = spec;
      known->configured = true;
      continue;
    }
    if (known != nullptr) {
      known->router->SetUsable(known->router_index, false);
      this->FailAttemptsOn(spec.id);
      this->engines.erase(spec.id);
    }
    this->AddEngine(spec);
  }
  for (auto it = this->engines.begin(); it != this->engines.end();) {
    Engine& engine = *it->second;
    bool in_use = this->InUse(it->first);
    if (!engine.configured)
      engine.router->SetUsable(engine.router_index, false);
    if (!engine.configured && !in_use)
      it = this->engines.erase(it);
    else
      ++it;
  }
}

bool EngineFleet::InUse(std::string_view engine) const {
  return std::any_of(this->running.begin(), this->running.end(),
                     [engine](const auto& item) {
                       return item.second->engine == engine ||
                              item.second->decode_engine == engine;
                     });
}

void EngineFleet::FailAttemptsOn(std::string_view engine) {
  std::vector<AttemptKey> keys;
  for (const auto& [key, run] : this->running) {
    bool transfers = run->transfer != nullptr && run->decode_engine == engine;
    if (run->engine == engine || transfers)
      keys.push_back(key);
  }
  for (const AttemptKey& key : keys)
    this->FailAttempt(key, AttemptFailure::kConnectionLost);
}

void EngineFleet::AddEngine(const EngineSpec& spec) {
  auto address = Capture([&] { return ParseIpAddress(spec.address); });
  if (!address.ok()) {
    LogLine("engine {} is not used: {}", spec.id, address.error().ToString());
    return;
  }
  std::unique_ptr<Router>& router = this->routers[spec.model];
  if (router == nullptr) {
    RouterOptions options;
    options.zone = this->context.availability_zone;
    router = std::make_unique<Router>(this->context.clock, this->context.random,
                                      options);
    router->SetEntryInstances(this->entry_instances, this->entry_index);
  }
  auto engine = std::make_unique<Engine>();
  engine->spec = spec;
  engine->address = address.value();
  engine->router = router.get();
  engine->router_index =
      router->AddEngine(spec.id, spec.availability_zone, EngineRole::kMixed);
  router->SetUsable(engine->router_index, false);
  Http2ConnectionOptions connection_options;
  connection_options.max_backoff = kMaxReconnectWait;
  engine->connection =
      this->context.client.Connect(engine->address, connection_options);
  engine->connection->OnStateChange(
      [this, id = spec.id, alive = this->alive](
          Http2ConnectionState state, std::optional<CloseReason> reason) {
        if (*alive)
          this->OnConnectionState(id, state, reason);
      });
  this->context.members.AddConfigured(
      {spec.id, spec.address, spec.availability_zone, MemberKind::kEngine});
  this->engines[spec.id] = std::move(engine);
}

void EngineFleet::OnConnectionState(const std::string& id,
                                    Http2ConnectionState state,
                                    std::optional<CloseReason> reason) {
  Engine* engine = this->FindEngine(id);
  if (engine == nullptr)
    return;
  if (reason.has_value()) {
    this->context.members.OnContactFailed(id);
    // A connection that the engine's side closed while streams were running
    // counts as a crash. Silence does not: it may be the network.
    if (*reason == CloseReason::kConnectionLost && this->RunningOn(id) > 0)
      this->OnCrash(*engine);
  }
  if (state == Http2ConnectionState::kOpen) {
    engine->last_cache_event = 0;
    this->context.members.OnContact(id, engine->incarnation);
    engine->router->OnEngineRestarted(engine->router_index);
    engine->next_poll = absl::InfinitePast();
    engine->polling = false;
  }
  this->UpdateUsable(*engine);
}

void EngineFleet::OnCrash(Engine& engine) {
  absl::Time now = this->context.clock.Now();
  std::vector<CrashedStream> streams;
  for (const auto& [key, attempt] : this->running) {
    if (attempt->engine == engine.spec.id) {
      streams.push_back({attempt->attempt.fingerprint, attempt->started,
                         !attempt->engine_started});
    }
  }
  size_t noted = this->context.crashes.OnEngineCrashed(streams, now);
  this->context.metrics.Count("cranberryhill_engine_crashes_total");
  this->context.metrics.Count("cranberryhill_crash_suspects_total", {},
                              static_cast<double>(noted));
  LogLine(
      "engine {} closed its connection with {} streams running; {} suspects",
      engine.spec.id, streams.size(), noted);
}

void EngineFleet::UpdateUsable(Engine& engine) {
  bool usable = engine.configured && engine.report.has_value() &&
                engine.connection->state() == Http2ConnectionState::kOpen &&
                this->context.members.MayReceiveWork(engine.spec.id) &&
                this->context.permission.MayStart(engine.spec.id);
  engine.router->SetUsable(engine.router_index, usable);
}

bool EngineFleet::MayStart(std::string_view id) const {
  return this->MayProbe(id) && this->context.members.MayReceiveWork(id);
}

bool EngineFleet::MayProbe(std::string_view id) const {
  const Engine* engine = this->FindEngine(id);
  return engine != nullptr && engine->configured &&
         this->context.members.StateOf(id) != MemberState::kLeaving &&
         this->context.permission.MayStart(id);
}

std::optional<Placement> EngineFleet::Place(const AttemptRequest& attempt,
                                            RouteRequest route) {
  Router* router = this->RouterOf(attempt.model);
  if (router == nullptr)
    return std::nullopt;
  route.id = attempt.key.Packed();
  std::optional<RouteDecision> decision = router->Choose(route);
  if (!decision)
    return std::nullopt;
  Engine* engine = this->FindEngine(router->EngineId(decision->engine));
  if (engine == nullptr || !this->MayStart(engine->spec.id)) {
    router->SetUsable(decision->engine, false);
    return std::nullopt;
  }
  router->OnSent(route, *decision);
  auto run = std::make_unique<Running>();
  run->attempt = attempt;
  if (decision->low_priority)
    run->attempt.priority = kLowPriority;
  run->blocks.assign(route.blocks.begin(), route.blocks.end());
  run->engine = engine->spec.id;
  run->decode_engine = router->EngineId(decision->decode_engine);
  run->prefill_only = run->decode_engine != run->engine;
  run->first_token = decision->first_token;
  run->token_gap = decision->token_gap;
  run->router = router;
  run->started = this->context.clock.Now();
  this->running[attempt.key] = std::move(run);
  this->SendGenerate(*engine, attempt.key);
  return Placement{engine->spec.id, decision->first_token, decision->token_gap};
}

Http2ClientRequest EngineFleet::GenerateRequest(const std::string& engine,
                                                const AttemptRequest& attempt) {
  Http2ClientRequest request{
      "POST",
      "/v1/generate",
      {{"content-type", "application/json"}},
      internal::GenerateBody(attempt, this->context.clock.Now())};
  request.allow_send = [this, engine, alive = this->alive] {
    return *alive && this->MayStart(engine);
  };
  return request;
}

void EngineFleet::SendGenerate(Engine& engine, const AttemptKey& key) {
  Http2Callbacks callbacks;
  callbacks.on_headers = [this, key, alive = this->alive](
                             int status, const Headers& headers) {
    auto found = *alive ? this->running.find(key) : this->running.end();
    if (!*alive || found == this->running.end())
      return;
    found->second->status = status;
    if (!FindHeader(headers, "x-leaving").empty()) {
      this->context.members.OnLeavingReported(found->second->engine,
                                              kUnknownIncarnation);
    }
  };
  callbacks.on_data = [this, key, alive = this->alive](std::string_view chunk) {
    if (*alive)
      this->OnLines(key, chunk);
  };
  callbacks.on_end = [this, key, alive = this->alive] {
    if (*alive)
      this->OnEnd(key);
  };
  callbacks.on_failed = [this, key,
                         alive = this->alive](const Http2Failure& failure) {
    if (*alive)
      this->OnFailure(key, failure);
  };
  Running& run = *this->running.at(key);
  AttemptRequest attempt = run.attempt;
  if (run.prefill_only)
    attempt.max_tokens = std::min(attempt.max_tokens, attempt.resume_from + 1);
  run.stream = engine.connection->Send(
      this->GenerateRequest(engine.spec.id, attempt), std::move(callbacks));
}

void EngineFleet::OnStreamDone(const AttemptKey& key,
                               std::string_view finish_reason) {
  Running& run = *this->running.at(key);
  // Any other reason means that the model ended the answer by itself.
  bool more = finish_reason == kCutReason &&
              run.attempt.resume_from < run.attempt.max_tokens;
  if (run.prefill_only && run.got_token && more) {
    this->HandOver(key);
    return;
  }
  this->CloseAttempt(key, AttemptEnd::kCompleted);
  this->listener.OnAttemptDone(key, finish_reason);
}

void EngineFleet::HandOver(const AttemptKey& key) {
  Running& run = *this->running.at(key);
  run.prefill_only = false;
  // The end of this stream comes after its last line; without the cancellation
  // it would be taken for the end of the decode stream.
  if (run.stream != nullptr)
    std::exchange(run.stream, nullptr)->Cancel();
  std::optional<uint32_t> chosen = run.router->ChooseDecode(key.Packed());
  if (!chosen) {
    this->FailAttempt(key, AttemptFailure::kRefused);
    return;
  }
  run.decode_engine = run.router->EngineId(*chosen);
  Engine* source = this->FindEngine(run.engine);
  Engine* target = this->FindEngine(run.decode_engine);
  if (source == nullptr || target == nullptr) {
    this->FailAttempt(key, AttemptFailure::kRefused);
    return;
  }
  if (source == target || run.blocks.empty()) {
    this->StartDecode(key, source == target);
    return;
  }
  run.transfer = TransferKv(
      *source->connection, *target->connection, run.blocks,
      [this, id = run.decode_engine] { return this->MayStart(id); },
      [this, key](bool moved) {
        this->context.metrics.Count("cranberryhill_kv_transfers_total",
                                    {{"moved", moved ? "true" : "false"}});
        this->StartDecode(key, moved);
      });
}

void EngineFleet::StartDecode(const AttemptKey& key, bool has_blocks) {
  auto found = this->running.find(key);
  if (found == this->running.end())
    return;
  Running& run = *found->second;
  Engine* engine = this->FindEngine(run.decode_engine);
  if (engine == nullptr || !this->MayStart(run.decode_engine)) {
    this->FailAttempt(key, AttemptFailure::kRefused);
    return;
  }
  run.engine = run.decode_engine;
  run.started = this->context.clock.Now();
  run.engine_started = false;
  run.buffer.clear();
  // Without the blocks the engine computes the prompt again.
  this->listener.OnAttemptHandedOver(
      key, run.engine, has_blocks ? run.token_gap : run.first_token,
      run.token_gap);
  this->SendGenerate(*engine, key);
}

void EngineFleet::OnLines(const AttemptKey& key, std::string_view chunk) {
  auto found = this->running.find(key);
  if (found == this->running.end() || found->second->status != kStatusOk)
    return;
  found->second->buffer.append(chunk);
  if (found->second->buffer.size() > kMaxLineBytes) {
    this->FailAttempt(key, AttemptFailure::kMalformedStream);
    return;
  }
  std::string buffer = std::move(found->second->buffer);
  size_t begin = 0;
  for (size_t end = buffer.find('\n'); end != std::string::npos;
       end = buffer.find('\n', begin)) {
    if (!this->OnLine(key, std::string_view(buffer).substr(begin, end - begin)))
      return;
    begin = end + 1;
  }
  found = this->running.find(key);
  if (found != this->running.end())
    found->second->buffer = buffer.substr(begin);
}

bool EngineFleet::OnLine(const AttemptKey& key, std::string_view line) {
  auto parsed = Capture([line] { return internal::ParseStreamLine(line); });
  if (!parsed.ok()) {
    this->FailAttempt(key, AttemptFailure::kMalformedStream);
    return false;
  }
  const internal::StreamLine& event = parsed.value();
  Running& run = *this->running.at(key);
  this->context.permission.OnUse(run.engine, this->context.clock.Now());
  if (event.done) {
    this->OnStreamDone(key, event.finish_reason);
    return false;
  }
  run.attempt.resume_from = event.index + 1;
  run.engine_started = true;
  if (!run.got_token) {
    run.got_token = true;
    run.router->OnFirstToken(key.Packed());
  } else {
    run.router->OnTokens(key.Packed(), 1);
  }
  this->listener.OnAttemptToken(key, event.index, event.token);
  return this->running.contains(key);
}

void EngineFleet::OnEnd(const AttemptKey& key) {
  auto found = this->running.find(key);
  if (found == this->running.end())
    return;
  // A stream that ends without its last line is incomplete.
  AttemptFailure failure = AttemptFailure::kMalformedStream;
  if (SaysNotRun(found->second->status))
    failure = AttemptFailure::kRefused;
  else if (found->second->status != kStatusOk)
    failure = AttemptFailure::kConnectionLost;
  this->FailAttempt(key, failure);
}

void EngineFleet::OnFailure(const AttemptKey& key,
                            const Http2Failure& failure) {
  auto found = this->running.find(key);
  if (found == this->running.end())
    return;
  AttemptFailure reason = AttemptFailure::kConnectionLost;
  if (!failure.may_have_been_sent)
    reason = AttemptFailure::kNotSent;
  else if (failure.reason == CloseReason::kRefused ||
           SaysNotRun(found->second->status))
    reason = AttemptFailure::kRefused;
  else if (failure.reason == CloseReason::kConnectionLost)
    reason = AttemptFailure::kEngineCrashed;
  this->FailAttempt(key, reason);
}

void EngineFleet::FailAttempt(const AttemptKey& key, AttemptFailure failure) {
  this->CloseAttempt(key, AttemptEnd::kFailed);
  this->listener.OnAttemptFailed(key, failure);
}

void EngineFleet::CloseAttempt(const AttemptKey& key, AttemptEnd end) {
  auto found = this->running.find(key);
  if (found == this->running.end())
    return;
  std::unique_ptr<Running> run = std::move(found->second);
  this->running.erase(found);
  run->transfer.reset();
  run->router->OnFinished(key.Packed(), end);
  if (run->stream != nullptr)
    run->stream->Cancel();
  static constexpr std::string_view kEnds[] = {"completed", "cancelled",
                                               "failed"};
  this->context.metrics.Count("cranberryhill_attempts_total",
                              {{"end", kEnds[static_cast<size_t>(end)]}});
}

void EngineFleet::Cancel(const AttemptKey& key) {
  this->CloseAttempt(key, AttemptEnd::kCancelled);
}

void EngineFleet::Probe(std::string_view id) {
  Engine* engine = this->FindEngine(id);
  if (engine == nullptr ||
      engine->connection->state() != Http2ConnectionState::kOpen) {
    return;
  }
  AttemptRequest probe;
  probe.request_id = "probe";
  probe.model = engine->spec.model;
  probe.prompt = "probe";
  probe.prompt_tokens = 1;
  probe.max_tokens = 1;
  probe.priority = kProbePriority;
  absl::Time now = this->context.clock.Now();
  Http2Callbacks callbacks;
  auto status = std::make_shared<int>(0);
  callbacks.on_headers = [status](int code, const Headers&) { *status = code; };
  callbacks.on_end = [this, id = std::string(id), now, status,
                      alive = this->alive] {
    if (*alive && *status == 200)
      this->context.permission.OnUse(id, now);
  };
  Http2ClientRequest request = this->GenerateRequest(engine->spec.id, probe);
  request.allow_send = [this, id = engine->spec.id, alive = this->alive] {
    return *alive && this->MayProbe(id);
  };
  engine->connection->Send(std::move(request), std::move(callbacks));
  this->context.metrics.Count("cranberryhill_probes_total");
}

absl::Duration EngineFleet::PollInterval() const {
  return std::max(kPollInterval,
                  absl::Seconds(static_cast<double>(this->engines.size()) /
                                kMaxPollsPerSecond));
}

void EngineFleet::Tick() {
  absl::Time now = this->context.clock.Now();
  // With many engines each tick looks at a part of them. The permission to
  // start work is asked again before each write in any case.
  size_t stride = 1 + this->engines.size() / kEnginesPerTick;
  size_t position = ++this->ticks;
  for (auto& [id, engine] : this->engines) {
    if (++position % stride != 0)
      continue;
    this->EndLateReads(*engine);
    if (engine->polling && now - engine->poll_sent > kPollTimeout) {
      engine->polling = false;
      this->context.members.OnContactFailed(id);
    }
    if (!engine->polling && now >= engine->next_poll &&
        engine->connection->state() == Http2ConnectionState::kOpen) {
      this->PollStatus(*engine, [](const std::optional<EngineReport>&) {});
    }
    this->UpdateUsable(*engine);
  }
}

void EngineFleet::PollStatus(Engine& engine, ReportCallback callback) {
  absl::Time now = this->context.clock.Now();
  engine.polling = true;
  engine.poll_sent = now;
  // Jitter keeps the polls of several instances apart.
  engine.next_poll =
      now +
      this->PollInterval() * (0.8 + 0.4 * this->context.random.UniformDouble());
  this->ReadBody(engine, "/v1/status", kMaxLineBytes,
                 [this, id = engine.spec.id, now, done = std::move(callback),
                  alive = this->alive](const std::optional<std::string>& body) {
                   if (!*alive)
                     return;
                   if (body) {
                     done(this->OnStatus(id, now, *body));
                     return;
                   }
                   if (Engine* polled = this->FindEngine(id); polled != nullptr)
                     polled->polling = false;
                   done(std::nullopt);
                 });
}

void EngineFleet::PollCacheEvents(Engine& engine) {
  this->ReadBody(
      engine,
      "/v1/cache_events?after=" + std::to_string(engine.last_cache_event),
      kMaxEventBytes,
      [this, id = engine.spec.id,
       alive = this->alive](const std::optional<std::string>& body) {
        if (*alive && body)
          this->OnCacheEvents(id, *body);
      });
}

void EngineFleet::ReadBody(Engine& engine,
                           std::string path,
                           size_t max_bytes,
                           BodyCallback done) {
  auto read = std::make_shared<BodyRead>();
  read->started = this->context.clock.Now();
  read->done = std::move(done);
  std::erase_if(engine.reads, [](const auto& other) { return !other->done; });
  engine.reads.push_back(read);
  Http2Callbacks callbacks;
  callbacks.on_data = [read, max_bytes,
                       id = engine.spec.id](std::string_view chunk) {
    if (read->body.size() + chunk.size() <= max_bytes) {
      read->body.append(chunk);
      return;
    }
    LogLine("engine {} answered a poll with more than {} bytes", id, max_bytes);
    read->End(/*failed=*/false);
  };
  callbacks.on_end = [read] { read->End(/*failed=*/false); };
  callbacks.on_failed = [read](const Http2Failure&) {
    read->End(/*failed=*/true);
  };
  read->stream = engine.connection->Send({"GET", std::move(path), {}, ""},
                                         std::move(callbacks));
}

void EngineFleet::EndLateReads(Engine& engine) {
  absl::Time now = this->context.clock.Now();
  // A copy, because a callback may begin another read.
  for (const auto& read : std::vector(engine.reads)) {
    if (!read->done || now - read->started <= kMaxReadTime)
      continue;
    LogLine("engine {} did not end its answer to a poll", engine.spec.id);
    read->End(/*failed=*/true);
  }
}

void EngineFleet::OnCacheEvents(const std::string& id, std::string_view body) {
  Engine* engine = this->FindEngine(id);
  if (engine == nullptr)
    return;
  auto events = Capture([body] { return internal::ParseCacheEvents(body); });
  if (!events.ok() || events.value().empty())
    return;
  engine->last_cache_event = events.value().back().sequence;
  engine->router->OnCacheEvents(engine->router_index, events.value());
}

std::optional<EngineReport> EngineFleet::OnStatus(const std::string& id,
                                                  absl::Time asked,
                                                  std::string_view body) {
  Engine* engine = this->FindEngine(id);
  if (engine == nullptr)
    return std::nullopt;
  engine->polling = false;
  auto status = Capture([body] { return internal::ParseEngineStatus(body); });
  if (!status.ok()) {
    LogLine("engine {} answered a status that is not valid: {}", id,
            status.error().ToString());
    engine->report.reset();
    this->UpdateUsable(*engine);
    return std::nullopt;
  }
  const internal::EngineStatus& current = status.value();
  this->context.members.OnContact(id, engine->incarnation);
  if (current.report.leaving)
    this->context.members.OnLeavingReported(id, engine->incarnation);
  engine->report = current.report;
  engine->router->SetRole(engine->router_index, current.role);
  LoadReport load = current.load;
  load.measured_at = asked - current.load_age;
  engine->router->OnLoadReport(engine->router_index, load);
  if (asked >= engine->next_cache_poll) {
    engine->next_cache_poll = asked + kCacheEventInterval;
    this->PollCacheEvents(*engine);
  }
  this->UpdateUsable(*engine);
  return engine->report;
}

std::vector<std::string> EngineFleet::EngineIds() const {
  std::vector<std::string> ids;
  for (const auto& [id, engine] : this->engines) {
    if (engine->configured)
      ids.push_back(id);
  }
  return ids;
}

const EngineReport* EngineFleet::ReportOf(std::string_view engine) const {
  const Engine* found = this->FindEngine(engine);
  return found == nullptr || !found->report ? nullptr : &*found->report;
}

size_t EngineFleet::RunningOn(std::string_view engine) const {
  return static_cast<size_t>(std::count_if(
      this->running.begin(), this->running.end(),
      [engine](const auto& item) { return item.second->engine == engine; }));
}

double EngineFleet::WorstSlowdown() const {
  double worst = 1;
  for (const auto& [id, engine] : this->engines)
    worst =
        std::max(worst, engine->router->SlowdownFactor(engine->router_index));
  return worst;
}

void EngineFleet::ReadStatus(std::string_view id, ReportCallback callback) {
  Engine* engine = this->FindEngine(id);
  if (engine == nullptr ||
      engine->connection->state() != Http2ConnectionState::kOpen) {
    callback(std::nullopt);
    return;
  }
  this->PollStatus(*engine, std::move(callback));
}

const IpAddress* EngineFleet::AddressOf(std::string_view engine) const {
  const Engine* found = this->FindEngine(engine);
  return found == nullptr ? nullptr : &found->address;
}

}  // namespace cranberryhill
