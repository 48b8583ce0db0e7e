#include "cranberryhill/calls/call_guard.h"

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

// First sightings of other instances' claims that are remembered between
// repeats. Forgetting them only delays the answer "unknown".
constexpr size_t kMaxSightings = 10'000;

constexpr absl::Duration kRetryAfter = absl::Seconds(1);

// How a call ended as far as this instance knows.
enum class Ending {
  kResult,
  kUnknown,
  kNotRun,
  /// This instance never sends the call, but cannot see whether an earlier
  /// request ran it: not run for a first attempt, unknown otherwise.
  kUncertain,
  kKeyReused,
};

struct Resolution {
  Ending ending = Ending::kUnknown;
  RefusalCode code = RefusalCode::kOutcomeUnknown;
  std::string message;
  CallResult result;
  bool stored = false;  // The result comes from an earlier run's row.
};

struct Waiter {
  absl::Time deadline;
  bool is_leader = false;  // The request whose deadline limits the send.
  bool first_attempt = false;
  CallCallback callback;
};

enum class Phase {
  kClaim,
  kReadBack,  // The claim's answer was lost or a conflict.
  kLookUp,    // No claim is allowed now; a stored result may be answered.
  kWait,      // Another instance has the claim.
  kFetch,     // Reads the stored result from the object store.
  kSend,
  kSettle,  // Writes the row's final state.
};

struct Entry {
  std::string key;
  std::string token;
  std::string digest;
  ServiceCall call;
  Phase phase = Phase::kClaim;
  bool finished = false;
  std::vector<Waiter> waiters;
  std::vector<Waiter> held;  // Start again when this entry has ended.

  uint64_t claim_version = kAbsentVersion;  // Checked by the last claim.
  std::optional<uint64_t> version;          // Of the row with this claim.
  bool may_claim = true;  // False once another claim was seen.
  CallRow seen;           // Row whose object is fetched.

  CallRowState target = CallRowState::kReleased;
  std::optional<Resolution> resolution;
  absl::Time answer_by = absl::InfiniteFuture();
  bool object_stored = false;
  bool was_answered = false;

  absl::Time due = absl::InfiniteFuture();
  absl::Duration backoff;
};

using EntryPtr = std::shared_ptr<Entry>;

Refusal RefusalOf(const Resolution& resolution, bool first_attempt) {
  bool not_run = resolution.ending == Ending::kNotRun ||
                 resolution.ending == Ending::kKeyReused ||
                 (resolution.ending == Ending::kUncertain && first_attempt);
  Refusal refusal =
      MakeRefusal(resolution.code,
                  not_run ? RefusalOutcome::kNotRun : RefusalOutcome::kUnknown,
                  resolution.message);
  if (resolution.ending == Ending::kKeyReused)
    refusal.field = "idempotency-key";
  if (resolution.ending == Ending::kUncertain && !not_run)
    refusal.message += "; send the request again with the same key";
  if (resolution.ending == Ending::kNotRun ||
      resolution.ending == Ending::kUncertain) {
    refusal.retry_after = kRetryAfter;
  }
  return refusal;
}

// True when requests that joined later may get the same answer.
bool HoldsForAll(const Resolution& resolution) {
  return resolution.ending != Ending::kNotRun &&
         resolution.ending != Ending::kUncertain;
}

Resolution StillRunning() {
  return {Ending::kUnknown,
          RefusalCode::kInProgress,
          "a request with this key is still running",
          {},
          false};
}

Resolution OutcomeUnknown(std::string_view reason) {
  return {Ending::kUnknown,
          RefusalCode::kOutcomeUnknown,
          fmt::format("the call may have run: {}", reason),
          {},
          false};
}

Resolution TableSilent() {
  return {Ending::kUncertain,
          RefusalCode::kTableUnavailable,
          "the table service does not answer",
          {},
          false};
}

Resolution DeadlineExpired(Ending ending) {
  return {ending,
          RefusalCode::kDeadlineExpired,
          "the deadline expired before the call was sent",
          {},
          false};
}

