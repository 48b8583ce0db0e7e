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
