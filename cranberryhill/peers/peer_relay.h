#ifndef CRANBERRYHILL_PEERS_PEER_RELAY_H_
#define CRANBERRYHILL_PEERS_PEER_RELAY_H_

// One send of a caller's request to another instance, and what has arrived of
// its answer. Each has a connection of its own: one that the peer closes as
// idle meanwhile would leave open whether the request has run.
//
//   auto relay = std::make_shared<PeerRelay>(peer, resources, observer);
//   relay->Start(bytes, options);
//   ...the observer is told of the answer...
//   relay->End();

#include <memory>
#include <string>
#include <string_view>

#include "cranberryhill/base/byte_account.h"
#include "cranberryhill/forward/event_splitter.h"
#include "cranberryhill/forward/relay_peers.h"
#include "cranberryhill/http1/client.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class PeerRelay : public http1::AnswerHandler,
                  public std::enable_shared_from_this<PeerRelay> {
 public:
  /// The request that is relayed. May end the relay in any call.
  class Observer {
   public:
    virtual ~Observer() = default;

    virtual void OnRelayHead(PeerRelay& relay) = 0;
    virtual void OnRelayBody(PeerRelay& relay, std::string_view data) = 0;
    virtual void OnRelayEnd(PeerRelay& relay,
                            http1::AnswerEnd end,
                            std::string_view reason) = 0;
  };

  struct Resources {
    std::shared_ptr<http1::ClientConnection> connection;
    ByteAccount::Reservation kept_bytes;  ///< For what is kept of the answer.
    forward::RelayPeers& peers;
  };

  /// Counts the request as relayed to `peer`.
  /// @param observer Must live until End().
  PeerRelay(std::string peer, Resources resources, Observer& observer);
  ~PeerRelay() override;

  /// @param request Head and body.
  void Start(std::string request, http1::SendOptions options);

  /// Closes the connection, so that the peer gives up the request if it has not
  /// answered it. The observer is not called again. A second call has no
  /// effect.
  void End();

  http1::AnswerMatch Match(const http1::AnswerHead& head) override;
  void OnHead(http1::AnswerHead head) override;
  void OnBody(std::string_view data) override;
  void OnEnd(http1::AnswerEnd end, std::string_view reason) override;

  /// Stops reading the answer until Resume().
  void Pause() { this->connection->Pause(); }
  void Resume();

  const std::string& Peer() const { return this->peer; }
  const http1::AnswerHead& Head() const { return this->head; }
  std::string& Body() { return this->body; }
  ByteAccount::Reservation& KeptBytes() { return this->kept_bytes; }
  forward::EventSplitter& Events() { return this->events; }

 private:
  const std::string peer;
  std::shared_ptr<http1::ClientConnection> connection;  // Null after End().
  forward::RelayPeers& peers;
  Observer& observer;
  http1::AnswerHead head;
  std::string body;
  ByteAccount::Reservation kept_bytes;
  forward::EventSplitter events;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_PEERS_PEER_RELAY_H_