Resolution Overloaded(std::string_view reason) {
  return {Ending::kUncertain,
          RefusalCode::kOverloaded,
          std::string(reason),
          {},
          false};
}

}  // namespace

class CallGuard::State : public std::enable_shared_from_this<State> {
 public:
  State(CallGuardConfig new_config,
        const Clock& clock,
        const Clock& wall_clock,
        Random& random,
        TableService& table,
        ObjectStore& objects,
        CallSender& sender,
        const OwnerView& owners)
      : config(std::move(new_config)),
        clock(clock),
        wall_clock(wall_clock),
        random(random),
        table(table),
        objects(objects),
        sender(sender),
        owners(owners),
        claims(this->config.max_claims_per_second,
               std::max(1.0, this->config.max_claims_per_second),
               clock) {}

  void Submit(ServiceCall call, CallCallback callback);
  void Tick();

  size_t unfinished() const { return this->entries.size(); }  // NOLINT

  CallGuardStats stats;

 private:
  // Wraps a member function as a callback that does nothing once this object
  // is destroyed or the entry has ended.
  template <typename... Args>
  auto Bind(const EntryPtr& entry,
            void (State::*function)(const EntryPtr&, Args...)) {
    return [weak = this->weak_from_this(), entry, function](Args... args) {
      auto self = weak.lock();
      if (self != nullptr && !entry->finished)
        ((*self).*function)(entry, args...);
    };
  }

  // Start.
  bool Refused(const ServiceCall& call, const CallCallback& callback);
  void Join(const EntryPtr& entry, ServiceCall call, CallCallback callback);
  void Start(ServiceCall call, CallCallback callback, std::string key);

  // Claim.
  void Claim(const EntryPtr& entry, uint64_t expected);
  void OnClaim(const EntryPtr& entry, const CommitOutcome& outcome);
  void OnReadBack(const EntryPtr& entry, const ReadOutcome& rows);
  void LearnVersion(const EntryPtr& entry, const ReadOutcome& rows);

  // Rows of other claims.
  void OnLookUp(const EntryPtr& entry, const ReadOutcome& rows);
  void OnPoll(const EntryPtr& entry, const ReadOutcome& rows);
  void HandleRow(const EntryPtr& entry, const Row& row);
  void HandleReleased(const EntryPtr& entry, const Row& row);
  bool IsOwnerGone(const EntryPtr& entry, const CallRow& row);
  void Wait(const EntryPtr& entry);
  void Fetch(const EntryPtr& entry);
  void OnFetched(const EntryPtr& entry, const Outcome<std::string>& body);

  // Send.
  void Send(const EntryPtr& entry);
  void OnSent(const EntryPtr& entry, const SendOutcome& outcome);

  // Final state of the row.
  void Settle(const EntryPtr& entry,
              CallRowState target,
              Resolution resolution);
  void SettleStep(const EntryPtr& entry);
  void SettleCommit(const EntryPtr& entry);
  void OnSettleObject(const EntryPtr& entry, const std::optional<Error>& error);
  void OnSettleRead(const EntryPtr& entry, const ReadOutcome& rows);
  void OnSettleCommit(const EntryPtr& entry, const CommitOutcome& outcome);
  void OnTakenOver(const EntryPtr& entry, const Row& row);
  void Settled(const EntryPtr& entry);
  void RetryLater(const EntryPtr& entry);

  // Answers.
  void End(const EntryPtr& entry, Resolution resolution);
  void AnswerAll(const EntryPtr& entry);
  void Answer(const Waiter& waiter, const Resolution& resolution);
  void Finish(const EntryPtr& entry);
  void ExpireWaiters(const EntryPtr& entry);
  void ExpireHeld(const EntryPtr& entry);
  void RunDue(const EntryPtr& entry);

  void ReadRow(const EntryPtr& entry,
               void (State::*function)(const EntryPtr&, const ReadOutcome&)) {
    entry->due = absl::InfiniteFuture();
    this->table.Read({entry->key}, this->Bind(entry, function));
  }
  CallRow NewRow(const Entry& entry, CallRowState state) const;
  bool IsLarge(const Entry& entry) const;
  std::string ObjectName(const Entry& entry) const;
  absl::Duration NextBackoff(const EntryPtr& entry,
                             absl::Duration first,
                             absl::Duration max);

