// Simulates many instances that quarantine requests and are all ended at once,
// on a virtual clock.

#include "cranberryhill/store/quarantine_store.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/gateway/gateway_quarantines.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {
namespace {

constexpr std::string_view kKey = "quarantine/requests";
constexpr uint64_t kRequest = 0xfedcba9876543210;
constexpr absl::Duration kUsualTime = absl::Minutes(10);
/// By which all instances that run have read a row after their start.
constexpr absl::Duration kReadTime = absl::Milliseconds(400);

class NullLog : public EventLog {
 public:
  void Write(const LogEvent&) override {}
};

/// The clock of a machine that was booted at another time.
class OffsetClock : public Clock {
 public:
  OffsetClock(const Clock& base, absl::Duration offset)
      : base(base), offset(offset) {}

  absl::Time Now() const override { return this->base.Now() + this->offset; }

 private:
  const Clock& base;
  const absl::Duration offset;
};

class Fleet {
 public:
  explicit Fleet(size_t instances) : size(instances) { this->StartAll(); }

  struct Member : QuarantineFleet {
    explicit Member(Fleet& fleet)
        : fleet(fleet),
          clock(fleet.queue.clock,
                absl::Seconds(fleet.random.UniformInt(0, 1'000'000))),
          list(this->quarantine, this->clock),
          store(std::string(kKey),
                QuarantineEnd::kTime,
                this->list,
                *this,
                std::make_unique<VirtualTimer>(fleet.queue),
                fleet.log,
                this->clock,
                fleet.random) {
      this->CopyRowIn(absl::Milliseconds(fleet.random.UniformInt(5, 99)));
      this->After(absl::Milliseconds(fleet.random.UniformInt(5, 250)),
                  [this] { this->Tick(); });
    }

    void Tick() {
      this->store.Tick();
      this->After(absl::Milliseconds(250), [this] { this->Tick(); });
    }
    void After(absl::Duration wait, std::function<void()> event) {
      this->fleet.queue.Schedule(wait, [this, event = std::move(event)] {
        if (!this->dead)
          event();
      });
    }
    void CopyRowIn(absl::Duration wait) {
      this->After(wait, [this] {
        if (this->fleet.is_down)
          return this->CopyRowIn(absl::Milliseconds(500));
        this->copy = this->fleet.row;
        this->copy_era = this->fleet.era;
        this->store_offset = this->fleet.StoreNow() - this->clock.Now();
        this->store.ReadRow();
      });
    }
    bool Refuses(uint64_t request) {
      return this->quarantine.StatusOf(request, this->clock.Now()) ==
             CrashStatus::kQuarantined;
    }
    /// The request crashes two replicas to which this instance has sent it.
    void CrashTwice(uint64_t request) {
      for (int i = 0; i < 2; ++i) {
        CrashedStream stream{request, this->clock.Now(), true};
        this->quarantine.OnEngineCrashed({&stream, 1}, this->clock.Now());
      }
    }

    std::optional<size_t> InstanceCount() const override {
      return this->copy ? std::optional(this->fleet.size) : std::nullopt;
    }
    std::optional<Row> FindRow(std::string_view) const override {
      return this->copy;
    }
    uint64_t StoreEra() const override { return this->copy_era; }
    std::optional<absl::Time> StoreTime() const override {
      return this->copy ? std::optional(this->clock.Now() + this->store_offset)
                        : std::nullopt;
    }
    void CommitRow(Transaction transaction, CommitCallback callback) override {
      this->fleet.queue.Schedule(
          absl::Milliseconds(7), [this, transaction = std::move(transaction),
                                  callback = std::move(callback)] {
            CommitState state = this->fleet.Commit(transaction);
            if (this->dead)
              return;
            if (state != CommitState::kUnavailable)
              this->copy = this->fleet.row;
            callback({state, ""});
          });
    }
    void RefreshRows() override { this->CopyRowIn(absl::Milliseconds(5)); }

    Fleet& fleet;
    bool dead = false;
    OffsetClock clock;
    std::optional<Row> copy;
    uint64_t copy_era = 0;
    absl::Duration store_offset;
    CrashQuarantine quarantine{CrashQuarantinePolicy{}};
    RequestQuarantineList list;
    QuarantineStore store;
  };

  CommitState Commit(const Transaction& transaction) {
    ++this->calls;
    if (this->is_down)
      return CommitState::kUnavailable;
    if (this->row.version != transaction.checks[0].version)
      return CommitState::kConflict;
    this->SetRow(transaction.puts[0].value);
    return CommitState::kCommitted;
  }

