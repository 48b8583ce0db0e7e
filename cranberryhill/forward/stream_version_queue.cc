#include "cranberryhill/forward/stream_version_queue.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace cranberryhill::forward {
namespace {

/// A key of the store has at most 200 bytes.
constexpr size_t kMaxAttemptIdBytes = 128;
/// Bounds what is kept while the store does not answer.
constexpr size_t kMaxStreams = 20'000;
/// A transaction of the store holds 100 rows. In a steady state as many are
/// removed as are written.
constexpr size_t kMaxRecordsPerWrite = 50;
constexpr size_t kMaxRemovalsPerWrite = 50;
/// Rows that no later write removes are removed this much later.
constexpr absl::Duration kRemovalDelay = absl::Seconds(15);

}  // namespace

bool StreamVersionQueue::CanStore(std::string_view attempt_id) {
  return !attempt_id.empty() && attempt_id.size() <= kMaxAttemptIdBytes &&
         std::all_of(attempt_id.begin(), attempt_id.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

bool StreamVersionQueue::Add(const StreamVersionRecord& record) {
  this->EraseExpired();
  auto known = this->by_attempt.find(record.attempt_id);
  if (known != this->by_attempt.end()) {
    Stream& stream = *known->second;
    if (stream.record == record)
      return true;
    stream.record = record;
    if (stream.state == State::kWritten) {
      stream.state = State::kWaiting;
      ++this->waiting;
    }
    stream.changed_during_write = stream.state == State::kBeingWritten;
    return true;
  }
  if (!CanStore(record.attempt_id) || this->streams.size() >= kMaxStreams)
    return false;
  this->streams.push_back({record, this->clock.Now()});
  this->by_attempt[record.attempt_id] = &this->streams.back();
  ++this->waiting;
  return true;
}

std::optional<std::string> StreamVersionQueue::VersionOf(
    std::string_view attempt_id) const {
  auto known = this->by_attempt.find(std::string(attempt_id));
  return known == this->by_attempt.end()
             ? std::nullopt
             : std::optional(known->second->record.version);
}

bool StreamVersionQueue::Withdraw(std::string_view attempt_id) {
  auto known = this->by_attempt.find(std::string(attempt_id));
  if (known == this->by_attempt.end())
    return true;
  Stream& stream = *known->second;
  if (stream.state != State::kWaiting || stream.may_be_stored)
    return false;
  stream.state = State::kWithdrawn;
  --this->waiting;
  this->by_attempt.erase(known);
  return true;
}

bool StreamVersionQueue::IsWritten(const StreamVersionRecord& record) const {
  auto known = this->by_attempt.find(record.attempt_id);
  return known != this->by_attempt.end() && known->second->record == record &&
         known->second->state == State::kWritten;
}

bool StreamVersionQueue::HasWork() {
  this->EraseExpired();
  absl::Time overdue = this->clock.Now() - kRemovalDelay;
  return this->waiting > 0 ||
         (!this->removals.empty() && this->removals.front().due <= overdue);
}

/// @return The part of the oldest record that waits, else of the oldest row
/// that
///     has to be removed.
std::optional<int> StreamVersionQueue::NextPart() const {
  if (this->waiting > 0) {
    for (const Stream& stream : this->streams) {
      if (stream.state == State::kWaiting)
        return StreamVersionPart(stream.record.attempt_id);
    }
  }
  if (this->removals.empty())
    return std::nullopt;
  return StreamVersionPart(this->removals.front().attempt_id);
}

std::optional<StreamVersionWrite> StreamVersionQueue::StartWrite() {
  if (!this->HasWork())
    return std::nullopt;
  StreamVersionWrite write;
  write.part = this->NextPart().value_or(0);
  auto is_of_part = [&write](std::string_view attempt_id) {
    return StreamVersionPart(attempt_id) == write.part;
  };
  // The newest streams first: the older ones are more likely to have ended.
  for (auto stream = this->streams.rbegin();
       stream != this->streams.rend() && this->waiting > 0 &&
       write.records.size() < kMaxRecordsPerWrite;
       ++stream) {
    if (stream->state != State::kWaiting ||
        !is_of_part(stream->record.attempt_id))
      continue;
    stream->state = State::kBeingWritten;
    --this->waiting;
    write.records.push_back(stream->record);
  }
  absl::Time now = this->clock.Now();
  for (Removal& removal : this->removals) {
    if (removal.due > now ||
        write.removed_attempt_ids.size() >= kMaxRemovalsPerWrite)
      break;
    if (!is_of_part(removal.attempt_id))
      continue;
    removal.in_progress = true;
    write.removed_attempt_ids.push_back(removal.attempt_id);
  }
  this->write_in_progress = true;
  return write;
}

void StreamVersionQueue::OnWriteEnded(StreamVersionWriteOutcome outcome) {
  this->write_in_progress = false;
  bool written = outcome == StreamVersionWriteOutcome::kWritten;
  for (Stream& stream : this->streams) {
    if (stream.state != State::kBeingWritten)
      continue;
    bool changed = std::exchange(stream.changed_during_write, false);
    bool is_stored = written && !changed;
    stream.state = is_stored ? State::kWritten : State::kWaiting;
    this->waiting += is_stored ? 0 : 1;
    stream.may_be_stored |= outcome != StreamVersionWriteOutcome::kNotWritten;
  }
  if (written) {
    std::erase_if(this->removals,
                  [](const Removal& removal) { return removal.in_progress; });
  }
  for (Removal& removal : this->removals)
    removal.in_progress = false;
}

void StreamVersionQueue::OnStoreRestored() {
  for (Stream& stream : this->streams) {
    if (stream.state == State::kWritten) {
      stream.state = State::kWaiting;
      ++this->waiting;
    }
  }
}

void StreamVersionQueue::EraseExpired() {
  absl::Time now = this->clock.Now();
  // A stream in the write in progress stays until the outcome is known.
  while (!this->streams.empty() && !this->write_in_progress) {
    Stream& oldest = this->streams.front();
    if (now - oldest.added_at < kStreamVersionLifetime)
      return;
    if (oldest.state == State::kWaiting) {
      --this->waiting;
      ++this->expired_unwritten_count;
    }
    // The attempt may have been added again after it was withdrawn.
    if (oldest.state != State::kWithdrawn)
      this->by_attempt.erase(oldest.record.attempt_id);
    if (oldest.may_be_stored)
      this->removals.push_back({std::move(oldest.record.attempt_id), now});
    this->streams.pop_front();
  }
}

}  // namespace cranberryhill::forward