  const CallGuardConfig config;
  const Clock& clock;
  const Clock& wall_clock;
  Random& random;
  TableService& table;
  ObjectStore& objects;
  CallSender& sender;
  const OwnerView& owners;
  TokenBucket claims;
  std::map<std::string, EntryPtr> entries;
  size_t waiting = 0;          // Requests that are not answered.
  size_t unwritten_bytes = 0;  // Of results in phase kSettle.
  // When the claim with a token was first seen, for claims of others.
  std::map<std::string, absl::Time> sightings;
};

// --- Start -----------------------------------------------------------------

bool CallGuard::State::Refused(const ServiceCall& call,
                               const CallCallback& callback) {
  Resolution resolution;
  Waiter waiter{.deadline = call.deadline,
                .is_leader = true,
                .first_attempt = call.first_attempt,
                .callback = callback};
  if (call.customer.empty() || call.idempotency_key.empty()) {
    resolution = {Ending::kNotRun,
                  RefusalCode::kInvalidRequest,
                  "idempotency-key: is required for this service",
                  {},
                  false};
  } else if (this->clock.Now() >= call.deadline) {
    resolution = DeadlineExpired(Ending::kUncertain);
  } else if (this->waiting >= this->config.max_running) {
    resolution = Overloaded("too many calls are in progress");
  } else {
    return false;
  }
  ++this->waiting;
  this->Answer(waiter, resolution);
  return true;
}

void CallGuard::State::Submit(ServiceCall call, CallCallback callback) {
  ++this->stats.submitted;
  if (this->Refused(call, callback))
    return;
  call.deadline =
      std::min(call.deadline, this->clock.Now() + this->config.max_call_time);
  std::string key =
      CallRowKey(this->config.environment, call.customer, call.idempotency_key);
  ++this->waiting;
  auto found = this->entries.find(key);
  if (found != this->entries.end()) {
    this->Join(EntryPtr(found->second), std::move(call), std::move(callback));
  } else {
    this->Start(std::move(call), std::move(callback), std::move(key));
  }
}

void CallGuard::State::Join(const EntryPtr& entry,
                            ServiceCall call,
                            CallCallback callback) {
  // A request that finds another one with its key is no first attempt.
  call.first_attempt = false;
  Waiter waiter{.deadline = call.deadline, .callback = std::move(callback)};
  if (CallDigest(call) != entry->digest) {
    this->Answer(waiter, {Ending::kKeyReused,
                          RefusalCode::kKeyReused,
                          "another request came with this key",
                          {},
                          false});
  } else if (!entry->was_answered) {
    entry->waiters.push_back(std::move(waiter));
  } else if (entry->resolution->ending == Ending::kResult ||
             entry->resolution->ending == Ending::kUnknown) {
    this->Answer(waiter, *entry->resolution);
  } else {
    entry->held.push_back(std::move(waiter));
  }
}

void CallGuard::State::Start(ServiceCall call,
                             CallCallback callback,
                             std::string key) {
  auto entry = std::make_shared<Entry>();
  entry->key = std::move(key);
  entry->token = fmt::format("{}/{:016x}", this->config.owner,
                             this->random.UniformInt(0, UINT64_MAX));
  entry->digest = CallDigest(call);
  entry->waiters.push_back({.deadline = call.deadline,
                            .is_leader = true,
                            .first_attempt = call.first_attempt,
                            .callback = std::move(callback)});
  entry->call = std::move(call);
  this->entries.emplace(entry->key, entry);
  bool allowed = this->unwritten_bytes < this->config.max_unwritten_bytes &&
                 this->claims.TryTake();
  if (allowed) {
    this->Claim(entry, kAbsentVersion);
    return;
  }
  ++this->stats.refused_by_rate;
  entry->may_claim = false;
  if (entry->call.first_attempt) {
    this->End(entry, Overloaded("too many calls are being started"));
  } else {
    entry->phase = Phase::kLookUp;
    this->ReadRow(entry, &State::OnLookUp);
  }
}

