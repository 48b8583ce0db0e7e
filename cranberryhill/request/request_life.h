#ifndef CRANBERRYHILL_REQUEST_REQUEST_LIFE_H_
#define CRANBERRYHILL_REQUEST_REQUEST_LIFE_H_

// The life of one streamed request: attempts on engines, resume after a
// failure, deadlines, cancellation, and the single ordered copy of the tokens
// that the caller gets. No I/O: events go in, actions come out.
//
//   RequestLife life(spec, policy, permits, now);
//   for (const RequestAction& action : life.Start(now)) { ...carry out... }
//   for (const RequestAction& action : life.OnToken(1, 0, "Hi", now)) ...

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"

namespace cranberryhill {

/// Number of an attempt of one request, counted from 1.
using AttemptNumber = uint32_t;

/// What a refusal or failure says about the request.
enum class RunOutcome {
  kNotRun,     ///< No engine was sent any part of it.
  kRunFailed,  ///< It ran, at least in part, and failed.
  kUnknown,
};

/// Asks for an engine to be chosen and the request to be sent to it.
struct StartAttempt {
  AttemptNumber attempt = 0;
  uint32_t resume_from = 0;  ///< Index of the first token still missing.
  bool alone = false;        ///< No other stream may run beside it.
  bool hedge = false;        ///< Runs beside a slower attempt.
  std::vector<std::string> tried_engines;  ///< Engines that failed it before.
};

/// Asks for an attempt to be cancelled; its later events are ignored.
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
  absl::Duration retry_after = absl::ZeroDuration();  ///< Zero: not given.
};

using RequestAction = std::variant<StartAttempt,
                                   CancelAttempt,
                                   ForwardToken,
                                   FinishAnswer,
                                   FinishFailure>;
using RequestActions = std::vector<RequestAction>;

/// Why an attempt ended without its answer.
enum class AttemptFailure {
  kNotSent,         ///< No byte of it reached the engine.
  kRefused,         ///< The engine said that it did not run it.
  kConnectionLost,  ///< The connection closed or went silent.
  kEngineCrashed,
  kBadStream,  ///< The engine's stream broke the protocol.
};

/// Shared budgets that keep retries and hedges from multiplying load.
class RetryPermits {
 public:
  virtual ~RetryPermits() = default;

  /// @return True when a retry may start now; the permit is then used.
  virtual bool TryRetry(absl::Time now) = 0;

  /// @return True when a hedged attempt may start now; the permit is then used.
  virtual bool TryHedge(absl::Time now) = 0;
};

/// Tells which request fingerprints may still run, and how.
enum class CrashStanding {
  kClear,
  kSuspect,    ///< Crashed one engine; may run alone only.
  kCondemned,  ///< Crashed two engines; must not run.
};

class CrashStandings {
 public:
  virtual ~CrashStandings() = default;
  virtual CrashStanding StandingOf(uint64_t fingerprint, absl::Time now) = 0;
};

struct RequestPolicy {
  /// A running stream without a token for longer is resumed elsewhere; the
  /// larger of the two bounds counts.
  absl::Duration min_stall = absl::Seconds(2);
  double stall_gap_factor = 8.0;
  /// Bound on the wait for the first token of an attempt that has no
  /// expectation of its own.
  absl::Duration default_first_token = absl::Seconds(5);
  /// A waiting attempt asks again for an engine or for a retry permit.
  absl::Duration retry_pause = absl::Milliseconds(100);
  /// A request that waits this long for an engine or a permit is refused.
  absl::Duration max_wait = absl::Seconds(10);
  /// Attempts after which the request fails.
  AttemptNumber max_attempts = 6;
  /// A hedge starts when the first token takes this many times its expectation.
  double hedge_factor = 3.0;
};

struct RequestSpec {
  std::string id;
  uint64_t fingerprint = 0;
  absl::Time deadline = absl::InfiniteFuture();
};

