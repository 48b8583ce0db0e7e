#include "cranberryhill/forward/route_history.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "cranberryhill/forward/stream_version_records.h"

namespace cranberryhill::forward {
namespace {

constexpr char kHost[] = "h";
constexpr char kTarget[] = "/chat/1";
constexpr char kStream[] = "stream";

std::shared_ptr<const RouteTable> MakeTable(
    std::vector<WeightedService> services,
    std::string prefix = "/chat/") {
  auto configuration = std::make_shared<Configuration>();
  if (!services.empty()) {
    Route route;
    route.host = kHost;
    route.path_prefix = std::move(prefix);
    route.services = std::move(services);
    configuration->routes.push_back(std::move(route));
  }
  return std::make_shared<const RouteTable>(configuration);
}

std::shared_ptr<const RouteTable> MakeTable(const char* service) {
  return MakeTable({{service, 1}});
}

using Services = std::vector<std::string>;

struct Fixture {
  Services Picked(absl::Duration span = RouteHistory::kSpan) const {
    return this->history.PickedServices(kHost, kTarget, kStream, span);
  }

  ManualClock clock;
  RouteHistory history{clock};
};

// Guards against a stream whose service is forgotten with the table that picked
// it, and against a service that is named although its table ended before.
BOOST_FIXTURE_TEST_CASE(services_of_former_tables_are_known, Fixture) {
  BOOST_TEST(this->Picked().empty());
  this->history.Add(MakeTable("a"));
  this->clock.Advance(absl::Minutes(5));
  BOOST_TEST(this->Picked() == Services{"a"});
  this->history.Add(MakeTable("b"));
  this->clock.Advance(absl::Seconds(2));
  this->history.Add(MakeTable("a"));
  this->clock.Advance(absl::Seconds(1));
  BOOST_TEST(this->Picked(absl::Seconds(4)) == (Services{"a", "b"}));
  BOOST_TEST(this->Picked(absl::Seconds(2)) == (Services{"b", "a"}));
  BOOST_TEST(this->Picked(absl::Seconds(1)) == Services{"a"});
  this->clock.Advance(RouteHistory::kSpan);
  BOOST_TEST(this->Picked() == Services{"a"});
}

// Guards against a route that was added or removed, or whose longer prefix has
// taken paths over, and that hides the services of the others.
BOOST_FIXTURE_TEST_CASE(tables_without_the_route_are_passed_over, Fixture) {
  this->history.Add(MakeTable("a"));
  this->history.Add(MakeTable(std::vector<WeightedService>{}));
  this->history.Add(MakeTable({{"b", 1}}, "/chat/1"));
  BOOST_TEST(this->Picked() == (Services{"a", "b"}));
}

// Guards against memory that grows with changes that leave the splits as they
// are, and against a former split that they push out.
BOOST_FIXTURE_TEST_CASE(changes_of_other_kinds_are_not_kept, Fixture) {
  this->history.Add(MakeTable("a"));
  this->history.Add(MakeTable("b"));
  for (int change = 0; change < 100; ++change)
    this->history.Add(MakeTable("b"));
  BOOST_TEST(this->Picked() == (Services{"a", "b"}));
}

// Guards against memory that grows with the number of changes.
BOOST_FIXTURE_TEST_CASE(former_tables_are_bounded, Fixture) {
  for (int change = 0; change < 1000; ++change)
    this->history.Add(MakeTable({{"s" + std::to_string(change), 1}}));
  BOOST_TEST(this->Picked().size() < 100U);
  BOOST_TEST(this->Picked().back() == "s999");
}

/// A table that instances learn of at different times.
struct Change {
  std::shared_ptr<const RouteTable> table;
  absl::Time beginner_learns_at;
  absl::Time finder_learns_at;
};

/// @return The services picked at an instance within `span` before `now`.
Services PickedAt(absl::Time Change::*learns_at,
                  const std::vector<Change>& changes,
                  absl::Time now,
                  absl::Duration span) {
  ManualClock clock;
  RouteHistory history(clock);
  history.Add(MakeTable("a"));
  for (const Change& change : changes) {
    absl::Time at = change.*learns_at;
    if (at > now)
      break;
    clock.Set(at);
    history.Add(change.table);
  }
  clock.Set(now);
  return history.PickedServices(kHost, kTarget, kStream, span);
}

// Guards against a stream without a record that an instance takes for one of
// another service, whatever changes the splits, and although instances learn of
// a change up to 5 s apart.
BOOST_AUTO_TEST_CASE(unrecorded_stream_is_found_at_its_service) {
  constexpr int kMaxDelayMs = 5000;
  constexpr int kMaxStreamMs = 6000;
  const std::vector<const char*> names = {"a", "b", "c"};
  int unrecorded = 0;
  bool held = rc::check([&](const std::vector<uint16_t>& numbers,
                            uint16_t begin, uint16_t take_up) {
    std::vector<Change> changes;
    absl::Time changed_at = absl::UnixEpoch() + absl::Minutes(1);
    for (uint16_t number : numbers) {
      changed_at += absl::Milliseconds(500 + number % 20'000);
      absl::Time first = changes.empty() ? absl::UnixEpoch()
                                         : changes.back().beginner_learns_at;
      absl::Time second =
          changes.empty() ? absl::UnixEpoch() : changes.back().finder_learns_at;
      changes.push_back(
          {MakeTable(names[number % names.size()]),
           std::max(first,
                    changed_at + absl::Milliseconds(number % kMaxDelayMs)),
           std::max(second, changed_at +
                                absl::Milliseconds(number / 7 % kMaxDelayMs))});
    }
    absl::Time began_at =
        absl::UnixEpoch() + absl::Minutes(1) + absl::Milliseconds(begin * 4);
    absl::Time taken_up_at =
        began_at + absl::Milliseconds(take_up % kMaxStreamMs);
    Services picked = PickedAt(&Change::beginner_learns_at, changes, began_at,
                               RouteHistory::kSpan);
    if (picked.size() > 1)
      return;  // The stream gets a record.
    ++unrecorded;
    Services found = PickedAt(&Change::finder_learns_at, changes, taken_up_at,
                              kStreamVersionLifetime);
    RC_ASSERT(found.front() == picked.front());
  });
  BOOST_TEST(held);
  BOOST_TEST(unrecorded > 0);
}

}  // namespace
}  // namespace cranberryhill::forward
