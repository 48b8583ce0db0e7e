#ifndef CRANBERRYHILL_REQUEST_REQUEST_STATE_MACHINE_H_
#define CRANBERRYHILL_REQUEST_REQUEST_STATE_MACHINE_H_

// State machine of one streamed request. It starts attempts on engines, resumes
// the stream after a failure, applies deadlines and cancellation, and makes
// sure that the caller gets each token once and in order. It does no I/O: its
// functions take events and return the actions to carry out.
//
//   RequestStateMachine machine(spec, policy, retry_budgets, crash_statuses);
//   for (const RequestAction& action : machine.Start(now)) { ...carry out... }
//   for (const RequestAction& action : machine.OnToken(1, 0, "Hi", now)) ...

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"

namespace cranberryhill {

/// Number of an attempt of one request, counted from 1.
using AttemptNumber = uint32_t;

/// Whether a request that was refused or failed has run on an engine.
enum class RunOutcome {
  kNotRun,     ///< No engine has run any part of it.
  kRunFailed,  ///< It may have run, at least in part, and failed.
  kUnknown,
};

/// Asks for an engine to be chosen and the request to be sent to it.
struct StartAttempt {
  AttemptNumber attempt = 0;
  uint32_t resume_from = 0;  ///< Index of the first token still missing.
  bool run_alone = false;    ///< The engine must run no other streams.
  bool hedge = false;        ///< Runs in parallel to a slower attempt.
  /// Engines on which earlier attempts ran and which should be avoided.
  std::vector<std::string> tried_engines;
};

/// Asks for an attempt to be cancelled. Later events of it are ignored.
struct CancelAttempt {
  AttemptNumber attempt = 0;
};

struct ForwardToken {
  uint32_t index = 0;
  std::string token;
};

struct FinishAnswer {
  std::string finish_reason;
};

enum class FailureCode {
  kDeadlineExceeded,
  kNoEngineAvailable,
  kCrashesEngines,
  kTooManyAttempts,
};

struct FinishFailure {
  RunOutcome outcome = RunOutcome::kUnknown;
  FailureCode code = FailureCode::kTooManyAttempts;
  std::string message;
  /// Time after which the caller can try again; zero if it is not known.
  absl::Duration retry_after = absl::ZeroDuration();
};

using RequestAction = std::variant<StartAttempt,
                                   CancelAttempt,
                                   ForwardToken,
                                   FinishAnswer,
                                   FinishFailure>;
using RequestActions = std::vector<RequestAction>;

/// Reason why an attempt ended without a complete answer.
enum class AttemptFailure {
  kNotSent,         ///< No byte of the request was sent to the engine.
  kRefused,         ///< The engine answered that it did not run the request.
  kConnectionLost,  ///< The connection closed, or no data arrived in time.
  kEngineCrashed,
  kMalformedStream,  ///< The engine's stream violated the protocol.
};

/// Budgets shared by all requests, which prevent retries and hedged attempts
/// from multiplying the load.
class RetryBudgets {
 public:
  virtual ~RetryBudgets() = default;

  /// @return True if a retry may start now. It then counts against the budget.
  virtual bool TryRetry(absl::Time now) = 0;

  /// @return True if a hedged attempt may start now. It then counts against the
  ///     budget.
  virtual bool TryHedge(absl::Time now) = 0;
};

/// Whether and how the requests with a fingerprint may run.
enum class CrashStatus {
  kClean,
  kSuspect,      ///< Probably crashed one engine; may run only alone.
  kQuarantined,  ///< Crashed two engines; must not run.
};

/// Interface that returns the crash status of fingerprints.
class CrashStatusSource {
 public:
  virtual ~CrashStatusSource() = default;
  virtual CrashStatus StatusOf(uint64_t fingerprint, absl::Time now) = 0;
};

struct RequestPolicy {
  /// A stream that delivers no token within the stall timeout is resumed on
  /// another engine. The stall timeout is min_stall_timeout or, if that is
  /// longer, stall_timeout_factor times the expected time to the next token.
  absl::Duration min_stall_timeout = absl::Seconds(2);
  double stall_timeout_factor = 8.0;
  /// Expected time to the first token of an attempt until OnPlaced() sets it.
  absl::Duration default_first_token_time = absl::Seconds(5);
  /// Interval at which a waiting request tries again to get an engine or to
  /// take from the retry budget.
  absl::Duration retry_interval = absl::Milliseconds(100);
  /// A request fails when it has waited this long for an engine or for the
  /// retry budget.
  absl::Duration max_wait = absl::Seconds(10);
  /// Largest number of attempts; the request fails after these.
  AttemptNumber max_attempts = 6;
  /// A hedged attempt starts when the first token has taken this many times the
  /// expected time.
  double hedge_factor = 3.0;
};

struct RequestSpec {
  std::string id;
  uint64_t fingerprint = 0;
  absl::Time deadline = absl::InfiniteFuture();
};

/// State machine of one request. Each event function returns the actions to
/// carry out, in order. There are no actions after FinishAnswer or
/// FinishFailure. Not thread-safe.
class RequestStateMachine {
 public:
  /// @param retry_budgets,crash_statuses Shared by all requests; must outlive
  ///     this object.
  RequestStateMachine(RequestSpec spec,
                      RequestPolicy policy,
                      RetryBudgets& retry_budgets,
                      CrashStatusSource& crash_statuses);

