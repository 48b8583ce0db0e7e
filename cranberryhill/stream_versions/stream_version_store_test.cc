#include "cranberryhill/stream_versions/stream_version_store.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>

#include "cranberryhill/base/random.h"
#include "cranberryhill/store/virtual_row_store_test.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {
namespace {

class NullLog : public EventLog {
 public:
  void Write(const LogEvent&) override {}
};

/// A fleet whose service rows are not known.
class UnknownFleet : public StreamVersionFleet {
 public:
  std::optional<size_t> InstanceCount() const override { return std::nullopt; }
  bool IsRegistryCurrent() const override { return false; }
  std::optional<Row> FindServiceRow(std::string_view) const override {
    return std::nullopt;
  }
  uint64_t StoreEra() const override { return 0; }
  void ReadServiceRow(std::string_view,
                      absl::Duration,
                      ServiceRowReader::Callback done) override {
    done(std::nullopt);
  }
  void CommitServiceRow(Transaction, CommitCallback callback) override {
    callback({CommitState::kUnavailable, ""});
  }
  void RefreshServiceRows() override {}
};

struct Fixture {
  std::unique_ptr<HttpCaller> MakeCaller() {
    return std::make_unique<VirtualRowCaller>(this->queue, this->store,
                                              [] { return false; });
  }
  std::unique_ptr<DelayTimer> MakeTimer() {
    return std::make_unique<VirtualTimer>(this->queue);
  }

  StoredStreamVersions::Channels MakeChannels() {
    StoredStreamVersions::Channels channels;
    channels.writer = this->MakeCaller();
    channels.readers.push_back(this->MakeCaller());
    channels.sweeper = this->MakeCaller();
    channels.write_timer = this->MakeTimer();
    channels.find_timer = this->MakeTimer();
    channels.service_row_timer = this->MakeTimer();
    return channels;
  }

  /// @return The service and the version, or "unknown".
  std::string Find(std::string_view attempt_id,
                   std::string_view service = "lm") {
    std::string found = "not called";
    this->versions.Find(
        service, attempt_id, absl::Seconds(3),
        [&found](const std::optional<StreamOrigin>& origin) {
          found = origin ? origin->service + " " + origin->version : "unknown";
        });
    this->queue.RunFor(absl::Seconds(3));
    return found;
  }

  EventQueue queue;
  VirtualRowStore store{queue};
  VirtualRowCodec codec;
  UnknownFleet fleet;
  NullLog log;
  SeededRandom random{7};
  StoredStreamVersions versions{MakeChannels(), codec, fleet, log,
                                queue.clock,    random};
};

// Guards against a version that is guessed, or taken from another service or
// from another stream that has no attempt id either.
BOOST_FIXTURE_TEST_CASE(version_of_a_known_stream_is_found, Fixture) {
  this->versions.OnRegistered("lm", "v1");
  this->versions.OnRegistered("lm", "v2");
  this->versions.OnStreamBegan("lm", "first", "v1");
  this->versions.OnStreamBegan("lm", "", "v1");
  BOOST_TEST(this->Find("first") == "lm v1");
  BOOST_TEST(this->Find("second") == "unknown");
  BOOST_TEST(this->Find("") == "unknown");
  BOOST_TEST(this->Find("first", "other") == "lm v1");
  BOOST_TEST(this->versions.records_lost() == 0U);
}

// Guards against a first event that is passed on before its record is stored,
// or that waits for a store that does not answer.
BOOST_FIXTURE_TEST_CASE(first_event_waits_for_its_record, Fixture) {
  std::optional<bool> prepared;
  auto prepare = [&](std::string_view attempt_id) {
    prepared.reset();
    this->versions.Prepare("lm", attempt_id, "v1", RecordRule::kAwayFromBase,
                           [&](bool is_prepared) { prepared = is_prepared; });
  };
  prepare("");
  BOOST_TEST(prepared.value_or(false));
  prepare("first");
  BOOST_TEST(!prepared.has_value());
  this->queue.RunFor(absl::Milliseconds(300));
  BOOST_TEST(prepared.value_or(false));
  BOOST_TEST(this->store.rows.size() == 1U);
  this->store.is_silent = true;
  prepare("second");
  for (int tick = 0; tick < 4 && !prepared; ++tick) {
    this->queue.RunFor(absl::Milliseconds(250));
    this->versions.Tick();
  }
  BOOST_TEST(!prepared.value_or(true));
  BOOST_TEST(this->versions.records_late() == 1U);
}

// Guards against a record whose write got no answer, is performed seconds later
// and replaces the one of the version at which the stream began (review/11).
BOOST_FIXTURE_TEST_CASE(late_write_does_not_replace_the_record_of_a_stream,
                        Fixture) {
  int updates = 0;
  this->store.delay_update = [&updates](const std::string&) {
    return ++updates == 1 ? absl::Seconds(2.5) : absl::ZeroDuration();
  };
  bool is_prepared = false;
  this->versions.Prepare("lm", "attempt", "v2", RecordRule::kAwayFromBase,
                         [](bool) {});
  this->queue.RunFor(absl::Milliseconds(400));
  this->versions.Prepare("lm", "attempt", "v1", RecordRule::kAwayFromBase,
                         [&](bool prepared) { is_prepared = prepared; });
  this->queue.RunFor(absl::Seconds(1));
  BOOST_TEST(is_prepared);
  BOOST_TEST(updates >= 2);
  this->queue.RunFor(absl::Seconds(3));
  BOOST_TEST_REQUIRE(this->store.rows.size() == 1U);
  auto record =
      forward::DecodeStreamVersion("attempt", this->store.rows.begin()->second);
  BOOST_TEST_REQUIRE(record.has_value());
  BOOST_TEST(record.value().version == "v1");
}

}  // namespace
}  // namespace cranberryhill::gateway
