#ifndef CRANBERRYHILL_CALLS_CALL_SIMULATION_TEST_H_
#define CRANBERRYHILL_CALLS_CALL_SIMULATION_TEST_H_

// Test environment: several CallDeduplicators that share one table service and
// one backend service. Each operation waits until the test lets it take effect,
// and each answer waits until the test delivers it.
//
//   CallSimulation simulation(3);
//   simulation.Submit(0, "key", true);
//   simulation.RunFor();

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
#include "cranberryhill/calls/call_deduplicator.h"
#include "cranberryhill/table/memory_table.h"

namespace cranberryhill {

using TaskQueue = std::deque<std::function<void()>>;

/// Runs and removes the first task.
/// @return False if there is none.
inline bool RunFirst(TaskQueue& tasks) {
  if (tasks.empty())
    return false;
  auto task = std::move(tasks.front());
  tasks.pop_front();
  task();
  return true;
}

/// Queues operations in `outbox` until the test lets them take effect, and
/// their callbacks in `inbox` until the test delivers the answers.
class DelayedTable : public TableService {
 public:
  DelayedTable(MemoryTable& table, TaskQueue& outbox, TaskQueue& inbox)
      : table(table), outbox(outbox), inbox(inbox) {}

  void Read(std::vector<std::string> keys, ReadCallback callback) override {
    this->outbox.push_back([this, keys, callback] {
      this->table.Read(keys, this->DelayAnswer<ReadOutcome>(callback));
    });
  }

  void Scan(std::string prefix,
            std::string after,
            size_t limit,
            ReadCallback callback) override {
    this->outbox.push_back([this, prefix, after, limit, callback] {
      this->table.Scan(prefix, after, limit,
                       this->DelayAnswer<ReadOutcome>(callback));
    });
  }

  void Commit(Transaction transaction, CommitCallback callback) override {
    this->outbox.push_back([this, transaction, callback] {
      this->table.Commit(transaction,
                         this->DelayAnswer<CommitOutcome>(callback));
    });
  }

 private:
  template <typename T>
  std::function<void(const T&)> DelayAnswer(
      std::function<void(const T&)> callback) {
    return [this, callback](const T& outcome) {
      this->inbox.push_back([callback, outcome] { callback(outcome); });
    };
  }

  MemoryTable& table;
  TaskQueue& outbox;
  TaskQueue& inbox;
};

/// An object store in memory that answers at once and can simulate an outage.
class MemoryObjectStore : public ObjectStore {
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

/// Reports the owners in `ended` as ended.
struct EndedOwners : public OwnerLiveness {
  bool HasEnded(std::string_view owner) const override {
    return this->ended.contains(std::string(owner));
  }

  std::set<std::string> ended;
};

/// One request of a caller and the answers that it got.
struct Attempt {
  std::string key;
  size_t instance = 0;
  uint64_t submitted_step = 0;
  absl::Time submitted_at;
  absl::Time deadline;  ///< Unique, so that it identifies the attempt.
  /// The step in which the attempt was answered or its instance crashed.
  uint64_t ended_step = UINT64_MAX;
  bool crashed = false;
  bool first_attempt = false;
  std::vector<CallAnswer> answers;
};

/// One run of a call by the backend service.
struct ServiceRun {
  absl::Time attempt_deadline;  ///< The deadline that identifies the attempt.
  uint64_t step = 0;
  absl::Time written_at;  ///< When the call's first byte was written.
};

enum class Stage {
  kConnecting,
  kWritten,  ///< In transit; it can run even after the sender has crashed.
};

/// A call that a CallDeduplicator passed to the sender.
struct PendingSend {
  size_t instance = 0;
  uint64_t incarnation = 0;
  ServiceCall call;
  MaySend may_send;
  SendCallback callback;
  Stage stage = Stage::kConnecting;
  absl::Time written_at{};
};

/// Simulates instances, the network and the backend service.
class CallSimulation {
 public:
  struct Instance : public CallSender {
    void SendOnce(const ServiceCall& call,
                  MaySend may_send,
                  SendCallback callback) override {
      this->simulation->pending_sends.push_back({this->index, this->incarnation,
                                                 call, std::move(may_send),
                                                 std::move(callback)});
    }

    CallSimulation* simulation = nullptr;
    size_t index = 0;
    uint64_t incarnation = 0;
    TaskQueue outbox;
    TaskQueue inbox;
    std::unique_ptr<MemoryTable> memory_table;
    std::unique_ptr<DelayedTable> table;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<CallDeduplicator> deduplicator;
  };

  explicit CallSimulation(size_t instance_count,
                          CallDeduplicatorConfig config = {})
      : config(std::move(config)) {
    for (size_t i = 0; i < instance_count; ++i) {
      auto instance = std::make_unique<Instance>();
      instance->simulation = this;
      instance->index = i;
      instance->memory_table = std::make_unique<MemoryTable>(this->rows);
      instance->table = std::make_unique<DelayedTable>(
          *instance->memory_table, instance->outbox, instance->inbox);
      instance->random = std::make_unique<SeededRandom>(i);
      this->instances.push_back(std::move(instance));
      this->Restart(i);
    }
  }

  /// Starts a new incarnation of instance `i`.
  void Restart(size_t i) {
    Instance& instance = *this->instances[i];
    ++instance.incarnation;
    CallDeduplicatorConfig instance_config = this->config;
    instance_config.environment = "e";
    instance_config.owner = "entry-" + std::to_string(i) + "/" +
                            std::to_string(instance.incarnation);
    instance.deduplicator = std::make_unique<CallDeduplicator>(
        instance_config, this->clock, this->clock, *instance.random,
        *instance.table, this->objects, instance, this->owners);
  }

