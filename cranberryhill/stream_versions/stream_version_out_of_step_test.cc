// Simulates fleets in which one instance is cut off, stands still or starts
// anew while replicas of a new software version join, on a virtual clock.

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/store/virtual_row_store_test.h"
#include "cranberryhill/store/virtual_time_test.h"
#include "cranberryhill/stream_versions/stream_version_store.h"

namespace cranberryhill::gateway {
namespace {

/// What the users' store performs per second: `partition-writes-s` in each part
/// and `reads-per-s` of their deployment.
constexpr size_t kMaxWritesPerSecond = 200;
constexpr size_t kMaxReadsPerSecond = 2000;
constexpr double kStreamsPerSecond = 150;
constexpr double kBrokenShare = 0.4;
/// Share of the take-ups that reach the instance that is out of step.
constexpr double kTakeUpsOutOfStep = 0.4;
/// Share of the streams that begin there, so that large fleets show something.
constexpr double kBegunOutOfStep = 0.3;
/// How long replicas go on serving after they have left the registry.
constexpr absl::Duration kDrainTime = absl::Seconds(5);
/// What a caller's time leaves for the search.
constexpr absl::Duration kCallersWait = absl::Milliseconds(1700);
constexpr absl::Duration kMaxRegistryAge = absl::Seconds(3);
constexpr absl::Duration kCallTimeout = absl::Seconds(1);
/// Time in which an instance that has read a change of the service rows does
/// not look at them again, unless it has a reason to.
constexpr absl::Duration kRowPause = absl::Seconds(12);

class NullLog : public EventLog {
 public:
  void Write(const LogEvent&) override {}
};

/// What does not reach an instance or its counterparts.
struct Cut {
  bool calls = false;    ///< Its calls to the store.
  bool answers = false;  ///< The store's answers to it.
  bool peers = false;    ///< What the other instances send to it.
};

constexpr Cut kCutFromAll{.calls = true, .answers = true, .peers = true};
constexpr Cut kCutFromStore{.calls = true, .answers = true};
constexpr Cut kAnswersLost{.answers = true, .peers = true};
constexpr Cut kCallsLost{.calls = true, .peers = true};

/// How streams that were taken up were found.
struct Tally {
  size_t right = 0;
  size_t wrong = 0;
  size_t unknown = 0;

  size_t All() const { return this->right + this->wrong + this->unknown; }
  double FoundShare() const {
    return this->All() == 0 ? 0
                            : static_cast<double>(this->right) /
                                  static_cast<double>(this->All());
  }
};

std::ostream& operator<<(std::ostream& out, const Tally& tally) {
  return out << tally.right << " right, " << tally.wrong << " wrong, "
             << tally.unknown << " unknown";
}

using Versions = std::map<std::string, std::set<std::string>>;  // Per service.
using Disturbance = std::function<void(size_t instance, absl::Duration)>;

class Fleet {
 public:
  explicit Fleet(size_t instances,
                 std::vector<std::string> services = {"assistant"})
      : size(instances), services(std::move(services)) {
    for (const std::string& service : this->services)
      this->registered[service] = {"v0"};
    for (size_t i = 0; i < instances; ++i)
      this->members.push_back(this->MakeMember());
    this->ScheduleStream();
    this->Settle();
  }

  void RunFor(absl::Duration duration) { this->queue.RunFor(duration); }

  /// Runs until the rows of all services name their only version as the base.
  void Settle() {
    this->streams_per_second = 10;
    this->take_up_share = 0;
    constexpr int kMaxSeconds = 90;
    int seconds = 0;
    while (!this->IsSettled() && ++seconds <= kMaxSeconds)
      this->RunFor(absl::Seconds(1));
    BOOST_REQUIRE(seconds <= kMaxSeconds);
    // All instances have read the rows by then.
    this->RunFor(absl::Seconds(1));
    this->streams_per_second = kStreamsPerSecond;
  }

  void Register(const std::string& service, const std::string& version) {
    this->registered[service].insert(version);
    this->gone_at.erase(version);
    this->AnnounceRegistry();
  }

  void Withdraw(const std::string& service, const std::string& version) {
    this->registered[service].erase(version);
    this->gone_at[version] = this->queue.clock.Now() + kDrainTime;
    this->AnnounceRegistry();
  }

  /// Replaces the version of the first service while one instance is disturbed,
  /// several times. In some releases the old version leaves the registry
  /// meanwhile.
  void PlayReleases(const Disturbance& disturb,
                    const std::vector<std::string>& new_versions = {"a"}) {
    int release = 0;
    for (const auto& [duration, old_leaves] :
         {std::pair(absl::Seconds(1.2), false),
          std::pair(absl::Seconds(3), true),
          std::pair(absl::Seconds(8), false)}) {
      ++release;
      std::string service = this->services.front();
      std::set<std::string> old = this->registered[service];
      this->out_of_step = this->random.UniformInt(0, this->size - 1);
      this->take_up_share = kTakeUpsOutOfStep;
      disturb(*this->out_of_step, duration);
      this->RunFor(absl::Milliseconds(400));
      for (const std::string& name : new_versions)
        this->Register(service, "v" + std::to_string(release) + name);
      this->RunFor(absl::Milliseconds(600));
      if (old_leaves)
        this->WithdrawAll(service, old);
      this->RunFor(duration + absl::Seconds(4));
      // Settle() needs one version.
      std::set<std::string> extra = this->registered[service];
      extra.erase("v" + std::to_string(release) + new_versions.front());
      this->WithdrawAll(service, extra);
      this->out_of_step.reset();
      this->Settle();
    }
  }

