#include "cranberryhill/store/event_log.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace cranberryhill::gateway {
namespace {

// Guards against lines that a JSON parser rejects, because of numbers without a
// finite value or text that callers choose.
BOOST_AUTO_TEST_CASE(log_lines_are_valid_json) {
  LogEvent event("request_sent");
  event.Add("load_age_ms", absl::InfiniteDuration())
      .Add("took_ms", absl::Milliseconds(12.34))
      .Add("ratio", 0.0 / 1.0)
      .Add("fingerprint", UINT64_MAX)
      .Add("request", "a\"b\\c\n\x80");
  auto line = nlohmann::json::parse("{" + event.text() + "}");
  BOOST_TEST(line["event"] == "request_sent");
  BOOST_TEST(line["load_age_ms"].is_null());
  BOOST_TEST(line["took_ms"] == 12.3);
  BOOST_TEST(line["fingerprint"] == UINT64_MAX);
}

// Guards against log lines of unlimited length, because callers choose some of
// the texts.
BOOST_AUTO_TEST_CASE(long_texts_are_truncated) {
  LogEvent event("x");
  event.Add("request", std::string(100000, 'a'));
  BOOST_TEST(event.text().size() < 1000U);
}

}  // namespace
}  // namespace cranberryhill::gateway
