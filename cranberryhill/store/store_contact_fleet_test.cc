// Simulates many instances that decide which of them poll the store, on a
// virtual clock.

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/store/row_message.h"
#include "cranberryhill/store/store_contact.h"
#include "cranberryhill/store/table_follower.h"
#include "cranberryhill/store/virtual_store_test.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {
namespace {

constexpr double kBytesPerS = 1.25e6;
constexpr size_t kRowBytes = 10'000;

class NullLog : public EventLog {
 public:
  void Write(const LogEvent&) override {}
};

struct FleetSize {
  size_t instances = 0;
  absl::Duration bound;  ///< For a change to be in force at all instances.
};

std::ostream& operator<<(std::ostream& out, const FleetSize& size) {
  return out << size.instances << " instances";
}

/// Instances that tell each other which versions they have. Messages are
/// delayed, and one in ten is lost.
class Fleet {
 public:
  explicit Fleet(size_t instances)
      : message_interval(
            std::max(kFirstInterval,
                     absl::Milliseconds(6) * static_cast<int>(instances))),
        members(instances) {
    for (size_t i = 0; i < instances; ++i) {
      this->queue.Schedule(kStartSpread * this->random.UniformDouble(),
                           [this, i] { this->StartInstance(i); });
    }
  }

  void StartInstance(size_t index) {
    this->members[index] = std::make_unique<Member>(*this, index);
    this->members[index]->follower->Start();
    this->SendUpdatesAfter(kFirstInterval, *this->members[index]);
  }

  void Kill(const std::vector<size_t>& indexes) {
    for (size_t index : indexes) {
      this->killed.push_back(std::move(this->members[index]));
      this->killed.back()->Stop();
    }
  }

  std::vector<size_t> Pollers() const {
    std::vector<size_t> pollers;
    for (size_t i = 0; i < this->members.size(); ++i) {
      if (this->members[i] != nullptr && this->members[i]->IsPoller())
        pollers.push_back(i);
    }
    return pollers;
  }

  bool HasNewestRow(size_t index) const {
    return this->members[index] != nullptr &&
           this->members[index]->row_version == this->store.version;
  }

  /// @return Time until all instances but `except` have a new row, or nothing
  ///     if that takes longer than `longest`.
  std::optional<absl::Duration> TimeOfChange(const std::vector<size_t>& except,
                                             absl::Duration longest) {
    absl::Time start = this->queue.clock.Now();
    this->store.Write(kRowBytes);
    while (this->queue.clock.Now() - start < longest) {
      this->queue.RunFor(absl::Milliseconds(10));
      bool all_have_it = true;
      for (size_t i = 0; i < this->members.size(); ++i) {
        bool counts =
            std::find(except.begin(), except.end(), i) == except.end();
        all_have_it = all_have_it && (!counts || this->HasNewestRow(i));
      }
      if (all_have_it)
        return this->queue.clock.Now() - start;
    }
    return std::nullopt;
  }

  EventQueue queue;
  VirtualStore store;

 private:
  static constexpr absl::Duration kStartSpread = absl::Milliseconds(300);
  // An instance that starts does not know its peers yet.
  static constexpr absl::Duration kFirstInterval = absl::Milliseconds(60);
  static constexpr absl::Duration kIdleInterval = absl::Milliseconds(400);

  struct Member : TableObserver {
    Member(Fleet& fleet, size_t index)
        : fleet(fleet),
          index(index),
          peers("entry-" + std::to_string(index),
                fleet.random.UniformInt(1, UINT64_MAX),
                fleet.queue.clock),
          contact(fleet.queue.clock),
          replicas(fleet.queue.clock) {
      this->follower = std::make_unique<TableFollower>(
          StoreTable::kConfiguration,
          std::make_unique<VirtualCaller>(fleet.queue, fleet.store, kBytesPerS),
          std::make_unique<VirtualTimer>(fleet.queue), fleet.codec, *this,
          fleet.log, fleet.queue.clock, fleet.random);
      this->contact.SetKnownPeers(fleet.members.size() - 1);
    }

    size_t Rank() const {
      return this->peers.RankByStore(this->contact.lost());
    }
    bool IsPoller() const { return this->contact.IsPoller(this->Rank()); }
    void Stop() {
      this->stopped = true;
      this->follower->Stop();
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
      if (this->IsPoller())
        this->fleet.SendRows(*this, SplitIntoMessages(table, era, after, rows));
    }
    void OnStoreCall(StoreTable, bool answered) override {
      this->contact.OnOwnCall(answered);
    }
    void OnStoreRecovered(StoreTable, absl::Duration) override {}

    void OnMessage(const forward::LoadMessage& message) {
      if (!this->peers.Merge(message, this->replicas))
        return;
      this->contact.OnPeerContact(message.store_answer_age,
                                  message.may_poll_in);
      const std::vector<uint64_t>& versions = message.table_versions;
      this->follower->OnPeerProgress(
          {versions[0], versions[1], versions[2], versions[3], versions[4]});
    }

    void Apply(const std::vector<StoreRow>& rows) {
      for (const StoreRow& row : rows)
        this->row_version = row.version;
    }

    Fleet& fleet;
    const size_t index;
    forward::PeerLoadSync peers;
    StoreContact contact;
    forward::ReplicaSet replicas;
    std::unique_ptr<TableFollower> follower;
    uint64_t row_version = 0;
    absl::Time sent_at = absl::InfinitePast();
    bool stopped = false;
  };

