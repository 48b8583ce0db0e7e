#include "cranberryhill/forward/role_balancer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

struct Fixture {
  void Add(int count,
           const std::string& zone,
           EngineRole role,
           const std::string& version = "v1") {
    for (int i = 0; i < count; ++i) {
      ReplicaEntry entry =
          MakeEntry("e" + std::to_string(this->next_id++), zone, role);
      entry.software_version = version;
      this->replicas.Apply(entry);
    }
  }

  /// @return The number of decode engines of a version after these changes.
  int CountDecode(const std::string& version,
                  const std::vector<RoleChange>& changes) {
    std::map<std::string, EngineRole> roles;
    for (const auto& engine : this->Engines()) {
      if (engine->entry.software_version == version)
        roles[engine->entry.id] = *engine->entry.role;
    }
    for (const RoleChange& change : changes) {
      if (roles.contains(change.replica))
        roles[change.replica] = change.role;
    }
    return static_cast<int>(std::count_if(
        roles.begin(), roles.end(),
        [](const auto& item) { return item.second == EngineRole::kDecode; }));
  }

  std::vector<std::shared_ptr<Replica>> Engines() {
    return this->replicas.Members("service");
  }

  /// Orders all changes that are due and treats them as accepted.
  std::vector<RoleChange> OrderAll() {
    std::vector<RoleChange> changes;
    while (auto change = this->balancer.NextChange(this->Engines())) {
      this->balancer.OnOrdered(*change);
      changes.push_back(*change);
    }
    return changes;
  }

  void WaitUntilSteady() {
    this->balancer.NextChange(this->Engines());
    this->clock.Advance(absl::Seconds(2));
  }

  int next_id = 0;
  ManualClock clock;
  ReplicaSet replicas{clock};
  RoleBalancer balancer{clock};
};

// Guards against a service without an engine that generates answers, because
// the only one counts although it wants no requests, and against an order to
// that engine.
BOOST_FIXTURE_TEST_CASE(closed_engine_is_no_capacity, Fixture) {
  this->Add(1, "a", EngineRole::kDecode);
  this->Add(4, "a", EngineRole::kPrefill);
  this->WaitUntilSteady();
  BOOST_TEST(this->OrderAll().empty());
  this->replicas.Find("e0")->closed_until =
      this->clock.Now() + absl::Seconds(20);
  this->WaitUntilSteady();
  this->clock.Advance(absl::Seconds(2));
  std::vector<RoleChange> changes = this->OrderAll();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST((changes[0].role == EngineRole::kDecode));
  BOOST_TEST(changes[0].replica != "e0");
  // An engine that turns requests away while its role changes still counts.
  this->replicas.Find(changes[0].replica)->closed_until =
      this->clock.Now() + absl::Seconds(5);
  this->WaitUntilSteady();
  BOOST_TEST(this->OrderAll().empty());
}

// Three quarters of the engines must become prefill engines; with fewer, long
// prompts wait while decode engines are idle. Each zone must keep a decode
// engine.
BOOST_FIXTURE_TEST_CASE(three_quarters_prefill_and_each_zone_decodes, Fixture) {
  for (const char* zone : {"a", "b", "c"}) {
    this->Add(1, zone, EngineRole::kPrefill);
    this->Add(3, zone, EngineRole::kDecode);
  }
  this->WaitUntilSteady();
  std::vector<RoleChange> changes = this->OrderAll();
  BOOST_TEST(changes.size() == 6U);
  std::map<std::string, int> changed_by_zone;
  for (const RoleChange& change : changes) {
    BOOST_TEST((change.role == EngineRole::kPrefill));
    ++changed_by_zone[this->replicas.Find(change.replica)
                          ->entry.availability_zone];
  }
  for (const auto& [zone, count] : changed_by_zone)
    BOOST_TEST(count == 2);
}

