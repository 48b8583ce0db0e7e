#include "cranberryhill/orders/change_planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

#include "cranberryhill/base/random.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {
namespace {

// Engines that take every order at once and are always idle.
class ObedientEngines : public OrderSender {
 public:
  void Send(const EngineOrder& order,
            std::function<bool()> may_write,
            OrderSendCallback callback) override {
    if (!may_write()) {
      callback(OrderSendState::kNotSent);
      return;
    }
    if (order.kind == OrderKind::kSetRole)
      this->reports[order.engine].role = order.role;
    callback(OrderSendState::kAccepted);
  }

  void ReadReport(const std::string& engine, ReportCallback callback) override {
    callback(this->reports[engine]);
  }

  std::map<std::string, EngineReport> reports;
};

struct Fixture {
  void AddEngines() {
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

  void SetRole(const std::string& role) {
    std::vector<DesiredEngine> desired;
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
        this->most_draining = std::max(this->most_draining,
                                       this->planner.plan()->draining.size());
      }
    }
  }

  ManualClock clock{absl::UnixEpoch() + absl::Hours(1)};
  SeededRandom random{1};
  TableRows rows;
  MemoryTable table{this->rows};
  ObedientEngines engines;
  LeaseKeeper lease{
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
  size_t most_draining = 0;
};

// Guards against engines that are taken out of service when the first document
// names them, although none has to change: a zone then served nothing for some
// seconds.
BOOST_FIXTURE_TEST_CASE(NewEnginesAloneStartNoChange, Fixture) {
  RunFor(absl::Seconds(3));
  AddEngines();
  SetRole("mixed");
  RunFor(absl::Seconds(30));
  BOOST_TEST(lease.Grant().has_value());
  BOOST_TEST(planner.counters().started == 0U);
  BOOST_TEST(most_draining == 0U);
}

// Guards against a change of all engines of a group at the same time, which
// leaves nothing to serve with.
BOOST_FIXTURE_TEST_CASE(EnginesOfAGroupChangeOneAfterTheOther, Fixture) {
  AddEngines();
  SetRole("prefill");
  RunFor(absl::Seconds(90));
  BOOST_TEST(most_draining == 1U);
  for (const auto& [id, report] : engines.reports)
    BOOST_TEST(report.role == "prefill");
}

}  // namespace
}  // namespace cranberryhill
