#include "cranberryhill/admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryhill {
namespace {

constexpr size_t kShortLane = 0;
constexpr size_t kLongLane = 1;
// StartLane() stops after the gate has rejected the first requests of this many
// customers. A request for which an engine has room can thus overtake the
// waiting requests of only a few customers.
constexpr size_t kMaxBlockedCustomers = 3;
// A request is refused if its expected time in the queue exceeds this fraction
// of the time that it can wait.
constexpr double kMaxQueueTimeFraction = 0.7;
// Time constant of the average started_rate.
constexpr double kRateTimeConstantS = 2;
// The rate is not used if no request has started for longer than this.
constexpr absl::Duration kRateValidity = absl::Seconds(4);
constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);

}  // namespace

AdmissionQueue::AdmissionQueue(const Clock& clock, AdmissionOptions options)
    : clock(clock), options(options), started_rate_updated_at(clock.Now()) {}

AdmissionQueue::Customer& AdmissionQueue::CustomerOf(const std::string& name) {
  const std::string& key = this->options.fair_queueing ? name : std::string();
  Customer& customer = this->customers[key];
  customer.name = key;
  return customer;
}

// Returns a copy of the list, because starting or refusing a request changes
// the map.
std::vector<AdmissionQueue::Customer*> AdmissionQueue::WaitingCustomers()
    const {
  std::vector<Customer*> waiting;
  for (const auto& [name, customer] : this->waiting_customers)
    waiting.push_back(customer);
  return waiting;
}

void AdmissionQueue::SetWeight(std::string_view customer, double weight) {
  if (weight > 0)
    this->CustomerOf(std::string(customer)).weight = weight;
}

size_t AdmissionQueue::LaneOf(const AdmissionRequest& request) const {
  return this->options.separate_lanes &&
                 request.work >= this->options.long_work_threshold
             ? kLongLane
             : kShortLane;
}

bool AdmissionQueue::IsLate(const WaitingRequest& waiting) const {
  absl::Duration margin = this->options.early_refusal
                              ? this->options.first_token_margin
                              : absl::ZeroDuration();
  return this->clock.Now() + waiting.request.min_first_token + margin >
         waiting.request.first_token_by;
}

double AdmissionQueue::StartedRate() const {
  double seconds =
      absl::ToDoubleSeconds(this->clock.Now() - this->started_rate_updated_at);
  return this->started_rate * std::exp(-seconds / kRateTimeConstantS);
}

// Returns the latest time at which a request can start and still be in time.
absl::Time AdmissionQueue::LatestStart(const AdmissionRequest& request) {
  return request.first_token_by - request.min_first_token;
}

// Returns the time until `customer` has started `work_s` seconds of work if it
// gets its weighted share of the rate at which this instance starts work.
absl::Duration AdmissionQueue::TimeToStart(const Customer& customer,
                                           double work_s) const {
  double rate = this->StartedRate();
  // After a pause the rate is meaningless. It has decayed because there was no
  // work, or because this process did not run.
  bool rate_known =
      this->clock.Now() - this->started_rate_updated_at <= kRateValidity;
  if (work_s <= 0 || rate <= 0 || !rate_known)
    return absl::ZeroDuration();
  double total_weight = 0;
  for (const auto& [name, other] : this->waiting_customers)
    total_weight += other->weight;
  return absl::Seconds(work_s * total_weight / (rate * customer.weight));
}

// Returns the expected time of `request` in the queue. Requests of the customer
// in the same lane whose LatestStart() is not after that of `request` are
// served first. If `request` is in the long lane, all requests in the
// customer's short lane are expected to be served before it as well.
absl::Duration AdmissionQueue::ExpectedWait(
    const Customer& customer,
    const AdmissionRequest& request) const {
  absl::Time latest = LatestStart(request);
  size_t lane = this->LaneOf(request);
  double work_s = 0;
  for (const WaitingRequest& waiting : customer.lanes[lane]) {
    if (LatestStart(waiting.request) > latest)
      break;
    work_s += absl::ToDoubleSeconds(waiting.request.work);
  }
  if (lane == kLongLane) {
    for (const WaitingRequest& waiting : customer.lanes[kShortLane])
      work_s += absl::ToDoubleSeconds(waiting.request.work);
  }
  return this->TimeToStart(customer, work_s);
}

absl::Duration AdmissionQueue::RetryAfter(const Customer& customer) const {
  return std::clamp(this->TimeToStart(customer, customer.queued_work_s),
                    kMinRetryAfter, kMaxRetryAfter);
}

