#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/usage/fleet_time.h"
#include "cranberryhill/usage/usage_collector.h"
#include "cranberryhill/usage/usage_counter.h"
#include "cranberryhill/usage/usage_ledger.h"

namespace cranberryhill::usage {
namespace {

constexpr absl::Duration kLength = absl::Seconds(5);
constexpr CollectorSettings kSettings{kLength, absl::Seconds(6)};

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(1000) + absl::Seconds(seconds);
}

constexpr int64_t kFirst = 200;  // The window of At(0).

// Guards against requests that are counted in another window than theirs.
BOOST_AUTO_TEST_CASE(requests_are_counted_in_their_window) {
  UsageCounter counter(kLength);
  counter.Count("yard", At(0));
  counter.Count("yard", At(4.999));
  counter.Count("mill", At(4.999));
  counter.Count("yard", At(5));
  auto undecided = counter.Undecided(At(5));
  BOOST_REQUIRE(undecided.size() == 2U);
  BOOST_TEST(undecided[0].window == kFirst);
  BOOST_TEST(undecided[0].counts["yard"] == 2U);
  BOOST_TEST(undecided[0].counts["mill"] == 1U);
  BOOST_TEST(undecided[0].total == 3U);
  BOOST_TEST(!undecided[0].is_final);
  BOOST_TEST(undecided[1].counts["yard"] == 1U);
  BOOST_TEST(counter.Undecided(At(5.5))[0].is_final);
}

// Guards against counts that change after they were said to be final, because
// the clock was corrected.
BOOST_AUTO_TEST_CASE(final_counts_do_not_change) {
  UsageCounter counter(kLength);
  counter.Count("yard", At(1));
  BOOST_TEST(counter.Undecided(At(5.5))[0].is_final);
  counter.Count("yard", At(4.9));
  auto undecided = counter.Undecided(At(5.6));
  BOOST_TEST(undecided[0].counts["yard"] == 1U);
  BOOST_TEST(undecided[1].counts["yard"] == 1U);
}

// Guards against windows without requests that nobody completes, and against
// counts that are kept for ever while nobody decides.
BOOST_AUTO_TEST_CASE(windows_without_requests_are_listed_and_old_ones_dropped) {
  UsageCounter counter(kLength);
  counter.Undecided(At(0));
  auto undecided = counter.Undecided(At(11));
  BOOST_REQUIRE(undecided.size() == 3U);
  BOOST_TEST(undecided[1].counts.empty());
  counter.OnDecided(kFirst + 1);
  BOOST_TEST(counter.Undecided(At(11)).size() == 1U);
  counter.Count("yard", At(12));
  BOOST_TEST(counter.Undecided(At(600)).size() == 12U);
  BOOST_TEST(counter.dropped() == 1U);
}

std::vector<WindowCounts> Final(int64_t window, const CustomerCounts& counts) {
  WindowCounts entry{window, true, 0, counts};
  for (const auto& [customer, count] : counts)
    entry.total += count;
  return {entry};
}

// Guards against windows that are decided without the counts of an instance,
// and against one that silent instances hold up for ever.
BOOST_AUTO_TEST_CASE(window_is_ready_when_all_live_instances_are_complete) {
  UsageCollector collector(kSettings);
  const std::vector<std::string> live{"a", "b"};
  collector.Merge("a", 1, kFirst, Final(kFirst, {{"yard", 3}}));
  BOOST_TEST((collector.StateOf(kFirst, At(4), live) == WindowState::kOpen));
  BOOST_TEST((collector.StateOf(kFirst, At(6), live) == WindowState::kOpen));
  // A part of the counts, in one of several messages.
  WindowCounts part{kFirst, true, 5, {{"yard", 2}}};
  collector.Merge("b", 1, kFirst, std::vector{part});
  BOOST_TEST((collector.StateOf(kFirst, At(6), live) == WindowState::kOpen));
  part.counts = {{"mill", 3}};
  collector.Merge("b", 1, kFirst, std::vector{part});
  BOOST_TEST((collector.StateOf(kFirst, At(6), live) == WindowState::kReady));
  BOOST_TEST(
      (collector.Sum(kFirst) == CustomerCounts{{"mill", 3}, {"yard", 5}}));
  const std::vector<std::string> with_silent{"a", "b", "c"};
  BOOST_TEST(
      (collector.StateOf(kFirst, At(10), with_silent) == WindowState::kOpen));
  BOOST_TEST(
      (collector.StateOf(kFirst, At(11), with_silent) == WindowState::kReady));
  // An instance that has started later counted nothing in the window.
  collector.Merge("c", 1, kFirst + 1, {});
  BOOST_TEST(
      (collector.StateOf(kFirst, At(6), with_silent) == WindowState::kReady));
  BOOST_TEST(
      (collector.StateOf(kFirst + 5, At(60), live) == WindowState::kUnknown));
}

// Guards against windows that a new holder decides with the counts of the few
// instances that have reported to it by then.
BOOST_AUTO_TEST_CASE(reports_of_most_live_instances_are_needed) {
  UsageCollector collector(kSettings);
  std::vector<std::string> live(10);
  for (size_t i = 0; i < live.size(); ++i)
    live[i] = "entry-" + std::to_string(i);
  for (size_t i = 0; i < 9; ++i) {
    BOOST_TEST(!collector.HasReportsOfMost(live));
    collector.Merge(live[i], 1, kFirst, {});
  }
  BOOST_TEST(collector.HasReportsOfMost(live));
  collector.ForgetReports();
  BOOST_TEST(!collector.HasReportsOfMost(live));
}

// Guards against windows that are decided while an instance that has counts of
// them is paused or cut off for a moment, and against waiting for the rest of a
// process that has been replaced.
BOOST_AUTO_TEST_CASE(instance_with_counts_is_waited_for) {
  UsageCollector collector(kSettings);
  const std::vector<std::string> live{"a"};
  collector.Merge("a", 1, kFirst, Final(kFirst, {{"yard", 3}}));
  WindowCounts begun{kFirst, false, 1, {{"yard", 1}}};
  collector.Merge("b", 1, kFirst, std::vector{begun});
  BOOST_TEST((collector.StateOf(kFirst, At(6), live) == WindowState::kOpen));
  BOOST_TEST((collector.StateOf(kFirst, At(11), live) == WindowState::kReady));
  collector.Merge("b", 2, kFirst + 1, {});
  BOOST_TEST((collector.StateOf(kFirst, At(6), live) == WindowState::kReady));
}

// Guards against sums that change with the order, the loss or the repetition of
// messages, and against the counts of a process that was restarted.
RC_BOOST_PROP(sum_does_not_depend_on_order_and_repetition,
              (const std::vector<std::vector<uint8_t>>& counts_of_processes)) {
  struct Message {
    std::string instance;
    uint64_t incarnation;
    WindowCounts counts;
  };
  std::vector<Message> messages;
  CustomerCounts expected;
  for (size_t i = 0; i < counts_of_processes.size(); ++i) {
    // Two processes of each instance, one after the other.
    std::string instance = "i" + std::to_string(i / 2);
    WindowCounts counts{kFirst, false, 0, {}};
    for (uint8_t customer : counts_of_processes[i]) {
      std::string name = "c" + std::to_string(customer % 4);
      ++counts.counts[name];
      ++counts.total;
      ++expected[name];
      messages.push_back({instance, i, counts});
    }
  }
  UsageCollector collector(kSettings);
  auto order = messages;
  auto repeats = *rc::gen::container<std::vector<size_t>>(
      rc::gen::inRange<size_t>(0, messages.size() + 1));
  for (size_t index : repeats) {
    if (index < messages.size())
      order.push_back(messages[index]);
  }
  for (size_t i = order.size(); i > 1; --i)
    std::swap(order[i - 1], order[*rc::gen::inRange<size_t>(0, i)]);
  for (const Message& message : order) {
    collector.Merge(message.instance, message.incarnation, kFirst,
                    std::vector{message.counts});
  }
  RC_ASSERT(collector.Sum(kFirst) == expected);
}

// Guards against counts that arrive after their window has been decided.
BOOST_AUTO_TEST_CASE(late_counts_of_a_decided_window_are_ignored) {
  UsageCollector collector(kSettings);
  collector.OnDecided(kFirst);
  collector.Merge("a", 1, kFirst, Final(kFirst, {{"yard", 3}}));
  BOOST_TEST(collector.Sum(kFirst).empty());
}

// Guards against a row that other instances read differently.
BOOST_AUTO_TEST_CASE(ledger_survives_its_row) {
  UsageLedger ledger;
  ledger.era = 3;
  ledger.Decide(kFirst, {{"yard", 7}, {"mill", 300}});
  ledger.Decide(kFirst + 1, {});
  ledger.GiveUp(kFirst + 2);
  ledger.Remove(kFirst + 1);
  auto read =
      Capture([&] { return DecodeUsageLedger(EncodeUsageLedger(ledger)); });
  BOOST_REQUIRE(read.ok());
  BOOST_TEST(read.value().era == 3U);
  BOOST_TEST(read.value().decided == kFirst + 2);
  BOOST_REQUIRE(read.value().pending.size() == 1U);
  BOOST_TEST((read.value().pending[0].counts == ledger.pending[0].counts));
  std::string bytes = EncodeUsageLedger(ledger);
  for (std::string_view faulty :
       {std::string_view(), std::string_view("{}"),
        std::string_view(bytes).substr(0, bytes.size() / 2)})
    BOOST_TEST(!Capture([&] { return DecodeUsageLedger(faulty); }).ok());
}

// Guards against a row that is too large for the store with as many customers
// as a large deployment has.
BOOST_AUTO_TEST_CASE(ledger_of_many_customers_fits_into_a_row) {
  constexpr size_t kRowBytes = 65'536;
  UsageLedger ledger;
  CustomerCounts counts;
  for (int i = 0; i < 4600; ++i)
    counts["hule" + std::to_string(1000 + i)] = 200;
  ledger.Decide(kFirst, counts);
  BOOST_TEST(EncodeUsageLedger(ledger).size() < kRowBytes);
}

// Guards against usage that is counted in other windows by instances whose wall
// clock has jumped.
BOOST_AUTO_TEST_CASE(jump_of_a_wall_clock_does_not_move_fleet_time) {
  ManualClock wall(At(0));
  FleetTime time(wall);
  absl::Time store_time = absl::UnixEpoch() + absl::Seconds(77);
  BOOST_TEST((time.Now(store_time) == At(0)));
  BOOST_TEST(!time.OwnOffset(std::nullopt).has_value());
  time.Adopt(*MedianOf({*time.OwnOffset(store_time),
                        *time.OwnOffset(store_time) + absl::Seconds(2),
                        *time.OwnOffset(store_time) + absl::Milliseconds(1)}));
  wall.Set(At(9));
  store_time += absl::Seconds(3);
  BOOST_TEST((time.Now(store_time) == At(3.001)));
  BOOST_TEST((time.Now(std::nullopt) == At(9)));
  BOOST_TEST(!MedianOf({}).has_value());
}

}  // namespace
}  // namespace cranberryhill::usage
