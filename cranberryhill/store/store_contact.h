#ifndef CRANBERRYHILL_STORE_STORE_CONTACT_H_
#define CRANBERRYHILL_STORE_STORE_CONTACT_H_

// Decides which instances poll the store, and whether this instance may rely on
// its peers for changes. A few instances poll and pass rows on; the others
// call the store only when they notice that they lack rows, or when no peer has
// said recently that it is in contact with the store. Designed for hundreds of
// instances, of which the store may refuse some or all.
//
//   StoreContact contact(clock);
//   contact.OnPeerContact(absl::Milliseconds(400));
//   if (contact.MustPoll(rank)) ...

#include <algorithm>
#include <cstddef>
#include <optional>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill::gateway {

/// Not thread-safe.
class StoreContact {
 public:
  /// @param clock Must outlive this object.
  explicit StoreContact(const Clock& clock);

  /// Records what a peer says of its contact with the store.
  /// @param answer_age Time since its last answer of the store; infinite if
  ///     that was long ago.
  /// @param may_poll_in Time until it may poll for its peers, zero if it may.
  /// @return True if the contact had been lost for longer than an instance may
  ///     go without, so that entries may have expired meanwhile.
  bool OnPeerContact(absl::Duration answer_age,
                     absl::Duration may_poll_in = absl::ZeroDuration());

  /// Records the outcome of a call of this instance to the store.
  void OnOwnCall(bool answered);

  /// @return True when calls of this instance have been failing.
  bool lost() const { return this->own_calls_fail; }  // NOLINT

  /// @param peers Number of other instances in the control table.
  void SetKnownPeers(size_t peers);

  /// @return Time until this instance, which has just started, may poll for its
  ///     peers.
  absl::Duration TimeToPoll() const {
    return std::max(absl::ZeroDuration(), this->poll_from - this->clock.Now());
  }

  /// @param rank Number of live peers that come before this instance among
  ///     those whose calls to the store fail, or do not fail, as its own.
  /// @return True if this instance polls for itself and its peers.
  bool IsPoller(size_t rank) const;

  /// @return True if this instance must poll: it is a poller, or no peer has
  ///     confirmed contact for too long.
  bool MustPoll(size_t rank) const;

  /// @return Time since this instance, or a peer, got an answer of the store.
  ///     Zero for some time after the start.
  absl::Duration Age() const {
    return std::max(absl::ZeroDuration(),
                    this->clock.Now() - this->confirmed_at);
  }

 private:
  const Clock& clock;
  const absl::Time started_at;
  absl::Time poll_from;  // The rank counts from then on.
  absl::Time confirmed_at;
  bool own_calls_fail = false;
};

}  // namespace cranberryhill::gateway

#endif  // CRANBERRYHILL_STORE_STORE_CONTACT_H_
