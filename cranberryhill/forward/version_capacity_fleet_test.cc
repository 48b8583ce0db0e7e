// Simulates generated fleets whose engines are replaced by those of another
// software version, on a virtual clock: streams that have begun must have
// somewhere to go on.

#include <rapidcheck/boost_test.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/lasting_versions.h"
#include "cranberryhill/forward/role_balancer.h"
#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(50);
constexpr absl::Duration kRoleChange = absl::Seconds(3);
/// How long a leaving engine serves on.
constexpr absl::Duration kDrainTime = absl::Seconds(2);
/// Callers take a stream up after this time at the latest.
constexpr absl::Duration kLongestSilence = absl::Milliseconds(3900);

/// A release as it may come.
struct Release {
  int engines = 0;
  int replaced = 0;
  absl::Duration gap;
  EngineRole new_role = EngineRole::kDecode;
  bool decode_engines_first = false;
  uint64_t seed = 0;
};

struct Tally {
  int went_on = 0;
  int refused = 0;
};

class Fleet {
 public:
  explicit Fleet(const Release& release)
      : release(release), random(release.seed) {
    size_t decode =
        RoleBalancer::WantedDecodeEngines(release.engines, kZones, 128);
    for (int i = 0; i < release.engines; ++i) {
      this->Add("v1", static_cast<size_t>(i) < decode ? EngineRole::kDecode
                                                      : EngineRole::kPrefill);
      this->to_replace.push_back(this->entries.back().id);
    }
    if (!release.decode_engines_first) {
      for (size_t i = this->to_replace.size(); i > 1; --i) {
        std::swap(this->to_replace[i - 1],
                  this->to_replace[this->random.UniformInt(0, i - 1)]);
      }
    }
    this->to_replace.resize(static_cast<size_t>(release.replaced));
  }

  void Run() {
    absl::Time begin = this->clock.Now() + absl::Seconds(2);
    absl::Time end =
        begin + this->release.gap * this->release.replaced + absl::Seconds(8);
    size_t replaced = 0;
    while (this->clock.Now() < end) {
      while (replaced < this->to_replace.size() &&
             this->clock.Now() >=
                 begin + this->release.gap * static_cast<double>(replaced))
        this->Replace(this->to_replace[replaced++]);
      this->RunDue();
      this->Balance();
      this->BeginStream();
      this->clock.Advance(kStep);
    }
  }

  Tally soon;  ///< Taken up while the engines of the version may be asked.
  Tally late;

 private:
  static constexpr int kZones = 3;

  void Add(const std::string& version, EngineRole role) {
    ReplicaEntry entry = MakeEntry(
        "e" + std::to_string(this->entries.size()),
        std::string(1, static_cast<char>('a' + this->entries.size() % kZones)),
        role);
    entry.software_version = version;
    entry.endpoint.port = static_cast<uint16_t>(9000 + this->entries.size());
    this->entries.push_back(entry);
    this->replicas.Apply(entry);
  }

  ReplicaEntry& EntryOf(const std::string& id) {
    return *std::find_if(this->entries.begin(), this->entries.end(),
                         [&](const auto& entry) { return entry.id == id; });
  }

  void Replace(const std::string& id) {
    this->Add("v2", this->release.new_role);
    ReplicaEntry& entry = this->EntryOf(id);
    entry.leaving = true;
    this->replicas.Apply(entry);
    if (entry.role != EngineRole::kPrefill)
      this->last_left[entry.software_version] = this->clock.Now();
    this->Schedule(kDrainTime, [this, id] { this->replicas.Remove(id); });
  }

  void Schedule(absl::Duration wait, std::function<void()> event) {
    this->events.emplace(this->clock.Now() + wait, std::move(event));
  }

  void RunDue() {
    while (!this->events.empty() &&
           this->events.begin()->first <= this->clock.Now()) {
      auto event = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      event();
    }
  }

  void Balance() {
    for (const std::string& id : this->balancer.ChangingEngines()) {
      if (this->EntryOf(id).role != this->ordered[id])
        this->replicas.OnRoleChanging(id);
    }
    auto engines = this->replicas.Members("service");
    while (auto change = this->balancer.NextChange(engines)) {
      this->balancer.OnOrdered(*change);
      this->ordered[change->replica] = change->role;
      this->Schedule(kRoleChange, [this, change = *change] {
        ReplicaEntry& entry = this->EntryOf(change.replica);
        entry.role = change.role;
        if (this->replicas.Find(entry.id) != nullptr)
          this->replicas.Apply(entry);
      });
    }
  }

