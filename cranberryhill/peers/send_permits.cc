#include "cranberryhill/peers/send_permits.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cranberryhill::gateway {
namespace {

/// An issuer replies within a few milliseconds. The request that waits is sent
/// elsewhere after this time.
constexpr absl::Duration kReplyTimeout = absl::Milliseconds(50);
/// A permit ends this long after it was asked for, so that permits that were
/// kept do not add up to a burst.
constexpr absl::Duration kPermitTime = absl::Milliseconds(500);
/// How long no permit is asked for after an issuer has not replied.
constexpr absl::Duration kPauseAfterTimeout = absl::Milliseconds(100);
/// An instance issues no permits for this long after its start, because until
/// then it may not have heard of the issuers.
constexpr absl::Duration kStartPause = absl::Seconds(2);
/// Permits that may be issued at once: those of this time, and at least one.
constexpr absl::Duration kBurstTime = absl::Milliseconds(500);
constexpr absl::Duration kDemandWindow = absl::Seconds(1);
/// Instances that are denied a permit pause for longer the more denials there
/// are per permit, so that few permits are left unused and issuers get few
/// asks.
constexpr double kDenialsPerPermit = 2;
constexpr absl::Duration kMaxPause = absl::Seconds(5);
/// Limit on the asks that wait for a reply.
constexpr size_t kMaxPending = 256;

}  // namespace

SendPermits::SendPermits(std::string instance,
                         forward::ReplicaLimits& limits,
                         PermitTransport& transport,
                         std::unique_ptr<DelayTimer> timer,
                         const Clock& clock,
                         Random& random)
    : instance(std::move(instance)),
      limits(limits),
      transport(transport),
      timer(std::move(timer)),
      clock(clock),
      random(random),
      started_at(clock.Now()) {}

absl::Duration SendPermits::TimeToOpen(std::string_view replica) const {
  auto found = this->holdings.find(replica);
  if (found == this->holdings.end() || !this->limits.RateOf(replica))
    return absl::ZeroDuration();
  absl::Time now = this->clock.Now();
  const Holding& holding = found->second;
  return this->HasUnused(replica)
             ? absl::ZeroDuration()
             : std::max(absl::ZeroDuration(), holding.closed_until - now);
}

bool SendPermits::HasUnused(std::string_view replica) const {
  auto found = this->holdings.find(replica);
  return found != this->holdings.end() && !found->second.unused_until.empty() &&
         found->second.unused_until.back() > this->clock.Now();
}

void SendPermits::Acquire(std::string_view replica, Callback done) {
  if (!this->limits.RateOf(replica))
    return done(true);
  if (this->TakeUnused(replica))
    return this->End(done, true);
  if (this->TimeToOpen(replica) > absl::ZeroDuration() ||
      this->pending.size() >= kMaxPending)
    return this->End(done, false);
  std::string issuer = this->transport.OwnerOf(replica);
  if (issuer == this->instance) {
    PermitMessage reply = this->Issue(replica);
    if (!reply.granted)
      this->Close(replica, reply.closed_for);
    return this->End(done, reply.granted);
  }
  PermitMessage ask = this->NewMessage(PermitMessage::Kind::kAsk, replica);
  ask.id = this->next_id++;
  this->pending.push_back(
      {ask.id, std::string(replica), this->clock.Now(), std::move(done)});
  this->transport.SendPermitMessage(issuer, ask);
  this->ArmTimer();
}

void SendPermits::End(const Callback& done, bool granted) {
  ++(granted ? this->granted_count : this->denied_count);
  done(granted);
}

bool SendPermits::TakeUnused(std::string_view replica) {
  auto found = this->holdings.find(replica);
  if (found == this->holdings.end())
    return false;
  auto& unused = found->second.unused_until;
  while (!unused.empty() && unused.front() <= this->clock.Now())
    unused.pop_front();
  if (unused.empty())
    return false;
  unused.pop_front();
  return true;
}

void SendPermits::Return(std::string_view replica) {
  // The time at which it was asked for is not known any more.
  this->holdings[std::string(replica)].unused_until.push_back(
      this->clock.Now() + kPermitTime - kReplyTimeout);
}

void SendPermits::OnSentWithoutPermit(std::string_view replica) {
  auto rate = this->limits.RateOf(replica);
  if (!rate)
    return;
  std::string issuer = this->transport.OwnerOf(replica);
  if (issuer == this->instance)
    this->Fill(replica, *rate).permits -= 1;
  else
    this->transport.SendPermitMessage(
        issuer, this->NewMessage(PermitMessage::Kind::kNotice, replica));
}

void SendPermits::Close(std::string_view replica, absl::Duration duration) {
  Holding& holding = this->holdings[std::string(replica)];
  holding.closed_until =
      std::max(holding.closed_until,
               this->clock.Now() +
                   std::clamp(duration, absl::ZeroDuration(), kMaxPause * 2));
}

PermitMessage SendPermits::NewMessage(PermitMessage::Kind kind,
                                      std::string_view replica) const {
  PermitMessage message;
  message.kind = kind;
  message.sender = this->instance;
  message.replica = std::string(replica);
  message.limit = this->limits.ReportOf(replica);
  return message;
}

