#ifndef SOAK_SCHEDULE_H_
#define SOAK_SCHEDULE_H_

// Faults of a soak, drawn from a seed.

#include <cstddef>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/random.h"

namespace cranberryhill::soak {

enum class FaultKind {
  kKill,             ///< SIGKILL; starts again at the end.
  kPause,            ///< SIGSTOP, then SIGCONT.
  kTerminate,        ///< SIGTERM; starts again when it has ended.
  kHangUp,           ///< SIGHUP.
  kStoreLinkSilent,  ///< Between one gateway and the store, both ways.
  kStoreLinkOneWay,
  kStoreLinkReset,
  kCallerLinkReset,  ///< Between callers and one gateway.
  kCallerLinkDelayed,
  kReplicaLinkSilent,  ///< Between all gateways and one replica.
  kReplicaLinkOneWay,
  kReplicaLinkReset,
  kReplicaLinkDelayed,
  kReplicaErrors,   ///< Answers with signed failures.
  kReplicaRefuses,  ///< Says "not run".
  kReplicaBreaks,   ///< Runs, and ends the connection instead of an answer.
  kReplicaHangs,    ///< Runs, and answers nothing.
  kReplicaDrains,   ///< Announces its leaving, then returns.
  kRolesChange,     ///< Engines come back with other roles; orders are due.
  kStoreDown,
  kStoreSilent,
  kStoreLosesAnswers,   ///< Carries writes out and ends the connection.
  kStoreForgets,        ///< Drops its history.
  kRegistryLapses,      ///< Entries are gone while the store is down.
  kConfigure,           ///< A new version moves routes.
  kCrashingPart,        ///< Engines crash when they answer certain prompts.
  kReplicaLimited,      ///< Takes a few requests a second, and says so.
  kStoreRestored,       ///< Loses at the end what was written since the start.
  kReplicaSaysLeaving,  ///< Stays ready in the store; restarts at the end.
  kReplicaCloses,       ///< Says "not run" and when to come back.
  kReplicaRepeats,      ///< Its answers come once more, late.
  kCutOff,              ///< One gateway from the store and from the others.
  kCutOffInbound,       ///< The same, but what it sends arrives.
  kCutOffOutbound,      ///< The same, but it hears them.
  kStoreLinkOutbound,   ///< Nothing reaches the store; its answers come.
  kPauseThenCutOff,  ///< SIGSTOP; after SIGCONT it hears of nobody for a while.
  kReleaseWithdrawn,  ///< Engines of a new version join, and leave at the end.
  kReleaseCompleted,  ///< They join, the old ones leave, and return with it.
  kReplicaReturns,    ///< An engine restarts under its id at another version.
  kReplicaCuts,       ///< An engine breaks off streams after some events.
  kReplicaPauses,     ///< A sound engine or server is silent; no disturbance.
  kStreamsBreak,      ///< Callers' connections break in the middle of streams.
  kServiceFails,      ///< All replicas of a service fail most requests.
  kServiceFailsLate,  ///< They work on some for a while, and then fail.
  kKillAll,           ///< SIGKILL of all gateways, which start again at once.
  kTerminateAll,
  kHangUpAll,
  kSwitchProgram,  ///< SIGTERM; starts again with the program of the other
                   ///< build.
};
inline constexpr size_t kFaultKinds = 48;
/// The kinds that DrawFaults() draws come first, so that later ones do not
/// change what a seed means.
inline constexpr size_t kDrawnFaultKinds = 25;

std::string_view FaultName(FaultKind kind);

struct Fault {
  absl::Duration at;     ///< From the start of traffic.
  absl::Duration lasts;  ///< Without meaning for faults of a moment.
  FaultKind kind = FaultKind::kKill;
  size_t target = 0;  ///< Taken modulo the number of targets.
};

/// @param length Faults begin and end within it; they overlap.
/// @return In order of their start.
std::vector<Fault> DrawFaults(Random& random, absl::Duration length);

}  // namespace cranberryhill::soak

#endif  // SOAK_SCHEDULE_H_
