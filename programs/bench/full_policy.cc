// The policy libraries as the daemon wires them: one router, one admission
// queue, one output predictor and the attempt budgets per entry instance.

#include <algorithm>
#include <string>
#include <utility>

#include <fmt/format.h>

#include "absl/container/flat_hash_map.h"
#include "cranberryhill/admission/admission_queue.h"
#include "cranberryhill/admission/attempt_retry_budget.h"
#include "cranberryhill/cost/output_predictor.h"
#include "programs/bench/entry_policy.h"

namespace cranberryhill::bench {
namespace {

std::string ZoneName(uint32_t zone) {
  return fmt::format("zone-{}", zone);
}

std::string CustomerName(uint32_t customer) {
  return fmt::format("customer-{}", customer);
}

RouterOptions RouterOptionsOf(std::string_view name,
                              const EntryContext& context) {
  RouterOptions options;
  options.zone = ZoneName(context.zone);
  options.entry_instances = context.zone_instances;
  options.instance_index = context.zone_index;
  options.reserve_engines_for_long = name != "first_come";
  return options;
}

AdmissionOptions AdmissionOptionsOf(std::string_view name) {
  AdmissionOptions options;
  if (name == "first_come") {
    options.fair_queueing = false;
    options.separate_lanes = false;
    options.early_refusal = false;
  }
  return options;
}

class FullPolicy : public EntryPolicy, public DispatchGate {
 public:
  FullPolicy(std::string_view name, const EntryContext& context)
      : context(context),
        router(context.clock, context.random, RouterOptionsOf(name, context)),
        queue(context.clock, AdmissionOptionsOf(name)),
        retries(context.clock, kRetryBudget) {
    for (const EngineInfo& engine : context.engines)
      this->router.AddEngine(engine.id, ZoneName(engine.zone), engine.role);
  }

  void OnArrival(const RequestSpec& spec) override {
    this->retries.OnRequest();
    Pending pending = this->MakePending(spec);
    RequestEstimate estimate = this->router.EstimateWork(pending.route);
    this->observed.prefill_s += absl::ToDoubleSeconds(estimate.prefill);
    this->observed.decode_s += absl::ToDoubleSeconds(estimate.decode);
    AdmissionRequest request{.id = spec.id,
                             .customer = CustomerName(spec.customer),
                             .work = estimate.prefill + estimate.decode,
                             .first_token_by = pending.route.first_token_by,
                             .min_first_token = estimate.min_first_token};
    this->pending.insert_or_assign(spec.id, pending);
    if (auto refusal = this->queue.TryEnqueue(std::move(request))) {
      this->Refuse(spec.id, *refusal);
      return;
    }
    this->PollQueue();
  }

  void OnLost(const LostRequest& lost) override {
    Pending pending = this->MakePending(*lost.spec);
    pending.route.prompt_tokens += lost.tokens_done;
    pending.route.output.mean =
        std::max(1.0, pending.route.output.mean - lost.tokens_done);
    pending.tried = {lost.engine};
    this->pending.insert_or_assign(lost.spec->id, pending);
    this->lost.push_back(lost.spec->id);
    this->ResumeLost();
  }

  void OnTick() override {
    this->ResumeLost();
    this->PollQueue();
  }

  bool TryStart(uint64_t request) override {
    Pending& pending = this->pending.at(request);
    auto decision = this->router.Choose(pending.route);
    if (!decision || !decision->in_time)
      return false;
    this->Send(pending, *decision);
    return true;
  }

  void OnReport(uint32_t engine, const LoadReport& report) override {
    this->router.OnLoadReport(engine, report);
  }

  void OnCacheEvents(uint32_t engine,
                     std::span<const CacheEvent> events) override {
    this->router.OnCacheEvents(engine, events);
  }

  void SetUsable(uint32_t engine, bool usable) override {
    this->router.SetUsable(engine, usable);
  }