// --- Claim -----------------------------------------------------------------

CallRow CallGuard::State::NewRow(const Entry& entry,
                                 CallRowState row_state) const {
  CallRow row;
  row.state = row_state;
  row.token = entry.token;
  row.owner = this->config.owner;
  row.digest = entry.digest;
  row.time_left =
      std::max(absl::ZeroDuration(), entry.call.deadline - this->clock.Now());
  row.written = this->wall_clock.Now();
  if (row_state == CallRowState::kDone) {
    row.result = entry.resolution->result;
    if (this->IsLarge(entry))
      row.object = this->ObjectName(entry);
  }
  return row;
}

void CallGuard::State::Claim(const EntryPtr& entry, uint64_t expected) {
  entry->phase = Phase::kClaim;
  entry->claim_version = expected;
  entry->due = absl::InfiniteFuture();
  ++this->stats.claims;
  Transaction transaction;
  transaction.checks.push_back({entry->key, expected});
  transaction.puts.push_back(
      {entry->key,
       EncodeCallRow(this->NewRow(*entry, CallRowState::kClaimed))});
  this->table.Commit(std::move(transaction),
                     this->Bind(entry, &State::OnClaim));
}

void CallGuard::State::OnClaim(const EntryPtr& entry,
                               const CommitOutcome& outcome) {
  switch (outcome.state) {
    case CommitState::kCommitted:
      // The version is read while the call is sent; the final write needs it.
      this->table.Read({entry->key}, this->Bind(entry, &State::LearnVersion));
      this->Send(entry);
      return;
    case CommitState::kUnavailable:
      this->End(entry, TableSilent());
      return;
    case CommitState::kConflict:
    case CommitState::kUnknown:
      entry->phase = Phase::kReadBack;
      this->ReadRow(entry, &State::OnReadBack);
      return;
  }
}

void CallGuard::State::LearnVersion(const EntryPtr& entry,
                                    const ReadOutcome& rows) {
  const Row* row = rows.ok() ? FindRow(rows.value(), entry->key) : nullptr;
  if (row == nullptr || entry->phase != Phase::kSend)
    return;
  auto decoded = Capture([&] { return DecodeCallRow(row->value); });
  if (decoded.ok() && decoded.value().token == entry->token)
    entry->version = row->version;
}

void CallGuard::State::OnReadBack(const EntryPtr& entry,
                                  const ReadOutcome& rows) {
  if (!rows.ok()) {
    this->Settle(entry, CallRowState::kReleased, TableSilent());
    return;
  }
  const Row* row = FindRow(rows.value(), entry->key);
  uint64_t version = row == nullptr ? kAbsentVersion : row->version;
  if (version == entry->claim_version) {
    // The claim may still take effect later, so the row is changed first and
    // the call is never sent under this claim.
    this->Settle(entry, CallRowState::kReleased, TableSilent());
    return;
  }
  if (row == nullptr) {
    this->End(entry, OutcomeUnknown("its row was deleted"));
    return;
  }
  auto decoded = Capture([&] { return DecodeCallRow(row->value); });
  if (decoded.ok() && decoded.value().token == entry->token) {
    entry->version = row->version;
    this->Send(entry);
    return;
  }
  this->HandleRow(entry, *row);
}

// --- Rows of other claims --------------------------------------------------

void CallGuard::State::OnLookUp(const EntryPtr& entry,
                                const ReadOutcome& rows) {
  const Row* row = rows.ok() ? FindRow(rows.value(), entry->key) : nullptr;
  if (row == nullptr) {
    this->End(entry, Overloaded("too many calls are being started"));
    return;
  }
  this->HandleRow(entry, *row);
}

void CallGuard::State::OnPoll(const EntryPtr& entry, const ReadOutcome& rows) {
  if (!rows.ok()) {
    this->Wait(entry);
    return;
  }
  const Row* row = FindRow(rows.value(), entry->key);
  if (row == nullptr) {
    this->End(entry, OutcomeUnknown("its row was deleted"));
    return;
  }
  this->HandleRow(entry, *row);
}

