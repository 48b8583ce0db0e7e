#ifndef CRANBERRYHILL_EXCHANGE_REPLICA_SEND_H_
#define CRANBERRYHILL_EXCHANGE_REPLICA_SEND_H_

// One send of a request to one replica: its part of the replica's counters, its
// connection, and what has arrived of the answer. A request owns its sends, so
// that it can listen to one of them until another has taken its place.
//
//   auto send = std::make_shared<ReplicaSend>(plan, resources, observer);
//   send->Start(bytes, options);
//   ...the observer is told of the answer...
//   send->End();

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "cranberryhill/base/byte_account.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/exchange/connection_pool.h"
#include "cranberryhill/exchange/wire_format.h"
#include "cranberryhill/forward/engine_speed.h"
#include "cranberryhill/forward/event_splitter.h"
#include "cranberryhill/forward/replica_set.h"
#include "cranberryhill/http1/client.h"

namespace cranberryhill::gateway {

/// What is decided when a request is sent.
struct SendPlan {
  std::shared_ptr<forward::Replica> replica;
  bool prefill_only = false;
  bool uses_cache_source = false;  ///< Refers to a transferred cache.
  forward::PrefillLane lane = forward::PrefillLane::kOnTime;
  double queued_tokens = 0;  ///< Added to the replica's queue.
  forward::PrefillWork prefill_work;
  absl::Time chosen_at;  ///< When the replica was chosen.
  absl::Duration expected_first_byte;
  absl::Duration first_byte_timeout;  ///< Longest wait for the first byte.
  absl::Duration connect_timeout;
};

/// Not thread-safe.
class ReplicaSend : public http1::AnswerHandler,
                    public std::enable_shared_from_this<ReplicaSend> {
 public:
  /// The request to which a send belongs. May end the send in any call.
  class Observer {
   public:
    virtual ~Observer() = default;

    /// Decides whether an answer belongs to this request.
    /// @param info Receives what the head says.
    virtual http1::AnswerMatch MatchAnswer(const http1::AnswerHead& head,
                                           ReplicaAnswerInfo& info) = 0;
    virtual void OnSendHead(ReplicaSend& send) = 0;
    virtual void OnSendBody(ReplicaSend& send, std::string_view data) = 0;
    virtual void OnSendEnd(ReplicaSend& send,
                           http1::AnswerEnd end,
                           std::string_view reason) = 0;
    /// Called before the request goes to a process that has been asked who it
    /// is, which may have taken a while.
    /// @return False if the request is not to be sent there any more.
    virtual bool MaySend(ReplicaSend& send) = 0;
  };

  struct Resources {
    std::shared_ptr<http1::ClientConnection> connection;
    ByteAccount::Reservation kept_bytes;  ///< For what is kept of the answer.
    ConnectionPool& connection_pool;
    const Clock& clock;
  };

  /// Counts the request as outstanding at the replica.
  /// @param observer Must live until End().
  ReplicaSend(SendPlan plan, Resources resources, Observer& observer);
  ~ReplicaSend() override;

  /// Asks a process who it is.
  struct ProcessQuery {
    std::string request;  ///< Head and body.
    /// @return False if the body of the answer cannot be read, or says that it
    ///     comes from another process than the one that is meant.
    std::function<bool(std::string_view body)> may_be_expected;
  };

  /// @param request Head and body.
  void Start(std::string request, http1::SendOptions options);

  /// Asks the process at the other end of the connection who it is, unless it
  /// was asked before, and starts if it is not another one. A replica may
  /// restart under its id, with other software, before the registry says so.
  /// Ends as not connected otherwise.
  /// @param make_request Makes the request, head and body, when it is sent.
  /// @return True if the process is asked.
  bool StartAtProcess(ProcessQuery query,
                      std::function<std::string()> make_request,
                      http1::SendOptions options);

  /// Removes the send from the replica's counters. The connection is returned
  /// to the pool if its answer is complete, and reset otherwise. The observer
  /// is not called again. A second call has no effect.
  void End();

  http1::AnswerMatch Match(const http1::AnswerHead& head) override;
  void OnHead(http1::AnswerHead head) override;
  void OnBody(std::string_view data) override;
  void OnEnd(http1::AnswerEnd end, std::string_view reason) override;

  const SendPlan& Plan() const { return this->plan; }
  const std::shared_ptr<forward::Replica>& Target() const {
    return this->plan.replica;
  }
  /// @return The software version that the replica's entry named at the start.
  const std::string& SoftwareVersion() const { return this->software_version; }
  absl::Time SentAt() const { return this->sent_at; }

  /// @return True if a part of the request may have reached the replica.
  bool HasSentRequest() const { return this->request_sent; }
  /// @return True if the replica accepted the connection of a send that ended
  ///     as not connected.
  bool WasConnected() const { return this->connected; }

  bool HasHead() const { return this->has_head; }
  const http1::AnswerHead& Head() const { return this->head; }
  const ReplicaAnswerInfo& Info() const { return this->info; }
  std::string& Body() { return this->body; }
  ByteAccount::Reservation& KeptBytes() { return this->kept_bytes; }
  forward::EventSplitter& Events() { return this->events; }
  const forward::EventSplitter& Events() const { return this->events; }

  /// Whether the body consists of events that are passed on to the caller.
  bool RelaysEvents() const { return this->relays_events; }
  void SetRelaysEvents(bool relays) { this->relays_events = relays; }

  /// Records that a whole event has arrived, before which the prompt has been
  /// prefilled.
  /// @return True for the first one.
  bool RecordEvent();
  bool HasEvent() const { return this->has_event; }

  /// Whether events may be passed on: their software version can be found by
  /// all instances.
  bool IsPrepared() const { return this->prepared; }
  void SetPrepared(bool prepared) { this->prepared = prepared; }
  /// Starts to wait until the send is prepared.
  /// @return A number that is current until the next call.
  int AwaitPreparation() {
    this->prepared = false;
    return ++this->preparation;
  }
  int Preparation() const { return this->preparation; }

  /// Keeps events, and the end of the answer, until the send is prepared.
  void HoldEvents(std::string_view events) { this->held_events.append(events); }
  void HoldEnd(http1::AnswerEnd end, std::string_view reason) {
    this->held_end = {end, std::string(reason)};
  }
  std::string TakeHeldEvents() { return std::exchange(this->held_events, {}); }
  std::optional<std::pair<http1::AnswerEnd, std::string>> TakeHeldEnd() {
    return std::exchange(this->held_end, std::nullopt);
  }

  void RecordProgress() { this->last_progress_at = this->clock.Now(); }
  absl::Time LastProgressAt() const { return this->last_progress_at; }
  void RecordSilenceCheck() { this->silence_checked_at = this->clock.Now(); }
  absl::Time SilenceCheckedAt() const { return this->silence_checked_at; }

  /// Stops reading the answer until Resume().
  void Pause();
  void Resume();
  bool IsPaused() const { return this->paused; }

  /// @return Time since the replica last sent something on any connection, or
  ///     since the start if that is less.
  absl::Duration ReplicaSilence() const;

 private:
  class ProcessCheck;

  void RemoveQueuedTokens();
  void OnProcessKnown();
  void OnProcessUnknown(http1::AnswerEnd end, std::string_view reason);

  const SendPlan plan;
  const std::string software_version;
  std::shared_ptr<http1::ClientConnection> connection;  // Null after End().
  ConnectionPool& connection_pool;
  const Clock& clock;
  Observer& observer;
  const absl::Time sent_at;
  absl::Time last_progress_at;
  absl::Time silence_checked_at = absl::InfinitePast();
  double queued_tokens;

  http1::AnswerHead head;
  ReplicaAnswerInfo info;
  std::string body;
  ByteAccount::Reservation kept_bytes;
  forward::EventSplitter events;
  bool request_sent = false;
  bool connected = false;
  bool has_head = false;
  bool relays_events = false;
  bool has_event = false;
  bool paused = false;
  bool prepared = true;
  int preparation = 0;
  std::unique_ptr<ProcessCheck> process_check;
  std::string held_events;
  std::optional<std::pair<http1::AnswerEnd, std::string>> held_end;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_EXCHANGE_REPLICA_SEND_H_
