// Simulates many instances whose streams begin at replicas of several software
// versions, and which are all killed at once, on a virtual clock.

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/store/virtual_row_store_test.h"
#include "cranberryhill/store/virtual_time_test.h"
#include "cranberryhill/stream_versions/stream_version_store.h"

namespace cranberryhill::gateway {
namespace {

constexpr std::string_view kService = "assistant";
/// What the users' store performs per second: `partition-writes-s` in each part
/// and `reads-per-s` of their deployment.
constexpr size_t kMaxWritesPerSecond = 200;
constexpr size_t kMaxReadsPerSecond = 2000;
constexpr double kStreamsPerSecond = 150;
/// What a caller's time leaves for the search.
constexpr absl::Duration kCallersWait = absl::Milliseconds(1700);

class NullLog : public EventLog {
 public:
  void Write(const LogEvent&) override {}
};

/// How streams that were taken up were found.
struct Tally {
  size_t right = 0;
  size_t wrong = 0;
  size_t unknown = 0;
  size_t unknown_listed = 0;  // Of these, of versions that the registry lists.

  double FoundShare() const {
    size_t all = this->right + this->wrong + this->unknown;
    return all == 0
               ? 0
               : static_cast<double>(this->right) / static_cast<double>(all);
  }
};

class Fleet {
 public:
  explicit Fleet(size_t instances,
                 std::vector<std::string> versions,
                 double streams_per_s = kStreamsPerSecond)
      : registered(std::move(versions)),
        size(instances),
        streams_per_s(streams_per_s) {
    this->Start();
    this->ScheduleStream();
  }

  void RunFor(absl::Duration duration) { this->queue.RunFor(duration); }

  /// The store goes back to an older copy; the instances read their tables
  /// again within half a second.
  void Restore(const std::map<std::string, std::string>& rows,
               const std::map<std::string, Row>& service_rows) {
    this->store.Restore(rows);
    this->service_rows = service_rows;
    for (auto& member : this->members)
      member->CopyRowsIn(absl::Milliseconds(this->random.UniformInt(5, 500)));
  }

  /// Ends all instances at once; what they know is lost.
  void KillAll() {
    for (auto& member : this->members) {
      member->dead = true;
      member->versions.Stop();
      this->retired.push_back(std::move(member));
    }
    this->members.clear();
    this->killed_at = this->queue.clock.Now();
  }

  void Start() {
    for (size_t i = 0; i < this->size; ++i) {
      this->members.push_back(std::make_unique<Member>(*this));
      this->members.back()->Start();
    }
  }

  /// Takes up the streams that began within `age` before the kill, at any
  /// instance and within a second.
  void TakeUp(absl::Duration age) {
    for (const auto& [attempt, stream] : this->streams) {
      if (this->killed_at - stream.began_at > age ||
          stream.began_at > this->killed_at)
        continue;
      bool old = this->killed_at - stream.began_at > absl::Seconds(1);
      this->queue.Schedule(
          absl::Seconds(1) * this->random.UniformDouble(),
          [this, attempt = attempt, version = stream.version, old] {
            this->Find(attempt, version, old ? this->older : this->newer);
          });
    }
  }

  void Find(const std::string& attempt,
            const std::string& version,
            Tally& tally) {
    Member& member = this->Any();
    absl::Time asked_at = this->queue.clock.Now();
    member.versions.Find(
        kService, attempt, kCallersWait,
        [this, version, asked_at,
         &tally](const std::optional<StreamOrigin>& found) {
          this->longest_find =
              std::max(this->longest_find, this->queue.clock.Now() - asked_at);
          if (found) {
            ++(found->version == version ? tally.right : tally.wrong);
            return;
          }
          ++tally.unknown;
          bool is_listed =
              std::find(this->registered.begin(), this->registered.end(),
                        version) != this->registered.end();
          tally.unknown_listed += is_listed ? 1 : 0;
        });
  }

  /// Kills all instances and takes up their streams.
  /// @param after What the registry lists when they are back.
  void KillAndTakeUp(absl::Duration away, std::vector<std::string> after) {
    this->KillAll();
    this->RunFor(away / 2);
    this->registered = std::move(after);
    this->RunFor(away / 2);
    this->Start();
    this->RunFor(absl::Milliseconds(300));
    this->TakeUp(absl::Seconds(4));
    this->RunFor(absl::Seconds(3));
  }

  /// Has a share of the streams break off within their first second, and their
  /// callers take them up at another instance soon after.
  /// @param latest How long after their first event they do so at most.
  void BreakStreams(double share, absl::Duration latest = absl::Seconds(1)) {
    this->broken_share = share;
    this->latest_break = latest;
  }

