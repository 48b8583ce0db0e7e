#ifndef CRANBERRYHILL_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define CRANBERRYHILL_MEMBERSHIP_MEMBERSHIP_VIEW_H_

// One entry instance's view of the entry instances and backend servers. It
// combines the platform's instance list, notices of leaving members, the
// instance's own contact with members, and reports of peers.
//
//   MembershipView view(settings, clock);
//   view.OnPlatformList(update);
//   view.OnContact("e1", incarnation);
//   if (view.MayReceiveWork("e1")) ...

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"

namespace cranberryhill {

/// What kind of process a member is.
enum class MemberKind { kEntryInstance, kEngine, kBackendServer };
/// How usable a member is.
enum class MemberState {
  kLive,     ///< Receives work.
  kLeaving,  ///< Finishes its work and receives no more.
  kSuspect,  ///< This instance or a peer cannot reach it; receives no work.
  kGone      ///< Removed, or contact has failed for gone_after.
};

/// @return "live", "leaving", "suspect" or "gone".
std::string_view MemberStateName(MemberState state);

/// Incarnation in evidence from a source that does not know the incarnation of
/// the member. It stands for the newest known incarnation.
inline constexpr uint64_t kUnknownIncarnation = 0;

struct MemberInfo {
  std::string id;
  std::string address;
  std::string zone;
  MemberKind kind = MemberKind::kEngine;
};

/// One entry of the platform's list. Its state is never kSuspect.
struct ListedMember {
  MemberInfo info;
  MemberState state = MemberState::kLive;
};

/// A list of members that was polled from the platform.
struct PlatformListUpdate {
  uint64_t revision = 0;
  /// True if the list contains all members, so that a member of an earlier list
  /// that is missing from this one is gone.
  bool complete = false;
  std::vector<ListedMember> members;
};

/// The state of a member as reported by a peer.
struct MemberReport {
  std::string id;
  uint64_t incarnation = kUnknownIncarnation;
  MemberState state = MemberState::kLive;
  /// Age of the peer's evidence when the report was sent.
  absl::Duration age;
};

struct MembershipSettings {
  /// A member is suspect after contact with it has failed for this long.
  absl::Duration suspect_after = absl::Seconds(3);
  /// A member is gone after contact with it has failed for this long.
  absl::Duration gone_after = absl::Seconds(30);
  /// Peer reports older than this are ignored, except reports of kLeaving,
  /// because that state is permanent for an incarnation.
  absl::Duration max_report_age = absl::Seconds(5);
};

struct MembershipCounters {
  /// Lists that were ignored because their revision was lower than that of an
  /// earlier list.
  uint64_t outdated_lists = 0;
  /// Evidence that was ignored because it concerns an earlier incarnation.
  uint64_t outdated_incarnations = 0;
  /// Peer reports that were ignored because they were older than
  /// max_report_age.
  uint64_t outdated_reports = 0;
};

/// Not thread-safe. States are computed from the clock when they are read, so
/// there is no periodic call.
class MembershipView {
 public:
  /// @param clock Must outlive this object.
  MembershipView(MembershipSettings settings, const Clock& clock);

  /// Applies a list that was polled from the platform. A list with a lower
  /// revision than an earlier one is ignored. The list does not contain
  /// incarnations: when it shows a member as leaving, the newest known
  /// incarnation is marked as leaving, and a member that returns after it was
  /// gone is treated as a new incarnation.
  void OnPlatformList(const PlatformListUpdate& update);

  /// Adds a member from the configuration. Its information is replaced when a
  /// platform list contains the member.
  void AddConfigured(const MemberInfo& info);

  /// Records that the member answered: a connection was made, a ping returned
  /// or a stream made progress.
  void OnContact(std::string_view id, uint64_t incarnation);

  /// Records that an attempt to reach the member failed.
  void OnContactFailed(std::string_view id);

  /// Records that the member itself reported that it is leaving.
  void OnLeavingReported(std::string_view id, uint64_t incarnation);

  /// Merges the reports of a peer's message whose sender, incarnation and
  /// sequence number have already been checked.
  /// @param peer Id of the peer.
  /// @param max_transit_time Upper bound of the time that the message was in
  ///     transit.
  void MergePeerReports(std::string_view peer,
                        const std::vector<MemberReport>& reports,
                        absl::Duration max_transit_time);

  /// @return The current state; kGone for unknown members.
  MemberState StateOf(std::string_view id) const;

  /// @return True for live members only. A member that is gone because contact
  ///     failed becomes live again after OnContact(), so callers should
  ///     continue to try to reach it.
  bool MayReceiveWork(std::string_view id) const;

  /// @return Address, zone and kind of the member, or null when it is unknown.
  const MemberInfo* Find(std::string_view id) const;

  /// @return Ids of the members of the kind that are not gone, sorted.
  std::vector<std::string> Members(MemberKind kind) const;

  /// @return The newest known incarnation, or kUnknownIncarnation.
  uint64_t IncarnationOf(std::string_view id) const;

  /// @return Up to `limit` reports for peers: leaving members first, then
  ///     members that this instance cannot reach, each group by increasing age
  ///     of the evidence.
  std::vector<MemberReport> ReportsForPeers(size_t limit) const;

  const MembershipCounters& counters() const;  // NOLINT

 private:
  struct Member {
    MemberInfo info;
    /// State in the last platform list that contained the member.
    std::optional<MemberState> listed_state;
    /// False when the state in the platform's list refers to an earlier
    /// incarnation.
    bool listed_state_is_current = true;
    /// When this instance first knew of the current incarnation.
    absl::Time known_since;
    uint64_t incarnation = kUnknownIncarnation;
    /// When the current incarnation was first known to be leaving.
    std::optional<absl::Time> leaving_since;
    absl::Time last_contact_at = absl::InfinitePast();
    /// Time of the first failed contact since the last successful one.
    std::optional<absl::Time> failing_since;
    absl::Time last_failure_at = absl::InfinitePast();
    /// For each peer that suspects the member, the time of the peer's evidence.
    std::map<std::string, absl::Time, std::less<>> peer_suspicions;
  };

  MemberState StateOf(const Member& member) const;
  void ApplyListEntry(const ListedMember& listed);
  void MarkLeaving(Member& member, absl::Time since);
  void StartIncarnation(Member& member, uint64_t incarnation);
  bool UpdateIncarnation(Member& member, uint64_t incarnation);
  Member* FindMember(std::string_view id);
  Member& FindOrAdd(const std::string& id);
  void EraseGoneMembers();
  bool SuspectedByPeers(const Member& member) const;

  const MembershipSettings settings;
  const Clock& clock;
  std::map<std::string, Member, std::less<>> members;
  uint64_t last_revision = 0;
  MembershipCounters own_counters;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_MEMBERSHIP_MEMBERSHIP_VIEW_H_
