#ifndef CRANBERRYHILL_SCALING_SERVICE_DEMAND_H_
#define CRANBERRYHILL_SCALING_SERVICE_DEMAND_H_

// What callers have asked of a service in one availability zone.

#include <cstdint>
#include <string>

namespace cranberryhill::scaling {

/// Counted by one process since its start, so that lost messages do no harm.
struct ServiceDemand {
  std::string service;
  std::string zone;      ///< Of the instance that the callers use.
  uint64_t arrived = 0;  ///< Requests.
  double work_ms = 0;    ///< Expected engine time of their prefill.
  uint64_t refused = 0;  ///< For lack of replicas that could serve in time.
  int outstanding = 0;   ///< Requests at replicas now.
};

}  // namespace cranberryhill::scaling

#endif  // CRANBERRYHILL_SCALING_SERVICE_DEMAND_H_
