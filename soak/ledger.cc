#include "soak/ledger.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <set>
#include <utility>

namespace cranberryhill::soak {
namespace {

/// Statuses that promise that the request has not run and never will.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

/// @return Entries of the sorted `times` in [from, to).
double CountIn(const std::vector<absl::Time>& times,
               absl::Time from,
               absl::Time to) {
  auto first = std::lower_bound(times.begin(), times.end(), from);
  auto last = std::lower_bound(times.begin(), times.end(), to);
  return static_cast<double>(last - first);
}

}  // namespace

void Ledger::OnSent(SentRequest request) {
  std::string id = request.id;
  this->requests[id].sent = std::move(request);
}

void Ledger::OnArrival(std::string_view id,
                       std::string_view replica,
                       absl::Time now,
                       bool runs) {
  auto found = this->requests.find(id);
  if (found == this->requests.end()) {
    this->seen.push_back(fmt::format(
        "unasked: {} got request {} that nobody sent", replica, id));
    return;
  }
  found->second.arrivals.push_back({std::string(replica), now, runs});
}

void Ledger::OnPromptRead(std::string_view id, absl::Time now) {
  auto found = this->requests.find(id);
  if (found != this->requests.end())
    found->second.prompt_reads.push_back(now);
}

void Ledger::OnTimeLeft(std::string_view id,
                        absl::Time now,
                        std::optional<absl::Duration> time_left,
                        bool counts) {
  auto found = this->requests.find(id);
  if (found == this->requests.end())
    return;
  Request& request = found->second;
  request.arrived_at = std::min(request.arrived_at, now);
  if (!counts)
    return;
  absl::Duration slack = this->bounds.time_left_slack;
  const SentRequest& sent = request.sent;
  bool beyond =
      !time_left || now + *time_left > sent.at + sent.time_left + slack;
  request.beyond_time = request.beyond_time || beyond;
  request.time_left_counts =
      request.time_left_counts || beyond || now - request.arrived_at > slack;
}

void Ledger::OnAnswer(std::string_view id, Answer answer) {
  this->requests.find(id)->second.answers.push_back(std::move(answer));
}

void Ledger::OnBrokenOff(std::string_view id) {
  auto found = this->requests.find(id);
  if (found != this->requests.end())
    found->second.broken_off = true;
}

const SentRequest* Ledger::Find(std::string_view id) const {
  auto found = this->requests.find(id);
  return found == this->requests.end() ? nullptr : &found->second.sent;
}

void Ledger::OnCrashingArrival(absl::Time now, bool gateway_calm) {
  if (gateway_calm)
    this->crashing_arrivals.push_back(now);
}

void Ledger::OnOrder(std::string_view replica,
                     std::string_view holder,
                     uint64_t fencing_token,
                     absl::Time now) {
  this->orders[std::string(replica)].push_back(
      {std::string(holder), fencing_token, now});
}

void Ledger::CheckRequest(const Request& request,
                          std::vector<std::string>& out) const {
  const std::string& id = request.sent.id;
  auto runs =
      std::count_if(request.arrivals.begin(), request.arrivals.end(),
                    [](const Arrival& arrival) { return arrival.runs; });
  if (!request.sent.may_repeat && runs > 1)
    out.push_back(fmt::format("twice: {} ran {} times", id, runs));
  if (request.answers.size() > 1) {
    out.push_back(
        fmt::format("mixed: {} got {} answers", id, request.answers.size()));
  }
  for (const Answer& answer : request.answers) {
    if (PromisesNotRun(answer.status) && runs > 0 && !request.sent.may_repeat) {
      out.push_back(fmt::format("refused: {} was answered {} and ran", id,
                                answer.status));
    }
    if (IsSuccess(answer.status) && answer.complete &&
        answer.body != request.sent.expected_body) {
      out.push_back(fmt::format(
          "mixed: {} got {} bytes that are not its answer of {} bytes", id,
          answer.body.size(), request.sent.expected_body.size()));
    }
    if (IsSuccess(answer.status) && !answer.complete &&
        !request.sent.expected_body.starts_with(answer.body)) {
      out.push_back(fmt::format(
          "order: {} got a part that is not the start of its answer", id));
    }
    if (answer.signed_status != 0 && answer.signed_status != answer.status) {
      out.push_back(fmt::format("mixed: {} got {} for the signed answer {}", id,
                                answer.status, answer.signed_status));
    }
    bool must_answer = !request.arrivals.empty() || request.sent.after_recovery;
    if (answer.undisturbed && must_answer && !answer.complete &&
        !request.broken_off) {
      out.push_back(fmt::format(
          "lost: {} got no complete answer within {} although nothing was "
          "disturbed",
          id, absl::FormatDuration(answer.took)));
    }
  }
}

/// @param out Gets a line for each service that got too many; may be null.
/// @return The most extra sends of a window, as a part of what was allowed.
double Ledger::CheckRetries(std::vector<std::string>* out) const {
  struct Service {
    std::vector<absl::Time> requests;
    std::vector<absl::Time> extras;
  };
  std::map<std::string, Service> services;
  int over_attempts = 0;
  for (const auto& [id, request] : this->requests) {
    Service& service = services[request.sent.service];
    service.requests.push_back(request.sent.at);
    for (size_t i = 1; i < request.prompt_reads.size(); ++i)
      service.extras.push_back(request.prompt_reads[i]);
    std::set<std::string> replicas;
    for (size_t i = 0; i < request.arrivals.size(); ++i) {
      if (i > 0)
        service.extras.push_back(request.arrivals[i].at);
      if (request.arrivals[i].runs)
        replicas.insert(request.arrivals[i].replica);
    }
    if (static_cast<int>(replicas.size()) > request.sent.max_replicas)
      ++over_attempts;
  }
  if (out != nullptr && over_attempts > this->bounds.over_attempts) {
    out->push_back(fmt::format(
        "budget: {} requests ran on more replicas than their route allows",
        over_attempts));
  }
  double most = 0;
  for (auto& [name, service] : services) {
    bool reported = out == nullptr;
    std::sort(service.requests.begin(), service.requests.end());
    std::sort(service.extras.begin(), service.extras.end());
    absl::Duration window = this->bounds.retry_window;
    for (absl::Time from : service.extras) {
      double extras = CountIn(service.extras, from, from + window);
      double requests = std::max(
          {CountIn(service.requests, from, from + window),
           CountIn(service.requests, from - window, from),
           CountIn(service.requests, from - window / 2, from + window / 2)});
      double allowed =
          this->bounds.retry_ratio * requests + this->bounds.retry_slack;
      most = std::max(most, extras / allowed);
      if (extras > allowed && !std::exchange(reported, true)) {
        out->push_back(fmt::format(
            "budget: {} got {} extra sends for {} requests in one window", name,
            extras, requests));
      }
    }
  }
  return most;
}

void Ledger::CheckOrders(std::vector<std::string>& out) const {
  for (const auto& [replica, list] : this->orders) {
    for (size_t i = 1; i < list.size(); ++i) {
      const Order& before = list[i - 1];
      const Order& order = list[i];
      if (order.fencing_token < before.fencing_token) {
        out.push_back(fmt::format("one: {} got fencing token {} after {}",
                                  replica, order.fencing_token,
                                  before.fencing_token));
      }
      if (order.holder == before.holder)
        continue;
      if (order.fencing_token == before.fencing_token ||
          order.at - before.at < this->bounds.lease_time) {
        out.push_back(fmt::format(
            "one: {} got orders of {} and {} {} apart, tokens {} and {}",
            replica, before.holder, order.holder,
            absl::FormatDuration(order.at - before.at), before.fencing_token,
            order.fencing_token));
      }
    }
  }
}

void Ledger::OnUsage(int64_t window,
                     const CustomerCounts& counts,
                     const std::string& holder,
                     uint64_t fencing_token,
                     absl::Time now) {
  auto [first, is_new] = this->usage.emplace(window, counts);
  if (!is_new && first->second != counts) {
    this->OnViolation(fmt::format("usage: window {} was reported as {} and {}",
                                  window, first->second, counts));
  }
  this->usage_calls.push_back({window, holder, fencing_token, now});
}

CustomerCounts Ledger::ReportedUsage() const {
  CustomerCounts sums;
  for (const auto& [window, counts] : this->usage) {
    for (const auto& [customer, count] : counts)
      sums[customer] += count;
  }
  return sums;
}

/// Fewer may be reported than ran: a build that does not count may have served
/// them.
void Ledger::CheckUsage(std::vector<std::string>& out) const {
  CustomerCounts ran;
  for (const auto& [id, request] : this->requests) {
    bool runs =
        std::any_of(request.arrivals.begin(), request.arrivals.end(),
                    [](const Arrival& arrival) { return arrival.runs; });
    ran[request.sent.customer] += runs ? 1 : 0;
  }
  for (const auto& [customer, count] : this->ReportedUsage()) {
    if (count > ran[customer]) {
      out.push_back(
          fmt::format("usage: {} requests of {} were reported, {} ran", count,
                      customer, ran[customer]));
    }
  }
  for (size_t i = 1; i < this->usage_calls.size(); ++i) {
    const UsageCall& before = this->usage_calls[i - 1];
    const UsageCall& call = this->usage_calls[i];
    if (call.holder != before.holder &&
        (call.fencing_token <= before.fencing_token ||
         call.at - before.at < this->bounds.lease_time)) {
      out.push_back(fmt::format(
          "one: usage was reported by {} and {} {} apart, tokens {} and {}",
          before.holder, call.holder, absl::FormatDuration(call.at - before.at),
          before.fencing_token, call.fencing_token));
    }
  }
}

Ledger::TimeLeftCounts Ledger::CountTimeLeft() const {
  TimeLeftCounts counts;
  for (const auto& [id, request] : this->requests) {
    counts.counted += request.time_left_counts ? 1 : 0;
    counts.beyond += request.beyond_time ? 1 : 0;
  }
  return counts;
}

void Ledger::CheckTimeLeft(std::vector<std::string>& out) const {
  TimeLeftCounts counts = this->CountTimeLeft();
  if (counts.beyond > this->bounds.beyond_time &&
      counts.beyond > this->bounds.beyond_time_share * counts.counted) {
    out.push_back(
        fmt::format("budget: {} of {} counted requests reached replicas with "
                    "more time than their callers had left",
                    counts.beyond, counts.counted));
  }
}

void Ledger::CheckRecovery(std::vector<std::string>& out) const {
  double sent = 0;
  double served = 0;
  for (const auto& [id, request] : this->requests) {
    if (!request.sent.after_recovery)
      continue;
    ++sent;
    for (const Answer& answer : request.answers)
      served += IsSuccess(answer.status) && answer.complete ? 1 : 0;
  }
  if (served < sent * this->bounds.served_share) {
    out.push_back(fmt::format(
        "recover: {} of {} requests were served after all faults had ended",
        served, sent));
  }
}

void Ledger::CheckCrashingRequests(std::vector<std::string>& out) const {
  size_t known_after = this->bounds.known_after_crashes;
  if (this->crashes.size() < known_after)
    return;
  absl::Time known_at =
      this->crashes[known_after - 1] + this->bounds.stable_window;
  auto late = static_cast<size_t>(std::count_if(
      this->crashing_arrivals.begin(), this->crashing_arrivals.end(),
      [known_at](absl::Time at) { return at > known_at; }));
  if (late > this->bounds.late_crashing_requests) {
    out.push_back(fmt::format(
        "budget: {} requests that crash engines reached engines too late; {} "
        "engines crashed",
        late, this->crashes.size()));
  }
}

std::map<std::string, Ledger::Stream> Ledger::Streams() const {
  std::map<std::string, Stream> streams;
  for (const auto& [id, request] : this->requests) {
    if (!request.sent.stream)
      continue;
    Stream& stream = streams[request.sent.stream_id()];
    for (const Answer& answer : request.answers) {
      stream.versions.insert(answer.versions.begin(), answer.versions.end());
      if (request.sent.resumes.empty())
        continue;
      bool goes_on =
          answer.events > 0 || (answer.complete && IsSuccess(answer.status));
      stream.goes_on = stream.goes_on || goes_on;
      if (answer.counts)
        stream.taken_up_at = std::min(stream.taken_up_at, request.sent.at);
    }
  }
  return streams;
}

void Ledger::CheckVersions(std::vector<std::string>& out) const {
  for (const auto& [id, stream] : this->Streams()) {
    if (stream.versions.size() > 1) {
      out.push_back(fmt::format("order: stream {} holds events of versions {}",
                                id, fmt::join(stream.versions, " and ")));
    }
  }
}

/// Compares the shares at each take-up, over all streams until then.
/// @param out Gets a line the first time that too few go on; may be null.
Ledger::StreamCounts Ledger::CheckTakeUps(std::vector<std::string>* out) const {
  struct Event {
    absl::Time at;
    bool is_take_up;
    bool served;
  };
  std::vector<Event> events;
  for (const auto& [id, stream] : this->Streams()) {
    if (stream.taken_up_at != absl::InfiniteFuture())
      events.push_back({stream.taken_up_at, true, stream.goes_on});
  }
  for (const auto& [id, request] : this->requests) {
    const SentRequest& sent = request.sent;
    if (!sent.stream || !sent.resumes.empty() || sent.crashes_engine)
      continue;
    for (const Answer& answer : request.answers) {
      if (answer.counts)
        events.push_back({sent.at, false, answer.events > 0});
    }
  }
  std::sort(events.begin(), events.end(),
            [](const Event& a, const Event& b) { return a.at < b.at; });
  StreamCounts counts;
  bool reported = out == nullptr;
  for (const Event& event : events) {
    (event.is_take_up ? counts.taken_up : counts.sent) += 1;
    if (event.served)
      (event.is_take_up ? counts.going_on : counts.begun) += 1;
    if (reported || counts.taken_up < this->bounds.min_take_ups ||
        counts.going_on * counts.sent >=
            this->bounds.going_on_part * counts.begun * counts.taken_up)
      continue;
    reported = true;
    out->push_back(fmt::format(
        "lost: {} of {} streams that were taken up again went on, {} of {} new "
        "ones began",
        counts.going_on, counts.taken_up, counts.begun, counts.sent));
  }
  return counts;
}

void Ledger::OnLimitedArrival(std::string_view replica,
                              double requests_per_s,
                              absl::Time now,
                              bool binding) {
  ++this->limited_arrival_count;
  auto& arrivals = this->limited_arrivals[std::string(replica)];
  arrivals.push_back(now);
  while (now - arrivals.front() > this->bounds.limit_window)
    arrivals.pop_front();
  double allowed = this->bounds.limit_factor * requests_per_s *
                       absl::ToDoubleSeconds(this->bounds.limit_window) +
                   this->bounds.limit_slack;
  if (binding && static_cast<double>(arrivals.size()) > allowed) {
    this->OnViolation(
        fmt::format("limit: {} takes {} requests/s and got {} in {}", replica,
                    requests_per_s, arrivals.size(),
                    absl::FormatDuration(this->bounds.limit_window)));
  }
}

std::vector<std::string> Ledger::Violations() const {
  std::vector<std::string> out = this->seen;
  for (const auto& [id, request] : this->requests)
    this->CheckRequest(request, out);
  this->CheckRetries(&out);
  this->CheckOrders(out);
  this->CheckUsage(out);
  this->CheckTimeLeft(out);
  this->CheckRecovery(out);
  this->CheckCrashingRequests(out);
  this->CheckVersions(out);
  this->CheckTakeUps(&out);
  return out;
}

std::string Ledger::Summary() const {
  std::map<std::string, int> by_outcome;
  size_t arrivals = 0;
  for (const auto& [id, request] : this->requests) {
    arrivals += request.arrivals.size();
    for (const Answer& answer : request.answers) {
      std::string name = answer.status == 0 ? "no_answer"
                         : !answer.complete ? "cut"
                                            : std::to_string(answer.status);
      ++by_outcome[name];
    }
  }
  std::string line =
      fmt::format("requests={} arrivals={}", this->requests.size(), arrivals);
  for (const auto& [name, count] : by_outcome)
    line += fmt::format(" {}={}", name, count);
  size_t orders = 0;
  for (const auto& [replica, list] : this->orders)
    orders += list.size();
  if (!this->usage_calls.empty()) {
    int64_t reported = 0;
    for (const auto& [customer, count] : this->ReportedUsage())
      reported += count;
    line += fmt::format(" usage_windows={} usage_calls={} usage={}",
                        this->usage.size(), this->usage_calls.size(), reported);
  }
  StreamCounts streams = this->CheckTakeUps(nullptr);
  TimeLeftCounts time_left = this->CountTimeLeft();
  return line + fmt::format(
                    " orders={} crashes={} limited={} streams={}/{} "
                    "taken_up={}/{} retries={:.2f} beyond_time={}/{}",
                    orders, this->crashes.size(), this->limited_arrival_count,
                    streams.begun, streams.sent, streams.going_on,
                    streams.taken_up, this->CheckRetries(nullptr),
                    time_left.beyond, time_left.counted);
}

}  // namespace cranberryhill::soak
