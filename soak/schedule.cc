#include "soak/schedule.h"

#include <algorithm>
#include <array>

namespace cranberryhill::soak {
namespace {

/// Mean time between the starts of two faults. Shorter than most faults last,
/// so that they overlap.
constexpr absl::Duration kMeanGap = absl::Milliseconds(600);
constexpr absl::Duration kShortest = absl::Milliseconds(200);
/// Longer than the lease of orders and the leases of the store's watches.
constexpr absl::Duration kLongest = absl::Seconds(6);

constexpr std::array<std::string_view, kFaultKinds> kNames = {
    "kill",
    "pause",
    "terminate",
    "hang_up",
    "store_link_silent",
    "store_link_one_way",
    "store_link_reset",
    "caller_link_reset",
    "caller_link_delayed",
    "replica_link_silent",
    "replica_link_one_way",
    "replica_link_reset",
    "replica_link_delayed",
    "replica_errors",
    "replica_refuses",
    "replica_breaks",
    "replica_hangs",
    "replica_drains",
    "roles_change",
    "store_down",
    "store_silent",
    "store_loses_answers",
    "store_forgets",
    "registry_lapses",
    "configure",
    "crashing_part",
    "replica_limited",
    "store_restored",
    "replica_says_leaving",
    "replica_closes",
    "replica_repeats",
    "cut_off",
    "cut_off_inbound",
    "cut_off_outbound",
    "store_link_outbound",
    "pause_then_cut_off",
    "release_withdrawn",
    "release_completed",
    "replica_returns",
    "replica_cuts",
    "replica_pauses",
    "streams_break",
    "service_fails",
    "service_fails_late",
    "kill_all",
    "terminate_all",
    "hang_up_all",
    "switch_program",
};

}  // namespace

std::string_view FaultName(FaultKind kind) {
  return kNames.at(static_cast<size_t>(kind));
}

std::vector<Fault> DrawFaults(Random& random, absl::Duration length) {
  std::vector<Fault> faults;
  absl::Duration at;
  while (true) {
    at += kMeanGap * 2 * random.UniformDouble();
    if (at >= length - kShortest)
      return faults;
    absl::Duration lasts =
        kShortest + (kLongest - kShortest) * random.UniformDouble();
    // A series of the same fault at the same target is drawn now and then.
    bool repeats = !faults.empty() && random.UniformInt(0, 3) == 0;
    Fault fault = repeats ? faults.back() : Fault{};
    if (!repeats) {
      fault.kind =
          static_cast<FaultKind>(random.UniformInt(0, kDrawnFaultKinds - 1));
      fault.target = random.UniformInt(0, 1000);
    }
    fault.at = at;
    fault.lasts = std::min(lasts, length - at);
    faults.push_back(fault);
  }
}

}  // namespace cranberryhill::soak
