#include "cranberryhill/forward/replica_notices.h"

#include <algorithm>
#include <utility>

namespace cranberryhill::forward {
namespace {

/// A replica that was said to be leaving and is still registered after this
/// time is asked again. Replicas end within a minute of their notice, so this
/// one has probably been told to stay.
constexpr absl::Duration kLongestLeaving = absl::Minutes(10);
/// The end of a replica's time is delayed by a random part of this share of it,
/// within the bounds, so that not all instances return at the same moment.
constexpr double kReturnSpreadShare = 0.25;
constexpr absl::Duration kMinReturnSpread = absl::Milliseconds(100);
constexpr absl::Duration kMaxReturnSpread = absl::Seconds(1);
/// Maximum number of reports in a message, so that it fits into a datagram
/// together with the loads of engines.
constexpr size_t kMaxReports = 32;

}  // namespace

bool ReplicaNotices::RecordLeaving(Replica& replica, absl::Time heard_at) {
  replica.leaving_heard_at = std::max(replica.leaving_heard_at, heard_at);
  if (!replica.IsLeaving())
    replica.BeginLeaving(heard_at);
  return !std::exchange(replica.says_leaving, true);
}

bool ReplicaNotices::OnLeaving(Replica& replica) {
  replica.told_of_leaving = true;
  return this->RecordLeaving(replica, this->clock.Now());
}

bool ReplicaNotices::MergeLeaving(Replica& replica,
                                  const LeavingReport& report) {
  absl::Time heard_at = this->clock.Now() - report.age;
  bool is_current = replica.entry.started_ms == report.started_ms &&
                    report.age < kLongestLeaving;
  return is_current && this->RecordLeaving(replica, heard_at);
}

bool ReplicaNotices::OnTurnedAway(Replica& replica,
                                  absl::Duration retry_after) {
  if (retry_after <= absl::ZeroDuration())
    return false;
  absl::Time now = this->clock.Now();
  absl::Duration spread = std::clamp(retry_after * kReturnSpreadShare,
                                     kMinReturnSpread, kMaxReturnSpread);
  bool was_open = now >= replica.closed_until;
  // An earlier answer may have named a later time, which still holds.
  replica.closed_until =
      std::max(replica.closed_until,
               now + retry_after + spread * this->random.UniformDouble());
  replica.turned_away = true;
  return was_open;
}

std::vector<LeavingReport> ReplicaNotices::OwnReports(
    std::span<const std::shared_ptr<Replica>> replicas) const {
  absl::Time now = this->clock.Now();
  std::vector<LeavingReport> reports;
  for (const auto& replica : replicas) {
    if (replica->says_leaving && replica->told_of_leaving &&
        reports.size() < kMaxReports) {
      reports.push_back({replica->entry.id, replica->entry.started_ms,
                         now - replica->leaving_heard_at});
    }
  }
  return reports;
}

std::vector<EndedNotice> ReplicaNotices::EndExpired(
    std::span<const std::shared_ptr<Replica>> replicas) {
  absl::Time now = this->clock.Now();
  std::vector<EndedNotice> ended;
  for (const auto& replica : replicas) {
    if (replica->says_leaving &&
        now - replica->leaving_heard_at >= kLongestLeaving) {
      replica->says_leaving = false;
      replica->told_of_leaving = false;
      replica->continues_streams_until = absl::InfinitePast();
      ended.push_back({replica, /*was_leaving=*/true});
    }
    if (replica->turned_away && now >= replica->closed_until) {
      replica->turned_away = false;
      ended.push_back({replica, /*was_leaving=*/false});
    }
  }
  return ended;
}

}  // namespace cranberryhill::forward
