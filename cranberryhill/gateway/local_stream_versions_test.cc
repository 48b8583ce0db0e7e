#include "cranberryhill/gateway/local_stream_versions.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::gateway {
namespace {

struct Fixture {
  void Apply(std::string id, std::string version) {
    forward::ReplicaEntry entry;
    entry.id = std::move(id);
    entry.service = "lm";
    entry.software_version = std::move(version);
    this->replicas.Apply(entry);
  }

  /// @return The version, or "unknown".
  std::string Find(std::string_view attempt_id,
                   std::string_view service = "lm") {
    std::string found = "not called";
    this->versions.Find(service, attempt_id,
                        [&found](std::optional<std::string> version) {
                          found = version.value_or("unknown");
                        });
    return found;
  }

  ManualClock clock;
  forward::ReplicaSet replicas{clock};
  LocalStreamVersions versions{replicas, clock};
};

// Guards against a version that is guessed, or taken from another service.
BOOST_FIXTURE_TEST_CASE(version_of_a_known_stream_is_found, Fixture) {
  this->Apply("a", "v1");
  this->Apply("b", "v2");
  this->versions.OnStreamBegan("lm", "first", "v1");
  this->versions.OnStreamBegan("lm", "", "v1");
  BOOST_TEST(this->Find("first") == "v1");
  BOOST_TEST(this->Find("second") == "unknown");
  BOOST_TEST(this->Find("") == "unknown");
  BOOST_TEST(this->Find("first", "other") == "unknown");
}

// Guards against a stream that is forgotten while its caller still takes it up,
// and against one that is kept for ever.
BOOST_FIXTURE_TEST_CASE(stream_is_kept_for_30_s_after_its_last_record,
                        Fixture) {
  this->Apply("a", "v1");
  this->Apply("b", "v2");
  this->versions.OnStreamBegan("lm", "first", "v1");
  this->clock.Advance(absl::Seconds(20));
  this->versions.OnStreamBegan("lm", "first", "v1");
  this->clock.Advance(absl::Seconds(29));
  BOOST_TEST(this->Find("first") == "v1");
  this->clock.Advance(absl::Seconds(2));
  BOOST_TEST(this->Find("first") == "unknown");
}

// Guards against a stream of a removed version that goes on at the only one
// that is left.
BOOST_FIXTURE_TEST_CASE(version_follows_if_the_service_has_had_one_lately,
                        Fixture) {
  this->Apply("a", "v1");
  BOOST_TEST(this->Find("elsewhere") == "v1");
  this->Apply("b", "v2");
  this->replicas.Remove("a");
  BOOST_TEST(this->Find("elsewhere") == "unknown");
  this->clock.Advance(absl::Seconds(31));
  BOOST_TEST(this->Find("elsewhere") == "v2");
  // The entry changes, without and with a new start.
  this->Apply("b", "v3");
  BOOST_TEST(this->Find("elsewhere") == "unknown");
  this->clock.Advance(absl::Seconds(31));
  BOOST_TEST(this->Find("elsewhere") == "v3");
  forward::ReplicaEntry restarted;
  restarted.id = "b";
  restarted.service = "lm";
  restarted.software_version = "v4";
  restarted.started_ms = 1;
  this->replicas.Apply(restarted);
  BOOST_TEST(this->Find("elsewhere") == "unknown");
}

}  // namespace
}  // namespace cranberryhill::gateway
