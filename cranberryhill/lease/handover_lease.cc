#include "cranberryhill/lease/handover_lease.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {
namespace {

/// All instances notice at the same time that the lease is needed. Each waits
/// for a random part of this time, so that one of them writes first and the
/// others see its row.
constexpr absl::Duration kAcquireJitter = absl::Seconds(1);
/// Instances try to acquire the lease in groups of this size, in order of their
/// ranks. Each group waits this much longer than the one before, so that it
/// tries only if the earlier ones cannot reach the store: every failed attempt
/// costs a call.
constexpr size_t kCandidatesPerGroup = 3;
constexpr absl::Duration kCandidateGroupDelay = absl::Seconds(5);
constexpr size_t kMaxCandidateGroup = 5;

constexpr uint64_t kFencingNumbersPerEra = 1'000'000;
/// A store that names a later era may have been restored.
constexpr uint64_t kFirstEra = 1;

/// @param era Of the store. A store that was restored may have lost rows with
///     fencing numbers that were used; those of a new era are higher.
LeaseSettings MakeLeaseSettings(const HandoverLeaseSettings& from,
                                uint64_t era) {
  LeaseSettings settings;
  settings.key = from.key;
  settings.holder = from.holder;
  settings.term = from.term;
  settings.renew_interval = from.renew_interval;
  settings.poll_interval = from.poll_interval;
  settings.min_fencing_number = era * kFencingNumbersPerEra + 1;
  return settings;
}

}  // namespace

HandoverLease::HandoverLease(HandoverLeaseSettings settings,
                             TableService& table,
                             const Clock& clock,
                             Random& random)
    : settings(std::move(settings)),
      table(table),
      clock(clock),
      random(random),
      needed_at(clock.Now()) {
  this->Reset();
}

void HandoverLease::Reset() {
  this->lease = std::make_unique<LeaseManager>(
      MakeLeaseSettings(this->settings, this->era), this->table, this->clock,
      this->random);
  this->is_holder = false;
  this->is_releasing = false;
}

void HandoverLease::Release() {
  if (!this->is_holder || std::exchange(this->is_releasing, true))
    return;
  this->lease->Release();
}

std::optional<LeaseGrant> HandoverLease::GrantToAct() const {
  auto grant = this->lease->Grant();
  if (!grant || this->TimeSinceOtherHolder() < this->settings.handover_gap ||
      grant->valid_until - this->clock.Now() < this->settings.delivery_time)
    return std::nullopt;
  return grant;
}

bool HandoverLease::ObserveEra(uint64_t era) {
  if (era == this->era)
    return false;
  bool is_first = std::exchange(this->era, era) == 0;
  this->Reset();
  if (is_first && era <= kFirstEra)
    return false;
  this->observed_version = kAbsentVersion;
  this->other_holder_ended_at = this->clock.Now() + this->settings.term;
  // Others, which know whom they have seen acting, may act sooner than a
  // process that has just started.
  if (is_first)
    this->may_acquire_from = this->other_holder_ended_at;
  return !is_first;
}

/// Records until when the holder named by a row may still send orders.
void HandoverLease::ObserveForeignRecord(const LeaseRecord& record) {
  this->other_holder_ended_at =
      this->clock.Now() +
      (record.released ? absl::ZeroDuration() : this->settings.term);
}

void HandoverLease::ObserveRow(uint64_t version, std::string_view value) {
  if (std::exchange(this->observed_version, version) == version)
    return;
  auto record = ParseLeaseRecord(value);
  if (!record.ok())
    return this->ObserveForeignRecord({});
  if (record.value().holder == this->settings.holder)
    return;
  this->observed_nonce = record.value().nonce;
  this->ObserveForeignRecord(record.value());
}

void HandoverLease::ObserveRecordOfLease() {
  const auto& record = this->lease->last_foreign_record();
  if (!record || record->holder == this->settings.holder ||
      record->nonce == this->observed_nonce)
    return;
  this->observed_nonce = record->nonce;
  this->ObserveForeignRecord(*record);
}

LeaseChange HandoverLease::Tick(bool needed, size_t rank) {
  absl::Time now = this->clock.Now();
  if (needed)
    this->needed_at = now;
  if (!needed) {
    this->acquire_from = absl::InfiniteFuture();
  } else if (this->acquire_from == absl::InfiniteFuture()) {
    this->acquire_from = now + kAcquireJitter * this->random.UniformDouble() +
                         kCandidateGroupDelay * static_cast<double>(std::min(
                                                    rank / kCandidatesPerGroup,
                                                    kMaxCandidateGroup));
  }
  bool unused = now - this->needed_at > this->settings.release_after_idle;
  if (this->is_holder && unused)
    this->lease->Release();
  bool may_try = now >= std::max(this->acquire_from, this->may_acquire_from);
  if (this->is_holder || may_try) {
    this->lease->Tick();
    // Without a call just made, its last record may be older than a row that
    // was read elsewhere.
    this->ObserveRecordOfLease();
  }
  if (this->lease->released()) {
    this->Reset();
    return LeaseChange::kReleased;
  }
  bool granted = this->lease->Grant().has_value();
  if (granted && !this->is_holder) {
    this->is_holder = true;
    return LeaseChange::kAcquired;
  }
  if (!granted && this->is_holder && !unused && !this->is_releasing) {
    this->is_holder = false;
    return LeaseChange::kLost;
  }
  return LeaseChange::kNone;
}

}  // namespace cranberryhill