  /// Replaces the version of the first service, and goes back to the old one
  /// when another has become the base. One instance is disturbed in between.
  void PlayRollback(const std::function<void(size_t instance)>& disturb) {
    std::string service = this->services.front();
    std::string old = *this->registered[service].begin();
    this->Register(service, "new");
    this->RunFor(absl::Seconds(5));
    this->Withdraw(service, old);
    this->RunFor(absl::Seconds(8));
    this->out_of_step = this->random.UniformInt(0, this->size - 1);
    this->begin_share = kBegunOutOfStep;
    disturb(*this->out_of_step);
    constexpr int kMaxSeconds = 60;
    int seconds = 0;
    while (!this->IsBase(service, "new") && ++seconds <= kMaxSeconds)
      this->RunFor(absl::Seconds(1));
    BOOST_REQUIRE(seconds <= kMaxSeconds);
    this->Register(service, old);
    this->RunFor(absl::Seconds(4));
    this->Withdraw(service, "new");
    this->RunFor(absl::Seconds(4));
    this->out_of_step.reset();
    this->begin_share = 0;
    this->Settle();
  }

  /// Replaces the version of the first service. When the old one has gone, the
  /// store turns one instance away, which is killed soon after `returning` has
  /// joined.
  /// @param base_changes Whether another version becomes the base meanwhile.
  void PlayLostRecords(const std::optional<std::string>& returning,
                       bool base_changes) {
    std::string service = this->services.front();
    std::string old = *this->registered[service].begin();
    this->Register(service, "new");
    this->RunFor(absl::Seconds(5));
    this->Withdraw(service, old);
    this->RunFor(absl::Seconds(base_changes ? 7 : 5));
    size_t instance = this->random.UniformInt(0, this->size - 1);
    this->out_of_step = instance;
    this->begin_share = kBegunOutOfStep;
    this->CutOff(instance, kCutFromStore, absl::Seconds(base_changes ? 14 : 4));
    this->RunFor(absl::Seconds(1));
    this->Register(service, returning.value_or(old));
    this->RunFor(absl::Seconds(base_changes ? 12 : 1.2));
    this->Restart(instance);
    this->RunFor(absl::Seconds(4));
    this->Withdraw(service, "new");
    this->RunFor(absl::Seconds(4));
    this->out_of_step.reset();
    this->begin_share = 0;
    this->Settle();
  }

  /// Plays a history: versions come, go and return while instances are
  /// disturbed, and the store is away or goes back to a copy.
  /// @param events Each decides on one event and the time until the next one.
  void PlayHistory(const std::vector<uint16_t>& events) {
    constexpr std::array kCuts = {kCutFromStore, kCutFromAll, kAnswersLost};
    const std::string service = this->services.front();
    std::vector<std::string> withdrawn;
    this->begin_share = kBegunOutOfStep;
    this->take_up_share = kTakeUpsOutOfStep / 2;
    this->out_of_step = 0;
    auto copied_rows = this->store.rows;
    auto copied_service_rows = this->service_rows;
    for (uint16_t event : events) {
      std::set<std::string>& listed = this->registered[service];
      absl::Duration duration = absl::Seconds(1 + event / 16 % 8);
      switch (event % 16) {
        case 0:
        case 1:
          // Names in no order.
          this->Register(service, "v" + std::to_string(event * 37 % 1000));
          break;
        case 2:
        case 3:
        case 4:
          if (listed.size() > 1) {
            withdrawn.push_back(event % 32 < 16 ? *listed.begin()
                                                : *listed.rbegin());
            this->Withdraw(service, withdrawn.back());
          }
          break;
        case 5:
        case 6:
          if (!withdrawn.empty())
            this->Register(service, withdrawn.back());
          break;
        case 7:
        case 8:
        case 9:
          this->Disturb(event, [&](size_t instance) {
            this->CutOff(instance, kCuts[event % kCuts.size()], duration);
          });
          break;
        case 10:
          this->Disturb(event, [&](size_t instance) {
            this->Freeze(instance, duration, absl::Milliseconds(300));
          });
          break;
        case 11:
        case 12:
          this->Disturb(event,
                        [&](size_t instance) { this->Restart(instance); });
          break;
        case 13:
          copied_rows = this->store.rows;
          copied_service_rows = this->service_rows;
          break;
        case 14:
          this->Restore(copied_rows, copied_service_rows);
          break;
        default:
          this->store.is_down = true;
          this->queue.Schedule(duration,
                               [this] { this->store.is_down = false; });
          break;
      }
      this->RunFor(absl::Seconds(0.5 + event / 128 % 16));
    }
    this->RunFor(absl::Seconds(8));
  }