  void SetRow(const std::string& value) {
    this->row = {std::string(kKey), ++this->row_version, value};
    // Some instances are between two polls of the table.
    for (auto& member : this->members) {
      member->CopyRowIn(absl::Milliseconds(
          this->random.UniformInt(0, 2) == 0 ? this->random.UniformInt(20, 2000)
                                             : 10));
    }
  }

  /// The store goes back to an older copy.
  void Restore(const Row& copy) {
    this->row = copy;
    ++this->era;
    for (auto& member : this->members)
      member->CopyRowIn(absl::Milliseconds(this->random.UniformInt(5, 500)));
  }

  absl::Time StoreNow() const {
    return this->queue.clock.Now() + absl::Hours(3);
  }

  /// An instance quarantines the request, and the others learn of it.
  void Quarantine(uint64_t request) {
    Member& first = *this->members[this->random.UniformInt(0, this->size - 1)];
    first.CrashTwice(request);
    for (auto& member : this->members) {
      member->After(absl::Milliseconds(this->random.UniformInt(5, 300)),
                    [&member = *member, request] {
                      CrashEntry entry{request, 2};
                      member.quarantine.Merge({&entry, 1}, member.clock.Now());
                    });
    }
  }

  void StartAll() {
    for (size_t i = 0; i < this->size; ++i)
      this->members.push_back(std::make_unique<Member>(*this));
  }

  /// Ends all instances at once and starts others.
  void RestartAll() {
    for (auto& member : this->members) {
      member->dead = true;
      member->store.Stop();
      this->retired.push_back(std::move(member));
    }
    this->members.clear();
    this->StartAll();
    this->queue.RunFor(kReadTime);
  }

  size_t Refusing(uint64_t request) {
    return std::count_if(
        this->members.begin(), this->members.end(),
        [request](const auto& member) { return member->Refuses(request); });
  }

  void RunFor(absl::Duration duration) { this->queue.RunFor(duration); }

  SeededRandom random{20261206};
  EventQueue queue;
  NullLog log;
  const size_t size;
  Row row{std::string(kKey), kAbsentVersion, ""};
  uint64_t row_version = 0;
  uint64_t era = 1;
  bool is_down = false;
  size_t calls = 0;
  std::vector<std::unique_ptr<Member>> members;

