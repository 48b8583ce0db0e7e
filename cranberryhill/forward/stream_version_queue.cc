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

bool IsStorable(std::string_view attempt_id) {
  return !attempt_id.empty() && attempt_id.size() <= kMaxAttemptIdBytes &&
         std::all_of(attempt_id.begin(), attempt_id.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

bool StreamVersionQueue::Add(const StreamVersionRecord& record) {
  this->EraseExpired();
  if (!IsStorable(record.attempt_id) || this->streams.size() >= kMaxStreams)
    return false;
  this->streams.push_back({record, this->clock.Now()});
  ++this->waiting;
  return true;
}

bool StreamVersionQueue::HasWork() {
  this->EraseExpired();
  absl::Time overdue = this->clock.Now() - kRemovalDelay;
  return this->waiting > 0 ||
         (!this->removals.empty() && this->removals.front().due <= overdue);
}

std::optional<StreamVersionWrite> StreamVersionQueue::StartWrite() {
  if (!this->HasWork())
    return std::nullopt;
  StreamVersionWrite write;
  // The newest streams first: the older ones are more likely to have ended.
  for (auto stream = this->streams.rbegin();
       stream != this->streams.rend() && this->waiting > 0 &&
       write.records.size() < kMaxRecordsPerWrite;
       ++stream) {
    if (stream->state != State::kWaiting)
      continue;
    stream->state = State::kBeingWritten;
    --this->waiting;
    write.records.push_back(stream->record);
  }
  absl::Time now = this->clock.Now();
  for (const Removal& removal : this->removals) {
    if (removal.due > now ||
        write.removed_attempt_ids.size() >= kMaxRemovalsPerWrite)
      break;
    write.removed_attempt_ids.push_back(removal.attempt_id);
  }
  this->removals_in_progress = write.removed_attempt_ids.size();
  this->write_in_progress = true;
  return write;
}

void StreamVersionQueue::OnWriteEnded(StreamVersionWriteOutcome outcome) {
  this->write_in_progress = false;
  bool written = outcome == StreamVersionWriteOutcome::kWritten;
  for (Stream& stream : this->streams) {
    if (stream.state != State::kBeingWritten)
      continue;
    stream.state = written ? State::kWritten : State::kWaiting;
    this->waiting += written ? 0 : 1;
    stream.may_be_stored |= outcome != StreamVersionWriteOutcome::kNotWritten;
  }
  size_t removed = std::exchange(this->removals_in_progress, 0);
  if (written) {
    this->removals.erase(
        this->removals.begin(),
        this->removals.begin() + static_cast<std::ptrdiff_t>(removed));
  }
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
    if (oldest.may_be_stored)
      this->removals.push_back({std::move(oldest.record.attempt_id), now});
    this->streams.pop_front();
  }
}

}  // namespace cranberryhill::forward
