#include "cranberryhill/peers/peer_relay.h"

#include <utility>

namespace cranberryhill::gateway {

PeerRelay::PeerRelay(std::string peer, Resources resources, Observer& observer)
    : peer(std::move(peer)),
      connection(std::move(resources.connection)),
      peers(resources.peers),
      observer(observer),
      kept_bytes(std::move(resources.kept_bytes)) {
  this->peers.OnRelayed(this->peer);
}

PeerRelay::~PeerRelay() {
  this->End();
}

void PeerRelay::Start(std::string request, http1::SendOptions options) {
  this->connection->Send(std::move(request), options, *this);
}

void PeerRelay::End() {
  if (this->connection == nullptr)
    return;
  std::exchange(this->connection, nullptr)->Cancel();
  this->peers.OnRelayEnded(this->peer);
}

http1::AnswerMatch PeerRelay::Match(const http1::AnswerHead&) {
  // The connection carries no other request.
  return http1::AnswerMatch::kOwn;
}

void PeerRelay::OnHead(http1::AnswerHead head) {
  auto self = this->shared_from_this();
  this->head = std::move(head);
  this->observer.OnRelayHead(*this);
}

void PeerRelay::OnBody(std::string_view data) {
  auto self = this->shared_from_this();
  this->observer.OnRelayBody(*this, data);
}

void PeerRelay::OnEnd(http1::AnswerEnd end, std::string_view reason) {
  auto self = this->shared_from_this();
  this->observer.OnRelayEnd(*this, end, reason);
}

void PeerRelay::Resume() {
  auto self = this->shared_from_this();
  if (this->connection != nullptr)
    this->connection->Resume();
}

}  // namespace cranberryhill::gateway
