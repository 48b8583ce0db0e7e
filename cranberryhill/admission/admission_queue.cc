#include "cranberryhill/admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cranberryhill {
namespace {

constexpr size_t kShortLane = 0;
constexpr size_t kLongLane = 1;
// Customers whose head may be refused by the gate before a poll gives up on a
// lane. Work that fits may pass work that doesn't, but only a little.
constexpr size_t kMaxBlocked = 3;
// Part of the time left that a request may be expected to spend in the queue.
constexpr double kMaxQueueShare = 0.7;
constexpr double kRateSeconds = 2;
constexpr absl::Duration kRateMemory = absl::Seconds(4);
constexpr absl::Duration kMinRetryAfter = absl::Seconds(1);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(30);

}  // namespace

AdmissionQueue::AdmissionQueue(const Clock& clock, AdmissionOptions options)
    : clock(clock), options(options), rate_time(clock.Now()) {}

AdmissionQueue::Customer& AdmissionQueue::CustomerOf(const std::string& name) {
  const std::string& key = this->options.fair ? name : std::string();
  Customer& customer = this->customers[key];
  customer.name = key;
  return customer;
}

// A copy, because starting or refusing a request changes the map.
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
  return this->options.lanes && request.work >= this->options.long_work
             ? kLongLane
             : kShortLane;
}

bool AdmissionQueue::Late(const Waiting& waiting) const {
  absl::Duration margin =
      this->options.early_refusal ? this->options.safety : absl::ZeroDuration();
  return this->clock.Now() + waiting.request.min_first_token + margin >
         waiting.request.first_token_by;
}

double AdmissionQueue::StartedRate() const {
  double seconds = absl::ToDoubleSeconds(this->clock.Now() - this->rate_time);
  return this->started_rate * std::exp(-seconds / kRateSeconds);
}

// Latest time at which a request can start and still be in time.
absl::Time AdmissionQueue::LatestStart(const AdmissionRequest& request) {
  return request.first_token_by - request.min_first_token;
}

// Time until `customer` has started `work_s` seconds of work, at its fair share
// of the present rate.
absl::Duration AdmissionQueue::TimeToStart(const Customer& customer,
                                           double work_s) const {
  double rate = this->StartedRate();
  // After a pause the rate says nothing: it has decayed because there was no
  // work, or because this process did not run.
  bool known = this->clock.Now() - this->rate_time <= kRateMemory;
  if (work_s <= 0 || rate <= 0 || !known)
    return absl::ZeroDuration();
  double weights = 0;
  for (const auto& [name, other] : this->waiting_customers)
    weights += other->weight;
  return absl::Seconds(work_s * weights / (rate * customer.weight));
}

// Requests of the lane that have to start before `request`, and all short ones
// if it is long.
absl::Duration AdmissionQueue::ExpectedWait(
    const Customer& customer,
    const AdmissionRequest& request) const {
  absl::Time latest = LatestStart(request);
  size_t lane = this->LaneOf(request);
  double work_s = 0;
  for (const Waiting& waiting : customer.lanes[lane]) {
    if (LatestStart(waiting.request) > latest)
      break;
    work_s += absl::ToDoubleSeconds(waiting.request.work);
  }
  if (lane == kLongLane) {
    for (const Waiting& waiting : customer.lanes[kShortLane])
      work_s += absl::ToDoubleSeconds(waiting.request.work);
  }
  return this->TimeToStart(customer, work_s);
}

absl::Duration AdmissionQueue::RetryAfter(const Customer& customer) const {
  return std::clamp(this->TimeToStart(customer, customer.queued_work_s),
                    kMinRetryAfter, kMaxRetryAfter);
}

std::optional<AdmissionRefusal> AdmissionQueue::Offer(
    AdmissionRequest request) {
  Customer& customer = this->CustomerOf(request.customer);
  if (this->size >= this->options.max_queued) {
    return AdmissionRefusal{RefusalReason::kQueueFull,
                            this->RetryAfter(customer)};
  }
  absl::Time now = this->clock.Now();
  if (this->options.early_refusal) {
    absl::Duration slack = request.first_token_by - now -
                           request.min_first_token - this->options.safety;
    if (slack < absl::ZeroDuration() ||
        this->ExpectedWait(customer, request) > slack * kMaxQueueShare) {
      return AdmissionRefusal{RefusalReason::kWouldBeLate,
                              this->RetryAfter(customer)};
    }
  }
  size_t lane = this->LaneOf(request);
  // A customer that was idle gets no credit for the past.
  if (customer.lanes[kShortLane].empty() && customer.lanes[kLongLane].empty())
    customer.virtual_time = std::max(customer.virtual_time, this->virtual_now);
  customer.queued_work_s += absl::ToDoubleSeconds(request.work);
  // Earliest latest start first. In order of arrival, requests with little time
  // to spare, which are those with long prompts, would be refused whenever
  // others of the customer wait.
  auto& waiting = customer.lanes[lane];
  auto position = waiting.end();
  if (this->options.fair) {
    position =
        std::upper_bound(waiting.begin(), waiting.end(), LatestStart(request),
                         [](absl::Time time, const Waiting& other) {
                           return time < LatestStart(other.request);
                         });
  }
  this->waiting_customers.try_emplace(customer.name, &customer);
  waiting.insert(position, {std::move(request), now});
  ++this->size;
  return std::nullopt;
}

void AdmissionQueue::Remove(Customer& customer,
                            std::deque<Waiting>& lane,
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
        if (!this->Late(lane[i])) {
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

void AdmissionQueue::CountStarted(Customer& customer, absl::Duration work) {
  double seconds = absl::ToDoubleSeconds(work);
  this->virtual_now = std::max(this->virtual_now, customer.virtual_time);
  customer.virtual_time += seconds / customer.weight;
  this->started_rate = this->StartedRate() + seconds / kRateSeconds;
  this->rate_time = this->clock.Now();
}

void AdmissionQueue::StartLane(size_t lane,
                               bool only_aged,
                               DispatchGate& gate,
                               std::vector<AdmissionAction>& actions) {
  absl::Time now = this->clock.Now();
  std::vector<Customer*> order;
  for (Customer* customer : this->WaitingCustomers()) {
    if (!customer->lanes[lane].empty())
      order.push_back(customer);
  }
  auto later = [](const Customer* a, const Customer* b) {
    return a->virtual_time > b->virtual_time;
  };
  std::make_heap(order.begin(), order.end(), later);
  size_t blocked = 0;
  while (!order.empty() && blocked < kMaxBlocked) {
    std::pop_heap(order.begin(), order.end(), later);
    Customer& customer = *order.back();
    auto& waiting = customer.lanes[lane];
    Waiting& head = waiting.front();
    bool aged = now - head.arrived >= this->options.long_work_ageing;
    if (only_aged && !aged) {
      order.pop_back();
      continue;
    }
    if (!gate.TryStart(head.request.id)) {
      ++blocked;
      order.pop_back();
      continue;
    }
    actions.push_back({AdmissionActionKind::kStart, head.request.id, {}});
    this->CountStarted(customer, head.request.work);
    this->Remove(customer, waiting, 0);
    if (waiting.empty())
      order.pop_back();
    else
      std::push_heap(order.begin(), order.end(), later);
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
      auto found =
          std::find_if(lane.begin(), lane.end(), [&](const Waiting& waiting) {
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