  void CutOff(size_t instance, const Cut& cut, absl::Duration duration) {
    this->members[instance]->cut = cut;
    this->queue.Schedule(duration, [this, instance] {
      Member& member = *this->members[instance];
      member.cut = {};
      // Broken connections are opened again, and what was missed is read.
      member.LearnSoon(absl::Milliseconds(20), absl::Milliseconds(600));
    });
  }

  /// @param news_after How long after the end of the freeze the instance reads
  ///     what the store and the others have sent meanwhile.
  void Freeze(size_t instance,
              absl::Duration duration,
              absl::Duration news_after) {
    Member& member = *this->members[instance];
    member.is_frozen = true;
    this->queue.Schedule(duration,
                         [&member, news_after] { member.Thaw(news_after); });
  }

  /// Replaces an instance by one that knows nothing.
  void Restart(size_t instance) {
    Cut cut = this->members[instance]->cut;
    this->members[instance]->is_dead = true;
    this->members[instance]->versions.Stop();
    this->retired.push_back(std::move(this->members[instance]));
    this->members[instance] = this->MakeMember();
    this->members[instance]->cut = cut;
  }

  /// The store goes back to an older copy.
  void Restore(const std::map<std::string, std::string>& rows,
               const std::map<std::string, Row>& service_rows) {
    this->store.Restore(rows);
    this->service_rows = service_rows;
    // Versions of rows are given out again.
    this->row_version = 0;
    for (const auto& [key, row] : service_rows)
      this->row_version = std::max(this->row_version, row.version);
    for (auto& member : this->members)
      member->RereadRows();
  }

  /// Instances that start read the older registry until the replicas have
  /// written again. The others keep what they knew.
  void RestoreRegistry(const Versions& older, absl::Duration duration) {
    this->restored_registry = older;
    this->queue.Schedule(duration, [this] {
      this->restored_registry.reset();
      this->AnnounceRegistry();
    });
  }

  size_t WrongCount() const {
    return this->at_out_of_step.wrong + this->begun_out.wrong +
           this->in_step.wrong;
  }

  void Check(std::string_view name) {
    size_t take_ups = this->in_step.All() + this->at_out_of_step.All() +
                      this->begun_out.All();
    auto most = [](const std::vector<absl::Time>& calls) {
      return VirtualRowStore::MostPerSecond(calls, absl::InfinitePast());
    };
    BOOST_TEST_MESSAGE(
        name << ", " << this->size << " instances: at the one out of step "
             << this->at_out_of_step << "; begun there " << this->begun_out
             << "; all in step " << this->in_step << "; not recorded in time "
             << this->late_records << ", of these moved to the base "
             << this->moved_to_base << "; store calls: reads "
             << this->store.reads.size() << " (" << most(this->store.reads)
             << "/s at most), writes " << this->store.writes.size() << " ("
             << most(this->store.writes) << "/s), writes of service rows "
             << this->service_row_writes.size() << " ("
             << most(this->service_row_writes) << "/s), reads of service rows "
             << this->service_row_reads.size() << " ("
             << most(this->service_row_reads) << "/s), take-ups " << take_ups
             << " (" << most(this->take_ups) << "/s)");
    BOOST_TEST(this->at_out_of_step.wrong == 0);
    BOOST_TEST(this->begun_out.wrong == 0);
    BOOST_TEST(this->in_step.wrong == 0);
    BOOST_TEST(this->in_step.FoundShare() >= 0.5);
    for (const auto& [part, writes] : this->store.writes_by_part)
      BOOST_TEST(most(writes) <= kMaxWritesPerSecond);
    BOOST_TEST(most(this->service_row_writes) <= kMaxWritesPerSecond);
    BOOST_TEST(most(this->store.reads) + most(this->service_row_reads) <=
               kMaxReadsPerSecond);
  }

  SeededRandom random{20261205};
  EventQueue queue;
  VirtualRowStore store{queue};
  std::map<std::string, Row> service_rows;  // In the store.
  Versions registered;
  std::optional<Versions> restored_registry;
  std::optional<size_t> out_of_step;  // The instance that take-ups prefer.
  double take_up_share = 0;
  double begin_share = 0;  // Of the streams, at that instance.
  absl::Duration commit_time = absl::Milliseconds(7);
  double streams_per_second = kStreamsPerSecond;
  Tally at_out_of_step;  // Begun in step and taken up at that instance.
  Tally begun_out;       // Begun at that instance.
  Tally in_step;

 private:
  struct Member : StreamVersionFleet {
    explicit Member(Fleet& fleet)
        : fleet(fleet),
          row_reader(std::make_unique<RowCaller>(*this),
                     this->MakeTimer(),
                     fleet.codec,
                     fleet.log,
                     fleet.queue.clock),
          versions(this->MakeChannels(),
                   fleet.codec,
                   *this,
                   fleet.log,
                   fleet.queue.clock,
                   fleet.random) {}

