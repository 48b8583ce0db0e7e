#include "cranberryhill/forward/stream_version_queue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cranberryhill::forward {
namespace {

constexpr std::string_view kService = "assistant";

/// @return A record whose row is in the first part of the store, as those of
/// one
///     part are written together.
StreamVersionRecord MakeRecord(int attempt, std::string_view version) {
  std::string id = "attempt-" + std::to_string(attempt);
  while (StreamVersionPart(id) != 0)
    id += "x";
  return {std::string(kService), id, std::string(version)};
}

/// The rows of a store, by attempt id.
struct Rows {
  size_t size() const { return this->by_attempt.size(); }  // NOLINT
  bool empty() const { return this->by_attempt.empty(); }  // NOLINT

  uint64_t version = 0;  // Rises with each write.
  std::map<std::string, StreamVersionRow> by_attempt;
};

/// Performs a write if its conditions hold.
/// @return False if they do not.
bool Apply(const StreamVersionWrite& write, Rows& rows) {
  BOOST_TEST(2 * write.puts.size() + write.removed_attempt_ids.size() <= 100);
  for (const StreamVersionPut& put : write.puts) {
    auto row = rows.by_attempt.find(put.record.attempt_id);
    uint64_t found = row == rows.by_attempt.end() ? 0 : row->second.row_version;
    if (found != put.expected_version)
      return false;
  }
  ++rows.version;
  for (const StreamVersionPut& put : write.puts) {
    rows.by_attempt[put.record.attempt_id] = {put.record.attempt_id,
                                              rows.version, put.record};
  }
  for (const std::string& attempt_id : write.removed_attempt_ids)
    rows.by_attempt.erase(attempt_id);
  return true;
}

/// Performs the write in progress of a queue, and answers it.
void Perform(const StreamVersionWrite& write,
             Rows& rows,
             StreamVersionQueue& queue) {
  if (Apply(write, rows))
    return queue.OnWritten(rows.version);
  std::vector<StreamVersionRow> current;
  for (const StreamVersionPut& put : write.puts) {
    auto row = rows.by_attempt.find(put.record.attempt_id);
    if (row != rows.by_attempt.end())
      current.push_back(row->second);
  }
  queue.OnConflict(current);
}

struct Fixture {
  /// Performs the write that is due.
  bool Write() {
    auto write = this->queue.StartWrite();
    if (!write)
      return false;
    Perform(*write, this->rows, this->queue);
    return true;
  }

