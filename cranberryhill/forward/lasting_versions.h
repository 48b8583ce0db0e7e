#ifndef CRANBERRYHILL_FORWARD_LASTING_VERSIONS_H_
#define CRANBERRYHILL_FORWARD_LASTING_VERSIONS_H_

// Keeps new streams away from software versions that are about to lose their
// last decode engine. A stream that has begun can go on only at its version.

#include <memory>
#include <span>
#include <vector>

#include "absl/time/time.h"

#include "cranberryhill/forward/replica_set.h"

namespace cranberryhill::forward {

/// Removes the decode engines of versions that have a single one left, if
/// another version has more. Prefill engines stay: they write no events.
/// @param replicas Engines of one service that may get a new stream.
void KeepLastingVersions(std::vector<std::shared_ptr<Replica>>& replicas);

/// @return True if the decode engines among `replicas` have slots to spare for
///     new streams of all instances.
bool HaveRoom(std::span<const std::shared_ptr<Replica>> replicas,
              absl::Time now);

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_LASTING_VERSIONS_H_
