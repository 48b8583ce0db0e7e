#include "cranberryhill/forward/role_balance.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "cranberryhill/forward/test_replicas.h"

namespace cranberryhill::forward {
namespace {

struct Fixture {
  void Add(int count, const std::string& zone, EngineRole role) {
    for (int i = 0; i < count; ++i) {
      this->replicas.Apply(
          MakeEntry("e" + std::to_string(this->next_id++), zone, role));
    }
  }

  std::vector<std::shared_ptr<Replica>> Engines() {
    return this->replicas.Members("service");
  }

  /// Gives all orders that are due, as accepted.
  std::vector<RoleChange> OrderAll() {
    std::vector<RoleChange> changes;
    while (auto change = this->balance.Next(this->Engines())) {
      this->balance.OnOrdered(*change);
      changes.push_back(*change);
    }
    return changes;
  }

  void Settle() {
    this->balance.Next(this->Engines());
    this->clock.Advance(absl::Seconds(2));
  }

  int next_id = 0;
  ManualClock clock;
  ReplicaSet replicas{clock};
  RoleBalance balance{clock};
};

// Guards against a fleet that reads long prompts with a third of its engines
// while the others wait, and against a zone without an engine that generates.
BOOST_FIXTURE_TEST_CASE(three_quarters_read_and_each_zone_generates, Fixture) {
  for (const char* zone : {"a", "b", "c"}) {
    this->Add(1, zone, EngineRole::kPrefill);
    this->Add(3, zone, EngineRole::kDecode);
  }
  this->Settle();
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

// Guards against orders to a fleet whose registry is still filling.
BOOST_FIXTURE_TEST_CASE(waits_until_the_number_of_engines_is_steady, Fixture) {
  this->Add(4, "a", EngineRole::kDecode);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(!this->balance.Next(this->Engines()).has_value());
    this->clock.Advance(absl::Milliseconds(800));
    this->Add(1, "a", EngineRole::kDecode);
  }
  this->Settle();
  BOOST_TEST(this->balance.Next(this->Engines()).has_value());
}

// Guards against taking too many engines out of service at the same time while
// requests are running.
BOOST_FIXTURE_TEST_CASE(few_change_at_once_under_load, Fixture) {
  this->Add(12, "a", EngineRole::kDecode);
  this->replicas.Find("e0")->outstanding = 1;
  this->Settle();
  BOOST_TEST(this->OrderAll().size() <= 5U);
}

// Guards against a second order to an engine that may still carry out the
// first one, and against never ordering it again.
BOOST_FIXTURE_TEST_CASE(order_without_effect_is_given_again_later, Fixture) {
  this->Add(4, "a", EngineRole::kDecode);
  this->Settle();
  BOOST_TEST(this->OrderAll().size() == 3U);
  this->clock.Advance(absl::Seconds(12));
  BOOST_TEST(this->OrderAll().empty());
  this->clock.Advance(absl::Seconds(2));
  this->Settle();
  BOOST_TEST(this->OrderAll().size() == 3U);
}

// Guards against an engine that stays as it is after its order was refused.
BOOST_FIXTURE_TEST_CASE(refused_order_is_given_again, Fixture) {
  this->Add(2, "a", EngineRole::kDecode);
  this->Settle();
  auto change = this->balance.Next(this->Engines());
  BOOST_REQUIRE(change.has_value());
  this->balance.OnOrdered(*change);
  BOOST_TEST(!this->balance.Next(this->Engines()).has_value());
  this->balance.OnRefused(change->replica);
  this->Settle();
  BOOST_TEST(this->balance.Next(this->Engines()).has_value());
}

// Guards against a service without any engine that generates.
BOOST_AUTO_TEST_CASE(at_least_one_of_each_role) {
  BOOST_TEST(RoleBalance::WantedRunners(1, 1, 128) == 1U);
  BOOST_TEST(RoleBalance::WantedRunners(2, 2, 128) == 1U);
  BOOST_TEST(RoleBalance::WantedRunners(12, 3, 128) == 3U);
  BOOST_TEST(RoleBalance::WantedRunners(90, 3, 128) == 18U);
  // Few slots: a fifth of the engines could not hold the streams.
  BOOST_TEST(RoleBalance::WantedRunners(90, 3, 24) == 24U);
  BOOST_TEST(RoleBalance::WantedRunners(90, 3, 1) == 45U);
}

}  // namespace
}  // namespace cranberryhill::forward
