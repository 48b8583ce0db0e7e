// Usage reports of a fleet whose instances crash and pause, whose store loses
// answers and delays writes, and whose platform loses answers.

#include "cranberryhill/duties/usage_reporter.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cranberryhill/base/json.h"
#include "cranberryhill/duties/duty_message.h"
#include "cranberryhill/table/memory_table.h"
#include "cranberryhill/usage/usage_counter.h"

namespace cranberryhill::duties {
namespace {

constexpr absl::Duration kWindow = absl::Seconds(5);
constexpr absl::Duration kStep = absl::Milliseconds(250);
constexpr int kInstances = 3;

class NullLog : public gateway::EventLog {
 public:
  void Write(const gateway::LogEvent&) override {}
};

class JsonDutyCodec : public DutyCodec {
 public:
  http1::OutgoingRequest EncodeUsage(
      const DutyAuthority& authority,
      int64_t window,
      const usage::CustomerCounts& counts) const override {
    http1::OutgoingRequest request;
    request.body = Json({{"window", window},
                         {"counts", counts},
                         {"holder", authority.holder},
                         {"fencing_number", authority.fencing_number}})
                       .dump();
    return request;
  }
  http1::OutgoingRequest EncodeReplicaCount(
      const DutyAuthority&,
      const ReplicaCountOrder&) const override {
    return {};
  }
};

/// The platform as all holders reach it.
struct Platform {
  enum class Mode { kUp, kLosesAnswers, kDown, kTooManyCalls };

  Mode mode = Mode::kUp;
  std::map<int64_t, std::set<std::string>> reports;  // Distinct ones.
  std::map<int64_t, usage::CustomerCounts> counts;
  uint64_t highest_fencing_number = 0;
  bool was_fenced = false;  ///< A lower number came after a higher one.
  std::string last_holder;
  absl::Time last_call_at = absl::InfinitePast();
  absl::Duration shortest_handover = absl::InfiniteDuration();
};

class PlatformCaller : public gateway::HttpCaller {
 public:
  PlatformCaller(Platform& platform, const Clock& clock)
      : platform(platform), clock(clock) {}

  void Call(const http1::OutgoingRequest& request,
            absl::Duration,
            Callback done) override {
    gateway::HttpResult answer;
    if (this->platform.mode == Platform::Mode::kTooManyCalls)
      answer.status = 429;
    if (this->platform.mode == Platform::Mode::kUp ||
        this->platform.mode == Platform::Mode::kLosesAnswers)
      this->Take(request.body);
    if (this->platform.mode == Platform::Mode::kUp)
      answer.status = 200;
    done(answer);
  }
  void Cancel() override {}
  bool IsReceiving() const override { return false; }
  size_t received_bytes() const override { return 0; }  // NOLINT

 private:
  void Take(const std::string& body) {
    Json report = Json::parse(body);
    int64_t window = report.at("window").get<int64_t>();
    this->platform.reports[window].insert(report.at("counts").dump());
    this->platform.counts[window] =
        report.at("counts").get<usage::CustomerCounts>();
    uint64_t number = report.at("fencing_number").get<uint64_t>();
    if (number < this->platform.highest_fencing_number)
      this->platform.was_fenced = true;
    this->platform.highest_fencing_number =
        std::max(this->platform.highest_fencing_number, number);
    std::string holder = report.at("holder").get<std::string>();
    if (!this->platform.last_holder.empty() &&
        holder != this->platform.last_holder) {
      this->platform.shortest_handover =
          std::min(this->platform.shortest_handover,
                   this->clock.Now() - this->platform.last_call_at);
    }
    this->platform.last_holder = holder;
    this->platform.last_call_at = this->clock.Now();
  }

  Platform& platform;
  const Clock& clock;
};

HandoverLeaseSettings LeaseOf(const std::string& instance) {
  HandoverLeaseSettings settings;
  settings.key = "lease/duties";
  settings.holder = instance;
  return settings;
}

/// One process of an instance.
struct Process {
  Process(std::string name,
          uint64_t incarnation,
          TableRows& rows,
          Platform& platform,
          const JsonDutyCodec& codec,
          gateway::EventLog& log,
          const Clock& clock)
      : name(std::move(name)),
        incarnation(incarnation),
        random(incarnation),
        table(rows),
        caller(platform, clock),
        lease(LeaseOf(this->name), table, clock, random),
        counter(kWindow),
        collector({kWindow, absl::Seconds(6)}),
        reporter({this->name, kWindow},
                 table,
                 caller,
                 codec,
                 collector,
                 log,
                 clock) {
    this->table.SetDeferred(true);
  }

