#include "cranberryhill/lease/lease_manager.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

// Factor that extends a wait, so that the wait is long enough by the clock of
// any instance. By assumption A1 of the design, the clock rates of two
// instances differ by less than 1%.
constexpr double kClockRateFactor = 1.01;

// Minimum time between two writes of the row, so that lost answers do not cause
// a write in every tick.
constexpr absl::Duration kMinWriteInterval = absl::Milliseconds(500);

// Maximum number of writes that are remembered while their outcome is unknown.
// A write that is dropped from the list can no longer be recognized by its
// nonce; its row is then treated as a row of another holder.
constexpr size_t kMaxRecentWrites = 64;

}  // namespace

LeaseManager::LeaseManager(LeaseSettings settings,
                           TableService& table,
                           const Clock& clock,
                           Random& random)
    : own_settings(std::move(settings)),
      table(table),
      clock(clock),
      random(random),
      alive(std::make_shared<bool>(true)) {}

LeaseManager::~LeaseManager() = default;

const LeaseSettings& LeaseManager::settings() const {
  return this->own_settings;
}

const std::optional<LeaseRecord>& LeaseManager::last_record() const {
  return this->last_read_record;
}

const std::optional<LeaseRecord>& LeaseManager::last_foreign_record() const {
  return this->foreign_record;
}

bool LeaseManager::released() const {
  return this->release_complete;
}

std::optional<LeaseGrant> LeaseManager::Grant() const {
  if (!this->holds_lease || this->release_requested ||
      this->clock.Now() >= this->grant.valid_until) {
    return std::nullopt;
  }
  return this->grant;
}

void LeaseManager::Release() {
  this->release_requested = true;
  this->next_action_at = absl::InfinitePast();
}

void LeaseManager::Tick() {
  absl::Time now = this->clock.Now();
  if (this->call_active) {
    if (now - this->call_started_at <= this->own_settings.call_timeout)
      return;
    this->call_active = false;
    ++this->call_id;
    this->read_back_due = true;
  }
  if (this->release_complete || now < this->next_action_at)
    return;
  if (this->release_requested && !this->holds_lease && !this->read_back_due) {
    this->release_complete = true;
    return;
  }
  bool write_due =
      this->holds_lease && (this->release_requested || now >= this->renew_at);
  if (this->read_back_due || !this->holds_lease) {
    this->Read();
  } else if (write_due) {
    this->Write(this->grant.fencing_number, this->release_requested);
  }
}

void LeaseManager::Read() {
  uint64_t sent_call_id = ++this->call_id;
  this->call_active = true;
  this->call_started_at = this->clock.Now();
  this->table.Read(
      {this->own_settings.key},
      [this, sent_call_id, weak_alive = std::weak_ptr<bool>(this->alive)](
          const ReadOutcome& outcome) {
        if (!weak_alive.expired())
          this->OnRead(sent_call_id, outcome);
      });
}

void LeaseManager::SetPollInterval(absl::Duration interval) {
  this->own_settings.poll_interval = interval;
}

void LeaseManager::OnRead(uint64_t sent_call_id, const ReadOutcome& outcome) {
  if (sent_call_id != this->call_id || !this->call_active)
    return;
  this->call_active = false;
  if (!outcome.ok()) {
    this->ScheduleAfter(this->own_settings.poll_interval / 2);
    return;
  }
  this->read_back_due = false;
  this->HandleRow(FindRow(outcome.value(), this->own_settings.key));
}

void LeaseManager::HandleRow(const Row* row) {
  uint64_t version = row == nullptr ? kAbsentVersion : row->version;
  if (version != this->last_read_version ||
      this->version_first_read_at == absl::InfinitePast()) {
    this->last_read_version = version;
    this->version_first_read_at = this->clock.Now();
  }
  if (row == nullptr) {
    this->HandleForeignRow(nullptr);
    return;
  }
  Outcome<LeaseRecord> record = ParseLeaseRecord(row->value);
  if (!record.ok()) {
    // An unreadable row is never replaced, because a new fencing number could
    // not be guaranteed to be higher than the one in the row.
    LogLine("lease row {} is unreadable: {}", row->key,
            record.error().ToString());
    this->holds_lease = false;
    this->ScheduleAfter(this->own_settings.poll_interval);
    return;
  }
  this->last_read_record = record.value();
  const SentWrite* write = this->FindWrite(this->last_read_record->nonce);
  if (write != nullptr) {
    this->HandleOwnRow(*row, SentWrite(*write));
  } else {
    this->foreign_record = this->last_read_record;
    this->HandleForeignRow(row);
  }
}