  /// Ends the process of instance `i` and starts a new one. Operations that
  /// the old process has sent to the table or the service can still take
  /// effect.
  void Crash(size_t i) {
    ++this->step;
    this->crash_steps[i] = this->step;
    this->instances[i]->deduplicator.reset();
    this->instances[i]->inbox.clear();
    for (Attempt& attempt : this->attempts) {
      if (attempt.instance == i && attempt.ended_step == UINT64_MAX) {
        attempt.ended_step = this->step;
        attempt.crashed = true;
      }
    }
    std::erase_if(this->pending_sends, [&](const PendingSend& send) {
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
    attempt.submitted_at = this->clock.Now();
    attempt.deadline =
        attempt.submitted_at + time_left + absl::Nanoseconds(index);
    attempt.first_attempt = first_attempt;
    this->attempts.push_back(attempt);
    this->instances[i]->deduplicator->Submit(
        {.customer = "c",
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
          Attempt& attempt = this->attempts[index];
          attempt.ended_step = this->step;
          attempt.answers.push_back(answer);
        });
    return index;
  }

  /// Connects and writes the call if `can_connect`; otherwise the connect
  /// fails.
  void AdvanceConnect(PendingSend& send, bool can_connect) {
    if (!can_connect) {
      this->QueueOutcome(send, {SendState::kNothingSent, {}, false, "refused"});
    } else if (!send.may_send()) {
      this->QueueOutcome(send, {SendState::kNothingSent, {}, true, "too late"});
    } else {
      send.stage = Stage::kWritten;
      send.written_at = this->clock.Now();
    }
  }

  /// Lets the service run a written call. Its response is lost unless
  /// `has_answer`.
  void RunWrittenCall(PendingSend& send, bool has_answer) {
    auto& key_runs = this->runs[send.call.idempotency_key];
    key_runs.push_back({send.call.deadline, ++this->step, send.written_at});
    CallResult result{200, "text/plain",
                      "run " + std::to_string(key_runs.size()) + " of " +
                          send.call.idempotency_key};
    if (has_answer) {
      this->QueueOutcome(send, {SendState::kAnswered, result, false, ""});
    } else {
      this->QueueOutcome(send, {SendState::kUnknown, {}, false, "no answer"});
    }
  }

  /// Moves the send `i` to its next stage.
  /// @param succeeds Whether the connect succeeds or, for a written call,
  /// whether its response arrives.
  void AdvanceSend(size_t i, bool succeeds) {
    PendingSend send = std::move(this->pending_sends[i]);
    this->pending_sends.erase(this->pending_sends.begin() +
                              static_cast<std::ptrdiff_t>(i));
    if (send.stage == Stage::kWritten) {
      this->RunWrittenCall(send, succeeds);
      return;
    }
    this->AdvanceConnect(send, succeeds);
    if (send.stage == Stage::kWritten)
      this->pending_sends.push_back(std::move(send));
  }

  /// Reports the outcome of a written call as unknown; the call can run later.
  void TimeOutSend(size_t i) {
    if (this->pending_sends[i].stage != Stage::kWritten)
      return;
    this->QueueOutcome(this->pending_sends[i],
                       {SendState::kUnknown, {}, false, "timeout"});
    this->pending_sends[i].callback = nullptr;
  }

  /// Runs all queued operations, answers and sends without advancing the clock.
  void RunPending() {
    bool has_more = true;
    while (has_more) {
      has_more = false;
      for (auto& instance : this->instances) {
        has_more |= RunFirst(instance->outbox);
        has_more |= RunFirst(instance->inbox);
      }
      if (!this->pending_sends.empty()) {
        this->AdvanceSend(0, true);
        has_more = true;
      }
    }
  }

  /// Runs all instances for `duration`.
  void RunFor(absl::Duration duration = absl::Seconds(20)) {
    absl::Time end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->RunPending();
      for (auto& instance : this->instances)
        instance->deduplicator->Tick();
      this->RunPending();
      this->clock.Advance(absl::Milliseconds(100));
    }
  }

  /// Ends all faults and lets all delayed commits take effect.
  void EndFaults() {
    this->objects.outage = false;
    for (auto& instance : this->instances) {
      instance->memory_table->SetFaults({});
      instance->memory_table->DeliverLate();
    }
  }

  const CallAnswer& GetAnswer(size_t attempt) const {
    return this->attempts[attempt].answers.at(0);
  }

  ManualClock clock;
  TableRows rows;
  MemoryObjectStore objects;
  EndedOwners owners;
  CallDeduplicatorConfig config;
  uint64_t step = 0;
  std::vector<std::unique_ptr<Instance>> instances;
  std::deque<Attempt> attempts;
  /// The step of the last crash of each instance.
  std::map<size_t, uint64_t> crash_steps;
  std::vector<PendingSend> pending_sends;
  std::map<std::string, std::vector<ServiceRun>> runs;  ///< By Idempotency-Key.

 private:
  void QueueOutcome(const PendingSend& send, const SendOutcome& outcome) {
    Instance& instance = *this->instances[send.instance];
    if (send.callback == nullptr || instance.incarnation != send.incarnation)
      return;
    instance.inbox.push_back(
        [callback = send.callback, outcome] { callback(outcome); });
  }
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_CALLS_CALL_SIMULATION_TEST_H_