  /// Has a share of the requests go to a silent replica of another version
  /// first, and a share of the writes be performed up to 6 s later, without an
  /// answer.
  void LoseWritesBesideSilentReplicas(double silent_share, double late_share) {
    this->silent_share = silent_share;
    this->store.delay_update = [this, late_share](const std::string&) {
      return this->random.UniformDouble() < late_share
                 ? absl::Seconds(1 + 5 * this->random.UniformDouble())
                 : absl::ZeroDuration();
    };
  }

  void CheckCalls() const {
    for (const auto& [part, writes] : this->store.writes_by_part) {
      BOOST_TEST(VirtualRowStore::MostPerSecond(writes, absl::InfinitePast()) <=
                 kMaxWritesPerSecond);
    }
    BOOST_TEST(VirtualRowStore::MostPerSecond(this->store.reads,
                                              absl::InfinitePast()) <=
               kMaxReadsPerSecond);
    BOOST_TEST(this->store.refused_writes == 0);
    BOOST_TEST_MESSAGE(
        "found of streams over 1 s old "
        << this->older.FoundShare() << " of "
        << this->older.right + this->older.unknown << ", younger "
        << this->newer.FoundShare() << " of "
        << this->newer.right + this->newer.unknown << "; most writes/s "
        << VirtualRowStore::MostPerSecond(this->store.writes,
                                          absl::InfinitePast())
        << ", most reads/s "
        << VirtualRowStore::MostPerSecond(this->store.reads,
                                          absl::InfinitePast())
        << ", rows " << this->store.rows.size() << ", largest write "
        << this->store.largest_write << ", longest hold " << this->longest_hold
        << ", longest queue " << this->store.longest_queue
        << ", writes of service rows " << this->service_row_writes);
  }

  SeededRandom random{20261204};
  EventQueue queue;
  VirtualRowStore store{queue};
  std::map<std::string, Row> service_rows;  // In the store.
  std::vector<std::string> registered;
  Tally older;  // Streams that began over a second before the kill.
  Tally newer;
  absl::Duration longest_find;
  absl::Duration longest_hold;  // Of a first event.
  size_t attempts = 0;
  size_t service_row_writes = 0;
  size_t service_row_reads = 0;
  size_t taken_up = 0;

 private:
  struct Stream {
    std::string version;
    absl::Time began_at;
  };

  struct Member : StreamVersionFleet {
    explicit Member(Fleet& fleet)
        : fleet(fleet),
          versions(this->MakeChannels(),
                   fleet.codec,
                   *this,
                   fleet.log,
                   fleet.queue.clock,
                   fleet.random) {}

    std::unique_ptr<HttpCaller> MakeCaller() {
      return std::make_unique<VirtualRowCaller>(
          this->fleet.queue, this->fleet.store, [&fleet = this->fleet] {
            return fleet.random.UniformInt(0, 99) == 0;
          });
    }
    std::unique_ptr<DelayTimer> MakeTimer() {
      return std::make_unique<VirtualTimer>(this->fleet.queue);
    }

    StoredStreamVersions::Channels MakeChannels() {
      StoredStreamVersions::Channels channels;
      channels.writer = this->MakeCaller();
      for (int i = 0; i < 3; ++i)
        channels.readers.push_back(this->MakeCaller());
      channels.sweeper = this->MakeCaller();
      channels.write_timer = this->MakeTimer();
      channels.find_timer = this->MakeTimer();
      channels.service_row_timer = this->MakeTimer();
      return channels;
    }

    void Start() {
      this->CopyRowsIn(
          absl::Milliseconds(this->fleet.random.UniformInt(5, 99)));
      this->After(absl::Milliseconds(this->fleet.random.UniformInt(5, 250)),
                  [this] { this->Tick(); });
    }
    void Tick() {
      this->view = this->fleet.registered;
      for (const std::string& version : this->view)
        this->versions.OnRegistered(kService, version);
      this->versions.Tick();
      this->After(absl::Milliseconds(250), [this] { this->Tick(); });
    }
    void After(absl::Duration wait, std::function<void()> event) {
      this->fleet.queue.Schedule(wait, [this, event = std::move(event)] {
        if (!this->dead)
          event();
      });
    }
    void CopyRowsIn(absl::Duration wait) {
      this->After(wait, [this] { this->CopyRows(); });
    }
    void CopyRows() {
      this->copy = this->fleet.service_rows;
      this->copy_era = this->fleet.store.era;
    }