 private:
  std::vector<std::unique_ptr<Member>> retired;
};

// Guards against a request that crashes further replicas after the loss of all
// instances, and against a write by each instance.
BOOST_DATA_TEST_CASE(quarantine_outlasts_the_loss_of_all_instances,
                     boost::unit_test::data::make({1, 8, 60, 195}),
                     instances) {
  Fleet fleet(instances);
  fleet.RunFor(absl::Seconds(1));
  fleet.Quarantine(kRequest);
  // The first of many random pauses is short.
  fleet.RunFor(absl::Seconds(1));
  fleet.RestartAll();
  BOOST_TEST(fleet.Refusing(kRequest) == fleet.size);
  fleet.RunFor(absl::Minutes(2));
  BOOST_TEST(fleet.Refusing(kRequest) == fleet.size);
  BOOST_TEST(fleet.calls <= 8);
  BOOST_TEST_MESSAGE(instances << " instances: " << fleet.calls << " writes");
}

// Guards against an entry whose time begins anew with each restart.
BOOST_AUTO_TEST_CASE(quarantine_ends_in_time_whatever_restarts) {
  Fleet fleet(8);
  fleet.RunFor(absl::Seconds(1));
  absl::Time begun_at = fleet.queue.clock.Now();
  fleet.Quarantine(kRequest);
  fleet.RunFor(absl::Seconds(2));
  while (fleet.queue.clock.Now() - begun_at < kUsualTime - absl::Seconds(80)) {
    fleet.RunFor(absl::Seconds(70));
    fleet.RestartAll();
    BOOST_TEST(fleet.Refusing(kRequest) == fleet.size);
  }
  fleet.RunFor(begun_at + kUsualTime - fleet.queue.clock.Now() -
               absl::Seconds(1));
  BOOST_TEST(fleet.Refusing(kRequest) == fleet.size);
  fleet.RunFor(absl::Seconds(2));
  BOOST_TEST(fleet.Refusing(kRequest) == 0U);
  fleet.RestartAll();
  BOOST_TEST(fleet.Refusing(kRequest) == 0U);
}

// Guards against a row that grows without bound, and against keeping the oldest
// entries instead of the newest.
BOOST_AUTO_TEST_CASE(row_keeps_the_newest_entries) {
  constexpr uint64_t kRequests = 200;
  constexpr size_t kMaxRowBytes = 4096;
  Fleet fleet(8);
  fleet.RunFor(absl::Seconds(1));
  for (uint64_t request = 0; request < kRequests; ++request) {
    fleet.Quarantine(kRequest + request);
    fleet.RunFor(absl::Seconds(1));
  }
  BOOST_TEST(fleet.row.value.size() <= kMaxRowBytes);
  size_t calls = fleet.calls;
  fleet.RunFor(absl::Seconds(60));
  BOOST_TEST(fleet.calls <= calls + 2);
  fleet.RestartAll();
  BOOST_TEST(fleet.Refusing(kRequest + kRequests - 1) == fleet.size);
  BOOST_TEST(fleet.Refusing(kRequest + kRequests - 60) == fleet.size);
  BOOST_TEST(fleet.Refusing(kRequest) == 0U);
}

// Guards against a store that is overloaded when it comes back, and against a
// quarantine that is not written because the store was away.
BOOST_DATA_TEST_CASE(quarantine_is_written_when_the_store_is_back,
                     boost::unit_test::data::make({1, 60, 195}),
                     instances) {
  Fleet fleet(instances);
  fleet.RunFor(absl::Seconds(1));
  fleet.is_down = true;
  fleet.Quarantine(kRequest);
  fleet.RunFor(absl::Seconds(60));
  size_t calls_while_away = fleet.calls;
  // A doubling pause of 1 to 16 s.
  BOOST_TEST(calls_while_away <= 10 * fleet.size);
  fleet.is_down = false;
  fleet.RunFor(absl::Seconds(40));
  fleet.RestartAll();
  BOOST_TEST(fleet.Refusing(kRequest) == fleet.size);
  BOOST_TEST_MESSAGE(instances << " instances: " << calls_while_away
                               << " calls in 60 s without the store, "
                               << fleet.calls - calls_while_away << " after");
}

// Guards against overwriting the row of a later release, and against a row that
// cannot be read and keeps the others from being written.
BOOST_AUTO_TEST_CASE(row_of_another_format_is_left_alone) {
  Fleet fleet(3);
  const std::string later = R"({"format":2,"entries":"other"})";
  fleet.SetRow(later);
  fleet.RunFor(absl::Seconds(3));
  fleet.Quarantine(kRequest);
  fleet.RunFor(absl::Seconds(10));
  BOOST_TEST(fleet.row.value == later);
  BOOST_TEST(fleet.calls == 0U);
  BOOST_TEST(fleet.Refusing(kRequest) == fleet.size);
  for (const char* damaged :
       {"", "[]", R"({"format":1})", R"({"format":1,"entries":[3]})",
        R"({"format":1,"entries":[{"id":"xyz","until_ms":1}]})"}) {
    fleet.SetRow(damaged);
    fleet.RunFor(absl::Seconds(10));
    fleet.RestartAll();
    fleet.Quarantine(kRequest);
    fleet.RunFor(absl::Seconds(10));
    BOOST_TEST(fleet.row.value != damaged);
    BOOST_TEST(fleet.Refusing(kRequest) == fleet.size);
  }
}

// Guards against an entry that lasts for good because the clock of the store
// has been set back.
BOOST_AUTO_TEST_CASE(entry_that_ends_late_is_cut_to_the_usual_time) {
  Fleet fleet(3);
  fleet.SetRow(
      nlohmann::json({{"format", 1},
                      {"entries",
                       {{{"id", "fedcba9876543210"},
                         {"until_ms", absl::ToUnixMillis(fleet.StoreNow() +
                                                         absl::Hours(5))}}}}})
          .dump());
  fleet.RunFor(absl::Seconds(3));
  BOOST_TEST(fleet.Refusing(kRequest) == fleet.size);
  fleet.RunFor(kUsualTime);
  BOOST_TEST(fleet.Refusing(kRequest) == 0U);
}

// Guards against a quarantine that is lost with what the store has lost.
BOOST_AUTO_TEST_CASE(quarantine_is_written_again_after_a_restore) {
  Fleet fleet(8);
  fleet.RunFor(absl::Seconds(1));
  Row before = fleet.row;
  fleet.Quarantine(kRequest);
  fleet.RunFor(absl::Seconds(5));
  BOOST_TEST(fleet.row.version != before.version);
  fleet.Restore(before);
  fleet.RunFor(absl::Seconds(5));
  fleet.RestartAll();
  BOOST_TEST(fleet.Refusing(kRequest) == fleet.size);
}

/// A list without an exchange between instances.
struct PartList : QuarantineList {
  std::vector<QuarantinedItem> Items() const override { return this->items; }
  bool Has(uint64_t id) const {
    return std::any_of(this->items.begin(), this->items.end(),
                       [id](const auto& item) { return item.id == id; });
  }
  void Restore(const QuarantinedItem& item) override {
    if (!this->is_sound && !this->Has(item.id))
      this->items.push_back(item);
  }

