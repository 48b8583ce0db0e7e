#include "cranberryhill/calls/call_deduplicator.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "cranberryhill/calls/internal/call_row.h"
#include "cranberryhill/calls/internal/token_bucket.h"

namespace cranberryhill {
namespace {

// Maximum number of first-seen times that are kept for claims of other
// instances. All of them are dropped when it is reached, which only delays the
// answer "unknown" to repeats of the calls.
constexpr size_t kMaxFirstSeenTimes = 10'000;

constexpr absl::Duration kRetryAfter = absl::Seconds(1);

// How a call ended, as far as this instance knows.
enum class ResolutionKind {
  kResult,
  kUnknown,  // The call may have run.
  kNotRun,   // Neither this request nor an earlier one ran the call.
  // This instance never sends the call, but cannot tell whether an earlier
  // request ran it. The outcome is kNotRun for a first attempt and kUnknown
  // otherwise.
  kUncertain,
  kKeyReused,  // The key belongs to a call with different content.
};

struct Resolution {
  ResolutionKind kind = ResolutionKind::kUnknown;
  RefusalCode code = RefusalCode::kOutcomeUnknown;
  std::string message;
  CallResult result;
  bool stored = false;  // The result was read from the row of an earlier run.
};

struct PendingRequest {
  absl::Time deadline;
  bool is_initial = false;  // The request whose deadline limits the send.
  bool first_attempt = false;
  CallCallback callback;
};

enum class Phase {
  kClaim,  // Waits for the commit of the claim.
  // Reads the row, because the claim's commit failed or its outcome is unknown.
  kReadBackClaim,
  // Reads the row for a stored result, because no claim may be made now.
  kLookUpRow,
  kPollOtherClaim,  // Polls the row while another instance holds the claim.
  kFetchResult,     // Reads the stored body from the object store.
  kSend,            // Waits for the sender.
  kWriteFinalState,
};

// A call that this instance is handling, with all its requests for the same
// key.
struct ActiveCall {
  std::string key;
  std::string token;
  std::string digest;
  ServiceCall call;
  Phase phase = Phase::kClaim;
  bool finished = false;
  std::vector<PendingRequest> requests;
  // Requests that are submitted again when this call has ended.
  std::vector<PendingRequest> resubmit_later;

  // The row version that the last claim expected.
  uint64_t expected_version = kAbsentVersion;
  // The version of the row that holds this call's claim, once it is known.
  std::optional<uint64_t> version;
  // False if this call must not claim the key, because a limit is reached or
  // another request has claimed the key before.
  bool may_claim = true;
  CallRow stored_row;  // The row of the finished call whose result is returned.

  CallRowState final_state = CallRowState::kReleased;
  std::optional<Resolution> resolution;
  // When the requests are answered even if the final state is not yet written.
  absl::Time answer_at = absl::InfiniteFuture();
  bool object_stored = false;
  bool is_answered = false;

  // When the step of the current phase is repeated.
  absl::Time next_run_at = absl::InfiniteFuture();
  absl::Duration current_delay;
};

using ActiveCallPtr = std::shared_ptr<ActiveCall>;

Refusal ToRefusal(const Resolution& resolution, bool first_attempt) {
  bool not_run =
      resolution.kind == ResolutionKind::kNotRun ||
      resolution.kind == ResolutionKind::kKeyReused ||
      (resolution.kind == ResolutionKind::kUncertain && first_attempt);
  Refusal refusal =
      MakeRefusal(resolution.code,
                  not_run ? RefusalOutcome::kNotRun : RefusalOutcome::kUnknown,
                  resolution.message);
  if (resolution.kind == ResolutionKind::kKeyReused)
    refusal.field = "idempotency-key";
  if (resolution.kind == ResolutionKind::kUncertain && !not_run)
    refusal.message += "; send the request again with the same key";
  if (resolution.kind == ResolutionKind::kNotRun ||
      resolution.kind == ResolutionKind::kUncertain) {
    refusal.retry_after = kRetryAfter;
  }
  return refusal;
}

// Returns whether requests that joined the call later may get the same answer.
bool AppliesToJoinedRequests(const Resolution& resolution) {
  return resolution.kind != ResolutionKind::kNotRun &&
         resolution.kind != ResolutionKind::kUncertain;
}

Resolution InProgressResolution() {
  return {ResolutionKind::kUnknown,
          RefusalCode::kInProgress,
          "a request with this key is still running",
          {},
          false};
}

Resolution OutcomeUnknownResolution(std::string_view reason) {
  return {ResolutionKind::kUnknown,
          RefusalCode::kOutcomeUnknown,
          fmt::format("the call may have run: {}", reason),
          {},
          false};
}

Resolution TableUnavailableResolution() {
  return {ResolutionKind::kUncertain,
          RefusalCode::kTableUnavailable,
          "the table service did not confirm the claim of the idempotency key",
          {},
          false};
}

Resolution DeadlineExpiredResolution(ResolutionKind kind) {
  return {kind,
          RefusalCode::kDeadlineExpired,
          "the deadline expired before the call was sent",
          {},
          false};
}

Resolution OverloadedResolution(std::string_view reason) {
  return {ResolutionKind::kUncertain,
          RefusalCode::kOverloaded,
          std::string(reason),
          {},
          false};
}

}  // namespace

class CallDeduplicator::State : public std::enable_shared_from_this<State> {
 public:
  State(CallDeduplicatorConfig initial_config,
        const Clock& clock,
        const Clock& wall_clock,
        Random& random,
        TableService& table,
        ObjectStore& objects,
        CallSender& sender,
        const OwnerLiveness& owners)
      : config(std::move(initial_config)),
        clock(clock),
        wall_clock(wall_clock),
        random(random),
        table(table),
        objects(objects),
        sender(sender),
        owners(owners),
        claim_rate_limit(this->config.max_claims_per_second,
                         std::max(1.0, this->config.max_claims_per_second),
                         clock) {}

