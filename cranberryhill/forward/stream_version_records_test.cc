#include "cranberryhill/forward/stream_version_records.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace cranberryhill::forward {
namespace {

constexpr std::string_view kService = "assistant";

StreamVersionRecord MakeRecord(int attempt, std::string_view version) {
  return {std::string(kService), "attempt-" + std::to_string(attempt),
          std::string(version)};
}

struct Fixture {
  ManualClock clock;
  RecentStreamVersions recent{100, clock};
  ServiceVersions versions{clock};

  /// Lets the registry list just these versions, which is looked at before and
  /// several times in each second.
  void ListFor(absl::Duration duration,
               const std::vector<std::string>& listed) {
    constexpr absl::Duration kInterval = absl::Milliseconds(250);
    absl::Time end = this->clock.Now() + duration;
    while (true) {
      for (const std::string& version : listed)
        this->versions.Observe(kService, version);
      if (this->clock.Now() >= end)
        return;
      this->clock.Advance(kInterval);
    }
  }
};

// Guards against streams that are forgotten while they may be resumed, and
// against memory that grows with the number of streams.
BOOST_FIXTURE_TEST_CASE(recent_streams_are_kept_for_a_bounded_time, Fixture) {
  this->recent.Add(MakeRecord(1, "v1"));
  this->clock.Advance(absl::Seconds(14));
  this->recent.Add(MakeRecord(2, "v2"));
  BOOST_TEST((this->recent.Find("attempt-1") == MakeRecord(1, "v1")));
  this->clock.Advance(absl::Seconds(2));
  BOOST_TEST(!this->recent.Find("attempt-1"));
  BOOST_TEST((this->recent.Find("attempt-2") == MakeRecord(2, "v2")));
  for (int attempt = 3; attempt < 1000; ++attempt)
    this->recent.Add(MakeRecord(attempt, "v1"));
  BOOST_TEST(this->recent.size() == 100);
}

// Guards against the choice of one of two versions when an attempt id was used
// twice.
BOOST_FIXTURE_TEST_CASE(contradicting_records_tell_nothing, Fixture) {
  this->recent.Add(MakeRecord(1, "v1"));
  this->recent.Add(MakeRecord(1, "v1"));
  BOOST_TEST((this->recent.Find("attempt-1") == MakeRecord(1, "v1")));
  this->recent.Add(MakeRecord(1, "v2"));
  BOOST_TEST(!this->recent.Find("attempt-1"));
  BOOST_TEST(this->recent.Contains("attempt-1"));
  BOOST_TEST(!this->recent.Contains("attempt-2"));
  this->recent.Add(MakeRecord(2, "v1"));
  this->recent.Add({"other", "attempt-2", "v1"});
  BOOST_TEST(!this->recent.Find("attempt-2"));
}

// Guards against values that are read as something else than was written.
BOOST_AUTO_TEST_CASE(values_are_read_as_written) {
  for (const StreamVersionRecord& record :
       {StreamVersionRecord{"a", "1", "v1"}, StreamVersionRecord{"a", "2", ""},
        StreamVersionRecord{"", "3", "v\"2"}}) {
    auto read = Capture([&] {
      return DecodeStreamVersion(record.attempt_id,
                                 EncodeStreamVersion(record));
    });
    BOOST_TEST_REQUIRE(read.ok());
    BOOST_TEST((read.value() == record));
  }
  for (std::string_view malformed :
       {"", "[]", "1", "{\"service\":\"a\"}", "{\"version\":\"v1\"}",
        "{\"service\":\"a\",\"version\":1}"}) {
    BOOST_TEST(
        !Capture([&] { return DecodeStreamVersion("1", malformed); }).ok());
  }
  for (const ServiceVersionRow& row :
       {ServiceVersionRow{}, ServiceVersionRow{""}, ServiceVersionRow{"v1"},
        ServiceVersionRow{"v1", 3}}) {
    auto decoded = Capture(
        [&] { return DecodeServiceVersion(EncodeServiceVersion(row)); });
    BOOST_TEST_REQUIRE(decoded.ok());
    BOOST_TEST((decoded.value() == row));
  }
  for (std::string_view malformed : {"", "[]", "{}", "{\"base\":1}"}) {
    BOOST_TEST(!Capture([&] { return DecodeServiceVersion(malformed); }).ok());
  }
}

// Guards against another base while a stream without a record may have begun at
// the old one, and against streams that all need records because there is none.
BOOST_FIXTURE_TEST_CASE(base_changes_15_s_after_it_has_retired, Fixture) {
  auto to_write = [this](const ServiceVersionRow* row, absl::Time since) {
    return this->versions.RowToWrite(kService, row, since, 1);
  };
  ServiceVersionRow base_1{"v1", 1};
  ServiceVersionRow base_2{"v2", 1};
  ServiceVersionRow none{std::nullopt, 1};
  BOOST_TEST(!to_write(nullptr, absl::InfinitePast()));
  BOOST_TEST(this->versions.Observe(kService, "v1"));
  BOOST_TEST(!this->versions.Observe(kService, "v1"));
  BOOST_TEST((to_write(nullptr, this->clock.Now()) == base_1));
  BOOST_TEST(!to_write(&none, absl::InfinitePast()));
  this->ListFor(absl::Seconds(20), {"v1"});
  // A second version.
  BOOST_TEST(this->versions.Observe(kService, "v2"));
  BOOST_TEST(!to_write(&base_1, absl::InfinitePast()));
  // The first one has gone, or its entries have lapsed for a moment.
  this->ListFor(absl::Seconds(2), {"v2"});
  BOOST_TEST(!to_write(&base_1, absl::InfinitePast()));
  this->ListFor(absl::Milliseconds(250), {"v2"});
  BOOST_TEST((to_write(&base_1, absl::InfinitePast()) == none));
  for (int second = 0; second < 12; ++second) {
    BOOST_TEST(!to_write(&none, absl::InfinitePast()));
    this->ListFor(absl::Seconds(1), {"v2"});
  }
  BOOST_TEST(!to_write(&none, absl::InfinitePast()));
  this->ListFor(absl::Seconds(1), {"v2"});
  BOOST_TEST((to_write(&none, absl::InfinitePast()) == base_2));
  // The row has been so for a shorter time.
  BOOST_TEST(!to_write(&none, this->clock.Now() - absl::Seconds(14)));
  // The registry as it is known here may be out of date.
  this->versions.OnRegistryOutdated();
  BOOST_TEST(!to_write(&none, absl::InfinitePast()));
  BOOST_TEST(!to_write(&base_1, absl::InfinitePast()));
}

// Guards against a base that comes back while a stream may have begun without a
// record at the version that was listed alone.
BOOST_FIXTURE_TEST_CASE(returning_version_becomes_the_base_after_15_s,
                        Fixture) {
  ServiceVersionRow none{std::nullopt, 1};
  auto next_base = [&] {
    auto row =
        this->versions.RowToWrite(kService, &none, absl::InfinitePast(), 1);
    return row ? row->base.value_or("none") : "";
  };
  this->ListFor(absl::Seconds(20), {"v1"});
  this->ListFor(absl::Seconds(4), {"v2"});
  BOOST_TEST(this->versions.IsListedAlone(kService, "v2"));
  BOOST_TEST(this->versions.WasAwayLately(kService, "v1"));
  this->ListFor(absl::Seconds(1), {"v1", "v2"});
  BOOST_TEST(!this->versions.IsListedAlone(kService, "v2"));
  BOOST_TEST(this->versions.WasAwayLately(kService, "v1"));
  this->ListFor(absl::Seconds(9), {"v1", "v2"});
  BOOST_TEST(next_base() == "");
  // The second version leaves before it was listed for long enough.
  this->ListFor(absl::Seconds(4), {"v1"});
  BOOST_TEST(next_base() == "");
  this->ListFor(absl::Seconds(2), {"v1"});
  BOOST_TEST(next_base() == "v1");
  BOOST_TEST(!this->versions.WasAwayLately(kService, "v1"));
}

// Guards against a copy of the base's row that counts as confirmed although the
// base may have changed while the version was away, or unnoticed.
BOOST_FIXTURE_TEST_CASE(break_in_a_listing_is_noticed, Fixture) {
  absl::Time began = this->clock.Now();
  BOOST_TEST(this->versions.ListedSince(kService, "v1") ==
             absl::InfiniteFuture());
  this->ListFor(absl::Seconds(5), {"v1"});
  BOOST_TEST(this->versions.ListedSince(kService, "v1") == began);
  this->clock.Advance(absl::Seconds(2));
  BOOST_TEST(this->versions.ListedSince(kService, "v1") ==
             absl::InfiniteFuture());
  absl::Time back = this->clock.Now();
  this->ListFor(absl::Seconds(5), {"v1"});
  BOOST_TEST(this->versions.ListedSince(kService, "v1") == back);
  this->versions.OnListingsMissed();
  BOOST_TEST(this->versions.ListedSince(kService, "v1") == this->clock.Now());
}

// Guards against a row of an older copy of the store that is confirmed by an
// instance that cannot know all versions yet, or while records may be missing.
BOOST_FIXTURE_TEST_CASE(row_of_a_restored_store_is_confirmed_late, Fixture) {
  auto to_write = [this](const ServiceVersionRow* row, absl::Duration age) {
    return this->versions.RowToWrite(kService, row, this->clock.Now() - age, 3);
  };
  ServiceVersionRow restored{"v1", 2};
  ServiceVersionRow confirmed{"v1", 3};
  this->ListFor(absl::Seconds(14), {"v1"});
  BOOST_TEST(!to_write(&restored, absl::Seconds(14)));
  BOOST_TEST(!to_write(nullptr, absl::Seconds(14)));
  this->ListFor(absl::Seconds(2), {"v1"});
  BOOST_TEST(!to_write(&restored, absl::Seconds(2)));
  BOOST_TEST((to_write(&restored, absl::Seconds(3)) == confirmed));
  BOOST_TEST(!to_write(&confirmed, absl::Seconds(3)));
  BOOST_TEST(!to_write(nullptr, absl::Seconds(14)));
  BOOST_TEST((to_write(nullptr, absl::Seconds(15)) == confirmed));
  // Streams at the second version have records, which may have been lost.
  this->versions.Observe(kService, "v2");
  BOOST_TEST(!to_write(&restored, absl::Seconds(14)));
  BOOST_TEST((to_write(&restored, absl::Seconds(15)) == confirmed));
}

}  // namespace
}  // namespace cranberryhill::forward