  /// Starts the first attempt, or fails the request if its fingerprint is
  /// quarantined.
  RequestActions Start(absl::Time now);

  /// Reports the engine that an attempt was sent to or handed over to.
  /// @param first_token Expected time to the first token of the attempt.
  /// @param token_gap Expected time between two tokens of the attempt.
  RequestActions OnPlaced(AttemptNumber attempt,
                          std::string_view engine,
                          absl::Duration first_token,
                          absl::Duration token_gap,
                          absl::Time now);

  /// Reports that no engine can run the attempt now.
  RequestActions OnNoEngineAvailable(AttemptNumber attempt, absl::Time now);

  /// Reports a token. It is forwarded only if the attempt is running and the
  /// token is the next one that the caller needs. The first attempt that
  /// delivers such a token cancels all parallel attempts.
  RequestActions OnToken(AttemptNumber attempt,
                         uint32_t index,
                         std::string_view token,
                         absl::Time now);

  /// Reports that the stream of an attempt ended normally.
  RequestActions OnDone(AttemptNumber attempt,
                        std::string_view finish_reason,
                        absl::Time now);

  RequestActions OnAttemptFailed(AttemptNumber attempt,
                                 AttemptFailure failure,
                                 absl::Time now);

  /// Moves the stream to another engine, because its present engine will be
  /// changed. The move does not count against the retry budget. The running
  /// attempt continues until its replacement is placed, and is kept if no other
  /// engine can run the replacement.
  RequestActions MoveFromEngine(std::string_view engine, absl::Time now);

  RequestActions OnCallerDisconnected(absl::Time now);

  /// Fails the request at its deadline, resumes stalled attempts, starts a
  /// hedged attempt if the first token is late, and retries a waiting request.
  /// Must be called about every 100 ms.
  RequestActions Tick(absl::Time now);

  bool finished() const { return this->ended; }                   // NOLINT
  uint32_t next_index() const { return this->next_token_index; }  // NOLINT
  const RequestSpec& spec() const { return this->request; }       // NOLINT

  /// @return Number of tokens dropped because they were late, repeated or out
  ///     of order.
  uint64_t dropped_tokens() const { return this->dropped_count; }  // NOLINT
  AttemptNumber attempts() const { return this->last_attempt; }    // NOLINT

 private:
  struct Attempt {
    AttemptNumber number = 0;
    std::string engine;  // Empty until placed.
    uint32_t resume_from = 0;
    bool replacement = false;  // Replaces a running attempt once it is placed.
    absl::Time started_at;
    absl::Time last_progress_at;
    absl::Duration first_token;  // Expected time to the first token.
    absl::Duration token_gap;    // Expected time between two tokens.
    bool has_delivered_token = false;
  };

  Attempt* FindRunning(AttemptNumber attempt);
  void RemoveRunning(AttemptNumber attempt);
  /// Reason for starting an attempt.
  enum class StartKind { kRegular, kHedge, kReplacement };

  void StartNext(StartKind kind, absl::Time now, RequestActions& actions);
  void RetryOrWait(absl::Time now, RequestActions& actions);
  void RetryOrFailWaiting(absl::Time now, RequestActions& actions);
  void CancelOthers(AttemptNumber winner, RequestActions& actions);
  void CancelAll(RequestActions& actions);
  void Fail(FailureCode code,
            std::string_view message,
            absl::Duration retry_after,
            RequestActions& actions);
  bool IsStalled(const Attempt& attempt, absl::Time now) const;
  void ResumeStalledAttempts(absl::Time now, RequestActions& actions);
  void StartHedgeIfSlow(absl::Time now, RequestActions& actions);

  RequestSpec request;
  RequestPolicy policy;
  RetryBudgets& retry_budgets;
  CrashStatusSource& crash_statuses;
  std::vector<Attempt> running_attempts;
  std::vector<std::string> engines_tried;
  AttemptNumber last_attempt = 0;
  uint32_t next_token_index = 0;
  uint64_t dropped_count = 0;
  bool may_have_run = false;
  bool hedge_considered = false;
  bool waiting = false;
  bool needs_retry_budget = false;
  absl::Time waiting_since;
  absl::Time next_retry_at;
  bool ended = false;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_REQUEST_REQUEST_STATE_MACHINE_H_
