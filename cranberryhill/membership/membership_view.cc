#include "cranberryhill/membership/membership_view.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cranberryhill {

std::string_view MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kLive:
      return "live";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kGone:
      return "gone";
  }
  return "gone";
}

MembershipView::MembershipView(MembershipSettings settings, const Clock& clock)
    : settings(settings), clock(clock) {}

const MembershipCounters& MembershipView::counters() const {
  return this->own_counters;
}

MembershipView::Member* MembershipView::FindMember(std::string_view id) {
  auto found = this->members.find(id);
  return found == this->members.end() ? nullptr : &found->second;
}

MembershipView::Member& MembershipView::FindOrAdd(const std::string& id) {
  auto [found, added] = this->members.try_emplace(id);
  if (added)
    found->second.known_since = this->clock.Now();
  return found->second;
}

void MembershipView::EraseGoneMembers() {
  absl::Time oldest_allowed = this->clock.Now() - this->settings.gone_after;
  std::erase_if(this->members, [oldest_allowed](const auto& entry) {
    const Member& member = entry.second;
    return member.listed_state == MemberState::kGone &&
           member.listed_state_is_current &&
           member.last_contact_at < oldest_allowed;
  });
}

void MembershipView::OnPlatformList(const PlatformListUpdate& update) {
  if (update.revision < this->last_revision) {
    ++this->own_counters.outdated_lists;
    return;
  }
  this->last_revision = update.revision;
  std::set<std::string_view> listed_ids;
  for (const ListedMember& listed : update.members) {
    listed_ids.insert(listed.info.id);
    this->ApplyListEntry(listed);
  }
  for (auto& [id, member] : this->members) {
    bool missing_from_list =
        update.complete && member.listed_state && !listed_ids.contains(id);
    if (missing_from_list && member.listed_state != MemberState::kGone) {
      member.listed_state = MemberState::kGone;
      member.listed_state_is_current = true;
    }
  }
  this->EraseGoneMembers();
}

void MembershipView::ApplyListEntry(const ListedMember& listed) {
  Member& member = this->FindOrAdd(listed.info.id);
  std::optional<MemberState> previous_state = member.listed_state;
  member.info = listed.info;
  member.listed_state = listed.state;
  if (previous_state == listed.state)
    return;
  if (previous_state == MemberState::kGone)
    this->StartIncarnation(member, member.incarnation);
  member.listed_state_is_current = true;
  if (listed.state == MemberState::kLeaving)
    this->MarkLeaving(member, this->clock.Now());
}

void MembershipView::AddConfigured(const MemberInfo& info) {
  Member& member = this->FindOrAdd(info.id);
  if (!member.listed_state)
    member.info = info;
}

void MembershipView::MarkLeaving(Member& member, absl::Time since) {
  if (!member.leaving_since || since < *member.leaving_since)
    member.leaving_since = since;
}

void MembershipView::StartIncarnation(Member& member, uint64_t incarnation) {
  member.incarnation = incarnation;
  member.leaving_since.reset();
  member.failing_since.reset();
  member.last_contact_at = absl::InfinitePast();
  member.last_failure_at = absl::InfinitePast();
  member.peer_suspicions.clear();
  member.listed_state_is_current = false;
  member.known_since = this->clock.Now();
}

bool MembershipView::UpdateIncarnation(Member& member, uint64_t incarnation) {
  if (incarnation == kUnknownIncarnation || incarnation == member.incarnation)
    return true;
  if (incarnation < member.incarnation) {
    ++this->own_counters.outdated_incarnations;
    return false;
  }
  if (member.incarnation == kUnknownIncarnation) {
    member.incarnation = incarnation;
  } else {
    this->StartIncarnation(member, incarnation);
  }
  return true;
}

void MembershipView::OnContact(std::string_view id, uint64_t incarnation) {
  Member* member = this->FindMember(id);
  if (member == nullptr || !this->UpdateIncarnation(*member, incarnation))
    return;
  member->last_contact_at = this->clock.Now();
  member->failing_since.reset();
}

void MembershipView::OnContactFailed(std::string_view id) {
  Member* member = this->FindMember(id);
  if (member == nullptr)
    return;
  absl::Time now = this->clock.Now();
  if (!member->failing_since)
    member->failing_since = now;
  member->last_failure_at = now;
}

void MembershipView::OnLeavingReported(std::string_view id,
                                       uint64_t incarnation) {
  Member* member = this->FindMember(id);
  if (member != nullptr && this->UpdateIncarnation(*member, incarnation))
    this->MarkLeaving(*member, this->clock.Now());
}