  template <typename Deliver>
  void SendToOthers(const Member& sender, const Deliver& deliver) {
    for (size_t i = 0; i < this->members.size(); ++i) {
      if (i == sender.index || this->random.UniformInt(0, 9) == 0)
        continue;
      this->queue.Schedule(absl::Milliseconds(this->random.UniformInt(1, 20)),
                           [this, i, deliver] {
                             if (this->members[i] != nullptr)
                               deliver(*this->members[i]);
                           });
    }
  }

  void SendRows(const Member& sender, const std::vector<RowMessage>& messages) {
    for (const RowMessage& message : messages) {
      this->SendToOthers(sender, [message](Member& receiver) {
        receiver.follower->OnPeerRows(message.era, message.after, message.up_to,
                                      message.rows);
      });
    }
  }

  void SendUpdatesAfter(absl::Duration interval, Member& member) {
    this->queue.Schedule(interval, [this, &member] {
      if (member.stopped)
        return;
      this->SendUpdate(member);
      this->SendUpdatesAfter(this->message_interval, member);
    });
  }

  void SendUpdate(Member& member) {
    member.peers.RemoveSilentPeers(member.replicas, this->message_interval);
    size_t rank = member.Rank();
    member.follower->SetPolling(member.contact.MustPoll(rank),
                                member.contact.IsPoller(rank));
    absl::Time now = this->queue.clock.Now();
    if (now - member.sent_at < kIdleInterval)
      return;
    member.sent_at = now;
    forward::LoadMessage message =
        member.peers.BuildFullMessage(member.replicas, {});
    message.may_poll_in = member.contact.TimeToPoll();
    message.store_lost = member.contact.lost();
    TableProgress progress = member.follower->Progress();
    message.table_versions = {progress.newest_row, progress.complete_after,
                              progress.seen, progress.history_lost,
                              progress.era};
    absl::Duration age = member.follower->TimeSinceAnswer();
    if (age <= absl::Seconds(3))
      message.store_answer_age = age;
    this->SendToOthers(
        member, [message](Member& receiver) { receiver.OnMessage(message); });
  }

  const absl::Duration message_interval;
  VirtualCodec codec;
  NullLog log;
  SeededRandom random{5};
  std::vector<std::unique_ptr<Member>> members;
  std::vector<std::unique_ptr<Member>> killed;
};

const std::vector<FleetSize> kFleets = {{8, absl::Seconds(2)},
                                        {61, absl::Seconds(3)},
                                        {195, absl::Seconds(4)}};

// Guards against a change that comes too late, because the instances that poll
// the store have just restarted and no other instance polls in their place.
BOOST_DATA_TEST_CASE(change_after_a_restart_of_the_pollers_is_in_time,
                     boost::unit_test::data::make(kFleets),
                     size) {
  Fleet fleet(size.instances);
  fleet.queue.RunFor(absl::Seconds(15));
  for (int restart = 0; restart < 6; ++restart) {
    std::vector<size_t> pollers = fleet.Pollers();
    BOOST_TEST(!pollers.empty());
    fleet.Kill(pollers);
    fleet.queue.RunFor(absl::Milliseconds(300));
    for (size_t index : pollers)
      fleet.StartInstance(index);
    while (!std::all_of(pollers.begin(), pollers.end(), [&fleet](size_t index) {
      return fleet.HasNewestRow(index);
    }))
      fleet.queue.RunFor(absl::Milliseconds(1));
    auto time = fleet.TimeOfChange(pollers, size.bound);
    BOOST_TEST(time.has_value());
    BOOST_TEST_MESSAGE(
        size << ": "
             << absl::FormatDuration(time.value_or(absl::InfiniteDuration())));
    fleet.queue.RunFor(absl::Seconds(9) + absl::Milliseconds(150 * restart));
  }
}

// Guards against a change that comes too late, because the instances that poll
// the store are gone.
BOOST_DATA_TEST_CASE(change_after_the_loss_of_the_pollers_is_in_time,
                     boost::unit_test::data::make(kFleets),
                     size) {
  for (int wait_ms : {0, 200, 400, 600, 800}) {
    Fleet fleet(size.instances);
    fleet.queue.RunFor(absl::Milliseconds(15130 + 3 * wait_ms));
    std::vector<size_t> pollers = fleet.Pollers();
    fleet.Kill(pollers);
    fleet.queue.RunFor(absl::Milliseconds(wait_ms));
    auto time = fleet.TimeOfChange(pollers, size.bound);
    BOOST_TEST(time.has_value());
    BOOST_TEST_MESSAGE(
        size << ", change " << wait_ms << " ms after the loss: "
             << absl::FormatDuration(time.value_or(absl::InfiniteDuration())));
  }
}

// Guards against a large fleet in which many instances poll the store after its
// start, because each of them takes its peers for too young to poll.
BOOST_AUTO_TEST_CASE(few_instances_poll_after_the_start_of_the_fleet) {
  constexpr size_t kInstances = 195;
  Fleet fleet(kInstances);
  size_t most_pollers = 0;
  for (int step = 0; step < 200; ++step) {
    fleet.queue.RunFor(absl::Milliseconds(50));
    most_pollers = std::max(most_pollers, fleet.Pollers().size());
  }
  BOOST_TEST(most_pollers >= 3U);
  BOOST_TEST(most_pollers <= 6U);
}

}  // namespace
}  // namespace cranberryhill::gateway
