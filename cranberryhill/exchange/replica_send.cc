#include "cranberryhill/exchange/replica_send.h"

#include <algorithm>
#include <utility>

namespace cranberryhill::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
/// The longest answer of a process that says who it is.
constexpr size_t kMaxReportBytes = 1 << 16;

}  // namespace

/// Receives what a process says of itself.
class ReplicaSend::ProcessCheck : public http1::AnswerHandler {
 public:
  ProcessCheck(ReplicaSend& send,
               ProcessQuery query,
               std::function<std::string()> make_request,
               http1::SendOptions options)
      : send(send),
        query(std::move(query)),
        make_request(std::move(make_request)),
        options(options) {}

  http1::AnswerMatch Match(const http1::AnswerHead&) override {
    return http1::AnswerMatch::kOwn;
  }
  void OnHead(http1::AnswerHead head) override { this->head = std::move(head); }
  void OnBody(std::string_view data) override {
    if (this->body.size() + data.size() > kMaxReportBytes)
      this->is_too_long = true;
    else
      this->body.append(data);
  }
  void OnEnd(http1::AnswerEnd end, std::string_view reason) override {
    if (end == http1::AnswerEnd::kNotConnected)
      return this->send.OnProcessUnknown(end, reason);
    if (end == http1::AnswerEnd::kBroken)
      return this->send.OnProcessUnknown(end, "closed before the request");
    bool names_nobody = this->head.status == kNotFound;
    if (!names_nobody && (this->head.status != kOk || this->is_too_long ||
                          !this->query.may_be_expected(this->body)))
      return this->send.OnProcessUnknown(end, "not the registered process");
    this->send.OnProcessKnown();
  }

  ReplicaSend& send;
  const ProcessQuery query;
  const std::function<std::string()> make_request;
  const http1::SendOptions options;
  http1::AnswerHead head;
  std::string body;
  bool is_too_long = false;
};

ReplicaSend::ReplicaSend(SendPlan plan, Resources resources, Observer& observer)
    : plan(std::move(plan)),
      software_version(this->plan.replica->entry.software_version),
      connection(std::move(resources.connection)),
      connection_pool(resources.connection_pool),
      clock(resources.clock),
      observer(observer),
      sent_at(this->clock.Now()),
      last_progress_at(this->sent_at),
      queued_tokens(this->plan.queued_tokens),
      kept_bytes(std::move(resources.kept_bytes)) {
  ++this->plan.replica->outstanding;
  this->plan.replica->queued.Add(this->plan.lane, this->queued_tokens);
}

void ReplicaSend::Start(std::string request, http1::SendOptions options) {
  this->request_sent = true;
  this->connection->Send(std::move(request), options, *this);
}

ReplicaSend::~ReplicaSend() = default;

bool ReplicaSend::StartAtProcess(ProcessQuery query,
                                 std::function<std::string()> make_request,
                                 http1::SendOptions options) {
  if (this->connection->IsPeerVerified()) {
    this->Start(make_request(), options);
    return false;
  }
  std::string request = query.request;
  this->process_check = std::make_unique<ProcessCheck>(
      *this, std::move(query), std::move(make_request), options);
  http1::SendOptions query_options = options;
  query_options.head_request = false;
  this->connection->Send(std::move(request), query_options,
                         *this->process_check);
  return true;
}

void ReplicaSend::OnProcessUnknown(http1::AnswerEnd end,
                                   std::string_view reason) {
  this->connected = end != http1::AnswerEnd::kNotConnected;
  // Nothing of the request itself was sent.
  this->connection->Cancel();
  this->OnEnd(http1::AnswerEnd::kNotConnected, reason);
}

void ReplicaSend::OnProcessKnown() {
  auto self = this->shared_from_this();
  this->connected = true;
  this->connection->SetPeerVerified();
  if (!this->observer.MaySend(*this))
    return this->OnEnd(http1::AnswerEnd::kNotConnected, "no longer wanted");
  // Some answers say that their connection is closed. The process has just said
  // who it is.
  if (!this->connection->Reusable())
    this->connection = this->connection_pool.Acquire(*this->plan.replica);
  this->Start(this->process_check->make_request(),
              this->process_check->options);
}

void ReplicaSend::End() {
  if (this->connection == nullptr)
    return;
  --this->plan.replica->outstanding;
  this->RemoveQueuedTokens();
  if (!this->connection->Reusable())
    this->connection->Cancel();
  this->connection_pool.Release(*this->plan.replica,
                                std::exchange(this->connection, nullptr));
}

void ReplicaSend::RemoveQueuedTokens() {
  this->plan.replica->queued.Add(this->plan.lane, -this->queued_tokens);
  this->queued_tokens = 0;
}

http1::AnswerMatch ReplicaSend::Match(const http1::AnswerHead& head) {
  return this->observer.MatchAnswer(head, this->info);
}

void ReplicaSend::OnHead(http1::AnswerHead head) {
  auto self = this->shared_from_this();
  this->head = std::move(head);
  this->has_head = true;
  this->RecordProgress();
  this->observer.OnSendHead(*this);
}

void ReplicaSend::OnBody(std::string_view data) {
  auto self = this->shared_from_this();
  this->observer.OnSendBody(*this, data);
}

void ReplicaSend::OnEnd(http1::AnswerEnd end, std::string_view reason) {
  auto self = this->shared_from_this();
  this->observer.OnSendEnd(*this, end, reason);
}

bool ReplicaSend::RecordEvent() {
  this->RecordProgress();
  this->RemoveQueuedTokens();
  return !std::exchange(this->has_event, true);
}

void ReplicaSend::Pause() {
  this->paused = true;
  this->connection->Pause();
}

void ReplicaSend::Resume() {
  if (!std::exchange(this->paused, false) || this->connection == nullptr)
    return;
  auto self = this->shared_from_this();
  this->RecordProgress();
  this->connection->Resume();
}

absl::Duration ReplicaSend::ReplicaSilence() const {
  return this->clock.Now() -
         std::max(this->sent_at, this->plan.replica->heard_at);
}

}  // namespace cranberryhill::gateway
