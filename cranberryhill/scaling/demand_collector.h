#ifndef CRANBERRYHILL_SCALING_DEMAND_COLLECTOR_H_
#define CRANBERRYHILL_SCALING_DEMAND_COLLECTOR_H_

// Adds up what the instances of a fleet tell about the demand for services.

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/scaling/service_demand.h"

namespace cranberryhill::scaling {

/// What all callers have asked of a service since the last TakeChanges().
struct DemandChange {
  bool is_known = false;  ///< A process has told about the service.
  std::map<std::string, double, std::less<>> arrivals;  ///< By zone.
  double refused = 0;
  double work_ms = 0;
  int outstanding = 0;  ///< Now.

  double Arrived() const;
};

/// The engines of a service by what they do.
struct EngineCounts {
  int prefill = 0;
  int decode = 0;  ///< Those without a role included.
};

/// Not thread-safe.
class DemandCollector {
 public:
  /// @param clock Must outlive this object.
  explicit DemandCollector(const Clock& clock) : clock(clock) {}

  /// @param incarnation Differs between the processes of an instance.
  void Merge(std::string_view instance,
             uint64_t incarnation,
             std::span<const ServiceDemand> demand);

  /// @return The change by service since the last call. What a process counted
  ///     before its first message is left out.
  std::map<std::string, DemandChange> TakeChanges();

  /// @return The number of instances that have lately told their demand, of any
  ///     service or of none.
  size_t instances() const { return this->processes.size(); }  // NOLINT

 private:
  struct Process {
    uint64_t incarnation = 0;
    absl::Time heard_at;
    std::map<std::string, ServiceDemand> newest;  // By service.
    std::map<std::string, ServiceDemand> taken;
  };

  const Clock& clock;
  std::map<std::string, Process, std::less<>> processes;
};

/// @param elapsed Time in which the demand has changed so.
/// @param slots Requests that one replica serves at the same time.
/// @return The number of replicas that this demand would keep busy all the
///     time.
double BusyReplicas(const DemandChange& change,
                    const EngineCounts& engines,
                    absl::Duration elapsed,
                    double slots);

}  // namespace cranberryhill::scaling

#endif  // CRANBERRYHILL_SCALING_DEMAND_COLLECTOR_H_
