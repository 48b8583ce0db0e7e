#include "cranberryhill/stream_versions/stream_version_sweeper.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/store/virtual_row_store_test.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {
namespace {

class NullLog : public EventLog {
 public:
  void Write(const LogEvent&) override {}
};

struct Fixture {
  void RunFor(absl::Duration duration) {
    absl::Time end = this->queue.clock.Now() + duration;
    while (this->queue.clock.Now() < end) {
      this->sweeper.Tick(1);
      this->queue.RunFor(absl::Milliseconds(250));
    }
  }

  /// Writes rows and never removes them.
  void Write(int first, int count) {
    std::vector<RowUpdate> rows;
    for (int i = first; i < first + count; ++i)
      rows.push_back({"attempt-" + std::to_string(i), "value"});
    this->writer.Call(
        this->codec.EncodeUpdate(
            {StoreTable::kStreamVersions, first % forward::kStreamVersionParts},
            rows),
        absl::Seconds(1), [](const HttpResult&) {});
    this->queue.RunFor(absl::Milliseconds(100));
  }

  EventQueue queue;
  VirtualRowStore store{queue};
  VirtualRowCodec codec;
  NullLog log;
  SeededRandom random{11};
  VirtualRowCaller writer{queue, store, [] { return false; }};
  StreamVersionSweeper sweeper{
      std::make_unique<VirtualRowCaller>(queue, store, [] { return false; }),
      codec, log, queue.clock, random};
};

// Guards against rows that stay in the store after their instance has ended.
BOOST_FIXTURE_TEST_CASE(rows_of_an_ended_instance_are_removed, Fixture) {
  this->Write(0, 1200);
  this->RunFor(absl::Minutes(5));
  BOOST_TEST(this->store.rows.empty());
}

// Guards against the removal of rows that are still of use.
BOOST_FIXTURE_TEST_CASE(young_rows_are_not_removed, Fixture) {
  constexpr int kRows = 600;
  for (int i = 0; i < kRows; ++i) {
    this->Write(i, 1);
    this->RunFor(absl::Seconds(1));
    // The rows of the last 15 s.
    for (int young = std::max(0, i - 15); young <= i; ++young)
      BOOST_TEST(this->store.rows.contains(
          std::to_string(young % forward::kStreamVersionParts) + "attempt-" +
          std::to_string(young)));
  }
  BOOST_TEST(this->store.rows.size() < kRows);
}

// Guards against new rows that are taken for old ones because the store has
// come back from an older copy and gives versions out again.
BOOST_FIXTURE_TEST_CASE(new_rows_of_a_restored_store_are_kept, Fixture) {
  constexpr int kRestoredAt = 100;
  constexpr int kEnd = 200;
  constexpr int kYoungRows = 50;  // One is written each second.
  for (int second = 0; second < kEnd; ++second) {
    if (second == kRestoredAt)
      this->store.Restore({});
    this->Write(second, 1);
    this->RunFor(absl::Seconds(0.9));
    int written =
        std::min({second + 1, kYoungRows,
                  second < kRestoredAt ? kEnd : second - kRestoredAt + 1});
    BOOST_TEST(static_cast<int>(this->store.rows.size()) >= written);
  }
}

}  // namespace
}  // namespace cranberryhill::gateway
