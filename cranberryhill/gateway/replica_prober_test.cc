// Plays the probes of one instance, and of a fleet, on a virtual clock.

#include "cranberryhill/gateway/replica_prober.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cranberryhill/forward/test_replicas.h"
#include "cranberryhill/store/virtual_time_test.h"

namespace cranberryhill::gateway {
namespace {

namespace data = boost::unit_test::data;

constexpr char kService[] = "service";
constexpr absl::Duration kRoundTrip = absl::Milliseconds(1);

/// @param times In their order.
/// @return The largest number of them within a span of this length.
size_t MostWithin(const std::vector<absl::Time>& times, absl::Duration span) {
  size_t most = 0;
  std::deque<absl::Time> recent;
  for (absl::Time time : times) {
    while (!recent.empty() && time - recent.front() >= span)
      recent.pop_front();
    recent.push_back(time);
    most = std::max(most, recent.size());
  }
  return most;
}

/// Answers probes as the states of the replicas say.
class FakeConnector : public ProbeConnector {
 public:
  explicit FakeConnector(EventQueue& queue) : queue(queue) {}

  void Connect(const forward::Replica& replica,
               absl::Duration timeout,
               std::function<void(ProbeResult)> done) override {
    absl::Time now = this->queue.clock.Now();
    this->starts.push_back(now);
    auto& times = this->starts_by_replica[replica.entry.id];
    if (!times.empty())
      this->shortest_pause = std::min(this->shortest_pause, now - times.back());
    times.push_back(now);
    this->most_open = std::max(this->most_open, ++this->open);
    ProbeResult result = this->StateOf(replica.entry.id);
    absl::Duration takes =
        result == ProbeResult::kSilent ? timeout : kRoundTrip;
    this->queue.Schedule(takes, [this, result, done = std::move(done)] {
      --this->open;
      done(result);
    });
  }

  ProbeResult StateOf(const std::string& id) const {
    auto state = this->states.find(id);
    return state == this->states.end() ? ProbeResult::kAccepted : state->second;
  }

  /// @return The largest number of probes that began within a window.
  size_t MostPerWindow() const {
    return MostWithin(this->starts, ReplicaProber::kProbeWindow);
  }

  std::map<std::string, ProbeResult> states;  // Others accept.
  std::vector<absl::Time> starts;
  std::map<std::string, std::vector<absl::Time>> starts_by_replica;
  absl::Duration shortest_pause = absl::InfiniteDuration();
  size_t open = 0;
  size_t most_open = 0;

 private:
  EventQueue& queue;
};

/// One instance whose requests ask for connections to the replicas.
class Instance : public ProbeObserver {
 public:
  Instance(EventQueue& queue, size_t replicas, uint64_t seed)
      : queue(queue),
        random(seed),
        replica_set(queue.clock),
        reachability(queue.clock),
        connector(queue),
        prober(this->reachability,
               this->replica_set,
               this->connector,
               *this,
               std::make_unique<VirtualTimer>(queue),
               queue.clock,
               this->random) {
    for (size_t i = 0; i < replicas; ++i) {
      bool is_decode = i % kEnginesPerDecode == 0;
      std::string id = std::to_string(i);
      (is_decode ? this->decode : this->prefill).push_back(id);
      this->replica_set.Apply(forward::MakeEntry(
          id, "a", is_decode ? EngineRole::kDecode : EngineRole::kPrefill));
    }
    this->Tick();
  }

  void OnProbeRefused(const forward::Replica&) override { ++this->refused; }
  void OnReachChanged(forward::Replica&) override {}

  /// Sends requests for some time; each opens a connection to a replica that
  /// can run it.
  void SendRequests(absl::Duration duration, absl::Duration interval) {
    for (absl::Duration at; at < duration; at += interval) {
      this->queue.Schedule(at, [this] { this->SendRequest(); });
    }
  }

  bool IsCutOff() const {
    return this->reachability.IsCutOff(this->replica_set.Members(kService));
  }
  size_t InDoubt() const {
    auto members = this->replica_set.Members(kService);
    return static_cast<size_t>(std::count_if(
        members.begin(), members.end(), [this](const auto& member) {
          return this->reachability.IsInDoubt(*member);
        }));
  }

  /// A fifth of the engines, as the role balancer wants it.
  static constexpr size_t kEnginesPerDecode = 5;

  EventQueue& queue;
  SeededRandom random;
  forward::ReplicaSet replica_set;
  forward::Reachability reachability;
  FakeConnector connector;
  ReplicaProber prober;
  std::vector<std::string> decode;
  std::vector<std::string> prefill;
  size_t refused = 0;
  size_t next_prefill = 0;
  size_t next_decode = 0;

 private:
  void SendRequest() {
    // A peer gets it then.
    if (this->IsCutOff())
      return;
    // Most of the time, the prompt is read first.
    bool reads = this->random.UniformInt(0, 2) > 0;
    const auto& ids = reads ? this->prefill : this->decode;
    size_t& next = reads ? this->next_prefill : this->next_decode;
    auto replica = this->replica_set.Find(ids[next++ % ids.size()]);
    ProbeResult state = this->connector.StateOf(replica->entry.id);
    this->queue.Schedule(
        state == ProbeResult::kSilent ? absl::Milliseconds(300) : kRoundTrip,
        [this, replica, state] {
          if (state == ProbeResult::kAccepted)
            this->reachability.OnHeard(*replica);
          else
            this->prober.OnConnectFailed(*replica);
        });
  }

