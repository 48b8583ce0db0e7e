#ifndef CRANBERRYHILL_FORWARD_ROLE_BALANCE_H_
#define CRANBERRYHILL_FORWARD_ROLE_BALANCE_H_

// How many engines of a service read prompts and how many generate, and which
// engine changes next. Answers the load of long prompts with short answers:
// reading fills most of the fleet, and an engine that only reads does so about
// three times as fast as one that generates beside it.
//
//   RoleBalance balance(clock);
//   if (auto change = balance.Next(engines)) ...order it...

#include <memory>
#include <optional>
#include <span>
#include <string>
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
class RoleBalance {
 public:
  /// @param clock Must outlive this object.
  explicit RoleBalance(const Clock& clock) : clock(clock) {}

  /// @param engines All usable engines of the service.
  /// @return The change to order now, or nothing.
  std::optional<RoleChange> Next(
      std::span<const std::shared_ptr<Replica>> engines);

  /// @return True when the roles differ from the plan, whether or not a change
  ///     may be ordered now.
  bool NeedsChange(std::span<const std::shared_ptr<Replica>> engines);

  /// Records an order that was sent; the engine counts as changed until its
  /// entry tells or the order is taken as lost.
  void OnOrdered(const RoleChange& change);

  /// Records that an order was refused: it may be given again.
  void OnRefused(std::string_view replica);

  /// @return Engines with an order that is not settled.
  std::vector<std::string> Changing() const;

  /// @param slots Streams that one engine generates at the same time.
  /// @return Engines that should generate, of `engines` in `zones` zones.
  static size_t WantedRunners(size_t engines, size_t zones, int slots);

 private:
  struct Pending {
    EngineRole role;
    absl::Time ordered_at;
  };
  struct Counts {
    size_t runners = 0;
    size_t readers = 0;
    size_t zones = 0;
    int slots = 1;  // Fewest of any engine.

    size_t Wanted() const {
      return WantedRunners(this->runners + this->readers, this->zones,
                           this->slots);
    }
  };

  EngineRole RoleOf(const Replica& engine) const;
  Counts Count(std::span<const std::shared_ptr<Replica>> engines) const;
  void DropSettled(std::span<const std::shared_ptr<Replica>> engines);

  const Clock& clock;
  absl::flat_hash_map<std::string, Pending> pending;
  size_t last_size = 0;
  absl::Time unbalanced_since = absl::InfiniteFuture();
};

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_ROLE_BALANCE_H_
