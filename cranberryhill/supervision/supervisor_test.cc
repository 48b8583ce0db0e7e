#include "cranberryhill/supervision/supervisor.h"

#include <boost/test/unit_test.hpp>

namespace cranberryhill {
namespace {

class FakePart : public SupervisedPart {
 public:
  FakePart(std::string part_name, std::vector<std::string>& events)
      : part_name(std::move(part_name)), events(events) {}

  std::string_view name() const override { return this->part_name; }
  Result<void> Start() override {
    if (this->failures > 0) {
      --this->failures;
      return MakeError(ErrorCode::kUnavailable, "port", "1", "is in use");
    }
    this->events.push_back("+" + this->part_name);
    return {};
  }
  void Stop() override { this->events.push_back("-" + this->part_name); }

  int failures = 0;

 private:
  std::string part_name;
  std::vector<std::string>& events;
};

struct Fixture {
  std::vector<std::string> events;
  FakePart a{"a", this->events};
  FakePart b{"b", this->events};
  ManualClock clock;
  Supervisor root{"root", RestartLimits{2, absl::Seconds(10)}, this->clock};
  int exhausted = 0;

  Fixture() {
    this->root.Add(this->a);
    this->root.Add(this->b);
    this->root.SetOnExhausted([this](const Error&) { ++this->exhausted; });
  }
  bool Start() {
    return Capture([this]() -> Result<bool> {
             BOOST_LEAF_CHECK(this->root.Start());
             return true;
           })
        .ok();
  }
};

// Guards against parts left running when a later part cannot start.
BOOST_FIXTURE_TEST_CASE(FailedStartStopsEarlierParts, Fixture) {
  b.failures = 1;
  BOOST_TEST(!Start());
  BOOST_TEST((events == std::vector<std::string>{"+a", "-a"}));
}

// Guards against a part that is stopped before those that depend on it.
BOOST_FIXTURE_TEST_CASE(StopsInReverseOrder, Fixture) {
  BOOST_REQUIRE(Start());
  root.Stop();
  BOOST_TEST((events == std::vector<std::string>{"+a", "+b", "-b", "-a"}));
}

// Guards against restarts without end, and against old restarts that count.
BOOST_FIXTURE_TEST_CASE(RestartsAreLimitedWithinTheWindow, Fixture) {
  BOOST_REQUIRE(Start());
  root.OnFailed(a, Error{});
  root.OnFailed(a, Error{});
  BOOST_TEST(exhausted == 0);
  clock.Advance(absl::Seconds(11));
  root.OnFailed(a, Error{});
  root.OnFailed(a, Error{});
  BOOST_TEST(exhausted == 0);
  root.OnFailed(a, Error{});
  BOOST_TEST(exhausted == 1);
  BOOST_TEST(root.restarts() == 4U);
}

// Guards against a restart that fails and is then forgotten.
BOOST_FIXTURE_TEST_CASE(FailedRestartIsTriedAgain, Fixture) {
  BOOST_REQUIRE(Start());
  a.failures = 1;
  root.OnFailed(a, Error{});
  BOOST_TEST(root.restarts() == 2U);
  BOOST_TEST(events.back() == "+a");
}

}  // namespace
}  // namespace cranberryhill
