#include "standins/fake_engine.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "cranberryhill/base/hash.h"
#include "cranberryhill/base/json.h"

namespace cranberryhill {
namespace {

// Above this number of running streams each one becomes slower.
constexpr size_t kBatchSize = 16;
constexpr uint32_t kMaxTokens = 100000;
constexpr uint32_t kMaxPromptTokens = 1000000;
constexpr int kMaxPriority = 1000;
constexpr double kMinSlowFactor = 0.001;
constexpr double kMaxSlowFactor = 1000;
// Load reports lag by up to this much.
constexpr absl::Duration kLoadReportInterval = absl::Milliseconds(500);
// Lets the response to the fault request leave before its connection freezes.
constexpr absl::Duration kFreezeDelay = absl::Milliseconds(50);
// Gaps between tokens vary by this share in both directions.
constexpr double kJitter = 0.1;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

struct FakeEngine::Run {
  uint64_t id = 0;
  std::string model;
  std::string prompt;
  uint32_t prompt_tokens = 0;
  uint64_t next_index = 0;
  uint64_t max_tokens = 0;
  int64_t priority = 0;
  std::vector<uint64_t> blocks;
  WriterPointer writer;
  bool removed = false;
};

std::string FakeToken(std::string_view prompt, uint64_t index) {
  constexpr uint64_t kVocabulary = 50000;
  return " t" + std::to_string(StableHash(prompt, index) % kVocabulary);
}

FakeEngine::FakeEngine(EventLoop& loop,
                       const FakeEngineSettings& settings,
                       Random& random,
                       std::function<void()> crash)
    : loop(loop),
      settings(settings),
      random(random),
      crash(std::move(crash)),
      orders(settings.role, settings.models, settings.checks_fencing),
      cache(loop.clock()),
      idle_since(loop.clock().Now()) {
  this->UpdateLoadReport();
}

FakeEngine::~FakeEngine() = default;

void FakeEngine::After(absl::Duration delay, std::function<void()> task) {
  this->loop.RunAfter(
      delay, [weak = std::weak_ptr<bool>(this->alive), task = std::move(task)] {
        if (!weak.expired())
          task();
      });
}

Result<void> FakeEngine::Listen(const IpAddress& address) {
  auto handler = [this](const std::shared_ptr<Http2Request>& request,
                        const WriterPointer& writer) {
    std::string target = request->method() + " " + request->path();
    request->ReadWhole([this, target, writer](const std::string& body) {
      this->OnRequest(target, body, writer);
    });
  };
  BOOST_LEAF_ASSIGN(this->server,
                    ListenHttp2(this->loop, address, {}, handler));
  return {};
}

void FakeEngine::OnRequest(const std::string& target,
                           const std::string& body,
                           const WriterPointer& writer) {
  constexpr std::string_view kEvents = "GET /v1/cache_events";
  auto reply = [&](auto&& function) {
    auto outcome = Capture(function);
    if (outcome.ok())
      this->Reply(writer, kOk, outcome.value());
    else
      this->Refuse(writer, kBadRequest, "invalid_request",
                   outcome.error().ToString());
  };
  if (target == "POST /v1/generate") {
    this->Generate(body, writer);
  } else if (target == "GET /v1/status") {
    this->Reply(writer, kOk, this->StatusBody());
  } else if (target == "POST /v1/orders") {
    this->TakeOrder(body, writer);
  } else if (target.starts_with(kEvents)) {
    this->Reply(
        writer, kOk,
        this->CacheEventsBody(std::string_view(target).substr(kEvents.size())));
  } else if (target == "POST /v1/kv/export" || target == "POST /v1/kv/import") {
    reply([&] { return this->MoveBlocks(body, target.ends_with("import")); });
  } else if (target == "POST /faults") {
    reply([&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(this->SetFaults(body));
      return "{}";
    });
  } else {
    this->Refuse(writer, kNotFound, "not_found", "no such path: " + target);
  }
}

void FakeEngine::Reply(const WriterPointer& writer,
                       int status,
                       const std::string& body) const {
  Headers headers = {{"content-type", "application/json"}};
  if (this->faults.leaving)
    headers.push_back({"x-leaving", "true"});
  writer->SendHeaders(status, headers);
  writer->SendBody(body);
  writer->End();
}

void FakeEngine::Refuse(const WriterPointer& writer,
                        int status,
                        std::string_view code,
                        std::string_view message) const {
  Json error = {{"code", code}, {"outcome", "not_run"}, {"message", message}};
  this->Reply(writer, status, Json{{"error", error}}.dump());
}

Result<FakeEngine::RunPointer> FakeEngine::ParseRun(
    const std::string& body) const {
  BOOST_LEAF_AUTO(json, ParseJson(body, "request"));
  ObjectReader reader(json, "request");
  auto run = std::make_shared<Run>();
  BOOST_LEAF_ASSIGN(run->model, reader.String("model"));
  BOOST_LEAF_ASSIGN(run->prompt, reader.String("prompt"));
  BOOST_LEAF_AUTO(prompt_tokens,
                  reader.Int("prompt_tokens", {0, kMaxPromptTokens}));
  BOOST_LEAF_AUTO(resume_from, reader.Int("resume_from", {0, kMaxTokens}, 0));
  BOOST_LEAF_AUTO(max_tokens, reader.Int("max_tokens", {1, kMaxTokens}));
  BOOST_LEAF_ASSIGN(run->priority,
                    reader.Int("priority", {-kMaxPriority, kMaxPriority}, 0));
  run->prompt_tokens = static_cast<uint32_t>(prompt_tokens);
  run->next_index = static_cast<uint64_t>(resume_from);
  run->max_tokens = static_cast<uint64_t>(max_tokens);
  run->blocks = PromptBlocks(run->prompt, run->prompt_tokens);
  return run;
}

void FakeEngine::Generate(const std::string& body,
                          const WriterPointer& writer) {
  if (this->orders.changing()) {
    this->Refuse(writer, kUnavailable, "role_change",
                 "a role change is in progress");
    return;
  }
  auto parsed = Capture([&] { return this->ParseRun(body); });
  if (!parsed.ok()) {
    this->Refuse(writer, kBadRequest, "invalid_request",
                 parsed.error().ToString());
    return;
  }
  RunPointer run = parsed.value();
  if (!this->orders.HasModel(run->model)) {
    this->Refuse(writer, kNotFound, "model_not_loaded",
                 "model not loaded: " + run->model);
    return;
  }
  run->id = this->next_run++;
  run->writer = writer;
  writer->OnClosed([this, weak = std::weak_ptr<Run>(run)](CloseReason) {
    if (auto closed = weak.lock())
      this->Remove(closed);
  });
  this->queued.emplace(std::make_pair(-run->priority, run->id), run);
  this->StartPrefill();
}

void FakeEngine::StartPrefill() {
  if (this->prefilling || this->queued.empty())
    return;
  this->prefilling = this->queued.begin()->second;
  this->queued.erase(this->queued.begin());
  RunPointer run = this->prefilling;
  const std::string& bad = this->faults.crash_on_prompt;
  if (!bad.empty() && run->prompt.find(bad) != std::string::npos) {
    this->crash();
    return;
  }
  double cached = static_cast<double>(this->cache.CountLeading(run->blocks)) *
                  kEngineBlockTokens;
  double tokens = std::max(0.0, run->prompt_tokens - cached);
  absl::Duration time = absl::Seconds(
      tokens / this->settings.prefill_tokens_per_s * this->faults.slow_factor);
  this->After(time, [this, run] { this->FinishPrefill(run); });
}

void FakeEngine::FinishPrefill(const RunPointer& run) {
  if (run->removed)
    return;
  this->prefilling = nullptr;
  this->running[run->id] = run;
  this->cache.Store(run->blocks);
  Headers headers = {{"content-type", "application/jsonl"}};
  if (this->faults.leaving)
    headers.push_back({"x-leaving", "true"});
  run->writer->SendHeaders(kOk, headers);
  this->ScheduleToken(run);
  this->StartPrefill();
}

void FakeEngine::ScheduleToken(const RunPointer& run) {
  double crowding =
      std::max(1.0, static_cast<double>(this->running.size()) / kBatchSize);
  double jitter = 1 + kJitter * (2 * this->random.UniformDouble() - 1);
  absl::Duration gap =
      absl::Seconds(crowding * jitter * this->faults.slow_factor /
                    this->settings.tokens_per_s);
  this->After(gap, [this, run] { this->EmitToken(run); });
}

void FakeEngine::EmitToken(const RunPointer& run) {
  if (run->removed)
    return;
  if (run->next_index < run->max_tokens) {
    Json line = {{"index", run->next_index},
                 {"token", FakeToken(run->prompt, run->next_index)}};
    run->writer->SendBody(line.dump() + "\n");
    ++run->next_index;
    uint64_t& left = this->faults.crash_after_tokens;
    if (left > 0 && --left == 0) {
      this->crash();
      return;
    }
  }
  if (run->next_index < run->max_tokens) {
    this->ScheduleToken(run);
    return;
  }
  run->writer->SendBody(R"({"done":true,"finish_reason":"length"})"
                        "\n");
  run->writer->End();
  this->Remove(run);
}

void FakeEngine::Remove(const RunPointer& run) {
  if (run->removed)
    return;
  run->removed = true;
  this->queued.erase(std::make_pair(-run->priority, run->id));
  this->running.erase(run->id);
  if (this->prefilling == run)
    this->prefilling = nullptr;
  if (this->running.empty() && this->queued.empty() && !this->prefilling)
    this->idle_since = this->loop.clock().Now();
  this->StartPrefill();
}

void FakeEngine::TakeOrder(const std::string& body,
                           const WriterPointer& writer) {
  auto order = Capture([&] { return ParseEngineOrder(body); });
  if (!order.ok()) {
    this->Refuse(writer, kBadRequest, "invalid_request",
                 order.error().ToString());
    return;
  }
  OrderAnswer answer = this->orders.Take(order.value());
  if (!answer.message.empty()) {
    this->Refuse(writer, answer.status, answer.code, answer.message);
    return;
  }
  this->Reply(writer, kOk, R"({"accepted":true})");
  if (!answer.starts_role_change)
    return;
  this->InterruptRuns();
  this->After(this->settings.role_change,
              [this] { this->orders.FinishRoleChange(); });
}

// An engine that changes its role loses what it runs.
void FakeEngine::InterruptRuns() {
  std::vector<RunPointer> runs;
  for (const auto& [key, run] : this->queued)
    runs.push_back(run);
  for (const auto& [id, run] : this->running)
    runs.push_back(run);
  if (this->prefilling)
    runs.push_back(this->prefilling);
  this->queued.clear();
  for (const RunPointer& run : runs) {
    ++this->interrupted;
    run->writer->Reset(Http2Error::kInternalError);
    this->Remove(run);
  }
}

Result<void> FakeEngine::SetFaults(const std::string& body) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "faults"));
  ObjectReader reader(json, "faults");
  Faults changed = this->faults;
  BOOST_LEAF_ASSIGN(
      changed.slow_factor,
      reader.Double("slow_factor", {kMinSlowFactor, kMaxSlowFactor},
                    changed.slow_factor));
  BOOST_LEAF_AUTO(tokens,
                  reader.Int("crash_after_tokens", {},
                             static_cast<int64_t>(changed.crash_after_tokens)));
  changed.crash_after_tokens = static_cast<uint64_t>(tokens);
  BOOST_LEAF_ASSIGN(changed.crash_on_prompt,
                    reader.String("crash_on_prompt", changed.crash_on_prompt));
  BOOST_LEAF_ASSIGN(changed.leaving, reader.Bool("leaving", changed.leaving));
  BOOST_LEAF_AUTO(silent, reader.Bool("silent", false));
  bool ignores_now = !this->settings.checks_fencing;
  BOOST_LEAF_AUTO(ignore, reader.Bool("ignore_fencing", ignores_now));
  BOOST_LEAF_CHECK(reader.RefuseUnknownFields());
  this->faults = changed;
  if (json.contains("ignore_fencing"))
    this->orders.set_checks_fencing(!ignore);
  if (silent) {
    this->After(kFreezeDelay,
                [this] { this->server->FreezeOpenConnections(); });
  }
  return {};
}

