#ifndef CRANBERRYHILL_DAEMON_PLAN_VIEWS_H_
#define CRANBERRYHILL_DAEMON_PLAN_VIEWS_H_

// This instance's views of the plans of all availability zones whose engines
// it may route to.
//
//   PlanViews views(environment, clock);
//   views.SetDocument(*version);
//   views.OnRows(rows, asked);                 // a scan of PlanPrefix()
//   if (views.MayStart("engine-1")) ...

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "cranberryhill/base/clock.h"
#include "cranberryhill/daemon/engine_fleet.h"
#include "cranberryhill/environment/environment_document.h"
#include "cranberryhill/orders/drain_plan_view.h"
#include "cranberryhill/table/table_service.h"

namespace cranberryhill {

/// Core thread only.
class PlanViews : public StartPermission {
 public:
  /// @param clock Must outlive this object.
  PlanViews(std::string environment, const Clock& clock);

  /// Sets the zones and which engines belong to them.
  void SetDocument(const EnvironmentDocument& document);

  /// @return The prefix of all plan rows of the environment.
  std::string PlanPrefix() const;

  /// Takes over a scan of PlanPrefix(). A zone without a row has no change.
  /// @param asked Reading of the clock before the scan was sent.
  void OnRows(const std::vector<Row>& rows, absl::Time asked);

  /// @return The view of a zone, or null when no engine is in it.
  DrainPlanView* ViewOf(std::string_view zone);

  bool MayStart(std::string_view engine) const override;
  void OnUse(std::string_view engine, absl::Time at) override;

  /// @return Engines that a probe is due to.
  std::vector<std::string> ProbesDue();

  /// @return Engines whose streams are to be resumed elsewhere.
  std::vector<std::string> DrainOverdue() const;

  /// @return Engines with an announced change, over all zones.
  size_t DrainingCount() const;

 private:
  const DrainPlanView* ViewOfEngine(std::string_view engine) const;

  std::string environment;
  const Clock& clock;
  std::map<std::string, std::unique_ptr<DrainPlanView>, std::less<>> views;
  std::map<std::string, std::string, std::less<>> zone_of;  // By engine.
  std::map<std::string, std::vector<std::string>, std::less<>> engines_of;
};

}  // namespace cranberryhill

#endif  // CRANBERRYHILL_DAEMON_PLAN_VIEWS_H_
