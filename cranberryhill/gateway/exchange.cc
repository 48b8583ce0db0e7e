#include "cranberryhill/gateway/exchange.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/gateway/send_and_forget.h"

namespace cranberryhill::gateway {
namespace {

/// A replica in the same region answers a connection attempt within a few
/// milliseconds; a lost packet is sent again after a second.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(300);
/// A whole answer that is larger than this is refused; the sheets' answers
/// have a few kilobytes.
constexpr size_t kMaxAnswerBytes = 8 << 20;
/// Time for the caller's side within its deadline.
constexpr absl::Duration kDeadlineMargin = absl::Milliseconds(20);
/// Another send is of use only if this much time is left.
constexpr absl::Duration kLeastTimeForSend = absl::Milliseconds(30);
/// A resumable stream without an event for this long goes on elsewhere.
/// Callers give up after 2 s.
constexpr absl::Duration kResumeAfterPause = absl::Milliseconds(1000);
/// A request that may be repeated is sent elsewhere after this many times its
/// latency target without a first byte.
constexpr double kFirstByteTargets = 2.5;
/// ... and after this many times the expected time: a queue that is known is
/// no sign of a fault, and sending again would only lengthen it.
constexpr double kFirstByteExpectations = 4.0;
constexpr absl::Duration kLeastFirstByteLimit = absl::Milliseconds(300);
/// Prompt reads of one request; the second one follows a failure.
constexpr int kMaxPromptReads = 2;
/// Named in refusals where no better time is known: replicas that crash or are
/// replaced are back after a second or more.
constexpr absl::Duration kDefaultRetryAfter = absl::Milliseconds(500);
/// A request that crashed two replicas is refused for minutes; it is of no use
/// to come back sooner than this.
constexpr absl::Duration kRetryAfterCrashes = absl::Seconds(5);
/// Most urgent and least urgent priority of a replica.
constexpr int kLowestPriority = 9;
/// All prompts that can be read on time have one priority: they are read in the
/// order of arrival, so that no route starves another.
constexpr int kOnTimePriority = 3;
/// Share of the shortest latency target that may pass in an engine's queue; the
/// rest is for reading, moving the cache and the first event.
constexpr double kLongestWaitShare = 0.8;

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// @return True for statuses that callers take as "not run".
bool PromisesNotRun(int status) {
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

}  // namespace

Exchange::Exchange(ExchangeContext& context,
                   std::shared_ptr<const forward::RouteTable> routes,
                   const forward::Route& route,
                   http1::IncomingRequest request,
                   CallerRequest facts,
                   std::shared_ptr<http1::Responder> responder)
    : context(context),
      routes(std::move(routes)),
      route(route),
      request(std::move(request)),
      facts(std::move(facts)),
      responder(std::move(responder)),
      fingerprint(RequestFingerprint(this->facts.host,
                                     this->request.head.target,
                                     this->request.body)),
      policy(route),
      timer(context.io) {
  this->service = std::string(forward::PickService(
      route, this->context.random.UniformInt(0, UINT64_MAX)));
  const forward::ServiceConfig* config =
      this->routes->FindService(this->service);
  this->is_engine = config != nullptr && config->engine.has_value();
  absl::Duration allowed = this->route.timeout;
  if (this->facts.time_left)
    allowed = std::min(allowed, *this->facts.time_left - kDeadlineMargin);
  this->deadline = this->request.arrived + allowed;
}

Exchange::~Exchange() = default;

LogEvent Exchange::Event(std::string_view name) const {
  LogEvent event(name);
  event.Add("request", this->facts.attempt_id).Add("route", this->route.name);
  return event;
}

void Exchange::Start() {
  this->context.retry_budget(this->service).OnRequest();
  if (this->context.crashes.StatusOf(this->fingerprint, this->Now()) ==
      CrashStatus::kQuarantined)
    return this->Refuse("crashes_replicas", kRetryAfterCrashes);
  this->SendNext();
}

void Exchange::SendNext() {
  absl::Duration left = this->TimeLeft();
  if (left < kLeastTimeForSend)
    return this->Refuse("no_time_left", kDefaultRetryAfter);
  forward::PlacementChoice choice = this->Choose();
  if (choice.replica == nullptr)
    return this->Refuse("no_replica", kDefaultRetryAfter);
  this->expected_first = choice.expected_first_byte;
  this->first_byte_limit = this->FirstByteLimit(choice.expected_first_byte);
  // Callers of streams give up before their deadline if nothing comes.
  absl::Duration useful = left;
  if (this->is_engine && !this->stream_begun) {
    useful = std::min(useful, this->route.CallerEventTimeout() -
                                  (this->Now() - this->request.arrived));
  }
  if (choice.expected_first_byte > useful) {
    return this->Refuse(
        "expected_too_late",
        std::max(kDefaultRetryAfter, choice.expected_first_byte - useful));
  }
  this->lane = choice.lane;
  // The first read is free of the budget; another one is an extra send beside
  // the run that follows it.
  forward::WindowedRetryBudget& budget =
      this->context.retry_budget(this->service);
  bool may_read = choice.prefill_engine != nullptr && !this->stream_begun &&
                  (this->prompt_reads == 0 ||
                   (this->prompt_reads < kMaxPromptReads && budget.HasRoom(2)));
  if (may_read)
    return this->StartReading(choice);
  this->StartRun(choice.replica,
                 choice.replica_prefill_tokens + choice.prefill_engine_tokens,
                 "");
}

int Exchange::Priority() const {
  return this->lane == forward::PrefillLane::kOnTime ? kOnTimePriority
                                                     : kLowestPriority;
}

forward::PlacementChoice Exchange::Choose() {
  std::vector<std::shared_ptr<forward::Replica>> usable =
      this->context.replicas.Usable(this->service);
  absl::Time now = this->Now();
  if (!this->is_engine)
    return this->context.placement.ChooseServer(usable, now, this->excluded);
  absl::Duration elapsed = now - this->request.arrived;
  forward::LatencyLimits limits{
      this->route.target_latency - elapsed,
      this->routes->ShortestTargetLatency(this->service) * kLongestWaitShare};
  return this->context.placement.ChooseEngine(usable, this->facts.prompt,
                                              limits, now, this->excluded);
}

void Exchange::StartReading(const forward::PlacementChoice& choice) {
  if (this->prompt_reads++ > 0)
    this->context.retry_budget(this->service).OnRetry();
  this->phase = Phase::kReadingPrompt;
  this->context.metrics.CountDecision("prompt_read");
  ForwardFields fields;
  fields.time_left = this->TimeLeft();
  fields.replica_id = choice.prefill_engine->entry.id;
  fields.priority = this->Priority();
  fields.read_prompt_only = true;
  choice.prefill_engine->prefix_cache.RecordPrompt(this->facts.prompt,
                                                   this->Now());
  this->context.share.RecordPromptSent(choice.prefill_engine->entry.id,
                                       this->facts.prompt);
  this->Send(choice.prefill_engine, choice.prefill_engine_tokens, fields);
  this->context.tell_peers();
}

void Exchange::StartRun(std::shared_ptr<forward::Replica> replica,
                        double unread_tokens,
                        std::string cache_source) {
  this->phase = Phase::kRunning;
  if (!this->policy.replicas().empty())
    this->context.retry_budget(this->service).OnRetry();
  this->policy.OnSent(replica->entry.id);
  ForwardFields fields;
  fields.time_left = this->TimeLeft();
  fields.replica_id = replica->entry.id;
  if (this->is_engine)
    fields.priority = this->Priority();
  fields.cache_source = std::move(cache_source);
  fields.resume_after = this->splitter.last_event_id();
  if (this->is_engine) {
    replica->prefix_cache.RecordPrompt(this->facts.prompt, this->Now());
    this->context.share.RecordPromptSent(replica->entry.id, this->facts.prompt);
  }
  this->Send(std::move(replica), unread_tokens, fields);
}

void Exchange::Send(std::shared_ptr<forward::Replica> replica,
                    double unread_tokens,
                    const ForwardFields& fields) {
  this->replica = std::move(replica);
  ++this->replica->outstanding;
  this->queued_tokens = this->is_engine ? unread_tokens : 0;
  this->replica->queued.Add(this->lane, this->queued_tokens);
  this->answer_head = {};
  this->answer_facts = {};
  this->answer_body.clear();
  this->has_head = false;
  this->too_large = false;
  this->relaying = false;
  this->sent_at = this->Now();
  this->last_progress = this->sent_at;
  this->connection = this->context.pool.Acquire(*this->replica);
  this->context.log.Write(
      this->Event("request_sent")
          .Add("replica", this->replica->entry.id)
          .Add("read_only", fields.read_prompt_only)
          .Add("unread_tokens", unread_tokens)
          .Add("outstanding", this->replica->outstanding)
          .Add("queued_tokens",
               this->replica->queued.TokensAhead(this->lane) +
                   this->replica->peer_queued.TokensAhead(this->lane))
          .Add("max_output_tokens",
               static_cast<int64_t>(this->facts.prompt.max_output_tokens))
          .Add("deferred", this->lane == forward::PrefillLane::kDeferred)
          .Add("expected_ms", this->expected_first)
          .Add("load_age_ms", this->sent_at - this->replica->load_received_at)
          .Add("left_ms", fields.time_left)
          .Add("configuration", this->routes->configuration().version));
  http1::RequestHead head =
      this->context.wire.EncodeForward(this->request.head, fields);
  http1::SendOptions options{kConnectTimeout,
                             this->request.head.method == "HEAD"};
  this->ArmTimer();
  auto self = this->shared_from_this();
  this->connection->Send(http1::SerializeRequest(head, this->request.body),
                         options, *this);
}

/// Takes the send in progress off the replica's books.
void Exchange::SettleSend() {
  if (this->replica == nullptr)
    return;
  --this->replica->outstanding;
  this->replica->queued.Add(this->lane, -this->queued_tokens);
  this->queued_tokens = 0;
  if (this->connection != nullptr)
    this->context.pool.Release(*this->replica, std::move(this->connection));
  this->connection = nullptr;
  this->replica = nullptr;
}

bool Exchange::IsOwnAnswer(const http1::AnswerHead& head) {
  this->answer_facts = this->context.wire.DecodeAnswer(head);
  // A success names its request; a refusal may come before the replica has
  // read the request's id.
  bool own = this->answer_facts.attempt_id.empty()
                 ? head.status >= 300
                 : this->answer_facts.attempt_id == this->facts.attempt_id;
  if (!own)
    this->answer_facts = {};
  return own;
}

void Exchange::OnHead(http1::AnswerHead head) {
  this->answer_head = std::move(head);
  this->has_head = true;
  this->last_progress = this->Now();
  if (this->answer_facts.load) {
    this->context.replicas.OnLoadReport(*this->replica,
                                        *this->answer_facts.load);
  }
  bool success =
      this->answer_head.status >= 200 && this->answer_head.status < 300;
  this->relaying = this->phase == Phase::kRunning && success &&
                   this->answer_facts.is_signed &&
                   this->answer_facts.is_event_stream;
}

void Exchange::OnBody(std::string_view data) {
  auto self = this->shared_from_this();
  this->last_progress = this->Now();
  if (this->relaying)
    return this->RelayEvents(data);
  if (this->answer_body.size() + data.size() > kMaxAnswerBytes)
    this->too_large = true;
  if (!this->too_large)
    this->answer_body.append(data);
}

void Exchange::RelayEvents(std::string_view data) {
  std::string events = this->splitter.Feed(data);
  if (events.empty())
    return;
  // The prompt has been read when the first event comes.
  this->replica->queued.Add(this->lane, -this->queued_tokens);
  this->queued_tokens = 0;
  if (!this->stream_begun) {
    this->stream_begun = true;
    this->context.log.Write(
        this->Event("first_event")
            .Add("replica", this->replica->entry.id)
            .Add("took_ms", this->Now() - this->sent_at)
            .Add("others",
                 forward::EstimatedOtherRequests(*this->replica, this->Now())));
    this->context.metrics.ObserveFirstByte(this->Now() - this->request.arrived);
    http1::AnswerHead head = this->answer_head;
    head.headers.RemoveConnectionFields();
    this->responder->BeginStream(std::move(head));
  }
  this->responder->SendPart(events);
}

void Exchange::OnEnd(http1::AnswerEnd end, std::string_view reason) {
  auto self = this->shared_from_this();
  if (this->phase == Phase::kReadingPrompt)
    return this->OnPromptRead(end, reason);
  if (this->phase == Phase::kRunning)
    this->OnRunEnd(end, reason);
}

void Exchange::OnPromptRead(http1::AnswerEnd end, std::string_view reason) {
  std::shared_ptr<forward::Replica> reader = this->replica;
  bool answered = end == http1::AnswerEnd::kComplete;
  int status = this->answer_head.status;
  std::string body = std::move(this->answer_body);
  bool not_run = this->answer_facts.not_run;
  if (answered && this->answer_facts.wrong_instance)
    this->context.replicas.OnWrongInstance(*reader);
  this->SettleSend();
  if (answered && status == 200) {
    auto decoded =
        Capture([&] { return this->context.wire.DecodePromptHandle(body); });
    if (decoded.ok()) {
      this->context.replicas.OnSuccess(*reader);
      this->context.log.Write(
          this->Event("prompt_read")
              .Add("replica", reader->entry.id)
              .Add("took_ms", this->Now() - this->sent_at)
              .Add("others",
                   forward::EstimatedOtherRequests(*reader, this->Now())));
      this->handle = decoded.value();
      this->handle_keeper = reader;
      // Chosen now: a runner that was free before the read may be gone.
      std::shared_ptr<forward::Replica> runner =
          this->context.placement.ChooseDecodeEngine(
              this->context.replicas.Usable(this->service), this->fingerprint,
              this->Now(), this->excluded);
      if (runner == nullptr) {
        this->ReleaseHandle();
        return this->SendNext();
      }
      return this->StartRun(std::move(runner), 0,
                            this->context.wire.CacheSource(
                                this->handle_keeper->Address(), this->handle));
    }
  }
  this->NoteCrashEvidence(*reader, this->Classify(end));
  if (not_run)
    this->context.replicas.OnRejected(*reader);
  else if (end == http1::AnswerEnd::kNotConnected)
    this->context.replicas.OnUnreachable(*reader);
  else
    this->context.replicas.OnFailure(*reader);
  this->context.log.Write(this->Event("prompt_read_failed")
                              .Add("replica", reader->entry.id)
                              .Add("status", answered ? status : 0)
                              .Add("not_run", not_run)
                              .Add("reason", reason));
  this->excluded.push_back(reader->entry.id);
  if (end == http1::AnswerEnd::kNotConnected) {
    --this->prompt_reads;
    return this->SendNext();
  }
  // Only an accepted read is free of the budget, so whatever follows one that
  // failed is an extra send.
  forward::WindowedRetryBudget& budget =
      this->context.retry_budget(this->service);
  if (!budget.HasRoom())
    return this->Refuse("retry_budget", kDefaultRetryAfter);
  budget.OnRetry();
  this->SendNext();
}

void Exchange::NoteCrashEvidence(const forward::Replica& failed,
                                 forward::AttemptOutcome outcome) {
  const std::string& id = failed.entry.id;
  if (outcome == forward::AttemptOutcome::kBroken) {
    this->context.crash_watch.OnBrokenAnswer(id, this->fingerprint,
                                             this->sent_at);
  } else if (outcome == forward::AttemptOutcome::kNotSent &&
             this->context.crash_watch.OnUnreachable(id) > 0) {
    this->context.log.Write(LogEvent("replica_crashed").Add("replica", id));
  }
}

forward::AttemptOutcome Exchange::Classify(http1::AnswerEnd end) const {
  if (end == http1::AnswerEnd::kNotConnected)
    return forward::AttemptOutcome::kNotSent;
  if (end == http1::AnswerEnd::kBroken)
    return forward::AttemptOutcome::kBroken;
  if (this->answer_facts.not_run)
    return forward::AttemptOutcome::kNotRun;
  bool success =
      this->answer_head.status >= 200 && this->answer_head.status < 300;
  // A success that nobody signed is not the replica's answer.
  if (success)
    return forward::AttemptOutcome::kBroken;
  return forward::AttemptOutcome::kFailed;
}

void Exchange::OnRunEnd(http1::AnswerEnd end, std::string_view reason) {
  if (this->too_large)
    return this->OnSendFailed(forward::AttemptOutcome::kBroken,
                              "the answer is too large to be kept");
  bool complete = end == http1::AnswerEnd::kComplete;
  if (complete && this->relaying && this->splitter.incomplete_event().empty() &&
      this->stream_begun) {
    this->context.replicas.OnSuccess(*this->replica);
    this->handle.clear();
    this->responder->EndStream();
    return this->Finish("answered", "", this->answer_head.status);
  }
  bool passes =
      complete && !this->relaying && !this->answer_facts.not_run &&
      !this->stream_begun && this->answer_head.status < 500 &&
      !PromisesNotRun(this->answer_head.status) &&
      (this->answer_head.status >= 300 || this->answer_facts.is_signed);
  if (passes) {
    this->context.replicas.OnSuccess(*this->replica);
    this->handle.clear();
    return this->AnswerWhole();
  }
  this->OnSendFailed(
      this->relaying ? forward::AttemptOutcome::kBroken : this->Classify(end),
      reason);
}

void Exchange::OnSendFailed(forward::AttemptOutcome outcome,
                            std::string_view reason) {
  std::shared_ptr<forward::Replica> failed = this->replica;
  if (this->answer_facts.wrong_instance)
    this->context.replicas.OnWrongInstance(*failed);
  else if (outcome == forward::AttemptOutcome::kNotRun)
    this->context.replicas.OnRejected(*failed);
  else if (outcome == forward::AttemptOutcome::kNotSent)
    this->context.replicas.OnUnreachable(*failed);
  else
    this->context.replicas.OnFailure(*failed);
  if (this->connection != nullptr && !this->connection->Reusable())
    this->connection->Cancel();
  this->NoteCrashEvidence(*failed, outcome);
  this->SettleSend();
  this->splitter.DropIncompleteEvent();

  forward::WindowedRetryBudget& budget =
      this->context.retry_budget(this->service);
  // What never left is no extra send when it goes elsewhere.
  bool next_is_extra = outcome != forward::AttemptOutcome::kNotSent ||
                       this->policy.replicas().size() > 1;
  bool budget_left = (!next_is_extra || budget.HasRoom()) &&
                     this->TimeLeft() > kLeastTimeForSend;
  bool had_cache = !this->handle.empty();
  if (had_cache && outcome == forward::AttemptOutcome::kNotRun && budget_left &&
      this->RunElsewhereOrUncached(failed))
    return;
  if (had_cache)
    this->ReleaseHandle();
  forward::NextStep step = this->policy.DecideNextStep(
      outcome,
      this->stream_begun ? forward::AnswerProgress::kStreamStarted
                         : forward::AnswerProgress::kNotStarted,
      budget_left);
  this->context.metrics.CountDecision(NextStepName(step));
  this->context.log.Write(
      this->Event("send_ended")
          .Add("replica", failed->entry.id)
          .Add("outcome", AttemptOutcomeName(outcome))
          .Add("status", this->has_head ? this->answer_head.status : 0)
          .Add("reason", reason)
          .Add("took_ms", this->Now() - this->sent_at)
          .Add("events", static_cast<int64_t>(this->splitter.event_count()))
          .Add("budget_left", budget_left)
          .Add("next", NextStepName(step)));
  this->excluded.push_back(failed->entry.id);
  switch (step) {
    case forward::NextStep::kSendAgain:
    case forward::NextStep::kResume:
      return this->SendNext();
    case forward::NextStep::kRefuse:
      return this->Refuse("not_run_by_replica", kDefaultRetryAfter);
    case forward::NextStep::kPassFailure:
      // Callers take these statuses as "not run", and it has run.
      if (PromisesNotRun(this->answer_head.status))
        return this->AnswerOwn(kBadGateway, "failed_by_replica");
      return this->AnswerWhole();
    case forward::NextStep::kAnswerUnknown:
      return this->AnswerOwn(kBadGateway, "no_answer_from_replica");
    case forward::NextStep::kCutStream:
      return this->CutStream("stream_broken");
  }
}

/// Goes on after a runner refused a request whose prompt is kept at a reader:
/// at another runner with the same cache, or where the route allows just one,
/// without it.
/// @return False when neither is possible.
bool Exchange::RunElsewhereOrUncached(
    const std::shared_ptr<forward::Replica>& refused) {
  this->excluded.push_back(refused->entry.id);
  auto usable = this->context.replicas.Usable(this->service);
  std::shared_ptr<forward::Replica> other =
      this->context.placement.ChooseDecodeEngine(usable, this->fingerprint,
                                                 this->Now(), this->excluded);
  if (other != nullptr && this->policy.MaySendTo(other->entry.id)) {
    this->context.log.Write(this->Event("run_refused")
                                .Add("replica", refused->entry.id)
                                .Add("next", other->entry.id));
    std::string source = this->context.wire.CacheSource(
        this->handle_keeper->Address(), this->handle);
    this->StartRun(std::move(other), 0, std::move(source));
    return true;
  }
  this->ReleaseHandle();
  if (std::exchange(this->tried_uncached, true) ||
      !this->policy.MaySendTo(refused->entry.id))
    return false;
  this->prompt_reads = kMaxPromptReads;
  this->context.log.Write(
      this->Event("cache_not_fetched").Add("replica", refused->entry.id));
  this->StartRun(refused, this->facts.prompt.prompt_tokens, "");
  return true;
}

/// Frees a cache that no run will take; its memory is of no use to others.
void Exchange::ReleaseHandle() {
  if (this->handle.empty())
    return;
  http1::OutgoingRequest release = this->context.wire.EncodeRelease(
      this->handle_keeper->Address(), this->handle);
  SendAndForget(this->context.pool.Acquire(*this->handle_keeper),
                http1::SerializeRequest(release.head, release.body));
  this->handle.clear();
}

absl::Duration Exchange::FirstByteLimit(absl::Duration expected) const {
  return std::max({kLeastFirstByteLimit,
                   this->route.target_latency * kFirstByteTargets,
                   expected * kFirstByteExpectations});
}

absl::Time Exchange::NextCheck() const {
  absl::Time next = this->deadline;
  bool may_move = this->phase == Phase::kReadingPrompt ||
                  (this->phase == Phase::kRunning && this->route.MayRepeat());
  if (!may_move)
    return next;
  absl::Duration limit =
      this->stream_begun ? kResumeAfterPause : this->first_byte_limit;
  return std::min(next, this->last_progress + limit);
}

void Exchange::ArmTimer() {
  absl::Time next = this->NextCheck();
  if (next >= this->timer_at)
    return;
  this->timer_at = next;
  absl::Duration wait = std::max(absl::ZeroDuration(), next - this->Now());
  this->timer.expires_after(absl::ToChronoMicroseconds(wait));
  this->timer.async_wait(
      [weak = this->weak_from_this()](boost::system::error_code error) {
        auto self = weak.lock();
        if (error || self == nullptr)
          return;
        self->timer_at = absl::InfiniteFuture();
        self->OnTimer();
      });
}

bool Exchange::HasBetterReplica() {
  bool may_move = this->phase == Phase::kReadingPrompt ||
                  this->policy.replicas().size() <
                      static_cast<size_t>(this->route.max_replicas);
  if (!may_move)
    return false;
  absl::Time now = this->Now();
  auto usable = this->context.replicas.Usable(this->service);
  return std::any_of(usable.begin(), usable.end(), [&](const auto& other) {
    const std::string& id = other->entry.id;
    return other->entry.role == this->replica->entry.role &&
           id != this->replica->entry.id && now >= other->avoid_until &&
           std::find(this->excluded.begin(), this->excluded.end(), id) ==
               this->excluded.end();
  });
}

void Exchange::OnTimer() {
  if (this->phase == Phase::kDone)
    return;
  auto self = this->shared_from_this();
  absl::Time now = this->Now();
  if (now < this->NextCheck())
    return this->ArmTimer();
  bool over = now >= this->deadline;
  if (!over) {
    forward::WindowedRetryBudget& budget =
        this->context.retry_budget(this->service);
    if (!budget.HasRoom() || !this->HasBetterReplica()) {
      // Nobody else would be sooner: the replica keeps it.
      this->last_progress = now;
      return this->ArmTimer();
    }
  }
  if (this->connection != nullptr)
    this->connection->Cancel();
  if (over) {
    bool unsent =
        this->phase == Phase::kReadingPrompt && !this->policy.MayHaveRun();
    this->context.replicas.OnFailure(*this->replica);
    this->SettleSend();
    this->ReleaseHandle();
    if (this->stream_begun)
      return this->CutStream("deadline");
    if (unsent)
      return this->Refuse("deadline_before_run", kDefaultRetryAfter);
    return this->AnswerOwn(kGatewayTimeout, "deadline");
  }
  if (this->phase == Phase::kReadingPrompt) {
    this->has_head = false;
    this->answer_facts = {};
    return this->OnPromptRead(http1::AnswerEnd::kBroken, "no progress");
  }
  this->OnSendFailed(forward::AttemptOutcome::kTimedOut, "no progress");
}

void Exchange::OnCallerLeft() {
  if (this->phase == Phase::kDone)
    return;
  auto self = this->shared_from_this();
  if (this->connection != nullptr)
    this->connection->Cancel();
  this->SettleSend();
  this->ReleaseHandle();
  this->Finish("caller_left", "", 0);
}

void Exchange::Refuse(std::string_view reason, absl::Duration retry_after) {
  if (this->stream_begun)
    return this->CutStream(reason);
  if (this->policy.MayHaveRun())
    return this->AnswerOwn(kBadGateway, reason);
  this->responder->SendWhole(
      this->context.wire.OwnAnswer(kUnavailable, retry_after), "");
  this->Finish("refused", reason, kUnavailable);
}

void Exchange::AnswerWhole() {
  http1::AnswerHead head = this->answer_head;
  head.headers.RemoveConnectionFields();
  absl::Duration took = this->Now() - this->request.arrived;
  this->context.metrics.ObserveFirstByte(took);
  this->responder->SendWhole(std::move(head), this->answer_body);
  this->Finish(this->answer_head.status < 500 ? "answered" : "failed",
               this->answer_head.status < 500 ? "" : "failed_by_replica",
               this->answer_head.status);
}

void Exchange::AnswerOwn(int status, std::string_view reason) {
  if (this->stream_begun)
    return this->CutStream(reason);
  this->responder->SendWhole(this->context.wire.OwnAnswer(status, std::nullopt),
                             "");
  this->Finish("failed", reason, status);
}

void Exchange::CutStream(std::string_view reason) {
  this->responder->Abort();
  this->Finish("cut", reason, this->answer_head.status);
}

void Exchange::Finish(std::string_view outcome,
                      std::string_view reason,
                      int status) {
  this->phase = Phase::kDone;
  this->timer.cancel();
  this->SettleSend();
  absl::Duration took = this->Now() - this->request.arrived;
  this->context.metrics.CountOutcome(outcome);
  this->context.metrics.ObserveWhole(took);
  this->context.log.Write(
      this->Event("request_ended")
          .Add("outcome", outcome)
          .Add("reason", reason)
          .Add("status", status)
          .Add("took_ms", took)
          .Add("replicas", static_cast<int64_t>(this->policy.replicas().size()))
          .Add("events", static_cast<int64_t>(this->splitter.event_count())));
  this->responder = nullptr;
}

}  // namespace cranberryhill::gateway