    std::optional<size_t> InstanceCount() const override {
      return this->copy ? std::optional(this->fleet.size) : std::nullopt;
    }
    bool IsRegistryCurrent() const override { return true; }
    std::optional<Row> FindServiceRow(std::string_view key) const override {
      if (!this->copy)
        return std::nullopt;
      auto row = this->copy->find(std::string(key));
      return row == this->copy->end()
                 ? Row{std::string(key), kAbsentVersion, ""}
                 : row->second;
    }
    uint64_t StoreEra() const override { return this->copy_era; }
    void ReadServiceRow(std::string_view key,
                        absl::Duration wait,
                        ServiceRowReader::Callback done) override {
      ++this->fleet.service_row_reads;
      if (this->fleet.store.is_silent)
        return this->After(wait, [done] { done(std::nullopt); });
      this->After(absl::Milliseconds(4), [this, key = std::string(key), done] {
        ServiceRowReading reading;
        reading.era = this->fleet.store.era;
        auto row = this->fleet.service_rows.find(key);
        if (row != this->fleet.service_rows.end())
          reading.value = row->second.value;
        done(reading);
      });
    }
    void CommitServiceRow(Transaction transaction,
                          CommitCallback callback) override {
      this->fleet.queue.Schedule(
          absl::Milliseconds(7), [this, transaction = std::move(transaction),
                                  callback = std::move(callback)] {
            bool committed = this->fleet.Commit(transaction);
            this->CopyRows();
            if (!this->dead)
              callback(
                  {committed ? CommitState::kCommitted : CommitState::kConflict,
                   ""});
          });
    }
    void RefreshServiceRows() override {
      this->CopyRowsIn(
          absl::Milliseconds(this->fleet.random.UniformInt(5, 20)));
    }

    Fleet& fleet;
    bool dead = false;
    std::vector<std::string> view;  // Versions that the registry lists.
    std::optional<std::map<std::string, Row>> copy;
    uint64_t copy_era = 0;  // Of the store.
    StoredStreamVersions versions;
  };

  Member& Any() {
    return *this->members[this->random.UniformInt(0, this->members.size() - 1)];
  }

