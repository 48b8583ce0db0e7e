// Simulates many instances that send requests to one limited replica, on a
// virtual clock.

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cranberryhill/base/random.h"
#include "cranberryhill/forward/peer_load_sync.h"
#include "cranberryhill/peers/send_permits.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {
namespace {

constexpr std::string_view kReplica = "i-1";
/// In 4 s a limited replica gets one and a half times what its limit allows,
/// and 5 requests, at most.
constexpr absl::Duration kWindow = absl::Seconds(4);

double AllowedInWindow(double requests_per_s) {
  return 1.5 * requests_per_s * absl::ToDoubleSeconds(kWindow) + 5;
}

/// One message in ten between instances is lost.
class Fleet {
 public:
  Fleet(size_t instances, double requests_per_s)
      : message_interval(
            std::max(absl::Milliseconds(60),
                     absl::Milliseconds(6) * static_cast<int>(instances))),
        requests_per_s(requests_per_s) {
    for (size_t i = 0; i < instances; ++i)
      this->Add();
    this->queue.RunFor(absl::Seconds(5));
    this->ScheduleRequest();
  }

  void Add() {
    size_t index = this->members.size();
    this->members.push_back(std::make_unique<Member>(*this, index));
    this->queue.Schedule(this->message_interval * this->random.UniformDouble(),
                         [this, index] { this->SendPeriodically(index); });
  }

  /// The process starts anew and knows nothing.
  void Restart(size_t index) {
    int group = this->members[index]->group;
    this->retired.push_back(std::move(this->members[index]));
    this->members[index] = std::make_unique<Member>(*this, index);
    this->members[index]->group = group;
  }

  void RunFor(absl::Duration duration) { this->queue.RunFor(duration); }

  /// @return The largest number of requests that arrived in 4 s since `from`.
  size_t MostArrivals(absl::Time from) const {
    size_t most = 0;
    for (size_t first = 0; first < this->arrivals.size(); ++first) {
      if (this->arrivals[first] < from)
        continue;
      auto end = std::lower_bound(this->arrivals.begin(), this->arrivals.end(),
                                  this->arrivals[first] + kWindow);
      most = std::max(
          most, static_cast<size_t>(end - this->arrivals.begin()) - first);
    }
    return most;
  }

  /// @return Arrivals per second since `from`.
  double ArrivalRate(absl::Time from) const {
    auto count = std::count_if(this->arrivals.begin(), this->arrivals.end(),
                               [from](absl::Time at) { return at >= from; });
    return static_cast<double>(count) /
           absl::ToDoubleSeconds(this->queue.clock.Now() - from);
  }

  absl::Time Now() const { return this->queue.clock.Now(); }

  /// Instances in different groups do not hear each other.
  void SetGroup(size_t index, int group) {
    this->members[index]->group = group;
  }

  size_t Size() const { return this->members.size(); }

  std::optional<double> limit;  // That the replica names.

 private:
  struct Member : PermitTransport {
    Member(Fleet& fleet, size_t index)
        : fleet(fleet),
          index(index),
          name("entry-" + std::to_string(index)),
          replicas(fleet.queue.clock),
          limits(fleet.queue.clock),
          sync(name, fleet.random.UniformInt(1, UINT64_MAX), fleet.queue.clock),
          permits(name,
                  this->limits,
                  *this,
                  std::make_unique<VirtualTimer>(fleet.queue),
                  fleet.queue.clock,
                  fleet.random) {}

    std::string OwnerOf(std::string_view key) const override {
      return this->sync.OwnerOf(key);
    }
    double ReachableShare() const override { return this->sync.LiveShare(); }
    void SendPermitMessage(std::string_view instance,
                           const PermitMessage& message) override {
      for (size_t i = 0; i < this->fleet.members.size(); ++i) {
        if (this->fleet.members[i]->name == instance) {
          this->fleet.Deliver(this->index, i, [message](Member& receiver) {
            receiver.permits.OnMessage(message);
          });
        }
      }
    }

    Fleet& fleet;
    const size_t index;
    const std::string name;
    int group = 0;
    forward::ReplicaSet replicas;
    forward::ReplicaLimits limits;
    forward::PeerLoadSync sync;
    SendPermits permits;
  };

  void Deliver(size_t from, size_t to, std::function<void(Member&)> deliver) {
    if (this->random.UniformInt(0, 9) == 0 ||
        this->members[from]->group != this->members[to]->group)
      return;
    this->queue.Schedule(absl::Milliseconds(this->random.UniformInt(1, 3)),
                         [this, to, deliver = std::move(deliver)] {
                           deliver(*this->members[to]);
                         });
  }

  void SendToPeers(size_t index) {
    Member& sender = *this->members[index];
    sender.sync.RemoveSilentPeers(sender.replicas, this->message_interval);
    forward::LoadMessage message =
        sender.sync.BuildFullMessage(sender.replicas, {});
    message.replica_limits = sender.limits.OwnReports();
    for (size_t i = 0; i < this->members.size(); ++i) {
      if (i == index)
        continue;
      this->Deliver(index, i, [message](Member& receiver) {
        receiver.sync.Merge(message, receiver.replicas);
        for (const auto& report : message.replica_limits)
          receiver.limits.Merge(report);
      });
    }
  }