// Guards against orders while the registry is still being filled.
BOOST_FIXTURE_TEST_CASE(waits_until_the_number_of_engines_is_steady, Fixture) {
  this->Add(4, "a", EngineRole::kDecode);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(!this->balancer.NextChange(this->Engines()).has_value());
    this->clock.Advance(absl::Milliseconds(800));
    this->Add(1, "a", EngineRole::kDecode);
  }
  this->WaitUntilSteady();
  BOOST_TEST(this->balancer.NextChange(this->Engines()).has_value());
}

// Guards against taking too many engines out of service at the same time while
// requests are running.
BOOST_FIXTURE_TEST_CASE(few_engines_change_at_once_under_load, Fixture) {
  this->Add(12, "a", EngineRole::kDecode);
  this->replicas.Find("e0")->outstanding = 1;
  this->WaitUntilSteady();
  BOOST_TEST(this->OrderAll().size() <= 5U);
}

// Guards against a second order to an engine that may still carry out the first
// one, and against never repeating the order.
BOOST_FIXTURE_TEST_CASE(order_without_effect_is_repeated_later, Fixture) {
  this->Add(4, "a", EngineRole::kDecode);
  this->WaitUntilSteady();
  BOOST_TEST(this->OrderAll().size() == 3U);
  this->clock.Advance(absl::Seconds(12));
  BOOST_TEST(this->OrderAll().empty());
  this->clock.Advance(absl::Seconds(2));
  this->WaitUntilSteady();
  BOOST_TEST(this->OrderAll().size() == 3U);
}

// Guards against an engine that keeps its role for good after an order was
// refused.
BOOST_FIXTURE_TEST_CASE(refused_order_is_repeated, Fixture) {
  this->Add(2, "a", EngineRole::kDecode);
  this->WaitUntilSteady();
  auto change = this->balancer.NextChange(this->Engines());
  BOOST_REQUIRE(change.has_value());
  this->balancer.OnOrdered(*change);
  BOOST_TEST(!this->balancer.NextChange(this->Engines()).has_value());
  this->balancer.OnRefused(change->replica);
  this->WaitUntilSteady();
  BOOST_TEST(this->balancer.NextChange(this->Engines()).has_value());
}

// Guards against streams that cannot go on at their version because enough
// engines of another version decode.
BOOST_FIXTURE_TEST_CASE(each_version_gets_decode_engines, Fixture) {
  this->Add(4, "a", EngineRole::kPrefill, "v1");
  this->Add(4, "a", EngineRole::kDecode, "v2");
  this->WaitUntilSteady();
  std::vector<RoleChange> changes = this->OrderAll();
  BOOST_TEST(this->CountDecode("v1", changes) == 2);
  BOOST_TEST(this->CountDecode("v2", changes) == 2);
}

// Guards against an order that takes the last decode engines of a version.
BOOST_FIXTURE_TEST_CASE(decode_engines_of_a_small_version_are_kept, Fixture) {
  this->Add(2, "a", EngineRole::kDecode, "v1");
  this->Add(2, "a", EngineRole::kPrefill, "v1");
  this->Add(12, "a", EngineRole::kDecode, "v2");
  this->WaitUntilSteady();
  std::vector<RoleChange> changes = this->OrderAll();
  BOOST_TEST(changes.size() == 10U);
  BOOST_TEST(this->CountDecode("v1", changes) == 2);
  BOOST_TEST(this->CountDecode("v2", changes) == 2);
}

// Guards against a version without decode engines for as long as a release
// changes the number of engines.
BOOST_FIXTURE_TEST_CASE(release_does_not_delay_decode_engines_of_a_version,
                        Fixture) {
  this->Add(6, "a", EngineRole::kPrefill, "v1");
  std::vector<RoleChange> changes;
  for (int i = 0; i < 4 && changes.empty(); ++i) {
    this->Add(1, "a", EngineRole::kDecode, "v2");
    changes = this->OrderAll();
    this->clock.Advance(absl::Milliseconds(300));
  }
  BOOST_TEST(this->CountDecode("v1", changes) == 2);
}