  bool Commit(const Transaction& transaction) {
    ++this->service_row_writes;
    const RowPut& put = transaction.puts[0];
    Row& row = this->service_rows[put.key];
    if (row.version != transaction.checks[0].version)
      return false;
    row = {put.key, ++this->row_version, put.value};
    // A third of the instances are between two polls of the control table.
    for (auto& member : this->members) {
      member->CopyRowsIn(
          this->random.UniformInt(0, 2) == 0
              ? absl::Milliseconds(this->random.UniformInt(20, 12'000))
              : absl::Milliseconds(10));
    }
    return true;
  }

  void ScheduleStream() {
    this->queue.Schedule(
        absl::Seconds(2 / this->streams_per_s) * this->random.UniformDouble(),
        [this] {
          if (!this->members.empty())
            this->BeginStream(this->Any());
          this->ScheduleStream();
        });
  }

  void BeginStream(Member& member) {
    if (member.view.empty())
      return;
    std::string attempt = "attempt-" + std::to_string(++this->attempts);
    const std::string& version =
        member.view[this->random.UniformInt(0, member.view.size() - 1)];
    if (this->random.UniformDouble() < this->silent_share) {
      const std::string& other =
          member.view[this->random.UniformInt(0, member.view.size() - 1)];
      member.versions.Prepare(kService, attempt, other,
                              RecordRule::kAwayFromBase, [](bool) {});
      return member.After(absl::Milliseconds(this->random.UniformInt(20, 600)),
                          [=, this, &member] {
                            this->PrepareStream(member, attempt, version);
                          });
    }
    this->PrepareStream(member, attempt, version);
  }

  void PrepareStream(Member& member,
                     const std::string& attempt,
                     const std::string& version) {
    absl::Time sent_at = this->queue.clock.Now();
    member.versions.Prepare(
        kService, attempt, version, RecordRule::kAwayFromBase,
        [=, this, &member](bool prepared) {
          // The event waits for its record otherwise, and the caller gives up.
          if (!prepared && this->silent_share > 0)
            return;
          this->longest_hold =
              std::max(this->longest_hold, this->queue.clock.Now() - sent_at);
          this->OnFirstEvent(member, attempt, version);
        });
  }

  void OnFirstEvent(Member& member,
                    const std::string& attempt,
                    const std::string& version) {
    this->streams[attempt] = {version, this->queue.clock.Now()};
    member.versions.OnStreamBegan(kService, attempt, version);
    if (this->random.UniformDouble() >= this->broken_share)
      return;
    this->queue.Schedule(
        absl::Milliseconds(this->random.UniformInt(
            50, absl::ToInt64Milliseconds(this->latest_break))),
        [this, attempt, version] {
          ++this->taken_up;
          this->Find(attempt, version, this->newer);
        });
  }

  const size_t size;
  const double streams_per_s;
  double broken_share = 0;
  absl::Duration latest_break = absl::Seconds(1);
  double silent_share = 0;
  NullLog log;
  VirtualRowCodec codec;
  std::vector<std::unique_ptr<Member>> members;
  std::vector<std::unique_ptr<Member>> retired;
  std::map<std::string, Stream> streams;
  absl::Time killed_at;
  uint64_t row_version = 0;
};

const std::vector<size_t> kFleetSizes = {8, 60, 195};

// Guards against streams that go on at another version, or are all refused,
// after all instances were killed at once and lost what they knew.
BOOST_DATA_TEST_CASE(versions_are_found_after_a_kill_of_all_instances,
                     boost::unit_test::data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances, {"v1", "v2"});
  for (int kill = 0; kill < 6; ++kill) {
    fleet.RunFor(absl::Seconds(5) +
                 absl::Seconds(5) * fleet.random.UniformDouble());
    fleet.KillAndTakeUp(absl::Seconds(2), {"v1", "v2"});
  }
  BOOST_TEST(fleet.older.wrong + fleet.newer.wrong == 0);
  // Half of the share of new streams that begin, which is 1 here.
  BOOST_TEST(fleet.older.FoundShare() > 0.5);
  BOOST_TEST(fleet.newer.FoundShare() > 0.5);
  BOOST_TEST(fleet.longest_find <= kCallersWait);
  fleet.CheckCalls();
}

// Guards against streams that are refused though the instances that began them
// run on: take-ups that come one after the other at an instance, with no read
// before them, and soon after their first event.
BOOST_DATA_TEST_CASE(streams_that_break_off_young_are_found_elsewhere,
                     boost::unit_test::data::make({8, 61, 66, 195}),
                     instances) {
  Fleet fleet(static_cast<size_t>(instances), {"v1", "v2"}, 400);
  fleet.RunFor(absl::Seconds(5));
  fleet.BreakStreams(0.3);
  fleet.RunFor(absl::Seconds(20));
  fleet.BreakStreams(0);
  fleet.RunFor(absl::Seconds(3));
  BOOST_TEST(fleet.taken_up > 500);
  BOOST_TEST(fleet.newer.wrong == 0);
  // Half of the share of new streams that begin, which is 1 here.
  BOOST_TEST(fleet.newer.FoundShare() > 0.5);
  fleet.CheckCalls();
  BOOST_TEST_MESSAGE(instances << " instances: " << fleet.taken_up
                               << " taken up, reads "
                               << fleet.store.reads.size() << ", writes "
                               << fleet.store.writes.size() << ", longest find "
                               << fleet.longest_find);
}

// Guards against streams of a version that went while all instances were away,
// and which go on at the version that is left.
BOOST_DATA_TEST_CASE(streams_of_a_version_that_has_gone_mislead_nobody,
                     boost::unit_test::data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances, {"v1"});
  fleet.RunFor(absl::Seconds(40));
  fleet.registered = {"v1", "v2"};
  fleet.RunFor(absl::Seconds(5));
  fleet.KillAndTakeUp(absl::Seconds(2), {"v2"});
  BOOST_TEST(fleet.older.wrong + fleet.newer.wrong == 0);
  BOOST_TEST(fleet.older.right > 0);
  // No replica could go on with the others.
  BOOST_TEST(fleet.older.unknown_listed + fleet.newer.unknown_listed == 0);
  fleet.CheckCalls();
}

// Guards against streams of a new version that is withdrawn while all instances
// are away, and which go on at the old one because the stored row still names
// it as the only one.
BOOST_DATA_TEST_CASE(withdrawn_version_is_not_taken_for_the_old_one,
                     boost::unit_test::data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances, {"v1"});
  fleet.RunFor(absl::Seconds(40));
  fleet.registered = {"v1", "v2"};
  fleet.RunFor(absl::Seconds(5));
  fleet.KillAndTakeUp(absl::Seconds(2), {"v1"});
  BOOST_TEST(fleet.older.wrong + fleet.newer.wrong == 0);
  BOOST_TEST(fleet.older.FoundShare() > 0.5);
  fleet.CheckCalls();
}

// Guards against a second version that comes just before the kill, when the
// stored row has named the first one as the only one until then.
BOOST_DATA_TEST_CASE(kill_soon_after_a_second_version_misleads_nobody,
                     boost::unit_test::data::make(kFleetSizes) *
                         boost::unit_test::data::make({1500, 2500, 4000}),
                     instances,
                     ms_before_kill) {
  Fleet fleet(instances, {"v1"});
  fleet.RunFor(absl::Seconds(40));
  fleet.registered = {"v1", "v2"};
  fleet.RunFor(absl::Milliseconds(ms_before_kill));
  fleet.KillAndTakeUp(absl::Seconds(2), {"v2"});
  BOOST_TEST(fleet.older.wrong + fleet.newer.wrong == 0);
  fleet.CheckCalls();
}

// Guards against a write per stream while one version serves, and against
// streams that cannot be resumed then.
BOOST_DATA_TEST_CASE(base_version_is_found_without_records,
                     boost::unit_test::data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances, {"v1"});
  fleet.RunFor(absl::Seconds(80));
  size_t writes = fleet.store.writes.size();
  fleet.RunFor(absl::Seconds(20));
  BOOST_TEST(fleet.store.writes.size() == writes);
  BOOST_TEST(fleet.store.rows.empty());
  fleet.KillAndTakeUp(absl::Seconds(2), {"v1"});
  BOOST_TEST(fleet.older.wrong + fleet.newer.wrong == 0);
  BOOST_TEST(fleet.older.FoundShare() == 1);
  BOOST_TEST(fleet.newer.FoundShare() == 1);
  fleet.CheckCalls();
}