  void SendPeriodically(size_t index) {
    this->SendToPeers(index);
    this->queue.Schedule(this->message_interval,
                         [this, index] { this->SendPeriodically(index); });
  }

  void ScheduleRequest() {
    double mean_s = 1 / this->requests_per_s;
    this->queue.Schedule(
        absl::Seconds(mean_s * 2 * this->random.UniformDouble()), [this] {
          this->StartRequest(
              this->random.UniformInt(0, this->members.size() - 1));
          this->ScheduleRequest();
        });
  }

  void StartRequest(size_t index) {
    this->members[index]->permits.Acquire(
        kReplica, [this, index](bool granted) {
          if (!granted)
            return;
          this->queue.Schedule(absl::Milliseconds(1),
                               [this, index] { this->Arrive(index); });
        });
  }

  void Arrive(size_t index) {
    this->arrivals.push_back(this->queue.clock.Now());
    this->queue.Schedule(
        absl::Milliseconds(30), [this, index, said = this->limit] {
          if (this->members[index]->limits.OnAnswer(kReplica, said))
            this->SendToPeers(index);
        });
  }

  EventQueue queue;
  SeededRandom random{11};
  const absl::Duration message_interval;
  const double requests_per_s;
  std::vector<std::unique_ptr<Member>> members;
  std::vector<std::unique_ptr<Member>> retired;  // Their timers may still run.
  std::vector<absl::Time> arrivals;
};

/// Time from the first answer with a limit until it binds.
constexpr absl::Duration kStable = absl::Seconds(3);
constexpr double kLimit = 5.9;
const auto kFleetSizes = boost::unit_test::data::make({8, 60, 195});

// Guards against a limited replica that gets its limit once from each instance,
// and against one that gets nothing.
BOOST_DATA_TEST_CASE(fleet_of_any_size_keeps_to_a_limit, kFleetSizes, size) {
  Fleet fleet(size, 150);
  fleet.RunFor(absl::Seconds(5));
  fleet.limit = kLimit;
  fleet.RunFor(kStable);
  absl::Time binding_at = fleet.Now();
  fleet.RunFor(absl::Seconds(30));
  BOOST_TEST(fleet.MostArrivals(binding_at - kWindow + kStable) <=
             AllowedInWindow(kLimit));
  BOOST_TEST(fleet.ArrivalRate(binding_at) >= kLimit / 2);
  // A lower limit holds as well.
  fleet.limit = 1.2;
  fleet.RunFor(kStable);
  absl::Time lowered_at = fleet.Now();
  fleet.RunFor(absl::Seconds(20));
  BOOST_TEST(fleet.MostArrivals(lowered_at) <= AllowedInWindow(1.2));
}

// Guards against a fleet that exceeds a limit while instances come and go, and
// while its parts do not hear each other.
BOOST_DATA_TEST_CASE(changing_fleet_keeps_to_a_limit, kFleetSizes, size) {
  Fleet fleet(size, 150);
  fleet.limit = kLimit;
  fleet.RunFor(absl::Seconds(10));
  absl::Time start = fleet.Now();
  for (size_t round = 0; round < 8; ++round) {
    fleet.Restart(round * 7 % fleet.Size());
    fleet.RunFor(absl::Milliseconds(900));
    fleet.Add();
    fleet.RunFor(absl::Milliseconds(1700));
  }
  for (size_t i = 0; i < fleet.Size(); ++i)
    fleet.SetGroup(i, static_cast<int>(i % 3));
  fleet.RunFor(absl::Seconds(20));
  for (size_t i = 0; i < fleet.Size(); ++i)
    fleet.SetGroup(i, 0);
  fleet.RunFor(absl::Seconds(20));
  BOOST_TEST(fleet.MostArrivals(start) <= AllowedInWindow(kLimit));
  BOOST_TEST(fleet.ArrivalRate(fleet.Now() - absl::Seconds(10)) >= kLimit / 2);
}

// Guards against a herd at a replica whose limit has just ended, and against a
// limit that never ends.
BOOST_DATA_TEST_CASE(end_of_a_limit_brings_no_herd, kFleetSizes, size) {
  Fleet fleet(size, 150);
  fleet.limit = kLimit;
  fleet.RunFor(absl::Seconds(10));
  fleet.limit = std::nullopt;
  fleet.RunFor(absl::Seconds(1));
  BOOST_TEST(fleet.ArrivalRate(fleet.Now() - absl::Seconds(1)) <= 3 * kLimit);
  fleet.RunFor(absl::Seconds(10));
  BOOST_TEST(fleet.ArrivalRate(fleet.Now() - absl::Seconds(1)) > 100);
}

}  // namespace
}  // namespace cranberryhill::gateway
