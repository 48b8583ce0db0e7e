#ifndef CRANBERRYHILL_DAEMON_CHAT_FIXTURE_TEST_H_
#define CRANBERRYHILL_DAEMON_CHAT_FIXTURE_TEST_H_

// The parts of the daemon that serve chats, on FakeEngines.
//
//   ChatFixture fixture({"mixed", "mixed"});
//   ChatRecord& chat = fixture.Submit("hello", 5);
//   fixture.RunFor(absl::Seconds(1));

#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/daemon/chat_service.h"
#include "cranberryhill/daemon/fake_engines_test.h"
#include "cranberryhill/daemon/plan_views.h"
#include "cranberryhill/orders/drain_plan_record.h"

namespace cranberryhill {

/// What a chat's sink received.
struct ChatRecord {
  std::string prompt;
  ChatId id = 0;
  std::string text;
  uint32_t tokens = 0;
  int ends = 0;
  bool answered = false;
  std::optional<Refusal> refusal;
  bool cancelled = false;
  int after_end = 0;  ///< Calls after the end or after the cancellation.
};

class ChatFixture {
 public:
  explicit ChatFixture(const std::vector<std::string>& roles,
                       uint64_t seed = 1);

  ChatRecord& Submit(const std::string& prompt,
                     uint32_t tokens,
                     absl::Duration limit = absl::Seconds(30),
                     int64_t prompt_tokens = 1024);
  void Cancel(ChatRecord& chat);
  void RunFor(absl::Duration duration) { this->executor.RunFor(duration); }

  /// Runs until engine 0 was asked to export blocks, for 1 s at most.
  void RunUntilExport();

  /// Sets the marks of the plan row; seen with the next scan, each 500 ms.
  void Mark(std::vector<std::string> engines);

  FakeEngine& Engine(size_t index) { return *this->by_index.at(index); }
  size_t Runs(const std::string& prompt);
  size_t Running(const std::string& prompt);
  /// @return Engines that got work or a probe while they were marked, leaving
  ///     or not allowed by the view.
  const std::vector<std::string>& violations() const {  // NOLINT
    return this->forbidden;
  }
  std::shared_ptr<const VersionInForce> Document() const {
    return this->version;
  }

  ManualClock clock{absl::UnixEpoch() + absl::Hours(1)};
  ManualExecutor executor{clock};
  SeededRandom random;
  Settings settings;
  CrashQuarantine crashes{CrashQuarantinePolicy{}};
  UsageLimits limits{clock};
  MembershipView members{{}, clock};
  Metrics metrics;
  PlanViews views{"annex", clock};
  FakeEngines engines{clock, executor};
  ChatService chats;
  EngineFleet fleet;
  std::list<ChatRecord> records;
  bool table_up = true;

 private:
  void FastTick();
  void SlowTick();

  std::vector<FakeEngine*> by_index;
  std::shared_ptr<VersionInForce> version;
  DrainPlanRecord plan;
  absl::Time next_scan;
  std::vector<std::string> forbidden;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_CHAT_FIXTURE_TEST_H_
