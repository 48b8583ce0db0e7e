#include "cranberryhill/daemon/settings.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace cranberryhill {
namespace {

std::string Text(const std::string& extra) {
  return R"({
    // Comments are allowed.
    "instance_id": "entry-a", "availability_zone": "a", "environment": "demo",
    "http1_address": "127.0.0.1:1", "http2_address": "127.0.0.1:2",
    "peer_address": "127.0.0.1:3", "platform_address": "127.0.0.1:4")" +
         extra + "}";
}

Error ErrorOf(const std::string& text) {
  auto settings = Capture([&] { return ParseSettings(text); });
  BOOST_REQUIRE(!settings.ok());
  return settings.error();
}

// Guards against defaults that differ from the documented ones.
BOOST_AUTO_TEST_CASE(DefaultsApply) {
  auto settings = Capture([] { return ParseSettings(Text("")); });
  BOOST_REQUIRE(settings.ok());
  BOOST_TEST((settings.value().first_token_target == absl::Milliseconds(1100)));
  BOOST_TEST(settings.value().peers.empty());
}

// Guards against misspelled settings that are silently ignored.
BOOST_AUTO_TEST_CASE(UnknownSettingIsNamed) {
  BOOST_TEST(ErrorOf(Text(R"(, "max_request": 5)")).field == "max_request");
}

// Guards against errors in lists that do not say which entry is wrong.
BOOST_AUTO_TEST_CASE(PeerErrorsNameTheEntry) {
  Error error = ErrorOf(Text(
      R"(, "peers": [{"id": "b", "availability_zone": "b", "address": "x"}])"));
  BOOST_TEST(error.field == "peers[0].address");
  BOOST_TEST(error.value == "x");
}

// Guards against values out of range that are cut off instead of refused.
BOOST_AUTO_TEST_CASE(RangesAreChecked) {
  Error error = ErrorOf(Text(R"(, "max_requests": 0)"));
  BOOST_TEST(error.field == "max_requests");
  BOOST_TEST(error.rule == "must be an integer from 1 to 100000");
}

}  // namespace
}  // namespace cranberryhill