/// One request. Not thread-safe. Every function returns the actions to carry
/// out, in order; after a Finish action there are none.
class RequestLife {
 public:
  /// @param permits,standings Shared; must outlive this object.
  RequestLife(RequestSpec spec,
              RequestPolicy policy,
              RetryPermits& permits,
              CrashStandings& standings);

  /// Starts the first attempt, or refuses a condemned request.
  RequestActions Start(absl::Time now);

  /// Reports the engine that an attempt was sent to, or handed over to.
  /// @param first_token Expected time to its first token.
  /// @param token_gap Expected time between its tokens.
  RequestActions OnPlaced(AttemptNumber attempt,
                          std::string_view engine,
                          absl::Duration first_token,
                          absl::Duration token_gap,
                          absl::Time now);

  /// Reports that no engine may take the attempt now.
  RequestActions OnNoEngine(AttemptNumber attempt, absl::Time now);

  /// Reports a token. Only the next index of a live attempt is forwarded; the
  /// first attempt that delivers a token wins over attempts beside it.
  RequestActions OnToken(AttemptNumber attempt,
                         uint32_t index,
                         std::string_view token,
                         absl::Time now);

  /// Reports the regular end of an attempt's stream.
  RequestActions OnDone(AttemptNumber attempt,
                        std::string_view finish_reason,
                        absl::Time now);

  RequestActions OnAttemptFailed(AttemptNumber attempt,
                                 AttemptFailure failure,
                                 absl::Time now);

  /// Moves the stream to another engine, because its engine will be changed.
  /// The move needs no permit. The running attempt goes on until its
  /// replacement is placed, and stays when there is no engine for that.
  RequestActions OnMoveAway(std::string_view engine, absl::Time now);

  RequestActions OnCallerGone(absl::Time now);

  /// Checks deadlines, stalls and waits. To be called every 100 ms or so.
  RequestActions Tick(absl::Time now);

  bool finished() const { return this->ended; }              // NOLINT
  uint32_t next_index() const { return this->next_token; }   // NOLINT
  const RequestSpec& spec() const { return this->request; }  // NOLINT

  /// @return Tokens that were dropped because they were late, repeated or out
  ///     of order.
  uint64_t dropped_tokens() const { return this->dropped; }      // NOLINT
  AttemptNumber attempts() const { return this->last_attempt; }  // NOLINT

 private:
  struct Attempt {
    AttemptNumber number = 0;
    std::string engine;  // Empty until placed.
    uint32_t resume_from = 0;
    bool replacement = false;  // Takes over from a running attempt.
    absl::Time started;
    absl::Time last_progress;
    absl::Duration first_token;
    absl::Duration token_gap;
    bool delivered = false;
  };

  Attempt* FindLive(AttemptNumber attempt);
  void RemoveLive(AttemptNumber attempt);
  /// Why an attempt is started.
  enum class StartKind { kRegular, kHedge, kReplacement };

  void StartNext(StartKind kind, absl::Time now, RequestActions& actions);
  void RetryOrWait(absl::Time now, RequestActions& actions);
  void GiveUpWaiting(absl::Time now, RequestActions& actions);
  void CancelOthers(AttemptNumber winner, RequestActions& actions);
  void CancelAll(RequestActions& actions);
  void Fail(FailureCode code,
            std::string_view message,
            absl::Duration retry_after,
            RequestActions& actions);
  bool StalledAt(const Attempt& attempt, absl::Time now) const;
  void CheckStalls(absl::Time now, RequestActions& actions);
  void CheckHedge(absl::Time now, RequestActions& actions);

  RequestSpec request;
  RequestPolicy policy;
  RetryPermits& permits;
  CrashStandings& standings;
  std::vector<Attempt> live;
  std::vector<std::string> tried;
  AttemptNumber last_attempt = 0;
  uint32_t next_token = 0;
  uint64_t dropped = 0;
  bool may_have_run = false;
  bool hedged = false;
  bool waiting = false;
  bool needs_permit = false;
  absl::Time waiting_since;
  absl::Time next_try;
  bool ended = false;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_REQUEST_REQUEST_LIFE_H_
