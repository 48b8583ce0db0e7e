#ifndef SOAK_LEDGER_H_
#define SOAK_LEDGER_H_

// What callers and replicas saw during a soak, and which promises of the
// gateway it breaks. Free of I/O.
//
//   Ledger ledger(bounds);
//   ledger.OnSent(request);
//   ledger.OnArrival("attempt-1", "desk-1", now, /*runs=*/true);
//   ledger.OnAnswer("attempt-1", answer);
//   for (const std::string& line : ledger.Violations()) ...

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace cranberryhill::soak {

/// A request as its caller sent it.
struct SentRequest {
  std::string id;
  std::string service;
  std::string expected_body;
  bool may_repeat = false;  ///< It may run more than once.
  int max_replicas = 1;
  absl::Time at;
  /// Sent after all faults had ended and the recovery time had passed.
  bool after_recovery = false;
  size_t gateway = 0;  ///< Index of the gateway that got it.
  /// An engine that begins to answer it crashes.
  bool crashes_engine = false;
  bool stream = false;
  /// The request that brought the first event of the stream, if this one takes
  /// it up again.
  std::string resumes = {};
  absl::Duration time_left = absl::InfiniteDuration();
  std::string customer = {};  ///< Empty if customers have no keys.

  const std::string& stream_id() const {  // NOLINT
    return this->resumes.empty() ? this->id : this->resumes;
  }
};

/// How a request ended for its caller.
struct Answer {
  int status = 0;         ///< 0: no head was received.
  bool complete = false;  ///< The whole answer was received.
  std::string body;
  /// Status that the replica signed; 0 when the answer bears no signature.
  int signed_status = 0;
  /// Neither the gateway nor a replica or link was disturbed from a while
  /// before the request to its end; planned work is no disturbance.
  bool undisturbed = false;
  absl::Duration took;
  int events = 0;
  /// Software versions of the replicas that wrote them.
  std::set<std::string> versions = {};
  /// The gateway was in touch all the while, and if the request takes a stream
  /// up again, two engines of its version served.
  bool counts = false;
};

struct LedgerBounds {
  double retry_ratio = 0.2;
  double retry_slack = 0;
  absl::Duration retry_window = absl::Seconds(10);
  /// Orders of two holders must be this far apart.
  absl::Duration lease_time = absl::Seconds(3);
  /// Share of the requests after recovery that must be served.
  double served_share = 0.99;
  /// Requests that may reach more replicas than their route allows: replicas
  /// that ended meanwhile do not count, and this cannot be told from outside.
  int over_attempts = 3;
  /// Requests that crash engines and reach an engine later than `stable_window`
  /// after the crash with this number, from gateways without disturbance.
  size_t known_after_crashes = 5;
  absl::Duration stable_window = absl::Seconds(3);
  size_t late_crashing_requests = 3;
  /// In any time of this length a limited replica gets this multiple of what
  /// its limit allows, and some requests more, at most.
  absl::Duration limit_window = absl::Seconds(4);
  double limit_factor = 1.5;
  double limit_slack = 5;
  /// A request that is handed to a replica with a deadline this long after its
  /// caller's, or that comes once more this long after its first arrival, is
  /// counted. More than a number and more than a share of these may not have
  /// such a deadline.
  absl::Duration time_left_slack = absl::Milliseconds(500);
  double beyond_time = 20;
  double beyond_time_share = 0.2;
  /// Of this many streams that are taken up again or more, the share that goes
  /// on is at least this part of the share of new streams that begin.
  double min_take_ups = 12;
  double going_on_part = 0.5;
};

/// Numbers of requests by customer.
using CustomerCounts = std::map<std::string, int64_t>;

/// Not thread-safe.
class Ledger {
 public:
  explicit Ledger(LedgerBounds bounds) : bounds(bounds) {}

  void OnSent(SentRequest request);

  /// @param runs The replica begins to work on the request.
  void OnArrival(std::string_view id,
                 std::string_view replica,
                 absl::Time now,
                 bool runs);

  /// A replica reads the prompt of a request and does no more. Calls of this
  /// kind beyond the first one are extra sends.
  void OnPromptRead(std::string_view id, absl::Time now);

  /// A request reached a replica.
  /// @param time_left Without a value if it does not say how much it has left.
  /// @param counts Its gateway and its link were not disturbed lately.
  void OnTimeLeft(std::string_view id,
                  absl::Time now,
                  std::optional<absl::Duration> time_left,
                  bool counts);

  void OnAnswer(std::string_view id, Answer answer);

  /// The replica that worked on a request broke off, so it may end without an
  /// answer.
  void OnBrokenOff(std::string_view id);

  /// @return The request, or null if nobody sent it.
  const SentRequest* Find(std::string_view id) const;

  /// A request that crashes engines reached one.
  /// @param gateway_calm The gateway that sent it there was not disturbed
  /// lately.
  void OnCrashingArrival(absl::Time now, bool gateway_calm);

  void OnEngineCrash(absl::Time now) { this->crashes.push_back(now); }

  /// An engine got an order.
  void OnOrder(std::string_view replica,
               std::string_view holder,
               uint64_t fencing_token,
               absl::Time now);

  /// A request reached a replica that takes a limited number of requests per
  /// second, from a gateway without disturbance that has passed on an answer
  /// which says so.
  /// @param binding True if the replica named its limit long enough ago.
  void OnLimitedArrival(std::string_view replica,
                        double requests_per_s,
                        absl::Time now,
                        bool binding);

  /// The number of requests of each customer in a window was reported.
  void OnUsage(int64_t window,
               const CustomerCounts& counts,
               const std::string& holder,
               uint64_t fencing_token,
               absl::Time now);

  /// Records a broken promise that was seen elsewhere.
  void OnViolation(std::string text) { this->seen.push_back(std::move(text)); }

  /// @return One line for each broken promise. To be called when nothing runs
  ///     any more.
  std::vector<std::string> Violations() const;

  /// @return One line with counts.
  std::string Summary() const;

 private:
  struct Arrival {
    std::string replica;
    absl::Time at;
    bool runs = false;
  };
  struct Request {
    SentRequest sent;
    std::vector<Arrival> arrivals;
    std::vector<absl::Time> prompt_reads;
    std::vector<Answer> answers;
    bool broken_off = false;
    absl::Time arrived_at = absl::InfiniteFuture();  ///< First.
    bool time_left_counts = false;
    bool beyond_time = false;
  };
  /// A stream over all requests for it.
  struct Stream {
    std::set<std::string> versions;
    absl::Time taken_up_at = absl::InfiniteFuture();  ///< If that counts.
    bool goes_on = false;
  };
  struct StreamCounts {
    double begun = 0;
    double sent = 0;
    double going_on = 0;
    double taken_up = 0;
  };
  /// Requests whose time left is judged.
  struct TimeLeftCounts {
    double counted = 0;
    double beyond = 0;
  };
  struct UsageCall {
    int64_t window = 0;
    std::string holder;
    uint64_t fencing_token = 0;
    absl::Time at;
  };
  struct Order {
    std::string holder;
    uint64_t fencing_token = 0;
    absl::Time at;
  };

  void CheckRequest(const Request& request,
                    std::vector<std::string>& out) const;
  double CheckRetries(std::vector<std::string>* out) const;
  void CheckOrders(std::vector<std::string>& out) const;
  void CheckUsage(std::vector<std::string>& out) const;
  CustomerCounts ReportedUsage() const;
  TimeLeftCounts CountTimeLeft() const;
  void CheckTimeLeft(std::vector<std::string>& out) const;
  void CheckRecovery(std::vector<std::string>& out) const;
  void CheckCrashingRequests(std::vector<std::string>& out) const;
  void CheckVersions(std::vector<std::string>& out) const;
  StreamCounts CheckTakeUps(std::vector<std::string>* out) const;
  std::map<std::string, Stream> Streams() const;

  const LedgerBounds bounds;
  std::map<std::string, Request, std::less<>> requests;
  std::map<std::string, std::vector<Order>, std::less<>> orders;
  std::map<int64_t, CustomerCounts> usage;  // By window, as first reported.
  std::vector<UsageCall> usage_calls;
  std::vector<absl::Time> crashes;
  std::vector<absl::Time> crashing_arrivals;  // From calm gateways.
  std::map<std::string, std::deque<absl::Time>, std::less<>> limited_arrivals;
  size_t limited_arrival_count = 0;
  std::vector<std::string> seen;
};

}  // namespace cranberryhill::soak

#endif  // SOAK_LEDGER_H_
