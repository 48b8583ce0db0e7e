#include "cranberryhill/store/service_row_reader.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryhill/store/virtual_row_store_test.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {
namespace {

class NullLog : public EventLog {
 public:
  void Write(const LogEvent&) override {}
};

struct Fixture {
  void Read(const std::string& key) {
    this->reader.Read(
        key, absl::Seconds(1),
        [this](const std::optional<ServiceRowReading>& reading) {
          this->found.push_back(reading ? reading->value.value_or("no row")
                                        : "no answer");
        });
  }

  EventQueue queue;
  VirtualRowStore store{queue};
  VirtualRowCodec codec;
  NullLog log;
  std::vector<std::string> found;
  ServiceRowReader reader{
      std::make_unique<VirtualRowCaller>(queue, store, [] { return false; }),
      std::make_unique<VirtualTimer>(queue), codec, log, queue.clock};
};

// Guards against an answer that is older than the question.
BOOST_FIXTURE_TEST_CASE(row_is_read_after_it_was_asked_for, Fixture) {
  this->store.Call("update 0", R"([["lm","v1"]])", [](const HttpResult&) {});
  this->queue.RunFor(absl::Milliseconds(2));
  this->Read("lm");
  this->queue.RunFor(absl::Milliseconds(2.5));
  // The first answer is on its way when the row is written.
  this->Read("lm");
  this->Read("lm");
  this->Read("other");
  this->queue.RunFor(absl::Seconds(1));
  BOOST_TEST(this->reader.reads() == 3U);
  std::vector<std::string> expected = {"no row", "v1", "v1", "no row"};
  BOOST_TEST(this->found == expected, boost::test_tools::per_element());
}

// Guards against requests that wait for a store that does not answer.
BOOST_FIXTURE_TEST_CASE(silent_store_is_not_awaited, Fixture) {
  this->store.is_silent = true;
  this->Read("lm");
  this->queue.RunFor(absl::Milliseconds(999));
  BOOST_TEST(this->found.empty());
  this->queue.RunFor(absl::Milliseconds(1));
  BOOST_REQUIRE(this->found.size() == 1U);
  BOOST_TEST(this->found[0] == "no answer");
  this->store.is_silent = false;
  this->Read("lm");
  this->queue.RunFor(absl::Seconds(1));
  BOOST_TEST(this->found.back() == "no row");
}

}  // namespace
}  // namespace cranberryhill::gateway
