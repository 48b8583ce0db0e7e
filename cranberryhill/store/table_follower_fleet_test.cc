// Simulates many instances that follow a table of the store, on a virtual
// clock.

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/store/row_message.h"
#include "cranberryhill/store/table_follower.h"
#include "cranberryhill/store/virtual_store_test.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {
namespace {

class NullLog : public EventLog {
 public:
  void Write(const LogEvent&) override {}
};

struct FleetSize {
  size_t instances = 0;
  double bytes_per_s = 0;  ///< Of the link of each instance.
  size_t row_bytes = 0;
  absl::Duration bound;  ///< For a change to be in force at all instances.
};

std::ostream& operator<<(std::ostream& out, const FleetSize& size) {
  return out << size.instances << " instances, row of " << size.row_bytes
             << " bytes";
}

/// Followers of one table. The first three poll the store and pass rows on;
/// messages between instances are delayed, and one in ten is lost.
class Fleet {
 public:
  explicit Fleet(const FleetSize& size)
      : message_interval(std::max(
            absl::Milliseconds(400),
            absl::Milliseconds(6) * static_cast<int>(size.instances))) {
    for (size_t i = 0; i < size.instances; ++i)
      this->members.push_back(std::make_unique<Member>(*this, size));
    for (size_t i = 0; i < size.instances; ++i) {
      bool polls = i < kPollers;
      TableFollower& follower = *this->members[i]->follower;
      follower.SetPolling(polls, polls);
      follower.Start();
      // The messages of different instances are spread over the interval.
      this->queue.Schedule(
          this->message_interval * this->random.UniformDouble(),
          [this, i] { this->SendProgress(i); });
    }
  }

  /// @return Time until all instances have a new row of this size, or nothing
  ///     if that takes longer than `longest`.
  std::optional<absl::Duration> TimeOfChange(size_t bytes,
                                             absl::Duration longest) {
    absl::Time start = this->queue.clock.Now();
    this->store.Write(bytes);
    while (this->queue.clock.Now() - start < longest) {
      this->queue.RunFor(absl::Milliseconds(10));
      if (std::all_of(this->members.begin(), this->members.end(),
                      [this](const auto& member) {
                        return member->row_version == this->store.version;
                      }))
        return this->queue.clock.Now() - start;
    }
    return std::nullopt;
  }

  /// Instances other than the pollers poll as well while no poller has reported
  /// contact with the store.
  void SetAllPolling(bool all_poll) {
    for (size_t i = kPollers; i < this->members.size(); ++i)
      this->members[i]->follower->SetPolling(all_poll, false);
  }

  EventQueue queue;
  VirtualStore store;

 private:
  static constexpr size_t kPollers = 3;

  struct Member : TableObserver {
    Member(Fleet& fleet, const FleetSize& size) : fleet(fleet) {
      this->follower = std::make_unique<TableFollower>(
          StoreTable::kConfiguration,
          std::make_unique<VirtualCaller>(fleet.queue, fleet.store,
                                          size.bytes_per_s),
          std::make_unique<VirtualTimer>(fleet.queue), fleet.codec, *this,
          fleet.log, fleet.queue.clock, fleet.random);
    }

    void OnSnapshot(StoreTable,
                    SnapshotKind,
                    const std::vector<StoreRow>& rows) override {
      this->Apply(rows);
    }
    void OnChanges(StoreTable, const std::vector<StoreRow>& rows) override {
      this->Apply(rows);
    }
    void OnStoreRestored(StoreTable, uint64_t) override {}
    void OnPolled(StoreTable table,
                  uint64_t era,
                  uint64_t after,
                  const std::vector<StoreRow>& rows) override {
      std::vector<RowMessage> messages =
          SplitIntoMessages(table, era, after, rows);
      if (messages.empty())
        messages.push_back(AnnouncementOf(table, era, rows.back().version));
      for (const RowMessage& message : messages) {
        this->fleet.SendToOthers(*this, [message](TableFollower& receiver) {
          receiver.OnPeerRows(message.era, message.after, message.up_to,
                              message.rows);
        });
      }
    }
    void OnStoreCall(StoreTable, bool) override {}
    void OnStoreRecovered(StoreTable, absl::Duration) override {}

    void Apply(const std::vector<StoreRow>& rows) {
      for (const StoreRow& row : rows)
        this->row_version = row.version;
    }

    Fleet& fleet;
    std::unique_ptr<TableFollower> follower;
    uint64_t row_version = 0;
  };

  void SendToOthers(const Member& sender,
                    const std::function<void(TableFollower&)>& deliver) {
    for (const auto& member : this->members) {
      if (member.get() == &sender || this->random.UniformInt(0, 9) == 0)
        continue;
      this->queue.Schedule(absl::Milliseconds(this->random.UniformInt(1, 20)),
                           [deliver, &member] { deliver(*member->follower); });
    }
  }

