#include "cranberryhill/gateway/settings.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::gateway {
namespace {

constexpr std::string_view kLeast = R"({
  // Comments are allowed.
  "instance_id": "entry-1",
  "availability_zone": "a",
  "callers_address": "10.0.0.1:8080",
  "readiness_address": "10.0.0.1:8081",
  "store_address": "10.0.0.9:80")";

std::string Text(std::string_view more) {
  return std::string(kLeast) + std::string(more) + "}";
}

auto Parse(std::string text) {
  return Capture([&] { return ParseGatewaySettings(text); });
}

BOOST_AUTO_TEST_CASE(optional_settings_have_defaults) {
  auto settings = Parse(Text(""));
  BOOST_REQUIRE(settings.ok());
  BOOST_TEST(settings.value().callers.ip == "10.0.0.1");
  BOOST_TEST(settings.value().callers.port == 8080);
  BOOST_TEST(settings.value().metrics.port == 0);
  BOOST_TEST(settings.value().lease_time == absl::Seconds(3));
}

// Guards against a process that starts with a setting it does not understand.
BOOST_AUTO_TEST_CASE(wrong_settings_are_named_in_the_error) {
  struct Case {
    std::string_view more;
    std::string_view field;
  };
  for (const Case& wrong :
       {Case{R"(,"metrics_address":"10.0.0.1")", "settings.metrics_address"},
        Case{R"(,"peer_address":"host:80")", "settings.peer_address"},
        Case{R"(,"retry_ratio":1.5)", "settings.retry_ratio"},
        Case{R"(,"lease_ms":0)", "settings.lease_ms"},
        Case{R"(,"shutdown_s":"8")", "settings.shutdown_s"},
        Case{R"(,"log_lines_per_s":0)", "settings.log_lines_per_s"},
        Case{R"(,"retry_rate":1)", "retry_rate"}}) {
    auto settings = Parse(Text(wrong.more));
    BOOST_TEST_CONTEXT(wrong.more) {
      BOOST_REQUIRE(!settings.ok());
      BOOST_TEST(settings.error().ToString().find(wrong.field) !=
                 std::string::npos);
    }
  }
  BOOST_TEST(!Parse("{").ok());
}

// Guards against a process without the addresses that it cannot do without.
BOOST_AUTO_TEST_CASE(needed_settings_must_be_there) {
  for (std::string_view field :
       {"instance_id", "availability_zone", "callers_address",
        "readiness_address", "store_address"}) {
    std::string text = Text("");
    size_t at = text.find(field);
    text.replace(at, 1, "x");
    BOOST_TEST(!Parse(text).ok(), field);
  }
}

}  // namespace
}  // namespace cranberryhill::gateway
