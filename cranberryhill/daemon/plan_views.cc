#include "cranberryhill/daemon/plan_views.h"

#include <utility>

#include "cranberryhill/base/log.h"
#include "cranberryhill/daemon/control_part.h"
#include "cranberryhill/orders/drain_plan_record.h"

namespace cranberryhill {

PlanViews::PlanViews(std::string environment, const Clock& clock)
    : environment(std::move(environment)), clock(clock) {}

void PlanViews::SetDocument(const EnvironmentDocument& document) {
  this->zone_of.clear();
  this->engines_of.clear();
  for (const EngineSpec& engine : document.engines) {
    this->zone_of[engine.id] = engine.availability_zone;
    this->engines_of[engine.availability_zone].push_back(engine.id);
    std::unique_ptr<DrainPlanView>& view =
        this->views[engine.availability_zone];
    if (view == nullptr)
      view =
          std::make_unique<DrainPlanView>(DrainPlanViewSettings{}, this->clock);
  }
}

std::string PlanViews::PlanPrefix() const {
  return "plan/" + this->environment + "/";
}

void PlanViews::OnRows(const std::vector<Row>& rows, absl::Time asked) {
  for (auto& [zone, view] : this->views) {
    const Row* row =
        FindRow(rows, PlanRowKey(this->environment, zone, kOnlyShard));
    if (row == nullptr) {
      view->UpdatePlan(DrainPlanRecord{}, asked);
      continue;
    }
    Outcome<DrainPlanRecord> plan = ParseDrainPlanRecord(row->value);
    // A plan that cannot be read refreshes nothing, so that its engines are
    // given up rather than used against it.
    if (plan.ok())
      view->UpdatePlan(plan.value(), asked);
    else
      LogLine("plan of zone {} cannot be read: {}", zone,
              plan.error().ToString());
  }
}

DrainPlanView* PlanViews::ViewOf(std::string_view zone) {
  auto found = this->views.find(zone);
  return found == this->views.end() ? nullptr : found->second.get();
}

const DrainPlanView* PlanViews::ViewOfEngine(std::string_view engine) const {
  auto zone = this->zone_of.find(engine);
  if (zone == this->zone_of.end())
    return nullptr;
  auto view = this->views.find(zone->second);
  return view == this->views.end() ? nullptr : view->second.get();
}

bool PlanViews::MayStart(std::string_view engine) const {
  const DrainPlanView* view = this->ViewOfEngine(engine);
  return view != nullptr && view->MayStart(engine);
}

void PlanViews::OnUse(std::string_view engine, absl::Time at) {
  auto zone = this->zone_of.find(engine);
  if (zone == this->zone_of.end())
    return;
  if (DrainPlanView* view = this->ViewOf(zone->second))
    view->OnUse(engine, at);
}

std::vector<std::string> PlanViews::ProbesDue() {
  std::vector<std::string> due;
  for (auto& [zone, view] : this->views) {
    // A fresh view needs no probes, and there may be hundreds of engines.
    if (view->Age() < DrainPlanViewSettings{}.probe_min_view_age)
      continue;
    for (std::string& engine : view->ProbesDue(this->engines_of[zone]))
      due.push_back(std::move(engine));
  }
  return due;
}

std::vector<std::string> PlanViews::DrainOverdue() const {
  std::vector<std::string> overdue;
  for (const auto& [zone, view] : this->views) {
    for (const std::string& engine : view->plan().draining) {
      if (view->DrainOverdue(engine))
        overdue.push_back(engine);
    }
  }
  return overdue;
}

size_t PlanViews::DrainingCount() const {
  size_t count = 0;
  for (const auto& [zone, view] : this->views)
    count += view->plan().draining.size();
  return count;
}

}  // namespace cranberryhill