    std::unique_ptr<HttpCaller> MakeCaller() {
      return std::make_unique<CutCaller>(*this);
    }
    std::unique_ptr<DelayTimer> MakeTimer() {
      return std::make_unique<FrozenTimer>(*this);
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

    /// Runs the event when the instance runs again.
    void WhenAwake(std::function<void()> event) {
      if (this->is_dead)
        return;
      if (this->is_frozen)
        this->held.push_back(std::move(event));
      else
        event();
    }
    void After(absl::Duration wait, std::function<void()> event) {
      this->fleet.queue.Schedule(
          wait, [this, event = std::move(event)] { this->WhenAwake(event); });
    }
    void Thaw(absl::Duration news_after) {
      this->is_frozen = false;
      this->news_at = this->fleet.queue.clock.Now() + news_after;
      if (news_after == absl::ZeroDuration())
        this->Learn();
      else
        this->LearnSoon(news_after, news_after);
      for (auto& event : std::exchange(this->held, {}))
        event();
    }

    bool ReachesStore() const { return !this->cut.calls && !this->cut.answers; }
    bool HearsNews() const {
      return !this->is_frozen &&
             this->fleet.queue.clock.Now() >= this->news_at &&
             (this->ReachesStore() || !this->cut.peers);
    }
    void LearnSoon(absl::Duration least, absl::Duration most) {
      auto wait = [&] {
        return least + (most - least) * this->fleet.random.UniformDouble();
      };
      this->fleet.queue.Schedule(wait(), [this] { this->LearnRegistry(); });
      this->fleet.queue.Schedule(wait(), [this] { this->LearnRows(); });
    }
    void Learn() {
      this->LearnRows();
      this->LearnRegistry();
    }
    /// The table reads the rows of another era as a whole.
    void RereadRows() {
      this->EndRowPause();
      this->LearnSoon(absl::Milliseconds(10), absl::Milliseconds(300));
    }
    void LearnRegistry() {
      if (this->is_dead || !this->HearsNews())
        return;
      if (!this->fleet.restored_registry)
        this->view = this->fleet.registered;
      else if (!this->has_registry)
        this->view = *this->fleet.restored_registry;
      this->has_registry = true;
      this->ObserveRegistry();
    }
    /// Peers do not pass these rows on.
    void LearnRows() {
      absl::Time now = this->fleet.queue.clock.Now();
      if (this->is_dead || !this->HearsNews() || !this->ReachesStore() ||
          now < this->row_pause_ends)
        return;
      auto is_same = [](const auto& known, const auto& stored) {
        return known.first == stored.first &&
               known.second.version == stored.second.version;
      };
      const auto& rows = this->fleet.service_rows;
      bool is_news =
          !this->copy || !std::equal(this->copy->begin(), this->copy->end(),
                                     rows.begin(), rows.end(), is_same);
      this->copy = rows;
      this->copy_era = this->fleet.store.era;
      if (!is_news)
        return;
      this->row_pause_ends = now + kRowPause;
      this->fleet.queue.Schedule(kRowPause, [this] { this->LearnRows(); });
    }
    void EndRowPause() { this->row_pause_ends = absl::InfinitePast(); }
    void ObserveRegistry() {
      for (const auto& [service, registered] : this->view) {
        for (const std::string& version : registered)
          this->versions.OnRegistered(service, version);
      }
    }
    void Tick() {
      absl::Time now = this->fleet.queue.clock.Now();
      // Peers say that they are in contact with the store.
      if (this->HearsNews())
        this->heard_at = now;
      if (this->has_registry) {
        this->ObserveRegistry();
        this->versions.Tick();
      }
      this->After(absl::Milliseconds(250), [this] { this->Tick(); });
    }

    std::optional<size_t> InstanceCount() const override {
      return this->copy ? std::optional(this->fleet.size) : std::nullopt;
    }
    bool IsRegistryCurrent() const override {
      return this->fleet.queue.clock.Now() - this->heard_at <= kMaxRegistryAge;
    }
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
      this->row_reader.Read(key, wait, std::move(done));
    }
    void CommitServiceRow(Transaction transaction,
                          CommitCallback callback) override {
      if (this->cut.calls) {
        return this->After(kCallTimeout, [callback = std::move(callback)] {
          callback({CommitState::kUnknown, ""});
        });
      }
      this->fleet.queue.Schedule(
          this->fleet.commit_time, [this, transaction = std::move(transaction),
                                    callback = std::move(callback)] {
            bool committed = this->fleet.Commit(transaction);
            if (this->cut.answers) {
              return this->After(kCallTimeout, [callback] {
                callback({CommitState::kUnknown, ""});
              });
            }
            const std::string& key = transaction.puts[0].key;
            Row row = this->fleet.service_rows[key];
            this->After(absl::Milliseconds(2), [=, this] {
              if (this->copy)
                (*this->copy)[key] = row;
              callback(
                  {committed ? CommitState::kCommitted : CommitState::kConflict,
                   ""});
            });
          });
    }
    void RefreshServiceRows() override {
      this->fleet.queue.Schedule(
          absl::Milliseconds(this->fleet.random.UniformInt(5, 20)), [this] {
            this->EndRowPause();
            this->LearnRows();
          });
    }

