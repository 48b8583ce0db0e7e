#ifndef CRANBERRYHILL_DAEMON_ENGINE_FLEET_H_
#define CRANBERRYHILL_DAEMON_ENGINE_FLEET_H_

// The engines that this instance routes to: connections, status polls, one
// Router per model, and the attempts that run on them.
//
//   EngineFleet fleet(context, listener);
//   fleet.SetEngines(document.engines);
//   std::optional<Placement> placement = fleet.Place(attempt, route);
//   ...
//   fleet.Cancel(attempt.key);

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/daemon/metrics.h"
#include "cranberryhill/environment/environment_document.h"
#include "cranberryhill/http2/http2_client.h"
#include "cranberryhill/membership/membership_view.h"
#include "cranberryhill/orders/engine_order.h"
#include "cranberryhill/request/crash_quarantine.h"
#include "cranberryhill/request/request_state_machine.h"
#include "cranberryhill/routing/router.h"

namespace cranberryhill {

/// Identifies one attempt of one request.
struct AttemptKey {
  uint64_t request = 0;
  AttemptNumber attempt = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a null pointer.
  auto operator<=>(const AttemptKey&) const = default;  // NOLINT

  /// @return A number that is different for each attempt, as routers need it.
  uint64_t Packed() const { return this->request * 64 + this->attempt; }
};

/// What an engine is asked to generate.
struct AttemptRequest {
  AttemptKey key;
  std::string request_id;
  std::string model;
  std::string prompt;
  uint32_t prompt_tokens = 0;
  uint32_t resume_from = 0;
  uint32_t max_tokens = 0;
  int priority = 0;
  absl::Time deadline = absl::InfiniteFuture();
  uint64_t fingerprint = 0;
};

/// Where an attempt was sent.
struct Placement {
  std::string engine;
  absl::Duration first_token;
  absl::Duration token_gap;
};

/// Receives the events of attempts, never inside Place() or Cancel().
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  virtual void OnAttemptToken(const AttemptKey& key,
                              uint32_t index,
                              std::string_view token) = 0;
  virtual void OnAttemptDone(const AttemptKey& key,
                             std::string_view finish_reason) = 0;
  virtual void OnAttemptFailed(const AttemptKey& key,
                               AttemptFailure failure) = 0;

  /// The attempt goes on, after its prefill, on another engine.
  /// @param first_token Expected time to its next token there.
  virtual void OnAttemptHandedOver(const AttemptKey& key,
                                   std::string_view engine,
                                   absl::Duration first_token,
                                   absl::Duration token_gap) = 0;
};

/// Decides whether work may be started on an engine, as far as planned changes
/// are concerned, and hears of its use.
class StartPermission {
 public:
  virtual ~StartPermission() = default;
  virtual bool MayStart(std::string_view engine) const = 0;
  virtual void OnUse(std::string_view engine, absl::Time at) = 0;
};

struct FleetContext {
  std::string availability_zone;
  Http2Client& client;
  const Clock& clock;
  Random& random;
  CrashQuarantine& crashes;
  MembershipView& members;
  StartPermission& permission;
  Metrics& metrics;
};

/// Core thread only.
class EngineFleet {
 public:
  /// @param context All references must outlive this object.
  EngineFleet(const FleetContext& context, AttemptListener& listener);
  ~EngineFleet();

  EngineFleet(const EngineFleet&) = delete;
  EngineFleet& operator=(const EngineFleet&) = delete;

  /// Connects to new engines and drops those that are not listed. Attempts
  /// running on dropped engines go on.
  void SetEngines(std::span<const EngineSpec> engines);

  /// Sets how many entry instances of the zone use the same engines.
  /// @param index Position of this one in their sorted list.
  void SetEntryInstances(uint32_t count, uint32_t index);

  /// @return The router of `model`, or null when no engine serves it.
  Router* RouterOf(std::string_view model);

  /// @return Index of an engine in the router of its model, or nothing.
  std::optional<uint32_t> RouterIndexOf(std::string_view engine) const;