void MembershipView::MergePeerReports(std::string_view peer,
                                      const std::vector<MemberReport>& reports,
                                      absl::Duration max_transit_time) {
  absl::Time oldest_allowed = this->clock.Now() - this->settings.max_report_age;
  for (const MemberReport& report : reports) {
    Member* member = this->FindMember(report.id);
    if (member == nullptr ||
        !this->UpdateIncarnation(*member, report.incarnation)) {
      continue;
    }
    absl::Duration age = report.age + max_transit_time;
    absl::Time evidence_time = this->clock.Now() - age;
    // A leaving report that states no incarnation is ignored if its evidence is
    // older than the current incarnation. Otherwise peers would repeat the
    // outdated report to each other forever.
    bool concerns_current_incarnation =
        report.incarnation != kUnknownIncarnation ||
        evidence_time >= member->known_since;
    if (report.state == MemberState::kLeaving) {
      if (concerns_current_incarnation)
        this->MarkLeaving(*member, evidence_time);
    } else if (age > this->settings.max_report_age) {
      ++this->own_counters.outdated_reports;
    } else if (report.state == MemberState::kSuspect) {
      std::erase_if(member->peer_suspicions,
                    [oldest_allowed](const auto& entry) {
                      return entry.second < oldest_allowed;
                    });
      member->peer_suspicions[std::string(peer)] = evidence_time;
    } else {
      member->peer_suspicions.erase(std::string(peer));
    }
  }
}

bool MembershipView::SuspectedByPeers(const Member& member) const {
  // Recent contact of this instance takes precedence over suspicions of peers,
  // because the fault may be on the peer's side.
  absl::Time now = this->clock.Now();
  if (now - member.last_contact_at <= this->settings.suspect_after)
    return false;
  return std::any_of(member.peer_suspicions.begin(),
                     member.peer_suspicions.end(), [&](const auto& entry) {
                       return entry.second > member.last_contact_at &&
                              now - entry.second <=
                                  this->settings.max_report_age;
                     });
}

MemberState MembershipView::StateOf(const Member& member) const {
  absl::Duration failing_for =
      member.failing_since ? member.last_failure_at - *member.failing_since
                           : absl::ZeroDuration();
  absl::Time now = this->clock.Now();
  bool recent_contact =
      now - member.last_contact_at <= this->settings.suspect_after;
  bool listed_as_gone = member.listed_state_is_current &&
                        member.listed_state == MemberState::kGone;
  if ((listed_as_gone && !recent_contact) ||
      failing_for >= this->settings.gone_after) {
    return MemberState::kGone;
  }
  bool listed_as_leaving = member.listed_state_is_current &&
                           member.listed_state == MemberState::kLeaving;
  if (member.leaving_since || listed_as_leaving || listed_as_gone)
    return MemberState::kLeaving;
  bool suspect = failing_for >= this->settings.suspect_after ||
                 this->SuspectedByPeers(member);
  return suspect ? MemberState::kSuspect : MemberState::kLive;
}

MemberState MembershipView::StateOf(std::string_view id) const {
  auto found = this->members.find(id);
  return found == this->members.end() ? MemberState::kGone
                                      : this->StateOf(found->second);
}

bool MembershipView::MayReceiveWork(std::string_view id) const {
  return this->StateOf(id) == MemberState::kLive;
}

const MemberInfo* MembershipView::Find(std::string_view id) const {
  auto found = this->members.find(id);
  return found == this->members.end() ? nullptr : &found->second.info;
}

std::vector<std::string> MembershipView::Members(MemberKind kind) const {
  std::vector<std::string> ids;
  for (const auto& [id, member] : this->members) {
    if (member.info.kind == kind &&
        this->StateOf(member) != MemberState::kGone) {
      ids.push_back(id);
    }
  }
  return ids;
}

uint64_t MembershipView::IncarnationOf(std::string_view id) const {
  auto found = this->members.find(id);
  return found == this->members.end() ? kUnknownIncarnation
                                      : found->second.incarnation;
}

std::vector<MemberReport> MembershipView::ReportsForPeers(size_t limit) const {
  absl::Time now = this->clock.Now();
  std::vector<MemberReport> reports;
  for (const auto& [id, member] : this->members) {
    // A member that is gone because contact failed here is still reported,
    // because peers may be able to reach it.
    bool listed_as_gone = member.listed_state_is_current &&
                          member.listed_state == MemberState::kGone;
    if (listed_as_gone)
      continue;
    bool contact_failing = member.failing_since &&
                           member.last_failure_at - *member.failing_since >=
                               this->settings.suspect_after;
    if (member.leaving_since) {
      reports.push_back({id, member.incarnation, MemberState::kLeaving,
                         now - *member.leaving_since});
    } else if (contact_failing) {
      reports.push_back({id, member.incarnation, MemberState::kSuspect,
                         now - member.last_failure_at});
    }
  }
  std::sort(reports.begin(), reports.end(),
            [](const MemberReport& left, const MemberReport& right) {
              bool left_leaves = left.state == MemberState::kLeaving;
              bool right_leaves = right.state == MemberState::kLeaving;
              if (left_leaves != right_leaves)
                return left_leaves;
              return left.age < right.age;
            });
  if (reports.size() > limit)
    reports.resize(limit);
  return reports;
}

}  // namespace cranberryhill