void CallGuard::State::HandleRow(const EntryPtr& entry, const Row& row) {
  // A first attempt that finds a row was overtaken by a later request, whose
  // "not run" must stay true.
  if (entry->call.first_attempt)
    entry->may_claim = false;
  for (Waiter& waiter : entry->waiters)
    waiter.first_attempt = false;
  auto decoded = Capture([&] { return DecodeCallRow(row.value); });
  if (!decoded.ok()) {
    this->End(entry, OutcomeUnknown(decoded.error().ToString()));
    return;
  }
  CallRow& seen = decoded.value();
  if (seen.digest != entry->digest) {
    this->End(entry, {Ending::kKeyReused,
                      RefusalCode::kKeyReused,
                      "another request came with this key",
                      {},
                      false});
    return;
  }
  switch (seen.state) {
    case CallRowState::kReleased:
      this->HandleReleased(entry, row);
      return;
    case CallRowState::kUnknown:
      this->End(entry, OutcomeUnknown("the backend server did not answer"));
      return;
    case CallRowState::kDone:
      entry->seen = std::move(seen);
      this->Fetch(entry);
      return;
    case CallRowState::kClaimed:
      entry->may_claim = false;
      if (this->IsOwnerGone(entry, seen)) {
        this->End(entry, OutcomeUnknown("the instance that ran it is gone"));
      } else {
        this->Wait(entry);
      }
      return;
  }
}

// A request claims a released row only when it saw no other claim before. One
// that waited for another claim passes its "not run" on instead, because the
// caller may already have got that answer and given up.
void CallGuard::State::HandleReleased(const EntryPtr& entry, const Row& row) {
  if (!entry->may_claim) {
    bool looked_up = entry->phase == Phase::kLookUp;
    this->End(entry, looked_up
                         ? Overloaded("too many calls are being started")
                         : Resolution{Ending::kNotRun,
                                      RefusalCode::kNoBackendServer,
                                      "another request with this key gave up "
                                      "before the call was sent",
                                      {},
                                      false});
  } else if (this->clock.Now() >= entry->call.deadline) {
    this->End(entry, DeadlineExpired(Ending::kNotRun));
  } else if (!this->claims.TryTake()) {
    ++this->stats.refused_by_rate;
    this->End(entry, Overloaded("too many calls are being started"));
  } else {
    this->Claim(entry, row.version);
  }
}

// The row says how much time the call had left when it was claimed, so the
// deadline is at most that much after the first sighting on this clock.
bool CallGuard::State::IsOwnerGone(const EntryPtr& entry, const CallRow& row) {
  if (this->owners.IsGone(row.owner))
    return true;
  absl::Time now = this->clock.Now();
  if (this->sightings.size() >= kMaxSightings)
    this->sightings.clear();
  absl::Time first =
      this->sightings.emplace(entry->key + row.token, now).first->second;
  return now >= first + row.time_left + this->config.owner_grace;
}

void CallGuard::State::Wait(const EntryPtr& entry) {
  if (entry->phase != Phase::kWait) {
    entry->phase = Phase::kWait;
    entry->backoff = absl::ZeroDuration();
  }
  entry->due =
      this->clock.Now() +
      this->NextBackoff(entry, this->config.poll_first, this->config.poll_max);
}

void CallGuard::State::Fetch(const EntryPtr& entry) {
  if (entry->seen.object.empty()) {
    this->End(entry, {Ending::kResult, RefusalCode::kInternal, "",
                      entry->seen.result, true});
    return;
  }
  if (entry->phase != Phase::kFetch) {
    entry->phase = Phase::kFetch;
    entry->backoff = absl::ZeroDuration();
  }
  entry->due = absl::InfiniteFuture();
  this->objects.Get(entry->seen.object, this->Bind(entry, &State::OnFetched));
}

void CallGuard::State::OnFetched(const EntryPtr& entry,
                                 const Outcome<std::string>& body) {
  if (!body.ok()) {
    this->RetryLater(entry);
    return;
  }
  entry->seen.result.body = body.value();
  this->End(entry, {Ending::kResult, RefusalCode::kInternal, "",
                    entry->seen.result, true});
}