// Guards against requests that wait for a store that does not answer, and
// against a guess in place of its answer.
BOOST_DATA_TEST_CASE(unknown_streams_wait_briefly_for_a_silent_store,
                     boost::unit_test::data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances, {"v1", "v2"});
  fleet.RunFor(absl::Seconds(20));
  fleet.store.is_silent = true;
  fleet.RunFor(absl::Seconds(5));
  fleet.KillAndTakeUp(absl::Seconds(2), {"v1", "v2"});
  BOOST_TEST(fleet.older.wrong + fleet.newer.wrong == 0);
  BOOST_TEST(fleet.older.right == 0);
  BOOST_TEST(fleet.older.unknown > 0);
  BOOST_TEST(fleet.longest_find <= kCallersWait);
  fleet.store.is_silent = false;
  fleet.RunFor(absl::Seconds(8));
  fleet.older = {};
  fleet.KillAndTakeUp(absl::Seconds(2), {"v1", "v2"});
  BOOST_TEST(fleet.older.wrong + fleet.newer.wrong == 0);
  BOOST_TEST(fleet.older.FoundShare() > 0.5);
}

// Guards against an old row that says that one version serves, and comes back
// with an older copy of the store while two serve.
BOOST_DATA_TEST_CASE(restored_store_misleads_nobody,
                     boost::unit_test::data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances, {"v1"});
  fleet.RunFor(absl::Seconds(40));
  auto old_service_rows = fleet.service_rows;
  auto old_rows = fleet.store.rows;
  fleet.registered = {"v1", "v2"};
  fleet.RunFor(absl::Seconds(10));
  fleet.Restore(old_rows, old_service_rows);
  fleet.RunFor(absl::Seconds(5));
  fleet.KillAndTakeUp(absl::Seconds(2), {"v1", "v2"});
  BOOST_TEST(fleet.older.wrong + fleet.newer.wrong == 0);
  BOOST_TEST(fleet.older.FoundShare() > 0.5);
  fleet.CheckCalls();
}

// Guards against a late write that replaces a newer record before the stream is
// taken up, also where it began at the base, and against calls that grow with
// the conflicts (review/11).
BOOST_DATA_TEST_CASE(late_writes_join_no_versions,
                     boost::unit_test::data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances, {"v1"});
  fleet.RunFor(absl::Seconds(40));
  fleet.registered = {"v1", "v2"};
  fleet.RunFor(absl::Seconds(5));
  fleet.LoseWritesBesideSilentReplicas(0.3, 0.3);
  fleet.BreakStreams(0.3, absl::Seconds(5));
  fleet.RunFor(absl::Seconds(20));
  fleet.BreakStreams(0);
  fleet.RunFor(absl::Seconds(6));
  BOOST_TEST(fleet.taken_up > 200);
  BOOST_TEST(fleet.newer.wrong == 0);
  BOOST_TEST(fleet.newer.FoundShare() > 0.5);
  BOOST_TEST(fleet.store.conflicts > 0);
  BOOST_TEST(fleet.store.conflicts < fleet.store.writes.size() / 2);
  fleet.CheckCalls();
}

}  // namespace
}  // namespace cranberryhill::gateway
