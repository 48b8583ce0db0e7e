#include "cranberryhill/gateway/settings.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill::gateway {
namespace {

constexpr std::string_view kRequiredSettings = R"({
  // Comments are allowed.
  "instance_id": "entry-1",
  "availability_zone": "a",
  "callers_address": "10.0.0.1:8080",
  "readiness_address": "10.0.0.1:8081",
  "store_address": "10.0.0.9:80")";

std::string SettingsWith(std::string_view extra_fields) {
  return std::string(kRequiredSettings) + std::string(extra_fields) + "}";
}

auto ParseSettings(std::string text) {
  return Capture([&] { return ParseGatewaySettings(text); });
}

BOOST_AUTO_TEST_CASE(optional_settings_have_defaults) {
  auto settings = ParseSettings(SettingsWith(""));
  BOOST_REQUIRE(settings.ok());
  BOOST_TEST(settings.value().callers_address.ip == "10.0.0.1");
  BOOST_TEST(settings.value().callers_address.port == 8080);
  BOOST_TEST(settings.value().metrics_address.port == 0);
  BOOST_TEST(settings.value().order_handover_gap == absl::Seconds(3));
}

// Guards against a process that starts with an invalid or unknown setting, and
// against an error that does not name the setting.
BOOST_AUTO_TEST_CASE(errors_name_the_invalid_setting) {
  struct Case {
    std::string_view extra_fields;
    std::string_view field;
  };
  for (const Case& invalid :
       {Case{R"(,"metrics_address":"10.0.0.1")", "settings.metrics_address"},
        Case{R"(,"peer_address":"host:80")", "settings.peer_address"},
        Case{R"(,"retry_ratio":1.5)", "settings.retry_ratio"},
        Case{R"(,"lease_ms":0)", "settings.lease_ms"},
        Case{R"(,"shutdown_s":"8")", "settings.shutdown_s"},
        Case{R"(,"log_lines_per_s":0)", "settings.log_lines_per_s"},
        Case{R"(,"retry_rate":1)", "retry_rate"}}) {
    auto settings = ParseSettings(SettingsWith(invalid.extra_fields));
    BOOST_TEST_CONTEXT(invalid.extra_fields) {
      BOOST_REQUIRE(!settings.ok());
      BOOST_TEST(settings.error().ToString().find(invalid.field) !=
                 std::string::npos);
    }
  }
  BOOST_TEST(!ParseSettings("{").ok());
}

// Guards against a process that starts without a required address or id.
BOOST_AUTO_TEST_CASE(missing_required_settings_are_rejected) {
  for (std::string_view field :
       {"instance_id", "availability_zone", "callers_address",
        "readiness_address", "store_address"}) {
    std::string text = SettingsWith("");
    size_t at = text.find(field);
    text.replace(at, 1, "x");
    BOOST_TEST(!ParseSettings(text).ok(), field);
  }
}

// Guards against keys that are refused during a partition although the
// operators have not asked for it, and the other way round.
BOOST_AUTO_TEST_CASE(revocation_limit_needs_the_operators_wish) {
  auto limit_of = [](std::string_view more) {
    return ParseSettings(SettingsWith(more)).value().revocation_limit;
  };
  BOOST_TEST(!limit_of("").has_value());
  BOOST_TEST(!limit_of(R"(,"revoke_ms":3000)").has_value());
  BOOST_TEST((limit_of(R"(,"revoke_ms":3000,"revoke_when_partitioned":true)") ==
              absl::Milliseconds(3000)));
}

}  // namespace
}  // namespace cranberryhill::gateway
