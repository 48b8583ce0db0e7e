#ifndef CRANBERRYHILL_CALLS_CALL_SIMULATION_TEST_H_
#define CRANBERRYHILL_CALLS_CALL_SIMULATION_TEST_H_

// Several call guards over one table and one service, for tests. Every
// operation is held until the test lets it take effect, and every answer until
// the test delivers it.
//
//   CallSimulation sim(3);
//   sim.Submit(0, "key", true);
//   sim.RunAll();

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/random.h"
#include "cranberryhill/calls/call_guard.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {

using Tasks = std::deque<std::function<void()>>;

/// Runs and removes the first task, if any.
inline bool RunFirst(Tasks& tasks) {
  if (tasks.empty())
    return false;
  auto task = std::move(tasks.front());
  tasks.pop_front();
  task();
  return true;
}

/// Holds calls in `outbox` until they take effect, and callbacks in `inbox`
/// until they are delivered.
class HeldTable : public TableService {
 public:
  HeldTable(MemoryTable& table, Tasks& outbox, Tasks& inbox)
      : table(table), outbox(outbox), inbox(inbox) {}

  void Read(std::vector<std::string> keys, ReadCallback callback) override {
    this->outbox.push_back([this, keys, callback] {
      this->table.Read(keys, this->Hold<ReadOutcome>(callback));
    });
  }

  void Scan(std::string prefix,
            std::string after,
            size_t limit,
            ReadCallback callback) override {
    this->outbox.push_back([this, prefix, after, limit, callback] {
      this->table.Scan(prefix, after, limit, this->Hold<ReadOutcome>(callback));
    });
  }

  void Commit(Transaction transaction, CommitCallback callback) override {
    this->outbox.push_back([this, transaction, callback] {
      this->table.Commit(transaction, this->Hold<CommitOutcome>(callback));
    });
  }

 private:
  template <typename T>
  std::function<void(const T&)> Hold(std::function<void(const T&)> callback) {
    return [this, callback](const T& outcome) {
      this->inbox.push_back([callback, outcome] { callback(outcome); });
    };
  }

  MemoryTable& table;
  Tasks& outbox;
  Tasks& inbox;
};

/// Objects in memory, with an outage switch. Answers at once.
class MemoryObjects : public ObjectStore {
 public:
  void Put(std::string name,
           std::string bytes,
           PutObjectCallback callback) override {
    if (!this->outage)
      this->objects[name] = bytes;
    callback(this->outage ? std::optional<Error>(Error{ErrorCode::kUnavailable,
                                                       "object", name, ""})
                          : std::nullopt);
  }

  void Get(std::string name, GetObjectCallback callback) override {
    auto found = this->objects.find(name);
    if (this->outage || found == this->objects.end()) {
      callback(Error{ErrorCode::kUnavailable, "object", name, "no answer"});
    } else {
      callback(found->second);
    }
  }

  bool outage = false;  // NOLINT
  std::map<std::string, std::string> objects;
};

struct GoneOwners : public OwnerView {
  bool IsGone(std::string_view owner) const override {
    return this->gone.contains(std::string(owner));
  }

  std::set<std::string> gone;
};

/// One request of a caller.
struct Attempt {
  std::string key;
  size_t instance = 0;
  uint64_t submitted_step = 0;
  absl::Time submitted;
  absl::Time deadline;  ///< Unique, so it names the attempt to the sender.
  uint64_t ended_step = UINT64_MAX;  ///< Answered, or its instance crashed.
  bool crashed = false;
  bool first_attempt = false;
  std::vector<CallAnswer> answers;
};

/// One run of a call by the service.
struct CallRun {
  absl::Time attempt;  ///< The deadline, and so the name, of the attempt.
  uint64_t step = 0;
  absl::Time written;  ///< When its first byte was written.
};

enum class Stage {
  kConnecting,
  kWritten,  ///< On its way; runs even when the sender is gone.
};

/// A call that a guard handed to the sender.
struct PendingSend {
  size_t instance = 0;
  uint64_t incarnation = 0;
  ServiceCall call;
  MaySend may_send;
  SendCallback callback;
  Stage stage = Stage::kConnecting;
  absl::Time written{};
};

class CallSimulation {
 public:
  struct Instance : public CallSender {
    void SendOnce(const ServiceCall& call,
                  MaySend may_send,
                  SendCallback callback) override {
      this->sim->sends.push_back({this->index, this->incarnation, call,
                                  std::move(may_send), std::move(callback)});
    }

    CallSimulation* sim = nullptr;
    size_t index = 0;
    uint64_t incarnation = 0;
    Tasks outbox;
    Tasks inbox;
    std::unique_ptr<MemoryTable> memory;
    std::unique_ptr<HeldTable> table;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<CallGuard> guard;
  };

  explicit CallSimulation(size_t count, CallGuardConfig config = {})
      : config(std::move(config)) {
    for (size_t i = 0; i < count; ++i) {
      auto instance = std::make_unique<Instance>();
      instance->sim = this;
      instance->index = i;
      instance->memory = std::make_unique<MemoryTable>(this->rows);
      instance->table = std::make_unique<HeldTable>(
          *instance->memory, instance->outbox, instance->inbox);
      instance->random = std::make_unique<SeededRandom>(i);
      this->instances.push_back(std::move(instance));
      this->Restart(i);
    }
  }

  void Restart(size_t i) {
    Instance& instance = *this->instances[i];
    ++instance.incarnation;
    CallGuardConfig own = this->config;
    own.environment = "e";
    own.owner = "entry-" + std::to_string(i) + "/" +
                std::to_string(instance.incarnation);
    instance.guard = std::make_unique<CallGuard>(
        own, this->clock, this->clock, *instance.random, *instance.table,
        this->objects, instance, this->owners);
  }

