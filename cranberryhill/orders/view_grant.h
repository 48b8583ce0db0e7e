#ifndef CRANBERRYHILL_ORDERS_VIEW_GRANT_H_
#define CRANBERRYHILL_ORDERS_VIEW_GRANT_H_

// What an entry instance may still start work on. With a fresh view of the
// plan: every engine that is not marked. Without one: engines that it has kept
// in use without a gap since the view was fresh.
//
//   ViewGrant grant(settings, clock);
//   absl::Time asked = clock.Now();
//   ...read the plan row...
//   grant.OnView(plan, asked);
//   if (grant.MayStart("e1")) { ...write at once...; grant.OnUse("e1", sent); }

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/orders/plan_record.h"

namespace cranberryhill {

struct ViewGrantSettings {
  absl::Duration view_ttl = absl::Seconds(5);
  /// Longest time without evidence of use after which the right remains.
  absl::Duration use_gap = absl::Seconds(1);
  /// Probes start at this age of the view, before the grant ends, so that idle
  /// engines are kept too.
  absl::Duration probe_from = absl::Milliseconds(3500);
  /// Time between probes. Below use_gap, so that the answer to the next probe
  /// arrives before the right ends.
  absl::Duration probe_interval = absl::Milliseconds(500);
  /// Streams on a marked engine are resumed elsewhere after this time.
  absl::Duration drain_time = absl::Seconds(30);
};

/// View of the plan of one shard. Not thread-safe.
class ViewGrant {
 public:
  /// @param clock Must outlive this object.
  ViewGrant(ViewGrantSettings settings, const Clock& clock);

  /// Takes over a view that is newer than the current one.
  /// @param plan The plan row; plan version 0 when it is absent.
  /// @param as_of Reading of this instance's clock at which the plan was
  ///     current: before the read was sent; for a view from a peer the time of
  ///     receipt minus the age it carried minus the ping round-trip time.
  void OnView(const PlanRecord& plan, absl::Time as_of);

  /// @return True while the view is younger than view_ttl.
  bool Valid() const;

  /// @return The age of the view; infinite before the first one.
  absl::Duration Age() const;

  /// @return The version to acknowledge and to pass to peers.
  uint64_t plan_version() const;  // NOLINT

  const PlanRecord& plan() const;  // NOLINT

  /// @return True when work or a probe may be written to the engine now. Ask
  ///     directly before the write.
  bool MayStart(std::string_view engine) const;

  /// Evidence that the engine worked for this instance.
  /// @param at For an answered request or probe the time before it was sent;
  ///     for a token of a running stream the time of receipt. Tokens must not
  ///     be older than 0.9 s on receipt: idle_confirm (3 s) less use_gap (1 s),
  ///     the flight of a request (1 s) and the difference of clock rates.
  void OnUse(std::string_view engine, absl::Time at);

  /// @param engines Engines that this instance routes to.
  /// @return Engines to send a probe to now. Each is named again after
  ///     probe_interval.
  std::vector<std::string> ProbesDue(const std::vector<std::string>& engines);

  /// @return True when streams on the engine are to be resumed elsewhere.
  bool DrainOverdue(std::string_view engine) const;

 private:
  struct Use {
    absl::Time last = absl::InfinitePast();
    absl::Time last_probe = absl::InfinitePast();
    bool interrupted = false;  ///< A gap without a grant ended the right.
  };

  bool ValidAt(absl::Time time) const;

  const ViewGrantSettings settings;
  const Clock& clock;
  bool have_view = false;
  PlanRecord current;
  absl::Time as_of = absl::InfinitePast();
  std::map<std::string, absl::Time, std::less<>> marked_since;
  std::map<std::string, Use, std::less<>> uses;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_ORDERS_VIEW_GRANT_H_
