#ifndef CRANBERRYHILL_PROGRAMS_BENCH_ENTRY_POLICY_H_
#define CRANBERRYHILL_PROGRAMS_BENCH_ENTRY_POLICY_H_

// Decisions of one entry instance in policy_bench, behind one interface, so
// that the full policy and the baselines run in the same simulation.
//
//   auto policy = MakeEntryPolicy("full", context);
//   policy->OnArrival(spec);

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/cost/load_tracker.h"
#include "cranberryhill/routing/router.h"
#include "programs/bench/workload.h"

namespace cranberryhill::bench {

/// What a policy can order. Implemented by the simulation.
class EntryActions {
 public:
  virtual ~EntryActions() = default;

  /// Sends an attempt of a request.
  /// @param job Id of the attempt, from NewJob().
  virtual void Start(uint64_t job,
                     uint32_t engine,
                     uint32_t decode_engine,
                     bool low_priority) = 0;

  /// @return Id of a new attempt of `request`.
  virtual uint64_t NewJob(uint64_t request) = 0;

  virtual void Refuse(uint64_t request, absl::Duration retry_after) = 0;
};

/// An engine as it is known to all instances.
struct EngineInfo {
  std::string id;
  uint32_t zone = 0;
  EngineRole role = EngineRole::kMixed;
};

/// What a policy is made from. References must outlive the policy.
struct EntryContext {
  const Clock& clock;
  Random& random;
  EntryActions& actions;
  const std::vector<EngineInfo>& engines;
  uint32_t zone = 0;
  uint32_t zone_instances = 1;  ///< Entry instances of the zone.
  uint32_t zone_index = 0;      ///< Index of this one among them.
  double client_latency_s = 0;
};

/// Work that arrived, in engine-seconds.
struct ObservedWork {
  double prefill_s = 0;
  double decode_s = 0;
};

/// A request whose attempt was lost, with the tokens already forwarded.
struct LostRequest {
  const RequestSpec* spec = nullptr;
  uint32_t tokens_done = 0;
  uint32_t engine = 0;  ///< The engine that was lost.
};

/// Not thread-safe.
class EntryPolicy {
 public:
  virtual ~EntryPolicy() = default;

  virtual void OnArrival(const RequestSpec& spec) = 0;
  virtual void OnLost(const LostRequest& lost) = 0;
  virtual void OnTick() {}
  virtual void OnReport(uint32_t, const LoadReport&) {}
  virtual void OnCacheEvents(uint32_t, std::span<const CacheEvent>) {}
  virtual void SetUsable(uint32_t engine, bool usable) = 0;
  virtual void SetRole(uint32_t engine, EngineRole role) = 0;
  virtual void OnRestarted(uint32_t) {}

  /// @return Engine for the decode of `job`, whose prefill has ended.
  virtual std::optional<uint32_t> DecodeEngine(uint64_t job) = 0;

  virtual void OnFirstToken(uint64_t) {}
  virtual void OnTokens(uint64_t, uint32_t) {}

  /// @param tokens Output tokens of the request, when it completed.
  virtual void OnFinished(uint64_t job, AttemptEnd end, uint32_t tokens) = 0;

  /// @return Work that arrived since the last call.
  virtual ObservedWork TakeObservedWork() { return {}; }
};

/// A policy that can be chosen by name.
struct PolicyInfo {
  std::string_view name;
  std::string_view text;
  bool plans_roles = false;
  bool role_hysteresis = true;
  bool engine_priorities = true;
};

const std::vector<PolicyInfo>& Policies();

/// @return The policy, or null.
const PolicyInfo* FindPolicy(std::string_view name);

/// @param name One of Policies().
std::unique_ptr<EntryPolicy> MakeEntryPolicy(std::string_view name,
                                             const EntryContext& context);

/// The full policy and its variants: `full`, `static_roles`, `greedy_roles`
/// and `first_come`.
std::unique_ptr<EntryPolicy> MakeFullPolicy(std::string_view name,
                                            const EntryContext& context);

}  // namespace cranberryhill::bench

#endif  // CRANBERRYHILL_PROGRAMS_BENCH_ENTRY_POLICY_H_