    Fleet& fleet;
    Cut cut;
    bool is_dead = false;
    bool is_frozen = false;
    std::vector<std::function<void()>> held;  // For the end of the freeze.
    absl::Time news_at = absl::InfinitePast();
    absl::Time heard_at = absl::InfinitePast();
    bool has_registry = false;
    Versions view;
    std::optional<std::map<std::string, Row>> copy;
    uint64_t copy_era = 0;  // Of the store.
    absl::Time row_pause_ends = absl::InfinitePast();
    ServiceRowReader row_reader;
    StoredStreamVersions versions;
  };

  /// Loses what the cut of its instance loses.
  class CutCaller : public HttpCaller {
   public:
    explicit CutCaller(Member& member)
        : member(member),
          inner(member.fleet.queue, member.fleet.store, [&member] {
            return member.cut.answers ||
                   member.fleet.random.UniformInt(0, 99) == 0;
          }) {}

    void Call(const http1::OutgoingRequest& request,
              absl::Duration timeout,
              Callback done) override {
      uint64_t call = ++this->current;
      auto finish = [this, call,
                     done = std::move(done)](const HttpResult& answer) {
        this->member.WhenAwake([this, call, done, answer] {
          if (call == this->current)
            done(answer);
        });
      };
      if (!this->member.cut.calls)
        return this->inner.Call(request, timeout, finish);
      this->member.fleet.queue.Schedule(timeout, [finish] {
        finish({0, "", "timeout"});
      });
    }
    void Cancel() override {
      ++this->current;
      this->inner.Cancel();
    }
    bool IsReceiving() const override { return false; }
    size_t received_bytes() const override { return 0; }

   private:
    Member& member;
    VirtualRowCaller inner;
    uint64_t current = 0;
  };

  /// Reads rows of services.
  class RowCaller : public HttpCaller {
   public:
    explicit RowCaller(Member& member) : member(member) {}

    void Call(const http1::OutgoingRequest& request,
              absl::Duration timeout,
              Callback done) override {
      uint64_t call = ++this->current;
      auto finish = [this, call,
                     done = std::move(done)](const HttpResult& answer) {
        this->member.WhenAwake([this, call, done, answer] {
          if (call != this->current)
            return;
          ++this->current;
          done(answer);
        });
      };
      Fleet& fleet = this->member.fleet;
      fleet.queue.Schedule(timeout, [finish] { finish({0, "", "timeout"}); });
      if (this->member.cut.calls)
        return;
      std::string key = request.head.target.substr(5);
      fleet.queue.Schedule(absl::Milliseconds(2), [this, &fleet, key, finish] {
        HttpResult answer = fleet.ReadServiceRow(key);
        if (!this->member.cut.answers)
          fleet.queue.Schedule(absl::Milliseconds(2),
                               [finish, answer] { finish(answer); });
      });
    }
    void Cancel() override { ++this->current; }
    bool IsReceiving() const override { return false; }
    size_t received_bytes() const override { return 0; }

   private:
    Member& member;
    uint64_t current = 0;
  };

  /// Fires when its instance runs.
  class FrozenTimer : public DelayTimer {
   public:
    explicit FrozenTimer(Member& member)
        : member(member), inner(member.fleet.queue) {}

    void Start(absl::Duration delay, std::function<void()> done) override {
      uint64_t call = ++this->current;
      this->inner.Start(delay, [this, call, done = std::move(done)] {
        this->member.WhenAwake([this, call, done] {
          if (call == this->current)
            done();
        });
      });
    }
    void Cancel() override {
      ++this->current;
      this->inner.Cancel();
    }

   private:
    Member& member;
    VirtualTimer inner;
    uint64_t current = 0;
  };

  /// Disturbs an instance that is not disturbed yet.
  void Disturb(uint16_t event, const std::function<void(size_t)>& disturb) {
    size_t instance = event / 7 % this->size;
    const Member& member = *this->members[instance];
    if (member.is_frozen || !member.ReachesStore())
      return;
    this->out_of_step = instance;
    disturb(instance);
  }

  bool IsBase(const std::string& service, const std::string& version) const {
    auto row = this->service_rows.find("service-version/" + service);
    return row != this->service_rows.end() &&
           row->second.value ==
               forward::EncodeServiceVersion({version, this->store.era});
  }

  bool IsSettled() const {
    return std::all_of(this->services.begin(), this->services.end(),
                       [this](const std::string& service) {
                         const std::set<std::string>& versions =
                             this->registered.at(service);
                         return versions.size() == 1 &&
                                this->IsBase(service, *versions.begin());
                       });
  }

  std::unique_ptr<Member> MakeMember() {
    auto member = std::make_unique<Member>(*this);
    member->LearnSoon(absl::Milliseconds(10), absl::Milliseconds(300));
    Member& started = *member;
    started.After(absl::Milliseconds(this->random.UniformInt(5, 250)),
                  [&started] { started.Tick(); });
    return member;
  }

  void WithdrawAll(const std::string& service,
                   const std::set<std::string>& versions) {
    for (const std::string& version : versions)
      this->Withdraw(service, version);
  }

