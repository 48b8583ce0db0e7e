#ifndef CRANBERRYHILL_FORWARD_LASTING_VERSIONS_H_
#define CRANBERRYHILL_FORWARD_LASTING_VERSIONS_H_

// Keeps new streams away from software versions that are about to lose their
// last decode engine. A stream that has begun can go on only at its version.

#include <memory>
#include <vector>

#include "cranberryhill/forward/replica_set.h"

namespace cranberryhill::forward {

/// Removes the decode engines of versions that have a single one left, if
/// another version has more. Prefill engines stay: they write no events.
/// @param replicas Engines of one service that may get a new stream.
void KeepLastingVersions(std::vector<std::shared_ptr<Replica>>& replicas);

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_LASTING_VERSIONS_H_
