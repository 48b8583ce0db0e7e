#ifndef CRANBERRYHILL_PLATFORM_INSTANCE_LIST_H_
#define CRANBERRYHILL_PLATFORM_INSTANCE_LIST_H_

// The platform's list of instances, which lags behind. A poll with the last
// revision receives only what changed since.
//
//   list.Poll(revision, [&](const Outcome<InstanceListUpdate>& update) {
//     if (update.ok()) Merge(update.value());
//   });

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "cranberryhill/base/result.h"

namespace cranberryhill {

enum class ListedState { kLive, kLeaving, kGone };

/// @return "live", "leaving" or "gone".
std::string_view ListedStateName(ListedState state);

struct ListedInstance {
  std::string id;
  std::string address;  ///< IP:PORT
  std::string availability_zone;
  std::string kind;  ///< "entry", "engine" or "service".
  ListedState state = ListedState::kLive;
};

struct InstanceListUpdate {
  uint64_t revision = 0;  ///< Pass it to the next poll.
  /// All instances when polled since 0, otherwise the changed ones; removed
  /// ones are kGone.
  std::vector<ListedInstance> instances;
  /// Why entries were left out; one for each.
  std::vector<Error> unreadable_entries;
};

using InstanceListCallback =
    std::function<void(const Outcome<InstanceListUpdate>&)>;

/// Callbacks run on the caller's thread, at most once: they
/// are dropped when the worker threads are stopped first. Not thread-safe.
class InstanceList {
 public:
  virtual ~InstanceList() = default;

  /// @param since Revision of the last update, 0 for the whole list.
  virtual void Poll(uint64_t since, InstanceListCallback callback) = 0;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_PLATFORM_INSTANCE_LIST_H_