  /// Ends the process of instance `i` and starts a new one. What it has
  /// already sent to the table or the service may still take effect.
  void Crash(size_t i) {
    ++this->step;
    this->crash_steps[i] = this->step;
    this->instances[i]->guard.reset();
    this->instances[i]->inbox.clear();
    for (Attempt& attempt : this->attempts) {
      if (attempt.instance == i && attempt.ended_step == UINT64_MAX) {
        attempt.ended_step = this->step;
        attempt.crashed = true;
      }
    }
    std::erase_if(this->sends, [&](const PendingSend& send) {
      return send.instance == i && send.stage == Stage::kConnecting;
    });
    this->Restart(i);
  }

  /// @return The index of the attempt.
  size_t Submit(size_t i,
                const std::string& key,
                bool first_attempt,
                absl::Duration time_left = absl::Seconds(5),
                const std::string& body = "body") {
    ++this->step;
    size_t index = this->attempts.size();
    Attempt attempt;
    attempt.key = key;
    attempt.instance = i;
    attempt.submitted_step = this->step;
    attempt.submitted = this->clock.Now();
    attempt.deadline = attempt.submitted + time_left + absl::Nanoseconds(index);
    attempt.first_attempt = first_attempt;
    this->attempts.push_back(attempt);
    this->instances[i]->guard->Submit({.customer = "c",
                                       .idempotency_key = key,
                                       .service = "s",
                                       .method = "POST",
                                       .path = "/",
                                       .content_type = "",
                                       .body = body,
                                       .deadline = attempt.deadline,
                                       .first_attempt = first_attempt},
                                      [this, index](const CallAnswer& answer) {
                                        ++this->step;
                                        Attempt& attempt =
                                            this->attempts[index];
                                        attempt.ended_step = this->step;
                                        attempt.answers.push_back(answer);
                                      });
    return index;
  }

  /// Connects and writes, or fails to.
  void StepConnect(PendingSend& send, bool connects) {
    if (!connects) {
      this->Report(send, {SendState::kNothingSent, {}, false, "refused"});
    } else if (!send.may_send()) {
      this->Report(send, {SendState::kNothingSent, {}, true, "too late"});
    } else {
      send.stage = Stage::kWritten;
      send.written = this->clock.Now();
    }
  }

  /// The service runs a written call; its answer arrives or is lost.
  void StepRun(PendingSend& send, bool answers) {
    auto& done = this->runs[send.call.idempotency_key];
    done.push_back({send.call.deadline, ++this->step, send.written});
    CallResult result{200, "text/plain",
                      "run " + std::to_string(done.size()) + " of " +
                          send.call.idempotency_key};
    if (answers) {
      this->Report(send, {SendState::kAnswered, result, false, ""});
    } else {
      this->Report(send, {SendState::kUnknown, {}, false, "no answer"});
    }
  }

  /// Advances the send `i`. @param works False makes the next stage fail.
  void StepSend(size_t i, bool works) {
    PendingSend send = std::move(this->sends[i]);
    this->sends.erase(this->sends.begin() + static_cast<std::ptrdiff_t>(i));
    if (send.stage == Stage::kWritten) {
      this->StepRun(send, works);
      return;
    }
    this->StepConnect(send, works);
    if (send.stage == Stage::kWritten)
      this->sends.push_back(std::move(send));
  }

  /// Reports a written call as unknown now, and lets it run later.
  void GiveUpSend(size_t i) {
    if (this->sends[i].stage != Stage::kWritten)
      return;
    this->Report(this->sends[i], {SendState::kUnknown, {}, false, "timeout"});
    this->sends[i].callback = nullptr;
  }

  /// Lets everything that is held happen, without moving the clock.
  void RunHeld() {
    bool more = true;
    while (more) {
      more = false;
      for (auto& instance : this->instances) {
        more |= RunFirst(instance->outbox);
        more |= RunFirst(instance->inbox);
      }
      if (!this->sends.empty()) {
        this->StepSend(0, true);
        more = true;
      }
    }
  }

  /// Runs all guards for `duration`.
  void RunAll(absl::Duration duration = absl::Seconds(20)) {
    absl::Time end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->RunHeld();
      for (auto& instance : this->instances)
        instance->guard->Tick();
      this->RunHeld();
      this->clock.Advance(absl::Milliseconds(100));
    }
  }

  /// Ends all faults and delivers all delayed commits.
  void Heal() {
    this->objects.outage = false;
    for (auto& instance : this->instances) {
      instance->memory->SetFaults({});
      instance->memory->DeliverLate();
    }
  }

  const CallAnswer& AnswerOf(size_t attempt) const {
    return this->attempts[attempt].answers.at(0);
  }

  ManualClock clock;
  TableRows rows;
  MemoryObjects objects;
  GoneOwners owners;
  CallGuardConfig config;
  uint64_t step = 0;
  std::vector<std::unique_ptr<Instance>> instances;
  std::deque<Attempt> attempts;
  std::map<size_t, uint64_t> crash_steps;  ///< The last crash per instance.
  std::vector<PendingSend> sends;
  std::map<std::string, std::vector<CallRun>> runs;  ///< Per key.

 private:
  void Report(const PendingSend& send, const SendOutcome& outcome) {
    Instance& instance = *this->instances[send.instance];
    if (send.callback == nullptr || instance.incarnation != send.incarnation)
      return;
    instance.inbox.push_back(
        [callback = send.callback, outcome] { callback(outcome); });
  }
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_SIMULATION_TEST_H_