  /// Pollers of the table learn of a change at once and pass it on.
  void AnnounceRegistry() {
    for (auto& member : this->members) {
      this->queue.Schedule(
          absl::Milliseconds(this->random.UniformInt(10, 300)),
          [member = member.get()] { member->LearnRegistry(); });
    }
  }

  HttpResult ReadServiceRow(const std::string& key) {
    this->service_row_reads.push_back(this->queue.clock.Now());
    nlohmann::json rows = nlohmann::json::array();
    auto row = this->service_rows.find(key);
    if (row != this->service_rows.end())
      rows.push_back({key, row->second.value, row->second.version});
    HttpResult answer{200, nlohmann::json({rows, false, 0}).dump(), ""};
    answer.headers.Add("era", std::to_string(this->store.era));
    return answer;
  }

  bool Commit(const Transaction& transaction) {
    this->service_row_writes.push_back(this->queue.clock.Now());
    const RowPut& put = transaction.puts[0];
    Row& row = this->service_rows[put.key];
    if (row.version != transaction.checks[0].version)
      return false;
    row = {put.key, ++this->row_version, put.value};
    for (auto& member : this->members) {
      this->queue.Schedule(absl::Milliseconds(this->random.UniformInt(10, 300)),
                           [member = member.get()] { member->LearnRows(); });
    }
    return true;
  }

  void ScheduleStream() {
    this->queue.Schedule(
        absl::Seconds(2 / this->streams_per_second) *
            this->random.UniformDouble(),
        [this] {
          bool is_out = this->out_of_step &&
                        this->random.UniformDouble() < this->begin_share;
          this->BeginStream(is_out
                                ? *this->out_of_step
                                : this->random.UniformInt(0, this->size - 1));
          this->ScheduleStream();
        });
  }

  /// @return A version whose replicas may begin the stream; nothing if the
  ///     instance knows none.
  /// @param without_record Only versions that need no record are wanted.
  std::optional<std::string> ChooseVersion(Member& member,
                                           const std::string& service,
                                           bool without_record) {
    std::vector<std::string> served;
    for (const std::string& version : member.view[service]) {
      auto gone = this->gone_at.find(version);
      bool serves =
          gone == this->gone_at.end() || gone->second > this->queue.clock.Now();
      if (serves &&
          (!without_record || member.versions.NeedsNoRecord(service, version)))
        served.push_back(version);
    }
    if (served.empty())
      return std::nullopt;
    return served[this->random.UniformInt(0, served.size() - 1)];
  }

  void BeginStream(size_t instance) {
    Member& member = *this->members[instance];
    if (member.is_frozen)
      return;
    const std::string& service =
        this->services[this->random.UniformInt(0, this->services.size() - 1)];
    // The gateway prefers the base while it has room, and where records cannot
    // be stored. Instances in step are played without room.
    std::optional<std::string> version;
    if (!member.versions.CanRecord() || instance == this->out_of_step)
      version = this->ChooseVersion(member, service, true);
    if (!version)
      version = this->ChooseVersion(member, service, false);
    if (!version)
      return;
    std::string attempt = "attempt-" + std::to_string(++this->attempts);
    member.versions.Prepare(
        service, attempt, *version, RecordRule::kAwayFromBase,
        [=, this, &member, version = *version](bool recorded) {
          this->late_records += recorded ? 0 : 1;
          if (recorded || member.versions.MayBeginUnrecorded(service, version))
            return this->OnFirstEvent(instance, member, service, attempt,
                                      version);
          this->MoveToBase(instance, member, service, attempt);
        });
  }

  /// Runs a stream at the base, as the gateway does if no row of the stream is
  /// stored. Otherwise its first event is kept until the caller gives up.
  void MoveToBase(size_t instance,
                  Member& member,
                  const std::string& service,
                  const std::string& attempt) {
    auto base = this->ChooseVersion(member, service, true);
    if (!base || !member.versions.MayBeginUnrecorded(service, *base) ||
        !member.versions.Withdraw(attempt))
      return;
    ++this->moved_to_base;
    member.versions.Prepare(service, attempt, *base, RecordRule::kAwayFromBase,
                            [=, this, &member, version = *base](bool recorded) {
                              BOOST_TEST(recorded);
                              this->OnFirstEvent(instance, member, service,
                                                 attempt, version);
                            });
  }

  void OnFirstEvent(size_t instance,
                    Member& member,
                    const std::string& service,
                    const std::string& attempt,
                    const std::string& version) {
    member.versions.OnStreamBegan(service, attempt, version);
    if (!this->out_of_step || this->random.UniformDouble() >= kBrokenShare)
      return;
    bool begun_out = instance == *this->out_of_step;
    this->queue.Schedule(
        absl::Milliseconds(this->random.UniformInt(100, 2000)),
        [=, this] { this->TakeUp(service, attempt, version, begun_out); });
  }