  void Submit(ServiceCall call, CallCallback callback);
  void Tick();

  size_t unfinished() const { return this->active_calls.size(); }  // NOLINT

  CallDeduplicatorStats stats;

 private:
  // Wraps a member function as a callback that does nothing after this object
  // has been destroyed or the call has ended.
  template <typename... Args>
  auto Bind(const ActiveCallPtr& active_call,
            void (State::*function)(const ActiveCallPtr&, Args...)) {
    return
        [weak = this->weak_from_this(), active_call, function](Args... args) {
          auto self = weak.lock();
          if (self != nullptr && !active_call->finished)
            ((*self).*function)(active_call, args...);
        };
  }

  // New requests.
  bool RefuseIfNotAllowed(const ServiceCall& call,
                          const CallCallback& callback);
  void JoinCall(const ActiveCallPtr& active_call,
                ServiceCall call,
                CallCallback callback);
  void StartCall(ServiceCall call, CallCallback callback, std::string key);

  // Claiming the row.
  void Claim(const ActiveCallPtr& active_call, uint64_t expected);
  void OnClaim(const ActiveCallPtr& active_call, const CommitOutcome& outcome);
  void OnReadBack(const ActiveCallPtr& active_call, const ReadOutcome& rows);
  void OnClaimedVersionRead(const ActiveCallPtr& active_call,
                            const ReadOutcome& rows);

  // Rows that another request has written.
  void OnLookUpRead(const ActiveCallPtr& active_call, const ReadOutcome& rows);
  void OnPollRead(const ActiveCallPtr& active_call, const ReadOutcome& rows);
  void HandleRow(const ActiveCallPtr& active_call, const Row& row);
  void HandleReleased(const ActiveCallPtr& active_call, const Row& row);
  bool HasOwnerEnded(const ActiveCallPtr& active_call, const CallRow& row);
  void PollLater(const ActiveCallPtr& active_call);
  void FetchResult(const ActiveCallPtr& active_call);
  void OnResultFetched(const ActiveCallPtr& active_call,
                       const Outcome<std::string>& body);

  // Sending the call.
  void Send(const ActiveCallPtr& active_call);
  void OnSent(const ActiveCallPtr& active_call, const SendOutcome& outcome);

  // Writing the final state of the row.
  void StartFinalWrite(const ActiveCallPtr& active_call,
                       CallRowState final_state,
                       Resolution resolution);
  void ContinueFinalWrite(const ActiveCallPtr& active_call);
  void CommitFinalState(const ActiveCallPtr& active_call);
  void OnFinalObjectWritten(const ActiveCallPtr& active_call,
                            const std::optional<Error>& error);
  void OnFinalRowRead(const ActiveCallPtr& active_call,
                      const ReadOutcome& rows);
  void OnFinalStateCommitted(const ActiveCallPtr& active_call,
                             const CommitOutcome& outcome);
  void OnOtherClaimFound(const ActiveCallPtr& active_call, const Row& row);
  void OnFinalWriteDone(const ActiveCallPtr& active_call);
  void RetryLater(const ActiveCallPtr& active_call);

  // Answering requests and running scheduled steps.
  void End(const ActiveCallPtr& active_call, Resolution resolution);
  void AnswerAll(const ActiveCallPtr& active_call);
  void Answer(const PendingRequest& request, const Resolution& resolution);
  void Finish(const ActiveCallPtr& active_call);
  void ExpireRequests(const ActiveCallPtr& active_call);
  void ExpireResubmitted(const ActiveCallPtr& active_call);
  void RunScheduledStep(const ActiveCallPtr& active_call);

