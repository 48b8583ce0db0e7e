#ifndef CRANBERRYHILL_PEERS_SEND_PERMITS_H_
#define CRANBERRYHILL_PEERS_SEND_PERMITS_H_

// Shares the few requests per second that a limited replica takes between the
// instances. Each limited replica has one issuer, the instance that comes first
// in a hash of the replica and the names of all live instances. An instance
// that wants to send a request there asks the issuer for a permit, which takes
// one round trip, so that permits go where the requests are.
//
//   SendPermits permits(...);
//   permits.Acquire("i-7f3a", [](bool granted) { ...send, or choose another });
//
// An issuer whose peers do not all hear it issues only the share of those that
// do, so that parts of a divided fleet together keep to the limit.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/replica_limits.h"
#include "cranberryhill/peers/permit_message.h"
#include "cranberryhill/store/delay_timer.h"

namespace cranberryhill::gateway {

/// Carries permit messages between instances. Messages may be lost, repeated or
/// late.
class PermitTransport {
 public:
  virtual ~PermitTransport() = default;

  /// @return The live instance, possibly this one, that comes first in an order
  ///     that depends on `key` and is the same on all instances.
  virtual std::string OwnerOf(std::string_view key) const = 0;

  /// @return The share of the instances heard within the last minute that are
  ///     heard now; from 0, excluded, to 1.
  virtual double ReachableShare() const = 0;

  virtual void SendPermitMessage(std::string_view instance,
                                 const PermitMessage& message) = 0;
};

/// Not thread-safe.
class SendPermits {
 public:
  using Callback = std::function<void(bool granted)>;

  /// @param instance Name of this instance.
  /// @param timer Used for asks that get no reply.
  /// @param limits, transport, clock, random Must outlive this object.
  SendPermits(std::string instance,
              forward::ReplicaLimits& limits,
              PermitTransport& transport,
              std::unique_ptr<DelayTimer> timer,
              const Clock& clock,
              Random& random);

  /// @return Time until a permit for the replica may be had; zero if one may be
  ///     had now.
  absl::Duration TimeToOpen(std::string_view replica) const;

  /// @return True if a permit for the replica has been granted and not used.
  bool HasUnused(std::string_view replica) const;

  /// Asks for a permit to send one request to the replica now.
  /// @param done Called once, within a few ten milliseconds, and from within
  ///     this call where no other instance has to be asked.
  void Acquire(std::string_view replica, Callback done);

  /// Takes back a permit that was granted and not used.
  void Return(std::string_view replica);

  /// Records a request that could not wait for a permit.
  void OnSentWithoutPermit(std::string_view replica);

  /// Handles a message of another instance.
  void OnMessage(const PermitMessage& message);

  /// Forgets what is kept about replicas that are not limited any more.
  void Prune();

  uint64_t granted() const { return this->granted_count; }  // NOLINT
  uint64_t denied() const { return this->denied_count; }    // NOLINT

 private:
  struct PendingAsk {
    uint64_t id = 0;
    std::string replica;
    absl::Time asked_at;
    Callback done;  ///< Null after the ask has timed out.
  };

  /// Issues the permits of one replica.
  struct Bucket {
    double permits = 0;  ///< Below zero after requests without a permit.
    absl::Time filled_at;
    std::deque<absl::Time> denials;  ///< Within the last second.
  };

  /// Permits of one replica that this instance has or cannot get.
  struct Holding {
    std::deque<absl::Time> unused_until;
    absl::Time closed_until = absl::InfinitePast();
  };

  bool TakeUnused(std::string_view replica);
  PermitMessage Issue(std::string_view replica);
  Bucket& Fill(std::string_view replica, double rate);
  void OnReply(const PermitMessage& message);
  void OnTimer();
  void ArmTimer();
  void End(const Callback& done, bool granted);
  void Close(std::string_view replica, absl::Duration duration);
  PermitMessage NewMessage(PermitMessage::Kind kind,
                           std::string_view replica) const;

  const std::string instance;
  forward::ReplicaLimits& limits;
  PermitTransport& transport;
  const std::unique_ptr<DelayTimer> timer;
  const Clock& clock;
  Random& random;
  const absl::Time started_at;
  uint64_t next_id = 1;
  uint64_t granted_count = 0;
  uint64_t denied_count = 0;
  std::deque<PendingAsk> pending;  // In the order of their times.
  std::map<std::string, Bucket, std::less<>> buckets;
  std::map<std::string, Holding, std::less<>> holdings;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_PEERS_SEND_PERMITS_H_