  /// Chooses an engine and sends the attempt to it.
  /// @param route `id` is overwritten with the attempt's packed key.
  /// @return Nothing when no engine may take it now.
  std::optional<Placement> Place(const AttemptRequest& attempt,
                                 RouteRequest route);

  /// Cancels a running attempt; its events stop.
  void Cancel(const AttemptKey& key);

  /// Sends a one-token request at the lowest priority. A success counts as use
  /// of the engine.
  void Probe(std::string_view engine);

  /// Sends due status polls and updates which engines may be used. To be
  /// called every 100 ms or so.
  void Tick();

  /// @return Ids of all engines of the configuration.
  std::vector<std::string> EngineIds() const;

  /// @return The last report of an engine, or null.
  const EngineReport* ReportOf(std::string_view engine) const;

  /// @return Attempts that run on the engine for this instance.
  size_t RunningOn(std::string_view engine) const;

  /// @return The largest slowdown among the engines.
  double WorstSlowdown() const;

  /// Reads an engine's status now; its next regular poll moves back.
  /// @param callback Runs once, with nothing when there is no answer.
  void ReadStatus(std::string_view engine, ReportCallback callback);

  /// @return The address of an engine, or null.
  const IpAddress* AddressOf(std::string_view engine) const;

 private:
  struct Engine;
  struct BodyRead;
  using BodyCallback = std::function<void(const std::optional<std::string>&)>;
  struct Running;

  Engine* FindEngine(std::string_view id);
  const Engine* FindEngine(std::string_view id) const;
  void AddEngine(const EngineSpec& spec);
  void OnConnectionState(const std::string& engine,
                         Http2ConnectionState state,
                         std::optional<CloseReason> reason);
  void OnCrash(Engine& engine);
  Http2ClientRequest GenerateRequest(const std::string& engine,
                                     const AttemptRequest& attempt);
  void SendGenerate(Engine& engine, const AttemptKey& key);
  void OnStreamDone(const AttemptKey& key, std::string_view finish_reason);
  void HandOver(const AttemptKey& key);
  void StartDecode(const AttemptKey& key, bool has_blocks);
  void OnLines(const AttemptKey& key, std::string_view chunk);
  bool OnLine(const AttemptKey& key, std::string_view line);
  void OnEnd(const AttemptKey& key);
  void OnFailure(const AttemptKey& key, const Http2Failure& failure);
  void FailAttempt(const AttemptKey& key, AttemptFailure failure);
  void CloseAttempt(const AttemptKey& key, AttemptEnd end);
  void PollStatus(Engine& engine, ReportCallback callback);
  void PollCacheEvents(Engine& engine);
  /// @param done Gets the beginning of a body of more than `max_bytes`, and
  ///     nothing when the request fails or its answer does not end.
  void ReadBody(Engine& engine,
                std::string path,
                size_t max_bytes,
                BodyCallback done);
  void EndLateReads(Engine& engine);
  void OnCacheEvents(const std::string& id, std::string_view body);
  std::optional<EngineReport> OnStatus(const std::string& id,
                                       absl::Time asked,
                                       std::string_view body);
  void UpdateUsable(Engine& engine);
  /// Asked directly before each write, because the routers' knowledge of
  /// usable engines is refreshed only by Tick().
  bool MayStart(std::string_view id) const;
  /// Probes go on to engines that are suspect: without them the right to use
  /// the engine would be lost for as long as the table is away.
  bool MayProbe(std::string_view id) const;
  /// @return Whether an attempt runs on the engine or may be handed over to it.
  bool InUse(std::string_view engine) const;
  void FailAttemptsOn(std::string_view engine);
  absl::Duration PollInterval() const;

  FleetContext context;
  AttemptListener& listener;
  std::map<std::string, std::unique_ptr<Engine>, std::less<>> engines;
  std::map<std::string, std::unique_ptr<Router>, std::less<>> routers;
  std::map<AttemptKey, std::unique_ptr<Running>> running;
  size_t ticks = 0;
  uint32_t entry_instances = 1;
  uint32_t entry_index = 0;
  std::shared_ptr<bool> alive;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_ENGINE_FLEET_H_