  const std::string name;
  const uint64_t incarnation;
  SeededRandom random;
  MemoryTable table;
  PlatformCaller caller;
  HandoverLease lease;
  usage::UsageCounter counter;
  usage::UsageCollector collector;
  UsageReporter reporter;
  absl::Time paused_until = absl::InfinitePast();
};

class Fleet {
 public:
  Fleet() {
    for (int i = 0; i < kInstances; ++i)
      this->StartProcess(i);
  }

  void StartProcess(int index) {
    this->processes[index] = std::make_unique<Process>(
        "entry-" + std::to_string(index), ++this->incarnations, this->rows,
        this->platform, this->codec, this->log, this->clock);
  }

  void Crash(int index) {
    this->counts_were_lost = true;
    this->processes[index].reset();
  }

  /// Each running instance serves a request, and does what is due.
  void Step(bool with_requests = true) {
    this->clock.Advance(kStep);
    for (auto& process : this->processes) {
      if (process == nullptr || process->paused_until > this->clock.Now())
        continue;
      if (with_requests)
        this->ServeRequest(*process);
      this->Tick(*process);
    }
  }

  void RunFor(absl::Duration duration, bool with_requests = true) {
    for (absl::Time end = this->clock.Now() + duration;
         this->clock.Now() < end;)
      this->Step(with_requests);
  }

  void SetTableFaults(const TableFaults& faults) {
    for (auto& process : this->processes) {
      if (process != nullptr)
        process->table.SetFaults(faults);
    }
  }

  void DeliverLateWrites() {
    for (auto& process : this->processes) {
      if (process != nullptr)
        process->table.DeliverLate();
    }
  }

  ManualClock clock{absl::UnixEpoch() + absl::Seconds(1'000'000)};
  TableRows rows;
  Platform platform;
  std::vector<std::unique_ptr<Process>> processes =
      std::vector<std::unique_ptr<Process>>(kInstances);
  std::map<int64_t, usage::CustomerCounts> truth;
  bool counts_were_lost = false;

 private:
  void ServeRequest(Process& process) {
    std::string customer = "c" + std::to_string(this->served++ % 5);
    process.counter.Count(customer, this->clock.Now());
    ++this->truth[usage::WindowOf(this->clock.Now(), kWindow)][customer];
  }

  void Tick(Process& process) {
    // Calls take a step; those of a paused process take effect when it goes on.
    process.table.Pump();
    process.lease.Tick(true, 0);
    DutyReport report;
    report.windows = process.counter.Undecided(this->clock.Now());
    report.first_window = report.windows.front().window;
    std::vector<std::string> live;
    int64_t known = -1;
    for (auto& other : this->processes) {
      if (other == nullptr || other->paused_until > this->clock.Now())
        continue;
      live.push_back(other->name);
      known = std::max(known, other->counter.decided());
      if (other->lease.holds()) {
        other->collector.Merge(process.name, process.incarnation,
                               report.first_window, report.windows);
      }
      if (auto decided = other->reporter.decided())
        process.counter.OnDecided(*decided);
    }
    process.reporter.Tick(process.lease, this->clock.Now(), live, known, 1);
  }

