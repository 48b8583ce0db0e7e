#ifndef CRANBERRYHILL_ADMISSION_ADMISSION_QUEUE_H_
#define CRANBERRYHILL_ADMISSION_ADMISSION_QUEUE_H_

// Queue of the requests that wait in an entry instance until an engine can
// serve them in time. Customers share the engines by weighted fair queueing,
// short work starts before long work, and a request is refused as soon as it
// can no longer be served in time.
//
//   AdmissionQueue queue(clock, {});
//   queue.SetWeight("c7", 2.0);
//   if (auto refusal = queue.TryEnqueue(request)) ...answer 429, "not_run"...
//   for (const AdmissionAction& action : queue.Poll(gate))  // every 10 ms and
//     ...start or refuse action.request...                  // on each event

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// Limits and settings of an AdmissionQueue.
struct AdmissionOptions {
  /// A request with at least this much expected work is long work. Each
  /// customer has one queue (lane) for short work and one for long work.
  absl::Duration long_work_threshold = absl::Seconds(2);
  /// Long work that has waited at least this long starts before short work.
  absl::Duration long_work_ageing = absl::Milliseconds(500);
  /// A request counts as late if its first token is expected less than this
  /// before first_token_by. This leaves room for errors of the estimate.
  absl::Duration first_token_margin = absl::Milliseconds(60);
  size_t max_queued = 2000;
  /// If false, the requests of all customers wait in order of arrival.
  bool fair_queueing = true;
  /// If false, short and long work wait in the same lane.
  bool separate_lanes = true;
  /// If false, a request waits until its first token can no longer be in time,
  /// and is refused only then.
  bool early_refusal = true;
};

/// A request that is to be admitted.
struct AdmissionRequest {
  uint64_t id = 0;
  std::string customer;
  /// Expected engine time: the prefill plus the request's share of the decode.
  absl::Duration work{};
  /// Latest time of the first token.
  absl::Time first_token_by = absl::InfiniteFuture();
  /// Shortest time to the first token on an idle engine.
  absl::Duration min_first_token{};
};

enum class RefusalReason {
  kQueueFull,
  kWouldBeLate,  ///< No engine can serve the request in time.
};

/// Refusal of a request. No part of the request has run.
struct AdmissionRefusal {
  RefusalReason reason = RefusalReason::kWouldBeLate;
  /// Time after which the request is likely to be admitted if it is sent again.
  absl::Duration retry_after{};
};

enum class AdmissionActionKind { kStart, kRefuse };

/// Decision on one queued request.
struct AdmissionAction {
  AdmissionActionKind kind = AdmissionActionKind::kStart;
  uint64_t request = 0;
  AdmissionRefusal refusal{};  ///< Set for kRefuse.
};

/// Starts requests on engines that can serve them now. Implementations usually
/// ask a Router.
class DispatchGate {
 public:
  virtual ~DispatchGate() = default;

  /// Starts the request if an engine can serve it in time.
  /// @return False if the request has to wait.
  virtual bool TryStart(uint64_t request) = 0;
};

/// Decides when waiting requests start and which are refused. Not thread-safe.
class AdmissionQueue {
 public:
  /// @param clock Must outlive this object.
  AdmissionQueue(const Clock& clock, AdmissionOptions options);

  /// @param weight Share of the customer relative to other customers. Must be
  ///     above 0; the default is 1.
  void SetWeight(std::string_view customer, double weight);

  /// Queues a request.
  /// @return A refusal if the request cannot be served in time or the queue is
  ///     full.
  std::optional<AdmissionRefusal> TryEnqueue(AdmissionRequest request);

  /// Refuses late requests, and starts the requests that the gate accepts in
  /// the order of weighted fair queueing.
  std::vector<AdmissionAction> Poll(DispatchGate& gate);

  /// Removes a request whose caller disconnected.
  void Cancel(uint64_t request);

  size_t Size() const { return this->size; }

 private:
  struct WaitingRequest {
    AdmissionRequest request;
    absl::Time arrived_at;
  };
  struct Customer {
    std::string name;
    double weight = 1;
    // Seconds of work started, divided by the weight. The customer with the
    // lowest value is served next.
    double virtual_time = 0;
    double queued_work_s = 0;
    std::deque<WaitingRequest> lanes[2];
  };

  Customer& CustomerOf(const std::string& name);
  std::vector<Customer*> WaitingCustomers() const;
  size_t LaneOf(const AdmissionRequest& request) const;
  bool IsLate(const WaitingRequest& waiting) const;
  double StartedRate() const;
  static absl::Time LatestStart(const AdmissionRequest& request);
  absl::Duration TimeToStart(const Customer& customer, double work_s) const;
  absl::Duration ExpectedWait(const Customer& customer,
                              const AdmissionRequest& request) const;
  absl::Duration RetryAfter(const Customer& customer) const;
  void Remove(Customer& customer,
              std::deque<WaitingRequest>& lane,
              size_t position);
  void RefuseLate(std::vector<AdmissionAction>& actions);
  void RecordStarted(Customer& customer, absl::Duration work);
  void StartLane(size_t lane,
                 bool only_aged_work,
                 DispatchGate& gate,
                 std::vector<AdmissionAction>& actions);

  const Clock& clock;
  const AdmissionOptions options;
  std::map<std::string, Customer, std::less<>> customers;
  // Customers that have waiting requests. Poll() iterates only over these.
  std::map<std::string, Customer*, std::less<>> waiting_customers;
  // Virtual time of the customer that was served last; it never decreases.
  double virtual_now = 0;
  size_t size = 0;
  // Seconds of work started per second, as an exponentially weighted average.
  double started_rate = 0;
  absl::Time started_rate_updated_at;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ADMISSION_ADMISSION_QUEUE_H_