// --- Send ------------------------------------------------------------------

void CallGuard::State::Send(const EntryPtr& entry) {
  if (this->clock.Now() >= entry->call.deadline) {
    this->Settle(entry, CallRowState::kReleased,
                 DeadlineExpired(Ending::kNotRun));
    return;
  }
  entry->phase = Phase::kSend;
  entry->due = absl::InfiniteFuture();
  ++this->stats.sends;
  this->sender.SendOnce(
      entry->call,
      [&time = this->clock, deadline = entry->call.deadline] {
        return time.Now() < deadline;
      },
      this->Bind(entry, &State::OnSent));
}

void CallGuard::State::OnSent(const EntryPtr& entry,
                              const SendOutcome& outcome) {
  switch (outcome.state) {
    case SendState::kNothingSent:
      this->Settle(entry, CallRowState::kReleased,
                   outcome.was_stopped
                       ? DeadlineExpired(Ending::kNotRun)
                       : Resolution{Ending::kNotRun,
                                    RefusalCode::kNoBackendServer,
                                    outcome.detail,
                                    {},
                                    false});
      return;
    case SendState::kAnswered:
      this->Settle(
          entry, CallRowState::kDone,
          {Ending::kResult, RefusalCode::kInternal, "", outcome.result, false});
      return;
    case SendState::kUnknown:
      this->Settle(entry, CallRowState::kUnknown,
                   OutcomeUnknown(outcome.detail));
      return;
  }
}

// --- Final state of the row ------------------------------------------------

bool CallGuard::State::IsLarge(const Entry& entry) const {
  return entry.target == CallRowState::kDone &&
         entry.resolution->result.body.size() >
             this->config.max_row_result_bytes;
}

std::string CallGuard::State::ObjectName(const Entry& entry) const {
  return fmt::format("{}/{}", entry.key,
                     entry.token.substr(entry.token.rfind('/') + 1));
}

void CallGuard::State::Settle(const EntryPtr& entry,
                              CallRowState target,
                              Resolution resolution) {
  entry->phase = Phase::kSettle;
  entry->target = target;
  entry->resolution = std::move(resolution);
  entry->answer_by = this->clock.Now() + this->config.write_wait;
  entry->backoff = absl::ZeroDuration();
  this->unwritten_bytes += entry->resolution->result.body.size();
  this->SettleStep(entry);
}

void CallGuard::State::SettleStep(const EntryPtr& entry) {
  entry->due = absl::InfiniteFuture();
  if (this->IsLarge(*entry) && !entry->object_stored) {
    this->objects.Put(this->ObjectName(*entry), entry->resolution->result.body,
                      this->Bind(entry, &State::OnSettleObject));
  } else if (entry->version.has_value()) {
    this->SettleCommit(entry);
  } else {
    this->ReadRow(entry, &State::OnSettleRead);
  }
}

void CallGuard::State::OnSettleObject(const EntryPtr& entry,
                                      const std::optional<Error>& error) {
  entry->object_stored = !error.has_value();
  if (error.has_value()) {
    this->RetryLater(entry);
  } else {
    this->SettleStep(entry);
  }
}

void CallGuard::State::OnSettleRead(const EntryPtr& entry,
                                    const ReadOutcome& rows) {
  if (!rows.ok()) {
    this->RetryLater(entry);
    return;
  }
  const Row* row = FindRow(rows.value(), entry->key);
  if (row == nullptr) {
    if (entry->target != CallRowState::kReleased) {
      // The retention ended before the result could be written.
      this->Settled(entry);
      return;
    }
    entry->version = kAbsentVersion;
    this->SettleCommit(entry);
    return;
  }
  auto decoded = Capture([&] { return DecodeCallRow(row->value); });
  bool own = decoded.ok() && decoded.value().token == entry->token;
  if (own && decoded.value().state == entry->target) {
    this->Settled(entry);
  } else if (own || row->version == entry->claim_version) {
    entry->version = row->version;
    this->SettleCommit(entry);
  } else {
    this->OnTakenOver(entry, *row);
  }
}