void LeaseManager::HandleOwnRow(const Row& row, const SentWrite& write) {
  // Earlier writes can no longer take effect, because they expect an earlier
  // version of the row.
  while (this->recent_writes.front().nonce != write.nonce)
    this->recent_writes.pop_front();
  if (write.release) {
    this->holds_lease = false;
    this->release_complete = true;
    return;
  }
  absl::Time valid_until = write.sent_at + this->own_settings.term -
                           this->own_settings.safety_margin;
  if (!this->holds_lease ||
      this->grant.fencing_number != write.fencing_number) {
    this->holds_lease = true;
    this->grant = LeaseGrant{write.fencing_number, row.version, valid_until,
                             this->clock.Now()};
    LogLine("lease {} acquired with fencing number {}", row.key,
            write.fencing_number);
  } else {
    this->grant.row_version = row.version;
    this->grant.valid_until = std::max(this->grant.valid_until, valid_until);
  }
  this->renew_at = write.sent_at + this->own_settings.renew_interval;
  if (!this->recent_writes.empty()) {
    this->renew_at = std::max(
        this->renew_at, this->recent_writes.back().sent_at + kMinWriteInterval);
  }
}

void LeaseManager::HandleForeignRow(const Row* row) {
  if (this->holds_lease) {
    LogLine("lease {} with fencing number {} lost", this->own_settings.key,
            this->grant.fencing_number);
  }
  this->holds_lease = false;
  this->ScheduleAfter(this->own_settings.poll_interval);
  if (this->release_requested) {
    this->release_complete = true;
  } else if ((row == nullptr || this->MayTakeOver()) &&
             !this->WroteRecently()) {
    uint64_t highest =
        this->last_read_record ? this->last_read_record->fencing_number : 0;
    this->Write(std::max(highest + 1, this->own_settings.min_fencing_number),
                false);
  }
}

/// @return True if the last write is so recent that it may still take effect,
///     and that the next one would only add to the load of the table.
bool LeaseManager::WroteRecently() const {
  return !this->recent_writes.empty() &&
         this->clock.Now() - this->recent_writes.back().sent_at <
             kMinWriteInterval;
}

bool LeaseManager::MayTakeOver() const {
  if (this->last_read_record->released)
    return true;
  absl::Duration term =
      std::max(this->last_read_record->term, this->own_settings.term);
  return this->clock.Now() - this->version_first_read_at >=
         term * kClockRateFactor + this->own_settings.safety_margin;
}

void LeaseManager::Write(uint64_t fencing_number, bool release) {
  absl::Time now = this->clock.Now();
  LeaseRecord record{
      this->own_settings.holder, this->NewNonce(),           fencing_number,
      this->own_settings.term,   this->own_settings.address, release};
  this->recent_writes.push_back({record.nonce, fencing_number, now, release});
  if (this->recent_writes.size() > kMaxRecentWrites)
    this->recent_writes.pop_front();
  uint64_t sent_call_id = ++this->call_id;
  this->call_active = true;
  this->call_started_at = now;
  Transaction transaction;
  transaction.checks.push_back(
      {this->own_settings.key, this->last_read_version});
  transaction.puts.push_back(
      {this->own_settings.key, FormatLeaseRecord(record)});
  this->table.Commit(
      std::move(transaction),
      [this, sent_call_id, weak_alive = std::weak_ptr<bool>(this->alive)](
          const CommitOutcome& outcome) {
        if (!weak_alive.expired())
          this->OnCommit(sent_call_id, outcome);
      });
}

void LeaseManager::OnCommit(uint64_t sent_call_id,
                            const CommitOutcome& outcome) {
  if (sent_call_id != this->call_id || !this->call_active)
    return;
  this->call_active = false;
  if (outcome.state == CommitState::kUnavailable) {
    this->recent_writes.pop_back();
    this->ScheduleAfter(kMinWriteInterval);
    return;
  }
  const SentWrite& write = this->recent_writes.back();
  if (outcome.state == CommitState::kCommitted && this->holds_lease &&
      write.fencing_number == this->grant.fencing_number) {
    this->grant.valid_until = write.sent_at + this->own_settings.term -
                              this->own_settings.safety_margin;
  }
  // The answer to a commit does not contain the new version of the row, which
  // the holder needs for the checks of its commits.
  this->read_back_due = true;
  this->Read();
}

const LeaseManager::SentWrite* LeaseManager::FindWrite(
    const std::string& nonce) const {
  for (const SentWrite& write : this->recent_writes) {
    if (write.nonce == nonce)
      return &write;
  }
  return nullptr;
}

std::string LeaseManager::NewNonce() {
  return fmt::format("{}-{:016x}", this->own_settings.holder,
                     this->random.UniformInt(0, UINT64_MAX));
}

void LeaseManager::ScheduleAfter(absl::Duration delay) {
  // Jitter of up to 20% prevents instances that started together from calling
  // the table at the same time.
  double factor = 0.8 + 0.2 * this->random.UniformDouble();
  this->next_action_at = this->clock.Now() + delay * factor;
}

}  // namespace cranberryhill
