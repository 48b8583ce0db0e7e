#ifndef CRANBERRYHILL_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define CRANBERRYHILL_MEMBERSHIP_MEMBERSHIP_VIEW_H_

// What one entry instance believes about entry instances and backend servers,
// from the platform's list, leaving marks, its own contact and its peers.
//
//   MembershipView view(settings, clock);
//   view.OnList(update);
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

enum class MemberKind { kEntryInstance, kEngine, kService };
enum class MemberState { kLive, kLeaving, kSuspect, kGone };

/// @return "live", "leaving", "suspect" or "gone".
std::string_view MemberStateName(MemberState state);

/// Incarnation of a member that a source does not tell. It stands for the
/// newest one that is known.
inline constexpr uint64_t kUnknownIncarnation = 0;

struct MemberInfo {
  std::string id;
  std::string address;
  std::string zone;
  MemberKind kind = MemberKind::kEngine;
};

/// One entry of the platform's list; kSuspect does not occur.
struct ListedMember {
  MemberInfo info;
  MemberState state = MemberState::kLive;
};

struct ListUpdate {
  uint64_t revision = 0;
  bool complete = false;  ///< Members that are missing from it are gone.
  std::vector<ListedMember> members;
};

/// What a peer says about a member.
struct MemberReport {
  std::string id;
  uint64_t incarnation = kUnknownIncarnation;
  MemberState state = MemberState::kLive;
  absl::Duration age;  ///< Since the peer's evidence, at the time of sending.
};

struct MembershipSettings {
  /// Failed contact for this long makes a member suspect.
  absl::Duration suspect_after = absl::Seconds(3);
  /// Failed contact for this long makes a member gone.
  absl::Duration gone_after = absl::Seconds(30);
  /// Older reports of peers are ignored, except leaving, which is permanent.
  absl::Duration max_report_age = absl::Seconds(5);
};

struct MembershipCounters {
  uint64_t old_lists = 0;         ///< Revision not above the last one.
  uint64_t old_incarnations = 0;  ///< Evidence about an earlier incarnation.
  uint64_t old_reports = 0;       ///< Peer reports beyond max_report_age.
};

/// Not thread-safe. States follow the clock; there is no tick.
class MembershipView {
 public:
  /// @param clock Must outlive this object.
  MembershipView(MembershipSettings settings, const Clock& clock);

  /// Takes over a list poll. A list with a lower revision is dropped. The list
  /// tells no incarnations: when it shows a member leaving, the newest known
  /// incarnation counts as leaving, and a member that returns after it was
  /// gone counts as a new incarnation.
  void OnList(const ListUpdate& update);

  /// Adds a member that the configuration names, until a list knows it.
  void AddConfigured(const MemberInfo& info);

  /// The member answered: a connection, a ping or progress of a stream.
  void OnContact(std::string_view id, uint64_t incarnation);

  /// An attempt to reach the member failed.
  void OnContactFailed(std::string_view id);

  /// The member itself says that it is leaving.
  void OnLeavingMark(std::string_view id, uint64_t incarnation);

  /// A peer's message, already checked for sender, incarnation and sequence.
  /// @param peer Id of the peer.
  /// @param transit Upper bound of the message's time on the way.
  void OnPeerReports(std::string_view peer,
                     const std::vector<MemberReport>& reports,
                     absl::Duration transit);

  /// @return The state now; kGone for unknown members.
  MemberState StateOf(std::string_view id) const;

  /// @return True for live members only. Members that are gone because contact
  ///     failed return to live after OnContact(), so keep trying to reach them.
  bool MayReceiveWork(std::string_view id) const;

  /// @return Address, zone and kind, or null when unknown.
  const MemberInfo* Find(std::string_view id) const;

  /// @return Members of the kind that are not gone, in order of id.
  std::vector<std::string> Members(MemberKind kind) const;

  /// @return The newest incarnation seen, or kUnknownIncarnation.
  uint64_t IncarnationOf(std::string_view id) const;

  /// @return Up to `limit` reports for peers: leaving members first, then own
  ///     suspicions, the newest evidence first.
  std::vector<MemberReport> ReportsForPeers(size_t limit) const;

  const MembershipCounters& counters() const;  // NOLINT

 private:
  struct Member {
    MemberInfo info;
    std::optional<MemberState> listed;
    /// False when the listed state is that of an earlier incarnation.
    bool list_applies = true;
    absl::Time known_since;  ///< Start of what is known of this incarnation.
    uint64_t incarnation = kUnknownIncarnation;
    std::optional<absl::Time> leaving_since;  ///< Of this incarnation.
    absl::Time last_contact = absl::InfinitePast();
    /// First failed contact since the last successful one.
    std::optional<absl::Time> failing_since;
    absl::Time last_failure = absl::InfinitePast();
    /// Time of the evidence by peer.
    std::map<std::string, absl::Time, std::less<>> suspicions;
  };

  MemberState StateOf(const Member& member) const;
  void ApplyListed(const ListedMember& listed);
  void MarkLeaving(Member& member, absl::Time since);
  void StartOver(Member& member, uint64_t incarnation);
  bool AcceptIncarnation(Member& member, uint64_t incarnation);
  Member* FindMember(std::string_view id);
  Member& FindOrAdd(const std::string& id);
  void DropGone();
  bool SuspectedByPeers(const Member& member) const;

  const MembershipSettings settings;
  const Clock& clock;
  std::map<std::string, Member, std::less<>> members;
  uint64_t last_revision = 0;
  MembershipCounters own_counters;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_MEMBERSHIP_MEMBERSHIP_VIEW_H_
