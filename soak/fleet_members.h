#ifndef SOAK_FLEET_MEMBERS_H_
#define SOAK_FLEET_MEMBERS_H_

// State of a replica and of a gateway of the soak. Private to Fleet.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "soak/fleet.h"
#include "soak/store_view.h"

namespace cranberryhill::soak {

inline constexpr size_t kDrawnEngines = 6;
inline constexpr int kSpareEngines = 4;
/// A replica that announced its leaving gets nothing new after this time.
inline constexpr absl::Duration kDrainTime = absl::Seconds(3);

struct Fleet::Server {
  enum class Mode { kOk, kErrors, kRefuses, kBreaks, kHangs, kCuts };

  std::string id;
  platform::ReplicaRow row;
  platform::FakeReplica handler;
  std::unique_ptr<http1::Server> server;
  std::unique_ptr<LinkProxy> link;
  Mode mode = Mode::kOk;
  std::optional<Mode> fails;  // How runs end while its service fails.
  bool fails_late = false;
  int orders = 0;
  bool crashing = false;  // It has crashed, or is about to.
  bool spare = false;     // Runs only during a release.
  std::string slot;       // Begins the ids of a spare one.
  std::string first_stage;
  bool running = true;
  bool listed = true;  // In the registry.
  bool retiring = false;
  absl::Time listed_at;
  int generation = 0;               // Counts starts and retirements.
  std::set<std::string> answering;  // Ids of requests in progress.
  absl::Time draining_since = absl::InfiniteFuture();
  std::vector<std::shared_ptr<http1::Responder>> unanswered;
  std::optional<double> requests_per_s;  // Named in all answers while set.
  absl::Time limited_since = absl::InfiniteFuture();
  std::map<size_t, absl::Time> told;  // Gateways that got such an answer.
  bool says_leaving = false;
  bool closed = false;
  absl::Time link_disturbed_at = absl::InfinitePast();
  std::map<size_t, absl::Time> told_of_leaving;
  struct Closing {
    absl::Time told_at;
    absl::Time until;
    int early = 0;  // Arrivals before that.
  };
  std::map<size_t, Closing> told_to_come_back;
};

struct Fleet::Member {
  struct Program {
    std::string binary;
    std::string settings;  ///< Path of the file.
  };

  std::string id;
  std::unique_ptr<GatewayProcess> process;
  std::unique_ptr<LinkProxy> callers;
  std::unique_ptr<LinkProxy> store;
  std::unique_ptr<StoreView> store_view;
  std::unique_ptr<http1::Server> store_server;
  Disturbance disturbance;
  absl::Time started_at;
  bool may_end = false;  // It was killed or told to stop.
  absl::Time told_to_stop_at = absl::InfiniteFuture();
  Program present_program;
  Program other_program;
  bool starts_other = false;    // The next start is of the other program.
  bool runs_other = false;      // The running process is of the other program.
  bool switch_pending = false;  // To be restarted with the next program.
};

}  // namespace cranberryhill::soak

#endif  // SOAK_FLEET_MEMBERS_H_
