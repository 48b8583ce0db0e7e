// Simulates several instances that share engines, on a virtual clock.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/forward/placement.h"
#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

constexpr int kInstances = 24;
constexpr int kPrefillEngines = 8;
constexpr int kDecodeEngines = 4;
constexpr int kSharedPrefixes = 40;
/// The interval that gateway/peer_link uses with this many instances.
constexpr absl::Duration kMessageInterval = absl::Milliseconds(6 * kInstances);
constexpr double kPrefillMsPerToken = 0.0098;
constexpr absl::Duration kSimulatedTime = absl::Seconds(20);

struct Instance {
  Instance(const std::string& name, const Clock& clock)
      : replicas(clock), sync(name, 1, clock) {
    for (int i = 0; i < kPrefillEngines + kDecodeEngines; ++i) {
      this->replicas.Apply(MakeEntry(
          "e" + std::to_string(i), "a",
          i < kPrefillEngines ? EngineRole::kPrefill : EngineRole::kDecode));
    }
    this->replicas.SetCacheCapacity("service", 1'000'000);
  }

  ReplicaSet replicas;
  PeerLoadSync sync;
};

/// Prompts arrive at randomly chosen instances; each engine prefills one prompt
/// at a time.
class Simulation {
 public:
  explicit Simulation(bool sends_partial_messages)
      : sends_partial_messages(sends_partial_messages) {
    for (int i = 0; i < kInstances; ++i) {
      this->instances.push_back(
          std::make_unique<Instance>("i" + std::to_string(i), this->clock));
    }
  }

  /// @return The mean time from a prompt's arrival to the end of its prefill.
  absl::Duration Run(absl::Duration mean_interval) {
    this->Schedule(absl::ZeroDuration(), [this] { this->SendFullMessages(); });
    for (absl::Duration at; at < kSimulatedTime;
         at += mean_interval * 2 * this->random.UniformDouble())
      this->Schedule(at, [this] { this->OnPromptArrival(); });
    while (!this->events.empty()) {
      auto [at, event] = this->events.begin()->second;
      this->events.erase(this->events.begin());
      this->clock.Set(at);
      event();
    }
    return this->total_time / this->prompts;
  }

 private:
  using Event = std::pair<absl::Time, std::function<void()>>;

  void Schedule(absl::Duration wait, std::function<void()> event) {
    absl::Time at = this->clock.Now() + wait;
    this->events.emplace(std::pair(at, this->next_event_id++),
                         Event(at, std::move(event)));
  }

  void Deliver(const LoadMessage& message) {
    for (const auto& instance : this->instances)
      instance->sync.Merge(message, instance->replicas);
  }

  void SendFullMessages() {
    for (const auto& instance : this->instances)
      this->Deliver(instance->sync.BuildFullMessage(instance->replicas, {}));
    if (this->clock.Now() < absl::UnixEpoch() + kSimulatedTime)
      this->Schedule(kMessageInterval, [this] { this->SendFullMessages(); });
  }

  void OnPromptArrival() {
    Instance& instance =
        *this->instances[this->random.UniformInt(0, kInstances - 1)];
    PromptDescription prompt =
        MakePrompt(this->random.UniformInt(1, kSharedPrefixes), 300, 2200);
    prompt.parts.back().id = 1'000'000 + ++this->next_part_id;
    absl::Time arrived = this->clock.Now();
    PlacementChoice choice = this->placement.ChooseEngine(
        instance.replicas.Usable("service"), prompt, {}, arrived, {});
    if (choice.prefill_engine == nullptr)
      return;
    auto prefill_engine = choice.prefill_engine;
    double tokens = choice.prefill_engine_tokens;
    prefill_engine->prefix_cache.RecordPrompt(prompt, arrived);
    ++prefill_engine->outstanding;
    prefill_engine->queued.Add(PrefillLane::kOnTime, tokens);
    instance.sync.RecordPromptSent(prefill_engine->entry.id, prompt);
    if (this->sends_partial_messages)
      this->Deliver(instance.sync.BuildPartialMessage(instance.replicas));
    absl::Time& free_at = this->free_at[prefill_engine->entry.id];
    free_at = std::max(free_at, arrived) +
              absl::Milliseconds(tokens * kPrefillMsPerToken);
    this->total_time += free_at - arrived;
    ++this->prompts;
    this->Schedule(free_at - arrived, [prefill_engine, tokens] {
      --prefill_engine->outstanding;
      prefill_engine->queued.Add(PrefillLane::kOnTime, -tokens);
    });
  }

  const bool sends_partial_messages;
  ManualClock clock;
  SeededRandom random{11};
  EngineSpeedModels speeds{clock};
  Placement placement{"a", this->speeds};
  std::vector<std::unique_ptr<Instance>> instances;
  std::map<std::pair<absl::Time, uint64_t>, Event> events;
  std::map<std::string, absl::Time> free_at;
  uint64_t next_event_id = 0;
  uint64_t next_part_id = 0;
  absl::Duration total_time;
  int prompts = 0;
};

// Guards against instances that send their prompts to the same engine because
// they learn of each other's prompts only after the end of their prefill.
BOOST_AUTO_TEST_CASE(partial_messages_shorten_the_wait) {
  constexpr absl::Duration kMeanInterval = absl::Milliseconds(5);
  absl::Duration without = Simulation(false).Run(kMeanInterval);
  absl::Duration with = Simulation(true).Run(kMeanInterval);
  BOOST_TEST_MESSAGE(
      "mean time to the end of prefill, without partial messages "
      << without << ", with partial messages " << with);
  BOOST_TEST((with < 0.8 * without));
}

}  // namespace
}  // namespace cranberryhill::forward
