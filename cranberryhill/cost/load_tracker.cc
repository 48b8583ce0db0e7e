#include "cranberryhill/cost/load_tracker.h"

#include <algorithm>

namespace cranberryhill {
namespace {

// Returns seconds since the Unix epoch. Each routing decision estimates the
// load of hundreds of engines, and arithmetic with absl::Time takes several
// times as long as with doubles.
double UnixSeconds(absl::Time time) {
  return absl::ToDoubleSeconds(time - absl::UnixEpoch());
}

}  // namespace

void LoadTracker::OnReport(const LoadReport& report) {
  if (report.measured_at < this->report.measured_at)
    return;
  this->report = report;
  this->report_measured_at = UnixSeconds(report.measured_at);
  std::erase_if(this->sent_since_report, [&](const SentRequest& entry) {
    if (entry.sent_at > this->report_measured_at)
      return false;
    this->unreported_prefill_tokens -= entry.prefill_tokens;
    return true;
  });
  std::erase_if(this->departure_times,
                [&](double time) { return time <= this->report_measured_at; });
}

void LoadTracker::OnSent(uint64_t request,
                         absl::Time now,
                         const Work& work,
                         bool low_priority) {
  this->sent_since_report.push_back(
      {request, UnixSeconds(now), work.prefill_tokens, low_priority});
  this->unreported_prefill_tokens += work.prefill_tokens;
  if (!low_priority) {
    if (this->own_prefill_tokens <= 0)
      this->own_prefill_progress_at = UnixSeconds(now);
    this->own_prefill_tokens += work.prefill_tokens;
  }
  ++this->outstanding_requests;
}

void LoadTracker::OnPrefillDone(uint64_t request,
                                absl::Time now,
                                const Work& work,
                                bool low_priority) {
  if (!low_priority) {
    this->own_prefill_tokens =
        std::max(0.0, this->own_prefill_tokens - work.prefill_tokens);
    this->own_prefill_progress_at = UnixSeconds(now);
  }
  for (SentRequest& entry : this->sent_since_report) {
    if (entry.request == request) {
      this->unreported_prefill_tokens -= entry.prefill_tokens;
      entry.prefill_tokens = 0;
    }
  }
}

void LoadTracker::OnRequestLeft(absl::Time now) {
  if (this->outstanding_requests > 0)
    --this->outstanding_requests;
  this->departure_times.push_back(UnixSeconds(now));
}

EngineLoad LoadTracker::Estimate(absl::Time now,
                                 double prefill_tokens_per_s,
                                 double peer_tokens_per_s) const {
  return this->EstimateAt(UnixSeconds(now), prefill_tokens_per_s,
                          peer_tokens_per_s);
}

EngineLoad LoadTracker::EstimateAt(double now_s,
                                   double prefill_tokens_per_s,
                                   double peer_tokens_per_s) const {
  double high_priority_tokens =
      this->report.prefill_tokens - this->report.low_priority_tokens;
  double low_priority_tokens = this->report.low_priority_tokens;
  double end = now_s;
  double simulated_until = this->report_measured_at;
  // If there is no report, the queue is taken as empty before the first request
  // of this instance.
  if (this->report.measured_at == absl::InfinitePast())
    simulated_until = this->sent_since_report.empty()
                          ? end
                          : this->sent_since_report.front().sent_at;
  // Simulates the queue until a given time. High-priority work is served first;
  // low-priority work gets the remaining capacity.
  auto serve_until = [&](double end_time) {
    double seconds = std::max(0.0, end_time - simulated_until);
    high_priority_tokens += peer_tokens_per_s * seconds;
    double served = prefill_tokens_per_s * seconds;
    double served_high_priority_tokens = std::min(high_priority_tokens, served);
    high_priority_tokens -= served_high_priority_tokens;
    low_priority_tokens = std::max(
        0.0, low_priority_tokens - (served - served_high_priority_tokens));
    simulated_until = end_time;
  };
  for (const SentRequest& entry : this->sent_since_report) {
    serve_until(entry.sent_at);
    (entry.low_priority ? low_priority_tokens : high_priority_tokens) +=
        entry.prefill_tokens;
  }
  serve_until(end);
  // Requests of this instance that have no first token yet are certainly still
  // in the queue.
  if (this->own_prefill_tokens > 0) {
    double seconds = end - this->own_prefill_progress_at;
    high_priority_tokens =
        std::max(high_priority_tokens,
                 this->own_prefill_tokens - prefill_tokens_per_s * seconds);
  }
  return {.prefill_tokens = high_priority_tokens + low_priority_tokens,
          .low_priority_tokens = low_priority_tokens};
}

double LoadTracker::EstimatedStreams() const {
  double streams = static_cast<double>(this->report.running) +
                   this->report.queued +
                   static_cast<double>(this->sent_since_report.size()) -
                   static_cast<double>(this->departure_times.size());
  return std::max<double>(streams, this->outstanding_requests);
}

}  // namespace cranberryhill
