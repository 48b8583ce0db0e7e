#include "cranberryhill/gateway/store_contact.h"

#include <algorithm>

namespace cranberryhill::gateway {
namespace {

/// Number of live instances that poll the store. It is more than one because
/// each of them may be disconnected from the store or from its peers.
constexpr size_t kPollers = 3;
/// An instance that has just started does not know its peers, so that its rank
/// says nothing; it has read the tables at its start.
constexpr absl::Duration kTimeToMeetPeers = absl::Seconds(4);
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
      confirmed_at(clock.Now() + kFirstConfirmationTime - kMaxUnconfirmed) {}

bool StoreContact::OnPeerContact(absl::Duration age) {
  bool was_lost = this->Age() > kMaxUnconfirmed;
  this->confirmed_at = std::max(this->confirmed_at, this->clock.Now() - age);
  return was_lost && this->Age() <= kMaxUnconfirmed;
}

void StoreContact::OnOwnCall(bool answered) {
  this->own_calls_fail = !answered;
  if (answered)
    this->confirmed_at = std::max(this->confirmed_at, this->clock.Now());
}

bool StoreContact::IsPoller(size_t rank) const {
  return rank < kPollers &&
         this->clock.Now() - this->started_at >= kTimeToMeetPeers;
}

bool StoreContact::MustPoll(size_t rank) const {
  return this->IsPoller(rank) || this->Age() > kMaxUnconfirmed;
}

}  // namespace cranberryhill::gateway
