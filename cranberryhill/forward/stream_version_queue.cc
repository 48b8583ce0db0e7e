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
/// A transaction of the store holds 100 entries. A record takes two of them,
/// its row and the condition. In a steady state as many rows are removed as are
/// written.
constexpr size_t kMaxRecordsPerWrite = 33;
constexpr size_t kMaxRemovalsPerWrite = 33;
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
       write.puts.size() < kMaxRecordsPerWrite;
       ++stream) {
    if (stream->state != State::kWaiting ||
        !is_of_part(stream->record.attempt_id))
      continue;
    stream->state = State::kBeingWritten;
    --this->waiting;
    write.puts.push_back({stream->record, stream->row_version});
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

void StreamVersionQueue::OnWritten(uint64_t row_version) {
  this->write_in_progress = false;
  for (Stream& stream : this->streams) {
    if (stream.state != State::kBeingWritten)
      continue;
    stream.row_version = row_version;
    stream.may_be_stored = true;
    this->EndWrite(stream, !stream.changed_during_write);
  }
  std::erase_if(this->removals,
                [](const Removal& removal) { return removal.in_progress; });
}

void StreamVersionQueue::OnConflict(std::span<const StreamVersionRow> rows) {
  this->write_in_progress = false;
  absl::flat_hash_map<std::string_view, const StreamVersionRow*> found;
  for (const StreamVersionRow& row : rows)
    found[row.attempt_id] = &row;
  for (Stream& stream : this->streams) {
    if (stream.state != State::kBeingWritten)
      continue;
    auto known = found.find(stream.record.attempt_id);
    const StreamVersionRow* row =
        known == found.end() ? nullptr : known->second;
    uint64_t row_version = row == nullptr ? 0 : row->row_version;
    // An earlier write that expected the same version may still be performed,
    // so a row that has not changed does not count as written.
    bool has_changed =
        std::exchange(stream.row_version, row_version) != row_version;
    this->EndWrite(
        stream, has_changed && row != nullptr && row->record == stream.record);
  }
  for (Removal& removal : this->removals)
    removal.in_progress = false;
}

void StreamVersionQueue::OnWriteFailed(StreamVersionWriteOutcome outcome) {
  this->write_in_progress = false;
  for (Stream& stream : this->streams) {
    if (stream.state != State::kBeingWritten)
      continue;
    stream.may_be_stored |= outcome == StreamVersionWriteOutcome::kUnknown;
    this->EndWrite(stream, false);
  }
  for (Removal& removal : this->removals)
    removal.in_progress = false;
}

/// @param is_stored False to have the record written again.
void StreamVersionQueue::EndWrite(Stream& stream, bool is_stored) {
  stream.changed_during_write = false;
  stream.state = is_stored ? State::kWritten : State::kWaiting;
  this->waiting += is_stored ? 0 : 1;
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