  static bool IsDecode(const std::shared_ptr<Replica>& replica,
                       const std::string& version) {
    return replica->entry.role != EngineRole::kPrefill &&
           replica->entry.software_version == version;
  }

  void BeginStream() {
    auto engines = this->replicas.Usable("service");
    KeepLastingVersions(engines);
    std::erase_if(engines, [](const auto& engine) {
      return engine->entry.role == EngineRole::kPrefill;
    });
    if (engines.empty())
      return;
    std::string version =
        engines[this->random.UniformInt(0, engines.size() - 1)]
            ->entry.software_version;
    this->Schedule(kLongestSilence * this->random.UniformDouble(),
                   [this, version] { this->TakeUp(version); });
  }

  void TakeUp(const std::string& version) {
    auto registered = this->replicas.Registered();
    auto of_version = std::count_if(
        registered.begin(), registered.end(), [&](const auto& replica) {
          return replica->entry.software_version == version;
        });
    // The users ask for it while two replicas of the version serve.
    if (of_version < 2)
      return;
    auto can_run = [&](const auto& replica) {
      return IsDecode(replica, version);
    };
    auto usable = this->replicas.Usable("service");
    auto leaving = this->replicas.UsableWhileLeaving("service");
    bool goes_on = std::any_of(usable.begin(), usable.end(), can_run) ||
                   std::any_of(leaving.begin(), leaving.end(), can_run);
    auto left = this->last_left.find(version);
    bool is_soon = left == this->last_left.end() ||
                   this->clock.Now() - left->second < kDefaultLeavingAllowance;
    Tally& tally = is_soon ? this->soon : this->late;
    ++(goes_on ? tally.went_on : tally.refused);
  }

  const Release release;
  SeededRandom random;
  ManualClock clock;
  ReplicaSet replicas{clock};
  RoleBalancer balancer{clock};
  std::vector<ReplicaEntry> entries;
  std::vector<std::string> to_replace;
  std::map<std::string, EngineRole> ordered;
  /// When a decode engine of a version left last.
  std::map<std::string, absl::Time> last_left;
  std::multimap<absl::Time, std::function<void()>> events;
};

// Guards against streams that have nowhere to go on while decode engines of
// their version serve, whatever the release.
RC_BOOST_PROP(begun_streams_have_somewhere_to_go_on, ()) {
  Release release;
  release.engines = *rc::gen::inRange(4, 60);
  release.replaced = *rc::gen::inRange(1, release.engines);
  release.gap = absl::Milliseconds(*rc::gen::inRange(100, 1500));
  release.new_role =
      *rc::gen::element(EngineRole::kDecode, EngineRole::kPrefill);
  release.decode_engines_first = *rc::gen::arbitrary<bool>();
  release.seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
  Fleet fleet(release);
  fleet.Run();
  RC_ASSERT(fleet.soon.refused == 0);
}

// Guards against a release in which most streams that are taken up are refused,
// also late ones: all decode engines of the old version leave first.
BOOST_AUTO_TEST_CASE(most_streams_go_on_when_the_decode_engines_leave_first) {
  for (int gap_ms : {320, 800, 1500}) {
    for (EngineRole new_role : {EngineRole::kDecode, EngineRole::kPrefill}) {
      Fleet fleet({.engines = 18,
                   .replaced = 14,
                   .gap = absl::Milliseconds(gap_ms),
                   .new_role = new_role,
                   .decode_engines_first = true,
                   .seed = 45});
      fleet.Run();
      int went_on = fleet.soon.went_on + fleet.late.went_on;
      int refused = fleet.soon.refused + fleet.late.refused;
      BOOST_TEST_MESSAGE("gap " << gap_ms << " ms: " << went_on << " went on, "
                                << refused << " refused");
      // Half of the share of new streams that begin, which is 1 here.
      BOOST_TEST(went_on >= refused);
    }
  }
}

}  // namespace
}  // namespace cranberryhill::forward
