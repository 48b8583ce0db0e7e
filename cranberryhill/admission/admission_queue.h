#ifndef CRANBERRYHILL_ADMISSION_ADMISSION_QUEUE_H_
#define CRANBERRYHILL_ADMISSION_ADMISSION_QUEUE_H_

// Requests that wait in an entry instance until an engine can serve them in
// time. Weighted fair between customers, short work before long work, and
// refusal as soon as a request can no longer be served in time.
//
//   AdmissionQueue queue(clock, {});
//   queue.SetWeight("c7", 2.0);
//   if (auto refusal = queue.Offer(request)) ...answer 429, "not_run"...
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

/// Bounds and behaviour of an AdmissionQueue.
struct AdmissionOptions {
  /// Work from this size on goes to the long lane.
  absl::Duration long_work = absl::Seconds(2);
  /// Long work that waited this long precedes short work.
  absl::Duration long_work_ageing = absl::Milliseconds(500);
  /// Time kept free between the expected first token and the latest time for
  /// it, because estimates err.
  absl::Duration safety = absl::Milliseconds(60);
  size_t max_queued = 2000;
  bool fair = true;           ///< False: one queue in order of arrival.
  bool lanes = true;          ///< False: short and long work share a lane.
  bool early_refusal = true;  ///< False: requests wait until they are late.
};

/// A request to admit.
struct AdmissionRequest {
  uint64_t id = 0;
  std::string customer;
  absl::Duration work{};  ///< Expected engine time: prefill plus decode share.
  /// Latest time of the first token.
  absl::Time first_token_by = absl::InfiniteFuture();
  /// Shortest time to the first token on an idle engine.
  absl::Duration min_first_token{};
};

enum class RefusalReason {
  kQueueFull,
  kWouldBeLate,  ///< No engine can serve it in time. Nothing was run.
};

/// A refusal; the request has not run.
struct AdmissionRefusal {
  RefusalReason reason = RefusalReason::kWouldBeLate;
  absl::Duration retry_after{};  ///< When a repeat is likely to be admitted.
};

enum class AdmissionActionKind { kStart, kRefuse };

struct AdmissionAction {
  AdmissionActionKind kind = AdmissionActionKind::kStart;
  uint64_t request = 0;
  AdmissionRefusal refusal{};  ///< Set for kRefuse.
};

/// Tells whether engines can take a request now. Usually asks a Router.
class DispatchGate {
 public:
  virtual ~DispatchGate() = default;

  /// Starts the request if it would be served in time.
  /// @return False when it has to wait.
  virtual bool TryStart(uint64_t request) = 0;
};

/// Not thread-safe.
class AdmissionQueue {
 public:
  /// @param clock Must outlive this object.
  AdmissionQueue(const Clock& clock, AdmissionOptions options);

  /// @param weight Share relative to other customers, above 0. Default 1.
  void SetWeight(std::string_view customer, double weight);

  /// Queues a request.
  /// @return A refusal when it can't be served in time or the queue is full.
  std::optional<AdmissionRefusal> Offer(AdmissionRequest request);

  /// Starts what the gate accepts, in fair order, and refuses what is late.
  std::vector<AdmissionAction> Poll(DispatchGate& gate);

  /// Removes a request whose caller disconnected.
  void Cancel(uint64_t request);

  size_t Size() const { return this->size; }

 private:
  struct Waiting {
    AdmissionRequest request;
    absl::Time arrived;
  };
  struct Customer {
    std::string name;
    double weight = 1;
    double virtual_time = 0;  // Work started, divided by the weight.
    double queued_work_s = 0;
    std::deque<Waiting> lanes[2];
  };

  Customer& CustomerOf(const std::string& name);
  std::vector<Customer*> WaitingCustomers() const;
  size_t LaneOf(const AdmissionRequest& request) const;
  bool Late(const Waiting& waiting) const;
  double StartedRate() const;
  static absl::Time LatestStart(const AdmissionRequest& request);
  absl::Duration TimeToStart(const Customer& customer, double work_s) const;
  absl::Duration ExpectedWait(const Customer& customer,
                              const AdmissionRequest& request) const;
  absl::Duration RetryAfter(const Customer& customer) const;
  void Remove(Customer& customer, std::deque<Waiting>& lane, size_t position);
  void RefuseLate(std::vector<AdmissionAction>& actions);
  void CountStarted(Customer& customer, absl::Duration work);
  void StartLane(size_t lane,
                 bool only_aged,
                 DispatchGate& gate,
                 std::vector<AdmissionAction>& actions);

  const Clock& clock;
  const AdmissionOptions options;
  std::map<std::string, Customer, std::less<>> customers;
  // Those with waiting requests, by name; polls walk only these.
  std::map<std::string, Customer*, std::less<>> waiting_customers;
  double virtual_now = 0;
  size_t size = 0;
  double started_rate = 0;  // Work per second, exponentially weighted.
  absl::Time rate_time;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ADMISSION_ADMISSION_QUEUE_H_