void CallGuard::State::SettleCommit(const EntryPtr& entry) {
  Transaction transaction;
  transaction.checks.push_back({entry->key, *entry->version});
  transaction.puts.push_back(
      {entry->key, EncodeCallRow(this->NewRow(*entry, entry->target))});
  this->table.Commit(std::move(transaction),
                     this->Bind(entry, &State::OnSettleCommit));
}

void CallGuard::State::OnSettleCommit(const EntryPtr& entry,
                                      const CommitOutcome& outcome) {
  if (outcome.state == CommitState::kCommitted) {
    this->Settled(entry);
    return;
  }
  entry->version.reset();
  this->RetryLater(entry);
}

// The row has a newer claim of somebody else, so the claim of this entry can
// no longer take effect. Requests that are not answered wait for the other's
// result; this entry does not claim again.
void CallGuard::State::OnTakenOver(const EntryPtr& entry, const Row& row) {
  if (entry->waiters.empty() ||
      entry->resolution->ending != Ending::kUncertain) {
    this->Settled(entry);
    return;
  }
  entry->resolution.reset();
  entry->answer_by = absl::InfiniteFuture();
  entry->may_claim = false;
  this->HandleRow(entry, row);
}

void CallGuard::State::Settled(const EntryPtr& entry) {
  Resolution resolution = *entry->resolution;
  // The released row shows that no earlier request had a claim.
  if (resolution.ending == Ending::kUncertain)
    resolution.ending = Ending::kNotRun;
  this->End(entry, std::move(resolution));
}

absl::Duration CallGuard::State::NextBackoff(const EntryPtr& entry,
                                             absl::Duration first,
                                             absl::Duration max) {
  entry->backoff = std::min(max, std::max(first, entry->backoff * 2));
  // Jitter keeps instances from repeating in step after an outage.
  return entry->backoff * (0.5 + this->random.UniformDouble() / 2);
}

void CallGuard::State::RetryLater(const EntryPtr& entry) {
  ++this->stats.writes_retried;
  entry->due =
      this->clock.Now() + this->NextBackoff(entry, this->config.retry_first,
                                            this->config.retry_max);
}

// --- Answers ---------------------------------------------------------------

void CallGuard::State::End(const EntryPtr& entry, Resolution resolution) {
  if (entry->phase == Phase::kSettle && entry->resolution.has_value())
    this->unwritten_bytes -= entry->resolution->result.body.size();
  entry->resolution = std::move(resolution);
  this->AnswerAll(entry);
  this->Finish(entry);
}

// What this entry read may be older than the requests that joined it, so a
// "not run" holds for the leader only; the others start again.
void CallGuard::State::AnswerAll(const EntryPtr& entry) {
  entry->was_answered = true;
  std::vector<Waiter> waiters = std::move(entry->waiters);
  entry->waiters.clear();
  for (Waiter& waiter : waiters) {
    if (waiter.is_leader || HoldsForAll(*entry->resolution)) {
      this->Answer(waiter, *entry->resolution);
    } else {
      entry->held.push_back(std::move(waiter));
    }
  }
}

void CallGuard::State::Answer(const Waiter& waiter,
                              const Resolution& resolution) {
  --this->waiting;
  if (resolution.ending == Ending::kResult) {
    ++(resolution.stored ? this->stats.stored_answers : this->stats.answered);
    waiter.callback(resolution.result);
    return;
  }
  Refusal refusal = RefusalOf(resolution, waiter.first_attempt);
  if (refusal.code == RefusalCode::kKeyReused) {
    ++this->stats.key_reused;
  } else if (refusal.code == RefusalCode::kInProgress) {
    ++this->stats.in_progress;
  } else if (refusal.outcome == RefusalOutcome::kNotRun) {
    ++this->stats.not_run;
  } else {
    ++this->stats.unknown;
  }
  waiter.callback(std::move(refusal));
}

