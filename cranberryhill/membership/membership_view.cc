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

void MembershipView::DropGone() {
  absl::Time oldest = this->clock.Now() - this->settings.gone_after;
  std::erase_if(this->members, [oldest](const auto& entry) {
    const Member& member = entry.second;
    return member.listed == MemberState::kGone && member.list_applies &&
           member.last_contact < oldest;
  });
}

void MembershipView::OnList(const ListUpdate& update) {
  if (update.revision < this->last_revision) {
    ++this->own_counters.old_lists;
    return;
  }
  this->last_revision = update.revision;
  std::set<std::string_view> named;
  for (const ListedMember& listed : update.members) {
    named.insert(listed.info.id);
    this->ApplyListed(listed);
  }
  for (auto& [id, member] : this->members) {
    bool missing = update.complete && member.listed && !named.contains(id);
    if (missing && member.listed != MemberState::kGone) {
      member.listed = MemberState::kGone;
      member.list_applies = true;
    }
  }
  this->DropGone();
}

void MembershipView::ApplyListed(const ListedMember& listed) {
  Member& member = this->FindOrAdd(listed.info.id);
  std::optional<MemberState> before = member.listed;
  member.info = listed.info;
  member.listed = listed.state;
  if (before == listed.state)
    return;
  if (before == MemberState::kGone)
    this->StartOver(member, member.incarnation);
  member.list_applies = true;
  if (listed.state == MemberState::kLeaving)
    this->MarkLeaving(member, this->clock.Now());
}

void MembershipView::AddConfigured(const MemberInfo& info) {
  Member& member = this->FindOrAdd(info.id);
  if (!member.listed)
    member.info = info;
}

void MembershipView::MarkLeaving(Member& member, absl::Time since) {
  if (!member.leaving_since || since < *member.leaving_since)
    member.leaving_since = since;
}

void MembershipView::StartOver(Member& member, uint64_t incarnation) {
  member.incarnation = incarnation;
  member.leaving_since.reset();
  member.failing_since.reset();
  member.last_contact = absl::InfinitePast();
  member.last_failure = absl::InfinitePast();
  member.suspicions.clear();
  member.list_applies = false;
  member.known_since = this->clock.Now();
}

bool MembershipView::AcceptIncarnation(Member& member, uint64_t incarnation) {
  if (incarnation == kUnknownIncarnation || incarnation == member.incarnation)
    return true;
  if (incarnation < member.incarnation) {
    ++this->own_counters.old_incarnations;
    return false;
  }
  if (member.incarnation == kUnknownIncarnation) {
    member.incarnation = incarnation;
  } else {
    this->StartOver(member, incarnation);
  }
  return true;
}

void MembershipView::OnContact(std::string_view id, uint64_t incarnation) {
  Member* member = this->FindMember(id);
  if (member == nullptr || !this->AcceptIncarnation(*member, incarnation))
    return;
  member->last_contact = this->clock.Now();
  member->failing_since.reset();
}

void MembershipView::OnContactFailed(std::string_view id) {
  Member* member = this->FindMember(id);
  if (member == nullptr)
    return;
  absl::Time now = this->clock.Now();
  if (!member->failing_since)
    member->failing_since = now;
  member->last_failure = now;
}

void MembershipView::OnLeavingMark(std::string_view id, uint64_t incarnation) {
  Member* member = this->FindMember(id);
  if (member != nullptr && this->AcceptIncarnation(*member, incarnation))
    this->MarkLeaving(*member, this->clock.Now());
}

void MembershipView::OnPeerReports(std::string_view peer,
                                   const std::vector<MemberReport>& reports,
                                   absl::Duration transit) {
  absl::Time oldest = this->clock.Now() - this->settings.max_report_age;
  for (const MemberReport& report : reports) {
    Member* member = this->FindMember(report.id);
    if (member == nullptr ||
        !this->AcceptIncarnation(*member, report.incarnation)) {
      continue;
    }
    absl::Duration age = report.age + transit;
    absl::Time evidence = this->clock.Now() - age;
    // A mark of an unknown incarnation that is older than the current one
    // would otherwise go around among the peers for ever.
    bool current = report.incarnation != kUnknownIncarnation ||
                   evidence >= member->known_since;
    if (report.state == MemberState::kLeaving) {
      if (current)
        this->MarkLeaving(*member, evidence);
    } else if (age > this->settings.max_report_age) {
      ++this->own_counters.old_reports;
    } else if (report.state == MemberState::kSuspect) {
      std::erase_if(member->suspicions, [oldest](const auto& entry) {
        return entry.second < oldest;
      });
      member->suspicions[std::string(peer)] = evidence;
    } else {
      member->suspicions.erase(std::string(peer));
    }
  }
}

bool MembershipView::SuspectedByPeers(const Member& member) const {
  // Own contact outweighs what peers cannot reach: the fault may be theirs.
  absl::Time now = this->clock.Now();
  if (now - member.last_contact <= this->settings.suspect_after)
    return false;
  return std::any_of(member.suspicions.begin(), member.suspicions.end(),
                     [&](const auto& entry) {
                       return entry.second > member.last_contact &&
                              now - entry.second <=
                                  this->settings.max_report_age;
                     });
}

MemberState MembershipView::StateOf(const Member& member) const {
  absl::Duration failing = member.failing_since
                               ? member.last_failure - *member.failing_since
                               : absl::ZeroDuration();
  absl::Time now = this->clock.Now();
  bool contact_after_list =
      now - member.last_contact <= this->settings.suspect_after;
  bool gone_in_list =
      member.list_applies && member.listed == MemberState::kGone;
  if ((gone_in_list && !contact_after_list) ||
      failing >= this->settings.gone_after) {
    return MemberState::kGone;
  }
  bool leaving_in_list =
      member.list_applies && member.listed == MemberState::kLeaving;
  if (member.leaving_since || leaving_in_list || gone_in_list)
    return MemberState::kLeaving;
  bool suspect =
      failing >= this->settings.suspect_after || this->SuspectedByPeers(member);
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
    // What is gone because contact failed here is reported nevertheless; peers
    // may still reach it.
    bool gone_in_list =
        member.list_applies && member.listed == MemberState::kGone;
    if (gone_in_list)
      continue;
    bool fails_here =
        member.failing_since && member.last_failure - *member.failing_since >=
                                    this->settings.suspect_after;
    if (member.leaving_since) {
      reports.push_back({id, member.incarnation, MemberState::kLeaving,
                         now - *member.leaving_since});
    } else if (fails_here) {
      reports.push_back({id, member.incarnation, MemberState::kSuspect,
                         now - member.last_failure});
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
