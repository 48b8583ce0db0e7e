#include "cranberryhill/forward/replica_limits.h"

#include <algorithm>
#include <cmath>

namespace cranberryhill::forward {
namespace {

/// The rate of a replica doubles in this time after its limit has ended, and is
/// unlimited after kRampDoublings of them.
constexpr absl::Duration kRampDoublingTime = absl::Seconds(1);
constexpr int kRampDoublings = 6;
/// A replica that takes less than this gets one request now and then all the
/// same, since only its answers tell when it takes more.
constexpr double kMinRequestsPerS = 0.2;
/// Answers older than this are not reported to peers.
constexpr absl::Duration kReportTime = absl::Seconds(10);
/// Maximum number of reports in a message, so that it fits into a datagram
/// together with the loads of engines.
constexpr size_t kMaxReports = 32;

}  // namespace

bool ReplicaLimits::OnAnswer(std::string_view replica,
                             std::optional<double> requests_per_s) {
  absl::Time now = this->clock.Now();
  bool changed = this->Update(replica, requests_per_s, now);
  auto found = this->by_replica.find(replica);
  if (found != this->by_replica.end())
    found->second.own_answer_at = now;
  return changed;
}

bool ReplicaLimits::Merge(const ReplicaLimitReport& report) {
  return this->Update(report.replica, report.requests_per_s,
                      this->clock.Now() - report.age);
}

bool ReplicaLimits::Update(std::string_view replica,
                           std::optional<double> requests_per_s,
                           absl::Time at) {
  auto found = this->by_replica.find(replica);
  if (found == this->by_replica.end()) {
    if (!requests_per_s)
      return false;
    this->by_replica[std::string(replica)] = {*requests_per_s, at};
    return true;
  }
  Limit& limit = found->second;
  if (at <= limit.heard_at)
    return false;
  limit.heard_at = at;
  bool was_ended = limit.ended_at != absl::InfiniteFuture();
  if (!requests_per_s) {
    limit.ended_at = std::min(limit.ended_at, at);
    return !was_ended;
  }
  bool changed = was_ended || limit.requests_per_s != *requests_per_s;
  limit.ended_at = absl::InfiniteFuture();
  limit.requests_per_s = *requests_per_s;
  return changed;
}

std::vector<ReplicaLimitReport> ReplicaLimits::OwnReports() const {
  absl::Time now = this->clock.Now();
  std::vector<ReplicaLimitReport> reports;
  for (const auto& [replica, limit] : this->by_replica) {
    if (now - limit.own_answer_at > kReportTime ||
        reports.size() >= kMaxReports)
      continue;
    // A later answer to a peer may have said something else.
    if (limit.own_answer_at >= limit.heard_at)
      reports.push_back(*this->ReportOf(replica));
  }
  return reports;
}

std::optional<ReplicaLimitReport> ReplicaLimits::ReportOf(
    std::string_view replica) const {
  auto found = this->by_replica.find(replica);
  if (found == this->by_replica.end())
    return std::nullopt;
  const Limit& limit = found->second;
  bool ended = limit.ended_at != absl::InfiniteFuture();
  return ReplicaLimitReport{
      std::string(replica),
      ended ? std::nullopt : std::optional(limit.requests_per_s),
      this->clock.Now() - limit.heard_at};
}

std::optional<double> ReplicaLimits::RateOf(std::string_view replica) const {
  auto found = this->by_replica.find(replica);
  if (found == this->by_replica.end())
    return std::nullopt;
  const Limit& limit = found->second;
  double rate = std::max(limit.requests_per_s, kMinRequestsPerS);
  if (limit.ended_at == absl::InfiniteFuture())
    return rate;
  double doublings =
      absl::FDivDuration(this->clock.Now() - limit.ended_at, kRampDoublingTime);
  if (doublings >= kRampDoublings)
    return std::nullopt;
  return rate * std::exp2(std::max(0.0, doublings));
}

std::map<std::string, double> ReplicaLimits::Rates() const {
  std::map<std::string, double> rates;
  for (const auto& [replica, limit] : this->by_replica) {
    if (auto rate = this->RateOf(replica))
      rates[replica] = *rate;
  }
  return rates;
}

void ReplicaLimits::Prune(
    const std::function<bool(std::string_view replica)>& is_gone) {
  absl::Time now = this->clock.Now();
  std::erase_if(this->by_replica, [&](const auto& item) {
    return is_gone(item.first) || now - item.second.ended_at > kReportTime;
  });
}

}  // namespace cranberryhill::forward