void CallGuard::State::Finish(const EntryPtr& entry) {
  entry->finished = true;
  this->entries.erase(entry->key);
  std::vector<Waiter> held = std::move(entry->held);
  for (Waiter& waiter : held) {
    ServiceCall call = entry->call;
    call.deadline = waiter.deadline;
    call.first_attempt = false;
    --this->waiting;
    --this->stats.submitted;
    this->Submit(std::move(call), std::move(waiter.callback));
  }
}

// A leader whose deadline passes before the send is never sent. Others may be
// answered by a call that the leader still sends.
void CallGuard::State::ExpireWaiters(const EntryPtr& entry) {
  absl::Time now = this->clock.Now();
  std::vector<Waiter> expired;
  std::erase_if(entry->waiters, [&](Waiter& waiter) {
    if (waiter.deadline > now)
      return false;
    expired.push_back(std::move(waiter));
    return true;
  });
  if (expired.empty())
    return;
  bool before_send = entry->phase == Phase::kClaim ||
                     entry->phase == Phase::kReadBack ||
                     entry->phase == Phase::kLookUp;
  for (const Waiter& waiter : expired) {
    if (entry->resolution.has_value() &&
        (waiter.is_leader || HoldsForAll(*entry->resolution))) {
      this->Answer(waiter, *entry->resolution);
    } else if (waiter.is_leader && before_send) {
      this->Answer(waiter, DeadlineExpired(Ending::kUncertain));
    } else {
      this->Answer(waiter, StillRunning());
    }
  }
  bool writes_nothing = entry->phase == Phase::kWait ||
                        entry->phase == Phase::kFetch ||
                        entry->phase == Phase::kLookUp;
  if (writes_nothing && entry->waiters.empty() && !entry->finished)
    this->Finish(entry);
}

void CallGuard::State::ExpireHeld(const EntryPtr& entry) {
  absl::Time now = this->clock.Now();
  std::vector<Waiter> expired;
  std::erase_if(entry->held, [&](Waiter& waiter) {
    if (waiter.deadline > now)
      return false;
    expired.push_back(std::move(waiter));
    return true;
  });
  for (const Waiter& waiter : expired)
    this->Answer(waiter, DeadlineExpired(Ending::kUncertain));
}

void CallGuard::State::RunDue(const EntryPtr& entry) {
  switch (entry->phase) {
    case Phase::kWait:
      this->ReadRow(entry, &State::OnPoll);
      return;
    case Phase::kFetch:
      this->Fetch(entry);
      return;
    case Phase::kSettle:
      this->SettleStep(entry);
      return;
    case Phase::kClaim:
    case Phase::kReadBack:
    case Phase::kLookUp:
    case Phase::kSend:
      return;
  }
}

void CallGuard::State::Tick() {
  std::vector<EntryPtr> current;
  current.reserve(this->entries.size());
  for (const auto& [key, entry] : this->entries)
    current.push_back(entry);
  absl::Time now = this->clock.Now();
  for (const EntryPtr& entry : current) {
    if (!entry->finished && entry->due <= now)
      this->RunDue(entry);
    if (!entry->finished && entry->resolution.has_value() &&
        entry->answer_by <= now) {
      this->AnswerAll(entry);
    }
    if (!entry->finished) {
      this->ExpireWaiters(entry);
      this->ExpireHeld(entry);
    }
  }
}

// --- CallGuard -------------------------------------------------------------

CallGuard::CallGuard(CallGuardConfig config,
                     const Clock& clock,
                     const Clock& wall_clock,
                     Random& random,
                     TableService& table,
                     ObjectStore& objects,
                     CallSender& sender,
                     const OwnerView& owners)
    : state(std::make_shared<State>(std::move(config),
                                    clock,
                                    wall_clock,
                                    random,
                                    table,
                                    objects,
                                    sender,
                                    owners)) {}

CallGuard::~CallGuard() = default;

void CallGuard::Submit(ServiceCall call, CallCallback callback) {
  this->state->Submit(std::move(call), std::move(callback));
}

void CallGuard::Tick() {
  this->state->Tick();
}

size_t CallGuard::unfinished() const {
  return this->state->unfinished();
}

const CallGuardStats& CallGuard::stats() const {
  return this->state->stats;
}

}  // namespace cranberryhill
