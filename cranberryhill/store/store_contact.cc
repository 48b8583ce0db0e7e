#include "cranberryhill/store/store_contact.h"

#include <algorithm>

namespace cranberryhill::gateway {
namespace {

/// Number of live instances that poll the store. It is more than one because
/// each of them may be disconnected from the store or from its peers.
constexpr size_t kPollers = 3;
/// An instance that has just started has not heard of its peers, so that its
/// rank says nothing. In a large fleet it waits before it polls, because all
/// instances may have started at the same time; it has read the tables at its
/// start. The wait ends before requests must follow each change.
constexpr absl::Duration kTimeToMeetPeers = absl::Milliseconds(2500);
constexpr absl::Duration kTimeToMeetEachPeer = absl::Milliseconds(8);
/// A fleet with at most this many peers does not wait.
constexpr size_t kSmallFleet = 16;
/// Time after the start at which an instance that has heard of no poller polls
/// itself. Pollers that started at the same time have reported by then.
constexpr absl::Duration kFirstConfirmationTime = absl::Milliseconds(5500);
/// An instance relies on its peers while one of them was in contact with the
/// store this recently. Pollers get an answer every 1.2 s and report it up to
/// 1.2 s later.
constexpr absl::Duration kMaxUnconfirmed = absl::Seconds(3);

}  // namespace

StoreContact::StoreContact(const Clock& clock)
    : clock(clock),
      started_at(clock.Now()),
      confirmed_at(clock.Now() + kFirstConfirmationTime - kMaxUnconfirmed) {
  this->SetKnownPeers(0);
}

bool StoreContact::OnPeerContact(absl::Duration answer_age,
                                 absl::Duration may_poll_in) {
  // A peer that has just started has read the store, but does not pass changes
  // on.
  if (may_poll_in > absl::ZeroDuration())
    return false;
  bool was_lost = this->Age() > kMaxUnconfirmed;
  this->confirmed_at =
      std::max(this->confirmed_at, this->clock.Now() - answer_age);
  return was_lost && this->Age() <= kMaxUnconfirmed;
}

void StoreContact::OnOwnCall(bool answered) {
  this->own_calls_fail = !answered;
  if (answered)
    this->confirmed_at = std::max(this->confirmed_at, this->clock.Now());
}

void StoreContact::SetKnownPeers(size_t peers) {
  // Without any, the fleet may be starting for the first time.
  bool is_small = peers > 0 && peers <= kSmallFleet;
  this->poll_from =
      this->started_at +
      (is_small ? absl::ZeroDuration()
                : kTimeToMeetPeers +
                      kTimeToMeetEachPeer * static_cast<double>(peers));
}

bool StoreContact::IsPoller(size_t rank) const {
  return rank < kPollers && this->clock.Now() >= this->poll_from;
}

bool StoreContact::MustPoll(size_t rank) const {
  return this->IsPoller(rank) || this->Age() > kMaxUnconfirmed;
}

}  // namespace cranberryhill::gateway
