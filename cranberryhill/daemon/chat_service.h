#ifndef CRANBERRYHILL_DAEMON_CHAT_SERVICE_H_
#define CRANBERRYHILL_DAEMON_CHAT_SERVICE_H_

// Serves requests for tokens: limits, admission, attempts on engines, and the
// answer to the caller.
//
//   ChatService chats(context);
//   chats.SetDocument(version_in_force);
//   ChatId id = chats.Submit(headers, request, sink);
//   chats.Tick();        // every 10 ms
//   chats.Cancel(id);    // the caller has gone

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/admission/admission_queue.h"
#include "cranberryhill/admission/attempt_retry_budget.h"
#include "cranberryhill/admission/usage_limits.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/caller/caller_request.h"
#include "cranberryhill/caller/refusal.h"
#include "cranberryhill/cost/output_predictor.h"
#include "cranberryhill/daemon/engine_fleet.h"
#include "cranberryhill/daemon/metrics.h"
#include "cranberryhill/daemon/settings.h"
#include "cranberryhill/environment/config_follower.h"
#include "cranberryhill/request/crash_quarantine.h"
#include "cranberryhill/request/request_state_machine.h"

namespace cranberryhill {

using ChatId = uint64_t;

/// What a chat's answer is written to. After OnFinish or OnRefusal nothing
/// more is called.
class ChatSink {
 public:
  virtual ~ChatSink() = default;
  virtual void OnToken(std::string_view token) = 0;
  virtual void OnFinish(std::string_view finish_reason,
                        int64_t completion_tokens) = 0;
  virtual void OnRefusal(const Refusal& refusal) = 0;
};

/// Retry and hedge budgets behind the interface of RequestStateMachine.
class BudgetPermits : public RetryBudgets {
 public:
  explicit BudgetPermits(const Clock& clock);

  void OnRequest();
  bool TryRetry(absl::Time now) override;
  bool TryHedge(absl::Time now) override;

 private:
  AttemptRetryBudget retries;
  AttemptRetryBudget hedges;
};

/// Work that arrived since the last call, for the choice of roles.
struct ArrivedWork {
  double prefill_s = 0;
  double decode_s = 0;
};

/// Core thread only.
class ChatService : public AttemptListener, private DispatchGate {
 public:
  /// All references must outlive the service.
  struct Dependencies {
    const Settings& settings;
    const Clock& clock;
    CrashQuarantine& crashes;
    UsageLimits& limits;
    Metrics& metrics;
    uint64_t incarnation = 0;  ///< Makes request ids unique over restarts.
  };
  explicit ChatService(const Dependencies& dependencies);
  ~ChatService() override;

  ChatService(const ChatService&) = delete;
  ChatService& operator=(const ChatService&) = delete;

  /// Sets the fleet, once, before the first Submit(). It is not a constructor
  /// parameter because the fleet's own needs this object as its listener.
  void SetFleet(EngineFleet& engine_fleet);

  /// Sets weights, limits and models for new chats.
  void SetDocument(std::shared_ptr<const VersionInForce> version);

  /// Takes a request. The sink may be used during this call.
  ChatId Submit(const CallerHeaders& headers,
                const CompletionRequest& request,
                std::shared_ptr<ChatSink> sink);

  /// The caller has gone: cancels the chat's attempts.
  void Cancel(ChatId id);

  /// Checks deadlines and stalls and starts waiting chats.
  void Tick();

  /// Refuses new chats from now on.
  void StopAccepting() { this->accepting = false; }

  /// Moves all streams of an engine that will be changed to other engines.
  void MoveAwayFrom(std::string_view engine);

  /// @return Work that arrived for `model` since the last call.
  ArrivedWork TakeArrivedWork(std::string_view model);

  size_t running() const { return this->chats.size(); }  // NOLINT

  void OnAttemptToken(const AttemptKey& key,
                      uint32_t index,
                      std::string_view token) override;
  void OnAttemptDone(const AttemptKey& key,
                     std::string_view finish_reason) override;
  void OnAttemptFailed(const AttemptKey& key, AttemptFailure failure) override;
  void OnAttemptHandedOver(const AttemptKey& key,
                           std::string_view engine,
                           absl::Duration first_token,
                           absl::Duration token_gap) override;

 private:
  struct Chat;

  bool TryStart(uint64_t id) override;
  bool RefuseEarly(const CallerHeaders& headers,
                   const CompletionRequest& request,
                   ChatSink& sink);
  void Admit(Chat& chat);
  RouteRequest RouteOf(const Chat& chat) const;
  void Apply(ChatId id, const RequestActions& actions);
  void Carry(Chat& chat, const StartAttempt& action);
  void Carry(Chat& chat, const CancelAttempt& action);
  void Carry(Chat& chat, const ForwardToken& action);
  void Carry(Chat& chat, const FinishAnswer& action);
  void Carry(Chat& chat, const FinishFailure& action);
  void Refuse(ChatSink& sink, const Refusal& refusal);
  void PollQueue();
  void Finish(Chat& chat, std::string_view end);
  Chat* Find(ChatId id);

  Dependencies context;
  EngineFleet* fleet = nullptr;
  std::shared_ptr<const VersionInForce> document;
  AdmissionQueue queue;
  BudgetPermits permits;
  OutputPredictor predictor;
  std::map<ChatId, std::unique_ptr<Chat>> chats;
  std::vector<ChatId> finished;
  std::map<std::string, ArrivedWork, std::less<>> arrived;
  ChatId last_id = 0;
  bool accepting = true;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_CHAT_SERVICE_H_