  std::vector<QuarantinedItem> items;
  bool is_sound = false;
};

/// The store of parts at a member of a fleet that writes no requests.
struct PartMember {
  explicit PartMember(Fleet& fleet)
      : store(std::string(kKey),
              QuarantineEnd::kTimeOrSoundAnswer,
              this->list,
              *fleet.members[0],
              std::make_unique<VirtualTimer>(fleet.queue),
              fleet.log,
              fleet.members[0]->clock,
              fleet.random) {}

  PartList list;
  QuarantineStore store;
};

void TickFor(Fleet& fleet,
             const std::vector<PartMember*>& members,
             absl::Duration time) {
  for (absl::Duration t; t < time; t += absl::Milliseconds(250)) {
    for (PartMember* member : members)
      member->store.Tick();
    fleet.RunFor(absl::Milliseconds(250));
  }
}

// Guards against a part that is refused again although an answer has shown it
// to be sound: at the instance that has seen it, and at one that starts later.
BOOST_AUTO_TEST_CASE(part_that_is_cleared_does_not_come_back) {
  Fleet fleet(1);
  fleet.members[0]->store.Stop();
  fleet.RunFor(absl::Seconds(1));
  PartMember own(fleet);
  PartMember peer(fleet);
  own.list.items = {{1, kUsualTime}, {2, kUsualTime}};
  TickFor(fleet, {&own, &peer}, absl::Seconds(3));
  BOOST_TEST(peer.list.items.size() == 2U);
  own.list.items.erase(own.list.items.begin());
  TickFor(fleet, {&own, &peer}, absl::Seconds(3));
  // The peer has not heard of the answer; it does not write the part again.
  BOOST_TEST(peer.list.items.size() == 2U);
  own.list.items.push_back({3, kUsualTime});
  TickFor(fleet, {&own, &peer}, absl::Seconds(3));
  BOOST_TEST(own.list.items.size() == 2U);
  BOOST_TEST(!own.list.Has(1));
  PartMember later(fleet);
  TickFor(fleet, {&later}, absl::Seconds(3));
  BOOST_TEST(later.list.items.size() == 2U);
  BOOST_TEST(!later.list.Has(1));
  size_t calls = fleet.calls;
  TickFor(fleet, {&own, &peer, &later}, absl::Seconds(30));
  BOOST_TEST(fleet.calls == calls);
}

// Guards against a verdict that outlives all instances that could correct it.
BOOST_AUTO_TEST_CASE(part_that_may_be_sound_is_not_stored) {
  Fleet fleet(1);
  fleet.members[0]->store.Stop();
  fleet.RunFor(absl::Seconds(1));
  PartMember own(fleet);
  own.list.items = {{1, kUsualTime, false}, {2, kUsualTime, true}};
  TickFor(fleet, {&own}, absl::Seconds(3));
  PartMember later(fleet);
  TickFor(fleet, {&later}, absl::Seconds(3));
  BOOST_TEST(!later.list.Has(1));
  BOOST_TEST(later.list.Has(2));
  own.list.items[0].is_certain = true;
  TickFor(fleet, {&own}, absl::Seconds(3));
  PartMember last(fleet);
  TickFor(fleet, {&last}, absl::Seconds(3));
  BOOST_TEST(last.list.Has(1));
}

// Guards against an entry that stays because the instance that knows the part
// to be sound never takes it over.
BOOST_AUTO_TEST_CASE(part_that_is_known_to_be_sound_is_removed) {
  Fleet fleet(1);
  fleet.members[0]->store.Stop();
  fleet.RunFor(absl::Seconds(1));
  PartMember own(fleet);
  PartMember sound(fleet);
  sound.list.is_sound = true;
  own.list.items = {{1, kUsualTime}};
  TickFor(fleet, {&own}, absl::Seconds(2));
  TickFor(fleet, {&sound}, absl::Seconds(2));
  PartMember later(fleet);
  TickFor(fleet, {&later}, absl::Seconds(2));
  BOOST_TEST(later.list.items.empty());
}

}  // namespace
}  // namespace cranberryhill::gateway
