#include "programs/bench/entry_policy.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "absl/container/flat_hash_map.h"

namespace cranberryhill::bench {
namespace {

enum class Rule { kRoundRobin, kLeastOutstanding, kTwoChoices };

// Sends each request at once. Engines are chosen without regard to cost.
class BaselinePolicy : public EntryPolicy {
 public:
  BaselinePolicy(Rule rule, const EntryContext& context)
      : rule(rule), context(context), engines(context.engines.size()) {
    for (size_t i = 0; i < this->engines.size(); ++i)
      this->engines[i].role = context.engines[i].role;
  }

  void OnArrival(const RequestSpec& spec) override { this->Send(spec.id); }

  void OnLost(const LostRequest& lost) override { this->Send(lost.spec->id); }

  void OnTick() override {
    for (uint64_t request : std::exchange(this->unsent, {}))
      this->Send(request);
  }

  void OnReport(uint32_t engine, const LoadReport& report) override {
    Engine& state = this->engines[engine];
    state.reported = report.running + report.queued;
    state.sent_since_report = 0;
  }

  void SetUsable(uint32_t engine, bool usable) override {
    this->engines[engine].usable = usable;
  }

  void SetRole(uint32_t engine, EngineRole role) override {
    this->engines[engine].role = role;
  }

  std::optional<uint32_t> DecodeEngine(uint64_t job) override {
    auto chosen = this->Pick(EngineRole::kDecode, this->next_decode);
    if (chosen)
      this->Move(job, *chosen);
    return chosen;
  }

  void OnFinished(uint64_t job, AttemptEnd, uint32_t) override {
    auto found = this->engine_of.find(job);
    if (found == this->engine_of.end())
      return;
    --this->engines[found->second].outstanding;
    this->engine_of.erase(found);
  }

 private:
  struct Engine {
    EngineRole role = EngineRole::kMixed;
    bool usable = true;
    uint32_t outstanding = 0;
    uint32_t reported = 0;
    uint32_t sent_since_report = 0;
  };

  void Send(uint64_t request) {
    auto engine = this->Pick(EngineRole::kPrefill, this->next_prefill);
    if (!engine) {
      this->unsent.push_back(request);
      return;
    }
    uint64_t job = this->context.actions.NewJob(request);
    this->engine_of[job] = *engine;
    ++this->engines[*engine].outstanding;
    ++this->engines[*engine].sent_since_report;
    // Where the decode runs is decided at the end of the prefill; any other
    // index only marks that it runs elsewhere.
    bool elsewhere = this->engines[*engine].role == EngineRole::kPrefill;
    this->context.actions.Start(job, *engine, elsewhere ? UINT32_MAX : *engine,
                                false);
  }

  void Move(uint64_t job, uint32_t engine) {
    uint32_t& current = this->engine_of[job];
    --this->engines[current].outstanding;
    ++this->engines[engine].outstanding;
    ++this->engines[engine].sent_since_report;
    current = engine;
  }

  bool Fits(const Engine& engine, EngineRole role) const {
    return engine.usable &&
           (engine.role == role || engine.role == EngineRole::kMixed);
  }

  uint32_t LoadOf(const Engine& engine) const {
    return this->rule == Rule::kLeastOutstanding
               ? engine.outstanding
               : engine.reported + engine.sent_since_report;
  }

  std::optional<uint32_t> Pick(EngineRole role, uint32_t& next) {
    std::vector<uint32_t> fitting;
    for (uint32_t i = 0; i < this->engines.size(); ++i) {
      if (this->Fits(this->engines[i], role))
        fitting.push_back(i);
    }
    if (fitting.empty())
      return std::nullopt;
    auto random = [&] {
      return fitting[this->context.random.UniformInt(0, fitting.size() - 1)];
    };
    auto less = [&](uint32_t a, uint32_t b) {
      return this->LoadOf(this->engines[a]) < this->LoadOf(this->engines[b]);
    };
    switch (this->rule) {
      case Rule::kRoundRobin:
        return fitting[next++ % fitting.size()];
      case Rule::kLeastOutstanding:
        // Starting at a different engine each time spreads ties.
        std::rotate(fitting.begin(),
                    fitting.begin() +
                        static_cast<std::ptrdiff_t>(next++ % fitting.size()),
                    fitting.end());
        return *std::min_element(fitting.begin(), fitting.end(), less);
      case Rule::kTwoChoices:
        break;
    }
    return std::min(random(), random(), less);
  }

  const Rule rule;
  EntryContext context;
  std::vector<Engine> engines;
  absl::flat_hash_map<uint64_t, uint32_t> engine_of;
  std::vector<uint64_t> unsent;
  uint32_t next_prefill = 0;
  uint32_t next_decode = 0;
};

}  // namespace

const std::vector<PolicyInfo>& Policies() {
  static const std::vector<PolicyInfo> kAll{
      {"full", "the policy of the daemon", true, true, true},
      {"round_robin", "engines in turn, no admission control"},
      {"least_outstanding", "fewest own requests, no admission control"},
      {"two_choices", "less loaded of two random engines by reported load"},
      {"static_roles", "full without role changes"},
      {"greedy_roles", "full with roles that follow the momentary mix", true,
       false, true},
      {"first_come",
       "full without fair queue, lanes, priorities and early refusal", true,
       true, false},
  };
  return kAll;
}

const PolicyInfo* FindPolicy(std::string_view name) {
  for (const PolicyInfo& info : Policies()) {
    if (info.name == name)
      return &info;
  }
  return nullptr;
}

std::unique_ptr<EntryPolicy> MakeEntryPolicy(std::string_view name,
                                             const EntryContext& context) {
  if (name == "round_robin")
    return std::make_unique<BaselinePolicy>(Rule::kRoundRobin, context);
  if (name == "least_outstanding")
    return std::make_unique<BaselinePolicy>(Rule::kLeastOutstanding, context);
  if (name == "two_choices")
    return std::make_unique<BaselinePolicy>(Rule::kTwoChoices, context);
  return MakeFullPolicy(name, context);
}

}  // namespace cranberryhill::bench