  void TakeUp(const std::string& service,
              const std::string& attempt,
              const std::string& version,
              bool begun_out) {
    size_t instance = this->random.UniformInt(0, this->size - 1);
    if (this->out_of_step && this->random.UniformDouble() < this->take_up_share)
      instance = *this->out_of_step;
    Tally& tally = begun_out                       ? this->begun_out
                   : instance == this->out_of_step ? this->at_out_of_step
                                                   : this->in_step;
    this->take_ups.push_back(this->queue.clock.Now());
    Member& member = *this->members[instance];
    member.WhenAwake([=, &member, &tally] {
      member.versions.Find(
          service, attempt, kCallersWait,
          [service, version, &tally](const std::optional<StreamOrigin>& found) {
            if (!found)
              ++tally.unknown;
            else
              ++(found->service == service && found->version == version
                     ? tally.right
                     : tally.wrong);
          });
    });
  }

  const size_t size;
  const std::vector<std::string> services;
  NullLog log;
  VirtualRowCodec codec;
  std::vector<std::unique_ptr<Member>> members;
  std::vector<std::unique_ptr<Member>> retired;
  std::map<std::string, absl::Time> gone_at;  // When a version serves no more.
  uint64_t attempts = 0;
  uint64_t row_version = 0;
  size_t late_records = 0;
  size_t moved_to_base = 0;
  std::vector<absl::Time> take_ups;
  std::vector<absl::Time> service_row_writes;
  std::vector<absl::Time> service_row_reads;
};

namespace data = boost::unit_test::data;

const std::vector<size_t> kFleetSizes = {8, 60, 195};

void PlayCut(size_t instances, const Cut& cut, std::string_view name) {
  Fleet fleet(instances);
  fleet.PlayReleases([&](size_t instance, absl::Duration duration) {
    fleet.CutOff(instance, cut, duration);
  });
  fleet.Check(name);
}

void PlayFreeze(size_t instances,
                absl::Duration news_after,
                std::string_view name) {
  Fleet fleet(instances);
  fleet.PlayReleases([&](size_t instance, absl::Duration duration) {
    fleet.Freeze(instance, duration, news_after);
  });
  fleet.Check(name);
}

// Guards against take-ups at another version, or refused ones, during a release
// without any disturbance.
BOOST_DATA_TEST_CASE(release_among_instances_in_step_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  PlayCut(instances, {}, "in step");
}

// Guards against an instance that goes by old copies of the row and the
// registry that agree with each other.
BOOST_DATA_TEST_CASE(instance_cut_from_all_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  PlayCut(instances, kCutFromAll, "cut from all");
}

// Guards against a guess while the store is away and the others tell the news.
BOOST_DATA_TEST_CASE(instance_cut_from_the_store_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  PlayCut(instances, kCutFromStore, "cut from the store");
}

// Guards against a cut in one direction: what the instance writes arrives.
BOOST_DATA_TEST_CASE(instance_that_gets_no_answers_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  PlayCut(instances, kAnswersLost, "no answers");
}

// Guards against a cut in one direction: nothing that the instance asks
// arrives.
BOOST_DATA_TEST_CASE(instance_whose_calls_are_lost_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  PlayCut(instances, kCallsLost, "calls lost");
}

// Guards against take-ups that are answered after a freeze before its news is
// read.
BOOST_DATA_TEST_CASE(frozen_instance_that_reads_news_late_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  PlayFreeze(instances, absl::Milliseconds(600), "news late");
}

// Guards against a freeze during which streams begin elsewhere.
BOOST_DATA_TEST_CASE(frozen_instance_that_reads_news_first_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  PlayFreeze(instances, absl::ZeroDuration(), "news first");
}

// Guards against streams that begin at a new version while the row of the
// service is written late.
BOOST_DATA_TEST_CASE(slow_write_of_the_row_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances);
  fleet.commit_time = absl::Milliseconds(800);
  fleet.PlayReleases([&](size_t instance, absl::Duration duration) {
    fleet.Freeze(instance, absl::Milliseconds(300), duration);
  });
  fleet.Check("slow write of the row");
}

// Guards against first events that are passed on without a record when the
// store fails after their run was sent: a take-up takes them for the base's.
BOOST_DATA_TEST_CASE(short_outages_of_the_store_join_no_versions,
                     data::make(kFleetSizes) * data::make({false, true}),
                     instances,
                     is_silent) {
  Fleet fleet(instances);
  bool& is_away = is_silent ? fleet.store.is_silent : fleet.store.is_down;
  fleet.PlayReleases([&](size_t, absl::Duration duration) {
    constexpr absl::Duration kOutage = absl::Milliseconds(900);
    for (absl::Duration at = absl::Seconds(1.1);
         at < duration + absl::Seconds(2); at += absl::Seconds(2)) {
      fleet.queue.Schedule(at, [&is_away] { is_away = true; });
      fleet.queue.Schedule(at + kOutage, [&is_away] { is_away = false; });
    }
  });
  fleet.Check("short outages of the store");
}

// Guards against a second new version that is taken for the first one.
BOOST_DATA_TEST_CASE(three_versions_are_not_joined_at_a_cut_instance,
                     data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances);
  fleet.PlayReleases(
      [&](size_t instance, absl::Duration duration) {
        fleet.CutOff(instance, kCutFromAll, duration);
      },
      {"a", "b"});
  fleet.Check("three versions");
}

