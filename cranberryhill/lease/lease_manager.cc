#include "cranberryhill/lease/lease_manager.h"

#include <algorithm>
#include <utility>

#include "cranberryhill/base/log.h"

namespace cranberryhill {
namespace {

// A1: clock rates of two instances differ by less than 1%.
constexpr double kClockRateFactor = 1.01;

// Least distance of two writes, so that lost answers do not turn every tick
// into a write.
constexpr absl::Duration kWriteInterval = absl::Milliseconds(500);

// Writes whose answer is open. A write that drops out of the list is not
// recognised by its nonce any more; the row then counts as another holder's.
constexpr size_t kMaxOpenWrites = 64;

}  // namespace

LeaseKeeper::LeaseKeeper(LeaseSettings settings,
                         TableService& table,
                         const Clock& clock,
                         Random& random)
    : own_settings(std::move(settings)),
      table(table),
      clock(clock),
      random(random),
      alive(std::make_shared<bool>(true)) {}

LeaseKeeper::~LeaseKeeper() = default;

const LeaseSettings& LeaseKeeper::settings() const {
  return this->own_settings;
}

const std::optional<LeaseRecord>& LeaseKeeper::last_record() const {
  return this->seen;
}

bool LeaseKeeper::released() const {
  return this->release_done;
}

std::optional<LeaseGrant> LeaseKeeper::Grant() const {
  if (!this->holding || this->releasing ||
      this->clock.Now() >= this->grant.valid_until) {
    return std::nullopt;
  }
  return this->grant;
}

void LeaseKeeper::Release() {
  this->releasing = true;
  this->next_action = absl::InfinitePast();
}

void LeaseKeeper::Tick() {
  absl::Time now = this->clock.Now();
  if (this->call_active) {
    if (now - this->call_started <= this->own_settings.call_timeout)
      return;
    this->call_active = false;
    ++this->call_number;
    this->read_back_due = true;
  }
  if (this->release_done || now < this->next_action)
    return;
  if (this->releasing && !this->holding && !this->read_back_due) {
    this->release_done = true;
    return;
  }
  bool write_due =
      this->holding && (this->releasing || now >= this->renew_from);
  if (this->read_back_due || !this->holding) {
    this->Read();
  } else if (write_due) {
    this->Write(this->grant.fencing_number, this->releasing);
  }
}

void LeaseKeeper::Read() {
  uint64_t call = ++this->call_number;
  this->call_active = true;
  this->call_started = this->clock.Now();
  this->table.Read({this->own_settings.key},
                   [this, call, guard = std::weak_ptr<bool>(this->alive)](
                       const ReadOutcome& outcome) {
                     if (!guard.expired())
                       this->OnRead(call, outcome);
                   });
}

void LeaseKeeper::SetPollInterval(absl::Duration interval) {
  this->own_settings.poll_interval = interval;
}

void LeaseKeeper::OnRead(uint64_t call, const ReadOutcome& outcome) {
  if (call != this->call_number || !this->call_active)
    return;
  this->call_active = false;
  if (!outcome.ok()) {
    this->ScheduleAfter(this->own_settings.poll_interval / 2);
    return;
  }
  this->read_back_due = false;
  this->OnRow(FindRow(outcome.value(), this->own_settings.key));
}

void LeaseKeeper::OnRow(const Row* row) {
  uint64_t version = row == nullptr ? kAbsentVersion : row->version;
  if (version != this->seen_version ||
      this->seen_since == absl::InfinitePast()) {
    this->seen_version = version;
    this->seen_since = this->clock.Now();
  }
  if (row == nullptr) {
    this->OnForeignRow(nullptr);
    return;
  }
  Outcome<LeaseRecord> record = ParseLeaseRecord(row->value);
  if (!record.ok()) {
    // A row without a readable fencing number is never taken over, because
    // the next number could not be known to be higher.
    LogLine("lease row {} is unreadable: {}", row->key,
            record.error().ToString());
    this->holding = false;
    this->ScheduleAfter(this->own_settings.poll_interval);
    return;
  }
  this->seen = record.value();
  const SentWrite* write = this->FindWrite(this->seen->nonce);
  if (write != nullptr) {
    this->OnOwnRow(*row, SentWrite(*write));
  } else {
    this->OnForeignRow(row);
  }
}

void LeaseKeeper::OnOwnRow(const Row& row, const SentWrite& write) {
  // Earlier writes checked an earlier version and cannot take effect any more.
  while (this->writes.front().nonce != write.nonce)
    this->writes.pop_front();
  if (write.release) {
    this->holding = false;
    this->release_done = true;
    return;
  }
  absl::Time valid_until =
      write.sent + this->own_settings.term - this->own_settings.margin;
  if (!this->holding || this->grant.fencing_number != write.fencing_number) {
    this->holding = true;
    this->grant = LeaseGrant{write.fencing_number, row.version, valid_until,
                             this->clock.Now()};
    LogLine("lease {} acquired with fencing number {}", row.key,
            write.fencing_number);
  } else {
    this->grant.row_version = row.version;
    this->grant.valid_until = std::max(this->grant.valid_until, valid_until);
  }
  this->renew_from = write.sent + this->own_settings.renew_interval;
  if (!this->writes.empty()) {
    this->renew_from =
        std::max(this->renew_from, this->writes.back().sent + kWriteInterval);
  }
}

void LeaseKeeper::OnForeignRow(const Row* row) {
  if (this->holding) {
    LogLine("lease {} with fencing number {} lost", this->own_settings.key,
            this->grant.fencing_number);
  }
  this->holding = false;
  this->ScheduleAfter(this->own_settings.poll_interval);
  if (this->releasing) {
    this->release_done = true;
  } else if (row == nullptr || this->MayTakeOver()) {
    uint64_t highest = this->seen ? this->seen->fencing_number : 0;
    this->Write(highest + 1, false);
  }
}

bool LeaseKeeper::MayTakeOver() const {
  if (this->seen->released)
    return true;
  absl::Duration term = std::max(this->seen->term, this->own_settings.term);
  return this->clock.Now() - this->seen_since >=
         term * kClockRateFactor + this->own_settings.margin;
}

void LeaseKeeper::Write(uint64_t fencing_number, bool release) {
  absl::Time now = this->clock.Now();
  LeaseRecord record{
      this->own_settings.holder, this->NewNonce(),           fencing_number,
      this->own_settings.term,   this->own_settings.address, release};
  this->writes.push_back({record.nonce, fencing_number, now, release});
  if (this->writes.size() > kMaxOpenWrites)
    this->writes.pop_front();
  uint64_t call = ++this->call_number;
  this->call_active = true;
  this->call_started = now;
  Transaction transaction;
  transaction.checks.push_back({this->own_settings.key, this->seen_version});
  transaction.puts.push_back(
      {this->own_settings.key, FormatLeaseRecord(record)});
  this->table.Commit(std::move(transaction),
                     [this, call, guard = std::weak_ptr<bool>(this->alive)](
                         const CommitOutcome& outcome) {
                       if (!guard.expired())
                         this->OnCommit(call, outcome);
                     });
}

void LeaseKeeper::OnCommit(uint64_t call, const CommitOutcome& outcome) {
  if (call != this->call_number || !this->call_active)
    return;
  this->call_active = false;
  if (outcome.state == CommitState::kUnavailable) {
    this->writes.pop_back();
    this->ScheduleAfter(kWriteInterval);
    return;
  }
  const SentWrite& write = this->writes.back();
  if (outcome.state == CommitState::kCommitted && this->holding &&
      write.fencing_number == this->grant.fencing_number) {
    this->grant.valid_until =
        write.sent + this->own_settings.term - this->own_settings.margin;
  }
  // The commit does not tell the row's new version; the holder's commits need
  // it for their checks.
  this->read_back_due = true;
  this->Read();
}

const LeaseKeeper::SentWrite* LeaseKeeper::FindWrite(
    const std::string& nonce) const {
  for (const SentWrite& write : this->writes) {
    if (write.nonce == nonce)
      return &write;
  }
  return nullptr;
}

std::string LeaseKeeper::NewNonce() {
  return fmt::format("{}-{:016x}", this->own_settings.holder,
                     this->random.UniformInt(0, UINT64_MAX));
}

void LeaseKeeper::ScheduleAfter(absl::Duration delay) {
  // Jitter of a fifth keeps instances that started together apart.
  double factor = 0.8 + 0.2 * this->random.UniformDouble();
  this->next_action = this->clock.Now() + delay * factor;
}

}  // namespace cranberryhill
