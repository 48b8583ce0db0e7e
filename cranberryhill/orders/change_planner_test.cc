#include "cranberryhill/orders/change_planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "cranberryhill/base/random.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

// Fake engines that accept every order, change their role at once, and report
// that they are idle.
class AcceptingEngines : public OrderSender {
 public:
  void Send(const EngineOrder& order,
            std::function<bool()> may_write,
            OrderSendCallback callback) override {
    if (!may_write()) {
      callback(OrderSendResult::kNotSent);
      return;
    }
    if (order.kind == OrderKind::kSetRole)
      this->reports[order.engine].role = order.role;
    callback(OrderSendResult::kAccepted);
  }

  void ReadReport(const std::string& engine, ReportCallback callback) override {
    callback(this->reports[engine]);
  }

  std::map<std::string, EngineReport> reports;
};

struct Fixture {
  void AddMixedEngines() {
    std::vector<ManagedEngine> managed;
    for (const char* id : {"e0", "e1", "e2"}) {
      EngineReport report;
      report.role = "mixed";
      report.models = {{"m", "1", ""}};
      report.idle_for = absl::Hours(1);
      this->engines.reports[id] = report;
      managed.push_back({id, false});
    }
    this->executor.SetEngines(managed);
  }

  void SetDesiredRole(const std::string& role) {
    std::vector<DesiredEngineState> desired;
    for (const auto& [id, report] : this->engines.reports)
      desired.push_back({id, role, {{"m", "1", ""}}, "m"});
    this->planner.SetDesired(desired);
  }

  void RunFor(absl::Duration duration) {
    absl::Time end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->clock.Advance(absl::Milliseconds(100));
      this->lease.Tick();
      this->executor.Tick();
      this->planner.Tick();
      if (this->planner.plan()) {
        this->max_draining =
            std::max(this->max_draining, this->planner.plan()->draining.size());
      }
    }
  }

  ManualClock clock{absl::UnixEpoch() + absl::Hours(1)};
  SeededRandom random{1};
  TableRows rows;
  MemoryTable table{this->rows};
  AcceptingEngines engines;
  LeaseManager lease{
      {.key = LeaseRowKey("env", "a", "0"), .holder = "i0", .address = "x"},
      this->table,
      this->clock,
      this->random};
  OrderExecutor executor{{.environment = "env", .zone = "a"},
                         this->lease,
                         this->table,
                         this->engines,
                         this->clock};
  ChangePlanner planner{{.environment = "env", .zone = "a", .shard = "0"},
                        this->lease,
                        this->executor,
                        this->table,
                        this->clock};
  size_t max_draining = 0;
};

// Guards against draining engines that are new in the configuration document
// but need no change, which leaves a zone without capacity for some seconds.
BOOST_FIXTURE_TEST_CASE(NewEnginesInDesiredStateStartNoChange, Fixture) {
  RunFor(absl::Seconds(3));
  AddMixedEngines();
  SetDesiredRole("mixed");
  RunFor(absl::Seconds(30));
  BOOST_TEST(lease.Grant().has_value());
  BOOST_TEST(planner.counters().started == 0U);
  BOOST_TEST(max_draining == 0U);
}

// Guards against changing all engines of a group at the same time, which leaves
// no engine to serve requests.
BOOST_FIXTURE_TEST_CASE(EnginesOfAGroupChangeOneAtATime, Fixture) {
  AddMixedEngines();
  SetDesiredRole("prefill");
  RunFor(absl::Seconds(90));
  BOOST_TEST(max_draining == 1U);
  for (const auto& [id, report] : engines.reports)
    BOOST_TEST(report.role == "prefill");
}

}  // namespace
}  // namespace cranberryhill