// Guards against a release of one service that misleads about another.
BOOST_DATA_TEST_CASE(release_of_one_of_two_services_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances, {"assistant", "search"});
  fleet.PlayReleases([&](size_t instance, absl::Duration duration) {
    fleet.CutOff(instance, kCutFromAll, duration);
  });
  fleet.Check("two services");
}

// Guards against an instance that starts while it is cut off.
BOOST_DATA_TEST_CASE(instance_that_starts_cut_off_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances);
  fleet.PlayReleases([&](size_t instance, absl::Duration duration) {
    fleet.CutOff(instance, kCutFromAll, duration);
    fleet.Restart(instance);
  });
  fleet.Check("started cut off");
}

// Guards against a row of an older copy of the store that names one version
// while two serve.
BOOST_DATA_TEST_CASE(row_of_a_restored_store_joins_no_versions,
                     data::make(kFleetSizes) * data::make({false, true}),
                     instances,
                     is_cut) {
  Fleet fleet(instances);
  auto old_service_rows = fleet.service_rows;
  auto old_rows = fleet.store.rows;
  fleet.PlayReleases([&](size_t instance, absl::Duration duration) {
    old_service_rows = fleet.service_rows;
    old_rows = fleet.store.rows;
    fleet.queue.Schedule(duration, [&, instance] {
      if (is_cut)
        fleet.CutOff(instance, kCutFromAll, absl::Seconds(3));
      fleet.Restore(old_rows, old_service_rows);
    });
  });
  fleet.Check("restored store");
}

// Guards against an added instance that goes on by its first copy of the row
// when the base has changed since and the former one has come back.
BOOST_DATA_TEST_CASE(added_instance_begins_no_streams_at_a_former_base,
                     data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances);
  fleet.PlayRollback([&](size_t instance) { fleet.Restart(instance); });
  fleet.Check("added before a rollback");
}

// Guards against the same copy at an instance that missed the change of the
// base.
BOOST_DATA_TEST_CASE(
    instance_that_missed_a_change_begins_no_streams_at_a_former_base,
    data::make(kFleetSizes) * data::make({false, true}),
    instances,
    hears_peers) {
  Fleet fleet(instances);
  fleet.PlayRollback([&](size_t instance) {
    fleet.CutOff(instance, hears_peers ? kCutFromStore : kCutFromAll,
                 absl::Seconds(30));
  });
  fleet.Check("cut before a rollback");
}

// Guards against a stream that began without a record, as no replica of the
// base was left, and is taken for one of the base when that comes back.
BOOST_DATA_TEST_CASE(unrecorded_stream_is_not_taken_for_one_of_the_old_base,
                     data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances);
  fleet.PlayLostRecords(std::nullopt, false);
  fleet.Check("rollback after lost records");
}

// Guards against the same confusion with a version that becomes the base while
// the store turns an instance away (soak seed 90004).
BOOST_DATA_TEST_CASE(unrecorded_stream_is_not_taken_for_one_of_the_next_base,
                     data::make(kFleetSizes) * data::make({"alpha", "omega"}),
                     instances,
                     next_version) {
  Fleet fleet(instances);
  fleet.PlayLostRecords(next_version, true);
  fleet.Check("second release after lost records");
}

// Guards against any other sequence of the events above that joins versions.
RC_BOOST_PROP(histories_join_no_versions, ()) {
  constexpr size_t kInstances = 8;
  auto events = *rc::gen::container<std::vector<uint16_t>>(
      16, rc::gen::inRange<uint16_t>(0, UINT16_MAX));
  Fleet fleet(kInstances);
  fleet.PlayHistory(events);
  RC_ASSERT(fleet.WrongCount() == 0U);
}

// Guards against streams that begin after a freeze by what was known before.
BOOST_DATA_TEST_CASE(thawed_instance_begins_no_streams_at_a_former_base,
                     data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances);
  fleet.PlayRollback([&](size_t instance) {
    fleet.Freeze(instance, absl::Seconds(12), absl::Milliseconds(600));
  });
  fleet.Check("frozen before a rollback");
}

// Guards against an instance that starts after a restore and learns only of the
// version that the older copy of the registry lists.
BOOST_DATA_TEST_CASE(instance_that_starts_after_a_restore_joins_no_versions,
                     data::make(kFleetSizes),
                     instances) {
  Fleet fleet(instances);
  fleet.PlayReleases([&](size_t instance, absl::Duration duration) {
    auto old_service_rows = fleet.service_rows;
    auto old_rows = fleet.store.rows;
    Versions old_versions = fleet.registered;
    fleet.queue.Schedule(absl::Seconds(2) + duration, [=, &fleet] {
      fleet.Restart(instance);
      fleet.RestoreRegistry(old_versions, absl::Seconds(2));
      fleet.Restore(old_rows, old_service_rows);
    });
  });
  fleet.Check("started after a restore");
}

}  // namespace
}  // namespace cranberryhill::gateway