// Guards against a service without a decode engine, and against decode engines
// that have too few slots in total.
BOOST_AUTO_TEST_CASE(at_least_one_engine_of_each_role) {
  BOOST_TEST(RoleBalancer::WantedDecodeEngines(1, 1, 128) == 1U);
  BOOST_TEST(RoleBalancer::WantedDecodeEngines(2, 2, 128) == 1U);
  BOOST_TEST(RoleBalancer::WantedDecodeEngines(12, 3, 128) == 3U);
  BOOST_TEST(RoleBalancer::WantedDecodeEngines(90, 3, 128) == 18U);
  // With few slots, a fifth of the engines could not hold the streams.
  BOOST_TEST(RoleBalancer::WantedDecodeEngines(90, 3, 24) == 24U);
  BOOST_TEST(RoleBalancer::WantedDecodeEngines(90, 3, 1) == 45U);
}

// Guards against a zone without engines of one role when on-demand engines are
// exchanged for spot engines, which register without a role: the old ones that
// are taken away may be those that decode.
BOOST_FIXTURE_TEST_CASE(roles_survive_an_exchange_of_engines, Fixture) {
  constexpr absl::Duration kTick = absl::Milliseconds(200);
  constexpr absl::Duration kChangeTime = absl::Seconds(3);
  const std::vector<std::string> zones{"a", "b", "c", "d"};
  for (const std::string& zone : zones) {
    this->Add(7, zone, EngineRole::kDecode);
    this->Add(28, zone, EngineRole::kPrefill);
  }
  std::vector<std::pair<absl::Time, RoleChange>> changing;
  auto count = [this](const std::string& zone, bool decodes) {
    auto engines = this->Engines();
    return std::count_if(
        engines.begin(), engines.end(), [&](const auto& engine) {
          bool is_prefill = engine->entry.role == EngineRole::kPrefill;
          return engine->entry.availability_zone == zone &&
                 is_prefill != decodes;
        });
  };
  auto run = [&](absl::Duration time) {
    absl::Time end = this->clock.Now() + time;
    while (this->clock.Now() < end) {
      this->clock.Advance(kTick);
      for (const RoleChange& change : this->OrderAll())
        changing.emplace_back(this->clock.Now() + kChangeTime, change);
      std::erase_if(changing, [&](const auto& item) {
        if (item.first > this->clock.Now())
          return false;
        if (auto engine = this->replicas.Find(item.second.replica)) {
          ReplicaEntry entry = engine->entry;
          entry.role = item.second.role;
          this->replicas.Apply(entry);
        }
        return true;
      });
      for (const std::string& zone : zones)
        BOOST_TEST(count(zone, true) >= 2);
    }
  };
  run(absl::Seconds(2));
  for (const std::string& zone : zones) {
    for (int i = 0; i < 35; ++i) {
      ReplicaEntry entry = MakeEntry("s" + std::to_string(this->next_id++),
                                     zone, EngineRole::kDecode);
      entry.role.reset();
      entry.software_version = "v1";
      this->replicas.Apply(entry);
    }
  }
  // Those that register until the on-demand engines have been ordered away.
  run(absl::Seconds(5));
  for (const std::string& zone : zones) {
    int left = 26;
    for (EngineRole role : {EngineRole::kDecode, EngineRole::kPrefill}) {
      for (const auto& engine : this->Engines()) {
        const ReplicaEntry& entry = engine->entry;
        if (entry.id.front() == 'e' && entry.availability_zone == zone &&
            entry.role == role && left-- > 0)
          this->replicas.Remove(std::string(entry.id));
      }
    }
  }
  run(absl::Seconds(40));
  for (const std::string& zone : zones) {
    BOOST_TEST(count(zone, true) >= 7);
    BOOST_TEST(count(zone, false) >= 20);
  }
}

}  // namespace
}  // namespace cranberryhill::forward