  void SetRole(uint32_t engine, EngineRole role) override {
    this->router.SetRole(engine, role);
  }

  void OnRestarted(uint32_t engine) override {
    this->router.OnEngineRestarted(engine);
  }

  std::optional<uint32_t> DecodeEngine(uint64_t job) override {
    return this->router.ChooseDecode(job);
  }

  void OnFirstToken(uint64_t job) override { this->router.OnFirstToken(job); }

  void OnTokens(uint64_t job, uint32_t count) override {
    this->router.OnTokens(job, count);
  }

  void OnFinished(uint64_t job, AttemptEnd end, uint32_t tokens) override {
    this->router.OnFinished(job, end);
    auto found = this->request_of.find(job);
    if (found == this->request_of.end())
      return;
    const RequestSpec& spec = *found->second;
    if (end == AttemptEnd::kCompleted) {
      this->predictor.Observe(CustomerName(spec.customer), KindName(spec.kind),
                              tokens);
    }
    this->request_of.erase(found);
  }

  ObservedWork TakeObservedWork() override {
    return std::exchange(this->observed, {});
  }

 private:
  struct Pending {
    const RequestSpec* spec = nullptr;
    RouteRequest route;
    std::vector<uint32_t> tried;
  };

  Pending MakePending(const RequestSpec& spec) const {
    Pending pending{.spec = &spec, .route = {}, .tried = {}};
    pending.route.prompt_tokens = spec.prompt_tokens;
    pending.route.blocks = spec.blocks;
    pending.route.output = this->predictor.Predict(CustomerName(spec.customer),
                                                   KindName(spec.kind), 0);
    double limit = kFirstTokenLimitS;
    if (spec.deadline > 0)
      limit = spec.deadline - pending.route.output.high * kGapLimitS;
    pending.route.first_token_by =
        absl::UnixEpoch() + absl::Seconds(spec.arrival + limit -
                                          2 * this->context.client_latency_s);
    return pending;
  }

  void Send(Pending& pending, const RouteDecision& decision) {
    uint64_t request = pending.spec->id;
    uint64_t job = this->context.actions.NewJob(request);
    pending.route.id = job;
    this->router.OnSent(pending.route, decision);
    this->request_of[job] = pending.spec;
    this->context.actions.Start(job, decision.engine, decision.decode_engine,
                                decision.low_priority);
    this->pending.erase(request);
  }

  void Refuse(uint64_t request, const AdmissionRefusal& refusal) {
    this->pending.erase(request);
    this->context.actions.Refuse(request, refusal.retry_after);
  }

  void PollQueue() {
    for (const AdmissionAction& action : this->queue.Poll(*this)) {
      if (action.kind == AdmissionActionKind::kRefuse)
        this->Refuse(action.request, action.refusal);
    }
  }

  // Accepted requests are resumed before new ones are started, and even when
  // they will be late, as long as the retry budget lasts.
  void ResumeLost() {
    for (uint64_t request : std::exchange(this->lost, {})) {
      Pending& pending = this->pending.at(request);
      pending.route.excluded = pending.tried;
      auto decision = this->router.Choose(pending.route);
      if (!decision || !this->retries.TryTake()) {
        this->lost.push_back(request);
        continue;
      }
      this->Send(pending, *decision);
    }
  }

  EntryContext context;
  Router router;
  AdmissionQueue queue;
  OutputPredictor predictor;
  AttemptRetryBudget retries;
  absl::flat_hash_map<uint64_t, Pending> pending;
  absl::flat_hash_map<uint64_t, const RequestSpec*> request_of;
  std::vector<uint64_t> lost;
  ObservedWork observed;
};

}  // namespace

std::unique_ptr<EntryPolicy> MakeFullPolicy(std::string_view name,
                                            const EntryContext& context) {
  return std::make_unique<FullPolicy>(name, context);
}

}  // namespace cranberryhill::bench
