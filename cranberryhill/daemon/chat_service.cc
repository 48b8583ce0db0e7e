#include "cranberryhill/daemon/chat_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "cranberryhill/daemon/internal/refusals.h"

namespace cranberryhill {
namespace {

// Kind of call under which output lengths are learned.
std::string_view KindOf(CallerApi api) {
  return api == CallerApi::kChatCompletions ? "chat" : "completion";
}

}  // namespace

BudgetPermits::BudgetPermits(const Clock& clock)
    : retries(clock, kRetryBudget), hedges(clock, kHedgeBudget) {}

void BudgetPermits::OnRequest() {
  this->retries.OnRequest();
  this->hedges.OnRequest();
}

bool BudgetPermits::TryRetry(absl::Time /*now*/) {
  return this->retries.TryTake();
}

bool BudgetPermits::TryHedge(absl::Time /*now*/) {
  return this->hedges.TryTake();
}

struct ChatService::Chat {
  ChatId id = 0;
  std::string request_id;
  std::string customer;
  CompletionRequest request;
  std::shared_ptr<ChatSink> sink;
  std::unique_ptr<RequestStateMachine> life;
  std::vector<uint64_t> blocks;
  OutputEstimate output;
  uint64_t fingerprint = 0;
  absl::Time arrived;
  absl::Time deadline;
  absl::Time first_token_by;
  absl::Time first_token;
  absl::Time last_token;
  bool started = false;
  bool ran_alone = false;
  bool done = false;
};

ChatService::ChatService(const Dependencies& dependencies)
    : context(dependencies),
      queue(dependencies.clock, AdmissionOptions{}),
      permits(dependencies.clock) {}

ChatService::~ChatService() = default;

void ChatService::SetFleet(EngineFleet& engine_fleet) {
  this->fleet = &engine_fleet;
}

void ChatService::SetDocument(std::shared_ptr<const VersionInForce> version) {
  this->document = std::move(version);
  for (const CustomerSpec& customer : this->document->document.customers) {
    this->queue.SetWeight(customer.name, customer.weight);
    for (const ModelSpec& model : this->document->document.models) {
      this->context.limits.SetLimit(
          customer.name, model.name,
          {customer.requests_per_s, customer.tokens_per_s});
    }
  }
}

ChatService::Chat* ChatService::Find(ChatId id) {
  auto found = this->chats.find(id);
  return found == this->chats.end() || found->second->done
             ? nullptr
             : found->second.get();
}

void ChatService::Refuse(ChatSink& sink, const Refusal& refusal) {
  this->context.metrics.Count(
      "cranberryhill_refusals_total",
      {{"code", RefusalCodeName(refusal.code)},
       {"outcome", RefusalOutcomeName(refusal.outcome)}});
  sink.OnRefusal(refusal);
}

bool ChatService::RefuseEarly(const CallerHeaders& headers,
                              const CompletionRequest& request,
                              ChatSink& sink) {
  if (!this->accepting) {
    Refusal refusal =
        MakeRefusal(RefusalCode::kShuttingDown, RefusalOutcome::kNotRun,
                    "this instance is shutting down");
    refusal.retry_after = absl::ZeroDuration();
    this->Refuse(sink, refusal);
    return true;
  }
  if (this->document == nullptr) {
    Refusal refusal =
        MakeRefusal(RefusalCode::kOverloaded, RefusalOutcome::kNotRun,
                    "no configuration is in force yet");
    refusal.retry_after = absl::Seconds(1);
    this->Refuse(sink, refusal);
    return true;
  }
  if (this->fleet->RouterOf(request.model) == nullptr) {
    this->Refuse(sink,
                 MakeRefusal(RefusalCode::kNotFound, RefusalOutcome::kNotRun,
                             fmt::format("model: value \"{}\": no such "
                                         "model in this environment",
                                         request.model),
                             "model"));
    return true;
  }
  if (this->chats.size() >=
      static_cast<size_t>(this->context.settings.max_requests)) {
    Refusal refusal =
        MakeRefusal(RefusalCode::kOverloaded, RefusalOutcome::kNotRun,
                    "too many requests in progress on this instance");
    refusal.retry_after = absl::Seconds(1);
    this->Refuse(sink, refusal);
    return true;
  }
  OutputEstimate output =
      this->predictor.Predict(headers.customer, KindOf(request.api),
                              static_cast<uint32_t>(request.max_tokens));
  UsageDecision usage = this->context.limits.TryConsume(
      headers.customer, request.model,
      static_cast<double>(request.prompt_tokens) + output.mean);
  if (!usage.allowed) {
    Refusal refusal =
        MakeRefusal(RefusalCode::kCustomerLimit, RefusalOutcome::kNotRun,
                    "the customer's limit for this model is used up");
    refusal.retry_after = usage.retry_after;
    this->Refuse(sink, refusal);
    return true;
  }
  return false;
}

ChatId ChatService::Submit(const CallerHeaders& headers,
                           const CompletionRequest& request,
                           std::shared_ptr<ChatSink> sink) {
  ChatId id = ++this->last_id;
  if (this->RefuseEarly(headers, request, *sink))
    return id;
  absl::Time now = this->context.clock.Now();
  auto chat = std::make_unique<Chat>();
  chat->id = id;
  chat->request_id = fmt::format("{:x}-{}", this->context.incarnation, id);
  chat->customer = headers.customer;
  chat->request = request;
  chat->sink = std::move(sink);
  chat->arrived = now;
  absl::Duration limit =
      headers.time_left.value_or(this->context.settings.default_time_limit);
  chat->deadline = now + limit;
  chat->fingerprint =
      RequestFingerprint(headers.customer, request.model, request.prompt);
  chat->blocks =
      HashBlocks(request.prompt, static_cast<uint32_t>(request.prompt_tokens));
  chat->output =
      this->predictor.Predict(headers.customer, KindOf(request.api),
                              static_cast<uint32_t>(request.max_tokens));
  chat->life = std::make_unique<RequestStateMachine>(
      RequestSpec{chat->request_id, chat->fingerprint, chat->deadline},
      RequestPolicy{}, this->permits, this->context.crashes);
  this->permits.OnRequest();
  Chat& stored = *(this->chats[id] = std::move(chat));
  this->Admit(stored);
  return id;
}

void ChatService::Admit(Chat& chat) {
  const RequestEstimate estimate =
      this->fleet->RouterOf(chat.request.model)->EstimateWork(RouteOf(chat));
  ArrivedWork& work = this->arrived[chat.request.model];
  work.prefill_s += absl::ToDoubleSeconds(estimate.prefill);
  work.decode_s += absl::ToDoubleSeconds(estimate.decode);

  AdmissionRequest request;
  request.id = chat.id;
  request.customer = chat.customer;
  request.work = estimate.prefill + estimate.decode;
  request.min_first_token = estimate.min_first_token;
  // A prompt that cannot meet the target even on an idle engine is served as
  // soon as it can be; its caller's own deadline still holds.
  absl::Duration target = std::max(this->context.settings.first_token_target,
                                   2 * request.min_first_token);
  request.first_token_by = std::min(chat.arrived + target, chat.deadline);
  chat.first_token_by = request.first_token_by;
  std::optional<AdmissionRefusal> refused = this->queue.TryEnqueue(request);
  if (refused) {
    Refusal refusal =
        MakeRefusal(RefusalCode::kOverloaded, RefusalOutcome::kNotRun,
                    "no engine can serve the request in time");
    refusal.retry_after = refused->retry_after;
    this->Refuse(*chat.sink, refusal);
    this->Finish(chat, "refused");
    return;
  }
  this->PollQueue();
}

RouteRequest ChatService::RouteOf(const Chat& chat) const {
  RouteRequest route;
  uint32_t forwarded = chat.life->next_index();
  route.id = chat.id;
  route.prompt_tokens =
      static_cast<uint32_t>(chat.request.prompt_tokens) + forwarded;
  route.output = chat.output;
  route.first_token_by = chat.first_token_by;
  route.blocks = chat.blocks;
  return route;
}

bool ChatService::TryStart(uint64_t id) {
  Chat* chat = this->Find(id);
  if (chat == nullptr)
    return true;  // Cancelled meanwhile; leaves the queue.
  Router* router = this->fleet->RouterOf(chat->request.model);
  std::optional<RouteDecision> decision =
      router == nullptr ? std::nullopt : router->Choose(this->RouteOf(*chat));
  if (!decision || !decision->in_time)
    return false;
  chat->started = true;
  this->context.metrics.Observe(
      "cranberryhill_wait_seconds", {},
      absl::ToDoubleSeconds(this->context.clock.Now() - chat->arrived));
  this->Apply(id, chat->life->Start(this->context.clock.Now()));
  return true;
}

void ChatService::PollQueue() {
  for (const AdmissionAction& action : this->queue.Poll(*this)) {
    if (action.kind != AdmissionActionKind::kRefuse)
      continue;
    Chat* chat = this->Find(action.request);
    if (chat == nullptr)
      continue;
    Refusal refusal =
        MakeRefusal(RefusalCode::kOverloaded, RefusalOutcome::kNotRun,
                    "no engine could serve the request in time");
    refusal.retry_after = action.refusal.retry_after;
    this->Refuse(*chat->sink, refusal);
    this->Finish(*chat, "refused");
  }
}

void ChatService::Apply(ChatId id, const RequestActions& actions) {
  for (const RequestAction& action : actions) {
    Chat* chat = this->Find(id);
    if (chat == nullptr)
      return;
    std::visit([this, chat](const auto& a) { this->Carry(*chat, a); }, action);
  }
}

void ChatService::Carry(Chat& chat, const StartAttempt& action) {
  absl::Time now = this->context.clock.Now();
  AttemptRequest attempt;
  attempt.key = {chat.id, action.attempt};
  attempt.request_id = chat.request_id;
  attempt.model = chat.request.model;
  attempt.prompt = chat.request.prompt;
  attempt.prompt_tokens = static_cast<uint32_t>(chat.request.prompt_tokens);
  attempt.resume_from = action.resume_from;
  attempt.max_tokens = static_cast<uint32_t>(chat.request.max_tokens);
  attempt.deadline = chat.deadline;
  attempt.fingerprint = chat.fingerprint;
  RouteRequest route = this->RouteOf(chat);
  route.run_alone = action.run_alone;
  chat.ran_alone = action.run_alone;
  std::vector<uint32_t> excluded;
  for (const std::string& engine : action.tried_engines) {
    if (auto index = this->fleet->RouterIndexOf(engine))
      excluded.push_back(*index);
  }
  route.excluded = excluded;
  std::optional<Placement> placement = this->fleet->Place(attempt, route);
  // When all engines have been tried, any of them is better than none.
  if (!placement && !excluded.empty() && !action.hedge && !action.run_alone) {
    route.excluded = {};
    placement = this->fleet->Place(attempt, route);
  }
  if (!placement) {
    this->Apply(chat.id, chat.life->OnNoEngineAvailable(action.attempt, now));
    return;
  }
  if (action.hedge)
    this->context.metrics.Count("cranberryhill_hedges_total");
  this->Apply(chat.id, chat.life->OnPlaced(action.attempt, placement->engine,
                                           placement->first_token,
                                           placement->token_gap, now));
}

void ChatService::Carry(Chat& chat, const CancelAttempt& action) {
  this->fleet->Cancel({chat.id, action.attempt});
}

void ChatService::Carry(Chat& chat, const ForwardToken& action) {
  absl::Time now = this->context.clock.Now();
  if (action.index == 0) {
    chat.first_token = now;
    this->context.metrics.Observe("cranberryhill_first_token_seconds", {},
                                  absl::ToDoubleSeconds(now - chat.arrived));
  }
  chat.last_token = now;
  chat.sink->OnToken(action.token);
}

void ChatService::Carry(Chat& chat, const FinishAnswer& action) {
  uint32_t tokens = chat.life->next_index();
  this->predictor.Observe(chat.customer, KindOf(chat.request.api), tokens);
  this->context.limits.AdjustTokens(
      chat.customer, chat.request.model,
      static_cast<double>(tokens) - chat.output.mean);
  if (chat.ran_alone)
    this->context.crashes.OnRanAlone(chat.fingerprint);
  if (tokens > 1) {
    this->context.metrics.Observe(
        "cranberryhill_token_gap_seconds", {},
        absl::ToDoubleSeconds(chat.last_token - chat.first_token) /
            (tokens - 1));
  }
  chat.sink->OnFinish(action.finish_reason, tokens);
  this->Finish(chat, "answered");
}

void ChatService::Carry(Chat& chat, const FinishFailure& action) {
  this->Refuse(*chat.sink, internal::RefusalOf(action));
  this->Finish(chat, "failed");
}

void ChatService::Finish(Chat& chat, std::string_view end) {
  chat.done = true;
  this->finished.push_back(chat.id);
  this->context.metrics.Count("cranberryhill_chats_total", {{"end", end}});
  this->context.metrics.Count("cranberryhill_tokens_total", {},
                              chat.life->next_index());
  this->context.metrics.Count("cranberryhill_dropped_tokens_total", {},
                              static_cast<double>(chat.life->dropped_tokens()));
}

void ChatService::Cancel(ChatId id) {
  Chat* chat = this->Find(id);
  if (chat == nullptr)
    return;
  this->queue.Cancel(id);
  this->Apply(id, chat->life->OnCallerDisconnected(this->context.clock.Now()));
  this->Finish(*chat, "caller_gone");
}

void ChatService::Tick() {
  absl::Time now = this->context.clock.Now();
  std::vector<ChatId> ids;
  ids.reserve(this->chats.size());
  for (const auto& [id, chat] : this->chats) {
    if (chat->started && !chat->done)
      ids.push_back(id);
  }
  for (ChatId id : ids) {
    if (Chat* chat = this->Find(id))
      this->Apply(id, chat->life->Tick(now));
  }
  this->PollQueue();
  for (ChatId id : this->finished)
    this->chats.erase(id);
  this->finished.clear();
  this->context.metrics.Set("cranberryhill_chats_running", {},
                            static_cast<double>(this->chats.size()));
  this->context.metrics.Set("cranberryhill_chats_waiting", {},
                            static_cast<double>(this->queue.Size()));
}

void ChatService::MoveAwayFrom(std::string_view engine) {
  absl::Time now = this->context.clock.Now();
  std::vector<ChatId> ids;
  for (const auto& [id, chat] : this->chats)
    ids.push_back(id);
  for (ChatId id : ids) {
    Chat* chat = this->Find(id);
    if (chat == nullptr)
      continue;
    RequestActions actions = chat->life->MoveFromEngine(engine, now);
    if (!actions.empty())
      this->context.metrics.Count("cranberryhill_moved_streams_total");
    this->Apply(id, actions);
  }
}

ArrivedWork ChatService::TakeArrivedWork(std::string_view model) {
  auto found = this->arrived.find(model);
  if (found == this->arrived.end())
    return {};
  return std::exchange(found->second, ArrivedWork{});
}

void ChatService::OnAttemptToken(const AttemptKey& key,
                                 uint32_t index,
                                 std::string_view token) {
  if (Chat* chat = this->Find(key.request)) {
    this->Apply(key.request, chat->life->OnToken(key.attempt, index, token,
                                                 this->context.clock.Now()));
  }
}

void ChatService::OnAttemptDone(const AttemptKey& key,
                                std::string_view finish_reason) {
  if (Chat* chat = this->Find(key.request)) {
    this->Apply(key.request, chat->life->OnDone(key.attempt, finish_reason,
                                                this->context.clock.Now()));
  }
  this->PollQueue();
}

void ChatService::OnAttemptFailed(const AttemptKey& key,
                                  AttemptFailure failure) {
  if (Chat* chat = this->Find(key.request)) {
    this->Apply(key.request,
                chat->life->OnAttemptFailed(key.attempt, failure,
                                            this->context.clock.Now()));
  }
}

void ChatService::OnAttemptHandedOver(const AttemptKey& key,
                                      std::string_view engine,
                                      absl::Duration first_token,
                                      absl::Duration token_gap) {
  if (Chat* chat = this->Find(key.request)) {
    this->Apply(key.request,
                chat->life->OnPlaced(key.attempt, engine, first_token,
                                     token_gap, this->context.clock.Now()));
  }
}

}  // namespace cranberryhill
