#ifndef CRANBERRYHILL_FORWARD_ROLE_BALANCER_H_
#define CRANBERRYHILL_FORWARD_ROLE_BALANCER_H_

// Decides how many engines of a service are prefill engines and how many are
// decode engines, and which engine changes its role next. Designed for long
// prompts with short answers: prefill occupies most of the fleet, and a prefill
// engine prefills about three times as fast as an engine that decodes at the
// same time.
//
// While engines of several software versions serve, each version with two or
// more engines keeps some that decode: a stream can go on only at the version
// that began it.
//
//   RoleBalancer balancer(clock);
//   if (auto change = balancer.NextChange(engines)) ...order it...

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/base/engine_role.h"
#include "cranberryhill/forward/replica_set.h"

namespace cranberryhill::forward {

struct RoleChange {
  std::string replica;
  EngineRole role = EngineRole::kDecode;
};

/// One object per service. Not thread-safe.
class RoleBalancer {
 public:
  /// @param clock Must outlive this object.
  explicit RoleBalancer(const Clock& clock) : clock(clock) {}

  /// @param engines All engines of the service that are not leaving. Those that
  ///     want no requests now do not count.
  /// @return The change to order now, or nothing.
  std::optional<RoleChange> NextChange(
      std::span<const std::shared_ptr<Replica>> engines);

  /// @return True when the number of decode engines is not the wanted one,
  ///     whether or not a change may be ordered now.
  bool NeedsChange(std::span<const std::shared_ptr<Replica>> engines);

  /// Records that an order was sent. The engine is counted under its new role
  /// unless the order is refused or times out before the registry shows the
  /// change.
  void OnOrdered(const RoleChange& change);

  /// Records that an order was refused; it may be given again.
  void OnRefused(std::string_view replica);

  /// @return The engines whose role an order is still changing.
  std::vector<std::string> ChangingEngines() const;

  /// @param slots Number of streams that one engine decodes at the same time.
  /// @return How many of `engines` engines in `zones` zones should be decode
  ///     engines.
  static size_t WantedDecodeEngines(size_t engines, size_t zones, int slots);

 private:
  struct PendingOrder {
    EngineRole role;
    absl::Time ordered_at;
  };
  struct VersionCounts {
    size_t decode_engines = 0;
    size_t ready_decode_engines = 0;  // Of these, those that decode already.
    size_t prefill_engines = 0;
  };
  struct Counts {
    size_t decode_engines = 0;
    size_t prefill_engines = 0;
    size_t zones = 0;
    int slots = 1;  // Smallest number of slots of any engine.
    std::map<std::string_view, VersionCounts> versions;

    size_t MinDecodeOf(std::string_view version) const;
    size_t WantedDecode() const;
    /// @return The version that lacks most of its decode engines, of those that
    ///     have prefill engines left; nothing if each has enough.
    std::optional<std::string_view> LackingVersion() const;
  };

  EngineRole RoleAfterOrders(const Replica& engine) const;
  bool IsCapacity(const Replica& engine) const;
  Counts CountEngines(std::span<const std::shared_ptr<Replica>> engines) const;
  void EraseSettledOrders(std::span<const std::shared_ptr<Replica>> engines);

  const Clock& clock;
  absl::flat_hash_map<std::string, PendingOrder> pending_orders;
  size_t last_engine_count = 0;
  absl::Time unbalanced_since = absl::InfiniteFuture();
  absl::Time version_lacks_since = absl::InfiniteFuture();
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_ROLE_BALANCER_H_
