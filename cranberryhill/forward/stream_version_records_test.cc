#include "cranberryhill/forward/stream_version_records.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace cranberryhill::forward {
namespace {

constexpr std::string_view kService = "assistant";

StreamVersionRecord MakeRecord(int attempt, std::string_view version) {
  return {std::string(kService), "attempt-" + std::to_string(attempt),
          std::string(version)};
}

/// The rows of one instance in a store.
class Rows {
 public:
  void Apply(const StreamVersionWrite& write) {
    for (const StreamVersionRow& row : write.rows)
      this->values[row.segment] = row.value;
    for (uint64_t segment : write.removed_segments)
      this->values.erase(segment);
  }

  /// @return The versions of the stored attempts.
  std::map<std::string, std::string> Read() const {
    std::map<std::string, std::string> versions;
    for (const auto& row : this->values) {
      auto records = Capture([&] { return DecodeStreamVersions(row.second); });
      BOOST_TEST_REQUIRE(records.ok());
      for (const StreamVersionRecord& record : records.value()) {
        auto [known, added] =
            versions.emplace(record.attempt_id, record.version);
        BOOST_TEST(known->second == record.version);
      }
    }
    return versions;
  }

  size_t size() const { return this->values.size(); }  // NOLINT

 private:
  std::map<uint64_t, std::string> values;
};

struct Fixture {
  /// Performs the write that is due.
  bool Write() {
    auto write = this->segments.StartWrite();
    if (!write)
      return false;
    this->rows.Apply(*write);
    this->segments.OnWriteEnded(StreamVersionWriteOutcome::kWritten);
    return true;
  }

