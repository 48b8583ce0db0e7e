#include "cranberryhill/orders/drain_plan_view.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {

DrainPlanView::DrainPlanView(DrainPlanViewSettings settings, const Clock& clock)
    : settings(settings), clock(clock) {}

void DrainPlanView::UpdatePlan(const DrainPlanRecord& plan, absl::Time as_of) {
  if (this->has_plan && plan.plan_version < this->current_plan.plan_version)
    return;
  bool same_plan =
      this->has_plan && plan.plan_version == this->current_plan.plan_version;
  this->as_of = same_plan ? std::max(this->as_of, as_of) : as_of;
  if (same_plan)
    return;
  this->has_plan = true;
  this->current_plan = plan;
  std::map<std::string, absl::Time, std::less<>> updated_marks;
  for (const std::string& engine : plan.draining) {
    auto existing = this->marked_since.find(engine);
    updated_marks[engine] = existing == this->marked_since.end()
                                ? this->clock.Now()
                                : existing->second;
  }
  this->marked_since = std::move(updated_marks);
}

bool DrainPlanView::IsFreshAt(absl::Time time) const {
  return this->has_plan && time - this->as_of < this->settings.view_ttl;
}

bool DrainPlanView::IsFresh() const {
  return this->IsFreshAt(this->clock.Now());
}

absl::Duration DrainPlanView::Age() const {
  return this->clock.Now() - this->as_of;
}

uint64_t DrainPlanView::plan_version() const {
  return this->current_plan.plan_version;
}

const DrainPlanRecord& DrainPlanView::plan() const {
  return this->current_plan;
}

bool DrainPlanView::MayStart(std::string_view engine) const {
  if (!this->has_plan || this->marked_since.contains(engine))
    return false;
  absl::Time now = this->clock.Now();
  if (this->IsFreshAt(now))
    return true;
  auto use = this->use_by_engine.find(engine);
  return use != this->use_by_engine.end() && !use->second.gap_exceeded &&
         now - use->second.last_use_at <= this->settings.max_use_gap;
}

void DrainPlanView::OnUse(std::string_view engine, absl::Time used_at) {
  Use& use = this->use_by_engine[std::string(engine)];
  if (this->IsFreshAt(used_at)) {
    use.gap_exceeded = false;
  } else if (used_at - use.last_use_at > this->settings.max_use_gap) {
    use.gap_exceeded = true;
  }
  use.last_use_at = std::max(use.last_use_at, used_at);
}

std::vector<std::string> DrainPlanView::ProbesDue(
    const std::vector<std::string>& engines) {
  std::vector<std::string> due;
  if (!this->has_plan || this->Age() < this->settings.probe_min_view_age)
    return due;
  absl::Time now = this->clock.Now();
  for (const std::string& engine : engines) {
    if (!this->MayStart(engine))
      continue;
    Use& use = this->use_by_engine[engine];
    if (now - use.last_probe_at < this->settings.probe_interval)
      continue;
    use.last_probe_at = now;
    due.push_back(engine);
  }
  return due;
}

bool DrainPlanView::DrainOverdue(std::string_view engine) const {
  auto mark = this->marked_since.find(engine);
  return mark != this->marked_since.end() &&
         this->clock.Now() - mark->second >= this->settings.max_drain_time;
}

}  // namespace cranberryhill