  ManualClock clock;
  StreamVersionQueue queue{clock};
  Rows rows;
};

// Guards against writes and rows that grow with the number of earlier streams.
BOOST_FIXTURE_TEST_CASE(write_holds_new_records_only, Fixture) {
  size_t most_rows = 0;
  for (int attempt = 0; attempt < 3000; ++attempt) {
    BOOST_TEST_REQUIRE(this->queue.Add(MakeRecord(attempt, "v1")));
    this->clock.Advance(absl::Milliseconds(10));
    auto write = this->queue.StartWrite();
    BOOST_TEST_REQUIRE(write.has_value());
    BOOST_TEST(write->puts.size() == 1);
    Perform(*write, this->rows, this->queue);
    most_rows = std::max(most_rows, this->rows.size());
  }
  // The streams of 15 s, at 100 a second.
  BOOST_TEST(most_rows >= 1499);
  BOOST_TEST(most_rows <= 1502);
}

// Guards against the row of an earlier choice that stays, or comes after that
// of the version at which the stream began.
BOOST_FIXTURE_TEST_CASE(later_record_of_an_attempt_replaces_the_earlier,
                        Fixture) {
  StreamVersionRecord first{"assistant", "attempt", "v1"};
  StreamVersionRecord second{"assistant", "attempt", "v2"};
  BOOST_TEST(this->queue.Add(first));
  auto write = this->queue.StartWrite();
  BOOST_TEST_REQUIRE(write.has_value());
  BOOST_TEST((write->puts == std::vector{StreamVersionPut{first, 0}}));
  BOOST_TEST(this->queue.Add(second));
  this->queue.OnWritten(7);
  BOOST_TEST(!this->queue.IsWritten(first));
  BOOST_TEST(!this->queue.IsWritten(second));
  write = this->queue.StartWrite();
  BOOST_TEST_REQUIRE(write.has_value());
  BOOST_TEST((write->puts == std::vector{StreamVersionPut{second, 7}}));
  this->queue.OnWritten(8);
  BOOST_TEST(this->queue.IsWritten(second));
  BOOST_TEST(!this->queue.HasWork());
}

// Guards against a transaction of rows in several parts, which the store
// refuses, and against records of one part that wait for those of another.
BOOST_FIXTURE_TEST_CASE(write_holds_rows_of_one_part, Fixture) {
  for (int attempt = 0; attempt < 40; ++attempt) {
    this->queue.Add(
        {std::string(kService), "attempt-" + std::to_string(attempt), "v1"});
  }
  for (int i = 0; i < kStreamVersionParts; ++i) {
    auto write = this->queue.StartWrite();
    BOOST_TEST_REQUIRE(write.has_value());
    BOOST_TEST(!write->puts.empty());
    for (const StreamVersionPut& put : write->puts)
      BOOST_TEST(StreamVersionPart(put.record.attempt_id) == write->part);
    Perform(*write, this->rows, this->queue);
  }
  BOOST_TEST(this->rows.size() == 40U);
  BOOST_TEST(!this->queue.HasWork());
}

// Guards against rows that stay in the store when no more streams begin.
BOOST_FIXTURE_TEST_CASE(last_rows_are_removed, Fixture) {
  for (int attempt = 0; attempt < 70; ++attempt)
    this->queue.Add(MakeRecord(attempt, "v1"));
  BOOST_TEST(this->Write());
  BOOST_TEST(this->Write());
  BOOST_TEST(this->Write());
  BOOST_TEST(!this->Write());
  BOOST_TEST(this->rows.size() == 70);
  this->clock.Advance(absl::Seconds(20));
  BOOST_TEST(!this->Write());
  this->clock.Advance(absl::Seconds(20));
  BOOST_TEST(this->Write());
  BOOST_TEST(this->Write());
  BOOST_TEST(this->Write());
  BOOST_TEST(this->rows.empty());
  BOOST_TEST(!this->queue.HasWork());
}

// Guards against records that are lost with a write without an answer, and
// against rows that a late write leaves in the store.
BOOST_FIXTURE_TEST_CASE(write_without_an_answer_is_repeated, Fixture) {
  this->queue.Add(MakeRecord(1, "v1"));
  auto late = this->queue.StartWrite();
  BOOST_TEST_REQUIRE(late.has_value());
  this->queue.OnWriteFailed(StreamVersionWriteOutcome::kUnknown);
  this->queue.Add(MakeRecord(2, "v2"));
  BOOST_TEST(this->Write());
  BOOST_TEST(this->rows.size() == 2);
  BOOST_TEST(!Apply(*late, this->rows));
  BOOST_TEST(this->rows.size() == 2);
  for (int second = 0; second < 60; ++second) {
    this->clock.Advance(absl::Seconds(1));
    this->Write();
  }
  BOOST_TEST(this->rows.empty());
}

// Guards against memory that grows while the store does not answer, and against
// attempt ids that cannot be stored as they are.
BOOST_FIXTURE_TEST_CASE(what_waits_for_the_store_is_bounded, Fixture) {
  size_t added = 0;
  for (int attempt = 0; attempt < 200'000; ++attempt)
    added += this->queue.Add(MakeRecord(attempt, "v1")) ? 1 : 0;
  BOOST_TEST(added < 200'000);
  BOOST_TEST(this->queue.size() == added);
  BOOST_TEST_REQUIRE(this->queue.StartWrite().has_value());
  this->queue.OnWriteFailed(StreamVersionWriteOutcome::kNotWritten);
  this->clock.Advance(absl::Seconds(17));
  BOOST_TEST(!this->queue.HasWork());
  BOOST_TEST(this->queue.expired_unwritten() == added);
  BOOST_TEST(!this->queue.Add({"assistant", "\xff", "v1"}));
  BOOST_TEST(!this->queue.Add({"assistant", "", "v1"}));
  BOOST_TEST(!this->queue.Add({"assistant", std::string(500, 'a'), "v1"}));
}

// Guards against a version that is found though another one was recorded,
// whatever writes are lost, late or repeated, when records are lost with the
// memory of the instance, or the store goes back to an older copy.
BOOST_AUTO_TEST_CASE(no_version_is_found_other_than_the_recorded_one) {
  bool held = rc::check([](const std::vector<uint8_t>& actions) {
    ManualClock clock;
    auto recent = std::make_unique<RecentStreamVersions>(50, clock);
    auto queue = std::make_unique<StreamVersionQueue>(clock);
    std::map<std::string, std::string> recorded;
    Rows rows;
    Rows copy;
    std::vector<StreamVersionWrite> late_writes;
    int attempt = 0;
    for (uint8_t action : actions) {
      clock.Advance(absl::Milliseconds(action * 4));
      StreamVersionRecord record =
          MakeRecord(attempt, action % 2 == 0 ? "v1" : "v2");
      switch (action % 10) {
        case 0:
        case 1:
        case 2:
        case 3:
          ++attempt;
          recorded[record.attempt_id] = record.version;
          recent->Add(record);
          queue->Add(record);
          break;
        case 4:
        case 5:
        case 6:
          if (auto write = queue->StartWrite()) {
            int outcome = action / 10 % 3;
            if (outcome == 0) {
              Perform(*write, rows, *queue);
            } else if (outcome == 1) {
              queue->OnWriteFailed(StreamVersionWriteOutcome::kNotWritten);
            } else {
              late_writes.push_back(*write);
              queue->OnWriteFailed(StreamVersionWriteOutcome::kUnknown);
            }
          }
          break;
        case 7:
          if (!late_writes.empty()) {
            Apply(late_writes.front(), rows);
            late_writes.erase(late_writes.begin());
          }
          break;
        case 8:
          recent = std::make_unique<RecentStreamVersions>(50, clock);
          break;
        default:
          if (action > 128) {
            copy = rows;
          } else {
            rows = copy;
            queue->OnStoreRestored();
          }
          break;
      }
      for (const auto& [id, row] : rows.by_attempt)
        recent->Add(*row.record);
      for (const auto& [id, version] : recorded) {
        auto found = recent->Find(id);
        RC_ASSERT(!found || found->version == version);
      }
    }
  });
  BOOST_TEST(held);
}

// Guards against a stream that begins elsewhere without a record while the
// store has, or may get, the record of its first choice.
BOOST_FIXTURE_TEST_CASE(record_that_may_be_stored_is_not_withdrawn, Fixture) {
  StreamVersionRecord record = MakeRecord(1, "v2");
  BOOST_TEST(this->queue.Withdraw(record.attempt_id));
  BOOST_TEST(this->queue.Add(record));
  BOOST_TEST_REQUIRE(this->queue.StartWrite().has_value());
  BOOST_TEST(!this->queue.Withdraw(record.attempt_id));
  this->queue.OnWriteFailed(StreamVersionWriteOutcome::kNotWritten);
  BOOST_TEST(this->queue.Withdraw(record.attempt_id));
  BOOST_TEST(!this->queue.VersionOf(record.attempt_id).has_value());
  BOOST_TEST(!this->queue.HasWork());
  for (bool is_answered : {true, false}) {
    StreamVersionQueue other(this->clock);
    BOOST_TEST(other.Add(record));
    BOOST_TEST_REQUIRE(other.StartWrite().has_value());
    if (is_answered)
      other.OnWritten(1);
    else
      other.OnWriteFailed(StreamVersionWriteOutcome::kUnknown);
    BOOST_TEST(!other.Withdraw(record.attempt_id));
  }
}

// Guards against a write without an answer that is performed late and replaces
// the record of the version at which the stream began after all.
BOOST_FIXTURE_TEST_CASE(late_write_does_not_replace_a_newer_record, Fixture) {
  StreamVersionRecord first = MakeRecord(1, "v2");
  StreamVersionRecord second = MakeRecord(1, "v1");
  for (bool is_performed_in_between : {false, true}) {
    StreamVersionQueue other(this->clock);
    this->rows = {};
    BOOST_TEST(other.Add(first));
    auto late = other.StartWrite();
    BOOST_TEST_REQUIRE(late.has_value());
    other.OnWriteFailed(StreamVersionWriteOutcome::kUnknown);
    BOOST_TEST(other.Add(second));
    if (is_performed_in_between)
      BOOST_TEST(Apply(*late, this->rows));
    for (int write = 0; write < 2 && !other.IsWritten(second); ++write) {
      auto next = other.StartWrite();
      BOOST_TEST_REQUIRE(next.has_value());
      Perform(*next, this->rows, other);
    }
    BOOST_TEST(other.IsWritten(second));
    BOOST_TEST(!Apply(*late, this->rows));
    BOOST_TEST((this->rows.by_attempt[second.attempt_id].record == second));
  }
}

// Guards against a record that counts as written and is replaced, in any
// sequence of changes, lost answers and late writes.
BOOST_AUTO_TEST_CASE(record_that_is_written_stays) {
  bool held = rc::check([](const std::vector<uint8_t>& actions) {
    constexpr int kAttempts = 3;
    ManualClock clock;
    StreamVersionQueue queue(clock);
    Rows rows;
    std::map<std::string, StreamVersionRecord> wanted;
    std::vector<StreamVersionWrite> late_writes;
    for (uint8_t action : actions) {
      switch (action % 4) {
        case 0: {
          StreamVersionRecord record =
              MakeRecord(action / 4 % kAttempts, action < 128 ? "v1" : "v2");
          wanted[record.attempt_id] = record;
          queue.Add(record);
          break;
        }
        case 1:
        case 2:
          if (auto write = queue.StartWrite()) {
            if (action / 4 % 2 == 0) {
              Perform(*write, rows, queue);
            } else {
              // Performed at once, later or never.
              if (action / 8 % 3 == 0)
                Apply(*write, rows);
              else
                late_writes.push_back(*write);
              queue.OnWriteFailed(StreamVersionWriteOutcome::kUnknown);
            }
          }
          break;
        default:
          if (!late_writes.empty()) {
            size_t index = action / 4 % late_writes.size();
            Apply(late_writes[index], rows);
            late_writes.erase(late_writes.begin() +
                              static_cast<std::ptrdiff_t>(index));
          }
          break;
      }
      for (const auto& [id, record] : wanted) {
        if (queue.IsWritten(record))
          RC_ASSERT(rows.by_attempt.at(id).record == record);
      }
    }
    // The store answers again.
    for (int write = 0; write < 2 * kAttempts; ++write) {
      if (auto next = queue.StartWrite())
        Perform(*next, rows, queue);
    }
    for (const auto& [id, record] : wanted)
      RC_ASSERT(queue.IsWritten(record));
  });
  BOOST_TEST(held);
}

}  // namespace
}  // namespace cranberryhill::forward