  void ReadRow(const ActiveCallPtr& active_call,
               void (State::*function)(const ActiveCallPtr&,
                                       const ReadOutcome&)) {
    active_call->next_run_at = absl::InfiniteFuture();
    this->table.Read({active_call->key}, this->Bind(active_call, function));
  }
  CallRow MakeRow(const ActiveCall& active_call, CallRowState state) const;
  bool NeedsObject(const ActiveCall& active_call) const;
  std::string ObjectName(const ActiveCall& active_call) const;
  absl::Duration NextDelay(const ActiveCallPtr& active_call,
                           absl::Duration first,
                           absl::Duration max);

  const CallDeduplicatorConfig config;
  const Clock& clock;
  const Clock& wall_clock;
  Random& random;
  TableService& table;
  ObjectStore& objects;
  CallSender& sender;
  const OwnerLiveness& owners;
  TokenBucket claim_rate_limit;
  std::map<std::string, ActiveCallPtr> active_calls;
  size_t unanswered = 0;       // Requests that are not yet answered.
  size_t unwritten_bytes = 0;  // Size of the results in phase kWriteFinalState.
  // When this instance first saw a claim of another instance, by row key and
  // claim token.
  std::map<std::string, absl::Time> first_seen_times;
};

// --- New requests ----------------------------------------------------------

bool CallDeduplicator::State::RefuseIfNotAllowed(const ServiceCall& call,
                                                 const CallCallback& callback) {
  Resolution resolution;
  PendingRequest request{.deadline = call.deadline,
                         .is_initial = true,
                         .first_attempt = call.first_attempt,
                         .callback = callback};
  if (call.customer.empty() || call.idempotency_key.empty()) {
    resolution = {ResolutionKind::kNotRun,
                  RefusalCode::kInvalidRequest,
                  "idempotency-key: is required for this service",
                  {},
                  false};
  } else if (this->clock.Now() >= call.deadline) {
    resolution = DeadlineExpiredResolution(ResolutionKind::kUncertain);
  } else if (this->unanswered >= this->config.max_unanswered) {
    resolution = OverloadedResolution("too many calls are in progress");
  } else {
    return false;
  }
  ++this->unanswered;
  this->Answer(request, resolution);
  return true;
}

void CallDeduplicator::State::Submit(ServiceCall call, CallCallback callback) {
  ++this->stats.submitted;
  if (this->RefuseIfNotAllowed(call, callback))
    return;
  call.deadline =
      std::min(call.deadline, this->clock.Now() + this->config.max_call_time);
  std::string key =
      CallRowKey(this->config.environment, call.customer, call.idempotency_key);
  ++this->unanswered;
  auto found = this->active_calls.find(key);
  if (found != this->active_calls.end()) {
    this->JoinCall(ActiveCallPtr(found->second), std::move(call),
                   std::move(callback));
  } else {
    this->StartCall(std::move(call), std::move(callback), std::move(key));
  }
}

void CallDeduplicator::State::JoinCall(const ActiveCallPtr& active_call,
                                       ServiceCall call,
                                       CallCallback callback) {
  // Another request with this key is in progress, so the caller has sent the
  // key before.
  call.first_attempt = false;
  PendingRequest request{.deadline = call.deadline,
                         .callback = std::move(callback)};
  if (CallDigest(call) != active_call->digest) {
    this->Answer(request, {ResolutionKind::kKeyReused,
                           RefusalCode::kKeyReused,
                           "this key was already used for a different request",
                           {},
                           false});
  } else if (!active_call->is_answered) {
    active_call->requests.push_back(std::move(request));
  } else if (active_call->resolution->kind == ResolutionKind::kResult ||
             active_call->resolution->kind == ResolutionKind::kUnknown) {
    this->Answer(request, *active_call->resolution);
  } else {
    active_call->resubmit_later.push_back(std::move(request));
  }
}

void CallDeduplicator::State::StartCall(ServiceCall call,
                                        CallCallback callback,
                                        std::string key) {
  auto active_call = std::make_shared<ActiveCall>();
  active_call->key = std::move(key);
  active_call->token = fmt::format("{}/{:016x}", this->config.owner,
                                   this->random.UniformInt(0, UINT64_MAX));
  active_call->digest = CallDigest(call);
  active_call->requests.push_back({.deadline = call.deadline,
                                   .is_initial = true,
                                   .first_attempt = call.first_attempt,
                                   .callback = std::move(callback)});
  active_call->call = std::move(call);
  this->active_calls.emplace(active_call->key, active_call);
  bool allowed = this->unwritten_bytes < this->config.max_unwritten_bytes &&
                 this->claim_rate_limit.TryTake();
  if (allowed) {
    this->Claim(active_call, kAbsentVersion);
    return;
  }
  ++this->stats.claims_refused;
  active_call->may_claim = false;
  if (active_call->call.first_attempt) {
    this->End(active_call,
              OverloadedResolution("too many calls are being started"));
  } else {
    active_call->phase = Phase::kLookUpRow;
    this->ReadRow(active_call, &State::OnLookUpRead);
  }
}

// --- Claiming the row ------------------------------------------------------

CallRow CallDeduplicator::State::MakeRow(const ActiveCall& active_call,
                                         CallRowState row_state) const {
  CallRow row;
  row.state = row_state;
  row.token = active_call.token;
  row.owner = this->config.owner;
  row.digest = active_call.digest;
  row.time_left = std::max(absl::ZeroDuration(),
                           active_call.call.deadline - this->clock.Now());
  row.written_at = this->wall_clock.Now();
  if (row_state == CallRowState::kDone) {
    row.result = active_call.resolution->result;
    if (this->NeedsObject(active_call))
      row.object = this->ObjectName(active_call);
  }
  return row;
}

void CallDeduplicator::State::Claim(const ActiveCallPtr& active_call,
                                    uint64_t expected) {
  active_call->phase = Phase::kClaim;
  active_call->expected_version = expected;
  active_call->next_run_at = absl::InfiniteFuture();
  ++this->stats.claims;
  Transaction transaction;
  transaction.checks.push_back({active_call->key, expected});
  transaction.puts.push_back(
      {active_call->key,
       EncodeCallRow(this->MakeRow(*active_call, CallRowState::kClaimed))});
  this->table.Commit(std::move(transaction),
                     this->Bind(active_call, &State::OnClaim));
}

void CallDeduplicator::State::OnClaim(const ActiveCallPtr& active_call,
                                      const CommitOutcome& outcome) {
  switch (outcome.state) {
    case CommitState::kCommitted:
      // Reads the row's version while the call is sent, because the write of
      // the final state needs it.
      this->table.Read({active_call->key},
                       this->Bind(active_call, &State::OnClaimedVersionRead));
      this->Send(active_call);
      return;
    case CommitState::kUnavailable:
      this->End(active_call, TableUnavailableResolution());
      return;
    case CommitState::kConflict:
    case CommitState::kUnknown:
      active_call->phase = Phase::kReadBackClaim;
      this->ReadRow(active_call, &State::OnReadBack);
      return;
  }
}

void CallDeduplicator::State::OnClaimedVersionRead(
    const ActiveCallPtr& active_call,
    const ReadOutcome& rows) {
  const Row* row =
      rows.ok() ? FindRow(rows.value(), active_call->key) : nullptr;
  if (row == nullptr || active_call->phase != Phase::kSend)
    return;
  auto decoded = Capture([&] { return DecodeCallRow(row->value); });
  if (decoded.ok() && decoded.value().token == active_call->token)
    active_call->version = row->version;
}

void CallDeduplicator::State::OnReadBack(const ActiveCallPtr& active_call,
                                         const ReadOutcome& rows) {
  if (!rows.ok()) {
    this->StartFinalWrite(active_call, CallRowState::kReleased,
                          TableUnavailableResolution());
    return;
  }
  const Row* row = FindRow(rows.value(), active_call->key);
  uint64_t version = row == nullptr ? kAbsentVersion : row->version;
  if (version == active_call->expected_version) {
    // The claim's commit may still take effect later. Releasing the row changes
    // its version, which makes that commit fail. The call is never sent under
    // this claim.
    this->StartFinalWrite(active_call, CallRowState::kReleased,
                          TableUnavailableResolution());
    return;
  }
  if (row == nullptr) {
    this->End(active_call,
              OutcomeUnknownResolution(
                  "the stored record for the idempotency key was deleted"));
    return;
  }
  auto decoded = Capture([&] { return DecodeCallRow(row->value); });
  if (decoded.ok() && decoded.value().token == active_call->token) {
    active_call->version = row->version;
    this->Send(active_call);
    return;
  }
  this->HandleRow(active_call, *row);
}

// --- Rows that another request has written ---------------------------------

void CallDeduplicator::State::OnLookUpRead(const ActiveCallPtr& active_call,
                                           const ReadOutcome& rows) {
  const Row* row =
      rows.ok() ? FindRow(rows.value(), active_call->key) : nullptr;
  if (row == nullptr) {
    this->End(active_call,
              OverloadedResolution("too many calls are being started"));
    return;
  }
  this->HandleRow(active_call, *row);
}

void CallDeduplicator::State::OnPollRead(const ActiveCallPtr& active_call,
                                         const ReadOutcome& rows) {
  if (!rows.ok()) {
    this->PollLater(active_call);
    return;
  }
  const Row* row = FindRow(rows.value(), active_call->key);
  if (row == nullptr) {
    this->End(active_call,
              OutcomeUnknownResolution(
                  "the stored record for the idempotency key was deleted"));
    return;
  }
  this->HandleRow(active_call, *row);
}

void CallDeduplicator::State::HandleRow(const ActiveCallPtr& active_call,
                                        const Row& row) {
  // A row exists, so a later request with the key was faster than the first
  // attempt. It may have been answered "not run", so the first attempt must not
  // run the call any more.
  if (active_call->call.first_attempt)
    active_call->may_claim = false;
  for (PendingRequest& request : active_call->requests)
    request.first_attempt = false;
  auto decoded = Capture([&] { return DecodeCallRow(row.value); });
  if (!decoded.ok()) {
    this->End(active_call,
              OutcomeUnknownResolution(decoded.error().ToString()));
    return;
  }
  CallRow& stored_row = decoded.value();
  if (stored_row.digest != active_call->digest) {
    this->End(active_call, {ResolutionKind::kKeyReused,
                            RefusalCode::kKeyReused,
                            "this key was already used for a different request",
                            {},
                            false});
    return;
  }
  switch (stored_row.state) {
    case CallRowState::kReleased:
      this->HandleReleased(active_call, row);
      return;
    case CallRowState::kUnknown:
      this->End(active_call,
                OutcomeUnknownResolution("the backend server did not answer"));
      return;
    case CallRowState::kDone:
      active_call->stored_row = std::move(stored_row);
      this->FetchResult(active_call);
      return;
    case CallRowState::kClaimed:
      active_call->may_claim = false;
      if (this->HasOwnerEnded(active_call, stored_row)) {
        this->End(active_call, OutcomeUnknownResolution(
                                   "the instance that ran it has ended"));
      } else {
        this->PollLater(active_call);
      }
      return;
  }
}

// A request claims a released row only if it has seen no other claim before. If
// it waited for another claim, it is answered "not run" like the request that
// made that claim, because the caller may have received that answer and given
// up.
void CallDeduplicator::State::HandleReleased(const ActiveCallPtr& active_call,
                                             const Row& row) {
  if (!active_call->may_claim) {
    bool is_look_up = active_call->phase == Phase::kLookUpRow;
    this->End(active_call,
              is_look_up
                  ? OverloadedResolution("too many calls are being started")
                  : Resolution{ResolutionKind::kNotRun,
                               RefusalCode::kNoBackendServer,
                               "another request with this key ended "
                               "before the call was sent",
                               {},
                               false});
  } else if (this->clock.Now() >= active_call->call.deadline) {
    this->End(active_call, DeadlineExpiredResolution(ResolutionKind::kNotRun));
  } else if (!this->claim_rate_limit.TryTake()) {
    ++this->stats.claims_refused;
    this->End(active_call,
              OverloadedResolution("too many calls are being started"));
  } else {
    this->Claim(active_call, row.version);
  }
}

// The row states the time that was left to the call's deadline when it was
// claimed. On this instance's clock, the deadline is therefore at most that
// long after the claim was first seen.
bool CallDeduplicator::State::HasOwnerEnded(const ActiveCallPtr& active_call,
                                            const CallRow& row) {
  if (this->owners.HasEnded(row.owner))
    return true;
  absl::Time now = this->clock.Now();
  if (this->first_seen_times.size() >= kMaxFirstSeenTimes)
    this->first_seen_times.clear();
  absl::Time first =
      this->first_seen_times.emplace(active_call->key + row.token, now)
          .first->second;
  return now >= first + row.time_left + this->config.owner_grace_period;
}

void CallDeduplicator::State::PollLater(const ActiveCallPtr& active_call) {
  if (active_call->phase != Phase::kPollOtherClaim) {
    active_call->phase = Phase::kPollOtherClaim;
    active_call->current_delay = absl::ZeroDuration();
  }
  active_call->next_run_at =
      this->clock.Now() + this->NextDelay(active_call,
                                          this->config.initial_poll_delay,
                                          this->config.max_poll_delay);
}

void CallDeduplicator::State::FetchResult(const ActiveCallPtr& active_call) {
  if (active_call->stored_row.object.empty()) {
    this->End(active_call, {ResolutionKind::kResult, RefusalCode::kInternal, "",
                            active_call->stored_row.result, true});
    return;
  }
  if (active_call->phase != Phase::kFetchResult) {
    active_call->phase = Phase::kFetchResult;
    active_call->current_delay = absl::ZeroDuration();
  }
  active_call->next_run_at = absl::InfiniteFuture();
  this->objects.Get(active_call->stored_row.object,
                    this->Bind(active_call, &State::OnResultFetched));
}

void CallDeduplicator::State::OnResultFetched(
    const ActiveCallPtr& active_call,
    const Outcome<std::string>& body) {
  if (!body.ok()) {
    this->RetryLater(active_call);
    return;
  }
  active_call->stored_row.result.body = body.value();
  this->End(active_call, {ResolutionKind::kResult, RefusalCode::kInternal, "",
                          active_call->stored_row.result, true});
}

// --- Sending the call ------------------------------------------------------

void CallDeduplicator::State::Send(const ActiveCallPtr& active_call) {
  if (this->clock.Now() >= active_call->call.deadline) {
    this->StartFinalWrite(active_call, CallRowState::kReleased,
                          DeadlineExpiredResolution(ResolutionKind::kNotRun));
    return;
  }
  active_call->phase = Phase::kSend;
  active_call->next_run_at = absl::InfiniteFuture();
  ++this->stats.sends;
  this->sender.SendOnce(
      active_call->call,
      [&clock_ref = this->clock, deadline = active_call->call.deadline] {
        return clock_ref.Now() < deadline;
      },
      this->Bind(active_call, &State::OnSent));
}

void CallDeduplicator::State::OnSent(const ActiveCallPtr& active_call,
                                     const SendOutcome& outcome) {
  switch (outcome.state) {
    case SendState::kNothingSent:
      this->StartFinalWrite(
          active_call, CallRowState::kReleased,
          outcome.send_not_allowed
              ? DeadlineExpiredResolution(ResolutionKind::kNotRun)
              : Resolution{ResolutionKind::kNotRun,
                           RefusalCode::kNoBackendServer,
                           outcome.detail,
                           {},
                           false});
      return;
    case SendState::kAnswered:
      this->StartFinalWrite(active_call, CallRowState::kDone,
                            {ResolutionKind::kResult, RefusalCode::kInternal,
                             "", outcome.result, false});
      return;
    case SendState::kUnknown:
      this->StartFinalWrite(active_call, CallRowState::kUnknown,
                            OutcomeUnknownResolution(outcome.detail));
      return;
  }
}

// --- Writing the final state of the row ------------------------------------

bool CallDeduplicator::State::NeedsObject(const ActiveCall& active_call) const {
  return active_call.final_state == CallRowState::kDone &&
         active_call.resolution->result.body.size() >
             this->config.max_row_result_bytes;
}

std::string CallDeduplicator::State::ObjectName(
    const ActiveCall& active_call) const {
  return fmt::format(
      "{}/{}", active_call.key,
      active_call.token.substr(active_call.token.rfind('/') + 1));
}

void CallDeduplicator::State::StartFinalWrite(const ActiveCallPtr& active_call,
                                              CallRowState final_state,
                                              Resolution resolution) {
  active_call->phase = Phase::kWriteFinalState;
  active_call->final_state = final_state;
  active_call->resolution = std::move(resolution);
  active_call->answer_at = this->clock.Now() + this->config.max_answer_delay;
  active_call->current_delay = absl::ZeroDuration();
  this->unwritten_bytes += active_call->resolution->result.body.size();
  this->ContinueFinalWrite(active_call);
}

void CallDeduplicator::State::ContinueFinalWrite(
    const ActiveCallPtr& active_call) {
  active_call->next_run_at = absl::InfiniteFuture();
  if (this->NeedsObject(*active_call) && !active_call->object_stored) {
    this->objects.Put(this->ObjectName(*active_call),
                      active_call->resolution->result.body,
                      this->Bind(active_call, &State::OnFinalObjectWritten));
  } else if (active_call->version.has_value()) {
    this->CommitFinalState(active_call);
  } else {
    this->ReadRow(active_call, &State::OnFinalRowRead);
  }
}

void CallDeduplicator::State::OnFinalObjectWritten(
    const ActiveCallPtr& active_call,
    const std::optional<Error>& error) {
  active_call->object_stored = !error.has_value();
  if (error.has_value()) {
    this->RetryLater(active_call);
  } else {
    this->ContinueFinalWrite(active_call);
  }
}

void CallDeduplicator::State::OnFinalRowRead(const ActiveCallPtr& active_call,
                                             const ReadOutcome& rows) {
  if (!rows.ok()) {
    this->RetryLater(active_call);
    return;
  }
  const Row* row = FindRow(rows.value(), active_call->key);
  if (row == nullptr) {
    if (active_call->final_state != CallRowState::kReleased) {
      // CallCleaner deleted the row before the final state could be written.
      this->OnFinalWriteDone(active_call);
      return;
    }
    active_call->version = kAbsentVersion;
    this->CommitFinalState(active_call);
    return;
  }
  auto decoded = Capture([&] { return DecodeCallRow(row->value); });
  bool is_own_row = decoded.ok() && decoded.value().token == active_call->token;
  if (is_own_row && decoded.value().state == active_call->final_state) {
    this->OnFinalWriteDone(active_call);
  } else if (is_own_row || row->version == active_call->expected_version) {
    active_call->version = row->version;
    this->CommitFinalState(active_call);
  } else {
    this->OnOtherClaimFound(active_call, *row);
  }
}

void CallDeduplicator::State::CommitFinalState(
    const ActiveCallPtr& active_call) {
  Transaction transaction;
  transaction.checks.push_back({active_call->key, *active_call->version});
  transaction.puts.push_back(
      {active_call->key,
       EncodeCallRow(this->MakeRow(*active_call, active_call->final_state))});
  this->table.Commit(std::move(transaction),
                     this->Bind(active_call, &State::OnFinalStateCommitted));
}

void CallDeduplicator::State::OnFinalStateCommitted(
    const ActiveCallPtr& active_call,
    const CommitOutcome& outcome) {
  if (outcome.state == CommitState::kCommitted) {
    this->OnFinalWriteDone(active_call);
    return;
  }
  active_call->version.reset();
  this->RetryLater(active_call);
}

// Handles a row that another request has claimed in the meantime, so that the
// claim of this call can no longer take effect. The requests without an answer
// wait for the result of the other claim. This call does not claim the row
// again.
void CallDeduplicator::State::OnOtherClaimFound(
    const ActiveCallPtr& active_call,
    const Row& row) {
  if (active_call->requests.empty() ||
      active_call->resolution->kind != ResolutionKind::kUncertain) {
    this->OnFinalWriteDone(active_call);
    return;
  }
  active_call->resolution.reset();
  active_call->answer_at = absl::InfiniteFuture();
  active_call->may_claim = false;
  this->HandleRow(active_call, row);
}

void CallDeduplicator::State::OnFinalWriteDone(
    const ActiveCallPtr& active_call) {
  Resolution resolution = *active_call->resolution;
  // The row could be released, which shows that no earlier request held a
  // claim.
  if (resolution.kind == ResolutionKind::kUncertain)
    resolution.kind = ResolutionKind::kNotRun;
  this->End(active_call, std::move(resolution));
}

absl::Duration CallDeduplicator::State::NextDelay(
    const ActiveCallPtr& active_call,
    absl::Duration first,
    absl::Duration max) {
  active_call->current_delay =
      std::min(max, std::max(first, active_call->current_delay * 2));
  // Random jitter prevents instances from retrying at the same time after an
  // outage.
  return active_call->current_delay * (0.5 + this->random.UniformDouble() / 2);
}

void CallDeduplicator::State::RetryLater(const ActiveCallPtr& active_call) {
  ++this->stats.retries;
  active_call->next_run_at =
      this->clock.Now() + this->NextDelay(active_call,
                                          this->config.initial_retry_delay,
                                          this->config.max_retry_delay);
}

// --- Answering requests and running scheduled steps ------------------------

void CallDeduplicator::State::End(const ActiveCallPtr& active_call,
                                  Resolution resolution) {
  if (active_call->phase == Phase::kWriteFinalState &&
      active_call->resolution.has_value())
    this->unwritten_bytes -= active_call->resolution->result.body.size();
  active_call->resolution = std::move(resolution);
  this->AnswerAll(active_call);
  this->Finish(active_call);
}

// The row may have been read before other requests joined this call. An answer
// "not run" therefore goes to the initial request only, and the others are
// submitted again.
void CallDeduplicator::State::AnswerAll(const ActiveCallPtr& active_call) {
  active_call->is_answered = true;
  std::vector<PendingRequest> requests = std::move(active_call->requests);
  active_call->requests.clear();
  for (PendingRequest& request : requests) {
    if (request.is_initial ||
        AppliesToJoinedRequests(*active_call->resolution)) {
      this->Answer(request, *active_call->resolution);
    } else {
      active_call->resubmit_later.push_back(std::move(request));
    }
  }
}

void CallDeduplicator::State::Answer(const PendingRequest& request,
                                     const Resolution& resolution) {
  --this->unanswered;
  if (resolution.kind == ResolutionKind::kResult) {
    ++(resolution.stored ? this->stats.stored_answers : this->stats.answered);
    request.callback(resolution.result);
    return;
  }
  Refusal refusal = ToRefusal(resolution, request.first_attempt);
  if (refusal.code == RefusalCode::kKeyReused) {
    ++this->stats.key_reused;
  } else if (refusal.code == RefusalCode::kInProgress) {
    ++this->stats.in_progress;
  } else if (refusal.outcome == RefusalOutcome::kNotRun) {
    ++this->stats.not_run;
  } else {
    ++this->stats.unknown;
  }
  request.callback(std::move(refusal));
}

void CallDeduplicator::State::Finish(const ActiveCallPtr& active_call) {
  active_call->finished = true;
  this->active_calls.erase(active_call->key);
  std::vector<PendingRequest> resubmit_later =
      std::move(active_call->resubmit_later);
  for (PendingRequest& request : resubmit_later) {
    ServiceCall call = active_call->call;
    call.deadline = request.deadline;
    call.first_attempt = false;
    --this->unanswered;
    --this->stats.submitted;
    this->Submit(std::move(call), std::move(request.callback));
  }
}

// Answers the requests whose deadline has passed. If the initial request
// expires before the send, the call is never sent. Other requests expire on
// their own, while the initial request may still send the call.
void CallDeduplicator::State::ExpireRequests(const ActiveCallPtr& active_call) {
  absl::Time now = this->clock.Now();
  std::vector<PendingRequest> expired;
  std::erase_if(active_call->requests, [&](PendingRequest& request) {
    if (request.deadline > now)
      return false;
    expired.push_back(std::move(request));
    return true;
  });
  if (expired.empty())
    return;
  bool is_before_send = active_call->phase == Phase::kClaim ||
                        active_call->phase == Phase::kReadBackClaim ||
                        active_call->phase == Phase::kLookUpRow;
  for (const PendingRequest& request : expired) {
    if (active_call->resolution.has_value() &&
        (request.is_initial ||
         AppliesToJoinedRequests(*active_call->resolution))) {
      this->Answer(request, *active_call->resolution);
    } else if (request.is_initial && is_before_send) {
      this->Answer(request,
                   DeadlineExpiredResolution(ResolutionKind::kUncertain));
    } else {
      this->Answer(request, InProgressResolution());
    }
  }
  bool writes_nothing = active_call->phase == Phase::kPollOtherClaim ||
                        active_call->phase == Phase::kFetchResult ||
                        active_call->phase == Phase::kLookUpRow;
  if (writes_nothing && active_call->requests.empty() && !active_call->finished)
    this->Finish(active_call);
}

void CallDeduplicator::State::ExpireResubmitted(
    const ActiveCallPtr& active_call) {
  absl::Time now = this->clock.Now();
  std::vector<PendingRequest> expired;
  std::erase_if(active_call->resubmit_later, [&](PendingRequest& request) {
    if (request.deadline > now)
      return false;
    expired.push_back(std::move(request));
    return true;
  });
  for (const PendingRequest& request : expired)
    this->Answer(request,
                 DeadlineExpiredResolution(ResolutionKind::kUncertain));
}

void CallDeduplicator::State::RunScheduledStep(
    const ActiveCallPtr& active_call) {
  switch (active_call->phase) {
    case Phase::kPollOtherClaim:
      this->ReadRow(active_call, &State::OnPollRead);
      return;
    case Phase::kFetchResult:
      this->FetchResult(active_call);
      return;
    case Phase::kWriteFinalState:
      this->ContinueFinalWrite(active_call);
      return;
    case Phase::kClaim:
    case Phase::kReadBackClaim:
    case Phase::kLookUpRow:
    case Phase::kSend:
      return;
  }
}

void CallDeduplicator::State::Tick() {
  std::vector<ActiveCallPtr> calls_at_start;
  calls_at_start.reserve(this->active_calls.size());
  for (const auto& [key, active_call] : this->active_calls)
    calls_at_start.push_back(active_call);
  absl::Time now = this->clock.Now();
  for (const ActiveCallPtr& active_call : calls_at_start) {
    if (!active_call->finished && active_call->next_run_at <= now)
      this->RunScheduledStep(active_call);
    if (!active_call->finished && active_call->resolution.has_value() &&
        active_call->answer_at <= now) {
      this->AnswerAll(active_call);
    }
    if (!active_call->finished) {
      this->ExpireRequests(active_call);
      this->ExpireResubmitted(active_call);
    }
  }
}

// --- CallDeduplicator ------------------------------------------------------

CallDeduplicator::CallDeduplicator(CallDeduplicatorConfig config,
                                   const Clock& clock,
                                   const Clock& wall_clock,
                                   Random& random,
                                   TableService& table,
                                   ObjectStore& objects,
                                   CallSender& sender,
                                   const OwnerLiveness& owners)
    : state(std::make_shared<State>(std::move(config),
                                    clock,
                                    wall_clock,
                                    random,
                                    table,
                                    objects,
                                    sender,
                                    owners)) {}

CallDeduplicator::~CallDeduplicator() = default;

void CallDeduplicator::Submit(ServiceCall call, CallCallback callback) {
  this->state->Submit(std::move(call), std::move(callback));
}

void CallDeduplicator::Tick() {
  this->state->Tick();
}

size_t CallDeduplicator::unfinished() const {
  return this->state->unfinished();
}

const CallDeduplicatorStats& CallDeduplicator::stats() const {
  return this->state->stats;
}

}  // namespace cranberryhill
