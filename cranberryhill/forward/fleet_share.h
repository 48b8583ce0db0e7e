#ifndef CRANBERRYHILL_FORWARD_FLEET_SHARE_H_
#define CRANBERRYHILL_FORWARD_FLEET_SHARE_H_

// The share of one instance in what all instances may use together, such as the
// connections to a replica. Each instance computes its own share, without
// messages.

#include <cstddef>
#include <optional>

namespace cranberryhill::forward {

/// @param fleet_total What all instances may use together.
/// @param known_instances Number of instances that this one knows, itself
///     included. Some may have started and not be known yet.
/// @return What this instance may use.
double ShareOfInstance(double fleet_total, size_t known_instances);

/// @param fleet_slack Retries in addition to the ratio that all instances may
///     send in one window.
/// @param known_instances As above; nothing while it is not known.
/// @return The slack of this instance. Zero while the number of instances is
///     not known, because instances that restart together would each take the
///     share of a small fleet.
double RetrySlackOfInstance(double fleet_slack,
                            std::optional<size_t> known_instances);

}  // namespace cranberryhill::forward

#endif  // CRANBERRYHILL_FORWARD_FLEET_SHARE_H_