SendPermits::Bucket& SendPermits::Fill(std::string_view replica, double rate) {
  absl::Time now = this->clock.Now();
  auto [item, is_new] = this->buckets.try_emplace(std::string(replica));
  Bucket& bucket = item->second;
  if (is_new)
    bucket.filled_at = now;
  double capacity = std::max(1.0, rate * absl::ToDoubleSeconds(kBurstTime));
  bucket.permits = std::min(
      capacity,
      bucket.permits + rate * absl::ToDoubleSeconds(now - bucket.filled_at));
  bucket.filled_at = now;
  return bucket;
}

/// Grants or denies a permit as the issuer of the replica.
PermitMessage SendPermits::Issue(std::string_view replica) {
  PermitMessage reply = this->NewMessage(PermitMessage::Kind::kReply, replica);
  auto limit = this->limits.RateOf(replica);
  if (!limit) {
    reply.granted = true;
    return reply;
  }
  absl::Time now = this->clock.Now();
  if (now - this->started_at < kStartPause) {
    reply.closed_for = this->started_at + kStartPause - now;
    return reply;
  }
  double rate = *limit * this->transport.ReachableShare();
  Bucket& bucket = this->Fill(replica, rate);
  if (bucket.permits >= 1) {
    bucket.permits -= 1;
    reply.granted = true;
    return reply;
  }
  while (!bucket.denials.empty() &&
         now - bucket.denials.front() > kDemandWindow)
    bucket.denials.pop_front();
  bucket.denials.push_back(now);
  double until_next = (1 - bucket.permits) / rate;
  double by_demand =
      static_cast<double>(bucket.denials.size()) / (kDenialsPerPermit * rate);
  double jitter = 0.5 + this->random.UniformDouble();
  reply.closed_for = std::min(
      kMaxPause, absl::Seconds(std::max(until_next, by_demand * jitter)));
  return reply;
}

void SendPermits::OnMessage(const PermitMessage& message) {
  if (message.limit)
    this->limits.Merge(*message.limit);
  if (message.kind == PermitMessage::Kind::kReply)
    return this->OnReply(message);
  bool is_issuer = this->transport.OwnerOf(message.replica) == this->instance;
  if (message.kind == PermitMessage::Kind::kNotice) {
    auto rate = this->limits.RateOf(message.replica);
    if (is_issuer && rate)
      this->Fill(message.replica, *rate).permits -= 1;
    return;
  }
  PermitMessage reply;
  if (is_issuer) {
    reply = this->Issue(message.replica);
  } else {
    // Two instances must not issue permits for one replica while the fleet
    // changes.
    reply = this->NewMessage(PermitMessage::Kind::kReply, message.replica);
    reply.closed_for = kPauseAfterTimeout;
  }
  reply.id = message.id;
  this->transport.SendPermitMessage(message.sender, reply);
}

void SendPermits::OnReply(const PermitMessage& message) {
  auto found = std::find_if(
      this->pending.begin(), this->pending.end(),
      [&message](const PendingAsk& ask) { return ask.id == message.id; });
  if (found == this->pending.end() || found->replica != message.replica)
    return;
  PendingAsk ask = std::move(*found);
  this->pending.erase(found);
  if (!message.granted)
    this->Close(message.replica, message.closed_for);
  if (ask.done != nullptr)
    return this->End(ask.done, message.granted);
  if (message.granted) {
    this->holdings[ask.replica].unused_until.push_back(ask.asked_at +
                                                       kPermitTime);
  }
}

void SendPermits::ArmTimer() {
  if (this->pending.empty())
    return;
  const PendingAsk& first = this->pending.front();
  absl::Time next = first.asked_at + kPermitTime;
  for (const PendingAsk& ask : this->pending) {
    if (ask.done != nullptr) {
      next = std::min(next, ask.asked_at + kReplyTimeout);
      break;
    }
  }
  this->timer->Start(std::max(absl::ZeroDuration(), next - this->clock.Now()),
                     [this] { this->OnTimer(); });
}

void SendPermits::OnTimer() {
  absl::Time now = this->clock.Now();
  while (!this->pending.empty() &&
         now - this->pending.front().asked_at >= kPermitTime &&
         this->pending.front().done == nullptr)
    this->pending.pop_front();
  std::vector<std::pair<Callback, std::string>> timed_out;
  for (PendingAsk& ask : this->pending) {
    if (ask.done == nullptr || now - ask.asked_at < kReplyTimeout)
      continue;
    timed_out.emplace_back(std::exchange(ask.done, nullptr), ask.replica);
    this->Close(ask.replica,
                kPauseAfterTimeout * (0.5 + this->random.UniformDouble()));
  }
  this->ArmTimer();
  for (auto& [done, replica] : timed_out)
    this->End(done, false);
}

void SendPermits::Prune() {
  auto is_unlimited = [this](const auto& item) {
    return !this->limits.RateOf(item.first);
  };
  std::erase_if(this->buckets, is_unlimited);
  std::erase_if(this->holdings, is_unlimited);
}

}  // namespace cranberryhill::gateway
