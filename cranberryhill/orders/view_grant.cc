#include "cranberryhill/orders/view_grant.h"

#include <algorithm>
#include <utility>

namespace cranberryhill {

ViewGrant::ViewGrant(ViewGrantSettings settings, const Clock& clock)
    : settings(settings), clock(clock) {}

void ViewGrant::OnView(const PlanRecord& plan, absl::Time as_of) {
  if (this->have_view && plan.plan_version < this->current.plan_version)
    return;
  bool same_plan =
      this->have_view && plan.plan_version == this->current.plan_version;
  this->as_of = same_plan ? std::max(this->as_of, as_of) : as_of;
  if (same_plan)
    return;
  this->have_view = true;
  this->current = plan;
  std::map<std::string, absl::Time, std::less<>> marks;
  for (const std::string& engine : plan.draining) {
    auto known = this->marked_since.find(engine);
    marks[engine] =
        known == this->marked_since.end() ? this->clock.Now() : known->second;
  }
  this->marked_since = std::move(marks);
}

bool ViewGrant::ValidAt(absl::Time time) const {
  return this->have_view && time - this->as_of < this->settings.view_ttl;
}

bool ViewGrant::Valid() const {
  return this->ValidAt(this->clock.Now());
}

absl::Duration ViewGrant::Age() const {
  return this->clock.Now() - this->as_of;
}

uint64_t ViewGrant::plan_version() const {
  return this->current.plan_version;
}

const PlanRecord& ViewGrant::plan() const {
  return this->current;
}

bool ViewGrant::MayStart(std::string_view engine) const {
  if (!this->have_view || this->marked_since.contains(engine))
    return false;
  absl::Time now = this->clock.Now();
  if (this->ValidAt(now))
    return true;
  auto use = this->uses.find(engine);
  return use != this->uses.end() && !use->second.interrupted &&
         now - use->second.last <= this->settings.use_gap;
}

void ViewGrant::OnUse(std::string_view engine, absl::Time at) {
  Use& use = this->uses[std::string(engine)];
  if (this->ValidAt(at)) {
    use.interrupted = false;
  } else if (at - use.last > this->settings.use_gap) {
    use.interrupted = true;
  }
  use.last = std::max(use.last, at);
}

std::vector<std::string> ViewGrant::ProbesDue(
    const std::vector<std::string>& engines) {
  std::vector<std::string> due;
  if (!this->have_view || this->Age() < this->settings.probe_from)
    return due;
  absl::Time now = this->clock.Now();
  for (const std::string& engine : engines) {
    if (!this->MayStart(engine))
      continue;
    Use& use = this->uses[engine];
    if (now - use.last_probe < this->settings.probe_interval)
      continue;
    use.last_probe = now;
    due.push_back(engine);
  }
  return due;
}

bool ViewGrant::DrainOverdue(std::string_view engine) const {
  auto mark = this->marked_since.find(engine);
  return mark != this->marked_since.end() &&
         this->clock.Now() - mark->second >= this->settings.drain_time;
}

}  // namespace cranberryhill