Result<std::string> FakeEngine::MoveBlocks(const std::string& body,
                                           bool import) {
  BOOST_LEAF_AUTO(json, ParseJson(body, "request"));
  ObjectReader reader(json, "request");
  BOOST_LEAF_AUTO(array, reader.Array("blocks"));
  std::vector<uint64_t> blocks;
  for (const Json& block : *array) {
    if (!block.is_number_unsigned()) {
      return MakeError(ErrorCode::kInvalidArgument, "request.blocks",
                       block.dump(), "must hold block hashes");
    }
    blocks.push_back(block.get<uint64_t>());
  }
  if (import)
    this->cache.Store(blocks);
  else
    std::erase_if(blocks, [&](uint64_t b) { return !this->cache.Holds(b); });
  return Json{{"blocks", blocks}}.dump();
}

void FakeEngine::UpdateLoadReport() {
  this->load = {this->running.size(),
                this->queued.size() + (this->prefilling ? 1 : 0),
                this->loop.clock().Now()};
  this->After(kLoadReportInterval, [this] { this->UpdateLoadReport(); });
}

std::string FakeEngine::StatusBody() {
  absl::Time now = this->loop.clock().Now();
  size_t waiting = this->queued.size() + (this->prefilling ? 1 : 0);
  bool idle = this->running.empty() && waiting == 0;
  Json models = Json::array();
  for (const EngineModel& m : this->orders.models()) {
    models.push_back(
        {{"model", m.model}, {"version", m.version}, {"adapter", m.adapter}});
  }
  Json last = nullptr;
  if (const auto& order = this->orders.last_order()) {
    last = {{"fencing_number", order->fencing_number},
            {"order_number", order->order_number},
            {"kind", order->kind},
            {"role", order->role},
            {"model", order->model.model},
            {"version", order->model.version},
            {"adapter", order->model.adapter}};
  }
  Json status = {{"role", this->orders.role()},
                 {"changing", this->orders.changing()},
                 {"models", models},
                 {"running", this->running.size()},
                 {"queued", waiting},
                 {"idle_for_ms",
                  idle ? absl::ToInt64Milliseconds(now - this->idle_since) : 0},
                 {"leaving", this->faults.leaving},
                 {"last_order", last},
                 {"fencing_number", this->orders.highest_fencing_number()},
                 {"interrupted", this->interrupted},
                 {"load",
                  {{"age_ms", absl::ToInt64Milliseconds(now - this->load.time)},
                   {"running", this->load.running},
                   {"queued", this->load.queued},
                   {"cached_blocks", this->cache.size()}}}};
  return status.dump();
}

std::string FakeEngine::CacheEventsBody(std::string_view query) const {
  constexpr std::string_view kAfter = "?after=";
  uint64_t after = 0;
  if (query.starts_with(kAfter)) {
    std::string_view text = query.substr(kAfter.size());
    std::from_chars(text.data(), text.data() + text.size(), after);
  }
  Json events = Json::array();
  for (const FakeCacheEvent& event : this->cache.EventsAfter(after)) {
    events.push_back({{"sequence", event.sequence},
                      {"block", event.block},
                      {"stored", event.stored}});
  }
  return Json{{"events", events}}.dump();
}

}  // namespace cranberryhill
