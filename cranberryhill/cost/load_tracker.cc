#include "cranberryhill/cost/load_tracker.h"

#include <algorithm>

namespace cranberryhill {
namespace {

// Estimates are made for hundreds of engines per decision, and arithmetic with
// absl::Time takes several times as long as with doubles.
double Seconds(absl::Time time) {
  return absl::ToDoubleSeconds(time - absl::UnixEpoch());
}

}  // namespace

void LoadTracker::OnReport(const LoadReport& report) {
  if (report.measured_at < this->report.measured_at)
    return;
  this->report = report;
  this->measured_at = Seconds(report.measured_at);
  std::erase_if(this->sent, [&](const Sent& entry) {
    if (entry.at > this->measured_at)
      return false;
    this->sent_prefill -= entry.prefill_tokens;
    return true;
  });
  std::erase_if(this->left, [&](double at) { return at <= this->measured_at; });
}

void LoadTracker::OnSent(uint64_t request,
                         absl::Time now,
                         const Work& work,
                         bool low_priority) {
  this->sent.push_back(
      {request, Seconds(now), work.prefill_tokens, low_priority});
  this->sent_prefill += work.prefill_tokens;
  if (!low_priority) {
    if (this->own_waiting <= 0)
      this->progress = Seconds(now);
    this->own_waiting += work.prefill_tokens;
  }
  ++this->outstanding;
}

void LoadTracker::OnPrefillDone(uint64_t request,
                                absl::Time now,
                                const Work& work,
                                bool low_priority) {
  if (!low_priority) {
    this->own_waiting = std::max(0.0, this->own_waiting - work.prefill_tokens);
    this->progress = Seconds(now);
  }
  for (Sent& entry : this->sent) {
    if (entry.request == request) {
      this->sent_prefill -= entry.prefill_tokens;
      entry.prefill_tokens = 0;
    }
  }
}

void LoadTracker::OnGone(absl::Time now) {
  if (this->outstanding > 0)
    --this->outstanding;
  this->left.push_back(Seconds(now));
}

EngineLoad LoadTracker::Estimate(absl::Time now,
                                 double prefill_tokens_per_s,
                                 double peer_tokens_per_s) const {
  return this->EstimateAt(Seconds(now), prefill_tokens_per_s,
                          peer_tokens_per_s);
}

EngineLoad LoadTracker::EstimateAt(double now_s,
                                   double prefill_tokens_per_s,
                                   double peer_tokens_per_s) const {
  double high = this->report.prefill_tokens - this->report.low_priority_tokens;
  double low = this->report.low_priority_tokens;
  double end = now_s;
  double time = this->measured_at;
  // Without a report nothing is known to have been waiting.
  if (this->report.measured_at == absl::InfinitePast())
    time = this->sent.empty() ? end : this->sent.front().at;
  // High priority is served first; low priority gets the remaining speed.
  auto serve = [&](double until) {
    double seconds = std::max(0.0, until - time);
    high += peer_tokens_per_s * seconds;
    double served = prefill_tokens_per_s * seconds;
    double served_high = std::min(high, served);
    high -= served_high;
    low = std::max(0.0, low - (served - served_high));
    time = until;
  };
  for (const Sent& entry : this->sent) {
    serve(entry.at);
    (entry.low_priority ? low : high) += entry.prefill_tokens;
  }
  serve(end);
  // Own requests without a first token are certainly still there.
  if (this->own_waiting > 0) {
    double seconds = end - this->progress;
    high = std::max(high, this->own_waiting - prefill_tokens_per_s * seconds);
  }
  return {.prefill_tokens = high + low, .low_priority_tokens = low};
}

double LoadTracker::Streams() const {
  double streams = static_cast<double>(this->report.running) +
                   this->report.queued +
                   static_cast<double>(this->sent.size()) -
                   static_cast<double>(this->left.size());
  return std::max<double>(streams, this->outstanding);
}

}  // namespace cranberryhill