std::optional<AdmissionRefusal> AdmissionQueue::TryEnqueue(
    AdmissionRequest request) {
  Customer& customer = this->CustomerOf(request.customer);
  if (this->size >= this->options.max_queued) {
    return AdmissionRefusal{RefusalReason::kQueueFull,
                            this->RetryAfter(customer)};
  }
  absl::Time now = this->clock.Now();
  if (this->options.early_refusal) {
    absl::Duration slack = request.first_token_by - now -
                           request.min_first_token -
                           this->options.first_token_margin;
    if (slack < absl::ZeroDuration() ||
        this->ExpectedWait(customer, request) > slack * kMaxQueueTimeFraction) {
      return AdmissionRefusal{RefusalReason::kWouldBeLate,
                              this->RetryAfter(customer)};
    }
  }
  size_t lane = this->LaneOf(request);
  // A customer accumulates no credit for the time in which it had no waiting
  // requests.
  if (customer.lanes[kShortLane].empty() && customer.lanes[kLongLane].empty())
    customer.virtual_time = std::max(customer.virtual_time, this->virtual_now);
  customer.queued_work_s += absl::ToDoubleSeconds(request.work);
  // The lane is sorted by the latest start. In order of arrival, requests that
  // can wait only briefly, which are those with long prompts, would be refused
  // whenever other requests of the customer wait.
  auto& waiting = customer.lanes[lane];
  auto position = waiting.end();
  if (this->options.fair_queueing) {
    position =
        std::upper_bound(waiting.begin(), waiting.end(), LatestStart(request),
                         [](absl::Time time, const WaitingRequest& other) {
                           return time < LatestStart(other.request);
                         });
  }
  this->waiting_customers.try_emplace(customer.name, &customer);
  waiting.insert(position, {std::move(request), now});
  ++this->size;
  return std::nullopt;
}

void AdmissionQueue::Remove(Customer& customer,
                            std::deque<WaitingRequest>& lane,
                            size_t position) {
  customer.queued_work_s -= absl::ToDoubleSeconds(lane[position].request.work);
  lane.erase(lane.begin() + static_cast<std::ptrdiff_t>(position));
  --this->size;
  if (customer.lanes[kShortLane].empty() && customer.lanes[kLongLane].empty()) {
    customer.queued_work_s = 0;
    this->waiting_customers.erase(customer.name);
  }
}

void AdmissionQueue::RefuseLate(std::vector<AdmissionAction>& actions) {
  for (Customer* waiting : this->WaitingCustomers()) {
    Customer& customer = *waiting;
    for (auto& lane : customer.lanes) {
      for (size_t i = 0; i < lane.size();) {
        if (!this->IsLate(lane[i])) {
          ++i;
          continue;
        }
        actions.push_back(
            {AdmissionActionKind::kRefuse,
             lane[i].request.id,
             {RefusalReason::kWouldBeLate, this->RetryAfter(customer)}});
        this->Remove(customer, lane, i);
      }
    }
  }
}

void AdmissionQueue::RecordStarted(Customer& customer, absl::Duration work) {
  double seconds = absl::ToDoubleSeconds(work);
  this->virtual_now = std::max(this->virtual_now, customer.virtual_time);
  customer.virtual_time += seconds / customer.weight;
  this->started_rate = this->StartedRate() + seconds / kRateTimeConstantS;
  this->started_rate_updated_at = this->clock.Now();
}

void AdmissionQueue::StartLane(size_t lane,
                               bool only_aged_work,
                               DispatchGate& gate,
                               std::vector<AdmissionAction>& actions) {
  absl::Time now = this->clock.Now();
  std::vector<Customer*> service_order;
  for (Customer* customer : this->WaitingCustomers()) {
    if (!customer->lanes[lane].empty())
      service_order.push_back(customer);
  }
  auto served_later = [](const Customer* a, const Customer* b) {
    return a->virtual_time > b->virtual_time;
  };
  std::make_heap(service_order.begin(), service_order.end(), served_later);
  size_t blocked_customers = 0;
  while (!service_order.empty() && blocked_customers < kMaxBlockedCustomers) {
    std::pop_heap(service_order.begin(), service_order.end(), served_later);
    Customer& customer = *service_order.back();
    auto& waiting = customer.lanes[lane];
    WaitingRequest& head = waiting.front();
    bool aged = now - head.arrived_at >= this->options.long_work_ageing;
    if (only_aged_work && !aged) {
      service_order.pop_back();
      continue;
    }
    if (!gate.TryStart(head.request.id)) {
      ++blocked_customers;
      service_order.pop_back();
      continue;
    }
    actions.push_back({AdmissionActionKind::kStart, head.request.id, {}});
    this->RecordStarted(customer, head.request.work);
    this->Remove(customer, waiting, 0);
    if (waiting.empty())
      service_order.pop_back();
    else
      std::push_heap(service_order.begin(), service_order.end(), served_later);
  }
}

std::vector<AdmissionAction> AdmissionQueue::Poll(DispatchGate& gate) {
  std::vector<AdmissionAction> actions;
  if (this->size == 0)
    return actions;
  this->RefuseLate(actions);
  this->StartLane(kLongLane, true, gate, actions);
  this->StartLane(kShortLane, false, gate, actions);
  this->StartLane(kLongLane, false, gate, actions);
  return actions;
}

void AdmissionQueue::Cancel(uint64_t request) {
  for (Customer* waiting : this->WaitingCustomers()) {
    Customer& customer = *waiting;
    for (auto& lane : customer.lanes) {
      auto found = std::find_if(lane.begin(), lane.end(),
                                [&](const WaitingRequest& waiting) {
                                  return waiting.request.id == request;
                                });
      if (found != lane.end()) {
        this->Remove(customer, lane, static_cast<size_t>(found - lane.begin()));
        return;
      }
    }
  }
}

}  // namespace cranberryhill