  void SendProgress(size_t index) {
    Member& sender = *this->members[index];
    TableProgress progress = sender.follower->Progress();
    this->SendToOthers(sender, [progress](TableFollower& receiver) {
      receiver.OnPeerProgress(progress);
    });
    this->queue.Schedule(this->message_interval,
                         [this, index] { this->SendProgress(index); });
  }

  const absl::Duration message_interval;
  VirtualCodec codec;
  NullLog log;
  SeededRandom random{5};
  std::vector<std::unique_ptr<Member>> members;
};

constexpr double kMegabit = 1e6 / 8;

// Guards against instances that serve by an old configuration for longer than
// operators expect, in fleets of any size, on slow links and with rows of any
// size.
BOOST_DATA_TEST_CASE(change_is_in_force_everywhere_in_time,
                     boost::unit_test::data::make(std::vector<FleetSize>{
                         {8, 1000 * kMegabit, 10'000, absl::Seconds(2)},
                         {8, 1000 * kMegabit, 1'000'000, absl::Seconds(2)},
                         {60, 10 * kMegabit, 10'000, absl::Seconds(3)},
                         {60, 10 * kMegabit, 1'100'000, absl::Seconds(3)},
                         {195, 20 * kMegabit, 10'000, absl::Seconds(3)},
                         {195, 20 * kMegabit, 1'100'000, absl::Seconds(3)}}),
                     size) {
  Fleet fleet(size);
  fleet.queue.RunFor(absl::Seconds(10));
  absl::Duration longest;
  for (int change = 0; change < 5; ++change) {
    auto time = fleet.TimeOfChange(size.row_bytes, size.bound);
    BOOST_TEST_REQUIRE(time.has_value());
    longest = std::max(longest, *time);
    fleet.queue.RunFor(absl::Milliseconds(700 * change));
  }
  BOOST_TEST_MESSAGE(size << ": " << absl::FormatDuration(longest));
}

// Guards against instances that learn of a row while they pause after a failed
// call, and go on pausing for seconds.
BOOST_AUTO_TEST_CASE(change_after_an_outage_is_in_force_in_time) {
  constexpr size_t kRowBytes = 100'000;
  const FleetSize size{60, 10 * kMegabit, kRowBytes, absl::Seconds(2)};
  Fleet fleet(size);
  fleet.queue.RunFor(absl::Seconds(10));
  for (int outage = 0; outage < 5; ++outage) {
    fleet.store.is_down = true;
    fleet.SetAllPolling(true);
    fleet.queue.RunFor(absl::Seconds(5) + absl::Milliseconds(300 * outage));
    fleet.store.is_down = false;
    fleet.SetAllPolling(false);
    BOOST_TEST(fleet.TimeOfChange(kRowBytes, size.bound).has_value());
    fleet.queue.RunFor(absl::Seconds(10));
  }
}

// Guards against a fleet in which instances miss a change for good, because the
// store was restored and gives versions out again that they have seen.
BOOST_DATA_TEST_CASE(change_after_a_restore_is_in_force_everywhere_in_time,
                     boost::unit_test::data::make(std::vector<FleetSize>{
                         {8, 1000 * kMegabit, 10'000, absl::Seconds(2)},
                         {60, 10 * kMegabit, 10'000, absl::Seconds(3)},
                         {195, 20 * kMegabit, 10'000, absl::Seconds(3)}}),
                     size) {
  Fleet fleet(size);
  fleet.queue.RunFor(absl::Seconds(10));
  for (int restore = 0; restore < 6; ++restore) {
    uint64_t copied = fleet.store.version;
    for (int change = 0; change < 3; ++change) {
      BOOST_REQUIRE(fleet.TimeOfChange(size.row_bytes, size.bound));
      fleet.queue.RunFor(absl::Milliseconds(300 * restore));
    }
    fleet.store.is_down = true;
    fleet.SetAllPolling(restore % 2 == 1);
    fleet.queue.RunFor(absl::Seconds(2));
    fleet.store.is_down = false;
    fleet.store.Restore(copied);
    fleet.SetAllPolling(false);
    fleet.queue.RunFor(absl::Milliseconds(300 * restore));
    // Versions that were in use are given out again before, at and after the
    // next change that matters.
    for (int change = 0; change < restore; ++change)
      fleet.store.Write(size.row_bytes);
    BOOST_TEST(fleet.TimeOfChange(size.row_bytes, size.bound).has_value());
  }
}

}  // namespace
}  // namespace cranberryhill::gateway
