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
#include "cranberryhill/gateway/row_message.h"
#include "cranberryhill/gateway/table_follower.h"
#include "cranberryhill/gateway/virtual_time_test.h"

namespace cranberryhill::gateway {
namespace {

/// A store with one row. Answers a poll when the row is newer than `after`, or
/// with an empty page when the time of the poll is over.
class VirtualStore {
 public:
  void Write(size_t bytes) {
    ++this->version;
    this->value_bytes = bytes;
    for (auto& waiting : std::exchange(this->waiting, {}))
      waiting();
  }

  /// Goes back to a version, with which an old row comes back. Open calls fail.
  void Restore(uint64_t version) {
    ++this->era;
    this->version = version;
    this->waiting.clear();
  }

  uint64_t era = 1;
  uint64_t version = 1;
  size_t value_bytes = 100;
  bool is_down = false;                        // Refuses all calls.
  std::vector<std::function<void()>> waiting;  // Run when the row is written.
};

/// Encodes calls as "read" and "watch AFTER WAIT_MS", and pages as "VERSION
/// ROW_BYTES", followed by the bytes of the row.
class VirtualCodec : public StoreCodec {
 public:
  http1::OutgoingRequest EncodeRead(StoreTable,
                                    std::string_view) const override {
    http1::OutgoingRequest request;
    request.head.target = "read";
    return request;
  }
  http1::OutgoingRequest EncodeWatch(StoreTable,
                                     uint64_t after,
                                     absl::Duration wait) const override {
    http1::OutgoingRequest request;
    request.head.target = "watch " + std::to_string(after) + " " +
                          std::to_string(absl::ToInt64Milliseconds(wait));
    return request;
  }
  http1::OutgoingRequest EncodeWrite(StoreTable,
                                     std::string_view,
                                     std::string_view,
                                     uint64_t) const override {
    return {};
  }
  std::optional<uint64_t> DecodeEra(
      const http1::HeaderList& headers) const override {
    auto era = headers.Find("era");
    return era ? std::optional(
                     std::strtoull(std::string(*era).c_str(), nullptr, 10))
               : std::nullopt;
  }
  Result<StorePage> DecodePage(std::string_view body) const override {
    StorePage page;
    char* end = nullptr;
    std::string text(body.substr(0, 40));
    page.version = std::strtoull(text.c_str(), &end, 10);
    size_t bytes = std::strtoull(end, nullptr, 10);
    if (bytes > 0)
      page.rows.push_back({"config", std::string(bytes, 'x'), page.version});
    return page;
  }
  Result<uint64_t> DecodeWrite(std::string_view) const override { return 0; }
  Result<forward::ReplicaEntry> DecodeReplica(const StoreRow&) const override {
    return forward::ReplicaEntry{};
  }
  bool IsConfiguration(const StoreRow&) const override { return true; }
  Result<forward::Configuration> DecodeConfiguration(
      std::string_view) const override {
    return forward::Configuration{};
  }
};

/// Calls the store over a link that carries one byte after the other.
class VirtualCaller : public HttpCaller {
 public:
  VirtualCaller(EventQueue& queue, VirtualStore& store, double bytes_per_s)
      : queue(queue), store(store), bytes_per_s(bytes_per_s) {}

  void Call(const http1::OutgoingRequest& request,
            absl::Duration timeout,
            Callback done) override {
    this->done = std::move(done);
    this->answer_begun = false;
    uint64_t call = ++this->current;
    uint64_t after = 0;
    absl::Duration wait = absl::ZeroDuration();
    const std::string& target = request.head.target;
    if (target.starts_with("watch ")) {
      char* end = nullptr;
      after = std::strtoull(target.c_str() + 6, &end, 10);
      wait = absl::Milliseconds(std::strtoll(end, nullptr, 10));
    }
    this->queue.Schedule(kStoreTime, [this, call, after, wait] {
      this->Answer(call, after, wait);
    });
    this->queue.Schedule(timeout, [this, call] {
      if (this->IsCurrent(call) && !this->answer_begun)
        this->Finish({0, "", "timeout"});
    });
  }
  void Cancel() override {
    this->done = nullptr;
    this->answer_begun = false;
    ++this->current;
  }
  bool IsReceiving() const override { return this->answer_begun; }
  size_t received_bytes() const override { return 0; }

 private:
  static constexpr absl::Duration kStoreTime = absl::Milliseconds(4);

  bool IsCurrent(uint64_t call) const {
    return this->done != nullptr && call == this->current;
  }

  void Answer(uint64_t call, uint64_t after, absl::Duration wait) {
    if (!this->IsCurrent(call) || this->answer_begun)
      return;
    if (this->store.is_down)
      return this->Finish({503, "", "down"});
    if (after > this->store.version)
      return this->Finish({410, "", ""});
    bool has_row = this->store.version > after;
    if (!has_row && wait > absl::ZeroDuration()) {
      this->store.waiting.push_back(
          [=, this] { this->Answer(call, after, absl::ZeroDuration()); });
      this->queue.Schedule(
          wait, [=, this] { this->Answer(call, after, absl::ZeroDuration()); });
      return;
    }
    size_t bytes = has_row ? this->store.value_bytes : 0;
    this->answer_begun = true;
    uint64_t era = this->store.era;
    std::string page =
        std::to_string(this->store.version) + " " + std::to_string(bytes);
    this->queue.Schedule(
        absl::Seconds(static_cast<double>(bytes) / this->bytes_per_s),
        [this, call, page, era] {
          if (this->IsCurrent(call))
            this->Finish({200, page, ""}, era);
        });
  }

  void Finish(HttpResult result) {
    this->Finish(std::move(result), this->store.era);
  }

  void Finish(HttpResult result, uint64_t era) {
    this->answer_begun = false;
    if (result.status != 0)
      result.headers.Add("era", std::to_string(era));
    std::exchange(this->done, nullptr)(std::move(result));
  }

  EventQueue& queue;
  VirtualStore& store;
  const double bytes_per_s;
  Callback done;
  bool answer_begun = false;
  uint64_t current = 0;
};

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