  JsonDutyCodec codec;
  NullLog log;
  uint64_t incarnations = 0;
  uint64_t served = 0;
};

void CheckConsistent(const Fleet& fleet) {
  for (const auto& [window, distinct] : fleet.platform.reports)
    RC_ASSERT(distinct.size() == 1U);
  RC_ASSERT(!fleet.platform.was_fenced);
  RC_ASSERT(fleet.platform.shortest_handover >= absl::Seconds(3));
}

// Guards against two different reports of one window, against calls of two
// holders close to each other, and against wrong sums, whatever fails.
RC_BOOST_PROP(each_window_is_reported_at_most_once,
              (const std::vector<uint8_t>& events)) {
  Fleet fleet;
  for (uint8_t event : events) {
    int index = event % kInstances;
    Process* process = fleet.processes[index].get();
    switch ((event / kInstances) % 10) {
      case 0:
        if (process != nullptr)
          fleet.Crash(index);
        else
          fleet.StartProcess(index);
        break;
      case 1:
        if (process != nullptr) {
          process->paused_until =
              fleet.clock.Now() + absl::Seconds(1 + event % 9);
        }
        break;
      case 2:
        fleet.SetTableFaults({.outage = true});
        break;
      case 3:
        fleet.SetTableFaults({.lose_answers = true});
        break;
      case 4:
        fleet.SetTableFaults({.delay_commits = true});
        break;
      case 5:
        fleet.SetTableFaults({});
        fleet.DeliverLateWrites();
        break;
      case 6:
        fleet.platform.mode = Platform::Mode::kLosesAnswers;
        break;
      case 7:
        fleet.platform.mode = Platform::Mode::kDown;
        break;
      case 8:
        fleet.platform.mode = Platform::Mode::kTooManyCalls;
        break;
      default:
        fleet.platform.mode = Platform::Mode::kUp;
        break;
    }
    fleet.RunFor(absl::Seconds(1 + event % 5));
  }
  fleet.SetTableFaults({});
  fleet.DeliverLateWrites();
  fleet.platform.mode = Platform::Mode::kUp;
  fleet.RunFor(absl::Seconds(40), false);
  CheckConsistent(fleet);
  if (fleet.counts_were_lost)
    return;
  for (const auto& [window, counts] : fleet.platform.counts) {
    if (fleet.truth.contains(window))
      RC_ASSERT(counts == fleet.truth.at(window));
  }
}

// Guards against windows that are not reported, or late, on a calm day.
BOOST_AUTO_TEST_CASE(calm_fleet_reports_each_window_in_time) {
  Fleet fleet;
  fleet.RunFor(absl::Seconds(60));
  int64_t present = usage::WindowOf(fleet.clock.Now(), kWindow);
  for (int64_t window = present - 9; window <= present - 2; ++window) {
    BOOST_REQUIRE(fleet.platform.counts.contains(window));
    BOOST_TEST((fleet.platform.counts[window] == fleet.truth[window]));
  }
}

// Guards against usage that is lost when the holder is killed or the platform
// is away for a while.
BOOST_AUTO_TEST_CASE(next_holder_reports_what_the_last_one_could_not) {
  Fleet fleet;
  fleet.RunFor(absl::Seconds(30));
  fleet.platform.mode = Platform::Mode::kDown;
  fleet.RunFor(absl::Seconds(10));
  for (int i = 0; i < kInstances; ++i) {
    if (fleet.processes[i]->lease.holds()) {
      fleet.Crash(i);
      break;
    }
  }
  fleet.RunFor(absl::Seconds(10));
  fleet.platform.mode = Platform::Mode::kUp;
  fleet.RunFor(absl::Seconds(20));
  int64_t present = usage::WindowOf(fleet.clock.Now(), kWindow);
  for (int64_t window = present - 9; window <= present - 2; ++window)
    BOOST_TEST(fleet.platform.reports[window].size() == 1U);
}

// Guards against windows that are counted and logged as given up again and
// again until the next one is decided.
BOOST_AUTO_TEST_CASE(each_window_is_given_up_once) {
  Fleet fleet;
  fleet.RunFor(absl::Seconds(30));
  fleet.platform.mode = Platform::Mode::kDown;
  fleet.RunFor(absl::Seconds(100));
  uint64_t given_up = 0;
  for (const auto& process : fleet.processes)
    given_up += process->reporter.counts().given_up;
  BOOST_TEST(given_up >= 6U);
  BOOST_TEST(given_up <= 9U);
}

// Guards against a row that is too large for the store when windows wait for
// the platform: its write would fail for as long as they wait.
BOOST_AUTO_TEST_CASE(waiting_windows_fit_into_a_row) {
  constexpr size_t kRowBytes = 65'536;
  Fleet fleet;
  fleet.RunFor(absl::Seconds(30));
  fleet.platform.mode = Platform::Mode::kDown;
  size_t largest = 0;
  for (int customers : {2000, 3500}) {
    for (int i = 0; i < customers; ++i) {
      fleet.processes[0]->counter.Count("customer" + std::to_string(1000 + i),
                                        fleet.clock.Now());
    }
    for (int step = 0; step < 40; ++step) {
      fleet.Step();
      for (const Row& row : fleet.rows.Read({"usage/windows"}))
        largest = std::max(largest, row.value.size());
    }
  }
  BOOST_TEST(largest > kRowBytes / 3);
  BOOST_TEST(largest < kRowBytes);
}

// Guards against a number of waiting windows that is wrong, or below zero, when
// the platform accepts a window that has been given up meanwhile.
BOOST_AUTO_TEST_CASE(late_acceptance_does_not_hide_waiting_windows) {
  class LateCaller : public gateway::HttpCaller {
   public:
    void Call(const http1::OutgoingRequest&,
              absl::Duration,
              Callback done) override {
      this->done = std::move(done);
    }
    void Cancel() override {}
    bool IsReceiving() const override { return false; }
    size_t received_bytes() const override { return 0; }  // NOLINT

    Callback done;
  };
  ManualClock clock(absl::UnixEpoch() + absl::Seconds(1'000'000));
  TableRows rows;
  MemoryTable table(rows);
  SeededRandom random(1);
  LateCaller caller;
  JsonDutyCodec codec;
  NullLog log;
  HandoverLease lease(LeaseOf("a"), table, clock, random);
  usage::UsageCounter counter(kWindow);
  usage::UsageCollector collector({kWindow, absl::Seconds(6)});
  UsageReporter reporter({"a", kWindow}, table, caller, codec, collector, log,
                         clock);
  const std::vector<std::string> live{"a"};
  auto run_for = [&](absl::Duration duration) {
    for (absl::Time end = clock.Now() + duration; clock.Now() < end;) {
      clock.Advance(kStep);
      lease.Tick(true, 0);
      auto windows = counter.Undecided(clock.Now());
      collector.Merge("a", 1, windows.front().window, windows);
      reporter.Tick(lease, clock.Now(), live, -1, 1);
      counter.OnDecided(reporter.decided().value_or(-1));
    }
  };
  run_for(absl::Seconds(92));
  BOOST_REQUIRE(caller.done);
  size_t waiting = reporter.PendingWindows();
  BOOST_TEST(waiting > 5U);
  gateway::HttpResult accepted;
  accepted.status = 200;
  std::exchange(caller.done, nullptr)(accepted);
  BOOST_TEST(reporter.PendingWindows() == waiting);
}

// Guards against messages that are misread, and against one that is too large
// for a datagram.
BOOST_AUTO_TEST_CASE(duty_report_survives_its_messages) {
  constexpr size_t kMaxDatagram = 14'000;
  DutyReport report;
  report.instance = "entry-1";
  report.incarnation = 7;
  report.sequence = 9;
  report.clock_offset = absl::Milliseconds(1234);
  report.decided = 11;
  report.first_window = 12;
  usage::WindowCounts window{12, true, 0, {}};
  for (int i = 0; i < 2000; ++i)
    window.total += window.counts["hule" + std::to_string(i)] = 2;
  report.windows.push_back(window);
  report.demand.push_back({"lm", "a", 5, 2.5, 1, 3});
  std::vector<std::string> messages = EncodeDutyReport(report);
  BOOST_TEST(messages.size() > 1U);
  usage::CustomerCounts merged;
  size_t demands = 0;
  for (const std::string& message : messages) {
    BOOST_TEST(message.size() < kMaxDatagram);
    BOOST_TEST(IsDutyReport(message));
    BOOST_TEST(!IsDutyNotice(message));
    auto read = Capture([&] { return DecodeDutyReport(message); });
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(read.value().instance == "entry-1");
    BOOST_TEST((read.value().clock_offset == absl::Milliseconds(1234)));
    BOOST_TEST(read.value().decided == 11);
    demands += read.value().demand.size();
    for (const auto& part : read.value().windows) {
      BOOST_TEST(part.total == 4000U);
      merged.insert(part.counts.begin(), part.counts.end());
    }
  }
  BOOST_TEST((merged == window.counts));
  BOOST_TEST(demands == 1U);
}

// Guards against messages of a newer build that are misread, and against new
// fields that make a message unreadable.
BOOST_AUTO_TEST_CASE(newer_forms_are_refused_and_new_fields_ignored) {
  DutyNotice notice{"entry-1", 3, 17, absl::Milliseconds(-5)};
  std::string bytes = EncodeDutyNotice(notice);
  auto with = [&bytes](const char* field, Json value) {
    Json fields = Json::from_msgpack(bytes.begin() + 4, bytes.end());
    fields[field] = std::move(value);
    std::string changed;
    Json::to_msgpack(fields, changed);
    return bytes.substr(0, 4) + changed;
  };
  auto read = [](const std::string& message) {
    return Capture([&] { return DecodeDutyNotice(message); });
  };
  BOOST_REQUIRE(read(with("new", 1)).ok());
  BOOST_TEST(read(with("new", 1)).value().decided == 17);
  BOOST_TEST(!read(with("form", 2)).ok());
  BOOST_TEST(!read(with("decided", "x")).ok());
  BOOST_TEST(!read(bytes.substr(0, 9)).ok());
  BOOST_TEST(!read("").ok());
}

}  // namespace
}  // namespace cranberryhill::duties