  ManualClock clock;
  RecentStreamVersions recent{100, clock};
  StreamVersionSegments segments{clock};
  ServiceVersions versions{clock};
  Rows rows;
};

// Guards against streams that are forgotten while they may be resumed, and
// against memory that grows with the number of streams.
BOOST_FIXTURE_TEST_CASE(recent_streams_are_kept_for_a_bounded_time, Fixture) {
  this->recent.AddOwn(MakeRecord(1, "v1"), true);
  this->clock.Advance(absl::Seconds(14));
  this->recent.AddOwn(MakeRecord(2, "v2"), true);
  BOOST_TEST((this->recent.Find(kService, "attempt-1") == "v1"));
  this->clock.Advance(absl::Seconds(2));
  BOOST_TEST(!this->recent.Find(kService, "attempt-1"));
  BOOST_TEST((this->recent.Find(kService, "attempt-2") == "v2"));
  for (int attempt = 3; attempt < 1000; ++attempt)
    this->recent.AddOwn(MakeRecord(attempt, "v1"), true);
  BOOST_TEST(this->recent.size() == 100);
}

// Guards against the choice of one of two versions when an attempt id was used
// twice.
BOOST_FIXTURE_TEST_CASE(contradicting_records_tell_nothing, Fixture) {
  this->recent.AddRead(MakeRecord(1, "v1"));
  this->recent.AddRead(MakeRecord(1, "v1"));
  BOOST_TEST((this->recent.Find(kService, "attempt-1") == "v1"));
  this->recent.AddRead(MakeRecord(1, "v2"));
  BOOST_TEST(!this->recent.Find(kService, "attempt-1"));
  BOOST_TEST(this->recent.Contains(kService, "attempt-1"));
  BOOST_TEST(!this->recent.Contains("other", "attempt-1"));
  BOOST_TEST(!this->recent.Find("other", "attempt-1"));
}

// Guards against the loss of streams that began before a second version came.
BOOST_FIXTURE_TEST_CASE(unstored_streams_are_returned_once, Fixture) {
  this->recent.AddOwn(MakeRecord(1, "v1"), false);
  this->recent.AddOwn(MakeRecord(2, "v1"), true);
  this->recent.AddRead(MakeRecord(3, "v1"));
  auto unstored = this->recent.TakeUnstored(kService);
  BOOST_TEST_REQUIRE(unstored.size() == 1);
  BOOST_TEST((unstored[0] == MakeRecord(1, "v1")));
  BOOST_TEST(this->recent.TakeUnstored(kService).empty());
}

// Guards against writes that grow with the time for which records are kept.
BOOST_FIXTURE_TEST_CASE(write_holds_the_records_of_a_second, Fixture) {
  size_t largest = 0;
  for (int attempt = 0; attempt < 3000; ++attempt) {
    BOOST_TEST_REQUIRE(this->segments.Add(MakeRecord(attempt, "v1")));
    this->clock.Advance(absl::Milliseconds(10));
    auto write = this->segments.StartWrite();
    BOOST_TEST_REQUIRE(write.has_value());
    BOOST_TEST(write->records == 1);
    BOOST_TEST(write->rows.size() == 1);
    largest = std::max(largest, write->rows[0].value.size());
    this->rows.Apply(*write);
    this->segments.OnWriteEnded(StreamVersionWriteOutcome::kWritten);
  }
  // 100 attempt ids of 12 characters with quotes and a comma.
  BOOST_TEST(largest < 1600);
  // 16 s of segments, and the next one.
  BOOST_TEST(this->rows.size() <= 17);
  BOOST_TEST(this->rows.Read().size() >= 1500);
}

// Guards against rows that stay in the store when no more streams begin.
BOOST_FIXTURE_TEST_CASE(last_rows_are_removed, Fixture) {
  this->segments.Add(MakeRecord(1, "v1"));
  BOOST_TEST(this->Write());
  BOOST_TEST(!this->Write());
  this->clock.Advance(absl::Seconds(20));
  BOOST_TEST(!this->Write());
  this->clock.Advance(absl::Seconds(20));
  BOOST_TEST(this->Write());
  BOOST_TEST(this->rows.size() == 0);
  BOOST_TEST(!this->segments.HasWork());
}

// Guards against a write without an answer that is performed seconds later and
// replaces a row by one with fewer records.
BOOST_FIXTURE_TEST_CASE(late_write_hides_no_records, Fixture) {
  this->segments.Add(MakeRecord(1, "v1"));
  auto late = this->segments.StartWrite();
  BOOST_TEST_REQUIRE(late.has_value());
  this->segments.OnWriteEnded(StreamVersionWriteOutcome::kUnknown);
  this->segments.Add(MakeRecord(2, "v2"));
  BOOST_TEST(this->Write());
  this->rows.Apply(*late);
  BOOST_TEST(this->rows.Read().size() == 2);
  // The row of the late write goes in the end.
  for (int second = 0; second < 60; ++second) {
    this->clock.Advance(absl::Seconds(1));
    this->Write();
  }
  BOOST_TEST(this->rows.size() == 0);
}

// Guards against memory that grows while the store does not answer, and against
// attempt ids that cannot be stored as they are.
BOOST_FIXTURE_TEST_CASE(what_waits_for_the_store_is_bounded, Fixture) {
  int added = 0;
  for (int attempt = 0; attempt < 200'000; ++attempt)
    added += this->segments.Add(MakeRecord(attempt, "v1")) ? 1 : 0;
  BOOST_TEST(added < 200'000);
  BOOST_TEST(this->segments.record_count() == static_cast<size_t>(added));
  auto write = this->segments.StartWrite();
  BOOST_TEST_REQUIRE(write.has_value());
  // Rows have at most 64 KB.
  for (const StreamVersionRow& row : write->rows)
    BOOST_TEST(row.value.size() < 65536);
  this->segments.OnWriteEnded(StreamVersionWriteOutcome::kNotWritten);
  this->clock.Advance(absl::Seconds(17));
  BOOST_TEST(!this->segments.HasWork());
  BOOST_TEST(this->segments.expired_unwritten() == static_cast<size_t>(added));
  BOOST_TEST(!this->segments.Add({"assistant", "\xff", "v1"}));
  BOOST_TEST(!this->segments.Add({"assistant", "", "v1"}));
  BOOST_TEST(!this->segments.Add({"assistant", std::string(500, 'a'), "v1"}));
}

// Guards against values that are read as something else than was written.
BOOST_AUTO_TEST_CASE(values_are_read_as_written) {
  std::vector<StreamVersionRecord> records = {
      {"a", "1", "v1"}, {"a", "2", "v1"}, {"a", "3", ""}, {"b", "1", "v2"}};
  auto read = Capture(
      [&] { return DecodeStreamVersions(EncodeStreamVersions(records)); });
  BOOST_TEST_REQUIRE(read.ok());
  BOOST_TEST(
      (read.value() == records || read.value().size() == records.size()));
  for (std::string_view malformed :
       {"", "[]", "{\"a\":1}", "{\"a\":{\"b\":1}}", "{\"a\":{\"b\":[1]}}"}) {
    BOOST_TEST(!Capture([&] { return DecodeStreamVersions(malformed); }).ok());
  }
  for (const ServiceVersionRow& row :
       {ServiceVersionRow{}, ServiceVersionRow{""}, ServiceVersionRow{"v1"}}) {
    auto decoded = Capture(
        [&] { return DecodeServiceVersion(EncodeServiceVersion(row)); });
    BOOST_TEST_REQUIRE(decoded.ok());
    BOOST_TEST((decoded.value() == row));
  }
  for (std::string_view malformed : {"", "[]", "{}", "{\"sole\":1}"}) {
    BOOST_TEST(!Capture([&] { return DecodeServiceVersion(malformed); }).ok());
  }
}

// Guards against a version that is found though another one was recorded,
// whatever writes are lost, late or repeated, when records are lost with the
// memory of the instance, or the store goes back to an older copy.
BOOST_AUTO_TEST_CASE(no_version_is_found_other_than_the_recorded_one) {
  bool held = rc::check([](const std::vector<uint8_t>& actions) {
    ManualClock clock;
    auto recent = std::make_unique<RecentStreamVersions>(50, clock);
    auto segments = std::make_unique<StreamVersionSegments>(clock);
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
          recent->AddOwn(record, segments->Add(record));
          break;
        case 4:
        case 5:
        case 6:
          if (auto write = segments->StartWrite()) {
            auto outcome =
                static_cast<StreamVersionWriteOutcome>(action / 10 % 3);
            if (outcome == StreamVersionWriteOutcome::kWritten)
              rows.Apply(*write);
            else if (outcome == StreamVersionWriteOutcome::kUnknown)
              late_writes.push_back(*write);
            segments->OnWriteEnded(outcome);
          }
          break;
        case 7:
          if (!late_writes.empty()) {
            rows.Apply(late_writes.front());
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
            segments->OnStoreRestored();
          }
          break;
      }
      for (const auto& [id, version] : rows.Read())
        recent->AddRead({std::string(kService), id, version});
      for (const auto& [id, version] : recorded) {
        auto found = recent->Find(kService, id);
        RC_ASSERT(!found || *found == version);
      }
    }
  });
  BOOST_TEST(held);
}

// Guards against a row that says that one version serves while there are two,
// and against one that says so before the streams of the other have ended.
BOOST_FIXTURE_TEST_CASE(row_names_the_sole_version_of_15_s, Fixture) {
  auto to_write = [this](const ServiceVersionRow* row, absl::Time since) {
    return this->versions.RowToWrite(kService, row, since);
  };
  ServiceVersionRow several;
  ServiceVersionRow sole_1{"v1"};
  BOOST_TEST(!to_write(nullptr, absl::InfinitePast()));
  BOOST_TEST(this->versions.Observe(kService, "v1"));
  BOOST_TEST(!this->versions.Observe(kService, "v1"));
  // The instance has not run for 15 s.
  this->clock.Advance(absl::Seconds(14));
  this->versions.Observe(kService, "v1");
  BOOST_TEST(!to_write(nullptr, absl::InfinitePast()));
  this->clock.Advance(absl::Seconds(2));
  BOOST_TEST((to_write(nullptr, absl::InfinitePast()) == sole_1));
  BOOST_TEST((to_write(&several, absl::InfinitePast()) == sole_1));
  BOOST_TEST(!to_write(&several, this->clock.Now() - absl::Seconds(14)));
  BOOST_TEST(!to_write(&sole_1, this->clock.Now()));
  // A second version.
  this->versions.Observe(kService, "v1");
  BOOST_TEST(this->versions.Observe(kService, "v2"));
  BOOST_TEST((to_write(&sole_1, this->clock.Now()) == several));
  BOOST_TEST(!to_write(&several, absl::InfinitePast()));
  BOOST_TEST(!to_write(nullptr, absl::InfinitePast()));
  // The first one has gone.
  for (int second = 0; second < 15; ++second) {
    BOOST_TEST(!to_write(&several, absl::InfinitePast()));
    this->clock.Advance(absl::Seconds(1));
    this->versions.Observe(kService, "v2");
  }
  ServiceVersionRow sole_2{"v2"};
  BOOST_TEST((to_write(&several, absl::InfinitePast()) == sole_2));
  // A restored store names the first one again.
  BOOST_TEST((to_write(&sole_1, this->clock.Now()) == several));
  // The registry as it is known here may be out of date.
  this->versions.OnRegistryOutdated();
  BOOST_TEST(!to_write(&several, absl::InfinitePast()));
}

}  // namespace
}  // namespace cranberryhill::forward