  void Tick() {
    this->prober.ProbeUnreachable();
    if (this->IsCutOff())
      this->prober.ProbeCutOffServices(std::vector<std::string>{kService});
    this->queue.Schedule(absl::Milliseconds(250), [this] { this->Tick(); });
  }
};

const std::vector<size_t> kReplicas = {12, 30, 60, 1000};

void CheckBounds(const Instance& instance) {
  BOOST_TEST_MESSAGE(
      instance.connector.starts.size()
      << " probes, at most " << instance.connector.MostPerWindow()
      << " in a window and " << instance.connector.most_open << " open");
  BOOST_TEST(instance.connector.MostPerWindow() <=
             ReplicaProber::kMaxProbesPerWindow);
  BOOST_TEST(instance.connector.most_open <=
             ReplicaProber::kMaxProbesPerWindow);
  BOOST_TEST(instance.connector.shortest_pause >= ReplicaProber::kProbeWindow);
}

// Guards against probes that follow each other without a pause while prefill
// engines accept them and no decode engine is left (review/12).
BOOST_DATA_TEST_CASE(probes_are_bounded_while_all_decode_engines_are_down,
                     data::make(kReplicas) * data::make({false, true}),
                     replicas,
                     is_silent) {
  const ProbeResult state =
      is_silent ? ProbeResult::kSilent : ProbeResult::kRefused;
  EventQueue queue;
  Instance instance(queue, replicas, 1);
  instance.SendRequests(absl::Seconds(8), absl::Milliseconds(1));
  queue.RunFor(absl::Seconds(2));
  for (const std::string& id : instance.decode)
    instance.connector.states[id] = state;
  queue.RunFor(absl::Seconds(3));
  BOOST_TEST(instance.IsCutOff());
  BOOST_TEST(!instance.connector.starts.empty());
  for (const std::string& id : instance.decode)
    instance.connector.states.erase(id);
  queue.RunFor(absl::Seconds(2));
  BOOST_TEST(!instance.IsCutOff());
  CheckBounds(instance);
}

// Guards against an instance that is slow to use the replicas again after it
// was cut off from all of them, and against a burst of probes then.
BOOST_DATA_TEST_CASE(replicas_are_found_again_soon_after_a_cut,
                     data::make(kReplicas) * data::make({false, true}),
                     replicas,
                     is_silent) {
  const ProbeResult state =
      is_silent ? ProbeResult::kSilent : ProbeResult::kRefused;
  EventQueue queue;
  Instance instance(queue, replicas, 2);
  instance.SendRequests(absl::Seconds(12), absl::Milliseconds(2));
  queue.RunFor(absl::Seconds(2));
  for (size_t i = 0; i < replicas; ++i)
    instance.connector.states[std::to_string(i)] = state;
  queue.RunFor(absl::Seconds(6));
  BOOST_TEST(instance.IsCutOff());
  size_t in_doubt = instance.InDoubt();
  instance.connector.states.clear();
  // One replica is found by the probes of the cut, the others follow from it.
  constexpr absl::Duration kFirstFound = absl::Milliseconds(800);
  queue.RunFor(kFirstFound);
  BOOST_TEST(!instance.IsCutOff());
  queue.RunFor(
      ReplicaProber::kProbeWindow *
      (1 + static_cast<double>(in_doubt) /
               static_cast<double>(ReplicaProber::kMaxProbesPerWindow)));
  BOOST_TEST(instance.InDoubt() == 0U);
  CheckBounds(instance);
}

// Guards against a replica that is flooded by the probes of all instances while
// it is away, or when it comes back.
BOOST_DATA_TEST_CASE(replica_gets_few_probes_of_a_fleet,
                     data::make(std::vector<size_t>{8, 60, 195}),
                     instances) {
  EventQueue queue;
  std::vector<std::unique_ptr<Instance>> fleet;
  for (size_t i = 0; i < instances; ++i) {
    fleet.push_back(std::make_unique<Instance>(queue, 30, i + 3));
    fleet.back()->SendRequests(absl::Seconds(7), absl::Milliseconds(50));
  }
  queue.RunFor(absl::Seconds(1));
  for (auto& instance : fleet) {
    for (const std::string& id : instance->decode)
      instance->connector.states[id] = ProbeResult::kRefused;
  }
  queue.RunFor(absl::Seconds(3));
  for (auto& instance : fleet)
    instance->connector.states.clear();
  queue.RunFor(absl::Seconds(2));
  // Of all instances, at one replica.
  std::map<std::string, std::vector<absl::Time>> starts;
  for (auto& instance : fleet) {
    BOOST_TEST(!instance->IsCutOff());
    CheckBounds(*instance);
    for (const auto& [id, times] : instance->connector.starts_by_replica)
      starts[id].insert(starts[id].end(), times.begin(), times.end());
  }
  for (auto& [id, times] : starts) {
    std::sort(times.begin(), times.end());
    BOOST_TEST(MostWithin(times, absl::Seconds(1)) <= 3 * instances);
  }
}

}  // namespace
}  // namespace cranberryhill::gateway
