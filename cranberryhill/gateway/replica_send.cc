#include "cranberryhill/gateway/replica_send.h"

#include <algorithm>
#include <utility>

namespace cranberryhill::gateway {

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
  this->connection->Send(std::move(request), options, *this);
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
