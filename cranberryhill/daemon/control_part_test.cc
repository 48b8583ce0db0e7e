#include "cranberryhill/daemon/control_part.h"

#include <boost/test/unit_test.hpp>

#include "cranberryhill/daemon/chat_fixture_test.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

struct ControlFixture : ChatFixture {
  ControlFixture() : ChatFixture({"mixed", "mixed", "mixed", "mixed"}) {
    this->settings.environment = "annex";
    this->settings.availability_zone = "z1";
    this->settings.instance_id = "i1";
    this->control = std::make_unique<ControlPart>(ControlContext{
        this->settings, this->clock, this->clock, this->random, this->table,
        this->orders, this->fleet, this->members, this->metrics});
    this->control->SetDocument(this->Document());
    // Views come from the control part's own plan rows.
    this->table_up = false;
  }

  void Step(absl::Duration duration) {
    absl::Time end = this->clock.Now() + duration;
    for (int i = 0; this->clock.Now() < end; ++i) {
      if (i % 5 == 0) {
        this->table.Scan("plan/annex/", "", 10, [this](const ReadOutcome& r) {
          if (r.ok() && !r.value().empty())
            this->views.OnRows(r.value(), this->clock.Now());
        });
      }
      if (i % 10 == 0) {
        this->control->ObserveWork("assistant", this->work, absl::Seconds(1));
      }
      this->control->Tick();
      this->most_marked =
          std::max(this->most_marked, this->views.DrainingCount());
      this->RunFor(absl::Milliseconds(100));
    }
  }

  // Asks for a decode engine, where all are mixed, and reports a load that
  // pays for the change.
  void WantDecode() {
    auto changed = std::make_shared<VersionInForce>(*this->Document());
    changed->document.roles = {RoleShare{0, 1}, RoleShare{0.25, 1},
                               RoleShare{0, 1}};
    this->control->SetDocument(changed);
    this->work = {4, 4};
  }

  size_t Orders() {
    size_t count = 0;
    for (const FakeEngine& engine : this->engines.all())
      count += engine.orders;
    return count;
  }

  TableRows rows;
  MemoryTable table{this->rows};
  OrderLink orders{this->engines, this->executor, this->fleet};
  std::unique_ptr<ControlPart> control;
  size_t most_marked = 0;
  ArrivedWork work;
};

// Guards against role changes that are not carried out, that take several
// engines of a group away at a time, or that cut a stream.
BOOST_FIXTURE_TEST_CASE(ForcedRolesChangeOneEngineAtATime, ControlFixture) {
  Step(absl::Seconds(10));
  BOOST_TEST(control->holds_lease());
  WantDecode();
  for (int i = 0; i < 300; ++i) {
    Submit("chat " + std::to_string(i), 20);
    Step(absl::Seconds(1));
  }
  size_t decode = 0;
  for (const FakeEngine& engine : engines.all()) {
    decode += engine.role == "decode";
    BOOST_TEST(engine.interrupted == 0U);
  }
  BOOST_TEST(decode >= 1U);
  BOOST_TEST(most_marked == 1U);
}

// Guards against orders without a lease, and against a lease that outlives a
// graceful shutdown.
BOOST_FIXTURE_TEST_CASE(LostOrReleasedLeaseStopsOrders, ControlFixture) {
  Step(absl::Seconds(10));
  table.SetFaults({.outage = true});
  WantDecode();
  Step(absl::Seconds(60));
  BOOST_TEST(!control->holds_lease());
  BOOST_TEST(Orders() == 0U);
  table.SetFaults({});
  Step(absl::Seconds(5));
  for (int i = 0; i < 100 && !control->released(); ++i) {
    control->Release();
    Step(absl::Milliseconds(100));
  }
  BOOST_TEST(control->released());
  size_t before = Orders();
  Step(absl::Seconds(30));
  BOOST_TEST(Orders() == before);
}

}  // namespace
}  // namespace cranberryhill
