#include "cranberryhill/exchange/exchange.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/base/hash.h"
#include "cranberryhill/forward/stream_version_records.h"

namespace cranberryhill::gateway {
namespace {

/// Part of the caller's deadline that is reserved for sending the answer to the
/// caller.
constexpr absl::Duration kDeadlineMargin = absl::Milliseconds(20);
/// Least urgent priority that a replica accepts.
constexpr int kLowestPriority = 9;
/// Priority of all requests whose prefill can meet its latency target. They
/// have the same priority so that engines prefill them in order of arrival and
/// no route starves another.
constexpr int kOnTimePriority = 3;
/// Priority of streams whose callers have events already.
constexpr int kResumedPriority = 2;

}  // namespace

Exchange::Exchange(ExchangeContext& context,
                   std::shared_ptr<const forward::RouteTable> routes,
                   const forward::Route& route,
                   http1::IncomingRequest request,
                   CallerRequest caller_request,
                   RequestOrigin origin,
                   std::shared_ptr<http1::Responder> responder)
    : context(context),
      routes(std::move(routes)),
      route(route),
      request(std::move(request)),
      caller_request(std::move(caller_request)),
      origin(origin),
      responder(std::move(responder)),
      fingerprint(RequestFingerprint(this->caller_request.host,
                                     this->request.head.target,
                                     this->request.body)),
      attempt_policy(route),
      timer(context.io) {
  this->SetService(this->FirstService());
  absl::Duration allowed = this->route.timeout;
  if (this->caller_request.time_left)
    allowed =
        std::min(allowed, *this->caller_request.time_left - kDeadlineMargin);
  this->deadline = this->request.arrived + allowed;
}

Exchange::~Exchange() = default;

/// @return The service of a new request, or the one at which a stream that is
///     taken up began unless its record names another one.
std::string Exchange::FirstService() const {
  const std::string& stream = this->caller_request.resumed_attempt_id.empty()
                                  ? this->caller_request.attempt_id
                                  : this->caller_request.resumed_attempt_id;
  if (this->IsTakeUp()) {
    std::vector<std::string> picked =
        this->context.route_history.PickedServices(
            this->caller_request.host, this->request.head.target, stream,
            forward::kStreamVersionLifetime);
    if (!picked.empty())
      return picked.front();
  }
  return std::string(forward::PickService(this->route, StableHash(stream)));
}

void Exchange::SetService(std::string service) {
  this->service = std::move(service);
  const forward::ServiceConfig* config =
      this->routes->FindService(this->service);
  this->is_engine_service = config != nullptr && config->engine.has_value();
}

LogEvent Exchange::MakeLogEvent(std::string_view name) const {
  LogEvent event(name);
  event.Add("request", this->caller_request.attempt_id)
      .Add("route", this->route.name);
  return event;
}

void Exchange::Start() {
  this->counted_at = this->context.retry_budget(this->service).OnRequest();
  if (!this->IsTakeUp()) {
    this->context.observer.OnArrived(this->service);
    return this->SendToNextReplica();
  }
  // The peer finds out where the stream began.
  if (this->RelayIfCutOff())
    this->context.observer.OnArrived(this->service);
  else
    this->FindStreamVersion();
}

void Exchange::SendToNextReplica() {
  this->phase = Phase::kIdle;
  if (this->RefuseIfItCrashesReplicas())
    return;
  if (this->OutlastsShutdown())
    return this->EndUnanswered("shutdown", kRetryAfterShutdown);
  absl::Duration left = this->TimeLeft();
  if (left < kMinTimeForSend)
    return this->EndUnanswered("no_time_left", kDefaultRetryAfter);
  if (this->RelayIfCutOff())
    return;
  forward::PlacementChoice choice = this->ChooseReplica();
  if (choice.replica == nullptr) {
    if (this->former == nullptr &&
        (this->ReturnToSilentReplica() || this->AwaitFreeConnection()))
      return;
    if (this->stream_version)
      this->LogVersionCapacity();
    this->context.observer.OnRefused(this->service);
    NextOpening opening = this->FindNextOpening();
    return this->EndUnanswered(opening.reason,
                               std::max(kDefaultRetryAfter, opening.wait));
  }
  absl::Duration useful_time = this->UsefulTime();
  if (choice.expected_first_byte > useful_time) {
    this->context.observer.OnRefused(this->service);
    return this->EndUnanswered(
        "expected_too_late",
        std::max(kDefaultRetryAfter, choice.expected_first_byte - useful_time));
  }
  if (this->RelayForRecord(*choice.replica))
    return;
  this->choice = {this->Now(), choice.expected_first_byte,
                  this->FirstByteTimeout(choice.expected_first_byte),
                  choice.lane};
  this->SendTo(choice);
}

/// @return The time in which the first byte of an answer is of use.
absl::Duration Exchange::UsefulTime() const {
  absl::Duration left = this->TimeLeft();
  // Callers of streams give up before their deadline if no event arrives.
  if (!this->is_engine_service || this->stream_started)
    return left;
  return std::min(left, this->route.CallerEventTimeout() -
                            (this->Now() - this->request.arrived));
}

/// Sends the request as chosen, or chooses again if a limited replica takes no
/// further request now.
void Exchange::SendTo(const forward::PlacementChoice& choice) {
  // The first prefill does not count against the retry budget. A second prefill
  // and the run that follows it do, so the budget must have room for both.
  bool may_prefill = choice.prefill_engine != nullptr &&
                     (this->prefill_attempts == 0 ||
                      (this->prefill_attempts < kMaxPrefillAttempts &&
                       this->HasRoomForRetries(2)));
  const forward::Replica& target =
      may_prefill ? *choice.prefill_engine : *choice.replica;
  bool is_retry = may_prefill ? this->prefill_attempts > 0
                              : !this->attempt_policy.replicas().empty();
  bool may_wait =
      this->context.replica_limits.RateOf(target.entry.id).has_value();
  this->AwaitPermit(target, [=, this, id = target.entry.id](bool granted) {
    if (!granted)
      return this->SendToNextReplica();
    const forward::Replica& chosen =
        may_prefill ? *choice.prefill_engine : *choice.replica;
    if (!this->TakesRequest(chosen) || !this->MayWriteStream(*choice.replica)) {
      this->context.send_permits.Return(id);
      return this->SendToNextReplica();
    }
    // Other requests may have used the room that this one had before its wait.
    if (is_retry && may_wait && !this->HasRoomForRetries()) {
      this->context.send_permits.Return(id);
      this->ReleaseCache();
      return this->EndUnanswered("retry_budget", kDefaultRetryAfter);
    }
    if (may_prefill)
      return this->StartPrefill(choice);
    this->StartRun(choice.replica,
                   choice.replica_prefill_tokens + choice.prefill_engine_tokens,
                   "");
  });
}

/// @return True if the budget allows so many retries, the reserved one
/// included.
bool Exchange::HasRoomForRetries(int count) {
  int more = count - (this->has_reserved_retry ? 1 : 0);
  return more <= 0 || this->context.retry_budget(this->service).HasRoom(more);
}

/// Counts the next retry now.
/// @return False if the budget has no room.
bool Exchange::ReserveRetry() {
  if (!this->HasRoomForRetries())
    return false;
  if (!std::exchange(this->has_reserved_retry, true))
    this->context.retry_budget(this->service).OnRetry();
  return true;
}

/// Counts a retry that is being sent, unless it was reserved.
void Exchange::OnRetrySent() {
  if (!std::exchange(this->has_reserved_retry, false))
    this->context.retry_budget(this->service).OnRetry();
}

void Exchange::CancelReservedRetry() {
  if (std::exchange(this->has_reserved_retry, false))
    this->context.retry_budget(this->service).OnRetryCancelled();
}

/// @return What replicas and other instances get to know of the customer.
CustomerFields Exchange::ShownCustomer() const {
  return {this->routes->configuration().customers.has_value(),
          this->caller_request.customer};
}

/// @return True if the caller has events of this stream already.
bool Exchange::HasBegun() const {
  return this->stream_started ||
         (this->IsTakeUp() && this->caller_request.has_last_event_id);
}

int Exchange::Priority() const {
  switch (this->choice.lane) {
    case forward::PrefillLane::kResumed:
      return kResumedPriority;
    case forward::PrefillLane::kOnTime:
      return kOnTimePriority;
    case forward::PrefillLane::kDeferred:
      return kLowestPriority;
  }
  return kLowestPriority;
}

void Exchange::StartPrefill(const forward::PlacementChoice& choice) {
  if (this->prefill_attempts++ > 0)
    this->OnRetrySent();
  // The run that follows.
  if (!this->attempt_policy.replicas().empty())
    this->ReserveRetry();
  this->phase = Phase::kPrefilling;
  this->context.metrics.CountDecision("prompt_read");
  ForwardFields fields;
  fields.time_left = this->TimeLeft();
  fields.replica_id = choice.prefill_engine->entry.id;
  fields.priority = this->Priority();
  fields.prefill_only = true;
  choice.prefill_engine->prefix_cache.RecordPrompt(this->caller_request.prompt,
                                                   this->Now());
  this->context.peer_load_sync.RecordPromptSent(choice.prefill_engine->entry.id,
                                                this->caller_request.prompt);
  this->Send(choice.prefill_engine, choice.prefill_engine_tokens, fields);
  this->context.notify_peers();
}

void Exchange::StartRun(std::shared_ptr<forward::Replica> replica,
                        double prefill_tokens,
                        std::string cache_source) {
  this->phase = Phase::kRunning;
  // What the former prefills is of no use to this run.
  if (this->former != nullptr && this->former->Plan().prefill_only)
    this->EndFormer();
  this->former_ends_at = this->Now() + kHandoverTime;
  this->run_is_retry = !this->attempt_policy.replicas().empty();
  if (this->run_is_retry)
    this->OnRetrySent();
  this->attempt_policy.OnSent(replica->entry.id);
  ForwardFields fields;
  fields.time_left = this->TimeLeft();
  fields.replica_id = replica->entry.id;
  if (this->is_engine_service)
    fields.priority = this->Priority();
  fields.cache_source = std::move(cache_source);
  fields.resume_after_event_id = this->last_event_id;
  if (this->is_engine_service) {
    replica->prefix_cache.RecordPrompt(this->caller_request.prompt,
                                       this->Now());
    this->context.peer_load_sync.RecordPromptSent(replica->entry.id,
                                                  this->caller_request.prompt);
  }
  this->Send(std::move(replica), prefill_tokens, fields);
}

/// Runs the request whose KV cache is kept at a prefill engine. The decode
/// engine is chosen only now because an engine chosen before the prefill may no
/// longer be available.
void Exchange::RunWithCache() {
  if (this->OutlastsShutdown()) {
    this->ReleaseCache();
    return this->EndUnanswered("shutdown", kRetryAfterShutdown);
  }
  std::shared_ptr<forward::Replica> decode_engine =
      this->context.placement.ChooseDecodeEngine(
          this->OpenReplicasInHeardZones(), this->fingerprint, this->Now(),
          this->excluded_replicas);
  if (decode_engine == nullptr) {
    this->ReleaseCache();
    return this->SendToNextReplica();
  }
  this->AwaitPermit(*decode_engine, [this, decode_engine](bool granted) {
    if (!granted)
      return this->RunWithCache();
    if (!this->TakesRequest(*decode_engine) ||
        !this->MayWriteStream(*decode_engine)) {
      this->context.send_permits.Return(decode_engine->entry.id);
      return this->RunWithCache();
    }
    this->StartRun(decode_engine, 0,
                   this->context.wire.CacheSource(this->cache_owner->Address(),
                                                  this->cache_handle));
  });
}

void Exchange::Send(std::shared_ptr<forward::Replica> replica,
                    double prefill_tokens,
                    const ForwardFields& fields) {
  SendPlan plan;
  plan.prefill_only = fields.prefill_only;
  plan.uses_cache_source = !fields.cache_source.empty();
  plan.lane = this->choice.lane;
  plan.queued_tokens = this->is_engine_service ? prefill_tokens : 0;
  plan.prefill_work = {prefill_tokens,
                       1.0 * this->caller_request.prompt.prompt_tokens,
                       replica->queued.TokensAhead(plan.lane) +
                           replica->peer_queued.TokensAhead(plan.lane)};
  // What a request costs again after a failure is not asked for by callers.
  bool is_first_send = this->used_connections.empty();
  if (this->is_engine_service && is_first_send)
    this->context.observer.OnPrefill(this->service, plan.prefill_work);
  plan.chosen_at = this->choice.made_at;
  plan.expected_first_byte = this->choice.expected_first_byte;
  plan.first_byte_timeout = this->choice.first_byte_timeout;
  plan.connect_timeout = this->ConnectTimeout(*replica);
  plan.replica = std::move(replica);
  const forward::Replica& target = *plan.replica;
  ReplicaSend::Resources resources{
      this->context.connection_pool.Acquire(target, this->used_connections),
      this->context.answer_bytes.Open(target.entry.id),
      this->context.connection_pool, this->context.clock};
  this->used_connections.push_back(resources.connection);
  this->current =
      std::make_shared<ReplicaSend>(plan, std::move(resources), *this);
  if (!plan.prefill_only)
    this->PrepareVersion(this->current);
  this->context.log.Write(
      this->MakeLogEvent("request_sent")
          .Add("replica", target.entry.id)
          .Add("zone", target.entry.availability_zone)
          .Add("heard_ms_ago", this->Now() - target.heard_at)
          .Add("software_version", target.entry.software_version)
          .Add("read_only", fields.prefill_only)
          .Add("stream_begun", this->HasBegun())
          .Add("former",
               this->former == nullptr ? "" : this->former->Target()->entry.id)
          .Add("unread_tokens", prefill_tokens)
          .Add("outstanding", target.outstanding)
          .Add("queued_tokens", target.queued.TokensAhead(plan.lane) +
                                    target.peer_queued.TokensAhead(plan.lane))
          .Add("max_output_tokens",
               static_cast<int64_t>(
                   this->caller_request.prompt.max_output_tokens))
          .Add("lane", forward::PrefillLaneName(plan.lane))
          .Add("customer", this->caller_request.customer)
          .Add("priority", this->caller_request.priority)
          .Add("expected_ms", plan.expected_first_byte)
          .Add("load_age_ms", this->Now() - target.load_received_at)
          .Add("left_ms", fields.time_left)
          .Add("configuration", this->routes->configuration().version));
  http1::SendOptions options{plan.connect_timeout,
                             this->request.head.method == "HEAD"};
  this->ArmTimer();
  auto self = this->shared_from_this();
  auto make_request = [this, fields] {
    ForwardFields current = fields;
    // Connecting and asking who answers may have taken some time.
    current.time_left = std::min(fields.time_left, this->TimeLeft());
    current.customer = this->ShownCustomer();
    return http1::SerializeRequest(
        this->context.wire.EncodeForwardedHead(this->request.head, current),
        this->request.body);
  };
  bool needs_process = !plan.prefill_only && this->NeedsRegisteredProcess() &&
                       target.entry.started_ms != 0;
  if (!needs_process)
    return this->current->Start(make_request(), options);
  std::string id = target.entry.id;
  bool asks = this->current->StartAtProcess(this->MakeProcessQuery(target),
                                            make_request, options);
  // The question counts as a request to a limited replica.
  if (asks)
    this->context.send_permits.OnSentWithoutPermit(id);
}

/// @return True if the software version of the replica that runs the request
///     matters, because another one may have to go on with it.
bool Exchange::NeedsRegisteredProcess() const {
  return this->is_engine_service && this->route.resumable &&
         this->route.kind == forward::RequestKind::kStream;
}

/// @return A query whose answer tells whether the process that the registry
///     names is at the other end. The version of its software decides where the
///     stream may go on.
ReplicaSend::ProcessQuery Exchange::MakeProcessQuery(
    const forward::Replica& target) {
  http1::OutgoingRequest report =
      this->context.wire.EncodeReportRequest(target.Address());
  auto may_be_expected =
      [this, replica = this->current->Target()](std::string_view body) {
        auto status =
            Capture([&] { return this->context.wire.DecodeReport(body); });
        int64_t registered = replica->entry.started_ms;
        int64_t found = status.ok() ? status.value().started_ms : 0;
        // Some engines do not say when they started.
        if (status.ok() && (found == 0 || found == registered))
          return true;
        replica->process_differs = status.ok();
        this->context.metrics.CountDecision("replica_process_differs");
        this->context.log.Write(
            this->MakeLogEvent("replica_process_differs")
                .Add("replica", replica->entry.id)
                .Add("registered_start_ms", registered)
                .Add("start_ms", found)
                .Add("reason", status.ok() ? "" : status.error().ToString()));
        return false;
      };
  return {http1::SerializeRequest(report.head, report.body), may_be_expected};
}

/// Called when a run of a stream is sent, later than it was decided on.
bool Exchange::MaySend(ReplicaSend& send) {
  const forward::Replica& target = *send.Target();
  if (&send != this->current.get() || !this->TakesRequest(target) ||
      !this->MayWriteStream(target) || this->TimeLeft() < kMinTimeForSend)
    return false;
  if (this->former != nullptr) {
    this->former_ends_at = this->Now() + kHandoverTime;
    this->ArmTimer();
  }
  return true;
}

}  // namespace cranberryhill::gateway
